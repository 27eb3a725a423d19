"""Placement of tasks and handling of outcomes, with fake links."""

import asyncio
import unittest
from random import Random
from types import SimpleNamespace

import orjson
from nose2.tools import params
from returns.result import Success

from apricotrail.clocks import VirtualClock
from apricotrail.entry._agents import AgentTable
from apricotrail.entry._dispatch import JobDispatcher
from apricotrail.entry._dispatch_state import DispatchState
from apricotrail.entry._job import Job, encode_result
from apricotrail.entry._placer import Placer
from apricotrail.errors import ErrorKind, Problem
from apricotrail.metrics import make_metrics
from apricotrail.policy import PLACEMENTS
from apricotrail.settings import Settings
from apricotrail.wire.generated.ttypes import (
    AttemptStates,
    Load,
    Reason,
    ResolveAttempts,
    SlotWant,
    StartTasks,
    StopTasks,
    TaskOutcome,
    TaskOutcomes,
    TaskState,
)


class FakeLink:
    """Records sent messages; replies to ResolveAttempts with `outcomes_to_resolve`."""

    def __init__(self, target: str, incarnation: int = 1) -> None:
        self.peer = SimpleNamespace(
            name=f"agent:{target}", zone="pipa", role="agent", incarnation=incarnation
        )
        self.sent: list = []
        self.outcomes_to_resolve: list[TaskOutcome] = []
        self.broken = False

    def send(self, message, correlation=0) -> bool:
        if not self.broken:
            self.sent.append(message)
        return not self.broken

    async def call(self, request: ResolveAttempts, timeout_ms: float):
        self.sent.append(request)
        return Success(AttemptStates(request.job, request.target, 1, self.outcomes_to_resolve))

    def take(self, type_):
        found = [message for message in self.sent if isinstance(message, type_)]
        self.sent = [message for message in self.sent if not isinstance(message, type_)]
        return found


class Bench:
    """A dispatcher with fake links to the agents of one service."""

    def __init__(self, *targets: str, slots: int = 8) -> None:
        self.clock = VirtualClock(1_000.0)
        self.is_fresh = True
        self.agents = AgentTable(self.clock, 50, 3_000)
        dispatch_state = DispatchState(self.agents, self.clock, Random(1), make_metrics("entry"))
        placer = Placer(
            dispatch_state,
            lambda: "entry-1",
            lambda service: [(target, "pipa") for target in targets],
            lambda target: "repair",
            lambda: self.is_fresh,
            PLACEMENTS["late-binding"](Random(1)),
        )
        self.dispatcher = JobDispatcher(dispatch_state, placer, 20, 20)
        self.dispatcher.on_finish = lambda job: job.result.set_result(encode_result(job))
        self.links = {target: self.connect(target, slots) for target in targets}

    def connect(self, target: str, slots: int = 8, incarnation: int = 1) -> FakeLink:
        link = FakeLink(target, incarnation)
        self.dispatcher.connect(link)
        self.agents.find(link.peer.name).report(Load(target, slots, slots, 0, True))
        return link

    def submit(self, tasks: int, key: str = "natal/1", deadline_ms: float = 60_000) -> Job:
        bodies = tuple(b"%d" % task for task in range(tasks))
        deadline_ms += self.clock()
        job = Job(key, "repair", bodies, deadline_ms, 1, b"d", self.clock(), "shops")
        self.dispatcher.add(job)
        return job

    def answer(self, link: FakeLink, job: Job, *outcomes: TaskOutcome, free: int = 8) -> None:
        target = link.peer.name.removeprefix("agent:")
        load = Load(target, 8, free, 8 - free, True)
        message = TaskOutcomes(job.key, target, link.peer.incarnation, list(outcomes), load, 0)
        self.dispatcher.receive_outcomes(link, message)

    def count_dropped(self) -> int:
        return self.dispatcher.dispatch_state.metrics.dropped_replies.values["crossed_or_truncated"]

    async def run_callbacks(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)


