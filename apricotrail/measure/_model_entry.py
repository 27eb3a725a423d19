"""The entry of the model: uses the policy as the role does."""

from random import Random
from typing import TYPE_CHECKING

from apricotrail.measure._figures import JobResult
from apricotrail.measure._load import JobSpec
from apricotrail.policy import (
    PLACEMENTS,
    Admission,
    AdmissionRequest,
    Candidate,
    FairQueue,
    QueuedJob,
    RunTimes,
    ServiceState,
    TargetHealth,
    list_targets_to_ask,
)

if TYPE_CHECKING:
    from apricotrail.measure._model import Model, ModelAgent

__all__ = ["ModelEntry"]
GRANT_USE_MS = 45.0
FIRST_RUN_MS = 100.0


class _Known:
    def __init__(self, free: int) -> None:
        self.free = free
        self.granted = 0
        self.sent: set[tuple[str, int]] = set()
        self.wanted = 0
        self.lost = False
        self.grants_used = 0

    def use(self, count: int) -> None:
        """Count started tasks against granted slots first, then against free ones."""
        used = min(self.granted, count)
        self.granted -= used
        self.grants_used += used
        self.free = max(0, self.free - (count - used))

    def expire(self, granted: int) -> None:
        """Drop granted slots that were not used in time; those used since count against them."""
        used = min(granted, self.grants_used)
        self.grants_used -= used
        self.granted = max(0, self.granted - (granted - used))


class _Job:
    def __init__(self, spec: JobSpec, ideal_ms: float, now_ms: float) -> None:
        self.spec = spec
        self.ideal_ms = ideal_ms
        self.began_ms = now_ms
        self.states = ["not_run"] * len(spec.tasks)
        self.left = len(spec.tasks)


