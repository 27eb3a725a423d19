"""What a replica logs of calls of operators of queues."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from nose2.tools import params
from structlog.testing import capture_logs

from apricotrail.clocks import VirtualClock
from apricotrail.control import _operations
from apricotrail.control._acceptance import Promotion
from apricotrail.control._commands import encode_json
from apricotrail.control._operations import QueueOperations
from apricotrail.control._proposals import ProposalRouter
from apricotrail.wire.generated.ttypes import ProposeReply

TOOK_MS = 4_950.0
NO_QUORUM = ProposeReply(False, 3, encode_json({"kind": "no_quorum", "message": "No leader."}))
UNKNOWN = ProposeReply(False, 3, encode_json({"kind": "unknown_outcome"}))
ACCEPTED = ProposeReply(True, 4, encode_json({"changed": True}))
NO_ANSWER = ProposeReply(False, 3, None)


class SlowRouter:
    """Answers each command with one reply after `TOOK_MS` of virtual time."""

    def __init__(self, clock: VirtualClock, reply: ProposeReply) -> None:
        self.clock, self.reply = clock, reply

    async def submit(self, command, order=None):
        self.clock.advance(TOOK_MS)
        return self.reply


def call_and_capture(reply: ProposeReply, call) -> dict:
    clock = VirtualClock()
    node = SimpleNamespace(replica_id="a#1")
    pauses = SimpleNamespace(is_settled=lambda: True)
    service = SimpleNamespace(node=node, pauses=pauses)
    operations = QueueOperations(service, SlowRouter(clock, reply))
    with capture_logs() as lines, patch.object(_operations, "monotonic_ms", clock):
        asyncio.run(call(operations))
    (line,) = lines
    return line


# Guards against refused documents and orders whose log lines don't tell why, and after how long.
@params(
    (NO_QUORUM, "no_quorum"),
    (UNKNOWN, "unknown_outcome"),
    (ACCEPTED, ""),
    (NO_ANSWER, ""),
)
def test_lines_of_puts_and_orders_tell_the_kind_of_the_problem_and_the_time_taken(reply, kind):
    told = {
        "accepted": reply.accepted,
        "at": reply.version,
        "kind": kind,
        "took_ms": TOOK_MS,
        "log_level": "info",
    }
    put = call_and_capture(reply, lambda it: it.put_queues(7, {}, b"{}"))
    assert put == {"event": "queues_put", "number": 3101, "version": 7, **told}
    order = call_and_capture(reply, lambda it: it.set_zone("pipa", True))
    assert order == {"event": "zone_set", "number": 3102, "zone": "pipa", "open": True, **told}


class TestReplicaWithoutLeader(unittest.IsolatedAsyncioTestCase):
    # Guards against a kind that is lost between the router and the line.
    async def test_a_put_that_meets_no_leader_is_logged_as_no_quorum(self):
        replica = SimpleNamespace(is_leader=False)
        machine = SimpleNamespace(version=3)
        node = SimpleNamespace(replica=replica, machine=machine, replica_id="a#1")
        service = SimpleNamespace(node=node, leader_link=None, failed=asyncio.Event())
        router = ProposalRouter(service, Promotion("trial", "trial", ""), 10.0)
        with capture_logs() as lines:
            await QueueOperations(service, router).put_queues(7, {}, b"{}")
        self.assertEqual([it["kind"] for it in lines], ["no_quorum"])
