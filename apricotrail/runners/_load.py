"""Describes a runner's room and expected waits to the owners of its runs."""

from collections.abc import Iterable

from apricotrail.runners._forecast import ExpectedEnd, Forecast, QueuedRun, predict_starts
from apricotrail.runners._health import RunnerHealth
from apricotrail.runners._runs import Run, RunnerReport, RunPhase
from apricotrail.wire.generated.ttypes import RunnerLoad

__all__ = ["describe_load", "describe_unknown_runner", "sum_room"]

URGENT_MS = 250.0  # as the dispatchers' admission tells urgent jobs from others
LEAST_LEFT_MS = 5.0


def describe_unknown_runner(received: int, now_ms: float) -> RunnerLoad:
    """Return the report of an agent whose runner has not been announced."""
    return RunnerLoad(
        "", 0, "", "", [], 0, 0, 0, 0, 0, False, -1, 0.0, received, int(now_ms), 0, 0, 0, 0
    )


def describe_load(
    runner: RunnerReport,
    runs: list[Run],
    accepting: bool,
    health: RunnerHealth,
    received: int,
    now_ms: float,
) -> RunnerLoad:
    """Return the report for one owner.

    Parameters
    ----------
    runner : RunnerReport
        Newest report of the runner.
    runs : list of Run
        Runs that wait, or that may be at the runner.
    accepting : bool
        Whether new runs may start.
    health : RunnerHealth
        Judgement of the runner.
    received : int
        Starts that the owner has sent on its link and that have arrived.
    now_ms : float
        Own time.
    """
    queued = sorted(
        (run for run in runs if run.phase is RunPhase.QUEUED), key=lambda run: run.rank(now_ms)
    )
    under_way = [run for run in runs if run.phase is not RunPhase.QUEUED]
    used_cpu, _ = sum_room(under_way)
    all_cpu, all_memory = sum_room(runs)
    forecast = _predict(runner.cpu_millis - used_cpu, under_way, queued, now_ms)
    return RunnerLoad(
        runner.runner,
        runner.boot,
        runner.pool,
        runner.zone,
        list(runner.labels),
        runner.cpu_millis,
        runner.memory_mb,
        runner.cpu_millis - all_cpu,
        runner.memory_mb - all_memory,
        all_cpu - used_cpu,
        accepting,
        health.trials(),
        health.slowness(),
        received,
        int(now_ms),
        len(queued),
        int(forecast.next_start_ms),
        int(forecast.urgent_start_ms),
        int(forecast.spacing_ms),
    )


def sum_room(runs: Iterable[Run]) -> tuple[int, int]:
    """Return the processor, in thousandths, and the memory, in MB, that runs take together."""
    cpu_millis = memory_mb = 0
    for run in runs:
        cpu_millis += run.start.cpu_millis
        memory_mb += run.start.memory_mb
    return cpu_millis, memory_mb


def _predict(free_cpu: int, under_way: list[Run], queued: list[Run], now_ms: float) -> Forecast:
    ends = [ExpectedEnd(_predict_left(run, now_ms), run.start.cpu_millis) for run in under_way]
    queue = [
        QueuedRun(
            run.start.cpu_millis,
            float(run.start.estimate_ms or 0),
            run.due_ms <= now_ms + URGENT_MS,
        )
        for run in queued
    ]
    sizes = [run.start.cpu_millis for run in (*under_way, *queued)]
    usual_cpu = sum(sizes) // len(sizes) if sizes else 0
    return predict_starts(free_cpu, ends, queue, usual_cpu)


def _predict_left(run: Run, now_ms: float) -> float:
    """Return the expected time until the end of a run, by its progress if that is known."""
    seen_ms = run.progress_ms - run.started_ms
    if run.percent > 0 and seen_ms > 0:
        left_ms = seen_ms * (100 - run.percent) / run.percent - (now_ms - run.progress_ms)
    else:
        left_ms = float(run.start.estimate_ms or 0) - (now_ms - run.started_ms)
    return max(LEAST_LEFT_MS, left_ms)
