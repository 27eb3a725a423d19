"""Entry points of the protocol: received messages, ticks and finished syncs."""

from collections.abc import Callable
from typing import Any

from apricotrail.control._election import (
    check_election,
    check_quorum,
    check_transfer,
    postpone_after_stall,
    receive_timeout_now,
    receive_vote,
    receive_vote_reply,
)
from apricotrail.control._replica import ReplicaState
from apricotrail.control._replication import (
    advance_commit,
    receive_append,
    receive_append_reply,
    start_round,
)
from apricotrail.control._transfer import receive_chunk, receive_chunk_reply
from apricotrail.wire.generated import ttypes

__all__ = ["MESSAGE_TYPES", "mark_synced", "ms_until_tick", "receive", "start_round_if_due", "tick"]

MIN_TICK_MS = 2.0
TRANSFER_TICK_MS = 20.0

_HANDLERS: dict[type, Callable[[ReplicaState, str, Any], None]] = {
    ttypes.Vote: receive_vote,
    ttypes.VoteReply: receive_vote_reply,
    ttypes.Append: receive_append,
    ttypes.AppendReply: receive_append_reply,
    ttypes.InstallSnapshot: receive_chunk,
    ttypes.SnapshotReply: receive_chunk_reply,
    ttypes.TimeoutNow: receive_timeout_now,
}
MESSAGE_TYPES = tuple(_HANDLERS)


def receive(state: ReplicaState, sender: str, message: Any, now_ms: float) -> None:
    """Handle a message from the replica with the id `sender`."""
    state.now_ms = now_ms
    _HANDLERS[type(message)](state, sender, message)


def ms_until_tick(state: ReplicaState, now_ms: float) -> float:
    """Return the milliseconds until the next tick is due, at most one round."""
    due_ms = state.next_round_ms if state.is_leader else state.election_due_ms
    if state.transfer is not None:
        due_ms = now_ms + TRANSFER_TICK_MS
    return min(max(due_ms - now_ms, MIN_TICK_MS), state.timing.round_ms)


def tick(state: ReplicaState, now_ms: float) -> None:
    """Run what is due: an election, a round of appends, a step-down or a leadership transfer."""
    state.now_ms = now_ms
    postpone_after_stall(state)
    if not state.is_leader:
        check_election(state)
        return
    check_quorum(state)
    if state.is_leader and now_ms >= state.next_round_ms:
        start_round(state)
    check_transfer(state)


def start_round_if_due(state: ReplicaState) -> None:
    """Start a round if new entries or a new commit index wait to be sent."""
    if state.is_leader and state.round_due:
        start_round(state)


def mark_synced(state: ReplicaState) -> None:
    """Record that every entry written so far is synced, and commit what this allows."""
    state.synced_index = state.log.last_index
    advance_commit(state)
