"""Decides at once whether a job is taken, from the room that the runners report."""

from random import Random
from typing import NamedTuple

from apricotrail.queues._board import DRAIN_MS, RunnerView, sum_free_cpu
from apricotrail.queues._document import Queue
from apricotrail.queues._jobs import JobRequest, Step

__all__ = ["Admission", "decide_admission"]

MAX_WAIT_MS = 400.0  # a longer queue makes most jobs late: their slack is 0.6 of a task and 60 ms
MIN_RETRY_MS = 200.0
NO_RUNNER_RETRY_MS = 1_000.0


class Admission(NamedTuple):
    """Whether a job is taken, and from what this was decided.

    Attributes
    ----------
    refusal : str or None
        Reason of a refusal.
    retry_after_ms : float
        With a refusal: when to come back.
    free_cpu : int
        Free room of the usable runners in thousandths of a core, queues taken off.
    runners : int
        Usable runners.
    wait_ms : float
        Expected wait until the job's last ready task starts.
    """

    refusal: str | None
    retry_after_ms: float = 0.0
    free_cpu: int = 0
    runners: int = 0
    wait_ms: float = 0.0


def decide_admission(
    request: JobRequest, queue: Queue, usable: list[RunnerView], random: Random
) -> Admission:
    """Return whether `request` is taken.

    Parameters
    ----------
    request : JobRequest
        The job.
    queue : Queue
        Its queue.
    usable : list of RunnerView
        Runners of its pool that take work.
    random : Random
        Spreads the times at which refused callers come back.
    """
    healthy = [view for view in usable if view.trials() != 0]
    if not healthy:
        return Admission("no_runner", NO_RUNNER_RETRY_MS, 0, len(usable))
    free_cpu = sum_free_cpu(healthy)
    ready = [step for step in request.steps if not step.depends_on]
    total_cpu = sum(view.load.cpu_millis for view in healthy)
    missing = sum(step.count * step.cpu_millis for step in ready) - free_cpu
    wait_ms = max(0.0, missing / max(1, total_cpu)) * DRAIN_MS
    if any(not _fits_somewhere(step, healthy) for step in request.steps):
        return Admission("no_fitting_runner", NO_RUNNER_RETRY_MS, free_cpu, len(healthy), wait_ms)
    if wait_ms > MAX_WAIT_MS:
        retry_ms = max(MIN_RETRY_MS, wait_ms) * random.uniform(1.0, 2.0)
        return Admission("overloaded", retry_ms, free_cpu, len(healthy), wait_ms)
    return Admission(None, 0.0, free_cpu, len(healthy), wait_ms)


def _fits_somewhere(step: Step, views: list[RunnerView]) -> bool:
    return any(
        view.load.cpu_millis >= step.cpu_millis
        and view.load.memory_mb >= step.memory_mb
        and (not step.label or step.label in (view.load.labels or ()))
        for view in views
    )
