"""What is concluded from runners that were lost under tasks: suspects, causes and neighbours."""

import unittest

from apricotrail.clocks import VirtualClock
from apricotrail.queues._crashes import DOWN_MS, KEPT_MS, CrashHistory, Restart
from apricotrail.queues._jobs import JobState
from apricotrail.queues.tests.harness import DispatchCase, make_request
from apricotrail.wire.generated.ttypes import LostRun, RunnerLost, RunState

RECENT_MS, EARLIER_MS = 10, 400
TASK, NEIGHBOUR = "j.0.0.0", "n.0.0.0"


def make_loss(*runs, boot=1, is_down=True, age_ms=0) -> RunnerLost:
    """Return a loss of a runner with `runs`, each a task and how long it had been ordered."""
    alone = len(runs) == 1
    rows = [LostRun(task, 1, running_ms, alone) for task, running_ms in runs]
    return RunnerLost(boot, rows, is_down, age_ms)


class TestDecisions(unittest.TestCase):
    def setUp(self):
        self.clock = VirtualClock(100_000.0)
        self.history = CrashHistory(self.clock)

    def lose(self, agent, *runs, **fields):
        self.history.note_loss(agent, make_loss(*runs, **fields))

    # Guards against neighbours of a deadly task that wait or are given up like the task itself.
    def test_only_what_started_just_before_the_crash_is_suspected(self):
        self.lose("x", (TASK, RECENT_MS), (NEIGHBOUR, EARLIER_MS))
        self.assertIs(self.history.decide(TASK), Restart.ISOLATED)
        self.assertIs(self.history.decide(NEIGHBOUR), Restart.ANYWHERE)

    def test_task_that_crashed_two_runners_is_isolated_whenever_it_started(self):
        self.lose("x", (TASK, EARLIER_MS), (NEIGHBOUR, RECENT_MS))
        self.lose("y", (TASK, EARLIER_MS), ("m.0.0.0", RECENT_MS))
        self.assertIs(self.history.decide(TASK), Restart.ISOLATED)

    # Guards against a job that fails although fewer than two runners crashed under its task.
    def test_task_is_given_up_once_both_crashes_are_confirmed(self):
        self.lose("x", (TASK, RECENT_MS), (NEIGHBOUR, EARLIER_MS))
        self.lose("y", (TASK, RECENT_MS))
        self.assertIs(self.history.decide(TASK), Restart.LATER)
        self.history.note_boot("x", 2, True)
        self.assertIs(self.history.decide(TASK), Restart.LATER)
        self.history.note_boot("y", 2, False)
        self.assertIs(self.history.decide(TASK), Restart.NEVER)

    def test_runner_that_comes_back_with_its_boot_has_not_crashed(self):
        self.lose("x", (TASK, RECENT_MS), (NEIGHBOUR, RECENT_MS))
        self.lose("y", (TASK, RECENT_MS))
        self.history.note_boot("y", 1, False)
        self.assertIs(self.history.decide(TASK), Restart.LATER)
        self.assertIs(self.history.decide(NEIGHBOUR), Restart.ANYWHERE)
        self.history.note_boot("y", 1, True)
        self.assertIs(self.history.decide(TASK), Restart.ISOLATED)
        self.assertIs(self.history.decide(NEIGHBOUR), Restart.ISOLATED)

    # Guards against suspicion of tasks whose runner was only cut off.
    def test_silent_runner_counts_only_once_it_has_a_new_boot(self):
        self.lose("x", (TASK, RECENT_MS), (NEIGHBOUR, RECENT_MS), is_down=False)
        self.assertIs(self.history.decide(TASK), Restart.ANYWHERE)
        self.history.note_boot("x", 2, True)
        self.assertIs(self.history.decide(TASK), Restart.ISOLATED)

    def test_task_that_lost_its_runner_alone_clears_the_other_suspects(self):
        self.lose("x", (TASK, RECENT_MS), (NEIGHBOUR, RECENT_MS))
        self.assertIs(self.history.decide(NEIGHBOUR), Restart.ISOLATED)
        self.lose("y", (TASK, RECENT_MS))
        self.assertIs(self.history.decide(NEIGHBOUR), Restart.ANYWHERE)

    # Guards against a further start after three runners have crashed under a task.
    def test_three_losses_end_all_starts(self):
        for agent in "xyz":
            self.lose(agent, (TASK, EARLIER_MS), (f"{agent}.0.0.0", RECENT_MS))
        self.assertIs(self.history.decide(TASK), Restart.LATER)
        for agent in "xyz":
            self.history.note_boot(agent, 2, True)
        self.assertIs(self.history.decide(TASK), Restart.NEVER)

    def test_loss_that_is_told_again_on_a_new_link_counts_once(self):
        for age_ms in (0, 3_000):
            self.lose("x", (TASK, RECENT_MS), age_ms=age_ms)
            self.history.note_boot("x", 2, True)
        self.assertEqual(self.history.list_lost_at(TASK), ["x"])

    # Guards against a crash that is missed since the same boot had been cut off before.
    def test_crash_after_a_cut_of_the_same_boot_counts(self):
        self.lose("x", (TASK, RECENT_MS), is_down=False)
        self.history.note_boot("x", 1, True)
        self.lose("x", (TASK, RECENT_MS))
        self.assertIs(self.history.decide(TASK), Restart.ISOLATED)

    # Guards against suspects that wait for ever for a runner that was lost for good.
    def test_runner_that_stays_away_no_longer_counts_as_down(self):
        self.lose("x", (TASK, RECENT_MS))
        self.lose("y", (TASK, RECENT_MS))
        self.lose("z", (NEIGHBOUR, RECENT_MS), is_down=False)
        self.assertEqual(self.history.list_at_risk(), ["x", "y"])
        self.clock.advance(DOWN_MS)
        self.assertEqual(self.history.list_at_risk(), [])

    # Guards against suspects that wait when runners crash for reasons of their own.
    def test_crashes_hold_suspects_back_only_once_a_task_is_known_as_a_cause(self):
        self.lose("x", (TASK, RECENT_MS), (NEIGHBOUR, RECENT_MS))
        self.lose("y", ("m.0.0.0", RECENT_MS))
        self.assertEqual(self.history.list_at_risk(), [])
        self.lose("z", (TASK, RECENT_MS))
        self.assertEqual(self.history.list_at_risk(), ["x", "y", "z"])
        self.clock.advance(KEPT_MS)
        self.lose("w", ("n.0.0.1", RECENT_MS))
        self.assertEqual(self.history.list_at_risk(), [])

    def test_old_losses_are_forgotten(self):
        self.lose("x", (TASK, RECENT_MS))
        self.clock.advance(KEPT_MS)
        self.history.evict()
        self.assertFalse(self.history.is_known("j"))


