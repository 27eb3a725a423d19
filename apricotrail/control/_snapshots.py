"""Snapshots of the state machine, as stored and sent."""

import json
from typing import NamedTuple
from zlib import crc32

__all__ = ["Snapshot", "decode_snapshot", "encode_snapshot"]


class Snapshot(NamedTuple):
    """State of the state machine after a given entry.

    Attributes
    ----------
    index, term : int
        Index and term of the last entry covered.
    payload : bytes
        State as exported by the state machine.
    """

    index: int
    term: int
    payload: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as stored and sent: a line of JSON with a checksum, then the payload."""
    header = {
        "index": snapshot.index,
        "term": snapshot.term,
        "bytes": len(snapshot.payload),
        "crc32": crc32(snapshot.payload),
    }
    return json.dumps(header).encode() + b"\n" + snapshot.payload


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Return the snapshot in `data`, or None if it is damaged."""
    header_text, _, payload = data.partition(b"\n")
    try:
        header = json.loads(header_text)
        intact = header["bytes"] == len(payload) and header["crc32"] == crc32(payload)
        return Snapshot(int(header["index"]), int(header["term"]), payload) if intact else None
    except (ValueError, KeyError, TypeError):
        return None
