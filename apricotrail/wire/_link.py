"""One link between two processes: handshake, calls, heartbeats in both directions."""

import asyncio
from collections.abc import Callable
from os import urandom
from typing import Any

from returns.result import Failure, Result, Success

from apricotrail.clocks import Clock
from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.settings import declare_constraint, declare_setting
from apricotrail.wire._codec import Frame, FrameReader, WireError, encode_frame
from apricotrail.wire._keys import NONCE_BYTES, KeyRing
from apricotrail.wire.generated.ttypes import Heartbeat, Hello, Identity, Proof

__all__ = [
    "HEARTBEAT_MS",
    "OLDEST_WIRE_VERSION",
    "SILENT_MS",
    "WIRE_VERSION",
    "Link",
]

WIRE_VERSION = 1
OLDEST_WIRE_VERSION = 1
MAX_CALLS = 65_536
MAX_SENT_TIMES = 64
LARGE_FRAME_BYTES = 64 * 1024  # what smaller ones add up to is looked at with each beat

HEARTBEAT_MS = declare_setting(
    "link.heartbeat_ms",
    500,
    "Time between two heartbeats on a link.",
    unit="ms",
    minimum=10,
    maximum=10_000,
)
SILENT_MS = declare_setting(
    "link.silent_ms",
    1_500,
    "A link without a frame, or without an echo, for this long is replaced.",
    unit="ms",
    minimum=50,
    maximum=60_000,
)
declare_constraint(
    (HEARTBEAT_MS, SILENT_MS),
    lambda heartbeat_ms, silent_ms: heartbeat_ms * 2 < silent_ms,
    "link.heartbeat_ms must be under half of link.silent_ms",
    "Lower link.heartbeat_ms, or raise link.silent_ms.",
)
LINK_MALFORMED = declare_event(
    1001, "link_malformed", Level.WARNING, "A peer sent a malformed frame; that link was closed."
)
LINK_REFUSED = declare_event(
    1002, "link_refused", Level.WARNING, "A handshake failed; check keys, environment and versions."
)
LINK_SILENT = declare_event(
    1003, "link_silent", Level.WARNING, "A link went silent and is replaced by a new one."
)
LINK_HANDLER_FAILED = declare_event(
    1004, "link_handler_failed", Level.ERROR, "Handling a message raised an exception."
)
LINK_OVERFLOW = declare_event(
    1005, "link_overflow", Level.WARNING, "A peer reads too slowly; a message was not sent."
)
LINK_HEARTBEAT_FAILED = declare_event(
    1006,
    "link_heartbeat_failed",
    Level.ERROR,
    "Making a heartbeat raised an exception; it is tried again. Report the error.",
)

LinkHook = Callable[["Link"], None]


