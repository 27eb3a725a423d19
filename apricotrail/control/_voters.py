"""Chooses the voters of an open group: how many there are, and which replicas.

An open group has a fixed, odd number of voters, `count_seats`. All other replicas are learners;
those with a disk that have caught up are spares. Which machine a newcomer replaces isn't known
until that one is gone, perhaps without a word, so its arrival must not add a vote:

- A replica takes the seat of a voter of its zone that joined before it, while that one is still
  well, which stays as a spare. It is promoted first and the other is removed then, so that at any
  moment of the exchange the group bears the loss of any replica. A successor that was away gets its
  seat back like that.
- A spare takes the seat of a voter that was silent for `RepairLimits.replace_after_ms`. The silent
  one is removed first: if the spare is lost, too, the others are a majority without either.
- An even group without a spare gives a voter up, a silent one if there is one: the others bear as
  many losses or one more. In an odd one a silent voter without a successor is removed only after
  `RepairLimits.remove_after_ms`.
- Seats are spread over the zones as evenly as the replicas allow.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from apricotrail.control._members import (
    apply_member_change,
    count_voters,
    make_member_change,
)
from apricotrail.control._quorums import MIN_VOTERS, GroupPlan, count_safe_seats
from apricotrail.control._repair_limits import RepairLimits
from apricotrail.control._replica import ReplicaState
from apricotrail.control._replication import has_live_quorum, is_live
from apricotrail.membership import has_durable_log
from apricotrail.wire.generated.ttypes import ChangeMember

__all__ = [
    "CAUGHT_UP_LAG_ENTRIES",
    "LinkedReplica",
    "count_seats",
    "decide_departure",
    "decide_voter_change",
    "is_caught_up",
    "propose_if_safe",
]

CAUGHT_UP_LAG_ENTRIES = 100


class LinkedReplica(NamedTuple):
    """A replica that has a link to the leader, or the leader itself.

    Attributes
    ----------
    address : str
        Link address.
    zone : str
        Availability zone.
    """

    address: str
    zone: str = ""


class OpenGroup(NamedTuple):
    """What the leader of an open group knows when it chooses the voters.

    Attributes
    ----------
    replica : ReplicaState
        Protocol state of the leader.
    linked : dict of str to LinkedReplica
        Replicas that have a link to the leader, and the leader, by id.
    silences_ms : dict of str to float
        Time since the last message of each member in milliseconds, by id.
    joined : sequence of str
        Ids of the replicas in the order in which they first joined.
    plan : GroupPlan
        What the group must bear.
    limits : RepairLimits
        Silences after which members are replaced or removed.
    """

    replica: ReplicaState
    linked: Mapping[str, LinkedReplica]
    silences_ms: Mapping[str, float]
    joined: Sequence[str]
    plan: GroupPlan
    limits: RepairLimits


def count_seats(plan: GroupPlan) -> int:
    """Return the number of voters that a group needs.

    Where a zone holds several of them, a newcomer may take the seat of another machine than the one
    that it replaces, which then goes as a voter. Further seats make up for that, for as many
    machines replaced at the same time as may be lost.

    Examples
    --------
    >>> count_seats(GroupPlan(1, 3)), count_seats(GroupPlan(2, 6)), count_seats(GroupPlan(2, 4))
    (3, 5, 9)
    """
    seats = count_safe_seats(plan)
    return seats if plan.zones >= seats else seats + 2 * plan.tolerated_losses


def decide_voter_change(group: OpenGroup) -> ChangeMember | None:
    """Return the next promotion or removal of a voter, or None.

    The removal of the leader itself is returned like any other; the caller transfers the leadership
    first.
    """
    voters = count_voters(group.replica.log.members)
    spares = _list_spares(group)
    silent = _list_silent(group)
    if voters < MIN_VOTERS:
        return _promote_one(group, spares)
    if voters % 2 == 0:
        return _make_odd(group, voters, spares, silent)
    if voters > count_seats(group.plan):
        return _remove_one(group, silent)
    if silent:
        is_gone = group.silences_ms[silent[0]] >= group.limits.remove_after_ms
        may_remove = spares or (is_gone and voters > MIN_VOTERS)
        return _remove_silent(group, silent) if may_remove else None
    if voters < count_seats(group.plan) and len(spares) >= 2:
        return _promote_one(group, spares)
    return _promote_one(group, [key for key in spares if _takes_a_seat(group, key)])


def decide_departure(replica: ReplicaState) -> ChangeMember | None:
    """Return the change by which this replica leaves before a planned stop, or None if it stays.

    A stop may be for good. A voter leaves an even group, which bears one loss more without it; in
    an odd one its place is taken once it is silent. A learner with a disk leaves, too, as other
    processes count it towards a majority.
    """
    members = replica.log.members
    if replica.own_id not in members or not has_durable_log(replica.own_id):
        return None
    voters = count_voters(members)
    if replica.is_voter and (voters <= MIN_VOTERS or voters % 2):
        return None
    return make_member_change(replica.own_id, members[replica.own_id].address, "remove")


def propose_if_safe(replica: ReplicaState, replica_id: str, action: str) -> ChangeMember | None:
    """Return a change of a member, or None if the replicas that answer could not commit it."""
    member = replica.log.members[replica_id]
    change = make_member_change(replica_id, member.address, action)
    if action == "remove" and not member.voter:
        return change
    is_safe = has_live_quorum(replica, apply_member_change(replica.log.members, change))
    return change if is_safe else None


def is_caught_up(replica: ReplicaState, replica_id: str) -> bool:
    """Return whether a member lacks at most `CAUGHT_UP_LAG_ENTRIES` entries of the leader's log."""
    progress = replica.progress.get(replica_id)
    if progress is None or progress.match_index == 0:
        return False
    return replica.log.last_index - progress.match_index <= CAUGHT_UP_LAG_ENTRIES


