"""Dependencies and limits of a `Node`, the replica without its links."""

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from apricotrail.clocks import Clock
from apricotrail.control._changes import DocumentFunctions
from apricotrail.control._files import FileOperations
from apricotrail.control._replica import Timing
from apricotrail.control._storage import make_random_identity

__all__ = ["Limits", "NodeSetup"]


class Limits(NamedTuple):
    """Limits of one replica.

    Attributes
    ----------
    snapshot_entries : int
        Applied log entries since the last snapshot at which the next one is written.
    snapshot_log_bytes : int
        Size of the log file at which a snapshot is written even before that.
    retained_entries : int
        Log entries kept before a snapshot, so that a replica that lags a little needs no snapshot.
    max_pending : int
        Most commands that wait to be committed.
    """

    snapshot_entries: int = 10_000
    snapshot_log_bytes: int = 32 * 1024 * 1024
    retained_entries: int = 500
    max_pending: int = 1_024


class NodeSetup(NamedTuple):
    """Dependencies of one replica.

    Attributes
    ----------
    name : str
        Name of the replica; it stays the same when the disk is lost.
    files : FileOperations
        File operations on its data folder.
    documents : DocumentFunctions
        Functions that parse and check documents.
    clock : Clock
        Monotonic time in milliseconds.
    random : Random
        Source of election jitter.
    send : callable
        ``send(replica_id, message)`` sends without waiting.
    on_change : callable
        ``on_change()`` is called after the configuration version grew.
    timing : Timing
        Round and election times of the protocol.
    limits : Limits
        Limits on snapshots, log and waiting commands.
    make_identity : callable
        Returns a new identity for an empty data folder.
    after_failure : bool
        Whether the folder is opened again after a write or sync failed.
    """

    name: str
    files: FileOperations
    documents: DocumentFunctions
    clock: Clock
    random: Random
    send: Callable[[str, Any], None]
    on_change: Callable[[], None]
    timing: Timing = Timing()
    limits: Limits = Limits()
    make_identity: Callable[[], str] = make_random_identity
    after_failure: bool = False
