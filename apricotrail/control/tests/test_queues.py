"""Queue documents in the state machine, and the silence of the other members."""

import json
from zlib import compress

from apricotrail.control._contacts import MemberContacts
from apricotrail.control._state import StateMachine
from apricotrail.control.tests.simulation import DOCUMENTS
from apricotrail.control.tests.test_state import apply
from apricotrail.wire.generated.ttypes import PutQueues, SetZoneState

B, C, D = "b#1", "c#1", "d#1"


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


# Guards against a new leader that counts the silence of a lost member anew.
def test_silence_is_counted_by_replicas_that_do_not_lead_and_not_during_a_stall():
    contacts = MemberContacts(max_gap_ms=500.0)
    assert contacts.record((B, C), {B: 90.0, C: 100.0}, 100.0) == {B: 10.0, C: 0.0}
    assert contacts.record((B, C, D), {B: 350.0}, 350.0) == {B: 0.0, C: 250.0, D: 0.0}
    # 8,000 ms without a record: the process was suspended.
    assert contacts.record((B, C, D), {}, 8_350.0) == {B: 0.0, C: 250.0, D: 0.0}
    assert contacts.record((C,), {C: 8_400.0}, 8_450.0) == {C: 50.0}
