"""Keeps a runner leaving within one boot, whatever late announcements say.

A runner that leaves doesn't come back before its next boot. Its own later announcements say so,
too, and earlier ones that come late are told by its clock or by their numbers. So two announcements
that were not made before, half a second apart and neither of them leaving, show that another writer
said it leaves.
"""

from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.runners._sequence import SPREAD_MS

__all__ = ["LeavingState", "Position"]

WITHDRAWN_MS = 15_000.0  # a withdrawal has no number; calls were seen to be 12 s late


class Position(NamedTuple):
    """Place of an announcement among those of a boot.

    Attributes
    ----------
    number : int
        Its number.
    clock_ms : int or None
        The runner's monotonic clock in milliseconds when it was made, which goes before the number;
        None if it names none that the runner can have read.
    """

    number: int
    clock_ms: int | None = None


class _Ready(NamedTuple):
    position: Position
    heard_ms: float


class LeavingState:
    """Whether a runner has said that it leaves, and what speaks against it.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since: Position | None = None
        self._certain_until_ms = 0.0
        self._ready: _Ready | None = None

    def note_leaving(self, position: Position) -> None:
        """Record that the runner leaves, by an announcement at `position` or just after it."""
        self._since = position
        self._ready = None

    def note_withdrawal(self, newest: Position) -> None:
        """Record that the runner left for good after its announcement `newest`, or a later one."""
        self.note_leaving(newest)
        self._certain_until_ms = self._clock() + WITHDRAWN_MS

    def note_ready(self, position: Position) -> bool:
        """Record an announcement that doesn't say that the runner leaves; return whether it does.

        The number just before the one that said so counts as the first of the two: if the next one
        has the same number as that, and says something else, then two writers use it.
        """
        if self._since is None:
            return False
        now_ms = self._clock()
        if _precedes(position, self._since) or now_ms < self._certain_until_ms:
            return True
        if self._ready is None:
            self._ready = _Ready(position, now_ms)
            return True
        is_later = _confirms(position, self._ready.position, self._since)
        if is_later and now_ms - self._ready.heard_ms >= SPREAD_MS:
            self._since = self._ready = None
        return self._since is not None


def _precedes(position: Position, since: Position) -> bool:
    if position.clock_ms is None:
        return position.number < since.number - 1
    # An announcement with the runner's clock goes before one that names none.
    return since.clock_ms is not None and position.clock_ms < since.clock_ms


def _confirms(position: Position, first: Position, since: Position) -> bool:
    if position.clock_ms is None or first.clock_ms is None:
        return position.number >= since.number and position.number > first.number
    return position.clock_ms > first.clock_ms
