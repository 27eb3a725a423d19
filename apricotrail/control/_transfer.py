"""Transfer of a snapshot in chunks, from the leader to a replica that lacks compacted entries."""

from apricotrail.control._members import Members
from apricotrail.control._replica import (
    Progress,
    ReplicaState,
    become_follower,
    postpone_election,
)
from apricotrail.control._snapshots import decode_snapshot, encode_snapshot
from apricotrail.wire.generated.ttypes import InstallSnapshot, SnapshotReply

__all__ = [
    "commit_snapshot_if_held",
    "needs_snapshot",
    "receive_chunk",
    "receive_chunk_reply",
    "reset_to_snapshot",
    "send_chunk",
]

CHUNK_BYTES = 256 * 1024
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


def needs_snapshot(state: ReplicaState, progress: Progress) -> bool:
    """Return whether the next entry that a replica lacks was compacted away."""
    return progress.next_index <= state.log.base_index


def send_chunk(state: ReplicaState, peer: str, progress: Progress) -> None:
    """Send the next chunk; a chunk is sent again every round until it is acknowledged."""
    if progress.snapshot_data is None:
        snapshot = state.make_snapshot()
        if snapshot is None:
            return
        progress.snapshot_data = encode_snapshot(snapshot)
        progress.snapshot_position = (snapshot.index, snapshot.term)
        progress.snapshot_offset_bytes = 0
    end = progress.snapshot_offset_bytes + CHUNK_BYTES
    chunk = progress.snapshot_data[progress.snapshot_offset_bytes : end]
    last = end >= len(progress.snapshot_data)
    message = InstallSnapshot(
        state.term,
        state.own_id,
        *progress.snapshot_position,
        progress.snapshot_offset_bytes,
        chunk,
        last,
    )
    state.send(peer, message)


def receive_chunk(state: ReplicaState, sender: str, message: InstallSnapshot) -> None:
    """Collect a chunk; the last one makes the snapshot ready to install."""
    if message.term < state.term:
        state.send(sender, SnapshotReply(state.term, 0, False))
        return
    become_follower(state, message.term, sender)
    state.leader_heard_ms = state.now_ms
    postpone_election(state)
    if commit_snapshot_if_held(state, message.last_index, message.last_term):
        state.incoming_snapshot = None
        state.send(sender, SnapshotReply(state.term, 0, True, message.last_index))
        return
    buffer = _collect_chunk(state, message)
    if not message.last or len(buffer) != message.offset_bytes + len(message.chunk):
        state.send(sender, SnapshotReply(state.term, len(buffer), False))
        return
    state.incoming_snapshot = None
    snapshot = decode_snapshot(bytes(buffer))
    if snapshot is None:
        state.send(sender, SnapshotReply(state.term, 0, False))
        return
    state.snapshot_to_install = snapshot
    state.send(sender, SnapshotReply(state.term, len(buffer), True, message.last_index))


def receive_chunk_reply(state: ReplicaState, sender: str, message: SnapshotReply) -> None:
    """Send the next chunk, or continue with appends once the snapshot is installed."""
    if message.term > state.term:
        become_follower(state, message.term, "")
        return
    progress = state.progress.get(sender)
    if not state.is_leader or message.term < state.term or progress is None:
        return
    if message.installed:
        progress.snapshot_data = None
        progress.match_index = max(progress.match_index, message.last_index or 0)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.ack_wait_start_ms = state.now_ms
        state.round_due = True
        return
    if (
        progress.snapshot_data is not None
        and message.offset_bytes != progress.snapshot_offset_bytes
    ):
        progress.snapshot_offset_bytes = message.offset_bytes
        send_chunk(state, sender, progress)


def commit_snapshot_if_held(state: ReplicaState, index: int, term: int) -> bool:
    """Return whether the log already holds all that a snapshot covers, and if so commit it.

    What a snapshot covers was committed by the leader, so the commit index rises to `index`.
    """
    if index > state.commit_index and state.log.term_at(index) != term:
        return False
    state.commit_index = max(state.commit_index, index)
    return True


def reset_to_snapshot(state: ReplicaState, index: int, term: int, members: Members) -> None:
    """Replace the log by an installed snapshot, which is synced already."""
    state.log.reset(index, term, members)
    state.commit_index = index
    state.synced_index = index


def _collect_chunk(state: ReplicaState, message: InstallSnapshot) -> bytearray:
    position = (message.last_index, message.last_term)
    if (
        state.incoming_snapshot is None
        or state.incoming_snapshot[:2] != position
        or message.offset_bytes == 0
    ):
        state.incoming_snapshot = (*position, bytearray())
    buffer = state.incoming_snapshot[2]
    fits = len(buffer) + len(message.chunk) <= MAX_SNAPSHOT_BYTES
    if message.offset_bytes == len(buffer) and fits:
        buffer += message.chunk
    return buffer
