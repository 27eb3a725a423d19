"""Runners whose capacity shrinks and grows again while they run, on virtual time.

The pattern: the capacity of a part of the runners shrinks, several times and overlapping, while
more jobs come than usual. Runners don't guard their capacity, and state it every 1.5 s.
"""

import unittest
from random import Random

from apricotrail.queues._jobs import JobState
from apricotrail.tests.fleet import CPU_MILLIS, Fleet, StandInRunner, make_job

KINDS = ((8, 120, 2_000.0), (4, 1_800, 12_000.0), (2, 400, 4_500.0))
RUNNERS = 6
# Six tenths of the capacity left with two runners at a fifth, at 1.25 core-seconds a job.
JOBS_PER_S = 0.6 * (4 + 2 * 0.2) * CPU_MILLIS / 1_000 / 1.25
AT_ONCE_MS = 300.0  # a heartbeat of the agents and two ticks


def submit_for(fleet: Fleet, total_ms: float, per_s: float, random: Random) -> None:
    """Submit jobs of three kinds at random times for `total_ms`."""
    end_ms = fleet.clock() + total_ms
    while fleet.clock() < end_ms:
        fleet.advance(5.0 * max(1, round(random.expovariate(per_s) * 200)))
        count, run_ms, budget_ms = random.choices(KINDS, (5, 1, 14))[0]
        cpu = random.randint(900, 2_300)
        request = make_job(
            f"m{len(fleet.answers)}", random.randint(1, count), run_ms, cpu, budget_ms
        )
        fleet.submit(request, f"d{random.randrange(3)}", run_ms * random.uniform(0.5, 1.5))


def shrink(fleet: Fleet, share: float, factor: float, random: Random) -> list[StandInRunner]:
    """Shrink a share of the runners to `factor` of their full capacity; return these."""
    chosen = random.sample(list(fleet.runners.values()), round(share * len(fleet.runners)))
    for runner in chosen:
        runner.cpu_millis = int(factor * CPU_MILLIS)
    return chosen


def restore(runners: list[StandInRunner]) -> None:
    for runner in runners:
        runner.cpu_millis = CPU_MILLIS


class TestShrunkRunners(unittest.IsolatedAsyncioTestCase):
    # Guards against starts over a capacity that has shrunk, when runners are full and queue tasks.
    async def test_nothing_starts_over_an_announced_capacity_under_a_burst(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet, random = Fleet(RUNNERS, seed=seed), Random(seed)
                submit_for(fleet, 2_000, 90.0, random)
                shrunk = []
                for factor in (0.55, 0.2, 0.7):
                    shrunk += shrink(fleet, 0.3, factor, random)
                    submit_for(fleet, 1_700, 90.0, random)
                restore(shrunk)
                submit_for(fleet, 3_000, 90.0, random)
                fleet.advance(16_000)
                self.assertEqual(fleet.broken, [])
                self.assertNotIn("open", fleet.list_states())

    # Guards against runs that count as gone, though a runner out of reach still has them.
    async def test_runners_out_of_reach_that_shrink_start_nothing_over_their_capacity(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet, random = Fleet(RUNNERS, seed=seed), Random(seed)
                submit_for(fleet, 2_000, 60.0, random)
                for cut_ms in (600.0, 1_000.0, 1_600.0, 2_100.0, 2_600.0):
                    for runner in shrink(fleet, 0.3, random.uniform(0.2, 0.8), random):
                        runner.cut_until_ms = fleet.clock() + cut_ms
                    submit_for(fleet, 2_000, 60.0, random)
                fleet.advance(16_000)
                self.assertEqual(fleet.broken, [])

    # Guards against jobs that are refused or late though the capacity that is left is enough.
    async def test_all_jobs_are_completed_while_the_capacity_left_is_enough(self):
        for factor in (0.2, 0.55, 0.8):
            with self.subTest(factor=factor):
                fleet, random = Fleet(RUNNERS), Random(5)
                submit_for(fleet, 2_000, JOBS_PER_S, random)
                shrunk = shrink(fleet, 0.3, factor, random)
                submit_for(fleet, 5_000, JOBS_PER_S, random)
                restore(shrunk)
                submit_for(fleet, 2_000, JOBS_PER_S, random)
                fleet.advance(16_000)
                self.assertEqual(set(fleet.list_states()), {"completed"})
                self.assertEqual(fleet.broken, [])

    # Guards against capacity that has grown again and stays unused.
    async def test_capacity_that_has_grown_again_is_used(self):
        fleet, random = Fleet(runners=4), Random(5)
        shrunk = shrink(fleet, 1.0, 0.2, random)
        fleet.advance(2_000)
        restore(shrunk)
        fleet.advance(2_000)
        fleet.submit(make_job("j", 40))
        fleet.advance(250)
        self.assertEqual(sum(fleet.starts.values()), 40)
        fleet.advance(1_000)
        self.assertEqual(fleet.list_states(), {"completed": 1})

    # Guards against a job that waits though the runners that it fitted have shrunk.
    async def test_waiting_job_that_fits_no_runner_any_more_is_refused_at_once(self):
        fleet = Fleet(runners=2)
        for runner in fleet.runners.values():
            fleet.submit(make_job(f"n{runner.name}", cpu=8_000, run_ms=1_800), run_ms=1_800)
        fleet.advance(100)
        fleet.submit(make_job("large", cpu=12_000))
        for runner in fleet.runners.values():
            runner.cpu_millis = 10_000
            runner.announce()
        fleet.advance(AT_ONCE_MS)
        self.assertTrue(fleet.answers["large"].done())
        self.assertEqual(fleet.answers["large"].result().state, JobState.REFUSED)
        self.assertEqual(fleet.answers["large"].result().reason, "no_fitting_runner")

    # Guards against small tasks that wait behind a large one that has to wait for more room.
    async def test_tasks_that_fit_do_not_wait_behind_one_that_no_longer_fits(self):
        fleet = Fleet(runners=1)
        fleet.submit(make_job("n", cpu=8_000, run_ms=1_800), run_ms=1_800)
        fleet.advance(100)
        fleet.submit(make_job("large", cpu=12_000))
        fleet.submit(make_job("small", cpu=2_000))
        runner = fleet.runners["r0"]
        runner.cpu_millis = 10_000
        runner.announce()
        fleet.advance(50)
        self.assertEqual(fleet.starts["small.0.0.0"], 1)


if __name__ == "__main__":
    unittest.main()
