"""Ends of jobs: their answers, and the stops of what still runs for them."""

from apricotrail.events import Level, declare_event, emit
from apricotrail.queues._jobs import Job, JobAnswer, JobState
from apricotrail.queues._state import DispatchState
from apricotrail.wire.generated.ttypes import RunKey, StopRuns

__all__ = [
    "RETRY_AFTER_MS",
    "answer_job",
    "fail_deadly",
    "forget_if_ended",
    "give_up",
    "stop_runs",
]

RETRY_AFTER_MS = 1_000.0  # told to callers of jobs that are refused here

JOB_ANSWERED = declare_event(
    10003,
    "job_answered",
    Level.INFO,
    "A job got its final answer; reason tells why if it was not completed.",
)
TASK_GIVEN_UP = declare_event(
    10011,
    "task_given_up",
    Level.WARNING,
    "The runners that started a task crashed, the last one with nothing else running there. It is "
    "not started again, and its job has failed. Look at the job's input.",
)


def fail_deadly(state: DispatchState, job: Job, names: list[str]) -> None:
    """Answer a job as failed, since the tasks in `names` crash the runners that start them."""
    for name in names:
        state.metrics.deadly_tasks.add()
        emit(TASK_GIVEN_UP, task=name, lost_at=state.crashes.list_lost_at(name))
    stop_runs(state, job)
    answer_job(state, job, JobAnswer(JobState.FAILED, "crashes"))


def give_up(state: DispatchState, job: Job, reason: str) -> None:
    """Answer a job as unfinished and stop its runs; refuse it if nothing of it can have run."""
    if job.stopping:
        return
    if not job.may_have_run and not job.list_sent():
        answer_job(state, job, JobAnswer(JobState.REFUSED, reason, RETRY_AFTER_MS))
        return
    stop_runs(state, job)
    answer_job(state, job, JobAnswer(JobState.UNFINISHED, reason))


def stop_runs(state: DispatchState, job: Job) -> None:
    """Tell the agents to stop the runs of a job that are not known to have ended."""
    by_agent: dict[str, list[RunKey]] = {}
    for task in job.list_sent():
        by_agent.setdefault(task.agent, []).append(RunKey(task.name, task.run))
    for agent, keys in by_agent.items():
        state.send(agent, StopRuns(keys))


def answer_job(state: DispatchState, job: Job, answer: JobAnswer) -> None:
    """Give a job its final answer; it is kept until its runs have ended."""
    job.stopping = True
    now_ms = state.clock()
    state.metrics.jobs.add(answer.state.value)
    state.metrics.response_ms.observe(now_ms - job.received_ms)
    if not job.answer.done():
        job.answer.set_result(answer)
    if answer.state in (JobState.COMPLETED, JobState.FAILED):
        state.answers.store(job.job_id, answer, now_ms)
    emit(
        JOB_ANSWERED,
        job=job.job_id,
        queue=job.queue.name,
        state=answer.state.value,
        reason=answer.reason,
        took_ms=round(now_ms - job.received_ms),
        starts=job.starts,
        tasks=len(job.tasks),
    )
    forget_if_ended(state, job)


def forget_if_ended(state: DispatchState, job: Job) -> None:
    """Drop an answered job once none of its runs may be going on."""
    if not job.list_sent() and state.jobs.get(job.job_id) is job:
        del state.jobs[job.job_id]
