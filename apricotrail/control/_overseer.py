"""Decides the next entry view from what the leader hears; proposes nothing itself.

An entry joins once it is heard, if all present members are ready in the present epoch or gone. It
leaves when it is silent, says that it stops, or is replaced by a newer incarnation of its name.
"""

from collections.abc import Sequence
from typing import NamedTuple

from apricotrail.control._entries import LinkedEntry
from apricotrail.membership import View
from apricotrail.wire.generated.ttypes import InstallView, ViewMember

__all__ = ["Observation", "decide_view"]

_Process = tuple[str, int]


class Observation(NamedTuple):
    """What the leader knows when it decides.

    Attributes
    ----------
    view : View
        Present view.
    heard : sequence of LinkedEntry
        Entries heard within the silence limit.
    settled : bool
        Whether this leader has listened for the silence limit; before that it removes nobody.
    wall_ms : int
        Wall time in milliseconds.
    """

    view: View
    heard: Sequence[LinkedEntry]
    settled: bool
    wall_ms: int


def decide_view(seen: Observation) -> InstallView | None:
    """Return the view to install next, or None to keep the present one."""
    present = [(member.name, member.incarnation) for member in seen.view.members]
    newest = _find_newest(seen.heard)
    staying = [process for process in present if _stays(process, newest, seen)]
    joining = _find_joining(present, staying, newest, seen.view.epoch)
    if not joining and len(staying) == len(present):
        return None
    members = [_keep(seen.view, process) for process in staying]
    members += [_describe(entry) for entry in joining]
    if not members:
        return None
    lost_wall_ms = 0 if _holds_claims(present, staying) else seen.wall_ms
    members.sort(key=lambda member: (member.name, member.incarnation))
    return InstallView(seen.view.epoch + 1, members, lost_wall_ms)


def _find_newest(heard: Sequence[LinkedEntry]) -> dict[str, LinkedEntry]:
    newest: dict[str, LinkedEntry] = {}
    for entry in heard:
        if entry.name not in newest or newest[entry.name].incarnation < entry.incarnation:
            newest[entry.name] = entry
    return newest


def _stays(process: _Process, newest: dict[str, LinkedEntry], seen: Observation) -> bool:
    name, incarnation = process
    entry = newest.get(name)
    if entry is None:
        return not seen.settled
    return entry.incarnation <= incarnation and not entry.stopping


def _find_joining(
    present: list[_Process], staying: list[_Process], newest: dict[str, LinkedEntry], epoch: int
) -> list[LinkedEntry]:
    for name, incarnation in staying:
        entry = newest.get(name)
        if entry is None or entry.incarnation != incarnation or entry.ready_epoch != epoch:
            return []
    return [
        entry
        for name, entry in sorted(newest.items())
        if (name, entry.incarnation) not in present and not entry.stopping
    ]


def _holds_claims(present: list[_Process], staying: list[_Process]) -> bool:
    majority = len(present) // 2 + 1
    return len(staying) >= len(present) - majority + 1 if present else True


def _keep(view: View, process: _Process) -> ViewMember:
    member = next(it for it in view.members if (it.name, it.incarnation) == process)
    return ViewMember(member.name, member.incarnation, member.zone, member.address)


def _describe(entry: LinkedEntry) -> ViewMember:
    return ViewMember(entry.name, entry.incarnation, entry.zone, entry.address)
