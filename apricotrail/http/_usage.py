"""What the peers of a listener hold of something that is bounded for all of them together."""

from collections.abc import Iterable
from typing import Any, NamedTuple

__all__ = ["Holding", "PeerUsage", "choose_largest"]


class PeerUsage:
    """Amounts by peer address, and the bound on their sum.

    Parameters
    ----------
    limit : int
        Bound on the sum.

    Examples
    --------
    >>> usage = PeerUsage(10)
    >>> usage.change("10.0.0.1", 8)
    >>> usage.change("10.0.0.2", 3)
    >>> usage.is_over(), usage.by_peer
    (True, {'10.0.0.1': 8, '10.0.0.2': 3})
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.total = 0
        self.by_peer: dict[str, int] = {}

    def change(self, peer: str, amount: int) -> None:
        """Add `amount`, which may be negative, to what a peer holds."""
        if not amount:
            return
        self.total += amount
        held = self.by_peer.get(peer, 0) + amount
        if held:
            self.by_peer[peer] = held
        else:
            self.by_peer.pop(peer, None)

    def is_over(self) -> bool:
        """Return whether all peers together hold more than the bound."""
        return self.total > self.limit


class Holding(NamedTuple):
    """What one connection holds.

    Attributes
    ----------
    peer : str
        Address of the other end.
    amount : int
        How much it holds.
    since_ms : float
        Since when.
    connection : object
        The connection.
    """

    peer: str
    amount: int
    since_ms: float
    connection: Any


def choose_largest(usage: PeerUsage, holdings: Iterable[Holding]) -> Any:
    """Return the connection that gives way: the largest, then oldest, of the greediest peer.

    Parameters
    ----------
    usage : PeerUsage
        What all peers hold.
    holdings : iterable of Holding
        Connections that may give way.

    Returns
    -------
    object or None
        The connection, None if there is no holding.

    Examples
    --------
    >>> usage = PeerUsage(10)
    >>> for peer, amount in (("a", 3), ("a", 4), ("b", 5)):
    ...     usage.change(peer, amount)
    >>> holdings = [Holding("a", 3, 1.0, 1), Holding("a", 4, 2.0, 2), Holding("b", 5, 0.0, 3)]
    >>> choose_largest(usage, holdings)
    2
    """

    def rank(holding: Holding) -> tuple[int, int, float]:
        return usage.by_peer.get(holding.peer, 0), holding.amount, -holding.since_ms

    chosen = max(holdings, key=rank, default=None)
    return None if chosen is None else chosen.connection
