"""One client connection: a request at a time, its response read to the last byte."""

import asyncio
from collections.abc import Callable
from functools import lru_cache
from select import POLLIN, poll
from typing import NamedTuple

import h11
from returns.result import Failure, Result, Success

from apricotrail.errors import Problem
from apricotrail.http._messages import Response
from apricotrail.http._plain import read_plain_response
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
MAX_HEADS = 256


class _Head(NamedTuple):
    """Head of a request, and its bytes."""

    request: h11.Request
    data: bytes


@lru_cache(MAX_HEADS)
def _make_head(
    method: str, path: str, headers: tuple[tuple[str, str], ...], body_bytes: int
) -> _Head:
    """Return the head of a request, which h11 checks; the same ones are sent again and again."""
    fields = [*headers, ("Content-Length", str(body_bytes))]
    request = h11.Request(method=method, target=path, headers=fields)
    return _Head(request, h11.Connection(h11.CLIENT).send(request) or b"")


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
        self._h11: h11.Connection | None = None
        self._sent: tuple[h11.Request, bytes] | None = None
        self._is_reusable = True
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
        if self._h11 is None:
            plain = None if self._is_head else read_plain_response(data, self._max_body_bytes)
            if plain is not None:
                self._is_reusable = True
                self._set_response(*plain)
                return
            self._h11 = self._make_parser()
        self._h11.receive_data(data)
        self._read_events()

    def eof_received(self) -> None:
        """Find out whether the response was whole."""
        if self._h11 is not None and not self._answer.done() and self._head is not None:
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
        return not self.is_closed() and self._is_reusable

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
        self._is_reusable = False
        self._h11 = None
        try:
            head = _make_head(method, path, tuple(headers), len(body))
        except (h11.LocalProtocolError, ValueError) as error:
            self._fail(unsendable(error))
            return self._answer
        self._sent = (head.request, body)
        self._transport.write(head.data + body)  # type: ignore[union-attr]
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

    def _make_parser(self) -> h11.Connection:
        """Return a parser for the response to the request that was sent."""
        parser = h11.Connection(h11.CLIENT)
        request, body = self._sent  # type: ignore[misc]
        parser.send(request)
        if body:
            parser.send(h11.Data(data=body))
        parser.send(h11.EndOfMessage())
        return parser

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
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        parser = self._h11
        is_over = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        self._is_reusable = is_over and not parser.trailing_data[0]
        self._set_response(head.status_code, headers, body)  # type: ignore[union-attr]

    def _set_response(self, status: int, headers: tuple[tuple[str, str], ...], body: bytes) -> None:
        self._h11 = self._sent = None
        content_type = next((value for name, value in headers if name == "content-type"), OCTETS)
        self._answer.set_result(  # type: ignore[union-attr]
            Success(Response(status, body, content_type, headers))
        )

    def _fail(self, problem: Problem) -> None:
        self._answer.set_result(Failure(problem))  # type: ignore[union-attr]
        self.abort()
