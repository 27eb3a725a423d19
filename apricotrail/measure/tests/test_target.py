"""Stand-in targets, load, bounds and figures."""

import asyncio
from contextlib import ExitStack
from unittest import IsolatedAsyncioTestCase

from nose2.tools import params

from apricotrail.http import HttpClient
from apricotrail.measure import (
    DEPLOYMENTS,
    FaultMode,
    JobResult,
    JobSpec,
    LoadShape,
    TaskSpec,
    ideal_response_ms,
    ideal_work_ms,
    make_answer,
    make_figures,
    make_load,
    make_standin_target,
    make_task_body,
    start_system,
)
from apricotrail.measure._drive import send_load
from apricotrail.measure._figures import TargetCounts
from apricotrail.measure._ideal import SlotChange
from apricotrail.measure._load import mean_task_ms


class StandinTargetCase(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.target = make_standin_target("t0", "pipa")
        await self.target.listen()
        self.client = HttpClient()

    async def asyncTearDown(self):
        await self.target.crash()
        await self.client.close()

    async def call(self, method, path, body="", timeout_ms=5_000.0):
        address = self.target.address
        return await self.client.request(method, address, path, body.encode(), (), timeout_ms)

    async def test_answers_and_counts_double_starts(self):
        for _ in range(2):
            reply = await self.call("POST", "/tasks/a%2F1/0", make_task_body(1, 20))
            assert reply.unwrap().body == make_answer("a/1", 0, 20)
        assert self.target.starts == {("a/1", 0): 2}
        assert b'"double_starts":1' in (await self.call("GET", "/standin/counts")).unwrap().body

    async def test_faults(self):
        for mode, status in ((FaultMode.FAIL, 500), (FaultMode.SLOW, 200), (FaultMode.CUT, 0)):
            await self.call("POST", f"/standin/mode/{mode}")
            reply = await self.call("POST", "/tasks/a%2F1/0", make_task_body(1))
            assert reply.map(lambda response: response.status).value_or(0) == status, mode

    async def test_stalled_task_ends_when_stopped(self):
        self.target.mode = FaultMode.STALL
        started = asyncio.ensure_future(self.call("POST", "/tasks/a%2F1/0", make_task_body(1)))
        while not self.target.starts:
            await asyncio.sleep(0.001)
        await self.call("DELETE", "/tasks/a%2F1/0")
        assert (await started).unwrap().status == 409

    async def test_start_out_of_service_is_counted(self):
        self.target.forbid_starts(0.0)
        await self.call("POST", "/tasks/a%2F1/0", make_task_body(1))
        assert self.target.starts_out_of_service == 1


def test_load_is_seeded_and_meets_its_load_factor():
    shape = LoadShape(0.7, 88, 2_000_000.0)
    jobs = make_load(shape, 5)
    assert jobs[:50] == make_load(shape, 5)[:50]
    work_ms = sum(task.run_ms for job in jobs for task in job.tasks)
    assert abs(work_ms / (88 * 2_000_000.0) / 0.7 - 1) < 0.1
    assert mean_task_ms(shape) > 300


def spec(at_ms, *run_ms):
    return JobSpec("1", "a", "t", "s", at_ms, 1e4, [TaskSpec(value, 0) for value in run_ms])


@params(
    ("all at once", [spec(0, 100, 100)], [SlotChange(0, 2)], 100, 200),
    ("not finished", [spec(0, 1_000)], [SlotChange(0, 1)], 100, 100),
    ("slots taken out", [spec(0, *[100] * 10)], [SlotChange(0, 2), SlotChange(50, 1)], 100, 150),
    ("idle time is lost", [spec(90, 100)], [SlotChange(0, 1)], 100, 10),
)
def test_ideal_work(_, jobs, slots, end_ms, expected_ms):
    assert ideal_work_ms(jobs, slots, end_ms) == expected_ms


def test_ideal_response():
    assert ideal_response_ms([], 8) == 0
    assert ideal_response_ms([10] * 16, 8) == 20


def test_figures_find_broken_promises():
    results = [
        JobResult("a/1", "complete", 200, 100, 100),
        JobResult("a/2", "task_failed", 200, 100, 100, ("failed", "not_run", "not_run")),
        JobResult("a/3", "overloaded", 1, 100, 100),
        JobResult("a/4", "overloaded", 1, 100, 100),
        JobResult("a/5", "complete", 400, 100, 100, whole=False),
    ]
    starts = {("a/1", 0): 2, ("a/2", 0): 1, ("a/2", 1): 1, ("a/4", 0): 1, ("a/5", 0): 1}
    figures = make_figures(results, TargetCounts(starts, 300.0, 400.0, 2), 400.0, 3)
    assert (figures.complete, figures.refused, figures.failed) == (2, 2, 1)
    assert (figures.p50, figures.worst, figures.work_share) == (2.0, 4.0, 0.75)
    assert figures.useful_share == 0.5
    assert (figures.double_starts, figures.false_reports) == (1, 2)
    assert (figures.starts_out_of_service, figures.broken_answers) == (2, 1)


class MeasuredSystemCase(IsolatedAsyncioTestCase):
    async def test_roles_in_one_process_keep_the_promises(self):
        shape = LoadShape(
            0.5, 16, 1_000.0, "repair", [("shop-1-1", "shop-1")], tasks=(1, 8), long_share=0.0
        )
        size = DEPLOYMENTS["reparo"]._replace(targets=2, entries=2, replicas=1)
        with ExitStack() as resources:
            system = await start_system(size, resources, False, {"entry.drain_ms": 0})
            try:
                results = await send_load(system, make_load(shape, 1), 1, lambda at_ms: 16)
            finally:
                await system.stop()
        figures = make_figures(results, system.counts(), 1.0)
        assert figures.jobs == figures.complete > 0
        assert (figures.double_starts, figures.broken_answers) == (0, 0)
