"""Snapshots from a leader to a replica that is too far behind, in chunks."""

from apricotrail.control._members import Members
from apricotrail.control._replica import (
    Progress,
    ReplicaState,
    become_follower,
    postpone_election,
)
from apricotrail.control._storage import decode_snapshot, encode_snapshot
from apricotrail.wire.generated.ttypes import InstallSnapshot, SnapshotReply

__all__ = [
    "holds_snapshot",
    "needs_snapshot",
    "receive_chunk",
    "receive_chunk_reply",
    "reset_to_snapshot",
    "send_chunk",
]

CHUNK_BYTES = 256 * 1024
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


def needs_snapshot(state: ReplicaState, progress: Progress) -> bool:
    """Return whether the entries that a replica lacks are compacted."""
    return progress.next_index <= state.log.base_index


def send_chunk(state: ReplicaState, peer: str, progress: Progress) -> None:
    """Send the next chunk; each goes out again every round until confirmed."""
    if progress.snapshot is None:
        snapshot = state.load_snapshot()
        if snapshot is None:
            return
        progress.snapshot = encode_snapshot(snapshot)
        progress.snapshot_at = (snapshot.index, snapshot.term)
        progress.offset = 0
    end = progress.offset + CHUNK_BYTES
    chunk = progress.snapshot[progress.offset : end]
    last = end >= len(progress.snapshot)
    message = InstallSnapshot(
        state.term, state.own_id, *progress.snapshot_at, progress.offset, chunk, last
    )
    state.send(peer, message)


def receive_chunk(state: ReplicaState, sender: str, message: InstallSnapshot) -> None:
    """Collect a chunk; install the snapshot with the last one."""
    if message.term < state.term:
        state.send(sender, SnapshotReply(state.term, 0, False))
        return
    become_follower(state, message.term, sender)
    state.heard_ms = state.now_ms
    postpone_election(state)
    if holds_snapshot(state, message.last_index, message.last_term):
        state.incoming = None
        state.send(sender, SnapshotReply(state.term, 0, True, message.last_index))
        return
    buffer = _collect(state, message)
    if not message.last or len(buffer) != message.offset_bytes + len(message.chunk):
        state.send(sender, SnapshotReply(state.term, len(buffer), False))
        return
    state.incoming = None
    snapshot = decode_snapshot(bytes(buffer))
    if snapshot is None:
        state.send(sender, SnapshotReply(state.term, 0, False))
        return
    state.installed = snapshot
    state.send(sender, SnapshotReply(state.term, len(buffer), True, message.last_index))


def receive_chunk_reply(state: ReplicaState, sender: str, message: SnapshotReply) -> None:
    """Send the next chunk, or go on with appends."""
    if message.term > state.term:
        become_follower(state, message.term, "")
        return
    progress = state.progress.get(sender)
    if not state.is_leader or message.term < state.term or progress is None:
        return
    if message.installed:
        progress.snapshot = None
        progress.match_index = max(progress.match_index, message.last_index or 0)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.advanced_ms = state.now_ms
        state.broadcast_due = True
        return
    if progress.snapshot is not None and message.offset_bytes != progress.offset:
        progress.offset = message.offset_bytes
        send_chunk(state, sender, progress)


def holds_snapshot(state: ReplicaState, index: int, term: int) -> bool:
    """Return whether the log already holds all that a snapshot covers; then that is committed."""
    if index > state.commit_index and state.log.term_at(index) != term:
        return False
    state.commit_index = max(state.commit_index, index)
    return True


def reset_to_snapshot(state: ReplicaState, index: int, term: int, members: Members) -> None:
    """Replace the log by an installed snapshot."""
    state.log.reset(index, term, members)
    state.commit_index = index
    state.synced_index = index


def _collect(state: ReplicaState, message: InstallSnapshot) -> bytearray:
    at = (message.last_index, message.last_term)
    if state.incoming is None or state.incoming[:2] != at or message.offset_bytes == 0:
        state.incoming = (*at, bytearray())
    buffer = state.incoming[2]
    fits = len(buffer) + len(message.chunk) <= MAX_SNAPSHOT_BYTES
    if message.offset_bytes == len(buffer) and fits:
        buffer += message.chunk
    return buffer
