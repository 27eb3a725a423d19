"""Replication: appends in numbered rounds, commit by quorum, proof that the leader still leads.

A round is one append to every other replica. A quorum that answers a round proves that no other
leader had been elected when the round was sent. `_quorums` tells which replicas are a quorum.
"""

from functools import partial

from apricotrail.control._members import Members
from apricotrail.control._quorums import find_quorum_value, is_commit_quorum, is_quorum
from apricotrail.control._replica import (
    Progress,
    ReplicaState,
    become_follower,
    is_leader_ready,
    postpone_election,
)
from apricotrail.control._transfer import needs_snapshot, send_chunk
from apricotrail.membership import NEVER_CONFIRMED_AGE_MS
from apricotrail.wire.generated.ttypes import Append, AppendReply, LogEntry

__all__ = [
    "advance_commit",
    "append_command",
    "has_live_quorum",
    "is_live",
    "receive_append",
    "receive_append_reply",
    "start_round",
]

MAX_APPEND_BYTES = 1024 * 1024
MAX_ROUNDS_KEPT = 64
MAX_REPLIES_KEPT = 256
RETRANSMIT_ROUNDS = 3


def append_command(state: ReplicaState, command: bytes) -> int:
    """Append a command to the leader's log and return its index."""
    entry = LogEntry(state.log.last_index + 1, state.term, command)
    state.log.append(entry)
    state.pending_writes.append(entry)
    state.round_due = True
    return entry.index


def start_round(state: ReplicaState) -> None:
    """Send every other replica the entries it lacks, or an empty append."""
    state.round += 1
    state.rounds_sent[state.round] = state.now_ms
    if len(state.rounds_sent) > MAX_ROUNDS_KEPT:
        state.rounds_sent.popitem(last=False)
    state.next_round_ms = state.now_ms + state.timing.round_ms
    state.round_due = False
    _update_tracked_replicas(state)
    for peer, progress in state.progress.items():
        _rewind_unacknowledged(state, progress)
        _send_append(state, peer, progress)
    _confirm_round(state)


def receive_append(state: ReplicaState, sender: str, message: Append) -> None:
    """Append the leader's entries and reply with the index up to which the logs match."""
    if message.term < state.term:
        state.send(sender, AppendReply(state.term, False, state.log.last_index, 0, 0))
        return
    become_follower(state, message.term, sender)
    state.leader_heard_ms = state.now_ms
    postpone_election(state)
    match_index = _append_received_entries(state, message)
    if match_index is None:
        _reply(state, sender, message, False, _find_match_hint(state, message))
        return
    state.commit_index = max(state.commit_index, min(message.commit_index, match_index))
    _update_freshness(state, message)
    _reply(state, sender, message, True, match_index)


def receive_append_reply(state: ReplicaState, sender: str, message: AppendReply) -> None:
    """Record what another replica holds, advance the commit index and send what it still lacks."""
    if message.term > state.term:
        become_follower(state, message.term, "")
        return
    progress = state.progress.get(sender)
    if not state.is_leader or message.term < state.term or progress is None:
        return
    # The latest number rather than the highest: a restarted replica begins at another one.
    progress.echo = message.sequence or 0
    progress.acked_round = max(progress.acked_round, message.round)
    _confirm_round(state)
    if not message.accepted:
        _decrease_next_index(state, sender, progress, message.match_index)
        return
    if message.match_index > progress.match_index:
        progress.match_index = message.match_index
        progress.ack_wait_start_ms = state.now_ms
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    advance_commit(state)
    if state.is_leader and progress.next_index <= state.log.last_index:
        _send_append(state, sender, progress)


def advance_commit(state: ReplicaState) -> None:
    """Commit what enough replicas have synced, up to an entry of this term.

    Entries of former terms are committed only along with one of this term (Raft, section 5.4.2).
    A leader that is no longer a voter steps down once its removal is committed.
    """
    if not state.is_leader:
        return
    held: dict[str, float] = {key: it.match_index for key, it in state.progress.items()}
    held[state.own_id] = state.synced_index
    index = find_quorum_value(partial(is_commit_quorum, state.make_quorum_rule()), held)
    if index <= state.commit_index or state.log.term_at(int(index)) != state.term:
        return
    state.commit_index = int(index)
    state.round_due = True
    if not state.is_voter and state.commit_index >= state.log.member_change_index:
        become_follower(state, state.term, "")


def has_live_quorum(state: ReplicaState, members: Members) -> bool:
    """Return whether enough of `members` answer this leader now to commit an entry.

    A change of members takes effect before it is committed. One that leaves a group without such a
    quorum may never be committed, and then nothing else can be.
    """
    live = {peer for peer in state.progress if is_live(state, peer)}
    return is_commit_quorum(state.make_quorum_rule(members), {state.own_id, *live})


