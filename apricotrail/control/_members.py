"""Members of a control group, and how single changes alter them.

A change takes effect as soon as it is in a replica's log. As only one change may be uncommitted at
a time, any majority before it and any majority after it share a replica (Ongaro, "Consensus:
Bridging Theory and Practice", 2014, chapter 4).
"""

from collections.abc import Iterable, Mapping
from secrets import token_hex
from typing import NamedTuple

from apricotrail.membership import MEMORY_LOG_PREFIX, REPLICA_ID_SEPARATOR
from apricotrail.wire.generated.ttypes import ChangeMember

__all__ = [
    "Member",
    "Members",
    "apply_member_change",
    "count_voters",
    "is_majority",
    "make_member_change",
    "make_memory_identity",
    "make_replica_id",
]


class Member(NamedTuple):
    """Address and voting right of one replica.

    Attributes
    ----------
    address : str
        ``host:port`` that the other replicas connect to.
    voter : bool
        False for a learner, which receives the log but counts in no quorum.
    """

    address: str
    voter: bool


Members = Mapping[str, Member]
"""Members by replica id."""


def make_replica_id(name: str, identity: str) -> str:
    """Return the id of a replica: its name and the identity of its data folder.

    Examples
    --------
    >>> make_replica_id("pipa-1", "c0ffee")
    'pipa-1#c0ffee'
    """
    return f"{name}{REPLICA_ID_SEPARATOR}{identity}"


def make_memory_identity() -> str:
    """Return a new identity for a replica that keeps its log in memory only."""
    return MEMORY_LOG_PREFIX + token_hex(8)


def make_member_change(replica_id: str, address: str, action: str) -> ChangeMember:
    """Return the command that adds, promotes or removes a replica."""
    name, _, identity = replica_id.partition(REPLICA_ID_SEPARATOR)
    return ChangeMember(name, address, identity, action)


def apply_member_change(members: Members, change: ChangeMember) -> Members:
    """Return the members after `change`.

    A change that does not apply, such as the removal of an unknown replica, has no effect.
    """
    replica_id = make_replica_id(change.name, change.identity)
    existing = members.get(replica_id)
    if change.action == "add_learner" and existing is None:
        return {**members, replica_id: Member(change.address, False)}
    if change.action == "promote" and existing is not None:
        return {**members, replica_id: existing._replace(voter=True)}
    if change.action == "remove" and existing is not None:
        return {key: member for key, member in members.items() if key != replica_id}
    return members


def count_voters(members: Members) -> int:
    """Return the number of voters."""
    return sum(member.voter for member in members.values())


def is_majority(members: Members, replica_ids: Iterable[str]) -> bool:
    """Return whether `replica_ids` contain a majority of the voters."""
    voters = {key for key, member in members.items() if member.voter}
    return len(voters.intersection(replica_ids)) * 2 > len(voters)
