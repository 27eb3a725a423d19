"""What a replica is made of, and its bounds."""

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from apricotrail.clocks import Clock
from apricotrail.control._changes import DocumentFunctions
from apricotrail.control._files import FileLayer
from apricotrail.control._replica import Timing
from apricotrail.control._storage import make_random_identity

__all__ = ["Limits", "Setup"]


class Limits(NamedTuple):
    """Bounds of one replica.

    Attributes
    ----------
    snapshot_entries : int
        Entries applied since the last snapshot before the next one.
    snapshot_log_bytes : int
        Size of the log file that brings a snapshot forward.
    kept_entries : int
        Entries kept behind a snapshot for replicas that lag a little.
    pending : int
        Commands logged and not yet committed.
    """

    snapshot_entries: int = 10_000
    snapshot_log_bytes: int = 32 * 1024 * 1024
    kept_entries: int = 500
    pending: int = 1_024


class Setup(NamedTuple):
    """What a replica is made of.

    Attributes
    ----------
    name : str
        Name of the replica, the same after a loss of its disk.
    files : FileLayer
        Its data folder.
    documents : DocumentFunctions
        Check and reading of documents.
    clock : Clock
        Monotonic time in milliseconds.
    random : Random
        Source of election jitter.
    send : callable
        ``send(replica_id, message)`` sends without waiting.
    on_change : callable
        ``on_change()`` is called after the configuration version grew.
    timing : Timing
        Protocol times.
    limits : Limits
        Bounds.
    make_identity : callable
        Gives the identity of an empty folder.
    """

    name: str
    files: FileLayer
    documents: DocumentFunctions
    clock: Clock
    random: Random
    send: Callable[[str, Any], None]
    on_change: Callable[[], None]
    timing: Timing = Timing()
    limits: Limits = Limits()
    make_identity: Callable[[], str] = make_random_identity