def is_live(state: ReplicaState, peer: str) -> bool:
    """Return whether another replica has answered a round sent within the election time."""
    sent_ms = state.rounds_sent.get(state.progress[peer].acked_round, float("-inf"))
    return sent_ms >= state.now_ms - state.timing.election_ms


def _update_tracked_replicas(state: ReplicaState) -> None:
    for peer in state.log.members:
        if peer != state.own_id and peer not in state.progress:
            state.progress[peer] = Progress(state.log.last_index + 1, state.now_ms, state.round)
    for peer in [peer for peer in state.progress if peer not in state.log.members]:
        del state.progress[peer]


def _rewind_unacknowledged(state: ReplicaState, progress: Progress) -> None:
    since_progress_ms = state.now_ms - progress.ack_wait_start_ms
    if progress.next_index <= progress.match_index + 1:
        progress.ack_wait_start_ms = state.now_ms
    elif progress.match_index and since_progress_ms > RETRANSMIT_ROUNDS * state.timing.round_ms:
        progress.next_index = progress.match_index + 1
        progress.ack_wait_start_ms = state.now_ms


def _send_append(state: ReplicaState, peer: str, progress: Progress) -> None:
    if needs_snapshot(state, progress):
        send_chunk(state, peer, progress)
        state.messages_before_sync.append((peer, _make_append(state, progress, 0, [])))
        return
    previous = progress.next_index - 1
    entries = state.log.batch_from(progress.next_index, MAX_APPEND_BYTES)
    progress.next_index += len(entries)
    state.messages_before_sync.append((peer, _make_append(state, progress, previous, entries)))


def _make_append(
    state: ReplicaState, progress: Progress, previous: int, entries: list[LogEntry]
) -> Append:
    age_ms: float = NEVER_CONFIRMED_AGE_MS
    if is_leader_ready(state) and state.quorum_round_sent_ms is not None:
        age_ms = min(age_ms, state.now_ms - state.quorum_round_sent_ms + 1)
    return Append(
        state.term,
        state.own_id,
        previous,
        state.log.term_at(previous) or 0,
        entries,
        state.commit_index,
        state.round,
        int(age_ms),
        progress.echo,
    )


def _confirm_round(state: ReplicaState) -> None:
    acked: dict[str, float] = {key: it.acked_round for key, it in state.progress.items()}
    acked[state.own_id] = state.round
    confirmed = find_quorum_value(partial(is_quorum, state.make_quorum_rule()), acked)
    sent_ms = state.rounds_sent.get(int(max(0, confirmed)))
    if sent_ms is not None and (
        state.quorum_round_sent_ms is None or sent_ms > state.quorum_round_sent_ms
    ):
        state.quorum_round_sent_ms = sent_ms


def _decrease_next_index(state: ReplicaState, peer: str, progress: Progress, hint: int) -> None:
    next_index = max(progress.match_index, min(hint, progress.next_index - 2)) + 1
    if next_index >= progress.next_index:
        return
    progress.next_index = next_index
    _send_append(state, peer, progress)


def _append_received_entries(state: ReplicaState, message: Append) -> int | None:
    log = state.log
    previous = message.previous_index
    if previous >= log.base_index and log.term_at(previous) != message.previous_term:
        return None
    for entry in message.entries:
        held_term = log.term_at(entry.index)
        if entry.index <= log.base_index or held_term == entry.term:
            continue
        if entry.index > log.last_index + 1:
            return None
        if held_term is not None:
            log.truncate(entry.index)
            state.synced_index = min(state.synced_index, entry.index - 1)
        log.append(entry)
        state.pending_writes.append(entry)
    return previous + len(message.entries)


def _find_match_hint(state: ReplicaState, message: Append) -> int:
    log = state.log
    if message.previous_index > log.last_index:
        return log.last_index
    index = message.previous_index
    term = log.term_at(index)
    while index > state.commit_index and log.term_at(index) == term:
        index -= 1
    return index


def _reply(state: ReplicaState, peer: str, message: Append, accepted: bool, index: int) -> None:
    state.reply_sequence += 1
    state.replies_sent[state.reply_sequence] = state.now_ms
    if len(state.replies_sent) > MAX_REPLIES_KEPT:
        state.replies_sent.popitem(last=False)
    reply = AppendReply(state.term, accepted, index, message.round, state.reply_sequence)
    state.send(peer, reply)


def _update_freshness(state: ReplicaState, message: Append) -> None:
    reply_sent_ms = state.replies_sent.get(message.echo or 0)
    if reply_sent_ms is None or message.confirmed_age_ms >= NEVER_CONFIRMED_AGE_MS:
        return
    state.freshness.receive(message.commit_index, reply_sent_ms - message.confirmed_age_ms)
