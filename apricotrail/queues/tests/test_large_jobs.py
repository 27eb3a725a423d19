"""Jobs of thousands of tasks, which a caller asks for with a hundred bytes.

The load: one such job, or many at once, beside ordinary ones. What it takes to place them is spread
over turns of the event loop, so that nothing else waits for all of it.
"""

import asyncio
import unittest

from apricotrail.queues._jobs import JobState
from apricotrail.queues._starts import TASKS_PER_PASS
from apricotrail.queues.tests.harness import DispatchCase, make_request

LARGE = 1_000


class CountingList(list):
    """Counts how often it is walked."""

    walks = 0

    def __iter__(self):
        self.walks += 1
        return super().__iter__()


class TestLargeJobs(unittest.IsolatedAsyncioTestCase):
    async def test_large_job_is_placed_in_several_turns_and_completed(self):
        case = DispatchCase("x", "y")
        answer = case.submit(make_request(count=LARGE, cpu=1))
        self.assertEqual(len(case.runs()), TASKS_PER_PASS)
        await asyncio.sleep(0)
        self.assertEqual(len(case.runs()), 2 * TASKS_PER_PASS)
        for _ in range(LARGE // TASKS_PER_PASS):
            await asyncio.sleep(0)
        self.assertEqual(len({task for _, task, _ in case.runs()}), LARGE)
        for run in case.runs():
            case.end(run)
        self.assertEqual(answer.result().state, JobState.COMPLETED)

    async def test_many_large_jobs_take_turns_and_an_ordinary_one_is_placed_at_once(self):
        case = DispatchCase("x", "y")
        for number in range(20):
            case.submit(make_request(f"large-{number}", count=LARGE, cpu=1))
        case.dispatcher.tick()
        before = len(case.runs())
        self.assertLessEqual(before, (20 + 4) * TASKS_PER_PASS)
        await asyncio.sleep(0)
        self.assertEqual(len(case.runs()), before + TASKS_PER_PASS)
        case.submit(make_request("ordinary", count=8))
        self.assertEqual(sum(task.startswith("ordinary") for _, task, _ in case.runs()), 8)

    # Guards against memory for millions of tasks, which callers ask for with a hundred bytes each.
    async def test_tasks_of_all_open_jobs_are_bounded_and_large_jobs_leave_room_for_others(self):
        case = DispatchCase("x")
        case.dispatcher._state.max_open_tasks = 4 * LARGE
        large = [case.submit(make_request(f"l{it}", count=LARGE, cpu=1)) for it in range(5)]
        self.assertEqual([it.done() for it in large], [False, False, True, True, True])
        self.assertEqual(large[2].result().reason, "too_many_tasks")
        self.assertEqual(large[2].result().state, JobState.REFUSED)
        small = [case.submit(make_request(f"s{it}", count=50, cpu=1)) for it in range(45)]
        self.assertEqual([it.done() for it in small], [False] * 40 + [True] * 5)

    async def test_tasks_behind_some_that_cannot_start_are_placed(self):
        case = DispatchCase("x")
        blocked = make_request(count=100, cpu=1, max_per_runner=1)
        free = make_request(count=10, cpu=1)
        case.submit(blocked._replace(steps=blocked.steps + free.steps))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(sum(task.startswith("j.0.1.") for _, task, _ in case.runs()), 10)

    # Guards against a walk over all tasks for each runner that is considered for each of them.
    async def test_limit_of_tasks_at_a_runner_does_not_multiply_the_work(self):
        case = DispatchCase(*(f"a{number}" for number in range(10)))
        case.submit(make_request(count=LARGE, cpu=1, max_per_runner=500))
        job = case.dispatcher.jobs["j"]
        job.tasks = CountingList(job.tasks)
        await asyncio.sleep(0)
        self.assertEqual(len(case.runs()), 2 * TASKS_PER_PASS)
        self.assertLess(job.tasks.walks, 10)
