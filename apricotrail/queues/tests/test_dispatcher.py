"""Jobs, attempts, refusals, lost agents and process pauses of one dispatcher, on virtual time."""

import unittest

from apricotrail.queues._dispatcher import RETIRED_IDLE_MS, STILL_LISTED_MS, UNLISTED_FOR_MS
from apricotrail.queues._jobs import JobState, Step
from apricotrail.queues.tests.harness import QUEUE, DispatchCase, make_request
from apricotrail.wire import encode_message
from apricotrail.wire.generated.ttypes import (
    ClaimRuns,
    OutcomesTaken,
    RunOutcome,
    RunOutcomes,
    RunReason,
    RunState,
    StartRuns,
)


class TestJobs(unittest.IsolatedAsyncioTestCase):
    async def test_job_is_completed_when_every_task_is_done(self):
        case = DispatchCase("x", "y")
        answer = case.submit(make_request(count=3))
        for run in case.runs():
            self.assertFalse(answer.done())
            case.end(run)
        self.assertEqual(answer.result().state, JobState.COMPLETED)
        self.assertEqual(case.dispatcher.jobs, {})

    async def test_steps_wait_for_those_they_depend_on(self):
        case = DispatchCase("x")
        request = make_request(count=2)
        later = request.steps[0]._replace(count=1, depends_on=(0,))
        answer = case.submit(request._replace(steps=(*request.steps, later)))
        first = case.runs()
        self.assertEqual(len(first), 2)
        for run in first:
            case.end(run)
        self.assertEqual(case.runs()[2][1], "j.0.1.0")
        case.end(case.runs()[2])
        self.assertEqual(answer.result().state, JobState.COMPLETED)

    async def test_same_id_attaches_while_under_way_and_gets_the_same_answer_after(self):
        case = DispatchCase("x")
        first, second = case.submit(), case.submit()
        self.assertIs(first, second)
        self.assertEqual(len(case.runs()), 1)
        case.end(case.runs()[0])
        self.assertEqual(case.submit().result().state, JobState.COMPLETED)
        self.assertEqual(len(case.runs()), 1)

    async def test_job_without_callers_is_stopped(self):
        case = DispatchCase("x")
        answer = case.submit()
        case.submit()
        case.dispatcher.detach_caller("j", answer)
        self.assertEqual(case.stops(), [])
        case.dispatcher.detach_caller("j", answer)
        self.assertEqual(case.stops(), case.runs())
        self.assertEqual(answer.result().state, JobState.UNFINISHED)

    async def test_job_sent_again_while_its_runs_are_being_stopped_starts_nothing(self):
        case = DispatchCase("x")
        case.dispatcher.detach_caller("j", case.submit())
        self.assertEqual(case.submit().result().state, JobState.UNFINISHED)
        self.assertEqual(len(case.runs()), 1)


class TestMessages(unittest.IsolatedAsyncioTestCase):
    # Guards against estimates and objectives that a start message can't carry: the send would fail
    # and the job be given up.
    async def test_starts_of_jobs_with_huge_numbers_can_be_sent(self):
        queue = QUEUE._replace(slack=1e6, objective_ms=2.0**31, priority=2**31 - 1)
        steps = tuple(Step(1, 1_600, 64, 2**31 - 1, tuple(range(index))) for index in range(64))
        case = DispatchCase("pipa-1")
        case.submit(make_request()._replace(steps=steps), queue)
        starts = [message for _, message in case.sent if isinstance(message, StartRuns)]
        self.assertEqual(len(starts), 1)
        self.assertTrue(encode_message(starts[0]))


class TestAttempts(unittest.IsolatedAsyncioTestCase):
    async def test_failed_run_is_tried_elsewhere_up_to_the_queues_attempts(self):
        case = DispatchCase("x", "y", "z")
        answer = case.submit()
        for _ in range(2):
            case.end(case.runs()[-1], RunState.FAILED)
            self.assertFalse(answer.done())
        self.assertEqual(len({agent for agent, _, _ in case.runs()}), 3)
        self.assertEqual([run for _, _, run in case.runs()], [1, 2, 3])
        case.end(case.runs()[-1], RunState.FAILED)
        self.assertEqual(answer.result().state, JobState.FAILED)

    async def test_task_is_not_started_again_before_its_run_has_ended(self):
        case = DispatchCase("x", "y")
        case.submit()
        case.advance(1_500)
        self.assertEqual(len(case.runs()), 1)

    async def test_next_run_number_exceeds_the_highest_known_to_the_runner(self):
        case = DispatchCase("x")
        case.submit()
        agent, task, run = case.runs()[0]
        outcome = RunOutcome(task, run, RunState.NOT_RUN, RunReason.SUPERSEDED, 0, 7, 0)
        case.dispatcher.receive_outcomes(agent, RunOutcomes([outcome], None))
        self.assertEqual(case.runs()[1][2], 8)

    async def test_outcome_of_another_run_or_agent_changes_nothing(self):
        case = DispatchCase("x", "y")
        answer = case.submit()
        agent, task, run = case.runs()[0]
        other = "y" if agent == "x" else "x"
        case.end((other, task, run))
        case.end((agent, task, run + 1))
        self.assertFalse(answer.done())


