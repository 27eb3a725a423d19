"""Capacity, owners, leases and ends of runs at one runner, on virtual time."""

import unittest

from apricotrail.runners._runs import OrderKind, Owner, StartReply
from apricotrail.runners.tests.harness import ALICE, BOB, BOOT, GateCase, make_report, make_start
from apricotrail.wire import encode_message
from apricotrail.wire.generated.ttypes import RunReason, RunState

START, STOP = OrderKind.START, OrderKind.STOP
KEY = ("j.0.0.0", 1)
DAY_MS = 86_400_000.0


class TestCapacity(unittest.TestCase):
    def test_runs_never_exceed_the_capacity_of_the_runner(self):
        case = GateCase()
        for index in range(12):
            case.start(make_start(f"j.0.0.{index}"))
        self.assertEqual(len(case.ordered(START)), 10)
        self.assertEqual([out.reason for _, out in case.reports], [RunReason.FULL, RunReason.FULL])

    def test_stopping_run_uses_capacity_until_its_end_is_listed(self):
        case = GateCase()
        case.start(make_start("j.0.0.0", cpu=16_000))
        case.gate.receive_stop(ALICE, [KEY])
        case.gate.receive_stop_reply(KEY, True)
        case.start(make_start("k.0.0.0"), reply=None)
        self.assertEqual(len(case.ordered(START)), 1)
        case.list(ended=[(*KEY, "stopped")])
        case.start(make_start("k.0.0.0", 2), reply=None)
        self.assertEqual(case.ordered(START)[-1], ("k.0.0.0", 2))

    def test_unanswered_start_uses_capacity_until_its_run_is_stopped(self):
        case = GateCase()
        case.start(make_start(cpu=16_000), reply=StartReply.UNANSWERED)
        self.assertEqual(case.ordered(STOP), [KEY])
        case.start(make_start("k.0.0.0"), reply=None)
        self.assertEqual(case.ordered(START), [KEY])

    def test_queued_runs_start_in_order_of_their_due_times(self):
        case = GateCase()
        case.start(make_start(cpu=16_000))
        case.start(make_start("b.0.0.0", cpu=9_000, wait_ms=500, due_ms=900), reply=None)
        case.start(make_start("c.0.0.0", cpu=9_000, wait_ms=500, due_ms=150), reply=None)
        case.list(ended=[(*KEY, "done")])
        self.assertEqual(case.ordered(START), [KEY, ("c.0.0.0", 1)])

    def test_lower_priority_counts_as_a_later_due_time(self):
        """In a lasting overload, short urgent tasks start before those of lower priority."""
        for due_ms, first in ((250, "c.0.0.0"), (500, "b.0.0.0")):
            with self.subTest(due_ms=due_ms):
                case = GateCase()
                case.start(make_start(cpu=16_000))
                low = make_start("b.0.0.0", cpu=9_000, wait_ms=500, due_ms=300, priority=1)
                case.start(low, reply=None)
                case.start(make_start("c.0.0.0", cpu=9_000, wait_ms=500, due_ms=due_ms), reply=None)
                case.list(ended=[(*KEY, "done")])
                self.assertEqual(case.ordered(START)[1], (first, 1))

    def test_late_run_yields_until_its_result_would_soon_be_useless(self):
        for passed_ms, first in ((150, "b.0.0.0"), (450, "c.0.0.0")):
            with self.subTest(passed_ms=passed_ms):
                case = GateCase()
                case.start(make_start(cpu=16_000))
                late = make_start("c.0.0.0", cpu=9_000, wait_ms=900, due_ms=100, late_due_ms=500)
                case.start(late, reply=None)
                case.advance(passed_ms, running=[KEY])
                case.start(make_start("b.0.0.0", cpu=9_000, wait_ms=500, due_ms=200), reply=None)
                case.list(ended=[(*KEY, "done")])
                self.assertEqual(case.ordered(START)[1], (first, 1))

    def test_queued_run_is_refused_after_its_longest_wait(self):
        case = GateCase()
        case.start(make_start(cpu=16_000))
        case.start(make_start("b.0.0.0", wait_ms=200), reply=None)
        case.advance(250, running=[KEY])
        self.assertEqual(case.outcomes(), [("b.0.0.0", 1, RunState.NOT_RUN)])

    def test_nothing_starts_beside_a_run_of_unknown_size(self):
        case = GateCase(announced=False)
        case.list(running=[("old.0.0.0", 3, 50)])
        case.gate.announce(make_report())
        case.start(make_start(wait_ms=500), reply=None)
        self.assertEqual(case.ordered(START), [])
        case.gate.receive_claim(BOB, [make_start("old.0.0.0", 3, cpu=2_000)])
        case.list(running=[("old.0.0.0", 3, 60)])
        self.assertEqual(case.ordered(START), [KEY])


