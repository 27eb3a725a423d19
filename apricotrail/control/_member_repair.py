"""Decides the next change of members that repairs the group after a replica or its disk was lost.

A replica that starts with an empty disk has a new identity and joins as a learner. Once it has
caught up, the lost identity of its own name is removed, then the new one is promoted: one change at
a time, each committed before the next. A replica without a disk stays a learner, as a restart would
make it forget its vote and the entries that it acknowledged.

In a group whose members are listed in the settings every replica with a disk votes. In an open one
`apricotrail.control._voters` chooses the voters. A voter that was only away and has lost its seat
joins again as a learner when it is back.
"""

from collections.abc import Collection, Mapping, Sequence

from apricotrail.control._members import Members, make_member_change
from apricotrail.control._quorums import GroupPlan
from apricotrail.control._repair_limits import RepairLimits
from apricotrail.control._replica import ReplicaState, is_leader_ready
from apricotrail.control._voters import (
    LinkedReplica,
    OpenGroup,
    decide_voter_change,
    is_caught_up,
    propose_if_safe,
)
from apricotrail.membership import has_durable_log, replica_name
from apricotrail.wire.generated.ttypes import ChangeMember

__all__ = ["decide_member_change", "decide_open_member_change", "note_contacts"]

DEFAULT_LIMITS = RepairLimits()
DEFAULT_PLAN = GroupPlan()


def decide_member_change(
    replica: ReplicaState, linked: Mapping[str, LinkedReplica], peers: Collection[str]
) -> ChangeMember | None:
    """Return the next change of members to propose in a group of listed replicas, or None.

    Parameters
    ----------
    replica : ReplicaState
        Protocol state of this replica; None is returned unless it is a ready leader.
    linked : dict of str to LinkedReplica
        Replicas that have a link to the leader now, by id.
    peers : collection of str
        Names of the replicas that may join.
    """
    if not _may_change(replica):
        return None
    members = replica.log.members
    for replica_id in sorted(linked):
        if replica_name(replica_id) not in peers:
            continue
        change = _decide_joining(replica, replica_id, linked)
        if change is not None:
            return change
        is_waiting = not members[replica_id].voter and is_caught_up(replica, replica_id)
        if is_waiting and has_durable_log(replica_id):
            return propose_if_safe(replica, replica_id, "promote")
    return None


def decide_open_member_change(
    replica: ReplicaState,
    linked: Mapping[str, LinkedReplica],
    silences_ms: Mapping[str, float],
    joined: Sequence[str] = (),
    plan: GroupPlan = DEFAULT_PLAN,
    limits: RepairLimits = DEFAULT_LIMITS,
) -> ChangeMember | None:
    """Return the next change of members to propose in an open group, or None.

    `OpenGroup` explains the parameters. None is returned unless the replica is a ready leader.
    """
    if not _may_change(replica):
        return None
    for replica_id in sorted(linked):
        change = _decide_joining(replica, replica_id, linked)
        if change is not None:
            return change
    group = OpenGroup(replica, linked, silences_ms, joined, plan, limits)
    return decide_voter_change(group) or _find_silent_learner(group)


def note_contacts(
    replica: ReplicaState,
    linked: Collection[str],
    silences_ms: Mapping[str, float],
    limits: RepairLimits = DEFAULT_LIMITS,
) -> None:
    """Record on any replica of an open group what decides on its quorums.

    Parameters
    ----------
    replica : ReplicaState
        Protocol state of this replica.
    linked : collection of str
        Ids of the replicas that are linked now, and the own one.
    silences_ms : dict of str to float
        Time since the last message of each member in milliseconds, by id.
    limits : RepairLimits
        Silences after which members are removed.
    """
    absent = [key for key in replica.log.members if _is_silent(key, silences_ms, limits)]
    replica.note_contacts(linked, absent)


def _is_silent(replica_id: str, silences_ms: Mapping[str, float], limits: RepairLimits) -> bool:
    return silences_ms.get(replica_id, 0.0) >= limits.replace_after_ms


def _may_change(replica: ReplicaState) -> bool:
    return is_leader_ready(replica) and replica.commit_index >= replica.log.member_change_index


def _decide_joining(
    replica: ReplicaState, replica_id: str, linked: Mapping[str, LinkedReplica]
) -> ChangeMember | None:
    """Add a linked replica, or remove the lost identity that it replaces once it has caught up."""
    members = replica.log.members
    if replica_id not in members:
        return make_member_change(replica_id, linked[replica_id].address, "add_learner")
    if members[replica_id].voter or not is_caught_up(replica, replica_id):
        return None
    lost = _find_lost_identity(members, linked, replica_id)
    return propose_if_safe(replica, lost, "remove") if lost is not None else None


def _find_lost_identity(
    members: Members, linked: Mapping[str, LinkedReplica], replica_id: str
) -> str | None:
    same_name = [key for key in members if replica_name(key) == replica_name(replica_id)]
    lost = [key for key in same_name if key != replica_id and key not in linked]
    return lost[0] if lost else None


def _find_silent_learner(group: OpenGroup) -> ChangeMember | None:
    """Return the removal of a learner that may be gone.

    Other processes count a majority of the replicas with a disk that they have seen; only those
    that the group has removed are left out at once.
    """
    members = group.replica.log.members
    for replica_id in sorted(members):
        is_silent = _is_silent(replica_id, group.silences_ms, group.limits)
        if is_silent and not members[replica_id].voter:
            return propose_if_safe(group.replica, replica_id, "remove")
    return None
