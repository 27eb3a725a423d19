"""The client's connections to one address: bounded, reused newest first."""

import asyncio
from collections import deque

from apricotrail.clocks import Clock
from apricotrail.http._exchange import ClientConnection
from apricotrail.http._limits import ClientLimits

__all__ = ["ConnectionPool"]


class ConnectionPool:
    """Connections to one address.

    Parameters
    ----------
    host, port : str, int
        Where to connect.
    limits : ClientLimits
        Bound on connections, connect and idle time.
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, host: str, port: int, limits: ClientLimits, clock: Clock) -> None:
        self._host = host
        self._port = port
        self._limits = limits
        self._clock = clock
        self._open: set[ClientConnection] = set()
        self._opening = 0
        self._idle: list[ClientConnection] = []
        self._waiting: deque[asyncio.Future[None]] = deque()

    def is_empty(self) -> bool:
        """Return whether nothing is open, being opened or waiting."""
        return not self._open and not self._opening and not self._waiting

    async def take(self) -> ClientConnection:
        """Return a usable connection, opening one or waiting for one as needed.

        Raises
        ------
        OSError, TimeoutError
            If no connection could be opened.
        """
        while True:
            connection = self.take_idle()
            if connection is not None:
                return connection
            if len(self._open) + self._opening < self._limits.connections:
                return await self._connect()
            await self._wait_for_one()

    def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection for reuse, or cut it if its exchange did not end well."""
        if connection.is_between_exchanges():
            connection.idle_since_ms = self._clock()
            self._idle.append(connection)
            self._wake_one()
        else:
            self.discard(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Cut a connection."""
        connection.abort()
        self.forget(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Drop a closed connection."""
        if connection not in self._open:
            return
        self._open.remove(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._wake_one()

    def close(self) -> None:
        """Cut every connection."""
        for connection in list(self._open):
            self.discard(connection)

    def take_idle(self) -> ClientConnection | None:
        """Return a usable connection that is open already, None if there is none."""
        while self._idle:
            connection = self._idle.pop()
            idle_ms = self._clock() - connection.idle_since_ms
            if idle_ms <= self._limits.idle_ms and connection.is_usable():
                return connection
            self.discard(connection)
        return None

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        factory = lambda: ClientConnection(self.forget)  # noqa: E731
        self._opening += 1
        try:
            async with asyncio.timeout(self._limits.connect_ms / 1000):
                _, connection = await loop.create_connection(factory, self._host, self._port)
        except BaseException:
            self._opening -= 1
            self._wake_one()
            raise
        self._opening -= 1
        if connection.is_closed():
            self._wake_one()
            raise ConnectionResetError("the connection was closed as soon as it was open")
        self._open.add(connection)
        return connection

    async def _wait_for_one(self) -> None:
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._waiting:
                self._waiting.remove(turn)
            elif not turn.cancelled():
                self._wake_one()
            raise

    def _wake_one(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
