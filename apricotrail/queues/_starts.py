"""Placement of the tasks of a job on runners, and the start messages for them.

A job may have thousands of tasks, and placing one takes as long as there are runners. So a pass
places some of them, and the rest follows in later turns of the event loop, one job at a time.
"""

import asyncio
from collections import Counter

from apricotrail.events import Level, declare_event, emit
from apricotrail.queues._admission import URGENT_MS, fits_somewhere
from apricotrail.queues._crashes import Restart
from apricotrail.queues._job_ends import RETRY_AFTER_MS, answer_job, fail_deadly, give_up
from apricotrail.queues._jobs import Job, JobAnswer, JobState, Step, Task, TaskPhase
from apricotrail.queues._registry import RunnerStatus
from apricotrail.queues._state import DispatchState
from apricotrail.wire.generated.ttypes import RunStart, StartRuns

__all__ = ["TASKS_PER_PASS", "make_start", "place", "place_later"]

TASKS_PER_PASS = 64
MAX_QUEUE_WAIT_MS = 400  # longest wait at one agent before the task is placed again
ISOLATED_WAIT_MS = 2_000  # longest wait for a runner to become idle; most runs are shorter
MIN_QUEUE_WAIT_MS = 60  # a few round trips, as placing a task again costs one
MAX_START_WAIT_MS = 600.0  # longer than MAX_QUEUE_WAIT_MS; refuses jobs of which nothing has begun

RUNS_SENT = declare_event(
    10004,
    "runs_sent",
    Level.INFO,
    "Tasks of a job were sent to the agent of a runner to be started.",
)
TASK_ISOLATED = declare_event(
    10010,
    "task_isolated",
    Level.INFO,
    "A task that may have crashed its runners is started where nothing else runs.",
)


def place(state: DispatchState, job: Job, first: int = 0) -> int:
    """Send tasks that can start now to runners; return how many were considered.

    A job with a task that crashes its runners has failed. One of which nothing can have begun
    is refused if its pool has no usable runner that a task of it fits, or if it has waited for
    longer than `MAX_START_WAIT_MS`. One that may not start any more is given up.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher.
    job : Job
        An open job.
    first : int
        Number of the task, among those that can start now, at which the pass begins. What is
        behind the pass is placed later.
    """
    if job.stopping:
        return 0
    ready = job.list_ready()
    considered = ready[first : first + TASKS_PER_PASS]
    if not considered:
        return 0
    if not job.may_start:
        give_up(state, job, "dispatcher_froze")
        return 0
    restarts = {task.name: state.crashes.decide(task.name) for task in considered}
    if Restart.NEVER in restarts.values():
        fail_deadly(state, job, [name for name, it in restarts.items() if it is Restart.NEVER])
        return 0
    usable = state.registry.list_usable(job.queue.pool)
    may_have_begun = job.may_have_run or bool(job.list_sent())
    refusal = None if may_have_begun else _find_refusal(state, job, usable)
    if refusal is not None:
        answer_job(state, job, JobAnswer(JobState.REFUSED, refusal, RETRY_AFTER_MS))
        return 0
    tasks_by_agent: dict[str, list[Task]] = {}
    sent = _count_sent(job)
    for task in considered:
        step = job.request.steps[task.step]
        if restarts[task.name] is Restart.LATER:
            continue
        task.is_isolated = restarts[task.name] is Restart.ISOLATED
        runner = _choose(state, job, usable, step, task, sent)
        if runner is not None:
            runner.note_sent(step, task.is_isolated)
            sent[task.step, runner.agent] += 1
            task.agent = runner.agent
            tasks_by_agent.setdefault(runner.agent, []).append(task)
    placed = 0
    for agent, tasks in tasks_by_agent.items():
        _send_starts(state, job, agent, tasks)
        placed += len(tasks)
    if len(ready) > first + len(considered):
        # Those that were placed are no longer among the ready ones of the next pass.
        place_later(state, job, first + len(considered) - placed)
    return len(considered)


def place_later(state: DispatchState, job: Job, first: int = 0) -> None:
    """Place tasks of a job, as `place` does, in a later turn of the event loop."""
    state.unplaced[job.job_id] = first
    if len(state.unplaced) == 1:
        asyncio.get_running_loop().call_soon(_place_next, state)


def _place_next(state: DispatchState) -> None:
    if not state.unplaced:
        return
    job_id, first = state.unplaced.popitem(last=False)
    if state.unplaced:
        asyncio.get_running_loop().call_soon(_place_next, state)
    job = state.jobs.get(job_id)
    if job is not None:
        place(state, job, first)


