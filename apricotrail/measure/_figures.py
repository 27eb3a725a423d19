"""Figures of one run: response over ideal, goodput, messages, starts."""

from collections import Counter
from collections.abc import Mapping, Sequence
from math import ceil
from typing import NamedTuple

__all__ = ["Figures", "JobResult", "TargetCounts", "make_figures", "percentile", "render_table"]


class JobResult(NamedTuple):
    """What a caller got for one job.

    Attributes
    ----------
    job : str
        "caller/submission".
    outcome : str
        "complete", or the error kind of a failed or refused job.
    response_ms : float
        Time from submission to answer.
    ideal_ms : float
        Lower bound of the response time.
    work_ms : float
        Run time of all tasks together.
    states : tuple of str
        Reported state of each task, empty if the job was complete or refused.
    whole : bool
        False if an answer differs from what the task asked for.
    """

    job: str
    outcome: str
    response_ms: float
    ideal_ms: float
    work_ms: float
    states: tuple[str, ...] = ()
    whole: bool = True


class TargetCounts(NamedTuple):
    """What the stand-in targets counted.

    Attributes
    ----------
    starts : Mapping of (job, task) to int
        Starts of each task.
    work_ms : float
        Slot time of tasks that ended well by the end of the load.
    all_work_ms : float
        The same by the end of the run.
    starts_out_of_service : int
        Starts in a zone that was out, after the time allowed for the change.
    """

    starts: Mapping[tuple[str, int], int]
    work_ms: float
    all_work_ms: float = 0.0
    starts_out_of_service: int = 0


class Figures(NamedTuple):
    """Figures of one run; ratios are response time over ideal.

    Attributes
    ----------
    jobs, complete, refused, failed : int
        Jobs sent, answered whole, refused before the claim, failed afterwards.
    p50, p95, p99, worst : float
        Percentiles of response over ideal, of complete jobs.
    work_share : float
        Work done by the end of the load over the ideal work.
    useful_share : float
        Work of complete jobs over all work done.
    starts_per_task, wasted_per_task : float
        Starts, and messages that led to no start, each over tasks started.
    double_starts, false_reports, starts_out_of_service, broken_answers : int
        Broken promises; each must be 0.
    outcomes : dict
        Number of jobs by outcome.
    zone_out_ms, zone_in_ms : float
        From taking a zone out to the last start there, and from bringing it back until all its
        targets have started a task.
    """

    jobs: int
    complete: int
    refused: int
    failed: int
    p50: float
    p95: float
    p99: float
    worst: float
    work_share: float
    useful_share: float
    starts_per_task: float
    wasted_per_task: float
    double_starts: int
    false_reports: int
    starts_out_of_service: int
    broken_answers: int
    outcomes: dict[str, int]
    zone_out_ms: float = 0.0
    zone_in_ms: float = 0.0


_REFUSALS = {"overloaded", "quota_exceeded", "impossible", "not_ready", "stale_configuration"}
_REFUSALS |= {"no_quorum", "unknown_name", "stopping"}


def make_figures(
    results: Sequence[JobResult],
    counts: TargetCounts,
    ideal_work_ms: float,
    wasted_messages: float = 0.0,
) -> Figures:
    """Return the figures of a run."""
    outcomes = Counter(result.outcome for result in results)
    refused = sum(number for kind, number in outcomes.items() if kind in _REFUSALS)
    ratios = sorted(
        result.response_ms / result.ideal_ms
        for result in results
        if result.outcome == "complete" and result.ideal_ms > 0
    )
    started = len(counts.starts)
    useful_ms = sum(result.work_ms for result in results if result.outcome == "complete")
    return Figures(
        jobs=len(results),
        complete=outcomes["complete"],
        refused=refused,
        failed=len(results) - outcomes["complete"] - refused,
        p50=percentile(ratios, 0.5),
        p95=percentile(ratios, 0.95),
        p99=percentile(ratios, 0.99),
        worst=percentile(ratios, 1.0),
        work_share=counts.work_ms / ideal_work_ms if ideal_work_ms else 0.0,
        useful_share=useful_ms / counts.all_work_ms if counts.all_work_ms else 0.0,
        starts_per_task=sum(counts.starts.values()) / started if started else 0.0,
        wasted_per_task=wasted_messages / started if started else 0.0,
        double_starts=sum(number - 1 for number in counts.starts.values() if number > 1),
        false_reports=_count_false_reports(results, counts.starts),
        starts_out_of_service=counts.starts_out_of_service,
        broken_answers=sum(not result.whole for result in results),
        outcomes=dict(outcomes),
    )


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest value that a `share` of an ordered sequence does not exceed.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    if not ordered:
        return 0.0
    return ordered[max(0, ceil(share * len(ordered)) - 1)]


def render_table(rows: Sequence[tuple[str, Figures]]) -> str:
    """Return a Markdown table with one row for each named run."""
    header = (
        "| run | jobs | complete | refused | failed | p50 | p95 | p99 | worst | work | useful "
        "| wasted/task | out ms | in ms | double | false | out | broken |"
    )
    lines = [header, "| --- |" + " ---: |" * 17]
    for name, figures in rows:
        lines.append(
            f"| {name} | {figures.jobs} | {figures.complete} | {figures.refused} "
            f"| {figures.failed} | {figures.p50:.2f} | {figures.p95:.2f} | {figures.p99:.2f} "
            f"| {figures.worst:.2f} | {figures.work_share:.3f} | {figures.useful_share:.3f} "
            f"| {figures.wasted_per_task:.3f} "
            f"| {figures.zone_out_ms:.0f} | {figures.zone_in_ms:.0f} "
            f"| {figures.double_starts} | {figures.false_reports} "
            f"| {figures.starts_out_of_service} | {figures.broken_answers} |"
        )
    return "\n".join(lines)


def _count_false_reports(
    results: Sequence[JobResult], starts: Mapping[tuple[str, int], int]
) -> int:
    started_jobs = {job for job, _ in starts}
    false = 0
    for result in results:
        if result.outcome in _REFUSALS and not result.states:
            false += result.job in started_jobs
        for task, state in enumerate(result.states):
            false += state == "not_run" and (result.job, task) in starts
    return false
