"""Handles the outcomes that agents report: settles tasks, or requeues those that did not run."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from apricotrail.entry._agents import AgentState
from apricotrail.entry._dispatch_state import DispatchState
from apricotrail.entry._failures import describe_deadline, describe_failure
from apricotrail.entry._job import Job, describe_reason
from apricotrail.entry._placer import Placer
from apricotrail.events import Level, declare_event, emit
from apricotrail.policy import backoff_ms
from apricotrail.wire.generated.ttypes import (
    AttemptKey,
    AttemptStates,
    Reason,
    ResolveAttempts,
    TaskOutcome,
    TaskOutcomes,
    TaskState,
)

__all__ = ["OutcomeHandler"]

REFUSAL_PAUSE_MS = 100
RESOLVE_CALL_MS = 2_000
RESOLVE_TRIES = 5
FINAL_REASONS = frozenset({Reason.EXPIRED, Reason.CANCELLED})
# The agent would refuse another start for the same reason, so it is paused for REFUSAL_PAUSE_MS.
PERSISTENT_REASONS = frozenset(
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
    4101,
    "outcome_dropped",
    Level.WARNING,
    "An outcome was dropped: its answer is truncated, or it is late or crossed and matches no open "
    "attempt of its sender; if the attempt is still open there, the agent is asked again.",
)


class OutcomeHandler:
    """Applies outcomes to the jobs of one entry.

    Parameters
    ----------
    dispatch_state : DispatchState
        Jobs and queues.
    placer : Placer
        Places the tasks that are queued again.
    finish_if_settled : callable
        Ends a job if all its tasks are settled.
    """

    def __init__(
        self,
        dispatch_state: DispatchState,
        placer: Placer,
        finish_if_settled: Callable[[Job], bool],
    ) -> None:
        self._dispatch_state = dispatch_state
        self._placer = placer
        self._finish_if_settled = finish_if_settled
        self._resolve_tasks: set[asyncio.Task] = set()

    def apply(self, agent: AgentState, message: TaskOutcomes | AttemptStates) -> None:
        """Apply the outcomes that one agent reports for one job."""
        job = self._dispatch_state.jobs.get(message.job)
        if job is None:
            self._dispatch_state.metrics.dropped_replies.add("no_job", len(message.outcomes))
            return
        refused = []
        for outcome in message.outcomes:
            if outcome.state == TaskState.RUNNING:
                continue
            if not job.is_valid_outcome(agent.name, message.agent_incarnation, outcome):
                self._drop_outcome(agent, job, outcome)
                continue
            agent.note_outcome(job.key, outcome.task)
            if outcome.state == TaskState.NOT_RUN:
                refused.append(outcome)
            else:
                self._settle_task(agent, job, outcome)
        self._handle_refusals(agent, job, refused)
        self._dispatch_state.queues[job.service].note_progress(job.key, job.remaining)
        if job.problem is not None:
            self._dispatch_state.drop_queued(job)
        self._finish_if_settled(job)

    def resolve(self, agent: AgentState, key: str) -> None:
        """Ask an agent for the outcomes of a job's open attempts there."""
        task = asyncio.ensure_future(self._resolve(agent, key))
        self._resolve_tasks.add(task)
        task.add_done_callback(self._resolve_tasks.discard)

    async def stop(self) -> None:
        """Cancel the calls to agents that are still open."""
        for task in list(self._resolve_tasks):
            task.cancel()
        await asyncio.gather(*self._resolve_tasks, return_exceptions=True)

    def _settle_task(self, agent: AgentState, job: Job, outcome: TaskOutcome) -> None:
        now_ms = self._dispatch_state.clock()
        failed = outcome.state != TaskState.DONE
        run_ms = outcome.run_ms or 0
        if job.problem is None:
            job.blamed_target = agent.target
        if outcome.reason != Reason.CANCELLED:
            health = self._dispatch_state.health
            health.observe(agent.target, job.service, failed, run_ms, now_ms, job.key)
        started_ms = job.open_attempts[outcome.task].started_ms
        agent.note_latency(max(0.0, now_ms - started_ms - run_ms))
        job.settle(outcome.task, outcome.state, outcome.answer)
        if failed:
            job.fail(describe_failure(agent.target, outcome))
            return
        self._dispatch_state.run_times.observe(job.service, run_ms, now_ms)
        self._dispatch_state.queues[job.service].note_cost(job.key, run_ms)
        job.longest_ms = max(job.longest_ms, run_ms)

    def _handle_refusals(self, agent: AgentState, job: Job, refused: list[TaskOutcome]) -> None:
        now_ms = self._dispatch_state.clock()
        at_once, later = [], []
        for outcome in refused:
            kind = describe_reason(outcome.reason).replace(" ", "_")
            self._dispatch_state.metrics.wasted_messages.add(kind)
            if outcome.reason in FINAL_REASONS or job.problem is not None:
                job.settle(outcome.task, TaskState.NOT_RUN)
                job.fail(describe_deadline())
                continue
            job.requeue(outcome.task)
            if outcome.reason in PERSISTENT_REASONS:
                self._pause_agent(agent, job, outcome.reason)
            exempt = outcome.reason == Reason.FULL
            may_retry = exempt or self._dispatch_state.retries.try_spend(job.service, now_ms)
            (at_once if may_retry else later).append(outcome.task)
        self._enqueue(job, at_once)
        if later:
            delay_s = backoff_ms(max(job.attempts), self._dispatch_state.random) / 1000
            asyncio.get_running_loop().call_later(delay_s, self._enqueue, job, later)

    def _pause_agent(self, agent: AgentState, job: Job, reason: int) -> None:
        now_ms = self._dispatch_state.clock()
        agent.pause(now_ms + REFUSAL_PAUSE_MS)
        loop = asyncio.get_running_loop()
        loop.call_later(REFUSAL_PAUSE_MS / 1000, self._placer.schedule, job.service)
        if reason == Reason.TARGET_UNREACHABLE:
            self._dispatch_state.health.observe(agent.target, job.service, True, 0, now_ms, job.key)

    def _enqueue(self, job: Job, tasks: list[int]) -> None:
        waiting = [task for task in tasks if task in job.queued]
        if (
            self._dispatch_state.jobs.get(job.key) is not job
            or job.problem is not None
            or not waiting
        ):
            return
        self._dispatch_state.enqueue(job, waiting)
        self._placer.schedule(job.service)

    def _drop_outcome(self, agent: AgentState, job: Job, outcome: TaskOutcome) -> None:
        self._dispatch_state.metrics.dropped_replies.add("crossed_or_truncated")
        emit(OUTCOME_DROPPED, job=job.key, task=outcome.task, agent=agent.name)
        attempt = job.open_attempts.get(outcome.task)
        if attempt is None or attempt.agent != agent.name or attempt.number != outcome.attempt:
            return
        if attempt.agent_incarnation == agent.incarnation:
            self.resolve(agent, job.key)

    async def _resolve(self, agent: AgentState, key: str) -> None:
        for _ in range(RESOLVE_TRIES):
            job, link = self._dispatch_state.jobs.get(key), agent.link
            if job is None or link is None or key not in agent.open_tasks:
                return
            attempts = [
                AttemptKey(task, job.open_attempts[task].number)
                for task in agent.open_tasks[key]
                if task in job.open_attempts
            ]
            request = ResolveAttempts(key, agent.target, job.epoch, agent.incarnation, attempts)
            self._dispatch_state.metrics.messages.add("resolve")
            reply = await link.call(request, RESOLVE_CALL_MS)
            if isinstance(reply, Success):
                self.apply(agent, reply.unwrap())
                return
