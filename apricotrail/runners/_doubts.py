"""Decides when the ends of silent owners may be acknowledged, and when leases must lapse for them.

An end whose owner is silent is in doubt while it isn't known whether the owner has written its run
off. It only keeps its place in the runner's list then; leases are renewed, and runs of other owners
go on. docs/design/uncertain-ends.md has the proof for each way in which an end is released, and
says when the leases are left to lapse as the last resort: ends that are not acknowledged before
that are void. For owners of older releases that is done at once, as their claims don't tell what
they wrote off.
"""

from collections.abc import Mapping

from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._runs import Owner
from apricotrail.runners._unconfirmed import CONTACT_AFTER_SILENCE_MS

__all__ = ["note_released", "review_ends"]

MAX_HELD_ENDS = 200  # a runner lists 500 ends
MAX_DOUBT_MS = 10_000.0
UNRESOLVED_AFTER_CONTACT_MS = 1_000.0  # an owner that is alive has linked again by then

ENDS_IN_DOUBT = declare_event(
    11010,
    "ends_in_doubt",
    Level.WARNING,
    "Ends of silent owners can't be resolved, so leases are not renewed until they have lapsed, "
    "for the given reason, or this is over. Runs of others at this runner may be lost.",
)
ENDS_HELD = declare_event(
    11016,
    "ends_held",
    Level.WARNING,
    "Ends of done runs are not acknowledged, since their owners and control are silent; other runs "
    "go on. Check the dispatchers named, and control.",
)
ENDS_RELEASED = declare_event(
    11017,
    "ends_released",
    Level.INFO,
    "Ends of silent owners may be acknowledged now: how says what resolved them (claim, taken, "
    "contact, replaced, or void, as their lease is over).",
)


def review_ends(gate: GateState, now_ms: float) -> None:
    """Release ends of silent owners that can't start their tasks again.

    The runner may be told to forget a released end. After the leases have lapsed, all are released.
    """
    if not len(gate._unconfirmed):
        gate._replaced_ms.clear()
    silent_since_ms = _find_silent(gate, now_ms)
    old = {it: at_ms for it, at_ms in silent_since_ms.items() if not _tells_write_offs(gate, it)}
    contact_ms = gate.quorum_contact_ms()
    gate._unconfirmed.release_silent(old, contact_ms)
    informed = {
        it: _find_heard_ms(gate, it, at_ms)
        for it, at_ms in silent_since_ms.items()
        if it not in old
    }
    _release_certain(gate, informed)
    _note_contact(gate, contact_ms, now_ms)
    waiting = gate._unconfirmed.list_owners()
    _note_doubts(gate, {it: at_ms for it, at_ms in informed.items() if it in waiting}, now_ms)
    reason = _find_reason_to_lapse(gate, old, informed, now_ms)
    if now_ms >= gate._lease_end_ms:
        _release_void(gate, set(informed), reason)
        reason = ""
    gate.has_held_ends = any(owner in silent_since_ms for owner in gate._unconfirmed.list_owners())
    _set_lapsing(gate, reason, now_ms)


def note_released(gate: GateState, how: str, count: int) -> None:
    """Count and log ends of silent owners that were released."""
    if not count:
        return
    gate.metrics.released_ends.add(how, count)
    emit(ENDS_RELEASED, how=how, ends=count, left=len(gate._unconfirmed))


def _find_silent(gate: GateState, now_ms: float) -> dict[Owner | None, float]:
    """Return the silent owners of unconfirmed ends, and since when; None for ends just found."""
    silent_since_ms: dict[Owner | None, float] = {
        owner: gate._silent_since_ms.get(owner, gate._created_ms)
        for owner in gate._unconfirmed.list_owners()
        if owner is not None and owner not in gate._owner_alive_ms
    }
    if now_ms - gate._created_ms >= gate._limits.claim_window_ms:
        silent_since_ms[None] = gate._created_ms
    return silent_since_ms


def _tells_write_offs(gate: GateState, owner: Owner | None) -> bool:
    """Return whether an owner's claims name what it wrote off.

    The owner of an end that was found may be any one that has not claimed yet. As long as none has
    claimed that does, no lease is renewed, or all owners may be older ones.
    """
    return owner in gate._owner_heard_ms if owner is not None else bool(gate._owner_heard_ms)


