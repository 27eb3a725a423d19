"""Ends in doubt at a gate: what goes on, what resolves them, and when leases lapse after all."""

import unittest

from apricotrail.runners._doubts import (
    MAX_DOUBT_MS,
    MAX_HELD_ENDS,
    UNRESOLVED_AFTER_CONTACT_MS,
)
from apricotrail.runners._driver import CONFIRM_WAIT_MS, HELD_WAIT_MS
from apricotrail.runners._runs import OrderKind, Owner
from apricotrail.runners._unconfirmed import CONTACT_AFTER_SILENCE_MS
from apricotrail.runners.tests.harness import ALICE, BOB, BOOT, GateCase, make_report, make_start

TASK, KEY = "j.0.0.0", ("j.0.0.0", 1)
LASTING = "k.0.0.0"
NEW_ALICE = Owner(ALICE.name, ALICE.incarnation + 1)


class DoubtCase(GateCase):
    """A gate that holds the end of a run of Alice, who is silent, while Bob's run goes on.

    Attributes
    ----------
    has_contact, is_witnessed : bool
        Whether control is reached, and whether a majority of it are witnesses.
    """

    def __init__(self) -> None:
        super().__init__()
        self.has_contact = self.is_witnessed = False
        self.contact_ms = self.witnessed_ms = self.clock()
        self.gate.quorum_contact_ms = lambda: self.contact_ms
        self.gate.witness_contact_ms = lambda since_ms: self.witnessed_ms
        for owner in (ALICE, BOB):
            self.gate.receive_claim(owner, [], None, [], [])
        self.start(make_start(LASTING), BOB)
        self.finish(TASK)
        self.finished_ms = self.clock()

    def finish(self, task: str) -> None:
        self.start(make_start(task))
        self.list([(LASTING, 1, 5), (task, 1, 0)])
        self.list([(LASTING, 1, 5)], ended=[(task, 1, "done")])

    def wait(self, total_ms: float, alive=(BOB,)) -> None:
        """Advance the clock; leases are renewed whenever they may be."""
        for _ in range(int(total_ms / 50)):
            self.clock.advance(50)
            for owner in alive:
                self.gate.record_owner_alive(owner, self.clock())
            if self.has_contact:
                self.contact_ms = self.clock() - 30
            if self.is_witnessed:
                self.witnessed_ms = self.clock() - 30
            if self.gate.may_renew():
                self.gate.record_lease_extension(self.clock())
            self.list([(LASTING, 1, int(self.clock()) % 100)])
            self.gate.tick()

    @property
    def is_final(self) -> bool:
        return self.gate.highest_final_end >= 1

    @property
    def serves(self) -> bool:
        return self.gate.may_renew() and self.gate.describe_load(0).accepting

    def lapsed_for(self) -> list:
        return list(self.gate.metrics.lapsed_for_ends.values)

    def released(self) -> list:
        return list(self.gate.metrics.released_ends.values)


class TestDoubt(unittest.TestCase):
    # Guards against an agent that closes its runner to all for one end.
    def test_runs_of_others_go_on_and_start_while_an_end_is_in_doubt(self):
        case = DoubtCase()
        case.wait(3_000)
        self.assertTrue(case.serves)
        case.start(make_start("n.0.0.0"), BOB)
        self.assertEqual(case.ordered(OrderKind.START)[-1], ("n.0.0.0", 1))
        self.assertFalse(case.is_final)
        self.assertEqual(case.gate.metrics.doubted_owners.read(), 1)

    # Guards against a poll without a pause, as the runner answers at once while it lists ends.
    def test_the_runner_is_polled_less_often_while_an_end_is_held(self):
        case = DoubtCase()
        self.assertFalse(case.gate.has_held_ends)
        case.wait(600)
        self.assertTrue(case.gate.has_held_ends)
        self.assertGreaterEqual(HELD_WAIT_MS, 2 * CONFIRM_WAIT_MS)
        case.gate.receive_claim(ALICE, [], None, [], [])
        case.wait(50, alive=(ALICE, BOB))
        self.assertFalse(case.gate.has_held_ends)

    # Guards against ends that are held for ever since a slow process looked like a cut.
    def test_a_doubt_is_over_once_the_witnesses_are_heard_again(self):
        case = DoubtCase()
        case.wait(2_000)
        case.has_contact = case.is_witnessed = True
        case.wait(CONTACT_AFTER_SILENCE_MS - 2_000 - 100)
        self.assertFalse(case.is_final)
        case.wait(200)
        self.assertTrue(case.is_final)
        self.assertEqual((case.released(), case.lapsed_for()), (["contact"], []))