class TestLimitOfAStep(unittest.TestCase):
    # Guards against tasks of a step beyond its limit that two owners start at one runner: each
    # counts its own only.
    def test_runs_of_other_owners_count(self):
        case = GateCase()
        case.gate.record_owner_alive(BOB, case.clock())
        case.start(make_start(max_per_runner=1))
        other = make_start("j.0.0.1", wait_ms=400, max_per_runner=1)
        case.start(other, owner=BOB, reply=None)
        case.start(make_start("j.0.1.0", max_per_runner=1))
        case.start(make_start("k.0.0.0", wait_ms=400))
        self.assertEqual(case.ordered(START), [KEY, ("j.0.1.0", 1), ("k.0.0.0", 1)])
        case.list(
            running=[("j.0.1.0", 1, 5), ("k.0.0.0", 1, 5)],
            ended=[(*KEY, "done")],
        )
        self.assertEqual(case.ordered(START)[-1], ("j.0.0.1", 1))

    def test_run_that_is_not_free_in_time_is_refused(self):
        case = GateCase()
        case.start(make_start(max_per_runner=1))
        case.start(make_start("j.0.0.1", wait_ms=100, max_per_runner=1), reply=None)
        case.advance(150, running=[KEY])
        self.assertEqual(case.outcomes(), [("j.0.0.1", 1, RunState.NOT_RUN)])


class TestChangedCapacity(unittest.TestCase):
    # Guards against starts over the capacity of a runner that has shrunk.
    def test_nothing_starts_over_a_capacity_that_has_shrunk(self):
        case = GateCase()
        running = [(f"a.0.0.{number}", 1) for number in range(6)]
        for task, _ in running:
            case.start(make_start(task))
        case.gate.announce(make_report(cpu_millis=8_000, sequence=2))
        self.assertEqual(case.gate.describe_load(0).free_cpu_millis, 8_000 - 6 * 1_600)
        case.start(make_start("b.0.0.0", wait_ms=400), reply=None)
        ended = [(*running[0], "done"), (*running[1], "stopped")]
        case.list([(*run, 1) for run in running[1:]], ended[:1])
        self.assertEqual(len(case.ordered(OrderKind.START)), 6)
        case.list([(*run, 1) for run in running[2:]], ended[1:])
        self.assertEqual(case.ordered(OrderKind.START)[6:], [("b.0.0.0", 1)])

    # Guards against a queue that stands behind a run that no longer fits.
    def test_queued_run_that_no_longer_fits_is_refused_at_once(self):
        case = GateCase()
        case.start(make_start("a.0.0.0", cpu=4_000))
        case.start(make_start("b.0.0.0", cpu=14_000, wait_ms=400), reply=None)
        case.start(make_start("c.0.0.0", cpu=1_600, wait_ms=400, due_ms=2_000), reply=None)
        case.gate.announce(make_report(cpu_millis=8_000, sequence=2))
        self.assertEqual(case.outcomes(), [("b.0.0.0", 1, RunState.NOT_RUN)])
        self.assertEqual(case.ordered(OrderKind.START)[1:], [("c.0.0.0", 1)])

    def test_capacity_that_has_grown_is_used_at_once(self):
        case = GateCase()
        case.gate.announce(make_report(cpu_millis=2_000, sequence=2))
        case.start(make_start("a.0.0.0"))
        case.start(make_start("b.0.0.0", wait_ms=400), reply=None)
        self.assertEqual(len(case.ordered(OrderKind.START)), 1)
        case.gate.announce(make_report(sequence=3))
        self.assertEqual(len(case.ordered(OrderKind.START)), 2)


