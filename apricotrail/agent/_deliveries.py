"""Which entries have certainly received what was sent to them.

A link delivers in order, so an echo of a heartbeat proves that all that was sent before it arrived.
What was sent on a link that was lost is proven by an echo on the next one: the entry asks for its
open attempts first thing, and the answer counts as sent again.
"""

from apricotrail.clocks import Clock

__all__ = ["Deliveries"]


class Deliveries:
    """Messages that are not yet proven to have arrived, by entry.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.

    Examples
    --------
    >>> from apricotrail.clocks import VirtualClock
    >>> deliveries = Deliveries(VirtualClock(10.0))
    >>> deliveries.note_sent("entry-a")
    >>> deliveries.note_echo("entry-a", asked_ms=9.0)
    >>> deliveries.unproven()
    ['entry-a']
    >>> deliveries.note_echo("entry-a", asked_ms=11.0)
    >>> deliveries.unproven()
    []
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sent_ms: dict[str, float] = {}

    def note_sent(self, entry: str) -> None:
        """Note a message sent, or meant to be sent, to `entry`."""
        self._sent_ms[entry] = self._clock()

    def note_link(self, entry: str) -> None:
        """Note a new link: an older heartbeat proves nothing any more."""
        if entry in self._sent_ms:
            self.note_sent(entry)

    def note_echo(self, entry: str, asked_ms: float) -> None:
        """Take in the echo of a heartbeat sent to `entry` at `asked_ms`."""
        if asked_ms > self._sent_ms.get(entry, asked_ms):
            del self._sent_ms[entry]

    def unproven(self) -> list[str]:
        """Return the entries that may lack something."""
        return list(self._sent_ms)
