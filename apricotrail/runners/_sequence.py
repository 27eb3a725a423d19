"""Tells a runner's own announcements by their numbers, which grow with each one within a boot.

A late announcement has a number below the highest and changes nothing, however late it is. Another
writer may use any number. One that is far from what the runner can have reached is not accepted,
so it can't make the agent deaf to the runner, whose own numbers go on below it. If the numbers that
follow go on from a far one instead, it was the runner's.
"""

from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit

__all__ = ["MAX_AHEAD", "SPREAD_MS", "AnnouncedNumbers"]

MAX_AHEAD = 10  # a runner announces itself every 1.5 s, and calls were seen to be 12 s late
MIN_INTERVAL_MS = 500.0
SPREAD_MS = 500.0  # two announcements of a runner are at least this far apart

ANNOUNCEMENT_NUMBER_ODD = declare_event(
    11015,
    "announcement_number_odd",
    Level.WARNING,
    "An announcement has a number that the runner can't have reached since its last one. It is "
    "ignored unless later ones go on from it. Check who else writes to this address.",
)


class _Number(NamedTuple):
    value: int
    heard_ms: float


class AnnouncedNumbers:
    """Numbers of the announcements under one id within one boot.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    first : int
        Number of the first announcement, of which nothing is known to compare it with.
    """

    def __init__(self, clock: Clock, first: int) -> None:
        self._clock = clock
        self._highest = _Number(first, clock())
        # Until another number goes on from the highest one, that may be another writer's.
        self._is_followed = False
        self._far: _Number | None = None

    @property
    def highest(self) -> int:
        """Return the highest accepted number."""
        return self._highest.value

    def accept(self, value: int) -> bool:
        """Return whether an announcement with this number is newer than all before it."""
        if self._goes_on_from(self._highest, value):
            self._highest = _Number(value, self._clock())
            self._is_followed = True
            self._far = None
            return True
        return self._is_far(value) and self._accept_far(value)

    def _goes_on_from(self, number: _Number, value: int) -> bool:
        passed_ms = self._clock() - number.heard_ms
        return number.value < value <= number.value + MAX_AHEAD + passed_ms / MIN_INTERVAL_MS

    def _is_far(self, value: int) -> bool:
        is_above = value > self._highest.value
        return is_above or (not self._is_followed and value < self._highest.value - MAX_AHEAD)

    def _accept_far(self, value: int) -> bool:
        far, now_ms = self._far, self._clock()
        if far is None or not self._goes_on_from(far, value):
            self._far = _Number(value, now_ms)
            emit(ANNOUNCEMENT_NUMBER_ODD, sequence=value, known_sequence=self._highest.value)
            return False
        if now_ms - far.heard_ms < SPREAD_MS:
            return False
        self._highest = _Number(value, now_ms)
        self._is_followed = False
        self._far = None
        return True
