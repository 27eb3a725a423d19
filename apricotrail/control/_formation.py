"""Forms a new group once every listed replica is linked and has an empty data folder.

Only the first listed replica that has a disk forms the group. All listed replicas must be present,
so that a replica that lost its disk never forms a second group beside an existing one: it finds
that the others belong to a group, and joins that as a learner. Replicas without a disk become
learners.
"""

import asyncio
import json

from returns.result import Success

from apricotrail.control._members import Member
from apricotrail.control._service import CONTROL_FORMED, ControlService
from apricotrail.events import emit
from apricotrail.membership import has_durable_log, replica_name
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import StatusRequest

__all__ = ["FORMATION_STATUS", "form_group"]

FORMATION_STATUS = "formation"
STATUS_CALL_MS = 1_000
RETRY_MS = 100


async def form_group(service: ControlService) -> None:
    """Wait until this replica belongs to a group, and form the group if that is its task.

    Returns at once if this replica may not form one or is not in the list.
    """
    node = service.node
    names = list(service.parts.peers)
    own_name = replica_name(node.replica_id)
    may_form = service.parts.may_form and has_durable_log(node.replica_id)
    if not may_form or (names and own_name not in names):
        return
    while not node.is_formed and not service.failed.is_set():
        members = await _find_founding_members(service, names)
        if members is not None and not node.is_formed and _is_first_voter(own_name, names, members):
            if service.form(members):
                emit(CONTROL_FORMED, members=sorted(members))
            return
        await asyncio.sleep(RETRY_MS / 1000)


async def _find_founding_members(
    service: ControlService, names: list[str]
) -> dict[str, Member] | None:
    own_id = service.node.replica_id
    founding_members = {own_id: Member(service.endpoint.identity.address, True)}
    links = {
        replica_name(link.peer.name): link
        for link in service.endpoint.links.values()
        if link.peer.role == "control"
    }
    for name in names:
        if name == replica_name(own_id):
            continue
        if name not in links or not await _is_unformed(links[name]):
            return None
        peer = links[name].peer
        founding_members[peer.name] = Member(peer.address, has_durable_log(peer.name))
    return founding_members


def _is_first_voter(own_name: str, names: list[str], members: dict[str, Member]) -> bool:
    voters = {replica_name(key) for key, member in members.items() if member.voter}
    return not names or own_name == next(name for name in names if name in voters)


async def _is_unformed(link: Link) -> bool:
    reply = await link.call(StatusRequest(FORMATION_STATUS, 0), STATUS_CALL_MS)
    if not isinstance(reply, Success):
        return False
    return json.loads(reply.unwrap().body or b"{}").get("formed") is False
