"""The listening side: open connections, their timeouts, draining and stop."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from email.utils import formatdate

from apricotrail.clocks import Clock, monotonic_ms
from apricotrail.http._connection import Phase, ServerConnection
from apricotrail.http._limits import ServerLimits
from apricotrail.http._listener import Listener
from apricotrail.http._messages import Request, Response
from apricotrail.http._turns import ReadTurns
from apricotrail.http._usage import Holding, PeerUsage, choose_largest
from apricotrail.pauses import find_pause_s
from apricotrail.resources import LimitCounts

__all__ = ["HttpServer"]

MAX_SWEEP_MS = 400
MIN_SWEEP_MS = 5
SWEEPS_PER_TIMEOUT = 4

Handler = Callable[[Request], Response | Awaitable[Response]]


class HttpServer:
    """HTTP/1.1 server (RFC 9112) for whole requests and whole responses.

    Parameters
    ----------
    handler : callable
        Gets a `Request` and returns a `Response`, directly or as an awaitable.
    limits : ServerLimits
        Bounds on what callers can send and hold.
    clock : Clock
        Monotonic time in milliseconds.
    on_limit : callable
        ``on_limit(name)`` is called each time that clients meet a limit of the listener.

    Attributes
    ----------
    request_bytes, pipelined_bytes : PeerUsage
        Held for requests that aren't answered yet, and for those behind running ones.
    answer_bytes : PeerUsage
        Held for answers that peers haven't read.
    turns : ReadTurns
        Which connection may parse what it received.
    draining : bool
        Whether responses ask callers to close their connections.
    requests : int
        Requests answered.
    refused : int
        Requests and connections refused by the server itself.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        clock: Clock = monotonic_ms,
        on_limit: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.clock = clock
        self.draining = False
        self.requests = 0
        self.refused = 0
        self.date = formatdate(usegmt=True).encode()
        self.request_bytes = PeerUsage(self.limits.request_bytes)
        self.pipelined_bytes = PeerUsage(self.limits.pipelined_bytes)
        self.answer_bytes = PeerUsage(self.limits.answer_bytes)
        self.turns = ReadTurns(clock, self.limits.read_time_share)
        self._limits_met = LimitCounts(self.limits.listener)
        self._limits_met.on_limit = on_limit
        self._is_shedding = self._is_cutting = False
        self._connections: set[ServerConnection] = set()
        # By peer, those that have been of no use for longest first.
        self._by_peer: dict[str, dict[ServerConnection, None]] = {}
        self._listener = Listener(lambda: ServerConnection(self))
        self._sweeper: asyncio.TimerHandle | None = None
        self._emptied = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def listen(self, host: str, port: int) -> str:
        """Accept connections.

        Parameters
        ----------
        host : str
            IP number to bind.
        port : int
            Port, 0 for any free one.

        Returns
        -------
        str
            Address as ``host:port``.
        """
        address = self._listener.listen(host, port)
        self._schedule_sweep()
        return address

    def begin_draining(self) -> None:
        """Ask every caller to close: responses carry ``Connection: close`` from now on."""
        self.draining = True

    def close_idle(self) -> None:
        """Close every connection without a request, so that callers open new ones elsewhere."""
        for connection in list(self._connections):
            connection.close_idle()

    async def stop(self, deadline_ms: float) -> None:
        """Stop accepting, wait for running requests, then close what is left.

        Connections without a request get `ServerLimits.last_request_ms` for one that is on its way.

        Parameters
        ----------
        deadline_ms : float
            Time to wait in milliseconds.
        """
        self.begin_draining()
        await self._listener.close()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._finish_requests()
        except TimeoutError:
            for connection in list(self._connections):
                connection.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()

    # ---- used by ServerConnection ----

    def track(self, connection: ServerConnection) -> bool:
        """Count a new connection; another one may give way to it. Returns False if it is too many.

        Of the peer with most connections, that gives way which has been of no use for longest.
        """
        self._connections.add(connection)
        own = self._by_peer.setdefault(connection.peer, {})
        own[connection] = None
        while len(own) > self.limits.max_peer_connections:
            if not self._evict(own, connection, "peer_connections"):
                return False
        while len(self._connections) > self.limits.max_connections:
            most = max(self._by_peer.values(), key=len)
            if not self._evict(most, connection, "connections"):
                return False
        return True

    def note_use(self, connection: ServerConnection) -> None:
        """Note that a request was answered on a connection."""
        own = self._by_peer.get(connection.peer, {})
        if connection in own:
            own[connection] = own.pop(connection)

    def release(self, connection: ServerConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)
        own = self._by_peer.get(connection.peer, {})
        own.pop(connection, None)
        if not own:
            self._by_peer.pop(connection.peer, None)
        if not self._connections:
            self._emptied.set()

    def note_held(self, connection: ServerConnection, unfinished: int, pipelined: int) -> None:
        """Note how many bytes a connection holds now; too many in all make the largest give way."""
        if (unfinished, pipelined) == (connection.unfinished_bytes, connection.pipelined_bytes):
            return
        self.request_bytes.change(connection.peer, unfinished - connection.unfinished_bytes)
        self.pipelined_bytes.change(connection.peer, pipelined - connection.pipelined_bytes)
        connection.unfinished_bytes = unfinished
        connection.pipelined_bytes = pipelined
        if not self._is_shedding:
            self._is_shedding = True
            self._shed_bytes()
            self._is_shedding = False

    def note_unsent(self, connection: ServerConnection, unsent: int) -> None:
        """Note what a peer hasn't read; too much in all cuts the connection that holds most."""
        self.answer_bytes.change(connection.peer, unsent - connection.unsent_bytes)
        connection.unsent_bytes = unsent
        if not self.answer_bytes.is_over() or self._is_cutting:
            return
        self._is_cutting = True
        self._refresh_unsent()
        self._cut_unread()
        self._is_cutting = False

    # ---- internals ----

    def _evict(
        self, connections: dict[ServerConnection, None], newcomer: ServerConnection, limit: str
    ) -> bool:
        """Cut the first of `connections` that waits for a request, or else for the rest of one."""
        self._limits_met.note(limit)
        chosen = next((it for it in connections if it is not newcomer and it.is_unused()), None)
        if chosen is None:
            reading = (it for it in connections if it.phase is Phase.BODY)
            chosen = next(reading, None)
        if chosen is None:
            return False
        self.release(chosen)
        chosen.abort()
        return True

    def _refresh_unsent(self) -> None:
        for connection in self._connections:
            if connection.unsent_bytes:
                connection.note_unsent()

    def _cut_unread(self) -> None:
        """Cut the largest until the bound holds; a single answer may be larger than the bound."""
        while self.answer_bytes.is_over():
            unread = [it for it in self._connections if it.unsent_bytes]
            if len(unread) == 1:
                break
            largest = choose_largest(
                self.answer_bytes,
                (Holding(it.peer, it.unsent_bytes, it.since_ms, it) for it in unread),
            )
            self._limits_met.note("answer_memory")
            self.note_unsent(largest, 0)
            largest.abort()

    def _shed_bytes(self) -> None:
        while self.request_bytes.is_over():
            largest = choose_largest(
                self.request_bytes,
                (
                    Holding(it.peer, it.unfinished_bytes, it.since_ms, it)
                    for it in self._connections
                    if it.unfinished_bytes and it.phase is not Phase.RUNNING
                ),
            )
            if largest is None:
                break
            self._limits_met.note("request_memory")
            largest.refuse_unfinished()
        while self.pipelined_bytes.is_over():
            self._limits_met.note("pipelined_memory")
            choose_largest(
                self.pipelined_bytes,
                (
                    Holding(it.peer, it.pipelined_bytes, it.since_ms, it)
                    for it in self._connections
                    if it.pipelined_bytes
                ),
            ).drop_pipelined()

    async def _finish_requests(self) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(self.limits.last_request_ms / 1000):
                await self._wait_until_empty()
        self.close_idle()
        await self._wait_until_empty()

    async def _wait_until_empty(self) -> None:
        while self._connections:
            self._emptied.clear()
            await self._emptied.wait()

    def _schedule_sweep(self) -> None:
        limits = self.limits
        shortest_ms = min(
            limits.header_timeout_ms,
            limits.body_timeout_ms,
            limits.idle_timeout_ms,
            limits.linger_ms,
        )
        pause_ms = min(MAX_SWEEP_MS, max(MIN_SWEEP_MS, shortest_ms / SWEEPS_PER_TIMEOUT))
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(find_pause_s(pause_ms, loop.time()), self._sweep)

    def _sweep(self) -> None:
        self._schedule_sweep()
        self.date = formatdate(usegmt=True).encode()
        self._limits_met.log()
        self._refresh_unsent()
        now_ms = self.clock()
        for connection in list(self._connections):
            connection.expire(now_ms)
