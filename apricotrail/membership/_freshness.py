"""Tracks how long ago a node's configuration was last confirmed as the newest.

A statement confirms that no version above `version` was accepted before `as_of_ms`. That time is on
the node's own clock, which measures only its own waiting, so that a late or repeated statement
never makes old information look recent.
"""

from apricotrail.clocks import Clock
from apricotrail.settings import declare_constraint, declare_setting
from apricotrail.wire import HEARTBEAT_MS

__all__ = ["CONFIG_STALE_MS", "NEVER_CONFIRMED_AGE_MS", "Freshness"]

CONFIG_STALE_MS = declare_setting(
    "membership.config_stale_ms",
    3_000,
    "A node whose configuration was not confirmed for this long starts no task.",
    unit="ms",
    minimum=100,
    maximum=7_000,
)
declare_constraint(
    (HEARTBEAT_MS, CONFIG_STALE_MS),
    lambda heartbeat_ms, stale_ms: heartbeat_ms * 4 <= stale_ms,
    "membership.config_stale_ms must be at least four times link.heartbeat_ms",
    "Lower link.heartbeat_ms, or raise membership.config_stale_ms.",
)
NEVER_CONFIRMED_AGE_MS = 2**31 - 1


class Freshness:
    """Age of the configuration of one node.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    stale_ms : float
        Age from which the configuration is too old to start tasks.
    """

    def __init__(self, clock: Clock, stale_ms: float) -> None:
        self._clock = clock
        self._stale_ms = stale_ms
        self._own_version = 0
        self._as_of_ms: float | None = None
        self._pending: tuple[int, float] | None = None

    def receive(self, version: int, as_of_ms: float) -> None:
        """Apply a statement that `version` was the newest at `as_of_ms` of the own clock.

        A statement about a version that is not applied yet counts once it is.
        """
        if version > self._own_version:
            if self._pending is None or (version, as_of_ms) > self._pending:
                self._pending = (version, as_of_ms)
            return
        if self._as_of_ms is None or as_of_ms > self._as_of_ms:
            self._as_of_ms = as_of_ms

    def advance(self, own_version: int) -> None:
        """Record that this node has applied `own_version`."""
        self._own_version = max(self._own_version, own_version)
        if self._pending is not None and self._pending[0] <= self._own_version:
            version, as_of_ms = self._pending
            self._pending = None
            self.receive(version, as_of_ms)

    def age_ms(self) -> float:
        """Return the age of the last confirmation in milliseconds.

        `NEVER_CONFIRMED_AGE_MS` stands for a configuration that was never confirmed.
        """
        if self._as_of_ms is None:
            return NEVER_CONFIRMED_AGE_MS
        return max(0.0, self._clock() - self._as_of_ms)

    def is_fresh(self) -> bool:
        """Return whether the configuration is recent enough to start tasks."""
        return self.age_ms() < self._stale_ms
