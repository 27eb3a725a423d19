"""Sends queued tasks to agents with known free slots, and tells full agents how many tasks wait."""

import asyncio
from collections.abc import Callable, Iterable

from apricotrail.entry._agents import AgentState
from apricotrail.entry._dispatch_state import FIRST_RUN_MS, DispatchState
from apricotrail.entry._job import Job
from apricotrail.policy import Candidate, FairQueue, Placement, list_targets_to_ask
from apricotrail.wire.generated.ttypes import SlotWant, StartTasks, TaskStart

__all__ = ["ListUsableTargets", "Placer"]

ListUsableTargets = Callable[[str], Iterable[tuple[str, str]]]
"""Gives (target id, zone id) of every target of a service that may start tasks now."""


class Placer:
    """Places tasks late: a task stays queued at the entry until an agent has a slot for it.

    Parameters
    ----------
    dispatch_state : DispatchState
        Jobs, queues and agents.
    owner : callable
        Gives the name of this entry, which owns the jobs.
    list_usable_targets : ListUsableTargets
        Gives the targets in service, by the current configuration.
    find_service : callable
        Gives the service id of a target, None if it is unknown.
    may_start : callable
        Whether this entry's configuration is fresh enough to start tasks.
    placement : Placement
        Spreads tasks over agents with free slots.
    """

    def __init__(
        self,
        dispatch_state: DispatchState,
        owner: Callable[[], str],
        list_usable_targets: ListUsableTargets,
        find_service: Callable[[str], str | None],
        may_start: Callable[[], bool],
        placement: Placement,
    ) -> None:
        self._dispatch_state = dispatch_state
        self._owner = owner
        self._list_usable_targets = list_usable_targets
        self._find_service = find_service
        self._may_start = may_start
        self._placement = placement
        self._dirty: set[str] = set()

    def schedule(self, service: str) -> None:
        """Place tasks of a service soon, once for all changes in this turn of the event loop."""
        if not self._dirty:
            asyncio.get_running_loop().call_soon(self._place_dirty)
        self._dirty.add(service)

    def schedule_target(self, target: str) -> None:
        """Place tasks of a target's service soon."""
        service = self._find_service(target)
        if service in self._dispatch_state.queues:
            self.schedule(service)

    def schedule_all(self) -> None:
        """Place tasks of every service soon."""
        for service in list(self._dispatch_state.queues):
            self.schedule(service)

    def _place_dirty(self) -> None:
        services, self._dirty = self._dirty, set()
        for service in services:
            if self._may_start():
                self._place(service)

    def _place(self, service: str) -> None:
        queue = self._dispatch_state.queues[service]
        if not len(queue):
            self._withdraw_wants(service)
            return
        agents = self._list_usable_agents(service)
        mean_ms = self._dispatch_state.run_times.mean_ms(service, FIRST_RUN_MS)
        candidates = [self._make_candidate(agent, mean_ms) for agent in agents.values()]
        assignments = self._placement(candidates, len(queue))
        still_queued = len(queue) - sum(assignment.count for assignment in assignments)
        for assignment in assignments:
            self._start(agents[assignment.name], queue, assignment.count, still_queued)
        if len(queue):
            asked = list_targets_to_ask(candidates, len(queue))
            self._send_wants([agents[candidate.name] for candidate in asked], len(queue))

    def _list_usable_agents(self, service: str) -> dict[str, AgentState]:
        now_ms = self._dispatch_state.clock()
        usable = {}
        for target, _zone in self._list_usable_targets(service):
            agent = self._dispatch_state.agents.find_by_target(target)
            if agent is None or not agent.is_usable(now_ms):
                continue
            if self._dispatch_state.health.may_use(target, now_ms):
                usable[agent.name] = agent
        return usable

    def _make_candidate(self, agent: AgentState, mean_ms: float) -> Candidate:
        granted = agent.count_granted()
        free_slots = agent.count_free()
        now_ms = self._dispatch_state.clock()
        health = self._dispatch_state.health
        usable = health.count_usable_slots(agent.target, free_slots + granted, now_ms)
        return Candidate(
            name=agent.name,
            zone=agent.link.peer.zone,
            free_slots=max(0, usable - granted),
            granted=min(granted, usable),
            slots=agent.slots,
            queue_ahead=agent.open_count,
            latency_ms=agent.latency_ms,
            service_ms=mean_ms * health.slowness(agent.target, now_ms),
        )

    def _start(self, agent: AgentState, queue: FairQueue, count: int, still_queued: int) -> None:
        """Start the next tasks at an agent; `still_queued` tasks remain after it."""
        now_ms = self._dispatch_state.clock()
        for taken in queue.take(count, now_ms):
            job = self._dispatch_state.jobs.get(taken.job)
            if job is not None:
                self._send_start(agent, job, list(taken.tasks), still_queued, now_ms)

    def _send_start(
        self, agent: AgentState, job: Job, tasks: list[int], queued: int, now_ms: float
    ) -> None:
        starts = []
        for task in tasks:
            attempt = job.open_attempt(task, agent.name, agent.incarnation, now_ms)
            starts.append(TaskStart(task, attempt.number, job.bodies[task]))
        want = min(queued, agent.slots)
        message = StartTasks(
            job=job.key,
            target=agent.target,
            owner=self._owner(),
            epoch=job.epoch,
            agent_incarnation=agent.incarnation,
            budget_ms=max(1, int(job.deadline_ms - now_ms)),
            tasks=starts,
            want=want,
        )
        if not agent.link.send(message):
            for task in tasks:
                job.requeue(task)
            self._dispatch_state.enqueue(job, tasks)
            return
        agent.requested_slots = want
        agent.note_start(job.key, tasks)
        self._dispatch_state.health.note_start(agent.target, now_ms)
        self._dispatch_state.retries.note_start(job.service, len(tasks), now_ms)
        self._dispatch_state.metrics.messages.add("start")
        self._dispatch_state.metrics.tasks_started.add(len(tasks))

    def _send_wants(self, agents: list[AgentState], queued: int) -> None:
        for agent in agents:
            if agent.requested_slots or agent.count_free():
                continue
            want = min(queued, agent.slots or 1)
            if agent.link.send(SlotWant(agent.target, agent.incarnation, want)):
                agent.requested_slots = want
                self._dispatch_state.metrics.messages.add("want")

    def _withdraw_wants(self, service: str) -> None:
        for target, _zone in self._list_usable_targets(service):
            agent = self._dispatch_state.agents.find_by_target(target)
            if agent is None or agent.link is None:
                continue
            if not agent.requested_slots and not agent.count_granted():
                continue
            agent.clear_requests_and_grants()
            if agent.link.send(SlotWant(agent.target, agent.incarnation, 0)):
                self._dispatch_state.metrics.messages.add("want")
                self._dispatch_state.metrics.wasted_messages.add("withdrawn_want")
