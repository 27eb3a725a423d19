"""What a runner's agent may order is decided when an order is sent, not when it was queued.

A caller whose dispatcher is gone sends its job again `CALLER_RETRY_MS` later to another dispatcher,
which knows nothing of the first one's runs: these must have ended by then, whatever pauses the
agent and whichever of its calls stay unanswered.
"""

import unittest
from unittest.mock import patch

from apricotrail.runners import Listing, RunningRow, StartReply, StartResult, StopResult
from apricotrail.runners._runs import OrderKind
from apricotrail.runners.tests.harness import ALICE, BOB, BOOT, make_start
from apricotrail.runners.tests.test_driver import DriverCase
from apricotrail.wire.generated.ttypes import RunState

CALLER_RETRY_MS = 1_300.0
SLOWEST_CLOCK = 0.98
KEY, OTHER = ("j.0.0.0", 1), ("k.0.0.0", 1)


def setUpModule() -> None:
    no_pause = patch("apricotrail.runners._driver.STOP_RETRY_MS", 0.0)
    no_pause.start()
    unittest.addModuleCleanup(no_pause.stop)


class PermissionCase(DriverCase):
    """A driver whose runner keeps the leases of the calls that it gets, by the slowest clock."""

    def __init__(self, **answers) -> None:
        super().__init__(**answers)
        self.lease_end_ms = 0.0
        self.running = []
        self.ended = ()
        self.answers_holds = True

    def _next(self, kind, call, default):
        longest_ms = self._runner_clock_ms() + 1_000
        lease_ms = min(longest_ms, call.lease_until_ms or 0) / SLOWEST_CLOCK
        self.lease_end_ms = max(self.lease_end_ms, lease_ms)
        return super()._next(kind, call, default)

    def _runner_clock_ms(self) -> float:
        return self.clock() * SLOWEST_CLOCK

    async def _start(self, call, task, run, spec, may_send=lambda: True):
        if not may_send():
            return StartResult(StartReply.UNDELIVERED)
        clock_ms = int(self._runner_clock_ms())
        return self._next("start", call, StartResult(StartReply.STARTED, clock_ms))

    async def _hold(self, call, last_end, wait_ms):
        percent = int(self.clock()) % 100
        rows = tuple(RunningRow(*key, percent) for key in self.running)
        listing = Listing(BOOT, int(self._runner_clock_ms()), rows, self.ended)
        answer = self._next("hold", call, listing)
        return answer if self.answers_holds else None

    async def pass_time(self, total_ms, alive=(), every=None, step_ms=50.0):
        """Advance the time with polls and ticks; `alive` owners send signs of life."""
        end_ms = self.clock() + total_ms
        while self.clock() < end_ms:
            self.clock.advance(step_ms)
            for owner in alive:
                self.gate.record_owner_alive(owner, self.clock())
            await self.driver._hold(0)
            self.gate.tick()
            if every is not None:
                every()
            self.tasks, tasks = [], self.tasks
            for task in tasks:
                if not task.done():
                    await task

    async def start_runs(self):
        self.gate.record_owner_alive(BOB, self.clock())
        await self.driver._hold(0)
        self.start(make_start(KEY[0]), reply=None)
        self.start(make_start(OTHER[0]), BOB, reply=None)
        self.running = [KEY, OTHER]
        await self.finish_calls()
        await self.driver._hold(0)


class TestPausedAgent(unittest.IsolatedAsyncioTestCase):
    # Guards against a start that a paused agent sends after its owner has written the run off.
    async def test_start_that_was_ordered_before_a_pause_is_not_sent_after_it(self):
        case = PermissionCase()
        case.start(reply=None)
        case.clock.advance(2_600)
        await case.finish_calls()
        self.assertEqual(case.made("start"), [])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.NOT_RUN)])

    # Guards against a run that begins, uncounted, after it was reported as lost.
    async def test_unanswered_start_is_not_repeated_once_its_run_was_reported_lost(self):
        case = PermissionCase()
        first = [True]

        async def start_then_pause(call, task, run, spec, may_send=lambda: True):
            if not may_send():
                return StartResult(StartReply.UNDELIVERED)
            case.calls.append(("start", call))
            if first.pop():
                case.clock.advance(2_600)
                case.gate.tick()
                case.list()
            return StartResult(StartReply.UNANSWERED)

        case.driver._port = case.driver._port._replace(start=start_then_pause)
        case.start(reply=None)
        await case.tasks.pop(0)
        self.assertEqual(len(case.made("start")), 1)
        self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])

    # Guards against an expired start that gets a new lease though its owner is silent.
    async def test_late_start_is_not_repeated_for_a_silent_owner(self):
        case = PermissionCase()
        late = [StartResult(StartReply.TOO_LATE, 500)]

        async def start_late(call, task, run, spec, may_send=lambda: True):
            if not may_send():
                return StartResult(StartReply.UNDELIVERED)
            case.calls.append(("start", call))
            case.clock.advance(700)
            return late.pop() if late else StartResult(StartReply.STARTED, 500)

        case.driver._port = case.driver._port._replace(start=start_late)
        case.start(reply=None)
        await case.tasks.pop(0)
        self.assertEqual(len(case.made("start")), 1)
        self.assertEqual(case.outcomes(), [(*KEY, RunState.NOT_RUN)])

    # Guards against a renewal that an agent sends as it wakes, before it notes the owner's silence.
    async def test_renewal_after_a_pause_counts_from_the_owners_last_sign_of_life(self):
        for pause_ms in (300, 600, 900, 990):
            with self.subTest(pause_ms=pause_ms):
                case = PermissionCase(stops=[StopResult(False)] * 99)
                await case.start_runs()
                alive_ms = case.clock()
                await case.driver._hold(0)
                case.clock.advance(pause_ms)
                await case.driver._hold(0)
                await case.pass_time(3_000, alive=[BOB])
                self.assertLessEqual(case.lease_end_ms, alive_ms + CALLER_RETRY_MS)

    # Guards against a pause between the decision to stop and the reply that lets leases go on.
    async def test_runs_of_a_paused_agent_are_over_when_it_wakes(self):
        case = PermissionCase()
        await case.start_runs()
        alive_ms = case.clock()
        case.clock.advance(2_600)
        await case.driver._hold(0)
        case.start(make_start("l.0.0.0"), BOB, reply=None)
        await case.finish_calls()
        self.assertLessEqual(case.lease_end_ms, alive_ms + CALLER_RETRY_MS)