class TestRefusals(unittest.IsolatedAsyncioTestCase):
    async def test_job_is_refused_at_once_where_it_can_not_run(self):
        cases = {
            "no_runner": (DispatchCase(), make_request()),
            "no_fitting_runner": (DispatchCase("x"), make_request(cpu=17_000)),
        }
        for reason, (case, request) in cases.items():
            with self.subTest(reason=reason):
                answer = case.submit(request).result()
                self.assertEqual((answer.state, answer.reason), (JobState.REFUSED, reason))
                self.assertGreater(answer.retry_after_ms, 0)
                self.assertEqual(case.runs(), [])

    async def test_job_that_ran_in_part_is_unfinished_not_refused(self):
        case = DispatchCase("x")
        answer = case.submit(make_request(count=2))
        case.end(case.runs()[0])
        case.end(case.runs()[1], RunState.NOT_RUN, RunReason.FULL)
        case.advance(4_000)
        self.assertEqual(answer.result().state, JobState.UNFINISHED)

    async def test_job_of_which_no_agent_started_a_run_is_refused(self):
        case = DispatchCase("x")
        answer = case.submit()
        while not answer.done() and len(case.runs()) < 30:
            case.advance(100)
            case.end(case.runs()[-1], RunState.NOT_RUN, RunReason.FULL)
        self.assertEqual(answer.result().state, JobState.REFUSED)


class TestLostAgents(unittest.IsolatedAsyncioTestCase):
    async def test_runs_of_a_lost_agent_count_as_lost_only_after_their_leases(self):
        case = DispatchCase("x", "y")
        case.submit()
        agent = case.runs()[0][0]
        case.dispatcher.link_down(agent)
        case.advance(1_900)
        self.assertEqual(len(case.runs()), 1)
        case.advance(100)
        self.assertEqual(len(case.runs()), 2)
        self.assertNotEqual(case.runs()[1][0], agent)

    async def test_runs_are_claimed_when_the_agent_is_back(self):
        case = DispatchCase("x")
        answer = case.submit()
        run = case.runs()[0]
        case.dispatcher.link_down("x")
        case.advance(500)
        case.dispatcher.link_up("x")
        claim = [message for _, message in case.sent if isinstance(message, ClaimRuns)][-1]
        self.assertEqual([(it.task, it.run) for it in claim.runs], [run[1:]])
        case.end(run)
        self.assertEqual(answer.result().state, JobState.COMPLETED)

    async def test_runs_do_not_count_as_lost_while_control_still_lists_the_agent(self):
        """Found by the soak (seed 15): outcomes may be final, and yet the tasks ran again."""
        case = DispatchCase("x", "y")
        case.submit()
        case.unlisted = False
        case.dispatcher.link_down(case.runs()[0][0])
        case.advance(2_000)
        case.unlisted = True
        case.advance(UNLISTED_FOR_MS)
        self.assertEqual(len(case.runs()), 1)
        case.advance(50)
        self.assertEqual(len(case.runs()), 2)

    async def test_runs_of_an_agent_that_control_listed_late_never_count_as_lost(self):
        """Found by the soak (seed 111): the outcome was final before control lost the agent."""
        case = DispatchCase("x", "y")
        answer = case.submit()
        case.unlisted = False
        case.dispatcher.link_down(case.runs()[0][0])
        case.advance(STILL_LISTED_MS)
        case.unlisted = True
        case.advance(1_000)
        self.assertEqual((len(case.runs()), answer.done()), (1, False))

    async def test_agent_that_control_lists_again_is_waited_for_anew(self):
        case = DispatchCase("x", "y")
        case.submit()
        case.dispatcher.link_down(case.runs()[0][0])
        case.advance(1_850)
        case.unlisted = False
        case.advance(50)
        case.unlisted = True
        case.advance(UNLISTED_FOR_MS)
        self.assertEqual(len(case.runs()), 1)
        case.advance(50)
        self.assertEqual(len(case.runs()), 2)

    async def test_jobs_that_wait_for_an_unreachable_agent_end_and_are_forgotten(self):
        case = DispatchCase("x")
        answer = case.submit()
        case.unlisted = False
        case.dispatcher.link_down("x")
        case.advance(6_000)
        self.assertEqual(answer.result().state, JobState.UNFINISHED)
        self.assertEqual(case.dispatcher.jobs, {})

    async def test_done_outcomes_are_confirmed_to_the_agent(self):
        case = DispatchCase("x")
        case.submit(make_request(count=2))
        done, failed = case.runs()
        case.end(done)
        case.end(failed, RunState.FAILED)
        case.end(("x", "unknown.0.0.0", 3))
        taken = [message for _, message in case.sent if isinstance(message, OutcomesTaken)]
        keys = [(key.task, key.run) for message in taken for key in message.runs]
        self.assertEqual(keys, [done[1:], ("unknown.0.0.0", 3)])

    async def test_silent_agent_gets_nothing(self):
        case = DispatchCase("x", "y")
        case.advance(500, silent=("x",))
        case.submit(make_request(count=4))
        self.assertEqual({agent for agent, _, _ in case.runs()}, {"y"})

    async def test_start_message_is_valid_for_400_ms_on_the_agents_clock(self):
        case = DispatchCase("x")
        case.report("x", clock_ms=90_000)
        case.clock.advance(100)
        case.submit()
        order = next(message for _, message in case.sent if isinstance(message, StartRuns))
        self.assertEqual(order.valid_until_ms, 90_000 + 100 + 400)


