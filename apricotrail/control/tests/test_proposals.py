"""What a replica answers to a change that it could not bring to the leader."""

import asyncio
import json
import unittest
from types import SimpleNamespace

from returns.result import Failure

from apricotrail.control._acceptance import Promotion
from apricotrail.control._proposals import ProposalRouter
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire.generated.ttypes import Command, SetZoneState

PROPOSE_MS = 150


class FailingLink:
    """A link to a leader that gets one call and is lost before the answer."""

    def __init__(self, service: SimpleNamespace, kind: ErrorKind) -> None:
        self.service, self.kind = service, kind

    async def call(self, message, timeout_ms):
        self.service.leader_link = None
        return Failure(Problem(self.kind, "No answer.", "Send it again."))


async def submit_to_lost_leader(kind: ErrorKind) -> str:
    replica = SimpleNamespace(is_leader=False)
    node = SimpleNamespace(replica=replica, machine=SimpleNamespace(version=3))
    service = SimpleNamespace(node=node, leader_link=None, failed=asyncio.Event())
    service.leader_link = FailingLink(service, kind)
    router = ProposalRouter(service, Promotion("trial", "trial", ""), PROPOSE_MS)
    change = SetZoneState("pipa", False)
    reply = await router.submit(Command("one", "ana", 0, set_zone_state=change))
    assert not reply.accepted
    return json.loads(reply.answer)["kind"]


class TestProposalRouter(unittest.IsolatedAsyncioTestCase):
    # Guards against a change that may have been logged being refused as not done, since the last
    # of its tries met no leader.
    async def test_change_that_may_be_logged_is_not_refused_when_later_tries_meet_no_leader(self):
        kind = await submit_to_lost_leader(ErrorKind.UNKNOWN_OUTCOME)
        self.assertEqual(kind, "unknown_outcome")

    async def test_change_that_was_never_sent_is_refused(self):
        self.assertEqual(await submit_to_lost_leader(ErrorKind.UNREACHABLE), "no_quorum")

    # Guards against a replica that leaves calls unanswered after its disk failed as it led.
    async def test_replica_that_has_stopped_refuses_at_once_though_it_led(self):
        failed = asyncio.Event()
        failed.set()
        replica = SimpleNamespace(is_leader=True)
        machine = SimpleNamespace(version=3, find_answer=lambda command: None)
        node = SimpleNamespace(replica=replica, machine=machine)
        service = SimpleNamespace(node=node, leader_link=None, failed=failed)
        service.propose = lambda command: asyncio.get_running_loop().create_future()
        router = ProposalRouter(service, Promotion("trial", "trial", ""), 60_000)
        change = SetZoneState("pipa", False)
        async with asyncio.timeout(5):
            reply = await router.submit(Command("one", "ana", 0, set_zone_state=change))
        self.assertEqual(json.loads(reply.answer)["kind"], "no_quorum")