class TestCertainEnds(unittest.TestCase):
    def test_stop_is_ordered_again_until_it_is_answered(self):
        case = GateCase()
        case.start(reply=StartReply.UNANSWERED)
        for _ in range(3):
            case.gate.receive_stop_reply(KEY, False)
        self.assertEqual(case.ordered(STOP), [KEY] * 4)
        self.assertEqual(case.reports, [])

    def test_listing_asked_before_the_stop_was_answered_proves_nothing(self):
        case = GateCase()
        case.start(reply=StartReply.UNANSWERED)
        asked_ms = case.clock()
        case.clock.advance(10)
        case.gate.receive_stop_reply(KEY, True)
        case.list(asked_ms=asked_ms)
        self.assertEqual(case.reports, [])
        case.clock.advance(10)
        case.list()
        self.assertEqual(case.outcomes(), [(*KEY, RunState.NOT_RUN)])

    def test_run_that_was_done_before_its_stop_is_reported_done(self):
        case = GateCase()
        case.start()
        case.gate.receive_stop(ALICE, [KEY])
        case.gate.receive_stop_reply(KEY, True)
        case.list(ended=[(*KEY, "done")])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.DONE)])

    def test_order_found_in_a_listing_needs_no_answer(self):
        case = GateCase()
        case.start(reply=None)
        case.list(running=[(*KEY, 5)])
        case.gate.receive_start_reply(KEY, StartReply.UNANSWERED)
        self.assertEqual(case.ordered(STOP), [])

    def test_new_boot_ends_runs_of_the_former_one(self):
        case = GateCase()
        case.start()
        case.clock.advance(5)
        case.list([(*KEY, 10)])
        case.gate.announce(make_report(boot=BOOT + 1, sequence=1))
        case.list(boot=BOOT + 1)
        self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])

    def test_start_that_may_have_reached_the_new_boot_uses_capacity_until_its_listing(self):
        """Found by the soak (seed 107): a run reported as lost went on, and its task ran again."""
        for reply in (StartReply.STARTED, None):
            case = GateCase()
            case.clock.advance(5)
            case.start(reply=reply)
            case.gate.announce(make_report(boot=BOOT + 1, sequence=1))
            self.assertEqual(case.outcomes(), [])
            self.assertEqual(case.gate.describe_load(0).free_cpu_millis, 16_000 - 1_600)
            case.clock.advance(5)
            case.list([(*KEY, 10)], boot=BOOT + 1)
            self.assertEqual(case.outcomes(), [])
            case.clock.advance(5)
            case.list(ended=[(*KEY, "done")], boot=BOOT + 1)
            self.assertEqual(case.outcomes(), [(*KEY, RunState.DONE)])

    def test_start_that_may_have_reached_the_new_boot_is_lost_only_after_its_lease(self):
        """Found by reading the code: leases counted as lapsed once the former boot had ended."""
        case = GateCase()
        case.advance(500, running=None)
        case.gate.record_lease_extension(case.clock())
        case.start(reply=None)
        case.gate.announce(make_report(boot=BOOT + 1, sequence=1))
        case.advance(1_000, running=None)
        self.assertEqual(case.outcomes(), [])
        case.advance(50, running=None)
        self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])

    def test_start_that_did_not_reach_the_new_boot_is_lost_with_its_listing(self):
        case = GateCase()
        case.clock.advance(5)
        case.start()
        case.clock.advance(5)
        case.list(boot=BOOT + 1)
        self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])

    def test_late_announcement_of_a_former_boot_is_ignored(self):
        case = GateCase()
        case.list(boot=BOOT + 1)
        case.gate.announce(make_report(boot=BOOT + 1))
        self.assertFalse(case.gate.announce(make_report(sequence=99, leaving=True)))
        self.assertFalse(case.gate.runner.leaving)

    def test_runs_of_an_unreachable_runner_are_lost_only_after_their_lease(self):
        case = GateCase()
        case.gate.record_lease_extension(case.clock())
        case.start()
        fence = case.gate.fence
        case.advance(1_000, running=None)
        self.assertEqual(case.reports, [])
        case.advance(100, running=None)
        self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])
        self.assertGreater(case.gate.fence, fence)
        self.assertEqual(len(case.gate.list_running()), 1)

    # Guards against a job that never ends, as a former owner stopped its run and got the outcome.
    def test_stop_by_a_former_owner_is_reported_to_the_present_one(self):
        case = GateCase()
        case.start()
        case.gate.record_owner_alive(BOB, case.clock())
        case.gate.receive_start(BOB, make_start(), False)
        case.gate.receive_stop(ALICE, [KEY])
        case.list(ended=[(*KEY, "stopped")])
        self.assertEqual([owner for owner, _ in case.reports], [BOB])

    def test_stop_of_an_unknown_run_prevents_its_later_start(self):
        case = GateCase()
        case.gate.receive_stop(ALICE, [KEY])
        case.start(reply=None)
        self.assertEqual(case.ordered(START), [])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.NOT_RUN)] * 2)


