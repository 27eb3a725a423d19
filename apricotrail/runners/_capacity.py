"""Capacity of the runner and the queue of runs that wait for it."""

from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._leases import has_lease_left
from apricotrail.runners._load import sum_resources
from apricotrail.runners._outcomes import report_once, step_of
from apricotrail.runners._owners import has_live_owner
from apricotrail.runners._runs import Order, OrderKind, Run, RunPhase
from apricotrail.wire.generated.ttypes import RunReason, RunStart, RunState

__all__ = [
    "find_refusal",
    "finish_run",
    "is_open",
    "refuse_oversized",
    "refuse_queued",
    "start_queued",
]

MAX_QUEUED_RUNS = 256

RUN_ORDERED = declare_event(
    11002, "run_ordered", Level.INFO, "The agent ordered the runner to start a run."
)


def is_open(gate: GateState) -> bool:
    """Return whether runs may start, as far as that depends on the runner and its zone."""
    runner = gate.runner
    return (
        runner is not None
        and runner.boot == gate.boot
        and not runner.leaving
        and gate.zone_open
        and not gate.stopping
        and not gate._is_lapsing
        and not gate.losses.is_down
        and gate._has_listing
        and gate._clock() - gate._listing_asked_ms < gate._limits.listing_stale_ms
    )


def start_queued(gate: GateState) -> None:
    """Start isolated runs first, then by `Run.effective_due_ms`, until one can't start.

    A run that only waits for others of its step doesn't hold up those behind it.
    """
    queued = [run for run in gate._runs.values() if run.phase is RunPhase.QUEUED]
    if not queued:
        return
    now_ms = gate._clock()
    queued.sort(key=lambda run: (not run.start.isolated, run.effective_due_ms(now_ms)))
    for run in queued:
        if not has_live_owner(gate, run) or _is_step_full(gate, run.start):
            continue
        if not _start_run(gate, run):
            return


def _is_step_full(gate: GateState, start: RunStart) -> bool:
    """Return whether as many runs of the step may be running as may at one runner.

    Owners count only their own runs. Another one may have begun the same job before, and a run that
    its owner gave up as lost may still be here.
    """
    if not start.max_per_runner:
        return False
    step = step_of(start.task)
    count = sum(step_of(run.start.task) == step for run in gate.list_running())
    return count >= start.max_per_runner


def _start_run(gate: GateState, run: Run) -> bool:
    """Order the start of a run if capacity allows; return whether it was ordered.

    Nothing starts beside a run of unknown size, nor beside an isolated run, which itself starts
    only while nothing runs.
    """
    if not is_open(gate) or not has_lease_left(gate):
        return False
    if not all(it.has_known_size for it in gate._runs.values()):
        return False
    running = gate.list_running()
    if running and (run.start.isolated or any(it.start.isolated for it in running)):
        return False
    used_cpu_millis, used_memory_mb = sum_resources(running)
    if used_cpu_millis + run.start.cpu_millis > gate.runner.cpu_millis:
        return False
    if used_memory_mb + run.start.memory_mb > gate.runner.memory_mb:
        return False
    allowed_trials = gate.health.allowed_trials()
    if allowed_trials == 0:
        return False
    if allowed_trials > 0:
        gate.health.record_trial()
    run.phase = RunPhase.STARTING
    run.ordered_ms = gate._clock()
    gate._records.record_run_number(run.start.task, run.start.run)
    gate._order(Order(OrderKind.START, *run.key, run.start.spec or b""))
    emit(
        RUN_ORDERED,
        task=run.start.task,
        run=run.start.run,
        owner=run.owner.name if run.owner is not None else "",
        used_cpu=used_cpu_millis,
        waited_ms=round(run.ordered_ms - run.received_ms),
    )
    return True


def find_refusal(gate: GateState, run: Run) -> int | None:
    """Return the reason for which a run is refused on its arrival, None if it isn't."""
    start = run.start
    if gate.stopping:
        return RunReason.STOPPING
    if not is_open(gate):
        return RunReason.CLOSED
    if gate._records.highest_run(start.task) >= start.run:
        return RunReason.SUPERSEDED
    if not _fits_runner(gate, start):
        return RunReason.FULL
    if gate.health.allowed_trials() == 0:
        return RunReason.UNHEALTHY
    if sum(it.phase is RunPhase.QUEUED for it in gate._runs.values()) >= MAX_QUEUED_RUNS:
        return RunReason.FULL
    return None


def _fits_runner(gate: GateState, start: RunStart) -> bool:
    runner = gate.runner
    return start.cpu_millis <= runner.cpu_millis and start.memory_mb <= runner.memory_mb


def refuse_queued(gate: GateState, reason: int) -> None:
    """Report all queued runs as not run, for the given reason."""
    for run in [it for it in gate._runs.values() if it.phase is RunPhase.QUEUED]:
        finish_run(gate, run, RunState.NOT_RUN, reason)


def refuse_oversized(gate: GateState) -> None:
    """Refuse the queued runs that no longer fit the runner, whose capacity may shrink."""
    for run in [it for it in gate._runs.values() if it.phase is RunPhase.QUEUED]:
        if not _fits_runner(gate, run.start):
            finish_run(gate, run, RunState.NOT_RUN, RunReason.FULL)


def finish_run(gate: GateState, run: Run, state: int, reason: int, run_ms: float = 0.0) -> None:
    """Remove a run that has certainly ended, report its outcome, and use the capacity it frees."""
    gate._runs.pop(run.key, None)
    report_once(gate, run, state, reason, run_ms)
    start_queued(gate)
