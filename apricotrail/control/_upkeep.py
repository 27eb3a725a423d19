"""Chooses the next command that the leader proposes by itself.

Changes of the control replicas come first, changes of the entry view second.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from apricotrail.clocks import wall_ms
from apricotrail.control._entries import LinkedEntry
from apricotrail.control._member_repair import decide_member_change, decide_open_member_change
from apricotrail.control._members import make_replica_id
from apricotrail.control._node import Node
from apricotrail.control._overseer import Observation, decide_view
from apricotrail.control._quorums import GroupPlan
from apricotrail.control._voters import LinkedReplica
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import read_view
from apricotrail.wire.generated.ttypes import ChangeMember, Command

__all__ = ["UpkeepInput", "decide_upkeep", "removes_proposer"]

VIEW_PROPOSED = declare_event(
    3002, "view_proposed", Level.INFO, "The leader proposes a new entry view: entries came or left."
)
MEMBER_PROPOSED = declare_event(
    3003,
    "member_change_proposed",
    Level.WARNING,
    "The leader proposes to add, promote or remove a control replica. If one is removed that no "
    "newcomer has replaced, check why it was lost.",
)


class UpkeepInput(NamedTuple):
    """What the leader knows when it decides on its own commands.

    Attributes
    ----------
    node : Node
        The replica that leads.
    linked : dict of str to LinkedReplica
        Replicas linked now, by id, and the own one.
    peers : collection of str
        Names of the replicas that may join; not used in an open group.
    heard : sequence of LinkedEntry
        Entries heard within the silence limit.
    may_remove_silent : bool
        Whether this leader has led for the silence limit.
    silences_ms : dict of str to float
        Time since the last message of each member in milliseconds, by id.
    plan : GroupPlan or None
        What an open group must bear. Any replica may join it, also one that was removed. None for a
        group whose members are listed.
    """

    node: Node
    linked: Mapping[str, LinkedReplica]
    peers: Collection[str]
    heard: Sequence[LinkedEntry]
    may_remove_silent: bool
    silences_ms: Mapping[str, float]
    plan: GroupPlan | None = None


def decide_upkeep(inputs: UpkeepInput) -> Command | None:
    """Return the command to propose now, or None."""
    node = inputs.node
    change = _decide_member_change(inputs)
    if change is not None:
        emit(MEMBER_PROPOSED, name=change.name, action=change.action)
        return Command("", node.replica_id, change_member=change)
    current = read_view(node.machine.configuration.find("view"))
    view = decide_view(Observation(current, inputs.heard, inputs.may_remove_silent, wall_ms()))
    if view is None:
        return None
    emit(VIEW_PROPOSED, epoch=view.epoch, members=[it.name for it in view.members])
    return Command("", node.replica_id, install_view=view)


def removes_proposer(command: Command) -> bool:
    """Return whether a command removes the replica that proposes it."""
    change = command.change_member
    if change is None or change.action != "remove":
        return False
    return make_replica_id(change.name, change.identity) == command.author


def _decide_member_change(inputs: UpkeepInput) -> ChangeMember | None:
    replica, machine = inputs.node.replica, inputs.node.machine
    if inputs.plan is not None:
        return decide_open_member_change(
            replica, inputs.linked, inputs.silences_ms, machine.joined, inputs.plan
        )
    linked = {key: it for key, it in inputs.linked.items() if key not in machine.removed}
    return decide_member_change(replica, linked, inputs.peers)