class TestOwners(unittest.TestCase):
    def test_runs_of_a_silent_owner_are_stopped(self):
        case = GateCase()
        case.start()
        case.advance(450, running=[KEY], alive=())
        self.assertEqual(case.ordered(STOP), [])
        case.advance(50, running=[KEY], alive=())
        self.assertEqual(case.ordered(STOP), [KEY])

    def test_new_process_of_an_owner_ends_the_runs_of_the_former_one(self):
        case = GateCase()
        case.start()
        case.gate.replace_owner(Owner("alice", 2))
        self.assertEqual(case.ordered(STOP), [KEY])

    def test_overdue_stop_ends_the_renewal_of_leases(self):
        case = GateCase()
        case.start()
        case.start(make_start("k.0.0.0"))
        self.assertTrue(case.gate.may_renew())
        case.gate.receive_stop(ALICE, [KEY])
        case.advance(250, running=[KEY, ("k.0.0.0", 1)])
        self.assertFalse(case.gate.may_renew())

    def test_runs_that_a_new_agent_finds_are_adopted_by_a_claim_or_stopped(self):
        case = GateCase(announced=False)
        found = [("a.0.0.0", 1), ("b.0.0.0", 2)]
        case.list(running=[(*key, 10) for key in found])
        case.gate.receive_claim(BOB, [make_start(*found[0])])
        case.advance(950, running=found, alive=(ALICE, BOB))
        self.assertEqual(case.ordered(STOP), [found[1]])

    def test_claim_before_the_first_listing_stops_no_running_run(self):
        """Found by an agent's restart in the whole-path test: its runner's runs were stopped."""
        case = GateCase(announced=False)
        lost = ("k.0.0.0", 1)
        case.gate.receive_claim(ALICE, [make_start(), make_start(*lost)])
        self.assertEqual(case.orders, [])
        case.list(running=[(*KEY, 30)])
        self.assertEqual(case.ordered(STOP), [lost])
        case.list(ended=[(*KEY, "done")])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.DONE)])

    def test_claimed_run_that_is_unknown_is_stopped_before_its_outcome_is_reported(self):
        case = GateCase()
        case.gate.receive_claim(ALICE, [make_start()])
        self.assertEqual(case.ordered(STOP), [KEY])
        self.assertEqual(case.reports, [])
        case.gate.receive_stop_reply(KEY, True)
        case.clock.advance(1)
        case.list()
        # A former agent may have started it and acknowledged its end.
        self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])

    def test_end_that_a_new_agent_finds_is_reported_to_its_owner(self):
        """Found by the same hunt: zones-and-channels on reparo-nordeste, seed 520614958501."""
        case = GateCase(announced=False)
        case.list(ended=[(*KEY, "done"), ("k.0.0.0", 1, "failed")])
        case.gate.receive_claim(ALICE, [make_start(), make_start("k.0.0.0")])
        self.assertEqual(case.orders, [])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.DONE), ("k.0.0.0", 1, RunState.FAILED)])

    def test_started_run_is_never_reported_as_not_run(self):
        """Found by a hunt for faults: jobs were refused as not run after an agent was killed."""
        case = GateCase()
        case.start()
        case.gate.receive_stop(ALICE, [KEY])
        case.gate.receive_stop_reply(KEY, True)
        case.clock.advance(1)
        case.list()
        self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])

    def test_runs_that_an_owner_no_longer_claims_are_stopped(self):
        case = GateCase()
        case.start()
        case.gate.receive_claim(ALICE, [])
        self.assertEqual(case.ordered(STOP), [KEY])

    def test_outcome_lost_with_a_link_is_reported_again_on_claim(self):
        case = GateCase()
        case.start()
        case.list(ended=[(*KEY, "done")])
        case.gate.receive_claim(ALICE, [make_start()])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.DONE)] * 2)

    def test_expired_start_is_refused(self):
        case = GateCase()
        case.gate.receive_start(ALICE, make_start(), True)
        self.assertEqual(case.orders, [])
        self.assertEqual(case.reports[0][1].reason, RunReason.EXPIRED)


class TestClosing(unittest.TestCase):
    def test_no_run_starts_at_a_closed_runner(self):
        def leave(case):
            case.gate.announce(make_report(leaving=True, sequence=2))

        def take_zone_out(case):
            case.gate.zone_open = False

        def stop(case):
            case.gate.begin_stop()

        def lose_listings(case):
            case.clock.advance(900)
            case.gate.record_owner_alive(ALICE, case.clock())

        for close in (leave, take_zone_out, stop, lose_listings):
            with self.subTest(close=close.__name__):
                case = GateCase()
                close(case)
                case.start(reply=None)
                self.assertEqual(case.orders, [])
                self.assertEqual(case.outcomes(), [(*KEY, RunState.NOT_RUN)])
                self.assertFalse(case.gate.describe_load(0).accepting)


