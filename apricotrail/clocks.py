"""Clocks passed into protocol code, so that tests can run it on virtual time."""

from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns

__all__ = ["Clock", "VirtualClock", "monotonic_ms", "uptime_ms", "wall_ms"]

Clock = Callable[[], float]
"""A function without arguments that gives a time in milliseconds."""

_NS_PER_MS = 1_000_000


def monotonic_ms() -> float:
    """Return a monotonic clock in milliseconds that also counts suspended time.

    Its zero point is arbitrary. ``CLOCK_MONOTONIC`` stands still while a machine is suspended, so a
    process that wakes would take leases and confirmations for younger than they are.
    """
    return clock_gettime_ns(CLOCK_BOOTTIME) / _NS_PER_MS


_IMPORTED_MS = monotonic_ms()


def uptime_ms() -> int:
    """Return how long this process has run, in whole milliseconds on its monotonic clock.

    It counts from the import of this module, which comes before any link is opened.
    """
    return int(monotonic_ms() - _IMPORTED_MS)


def wall_ms() -> int:
    """Return the wall clock in whole milliseconds since the Unix epoch."""
    return time_ns() // _NS_PER_MS


class VirtualClock:
    """A clock that moves only when told to.

    Parameters
    ----------
    now_ms : float
        First reading in milliseconds.

    Examples
    --------
    >>> clock = VirtualClock(5.0)
    >>> clock.advance(2.5)
    >>> clock()
    7.5
    """

    def __init__(self, now_ms: float = 0.0) -> None:
        self.now_ms = now_ms

    def __call__(self) -> float:
        """Return the present reading in milliseconds."""
        return self.now_ms

    def advance(self, step_ms: float) -> None:
        """Move the clock forward by `step_ms` milliseconds."""
        self.now_ms += step_ms
