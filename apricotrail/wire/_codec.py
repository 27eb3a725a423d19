"""Messages to frames and back: length, kind, correlation number, compact thrift structure.

A frame is a big-endian header (payload length in bytes, kind, correlation number) followed by the
structure in the compact protocol of Apache Thrift.
"""

from collections.abc import Iterator
from io import BytesIO
from struct import Struct
from typing import Any, NamedTuple

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TTransportException

from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.wire.generated import ttypes

__all__ = ["HEADER_BYTES", "MAX_FRAME_BYTES", "Frame", "FrameReader", "WireError", "encode_frame"]

MAX_FRAME_BYTES = 32 * 1024 * 1024
_HEADER = Struct(">IHI")
HEADER_BYTES = _HEADER.size

# A kind's number is never reused; new kinds are added at the end.
_KIND_NAMES = (
    "Hello",
    "Proof",
    "Heartbeat",
    "ConfigurationRequest",
    "ConfigurationChange",
    "ShareAnnouncements",
    "StartTasks",
    "TaskOutcomes",
    "ResolveAttempts",
    "AttemptStates",
    "FenceJob",
    "StopTasks",
    "SlotWant",
    "SlotOffer",
    "LedgerRequest",
    "Ledger",
    "Claim",
    "ClaimReply",
    "CopyAnswer",
    "CopyAnswerReply",
    "ClaimsRequest",
    "CopyClaims",
    "AttachJob",
    "JobAnswer",
    "CancelJob",
    "CancelReply",
    "ReportRequest",
    "Report",
    "Vote",
    "VoteReply",
    "Append",
    "AppendReply",
    "InstallSnapshot",
    "SnapshotReply",
    "TimeoutNow",
    "Propose",
    "ProposeReply",
    "StatusRequest",
    "StatusReply",
    "NodeList",
    "StartRuns",
    "StopRuns",
    "ClaimRuns",
    "RunOutcomes",
    "OutcomesTaken",
    "NodesRequest",
    "NodeChanges",
    "RunnerLost",
)
_TYPE_BY_KIND = {number: getattr(ttypes, name) for number, name in enumerate(_KIND_NAMES, start=1)}
_KIND_BY_TYPE = {type_: number for number, type_ in _TYPE_BY_KIND.items()}


class _Payload:
    """What the C module reads one whole payload from, as from thrift's `CReadableTransport`."""

    def __init__(self) -> None:
        self.cstringio_buf = _EMPTY

    def cstringio_refill(self, partial: bytes, wanted: int) -> BytesIO:
        """Raise, since a payload is there as a whole."""
        raise TTransportException(TTransportException.END_OF_FILE, "The payload is too short.")


# One protocol object and transport serve all messages, as they keep no state between them; new
# ones for each take longer than the C module takes to encode or decode the message.
_EMPTY = BytesIO()
_PAYLOAD = _Payload()
_PROTOCOL = TCompactProtocolAccelerated(_PAYLOAD, fallback=False)


class WireError(ApricotrailError):
    """A frame that breaks the format; the link it came on is closed."""


class Frame(NamedTuple):
    """One decoded frame.

    Attributes
    ----------
    message : object or None
        Message, or None for a kind that this version does not know.
    correlation : int
        Number that a reply repeats, 0 for a message without reply.
    """

    message: Any
    correlation: int


def encode_frame(message: Any, correlation: int = 0) -> bytes:
    """Return the bytes of one frame.

    Raises
    ------
    WireError
        If the message is larger than `MAX_FRAME_BYTES`.
    """
    payload = encode_message(message)
    if len(payload) > MAX_FRAME_BYTES:
        raise _wire_error(f"A message of {len(payload)} bytes is over {MAX_FRAME_BYTES}.")
    return _HEADER.pack(len(payload), _KIND_BY_TYPE[type(message)], correlation) + payload


def encode_message(message: Any) -> bytes:
    """Return the compact encoding of a structure."""
    type_ = type(message)
    return _PROTOCOL._fast_encode(message, [type_, type_.thrift_spec])


def decode_message(type_: type, payload: bytes) -> Any:
    """Return the structure of `type_` encoded in `payload`.

    Raises
    ------
    WireError
        If the bytes are no such structure.
    """
    message = type_()
    _PAYLOAD.cstringio_buf = BytesIO(payload)
    try:
        _PROTOCOL._fast_decode(message, _PROTOCOL, [type_, type_.thrift_spec])
    except Exception as error:
        raise _wire_error(f"{type_.__name__} can't be decoded: {error!r}.") from error
    finally:
        _PAYLOAD.cstringio_buf = _EMPTY  # else a large payload would stay in memory
    return message


class FrameReader:
    """Cuts a byte stream into frames.

    Parameters
    ----------
    max_frame_bytes : int
        Largest payload accepted.

    Attributes
    ----------
    max_frame_bytes : int
        As given; may be changed between two frames.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.unknown_kinds = 0
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def __len__(self) -> int:
        """Return how many bytes of an incomplete frame are held."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are now whole; see `iterate`."""
        return list(self.iterate(data))

    def iterate(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and decode the frames that are now whole, one at a time.

        Raises
        ------
        WireError
            If a frame is too large or can't be decoded.
        """
        # Almost always whole frames come, which need not be copied first.
        received = data
        if self._buffer:
            self._buffer += data
            received = self._buffer
        start = 0
        try:
            while len(received) - start >= HEADER_BYTES:
                length, kind, correlation = _HEADER.unpack_from(received, start)
                if length > self.max_frame_bytes:
                    raise _wire_error(f"A frame of {length} bytes is over {self.max_frame_bytes}.")
                end = start + HEADER_BYTES + length
                if len(received) < end:
                    break
                payload = bytes(received[start + HEADER_BYTES : end])
                start = end
                yield Frame(self._decode(kind, payload), correlation)
        finally:
            if received is self._buffer:
                del self._buffer[:start]
            elif start < len(received):
                self._buffer += received[start:]

    def _decode(self, kind: int, payload: bytes) -> Any:
        type_ = _TYPE_BY_KIND.get(kind)
        if type_ is None:
            self.unknown_kinds += 1
            return None
        return decode_message(type_, payload)


def _wire_error(message: str) -> WireError:
    remedy = "Check that both ends run compatible versions and that nothing alters the stream."
    return WireError(Problem(ErrorKind.MALFORMED, message, remedy))
