"""Records of the log file: a header with length, CRC32, kind, index and term, then the payload.

Each record also holds the offset at which its batch begins. Everything before that offset was
synced when the batch was written. So an unreadable record is an incomplete last write only if no
later record shows that its bytes had been synced; otherwise the file is damaged.
"""

from struct import Struct
from typing import NamedTuple
from zlib import crc32

__all__ = ["ENTRY", "TERM", "Record", "Scan", "encode_record", "scan_records"]

ENTRY = 1
TERM = 2
MAX_PAYLOAD_BYTES = 64 * 1024 * 1024

_MAGIC = b"\xa9ctl"
_HEADER = Struct(">4sII")  # magic, payload length, CRC32 of the rest
_BODY = Struct(">BQQQ")  # kind, index, term, batch start
_PREFIX_BYTES = _HEADER.size + _BODY.size


class Record(NamedTuple):
    """One record of the log file.

    Attributes
    ----------
    kind : int
        `ENTRY` for a log entry; `TERM` for the current term and vote.
    index : int
        Index of the entry, 0 for `TERM`.
    term : int
        Term of the entry, or the current term.
    payload : bytes
        Command of the entry, or the id of the replica voted for.
    """

    kind: int
    index: int
    term: int
    payload: bytes


class Scan(NamedTuple):
    """Result of reading a log file.

    Attributes
    ----------
    records : list of Record
        The valid records from the start of the file.
    end : int
        Offset in bytes just after the last of them.
    damaged : bool
        Whether bytes after `end` had been synced and are now unreadable.
    """

    records: list[Record]
    end: int
    damaged: bool


def encode_record(record: Record, batch_start: int) -> bytes:
    """Encode one record of the batch that begins at offset `batch_start`, in bytes."""
    body = _BODY.pack(record.kind, record.index, record.term, batch_start) + record.payload
    return _HEADER.pack(_MAGIC, len(record.payload), crc32(body)) + body


def scan_records(data: bytes) -> Scan:
    """Read records from the start of `data` until its end or the first unreadable one."""
    records = []
    offset = 0
    while offset < len(data):
        found = _decode(data, offset)
        if found is None:
            return Scan(records, offset, _was_synced(data, offset))
        record, _, offset = found
        records.append(record)
    return Scan(records, offset, False)


def _decode(data: bytes, offset: int) -> tuple[Record, int, int] | None:
    if len(data) - offset < _PREFIX_BYTES:
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    end = offset + _PREFIX_BYTES + length
    if magic != _MAGIC or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    if crc32(data[offset + _HEADER.size : end]) != checksum:
        return None
    kind, index, term, batch_start = _BODY.unpack_from(data, offset + _HEADER.size)
    return Record(kind, index, term, data[offset + _PREFIX_BYTES : end]), batch_start, end


def _was_synced(data: bytes, bad_offset: int) -> bool:
    offset = data.find(_MAGIC, bad_offset + 1)
    while offset >= 0:
        found = _decode(data, offset)
        if found is not None and found[1] > bad_offset:
            return True
        offset = data.find(_MAGIC, offset + 1)
    return False
