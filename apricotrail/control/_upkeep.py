"""Chooses the next command that the leader proposes on its own: members first, then the view."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from apricotrail.clocks import wall_ms
from apricotrail.control._entries import LinkedEntry
from apricotrail.control._node import Node
from apricotrail.control._overseer import Observation, decide_view
from apricotrail.control._repair import decide_member_change
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import read_view
from apricotrail.wire.generated.ttypes import Command

__all__ = ["Upkeep", "decide_upkeep"]

VIEW_PROPOSED = declare_event(3002, "view_proposed", Level.INFO, "A new entry view was proposed.")
MEMBER_PROPOSED = declare_event(
    3003, "member_change_proposed", Level.WARNING, "A change of the control replicas was proposed."
)


class Upkeep(NamedTuple):
    """What the leader knows when it decides.

    Attributes
    ----------
    node : Node
        Own replica.
    linked : dict of str to str
        Addresses of the replicas linked now, by id.
    peers : dict of str to str
        Addresses of the replicas in the settings, by name.
    heard : sequence of LinkedEntry
        Entries heard within the silence limit.
    settled : bool
        Whether this leader has listened for the silence limit.
    gone : frozenset of str
        Members that have been without a link for so long that they are replaced.
    open_group : bool
        Whether a replica that was removed may join again.
    """

    node: Node
    linked: Mapping[str, str]
    peers: Mapping[str, str]
    heard: Sequence[LinkedEntry]
    settled: bool
    gone: frozenset[str] = frozenset()
    open_group: bool = False


def decide_upkeep(upkeep: Upkeep) -> Command | None:
    """Return the command to propose, or None."""
    node = upkeep.node
    removed = node.machine.removed
    linked = upkeep.linked
    if not upkeep.open_group:
        linked = {key: address for key, address in linked.items() if key not in removed}
    change = decide_member_change(node.replica, linked, upkeep.peers, upkeep.gone)
    if change is not None:
        emit(MEMBER_PROPOSED, name=change.name, action=change.action)
        return Command("", node.replica_id, change_member=change)
    present = read_view(node.machine.configuration.find("view"))
    view = decide_view(Observation(present, upkeep.heard, upkeep.settled, wall_ms()))
    if view is None:
        return None
    emit(VIEW_PROPOSED, epoch=view.epoch, members=[it.name for it in view.members])
    return Command("", node.replica_id, install_view=view)
