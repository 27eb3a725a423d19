"""What one replica keeps on its disk: identity, term and vote, log, snapshot.

All of it is in one folder: ``identity``, ``log`` and ``snapshot``. Records are appended and synced
in groups. A snapshot is written aside, synced, renamed, and the folder synced; then the log is
replaced the same way by one without the entries that the snapshot covers. After a failed write or
sync nothing more is written: what the disk then holds is unknown until the next start.
"""

import json
from collections.abc import Callable, Sequence
from typing import NamedTuple
from uuid import uuid4
from zlib import crc32

from apricotrail.control._files import FileLayer, StorageError
from apricotrail.control._records import ENTRY, TERM, Record, encode_record, scan_records
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire.generated.ttypes import LogEntry

__all__ = [
    "FORMATION_INDEX",
    "Snapshot",
    "Stored",
    "Storage",
    "decode_snapshot",
    "encode_snapshot",
    "make_random_identity",
]

FORMATION_INDEX = 1
"""Index covered by the snapshot that a new group starts from."""

_IDENTITY = "identity"
_LOG = "log"
_SNAPSHOT = "snapshot"
_NEW = ".new"


class Snapshot(NamedTuple):
    """The state machine after an entry.

    Attributes
    ----------
    index, term : int
        Last entry covered.
    payload : bytes
        Exported state.
    """

    index: int
    term: int
    payload: bytes


