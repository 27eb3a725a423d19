"""Ends as done that the owner has not confirmed, and when the runner may be told of them.

To take note of an end at the runner makes it final: the runner forgets it, and the task must never
start again. An owner that can't be reached starts the task again once the lease must be over.
Hence an end is taken note of when its owner has confirmed it; or when the owner is silent and this
agent is still in touch with control some seconds later, for then the owner may not start it again
(it is gone, or saw this agent in the lists of control); or, if the agent is cut off, when the lease
is over, which makes the end void.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from apricotrail.runners._runs import Owner, RunKey

__all__ = ["IN_TOUCH_AFTER_MS", "UnconfirmedEnds"]

# An owner writes this agent off unless control still lists it 2.4 s after the owner heard it, which
# can be 1.3 s after this agent heard the owner; the rest is margin for slow machines.
IN_TOUCH_AFTER_MS = 4_000.0


class _End(NamedTuple):
    owner: Owner | None
    key: RunKey


class UnconfirmedEnds:
    """Ends as done by the runner's number."""

    def __init__(self) -> None:
        self._ends: dict[int, _End] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, number: int, owner: Owner | None, key: RunKey) -> None:
        """Hold an end back; None stands for an owner that is not known yet."""
        self._ends[number] = _End(owner, key)

    def confirm(self, keys: Collection[RunKey]) -> None:
        """Release ends that their owner has taken in."""
        self._release(lambda end: end.key in keys)

    def match_claim(self, owner: Owner, claimed: Collection[RunKey]) -> None:
        """Name the owner of ends that it claims; what it claims no longer it has taken in."""
        for number, end in self._ends.items():
            if end.key in claimed:
                self._ends[number] = end._replace(owner=owner)
        self._release(lambda end: end.owner == owner and end.key not in claimed)

    def release_all(self) -> None:
        """Release everything: the boot that it is of is over, or the lease."""
        self._ends.clear()

    def release_silent(
        self, silent_since_ms: Mapping[Owner | None, float], in_touch_ms: float
    ) -> None:
        """Release ends of silent owners if this agent was in touch well after they fell silent."""
        self._release(
            lambda end: end.owner in silent_since_ms
            and in_touch_ms >= silent_since_ms[end.owner] + IN_TOUCH_AFTER_MS
        )

    def list_owners(self) -> set[Owner | None]:
        """Return the owners whose confirmation is missing."""
        return {end.owner for end in self._ends.values()}

    def final_number(self, last_end: int) -> int:
        """Return the highest number up to which ends may be taken note of."""
        return min(self._ends) - 1 if self._ends else last_end

    def _release(self, is_released) -> None:
        self._ends = {number: end for number, end in self._ends.items() if not is_released(end)}
