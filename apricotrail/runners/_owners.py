"""Signs of life of the owners of runs, and how long each run is known to be wanted."""

from math import inf

from apricotrail.runners._gate_state import GateState
from apricotrail.runners._runs import Owner, Run

__all__ = [
    "find_silence_ms",
    "find_wanted_ms",
    "forget_owners",
    "has_live_owner",
    "record_linked",
    "record_owner_alive",
]

MAX_SILENT_OWNERS = 1_024  # more than there are dispatchers


def record_owner_alive(gate: GateState, owner: Owner, alive_ms: float) -> None:
    """Record that an owner was alive, and heard this agent, at `alive_ms` of the own clock."""
    record_linked(gate, owner, alive_ms)
    if owner in gate._owner_heard_ms:
        gate._owner_heard_ms[owner] = max(gate._owner_heard_ms[owner], alive_ms)


def record_linked(gate: GateState, owner: Owner, alive_ms: float) -> None:
    """Record that an owner's link came up, on which it may not have heard anything yet."""
    known_ms = gate._owner_alive_ms.get(owner, 0.0)
    gate._owner_alive_ms[owner] = max(known_ms, alive_ms)
    gate._silent_since_ms.pop(owner, None)


def forget_owners(gate: GateState) -> None:
    """Forget the owners that have been silent for longest, if there are too many."""
    while len(gate._silent_since_ms) > MAX_SILENT_OWNERS:
        del gate._silent_since_ms[next(iter(gate._silent_since_ms))]
    if len(gate._owner_heard_ms) <= MAX_SILENT_OWNERS:
        return
    in_use = gate._unconfirmed.list_owners() | gate._owner_alive_ms.keys()
    gate._owner_heard_ms = {it: at_ms for it, at_ms in gate._owner_heard_ms.items() if it in in_use}


def has_live_owner(gate: GateState, run: Run) -> bool:
    """Return whether the owner of a run showed a sign of life less than `owner_silent_ms` ago."""
    alive_ms = _find_alive_ms(gate, run.owner)
    return alive_ms is not None and gate._clock() - alive_ms < gate._limits.owner_silent_ms


def find_silence_ms(gate: GateState, run: Run) -> int | None:
    """Return the time since the last sign of life of a run's owner, None if none is known."""
    alive_ms = _find_alive_ms(gate, run.owner)
    return None if alive_ms is None else round(gate._clock() - alive_ms)


def _find_alive_ms(gate: GateState, owner: Owner | None) -> float | None:
    if owner is None:
        return None
    return gate._owner_alive_ms.get(owner, gate._silent_since_ms.get(owner))


def find_wanted_ms(gate: GateState, run: Run) -> float:
    """Return the latest time at which the owner of a run is known to have wanted it."""
    if run.wanted_ms is not None:
        return run.wanted_ms
    alive_ms = _find_alive_ms(gate, run.owner)
    return -inf if alive_ms is None else alive_ms
