"""Single steps of the protocol that the random schedules of test_schedules rarely reach."""

from random import Random

from nose2.tools import params

from apricotrail.control._checks import check_proposal
from apricotrail.control._log import ReplicatedLog
from apricotrail.control._members import Member
from apricotrail.control._protocol import mark_synced, receive, tick
from apricotrail.control._replica import ReplicaState, Timing, confirmation_age_ms
from apricotrail.control._replication import append_command
from apricotrail.control._snapshots import Snapshot, encode_snapshot
from apricotrail.errors import ErrorKind
from apricotrail.membership import NEVER_CONFIRMED_AGE_MS
from apricotrail.wire.generated.ttypes import (
    Append,
    AppendReply,
    ChangeMember,
    Command,
    InstallSnapshot,
    LogEntry,
    Vote,
    VoteReply,
)

TIMING = Timing(round_ms=100, election_ms=1_000)
MEMBERS = {name: Member(name, True) for name in "abc"}


def make_replica(terms=(), term: int = 1, now_ms: float = 0.0) -> ReplicaState:
    entries = [LogEntry(index, it, b"x") for index, it in enumerate(terms, start=1)]
    log = ReplicatedLog(lambda command: None, 0, 0, MEMBERS, entries)
    return ReplicaState("a", log, term, "", TIMING, Random(1), now_ms, lambda: None)


def lead(replica: ReplicaState, now_ms: float) -> None:
    for at_ms in range(0, int(now_ms) + 1, 100):
        tick(replica, float(at_ms))
    receive(replica, "b", VoteReply(replica.term + 1, True, True), now_ms)
    receive(replica, "b", VoteReply(replica.term, True, False), now_ms)
    assert replica.is_leader
    mark_synced(replica)


def append(echo: int = 0, age_ms: int = 0, commit: int = 0, term: int = 1) -> Append:
    return Append(term, "b", 0, 0, [], commit, 1, age_ms, echo)


@params(0, 100, 5_000, 100_000)
def test_a_delayed_append_does_not_make_an_old_confirmation_fresh(delay_ms):
    follower = make_replica()
    receive(follower, "b", append(), 1_000.0)
    (sequence,) = follower.replies_sent
    receive(follower, "b", append(echo=sequence, age_ms=40), 1_010.0 + delay_ms)
    assert confirmation_age_ms(follower, 0) == 50.0 + delay_ms


@params((0, 5), (99, 5), (None, NEVER_CONFIRMED_AGE_MS))
def test_an_append_without_a_known_echo_confirms_nothing(echo, age_ms):
    follower = make_replica()
    receive(follower, "b", append(), 1_000.0)
    sequence = next(iter(follower.replies_sent)) if echo is None else echo
    receive(follower, "b", append(echo=sequence, age_ms=age_ms), 1_001.0)
    assert confirmation_age_ms(follower, 0) >= NEVER_CONFIRMED_AGE_MS


def test_a_leader_confirms_only_rounds_that_a_majority_answered():
    leader = make_replica()
    lead(leader, 2_000.0)
    tick(leader, 2_100.0)
    tick(leader, 2_200.0)
    assert confirmation_age_ms(leader, leader.commit_index) >= NEVER_CONFIRMED_AGE_MS
    receive(leader, "b", AppendReply(leader.term, True, 1, leader.round - 1, 7), 2_250.0)
    assert confirmation_age_ms(leader, leader.commit_index) == 150.0
    assert (leader.commit_index, leader.progress["b"].echo) == (1, 7)


# Guards against a read that is answered with an older version as the newest one, by a leader that
# was elected after the former one had acknowledged a change and was lost.
def test_a_leader_confirms_nothing_before_it_applied_what_former_leaders_acknowledged():
    leader = make_replica((1,))
    lead(leader, 2_000.0)
    tick(leader, 2_100.0)
    receive(leader, "b", AppendReply(leader.term, True, 2, leader.round, 7), 2_250.0)
    assert leader.commit_index == leader.term_start_index == 2
    assert confirmation_age_ms(leader, 0) >= NEVER_CONFIRMED_AGE_MS
    assert confirmation_age_ms(leader, 1) >= NEVER_CONFIRMED_AGE_MS
    assert confirmation_age_ms(leader, 2) == 150.0


# Guards against votes split between two replicas that asked for pre-votes at nearly the same time,
# after which a change that a lost leader acknowledged comes into force an election time later.
@params(("A", 1, False), ("b", 1, True), ("b", 2, False), ("A", 0, True))
def test_of_two_replicas_that_ask_for_pre_votes_at_once_one_goes_on(sender, last_index, goes_on):
    replica = make_replica((1,))
    for at_ms in range(0, 2_001, 100):
        tick(replica, float(at_ms))
    receive(replica, sender, Vote(2, sender, last_index, min(last_index, 1), True), 2_001.0)
    receive(replica, "c", VoteReply(2, True, True), 2_002.0)
    asked = [
        it for _, it in replica.messages_after_sync if isinstance(it, Vote) and not it.pre_vote
    ]
    assert (bool(asked), replica.term) == (goes_on, 2 if goes_on else 1)
    replies = [it for _, it in replica.messages_after_sync if isinstance(it, VoteReply)]
    assert [it.granted for it in replies] == [last_index >= 1]


