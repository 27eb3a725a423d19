"""Raft elections of the replicated log: pre-votes, votes, check-quorum and leadership transfer.

Check-quorum is the step-down of a leader that no quorum has confirmed for the election time. The
election time is `Timing.election_ms`.
"""

from apricotrail.control._quorums import is_quorum
from apricotrail.control._replica import (
    Progress,
    ReplicaState,
    Role,
    Transfer,
    become_follower,
    postpone_election,
    set_term,
)
from apricotrail.control._replication import append_command, start_round
from apricotrail.membership import has_durable_log
from apricotrail.wire.generated.ttypes import TimeoutNow, Vote, VoteReply

__all__ = [
    "begin_transfer",
    "check_election",
    "check_quorum",
    "check_transfer",
    "postpone_after_stall",
    "receive_timeout_now",
    "receive_vote",
    "receive_vote_reply",
]

# A gap between two ticks of at least this share of the election time counts as a stall.
STALL_SHARE = 0.5


def check_election(state: ReplicaState) -> None:
    """Ask for pre-votes if the random time of this replica's next election has come.

    That time is one to two election times after a leader was last heard or the election was
    postponed for another reason. A replica that is a quorum by itself starts its election at once.
    A spare, which alone may have the last entries if disks are lost, leaves it to the voters for
    one election time more.
    """
    if state.is_leader or not _may_campaign(state):
        return
    if is_quorum(state.make_quorum_rule(), {state.own_id}):
        _campaign(state, transfer=False)
        return
    wait_ms = 0.0 if state.is_voter else state.timing.election_ms
    if state.now_ms >= state.election_due_ms + wait_ms:
        _ask_pre_votes(state)


def postpone_after_stall(state: ReplicaState) -> None:
    """Postpone elections and step-downs after a stall of this process.

    Messages that arrived during the stall still wait in the sockets and need time to be read. The
    age that `confirmation_age_ms` returns isn't affected: it keeps growing.
    """
    since_tick_ms = state.now_ms - state.last_tick_ms
    state.last_tick_ms = state.now_ms
    if since_tick_ms < state.timing.election_ms * STALL_SHARE:
        return
    state.stall_ended_ms = state.now_ms
    postpone_election(state)


def check_quorum(state: ReplicaState) -> None:
    """Step down if no quorum has confirmed a round of this leader within the election time.

    A round is one sending of appends to all other replicas. The time counts from the sending of the
    newest confirmed round, or from the election before the first one, but not from before the end
    of the last stall of this process.
    """
    confirmed_ms = (
        state.elected_ms if state.quorum_round_sent_ms is None else state.quorum_round_sent_ms
    )
    confirmed_ms = max(confirmed_ms, state.stall_ended_ms)
    if state.now_ms - confirmed_ms > state.timing.election_ms:
        become_follower(state, state.term, "")


def begin_transfer(state: ReplicaState) -> bool:
    """Start to transfer leadership; False if this replica does not lead or has no other voter.

    The target is the voter that answered the newest round and, among equals, holds most entries. It
    has one election time to catch up.
    """
    if not state.is_leader:
        return False
    voters = [
        (progress.acked_round, progress.match_index, peer)
        for peer, progress in state.progress.items()
        if peer in state.log.members and state.log.members[peer].voter
    ]
    if not voters:
        return False
    _, _, target = max(voters)
    state.transfer = Transfer(target, state.now_ms + state.timing.election_ms)
    check_transfer(state)
    return True


def check_transfer(state: ReplicaState) -> None:
    """Ask the target of the transfer to start an election once it holds the whole log.

    The request is repeated at each call until this replica follows. The transfer is abandoned after
    its deadline, or if the target is no longer a member.
    """
    if state.transfer is None:
        return
    progress = state.progress.get(state.transfer.target)
    if progress is None or state.now_ms > state.transfer.deadline_ms:
        state.transfer = None
        return
    if progress.match_index == state.log.last_index:
        state.send(state.transfer.target, TimeoutNow(state.term))


def receive_timeout_now(state: ReplicaState, sender: str, message: TimeoutNow) -> None:
    """Start an election at once, without pre-votes, at the request of the present leader."""
    if message.term == state.term and state.leader == sender and state.is_voter:
        _campaign(state, transfer=True)


