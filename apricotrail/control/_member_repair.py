"""Decides the next change of members that repairs the group after a replica or its disk was lost.

A replica that starts with an empty disk has a new identity and joins as a learner. Once it has
caught up, the member that it replaces is removed, then the new one is promoted: one change at a
time, each committed before the next. It replaces the lost identity of its own name or else the
voter that has been silent for longest. An even number of voters bears no more losses than the odd
number below it: there the new one is promoted first. A replica without a disk stays a learner, as a
restart would make it forget its vote and the entries that it acknowledged.

A voter that was only away joins again as a learner when it is back.
"""

from collections.abc import Mapping

from apricotrail.control._members import Member, Members, apply_member_change
from apricotrail.control._repair_limits import RepairLimits
from apricotrail.control._replica import ReplicaState, is_leader_ready
from apricotrail.control._replication import has_live_quorum
from apricotrail.membership import has_durable_log, replica_name
from apricotrail.wire.generated.ttypes import ChangeMember

__all__ = [
    "CAUGHT_UP_LAG_ENTRIES",
    "NO_SILENCES",
    "decide_departure",
    "decide_member_change",
]

CAUGHT_UP_LAG_ENTRIES = 100
MIN_VOTERS = 3  # with fewer, the loss of one more would leave no majority
NO_SILENCES: Mapping[str, float] = {}
DEFAULT_LIMITS = RepairLimits()


def decide_member_change(
    replica: ReplicaState,
    linked: Mapping[str, str],
    peers: Mapping[str, str],
    silences_ms: Mapping[str, float] = NO_SILENCES,
    limits: RepairLimits = DEFAULT_LIMITS,
) -> ChangeMember | None:
    """Return the next change of members to propose, or None.

    Parameters
    ----------
    replica : ReplicaState
        Protocol state of this replica; None is returned unless it is a ready leader.
    linked : dict
        Addresses of the replicas that have a link to the leader now, by id.
    peers : dict
        Addresses by name of the replicas that may join.
    silences_ms : dict
        Time since the last message of each member in milliseconds, by id; empty in a group whose
        members only operators replace by others.
    limits : RepairLimits
        Silences after which members are replaced or removed.
    """
    if not is_leader_ready(replica) or replica.commit_index < replica.log.member_change_index:
        return None
    for replica_id in sorted(linked):
        if replica_name(replica_id) not in peers:
            continue
        if replica_id not in replica.log.members:
            return _make_change(replica_id, linked[replica_id], "add_learner")
        change = _decide_promotion(replica, replica_id, linked, silences_ms, limits)
        if change is not None:
            return change
    return _find_removal(replica, silences_ms, limits)


def decide_departure(replica: ReplicaState) -> ChangeMember | None:
    """Return the change by which this replica leaves before a planned stop, or None if it stays.

    It leaves if the others then bear the loss of one more than if it stayed a member: if their
    number is odd. A stop may be for good, and a successor may have joined already.
    """
    members = replica.log.members
    voters = _count_voters(members)
    if not replica.is_voter or voters <= MIN_VOTERS or voters % 2:
        return None
    return _make_change(replica.own_id, members[replica.own_id].address, "remove")


def _decide_promotion(
    replica: ReplicaState,
    replica_id: str,
    linked: Mapping[str, str],
    silences_ms: Mapping[str, float],
    limits: RepairLimits,
) -> ChangeMember | None:
    """Return the next change by which a linked learner becomes a voter, or None."""
    members = replica.log.members
    if members[replica_id].voter or not _is_caught_up(replica, replica_id):
        return None
    lost = _find_lost(members, linked, replica_id)
    if lost is not None:
        return _remove_if_safe(replica, lost)
    if not has_durable_log(replica_id):
        return None
    missing = [key for key in _find_missing(replica, replica_id) if key in silences_ms]
    if missing and _count_voters(members) % 2:
        longest = max(missing, key=lambda key: silences_ms[key])
        if silences_ms[longest] < limits.replace_after_ms:
            return None
        return _remove_if_safe(replica, longest)
    change = _make_change(replica_id, members[replica_id].address, "promote")
    return change if _is_safe(replica, change) else None


def _find_missing(replica: ReplicaState, replica_id: str) -> list[str]:
    """Return the other voters that have answered no round since a learner joined.

    The learner may be the successor of one of them.
    """
    first_round = replica.progress[replica_id].first_round
    voters = [key for key, member in replica.log.members.items() if member.voter]
    return [
        key
        for key in voters
        if key in replica.progress and replica.progress[key].acked_round < first_round
    ]


def _find_removal(
    replica: ReplicaState, silences_ms: Mapping[str, float], limits: RepairLimits
) -> ChangeMember | None:
    """Return the removal of a permanently lost member, if `MIN_VOTERS` voters remain without it."""
    members = replica.log.members
    voters = _count_voters(members)
    for replica_id in sorted(members):
        is_gone = silences_ms.get(replica_id, 0.0) >= limits.remove_after_ms
        if is_gone and (not members[replica_id].voter or voters > MIN_VOTERS):
            return _remove_if_safe(replica, replica_id)
    return None


def _count_voters(members: Members) -> int:
    return sum(member.voter for member in members.values())


def _is_caught_up(replica: ReplicaState, replica_id: str) -> bool:
    progress = replica.progress.get(replica_id)
    if progress is None or progress.match_index == 0:
        return False
    return replica.log.last_index - progress.match_index <= CAUGHT_UP_LAG_ENTRIES


def _find_lost(members: Members, linked: Mapping[str, str], replica_id: str) -> str | None:
    same_name = [key for key in members if replica_name(key) == replica_name(replica_id)]
    lost = [key for key in same_name if key != replica_id and key not in linked]
    return lost[0] if lost else None


def _remove_if_safe(replica: ReplicaState, replica_id: str) -> ChangeMember | None:
    member: Member = replica.log.members[replica_id]
    change = _make_change(replica_id, member.address, "remove")
    return change if not member.voter or _is_safe(replica, change) else None


def _is_safe(replica: ReplicaState, change: ChangeMember) -> bool:
    return has_live_quorum(replica, apply_member_change(replica.log.members, change))


def _make_change(replica_id: str, address: str, action: str) -> ChangeMember:
    name, _, identity = replica_id.partition("#")
    return ChangeMember(name, address, identity, action)
