"""The agent's state machine under random messages, random run outcomes and lossy links."""

import asyncio
from collections import Counter
from random import Random

from apricotrail.agent._agent import Agent
from apricotrail.agent._callbacks import AgentCallbacks
from apricotrail.agent._gate import GateState
from apricotrail.agent._records import LedgerLimits, Outcome
from apricotrail.agent._target_configuration import TargetConfiguration
from apricotrail.clocks import VirtualClock
from apricotrail.wire.generated import ttypes
from apricotrail.wire.generated.ttypes import Reason, TaskState

OPEN = GateState("runner", 1, True, TargetConfiguration(True, True))
CLOSED = OPEN._replace(target_configuration=TargetConfiguration(True, False))
ENTRIES = ("entry-a", "entry-b")
SLOTS = 3
JOBS = 6
TASKS = 4
SEEDS = 40
STEPS = 120


class Schedule:
    """One agent with two entries and one target; a seed determines all events."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.gate = OPEN
        self.lossy = False
        self.attempts = Counter()
        self.sent_starts = []
        self.ran = Counter()
        self.reported: dict[tuple, set[int]] = {}
        self.open_runs: dict[tuple, asyncio.Future] = {}
        self.open_stops: list[asyncio.Future] = []
        callbacks = AgentCallbacks(
            self.send, self.call_soon, self.run_task, self.stop_task, lambda: self.gate
        )
        self.agent = Agent(callbacks, SLOTS, 50, LedgerLimits(), self.clock)

    # ---- callbacks of the agent ----

    def call_soon(self, function):
        asyncio.get_running_loop().call_soon(function)

    def send(self, entry, message):
        if self.lossy:
            return False
        if isinstance(message, ttypes.TaskOutcomes):
            self.record_final_states(message)
        return True

    async def run_task(self, job, start, budget_ms):
        assert self.gate is OPEN
        self.ran[(job, start.task, start.attempt)] += 1
        future = asyncio.get_running_loop().create_future()
        self.open_runs[(job, start.task)] = future
        return await future

    async def stop_task(self, job, task):
        future = asyncio.get_running_loop().create_future()
        self.open_stops.append(future)
        await future

    # ---- steps ----

    def send_start(self):
        job, task = f"school/{self.random.randrange(JOBS)}", self.random.randrange(TASKS)
        self.attempts[(job, task)] += 1
        start = ttypes.TaskStart(task, self.attempts[(job, task)], b"")
        owner, epoch = self.random.choice(ENTRIES), self.random.randrange(1, 3)
        want = self.random.randrange(3)
        self.sent_starts.append(
            ttypes.StartTasks(job, "runner", owner, epoch, 1, 100, [start], want)
        )
        self.deliver()

    def deliver(self):
        if self.sent_starts:
            message = self.random.choice(self.sent_starts[-8:])
            self.agent.start_tasks(message.owner, message)

    def end_run(self):
        if not self.open_runs:
            return
        future = self.open_runs.pop(self.random.choice(list(self.open_runs)))
        ends = (
            Outcome(TaskState.DONE, answer=b"a"),
            Outcome(TaskState.NOT_RUN, Reason.TARGET_UNREACHABLE),
            Outcome(TaskState.MAY_HAVE_RUN, Reason.TARGET_SILENT),
        )
        if not future.done():
            future.set_result(self.random.choice(ends))

    def end_stop(self):
        if self.open_stops:
            self.open_stops.pop().set_result(None)

    def stop(self):
        job = f"school/{self.random.randrange(JOBS)}"
        tasks = self.random.choice(([], [0], [1, 2, 9], [3]))
        self.agent.stop_tasks(ttypes.StopTasks(job, "runner", self.random.randrange(1, 3), tasks))

    def resolve(self):
        if not self.sent_starts:
            return
        message = self.random.choice(self.sent_starts[-8:])
        keys = [ttypes.AttemptKey(s.task, s.attempt) for s in message.tasks]
        request = ttypes.ResolveAttempts(message.job, "runner", message.epoch, 1, keys)
        self.record_final_states(self.agent.resolve_attempts(message.owner, request))

    def fence(self):
        job, epoch = f"school/{self.random.randrange(JOBS)}", self.random.randrange(1, 3)
        states = self.agent.fence_job(ttypes.FenceJob(job, "runner", epoch, "entry-b"))
        if states is not None:
            self.record_final_states(states)

    def change_conditions(self):
        self.gate = self.random.choice((OPEN, OPEN, CLOSED))
        self.lossy = self.random.random() < 0.2
        self.agent.reset_entry(self.random.choice(ENTRIES))

    def pass_time(self):
        self.clock.advance(self.random.randrange(60))
        self.agent.tick()

    # ---- checks ----

    def record_final_states(self, message):
        for outcome in message.outcomes:
            key = (message.job, outcome.task, outcome.attempt)
            if outcome.state != TaskState.RUNNING:
                self.reported.setdefault(key, set()).add(outcome.state)

    def check(self):
        slots = self.agent.slots
        assert 0 <= slots.running <= SLOTS
        assert slots.free() + slots.running + sum(map(slots.granted_to, ENTRIES)) == SLOTS
        assert all(
            len(states) == 1 for states in self.reported.values()
        ), "more than one final state reported"
        assert all(times == 1 for times in self.ran.values())
        started = Counter()
        for job, task, attempt in self.ran:
            state = self.agent.ledger.find(job, (task, attempt)).state
            started[(job, task)] += state != TaskState.NOT_RUN
        assert all(count <= 1 for count in started.values())

    async def run(self):
        steps = (
            *[self.send_start, self.deliver, self.end_run, self.end_run, self.end_stop] * 2,
            self.stop,
            self.resolve,
            self.fence,
            self.change_conditions,
            self.pass_time,
        )
        for _ in range(STEPS):
            self.random.choice(steps)()
            for _ in range(self.random.randrange(4)):
                await asyncio.sleep(0)
            self.check()
        for _ in range(STEPS):
            self.end_run()
            self.end_stop()
            await asyncio.sleep(0)
        self.check()
        assert self.agent.slots.running == 0
        return len(self.ran)


def test_random_schedules_keep_all_invariants():
    runs = [asyncio.run(Schedule(seed).run()) for seed in range(SEEDS)]
    assert sum(runs) > 3 * SEEDS, "the schedules run too few tasks"
