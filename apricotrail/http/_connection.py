"""One server connection: h11 events to requests, responses to bytes, timeouts by phase."""

import asyncio
from collections.abc import Awaitable
from enum import Enum
from typing import Any

import h11

from apricotrail.errors import Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.http._input import ANSWER_UNITS, BYTES_PER_UNIT, RequestInput
from apricotrail.http._messages import Response, problem_response
from apricotrail.http._problems import (
    body_too_large,
    handler_failed,
    headers_too_large,
    late,
    malformed,
    too_busy,
    too_many_bytes,
    too_many_connections,
)
from apricotrail.http._requests import encode_response, find_framing, make_request

__all__ = ["Phase", "ServerConnection"]

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
RETRY_HEADERS = (("Retry-After", "1"),)
WRITE_BYTES = 16_384  # unsent bytes above which no further request is parsed


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
        Owner: handler, limits, clock, counters, and what all its connections hold.

    Attributes
    ----------
    phase : Phase
        What it waits for.
    peer : str
        Address of the other end, without the port.
    since_ms : float
        When the present phase began, on the server's clock.
    unfinished_bytes, pipelined_bytes : int
        Held for the request that isn't answered yet, and for those behind it.
    unsent_bytes : int
        Of answers that the peer hasn't read.
    request_units : int
        What reading the present request has cost, in units of `ReadTurns`.
    """

    def __init__(self, server: Any) -> None:
        self.phase = Phase.IDLE
        self.peer = ""
        self.since_ms = server.clock()
        self.unfinished_bytes = self.pipelined_bytes = self.unsent_bytes = 0
        self.request_units = 0
        self._server = server
        self._limits = server.limits
        self._h11 = h11.Connection(h11.SERVER, server.limits.max_header_bytes)
        self._transport: asyncio.Transport | None = None
        self._address = ""
        self._deadline_ms = self.since_ms + server.limits.idle_timeout_ms
        self._unsent_before = 0
        self._input = RequestInput(self._h11)
        self._head: h11.Request | None = None
        self._running_bytes = 0
        self._running: asyncio.Task | None = None
        self._is_paused = False
        self._closes_after_answer = False
        self._is_blocked = False
        self._peer_closed = False
        self._disconnected = asyncio.get_running_loop().create_future()

    # ---- asyncio callbacks ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; one too many is refused."""
        self._transport = transport  # type: ignore[assignment]
        self._transport.set_write_buffer_limits(WRITE_BYTES)
        host, port = (transport.get_extra_info("peername") or ("unknown", 0))[:2]
        self.peer = host
        self._address = f"{host}:{port}"
        if not self._server.track(self):
            self._refuse(too_many_connections(), STATUS_UNAVAILABLE)

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes of a further request wait for the running one."""
        if self.phase is Phase.LINGERING or self._closes_after_answer:
            return
        self._input.add(data)
        self._server.turns.request_turn(self)
        if self._input.waiting_bytes:
            self._update_held()

    def pause_writing(self) -> None:
        """Parse no further request, as the peer doesn't read its answers."""
        self._is_blocked = True

    def resume_writing(self) -> None:
        """Go on parsing."""
        self._is_blocked = False
        self.note_unsent()
        self._server.turns.request_turn(self)
        self._update_held()

    def eof_received(self) -> bool:
        """Note that the caller sends no more; what came before is still handled and answered."""
        self._peer_closed = True
        self._set_disconnected()
        return self.phase is Phase.RUNNING or self.has_input()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the running handler and the server."""
        self._peer_closed = True
        self._set_disconnected()
        self._drop_input()
        self._running_bytes = 0
        self._update_held()
        self._server.note_unsent(self, 0)
        self._server.release(self)

    # ---- used by HttpServer ----

    def expire(self, now_ms: float) -> None:
        """Act on a passed deadline of the present phase."""
        if self.phase is Phase.RUNNING or now_ms < self._deadline_ms:
            return
        if self._server.turns.is_waiting(self):
            self._refuse(too_busy(), STATUS_UNAVAILABLE)
        elif self.phase is Phase.IDLE:
            self._expire_idle(now_ms)
        elif self.phase is Phase.LINGERING:
            self._expire_lingering(now_ms)
        else:
            self._refuse(late(self.phase.value), STATUS_TIMEOUT)

    def note_unsent(self) -> None:
        """Tell the server how much of the answers the peer hasn't read."""
        unsent = self._transport.get_write_buffer_size()  # type: ignore[union-attr]
        if unsent != self.unsent_bytes:
            self._server.note_unsent(self, unsent)

    def close_idle(self) -> None:
        """Close the connection if no request is under way on it or waits to be parsed."""
        if self.phase is Phase.IDLE and self._transport is not None and not self.has_input():
            self._transport.close()

    def is_unused(self) -> bool:
        """Return whether neither a body is read, a request runs nor an answer is being sent."""
        return self.phase not in (Phase.BODY, Phase.RUNNING) and not self.unsent_bytes

    def abort(self) -> None:
        """Cut the connection and cancel its handler."""
        if self._running is not None:
            self._running.cancel()
        if self._transport is not None:
            self._transport.abort()

    def refuse_unfinished(self) -> None:
        """Refuse the request that is being read, as the listener holds too many bytes."""
        self._refuse(too_many_bytes(), STATUS_UNAVAILABLE)

    def drop_pipelined(self) -> None:
        """Drop what came behind the running request, whose answer is the last one."""
        self._closes_after_answer = True
        self._drop_input()
        self._update_held()

    # ---- reading ----

    def has_input(self) -> bool:
        """Return whether there is input that can be parsed now."""
        if self._is_blocked or self.phase in (Phase.RUNNING, Phase.LINGERING):
            return False
        return self._input.has_more()

    def read(self, units: int) -> int:
        """Parse input for about `units`; return what it cost."""
        spent = 0
        while spent < units and self.has_input():
            spent += self._read_event()
        self.request_units = self.request_units + spent if self.phase is not Phase.IDLE else 0
        self._update_held()
        return spent

    def _read_event(self) -> int:
        """Act on the parser's next event; returns what that cost."""
        try:
            event, cost = self._input.next_event()
        except h11.RemoteProtocolError as error:
            self._refuse_malformed(error)
            return ANSWER_UNITS
        if type(event) is h11.Request:
            self._begin(event)
        elif type(event) is h11.Data:
            if not self._input.add_body(event.data, self._limits.max_body_bytes):
                self._refuse_body()
        elif type(event) is h11.EndOfMessage:
            cost += self._run()
        else:
            self._wait_for_data()
        return cost

    def _wait_for_data(self) -> None:
        if self._peer_closed and not self._input.has_more():
            self._transport.close()  # type: ignore[union-attr]
        elif self.phase is Phase.IDLE and self._h11.trailing_data[0]:
            self._enter(Phase.HEAD, self._limits.header_timeout_ms)

    def _begin(self, head: h11.Request) -> None:
        self._head = head
        framing = find_framing(head)
        if framing is None:
            # RFC 9112, 6.1: another server on the way may have framed the body by the other one.
            message = "The request has both Content-Length and Transfer-Encoding."
            self._refuse(malformed(message), STATUS_BAD_REQUEST)
            return
        if framing > self._limits.max_body_bytes:
            self._refuse_body()
            return
        self._enter(Phase.BODY, self._limits.body_timeout_ms)
        if self._h11.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=STATUS_CONTINUE, headers=[])
            self._transport.write(self._h11.send(go_on))  # type: ignore[union-attr]

    def _run(self) -> int:
        """Call the handler; returns what that cost."""
        self.phase = Phase.RUNNING
        body = self._input.take_body()
        self._running_bytes = len(body)
        units = ANSWER_UNITS + len(body) // BYTES_PER_UNIT
        if not self._head.target.startswith(b"/"):  # type: ignore[union-attr]
            self._refuse(malformed("The request target is not a path."), STATUS_BAD_REQUEST)
            return units
        try:
            charge = self._server.turns.charge
            request = make_request(self._head, body, self._address, self._disconnected, charge)
            answer = self._server.handler(request)
        except Exception as error:
            answer = self._report_failure(error)
        if isinstance(answer, Response):
            self._respond(answer)
            return units
        self._running = asyncio.ensure_future(self._respond_later(answer))
        return units

    # ---- answering ----

    async def _respond_later(self, answer: Awaitable[Response]) -> None:
        try:
            response = await answer
        except Exception as error:
            response = self._report_failure(error)
        self._running = None
        self._respond(response)
        self._server.turns.request_turn(self)
        self._update_held()

    def _report_failure(self, error: Exception) -> Response:
        emit(HANDLER_FAILED, path=self._head.target.decode("ascii"), error=repr(error))
        return problem_response(handler_failed())

    def _respond(self, response: Response) -> None:
        self._server.requests += 1
        self._running_bytes = 0
        self._server.turns.charge(len(response.body) // BYTES_PER_UNIT)
        if self._transport is None or self._transport.is_closing():
            return
        self._write(
            response, self._server.draining or self._peer_closed or self._closes_after_answer
        )
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            self._transport.close()
            self._enter(Phase.LINGERING, self._limits.linger_ms)
            return
        self._h11.start_next_cycle()
        self._server.note_use(self)
        self.request_units = 0
        self._enter(Phase.IDLE, self._limits.idle_timeout_ms)

    def _write(self, response: Response, closing: bool) -> None:
        data = encode_response(self._h11, self._head, response, self._server.date, closing)
        self._transport.write(data)  # type: ignore[union-attr]
        self.note_unsent()

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
        emit(REQUEST_REFUSED, peer=self._address, status=status, message=problem.message)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = RETRY_HEADERS if status == STATUS_UNAVAILABLE else ()
            self._write(problem_response(problem, status, headers), closing=True)
        self._enter(Phase.LINGERING, self._limits.linger_ms)
        self._running_bytes = 0
        self._drop_input()
        self._update_held()
        if self._peer_closed or not self._transport.can_write_eof():  # type: ignore[union-attr]
            self._transport.close()  # type: ignore[union-attr]
            return
        self._transport.write_eof()  # type: ignore[union-attr]

    # ---- internals ----

    def _enter(self, phase: Phase, timeout_ms: float) -> None:
        self.phase = phase
        self.since_ms = self._server.clock()
        self._deadline_ms = self.since_ms + timeout_ms

    def _drop_input(self) -> None:
        self._server.turns.cancel(self)
        self._input.drop()

    def _update_held(self) -> None:
        """Tell the server what this connection holds, and pause reading while input waits."""
        waiting = self._input.waiting_bytes
        if self.phase is Phase.RUNNING:
            self._server.note_held(self, self._running_bytes, waiting)
        else:
            self._server.note_held(self, self._input.parsed_bytes + waiting, 0)
        must_pause = waiting > self._limits.max_header_bytes
        if must_pause == self._is_paused or self._transport is None:
            return
        self._is_paused = must_pause
        if must_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _expire_idle(self, now_ms: float) -> None:
        if self.unsent_bytes == 0:
            self._transport.close()  # type: ignore[union-attr]
        elif self.unsent_bytes == self._unsent_before:
            self.abort()
        self._unsent_before = self.unsent_bytes
        self._deadline_ms = now_ms + self._limits.idle_timeout_ms

    def _expire_lingering(self, now_ms: float) -> None:
        """Cut the connection, unless its peer still reads the last answer."""
        if not self.unsent_bytes or self.unsent_bytes == self._unsent_before:
            self.abort()
        self._unsent_before = self.unsent_bytes
        self._deadline_ms = now_ms + self._limits.linger_ms

    def _set_disconnected(self) -> None:
        if not self._disconnected.done():
            self._disconnected.set_result(None)
