"""When an end may be acknowledged to the runner, which makes it final; found by the soak (seed 15).

An agent acknowledged ends at once, even while it was cut off from their owners, which started the
tasks again 2 s later. On a day with three such cuts, 61 tasks that had ended as done ran again.
"""

import unittest

from apricotrail.membership import AGENT_LOST_AFTER_MS
from apricotrail.queues._dispatcher import UNLISTED_FOR_MS
from apricotrail.runners._runs import Owner
from apricotrail.runners._unconfirmed import CONTACT_AFTER_SILENCE_MS
from apricotrail.runners.tests.harness import ALICE, BOB, GateCase, make_start

TASK, OTHER = "j.0.0.0", "k.0.0.0"
LEASE_MS = 1_050.0
CONTROL_SILENT_MS = (
    1_500.0  # after which a control replica on the platform no longer lists a process
)


class FinalityCase(GateCase):
    """A gate whose last contact with control was at a time that the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.contact_ms = self.clock()
        self.gate.quorum_contact_ms = lambda: self.contact_ms
        self.gate.record_owner_alive(BOB, self.clock())

    def finish(self, task=TASK, owner=ALICE, end_state="done", other_runs=()) -> None:
        self.start(make_start(task), owner)
        self.list([(task, 1, 0), *other_runs])
        self.clock.advance(5)
        self.list(other_runs, ended=[(task, 1, end_state)])


class TestFinality(unittest.TestCase):
    def test_an_end_is_final_once_its_owner_has_confirmed_it(self):
        case = FinalityCase()
        case.finish()
        self.assertEqual((case.gate.highest_final_end, case.gate.has_unconfirmed), (0, True))
        case.gate.confirm_outcomes([(TASK, 1)])
        self.assertEqual((case.gate.highest_final_end, case.gate.has_unconfirmed), (1, False))

    def test_ends_other_than_done_need_no_confirmation_but_wait_for_earlier_ends(self):
        case = FinalityCase()
        case.finish(end_state="failed")
        self.assertEqual(case.gate.highest_final_end, 1)
        case.finish("a.0.0.0")
        case.finish("b.0.0.0", end_state="failed")
        self.assertEqual(case.gate.highest_final_end, 1)
        case.gate.confirm_outcomes([("a.0.0.0", 1)])
        self.assertEqual(case.gate.highest_final_end, 3)

    def pass_time(self, case, span_ms, has_contact=False) -> None:
        """Advance the clock while Bob's run goes on and leases are renewed whenever they may be."""
        for _ in range(int(span_ms / 50)):
            case.clock.advance(50)
            case.gate.record_owner_alive(BOB, case.clock())
            if has_contact:
                case.contact_ms = case.clock() - 40
            if case.gate.may_renew():
                case.gate.record_lease_extension(case.clock())
                case.renewed_ms = case.clock()
            case.list([(OTHER, 1, int(case.clock()) % 100)])
            case.gate.tick()

    def test_ends_of_a_lost_owner_become_final_if_contact_with_control_lasts(self):
        case = FinalityCase()
        case.start(make_start(OTHER), BOB)
        case.finish(other_runs=[(OTHER, 1, 5)])
        self.pass_time(case, CONTACT_AFTER_SILENCE_MS - 100, has_contact=True)
        self.assertEqual(case.gate.highest_final_end, 0)
        self.assertTrue(case.gate.may_renew())
        self.assertTrue(case.gate.describe_load(0).accepting)
        self.pass_time(case, 200, has_contact=True)
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_an_agent_that_is_cut_off_later_lets_the_lease_lapse_from_then_on(self):
        """Found by the soak (seed 111): after a moment of contact the end was taken as final."""
        case = FinalityCase()
        case.start(make_start(OTHER), BOB)
        case.finish(other_runs=[(OTHER, 1, 5)])
        self.pass_time(case, 1_500, has_contact=True)
        self.assertTrue(case.gate.may_renew())
        self.pass_time(case, 800)
        self.assertFalse(case.gate.may_renew())
        self.assertEqual(case.gate.highest_final_end, 0)
        self.pass_time(case, case.renewed_ms + LEASE_MS - case.clock() - 50)
        self.assertEqual(case.gate.highest_final_end, 0)
        self.pass_time(case, 100)
        self.assertEqual(case.gate.highest_final_end, 1)
        self.assertLessEqual(case.clock(), case.contact_ms + CONTROL_SILENT_MS + UNLISTED_FOR_MS)

    def test_an_agent_that_is_cut_off_makes_ends_final_only_after_the_lease(self):
        case = FinalityCase()
        case.start(make_start(OTHER), BOB)
        case.finish(other_runs=[(OTHER, 1, 5)])
        self.pass_time(case, 750)
        self.assertFalse(case.gate.may_renew())
        self.assertFalse(case.gate.describe_load(0).accepting)
        self.pass_time(case, case.renewed_ms + LEASE_MS - case.clock() - 50)
        self.assertEqual(case.gate.highest_final_end, 0)
        self.assertLessEqual(case.clock() + 100, case.contact_ms + AGENT_LOST_AFTER_MS)
        case.clock.advance(50)
        case.gate.record_owner_alive(BOB, case.clock())
        case.list(ended=[(OTHER, 1, "lapsed")])
        case.gate.tick()
        self.assertEqual(case.gate.highest_final_end, 2)
        self.assertTrue(case.gate.describe_load(0).accepting)

    def test_contact_soon_after_the_silence_began_proves_nothing(self):
        case = FinalityCase()
        case.finish()
        silent_since_ms = case.clock() - 5
        case.gate.record_lease_extension(case.clock() + 5_000)
        case.clock.advance(5_000)
        case.contact_ms = silent_since_ms + CONTACT_AFTER_SILENCE_MS - 1
        case.gate.tick()
        self.assertEqual(case.gate.highest_final_end, 0)
        case.contact_ms = silent_since_ms + CONTACT_AFTER_SILENCE_MS
        case.gate.tick()
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_an_owner_that_returns_gets_the_outcome_again_and_confirms_it(self):
        case = FinalityCase()
        case.finish()
        case.gate.record_lease_extension(case.clock() + 500)
        case.clock.advance(600)
        case.gate.tick()
        reports_before = len(case.reports)
        case.gate.replace_owner(ALICE)
        case.gate.receive_claim(ALICE, [make_start()])
        self.assertEqual(len(case.reports), reports_before + 1)
        case.gate.tick()
        self.assertEqual(case.gate.highest_final_end, 0)
        case.gate.confirm_outcomes([(TASK, 1)])
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_an_end_that_its_owner_no_longer_claims_is_final(self):
        case = FinalityCase()
        case.finish()
        case.gate.receive_claim(ALICE, [])
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_a_new_process_of_the_owner_makes_ends_of_the_former_one_final(self):
        case = FinalityCase()
        case.finish()
        case.gate.replace_owner(Owner(ALICE.name, ALICE.incarnation + 1))
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_an_end_that_a_new_agent_finds_waits_for_its_owners_claim(self):
        case = FinalityCase()
        case.list(ended=[(TASK, 1, "done")])
        self.assertEqual(case.gate.highest_final_end, 0)
        case.gate.receive_claim(ALICE, [make_start()])
        self.assertEqual(case.gate.highest_final_end, 0)
        case.gate.confirm_outcomes([(TASK, 1)])
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_an_end_that_no_owner_claims_is_final_after_the_time_for_claims(self):
        case = FinalityCase()
        opened_ms = case.clock()
        case.gate.record_lease_extension(case.clock() + 9_000)
        case.list(ended=[(TASK, 1, "done")])
        case.advance(CONTACT_AFTER_SILENCE_MS)
        self.assertEqual(case.gate.highest_final_end, 0)
        case.contact_ms = opened_ms + CONTACT_AFTER_SILENCE_MS
        case.gate.tick()
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_a_new_agent_that_is_cut_off_waits_for_the_leases_of_the_former_one(self):
        """Found by reading the code: they were not known, and the end became final at once."""
        case = FinalityCase()
        case.list(ended=[(TASK, 1, "done")])
        case.advance(LEASE_MS - 50, running=())
        self.assertEqual(case.gate.highest_final_end, 0)
        case.advance(50, running=())
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_an_end_of_an_owner_that_was_silent_before_it_is_released_too(self):
        case = FinalityCase()
        case.start()
        case.list([(TASK, 1, 10)])
        case.clock.advance(550)
        case.gate.tick()
        case.list(ended=[(TASK, 1, "done")])
        self.assertEqual(case.gate.highest_final_end, 0)
        case.contact_ms = case.clock() + CONTACT_AFTER_SILENCE_MS
        case.gate.tick()
        self.assertEqual(case.gate.highest_final_end, 1)

    def test_an_end_of_a_run_already_reported_as_lost_needs_no_confirmation(self):
        case = FinalityCase()
        case.start()
        case.gate.record_lease_extension(case.clock())
        case.advance(1_200, running=None)
        self.assertEqual(len(case.reports), 1)
        case.list(ended=[(TASK, 1, "done")])
        self.assertEqual(case.gate.highest_final_end, 1)
