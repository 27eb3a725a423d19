"""Runs and stops tasks on the target and reports when each ends and frees its slot."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from apricotrail.agent._callbacks import AgentCallbacks
from apricotrail.agent._records import AttemptId, Outcome
from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.wire.generated.ttypes import Reason, TaskStart, TaskState

__all__ = ["Runs"]

RUN_FAILED = declare_event(
    5002,
    "task_run_failed",
    Level.ERROR,
    "The request to run or to stop a task at the target raised an unexpected exception; "
    "the task may have run. Report the error as a defect.",
)


class _Run(NamedTuple):
    attempt_id: AttemptId
    holder: str
    started_ms: float
    work: asyncio.Task


class Runs:
    """The tasks that run on the target, by job and task number.

    Parameters
    ----------
    callbacks : AgentCallbacks
        Runs and stops tasks on the target.
    clock : Clock
        Monotonic time in milliseconds.
    on_outcome : callable
        Called once per run with job, `AttemptId` and `Outcome`.
    on_released : callable
        Called once per run, after its outcome, with the entry that holds its slot: when the target
        no longer works on the task.
    """

    def __init__(
        self,
        callbacks: AgentCallbacks,
        clock: Clock,
        on_outcome: Callable[[str, AttemptId, Outcome], None],
        on_released: Callable[[str], None],
    ) -> None:
        self._callbacks = callbacks
        self._clock = clock
        self._on_outcome = on_outcome
        self._on_released = on_released
        self._runs: dict[str, dict[int, _Run]] = {}
        self._work: set[asyncio.Task] = set()

    def start(
        self, job: str, start: TaskStart, holder: str, budget_ms: float, now_ms: float
    ) -> None:
        """Run a task in a slot held by the entry `holder`; its budget counts from `now_ms`."""
        attempt_id = AttemptId(start.task, start.attempt)
        work = self._spawn(self._run_to_end(job, start, holder, budget_ms, now_ms))
        self._runs.setdefault(job, {})[start.task] = _Run(attempt_id, holder, now_ms, work)

    def stop(self, job: str, tasks: list[int], reason: int) -> None:
        """Stop the named tasks that run, or all tasks of the job if `tasks` is empty."""
        runs = self._runs.get(job, {})
        for task in tasks or list(runs):
            run = runs.get(task)
            if run is not None:
                self._stop(job, run, reason)

    def stop_all(self, reason: int) -> None:
        """Stop the running tasks of all jobs."""
        for job in list(self._runs):
            self.stop(job, [], reason)

    async def wait_until_idle(self) -> None:
        """Wait until no task runs and none is being stopped."""
        while self._work:
            await asyncio.wait(list(self._work))

    async def _run_to_end(
        self, job: str, start: TaskStart, holder: str, budget_ms: float, started_ms: float
    ) -> None:
        remaining_ms = budget_ms - (self._clock() - started_ms)
        try:
            outcome = await self._callbacks.run_task(job, start, remaining_ms)
        except Exception as error:
            emit(RUN_FAILED, job=job, task=start.task, error=repr(error))
            outcome = Outcome(TaskState.MAY_HAVE_RUN, Reason.TARGET_ERROR, detail=repr(error))
        self._finish(job, AttemptId(start.task, start.attempt), outcome, started_ms)
        if outcome.reason == Reason.TARGET_SILENT:
            await self._request_stop(job, start.task)
        self._on_released(holder)

    def _finish(self, job: str, attempt_id: AttemptId, outcome: Outcome, started_ms: float) -> None:
        runs = self._runs[job]
        del runs[attempt_id.task]
        if not runs:
            del self._runs[job]
        run_ms = round(self._clock() - started_ms)
        self._on_outcome(job, attempt_id, outcome._replace(run_ms=run_ms))

    def _stop(self, job: str, run: _Run, reason: int) -> None:
        run.work.cancel()
        outcome = Outcome(TaskState.MAY_HAVE_RUN, reason)
        self._finish(job, run.attempt_id, outcome, run.started_ms)
        self._spawn(self._stop_then_release(job, run))

    async def _stop_then_release(self, job: str, run: _Run) -> None:
        await self._request_stop(job, run.attempt_id.task)
        self._on_released(run.holder)

    async def _request_stop(self, job: str, task: int) -> None:
        try:
            await self._callbacks.stop_task(job, task)
        except Exception as error:
            emit(RUN_FAILED, job=job, task=task, error=repr(error))

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._work.add(task)
        task.add_done_callback(self._work.discard)
        return task
