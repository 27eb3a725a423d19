"""The open links of a process: which give way at a bound on their number or on what they hold."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

from apricotrail.resources import LimitCounts
from apricotrail.wire._limits import LinkLimits

__all__ = ["OpenLinks"]


class OpenLinks:
    """Links from when their connections open until they are closed, the oldest first.

    Parameters
    ----------
    limits : LinkLimits
        Bounds on links and on what is buffered for them.

    Attributes
    ----------
    limits_met : LimitCounts
        Counts how often they are met.
    max_links : int
        Bound on their number.
    received_bytes : int
        Held for incomplete frames.
    """

    def __init__(self, limits: LinkLimits) -> None:
        self.limits_met = LimitCounts("links")
        self.max_links = limits.links
        self.received_bytes = 0
        self._limits = limits
        self._links: dict[Any, None] = {}
        self._pending: dict[Any, None] = {}  # opened by others, handshake not done

    def __len__(self) -> int:
        """Return the number of open links."""
        return len(self._links)

    def __iter__(self) -> Iterator[Any]:
        """Iterate over a copy, since links may be closed meanwhile."""
        return iter(list(self._links))

    def add(self, link: Any) -> None:
        """Count a new connection; above a bound, one whose handshake is pending is closed.

        Of these, the oldest of the address with most gives way; without any, the new one.
        """
        self._links[link] = None
        if not link.dialing:
            self._pending[link] = None
        if len(self._pending) > self._limits.pending:
            self.limits_met.note("unproven")
            self._find_oldest_pending().close()
        if len(self._links) > self.max_links:
            self.limits_met.note("connections")
            (self._find_oldest_pending() or link).close()

    def note_handshake(self, link: Any) -> None:
        """Note that a handshake is done."""
        self._pending.pop(link, None)

    def discard(self, link: Any) -> None:
        """Forget a closed link."""
        self._links.pop(link, None)
        self._pending.pop(link, None)
        self.received_bytes -= link.received_bytes_held
        link.received_bytes_held = 0

    def note_received(self, link: Any, held: int) -> None:
        """Note the size of a link's incomplete frame; too much in all closes the largest."""
        self.received_bytes += held - link.received_bytes_held
        link.received_bytes_held = held
        while self.received_bytes > self._limits.received_bytes:
            holding = [it for it in self._links if it.received_bytes_held]
            if len(holding) == 1:
                return
            self.limits_met.note("receive_memory")
            max(holding, key=lambda it: it.received_bytes_held).close()

    def has_room(self, size: int) -> bool:
        """Return whether a frame of `size` bytes may be added to what waits to be written."""
        unsent = sum(link.unsent_bytes for link in self._links)
        return not unsent or unsent + size <= self._limits.unsent_bytes

    def close_slowest(self) -> None:
        """Close the links with most unsent bytes while those of all links are over the bound."""
        unsent = {link: link.unsent_bytes for link in self._links}
        total = sum(unsent.values())
        while total > self._limits.unsent_bytes and len(unsent) > 1:
            slowest = max(unsent, key=unsent.__getitem__)
            total -= unsent.pop(slowest)
            self.limits_met.note("send_memory")
            slowest.close()

    def _find_oldest_pending(self) -> Any:
        most = Counter(link.address for link in self._pending).most_common(1)
        return next((it for it in self._pending if it.address == most[0][0]), None)
