"""A model of entries and agents in virtual time, for comparing policies before the roles run.

It has slots, messages with a latency and the policy's own code, but no sockets, claims or control;
its results are called model figures.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random
from typing import NamedTuple

from apricotrail.measure._figures import JobResult, TargetCounts
from apricotrail.measure._ideal import ideal_response_ms
from apricotrail.measure._load import JobSpec
from apricotrail.measure._model_entry import ModelEntry

__all__ = ["Model", "ModelAgent", "ModelShape", "Schedule"]

GRANT_MS = 50.0


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


class Running(NamedTuple):
    """A task in a slot."""

    entry: ModelEntry
    job: str
    task: int


class ModelAgent:
    """One target with its agent.

    Attributes
    ----------
    mode : str
        "ok", "fail" (at once), "stall", "slow" (ten times) or "dead".
    in_service : bool
        Whether the target's zone may be used.
    """

    def __init__(self, model: "Model", name: str, zone: str) -> None:
        self.model = model
        self.name = name
        self.zone = zone
        self.mode = "ok"
        self.in_service = True
        self.incarnation = 1
        self.running: dict[tuple[str, int], Running] = {}
        self.granted: Counter[str] = Counter()
        self.wants: OrderedDict[str, int] = OrderedDict()
        self.grants_used: Counter[str] = Counter()
        self.start_times_ms: list[float] = []

    def first_start_after(self, at_ms: float) -> float:
        """Return the moment of the first start from `at_ms` on, infinity if there is none."""
        return next((moment for moment in self.start_times_ms if moment >= at_ms), inf)

    def free(self) -> int:
        """Return the slots that are neither running nor granted."""
        return self.model.shape.slots - len(self.running) - sum(self.granted.values())

    def start(self, entry: ModelEntry, job: str, tasks: dict[int, float], want: int) -> None:
        """Receive a message that starts tasks with their run times."""
        if self.mode == "dead":
            return
        refused = []
        for task, run_ms in tasks.items():
            if not self._take_slot(entry):
                refused.append(task)
                continue
            self._run(Running(entry, job, task), run_ms)
        if self.model.shape.offers:
            self.want(entry, want)
        if refused:
            self.model.wasted += 2
            reason = "full" if self.in_service else "zone_out"
            self.reply(entry, job, [(task, "not_run", 0.0) for task in refused], reason)

    def want(self, entry: ModelEntry, number: int) -> None:
        """Register how many more slots an entry could use; 0 withdraws."""
        if self.mode == "dead":
            return
        self.wants.pop(entry.name, None)
        if number > 0:
            self.wants[entry.name] = number
        self.offer()

    def stop(self, job: str) -> None:
        """Receive a message that stops the running tasks of a job."""
        for key in [key for key in self.running if key[0] == job]:
            del self.running[key]
        self.offer()

    def die(self) -> None:
        """Crash; what ran may have run."""
        self.mode = "dead"
        self.running.clear()
        self.granted.clear()
        self.wants.clear()
        self.grants_used.clear()
        self.incarnation += 1

    def reply(self, entry: ModelEntry, job: str, outcomes: list, reason: str = "") -> None:
        """Send outcomes with the present load and what is granted to the receiver meanwhile."""
        granted = self._grant_in_turn()
        own = granted.pop(entry.name, 0)
        self.model.send(lambda: entry.receive(self, job, outcomes, self.free(), own, reason))
        self._send_offers(granted)

    def _take_slot(self, entry: ModelEntry) -> bool:
        if not self.in_service:
            return False
        if self.granted[entry.name] > 0:
            self.granted[entry.name] -= 1
            self.grants_used[entry.name] += 1
            return True
        return self.free() > 0

    def _run(self, running: Running, run_ms: float) -> None:
        key = (running.job, running.task)
        self.running[key] = running
        self.model.starts[key] += 1
        self.start_times_ms.append(self.model.schedule.now_ms)
        if not self.in_service:
            self.model.starts_out_of_service += 1
        if self.mode == "stall":
            return
        incarnation = self.incarnation
        took_ms = {"fail": 1.0, "slow": run_ms * 10}.get(self.mode, run_ms)
        state = "failed" if self.mode == "fail" else "done"
        self.model.schedule.after(
            took_ms, lambda: self._end(running, state, took_ms, run_ms, incarnation)
        )

    def _end(
        self, running: Running, state: str, took_ms: float, run_ms: float, incarnation: int
    ) -> None:
        key = (running.job, running.task)
        if incarnation != self.incarnation or self.running.get(key) is not running:
            return
        del self.running[key]
        if state == "done":
            self.model.work_ms += run_ms
            self.model.work_done.append((self.model.schedule.now_ms, run_ms))
        self.reply(running.entry, running.job, [(running.task, state, took_ms)])

    def offer(self) -> None:
        """Grant free slots to the entries that want them."""
        self._send_offers(self._grant_in_turn())

    def _send_offers(self, granted: dict[str, int]) -> None:
        for name, number in granted.items():
            entry = self.model.find_entry(name)
            self.model.send(
                lambda entry=entry, number=number: entry.receive(
                    self, "", [], self.free(), number, ""
                )
            )

    def _grant_in_turn(self) -> dict[str, int]:
        granted: Counter[str] = Counter()
        while self.wants and self.free() > 0 and self.in_service:
            name, wanted = self.wants.popitem(last=False)
            if wanted > 1:
                self.wants[name] = wanted - 1
            self.granted[name] += 1
            granted[name] += 1
        for name, number in granted.items():
            expire = partial(self._expire, name, number, self.incarnation)
            self.model.schedule.after(GRANT_MS, expire)
        return granted

    def _expire(self, name: str, number: int, incarnation: int) -> None:
        used = min(number, self.grants_used[name])
        self.grants_used[name] -= used
        left = min(number - used, self.granted[name])
        if incarnation != self.incarnation or left <= 0:
            return
        self.granted[name] -= left
        self.model.wasted += left
        self.offer()


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
        return TargetCounts(self.starts, self.work_ms, self.starts_out_of_service)

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
