"""Dispatchers, agents with their drivers, leased runners and callers, on virtual time.

Every process can be paused or killed at any moment. A paused process reads its messages and the
answers to its calls only when it wakes, in the order in which they came. Callers send a job again
1.3 s after their dispatcher is gone or has answered that the job is unfinished, to any dispatcher.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import suppress
from random import Random
from typing import Any, NamedTuple

from apricotrail.queues._dispatcher import Dispatcher, DispatcherParts
from apricotrail.queues._document import Queue
from apricotrail.queues._jobs import JobAnswer, JobRequest, JobState, Step
from apricotrail.runners._driver import RunnerDriver
from apricotrail.runners._gate import GateLimits, RunGate
from apricotrail.runners._runs import Owner, RunKey, RunnerReport
from apricotrail.tests.leased_runner import LeasedRunner
from apricotrail.tests.virtual_time import VirtualTimeLoop
from apricotrail.wire.generated.ttypes import (
    ClaimRuns,
    OutcomesTaken,
    RunOutcome,
    RunOutcomes,
    StartRuns,
    StopRuns,
)

__all__ = ["LeasedFleet"]

QUEUE = Queue("quotes", "a.example", "/q/", "repairs", 3, 0, 60.0, 1.6, 1_500.0)
CPU_MILLIS = 16_000
STEP_CPU_MILLIS = 1_600
LINK_S = 0.002
LAG_S = 0.003
TICK_S = 0.05
HEARTBEAT_S = 0.2
ANNOUNCE_S = 1.5
RESTART_S = 0.5
CALLER_RETRY_S = 1.3
CALLER_WAIT_S = 8.0


class Process:
    """A process that can be paused and killed, with what waits for it to wake."""

    def __init__(self, loop: VirtualTimeLoop, random: Random) -> None:
        self.loop = loop
        self.random = random
        self.is_dead = False
        self.paused_until_s = 0.0
        self.died: list[Callable[[], object]] = []
        self._inbox: deque[tuple[Callable[..., Any], tuple]] = deque()
        self._tasks: set[asyncio.Task] = set()

    async def awake(self) -> None:
        """Wait until this process is not paused."""
        while self.loop.time() < self.paused_until_s:
            await asyncio.sleep(self.paused_until_s - self.loop.time())

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine after the lag of the process's event loop."""

        async def run() -> None:
            await asyncio.sleep(self.random.uniform(0.0, LAG_S))
            await self.awake()
            await work

        task = self.loop.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def repeat(self, work: Callable[[], object], every_s: float) -> None:
        """Call `work` regularly while the process is awake."""

        async def run() -> None:
            while True:
                await self.awake()
                work()
                await asyncio.sleep(every_s)

        self.spawn(run())

    def deliver(self, work: Callable[..., Any], *arguments: Any) -> None:
        """Hand a message to the process after the delay of its link."""
        self.loop.call_later(LINK_S, self._receive, work, arguments)

    def _receive(self, work: Callable[..., Any], arguments: tuple) -> None:
        if self.is_dead:
            return
        if self.loop.time() >= self.paused_until_s:
            work(*arguments)
            return
        if not self._inbox:
            self.spawn(self._drain())
        self._inbox.append((work, arguments))

    async def _drain(self) -> None:
        while self._inbox:
            await self.awake()
            work, arguments = self._inbox.popleft()
            work(*arguments)

    def kill(self) -> None:
        self.is_dead = True
        for task in self._tasks:
            task.cancel()
        for notify in self.died:
            notify()


class Agent(Process):
    """The gate and the driver beside a runner."""

    def __init__(self, fleet: "LeasedFleet", name: str, runner: LeasedRunner, fence: int) -> None:
        super().__init__(fleet.loop, fleet.random)
        self.fleet = fleet
        self.name = name
        self.runner = runner
        self.fence = fence
        clock = fleet.loop.clock_ms
        self.gate = RunGate(
            clock, GateLimits(), lambda order: self.driver.order(order), self.report, fence
        )
        port = runner.make_port()
        self.driver = RunnerDriver(
            self.gate,
            port._replace(
                start=self._while_awake(port.start),
                stop=self._while_awake(port.stop),
                hold=self._while_awake(port.hold),
            ),
            clock,
            self.spawn,
        )
        self.sequence = 0
        self.spawn(self.driver.hold_forever())
        self.repeat(self.gate.tick, TICK_S)
        self.repeat(self._announce, ANNOUNCE_S)
        self.repeat(self._send_heartbeats, HEARTBEAT_S)

    def _while_awake(self, call: Callable[..., Coroutine[Any, Any, Any]]):
        """Return a call that this process sends, and reads the answer of, only while awake."""

        async def run(*arguments: Any) -> Any:
            await asyncio.sleep(self.random.uniform(0.0, LAG_S))
            await self.awake()
            answer = await call(*arguments)
            await self.awake()
            return answer

        return run

    def _announce(self) -> None:
        if not self.runner.is_up:
            return
        self.sequence += 1
        report = RunnerReport(
            self.runner.instance,
            self.runner.boot,
            "127.0.0.1:1",
            QUEUE.pool,
            "pipa",
            ("a",),
            CPU_MILLIS,
            32_000,
            False,
            self.sequence,
        )
        self.gate.announce(report)

    def _send_heartbeats(self) -> None:
        sent_ms = self.loop.clock_ms()
        for process in self.fleet.dispatchers.values():
            if self.name in process.links:
                load = self.gate.describe_load(process.received[self.name])
                process.deliver(process.receive_heartbeat, self, load, sent_ms)

    def report(self, owner: Owner, outcome: RunOutcome) -> None:
        process = self.fleet.dispatchers[owner.name]
        if process.owner == owner and self.name in process.links:
            load = self.gate.describe_load(process.received[self.name])
            process.deliver(
                process.dispatcher.receive_outcomes, self.name, RunOutcomes([outcome], load)
            )

    def receive(self, owner: Owner, message: Any, valid_until_ms: float) -> None:
        gate = self.gate
        if isinstance(message, StartRuns):
            for start in message.starts:
                gate.receive_start(owner, start, self.loop.clock_ms() > valid_until_ms)
        elif isinstance(message, StopRuns):
            gate.receive_stop(owner, [(key.task, key.run) for key in message.runs])
        elif isinstance(message, OutcomesTaken):
            gate.confirm_outcomes([(key.task, key.run) for key in message.runs])
        elif isinstance(message, ClaimRuns):
            gate.receive_claim(owner, list(message.runs))