def test_a_leader_without_a_majority_steps_down():
    leader = make_replica()
    lead(leader, 2_000.0)
    for now_ms in range(2_000, 3_200, 50):
        tick(leader, float(now_ms))
    assert not leader.is_leader


def test_entries_of_former_terms_are_not_committed_by_counting_replicas():
    leader = make_replica(terms=(1, 1), term=1)
    lead(leader, 2_000.0)
    receive(leader, "b", AppendReply(leader.term, True, 2, 1, 1), 2_001.0)
    assert leader.commit_index == 0
    receive(leader, "b", AppendReply(leader.term, True, 3, 1, 2), 2_002.0)
    assert leader.commit_index == 3


@params((2, 2, True), (3, 1, False), (1, 2, False), (2, 3, True))
def test_votes_go_only_to_logs_that_are_up_to_date(last_index, last_term, granted):
    voter = make_replica(terms=(1, 2), term=3)
    receive(voter, "b", Vote(4, "b", last_index, last_term, False), 2_000.0)
    ((_, reply),) = voter.messages_after_sync
    assert (reply.granted, voter.vote) == (granted, "b" if granted else "")


def test_a_vote_is_granted_once_a_term_and_not_while_a_leader_is_active():
    voter = make_replica()
    receive(voter, "b", Vote(2, "b", 0, 0, False), 2_000.0)
    receive(voter, "c", Vote(2, "c", 0, 0, False), 2_001.0)
    assert [reply.granted for _, reply in voter.messages_after_sync] == [True, False]
    receive(voter, "b", append(term=2), 2_002.0)
    voter.messages_after_sync.clear()
    receive(voter, "c", Vote(3, "c", 9, 9, False), 2_003.0)
    assert (voter.messages_after_sync, voter.term) == ([], 2)


def test_a_late_snapshot_does_not_remove_acknowledged_entries():
    follower = make_replica(terms=(1, 1, 1, 1))
    data = encode_snapshot(Snapshot(2, 1, b"state"))
    receive(follower, "b", InstallSnapshot(1, "b", 2, 1, 0, data, True), 10.0)
    assert follower.snapshot_to_install is None
    assert (follower.log.last_index, follower.commit_index) == (4, 2)


def test_a_snapshot_is_assembled_despite_lost_and_repeated_chunks():
    follower = make_replica()
    data = encode_snapshot(Snapshot(9, 1, b"s" * 1_000))
    for start in (0, 0, 300, 900, 300, 600, 600, 900):
        chunk = data[start : start + 300]
        last = start + 300 >= len(data)
        receive(follower, "b", InstallSnapshot(1, "b", 9, 1, start, chunk, last), 10.0)
    for start in range(900, len(data), 300):
        chunk = data[start : start + 300]
        last = start + 300 >= len(data)
        receive(follower, "b", InstallSnapshot(1, "b", 9, 1, start, chunk, last), 10.0)
    assert follower.snapshot_to_install == Snapshot(9, 1, b"s" * 1_000)


@params(
    ("follower", ChangeMember("a", "", "1", "remove"), ErrorKind.NO_QUORUM),
    ("leader", ChangeMember("a", "", "1", "remove"), ErrorKind.REFUSED),
    ("leader", ChangeMember("z", "", "9", "promote"), ErrorKind.NOT_FOUND),
    ("leader", ChangeMember("b", "b:1", "2", "add_learner"), None),
    ("changing", ChangeMember("b", "b:1", "2", "add_learner"), ErrorKind.CONFLICT),
    ("full", ChangeMember("b", "b:1", "2", "add_learner"), ErrorKind.OVERLOADED),
)
def test_members_change_one_at_a_time(case, change, kind):
    log = ReplicatedLog(lambda command: change, 0, 0, {"a#1": Member("a", True)})
    replica = ReplicaState("a#1", log, 1, "", TIMING, Random(1), 0.0, lambda: None)
    if case != "follower":
        tick(replica, 1.0)
        mark_synced(replica)
    if case == "changing":
        append_command(replica, b"another change")
    problem = check_proposal(replica, Command(change_member=change), int(case == "full"), 1)
    assert (problem.kind if problem else None) == kind
    assert problem is None or problem.remedy


# Guards against a removal that takes effect at the leader and can never be committed.
@params(("b#1", ErrorKind.NO_QUORUM), ("c#1", None))
def test_a_removal_is_refused_if_those_left_do_not_answer(removed, kind):
    members = {f"{name}#1": Member(name, True) for name in "abc"}
    log = ReplicatedLog(lambda command: None, 0, 0, members)
    replica = ReplicaState("a#1", log, 1, "", TIMING, Random(1), 0.0, lambda: None)
    for at_ms in range(0, 2_100, 100):
        tick(replica, float(at_ms))
    receive(replica, "b#1", VoteReply(replica.term + 1, True, True), 2_000.0)
    receive(replica, "b#1", VoteReply(replica.term, True, False), 2_000.0)
    mark_synced(replica)
    receive(replica, "b#1", AppendReply(replica.term, True, 1, replica.round, 1), 2_010.0)
    assert replica.commit_index == 1
    name, _, identity = removed.partition("#")
    change = ChangeMember(name, "", identity, "remove")
    problem = check_proposal(replica, Command(change_member=change), 0, 1)
    assert (problem.kind if problem else None) == kind
    assert problem is None or problem.remedy
