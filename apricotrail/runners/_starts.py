"""Starts of runs: the owners' messages and the runner's replies."""

from apricotrail.runners._capacity import find_refusal, finish_run, is_open, start_queued
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._leases import has_lease_left
from apricotrail.runners._outcomes import job_of, log_health_change, report_refused
from apricotrail.runners._owners import has_live_owner
from apricotrail.runners._runs import Owner, Run, RunKey, RunPhase, StartReply
from apricotrail.runners._stops import stop_run
from apricotrail.wire.generated.ttypes import RunReason, RunStart, RunState

__all__ = ["may_send_start", "receive_start", "receive_start_reply"]


def receive_start(gate: GateState, owner: Owner, start: RunStart, is_expired: bool) -> None:
    """Start a run, queue it, or report to its owner why it is refused."""
    key = (start.task, start.run)
    present = gate._runs.get(key)
    if present is not None:
        present.owner = owner
        return
    ended = gate._records.find_outcome(key)
    if ended is not None:
        gate._report(owner, ended)
        return
    run = Run(start, owner, gate._clock())
    reason = RunReason.EXPIRED if is_expired else find_refusal(gate, run)
    if reason is not None:
        report_refused(gate, run, reason)
        return
    gate._runs[key] = run
    start_queued(gate)
    if run.phase is RunPhase.QUEUED and not start.wait_ms:
        finish_run(gate, run, RunState.NOT_RUN, RunReason.FULL)


def may_send_start(gate: GateState, key: RunKey) -> bool:
    """Return whether the ordered start of a run may be sent, or sent again, now."""
    run = gate._runs.get(key)
    if run is None or run.phase is not RunPhase.STARTING:
        return False
    return is_open(gate) and has_lease_left(gate) and has_live_owner(gate, run)


def receive_start_reply(gate: GateState, key: RunKey, reply: StartReply) -> None:
    """Update a run from the runner's reply to its start order."""
    run = gate._runs.get(key)
    if run is None or run.phase is not RunPhase.STARTING:
        return
    if reply is StartReply.STARTED:
        run.may_have_run = True
        run.phase = RunPhase.RUNNING
        run.started_ms = run.progress_ms = gate._clock()
    elif reply is StartReply.UNANSWERED:
        # The order may be carried out later; the stop makes sure that it is not.
        stop_run(gate, run, RunReason.NONE)
    elif reply is StartReply.WITHDRAWN:
        finish_run(gate, run, RunState.NOT_RUN, RunReason.EXPIRED)
    elif reply is StartReply.SUPERSEDED:
        finish_run(gate, run, RunState.NOT_RUN, RunReason.SUPERSEDED)
    elif reply is StartReply.OTHER_BOOT or reply is StartReply.UNDELIVERED:
        finish_run(gate, run, RunState.NOT_RUN, RunReason.CLOSED)
    elif reply is StartReply.UNHEALTHY:
        log_health_change(gate, gate.health.record_failure(job_of(run)))
        finish_run(gate, run, RunState.NOT_RUN, RunReason.UNHEALTHY)
    else:
        finish_run(gate, run, RunState.NOT_RUN, RunReason.FULL)
