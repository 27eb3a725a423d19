"""Decides when the end of a run that is done may be acknowledged to the runner.

Acknowledging an end at the runner makes it final: the runner forgets it, and the task must never
start again. But the owner, the dispatcher that ordered the run, starts the task again once the
lease must have lapsed if this agent can't reach it. Hence an end is acknowledged in three cases:

- Its owner has confirmed that it received the outcome.
- Its owner is silent, and this agent still has contact with a majority of control some seconds
  later. The owner can't start the task again then: it is gone, or it saw that control still listed
  this agent, and never starts the task again after that.
- The agent is cut off from the owner and from control and the lease has lapsed, which makes the end
  void: the owner may start the task again.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from apricotrail.runners._runs import Owner, RunKey

__all__ = ["CONTACT_AFTER_SILENCE_MS", "UnconfirmedEnds"]

# An owner declares the runs of this agent lost unless control still lists the agent 2.4 s after the
# owner last heard it, which can be 1.3 s after this agent last heard the owner. The rest is margin
# for slow machines.
CONTACT_AFTER_SILENCE_MS = 4_000.0


class _End(NamedTuple):
    owner: Owner | None
    key: RunKey


class UnconfirmedEnds:
    """Ends of done runs that wait for confirmation, by the number of the end at the runner.

    To release an end means to allow its acknowledgement.
    """

    def __init__(self) -> None:
        self._ends: dict[int, _End] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, number: int, owner: Owner | None, key: RunKey) -> None:
        """Keep an end unacknowledged; an owner that is not known yet is None."""
        self._ends[number] = _End(owner, key)

    def confirm(self, keys: Collection[RunKey]) -> None:
        """Release ends whose owner confirmed that it received the outcomes."""
        self._release(lambda end: end.key in keys)

    def match_claim(self, owner: Owner, claimed: Collection[RunKey]) -> None:
        """Record the owner of the ends it claims and release its ends that it no longer claims.

        An owner no longer claims a run once it has received its outcome.
        """
        for number, end in self._ends.items():
            if end.key in claimed:
                self._ends[number] = end._replace(owner=owner)
        self._release(lambda end: end.owner == owner and end.key not in claimed)

    def release_all(self) -> None:
        """Release all ends, since the runner has booted again or the leases have lapsed."""
        self._ends.clear()

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

    def highest_final_number(self, highest_end: int) -> int:
        """Return the highest number up to which ends may be acknowledged.

        That is the one before the first unconfirmed end or, if there is none, `highest_end`, the
        highest number that the runner has listed.
        """
        return min(self._ends) - 1 if self._ends else highest_end

    def _release(self, should_release) -> None:
        self._ends = {number: end for number, end in self._ends.items() if not should_release(end)}