class TestResentJobs(unittest.IsolatedAsyncioTestCase):
    # Guards against "nothing has run" for a job whose runs were lost at another dispatcher.
    async def test_job_whose_runs_were_lost_elsewhere_is_not_refused(self):
        case = DispatchCase("x")
        case.report("x", accepting=False)
        case.dispatcher.receive_runner_lost("x", make_loss((TASK, EARLIER_MS)))
        answer = case.submit(make_request("j"))
        self.assertFalse(answer.done())
        self.assertEqual(case.submit(make_request("k")).result().state, JobState.REFUSED)
        case.advance(4_000)
        self.assertEqual(answer.result().state, JobState.UNFINISHED)

    # Guards against suspects that crash the runners that are left after many crashes at once.
    async def test_suspect_waits_while_a_quarter_of_the_runners_is_down(self):
        agents = "abcdefgh"
        case = DispatchCase(*agents)
        for agent in agents[:2]:
            case.dispatcher.receive_runner_lost(agent, make_loss(("d.0.0.0", RECENT_MS)))
            case.report(agent, boot=2)
        answer = case.submit(make_request("j"))
        first = case.runs()[0]
        down = [first[0], *[agent for agent in agents if agent != first[0]][:1]]
        for agent in down:
            case.report(agent, accepting=False)
            case.dispatcher.receive_runner_lost(
                agent,
                make_loss((TASK if agent == first[0] else "m.0.0.0", 0), (NEIGHBOUR, 0), boot=2),
            )
        case.end(first, RunState.LOST)
        case.advance(1_000)
        self.assertEqual(len(case.runs()), 1)
        case.report(down[1], accepting=True, boot=3)
        case.advance(50)
        self.assertEqual(len(case.runs()), 2)
        case.end(case.runs()[1])
        self.assertEqual(answer.result().state, JobState.COMPLETED)

    # Guards against an isolated task that is placed beyond the limit of its step for a runner.
    async def test_suspect_keeps_to_the_limit_of_its_step(self):
        case = DispatchCase("x", "y", "z")
        answer = case.submit(make_request("j", count=2, max_per_runner=1))
        first, other = case.runs()
        case.report(first[0], accepting=False)
        loss = make_loss((first[1], RECENT_MS), (NEIGHBOUR, RECENT_MS), is_down=False)
        case.dispatcher.receive_runner_lost(first[0], loss)
        case.report(first[0], boot=2)
        case.end(first, RunState.LOST)
        self.assertEqual(len({first[0], other[0], case.runs()[2][0]}), 3)
        for run in (other, case.runs()[2]):
            case.end(run)
        self.assertEqual(answer.result().state, JobState.COMPLETED)

    # Guards against crashes in one pool that hold back the suspects of another.
    async def test_runners_of_other_pools_do_not_count(self):
        case = DispatchCase("x", "y", "z")
        case.report("z", pool="other")
        case.submit(make_request("j"))
        first = case.runs()[0]
        for boot in (1, 2):
            case.report("z", accepting=False, boot=boot)
            loss = make_loss(("d.0.0.0", RECENT_MS), boot=boot)
            case.dispatcher.receive_runner_lost("z", loss)
        self.assertEqual(case.dispatcher.crashes.list_at_risk(), ["z"])
        case.report(first[0], accepting=False)
        loss = make_loss((TASK, RECENT_MS), (NEIGHBOUR, EARLIER_MS))
        case.dispatcher.receive_runner_lost(first[0], loss)
        case.report(first[0], accepting=True, boot=2)
        case.end(first, RunState.LOST)
        self.assertEqual(len(case.runs()), 2)

    async def test_suspect_is_started_alone_at_the_runner_that_is_idle_first(self):
        case = DispatchCase("x", "y", "z")
        case.report("x", idle_ms=900)
        case.report("y", idle_ms=300)
        case.report("z", idle_ms=600)
        answer = case.submit(make_request("j"))
        first = case.runs()[0]
        case.report(first[0], accepting=False)
        case.dispatcher.receive_runner_lost(
            first[0], make_loss((TASK, RECENT_MS), (NEIGHBOUR, RECENT_MS))
        )
        case.end(first, RunState.LOST)
        second = case.sent[-1][1].starts[0]
        self.assertTrue(second.isolated)
        self.assertEqual(case.runs()[1][0], "y" if first[0] != "y" else "z")
        case.end(case.runs()[1])
        self.assertEqual(answer.result().state, JobState.COMPLETED)
