"""Orders of operators that carry no version: how an old one is told from the newest.

A caller that gets no answer within `CALLER_PATIENCE_MS` sends its order to another replica, and may
give the contrary order next. An order that waited somewhere for longer must not be carried out:

===================================  ===============================================================
where an order waits                 why it is not carried out late
===================================  ===============================================================
in the socket of a replica that      after a pause of more than `MAX_TICK_GAP_MS` a replica refuses
pauses                               orders for `UNSETTLED_MS`; a connection is accepted in one pass
                                     of the loop and read in the next, so an order is read at most
                                     two such gaps after it came
in a network that holds packets      the end of the connection comes with the order: it is looked
back                                 for `SETTLE_MS` after the order was read
in a replica that tries to reach     no try begins later than `ORDER_TRY_MS` after the order was
the leader                           read, and none once its caller has left
on the way to the leader, and there  each try names the last log entry that its replica had applied;
                                     the leader refuses it if an order on the same thing was logged
                                     after that entry, or another leader may have logged one
===================================  ===============================================================

An order that is in the log is older than all that are logged, and so acknowledged, after it.
"""

from collections.abc import Callable
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.wire.generated.ttypes import Command

__all__ = [
    "CALLER_PATIENCE_MS",
    "MAX_TICK_GAP_MS",
    "ORDER_ANSWER_MS",
    "ORDER_TRY_MS",
    "SETTLE_MS",
    "UNSETTLED_MS",
    "OrderLog",
    "PauseWatch",
    "PendingOrder",
    "find_order_key",
]

CALLER_PATIENCE_MS = 1_000.0
"""Shortest time for which a caller waits for the answer to an order."""

MAX_TICK_GAP_MS = 250.0
"""Time between two ticks of a replica above which it counts as paused."""

SETTLE_MS = 20.0
"""Time after which the end of a connection is read that came with an order."""

UNSETTLED_MS = 1_000.0
"""Time after a pause within which what is read may have come before it ended."""

ORDER_TRY_MS = 400.0
"""Time after an order was read within which it is sent to the leader."""

ORDER_ANSWER_MS = 950.0
"""Time after an order was read within which it is answered."""

MAX_ORDER_KEYS = 4_096


class PendingOrder(NamedTuple):
    """An order that a caller waits for.

    Attributes
    ----------
    is_wanted : callable
        Returns whether its caller is still there.
    """

    is_wanted: Callable[[], bool]


class PauseWatch:
    """Notices that this process was paused, so that what it reads may be old.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds that counts suspended time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._active_ms = clock()
        self._settled_ms = self._active_ms

    def is_settled(self) -> bool:
        """Note that the process is active; return whether it had no pause for `UNSETTLED_MS`."""
        now_ms = self._clock()
        gap_ms, self._active_ms = now_ms - self._active_ms, now_ms
        if gap_ms > MAX_TICK_GAP_MS:
            self._settled_ms = now_ms + UNSETTLED_MS
        return now_ms >= self._settled_ms


class OrderLog:
    """Log index of the last order on each thing, as far as the leader of a term has logged it."""

    def __init__(self) -> None:
        self._term = 0
        self._lowest_index = 0
        self._indexes: dict[str, int] = {}

    def is_stale(self, key: str, based_on: int, term: int, term_start_index: int) -> bool:
        """Return whether an order that was based on an index may be older than a logged one.

        Parameters
        ----------
        key : str
            What the order is on, from `find_order_key`.
        based_on : int
            Index of the last entry that was applied where the order came to.
        term, term_start_index : int
            Term of this leader and index of its first entry; former leaders logged what is before.
        """
        self._start_term(term, term_start_index)
        return based_on < self._indexes.get(key, self._lowest_index)

    def add(self, key: str, index: int, term: int, term_start_index: int) -> None:
        """Record the index at which an order was logged."""
        self._start_term(term, term_start_index)
        if key not in self._indexes and len(self._indexes) >= MAX_ORDER_KEYS:
            self._indexes.clear()
            self._lowest_index = index
        self._indexes[key] = index

    def _start_term(self, term: int, term_start_index: int) -> None:
        if term != self._term:
            self._term, self._lowest_index = term, term_start_index
            self._indexes.clear()


def find_order_key(command: Command) -> str:
    """Return what an order without a version is on; empty for other commands."""
    if command.set_zone_state is not None:
        return f"zone/{command.set_zone_state.zone}"
    if command.set_target_state is not None:
        return f"target/{command.set_target_state.target}"
    return ""
