"""Calls of operators of queues, on any replica: put and read queues, take zones out or back in."""

import asyncio
from base64 import b64decode
from collections.abc import Awaitable
from typing import Any, NamedTuple
from uuid import uuid4
from zlib import compress, decompress

from returns.result import Failure, Result, Success

from apricotrail.clocks import monotonic_ms
from apricotrail.control._commands import QUEUES_KEY, QUEUES_SOURCE_KEY, encode_json
from apricotrail.control._orders import SETTLE_MS, PendingOrder
from apricotrail.control._proposals import ProposalRouter, read_refusal_kind
from apricotrail.control._service import ControlService
from apricotrail.errors import ErrorKind, Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.wire.generated.ttypes import Command, ProposeReply, PutQueues, SetZoneState

__all__ = ["QueueOperations", "StoredQueues"]

READ_TIMEOUT_MS = 900.0  # below the 1 s after which callers try another replica
POLL_MS = 10
ZLIB_LEVEL = 6

QUEUES_PUT = declare_event(
    3101,
    "queues_put",
    Level.INFO,
    "An operator put a queue document. If not accepted, kind tells why: with unknown_outcome its "
    "commit is unconfirmed, with others it was refused. After no_quorum or unknown_outcome look "
    "for majority_missing in the logs of the replicas. took_ms is the time of the whole call.",
)
ZONE_SET = declare_event(
    3102,
    "zone_set",
    Level.INFO,
    "An operator asked to take a zone out of service or back in. If not accepted, kind tells why: "
    "with unknown_outcome its commit is unconfirmed, with others it was refused. After no_quorum "
    "or unknown_outcome look for majority_missing in the logs of the replicas. took_ms is the time "
    "of the whole call.",
)
ORDER_REFUSED = declare_event(
    3104,
    "order_refused",
    Level.INFO,
    "An order to take a zone out of service or back in was read just after a pause of this "
    "replica, so it may be older than others; it was refused, and its caller asks another replica.",
)
QUEUES_READ = declare_event(
    3103,
    "queues_read",
    Level.INFO,
    "An operator asked for the queue document. If not sure, this replica couldn't confirm that it "
    "has the newest one and refused; ask another replica.",
)


class StoredQueues(NamedTuple):
    """The newest queue document.

    Attributes
    ----------
    version : int
        Version of the document, 0 for none.
    source : bytes
        Text as the operator sent it.
    """

    version: int
    source: bytes


class QueueOperations:
    """Executes calls of operators of queues on one replica.

    Parameters
    ----------
    service : ControlService
        The replica.
    router : ProposalRouter
        Brings commands to the leader.
    """

    def __init__(self, service: ControlService, router: ProposalRouter) -> None:
        self._service = service
        self._router = router

    def put_queues(self, version: int, items: dict, source: bytes) -> Awaitable[ProposeReply]:
        """Log a queue document; accepted once a majority has synced it.

        While the reply is awaited, only the compressed document is kept.

        Parameters
        ----------
        version : int
            Version of the document; only one above the stored version changes anything.
        items : dict
            Configuration items of queues and pools by key.
        source : bytes
            Text as the operator sent it.
        """
        document = compress(encode_json(items), ZLIB_LEVEL)
        put = PutQueues(version, document, compress(source, ZLIB_LEVEL))
        return self._submit_queues(put)

    async def _submit_queues(self, put: PutQueues) -> ProposeReply:
        command = Command("", self._service.node.replica_id, put_queues=put)
        started_ms = monotonic_ms()
        reply = await self._router.submit(command)
        emit(QUEUES_PUT, version=put.version, **_describe_reply(reply, started_ms))
        return reply

    async def set_zone(
        self, zone: str, in_service: bool, disconnected: asyncio.Future | None = None
    ) -> Result[ProposeReply, Problem]:
        """Take a zone out of service, or back in, unless the order may be an old one.

        Parameters
        ----------
        zone : str
            Name of the zone.
        in_service : bool
            Whether tasks may start there.
        disconnected : asyncio.Future or None
            Done once the caller has left.
        """
        if not self._service.pauses.is_settled():
            emit(ORDER_REFUSED, zone=zone, open=in_service)
            message = "This replica was paused, so the order may have waited in it for long."
            remedy = "Send it to another replica if it is still wanted."
            return Failure(Problem(ErrorKind.NOT_READY, message, remedy))
        started_ms = monotonic_ms()
        await asyncio.sleep(SETTLE_MS / 1000)
        command = Command(
            uuid4().hex,
            self._service.node.replica_id,
            set_zone_state=SetZoneState(zone, in_service),
        )
        order = PendingOrder(lambda: disconnected is None or not disconnected.done())
        reply = await self._router.submit(command, order=order)
        emit(ZONE_SET, zone=zone, open=in_service, **_describe_reply(reply, started_ms))
        return Success(reply)

    async def read_queues(self) -> Result[StoredQueues, Problem]:
        """Return the newest document once it is certain that no newer one was accepted.

        Fails with ``no_quorum`` if that takes longer than `READ_TIMEOUT_MS`.
        """
        asked_ms = monotonic_ms()
        node = self._service.node
        while True:
            waited_ms = monotonic_ms() - asked_ms
            if node.confirmation_age_ms() < waited_ms:
                break
            if waited_ms > READ_TIMEOUT_MS or self._service.failed.is_set():
                emit(QUEUES_READ, sure=False, age_ms=round(node.confirmation_age_ms()))
                message = "This replica can't confirm that it has the newest document."
                return Failure(Problem(ErrorKind.NO_QUORUM, message, "Ask another replica."))
            await asyncio.sleep(POLL_MS / 1000)
        queues_item = node.machine.read_item(QUEUES_KEY)
        emit(QUEUES_READ, sure=True, version=queues_item["version"] if queues_item else 0)
        if queues_item is None:
            return Success(StoredQueues(0, b""))
        source = decompress(b64decode(node.machine.read_item(QUEUES_SOURCE_KEY)))
        return Success(StoredQueues(queues_item["version"], source))


def _describe_reply(reply: ProposeReply, started_ms: float) -> dict[str, Any]:
    """Return the fields of a log line on a command that was begun at a monotonic time."""
    return {
        "accepted": reply.accepted,
        "at": reply.version,
        "kind": "" if reply.accepted else read_refusal_kind(reply),
        "took_ms": round(monotonic_ms() - started_ms),
    }
