"""Stops of runs, ordered by their owners or by the agent."""

from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._capacity import finish_run
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._owners import find_silence_ms, find_wanted_ms
from apricotrail.runners._runs import Order, OrderKind, Owner, Run, RunKey, RunPhase
from apricotrail.wire.generated.ttypes import RunOutcome, RunReason, RunStart, RunState

__all__ = ["receive_stop", "receive_stop_reply", "stop_owned", "stop_run"]

RUN_STOP_ORDERED = declare_event(
    11005, "run_stop_ordered", Level.INFO, "The agent ordered the runner to stop a run."
)
RUN_OWNER_GONE = declare_event(
    11007,
    "run_owner_gone",
    Level.WARNING,
    "A dispatcher is silent or was replaced by a new process; its runs here are being stopped.",
)


def stop_run(gate: GateState, run: Run, reason: int) -> None:
    """Order the stop of a run, or refuse it if it is queued; one that is being stopped goes on."""
    if run.phase is RunPhase.QUEUED:
        finish_run(gate, run, RunState.NOT_RUN, reason)
        return
    if run.phase in (RunPhase.STOPPING, RunPhase.LAPSED):
        return
    run.wanted_ms = find_wanted_ms(gate, run)
    run.phase = RunPhase.STOPPING
    run.stop_reason = reason
    run.stop_ordered_ms = gate._clock()
    gate._order(Order(OrderKind.STOP, *run.key))
    emit(
        RUN_STOP_ORDERED,
        task=run.start.task,
        run=run.start.run,
        reason=RunReason._VALUES_TO_NAMES.get(reason, ""),
        owner_alive_ms_ago=find_silence_ms(gate, run),
        lease_left_ms=round(gate._lease_end_ms - run.stop_ordered_ms),
    )


def stop_owned(gate: GateState, owner: Owner, reason: int) -> None:
    """Stop all runs of an owner."""
    owned = [run for run in gate._runs.values() if run.owner == owner]
    if owned:
        emit(RUN_OWNER_GONE, owner=owner.name, incarnation=owner.incarnation, runs=len(owned))
    for run in owned:
        stop_run(gate, run, reason)


def receive_stop(gate: GateState, owner: Owner, keys: list[RunKey]) -> None:
    """Stop runs at the request of their owner."""
    for key in keys:
        run = gate._runs.get(key)
        if run is None and not gate._has_listing and gate._records.find_outcome(key) is None:
            run = _track_unseen_stop(gate, owner, key)
        if run is not None:
            run.owner = run.owner or owner
            stop_run(gate, run, RunReason.NONE)
            continue
        outcome = gate._records.find_outcome(key)
        if outcome is None:
            outcome = RunOutcome(*key, RunState.NOT_RUN, RunReason.UNKNOWN_RUN, 0, 0, 0)
            gate._records.add_outcome(outcome)
        gate._report(owner, outcome)


def _track_unseen_stop(gate: GateState, owner: Owner, key: RunKey) -> Run:
    """Track a run that is to be stopped, of which a former agent alone knew the size."""
    run = gate._runs[key] = Run(RunStart(*key, b"", 0, 0, 0, 0, 0), owner, gate._clock())
    run.phase = RunPhase.STARTING
    run.may_have_run = True
    run.has_known_size = False
    return run


def receive_stop_reply(gate: GateState, key: RunKey, answered: bool) -> None:
    """Update a run after its stop order, which is repeated if it was not answered."""
    run = gate._runs.get(key)
    if run is None or run.phase is not RunPhase.STOPPING:
        return
    if answered:
        run.stop_answered_ms = gate._clock()
    else:
        gate._order(Order(OrderKind.STOP, *key))