def make_done(task: int, attempt: int = 1, answer: bytes = b"ok", length: int | None = None):
    length = len(answer) if length is None else length
    return TaskOutcome(task, attempt, TaskState.DONE, Reason.NONE, length, answer, 5)


def read_states(job: Job) -> list[str]:
    return [task["state"] for task in orjson.loads(job.result.result().body)["tasks"]]


class TestDispatch(unittest.IsolatedAsyncioTestCase):
    async def test_complete_answer_keeps_task_order(self):
        bench = Bench("r1")
        job = bench.submit(3)
        await bench.run_callbacks()
        (start,) = bench.links["r1"].take(StartTasks)
        self.assertEqual([item.body for item in start.tasks], [b"0", b"1", b"2"])
        for task in (2, 0, 1):
            bench.answer(bench.links["r1"], job, make_done(task, 1, b"a%d" % task))
        body = orjson.loads(job.result.result().body)
        self.assertEqual((body["state"], body["answers"]), ("complete", ["a0", "a1", "a2"]))

    async def test_starts_are_bounded_by_free_slots_and_state_the_want(self):
        bench = Bench("r1", slots=2)
        bench.submit(5)
        await bench.run_callbacks()
        (start,) = bench.links["r1"].take(StartTasks)
        self.assertEqual((len(start.tasks), start.want), (2, 2))
        self.assertEqual(bench.links["r1"].take(SlotWant), [])

    async def test_nothing_starts_with_a_stale_configuration(self):
        bench = Bench("r1")
        bench.is_fresh = False
        bench.submit(1)
        await bench.run_callbacks()
        self.assertEqual(bench.links["r1"].sent, [])

    @params(
        ("late attempt", make_done(0, attempt=9)),
        ("unknown task", make_done(7)),
        ("truncated", make_done(0, answer=b"o", length=2)),
        ("no answer", TaskOutcome(0, 1, TaskState.DONE, Reason.NONE, 2, None, 5)),
    )
    def test_crossed_and_truncated_outcomes_are_dropped(self, name, outcome):
        async def check():
            bench = Bench("r1")
            job = bench.submit(1)
            await bench.run_callbacks()
            bench.answer(bench.links["r1"], job, outcome)
            self.assertFalse(job.result.done(), name)
            self.assertEqual(bench.count_dropped(), 1)
            bench.links["r1"].outcomes_to_resolve = [make_done(0, 1, b"whole")]
            if name in ("truncated", "no answer"):
                await bench.run_callbacks()
                self.assertEqual(orjson.loads(job.result.result().body)["answers"], ["whole"])

        asyncio.run(check())

    async def test_outcome_of_another_agent_is_dropped(self):
        bench = Bench("r1", "r2", slots=1)
        job = bench.submit(2)
        await bench.run_callbacks()
        owners = {task: attempt.agent for task, attempt in job.open_attempts.items()}
        other = "r1" if owners[0] == "agent:r2" else "r2"
        bench.answer(bench.links[other], job, make_done(0))
        self.assertEqual((job.remaining, bench.count_dropped()), (2, 1))

    @params(
        (Reason.FULL, "start again"),
        (Reason.ZONE_OUT, "start again"),
        (Reason.TARGET_UNREACHABLE, "start again"),
        (Reason.EXPIRED, "not_run"),
    )
    def test_refused_start(self, reason, expected):
        async def check():
            bench = Bench("r1", "r2")
            job = bench.submit(1)
            await bench.run_callbacks()
            first = bench.links[job.open_attempts[0].agent.removeprefix("agent:")]
            bench.answer(first, job, TaskOutcome(0, 1, TaskState.NOT_RUN, reason, 0))
            await bench.run_callbacks()
            if expected == "not_run":
                self.assertEqual(read_states(job), ["not_run"])
                return
            self.assertEqual(job.open_attempts[0].number, 2)
            if reason != Reason.FULL:
                self.assertNotEqual(job.open_attempts[0].agent, first.peer.name)

        asyncio.run(check())

    async def test_failed_task_fails_the_job_and_drops_its_queue(self):
        bench = Bench("r1", slots=2)
        job = bench.submit(4)
        await bench.run_callbacks()
        failed = TaskOutcome(0, 1, TaskState.FAILED, Reason.TARGET_ERROR, 0)
        bench.answer(bench.links["r1"], job, failed, free=0)
        self.assertFalse(job.result.done())
        bench.answer(bench.links["r1"], job, make_done(1))
        self.assertEqual(read_states(job), ["failed", "done", "not_run", "not_run"])
        self.assertEqual(job.result.result().status, 502)

    async def test_lost_link_is_resolved_through_the_new_one(self):
        bench = Bench("r1", slots=2)
        job = bench.submit(2)
        await bench.run_callbacks()
        bench.dispatcher.disconnect(bench.links["r1"])
        link = FakeLink("r1")
        link.outcomes_to_resolve = [
            make_done(0),
            TaskOutcome(1, 1, TaskState.NOT_RUN, Reason.SEEN, 0),
        ]
        bench.dispatcher.connect(link)
        bench.agents.find("agent:r1").report(Load("r1", 2, 2, 0, True))
        await bench.run_callbacks()
        self.assertEqual(job.open_attempts[1].number, 2)
        bench.answer(link, job, make_done(1, 2))
        self.assertEqual(job.result.result().status, 200)

    async def test_restarted_agent_leaves_may_have_run(self):
        bench = Bench("r1", slots=1)
        job = bench.submit(2)
        await bench.run_callbacks()
        bench.dispatcher.disconnect(bench.links["r1"])
        bench.connect("r1", incarnation=2)
        self.assertEqual(read_states(job), ["may_have_run", "not_run"])

    async def test_agent_that_does_not_reconnect_is_given_up(self):
        bench = Bench("r1")
        job = bench.submit(1)
        await bench.run_callbacks()
        bench.dispatcher.disconnect(bench.links["r1"])
        await asyncio.wait_for(asyncio.shield(job.result), 10)
        self.assertEqual(read_states(job), ["may_have_run"])

    async def test_cancel_drops_queued_tasks_at_once_and_stops_started_ones(self):
        bench = Bench("r1", slots=1)
        job = bench.submit(3)
        await bench.run_callbacks()
        bench.dispatcher.cancel(job, Problem(ErrorKind.CANCELLED, "c", "r"))
        (stop,) = bench.links["r1"].take(StopTasks)
        self.assertEqual((stop.tasks, len(job.queued)), ([0], 0))
        await asyncio.wait_for(asyncio.shield(job.result), 10)
        self.assertEqual(read_states(job), ["may_have_run", "not_run", "not_run"])

    async def test_broken_link_keeps_the_task_queued(self):
        bench = Bench("r1")
        bench.links["r1"].broken = True
        job = bench.submit(1)
        await bench.run_callbacks()
        self.assertEqual((job.queued, job.open_attempts), ({0}, {}))


def test_retry_budget_follows_the_settings():
    settings = Settings({"policy.retry_burst": 1, "policy.retries_per_s": 0.1})
    clock = VirtualClock()
    dispatch_state = DispatchState(
        AgentTable(clock, 50, 3_000), clock, Random(1), make_metrics("entry"), settings
    )
    assert [dispatch_state.retries.try_spend("repair", 0.0) for _ in range(2)] == [True, False]


def test_agent_that_was_lost_holds_the_confirmed_version_back_until_it_is_stale():
    clock = VirtualClock(1_000.0)
    agents = AgentTable(clock, 50, 3_000)
    links = [FakeLink("r1"), FakeLink("r2")]
    for link in links:
        agents.connect(link)[0].config_version = 7
    assert agents.confirmed_version(9) == 7
    agents.disconnect(links[0])
    agents.find("agent:r2").config_version = 9
    assert agents.confirmed_version(9) == 7, "r1 may still start tasks with version 7"
    agents.connect(FakeLink("r1", incarnation=2))[0].config_version = 9
    assert agents.confirmed_version(9) == 7, "its former process may still run"
    clock.advance(3_000)
    assert agents.confirmed_version(9) == 9
