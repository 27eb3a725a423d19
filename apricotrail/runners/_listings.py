"""Updates the runs from the runner's lists of running and ended runs."""

from apricotrail.runners._boots import check_id, enter_boot
from apricotrail.runners._capacity import finish_run, start_queued
from apricotrail.runners._claims import stop_unseen_claims
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._outcomes import job_of, log_health_change
from apricotrail.runners._runs import EndedRow, Listing, Run, RunKey, RunPhase
from apricotrail.runners._stops import stop_run
from apricotrail.wire.generated.ttypes import RunOutcome, RunReason, RunStart, RunState

__all__ = ["receive_listing"]

_STATE_BY_END = {"done": RunState.DONE, "failed": RunState.FAILED, "stopped": RunState.STOPPED}


def receive_listing(gate: GateState, listing: Listing, asked_ms: float) -> None:
    """Update the runs from the runner's lists of running and ended runs."""
    if listing.boot < gate.boot:
        return
    gate._announcements.note_clock(listing.boot, listing.clock_ms, asked_ms)
    enter_boot(gate, listing.boot)
    check_id(gate, listing)
    gate.losses.note_answer()
    gate.losses.note_boot(listing.boot)
    now_ms = gate._heard_ms = gate._clock()
    gate._listing_asked_ms = max(gate._listing_asked_ms, asked_ms)
    for row in listing.ended:
        if row.number > gate.highest_end:
            gate.highest_end = row.number
            _apply_end(gate, row)
    running = {(row.task, row.run): row for row in listing.running}
    for key, row in running.items():
        _update_running(gate, key, row.percent, now_ms)
    for run in [it for it in gate._runs.values() if it.key not in running]:
        _end_absent(gate, run, asked_ms)
    gate._has_listing = True
    stop_unseen_claims(gate)
    start_queued(gate)


def _apply_end(gate: GateState, row: EndedRow) -> None:
    run = gate._runs.get((row.task, row.run))
    if run is None:
        # A former agent ordered this run. Its owner asks for the outcome with its next claim.
        state = _STATE_BY_END.get(row.end_state, RunState.LOST)
        # A run that this agent has reported as lost had no lease any more, so its end is void.
        is_found = gate._records.find_outcome((row.task, row.run)) is None
        if state == RunState.DONE and is_found:
            gate._unconfirmed.add(row.number, None, (row.task, row.run))
        gate._records.add_outcome(
            RunOutcome(row.task, row.run, state, RunReason.NONE, 0, row.run, 0)
        )
        return
    run_ms = gate._clock() - run.started_ms
    if row.end_state == "done":
        # A run already reported as lost gets no second outcome that its owner could confirm.
        if not run.is_reported:
            gate._unconfirmed.add(row.number, run.owner, run.key)
        if run.owner is not None:
            log_health_change(gate, gate.health.record_success(run_ms, run.start.estimate_ms or 0))
        finish_run(gate, run, RunState.DONE, RunReason.NONE, run_ms)
    elif row.end_state == "failed":
        log_health_change(gate, gate.health.record_failure(job_of(run)))
        finish_run(gate, run, RunState.FAILED, RunReason.NONE, run_ms)
    elif row.end_state == "stopped":
        finish_run(gate, run, RunState.STOPPED, run.stop_reason, run_ms)
    else:
        finish_run(gate, run, RunState.LOST, run.stop_reason, run_ms)


def _update_running(gate: GateState, key: RunKey, percent: int, now_ms: float) -> None:
    run = gate._runs.get(key)
    if run is None:
        # The run predates this agent, or was given up as lost: its owner must claim it. It is
        # kept for that if the first listing shows it, and stopped if a later one does.
        run = Run(RunStart(*key, b"", 0, 0, 0, 0, 0), None, now_ms)
        run.phase = RunPhase.RUNNING
        run.has_known_size = False
        gate._runs[key] = run
        if gate._has_listing:
            stop_run(gate, run, RunReason.UNKNOWN_RUN)
        return
    run.may_have_run = True
    if run.phase is RunPhase.LAPSED:
        run.phase = RunPhase.RUNNING
        stop_run(gate, run, RunReason.UNKNOWN_RUN)
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
        run.started_ms = run.progress_ms = now_ms
    if percent != run.percent:
        run.percent, run.progress_ms = percent, now_ms


def _end_absent(gate: GateState, run: Run, asked_ms: float) -> None:
    """End a run that is missing from a listing, if that proves that it will not run."""
    if run.phase is RunPhase.LAPSED:
        finish_run(gate, run, RunState.LOST, RunReason.NONE)
    elif run.phase is RunPhase.STOPPING:
        answered_ms = run.stop_answered_ms
        if answered_ms is not None and asked_ms >= answered_ms:
            state = RunState.LOST if run.may_have_run else RunState.NOT_RUN
            finish_run(gate, run, state, run.stop_reason)
    elif run.phase is RunPhase.RUNNING and asked_ms > run.started_ms:
        finish_run(gate, run, RunState.LOST, RunReason.NONE)
