"""Admission of submitted jobs, and callers that attach to open jobs or leave them."""

import asyncio

from apricotrail.events import Level, declare_event, emit
from apricotrail.queues._admission import AdmissionDecision, decide_admission
from apricotrail.queues._document import Queue
from apricotrail.queues._job_ends import RETRY_AFTER_MS, give_up
from apricotrail.queues._jobs import Job, JobAnswer, JobRequest, JobState
from apricotrail.queues._starts import TASKS_PER_PASS, place
from apricotrail.queues._state import DispatchState

__all__ = ["detach_caller", "submit_job", "would_admit"]

MAX_JOBS = 8_192

JOB_ADMITTED = declare_event(
    10001, "job_admitted", Level.INFO, "A job was admitted; its tasks are being placed on runners."
)
JOB_REFUSED = declare_event(
    10002,
    "job_refused",
    Level.INFO,
    "A job was refused at admission, so nothing of it ran; the caller may retry after retry_ms.",
)


def submit_job(
    state: DispatchState, request: JobRequest, queue: Queue
) -> "asyncio.Future[JobAnswer]":
    """Admit a job or refuse it at once; the future receives the answer.

    A job that is sent again attaches to the open one, or gets the cached answer. If the open
    one is answered and only waits for its runs to end, the answer is that it is being stopped.
    """
    answer: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()
    present = state.jobs.get(request.job_id)
    if present is not None and present.stopping:
        answer.set_result(JobAnswer(JobState.UNFINISHED, "being_stopped"))
        return answer
    if present is not None:
        present.waiting_callers += 1
        return present.answer
    cached_answer = state.answers.find(request.job_id)
    if cached_answer is not None:
        answer.set_result(cached_answer)
        return answer
    admission = _decide_admission(state, request, queue)
    # Runs of it were lost at another dispatcher, so a refusal could not say that nothing ran.
    may_have_run = state.crashes.is_known(request.job_id)
    if admission.refusal is not None and not may_have_run:
        _refuse(state, request, queue, admission, answer)
        return answer
    job = Job(request, queue, state.clock(), answer)
    job.may_have_run = may_have_run
    job.slack = state.estimates.compute_slack(request, queue)
    job.waiting_callers = 1
    state.jobs[request.job_id] = job
    emit(
        JOB_ADMITTED,
        job=request.job_id,
        queue=queue.name,
        tasks=len(job.tasks),
        free_cpu=admission.free_cpu,
        runners=admission.runner_count,
        wait_ms=round(admission.wait_ms),
    )
    place(state, job)
    return answer


def detach_caller(state: DispatchState, job_id: str, answer: "asyncio.Future[JobAnswer]") -> None:
    """Note that a caller has disconnected; a job without waiting callers is stopped."""
    job = state.jobs.get(job_id)
    if job is None or job.answer is not answer:
        return
    job.waiting_callers -= 1
    if job.waiting_callers <= 0:
        give_up(state, job, "caller_left")


def would_admit(state: DispatchState, request: JobRequest, queue: Queue) -> bool:
    """Return whether a new job would be admitted now."""
    return _decide_admission(state, request, queue).refusal is None


def _decide_admission(state: DispatchState, request: JobRequest, queue: Queue) -> AdmissionDecision:
    if len(state.jobs) >= MAX_JOBS:
        return AdmissionDecision("too_many_jobs", RETRY_AFTER_MS)
    if not _has_room_for_tasks(state, request):
        return AdmissionDecision("too_many_tasks", RETRY_AFTER_MS)
    usable = state.registry.list_usable(queue.pool)
    slack = state.estimates.compute_slack(request, queue)
    return decide_admission(request, slack, usable, state.random)


def _has_room_for_tasks(state: DispatchState, request: JobRequest) -> bool:
    """Return whether a job's tasks fit those of the open jobs.

    Large jobs get half of the room, so that they can't keep ordinary ones out.
    """
    tasks = sum(step.count for step in request.steps)
    room = state.max_open_tasks if tasks <= TASKS_PER_PASS else state.max_open_tasks // 2
    return sum(len(job.tasks) for job in state.jobs.values()) + tasks <= room


def _refuse(
    state: DispatchState,
    request: JobRequest,
    queue: Queue,
    admission: AdmissionDecision,
    answer: "asyncio.Future[JobAnswer]",
) -> None:
    state.metrics.jobs.add(JobState.REFUSED.value)
    state.metrics.refusals.add(admission.refusal or "")
    emit(
        JOB_REFUSED,
        job=request.job_id,
        queue=queue.name,
        reason=admission.refusal,
        free_cpu=admission.free_cpu,
        runners=admission.runner_count,
        wait_ms=round(admission.wait_ms),
        slack_ms=round(state.estimates.compute_slack(request, queue).due_ms),
        retry_ms=round(admission.retry_after_ms),
    )
    reason = admission.refusal or ""
    answer.set_result(JobAnswer(JobState.REFUSED, reason, admission.retry_after_ms))