class Stored(NamedTuple):
    """What a replica finds at start.

    Attributes
    ----------
    identity : str
        Random identity of the folder.
    term : int
        Highest term seen.
    vote : str
        Replica voted for in `term`, empty for none.
    snapshot : Snapshot or None
        Newest snapshot.
    entries : list of LogEntry
        The log, in order; may begin before the snapshot's index.
    """

    identity: str
    term: int
    vote: str
    snapshot: Snapshot | None
    entries: list[LogEntry]


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot as stored and sent."""
    head = {
        "index": snapshot.index,
        "term": snapshot.term,
        "bytes": len(snapshot.payload),
        "crc32": crc32(snapshot.payload),
    }
    return json.dumps(head).encode() + b"\n" + snapshot.payload


def decode_snapshot(data: bytes) -> Snapshot | None:
    """Return the snapshot in `data`, or None if it is damaged."""
    head_text, _, payload = data.partition(b"\n")
    try:
        head = json.loads(head_text)
        intact = head["bytes"] == len(payload) and head["crc32"] == crc32(payload)
        return Snapshot(int(head["index"]), int(head["term"]), payload) if intact else None
    except (ValueError, KeyError, TypeError):
        return None


def make_random_identity() -> str:
    """Return a new identity for an empty folder."""
    return uuid4().hex[:12]


class Storage:
    """Writer of one data folder.

    Parameters
    ----------
    files : FileLayer
        Operations on the folder.
    make_identity : callable
        Gives the identity of an empty folder.

    Attributes
    ----------
    log_bytes : int
        Size of the log file.
    """

    def __init__(
        self, files: FileLayer, make_identity: Callable[[], str] = make_random_identity
    ) -> None:
        self.log_bytes = 0
        self._files = files
        self._make_identity = make_identity
        self._batch: list[Record] = []
        self._failed = False
        self._term = 0
        self._vote = ""

    def load(self) -> Stored:
        """Read the folder, cutting a torn end of the log.

        Raises
        ------
        StorageError
            If bytes that had been synced are damaged or missing.
        """
        identity = self._load_identity()
        snapshot = self._load_snapshot()
        data = self._files.read(_LOG) or b""
        scan = scan_records(data)
        if scan.damaged:
            raise _damaged(f"The log is damaged at byte {scan.end}, before synced records.")
        if scan.end < len(data):
            self._guard(lambda: self._files.truncate(_LOG, scan.end))
        self.log_bytes = scan.end
        covered = snapshot.index if snapshot is not None else 0
        if not scan.records and covered > FORMATION_INDEX:
            raise _damaged("The log is missing beside a snapshot.")
        entries = self._replay(scan.records)
        if entries and entries[0].index > covered + 1:
            raise _damaged(f"The log begins at {entries[0].index}, the snapshot ends at {covered}.")
        if snapshot is not None and entries and not _continues(snapshot, entries):
            self._replace_log([])
            entries = []
        return Stored(identity, self._term, self._vote, snapshot, entries)

    def add_term(self, term: int, vote: str) -> None:
        """Add the present term and vote to the next group."""
        self._term, self._vote = term, vote
        self._batch.append(Record(TERM, 0, term, vote.encode()))

    def add_entry(self, entry: LogEntry) -> None:
        """Add an entry to the next group; it replaces any at its index and behind."""
        self._batch.append(Record(ENTRY, entry.index, entry.term, entry.command))

    def commit(self) -> bool:
        """Write and sync the present group; returns False if it was empty.

        Raises
        ------
        StorageError
            If the write or sync failed, now or before.
        """
        if not self._batch and not self._failed:
            return False
        start = self.log_bytes
        data = b"".join(encode_record(record, start) for record in self._batch)
        self._batch.clear()

        def write() -> None:
            self._files.append(_LOG, data)
            self._files.sync(_LOG)
            if start == 0:
                self._files.sync_folder()

        self._guard(write)
        self.log_bytes += len(data)
        return True

    def save_snapshot(self, snapshot: Snapshot, kept: Sequence[LogEntry]) -> None:
        """Replace the snapshot, then the log by one that holds only `kept`.

        Raises
        ------
        StorageError
            If a step failed.
        """
        self._guard(lambda: self._replace(_SNAPSHOT, encode_snapshot(snapshot)))
        self._replace_log(kept)

    def close(self) -> None:
        """Close the files and free the lock."""
        self._files.close()

    def _load_identity(self) -> str:
        stored = self._files.read(_IDENTITY)
        if stored:
            return stored.decode()
        if self._files.read(_LOG) or self._files.read(_SNAPSHOT):
            raise _damaged("The identity file is missing beside a log or snapshot.")
        identity = self._make_identity()
        self._guard(lambda: self._replace(_IDENTITY, identity.encode()))
        return identity

    def _load_snapshot(self) -> Snapshot | None:
        data = self._files.read(_SNAPSHOT)
        if data is None:
            return None
        snapshot = decode_snapshot(data)
        if snapshot is None:
            raise _damaged("The snapshot is damaged.")
        return snapshot

    def _replay(self, records: list[Record]) -> list[LogEntry]:
        entries: list[LogEntry] = []
        for record in records:
            if record.kind == TERM:
                self._term, self._vote = record.term, record.payload.decode()
                continue
            while entries and entries[-1].index >= record.index:
                entries.pop()
            if entries and entries[-1].index + 1 != record.index:
                raise _damaged(f"The log lacks the entries before {record.index}.")
            entries.append(LogEntry(record.index, record.term, record.payload))
        return entries

    def _replace_log(self, kept: Sequence[LogEntry]) -> None:
        records = [Record(TERM, 0, self._term, self._vote.encode())]
        records += [Record(ENTRY, entry.index, entry.term, entry.command) for entry in kept]
        log = b"".join(encode_record(record, 0) for record in records)
        self._batch.clear()
        self._guard(lambda: self._replace(_LOG, log))
        self.log_bytes = len(log)

    def _replace(self, name: str, data: bytes) -> None:
        self._files.write(name + _NEW, data)
        self._files.sync(name + _NEW)
        self._files.rename(name + _NEW, name)
        self._files.sync_folder()

    def _guard(self, work: Callable[[], None]) -> None:
        if self._failed:
            raise _failed("An earlier write failed")
        try:
            work()
        except OSError as error:
            self._failed = True
            raise _failed(f"A write failed: {error}") from error


def _continues(snapshot: Snapshot, entries: list[LogEntry]) -> bool:
    position = snapshot.index - entries[0].index
    if position < 0:
        return True
    return position < len(entries) and entries[position].term == snapshot.term


def _damaged(message: str) -> StorageError:
    remedy = (
        "Move the data folder away and start with an empty one: this replica then joins again "
        "as a learner and gets everything from the others."
    )
    return StorageError(Problem(ErrorKind.STORAGE, message, remedy))


def _failed(message: str) -> StorageError:
    remedy = "Free space on or replace the disk, then start this replica again."
    return StorageError(Problem(ErrorKind.STORAGE, f"{message}; the replica stops.", remedy))
