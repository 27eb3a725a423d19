"""Places the tasks of jobs on leased runners and retries tasks whose run has certainly ended.

A job is kept in memory by the dispatcher that received it. A task is started again only after its
previous run is known to have ended: its agent reported so, or the agent was silent until the lease
of its runner must have lapsed. This module uses no socket: messages and the time are passed in, and
messages are sent through `DispatcherParts.send`.
"""

import asyncio

from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import MAX_NOTICE_MS, START_VALID_MS
from apricotrail.queues._agents import (
    RETIRED_IDLE_MS,
    check_for_final,
    declare_runs_lost,
    link_agent,
    list_busy_agents,
    retire_agents,
    unlink_agent,
)
from apricotrail.queues._document import Queue
from apricotrail.queues._job_ends import give_up
from apricotrail.queues._jobs import Job, JobAnswer, JobRequest, TaskPhase
from apricotrail.queues._lost_agents import STILL_LISTED_MS, UNLISTED_FOR_MS
from apricotrail.queues._outcomes import end_run
from apricotrail.queues._registry import RunnerStatus, sum_free_cpu
from apricotrail.queues._starts import TASKS_PER_PASS, place, place_later
from apricotrail.queues._state import DispatcherParts, DispatchState
from apricotrail.queues._submission import detach_caller, submit_job, would_admit
from apricotrail.wire.generated.ttypes import (
    OutcomesTaken,
    RunKey,
    RunnerLoad,
    RunnerLost,
    RunOutcomes,
    RunState,
)

__all__ = [
    "RETIRED_IDLE_MS",
    "STILL_LISTED_MS",
    "UNLISTED_FOR_MS",
    "Dispatcher",
    "DispatcherParts",
]

# After a pause of this process of at least this length, its open jobs start nothing more; less than
# the agents' limit for a silent owner.
MAX_PAUSE_MS = 400.0
# After a shorter pause, time for what came meanwhile, callers that left included, to be read before
# agents are told that this process is alive.
SETTLE_MS = 20.0
SETTLE_AGAIN_MS = 500.0  # a process that is slow for long would never get to it otherwise
TASKS_PER_TICK = 4 * TASKS_PER_PASS
LATE_ANSWER_MS = 1_500.0  # callers that still wait this long after their deadline get an answer

DISPATCHER_FROZE = declare_event(
    10008,
    "dispatcher_froze",
    Level.WARNING,
    "This process was paused, so agents have stopped its runs; its open jobs start no more tasks.",
)


