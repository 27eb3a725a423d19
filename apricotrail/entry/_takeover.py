"""Takes over a job whose owner, an entry process, is gone.

The new owner has claimed the job with a higher epoch, which serves as fencing token. It fences the
agents: they accept no lower epoch for the job any more and report what they know of its tasks. The
new owner takes in these outcomes, then starts or settles the tasks whose start no agent reported.
To settle a task is to give it its final state.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns.result import Result, Success

from apricotrail.clocks import Clock
from apricotrail.entry._admission import Admitted
from apricotrail.entry._agents import AgentState, AgentTable
from apricotrail.entry._dispatch import JobDispatcher
from apricotrail.entry._job import Attempt, Job, JobResult
from apricotrail.entry._submission import Submission
from apricotrail.errors import ErrorKind, Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.wire.generated.ttypes import (
    AttemptStates,
    ClaimRecord,
    FenceJob,
    TaskOutcome,
    TaskState,
)

__all__ = ["TakeOver", "TakeOverParts", "make_take_over"]

FENCE_CALL_MS = 2_000  # for an agent to answer; one that does not counts as not fenced
# Deadline of a job that is taken over without an admitted submission: it starts no tasks and waits
# for the outcomes of the running ones only.
REPORT_DEADLINE_MS = 30_000

JOB_TAKEN_OVER = declare_event(
    4201,
    "job_taken_over",
    Level.WARNING,
    "This entry took over a job whose owner is gone; unless complete is true, tasks whose start no "
    "agent reported may have run: check them with the target.",
)

TakeOver = Callable[
    [ClaimRecord, Submission | None, Result[Admitted, Problem] | None],
    Awaitable[Result["asyncio.Future[JobResult]", Problem]],
]
"""Takes over the job of a former owner's claim record; the future receives the job's answer.

