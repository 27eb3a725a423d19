"""Tracks which entries have acknowledged the messages sent to them.

A link delivers in order, so an echoed heartbeat acknowledges all messages sent before it. What was
sent on a lost link is acknowledged by an echo on the next link: there the entry first asks for its
open attempts, and the reply to that counts as sent again.
"""

from apricotrail.clocks import Clock

__all__ = ["Deliveries"]


class Deliveries:
    """Messages whose receipt is not yet acknowledged, by entry.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.

    Examples
    --------
    >>> from apricotrail.clocks import VirtualClock
    >>> deliveries = Deliveries(VirtualClock(10.0))
    >>> deliveries.record_sent("entry-a")
    >>> deliveries.record_echo("entry-a", heartbeat_sent_ms=9.0)
    >>> deliveries.list_unacknowledged()
    ['entry-a']
    >>> deliveries.record_echo("entry-a", heartbeat_sent_ms=11.0)
    >>> deliveries.list_unacknowledged()
    []
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent_ms: dict[str, float] = {}

    def record_sent(self, entry: str) -> None:
        """Record that a message to `entry` was sent, or should have been."""
        self._sent_ms[entry] = self._clock()

    def record_new_link(self, entry: str) -> None:
        """Record a new link: heartbeats sent before it no longer acknowledge anything."""
        if entry in self._sent_ms:
            self.record_sent(entry)

    def record_echo(self, entry: str, heartbeat_sent_ms: float) -> None:
        """Record that `entry` echoed the heartbeat sent to it at `heartbeat_sent_ms`."""
        if heartbeat_sent_ms > self._sent_ms.get(entry, heartbeat_sent_ms):
            del self._sent_ms[entry]

    def list_unacknowledged(self) -> list[str]:
        """Return the entries that may not have received every message."""
        return list(self._sent_ms)
