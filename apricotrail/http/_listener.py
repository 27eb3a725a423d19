"""A listening socket that can be closed without losing a connection.

`asyncio.Server.close` drops connections that were accepted in the same loop tick and resets those
that the kernel still queues; both may carry a request. This one serves them first.
"""

import asyncio
import socket
from collections.abc import Callable

from apricotrail.events import Level, declare_event, emit

__all__ = ["Listener"]

BACKLOG = 1_024
ACCEPTS_PER_TICK = 16  # those over a limit are open until the next tick
ACCEPT_PAUSE_MS = 100

ACCEPT_FAILED = declare_event(
    1503,
    "accept_failed",
    Level.ERROR,
    "A connection could not be accepted, often for want of file descriptors; it is tried again.",
)


class Listener:
    """Accepts connections for a protocol.

    Parameters
    ----------
    make_protocol : callable
        Makes the asyncio protocol of one connection.
    """

    def __init__(self, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        self._make_protocol = make_protocol
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task] = set()
        self._resume: asyncio.TimerHandle | None = None

    def listen(self, host: str, port: int) -> str:
        """Accept connections at an IP number and port, 0 for any free one; returns the address.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._watch()
        return f"{host}:{self._socket.getsockname()[1]}"

    async def close(self) -> None:
        """Accept what the kernel has queued, then nothing more."""
        if self._socket is None:
            return
        self._unwatch()
        while self._accept_some():
            pass
        self._socket.close()
        self._socket = None
        await asyncio.gather(*self._opening)

    def _watch(self) -> None:
        self._resume = None
        asyncio.get_running_loop().add_reader(self._socket, self._accept_some)

    def _unwatch(self) -> None:
        asyncio.get_running_loop().remove_reader(self._socket)
        if self._resume is not None:
            self._resume.cancel()

    def _accept_some(self) -> bool:
        """Accept a bounded number of connections; returns whether there may be more."""
        for _ in range(ACCEPTS_PER_TICK):
            try:
                connection, _ = self._socket.accept()  # type: ignore[union-attr]
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as error:
                emit(ACCEPT_FAILED, error=repr(error))
                self._pause()
                return False
            task = asyncio.ensure_future(self._open(connection))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        return True

    def _pause(self) -> None:
        self._unwatch()
        loop = asyncio.get_running_loop()
        self._resume = loop.call_later(ACCEPT_PAUSE_MS / 1000, self._watch)

    async def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        try:
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError:
            connection.close()
