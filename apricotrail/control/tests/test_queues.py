"""Queue documents in the state machine, and member changes that add and replace replicas."""

import json
from random import Random
from zlib import compress

from nose2.tools import params

from apricotrail.control._contacts import MemberContacts
from apricotrail.control._log import ReplicatedLog
from apricotrail.control._member_repair import decide_departure, decide_member_change
from apricotrail.control._members import Member
from apricotrail.control._replica import Progress, ReplicaState, Role, Timing
from apricotrail.control._state import StateMachine
from apricotrail.control.tests.simulation import DOCUMENTS
from apricotrail.control.tests.test_state import apply
from apricotrail.wire.generated.ttypes import PutQueues, SetZoneState

A, B, C, D, E, F = "a#1", "b#1", "c#1", "d#1", "e#1", "f#1"
M = "m#memory-1"


def put(version: int, *names: str, source: bytes = b"source") -> PutQueues:
    document = {f"queue/{name}": {"name": name, "of": version} for name in names}
    return PutQueues(version, compress(json.dumps(document).encode()), compress(source))


def list_queues(state: StateMachine) -> set[str]:
    return {key for key in state.configuration.items() if key.startswith("queue/")}


def test_highest_version_wins_and_lower_ones_are_accepted_without_effect():
    state = StateMachine(DOCUMENTS)
    assert apply(state, put_queues=put(7, "x", "y")).accepted
    before = state.export()
    for version, names in ((7, "z"), (3, "z"), (0, "z")):
        assert apply(state, put_queues=put(version, *names)).accepted
        assert state.export() == before
    assert apply(state, put_queues=put(8, "y")).accepted
    assert list_queues(state) == {"queue/y"}
    assert state.read_item("queues") == {"version": 8}


def test_unreadable_queues_change_nothing():
    state = StateMachine(DOCUMENTS)
    for document in (b"", b"nonsense", compress(b"{")):
        outcome = apply(state, put_queues=PutQueues(4, document, b""))
        assert not outcome.accepted
        assert json.loads(outcome.answer)["remedy"]
    assert state.read_item("queues") is None


def test_zone_state_outlives_new_queues_and_snapshots():
    state = StateMachine(DOCUMENTS)
    apply(state, put_queues=put(1, "x"))
    assert apply(state, set_zone_state=SetZoneState("pipa", False)).accepted
    apply(state, put_queues=put(2, "x"))
    restored = StateMachine(DOCUMENTS)
    restored.restore(state.export())
    assert restored.read_item("zone-state/pipa") == {"in_service": False}
    assert restored.read_item("queues") == {"version": 2}
    assert apply(restored, set_zone_state=SetZoneState("pipa", True)).accepted
    assert restored.read_item("zone-state/pipa") is None


def test_an_unchanged_queue_is_not_sent_again():
    state = StateMachine(DOCUMENTS)
    apply(state, put_queues=put(1, *"abc"))
    version = state.version
    document = {f"queue/{name}": {"name": name, "of": 1} for name in "abcd"}
    apply(state, put_queues=PutQueues(2, compress(json.dumps(document).encode()), b""))
    change = state.configuration.changes_since(version)
    keys = {item.key for item in change.items if not item.key.startswith("source/")}
    assert keys == {"queue/d", "queues"}


def make_leader(
    members: dict[str, Member], caught_up: tuple[str, ...] = (), answering: tuple[str, ...] = ()
) -> ReplicaState:
    log = ReplicatedLog(lambda command: None, 1, 1, members, [])
    state = ReplicaState(A, log, 1, "", Timing(), Random(1), 0.0, lambda: None)
    state.role = Role.LEADER
    state.commit_index = state.term_start_index = 1
    state.round = 2
    state.rounds_sent[state.round] = 0.0
    for key in members:
        if key != A:
            state.progress[key] = Progress(2, 0.0, first_round=1)
            state.progress[key].match_index = int(key in caught_up)
            state.progress[key].acked_round = state.round * (key in answering)
    return state


def voters(*keys: str) -> dict[str, Member]:
    return {key: Member(key, True) for key in keys}


LEARNER_D = {D: Member(D, False)}
GONE_MS, SILENT_MS, HEARD_MS = 12_000.0, 2_000.0, 1_900.0