class TestUnansweredStops(unittest.IsolatedAsyncioTestCase):
    # Guards against runs of a lost dispatcher that outlast its callers' patience.
    async def test_runs_of_a_silent_owner_end_before_its_callers_return(self):
        case = PermissionCase(stops=[StopResult(False)] * 99)
        await case.start_runs()
        alive_ms = case.clock()
        await case.pass_time(3_000, alive=[BOB])
        self.assertLessEqual(case.lease_end_ms, alive_ms + CALLER_RETRY_MS)

    # Guards against leases that the starts of other jobs extend past an unanswered stop.
    async def test_starts_of_other_owners_do_not_extend_the_lease_of_a_run_to_stop(self):
        case = PermissionCase(stops=[StopResult(False)] * 99)
        await case.start_runs()
        alive_ms = case.clock()
        numbers = iter(range(100))

        def start_another():
            case.start(make_start(f"m{next(numbers)}.0.0.0", cpu=100), BOB, reply=None)

        await case.pass_time(3_000, alive=[BOB], every=start_another)
        self.assertLessEqual(case.lease_end_ms, alive_ms + CALLER_RETRY_MS)

    # Guards against a job answered as unfinished whose runs go on past its caller's next attempt.
    async def test_run_whose_stop_stays_unanswered_ends_before_its_caller_returns(self):
        case = PermissionCase(stops=[StopResult(False)] * 99)
        await case.start_runs()
        stopped_ms = case.clock()
        case.gate.receive_stop(ALICE, [KEY])
        await case.pass_time(3_000, alive=[ALICE, BOB])
        self.assertLessEqual(case.lease_end_ms, stopped_ms + CALLER_RETRY_MS)

    # Guards against one stop without an answer that ends the runs of all others at once.
    async def test_one_unanswered_stop_costs_others_nothing(self):
        case = PermissionCase(stops=[StopResult(False)] * 2)
        await case.start_runs()
        case.gate.receive_stop(ALICE, [KEY])
        await case.pass_time(300, alive=[ALICE, BOB])
        case.running = [OTHER]
        await case.pass_time(3_000, alive=[ALICE, BOB])
        self.assertGreater(case.lease_end_ms, case.clock() + 700)


class TestNewAgent(unittest.IsolatedAsyncioTestCase):
    # Guards against runs that outlast an agent and their dispatcher, killed at the same time.
    async def test_runs_without_an_owner_get_no_further_lease(self):
        case = PermissionCase()
        case.gate._has_listing = False
        case.running = [KEY]
        await case.pass_time(800)
        self.assertEqual(case.lease_end_ms, 0.0)
        case.gate.receive_claim(ALICE, [make_start()])
        await case.pass_time(400, alive=[ALICE])
        self.assertGreater(case.lease_end_ms, case.clock())

    # Guards against a run reported as not run, and left at work, since a new agent has no list yet.
    async def test_stop_before_the_first_listing_stops_a_run_that_it_shows(self):
        case = PermissionCase()
        case.gate._has_listing = False
        case.gate.receive_stop(ALICE, [KEY])
        self.assertEqual(case.reports, [])
        case.running = [KEY]
        await case.pass_time(50, alive=[ALICE])
        await case.finish_calls()
        self.assertEqual(len(case.made("stop")), 1)
        case.list(ended=[(*KEY, "stopped")])
        self.assertEqual(case.outcomes(), [(*KEY, RunState.STOPPED)])

    # Guards against runs of a dispatcher that died while the agent that it claims from was paused.
    async def test_claim_that_is_read_after_a_pause_counts_from_when_its_link_was_opened(self):
        case = PermissionCase()
        case.gate._has_listing = False
        case.running = [KEY]
        opened_ms = case.clock()
        await case.pass_time(50)
        case.clock.advance(610)
        case.gate.replace_owner(ALICE, opened_ms)
        case.gate.receive_claim(ALICE, [make_start()], opened_ms)
        await case.pass_time(200)
        self.assertLessEqual(case.lease_end_ms, opened_ms + CALLER_RETRY_MS)
        self.assertEqual(len(case.made("stop")), 1)


class TestNewBoot(unittest.IsolatedAsyncioTestCase):
    # Guards against an order to a former boot that the new one carries out seconds later.
    async def test_orders_name_their_boot_and_are_fenced_off_from_the_next(self):
        case = PermissionCase()
        case.start(reply=None)
        await case.finish_calls()
        former = case.made("start")[0]
        self.assertEqual(former.instance, "i-1")
        case.list(boot=BOOT + 5_000)
        await case.driver._hold(0)
        self.assertGreater(case.made("hold")[-1].fence, former.fence)
        self.assertEqual(case.ordered(OrderKind.START), [])
