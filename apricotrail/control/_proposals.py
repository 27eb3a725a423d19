"""Accepts commands from entries and operators on any replica and brings them to the leader."""

import asyncio
import json
from typing import Any

from returns.result import Failure, Result, Success

from apricotrail.clocks import monotonic_ms
from apricotrail.control._acceptance import Promotion, check_acceptance, make_proof
from apricotrail.control._commands import encode_json
from apricotrail.control._members import make_replica_id
from apricotrail.control._orders import ORDER_ANSWER_MS, ORDER_TRY_MS, PendingOrder
from apricotrail.control._requests import Outcome
from apricotrail.control._service import ControlService
from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import declare_setting
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import Command, Propose, ProposeReply

__all__ = ["PROPOSE_MS", "ProposalRouter", "read_refusal_kind"]

PROPOSE_MS = declare_setting(
    "control.propose_ms",
    5_000,
    "Longest time to bring a change to the leader and commit it.",
    unit="ms",
    minimum=100,
    maximum=60_000,
)
RETRY_MS = 50
MAX_REQUEST_ID_CHARS = 200
_PROPOSERS = frozenset({"control", "entry"})
_RETRIED_KINDS = frozenset(
    {
        ErrorKind.NO_QUORUM.value,
        ErrorKind.UNREACHABLE.value,
        ErrorKind.STALE_CONFIGURATION.value,
    }
)
_UNLOGGED_KINDS = frozenset({*_RETRIED_KINDS, ErrorKind.OVERLOADED.value})


class ProposalRouter:
    """Answers `Propose`.

    Parameters
    ----------
    service : ControlService
        The replica and its links.
    promotion : Promotion
        Rules by which this environment accepts documents.
    propose_ms : float
        Longest time for one command, in milliseconds.
    """

    def __init__(self, service: ControlService, promotion: Promotion, propose_ms: float) -> None:
        self._service = service
        self._promotion = promotion
        self._propose_ms = propose_ms

    async def answer(self, link: Link, message: Propose) -> ProposeReply:
        """Check a command from a link and submit it."""
        if link.peer.role not in _PROPOSERS:
            remedy = "Propose through an entry."
            return self._refuse(Problem(ErrorKind.UNAUTHORISED, "This link may not.", remedy))
        problem = _check_command(message.command)
        if problem is not None:
            return self._refuse(problem)
        is_forwarded = link.peer.role == "control"
        reply = await self.submit(message.command, is_forwarded, based_on=message.based_on)
        if reply.accepted and _is_departure(link, message.command):
            self._service.note_departure(link)
        return reply

    async def submit(
        self,
        command: Command,
        forwarded: bool = False,
        order: PendingOrder | None = None,
        based_on: int | None = None,
    ) -> ProposeReply:
        """Propose a command here if this replica leads, otherwise on the leader.

        A command that another replica `forwarded` is tried once and not forwarded again. Others
        are retried, but only while nothing can have been logged or if a repetition has no effect.
        Once the outcome of a try is unknown, later tries that were not logged don't change that.

        Parameters
        ----------
        command : Command
            The command.
        forwarded : bool
            Whether another replica sent it.
        order : PendingOrder or None
            Given for an order without a version, which is tried only while it can be the newest.
        based_on : int or None
            `Node.propose` explains it; for an `order` it is filled in here.
        """
        started_ms = monotonic_ms()
        answer_ms, try_ms = _find_limits(self._propose_ms, order)
        unknown: ProposeReply | None = None
        while True:
            if order is not None:
                based_on = self._service.node.applied_index
            if order is not None and not order.is_wanted():
                return unknown or self._refuse(_make_left_problem())
            left_ms = started_ms + answer_ms - monotonic_ms()
            reply = await self._try_once(command, forwarded, left_ms, based_on)
            kind = read_refusal_kind(reply)
            if kind == ErrorKind.UNKNOWN_OUTCOME.value:
                unknown = reply
            elif unknown is not None and not reply.accepted and kind in _UNLOGGED_KINDS:
                reply = unknown
            if forwarded or not self._should_retry(command, reply):
                return reply
            if started_ms + try_ms - monotonic_ms() <= RETRY_MS:
                return reply
            await asyncio.sleep(RETRY_MS / 1000)
            if self._service.failed.is_set():
                return reply

    async def _try_once(
        self, command: Command, forwarded: bool, left_ms: float, based_on: int | None
    ) -> ProposeReply:
        if self._service.failed.is_set():
            remedy = "Send it to another replica."
            return self._refuse(Problem(ErrorKind.NO_QUORUM, "This replica has stopped.", remedy))
        if self._service.node.replica.is_leader:
            return await self._propose_here(command, left_ms, based_on)
        link = self._service.leader_link
        if link is None or forwarded:
            remedy = "Retry; check that a majority of the control replicas runs and is connected."
            return self._refuse(Problem(ErrorKind.NO_QUORUM, "No leader is known here.", remedy))
        reply = await link.call(Propose(command, based_on), max(1.0, left_ms))
        if isinstance(reply, Success):
            return reply.unwrap()
        return self._refuse(reply.failure())

    async def _propose_here(
        self, command: Command, left_ms: float, based_on: int | None
    ) -> ProposeReply:
        known = self._service.node.machine.find_answer(command)
        if known is None and command.put_document is not None:
            problem = check_acceptance(self._promotion, command.put_document)
            if problem is not None:
                return self._refuse(problem)
        try:
            async with asyncio.timeout(max(1.0, left_ms) / 1000):
                result = await self._service.propose(command, based_on)
        except TimeoutError:
            remedy = "Send it again under the same request id: it may still be committed."
            message = "The change was logged but not committed in time."
            result = Failure(Problem(ErrorKind.UNKNOWN_OUTCOME, message, remedy))
        return self._make_reply(command, result)

    def _make_reply(self, command: Command, result: Result[Outcome, Problem]) -> ProposeReply:
        if not isinstance(result, Success):
            return self._refuse(result.failure())
        outcome = result.unwrap()
        answer = outcome.answer
        if outcome.accepted and command.put_document is not None:
            answer = _add_proof(answer, make_proof(self._promotion, command.put_document))
        return ProposeReply(outcome.accepted, outcome.version, answer)

    def _should_retry(self, command: Command, reply: ProposeReply) -> bool:
        if reply.accepted:
            return False
        kind = read_refusal_kind(reply)
        if kind in _RETRIED_KINDS:
            return True
        # A queue document of a version that is stored already changes nothing.
        is_idempotent = bool(command.request_id) or command.put_queues is not None
        return kind == ErrorKind.UNKNOWN_OUTCOME.value and is_idempotent

    def _refuse(self, problem: Problem) -> ProposeReply:
        version = self._service.node.machine.version
        answer = {
            "kind": problem.kind.value,
            "message": problem.message,
            "remedy": problem.remedy,
            "version": version,
        }
        return ProposeReply(False, version, encode_json(answer))


