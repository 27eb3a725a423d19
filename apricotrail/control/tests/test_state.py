"""Effects of commands on the state: concurrent changes, resends, refusals, bounds."""

import json
import tempfile

from nose2.tools import params

from apricotrail.control import _requests
from apricotrail.control._acceptance import Promotion, check_acceptance, make_proof
from apricotrail.control._requests import REQUEST_WINDOW_MS
from apricotrail.control._state import StateMachine
from apricotrail.control.tests.simulation import DOCUMENTS
from apricotrail.wire import encode_message
from apricotrail.wire.generated.ttypes import (
    AssignHost,
    Command,
    InstallView,
    PutDocument,
    SetTargetState,
    SetZoneState,
    ViewMember,
)


def apply(state, request_id="", wall_ms=1, expect=None, author="ana", **body):
    return state.apply(encode_message(Command(request_id, author, wall_ms, expect, **body)))


def put(text: bytes) -> PutDocument:
    return PutDocument(text, b"", True)


def make_state(*texts: bytes) -> StateMachine:
    state = StateMachine(DOCUMENTS)
    for text in texts or (b"first",):
        assert apply(state, put_document=put(text)).accepted
    return state


def test_second_of_two_concurrent_changes_is_refused_and_names_the_winner():
    state = make_state()
    assert apply(state, "a", expect=1, author="ana", wall_ms=5, put_document=put(b"A")).accepted
    lost = apply(state, "b", expect=1, author="rui", wall_ms=6, put_document=put(b"B"))
    answer = json.loads(lost.answer)
    assert (lost.accepted, answer["kind"], answer["winner"]["author"]) == (False, "conflict", "ana")
    assert answer["winner"]["sha256"] == state.history[-1].sha256
    assert (answer["winner"]["wall_ms"], state.texts[2], bool(answer["remedy"])) == (5, b"A", True)


def test_change_of_another_key_is_no_conflict():
    state = make_state()
    assert apply(state, expect=1, set_zone_state=SetZoneState("pipa", False)).accepted
    assert apply(state, expect=1, put_document=put(b"next")).accepted
    assert not apply(state, expect=1, set_zone_state=SetZoneState("pipa", True)).accepted
    assert not apply(state, expect=9, set_zone_state=SetZoneState("jeri", False)).accepted


def test_zone_state_outlives_a_new_document():
    state = make_state()
    apply(state, set_zone_state=SetZoneState("pipa", False))
    apply(state, put_document=put(b"next"))
    assert state.read_item("zone-state/pipa") == {"in_service": False}
    assert apply(state, set_zone_state=SetZoneState("pipa", True)).accepted
    assert state.read_item("zone-state/pipa") is None


@params(
    {"put_document": put(b"bad")},
    {"put_document": PutDocument(b"text", b"wrong digest", True)},
    {"set_zone_state": SetZoneState("nowhere", False)},
    {"set_target_state": SetTargetState("nobody", True)},
    {"install_view": InstallView(3, [], 0)},
    {"assign_host": AssignHost("nobody", "e", 1, 1)},
    {},
)
def test_a_refused_command_changes_nothing_and_names_a_remedy(body):
    state = make_state()
    before = state.export()
    outcome = apply(state, **body)
    answer = json.loads(outcome.answer)
    assert (outcome.accepted, state.export()) == (False, before)
    assert answer["message"] and answer["remedy"]


def test_repeated_change_makes_no_new_version():
    state = make_state()
    assert apply(state, put_document=put(b"first")).version == 1
    assert apply(state, set_zone_state=SetZoneState("pipa", True)).version == 1


def test_a_resend_gets_the_first_answer_also_after_a_snapshot():
    state = make_state()
    first = apply(state, "x", set_zone_state=SetZoneState("pipa", False))
    apply(state, "y", set_zone_state=SetZoneState("pipa", True))
    restored = StateMachine(DOCUMENTS)
    restored.restore(state.export())
    for machine in (state, restored):
        assert apply(machine, "x", 99, set_zone_state=SetZoneState("pipa", False)) == first
        assert machine.version == 3
        other = apply(machine, "x", set_zone_state=SetZoneState("jeri", False))
        assert json.loads(other.answer)["kind"] == "body_mismatch"


def test_first_answers_are_kept_for_the_window_and_bounded():
    state = make_state()
    first = apply(state, "x", 1_000, set_zone_state=SetZoneState("pipa", False))
    apply(state, "y", 1_000 + REQUEST_WINDOW_MS, set_zone_state=SetZoneState("pipa", True))
    assert state.requests.find("x")[1] == first
    apply(state, "z", 1_001 + REQUEST_WINDOW_MS, set_zone_state=SetZoneState("jeri", False))
    assert state.requests.find("x") is None
    for number in range(_requests.MAX_REQUESTS + 5):
        state.requests.add(f"n{number}", "", first, state.log_ms)
    assert len(state.requests.export()) == _requests.MAX_REQUESTS


def test_a_host_is_replaced_only_once_it_has_left_the_view():
    def view(epoch, *entries):
        members = [ViewMember(name, incarnation, "", "") for name, incarnation in entries]
        return apply(state, install_view=InstallView(epoch, members, 0)).accepted

    def host(entry, incarnation, epoch):
        return apply(state, assign_host=AssignHost("t", entry, incarnation, epoch)).accepted

    state = StateMachine(DOCUMENTS._replace(make_items=lambda text: {"target/t": b"{}"}))
    apply(state, put_document=put(b"first"))
    assert not host("e", 1, 1)
    assert view(1, ("e", 1), ("f", 1)) and host("e", 1, 1)
    assert [host("f", 1, 2), host("f", 1, 1), host("e", 1, 3)] == [False] * 3
    assert view(2, ("e", 2), ("f", 1)) and not view(2, ("e", 2))
    assert host("f", 1, 2) and not host("e", 2, 3)
    assert [it["epoch"] for it in state.read_item("view")["previous"]] == [1]


KEY = b"a key of the promotion"


@params(
    ("trial", True, lambda proof: "", True),
    ("production", True, lambda proof: proof, False),
    ("production", False, lambda proof: "", False),
    ("production", False, lambda proof: proof[:-1] + "0", False),
    ("production", False, lambda proof: proof, True),
)
def test_production_accepts_only_what_its_trial_accepted(environment, trial, alter, is_accepted):
    with tempfile.NamedTemporaryFile() as file:
        file.write(b"another key, being replaced\n" + KEY + b"\n")
        file.flush()
        text = put(b"exact bytes")
        proof = make_proof(Promotion("trial", "trial", file.name), text)
        proposed = PutDocument(b"exact bytes", b"", trial, alter(proof))
        assert (
            check_acceptance(Promotion(environment, "trial", file.name), proposed) is None
        ) == is_accepted
        proposed.text = b"other bytes"
        promotion = Promotion("production", "trial", file.name)
        assert check_acceptance(promotion, proposed) is not None
    assert check_acceptance(Promotion("production", "trial", file.name), proposed) is not None


def test_items_are_counted_by_kind_over_snapshots():
    state = make_state()
    for zone in ("pipa", "natal", "pipa"):
        apply(state, set_zone_state=SetZoneState(zone, False))
    apply(state, set_zone_state=SetZoneState("natal", True))
    restored = StateMachine(DOCUMENTS)
    restored.restore(state.export())
    for machine in (state, restored):
        assert (machine.item_counts["zone-state"], machine.item_counts["zone"]) == (1, 3)
