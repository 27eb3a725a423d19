"""Messages, frames and links between apricotrail's own processes."""

from apricotrail.wire._codec import (
    MAX_FRAME_BYTES,
    Frame,
    FrameReader,
    WireError,
    decode_message,
    encode_frame,
    encode_message,
)
from apricotrail.wire._endpoint import LinkEndpoint, parse_address
from apricotrail.wire._keys import KEY_FILE, KeyRing
from apricotrail.wire._link import HEARTBEAT_MS, SILENT_MS, WIRE_VERSION, Link
from apricotrail.wire._numbers import bound_i32

__all__ = [
    "HEARTBEAT_MS",
    "KEY_FILE",
    "MAX_FRAME_BYTES",
    "SILENT_MS",
    "WIRE_VERSION",
    "Frame",
    "FrameReader",
    "KeyRing",
    "Link",
    "LinkEndpoint",
    "WireError",
    "bound_i32",
    "decode_message",
    "encode_frame",
    "encode_message",
    "parse_address",
]