def _check_command(command: Command | None) -> Problem | None:
    if command is None:
        return Problem(ErrorKind.MALFORMED, "The proposal has no command.", "Send one.")
    if len(command.request_id or "") > MAX_REQUEST_ID_CHARS:
        message = f"The request id is longer than {MAX_REQUEST_ID_CHARS} characters."
        return Problem(ErrorKind.MALFORMED, message, "Choose a shorter one, such as a UUID.")
    return None


def _find_limits(propose_ms: float, order: PendingOrder | None) -> tuple[float, float]:
    """Return for how long a command is waited for, and within what time its tries begin, in ms."""
    if order is None:
        return propose_ms, propose_ms
    answer_ms = min(propose_ms, ORDER_ANSWER_MS)
    return answer_ms, min(answer_ms, ORDER_TRY_MS)


def _make_left_problem() -> Problem:
    message = "The caller left before its order was carried out."
    return Problem(ErrorKind.CANCELLED, message, "Send it again if it is still wanted.")


def _is_departure(link: Link, command: Command) -> bool:
    change = command.change_member
    if change is None or change.action != "remove":
        return False
    return make_replica_id(change.name, change.identity) == link.peer.name


def read_refusal_kind(reply: ProposeReply) -> str:
    """Return the kind of the problem for which a command was not accepted, else an empty text."""
    return str(_read_json(reply.answer).get("kind", ""))


def _add_proof(answer: bytes, proof: str) -> bytes:
    return encode_json({**_read_json(answer), "acceptance": proof}) if proof else answer


def _read_json(text: bytes | None) -> dict[str, Any]:
    return json.loads(text or b"{}")
