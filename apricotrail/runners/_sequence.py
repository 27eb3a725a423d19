"""Orders the announcements of a runner by their numbers, which grow with each one within a boot.

A late announcement has a number below the highest and changes nothing, however late it is. Another
writer may use any number, and a runner may count in steps of any size. So one that is far above
what the runner can have reached, by the steps seen so far, is unproven at first:

- If the next ones grow from it, it was the runner's, which counts in larger steps.
- If the runner's own numbers go on below it, it was another writer's. The first number of a boot,
  or one that was proven just now, may turn out to be another writer's, too.
"""

from enum import StrEnum
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit

__all__ = ["MAX_AHEAD", "SPREAD_MS", "AnnouncedNumbers", "AnnouncementOrder"]

MAX_AHEAD = 10  # calls; a runner announces itself every 1.5 s, and calls were seen to be 12 s late
MIN_INTERVAL_MS = 500.0
SPREAD_MS = 500.0  # two announcements of a runner are at least this far apart
# Largest step by which numbers that are late are told from those of a runner that counts anew.
MAX_LATE_STEP = 1_500

ANNOUNCEMENT_NUMBER_ODD = declare_event(
    11015,
    "announcement_number_odd",
    Level.WARNING,
    "An announcement has a number that the runner can't have reached since its last one by the "
    "steps in which it has counted so far, and no clock that shows its age. Until later ones go on "
    "from it, only what restricts the runner takes effect: that it leaves, and a smaller capacity. "
    "Check who else writes to this address.",
)


class AnnouncementOrder(StrEnum):
    """Whether an announcement was made after all others that are known.

    It is `UNPROVEN` if it may be another writer's.
    """

    NEWER = "newer"
    LATE = "late"
    UNPROVEN = "unproven"


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
        self._step = 1  # most by which the number of the runner was seen to grow from call to call
        self._far: _Number | None = None

    @property
    def highest(self) -> int:
        """Return the highest accepted number."""
        return self._highest.value

    def accept(self, value: int) -> None:
        """Record a number that is known otherwise to be the runner's newest."""
        self._highest = _Number(value, self._clock())
        self._is_followed = True
        self._far = None

    def compare(self, value: int) -> AnnouncementOrder:
        """Return the order of an announcement with this number, and record the number."""
        if self._goes_on_from(self._highest, value, self._step):
            self.accept(value)
            return AnnouncementOrder.NEWER
        is_above = value > self._highest.value
        late_from = self._highest.value - MAX_AHEAD * min(self._step, MAX_LATE_STEP)
        if not is_above and (self._is_followed or value >= late_from):
            return AnnouncementOrder.LATE
        return self._compare_far(value, is_above)

    def _compare_far(self, value: int, is_above: bool) -> AnnouncementOrder:
        far, now_ms = self._far, self._clock()
        if far is None or not self._continues_far(far, value, is_above):
            self._far = _Number(value, now_ms)
            emit(ANNOUNCEMENT_NUMBER_ODD, sequence=value, known_sequence=self._highest.value)
            return AnnouncementOrder.UNPROVEN
        if now_ms - far.heard_ms < SPREAD_MS:
            return AnnouncementOrder.UNPROVEN
        self._step = value - far.value if is_above else 1
        self._highest = _Number(value, now_ms)
        self._is_followed = False
        self._far = None
        return AnnouncementOrder.NEWER

    def _continues_far(self, far: _Number, value: int, is_above: bool) -> bool:
        """Return whether a number confirms an unproven one.

        Below the highest, late announcements grow, too, but their numbers have gaps unless the
        runner counts by one.
        """
        if is_above:
            return far.value > self._highest.value and value > far.value
        return self._goes_on_from(far, value, 1)

    def _goes_on_from(self, number: _Number, value: int, step: int) -> bool:
        calls = MAX_AHEAD + (self._clock() - number.heard_ms) / MIN_INTERVAL_MS
        return number.value < value <= number.value + calls * step