def receive_vote(state: ReplicaState, sender: str, message: Vote) -> None:
    """Answer a request for a vote or pre-vote.

    While a leader is known to be active, a vote request gets no reply and a pre-vote request is
    refused, unless the leader itself asked for the election. A granted pre-vote is answered with
    the term asked for, which the sender has not entered yet; every other reply has the own term.
    """
    if _has_leader(state) and not message.transfer:
        if message.pre_vote:
            state.send(sender, VoteReply(state.term, False, True))
        return
    up_to_date = (message.last_term, message.last_index) >= (
        state.log.last_term,
        state.log.last_index,
    )
    if message.pre_vote:
        granted = up_to_date and message.term > state.term
        if granted and _is_outranked(state, sender, message):
            become_follower(state, state.term, "")
        state.send(sender, VoteReply(message.term if granted else state.term, granted, True))
        return
    if message.term > state.term:
        become_follower(state, message.term, "")
    granted = up_to_date and message.term == state.term and state.vote in ("", sender)
    if granted:
        if state.vote != sender:
            set_term(state, state.term, sender)
        postpone_election(state)
    state.send(sender, VoteReply(state.term, granted, False))


def receive_vote_reply(state: ReplicaState, sender: str, message: VoteReply) -> None:
    """Count a vote or pre-vote.

    A quorum of pre-votes starts the election, a quorum of votes makes this replica the leader. A
    higher term makes it a follower, except in a granted pre-vote, which has the term asked for.
    """
    if message.term > state.term and not (message.pre_vote and message.granted):
        become_follower(state, message.term, "")
        return
    if state.role is not Role.CANDIDATE or not message.granted:
        return
    expected_term = state.term + 1 if state.pre_vote else state.term
    if message.pre_vote != state.pre_vote or message.term != expected_term:
        return
    state.votes.add(sender)
    if not is_quorum(state.make_quorum_rule(), state.votes):
        return
    if state.pre_vote:
        _campaign(state, transfer=False)
    else:
        _become_leader(state)


def _may_campaign(state: ReplicaState) -> bool:
    is_member = state.own_id in state.log.members
    return state.is_voter or (is_member and _may_spares_vote(state, state.own_id))


def _may_spares_vote(state: ReplicaState, replica_id: str) -> bool:
    """Return whether a learner counts in elections, as disks of members are lost."""
    is_needed = bool(state.lost_disks) and state.make_quorum_rule().is_guarded
    return is_needed and has_durable_log(replica_id)


def _has_leader(state: ReplicaState) -> bool:
    """Return whether this replica leads or has heard a leader within the election time.

    Its own start counts as hearing a leader.
    """
    if state.is_leader:
        return True
    return state.now_ms - state.leader_heard_ms < state.timing.election_ms


def _is_outranked(state: ReplicaState, sender: str, message: Vote) -> bool:
    """Return whether this replica, asking for pre-votes itself, leaves the election to `sender`.

    Of two replicas that ask at nearly the same time, both could get a quorum of pre-votes and then
    split the votes. The one with more entries goes on, among equals the one with the smaller id.
    """
    if state.role is not Role.CANDIDATE or not state.pre_vote:
        return False
    own_position = (state.log.last_term, state.log.last_index)
    return (message.last_term, message.last_index) > own_position or sender < state.own_id


def _ask_pre_votes(state: ReplicaState) -> None:
    state.role = Role.CANDIDATE
    state.leader = ""
    state.pre_vote = True
    state.votes = {state.own_id}
    postpone_election(state)
    _ask_votes(state, state.term + 1, transfer=False)


def _campaign(state: ReplicaState, transfer: bool) -> None:
    """Enter the next term as a candidate; `transfer` tells voters that the leader asked for it."""
    state.role = Role.CANDIDATE
    state.leader = ""
    state.pre_vote = False
    set_term(state, state.term + 1, state.own_id)
    state.votes = {state.own_id}
    postpone_election(state)
    if is_quorum(state.make_quorum_rule(), state.votes):
        _become_leader(state)
        return
    _ask_votes(state, state.term, transfer)


def _ask_votes(state: ReplicaState, term: int, transfer: bool) -> None:
    log = state.log
    for peer, member in log.members.items():
        if (member.voter or _may_spares_vote(state, peer)) and peer != state.own_id:
            vote = Vote(
                term, state.own_id, log.last_index, log.last_term, state.pre_vote, transfer or None
            )
            state.send(peer, vote)


def _become_leader(state: ReplicaState) -> None:
    state.role = Role.LEADER
    state.leader = state.own_id
    state.transfer = None
    state.quorum_round_sent_ms = None
    state.elected_ms = state.now_ms
    state.rounds_sent.clear()
    state.progress = {
        peer: Progress(state.log.last_index + 1, state.now_ms, state.round + 1)
        for peer in state.log.members
        if peer != state.own_id
    }
    # Once this empty entry is committed, so is everything accepted in former terms.
    state.term_start_index = append_command(state, b"")
    start_round(state)
