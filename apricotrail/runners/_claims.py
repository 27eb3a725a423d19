"""Claims of owners on the runs at this agent, and new processes of owners."""

from collections.abc import Collection

from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._doubts import note_released
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._owners import record_linked, record_owner_alive
from apricotrail.runners._runs import Owner, Run, RunKey, RunPhase
from apricotrail.runners._stops import stop_owned, stop_run
from apricotrail.wire.generated.ttypes import RunReason, RunStart

__all__ = ["receive_claim", "replace_owner", "stop_unseen_claims"]

RUNS_ADOPTED = declare_event(
    11008,
    "runs_adopted",
    Level.INFO,
    "A dispatcher claimed the runs it believes to be here; mismatches are stopped.",
)


def replace_owner(gate: GateState, owner: Owner, alive_ms: float | None = None) -> None:
    """Record that an owner's process is linked and stop the runs of its former incarnations."""
    record_linked(gate, owner, gate._clock() if alive_ms is None else alive_ms)
    former = {run.owner for run in gate._runs.values() if run.owner is not None}
    for other in former:
        if _is_former(other, owner):
            stop_owned(gate, other, RunReason.OWNER_SILENT)
            gate._owner_alive_ms.pop(other, None)
    for other in gate._unconfirmed.list_owners():
        if other is not None and _is_former(other, owner):
            _resolve_replaced(gate, other)


def _is_former(other: Owner, owner: Owner) -> bool:
    """Return whether `owner` is a later process of the dispatcher `other`.

    An earlier one that is linked late, after a pause, replaces nothing: the later one goes on.
    """
    return other.name == owner.name and other.incarnation < owner.incarnation


def _resolve_replaced(gate: GateState, former: Owner) -> None:
    """Release the ends of a process that was replaced, unless it may have written them off.

    The jobs were lost with it, so nothing starts their tasks again from now on.
    """
    if former not in gate._owner_heard_ms:
        gate._unconfirmed.match_claim(former, ())
        return
    gate._owner_alive_ms.pop(former, None)
    gate._replaced_ms.setdefault(former, gate._clock())


def receive_claim(
    gate: GateState,
    owner: Owner,
    starts: list[RunStart],
    alive_ms: float | None = None,
    written_off: list[RunKey] | None = None,
    taken: list[RunKey] | None = None,
) -> None:
    """Reconcile the runs that an owner believes to be here with those that are."""
    heard_ms = gate._clock() if alive_ms is None else alive_ms
    claimed = {(start.task, start.run): start for start in starts}
    _note_write_offs(gate, owner, claimed, written_off)
    if written_off is not None:
        gate._owner_heard_ms.setdefault(owner, heard_ms)
    record_owner_alive(gate, owner, heard_ms)
    note_released(gate, "taken", gate._unconfirmed.confirm(set(taken or ())))
    note_released(gate, "claim", gate._unconfirmed.match_claim(owner, claimed))
    for run in list(gate._runs.values()):
        if run.owner is None and run.key in claimed:
            run.owner, run.start, run.has_known_size = owner, claimed[run.key], True
        elif run.owner == owner and run.key not in claimed:
            stop_run(gate, run, RunReason.UNKNOWN_RUN)
    if claimed:
        emit(RUNS_ADOPTED, owner=owner.name, claimed=len(claimed), present=len(gate._runs))
    for key in claimed:
        ended = gate._records.find_outcome(key)
        if ended is not None:
            gate._report(owner, ended)
        elif key not in gate._runs:
            _track_unseen_claim(gate, owner, claimed[key])


def _note_write_offs(
    gate: GateState,
    owner: Owner,
    claimed: Collection[RunKey],
    written_off: list[RunKey] | None,
) -> None:
    """Record what an owner wrote off: all that it doesn't claim, if its list was too long."""
    if written_off is not None:
        gate._unconfirmed.note_written_off(written_off)
    elif owner in gate._owner_heard_ms:
        unclaimed = [key for key in gate._unconfirmed.list_keys(owner) if key not in claimed]
        gate._unconfirmed.note_written_off(unclaimed)


def _track_unseen_claim(gate: GateState, owner: Owner, start: RunStart) -> None:
    """Track a claimed run that this agent does not know; a former agent may have ordered it.

    The run is stopped to make its state certain, but not before the first listing shows whether
    it is running. A run missing from the listing may have run: the former agent may have
    acknowledged its end.
    """
    run = Run(start, owner, gate._clock())
    run.phase = RunPhase.STARTING
    run.may_have_run = True
    gate._runs[run.key] = run
    if gate._has_listing:
        stop_run(gate, run, RunReason.UNKNOWN_RUN)
    else:
        gate._unseen_claims.append(run)


def stop_unseen_claims(gate: GateState) -> None:
    """Stop the claimed runs that are missing from the first listing."""
    unseen, gate._unseen_claims = gate._unseen_claims, []
    for run in unseen:
        if run.phase is RunPhase.STARTING and gate._runs.get(run.key) is run:
            stop_run(gate, run, RunReason.UNKNOWN_RUN)
