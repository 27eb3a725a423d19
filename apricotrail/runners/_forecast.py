"""Predicts when a full runner can start another run, from its running and queued runs."""

from heapq import heapify, heappop, heappush
from typing import NamedTuple

__all__ = ["ExpectedEnd", "QueuedRun", "Forecast", "predict_starts"]

DEFAULT_SPACING_MS = 40.0  # ten runs of 400 ms


class ExpectedEnd(NamedTuple):
    """A running run and when it is expected to end.

    Attributes
    ----------
    remaining_ms : float
        Expected time until its end.
    cpu_millis : int
        Millicores that it frees then.
    """

    remaining_ms: float
    cpu_millis: int


class QueuedRun(NamedTuple):
    """A run that waits at the agent.

    Attributes
    ----------
    cpu_millis : int
        Millicores that it needs.
    run_ms : float
        Expected run time.
    is_urgent : bool
        Whether its due time is near.
    """

    cpu_millis: int
    run_ms: float
    is_urgent: bool


class Forecast(NamedTuple):
    """Expected waits at one runner, in milliseconds.

    Attributes
    ----------
    next_start_ms : float
        Wait of one more run of typical size behind the whole queue.
    urgent_start_ms : float
        Wait of such a run behind the urgent runs of the queue only.
    spacing_ms : float
        Time between two starts while the runner is full.
    """

    next_start_ms: float
    urgent_start_ms: float
    spacing_ms: float


def predict_starts(
    free_cpu_millis: int, ends: list[ExpectedEnd], queue: list[QueuedRun], typical_cpu_millis: int
) -> Forecast:
    """Simulate the queue and return how long one more run would wait.

    Parameters
    ----------
    free_cpu_millis : int
        Millicores that no running run takes.
    ends : list of ExpectedEnd
        Running runs.
    queue : list of QueuedRun
        Queued runs in the order in which they start.
    typical_cpu_millis : int
        Millicores of a run of typical size.

    Examples
    --------
    >>> ends = [ExpectedEnd(100.0, 2_000), ExpectedEnd(300.0, 2_000)]
    >>> predict_starts(0, ends, [QueuedRun(2_000, 400.0, False)], 2_000)
    Forecast(next_start_ms=300.0, urgent_start_ms=100.0, spacing_ms=100.0)
    """
    urgent = [run for run in queue if run.is_urgent]
    mean_ms = sum(end.remaining_ms for end in ends) / len(ends) if ends else 0.0
    spacing_ms = mean_ms / len(ends) if ends else DEFAULT_SPACING_MS
    next_ms = _wait_behind(free_cpu_millis, ends, queue, typical_cpu_millis)
    urgent_ms = next_ms
    if len(urgent) < len(queue):
        urgent_ms = _wait_behind(free_cpu_millis, ends, urgent, typical_cpu_millis)
    return Forecast(next_ms, urgent_ms, spacing_ms)


def _wait_behind(
    free_cpu_millis: int, ends: list[ExpectedEnd], queue: list[QueuedRun], typical_cpu_millis: int
) -> float:
    if not queue and free_cpu_millis >= typical_cpu_millis:
        return 0.0
    pending = list(ends)
    heapify(pending)
    now_ms = 0.0
    for run in (*queue, QueuedRun(typical_cpu_millis, 0.0, False)):
        while free_cpu_millis < run.cpu_millis and pending:
            end = heappop(pending)
            now_ms = max(now_ms, end.remaining_ms)
            free_cpu_millis += end.cpu_millis
        free_cpu_millis -= run.cpu_millis
        heappush(pending, ExpectedEnd(now_ms + run.run_ms, run.cpu_millis))
    return now_ms
