"""Counts over time windows in a bounded number of buckets."""

from typing import NamedTuple

__all__ = ["MAX_CAUSES", "OTHER_CAUSE", "WINDOWS", "Bucket", "BucketRing", "Window"]

MAX_CAUSES = 48
OTHER_CAUSE = "other"
_S = 1_000
_MIN = 60 * _S
_H = 60 * _MIN


class Window(NamedTuple):
    """A time window and its buckets.

    Attributes
    ----------
    name : str
        Name in reports.
    length_ms : int
        Length in milliseconds.
    bucket_ms : int
        Length of one bucket in milliseconds.
    """

    name: str
    length_ms: int
    bucket_ms: int


WINDOWS = (
    Window("5 m", 5 * _MIN, 10 * _S),
    Window("1 h", _H, _MIN),
    Window("6 h", 6 * _H, 6 * _MIN),
    Window("3 d", 72 * _H, _H),
)


class Bucket:
    """Counts of one stretch of time.

    Attributes
    ----------
    start_ms : int
        Begin of the stretch, wall clock.
    total, failed, slow : int
        Jobs answered; those that failed; those that succeeded too late.
    causes : dict of str to int
        Failed and slow jobs by ``zone:``, ``target:`` or ``error:`` and name.
    """

    __slots__ = ("causes", "failed", "slow", "start_ms", "total")

    def __init__(self, start_ms: int) -> None:
        self.start_ms = start_ms
        self.total = 0
        self.failed = 0
        self.slow = 0
        self.causes: dict[str, int] = {}

    def add(self, other: "Bucket") -> None:
        """Add the counts of another bucket."""
        self.total += other.total
        self.failed += other.failed
        self.slow += other.slow
        for cause, count in other.causes.items():
            self.blame(cause, count)

    def blame(self, cause: str, count: int) -> None:
        """Count bad jobs under a cause; new causes of a full bucket go under ``other``."""
        if cause not in self.causes and len(self.causes) >= MAX_CAUSES:
            cause = f"{cause.partition(':')[0]}:{OTHER_CAUSE}"
        self.causes[cause] = self.causes.get(cause, 0) + count


class BucketRing:
    """The buckets of one window, oldest first.

    Parameters
    ----------
    window : Window
        Length of the window and of its buckets.
    """

    def __init__(self, window: Window) -> None:
        self.window = window
        self._buckets: list[Bucket] = []

    def add(self, counts: Bucket) -> None:
        """Add counts to the bucket of their time; counts of the past go into the newest bucket."""
        start_ms = counts.start_ms - counts.start_ms % self.window.bucket_ms
        if not self._buckets or self._buckets[-1].start_ms < start_ms:
            self._buckets.append(Bucket(start_ms))
            self._drop_old(start_ms)
        self._buckets[-1].add(counts)

    def buckets(self) -> tuple[Bucket, ...]:
        """Return the buckets, oldest first."""
        return tuple(self._buckets)

    def _drop_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.window.length_ms
        while self._buckets[0].start_ms <= oldest_ms:
            del self._buckets[0]