def _make_odd(
    group: OpenGroup, voters: int, spares: list[str], silent: list[str]
) -> ChangeMember | None:
    seats = count_seats(group.plan)
    if voters < seats and spares:
        return _promote_one(group, spares)
    if silent:
        return _remove_silent(group, silent)
    return _remove_one(group, silent) if voters > seats or not spares else None


def _promote_one(group: OpenGroup, spares: list[str]) -> ChangeMember | None:
    """Promote the spare whose zone has the fewest voters, the last to join among equals."""
    if not spares:
        return None
    seats = _count_by_zone(group)
    best = min(spares, key=lambda key: (seats[group.linked[key].zone], -_rank(group, key), key))
    return _propose(group, best, "promote")


def _remove_one(group: OpenGroup, silent: list[str]) -> ChangeMember | None:
    """Remove a voter that the group doesn't need.

    It is the one that is silent for longest or else, in the zone with the most voters, the one that
    joined first.
    """
    if silent:
        return _remove_silent(group, silent)
    voters = _list_voters(group)
    if any(key not in group.linked for key in voters):
        return None
    seats = _count_by_zone(group)
    surplus = min(
        voters,
        key=lambda key: (
            -seats[group.linked[key].zone],
            _rank(group, key),
            key,
        ),
    )
    return _propose(group, surplus, "remove")


def _remove_silent(group: OpenGroup, silent: list[str]) -> ChangeMember | None:
    """Remove the voter that is silent for longest, of those that the group can do without.

    A group that goes on without a majority of its voters needs those whose disks are lost as
    evidence until the others have gone.
    """
    changes = (_propose(group, key, "remove") for key in silent)
    return next((change for change in changes if change is not None), None)


def _takes_a_seat(group: OpenGroup, spare: str) -> bool:
    """Return whether a spare takes the seat of a voter that is well.

    It does so where a voter of its zone joined before it, once each voter has answered a round sent
    since the spare did, and also if that spreads the seats more evenly over the zones.
    """
    zone = group.linked[spare].zone
    seats = _count_by_zone(group)
    if seats[zone] + 2 <= max(seats.values(), default=0):
        return True
    neighbours = [key for key in _list_linked_voters(group) if group.linked[key].zone == zone]
    is_successor = any(_rank(group, key) < _rank(group, spare) for key in neighbours)
    return is_successor and _is_settled(group, spare)


def _rank(group: OpenGroup, replica_id: str) -> int:
    """Return the position of a replica in the order of joining, -1 if it isn't known."""
    return group.joined.index(replica_id) if replica_id in group.joined else -1


def _is_settled(group: OpenGroup, spare: str) -> bool:
    progress = group.replica.progress
    first_round = progress[spare].first_round
    others = [key for key in _list_voters(group) if key != group.replica.own_id]
    return all(key in progress and progress[key].acked_round >= first_round for key in others)


def _list_voters(group: OpenGroup) -> list[str]:
    return [key for key, member in group.replica.log.members.items() if member.voter]


def _list_silent(group: OpenGroup) -> list[str]:
    """Return the voters that are silent for long enough to be replaced, the longest first."""
    silences = {key: group.silences_ms.get(key, 0.0) for key in _list_voters(group)}
    silent = [key for key, ms in silences.items() if ms >= group.limits.replace_after_ms]
    return sorted(silent, key=lambda key: (-silences[key], key))


def _list_spares(group: OpenGroup) -> list[str]:
    """Return the learners that could vote now."""
    return [
        key
        for key, member in group.replica.log.members.items()
        if not member.voter
        and key in group.linked
        and has_durable_log(key)
        and is_caught_up(group.replica, key)
        and is_live(group.replica, key)
    ]


def _count_by_zone(group: OpenGroup) -> Counter[str]:
    """Return the number of linked voters by zone."""
    return Counter(group.linked[key].zone for key in _list_linked_voters(group))


def _list_linked_voters(group: OpenGroup) -> list[str]:
    return [key for key in _list_voters(group) if key in group.linked]


def _propose(group: OpenGroup, replica_id: str, action: str) -> ChangeMember | None:
    return propose_if_safe(group.replica, replica_id, action)
