"""Predicts when a full runner has room again, from the progress of its runs and its queue."""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

__all__ = ["ExpectedEnd", "QueuedRun", "Forecast", "predict_starts"]

DEFAULT_SPACING_MS = 40.0  # ten runs of 400 ms


class ExpectedEnd(NamedTuple):
    """A run under way.

    Attributes
    ----------
    left_ms : float
        Expected time until its end.
    cpu_millis : int
        Room that it frees.
    """

    left_ms: float
    cpu_millis: int


class QueuedRun(NamedTuple):
    """A run in the queue.

    Attributes
    ----------
    cpu_millis : int
        Room that it needs.
    run_ms : float
        Expected run time.
    is_urgent : bool
        Whether it is due soon.
    """

    cpu_millis: int
    run_ms: float
    is_urgent: bool


class Forecast(NamedTuple):
    """Expected waits at one runner, in milliseconds.

    Attributes
    ----------
    next_start_ms : float
        Wait of one more run of usual size behind the queue.
    urgent_start_ms : float
        The same behind the urgent part of the queue.
    spacing_ms : float
        Time between two starts while the runner is full.
    """

    next_start_ms: float
    urgent_start_ms: float
    spacing_ms: float


def predict_starts(
    free_cpu: int, ends: list[ExpectedEnd], queue: list[QueuedRun], usual_cpu: int
) -> Forecast:
    """Return when one more run could start.

    Parameters
    ----------
    free_cpu : int
        Room that nothing under way takes, in thousandths of a core.
    ends : list of ExpectedEnd
        Runs under way.
    queue : list of QueuedRun
        Queue in the order in which it is started.
    usual_cpu : int
        Room of a run of usual size.

    Examples
    --------
    >>> ends = [ExpectedEnd(100.0, 2_000), ExpectedEnd(300.0, 2_000)]
    >>> predict_starts(0, ends, [QueuedRun(2_000, 400.0, False)], 2_000)
    Forecast(next_start_ms=300.0, urgent_start_ms=100.0, spacing_ms=100.0)
    """
    urgent = [run for run in queue if run.is_urgent]
    mean_ms = sum(end.left_ms for end in ends) / len(ends) if ends else 0.0
    spacing_ms = mean_ms / len(ends) if ends else DEFAULT_SPACING_MS
    return Forecast(
        _wait_behind(free_cpu, ends, queue, usual_cpu),
        _wait_behind(free_cpu, ends, urgent, usual_cpu),
        spacing_ms,
    )


def _wait_behind(
    free_cpu: int, ends: list[ExpectedEnd], queue: list[QueuedRun], usual_cpu: int
) -> float:
    pending = list(ends)
    heapify(pending)
    now_ms = 0.0
    for run in (*queue, QueuedRun(usual_cpu, 0.0, False)):
        while free_cpu < run.cpu_millis and pending:
            end = heappop(pending)
            now_ms = max(now_ms, end.left_ms)
            free_cpu += end.cpu_millis
        free_cpu -= run.cpu_millis
        heappush(pending, ExpectedEnd(now_ms + run.run_ms, run.cpu_millis))
    return now_ms
