"""Agents, dispatchers and control on a network in virtual time, with what must never happen.

Agents and dispatchers are the processes that ship, with their links, rosters and drivers. A control
replica is a stand-in that lists its links as control does, and states its uptime. A job is sent
once, so no task may start again after its end as done is final, nor have started elsewhere by then.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest.mock import patch

from apricotrail.control._nodes import NodeSharing
from apricotrail.queues._application import QueueDispatcher
from apricotrail.queues._document import Queue
from apricotrail.queues._jobs import JobRequest, Step
from apricotrail.runners import EndedRow, RunnerAgent, RunnerReport
from apricotrail.runners._gate import RunGate
from apricotrail.runners._runs import RunKey
from apricotrail.settings import Settings
from apricotrail.tests.leased_runner import LeasedRunner
from apricotrail.tests.virtual_net import HOST, VirtualNetLoop
from apricotrail.wire import KeyRing, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    ConfigurationChange,
    ConfigurationRequest,
    Heartbeat,
    Identity,
    NodesRequest,
)

__all__ = ["LinkedSystem", "play_system"]

QUEUE = Queue("quotes", "a.example", "/q/", "repairs", 3, 0, 60.0, 1.6, 1_500.0)
CPU_MILLIS = 16_000
STEP_CPU_MILLIS = 1_600
ANNOUNCE_S = 1.5
SHARE_S = 0.1
START_S = 0.4  # from the start of a process until it opens links
LINKS = {"link.silent_ms": 1_200, "link.redial_ms": 40, "link.connect_ms": 300}
CLOCKED = ("apricotrail.runners._application", "apricotrail.queues._application")


class LinkedSystem:
    """Processes by host: ``c0`` to ``c2``, ``a0`` and ``a1``, ``d0`` and ``d1``.

    Attributes
    ----------
    agents, dispatchers : dict
        The processes that run.
    last_gates : dict
        The gate of the last process of each agent.
    violations : list of str
        What must never happen and did.
    lost : list of tuple
        Runs that runners ended early, with the time in s and the agent.
    started : list of tuple
        Runs that runners started, with the time in s and the agent.
    """

    def __init__(self, loop: VirtualNetLoop) -> None:
        self.loop = loop
        self.agents: dict[str, RunnerAgent] = {}
        self.dispatchers: dict[str, QueueDispatcher] = {}
        self.last_gates: dict[str, RunGate] = {}
        self.violations: list[str] = []
        self.lost: list[tuple[float, str, RunKey]] = []
        self.started: list[tuple[float, str, RunKey]] = []
        self.runners: dict[str, LeasedRunner] = {}
        self._final: dict[str, RunKey] = {}
        self._run_ms: dict[str, float] = {}
        self._jobs = 0
        self._tasks: set[asyncio.Task] = set()
        self._seeds = [f"c{number}:7070" for number in range(3)]
        for name in ("a0", "a1"):
            self.runners[name] = self._make_runner(name)

    async def start(self) -> None:
        """Start all processes and wait until they serve."""
        for name in ("c0", "c1", "c2", "a0", "a1", "d0", "d1"):
            self.start_host(name)
        await asyncio.sleep(4.0)

    def start_host(self, name: str) -> None:
        """Start the process of a host."""
        work = {"c": self._run_control, "a": self._run_agent, "d": self._run_dispatcher}[name[0]]
        self._on_host(name, work(name))

    def kill(self, name: str, has_power: bool = True) -> None:
        """End the process of a host at once."""
        self.loop.kill(name, has_power)
        self.agents.pop(name, None)
        self.dispatchers.pop(name, None)

    def lose_power(self, names: tuple[str, ...], for_s: float) -> None:
        """Let hosts lose power at the same moment; their processes start when it is back."""
        for name in names:
            self.kill(name, has_power=False)

        def restore() -> None:
            for name in names:
                self.loop.restore_power(name)
                self.start_host(name)

        self.loop.call_later(for_s, restore)

    def submit(self, dispatcher: str, count: int, run_ms: float) -> None:
        """Submit a job once; nobody sends it again."""
        process = self.dispatchers.get(dispatcher)
        if process is None:
            return
        self._jobs += 1
        job_id = f"{dispatcher}-{self._jobs}"
        self._run_ms[job_id] = run_ms
        steps = (Step(count, STEP_CPU_MILLIS, 64, int(run_ms)),)
        request = JobRequest(job_id, b"spec", steps, 8_000.0)
        self._on_host(dispatcher, self._submit(process, request))

    async def keep_busy(self, dispatcher: str, every_s: float, count: int, run_ms: float) -> None:
        """Submit jobs regularly, for ever."""
        while True:
            self.submit(dispatcher, count, run_ms)
            await asyncio.sleep(every_s)

    async def _submit(self, process: QueueDispatcher, request: JobRequest) -> None:
        await process.dispatcher.submit(request, QUEUE)

    def _on_host(self, name: str, work: Any) -> None:
        token = HOST.set(name)
        try:
            task = self.loop.create_task(work)
        finally:
            HOST.reset(token)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._violate(f"a process failed: {task.exception()!r}")

    # ---- processes ----

    async def _run_control(self, name: str) -> None:
        started_ms = self.loop.clock_ms()
        await asyncio.sleep(START_S)
        settings = Settings({**LINKS, "link.silent_ms": 1_500, "link.heartbeat_ms": 500})
        identity = Identity(f"{name}#disk", "control", "pipa", int(started_ms), "")
        endpoint = LinkEndpoint(identity, "production", KeyRing(None), settings, self.loop.clock_ms)
        nodes = NodeSharing(endpoint)
        endpoint.make_heartbeat = lambda link: Heartbeat(
            config_version=1, config_age_ms=1, uptime_ms=int(self.loop.clock_ms() - started_ms)
        )
        endpoint.receive_heartbeat = lambda link, *_: link.send_heartbeat()
        endpoint.on(NodesRequest, nodes.answer_request)
        endpoint.on(ConfigurationRequest, lambda *_: ConfigurationChange(0, 1, []))
        endpoint.on_up(lambda link: (nodes.note_link_change(), link.send_heartbeat()))
        endpoint.on_down(nodes.forget)
        await endpoint.listen(name, 7070)
        endpoint.start()
        while True:
            nodes.share()
            await asyncio.sleep(SHARE_S)

    async def _run_agent(self, name: str) -> None:
        await asyncio.sleep(START_S)
        runner = self.runners[name]
        settings = Settings(
            {
                **LINKS,
                "link.heartbeat_ms": 200,
                "runner.name": name,
                "runner.zone": "pipa",
                "runner.listen": f"{name}:7090",
                "runner.seeds": self._seeds,
            }
        )
        agent = self.agents[name] = RunnerAgent(settings, runner.make_port())
        self.last_gates[name] = agent.gate
        await agent.application.start()
        sequence = int(self.loop.time() * 1_000)
        while True:
            sequence += 1
            agent.announce(
                RunnerReport(
                    "i-1", runner.boot, f"{name}:1", QUEUE.pool, "pipa", ("a",), CPU_MILLIS, 32_000,
                    False, sequence,
                )
            )  # fmt: skip
            await asyncio.sleep(ANNOUNCE_S)

    async def _run_dispatcher(self, name: str) -> None:
        await asyncio.sleep(START_S)
        settings = Settings(
            {
                **LINKS,
                "link.heartbeat_ms": 500,
                "dispatcher.name": name,
                "dispatcher.zone": "pipa",
                "dispatcher.seeds": self._seeds,
            }
        )
        process = self.dispatchers[name] = QueueDispatcher(settings)
        await process.application.start()
        await asyncio.Event().wait()

    # ---- runners ----

    def _make_runner(self, name: str) -> LeasedRunner:
        def note_start(runner: LeasedRunner, key: RunKey) -> None:
            self._note_start(name, key)

        def find_run_ms(task: str) -> float:
            return self._run_ms[task.partition(".")[0]]

        runner = LeasedRunner(self.loop, random.Random(1), find_run_ms, note_start)
        runner.note_final = self._note_final
        end: Callable[[RunKey, str], None] = runner._end

        def note_end(key: RunKey, end_state: str) -> None:
            if end_state == "lapsed":
                self.lost.append((self.loop.time(), name, key))
            end(key, end_state)

        runner._end = note_end  # type: ignore[method-assign]
        return runner

    def _note_start(self, name: str, key: RunKey) -> None:
        for other in self.runners.values():
            other.expire()
            for run in other.running:
                if run[0] == key[0]:
                    self._violate(f"{key} started beside {run}")
        if key[0] in self._final:
            self._violate(f"{key} started after the end of {self._final[key[0]]} was final")
        self.started.append((self.loop.time(), name, key))

    def _note_final(self, row: EndedRow) -> None:
        if row.end_state != "done":
            return
        for at_s, _, key in self.started:
            if key[0] == row.task and key[1] > row.run:
                self._violate(f"the end of {row.task, row.run} is final, {key} began at {at_s:.2f}")
        self._final[row.task] = (row.task, row.run)

    def _violate(self, what: str) -> None:
        self.violations.append(f"{self.loop.time():.2f} s: {what}")


def play_system(play: Callable[[LinkedSystem], Any], seed: int = 1) -> LinkedSystem:
    """Start a system, run a coroutine function on it, and return the system."""
    random.seed(seed)

    async def run() -> LinkedSystem:
        system = LinkedSystem(asyncio.get_running_loop())
        with ExitStack() as stack:
            for module in CLOCKED:
                stack.enter_context(patch(f"{module}.monotonic_ms", system.loop.clock_ms))
                stack.enter_context(patch(f"{module}.wall_ms", lambda: int(system.loop.clock_ms())))
            await system.start()
            await play(system)
            for name in ("d0", "d1", "a0", "a1", "c0", "c1", "c2"):
                system.kill(name)
        return system

    with asyncio.Runner(loop_factory=VirtualNetLoop) as runner:
        return runner.run(run())
