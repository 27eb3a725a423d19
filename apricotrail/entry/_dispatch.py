"""Runs the jobs that one entry owns, until every task has its final state.

`JobDispatcher` is a part of the entry. The dispatcher role, which owns the jobs of queues, is in
`apricotrail.queues`.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial

from apricotrail.entry._agents import AgentState
from apricotrail.entry._dispatch_state import DispatchState
from apricotrail.entry._failures import describe_deadline, describe_lost_agent
from apricotrail.entry._job import STATE_NAMES, Job
from apricotrail.entry._outcomes import OutcomeHandler
from apricotrail.entry._placer import Placer
from apricotrail.errors import Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.settings import declare_setting
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import SlotOffer, StopTasks, TaskOutcomes, TaskState

__all__ = ["AGENT_LOST_MS", "STOP_GRACE_MS", "JobDispatcher"]

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

AGENT_GIVEN_UP = declare_event(
    4102,
    "agent_given_up",
    Level.WARNING,
    "An agent was without a link for entry.agent_lost_ms, or came back as a new incarnation, with "
    "tasks open; their outcome is unknown: check them with the target.",
)


class JobDispatcher:
    """Starts, stops and ends the jobs of one entry.

    Parameters
    ----------
    dispatch_state : DispatchState
        Jobs, queues and agents.
    placer : Placer
        Places queued tasks at agents.
    agent_lost_ms, stop_grace_ms : float
        Values of the settings ``entry.agent_lost_ms`` and ``entry.stop_grace_ms``.

    Attributes
    ----------
    jobs : dict of str to Job
        Unfinished jobs of this entry.
    on_finish : callable
        Called with each job once it is settled and removed from `jobs`.
    """

    def __init__(
        self,
        dispatch_state: DispatchState,
        placer: Placer,
        agent_lost_ms: float,
        stop_grace_ms: float,
    ) -> None:
        self.dispatch_state = dispatch_state
        self.jobs = dispatch_state.jobs
        self.placer = placer
        self.on_finish: Callable[[Job], None] = lambda job: None
        self._outcomes = OutcomeHandler(dispatch_state, placer, self._finish_if_settled)
        self._agent_lost_ms = agent_lost_ms
        self._stop_grace_ms = stop_grace_ms
        self._timers: dict[str, asyncio.TimerHandle] = {}

    # ---- jobs ----

    def add(self, job: Job) -> None:
        """Queue every task of a job."""
        self.resume(job, range(len(job.bodies)))

    def resume(self, job: Job, tasks: Iterable[int]) -> None:
        """Queue some tasks of a job whose other tasks are settled or running already."""
        self.dispatch_state.add(job)
        job.queued.update(tasks)
        self.dispatch_state.enqueue(job, job.queued)
        self._set_timer(job, job.deadline_ms, self._cancel_overdue)
        self._finish_if_settled(job)
        self.placer.schedule(job.service)

    def cancel(self, job: Job, problem: Problem) -> None:
        """Settle queued tasks as not run at once, and stop started ones.

        Started tasks without an outcome after the grace time end as may_have_run.
        """
        job.fail(problem)
        self.dispatch_state.drop_queued(job)
        self._stop_open_tasks(job)
        if not self._finish_if_settled(job):
            self._set_timer(
                job, self.dispatch_state.clock() + self._stop_grace_ms, self._give_up_open_tasks
            )

    def abandon(self, job: Job, problem: Problem) -> None:
        """End a job that another entry may have taken over; its unsettled tasks may have run."""
        job.fail(problem)
        job.abandoned = True
        self.dispatch_state.queues[job.service].cancel(job.key)
        for task in range(len(job.bodies)):
            job.settle(task, TaskState.MAY_HAVE_RUN)
        self._finish_if_settled(job)

    def count_queued(self, service: str) -> int:
        """Return how many tasks of a service wait for a slot."""
        return len(self.dispatch_state.queues[service])

    def count_all_queued(self) -> int:
        """Return how many tasks wait for a slot, over all services."""
        return sum(len(queue) for queue in self.dispatch_state.queues.values())

    def count_running(self) -> int:
        """Return how many started tasks have no outcome."""
        return sum(len(job.open_attempts) for job in self.jobs.values())

    def count_unfinished(self, caller: str) -> int:
        """Return how many jobs of a caller are unfinished at this entry."""
        return self.dispatch_state.jobs_by_caller[caller]

    # ---- messages ----

    def connect(self, link: Link) -> None:
        """Use an agent's new link, and ask over it for the outcomes of the open attempts.

        If the agent is a new incarnation, the open attempts of the former one may have run.
        """
        agent, former = self.dispatch_state.agents.connect(link)
        if former is not None:
            self._give_up_agent(former)
        for key in list(agent.open_tasks):
            self._outcomes.resolve(agent, key)

    def disconnect(self, link: Link) -> None:
        """Record that an agent's link is lost; its attempts stay open for `agent_lost_ms`."""
        agent = self.dispatch_state.agents.disconnect(link)
        if agent is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._agent_lost_ms / 1000, self._give_up_if_lost, agent)

    def receive_outcomes(self, link: Link, message: TaskOutcomes) -> None:
        """Apply the outcomes, load and granted slots that an agent reports."""
        self.dispatch_state.metrics.messages.add("outcome")
        agent = self.dispatch_state.agents.find(link.peer.name)
        if agent is None:
            return
        agent.report(message.load)
        if message.granted:
            agent.grant(message.granted)
        self._outcomes.apply(agent, message)
        self.placer.schedule_target(agent.target)

    def receive_offer(self, link: Link, offer: SlotOffer) -> None:
        """Record slots that an agent has reserved for this entry, and its load."""
        self.dispatch_state.metrics.messages.add("offer")
        agent = self.dispatch_state.agents.find(link.peer.name)
        if agent is None or offer.agent_incarnation != agent.incarnation:
            return
        agent.report(offer.load)
        agent.grant(offer.granted)
        self.placer.schedule_target(agent.target)

    async def stop(self) -> None:
        """Cancel the timers of jobs and the open calls to agents."""
        for timer in self._timers.values():
            timer.cancel()
        await self._outcomes.stop()

    # ---- ends of jobs ----

    def _finish_if_settled(self, job: Job) -> bool:
        if not job.is_settled():
            return False
        if not self.dispatch_state.forget(job):
            return True
        for state in job.states:
            self.dispatch_state.metrics.tasks.add(STATE_NAMES[state])
        timer = self._timers.pop(job.key, None)
        if timer is not None:
            timer.cancel()
        self.on_finish(job)
        return True

    def _stop_open_tasks(self, job: Job) -> None:
        by_agent: dict[str, list[int]] = defaultdict(list)
        for task, attempt in job.open_attempts.items():
            by_agent[attempt.agent].append(task)
        for name, tasks in by_agent.items():
            agent = self.dispatch_state.agents.find(name)
            if agent is not None and agent.link is not None:
                agent.link.send(StopTasks(job.key, agent.target, job.epoch, sorted(tasks)))
                self.dispatch_state.metrics.messages.add("stop")

    def _set_timer(self, job: Job, when_ms: float, action: Callable[[Job], None]) -> None:
        timer = self._timers.pop(job.key, None)
        if timer is not None:
            timer.cancel()
        if job.key not in self.jobs:
            return
        delay_s = max(0.0, when_ms - self.dispatch_state.clock()) / 1000
        loop = asyncio.get_running_loop()
        self._timers[job.key] = loop.call_later(delay_s, partial(self._run_timer, job, action))

    def _run_timer(self, job: Job, action: Callable[[Job], None]) -> None:
        self._timers.pop(job.key, None)
        if self.jobs.get(job.key) is job:
            action(job)

    def _cancel_overdue(self, job: Job) -> None:
        self.cancel(job, describe_deadline())

    def _give_up_open_tasks(self, job: Job) -> None:
        for task, attempt in list(job.open_attempts.items()):
            job.settle(task, TaskState.MAY_HAVE_RUN)
            agent = self.dispatch_state.agents.find(attempt.agent)
            if agent is not None:
                agent.note_outcome(job.key, task)
        self._finish_if_settled(job)

    def _give_up_if_lost(self, agent: AgentState) -> None:
        if agent.link is None:
            self._give_up_agent(agent)
            self.dispatch_state.agents.forget(agent)

    def _give_up_agent(self, agent: AgentState) -> None:
        if agent.open_count:
            emit(AGENT_GIVEN_UP, agent=agent.name, tasks=agent.open_count)
        for key, tasks in list(agent.open_tasks.items()):
            job = self.jobs.get(key)
            for task in list(tasks):
                agent.note_outcome(key, task)
                attempt = job.open_attempts.get(task) if job is not None else None
                if attempt is None or attempt.agent_incarnation != agent.incarnation:
                    continue
                job.settle(task, TaskState.MAY_HAVE_RUN)
                job.fail(describe_lost_agent(agent.target))
            if job is not None:
                self.dispatch_state.drop_queued(job)
                self._finish_if_settled(job)
