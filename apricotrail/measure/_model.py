"""A model of entries and agents in virtual time, for comparing policies before the roles run.

It has slots, messages with a latency and the policy's own code, but no sockets, claims or control;
its results are called model figures.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from apricotrail.measure._figures import Figures, JobResult, TargetCounts, make_figures
from apricotrail.measure._ideal import SlotChange, ideal_response_ms, ideal_work_ms
from apricotrail.measure._load import JobSpec
from apricotrail.measure._model_agent import ModelAgent
from apricotrail.measure._model_entry import ModelEntry

__all__ = ["Model", "ModelShape", "Schedule", "run_model"]

DRAIN_MS = 60_000.0


class ModelShape(NamedTuple):
    """Size and timing of the modelled system.

    Attributes
    ----------
    zones : sequence of str
        Zones; targets are spread over them in turn.
    targets, slots, entries : int
        Targets, slots of each, and entries.
    latency_ms : float
        One way between entry and agent.
    report_ms : float
        Interval of load reports from agents to entries.
    placement : str
        Name of the placement.
    offers : bool
        Whether agents offer freed slots to entries that asked.
    seed : int
        Seed of all choices.
    """

    zones: Sequence[str] = ("natal", "pipa", "fortaleza", "jeri")
    targets: int = 11
    slots: int = 8
    entries: int = 3
    latency_ms: float = 1.4
    report_ms: float = 1_000.0
    placement: str = "late-binding"
    offers: bool = True
    seed: int = 1


class Schedule:
    """Virtual time: runs functions in the order of their moments."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run `action` once `delay_ms` from now."""
        heappush(self._heap, (self.now_ms + delay_ms, next(self._numbers), action))

    def run(self, until_ms: float) -> None:
        """Run everything due up to a moment."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, action = heappop(self._heap)
            action()
        self.now_ms = until_ms


class Model:
    """Entries, agents and a load in virtual time."""

    def __init__(self, shape: ModelShape) -> None:
        self.shape = shape
        self.schedule = Schedule()
        self.random = Random(shape.seed)
        self.starts: Counter[tuple[str, int]] = Counter()
        self.starts_out_of_service = 0
        self.messages = 0
        self.wasted = 0
        self.work_ms = 0.0
        self.work_done: list[tuple[float, float]] = []
        self.results: list[JobResult] = []
        self.agents = [
            ModelAgent(self, f"t{number}", shape.zones[number % len(shape.zones)])
            for number in range(shape.targets)
        ]
        self.entries = [ModelEntry(self, f"e{number}") for number in range(shape.entries)]
        for agent in self.agents:
            self._report(agent)

    def send(self, deliver: Callable[[], None]) -> None:
        """Deliver a message after the latency."""
        self.messages += 1
        self.schedule.after(self.shape.latency_ms, deliver)

    def run(self, jobs: Sequence[JobSpec], until_ms: float) -> None:
        """Submit each job to an entry drawn at random, and run."""
        for job in jobs:
            self.schedule.after(job.at_ms, lambda job=job: self._submit(job))
        self.schedule.run(until_ms)

    def find_entry(self, name: str) -> ModelEntry:
        """Return an entry by name."""
        return next(entry for entry in self.entries if entry.name == name)

    def counts(self) -> TargetCounts:
        """Return what the targets counted."""
        return TargetCounts(self.starts, self.work_ms, self.work_ms, self.starts_out_of_service)

    def work_at(self, at_ms: float) -> float:
        """Return the run time of the tasks that were done by a moment."""
        return sum(run_ms for moment_ms, run_ms in self.work_done if moment_ms <= at_ms)

    def set_zone(self, zone: str, in_service: bool) -> None:
        """Take a zone out or bring it back; agents and entries learn it after a message."""
        for agent in self.agents:
            if agent.zone == zone:
                self.send(lambda agent=agent: self._set_agent(agent, in_service))
        for entry in self.entries:
            self.send(lambda entry=entry: entry.set_zone(zone, in_service))

    def set_modes(self, mode: str, *names: str) -> None:
        """Change how targets behave; "ok" also restarts a dead one."""
        for agent in self.agents:
            if agent.name in names and mode == "dead":
                agent.die()
                for entry in self.entries:
                    self.schedule.after(3_000.0, lambda entry=entry, agent=agent: entry.lose(agent))
            elif agent.name in names:
                agent.mode = mode

    def _set_agent(self, agent: ModelAgent, in_service: bool) -> None:
        agent.in_service = in_service
        agent.offer()

    def _submit(self, job: JobSpec) -> None:
        self.random.choice([entry for entry in self.entries if entry.alive]).submit(
            job, ideal_response_ms([t.run_ms for t in job.tasks], self._slots())
        )

    def _slots(self) -> int:
        return self.shape.slots * sum(agent.in_service for agent in self.agents)

    def _report(self, agent: ModelAgent) -> None:
        if agent.mode != "dead":
            for entry in self.entries:
                self.send(lambda entry=entry: entry.report(agent, agent.free()))
        self.schedule.after(self.shape.report_ms, lambda: self._report(agent))


def run_model(shape: ModelShape, jobs: Sequence[JobSpec], duration_ms: float) -> Figures:
    """Run a load without faults and return its model figures."""
    model = Model(shape)
    model.run(jobs, duration_ms)
    work_ms = model.work_ms
    model.schedule.run(duration_ms + DRAIN_MS)
    counts = model.counts()._replace(work_ms=work_ms)
    slots = [SlotChange(0.0, shape.targets * shape.slots)]
    return make_figures(
        model.results, counts, ideal_work_ms(jobs, slots, duration_ms), model.wasted
    )