def _count_sent(job: Job) -> Counter[tuple[int, str]]:
    """Return how many tasks of each limited step may be running at an agent, by step and agent.

    Tasks that are done don't count, so a step with more tasks than the runners may take at once
    runs in waves.
    """
    steps = job.request.steps
    if not any(step.max_per_runner for step in steps):
        return Counter()
    return Counter(
        (task.step, task.agent)
        for task in job.tasks
        if task.phase is TaskPhase.SENT and steps[task.step].max_per_runner
    )


def _find_refusal(state: DispatchState, job: Job, usable: list[RunnerStatus]) -> str | None:
    """Return why a job of which nothing has begun is refused; None if it may wait on.

    Runners may have left, or have shrunk, since it was admitted.
    """
    if not usable:
        return "no_runner"
    if not all(fits_somewhere(step, usable) for step in job.request.steps):
        return "no_fitting_runner"
    is_overdue = state.clock() - job.received_ms > MAX_START_WAIT_MS
    return "overloaded" if is_overdue else None


def _choose(
    state: DispatchState,
    job: Job,
    usable: list[RunnerStatus],
    step: Step,
    task: Task,
    sent: Counter[tuple[int, str]],
) -> RunnerStatus | None:
    """Return the runner for a task, or None if it must wait.

    The first task of a job may be the trial run of an unhealthy runner.
    """
    limit = step.max_per_runner

    def is_allowed(agent: str) -> bool:
        return not limit or sent[task.step, agent] < limit

    if task.is_isolated:
        down = state.crashes.list_at_risk()
        return state.registry.choose_isolated(job.queue.pool, step, task, is_allowed, down)
    if job.starts == 0 and task.index == 0:
        trial = state.registry.find_trial_runner(usable, step, is_allowed)
        if trial is not None:
            return trial
    is_urgent = job.slack.due_ms - (state.clock() - job.received_ms) <= URGENT_MS
    return state.registry.choose(usable, step, task, is_allowed, is_urgent)


def _send_starts(state: DispatchState, job: Job, agent: str, tasks: list[Task]) -> None:
    now_ms = state.clock()
    runner = state.registry.by_agent[agent]
    runner.used_ms = now_ms
    left_ms = job.slack.due_ms - (now_ms - job.received_ms)
    # A task that is late already gains nothing from being moved between queues.
    wait_ms = MAX_QUEUE_WAIT_MS if left_ms <= 0 else max(MIN_QUEUE_WAIT_MS, left_ms / 2)
    wait_ms = int(min(MAX_QUEUE_WAIT_MS, wait_ms))
    starts = []
    for task in tasks:
        task.run += 1
        task.phase = TaskPhase.SENT
        task.sent_ms = now_ms
        job.starts += 1
        state.runs[task.name, task.run] = (job, task)
        if task.is_isolated:
            _log_isolated(state, task)
        task_wait_ms = ISOLATED_WAIT_MS if task.is_isolated else wait_ms
        starts.append(make_start(state, job, task, task.name, task.run, task_wait_ms))
    # On the agent's clock, counted on from its latest report.
    valid_until_ms = runner.load.clock_ms + (now_ms - runner.reported_ms) + state.start_valid_ms
    sent = state.send(agent, StartRuns(starts, int(valid_until_ms)))
    emit(
        RUNS_SENT,
        job=job.job_id,
        agent=agent,
        runs=[[task.name.rpartition(".")[2], task.run] for task in tasks],
        free_cpu=runner.free_cpu(),
        load_age_ms=round(now_ms - runner.reported_ms),
        sent=sent,
    )


def make_start(
    state: DispatchState, job: Job, task: Task, name: str, run: int, wait_ms: int
) -> RunStart:
    """Return the start record of a run; `wait_ms` bounds its wait in the agent's queue."""
    step = job.request.steps[task.step]
    passed_ms = state.clock() - job.received_ms
    return RunStart(
        name,
        run,
        job.request.spec,
        step.cpu_millis,
        step.memory_mb,
        int(state.estimates.estimate_ms(job.queue.name, step.estimate_ms)),
        job.queue.priority,
        wait_ms,
        int(job.slack.due_ms - passed_ms),
        int(job.slack.late_due_ms - passed_ms),
        task.is_isolated,
        step.max_per_runner or None,
    )


def _log_isolated(state: DispatchState, task: Task) -> None:
    state.metrics.isolated_runs.add()
    emit(
        TASK_ISOLATED,
        task=task.name,
        run=task.run,
        agent=task.agent,
        lost_at=state.crashes.list_lost_at(task.name),
    )
