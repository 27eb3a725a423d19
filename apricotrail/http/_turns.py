"""Shares the time of the event loop between connections whose input takes long to parse.

A few bytes can cost much: a chunk of two bytes takes as long to parse as one of two thousand. What
parsing costs is counted in units, and a listener spends only so many of them at once and in a
second. Ordinary requests are parsed as they come. What is left over waits: peers take turns, and of
one peer the connection whose request has cost least goes first (least attained service), so that
new requests don't wait behind costly ones.
"""

import asyncio
from collections import OrderedDict
from heapq import heappop, heappush
from itertools import count
from typing import Protocol

from apricotrail.clocks import Clock

__all__ = ["QUANTUM_UNITS", "ReadTurns", "Reader"]

UNITS_PER_MS = 40.0  # about as many as fill the loop's time
BURST_UNITS = 400.0  # allowance after a time without requests
QUANTUM_UNITS = 64  # for one connection before others have their turn
MS_PER_S = 1_000


class Reader(Protocol):
    """A connection with input to parse.

    Attributes
    ----------
    peer : str
        Address of the other end.
    request_units : int
        What its present request has cost.
    """

    peer: str
    request_units: int

    def read(self, units: int) -> int:
        """Parse input for about `units`; return what it cost."""

    def has_input(self) -> bool:
        """Return whether there is input that can be parsed now."""


class ReadTurns:
    """Turns of the connections of one listener.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    share : float
        Share of the loop's time.
    """

    def __init__(self, clock: Clock, share: float) -> None:
        self._clock = clock
        self._units_per_ms = UNITS_PER_MS * share
        self._allowance = BURST_UNITS
        self._counted_ms = clock()
        self._order = count()
        self._waiting: set[Reader] = set()
        # By peer, the one whose turn is next first; entries of readers that left stay for a while.
        self._peers: OrderedDict[str, list[tuple[int, int, Reader]]] = OrderedDict()
        self._timer: asyncio.TimerHandle | None = None

    def request_turn(self, reader: Reader) -> None:
        """Let a connection with new input parse it now, or wait for its turn."""
        if reader in self._waiting or not reader.has_input():
            return
        if not self._waiting and self._count_allowance() > 0:
            self._let_read(reader)
        else:
            self._add(reader)

    def charge(self, units: int) -> None:
        """Count the cost of work that a request caused besides parsing it."""
        self._allowance -= units

    def cancel(self, reader: Reader) -> None:
        """Forget a connection that has nothing to parse any more."""
        self._waiting.discard(reader)
        if not self._waiting:
            self._peers.clear()

    def is_waiting(self, reader: Reader) -> bool:
        """Return whether a connection waits for its turn."""
        return reader in self._waiting

    def run(self) -> None:
        """Let connections that wait have their turns, as far as the allowance goes."""
        self._timer = None
        while self._waiting and self._count_allowance() > 0:
            reader = self._pop_next()
            self._waiting.discard(reader)
            self._let_read(reader)
        self._schedule()

    def _let_read(self, reader: Reader) -> None:
        spent = reader.read(QUANTUM_UNITS)  # may also charge for further work
        self._allowance -= spent
        if reader.has_input():
            self._add(reader)

    def _add(self, reader: Reader) -> None:
        self._waiting.add(reader)
        entry = (reader.request_units, next(self._order), reader)
        heappush(self._peers.setdefault(reader.peer, []), entry)
        self._schedule()

    def _pop_next(self) -> Reader:
        """Return the next connection; only called while one is waiting."""
        while True:
            peer, readers = self._peers.popitem(last=False)
            reader = heappop(readers)[2]
            if readers:
                self._peers[peer] = readers
            if reader in self._waiting:
                return reader

    def _count_allowance(self) -> float:
        now_ms = self._clock()
        gained = (now_ms - self._counted_ms) * self._units_per_ms
        self._counted_ms = now_ms
        self._allowance = min(BURST_UNITS, self._allowance + gained)
        return self._allowance

    def _schedule(self) -> None:
        if self._timer is not None or not self._waiting:
            return
        pause_ms = max(0.0, QUANTUM_UNITS - self._allowance) / self._units_per_ms
        self._timer = asyncio.get_running_loop().call_later(pause_ms / MS_PER_S, self.run)
