"""Decides at once whether a job is taken, from the room and the queues that the runners report.

A job is refused if it would be late by more than a little: under a lasting overload the same
amount of work is done either way, and a queue longer than the jobs' slack makes all of them late.
Jobs with little slack overtake those with much, so they are measured against the urgent part of the
queues alone. What is late already counts as urgent: otherwise new jobs would starve it.
"""

from heapq import heapify, heapreplace
from random import Random
from typing import NamedTuple

from apricotrail.queues._board import RunnerView, sum_free_cpu
from apricotrail.queues._jobs import JobRequest, Slack, Step

__all__ = ["URGENT_MS", "Admission", "decide_admission"]

URGENT_MS = 250.0  # slack below which a job counts as urgent; agents report queues by it
# Beyond the slack: reports are up to 200 ms old, and a job that is a little late is of more use
# than a refused one.
TOLERATED_MS = 150.0
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
        Expected wait for the start of the job's tasks.
    """

    refusal: str | None
    retry_after_ms: float = 0.0
    free_cpu: int = 0
    runners: int = 0
    wait_ms: float = 0.0


def decide_admission(
    request: JobRequest, slack: Slack, usable: list[RunnerView], random: Random
) -> Admission:
    """Return whether `request` is taken.

    Parameters
    ----------
    request : JobRequest
        The job.
    slack : Slack
        How long its tasks may wait.
    usable : list of RunnerView
        Runners of its pool that take work.
    random : Random
        Spreads the times at which refused callers come back.
    """
    healthy = [view for view in usable if view.trials() != 0]
    if not healthy:
        return Admission("no_runner", NO_RUNNER_RETRY_MS, 0, len(usable))
    free_cpu = sum_free_cpu(healthy)
    if any(not _fits_somewhere(step, healthy) for step in request.steps):
        return Admission("no_fitting_runner", NO_RUNNER_RETRY_MS, free_cpu, len(healthy))
    wait_ms = _estimate_wait_ms(request, slack, healthy)
    own_waves_ms = _count_further_waves(request, healthy) * slack.chain_ms
    if wait_ms > max(slack.due_ms, 0.0) + TOLERATED_MS + own_waves_ms:
        retry_ms = max(MIN_RETRY_MS, wait_ms) * random.uniform(1.0, 2.0)
        return Admission("overloaded", retry_ms, free_cpu, len(healthy), wait_ms)
    return Admission(None, 0.0, free_cpu, len(healthy), wait_ms)


def _estimate_wait_ms(request: JobRequest, slack: Slack, views: list[RunnerView]) -> float:
    """Return the expected wait of the job's last task when each goes where it waits least."""
    is_urgent = slack.due_ms <= URGENT_MS
    waits = [
        (view.full_wait_ms(is_urgent), number, max(0, view.free_cpu()))
        for number, view in enumerate(views)
    ]
    free = {number: room for _, number, room in waits}
    heap = [(wait_ms, number) for wait_ms, number, _ in waits]
    heapify(heap)
    longest_ms = 0.0
    for step in request.steps:
        if step.depends_on:
            continue
        for _ in range(step.count):
            roomy = max(free, key=free.__getitem__)
            if free[roomy] >= step.cpu_millis:
                free[roomy] -= step.cpu_millis
                continue
            wait_ms, number = heap[0]
            heapreplace(heap, (wait_ms + views[number].spacing_ms(), number))
            longest_ms = max(longest_ms, wait_ms)
    return longest_ms


def _count_further_waves(request: JobRequest, views: list[RunnerView]) -> int:
    """Return how many times a job's widest step would have to wait for itself on idle runners."""
    most = 0
    for step in request.steps:
        slots = sum(view.load.cpu_millis // max(1, step.cpu_millis) for view in views)
        most = max(most, (step.count - 1) // max(1, slots))
    return most


def _fits_somewhere(step: Step, views: list[RunnerView]) -> bool:
    return any(
        view.load.cpu_millis >= step.cpu_millis
        and view.load.memory_mb >= step.memory_mb
        and (not step.label or step.label in (view.load.labels or ()))
        for view in views
    )