class TestIsolatedRuns(unittest.TestCase):
    # Guards against a suspected task that takes other runs along when it crashes the runner.
    def test_isolated_run_starts_when_nothing_runs_and_nothing_starts_beside_it(self):
        case = GateCase()
        case.start(make_start("a.0.0.0"))
        isolated = make_start("s.0.0.0", wait_ms=2_000)
        isolated.isolated = True
        case.start(isolated, reply=None)
        case.start(make_start("b.0.0.0", wait_ms=400), reply=None)
        self.assertEqual(case.ordered(OrderKind.START), [("a.0.0.0", 1)])
        load = case.gate.describe_load(0)
        self.assertEqual(load.isolated_runs, 1)
        self.assertGreater(load.idle_ms, 0)
        case.list(ended=[("a.0.0.0", 1, "done")])
        self.assertEqual(case.ordered(OrderKind.START)[1:], [("s.0.0.0", 1)])
        case.list([("s.0.0.0", 1, 1)])
        self.assertEqual(len(case.ordered(OrderKind.START)), 2)
        case.list(ended=[("s.0.0.0", 1, "done")])
        self.assertEqual(case.ordered(OrderKind.START)[2:], [("b.0.0.0", 1)])
        self.assertEqual(case.gate.describe_load(0).isolated_runs, 0)


class TestCrashDuringStart(unittest.TestCase):
    # Guards against "not run" for what a crashed runner had started, unanswered (soak, seed 326).
    def test_unanswered_start_before_a_crash_is_lost_not_refused(self):
        case = GateCase()
        case.clock.advance(10)
        case.start(make_start(), reply=StartReply.UNANSWERED)
        case.list(boot=BOOT + 1)
        case.gate.receive_stop_reply(("j.0.0.0", 1), True)
        case.clock.advance(10)
        case.list(boot=BOOT + 1)
        self.assertEqual(case.outcomes(), [("j.0.0.0", 1, RunState.LOST)])


class TestRefusedCalls(unittest.TestCase):
    # Guards against runs that are ordered at a runner after it has crashed, and lost with it.
    def test_runner_that_refuses_calls_gets_no_runs_until_it_answers(self):
        case = GateCase()
        for number in range(11):
            case.start(make_start(f"j.0.0.{number}", wait_ms=400))
        closed = []
        case.gate.notify_closed = lambda: closed.append(case.gate.describe_load(0).accepting)
        case.gate.record_refused_call()
        self.assertEqual(case.outcomes(), [])
        case.gate.record_refused_call()
        self.assertEqual(case.outcomes(), [("j.0.0.10", 1, RunState.NOT_RUN)])
        self.assertEqual(closed, [False])
        case.start(make_start("k.0.0.0"), reply=None)
        self.assertEqual(case.outcomes()[-1], ("k.0.0.0", 1, RunState.NOT_RUN))
        case.list([(f"j.0.0.{number}", 1, 1) for number in range(10)])
        self.assertTrue(case.gate.describe_load(0).accepting)

    # Guards against a cut that dispatchers linked later take for a crash, once the runner reboots.
    def test_loss_of_a_runner_that_went_on_is_not_told_again(self):
        case = GateCase()
        case.start(make_start())
        told = []
        case.gate.losses.announce = told.append
        case.clock.advance(2_000)
        case.gate.tick()
        self.assertEqual([(lost.boot, lost.is_down) for lost in told], [(BOOT, False)])
        self.assertEqual(len(case.gate.losses.list_recent()), 1)
        case.list()
        self.assertEqual(case.gate.losses.list_recent(), [])

    # Guards against a reset connection that closes a runner that answers.
    def test_one_broken_call_closes_nothing(self):
        case = GateCase()
        for _ in range(3):
            case.gate.record_refused_call()
            self.assertTrue(case.gate.describe_load(0).accepting)
            case.list()


