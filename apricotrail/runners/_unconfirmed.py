"""Ends of done runs that are not acknowledged to the runner yet.

Acknowledging an end at the runner makes it final: the runner forgets it, and the task must never
start again. But the owner, the dispatcher that ordered the run, may start the task again if it
can't reach this agent. Hence an end waits until its owner has confirmed that it received the
outcome, or until its owner can't start the task again; `_doubts` decides that. As all ends up to a
number are acknowledged together, the ends behind one that waits wait with it.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from apricotrail.runners._runs import Owner, RunKey

__all__ = ["CONTACT_AFTER_SILENCE_MS", "MAX_WRITTEN_OFF", "UnconfirmedEnds"]

# An owner declares the runs of this agent lost unless control still lists the agent 2.4 s after the
# owner last heard it, which can be 1.3 s after this agent last heard the owner. The rest is margin
# for slow machines.
CONTACT_AFTER_SILENCE_MS = 4_000.0
MAX_WRITTEN_OFF = 4_096  # the most that one claim names


class _End(NamedTuple):
    owner: Owner | None
    key: RunKey


class UnconfirmedEnds:
    """Ends of done runs that wait for confirmation, by the number of the end at the runner.

    To release an end means to allow its acknowledgement. The end of a run that its owner has
    written off is released by `release_all` only.
    """

    def __init__(self) -> None:
        self._ends: dict[int, _End] = {}
        self._written_off: OrderedDict[RunKey, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._ends)

    @property
    def has_written_off(self) -> bool:
        """Return whether the owner of an end has written its run off."""
        return any(end.key in self._written_off for end in self._ends.values())

    def add(self, number: int, owner: Owner | None, key: RunKey) -> None:
        """Keep an end unacknowledged; an owner that is not known yet is None."""
        self._ends[number] = _End(owner, key)

    def confirm(self, keys: Collection[RunKey]) -> int:
        """Release ends whose outcomes their owners have; return how many."""
        return self._release(lambda end: end.key in keys)

    def note_written_off(self, keys: Iterable[RunKey]) -> None:
        """Record that an owner counts runs as lost, so that their tasks may start again."""
        for key in keys:
            self._written_off[key] = None
        while len(self._written_off) > MAX_WRITTEN_OFF:
            self._written_off.popitem(last=False)

    def match_claim(self, owner: Owner, claimed: Collection[RunKey]) -> int:
        """Record the owner of the ends it claims and release its ends that it no longer claims.

        An owner no longer claims a run once it has received its outcome. Returns how many were
        released.
        """
        for number, end in self._ends.items():
            if end.key in claimed:
                self._ends[number] = end._replace(owner=owner)
        return self._release(lambda end: end.owner == owner and end.key not in claimed)

    def release_all(self) -> None:
        """Release all ends, since the runner has booted again or the leases have lapsed."""
        self._ends.clear()
        self._written_off.clear()

    def release_owned(self, owners: Collection[Owner | None]) -> int:
        """Release the ends of owners that can't have written them off; return how many."""
        return self._release(lambda end: end.owner in owners)

    def release_silent(
        self, silent_since_ms: Mapping[Owner | None, float], quorum_contact_ms: float
    ) -> None:
        """Release ends of owners that fell silent before this agent had contact with control.

        The contact counts if it came `CONTACT_AFTER_SILENCE_MS` after the silence began, or later.

        Parameters
        ----------
        silent_since_ms : mapping
            Since when each silent owner has been silent, on the agent's monotonic clock; None
            stands for the owners that are not known.
        quorum_contact_ms : float
            Last contact with a majority of control, on the same clock.
        """
        self._release(
            lambda end: end.owner in silent_since_ms
            and quorum_contact_ms >= silent_since_ms[end.owner] + CONTACT_AFTER_SILENCE_MS
        )

    def list_owners(self) -> set[Owner | None]:
        """Return the owners of unconfirmed ends, None for ends without a known owner."""
        return {end.owner for end in self._ends.values()}

    def list_keys(self, owner: Owner) -> list[RunKey]:
        """Return the runs of an owner whose ends are unconfirmed."""
        return [end.key for end in self._ends.values() if end.owner == owner]

    def highest_final_number(self, highest_end: int) -> int:
        """Return the highest number up to which ends may be acknowledged.

        That is the one before the first unconfirmed end or, if there is none, `highest_end`, the
        highest number that the runner has listed.
        """
        return min(self._ends) - 1 if self._ends else highest_end

    def _release(self, should_release: Callable[[_End], bool]) -> int:
        before = len(self._ends)
        self._ends = {
            number: end
            for number, end in self._ends.items()
            if end.key in self._written_off or not should_release(end)
        }
        return before - len(self._ends)
