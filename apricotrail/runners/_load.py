"""Builds the load reports about a runner: its capacity, health and expected waits."""

from collections.abc import Iterable

from apricotrail.runners._forecast import ExpectedEnd, Forecast, QueuedRun, predict_starts
from apricotrail.runners._health import RunnerHealth
from apricotrail.runners._runs import Run, RunnerReport, RunPhase
from apricotrail.wire import bound_i32
from apricotrail.wire.generated.ttypes import RunnerLoad

__all__ = ["describe_load", "describe_unknown_runner", "sum_resources"]

URGENT_MS = 250.0  # the dispatchers' admission separates urgent jobs by the same limit
MIN_REMAINING_MS = 5.0


def describe_unknown_runner(received: int, now_ms: float) -> RunnerLoad:
    """Return the load of an agent whose runner has not announced itself."""
    return RunnerLoad(
        "", 0, "", "", [], 0, 0, 0, 0, 0, False, -1, 0.0, received, int(now_ms), 0, 0, 0, 0, 0, 0
    )


def describe_load(
    runner: RunnerReport,
    runs: list[Run],
    accepting: bool,
    health: RunnerHealth,
    received: int,
    now_ms: float,
) -> RunnerLoad:
    """Return the load of a runner for one owner.

    Parameters
    ----------
    runner : RunnerReport
        Latest announcement of the runner.
    runs : list of Run
        Runs that are queued or may be running at the runner.
    accepting : bool
        Whether new runs may start.
    health : RunnerHealth
        Health of the runner.
    received : int
        Number of starts received from the owner on its present link.
    now_ms : float
        Present time on the agent's clock.
    """
    queued = sorted(
        (run for run in runs if run.phase is RunPhase.QUEUED),
        key=lambda run: run.effective_due_ms(now_ms),
    )
    running = [run for run in runs if run.phase is not RunPhase.QUEUED]
    used_cpu_millis, _ = sum_resources(running)
    committed_cpu_millis, committed_memory_mb = sum_resources(runs)
    remaining_ms = [_predict_remaining_ms(run, now_ms) for run in running]
    free_cpu_millis = runner.cpu_millis - used_cpu_millis
    forecast = _predict(free_cpu_millis, running, remaining_ms, queued, now_ms)
    return RunnerLoad(
        runner.runner,
        runner.boot,
        runner.pool,
        runner.zone,
        list(runner.labels),
        bound_i32(runner.cpu_millis),
        bound_i32(runner.memory_mb),
        bound_i32(runner.cpu_millis - committed_cpu_millis),
        bound_i32(runner.memory_mb - committed_memory_mb),
        bound_i32(committed_cpu_millis - used_cpu_millis),
        accepting,
        health.allowed_trials(),
        health.slowness(),
        received,
        int(now_ms),
        len(queued),
        bound_i32(forecast.next_start_ms),
        bound_i32(forecast.urgent_start_ms),
        bound_i32(forecast.spacing_ms),
        bound_i32(_predict_idle_ms(remaining_ms, queued)),
        sum(bool(run.start.isolated) for run in runs),
    )


def sum_resources(runs: Iterable[Run]) -> tuple[int, int]:
    """Return the processor capacity, in millicores, and the memory, in MB, of runs."""
    cpu_millis = memory_mb = 0
    for run in runs:
        cpu_millis += run.start.cpu_millis
        memory_mb += run.start.memory_mb
    return cpu_millis, memory_mb


def _predict(
    free_cpu_millis: int,
    running: list[Run],
    remaining_ms: list[float],
    queued: list[Run],
    now_ms: float,
) -> Forecast:
    cpu_millis = [run.start.cpu_millis for run in running]
    ends = list(map(ExpectedEnd, remaining_ms, cpu_millis))
    queue = [
        QueuedRun(
            run.start.cpu_millis,
            float(run.start.estimate_ms or 0),
            run.due_ms <= now_ms + URGENT_MS,
        )
        for run in queued
    ]
    sizes = [*cpu_millis, *(run.start.cpu_millis for run in queued)]
    typical_cpu_millis = sum(sizes) // len(sizes) if sizes else 0
    return predict_starts(free_cpu_millis, ends, queue, typical_cpu_millis)


def _predict_idle_ms(remaining_ms: list[float], queued: list[Run]) -> float:
    """Return the expected time until the running runs and the queued isolated ones have ended."""
    isolated_ms = sum(run.start.estimate_ms or 0 for run in queued if run.start.isolated)
    return max(remaining_ms, default=0.0) + isolated_ms


def _predict_remaining_ms(run: Run, now_ms: float) -> float:
    """Return the expected time until the end of a run, from its progress if that is known."""
    elapsed_ms = run.progress_ms - run.started_ms
    if run.percent > 0 and elapsed_ms > 0:
        remaining_ms = elapsed_ms * (100 - run.percent) / run.percent - (now_ms - run.progress_ms)
    else:
        remaining_ms = float(run.start.estimate_ms or 0) - (now_ms - run.started_ms)
    return max(MIN_REMAINING_MS, remaining_ms)
