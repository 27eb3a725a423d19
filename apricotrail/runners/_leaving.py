"""Keeps a runner leaving within one boot, whatever late announcements say.

A runner that leaves doesn't come back before its next boot. Its own later announcements say so,
too, and earlier ones that come late have lower numbers. So two announcements with numbers that are
not lower, half a second apart and neither of them leaving, show that another writer said it leaves.
"""

from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.runners._sequence import SPREAD_MS

__all__ = ["LeavingState"]

WITHDRAWN_MS = 15_000.0  # a withdrawal has no number; calls were seen to be 12 s late


class _Ready(NamedTuple):
    number: int
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
        self._number: int | None = None
        self._certain_until_ms = 0.0
        self._ready: _Ready | None = None

    def note_leaving(self, number: int) -> None:
        """Record that an accepted announcement says that the runner leaves."""
        self._number = number
        self._ready = None

    def note_withdrawal(self, highest: int) -> None:
        """Record that the runner left for good after its announcement `highest`, or a later one."""
        self.note_leaving(highest)
        self._certain_until_ms = self._clock() + WITHDRAWN_MS

    def note_ready(self, number: int) -> bool:
        """Record an announcement that doesn't say that the runner leaves; return whether it does.

        The number just before the one that said so counts as the first of the two: if the next one
        has the same number as that, and says something else, then two writers use it.
        """
        if self._number is None:
            return False
        now_ms = self._clock()
        if number < self._number - 1 or now_ms < self._certain_until_ms:
            return True
        if self._ready is None:
            self._ready = _Ready(number, now_ms)
            return True
        is_later = number >= self._number and number > self._ready.number
        if is_later and now_ms - self._ready.heard_ms >= SPREAD_MS:
            self._number = self._ready = None
        return self._number is not None
