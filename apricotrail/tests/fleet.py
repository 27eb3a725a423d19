"""Dispatchers, agents and stand-in runners of one pool on virtual time, without network.

Messages and calls take no time. A runner that is down refuses its agent's calls, one that is cut
off does not answer them. Runners announce themselves every 1.5 s, each at its own moments, so a
changed capacity becomes known with a delay. Starts over the capacity that a runner announced last,
and two runs of a task at the same time, are recorded in `Fleet.broken`.
"""

import asyncio
from collections import Counter, deque
from random import Random
from typing import Any

from apricotrail.clocks import VirtualClock
from apricotrail.queues._dispatcher import Dispatcher, DispatcherParts
from apricotrail.queues._document import Queue
from apricotrail.queues._jobs import JobAnswer, JobRequest, Step
from apricotrail.runners._gate import GateLimits, RunGate
from apricotrail.runners._runs import (
    EndedRow,
    Listing,
    Order,
    OrderKind,
    Owner,
    RunKey,
    RunnerReport,
    RunningRow,
    StartReply,
)
from apricotrail.wire.generated.ttypes import (
    ClaimRuns,
    OutcomesTaken,
    RunnerLost,
    RunOutcome,
    RunOutcomes,
    StartRuns,
    StopRuns,
)

__all__ = ["Fleet", "make_job"]

STEP_MS = 5.0
POLL_MS = 50.0
HEARTBEAT_MS = 200.0
ANNOUNCE_MS = 1_500.0
CPU_MILLIS = 16_000
CRASH_AFTER_MS = 10.0
DOWN_MS = 3_300.0
LEASE_MS = 1_000.0
QUEUE = Queue("quotes", "a.example", "/q/", "repairs", 3, 0, 60.0, 1.6, 1_500.0)


def make_job(
    job_id: str, count: int = 1, run_ms: int = 400, cpu: int = 1_600, budget_ms: float = 12_000.0
) -> JobRequest:
    """Return a job of one step whose estimate is right."""
    return JobRequest(job_id, b"spec", (Step(count, cpu, 64, run_ms),), budget_ms)


