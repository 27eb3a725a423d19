"""Outcomes of runs: records them, counts them and reports them to the owners."""

from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._health import HealthChange
from apricotrail.runners._runs import Run
from apricotrail.wire import bound_i32
from apricotrail.wire.generated.ttypes import RunOutcome, RunReason, RunState

__all__ = ["job_of", "log_health_change", "report_once", "report_refused", "step_of"]

RUN_REFUSED = declare_event(
    11003,
    "run_turned_away",
    Level.INFO,
    "The agent refused a run on its arrival, for the given reason, and reports this to its owner.",
)
RUN_OVER = declare_event(
    11004, "run_over", Level.INFO, "The outcome of a run is known: it ended or never ran."
)
RUNNER_HEALTH_CHANGED = declare_event(
    11006,
    "runner_health_changed",
    Level.WARNING,
    "The runner became unhealthy and gets only trial runs (check it if this lasts), or recovered.",
)


def _make_outcome(gate: GateState, run: Run, state: int, reason: int, run_ms: float) -> RunOutcome:
    highest = gate._records.highest_run(run.start.task)
    ordered_ms = run.ordered_ms or gate._clock()
    waited_ms = bound_i32(ordered_ms - run.received_ms)
    return RunOutcome(
        run.start.task, run.start.run, state, reason, bound_i32(run_ms), highest, waited_ms
    )


def report_once(gate: GateState, run: Run, state: int, reason: int, run_ms: float) -> None:
    """Record the outcome of a run and report it to its owner, unless that was done before."""
    if run.is_reported:
        return
    run.is_reported = True
    outcome = _make_outcome(gate, run, state, reason, run_ms)
    gate._records.add_outcome(outcome)
    gate.metrics.runs.add(RunState._VALUES_TO_NAMES.get(state, ""))
    gate.metrics.run_ms.observe(run_ms)
    gate.metrics.waited_ms.observe(outcome.waited_ms)
    emit(
        RUN_OVER,
        task=run.start.task,
        run=run.start.run,
        state=RunState._VALUES_TO_NAMES.get(state, ""),
        reason=RunReason._VALUES_TO_NAMES.get(reason, ""),
        run_ms=round(run_ms),
    )
    if run.owner is not None:
        gate._report(run.owner, outcome)


def report_refused(gate: GateState, run: Run, reason: int) -> None:
    """Record that a run was refused on its arrival and report that to its owner."""
    outcome = _make_outcome(gate, run, RunState.NOT_RUN, reason, 0.0)
    gate._records.add_outcome(outcome)
    gate.metrics.refused_runs.add(RunReason._VALUES_TO_NAMES.get(reason, ""))
    emit(
        RUN_REFUSED,
        task=run.start.task,
        run=run.start.run,
        reason=RunReason._VALUES_TO_NAMES.get(reason, ""),
    )
    if run.owner is not None:
        gate._report(run.owner, outcome)


def log_health_change(gate: GateState, change: HealthChange) -> None:
    """Log that the runner became healthy or unhealthy, if it did."""
    if change.became_healthy or change.became_unhealthy:
        runner = gate.runner.runner if gate.runner is not None else ""
        emit(RUNNER_HEALTH_CHANGED, runner=runner, healthy=change.became_healthy)


def job_of(run: Run) -> str:
    """Return the id of a run's job: the part of the task name before the first dot."""
    return run.start.task.partition(".")[0]


def step_of(task: str) -> str:
    """Return the name of a task's step: the task name up to its last dot."""
    return task.rpartition(".")[0]
