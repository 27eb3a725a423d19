"""A dispatcher on virtual time whose agents report and answer as the test says."""

from random import Random

from apricotrail.clocks import VirtualClock
from apricotrail.queues._dispatcher import Dispatcher, DispatcherParts
from apricotrail.queues._document import Queue
from apricotrail.queues._jobs import JobRequest, Step
from apricotrail.wire.generated.ttypes import (
    RunnerLoad,
    RunOutcome,
    RunOutcomes,
    RunReason,
    RunState,
    StartRuns,
    StopRuns,
)

QUEUE = Queue("quotes", "a.example", "/q/", "repairs", 3, 0, 60.0, 1.6, 1_500.0)


def make_request(job_id="j", count=1, cpu=1_600, estimate_ms=400, **step) -> JobRequest:
    return JobRequest(
        job_id, b"spec", (Step(count, cpu, 64, estimate_ms, **step),), budget_ms=2_000.0
    )


def make_load(**changes) -> RunnerLoad:
    fields = {
        "runner": "i-1",
        "boot": 1,
        "pool": "repairs",
        "zone": "pipa",
        "labels": ["a"],
        "cpu_millis": 16_000,
        "memory_mb": 32_000,
        "free_cpu_millis": 16_000,
        "free_memory_mb": 32_000,
        "queued_cpu_millis": 0,
        "accepting": True,
        "trial_runs": -1,
        "slowness": 1.0,
        "received": 0,
        "clock_ms": 50_000,
        "queued_runs": 0,
        "next_start_ms": 0,
        "urgent_start_ms": 0,
        "start_spacing_ms": 40,
        "idle_ms": 0,
        "isolated_runs": 0,
    }
    return RunnerLoad(**{**fields, **changes})


class DispatchCase:
    """A dispatcher, the loads of its agents, and the messages that it sent to them."""

    def __init__(self, *agents: str) -> None:
        self.clock = VirtualClock(10_000.0)
        self.sent = []
        self.received = dict.fromkeys(agents, 0)
        self.loads = dict.fromkeys(agents, {})
        self.unlisted = True
        self.dispatcher = Dispatcher(
            DispatcherParts(self.clock, Random(7), self._send, lambda agent: self.unlisted)
        )
        for agent in agents:
            self.dispatcher.link_up(agent)
            self.report(agent)

    def _send(self, agent, message) -> bool:
        self.sent.append((agent, message))
        if isinstance(message, StartRuns):
            self.received[agent] += len(message.starts)
        return True

    def report(self, agent: str, **changes) -> None:
        """Send an agent's report; `changes` to its load last until they are changed again."""
        self.loads[agent] = {**self.loads[agent], **changes}
        load = make_load(received=self.received[agent], **self.loads[agent])
        self.dispatcher.receive_heartbeat(agent, load)

    def submit(self, request=None, queue=QUEUE):
        return self.dispatcher.submit(request or make_request(), queue)

    def advance(self, total_ms: float, silent=(), step_ms: float = 50.0) -> None:
        """Advance the clock with ticks, and with reports of all agents except `silent` ones."""
        passed = 0.0
        while passed < total_ms:
            self.clock.advance(step_ms)
            passed += step_ms
            for agent in self.dispatcher.registry.by_agent:
                if agent not in silent:
                    self.report(agent)
            self.dispatcher.tick()

    def runs(self) -> list:
        """Return the runs sent so far as (agent, task name, run number)."""
        return [
            (agent, start.task, start.run)
            for agent, message in self.sent
            if isinstance(message, StartRuns)
            for start in message.starts
        ]

    def stops(self) -> list:
        return [
            (agent, key.task, key.run)
            for agent, message in self.sent
            if isinstance(message, StopRuns)
            for key in message.runs
        ]

    def end(self, run, state=RunState.DONE, reason=RunReason.NONE, run_ms=400) -> None:
        agent, task, number = run
        outcome = RunOutcome(task, number, state, reason, run_ms, 0, 0)
        self.dispatcher.receive_outcomes(agent, RunOutcomes([outcome], None))
