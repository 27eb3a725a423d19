"""Places queued tasks on agents and takes in their outcomes."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from random import Random

from returns.result import Success

from apricotrail.clocks import Clock
from apricotrail.entry._agents import AgentState, AgentTable
from apricotrail.entry._job import STATE_NAMES, Job, describe_reason
from apricotrail.errors import ErrorKind, Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.metrics import EntryMetrics
from apricotrail.policy import (
    Candidate,
    FairQueue,
    Placement,
    QueuedJob,
    RetryBudget,
    RunTimes,
    TargetHealth,
    backoff_ms,
    list_worth_asking,
)
from apricotrail.settings import declare_setting
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import (
    AttemptKey,
    AttemptStates,
    Reason,
    ResolveAttempts,
    SlotOffer,
    SlotWant,
    StartTasks,
    StopTasks,
    TaskOutcome,
    TaskOutcomes,
    TaskStart,
    TaskState,
)

__all__ = ["AGENT_LOST_MS", "Dispatcher", "ServiceView"]

AGENT_LOST_MS = declare_setting(
    "entry.agent_lost_ms",
    5_000,
    "An agent without a link for this long is given up; its open tasks may have run.",
    unit="ms",
    minimum=100,
)
STOP_GRACE_MS = declare_setting(
    "entry.stop_grace_ms",
    500,
    "Wait for the outcomes of stopped tasks before they are reported as may_have_run.",
    unit="ms",
    minimum=10,
)
REFUSAL_PAUSE_MS = 100
FIRST_RUN_MS = 100.0
RESOLVE_CALL_MS = 2_000
RESOLVE_TRIES = 5
NO_SLOT_REASONS = frozenset({Reason.FULL})
# Another start to the same agent would meet the same refusal.
LASTING_REASONS = frozenset(
    {
        Reason.STALE_CONFIGURATION,
        Reason.ZONE_OUT,
        Reason.TARGET_LEAVING,
        Reason.TARGET_UNREACHABLE,
        Reason.UNKNOWN_TARGET,
        Reason.LEDGER_FULL,
        Reason.STOPPING,
    }
)

OUTCOME_DROPPED = declare_event(
    4101, "outcome_dropped", Level.WARNING, "A crossed, late or truncated outcome was dropped."
)
AGENT_GIVEN_UP = declare_event(
    4102, "agent_given_up", Level.WARNING, "An agent was lost with tasks whose outcome is unknown."
)

ServiceView = Callable[[str], Iterable[tuple[str, str]]]
"""Gives (target id, zone id) of every target of a service that may start tasks now."""


class Dispatcher:
    """Queues and open attempts of one entry.

    Parameters
    ----------
    owner : callable
        Gives the name of this entry.
    agents : AgentTable
        Agents and their loads.
    usable_targets : ServiceView
        Targets in service, by the present configuration.
    service_of : callable
        Gives the service id of a target, None if it is unknown.
    may_start : callable
        Whether this entry's configuration is fresh enough to start tasks.
    placement : Placement
        Spreads tasks over free slots.
    clock : Clock
        Monotonic time in milliseconds.
    random : Random
        Source of jitter.
    metrics : EntryMetrics
        Instruments of the entry.
    agent_lost_ms, stop_grace_ms : float
        Deadlines in milliseconds, see the settings.

    Attributes
    ----------
    jobs : dict of str to Job
        Unfinished jobs of this entry.
    metrics : EntryMetrics
        Counts messages and outcomes.
    """

    def __init__(
        self,
        owner: Callable[[], str],
        agents: AgentTable,
        usable_targets: ServiceView,
        service_of: Callable[[str], str | None],
        may_start: Callable[[], bool],
        placement: Placement,
        clock: Clock,
        random: Random,
        metrics: EntryMetrics,
        agent_lost_ms: float,
        stop_grace_ms: float,
    ) -> None:
        self.jobs: dict[str, Job] = {}
        self.metrics = metrics
        self.run_times = RunTimes()
        self.health = TargetHealth()
        self.on_finish: Callable[[Job], None] = lambda job: None
        self._owner = owner
        self._agents = agents
        self._usable_targets = usable_targets
        self._service_of = service_of
        self._may_start = may_start
        self._placement = placement
        self._clock = clock
        self._random = random
        self._agent_lost_ms = agent_lost_ms
        self._stop_grace_ms = stop_grace_ms
        self._queues: dict[str, FairQueue] = defaultdict(FairQueue)
        self._retries = RetryBudget()
        self._dirty: set[str] = set()
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._tasks: set[asyncio.Task] = set()

    # ---- jobs ----

    def add(self, job: Job) -> None:
        """Queue every task of a job."""
        self.resume(job, range(len(job.bodies)))

    def resume(self, job: Job, tasks: Iterable[int]) -> None:
        """Queue some tasks of a job, the others being settled or running already."""
        self.jobs[job.key] = job
        job.queued.update(tasks)
        self._enqueue(job, sorted(job.queued))
        self._set_timer(job, job.deadline_ms, self._expire)
        self._finish_if_settled(job)
        self.mark(job.service)

    def _enqueue(self, job: Job, tasks: list[int]) -> None:
        """Queue tasks of a job, new or given back."""
        queue = self._queues[job.service]
        if not tasks or queue.put_back(job.key, tasks):
            return
        queue.add(
            QueuedJob(
                job.key,
                job.caller,
                job.team,
                job.share,
                tasks,
                self._clock(),
                job.deadline_ms,
                self.run_times.mean_ms(job.service, FIRST_RUN_MS),
            )
        )

    def cancel(self, job: Job, problem: Problem) -> None:
        """Drop queued tasks at once and stop started ones."""
        job.fail(problem)
        self._drop_queued(job)
        self._stop_open(job)
        if not self._finish_if_settled(job):
            self._set_timer(job, self._clock() + self._stop_grace_ms, self._give_up)

    def abandon(self, job: Job, problem: Problem) -> None:
        """End a job that another entry may have taken over: nothing of it is known any more."""
        job.fail(problem)
        job.abandoned = True
        self._queues[job.service].cancel(job.key)
        for task in range(len(job.bodies)):
            job.settle(task, TaskState.MAY_HAVE_RUN)
        self._finish_if_settled(job)

    def count_queued(self, service: str) -> int:
        """Return how many tasks of a service wait for a slot."""
        return len(self._queues[service])

    def queue_of(self, service: str) -> FairQueue:
        """Return the queue of a service."""
        return self._queues[service]

    def count_all_queued(self) -> int:
        """Return how many tasks wait for a slot, over all services."""
        return sum(len(queue) for queue in self._queues.values())

    def count_running(self) -> int:
        """Return how many started tasks have no outcome."""
        return sum(len(job.open) for job in self.jobs.values())

    def count_unfinished(self, caller: str) -> int:
        """Return how many jobs of a caller are unfinished here."""
        return sum(job.caller == caller for job in self.jobs.values())

    # ---- messages ----

    def connect(self, link: Link) -> None:
        """Use an agent's new link: resolve what was open on the former one."""
        agent, former = self._agents.connect(link)
        if former is not None:
            self._give_up_agent(former)
        for key in list(agent.open):
            self._spawn(self._resolve(agent, key))

    def disconnect(self, link: Link) -> None:
        """Note an agent's lost link; its open attempts wait for a new one for a while."""
        agent = self._agents.disconnect(link)
        if agent is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._agent_lost_ms / 1000, self._check_lost, agent)

    def receive_outcomes(self, link: Link, message: TaskOutcomes) -> None:
        """Take in outcomes of started tasks."""
        self.metrics.messages.add("outcome")
        agent = self._agents.find(link.peer.name)
        if agent is None:
            return
        agent.report(message.load)
        if message.granted:
            agent.grant(message.granted)
        self._take_outcomes(agent, message)
        self._mark_target(agent.target)

    def receive_offer(self, link: Link, offer: SlotOffer) -> None:
        """Take in slots reserved for this entry."""
        self.metrics.messages.add("offer")
        agent = self._agents.find(link.peer.name)
        if agent is None or offer.agent_incarnation != agent.incarnation:
            return
        agent.report(offer.load)
        agent.grant(offer.granted)
        self._mark_target(agent.target)

    def mark(self, service: str) -> None:
        """Place tasks of a service soon, once for all changes of this loop turn."""
        if not self._dirty:
            asyncio.get_running_loop().call_soon(self._place_dirty)
        self._dirty.add(service)

    def mark_all(self) -> None:
        """Place tasks of every service soon."""
        for service in list(self._queues):
            self.mark(service)

    async def stop(self) -> None:
        """Cancel timers and background calls."""
        for timer in self._timers.values():
            timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # ---- placing ----

    def _place_dirty(self) -> None:
        services, self._dirty = self._dirty, set()
        for service in services:
            if self._may_start():
                self._place(service)

    def _place(self, service: str) -> None:
        queue = self._queues[service]
        if not len(queue):
            self._withdraw_wants(service)
            return
        agents = self._list_usable(service)
        candidates = [self._describe(agent, service) for agent in agents.values()]
        open_slots = [c for c in candidates if c.free_slots + c.granted > 0]
        room = sum(c.free_slots + c.granted for c in open_slots)
        count = min(len(queue), room)
        if count:
            assignments = self._placement(open_slots, count)
            left = len(queue) - sum(assignment.count for assignment in assignments)
            for assignment in assignments:
                self._start(agents[assignment.name], queue, assignment.count, left)
        if len(queue):
            asked = list_worth_asking(candidates, len(queue))
            self._state_wants([agents[candidate.name] for candidate in asked], len(queue))

    def _list_usable(self, service: str) -> dict[str, AgentState]:
        now_ms = self._clock()
        usable = {}
        for target, _zone in self._usable_targets(service):
            agent = self._agents.by_target(target)
            if agent is None or not agent.is_usable(now_ms):
                continue
            if self.health.may_use(target, now_ms):
                usable[agent.name] = agent
        return usable

    def _describe(self, agent: AgentState, service: str) -> Candidate:
        granted = agent.count_granted()
        free_slots = agent.count_free()
        now_ms = self._clock()
        usable = self.health.slots_to_use(agent.target, free_slots + granted, now_ms)
        mean_ms = self.run_times.mean_ms(service, FIRST_RUN_MS)
        return Candidate(
            name=agent.name,
            zone=agent.link.peer.zone,
            free_slots=max(0, usable - granted),
            granted=min(granted, usable),
            slots=agent.slots,
            queue_ahead=agent.open_count,
            latency_ms=agent.latency_ms,
            service_ms=mean_ms * self.health.slowness(agent.target, now_ms),
        )

    def _start(self, agent: AgentState, queue: FairQueue, count: int, left: int) -> None:
        """Start the next tasks at an agent; `left` tasks stay queued after this round."""
        now_ms = self._clock()
        for taken in queue.take(count, now_ms):
            job = self.jobs.get(taken.job)
            if job is None:
                continue
            self._send_start(agent, job, list(taken.tasks), left, now_ms)

    def _send_start(
        self, agent: AgentState, job: Job, tasks: list[int], queued: int, now_ms: float
    ) -> None:
        starts = []
        for task in tasks:
            attempt = job.open_attempt(task, agent.name, agent.incarnation, now_ms)
            starts.append(TaskStart(task, attempt.number, job.bodies[task]))
        agent.want_stated = min(queued, agent.slots)
        message = StartTasks(
            job.key,
            agent.target,
            self._owner(),
            job.epoch,
            agent.incarnation,
            max(1, int(job.deadline_ms - now_ms)),
            starts,
            agent.want_stated,
        )
        if agent.link.send(message):
            agent.note_start(job.key, tasks)
            self.health.note_start(agent.target, now_ms)
            self._retries.note_start(job.service, len(tasks), now_ms)
            self.metrics.messages.add("start")
            self.metrics.tasks_started.add(len(tasks))
            return
        for task in tasks:
            job.requeue(task)
        self._enqueue(job, tasks)

    def _state_wants(self, agents: list[AgentState], queued: int) -> None:
        for agent in agents:
            if agent.want_stated or agent.count_free():
                continue
            want = min(queued, agent.slots or 1)
            message = SlotWant(agent.target, agent.incarnation, want)
            if agent.link.send(message):
                agent.want_stated = want
                self.metrics.messages.add("want")

    def _withdraw_wants(self, service: str) -> None:
        for target, _zone in self._usable_targets(service):
            agent = self._agents.by_target(target)
            if agent is None or agent.link is None or not agent.want_stated:
                continue
            if agent.link.send(SlotWant(agent.target, agent.incarnation, 0)):
                self.metrics.messages.add("want")
                self.metrics.wasted_messages.add("withdrawn_want")
            agent.want_stated = 0

    def _mark_target(self, target: str) -> None:
        service = self._service_of(target)
        if service in self._queues:
            self.mark(service)

    # ---- outcomes ----

    def _take_outcomes(self, agent: AgentState, message: TaskOutcomes | AttemptStates) -> None:
        job = self.jobs.get(message.job)
        if job is None:
            self.metrics.dropped_replies.add("no_job", len(message.outcomes))
            return
        at_once, later = [], []
        for outcome in message.outcomes:
            if outcome.state == TaskState.RUNNING:
                continue
            if not job.accept(agent.name, message.agent_incarnation, outcome):
                self._drop_outcome(agent, job, outcome)
                continue
            agent.note_outcome(job.key, outcome.task)
            if not self._take_outcome(agent, job, outcome):
                continue
            has_retry = outcome.reason in NO_SLOT_REASONS or self._may_retry(job)
            (at_once if has_retry else later).append(outcome.task)
        self._put_back(job, at_once)
        if later:
            delay_s = backoff_ms(max(job.attempts), self._random) / 1000
            asyncio.get_running_loop().call_later(delay_s, self._put_back, job, later)
        self._queues[job.service].note_progress(job.key, job.remaining)
        if job.problem is not None:
            self._drop_queued(job)
        self._finish_if_settled(job)

    def _take_outcome(self, agent: AgentState, job: Job, outcome: TaskOutcome) -> bool:
        """Settle a task; returns whether it goes back to the queue."""
        now_ms = self._clock()
        if outcome.state == TaskState.NOT_RUN:
            return self._take_refusal(agent, job, outcome)
        failed = outcome.state != TaskState.DONE
        if job.problem is None:
            job.blamed_target = agent.target
        run_ms = outcome.run_ms or 0
        if outcome.reason != Reason.CANCELLED:
            self.health.observe(agent.target, job.service, failed, run_ms, now_ms, job.key)
        attempt = job.open[outcome.task]
        agent.note_latency(max(0.0, now_ms - attempt.started_ms - run_ms))
        job.settle(outcome.task, outcome.state, outcome.answer)
        if not failed:
            self.run_times.observe(job.service, run_ms, now_ms)
            self._queues[job.service].note_cost(job.key, run_ms)
            job.busy_ms += run_ms
            job.longest_ms = max(job.longest_ms, run_ms)
            return False
        job.fail(_describe_failure(agent.target, outcome))
        return False

    def _take_refusal(self, agent: AgentState, job: Job, outcome: TaskOutcome) -> bool:
        self.metrics.wasted_messages.add(describe_reason(outcome.reason).replace(" ", "_"))
        if outcome.reason in (Reason.EXPIRED, Reason.CANCELLED) or job.problem is not None:
            job.settle(outcome.task, TaskState.NOT_RUN)
            job.fail(_deadline_problem())
            return False
        if outcome.reason not in LASTING_REASONS:
            return True
        now_ms = self._clock()
        agent.pause(now_ms + REFUSAL_PAUSE_MS)
        loop = asyncio.get_running_loop()
        loop.call_later(REFUSAL_PAUSE_MS / 1000, self.mark, job.service)
        if outcome.reason == Reason.TARGET_UNREACHABLE:
            self.health.observe(agent.target, job.service, True, 0, now_ms, job.key)
        return True

    def _may_retry(self, job: Job) -> bool:
        return self._retries.may_retry(job.service, self._clock())

    def _put_back(self, job: Job, tasks: list[int]) -> None:
        waiting = [task for task in tasks if job.states[task] is None]
        if self.jobs.get(job.key) is not job or not waiting:
            return
        for task in waiting:
            job.requeue(task)
        if job.problem is not None:
            self._drop_queued(job)
            self._finish_if_settled(job)
            return
        self._enqueue(job, waiting)
        self.mark(job.service)

    def _drop_outcome(self, agent: AgentState, job: Job, outcome: TaskOutcome) -> None:
        self.metrics.dropped_replies.add("crossed_or_truncated")
        emit(OUTCOME_DROPPED, job=job.key, task=outcome.task, agent=agent.name)
        attempt = job.open.get(outcome.task)
        if attempt is not None and attempt.number == outcome.attempt:
            self._spawn(self._resolve(agent, job.key))

    async def _resolve(self, agent: AgentState, key: str) -> None:
        for _ in range(RESOLVE_TRIES):
            job, link = self.jobs.get(key), agent.link
            if job is None or link is None or key not in agent.open:
                return
            attempts = [
                AttemptKey(task, job.open[task].number)
                for task in agent.open[key]
                if task in job.open
            ]
            request = ResolveAttempts(key, agent.target, job.epoch, agent.incarnation, attempts)
            self.metrics.messages.add("resolve")
            reply = await link.call(request, RESOLVE_CALL_MS)
            if isinstance(reply, Success):
                self._take_outcomes(agent, reply.unwrap())
                return

    # ---- ends ----

    def _finish_if_settled(self, job: Job) -> bool:
        if not job.is_settled():
            return False
        if self.jobs.pop(job.key, None) is None:
            return True
        for state in job.states:
            self.metrics.tasks.add(STATE_NAMES[state])
        self._queues[job.service].cancel(job.key)
        timer = self._timers.pop(job.key, None)
        if timer is not None:
            timer.cancel()
        self.on_finish(job)
        return True

    def _drop_queued(self, job: Job) -> None:
        self._queues[job.service].cancel(job.key)
        for task in list(job.queued):
            job.settle(task, TaskState.NOT_RUN)

    def _stop_open(self, job: Job) -> None:
        by_agent: dict[str, list[int]] = defaultdict(list)
        for task, attempt in job.open.items():
            by_agent[attempt.agent].append(task)
        for name, tasks in by_agent.items():
            agent = self._agents.find(name)
            if agent is not None and agent.link is not None:
                agent.link.send(StopTasks(job.key, agent.target, job.epoch, sorted(tasks)))
                self.metrics.messages.add("stop")

    def _set_timer(self, job: Job, when_ms: float, end: Callable[[Job], None]) -> None:
        timer = self._timers.pop(job.key, None)
        if timer is not None:
            timer.cancel()
        if job.key not in self.jobs:
            return
        delay_s = max(0.0, when_ms - self._clock()) / 1000
        loop = asyncio.get_running_loop()
        self._timers[job.key] = loop.call_later(delay_s, partial(self._end, job, end))

    def _end(self, job: Job, end: Callable[[Job], None]) -> None:
        self._timers.pop(job.key, None)
        if self.jobs.get(job.key) is job:
            end(job)

    def _expire(self, job: Job) -> None:
        self.cancel(job, _deadline_problem())

    def _give_up(self, job: Job) -> None:
        for task, attempt in list(job.open.items()):
            job.settle(task, TaskState.MAY_HAVE_RUN)
            agent = self._agents.find(attempt.agent)
            if agent is not None:
                agent.note_outcome(job.key, task)
        self._finish_if_settled(job)

    def _check_lost(self, agent: AgentState) -> None:
        if agent.link is None:
            self._give_up_agent(agent)
            self._agents.forget(agent)

    def _give_up_agent(self, agent: AgentState) -> None:
        if agent.open_count:
            emit(AGENT_GIVEN_UP, agent=agent.name, tasks=agent.open_count)
        for key, tasks in list(agent.open.items()):
            job = self.jobs.get(key)
            for task in list(tasks):
                agent.note_outcome(key, task)
                attempt = job.open.get(task) if job is not None else None
                if attempt is None or attempt.agent_incarnation != agent.incarnation:
                    continue
                job.settle(task, TaskState.MAY_HAVE_RUN)
                job.fail(_agent_lost_problem(agent.target))
            if job is not None:
                self._drop_queued(job)
                self._finish_if_settled(job)

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _describe_failure(target: str, outcome: TaskOutcome) -> Problem:
    reason = describe_reason(outcome.reason)
    if outcome.state == TaskState.FAILED:
        detail = f": {outcome.detail}" if outcome.detail else ""
        message = f"Task {outcome.task} failed at target {target} ({reason}{detail})."
        remedy = "Mend the task's body or the target, then submit under a new id."
        return Problem(ErrorKind.TASK_FAILED, message, remedy)
    message = f"Task {outcome.task} started at target {target}; its outcome is unknown ({reason})."
    remedy = "Check with the target before submitting again under a new id."
    return Problem(ErrorKind.MAY_HAVE_RUN, message, remedy)


def _agent_lost_problem(target: str) -> Problem:
    message = f"The agent of target {target} was lost while a task ran there."
    remedy = "Check with the target before submitting again under a new id."
    return Problem(ErrorKind.MAY_HAVE_RUN, message, remedy)


def _deadline_problem() -> Problem:
    remedy = "Submit under a new id with a later deadline, or when the service is less busy."
    return Problem(ErrorKind.DEADLINE, "The deadline passed before every task was done.", remedy)
