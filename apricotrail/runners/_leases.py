"""Whether leases may be renewed, and until when."""

from math import inf

from apricotrail.runners._gate_state import GateState
from apricotrail.runners._owners import find_wanted_ms
from apricotrail.runners._runs import RunPhase

__all__ = [
    "MIN_START_LEASE_MS",
    "find_lease_limit_ms",
    "has_lease_left",
    "may_renew",
    "record_lease_extension",
]

MIN_START_LEASE_MS = 400.0  # a run that starts with less would lapse before a stop is answered


def has_lease_left(gate: GateState) -> bool:
    """Return whether a run that starts now could have a lease of useful length."""
    return find_lease_limit_ms(gate) - gate._clock() >= MIN_START_LEASE_MS


def find_lease_limit_ms(gate: GateState) -> float:
    """Return the time, on the own clock, beyond which no lease may be extended now."""
    earliest_ms = inf
    alive_ms, queued = gate._owner_alive_ms, RunPhase.QUEUED
    for run in gate._runs.values():
        if run.phase is queued or run.stop_answered_ms is not None:
            continue
        wanted_ms = run.wanted_ms
        if wanted_ms is None:
            # Called many times for each run, so the usual case is looked up here.
            wanted_ms = alive_ms.get(run.owner) or find_wanted_ms(gate, run)
        earliest_ms = min(earliest_ms, wanted_ms)
    return earliest_ms + gate._limits.owner_grace_ms


def may_renew(gate: GateState) -> bool:
    """Return whether leases may be renewed."""
    now_ms = gate._clock()
    is_silent = now_ms - gate._heard_ms >= gate._limits.renew_silent_ms
    if gate._is_lapsing or is_silent or gate.losses.is_down:
        return False
    if now_ms >= find_lease_limit_ms(gate):
        return False
    has_runs = False
    for run in gate._runs.values():
        if run.phase is RunPhase.STOPPING:
            unanswered = run.stop_answered_ms is None
            if unanswered and now_ms >= run.stop_ordered_ms + gate._limits.stop_overdue_ms:
                return False
        if run.phase in (RunPhase.STARTING, RunPhase.RUNNING):
            has_runs = True
    return has_runs


def record_lease_extension(gate: GateState, asked_ms: float) -> None:
    """Record a call that may have extended the leases, whether it was answered or not."""
    until_ms = min(asked_ms + gate._limits.lease_ms, find_lease_limit_ms(gate))
    gate._lease_end_ms = max(gate._lease_end_ms, until_ms)