@params(
    # members, linked, silences, change
    (voters(A, B, C), (B, C, D), {}, ("add_learner", "d")),
    ({**voters(A, B, C), **LEARNER_D}, (B, C, D), {}, ("promote", "d")),
    (voters(A, B, C, D), (B, D), {C: GONE_MS}, ("remove", "c")),
    (voters(A, B, C), (B,), {C: GONE_MS}, None),
    ({**voters(A, B, C), **LEARNER_D}, (B, C), {D: GONE_MS}, ("remove", "d")),
    (voters(A, B, C), (B, C, "c#2"), {}, ("add_learner", "c")),
    ({**voters(A, B, C), "c#2": Member("c", False)}, (B, "c#2"), {}, ("remove", "c")),
    # A newcomer takes the place of the voter that is silent for longest, and waits for its silence.
    ({**voters(A, B, C), **LEARNER_D}, (B, D), {C: SILENT_MS}, ("remove", "c")),
    ({**voters(A, B, C), **LEARNER_D}, (B, D), {C: HEARD_MS}, None),
    ({**voters(A, B), **LEARNER_D}, (B, D), {}, ("promote", "d")),
    ({**voters(A, B, C, E), **LEARNER_D}, (B, D, E), {C: SILENT_MS}, ("promote", "d")),
    (
        {**voters(A, B, C, E, F), **LEARNER_D},
        (B, D, E),
        {C: SILENT_MS, F: SILENT_MS + 1},
        ("remove", "f"),
    ),
    # No change is proposed that the replicas which answer could not commit.
    ({**voters(A, B, C), **LEARNER_D}, (D,), {B: SILENT_MS, C: SILENT_MS}, None),
    ({**voters(A, B, C), "c#2": Member("c", False)}, ("c#2",), {}, None),
    (voters(A, B, C, D, E), (B,), {C: GONE_MS, D: GONE_MS, E: GONE_MS}, None),
    # Replicas without a disk: added, never promoted, removed once lost or replaced by another.
    (voters(A, B, C), (B, C, M), {}, ("add_learner", "m")),
    ({**voters(A, B, C), M: Member("m", False)}, (B, C, M), {}, None),
    ({**voters(A, B, C), M: Member("m", False)}, (B, C), {M: GONE_MS}, ("remove", "m")),
    (
        {**voters(A, B, C), M: Member("m", False), f"{M}2": Member("m", False)},
        (B, C, f"{M}2"),
        {},
        ("remove", "m"),
    ),
)
def test_replicas_are_replaced_one_change_at_a_time(members, linked, silences_ms, change):
    leader = make_leader(members, caught_up=linked, answering=linked)
    addresses = {key: key for key in linked}
    peers = {key.partition("#")[0]: key for key in linked}
    decided = decide_member_change(leader, addresses, peers, {A: 0.0, B: 0.0, **silences_ms})
    assert (decided and (decided.action, decided.name)) == change


def test_lost_replicas_are_never_removed_below_three_voters():
    members = voters(A, B, C, D)
    gone = dict.fromkeys((C, D), GONE_MS)
    change = decide_member_change(make_leader(members, answering=(B, C, D)), {}, {}, gone)
    left = {key: member for key, member in members.items() if key != f"{change.name}#1"}
    gone = dict.fromkeys((key for key in left if key != A), GONE_MS)
    assert decide_member_change(make_leader(left, answering=(B, C, D)), {}, {}, gone) is None


@params(((A, B, C), False), ((A, B, C, D), True), ((A, B, C, D, E), False), ((B, C, D, E), False))
def test_a_replica_leaves_before_a_stop_if_the_others_bear_more_losses_then(members, leaves):
    change = decide_departure(make_leader(voters(*members)))
    assert (change is not None) == leaves
    assert change is None or (change.name, change.action) == ("a", "remove")


# Guards against a new leader that counts the silence of a lost member anew.
def test_silence_is_counted_by_replicas_that_do_not_lead_and_not_during_a_stall():
    contacts = MemberContacts(max_gap_ms=500.0)
    assert contacts.record((B, C), {B: 90.0, C: 100.0}, 100.0) == {B: 10.0, C: 0.0}
    assert contacts.record((B, C, D), {B: 350.0}, 350.0) == {B: 0.0, C: 250.0, D: 0.0}
    # 8,000 ms without a record: the process was suspended.
    assert contacts.record((B, C, D), {}, 8_350.0) == {B: 0.0, C: 250.0, D: 0.0}
    assert contacts.record((C,), {C: 8_400.0}, 8_450.0) == {C: 50.0}