The submission is None if the job is taken over for somebody who only asks for its answer; the
second result, of admitting the submission now, is then None, too.
"""


class TakeOverParts(NamedTuple):
    """Tables and functions that a takeover uses.

    Attributes
    ----------
    agents : AgentTable
        Agents; those with a link are fenced.
    dispatcher : JobDispatcher
        Runs the job after the takeover.
    list_targets : callable
        Gives the id of every target in the document.
    identity : callable
        Gives (name, incarnation) of this entry.
    clock : callable
        Monotonic time in milliseconds.
    claim_call_ms : float
        Time in milliseconds for one member of the entry view to answer a claim.
    """

    agents: AgentTable
    dispatcher: JobDispatcher
    list_targets: Callable[[], list[str]]
    identity: Callable[[], tuple[str, int]]
    clock: Clock
    claim_call_ms: float


class _FencedAgent(NamedTuple):
    agent: AgentState
    states: AttemptStates


def make_take_over(parts: TakeOverParts) -> TakeOver:
    """Return the function that takes over a job once this entry has claimed it.

    The claim has the epoch that follows the one of the former owner's record. Tasks whose
    start no agent reported are started only if the submission is at hand and admitted, and the
    reports include every start of the former owner. Otherwise they are settled: as not run if the
    reports include every start, else as tasks that may have run.
    """

    async def take_over(
        record: ClaimRecord,
        submission: Submission | None,
        admission: Result[Admitted, Problem] | None,
    ) -> Result["asyncio.Future[JobResult]", Problem]:
        epoch = record.epoch + 1
        fenced = await _fence_all(parts, record.job, epoch)
        complete = _is_fencing_complete(parts, record, fenced)
        emit(JOB_TAKEN_OVER, job=record.job, former=record.owner, complete=complete)
        admitted = admission.unwrap() if isinstance(admission, Success) else None
        job = _make_job(parts, record, epoch, submission, admitted, fenced)
        _apply_states(job, fenced)
        can_continue = complete and submission is not None and admitted is not None
        unreported = [
            task for task, state in enumerate(job.states) if _is_unreported(job, task, state)
        ]
        if not can_continue:
            _settle_unreported(job, unreported, complete)
            unreported = []
        parts.dispatcher.resume(job, unreported)
        return Success(job.result)

    return take_over


async def _fence_all(parts: TakeOverParts, job: str, epoch: int) -> list[_FencedAgent]:
    """Fence all linked agents at the same time; return those that answered, with their reports."""
    owner = parts.identity()[0]
    agents = parts.agents.list_linked()
    replies = await asyncio.gather(
        *(
            agent.link.call(FenceJob(job, agent.target, epoch, owner), FENCE_CALL_MS)
            for agent in agents
        )
    )
    return [
        _FencedAgent(agent, reply.unwrap())
        for agent, reply in zip(agents, replies, strict=True)
        if isinstance(reply, Success)
    ]


def _is_fencing_complete(
    parts: TakeOverParts, record: ClaimRecord, fenced: list[_FencedAgent]
) -> bool:
    """Return whether the fenced ledgers include every start that the former owner can have made.

    They do if the agent of each target in the document answered and its ledger has been kept for
    longer than the claim. Ages are compared, never the clocks of two machines. The age in `record`
    may be too low by one claim call: a member may have recorded the claim that much later than the
    first member did.
    """
    needed_ms = (record.age_ms or 0) + parts.claim_call_ms
    covering = {f.agent.target for f in fenced if (f.states.ledger_age_ms or 0) >= needed_ms}
    return covering.issuperset(parts.list_targets())


def _make_job(
    parts: TakeOverParts,
    record: ClaimRecord,
    epoch: int,
    submission: Submission | None,
    admitted: Admitted | None,
    fenced: list[_FencedAgent],
) -> Job:
    # A claim restored from a ledger lacks the number of tasks: the highest task that is reported
    # gives the lowest possible number. Without a submission the bodies are not known; empty ones
    # stand for them.
    counts = [outcome.task + 1 for f in fenced for outcome in f.states.outcomes]
    count = record.tasks or max(counts, default=1)
    bodies = submission.bodies if submission is not None else (b"",) * count
    deadline_ms = admitted.deadline_ms if admitted else REPORT_DEADLINE_MS
    now_ms = parts.clock()
    return Job(
        record.job,
        admitted.service if admitted else "",
        bodies,
        now_ms + deadline_ms,
        epoch,
        record.digest or b"",
        now_ms,
        admitted.team if admitted else "",
        admitted.share if admitted else 1.0,
    )


def _apply_states(job: Job, fenced: list[_FencedAgent]) -> None:
    for agent, states in fenced:
        for outcome in states.outcomes:
            if outcome.task < len(job.bodies):
                _apply_outcome(job, agent, outcome)


def _apply_outcome(job: Job, agent: AgentState, outcome: TaskOutcome) -> None:
    """Record one reported attempt in the job.

    A running task stays open at its agent, and one that has not run keeps only the number of its
    attempt and counts as unreported. Any other is settled, and the job fails unless the task is
    done and its answer complete.
    """
    job.attempts[outcome.task] = max(job.attempts[outcome.task], outcome.attempt)
    if outcome.state == TaskState.NOT_RUN:
        return
    if outcome.state == TaskState.RUNNING:
        job.open_attempts[outcome.task] = Attempt(
            outcome.attempt, agent.name, agent.incarnation, job.submitted_ms
        )
        agent.open_tasks[job.key].add(outcome.task)
        agent.open_count += 1
        return
    if outcome.state == TaskState.DONE and _has_full_answer(outcome):
        job.settle(outcome.task, TaskState.DONE, outcome.answer)
        return
    job.settle(outcome.task, outcome.state)
    job.fail(_describe_lost_answer(outcome))


def _has_full_answer(outcome: TaskOutcome) -> bool:
    return outcome.answer is not None and len(outcome.answer) == outcome.answer_length


def _is_unreported(job: Job, task: int, state: int | None) -> bool:
    """Return whether no agent reported that the task runs or how it ended."""
    return state is None and task not in job.open_attempts


def _settle_unreported(job: Job, tasks: list[int], complete: bool) -> None:
    state = TaskState.NOT_RUN if complete else TaskState.MAY_HAVE_RUN
    for task in tasks:
        job.settle(task, state)
    if tasks:
        job.fail(_describe_lost_owner(complete))


def _describe_lost_owner(complete: bool) -> Problem:
    message = "The entry that owned the job was lost."
    if complete:
        remedy = "Submit the tasks that did not run under a new id."
        return Problem(ErrorKind.NOT_READY, message, remedy)
    remedy = "Check with the target before submitting again under a new id."
    return Problem(ErrorKind.MAY_HAVE_RUN, message, remedy)


def _describe_lost_answer(outcome: TaskOutcome) -> Problem:
    if outcome.state == TaskState.FAILED:
        message = f"Task {outcome.task} failed at its target."
        return Problem(ErrorKind.TASK_FAILED, message, "Submit under a new id.")
    message = f"Task {outcome.task} ran, but its answer is lost or its outcome unknown."
    remedy = "Check with the target before submitting again under a new id."
    return Problem(ErrorKind.MAY_HAVE_RUN, message, remedy)
