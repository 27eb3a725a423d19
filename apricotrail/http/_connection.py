"""One server connection: h11 events to requests, responses to bytes, timeouts by phase."""

import asyncio
from collections.abc import Awaitable
from enum import Enum
from typing import Any
from urllib.parse import parse_qsl

import h11

from apricotrail.errors import Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.http._messages import Request, Response, problem_response
from apricotrail.http._problems import (
    body_too_large,
    handler_failed,
    headers_too_large,
    late,
    malformed,
    too_many_connections,
)

__all__ = ["ServerConnection"]

REQUEST_REFUSED = declare_event(
    1501, "request_refused", Level.DEBUG, "The HTTP server refused a request before its handler."
)
HANDLER_FAILED = declare_event(
    1502, "http_handler_failed", Level.ERROR, "A request's handler raised an exception."
)

STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_HEADERS_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
STATUS_CONTINUE = 100
NO_BODY_STATUSES = frozenset({204, 304})
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class Phase(Enum):
    """What a connection is waiting for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RUNNING = "running"
    LINGERING = "lingering"


class ServerConnection(asyncio.Protocol):
    """One caller's connection.

    Parameters
    ----------
    server : HttpServer
        Owner: handler, limits, clock and counters.
    """

    def __init__(self, server: Any) -> None:
        self._server = server
        self._limits = server.limits
        self._h11 = h11.Connection(h11.SERVER, server.limits.max_header_bytes)
        self._transport: asyncio.Transport | None = None
        self._peer = ""
        self._phase = Phase.IDLE
        self._deadline_ms = server.clock() + server.limits.idle_timeout_ms
        self._unsent_bytes = 0
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._waiting_bytes = 0
        self._running: asyncio.Task | None = None
        self._peer_closed = False
        self._disconnected = asyncio.get_running_loop().create_future()

    # ---- asyncio callbacks ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; one too many is refused."""
        self._transport = transport  # type: ignore[assignment]
        host, port = (transport.get_extra_info("peername") or ("unknown", 0))[:2]
        self._peer = f"{host}:{port}"
        if not self._server.track(self):
            self._refuse(too_many_connections(), STATUS_UNAVAILABLE)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes of a further request wait for the running one."""
        if self._phase is Phase.LINGERING:
            return
        self._h11.receive_data(data)
        if self._phase is not Phase.RUNNING:
            self._read_events()
            return
        self._waiting_bytes += len(data)
        if self._waiting_bytes > self._limits.max_header_bytes:
            self._transport.pause_reading()  # type: ignore[union-attr]

    def eof_received(self) -> bool:
        """Note that the caller sends no more; a running request is still answered."""
        self._peer_closed = True
        self._set_disconnected()
        return self._phase is Phase.RUNNING

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the running handler and the server."""
        self._peer_closed = True
        self._set_disconnected()
        self._server.release(self)

    # ---- used by HttpServer ----

    def expire(self, now_ms: float) -> None:
        """Act on a passed deadline of the present phase."""
        if self._phase is Phase.RUNNING or now_ms < self._deadline_ms:
            return
        if self._phase is Phase.IDLE:
            self._expire_idle(now_ms)
        elif self._phase is Phase.LINGERING:
            self.abort()
        else:
            self._refuse(late(self._phase.value), STATUS_TIMEOUT)

    def close_idle(self) -> None:
        """Close the connection if no request is under way on it."""
        if self._phase is Phase.IDLE and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Cut the connection and cancel its handler."""
        if self._running is not None:
            self._running.cancel()
        if self._transport is not None:
            self._transport.abort()

    # ---- reading ----

    def _read_events(self) -> None:
        while self._phase is not Phase.RUNNING and self._phase is not Phase.LINGERING:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse_malformed(error)
                return
            if type(event) is h11.Request:
                self._begin(event)
            elif type(event) is h11.Data:
                self._add_body(event.data)
            elif type(event) is h11.EndOfMessage:
                self._run()
                if self._phase is Phase.IDLE and not self._h11.trailing_data[0]:
                    return
            else:
                self._wait_for_data()
                return

    def _wait_for_data(self) -> None:
        if self._phase is Phase.IDLE and self._h11.trailing_data[0]:
            self._enter(Phase.HEAD, self._limits.header_timeout_ms)

    def _begin(self, head: h11.Request) -> None:
        self._head = head
        self._body = []
        self._body_bytes = 0
        names = {name for name, _ in head.headers}
        if names >= FRAMING_HEADERS:
            # RFC 9112, 6.1: another server on the way may have framed the body by the other one.
            message = "The request has both Content-Length and Transfer-Encoding."
            self._refuse(malformed(message), STATUS_BAD_REQUEST)
            return
        length = next((value for name, value in head.headers if name == b"content-length"), b"0")
        if int(length) > self._limits.max_body_bytes:
            self._refuse_body()
            return
        self._enter(Phase.BODY, self._limits.body_timeout_ms)
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=STATUS_CONTINUE, headers=[])
            self._transport.write(self._h11.send(go_on))  # type: ignore[union-attr]

    def _add_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refuse_body()
            return
        self._body.append(bytes(data))

    def _run(self) -> None:
        self._phase = Phase.RUNNING
        self._waiting_bytes = 0
        target = self._head.target.decode("ascii")  # type: ignore[union-attr]
        if not target.startswith("/"):
            self._refuse(malformed("The request target is not a path."), STATUS_BAD_REQUEST)
            return
        try:
            answer = self._server.handler(self._make_request(target))
        except Exception as error:
            self._respond(self._report_failure(error))
            return
        if isinstance(answer, Response):
            self._respond(answer)
        else:
            self._running = asyncio.ensure_future(self._respond_later(answer))

    def _make_request(self, target: str) -> Request:
        head = self._head
        headers: dict[str, str] = {}
        for name, value in head.headers:  # type: ignore[union-attr]
            key, text = name.decode("ascii"), value.decode("latin-1")
            headers[key] = f"{headers[key]}, {text}" if key in headers else text
        path, _, query = target.partition("?")
        parameters = dict(parse_qsl(query, keep_blank_values=True)) if query else {}
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        method = head.method.decode("ascii")  # type: ignore[union-attr]
        return Request(method, path, parameters, headers, body, self._peer, self._disconnected)

    # ---- answering ----

    async def _respond_later(self, answer: Awaitable[Response]) -> None:
        try:
            response = await answer
        except Exception as error:
            response = self._report_failure(error)
        self._running = None
        self._respond(response)
        self._read_events()

    def _report_failure(self, error: Exception) -> Response:
        emit(HANDLER_FAILED, path=self._head.target.decode("ascii"), error=repr(error))
        return problem_response(handler_failed())

    def _respond(self, response: Response) -> None:
        self._server.requests += 1
        if self._transport is None or self._transport.is_closing():
            return
        self._write(response, self._server.draining or self._peer_closed)
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self._transport.close()
            self._enter(Phase.LINGERING, self._limits.linger_ms)
            return
        self._h11.start_next_cycle()
        self._enter(Phase.IDLE, self._limits.idle_timeout_ms)
        if self._waiting_bytes > self._limits.max_header_bytes:
            self._transport.resume_reading()

    def _write(self, response: Response, closing: bool) -> None:
        headers = [
            (b"Date", self._server.date),
            (b"Content-Type", response.content_type.encode("ascii")),
        ]
        if response.status not in NO_BODY_STATUSES:
            headers.append((b"Content-Length", b"%d" % len(response.body)))
        headers += [(name.encode(), value.encode("latin-1")) for name, value in response.headers]
        if closing:
            headers.append((b"Connection", b"close"))
        send = self._h11.send
        data = send(h11.Response(status_code=response.status, headers=headers)) or b""
        is_head = self._head is not None and self._head.method == b"HEAD"
        if response.body and not is_head and response.status not in NO_BODY_STATUSES:
            data += send(h11.Data(data=response.body)) or b""
        data += send(h11.EndOfMessage()) or b""
        self._transport.write(data)  # type: ignore[union-attr]

    # ---- refusing ----

    def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if error.error_status_hint == STATUS_HEADERS_TOO_LARGE:
            problem = headers_too_large(self._limits.max_header_bytes)
            self._refuse(problem, STATUS_HEADERS_TOO_LARGE)
            return
        self._refuse(malformed(f"The request is malformed: {error}."), STATUS_BAD_REQUEST)

    def _refuse_body(self) -> None:
        self._refuse(body_too_large(self._limits.max_body_bytes), STATUS_TOO_LARGE)

    def _refuse(self, problem: Problem, status: int) -> None:
        self._server.refused += 1
        emit(REQUEST_REFUSED, peer=self._peer, status=status, message=problem.message)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write(problem_response(problem, status), closing=True)
        self._enter(Phase.LINGERING, self._limits.linger_ms)
        if self._peer_closed or not self._transport.can_write_eof():  # type: ignore[union-attr]
            self._transport.close()  # type: ignore[union-attr]
            return
        self._transport.write_eof()  # type: ignore[union-attr]

    # ---- internals ----

    def _enter(self, phase: Phase, timeout_ms: float) -> None:
        self._phase = phase
        self._deadline_ms = self._server.clock() + timeout_ms

    def _expire_idle(self, now_ms: float) -> None:
        unsent_bytes = self._transport.get_write_buffer_size()  # type: ignore[union-attr]
        if unsent_bytes == 0:
            self._transport.close()  # type: ignore[union-attr]
        elif unsent_bytes == self._unsent_bytes:
            self.abort()
        self._unsent_bytes = unsent_bytes
        self._deadline_ms = now_ms + self._limits.idle_timeout_ms

    def _set_disconnected(self) -> None:
        if not self._disconnected.done():
            self._disconnected.set_result(None)