class TestResolution(unittest.TestCase):
    def test_a_run_that_is_claimed_is_reported_again_and_confirmed(self):
        case = DoubtCase()
        case.wait(3_000)
        reports_before = len(case.reports)
        case.gate.receive_claim(ALICE, [make_start()], None, [], [])
        self.assertEqual(len(case.reports), reports_before + 1)
        case.wait(100, alive=(ALICE, BOB))
        self.assertFalse(case.is_final)
        case.gate.confirm_outcomes([KEY])
        self.assertTrue(case.is_final)

    def test_a_run_that_its_owner_names_nowhere_is_final(self):
        case = DoubtCase()
        case.wait(3_000)
        case.gate.receive_claim(ALICE, [], None, [], [])
        self.assertTrue(case.is_final)
        self.assertEqual(case.released(), ["claim"])

    # Guards against the end of a task that was started again, which a confirmation on its way, a
    # later claim or contact with control would make final.
    def test_a_run_that_was_written_off_is_never_final_before_the_lease_is_over(self):
        case = DoubtCase()
        case.wait(3_000)
        case.gate.receive_claim(ALICE, [], None, [KEY], [])
        case.has_contact = case.is_witnessed = True
        case.gate.confirm_outcomes([KEY])
        case.gate.receive_claim(ALICE, [], None, [], [KEY])
        case.gate.replace_owner(NEW_ALICE)
        case.wait(50)
        self.assertEqual((case.is_final, case.serves), (False, False))
        self.assertEqual(case.lapsed_for(), ["written_off"])
        case.wait(900)
        self.assertFalse(case.is_final)
        case.wait(200)
        self.assertTrue(case.is_final)
        self.assertEqual(case.released(), ["void"])

    # Guards against the end of a run that goes on while its owner says that it was written off.
    def test_an_end_that_comes_after_the_claim_is_held_too(self):
        case = DoubtCase()
        case.start(make_start("m.0.0.0"))
        case.list([(LASTING, 1, 5), ("m.0.0.0", 1, 5)])
        case.gate.receive_claim(ALICE, [], None, [("m.0.0.0", 1)], [])
        self.assertEqual(case.ordered(OrderKind.STOP), [("m.0.0.0", 1)])
        case.list([(LASTING, 1, 5)], ended=[("m.0.0.0", 1, "done")])
        case.gate.confirm_outcomes([("m.0.0.0", 1)])
        self.assertEqual(case.gate.highest_final_end, 1)

    # Guards against a list that was too long to send and counts as empty.
    def test_without_a_list_all_that_an_owner_does_not_claim_counts_as_written_off(self):
        case = DoubtCase()
        case.wait(3_000)
        case.gate.receive_claim(ALICE, [], None, None, [])
        case.wait(50, alive=(ALICE, BOB))
        self.assertEqual((case.is_final, case.lapsed_for()), (False, ["written_off"]))

    # Guards against a new process of an owner whose former one wrote the run off before it ended.
    def test_a_new_process_of_the_owner_resolves_what_control_witnessed_until_then(self):
        case = DoubtCase()
        case.wait(2_000)
        case.gate.replace_owner(NEW_ALICE)
        case.gate.receive_claim(NEW_ALICE, [], None, [], [])
        case.wait(500, alive=(NEW_ALICE, BOB))
        self.assertFalse(case.is_final)
        case.has_contact = case.is_witnessed = True
        case.wait(100, alive=(NEW_ALICE, BOB))
        self.assertEqual((case.is_final, case.released()), (True, ["replaced"]))

    # Guards against a link that came up here only: its owner may have been silent for longer.
    def test_a_link_without_a_claim_does_not_count_as_a_sign_that_the_owner_heard(self):
        case = DoubtCase()
        since = []
        case.gate.witness_contact_ms = lambda since_ms: since.append(since_ms) or 0.0
        case.wait(1_000)
        case.gate.replace_owner(ALICE)
        case.wait(1_000)
        self.assertLessEqual(max(since), case.finished_ms)