def _find_heard_ms(gate: GateState, owner: Owner | None, silent_since_ms: float) -> float:
    """Return the latest time by which the owner is known to have heard this agent."""
    return gate._owner_heard_ms[owner] if owner is not None else silent_since_ms


def _release_certain(gate: GateState, informed: Mapping[Owner | None, float]) -> None:
    """Release the ends of owners that can't have written them off, by the witnesses in control."""
    for owner, heard_ms in informed.items():
        if owner is None:
            continue
        witnessed_ms = gate.witness_contact_ms(heard_ms)
        replaced_ms = gate._replaced_ms.get(owner)
        if replaced_ms is not None and witnessed_ms >= replaced_ms:
            note_released(gate, "replaced", gate._unconfirmed.release_owned({owner}))
        elif witnessed_ms >= heard_ms + CONTACT_AFTER_SILENCE_MS:
            note_released(gate, "contact", gate._unconfirmed.release_owned({owner}))


def _note_contact(gate: GateState, contact_ms: float, now_ms: float) -> None:
    """Record since when there has been contact with a majority of control."""
    if now_ms - contact_ms >= gate._limits.in_doubt_after_ms:
        gate._contact_since_ms = None
    elif gate._contact_since_ms is None:
        gate._contact_since_ms = now_ms


def _note_doubts(gate: GateState, informed: Mapping[Owner | None, float], now_ms: float) -> None:
    """Record which owners' ends are in doubt, and since when."""
    after_ms = gate._limits.in_doubt_after_ms
    doubted = {
        owner
        for owner, heard_ms in informed.items()
        if owner is None or now_ms - max(gate.witness_contact_ms(heard_ms), heard_ms) >= after_ms
    }
    had_doubts = bool(gate._doubted_since_ms)
    gate._doubted_since_ms = {owner: gate._doubted_since_ms.get(owner, now_ms) for owner in doubted}
    if had_doubts != bool(doubted):
        owners = sorted(owner.name if owner is not None else "" for owner in doubted)
        emit(ENDS_HELD, held=bool(doubted), ends=len(gate._unconfirmed), owners=owners)


def _find_reason_to_lapse(
    gate: GateState,
    old: Mapping[Owner | None, float],
    informed: Mapping[Owner | None, float],
    now_ms: float,
) -> str:
    """Return why the leases must be left to lapse, empty if they need not."""
    waiting = gate._unconfirmed.list_owners()
    contact_ms = gate.quorum_contact_ms()
    for owner, silent_ms in old.items():
        if owner in waiting and (
            now_ms - max(contact_ms, silent_ms) >= gate._limits.in_doubt_after_ms
        ):
            return "old_owner"
    if gate._unconfirmed.has_written_off:
        return "written_off"
    held = gate.highest_end - gate._unconfirmed.highest_final_number(gate.highest_end)
    if held >= MAX_HELD_ENDS and any(owner in waiting for owner in informed):
        return "too_many"
    for owner, since_ms in gate._doubted_since_ms.items():
        if now_ms - since_ms >= MAX_DOUBT_MS:
            return "too_long"
        back_ms = gate._contact_since_ms
        if owner is None or back_ms is None:
            continue
        if now_ms - max(back_ms, since_ms) >= UNRESOLVED_AFTER_CONTACT_MS:
            return "unresolved"
    return ""


def _release_void(gate: GateState, silent: set[Owner | None], reason: str) -> None:
    """Release ends after the leases have lapsed: those that were not acknowledged are void."""
    if reason:
        count = len(gate._unconfirmed)
        gate._unconfirmed.release_all()
    else:
        count = gate._unconfirmed.release_owned(silent)
    gate._doubted_since_ms.clear()
    note_released(gate, "void", count)


def _set_lapsing(gate: GateState, reason: str, now_ms: float) -> None:
    was_lapsing, gate._is_lapsing = gate._is_lapsing, bool(reason)
    if gate._is_lapsing == was_lapsing:
        return
    if reason:
        gate.metrics.lapsed_for_ends.add(reason)
    left_ms = round(gate._lease_end_ms - now_ms)
    emit(ENDS_IN_DOUBT, in_doubt=gate._is_lapsing, lease_left_ms=left_ms, reason=reason)
