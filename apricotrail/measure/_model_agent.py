"""The agent of the model, with its target."""

from collections import Counter, OrderedDict
from functools import partial
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from apricotrail.measure._model_entry import ModelEntry

if TYPE_CHECKING:
    from apricotrail.measure._model import Model

__all__ = ["ModelAgent"]

GRANT_MS = 50.0


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