class TestLastResort(unittest.TestCase):
    def test_leases_lapse_if_contact_is_back_and_resolves_nothing(self):
        case = DoubtCase()
        case.wait(4_000)
        self.assertTrue(case.serves)
        case.has_contact = True
        case.wait(UNRESOLVED_AFTER_CONTACT_MS - 50)
        self.assertTrue(case.serves)
        case.wait(200)
        self.assertEqual((case.serves, case.lapsed_for()), (False, ["unresolved"]))
        case.wait(1_100)
        self.assertTrue(case.is_final)

    def test_leases_lapse_after_a_doubt_of_ten_seconds(self):
        case = DoubtCase()
        case.wait(MAX_DOUBT_MS)
        self.assertTrue(case.serves)
        case.wait(1_000)
        self.assertEqual(case.lapsed_for(), ["too_long"])

    # Guards against a runner whose list of ends is full.
    def test_leases_lapse_if_too_many_ends_are_held(self):
        case = DoubtCase()
        case.wait(1_000)
        ended = [(f"e.0.0.{number}", 1, "failed") for number in range(MAX_HELD_ENDS - 1)]
        case.list([(LASTING, 1, 5)], ended=ended[:-1])
        case.wait(50)
        self.assertEqual(case.lapsed_for(), [])
        case.list([(LASTING, 1, 5)], ended=ended[-1:])
        case.wait(50)
        self.assertEqual(case.lapsed_for(), ["too_many"])

    # Guards against an owner of an older release, whose claims don't tell what it wrote off.
    def test_leases_lapse_at_once_for_an_owner_that_does_not_tell(self):
        case = DoubtCase()
        old = Owner("old", 1)
        case.gate.receive_claim(old, [])
        case.start(make_start("o.0.0.0"), old)
        case.list([(LASTING, 1, 5)], ended=[("o.0.0.0", 1, "done")])
        case.gate.confirm_outcomes([KEY])
        case.wait(800, alive=(ALICE, BOB))
        self.assertEqual((case.serves, case.lapsed_for()), (False, ["old_owner"]))


class TestFoundEnds(unittest.TestCase):
    """Ends that a new agent finds, with an owner of other runs that has claimed."""

    def find(self) -> GateCase:
        case = GateCase(announced=False)
        case.gate.receive_claim(BOB, [make_start(LASTING)], None, [], [])
        case.list([(LASTING, 1, 5)], ended=[(TASK, 1, "done")])
        case.gate.announce(make_report())
        return case

    def wait(self, case: GateCase, total_ms: float) -> None:
        for _ in range(int(total_ms / 50)):
            if case.gate.may_renew():
                case.gate.record_lease_extension(case.clock())
            case.advance(50, running=None, alive=(BOB,))
            case.list([(LASTING, 1, int(case.clock()) % 100)])

    # Guards against an agent that makes final what the former one knew to be in doubt.
    def test_contact_with_control_proves_nothing_for_them(self):
        case = self.find()
        case.gate.witness_contact_ms = lambda since_ms: case.clock()
        self.wait(case, 2 * CONTACT_AFTER_SILENCE_MS)
        self.assertEqual(case.gate.highest_final_end, 0)
        self.wait(case, MAX_DOUBT_MS)
        self.assertEqual(case.gate.highest_final_end, 1)
        self.assertEqual(list(case.gate.metrics.lapsed_for_ends.values), ["too_long"])

    def test_they_are_final_once_their_owner_has_them(self):
        case = self.find()
        case.gate.receive_claim(ALICE, [], None, [], [KEY])
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_they_are_not_final_if_their_owner_wrote_them_off_or_names_them_nowhere(self):
        for written_off in ([KEY], []):
            case = self.find()
            case.gate.receive_claim(ALICE, [], None, written_off, [])
            self.wait(case, 500)
            self.assertEqual(case.gate.highest_final_end, 0)
            self.assertEqual(case.gate.boot, BOOT)
