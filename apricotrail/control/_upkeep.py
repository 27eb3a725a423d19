"""Chooses the next command that the leader proposes by itself.

Changes of the control replicas come first, changes of the entry view second.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from apricotrail.clocks import wall_ms
from apricotrail.control._entries import LinkedEntry
from apricotrail.control._member_repair import NO_SILENCES, decide_member_change
from apricotrail.control._node import Node
from apricotrail.control._overseer import Observation, decide_view
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import read_view
from apricotrail.wire.generated.ttypes import Command

__all__ = ["UpkeepInput", "decide_upkeep"]

VIEW_PROPOSED = declare_event(
    3002, "view_proposed", Level.INFO, "The leader proposes a new entry view: entries came or left."
)
MEMBER_PROPOSED = declare_event(
    3003,
    "member_change_proposed",
    Level.WARNING,
    "The leader proposes to add, promote or remove a control replica. If one is removed, check why "
    "it was lost.",
)


class UpkeepInput(NamedTuple):
    """What the leader knows when it decides on its own commands.

    Attributes
    ----------
    node : Node
        The replica that leads.
    linked : dict of str to str
        Addresses of the replicas linked now, by id.
    peers : dict of str to str
        Addresses of the replicas that may join, by name: those of the settings or, in an open
        group, all that are linked.
    heard : sequence of LinkedEntry
        Entries heard within the silence limit.
    may_remove_silent : bool
        Whether this leader has led for the silence limit.
    silences_ms : dict of str to float
        Time since the last message of each member in milliseconds, by id; empty in a group that is
        not open.
    open_group : bool
        Whether any replica may join, also one that was removed.
    """

    node: Node
    linked: Mapping[str, str]
    peers: Mapping[str, str]
    heard: Sequence[LinkedEntry]
    may_remove_silent: bool
    silences_ms: Mapping[str, float] = NO_SILENCES
    open_group: bool = False


def decide_upkeep(inputs: UpkeepInput) -> Command | None:
    """Return the command to propose now, or None."""
    node = inputs.node
    removed = node.machine.removed
    linked = inputs.linked
    if not inputs.open_group:
        linked = {key: address for key, address in linked.items() if key not in removed}
    change = decide_member_change(node.replica, linked, inputs.peers, inputs.silences_ms)
    if change is not None:
        emit(MEMBER_PROPOSED, name=change.name, action=change.action)
        return Command("", node.replica_id, change_member=change)
    current = read_view(node.machine.configuration.find("view"))
    view = decide_view(Observation(current, inputs.heard, inputs.may_remove_silent, wall_ms()))
    if view is None:
        return None
    emit(VIEW_PROPOSED, epoch=view.epoch, members=[it.name for it in view.members])
    return Command("", node.replica_id, install_view=view)
