"""Which sets of replicas elect and confirm a leader, and which commit its entries.

A set is a quorum if it holds a majority of the voters. That is not enough where a zone holds
several voters: a machine that leaves for good may still vote, as its successor took the seat of
another one, and with as many disks lost as must be borne no majority of the voters is left. Such a
group is *guarded*. It rests on evidence instead: a replica that is linked under the name of a
member, but with another identity, had an empty disk, so that member has lost its disk and will
never vote again.

With the voters V, the members with a disk M, of these D with lost disks, and f losses to be borne,
in a guarded group

- a set C of members commits if it is a quorum and has at least |M - D| - f members, spares
  included; spares that were silent for long don't count in M here, as if they had been removed;
- a set G of members outside D is also a quorum if D isn't empty, |G| > f, G is a majority of
  M - D, and the voters in neither D nor G are no majority of V.

Each G holds a replica with each committed entry, however many disks were lost in between, as
|C - D| + |G| > |M - D|. No majority of the voters can elect another leader in the same
term without a replica of G, and two such sets share one. The replica with the longest log leads, as
in every election of Raft. Disks must not come back once they were lost, which is what a new
identity stands for. See B. Liskov and J. Cowling, "Viewstamped Replication Revisited", 2012,
section 4.3, for replicas that have lost their state, and D. Ongaro's dissertation, 2014, chapter 4,
for changes of members.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from apricotrail.control._members import Members, count_voters, is_majority
from apricotrail.membership import has_durable_log, replica_name

__all__ = [
    "MIN_VOTERS",
    "GroupPlan",
    "QuorumRule",
    "count_safe_seats",
    "find_lost_disks",
    "find_quorum_value",
    "is_commit_quorum",
    "is_quorum",
]

MIN_VOTERS = 3  # with fewer, the loss of one more would leave no majority


class GroupPlan(NamedTuple):
    """What an open group must bear.

    Attributes
    ----------
    tolerated_losses : int
        Replicas that may be lost at the same time.
    zones : int
        Number of availability zones with replicas, 0 if unknown.
    """

    tolerated_losses: int = 1
    zones: int = 0


class QuorumRule(NamedTuple):
    """What decides which sets of replicas are quorums.

    Attributes
    ----------
    members : Members
        The members of the group.
    lost : frozenset of str
        Ids of the members whose disks are known to be lost.
    absent : frozenset of str
        Ids of the learners that were silent for so long that they are about to be removed.
    plan : GroupPlan or None
        What an open group must bear; None for a group whose members are listed.
    """

    members: Members
    lost: frozenset[str] = frozenset()
    absent: frozenset[str] = frozenset()
    plan: GroupPlan | None = None

    @property
    def is_guarded(self) -> bool:
        """Whether a machine replaced and as many lost as must be borne may leave no majority."""
        if self.plan is None or self.plan.zones >= count_safe_seats(self.plan):
            return False
        voters = count_voters(self.members)
        return voters - 1 - self.plan.tolerated_losses < voters // 2 + 1


def count_safe_seats(plan: GroupPlan) -> int:
    """Return the number of voters of which the others are a majority after the tolerated losses."""
    return max(MIN_VOTERS, 2 * plan.tolerated_losses + 1)


def is_quorum(rule: QuorumRule, replica_ids: Collection[str]) -> bool:
    """Return whether `replica_ids` can elect a leader, or confirm that no other one leads."""
    if is_majority(rule.members, replica_ids):
        return True
    if not rule.lost or not rule.is_guarded:
        return False
    alive = _list_durable(rule) - rule.lost
    present = alive.intersection(replica_ids)
    absent_voters = sum(rule.members[key].voter for key in alive - present)
    majority = count_voters(rule.members) // 2 + 1
    has_all_entries = len(present) > rule.plan.tolerated_losses
    return has_all_entries and 2 * len(present) > len(alive) and absent_voters < majority


def is_commit_quorum(rule: QuorumRule, replica_ids: Collection[str]) -> bool:
    """Return whether an entry that `replica_ids` have synced is safe."""
    if not is_quorum(rule, replica_ids):
        return False
    if not rule.is_guarded:
        return True
    alive = _list_durable(rule) - rule.lost - rule.absent
    missing = len(alive.difference(replica_ids))
    return missing <= rule.plan.tolerated_losses


def find_quorum_value(
    is_enough: Callable[[Collection[str]], bool], values: Mapping[str, float]
) -> float:
    """Return the highest value that enough replicas have reached, minus infinity if none is.

    Parameters
    ----------
    is_enough : callable
        ``is_enough(replica_ids)`` tells whether these are enough.
    values : dict
        Value by replica id.
    """
    reached: set[str] = set()
    for key in sorted(values, key=lambda key: -values[key]):
        reached.add(key)
        if is_enough(reached):
            return values[key]
    return float("-inf")


def find_lost_disks(members: Iterable[str], linked: Collection[str]) -> frozenset[str]:
    """Return the members in whose place a replica with a new identity is linked.

    Parameters
    ----------
    members : iterable of str
        Ids of the members.
    linked : collection of str
        Ids of the replicas that are linked now, and the own one.
    """
    names = {replica_name(key) for key in linked if has_durable_log(key)}
    return frozenset(key for key in members if key not in linked and replica_name(key) in names)


def _list_durable(rule: QuorumRule) -> set[str]:
    return {key for key in rule.members if has_durable_log(key)}