class Link(asyncio.Protocol):
    """One connection to a peer, either side.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Owner: identity, keys, handlers, hooks and clock.
    dialing : bool
        Whether this side opened the connection.

    Attributes
    ----------
    peer : Identity or None
        Who the other end is; None before the handshake.
    dialing : bool
        Whether this side opened the connection.
    opened_ms : float
        When the connection was opened, on the endpoint's clock. A peer that has proven its key was
        alive after that.
    address : str
        Address of the other end, without the port.
    received_bytes_held : int
        Bytes of an incomplete frame.
    """

    def __init__(self, endpoint: Any, dialing: bool) -> None:
        self.peer: Identity | None = None
        self.ready = False
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.opened: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.sent_frames = 0
        self.received_frames = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.address = ""
        self.received_bytes_held = 0
        self._endpoint = endpoint
        self._clock: Clock = endpoint.clock
        self.dialing = dialing
        self._reader = FrameReader(endpoint.limits.handshake_frame_bytes)
        self._transport: asyncio.Transport | None = None
        self._nonce = urandom(NONCE_BYTES)
        self._peer_nonce = b""
        self._calls: dict[int, asyncio.Future] = {}
        self._next_call = 1
        self._sequence = 0
        self._sent_at_ms: dict[int, float] = {}
        self._highest_received = 0
        self._echo = 0
        self._beat_ms = 0.0
        self.opened_ms = self._clock()
        self._heard_ms = self.opened_ms
        self._echoed_ms = self.opened_ms

    # ---- asyncio callbacks ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send Hello when this side dialed."""
        self._transport = transport  # type: ignore[assignment]
        self.address = (transport.get_extra_info("peername") or ("unknown",))[0]
        self._endpoint.open_links.add(self)
        if self.dialing:
            self._write(self._hello(), 0)

    def data_received(self, data: bytes) -> None:
        """Decode and handle all whole frames in the stream."""
        self._heard_ms = self._clock()
        self.received_bytes += len(data)
        try:
            for frame in self._reader.iterate(data):
                self.received_frames += 1
                self._receive_frame(frame)
                if self.closed.done():
                    return
        except WireError as error:
            self._refuse_frame(error)
            return
        if len(self._reader) != self.received_bytes_held:
            self._endpoint.open_links.note_received(self, len(self._reader))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail open calls and tell the endpoint."""
        self._finish()

    # ---- use ----

    @property
    def heard_ms(self) -> float:
        """Time of the last received bytes, on the endpoint's clock."""
        return self._heard_ms

    @property
    def beat_ms(self) -> float:
        """Time of the last own heartbeat, on the endpoint's clock."""
        return self._beat_ms

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait to be written."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def owes_echo(self) -> bool:
        """Whether a heartbeat of the peer came that no own one has echoed yet."""
        return self._echo < self._highest_received

    def send(self, message: Any, correlation: int = 0) -> bool:
        """Queue a message.

        Returns
        -------
        bool
            False if the link is closed, not yet ready or its buffer is full: nothing was sent.
        """
        if not self.ready or self.closed.done() or self._transport is None:
            return False
        if self.unsent_bytes > self._endpoint.limits.unsent_bytes_of_one:
            emit(LINK_OVERFLOW, peer=self._peer_name(), kind=type(message).__name__)
            return False
        return self._write(message, correlation)

    async def call(self, message: Any, timeout_ms: float) -> Result[Any, Problem]:
        """Send a request and wait for its reply.

        Parameters
        ----------
        message : thrift structure
            Request.
        timeout_ms : float
            Time to wait in milliseconds.

        Returns
        -------
        Result
            The reply; or a problem of kind ``unreachable`` if it was not sent, ``unknown_outcome``
            if it was sent and no reply came.
        """
        number = self._next_call
        if len(self._calls) >= MAX_CALLS or not self.send(message, number):
            return Failure(_unreachable(self._peer_name()))
        self._next_call = number % 0x7FFFFFFF + 1
        future = asyncio.get_running_loop().create_future()
        self._calls[number] = future
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return Success(await future)
        except (TimeoutError, ConnectionError):
            return Failure(_unknown_outcome(self._peer_name(), type(message).__name__))
        finally:
            self._calls.pop(number, None)

    def close(self) -> None:
        """Abandon the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self._finish()

    def send_due_heartbeat(self, interval_ms: float) -> None:
        """Send a heartbeat unless one was sent within the last three quarters of the interval.

        On a link where the heartbeats of the peer are answered at once, the answers are enough.
        A peer that has been silent for too long is found at any interval.
        """
        now_ms = self._clock()
        if now_ms - self._beat_ms < 0.75 * interval_ms and not self._is_silent(now_ms):
            return
        try:
            self.send_heartbeat()
        except Exception as error:
            # One heartbeat that can't be made must not silence this process on all links.
            emit(LINK_HEARTBEAT_FAILED, peer=self._peer_name(), error=repr(error))

    def send_heartbeat(self) -> None:
        """Send a heartbeat, or abandon the link if the peer has been silent for too long."""
        now_ms = self._clock()
        if self._is_silent(now_ms):
            emit(LINK_SILENT, peer=self._peer_name())
            self.close()
            return
        if not self.ready:
            return
        heartbeat: Heartbeat = self._endpoint.make_heartbeat(self)
        self._sequence += 1
        heartbeat.sequence = self._sequence
        if self._endpoint.may_echo():
            self._echo = self._highest_received
        heartbeat.echo = self._echo
        if len(self._sent_at_ms) < MAX_SENT_TIMES and self.send(heartbeat):
            self._sent_at_ms[self._sequence] = now_ms
            self._beat_ms = now_ms

    def _is_silent(self, now_ms: float) -> bool:
        return now_ms - min(self._heard_ms, self._echoed_ms) > self._endpoint.silent_ms

    # ---- handshake ----

    def _hello(self) -> Hello:
        endpoint = self._endpoint
        return Hello(WIRE_VERSION, endpoint.identity, self._nonce, endpoint.environment)

    def _receive_frame(self, frame: Frame) -> None:
        message = frame.message
        if self.ready:
            if message is not None:
                self._dispatch(message, frame.correlation)
        elif isinstance(message, Hello):
            self._receive_hello(message)
        elif isinstance(message, Proof) and self.peer is not None:
            self._receive_proof(message)
        else:
            self._refuse("a message before the handshake")

    def _receive_hello(self, hello: Hello) -> None:
        if self.peer is not None or hello.identity is None or len(hello.nonce or b"") < NONCE_BYTES:
            self._refuse("a repeated or incomplete Hello")
            return
        if (hello.wire_version or 0) < OLDEST_WIRE_VERSION:
            self._refuse(f"wire version {hello.wire_version}")
            return
        if hello.environment != self._endpoint.environment:
            self._refuse(f"environment {hello.environment!r}")
            return
        self.peer = hello.identity
        self._peer_nonce = hello.nonce
        if not self.dialing:
            self._write(self._hello(), 0)
        self._write(self._prove(), 0)

    def _prove(self) -> Proof:
        endpoint = self._endpoint
        try:
            return Proof(endpoint.keys.sign(self._nonce, self._peer_nonce, endpoint.identity))
        except ApricotrailError as error:
            self._refuse(str(error))
            return Proof(b"")

    def _receive_proof(self, proof: Proof) -> None:
        keys: KeyRing = self._endpoint.keys
        try:
            proven = keys.verify(proof.digest or b"", self._nonce, self._peer_nonce, self.peer)
        except ApricotrailError as error:
            self._refuse(str(error))
            return
        if not proven:
            self._refuse("a wrong key proof")
            return
        self.ready = True
        self._reader.max_frame_bytes = self._endpoint.limits.frame_bytes
        self._echoed_ms = self._clock()
        if not self.opened.done():
            self.opened.set_result(True)
        self._endpoint.admit(self)

    def _refuse_frame(self, error: WireError) -> None:
        if self.ready:
            emit(LINK_MALFORMED, peer=self._peer_name(), error=str(error))
        else:
            self._endpoint.open_links.limits_met.note("handshake")
            emit(LINK_REFUSED, peer=self.address, reason=str(error))
        self.close()

    def _refuse(self, reason: str) -> None:
        emit(LINK_REFUSED, peer=self._peer_name(), reason=reason)
        self.close()

    # ---- messages ----

    def _dispatch(self, message: Any, correlation: int) -> None:
        if isinstance(message, Heartbeat):
            self._receive_heartbeat_safely(message)
            return
        waiting = self._calls.get(correlation) if correlation else None
        if waiting is not None and self._endpoint.is_reply(message):
            if not waiting.done():
                waiting.set_result(message)
            return
        handler = self._endpoint.find_handler(message)
        if handler is None:
            return
        try:
            reply = handler(self, message)
        except Exception as error:
            emit(LINK_HANDLER_FAILED, kind=type(message).__name__, error=repr(error))
            return
        if asyncio.iscoroutine(reply):
            self._endpoint.spawn(self._send_later(reply, message, correlation))
        elif reply is not None:
            self.send(reply, correlation)

    async def _send_later(self, reply: Any, message: Any, correlation: int) -> None:
        try:
            result = await reply
        except Exception as error:
            emit(LINK_HANDLER_FAILED, kind=type(message).__name__, error=repr(error))
            return
        if result is not None:
            self.send(result, correlation)

    def _receive_heartbeat_safely(self, heartbeat: Heartbeat) -> None:
        try:
            self._receive_heartbeat(heartbeat)
        except Exception as error:
            # The link stays: with the next heartbeat, a peer would lose a new one the same way.
            emit(LINK_HANDLER_FAILED, kind="Heartbeat", peer=self._peer_name(), error=repr(error))

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        is_first = self._highest_received == 0
        self._highest_received = max(self._highest_received, heartbeat.sequence or 0)
        heartbeat_sent_ms = self._sent_at_ms.get(heartbeat.echo or 0)
        if heartbeat_sent_ms is not None:
            self._echoed_ms = max(self._echoed_ms, heartbeat_sent_ms)
            for sequence in [n for n in self._sent_at_ms if n < heartbeat.echo]:
                del self._sent_at_ms[sequence]
        self._endpoint.receive_heartbeat(self, heartbeat, heartbeat_sent_ms)
        if is_first:
            # The peer can date statements only once one of its heartbeats has been echoed.
            self.send_heartbeat()

    # ---- internals ----

    def _write(self, message: Any, correlation: int) -> bool:
        try:
            frame = encode_frame(message, correlation)
        except WireError as error:
            emit(LINK_OVERFLOW, peer=self._peer_name(), error=str(error))
            return False
        if len(frame) > LARGE_FRAME_BYTES and not self._endpoint.open_links.has_room(len(frame)):
            emit(LINK_OVERFLOW, peer=self._peer_name(), kind=type(message).__name__)
            return False
        self.sent_frames += 1
        self.sent_bytes += len(frame)
        self._transport.write(frame)  # type: ignore[union-attr]
        return True

    def _finish(self) -> None:
        if self.closed.done():
            return
        self.closed.set_result(None)
        if not self.opened.done():
            self.opened.set_result(False)
        for future in self._calls.values():
            if not future.done():
                future.set_exception(ConnectionResetError("the link was closed"))
        self._endpoint.release(self)

    def _peer_name(self) -> str:
        return self.peer.name if self.peer is not None else "unknown"


def _unreachable(peer: str) -> Problem:
    remedy = "Retry: nothing was sent."
    return Problem(ErrorKind.UNREACHABLE, f"The link to {peer} takes no messages now.", remedy)


def _unknown_outcome(peer: str, kind: str) -> Problem:
    remedy = "Ask again under the same id: the request may have been carried out."
    message = f"{peer} did not answer {kind} in time."
    return Problem(ErrorKind.UNKNOWN_OUTCOME, message, remedy)