class ModelEntry:
    """One entry.

    Attributes
    ----------
    alive : bool
        False after `die`.
    """

    def __init__(self, model: "Model", name: str) -> None:
        self.model = model
        self.name = name
        self.alive = True
        self.random = Random(f"{model.shape.seed}-{name}")
        self.place = PLACEMENTS[model.shape.placement](self.random)
        self.queue = FairQueue()
        self.admission = Admission(self.random)
        self.health = TargetHealth(self.random)
        self.times = RunTimes()
        self.jobs: dict[str, _Job] = {}
        self.zones_out: set[str] = set()
        self.known = {agent.name: _Known(model.shape.slots) for agent in model.agents}

    def submit(self, spec: JobSpec, ideal_ms: float) -> None:
        """Take or refuse a job."""
        now_ms = self.model.schedule.now_ms
        name = f"{spec.caller}/{spec.submission}"
        job = _Job(spec, ideal_ms, now_ms)
        request = AdmissionRequest(
            spec.service, spec.team, len(spec.tasks), spec.deadline_ms, now_ms
        )
        decision = self.admission.decide(request, self._service_state(spec))
        if decision.map(lambda _: True).value_or(False) is False:
            self._report_result(name, job, decision.failure().kind.value)
            return
        self.jobs[name] = job
        deadline_ms = now_ms + spec.deadline_ms
        cost = self.times.mean_ms(spec.service, FIRST_RUN_MS)
        self.queue.add(
            QueuedJob(name, spec.caller, spec.team, 1.0, range(job.left), now_ms, deadline_ms, cost)
        )
        self.model.schedule.after(spec.deadline_ms, lambda: self._finish(name, "deadline"))
        self._pump()

    def receive(
        self,
        agent: "ModelAgent",
        job: str,
        outcomes: list,
        free: int,
        granted: int,
        reason: str,
    ) -> None:
        """Take in outcomes, load and granted slots."""
        if not self.alive:
            return
        known = self.known[agent.name]
        known.granted += granted
        if granted:
            self.model.schedule.after(GRANT_USE_MS, lambda: known.expire(granted))
        known.wanted = max(0, known.wanted - granted)
        known.lost = False
        for task, state, run_ms in outcomes:
            known.sent.discard((job, task))
            self._take_outcome(agent.name, job, task, state, run_ms)
        known.free = free
        self._pump()

    def report(self, agent: "ModelAgent", free: int) -> None:
        """Take in a load report."""
        if not self.alive:
            return
        self.known[agent.name].free = free
        self.known[agent.name].lost = False
        self._pump()

    def set_zone(self, zone: str, in_service: bool) -> None:
        """Apply a changed zone state."""
        (self.zones_out.discard if in_service else self.zones_out.add)(zone)
        self._pump()

    def lose(self, agent: "ModelAgent") -> None:
        """Give up a silent agent: what was sent there may have run."""
        known = self.known[agent.name]
        known.lost, known.free, known.granted, known.wanted = True, 0, 0, 0
        for job, _ in list(known.sent):
            self._finish(job, "may_have_run")

    def die(self) -> None:
        """Crash; callers of its jobs get no answer from it."""
        self.alive = False
        for job in list(self.jobs):
            self._finish(job, "owner_lost")

    def cancel(self, job: str) -> None:
        """Cancel a job for its caller."""
        self._finish(job, "cancelled")

    def _pump(self) -> None:
        if not self.alive:
            return
        if not len(self.queue):
            self._withdraw_wants()
            return
        now_ms = self.model.schedule.now_ms
        candidates = self._candidates(now_ms)
        assignments = self.place(candidates, len(self.queue))
        left = len(self.queue) - sum(count for _, count in assignments)
        for name, count in assignments:
            self._start(self._agent(name), count, left, now_ms)
        if len(self.queue) and self.model.shape.offers:
            self._ask_for_slots(candidates)

    def _candidates(self, now_ms: float) -> list[Candidate]:
        candidates = []
        for agent in self.model.agents:
            known = self.known[agent.name]
            if known.lost or agent.zone in self.zones_out:
                continue
            free = self.health.count_usable_slots(agent.name, known.free, now_ms)
            granted = self.health.count_usable_slots(agent.name, known.granted, now_ms)
            if not self.health.may_use(agent.name, now_ms):
                continue
            candidates.append(
                Candidate(
                    agent.name,
                    agent.zone,
                    max(0, free),
                    granted,
                    self.model.shape.slots,
                    len(known.sent),
                    2 * self.model.shape.latency_ms,
                    self.health.slowness(agent.name, now_ms),
                )
            )
        return candidates

    def _start(self, agent: "ModelAgent", count: int, left: int, now_ms: float) -> None:
        known = self.known[agent.name]
        known.use(count)
        for taken in self.queue.take(count, now_ms):
            self.health.note_start(agent.name, now_ms)
            spec = self.jobs[taken.job].spec
            tasks = {task: spec.tasks[task].run_ms for task in taken.tasks}
            known.sent.update((taken.job, task) for task in taken.tasks)
            for task in taken.tasks:
                self.jobs[taken.job].states[task] = "running"
            want = known.wanted = min(left, self.model.shape.slots)
            self.model.send(
                lambda taken=taken, tasks=tasks, want=want: agent.start(
                    self, taken.job, tasks, want
                )
            )

    def _ask_for_slots(self, candidates: list[Candidate]) -> None:
        for candidate in list_targets_to_ask(candidates, len(self.queue)):
            known = self.known[candidate.name]
            if not known.wanted:
                self._state_want(candidate.name, min(len(self.queue), self.model.shape.slots))

    def _withdraw_wants(self) -> None:
        for name, known in self.known.items():
            if known.wanted and not known.lost:
                self.model.wasted += 1
                self._state_want(name, 0)

    def _state_want(self, name: str, number: int) -> None:
        self.known[name].wanted = number
        self.model.send(lambda: self._agent(name).want(self, number))

    def _take_outcome(self, target: str, job: str, task: int, state: str, run_ms: float) -> None:
        record = self.jobs.get(job)
        now_ms = self.model.schedule.now_ms
        if record is None or record.states[task] != "running":
            return
        if state == "not_run":
            record.states[task] = "not_run"
            self.model.schedule.after(0.0, lambda: self._put_back(job, task))
            return
        self.health.observe(target, record.spec.service, state == "failed", run_ms, now_ms, job)
        record.states[task] = state
        record.left -= 1
        if state == "failed":
            self._finish(job, "task_failed")
            return
        self.times.observe(record.spec.service, run_ms, now_ms)
        self.queue.note_cost(job, run_ms)
        self.queue.note_progress(job, record.left)
        if record.left == 0:
            self._finish(job, "complete")

    def _put_back(self, job: str, task: int) -> None:
        if self.alive and self.queue.put_back(job, [task]):
            self._pump()

    def _finish(self, job: str, outcome: str) -> None:
        record = self.jobs.pop(job, None)
        if record is None:
            return
        self.queue.cancel(job)
        now_ms = self.model.schedule.now_ms
        if outcome != "complete":
            for agent in self.model.agents:
                keys = [key for key in self.known[agent.name].sent if key[0] == job]
                if not keys:
                    continue
                self.known[agent.name].sent.difference_update(keys)
                self.model.send(lambda agent=agent: agent.stop(job))
                if outcome == "deadline":
                    run_ms = record.spec.deadline_ms
                    self.health.observe(agent.name, record.spec.service, True, run_ms, now_ms, job)
        self._report_result(job, record, outcome)

    def _report_result(self, name: str, job: _Job, outcome: str) -> None:
        states = () if outcome == "complete" or not self.jobs else tuple(job.states)
        work_ms = sum(task.run_ms for task in job.spec.tasks)
        response_ms = self.model.schedule.now_ms - job.began_ms
        self.model.results.append(
            JobResult(name, outcome, response_ms, job.ideal_ms, work_ms, states)
        )

    def _service_state(self, spec: JobSpec) -> ServiceState:
        live = [agent for agent in self.model.agents if agent.zone not in self.zones_out]
        slots = self.model.shape.slots * len(live)
        busy = slots - sum(max(0, self.known[agent.name].free) for agent in live)
        running = sum(len(known.sent) for known in self.known.values())
        mean_ms = self.times.mean_ms(spec.service)
        return ServiceState(
            queued_tasks=len(self.queue),
            slots=slots,
            running=running,
            mean_task_ms=mean_ms,
            tasks_ahead=self.queue.tasks_ahead(spec.caller, spec.team, 1.0, len(spec.tasks)),
            busy=busy,
            entries=len(self.model.entries),
            tail_ms=self.times.longest_ms(spec.service, len(spec.tasks)),
        )

    def _agent(self, name: str) -> "ModelAgent":
        return next(agent for agent in self.model.agents if agent.name == name)
