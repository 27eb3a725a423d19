"""How the end of a run changes its task and its job."""

from apricotrail.events import Level, declare_event, emit
from apricotrail.queues._job_ends import answer_job, forget_if_ended, stop_runs
from apricotrail.queues._jobs import Job, JobAnswer, JobState, Task, TaskPhase
from apricotrail.queues._state import DispatchState
from apricotrail.wire.generated.ttypes import RunOutcome, RunReason, RunState

__all__ = ["end_run"]

RUN_ENDED = declare_event(
    10005,
    "run_ended",
    Level.INFO,
    "A run did not end as done; its task is retried unless its job has ended.",
)


def end_run(state: DispatchState, job: Job, task: Task, outcome: RunOutcome) -> None:
    """Record the end of a run; its task waits again unless it is done or its job is answered."""
    state_name = RunState._VALUES_TO_NAMES.get(outcome.state, "")
    reason = RunReason._VALUES_TO_NAMES.get(outcome.reason, "")
    state.metrics.runs.add(state_name)
    state.metrics.placing_ms.observe(outcome.waited_ms)
    if outcome.state == RunState.DONE:
        job.may_have_run = True
        state.estimates.note_run(job.queue.name, outcome.run_ms)
        task.phase = TaskPhase.DONE
        job.unfinished[task.step] -= 1
        if job.is_done() and not job.stopping:
            answer_job(state, job, JobAnswer(JobState.COMPLETED))
        elif job.stopping:
            forget_if_ended(state, job)
        return
    task.phase = TaskPhase.WAITING
    task.losses += outcome.state == RunState.LOST
    job.may_have_run = job.may_have_run or outcome.state != RunState.NOT_RUN
    state.metrics.retries.add(reason)
    emit(
        RUN_ENDED,
        job=job.job_id,
        task=task.name,
        run=outcome.run,
        agent=task.agent,
        state=state_name,
        reason=reason,
        run_ms=outcome.run_ms,
        waited_ms=outcome.waited_ms,
        failures=task.failures,
        losses=task.losses,
    )
    # The runner has seen a higher number of a run; the next one must be above it.
    if outcome.reason == RunReason.SUPERSEDED:
        task.run = max(task.run, outcome.highest_run)
    if outcome.state in (RunState.FAILED, RunState.LOST, RunState.STOPPED):
        task.avoid.add(task.agent)
    if job.stopping:
        forget_if_ended(state, job)
        return
    if outcome.state == RunState.FAILED:
        task.failures += 1
        if task.failures >= job.queue.attempts:
            stop_runs(state, job)
            answer_job(state, job, JobAnswer(JobState.FAILED, "attempts"))
