"""Decides the next entry view from the heartbeats that the leader receives; proposes nothing.

An entry joins once its heartbeat arrives, if each current member is ready in the current epoch or
leaves. A member leaves when it falls silent, states that it stops, or is replaced by a newer
incarnation of its name.
"""

from collections.abc import Sequence
from typing import NamedTuple

from apricotrail.control._entries import LinkedEntry
from apricotrail.membership import View
from apricotrail.wire.generated.ttypes import InstallView, ViewMember

__all__ = ["Observation", "decide_view"]

_Process = tuple[str, int]


class Observation(NamedTuple):
    """What the leader knows when it decides on the view.

    Attributes
    ----------
    view : View
        Current view.
    heard : sequence of LinkedEntry
        Entries heard within the silence limit.
    may_remove_silent : bool
        Whether this leader has led for the silence limit; before that it removes nobody for
        silence.
    wall_ms : int
        Wall time in milliseconds.
    """

    view: View
    heard: Sequence[LinkedEntry]
    may_remove_silent: bool
    wall_ms: int


def decide_view(observation: Observation) -> InstallView | None:
    """Return the view to install next, or None to keep the current one."""
    current = [(member.name, member.incarnation) for member in observation.view.members]
    newest = _find_newest(observation.heard)
    staying = [process for process in current if _stays(process, newest, observation)]
    joining = _find_joining(current, staying, newest, observation.view.epoch)
    if not joining and len(staying) == len(current):
        return None
    members = [_copy_member(observation.view, process) for process in staying]
    members += [_make_member(entry) for entry in joining]
    if not members:
        return None
    lost_wall_ms = 0 if _retains_claims(current, staying) else observation.wall_ms
    members.sort(key=lambda member: (member.name, member.incarnation))
    return InstallView(observation.view.epoch + 1, members, lost_wall_ms)


def _find_newest(heard: Sequence[LinkedEntry]) -> dict[str, LinkedEntry]:
    newest: dict[str, LinkedEntry] = {}
    for entry in heard:
        if entry.name not in newest or newest[entry.name].incarnation < entry.incarnation:
            newest[entry.name] = entry
    return newest


def _stays(process: _Process, newest: dict[str, LinkedEntry], observation: Observation) -> bool:
    name, incarnation = process
    entry = newest.get(name)
    if entry is None:
        return not observation.may_remove_silent
    return entry.incarnation <= incarnation and not entry.stopping


def _find_joining(
    current: list[_Process], staying: list[_Process], newest: dict[str, LinkedEntry], epoch: int
) -> list[LinkedEntry]:
    for name, incarnation in staying:
        entry = newest.get(name)
        if entry is None or entry.incarnation != incarnation or entry.ready_epoch != epoch:
            return []
    return [
        entry
        for name, entry in sorted(newest.items())
        if (name, entry.incarnation) not in current and not entry.stopping
    ]


def _retains_claims(current: list[_Process], staying: list[_Process]) -> bool:
    """Return whether the staying members share a member with each majority of the current view.

    Otherwise claims may be lost with the view.
    """
    majority = len(current) // 2 + 1
    return len(staying) >= len(current) - majority + 1 if current else True


def _copy_member(view: View, process: _Process) -> ViewMember:
    member = next(it for it in view.members if (it.name, it.incarnation) == process)
    return ViewMember(member.name, member.incarnation, member.zone, member.address)


def _make_member(entry: LinkedEntry) -> ViewMember:
    return ViewMember(entry.name, entry.incarnation, entry.zone, entry.address)