class TestRetiredAgents(unittest.IsolatedAsyncioTestCase):
    """Links that move to other processes as the fleet grows, while work goes on."""

    async def test_a_link_is_closed_only_after_its_runs_and_some_quiet(self):
        case = DispatchCase("a-1")
        answer = case.submit()
        retired = frozenset({"a-1"})
        self.assertEqual(case.dispatcher.retire_agents(retired), frozenset())
        case.advance(RETIRED_IDLE_MS + 50)
        self.assertEqual(case.dispatcher.retire_agents(retired), frozenset())
        case.end(case.runs()[0])
        self.assertEqual((await answer).state, JobState.COMPLETED)
        self.assertEqual(case.dispatcher.retire_agents(retired), frozenset())
        case.advance(RETIRED_IDLE_MS)
        self.assertEqual(case.dispatcher.retire_agents(retired), retired)

    async def test_a_retiring_agent_gets_no_tasks_until_it_is_needed_again(self):
        case = DispatchCase("a-1", "a-2")
        case.dispatcher.retire_agents(frozenset({"a-1"}))
        for number in range(4):
            case.submit(make_request(f"j-{number}"))
        self.assertEqual({agent for agent, _, _ in case.runs()}, {"a-2"})
        case.dispatcher.retire_agents(frozenset())
        case.submit(make_request("wide", 8))
        self.assertIn("a-1", {agent for agent, _, _ in case.runs()})

    async def test_a_lost_link_without_runs_leaves_nothing_to_wait_for(self):
        case = DispatchCase("a-1")
        case.unlisted = False
        case.dispatcher.link_down("a-1")
        case.advance(5_000)
        self.assertEqual(case.dispatcher._lost_agents, {})


class TestFrozen(unittest.IsolatedAsyncioTestCase):
    async def test_paused_process_starts_nothing_for_its_earlier_jobs(self):
        case = DispatchCase("x", "y")
        answer = case.submit()
        case.clock.advance(3_000)
        case.end(case.runs()[0], RunState.STOPPED, RunReason.OWNER_SILENT)
        self.assertEqual(answer.result().state, JobState.UNFINISHED)
        case.advance(500)
        self.assertEqual(len(case.runs()), 1)

    async def test_what_was_done_meanwhile_is_still_answered(self):
        """Found in an incident of the operators: finished jobs were answered as unfinished."""
        case = DispatchCase("x", "y")
        answer = case.submit(make_request(count=2))
        case.clock.advance(3_000)
        for run in case.runs():
            case.end(run)
        self.assertEqual(answer.result().state, JobState.COMPLETED)

    async def test_job_received_after_the_pause_is_served(self):
        case = DispatchCase("x")
        case.clock.advance(3_000)
        case.report("x")
        answer = case.submit()
        case.end(case.runs()[0])
        self.assertEqual(answer.result().state, JobState.COMPLETED)
