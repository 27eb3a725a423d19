"""Signs of life of the owners of runs, and how long each run is known to be wanted."""

from math import inf

from apricotrail.runners._gate_state import GateState
from apricotrail.runners._runs import Owner, Run

__all__ = ["find_silence_ms", "find_wanted_ms", "has_live_owner", "record_owner_alive"]


def record_owner_alive(gate: GateState, owner: Owner, alive_ms: float) -> None:
    """Record that an owner was alive at `alive_ms` of the own clock."""
    known_ms = gate._owner_alive_ms.get(owner, 0.0)
    gate._owner_alive_ms[owner] = max(known_ms, alive_ms)
    gate._silent_since_ms.pop(owner, None)


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
