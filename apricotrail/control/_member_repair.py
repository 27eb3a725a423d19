"""Decides the next change of members that repairs the group after a replica or its disk was lost.

A replica that starts with an empty disk has a new identity and joins as a learner. Once it has
caught up, the lost identity of the same name is removed, then the new one is promoted: one change
at a time, each committed before the next. A replica without a disk stays a learner, as a restart
would make it forget its vote and the entries that it acknowledged.
"""

from collections.abc import Collection, Mapping

from apricotrail.control._members import Member
from apricotrail.control._replica import ReplicaState, is_leader_ready
from apricotrail.membership import has_durable_log, replica_name
from apricotrail.wire.generated.ttypes import ChangeMember

__all__ = ["CAUGHT_UP_LAG_ENTRIES", "decide_member_change"]

CAUGHT_UP_LAG_ENTRIES = 100
MIN_VOTERS = 3  # with fewer, the loss of one more would leave no majority


def decide_member_change(
    replica: ReplicaState,
    linked: Mapping[str, str],
    peers: Mapping[str, str],
    gone: Collection[str] = (),
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
    gone : collection of str
        Members that are considered permanently lost.
    """
    if not is_leader_ready(replica) or replica.commit_index < replica.log.member_change_index:
        return None
    members = replica.log.members
    for replica_id in sorted(linked):
        name = replica_name(replica_id)
        if name not in peers:
            continue
        if replica_id not in members:
            return _make_change(replica_id, linked[replica_id], "add_learner")
        if members[replica_id].voter or not _is_caught_up(replica, replica_id):
            continue
        lost = _find_lost(members, linked, replica_id)
        if lost is not None:
            return _make_change(lost, members[lost].address, "remove")
        if has_durable_log(replica_id):
            return _make_change(replica_id, members[replica_id].address, "promote")
    return _find_removal(members, gone)


def _find_removal(members: Mapping[str, Member], gone: Collection[str]) -> ChangeMember | None:
    """Return the removal of a permanently lost member, if `MIN_VOTERS` voters remain without it."""
    voters = sum(member.voter for member in members.values())
    for replica_id in sorted(gone):
        member = members[replica_id]
        if not member.voter or voters > MIN_VOTERS:
            return _make_change(replica_id, member.address, "remove")
    return None


def _is_caught_up(replica: ReplicaState, replica_id: str) -> bool:
    progress = replica.progress.get(replica_id)
    if progress is None or progress.match_index == 0:
        return False
    return replica.log.last_index - progress.match_index <= CAUGHT_UP_LAG_ENTRIES


def _find_lost(
    members: Mapping[str, Member], linked: Mapping[str, str], replica_id: str
) -> str | None:
    same_name = [key for key in members if replica_name(key) == replica_name(replica_id)]
    lost = [key for key in same_name if key != replica_id and key not in linked]
    return lost[0] if lost else None


def _make_change(replica_id: str, address: str, action: str) -> ChangeMember:
    name, _, identity = replica_id.partition("#")
    return ChangeMember(name, address, identity, action)