class DispatcherProcess(Process):
    """A dispatcher and its links to all agents."""

    def __init__(self, fleet: "LeasedFleet", name: str, incarnation: int) -> None:
        super().__init__(fleet.loop, fleet.random)
        self.fleet = fleet
        self.owner = Owner(name, incarnation)
        self.received: dict[str, int] = {}
        self.links: dict[str, int] = {}
        self.callers: set[Callable[[], object]] = set()
        self._opened_links = 0
        self.dispatcher = Dispatcher(
            DispatcherParts(fleet.loop.clock_ms, Random(fleet.random.random()), self.send)
        )
        self.repeat(self.dispatcher.tick, TICK_S)
        for agent in fleet.agents.values():
            self.link(agent)

    def link(self, agent: Agent) -> None:
        """Open a link to an agent; each has a number, by which messages of former ones are lost."""
        if self.is_dead or agent.is_dead or agent.name in self.links:
            return
        self._opened_links += 1
        self.links[agent.name] = self._opened_links
        self.received[agent.name] = 0
        agent.deliver(agent.gate.replace_owner, self.owner, self.loop.clock_ms())
        self.deliver(self.dispatcher.link_up, agent.name)

    def break_link(self, agent: str) -> None:
        """Break the link to an agent, with what is on its way to it."""
        if self.links.pop(agent, None) is not None:
            self.deliver(self.dispatcher.link_down, agent)

    def break_connections(self) -> None:
        """Break all links, and the connections of all callers, at the same moment."""
        for agent in list(self.links):
            self.break_link(agent)
        for notify in list(self.callers):
            notify()

    def send(self, agent: str, message: Any) -> bool:
        process, number = self.fleet.agents.get(agent), self.links.get(agent)
        if process is None or number is None:
            return False
        if isinstance(message, StartRuns):
            self.received[agent] += len(message.starts)
        valid_until_ms = getattr(message, "valid_until_ms", None) or 0.0

        def receive() -> None:
            if self.links.get(agent) == number:
                process.receive(self.owner, message, valid_until_ms)

        process.deliver(receive)
        return True

    def receive_heartbeat(self, agent: Agent, load: Any, sent_ms: float) -> None:
        self.dispatcher.receive_heartbeat(agent.name, load)
        number = self.links.get(agent.name)

        def receive_echo() -> None:
            if number is not None and self.links.get(agent.name) == number:
                agent.gate.record_owner_alive(self.owner, sent_ms)

        self.when_settled(lambda: agent.deliver(receive_echo))

    def when_settled(self, work: Callable[[], object]) -> None:
        """Call `work` now or, after a pause, once what came meanwhile has been read."""
        unsettled_ms = self.dispatcher.check_for_pause()
        if unsettled_ms > 0.0:
            self.loop.call_later(unsettled_ms / 1_000, self._receive, self.when_settled, (work,))
        else:
            work()


class Start(NamedTuple):
    """A run that began beside another one of its task."""

    at_ms: float
    key: RunKey
    other: RunKey


