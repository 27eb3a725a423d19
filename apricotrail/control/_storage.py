"""Durable state of one replica: identity, term and vote, log, snapshot.

It is kept in three files of one folder: ``identity``, ``log`` (with the term and vote) and
``snapshot``. Records are appended to the log and synced in batches. A snapshot is written to a
temporary file, synced and renamed, and the folder is synced; then the log is replaced the same way
by one without the entries that the snapshot covers. After a failed write or sync nothing more is
written: what the disk then holds is unknown until the next start.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple
from uuid import uuid4

from apricotrail.control._files import FileOperations, StorageError, WriteError
from apricotrail.control._records import ENTRY, TERM, Record, encode_record, scan_records
from apricotrail.control._snapshots import Snapshot, decode_snapshot, encode_snapshot
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire.generated.ttypes import LogEntry

__all__ = [
    "FORMATION_INDEX",
    "Storage",
    "StoredState",
    "make_random_identity",
]

FORMATION_INDEX = 1
"""Last index covered by the snapshot that a new group starts from."""

_IDENTITY_FILE = "identity"
_LOG_FILE = "log"
_SNAPSHOT_FILE = "snapshot"
_NEW_SUFFIX = ".new"


class StoredState(NamedTuple):
    """State that a replica reads from its data folder at its start.

    Attributes
    ----------
    identity : str
        Random identity of the folder, made when it was first used.
    term : int
        Highest term that this replica has seen.
    vote : str
        Replica voted for in `term`, empty for none.
    snapshot : Snapshot or None
        Newest snapshot, None if there is none.
    entries : list of LogEntry
        Entries of the log, in order; may begin before the snapshot's index.
    """

    identity: str
    term: int
    vote: str
    snapshot: Snapshot | None
    entries: list[LogEntry]


def make_random_identity() -> str:
    """Return a new identity for an empty folder."""
    return uuid4().hex[:12]


class Storage:
    """Reads and writes the files of one data folder.

    Parameters
    ----------
    files : FileOperations
        Operations on the folder.
    make_identity : callable
        Returns a new identity for an empty folder.

    Attributes
    ----------
    log_bytes : int
        Size of the log file in bytes.
    """

    def __init__(
        self, files: FileOperations, make_identity: Callable[[], str] = make_random_identity
    ) -> None:
        self.log_bytes = 0
        self._files = files
        self._make_identity = make_identity
        self._batch: list[Record] = []
        self._failed = False
        self._closed = False
        self._term = 0
        self._vote = ""

    def load(self, after_failure: bool = False) -> StoredState:
        """Read the folder, truncate an incomplete last write of the log, and sync the rest.

        A process that was killed may have left bytes and names of files that were never synced.

        Parameters
        ----------
        after_failure : bool
            Whether a write or sync failed before. What is read may then never have reached the
            disk even if a later sync succeeds, so the log is written again.

        Raises
        ------
        StorageError
            If bytes that had been synced are damaged or missing, or a write or sync failed.
        """
        self._run_write(self._empty_unfinished_files)
        identity = self._load_identity()
        snapshot = self._load_snapshot()
        data = self._files.read(_LOG_FILE) or b""
        scan = scan_records(data)
        if scan.damaged:
            raise _make_damage_error(
                f"The log is damaged at byte {scan.end}, which had been synced."
            )
        if after_failure and data:
            self._run_write(lambda: self._replace_file(_LOG_FILE, data[: scan.end]))
        elif scan.end < len(data):
            self._run_write(lambda: self._files.truncate(_LOG_FILE, scan.end))
        self._run_write(lambda: self._sync_loaded(bool(data)))
        self.log_bytes = scan.end
        covered_index = snapshot.index if snapshot is not None else 0
        if not scan.records and covered_index > FORMATION_INDEX:
            raise _make_damage_error("The log is missing or empty, but there is a snapshot.")
        entries = self._replay(scan.records)
        if entries and entries[0].index > covered_index + 1:
            raise _make_damage_error(
                f"The log begins at entry {entries[0].index}, the snapshot ends at {covered_index}."
            )
        if snapshot is not None and entries and not _matches_snapshot(snapshot, entries):
            self._rewrite_log([])
            entries = []
        return StoredState(identity, self._term, self._vote, snapshot, entries)

    def add_term(self, term: int, vote: str) -> None:
        """Add the current term and vote to the next batch."""
        self._term, self._vote = term, vote
        self._batch.append(Record(TERM, 0, term, vote.encode()))

    def add_entry(self, entry: LogEntry) -> None:
        """Add an entry to the next batch; it replaces those at its index and after it."""
        self._batch.append(Record(ENTRY, entry.index, entry.term, entry.command))

    def commit(self) -> bool:
        """Write and sync the current batch; returns False if it was empty.

        Raises
        ------
        StorageError
            If this write or sync failed, or an earlier one did.
        """
        if not self._batch and not self._failed:
            return False
        start = self.log_bytes
        data = b"".join(encode_record(record, start) for record in self._batch)
        self._batch.clear()

        def write() -> None:
            self._files.append(_LOG_FILE, data)
            self._files.sync(_LOG_FILE)
            if start == 0:
                self._files.sync_folder()

        self._run_write(write)
        self.log_bytes += len(data)
        return True

    def save_snapshot(self, snapshot: Snapshot, kept: Sequence[LogEntry]) -> None:
        """Replace the snapshot, then the log by one that holds only `kept`.

        Raises
        ------
        StorageError
            If a write failed.
        """
        if not self.save_snapshot_if_room(snapshot, kept):
            self._failed = True
            raise _make_write_error("A snapshot could not be written")

    def save_snapshot_if_room(self, snapshot: Snapshot, kept: Sequence[LogEntry]) -> bool:
        """Like `save_snapshot`, but return False if the new files could not be written.

        Snapshot and log are then as before and can be used further.

        Raises
        ------
        StorageError
            If the written files could not be put in place.
        """
        self._refuse_after_failure()
        log = self._encode_log(kept)
        try:
            self._write_aside(_SNAPSHOT_FILE, encode_snapshot(snapshot))
            self._write_aside(_LOG_FILE, log)
        except OSError:
            self._run_write(self._empty_unfinished_files)
            return False
        self._run_write(lambda: self._put_in_place(_SNAPSHOT_FILE))
        self._run_write(lambda: self._put_in_place(_LOG_FILE))
        self._batch.clear()
        self.log_bytes = len(log)
        return True

    def close(self) -> None:
        """Close the files and release the lock of the folder, unless that was done before."""
        if not self._closed:
            self._closed = True
            self._files.close()

    def _empty_unfinished_files(self) -> None:
        for name in (_SNAPSHOT_FILE, _LOG_FILE, _IDENTITY_FILE):
            if self._files.read(name + _NEW_SUFFIX):
                self._files.write(name + _NEW_SUFFIX, b"")

    def _load_identity(self) -> str:
        stored = self._files.read(_IDENTITY_FILE)
        if stored:
            return stored.decode()
        if self._files.read(_LOG_FILE) or self._files.read(_SNAPSHOT_FILE):
            raise _make_damage_error(
                "The identity file is missing, but there is a log or snapshot."
            )
        identity = self._make_identity()
        self._run_write(lambda: self._replace_file(_IDENTITY_FILE, identity.encode()))
        return identity

    def _load_snapshot(self) -> Snapshot | None:
        data = self._files.read(_SNAPSHOT_FILE)
        if data is None:
            return None
        snapshot = decode_snapshot(data)
        if snapshot is None:
            raise _make_damage_error("The snapshot is damaged.")
        return snapshot

    def _sync_loaded(self, has_log: bool) -> None:
        if has_log:
            self._files.sync(_LOG_FILE)
        self._files.sync_folder()

    def _replay(self, records: list[Record]) -> list[LogEntry]:
        entries: list[LogEntry] = []
        for record in records:
            if record.kind == TERM:
                self._term, self._vote = record.term, record.payload.decode()
                continue
            while entries and entries[-1].index >= record.index:
                entries.pop()
            if entries and entries[-1].index + 1 != record.index:
                raise _make_damage_error(f"The log lacks entries before {record.index}.")
            entries.append(LogEntry(record.index, record.term, record.payload))
        return entries

    def _rewrite_log(self, kept: Sequence[LogEntry]) -> None:
        log = self._encode_log(kept)
        self._batch.clear()
        self._run_write(lambda: self._replace_file(_LOG_FILE, log))
        self.log_bytes = len(log)

    def _encode_log(self, kept: Sequence[LogEntry]) -> bytes:
        records = [Record(TERM, 0, self._term, self._vote.encode())]
        records += [Record(ENTRY, entry.index, entry.term, entry.command) for entry in kept]
        return b"".join(encode_record(record, 0) for record in records)

    def _replace_file(self, name: str, data: bytes) -> None:
        self._write_aside(name, data)
        self._put_in_place(name)

    def _write_aside(self, name: str, data: bytes) -> None:
        self._files.write(name + _NEW_SUFFIX, data)
        self._files.sync(name + _NEW_SUFFIX)

    def _put_in_place(self, name: str) -> None:
        self._files.rename(name + _NEW_SUFFIX, name)
        self._files.sync_folder()

    def _refuse_after_failure(self) -> None:
        if self._failed:
            raise _make_write_error("An earlier write failed")

    def _run_write(self, work: Callable[[], None]) -> None:
        """Run `work`, and refuse every later write if it fails."""
        self._refuse_after_failure()
        try:
            work()
        except OSError as error:
            self._failed = True
            raise _make_write_error(f"A write failed: {error}") from error


def _matches_snapshot(snapshot: Snapshot, entries: list[LogEntry]) -> bool:
    position = snapshot.index - entries[0].index
    if position < 0:
        return True
    return position < len(entries) and entries[position].term == snapshot.term


def _make_damage_error(message: str) -> StorageError:
    remedy = (
        "Move the data folder away and start with an empty one: this replica then joins again "
        "as a learner and copies all state from the other replicas."
    )
    return StorageError(Problem(ErrorKind.STORAGE, message, remedy))


def _make_write_error(message: str) -> WriteError:
    remedy = "Free space on the disk; the replica then goes on. Replace the disk if it is faulty."
    return WriteError(Problem(ErrorKind.STORAGE, f"{message}; the replica stops.", remedy))
