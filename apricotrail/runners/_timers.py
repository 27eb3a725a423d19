"""Periodic checks of a gate: silent owners, stalled runs, unconfirmed ends, lapsed leases."""

from math import inf

from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._boots import record_loss
from apricotrail.runners._capacity import finish_run, start_queued
from apricotrail.runners._doubts import review_ends
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._outcomes import job_of, log_health_change, report_once
from apricotrail.runners._owners import forget_owners
from apricotrail.runners._runs import Run, RunPhase
from apricotrail.runners._stops import stop_owned, stop_run
from apricotrail.wire.generated.ttypes import RunReason, RunState

__all__ = ["find_due_ms", "tick"]

LEASES_LAPSED = declare_event(
    11009,
    "leases_lapsed",
    Level.WARNING,
    "The runner was unreachable for a whole lease; its runs are lost. Check the runner.",
)


def tick(gate: GateState) -> None:
    """Stop runs that stalled or have no live owner, and refuse those queued for too long."""
    now_ms = gate._clock()
    limits = gate._limits
    for owner, alive_ms in list(gate._owner_alive_ms.items()):
        if now_ms - alive_ms >= limits.owner_silent_ms:
            del gate._owner_alive_ms[owner]
            gate._silent_since_ms[owner] = alive_ms
            forget_owners(gate)
            stop_owned(gate, owner, RunReason.OWNER_SILENT)
    review_ends(gate, now_ms)
    for run in list(gate._runs.values()):
        if run.phase is RunPhase.QUEUED and now_ms >= run.queued_until_ms:
            finish_run(gate, run, RunState.NOT_RUN, RunReason.FULL)
        elif run.owner is None and run.phase is RunPhase.RUNNING:
            if now_ms - gate._created_ms >= limits.claim_window_ms:
                stop_run(gate, run, RunReason.OWNER_SILENT)
        elif _is_stalled(gate, run, now_ms):
            log_health_change(gate, gate.health.record_failure(job_of(run)))
            stop_run(gate, run, RunReason.STALLED)
    _lapse_unreachable(gate, now_ms)
    start_queued(gate)


def find_due_ms(gate: GateState) -> float:
    """Return the time, on the own clock, from which on `tick` has something to do.

    It may be too early, but not too late unless runs, claims or stops arrive meanwhile.
    """
    runs = gate._runs.values()
    if not runs and not gate._is_lapsing and not len(gate._unconfirmed):
        return inf
    owners = {run.owner for run in runs} | gate._unconfirmed.list_owners()
    alive_ms = gate._owner_alive_ms
    if gate._is_lapsing or not all(owner in alive_ms for owner in owners):
        return 0.0
    if any(run.phase is RunPhase.QUEUED for run in runs):
        return 0.0
    limits = gate._limits
    silent_ms = min((alive_ms[owner] for owner in owners), default=inf) + limits.owner_silent_ms
    progress_ms = (run.progress_ms for run in runs if run.phase is RunPhase.RUNNING)
    stalled_ms = min(progress_ms, default=inf) + limits.stall_ms
    lapsed_ms = max(gate._lease_end_ms, gate._listing_asked_ms + limits.lease_ms)
    return min(silent_ms, stalled_ms, lapsed_ms)


def _is_stalled(gate: GateState, run: Run, now_ms: float) -> bool:
    """Return whether a run shows no progress although its runner sent a listing recently."""
    stall_ms = gate._limits.stall_ms
    is_listed = now_ms - gate._listing_asked_ms < stall_ms
    return run.phase is RunPhase.RUNNING and is_listed and now_ms - run.progress_ms >= stall_ms


def _lapse_unreachable(gate: GateState, now_ms: float) -> None:
    """Report the runs of an unreachable runner as lost once their leases must have lapsed."""
    if now_ms < gate._lease_end_ms or now_ms - gate._listing_asked_ms < gate._limits.lease_ms:
        return
    lapsed = [
        run
        for run in gate._runs.values()
        if run.phase in (RunPhase.STARTING, RunPhase.RUNNING, RunPhase.STOPPING)
    ]
    if lapsed:
        emit(
            LEASES_LAPSED,
            runs=len(lapsed),
            listed_ms_ago=round(now_ms - gate._listing_asked_ms),
        )
        # The runner refuses unanswered orders that arrive later, since their token is lower.
        gate.fence += 1
        record_loss(gate, gate.boot, lapsed)
    for run in lapsed:
        run.phase = RunPhase.LAPSED
        run.wanted_ms = -inf
        report_once(gate, run, RunState.LOST, RunReason.NONE, 0.0)