class TestHealth(unittest.TestCase):
    def fail(self, case, job):
        case.start(make_start(f"{job}.0.0.0"))
        case.list(ended=[(f"{job}.0.0.0", 1, "failed")])

    def test_runner_that_fails_everything_gets_single_trials(self):
        case = GateCase()
        for job in "abc":
            self.fail(case, job)
        self.assertEqual(case.gate.health.allowed_trials(), 0)
        case.advance(600)
        self.assertEqual(case.gate.health.allowed_trials(), 1)
        case.start(make_start("d.0.0.0"))
        case.start(make_start("e.0.0.0"), reply=None)
        self.assertEqual(case.ordered(START)[-1], ("d.0.0.0", 1))

    def test_one_job_that_always_fails_leaves_the_runner_healthy(self):
        case = GateCase()
        for run in range(1, 6):
            case.start(make_start("a.0.0.0", run))
            case.list(ended=[("a.0.0.0", run, "failed")])
        self.assertEqual(case.gate.health.allowed_trials(), -1)

    def test_run_without_progress_is_stopped(self):
        case = GateCase()
        case.start()
        for _ in range(15):
            case.clock.advance(50)
            case.gate.record_owner_alive(ALICE, case.clock())
            case.list(running=[(*KEY, 0)])
            case.gate.tick()
        self.assertEqual(case.ordered(STOP), [KEY])

    def test_successful_trials_make_the_runner_healthy_again(self):
        case = GateCase()
        for job in "abc":
            self.fail(case, job)
        for job in "de":
            case.advance(600)
            case.start(make_start(f"{job}.0.0.0"))
            case.list(ended=[(f"{job}.0.0.0", 1, "done")])
        self.assertEqual(case.gate.health.allowed_trials(), -1)


class TestLateProcesses(unittest.TestCase):
    # Guards against an earlier process of a dispatcher that wakes: its link stopped the runs, and
    # made the ends final, of the process that has taken its place.
    def test_an_earlier_process_that_is_linked_late_replaces_nothing(self):
        case = GateCase()
        later = Owner(ALICE.name, ALICE.incarnation + 5)
        case.gate.replace_owner(later)
        case.start(make_start("a.0.0.0"), later)
        case.start(make_start("b.0.0.0"), later)
        case.list([("b.0.0.0", 1, 5)], ended=[("a.0.0.0", 1, "done")])
        case.gate.replace_owner(ALICE)
        self.assertEqual(case.ordered(STOP), [])
        self.assertTrue(case.gate.has_unconfirmed)


class TestUptimes(unittest.TestCase):
    # Guards against messages that can't be sent, and a listing that is read only in part, once a
    # machine has run for 24.8 days: the time since its start didn't fit the field.
    def test_a_loss_can_be_told_whatever_the_uptime(self):
        for uptime_ms in (1_000.0, 25 * DAY_MS, 10 * 365 * DAY_MS):
            for is_found in (False, True):
                with self.subTest(uptime_ms=uptime_ms, is_found=is_found):
                    self.lose(uptime_ms, is_found)

    def lose(self, uptime_ms: float, is_found: bool) -> None:
        case = GateCase(announced=False)
        case.clock.advance(uptime_ms)
        case.gate.record_owner_alive(ALICE, case.clock())
        told = []
        case.gate.losses.announce = told.append
        if is_found:
            case.list([(*KEY, 5)])
            case.gate.receive_claim(ALICE, [make_start()])
        else:
            case.list()
            case.gate.announce(make_report())
            case.start()
        case.clock.advance(400)
        case.list([(*KEY, 9)])
        case.clock.advance(5)
        case.list(boot=BOOT + 1)
        self.assertEqual([run.running_ms for run in told[0].runs], [400])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])
        for message in (told[0], *case.gate.losses.list_recent(), case.gate.describe_load(0)):
            self.assertTrue(encode_message(message))

    def test_a_run_may_be_at_work_for_years(self):
        case = GateCase()
        case.start(make_start(wait_ms=2**31 - 1))
        case.clock.advance(365 * DAY_MS)
        case.list(ended=[(*KEY, "done")])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.DONE)])
        self.assertTrue(encode_message(case.reports[0][1]))


class TestLoad(unittest.TestCase):
    # Guards against a load that a message can't carry, since that silences the agent on all links.
    def test_load_of_a_runner_of_any_size_can_be_sent(self):
        case = GateCase()
        for sequence, cpu in enumerate((0, 2**31 - 1, 2**40), start=2):
            with self.subTest(cpu=cpu):
                report = make_report(cpu_millis=cpu, memory_mb=cpu, sequence=sequence)
                self.assertTrue(case.gate.announce(report))
                for index in range(4):
                    case.start(make_start(f"{cpu}.0.0.{index}", cpu=2**31 - 1, wait_ms=100))
                self.assertTrue(encode_message(case.gate.describe_load(0)))