class Dispatcher:
    """Owner of the open jobs of one process and of the runs of their tasks.

    Parameters
    ----------
    parts : DispatcherParts
        Clock, random source and links.

    Attributes
    ----------
    registry : RunnerRegistry
        Runners of the linked agents.
    estimates : RunEstimates
        Run times by queue.
    crashes : CrashHistory
        Tasks whose runners crashed.
    jobs : dict of str to Job
        Open jobs by id: not answered yet, or with runs that have not ended.
    metrics : DispatcherMetrics
        Metrics of the dispatcher role.
    """

    def __init__(self, parts: DispatcherParts) -> None:
        self._clock = parts.clock
        self._state = state = DispatchState(parts, START_VALID_MS)
        self.registry = state.registry
        self.estimates = state.estimates
        self.crashes = state.crashes
        self.jobs = state.jobs
        self.metrics = state.metrics
        self._lost_agents = state.lost_agents
        self._last_active_ms = parts.clock()
        self._settled_ms = parts.clock() - SETTLE_AGAIN_MS
        self.metrics.open_jobs.watch(lambda: len(self.jobs))
        self.metrics.runners.watch(lambda: len(self._list_accepting()))
        self.metrics.free_cpu_millis.watch(lambda: sum_free_cpu(self._list_accepting()))

    # ---- jobs ----

    def submit(self, request: JobRequest, queue: Queue) -> "asyncio.Future[JobAnswer]":
        """Admit a job or refuse it at once; the future receives the answer.

        A job that is sent again attaches to the open one, or gets the cached answer. If the open
        one is answered and only waits for its runs to end, the answer is that it is being stopped.
        """
        self.check_for_pause()
        return submit_job(self._state, request, queue)

    def detach_caller(self, job_id: str, answer: "asyncio.Future[JobAnswer]") -> None:
        """Note that a caller has disconnected; a job without waiting callers is stopped."""
        detach_caller(self._state, job_id, answer)

    def would_admit(self, request: JobRequest, queue: Queue) -> bool:
        """Return whether a new job would be admitted now."""
        return would_admit(self._state, request, queue)

    # ---- agents ----

    def link_up(self, agent: str) -> None:
        """Add the runner of a linked agent, and claim the runs believed to be there.

        Runs of jobs that are answered are stopped: the stop may have been lost with the last link.
        """
        self.check_for_pause()
        link_agent(self._state, agent)

    def link_down(self, agent: str) -> None:
        """Record the loss of the link to an agent; its runs count as lost after their leases."""
        unlink_agent(self._state, agent)

    def retire_agents(self, agents: frozenset[str]) -> frozenset[str]:
        """Place no more tasks at `agents`, but at all others; return those whose link may close.

        Closing the link of an agent would stop the runs of this dispatcher, and may lose the
        confirmation of outcomes that were received just now.
        """
        return retire_agents(self._state, agents)

    def has_waiting(self) -> bool:
        """Return whether tasks wait for a runner or a step, or runs for news of a lost agent."""
        return bool(self._lost_agents) or any(
            task.phase is TaskPhase.WAITING
            for job in self.jobs.values()
            if not job.stopping
            for task in job.tasks
        )

    def list_busy_agents(self) -> set[str]:
        """Return the agents with runs of this dispatcher, as far as it knows."""
        return list_busy_agents(self._state)

    def receive_heartbeat(self, agent: str, load: RunnerLoad) -> None:
        """Record an agent's heartbeat, which is echoed at once, and the report in it."""
        runner = self.registry.by_agent.get(agent)
        if runner is not None:
            runner.heartbeat_ms = self._clock()
            self.receive_report(agent, load)

    def receive_echo(self, agent: str, sent_ms: float) -> None:
        """Record that an agent echoed a heartbeat sent at `sent_ms`, and has read all before it."""
        if self._state.write_offs.note_echo(agent, sent_ms):
            self._lost_agents.pop(agent, None)

    def receive_report(self, agent: str, load: RunnerLoad) -> None:
        """Store an agent's report of its runner."""
        runner = self.registry.by_agent.get(agent)
        if runner is not None:
            runner.note_report(load, self._clock())
            self.crashes.note_boot(agent, load.boot, load.accepting)

    def receive_runner_lost(self, agent: str, lost: RunnerLost) -> None:
        """Record which tasks were at an agent's runner when it was lost."""
        self.crashes.note_loss(agent, lost)

    def receive_outcomes(self, agent: str, message: RunOutcomes) -> None:
        """Process how runs ended, confirm those that are done, and place the tasks that wait.

        Outcomes of unknown runs change nothing, but are confirmed all the same.
        """
        self.check_for_pause()
        if message.load is not None:
            self.receive_report(agent, message.load)
        if agent in self.registry.by_agent:
            self.registry.by_agent[agent].used_ms = self._clock()
        write_offs = self._state.write_offs
        done = [
            (outcome.task, outcome.run)
            for outcome in message.outcomes or ()
            if outcome.state == RunState.DONE
            and not write_offs.is_written_off(agent, (outcome.task, outcome.run))
        ]
        if done:
            self._state.send(agent, OutcomesTaken([RunKey(*key) for key in done]))
            write_offs.note_taken(agent, done)
        runs = self._state.runs
        jobs_to_place: dict[str, Job] = {}
        for outcome in message.outcomes or ():
            found = runs.get((outcome.task, outcome.run))
            if found is None or found[1].agent != agent:
                continue
            del runs[outcome.task, outcome.run]
            end_run(self._state, *found, outcome)
            check_for_final(self._state, found[0], outcome)
            jobs_to_place[found[0].job_id] = found[0]
        for job in jobs_to_place.values():
            place(self._state, job)

    # ---- time ----

    def tick(self) -> None:
        """Declare runs of lost agents lost, place waiting tasks, and answer overdue jobs."""
        self.check_for_pause()
        now_ms = self._clock()
        declare_runs_lost(self._state, now_ms)
        considered = 0
        for job in list(self.jobs.values()):
            if now_ms > job.deadline_ms + LATE_ANSWER_MS:
                give_up(self._state, job, "late")
            elif considered < TASKS_PER_TICK:
                considered += place(self._state, job)
            else:
                place_later(self._state, job)
        self._state.answers.evict(now_ms)
        self.crashes.evict()

    def _list_accepting(self) -> list[RunnerStatus]:
        return [it for it in self.registry.by_agent.values() if it.load and it.load.accepting]

    def check_for_pause(self) -> float:
        """Note a pause of this process; return how long, in ms, messages of before may be unread.

        After `MAX_PAUSE_MS` or more all open jobs are barred from further starts: agents have then
        stopped their runs, and callers may have sent the jobs to other dispatchers. Jobs whose runs
        were done all the same are still answered.
        """
        now_ms = self._clock()
        gap_ms, self._last_active_ms = now_ms - self._last_active_ms, now_ms
        if gap_ms >= MAX_NOTICE_MS and now_ms >= self._settled_ms + SETTLE_AGAIN_MS:
            self._settled_ms = now_ms + SETTLE_MS
        if gap_ms >= MAX_PAUSE_MS:
            emit(DISPATCHER_FROZE, gap_ms=round(gap_ms), jobs=len(self.jobs))
            for job in self.jobs.values():
                job.may_start = False
        return max(0.0, self._settled_ms - now_ms)