class StandInRunner:
    """A runner that does not guard its capacity, and the agent beside it."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.boot = 1
        self.cpu_millis = CPU_MILLIS
        self.announced_cpu_millis = 0
        self.back_ms = 0.0
        self.cut_until_ms = 0.0
        self.sequence = 0
        self.running: dict[RunKey, float] = {}
        self.started_ms: dict[RunKey, float] = {}
        self.ended: list[EndedRow] = []
        self.ends = 0
        self.received: Counter[str] = Counter()
        self.gate = RunGate(fleet.clock, GateLimits(), self.order, self.report, fence=1)
        self.gate.losses.announce = self.announce_loss
        self.replies: deque[tuple[RunKey, StartReply]] = deque()
        self.unanswered_stops: list[RunKey] = []
        self.lease_end_ms = 0.0

    @property
    def is_up(self) -> bool:
        return self.fleet.clock() >= self.back_ms

    @property
    def is_reachable(self) -> bool:
        return self.is_up and self.fleet.clock() >= self.cut_until_ms

    def announce(self) -> None:
        self.sequence += 1
        self.announced_cpu_millis = self.cpu_millis
        self.gate.announce(
            RunnerReport(
                f"i-{self.name}",
                self.boot,
                "127.0.0.1:1",
                QUEUE.pool,
                "pipa",
                ("a",),
                self.cpu_millis,
                32_000,
                False,
                self.sequence,
            )
        )

    def announce_if_reachable(self) -> None:
        if self.is_reachable and self.sequence > 0:
            self.announce()

    def order(self, order: Order) -> None:
        key = (order.task, order.run)
        if order.kind is OrderKind.START:
            self.gate.record_lease_extension(self.fleet.clock())
            self.replies.append((key, self.start(key)))
        else:
            self.fleet.later(self.stop, key)

    def start(self, key: RunKey) -> StartReply:
        if not self.is_reachable:
            return self.fleet.find_reply(self)
        fleet, now_ms = self.fleet, self.fleet.clock()
        self.lease_end_ms = now_ms + LEASE_MS
        fleet.starts[key[0]] += 1
        fleet.started.append((now_ms, self.name, key[0]))
        fleet.check_start(self, key)
        self.running[key] = now_ms + fleet.run_ms(key[0])
        self.started_ms[key] = now_ms
        return StartReply.STARTED

    def stop(self, key: RunKey) -> None:
        if not self.is_reachable:
            self.unanswered_stops.append(key)
            return
        if self.running.pop(key, None) is not None:
            self.end(key, "stopped")
        self.gate.receive_stop_reply(key, True)

    def end(self, key: RunKey, state: str) -> None:
        self.ends += 1
        self.ended.append(EndedRow(self.ends, *key, state))

    def report(self, owner: Owner, outcome: RunOutcome) -> None:
        load = self.gate.describe_load(self.received[owner.name])
        self.fleet.later(self.fleet.deliver, owner.name, self.name, RunOutcomes([outcome], load))

    def announce_loss(self, lost: RunnerLost) -> None:
        for name in self.fleet.dispatchers:
            self.fleet.later(self.fleet.deliver, name, self.name, lost)

    def crash(self) -> None:
        self.fleet.crashes.append((self.fleet.clock(), self.name))
        self.gate.record_refused_call()  # the call that waits for ends breaks
        self.running.clear()
        self.ended.clear()
        self.ends = 0
        self.back_ms = self.fleet.clock() + DOWN_MS
        self.boot += 1
        self.sequence = 0

    def step(self, now_ms: float) -> None:
        while self.replies:
            self.gate.receive_start_reply(*self.replies.popleft())
        if not self.is_up:
            return
        if now_ms >= self.lease_end_ms:
            for key in list(self.running):
                del self.running[key]
                self.end(key, "lapsed")
        for key, end_ms in list(self.running.items()):
            is_deadly = key[0] in self.fleet.deadly
            if is_deadly and now_ms >= self.started_ms[key] + self.fleet.crash_after_ms:
                self.crash()
                return
            if now_ms >= end_ms:
                del self.running[key]
                self.end(key, "done")

    def poll(self, now_ms: float) -> None:
        """Make the agent's call that lists runs and renews leases, after its open stop calls."""
        unanswered, self.unanswered_stops = self.unanswered_stops, []
        for key in unanswered:
            self.gate.receive_stop_reply(key, False)
        renews = self.gate.may_renew()
        if renews:
            self.gate.record_lease_extension(now_ms)
        if not self.is_up:
            self.gate.record_refused_call()
        if not self.is_reachable:
            return
        if self.sequence == 0:
            self.announce()
        if renews:
            self.lease_end_ms = now_ms + LEASE_MS
        rows = tuple(
            RunningRow(*key, int(1 + (now_ms - self.started_ms[key]) // 10)) for key in self.running
        )
        listing = Listing(self.boot, int(now_ms), rows, tuple(self.ended))
        self.gate.receive_listing(listing, now_ms)


class Fleet:
    """A pool of runners with their agents, and dispatchers that are linked to all of them.

    Attributes
    ----------
    deadly : set of str
        Names of tasks that crash their runner `crash_after_ms` after each start.
    starts : Counter
        Starts by task.
    started : list
        (time, runner, task) of each start.
    crashes : list
        (time, runner) of each crash.
    broken : list of str
        What went wrong by the rules.
    """

    def __init__(self, runners: int = 11, dispatchers: int = 3, seed: int = 7) -> None:
        self.clock = VirtualClock(10_000.0)
        self.random = Random(seed)
        self.cpu_by_step: dict[str, int] = {}
        self.deadly: set[str] = set()
        self.crash_after_ms = CRASH_AFTER_MS
        self.run_times: dict[str, float] = {}
        self.starts: Counter[str] = Counter()
        self.started: list[tuple[float, str, str]] = []
        self.crashes: list[tuple[float, str]] = []
        self.broken: list[str] = []
        self.answers: dict[str, asyncio.Future[JobAnswer]] = {}
        self._pending: deque[tuple[Any, tuple]] = deque()
        self.runners = {
            f"r{number}": StandInRunner(self, f"r{number}") for number in range(runners)
        }
        self.owners = {f"d{number}": 1 for number in range(dispatchers)}
        self.dispatchers = {name: self._make_dispatcher(name) for name in self.owners}
        for runner in self.runners.values():
            runner.poll(self.clock())
        for name in self.owners:
            self._link(name)

    def _make_dispatcher(self, name: str) -> Dispatcher:
        def send(agent: str, message: Any) -> bool:
            self.later(self.receive, name, agent, message)
            return True

        return Dispatcher(
            DispatcherParts(self.clock, Random(self.random.random()), send, lambda agent: True)
        )

    def _link(self, name: str) -> None:
        for agent, runner in self.runners.items():
            runner.received[name] = 0
            runner.gate.replace_owner(Owner(name, self.owners[name]))
            self.dispatchers[name].link_up(agent)
            for lost in runner.gate.losses.list_recent():
                self.dispatchers[name].receive_runner_lost(agent, lost)
        self._flush()
        self._send_heartbeats()

    def restart_dispatcher(self, name: str) -> None:
        """Replace a dispatcher by a new process, which knows nothing of its predecessor's jobs."""
        self.owners[name] += 1
        self.dispatchers[name] = self._make_dispatcher(name)
        self._link(name)

    def submit(self, request: JobRequest, dispatcher: str = "d0", run_ms: float = 400.0) -> None:
        """Submit a job whose tasks take `run_ms` each."""
        self.run_times[request.job_id] = run_ms
        for number, step in enumerate(request.steps):
            self.cpu_by_step[f"{request.job_id}.0.{number}"] = step.cpu_millis
        answer = self.dispatchers[dispatcher].submit(request, QUEUE)
        self.answers[request.job_id] = answer
        self._flush()

    def leave(self, job_id: str, dispatcher: str = "d0") -> None:
        """Let the caller of a job leave, as at the end of its time budget."""
        self.dispatchers[dispatcher].detach_caller(job_id, self.answers[job_id])
        self._flush()

    def run_ms(self, task: str) -> float:
        return self.run_times.get(task.partition(".")[0], 400.0)

    def find_reply(self, runner: StandInRunner) -> StartReply:
        """Return what an agent learns of a start order that did not reach its runner."""
        return StartReply.UNANSWERED if runner.is_up else StartReply.UNDELIVERED

    def check_start(self, runner: StandInRunner, key: RunKey) -> None:
        """Record a task that runs twice, and a runner over its capacity."""
        for other in self.runners.values():
            if other.is_up and any(task == key[0] for task, _ in other.running):
                self.broken.append(f"{key} runs at {other.name} and {runner.name}")
        tasks = (key[0], *(task for task, _ in runner.running))
        used = sum(self.cpu_by_step[task.rpartition(".")[0]] for task in tasks)
        if used > runner.announced_cpu_millis:
            self.broken.append(f"{runner.name} is over its capacity with {key}")

    def advance(self, total_ms: float) -> None:
        """Advance the time in steps, with polls, ticks and heartbeats."""
        end_ms = self.clock() + total_ms
        while self.clock() < end_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock()
            for number, runner in enumerate(self.runners.values()):
                if (now_ms + number * ANNOUNCE_MS / len(self.runners)) % ANNOUNCE_MS < STEP_MS:
                    runner.announce_if_reachable()
                runner.step(now_ms)
                if now_ms % POLL_MS == 0 or runner.ended:
                    runner.poll(now_ms)
                    runner.ended.clear()
            self._flush()
            if now_ms % POLL_MS == 0:
                self._tick()
            if now_ms % HEARTBEAT_MS == 0:
                self._send_heartbeats()
            self._flush()

    def list_states(self) -> Counter[str]:
        """Return how many jobs have which answer."""
        return Counter(
            answer.result().state.value if answer.done() else "open"
            for answer in self.answers.values()
        )

    def later(self, work: Any, *arguments: Any) -> None:
        self._pending.append((work, arguments))

    def deliver(self, dispatcher: str, agent: str, message: Any) -> None:
        """Hand a message of an agent to a dispatcher."""
        if isinstance(message, RunOutcomes):
            self.dispatchers[dispatcher].receive_outcomes(agent, message)
        elif isinstance(message, RunnerLost):
            self.dispatchers[dispatcher].receive_runner_lost(agent, message)

    def receive(self, dispatcher: str, agent: str, message: Any) -> None:
        """Hand a message of a dispatcher to an agent."""
        runner = self.runners[agent]
        owner = Owner(dispatcher, self.owners[dispatcher])
        if isinstance(message, StartRuns):
            for start in message.starts:
                runner.received[dispatcher] += 1
                runner.gate.receive_start(owner, start, False)
        elif isinstance(message, StopRuns):
            runner.gate.receive_stop(owner, [(key.task, key.run) for key in message.runs])
        elif isinstance(message, OutcomesTaken):
            runner.gate.confirm_outcomes([(key.task, key.run) for key in message.runs])
        elif isinstance(message, ClaimRuns):
            runner.received[dispatcher] += len(message.runs)
            runner.gate.receive_claim(owner, list(message.runs))

    def _flush(self) -> None:
        while self._pending:
            work, arguments = self._pending.popleft()
            work(*arguments)
            for runner in self.runners.values():
                while runner.replies:
                    runner.gate.receive_start_reply(*runner.replies.popleft())

    def _tick(self) -> None:
        for runner in self.runners.values():
            runner.gate.tick()
        for dispatcher in self.dispatchers.values():
            dispatcher.tick()

    def _send_heartbeats(self) -> None:
        for name, dispatcher in self.dispatchers.items():
            owner = Owner(name, self.owners[name])
            for agent, runner in self.runners.items():
                runner.gate.record_owner_alive(owner, self.clock())
                load = runner.gate.describe_load(runner.received[name])
                dispatcher.receive_heartbeat(agent, load)
