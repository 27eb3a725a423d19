"""Admission control of jobs by the capacity and the queue lengths that the runners report.

A job is refused if its tasks would wait for their start longer than its slack, the longest wait
that meets its latency objective, by more than `LATENESS_TOLERANCE_MS`: under a lasting overload the
same amount of work is done either way, and a queue longer than the jobs' slack makes all of them
late. Jobs with little slack overtake those with much, so only the urgent part of the queues counts
for them. Tasks that are late already count as urgent: otherwise new jobs would starve them.
"""

from heapq import heapify, heapreplace
from random import Random
from typing import NamedTuple

from apricotrail.queues._jobs import JobRequest, Slack, Step
from apricotrail.queues._registry import RunnerStatus, fits, sum_free_cpu

__all__ = ["URGENT_MS", "AdmissionDecision", "decide_admission", "fits_somewhere"]

# Slack up to which a job counts as urgent. Agents forecast the wait behind urgent runs by the same
# limit.
URGENT_MS = 250.0
# Excess over the slack that is still admitted: reports are up to 200 ms old, and a job that is a
# little late is of more use than a refused one.
LATENESS_TOLERANCE_MS = 150.0
MIN_RETRY_MS = 200.0  # shortest wait before a retry after an overload, before jitter
NO_RUNNER_RETRY_MS = 1_000.0  # wait before a retry if no runner can take the job


class AdmissionDecision(NamedTuple):
    """Whether a job is admitted, and the figures behind the decision.

    Attributes
    ----------
    refusal : str or None
        Reason for a refusal: ``no_runner``, ``no_fitting_runner``, ``overloaded`` or, from the
        dispatcher, ``too_many_jobs`` or ``too_many_tasks``; None if the job is admitted.
    retry_after_ms : float
        With a refusal: wait before the job is sent again.
    free_cpu : int
        Free CPU of the runners in `runner_count` in thousandths of a core, less what is queued
        there; 0 with ``no_runner``.
    runner_count : int
        Runners that may take the job; with ``no_runner`` the unhealthy ones, which
        may take none now.
    wait_ms : float
        Expected wait until the last task that is ready at once starts.
    """

    refusal: str | None
    retry_after_ms: float = 0.0
    free_cpu: int = 0
    runner_count: int = 0
    wait_ms: float = 0.0


def decide_admission(
    request: JobRequest, slack: Slack, usable: list[RunnerStatus], random: Random
) -> AdmissionDecision:
    """Decide whether `request` is admitted.

    Parameters
    ----------
    request : JobRequest
        The job.
    slack : Slack
        How long its tasks may wait for their start, and its expected run time.
    usable : list of RunnerStatus
        Runners of its pool that accept work.
    random : Random
        Source of the jitter on `retry_after_ms`, so that refused callers do not return together.
    """
    eligible = [runner for runner in usable if runner.trials_left() != 0]
    if not eligible:
        return AdmissionDecision("no_runner", NO_RUNNER_RETRY_MS, 0, len(usable))
    free_cpu = sum_free_cpu(eligible)
    if any(not fits_somewhere(step, eligible) for step in request.steps):
        return AdmissionDecision("no_fitting_runner", NO_RUNNER_RETRY_MS, free_cpu, len(eligible))
    wait_ms = _estimate_wait_ms(request, slack, eligible)
    further_waves_ms = _count_further_waves(request, eligible) * slack.critical_path_ms
    if wait_ms > max(slack.due_ms, 0.0) + LATENESS_TOLERANCE_MS + further_waves_ms:
        retry_ms = max(MIN_RETRY_MS, wait_ms) * random.uniform(1.0, 2.0)
        return AdmissionDecision("overloaded", retry_ms, free_cpu, len(eligible), wait_ms)
    return AdmissionDecision(None, 0.0, free_cpu, len(eligible), wait_ms)


def _estimate_wait_ms(request: JobRequest, slack: Slack, runners: list[RunnerStatus]) -> float:
    """Return the expected wait of the last task if each goes to the runner with the shortest wait.

    Tasks first take free CPU, at the runner that has most; these wait for nothing. Each further
    task lengthens the wait at its runner by that runner's time between two starts. Only steps
    without dependencies count.
    """
    is_urgent = slack.due_ms <= URGENT_MS
    used = [(-max(0, runner.free_cpu()), number) for number, runner in enumerate(runners)]
    heapify(used)
    heap = [(runner.queue_wait_ms(is_urgent), number) for number, runner in enumerate(runners)]
    heapify(heap)
    longest_ms = 0.0
    for step in request.steps:
        if step.depends_on:
            continue
        for _ in range(step.count):
            used_cpu, freest = used[0]
            if -used_cpu >= step.cpu_millis:
                heapreplace(used, (used_cpu + step.cpu_millis, freest))
                continue
            wait_ms, number = heap[0]
            heapreplace(heap, (wait_ms + runners[number].spacing_ms(), number))
            longest_ms = max(longest_ms, wait_ms)
    return longest_ms


def _count_further_waves(request: JobRequest, runners: list[RunnerStatus]) -> int:
    """Return how many more waves than one the widest step needs on idle runners that fit it.

    A wave is as many tasks of a step as run at the same time. Each wave has to wait for the one
    before it, whatever other jobs are queued, so these waits are no reason for a refusal.
    """
    most = 0
    for step in request.steps:
        slots = sum(_count_slots(runner, step) for runner in runners if fits(runner, step))
        most = max(most, (step.count - 1) // max(1, slots))
    return most


def _count_slots(runner: RunnerStatus, step: Step) -> int:
    """Return how many tasks of a step run at the same time on an idle runner."""
    slots = runner.load.cpu_millis // max(1, step.cpu_millis)
    return min(slots, step.max_per_runner) if step.max_per_runner else slots


def fits_somewhere(step: Step, runners: list[RunnerStatus]) -> bool:
    """Return whether a task of `step` fits the whole capacity and the labels of any runner."""
    return any(fits(runner, step) for runner in runners)
