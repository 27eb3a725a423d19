"""One client connection: a request at a time, its response read to the last byte."""

import asyncio
from collections.abc import Callable
from select import POLLIN, poll

import h11
from returns.result import Failure, Result, Success

from apricotrail.errors import Problem
from apricotrail.http._messages import Response
from apricotrail.http._problems import (
    broken_response,
    cut_short,
    no_answer,
    no_framing,
    response_too_large,
    unsendable,
)

__all__ = ["ClientConnection"]

NO_BODY_STATUSES = frozenset({204, 304})
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
OCTETS = "application/octet-stream"


class ClientConnection(asyncio.Protocol):
    """One connection to a server.

    Parameters
    ----------
    on_lost : callable
        Called with this connection once it is closed.

    Attributes
    ----------
    idle_since_ms : float
        When the last exchange ended, in milliseconds of the pool's clock.
    """

    def __init__(self, on_lost: Callable[["ClientConnection"], None]) -> None:
        self.idle_since_ms = 0.0
        self._on_lost = on_lost
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Result[Response, Problem]] | None = None
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._max_body_bytes = 0
        self._is_head = False

    # ---- asyncio callbacks ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Read the response; bytes without a request close the connection."""
        if self._answer is None or self._answer.done():
            self.abort()
            return
        self._h11.receive_data(data)
        self._read_events()

    def eof_received(self) -> None:
        """Find out whether the response was whole."""
        if self._answer is not None and not self._answer.done() and self._head is not None:
            self._h11.receive_data(b"")
            self._read_events()

    def connection_lost(self, exc: Exception | None) -> None:
        """End an open exchange without a whole answer."""
        if self._answer is not None and not self._answer.done():
            self._fail(cut_short() if self._head is not None else no_answer())
        self._on_lost(self)

    # ---- use ----

    def is_closed(self) -> bool:
        """Return whether nothing can be sent any more."""
        return self._transport is None or self._transport.is_closing()

    def is_between_exchanges(self) -> bool:
        """Return whether the connection is open and its last exchange ended well, if any."""
        is_idle = self._h11.our_state is h11.IDLE and not self._h11.trailing_data[0]
        return is_idle and not self.is_closed()

    def is_usable(self) -> bool:
        """Return whether a request may be sent: open, between exchanges, nothing received."""
        if not self.is_between_exchanges():
            return False
        readable = poll()
        socket = self._transport.get_extra_info("socket")  # type: ignore[union-attr]
        readable.register(socket.fileno(), POLLIN)
        return not readable.poll(0)

    def send(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes, limit_bytes: int
    ) -> asyncio.Future[Result[Response, Problem]]:
        """Send a request.

        Parameters
        ----------
        method, path : str
            Request line.
        headers : list of (str, str)
            All headers but ``Content-Length``.
        body : bytes
            Whole body.
        limit_bytes : int
            Largest body accepted in the response.

        Returns
        -------
        asyncio.Future
            Will hold the response or a problem.
        """
        self._answer = asyncio.get_running_loop().create_future()
        self._head = None
        self._body = []
        self._body_bytes = 0
        self._max_body_bytes = limit_bytes
        self._is_head = method == "HEAD"
        fields = [*headers, ("Content-Length", str(len(body)))]
        try:
            data = self._h11.send(h11.Request(method=method, target=path, headers=fields)) or b""
        except (h11.LocalProtocolError, ValueError) as error:
            self._fail(unsendable(error))
            return self._answer
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        self._h11.send(h11.EndOfMessage())
        self._transport.write(data)  # type: ignore[union-attr]
        return self._answer

    def expire(self, problem: Problem) -> None:
        """End an open exchange with `problem`, as its time is over."""
        if self._answer is not None and not self._answer.done():
            self._fail(problem)

    def abort(self) -> None:
        """Cut the connection."""
        if self._transport is not None:
            self._transport.abort()

    # ---- reading ----

    def _read_events(self) -> None:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(broken_response(error))
                return
            if type(event) is h11.Response:
                self._begin(event)
            elif type(event) is h11.Data:
                self._add_body(event.data)
            elif type(event) is h11.EndOfMessage:
                self._finish()
                return
            elif type(event) is not h11.InformationalResponse:
                return
            if self._answer.done():  # type: ignore[union-attr]
                return

    def _begin(self, head: h11.Response) -> None:
        self._head = head
        if self._is_head or head.status_code in NO_BODY_STATUSES:
            return
        names = {name for name, _ in head.headers}
        if not names & FRAMING_HEADERS:
            self._fail(no_framing())
            return
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > self._max_body_bytes:
            self._fail(response_too_large(self._max_body_bytes))

    def _add_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            self._fail(response_too_large(self._max_body_bytes))
            return
        self._body.append(bytes(data))

    def _finish(self) -> None:
        head = self._head
        headers = tuple(
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers  # type: ignore[union-attr]
        )
        content_type = next((value for name, value in headers if name == "content-type"), OCTETS)
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        status = head.status_code  # type: ignore[union-attr]
        self._answer.set_result(  # type: ignore[union-attr]
            Success(Response(status, body, content_type, headers))
        )

    def _fail(self, problem: Problem) -> None:
        self._answer.set_result(Failure(problem))  # type: ignore[union-attr]
        self.abort()