class LeasedFleet:
    """A pool of leased runners, their agents, dispatchers and callers.

    Attributes
    ----------
    overlaps : list of Start
        Runs that began while another run of their task was at work.
    answers : dict
        Last answer of each job.
    """

    def __init__(
        self, loop: VirtualTimeLoop, seed: int, runners: int = 4, dispatchers: int = 3
    ) -> None:
        self.loop = loop
        self.random = Random(seed)
        self.overlaps: list[Start] = []
        self.starts = 0
        self.boots = runners
        self.over_capacity: list[tuple[float, RunKey]] = []
        self.answers: dict[str, JobAnswer] = {}
        self._run_times: dict[str, float] = {}
        self._callers: set[asyncio.Task] = set()
        self.agents: dict[str, Agent] = {}
        self.dispatchers: dict[str, DispatcherProcess] = {}
        self.runners = [
            LeasedRunner(loop, self.random, self._find_run_ms, self._note_start)
            for _ in range(runners)
        ]
        for number, runner in enumerate(self.runners):
            self.agents[f"a{number}"] = Agent(self, f"a{number}", runner, fence=1)
        for number in range(dispatchers):
            self.dispatchers[f"d{number}"] = DispatcherProcess(self, f"d{number}", 1)

    def kill_dispatcher(self, name: str) -> None:
        """Kill a dispatcher; a new process follows after `RESTART_S`."""
        process = self.dispatchers[name]
        if process.is_dead:
            return
        process.kill()

        def restart() -> None:
            incarnation = process.owner.incarnation + 1
            self.dispatchers[name] = DispatcherProcess(self, name, incarnation)

        self.loop.call_later(RESTART_S, restart)

    def kill_agent(self, name: str) -> None:
        """Kill an agent; a new process follows after `RESTART_S`."""
        agent = self.agents.pop(name, None)
        if agent is None:
            return
        agent.kill()
        for process in self.dispatchers.values():
            process.break_link(name)

        def restart() -> None:
            self.agents[name] = Agent(self, name, agent.runner, agent.fence + 1_000)
            for process in self.dispatchers.values():
                process.link(self.agents[name])

        self.loop.call_later(RESTART_S, restart)

    def reset_connections(self, name: str, down_s: float) -> None:
        """Break all connections of a dispatcher; its links are open again after `down_s`."""
        process = self.dispatchers[name]
        if process.is_dead:
            return
        process.break_connections()

        def relink() -> None:
            for agent in self.agents.values():
                process.link(agent)

        self.loop.call_later(down_s, relink)

    def crash_runner(self, runner: LeasedRunner) -> None:
        """Crash a runner; it is back soon, under its id or another one."""
        self.boots += 1
        instance = self.random.choice((runner.instance, f"i-{self.boots}"))
        runner.crash(self.random.uniform(0.1, 1.0), instance)
        for agent in self.agents.values():
            if agent.runner is runner:
                agent.sequence = 0

    def pause(self, process: Process, for_s: float) -> None:
        """Let a process stand still."""
        process.paused_until_s = max(process.paused_until_s, self.loop.time() + for_s)

    def submit(self, job_id: str, count: int, run_ms: float) -> None:
        """Let a caller submit a job of `count` tasks, and send it again as callers do."""
        self._run_times[job_id] = run_ms
        request = JobRequest(
            job_id, b"spec", (Step(count, STEP_CPU_MILLIS, 64, int(run_ms)),), CALLER_WAIT_S * 1_000
        )
        caller = self.loop.create_task(self._call(request))
        self._callers.add(caller)
        caller.add_done_callback(self._callers.discard)

    async def _call(self, request: JobRequest) -> None:
        end_s = self.loop.time() + CALLER_WAIT_S
        while self.loop.time() < end_s:
            living = [it for it in self.dispatchers.values() if not it.is_dead]
            if living:
                answer = await self._call_dispatcher(self.random.choice(living), request, end_s)
                if answer is not None and answer.state is not JobState.UNFINISHED:
                    self.answers[request.job_id] = answer
                    return
            await asyncio.sleep(CALLER_RETRY_S)

    async def _call_dispatcher(
        self, process: DispatcherProcess, request: JobRequest, end_s: float
    ) -> JobAnswer | None:
        answers: list[asyncio.Future[JobAnswer]] = []
        ended, broken = asyncio.Event(), asyncio.Event()

        def submit() -> None:
            if not broken.is_set():
                answers.append(process.dispatcher.submit(request, QUEUE))
                answers[0].add_done_callback(lambda answer: ended.set())

        def disconnect() -> None:
            broken.set()
            ended.set()
            process.deliver(detach)

        def detach() -> None:
            if answers and not answers[0].done():
                process.dispatcher.detach_caller(request.job_id, answers[0])

        process.deliver(process.when_settled, submit)
        process.died.append(ended.set)
        process.callers.add(disconnect)
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, end_s - self.loop.time())):
                await ended.wait()
        process.callers.discard(disconnect)
        await asyncio.sleep(LINK_S)
        is_answered = bool(answers) and answers[0].done() and not broken.is_set()
        return answers[0].result() if is_answered else None

    def _find_run_ms(self, task: str) -> float:
        return self._run_times[task.partition(".")[0]]

    def _note_start(self, runner: LeasedRunner, key: RunKey) -> None:
        self.starts += 1
        now_ms = self.loop.clock_ms()
        for other in self.runners:
            other.expire()
            self.overlaps.extend(
                Start(now_ms, key, run) for run in other.running if run[0] == key[0]
            )
        if (len(runner.running) + 1) * STEP_CPU_MILLIS > CPU_MILLIS:
            self.over_capacity.append((now_ms, key))
