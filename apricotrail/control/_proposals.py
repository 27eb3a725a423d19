"""Accepts commands from entries and operators on any replica and brings them to the leader."""

import asyncio
import json
from typing import Any

from returns.result import Failure, Result, Success

from apricotrail.clocks import monotonic_ms
from apricotrail.control._acceptance import Promotion, check_acceptance, make_proof
from apricotrail.control._commands import encode_json
from apricotrail.control._members import make_replica_id
from apricotrail.control._requests import Outcome
from apricotrail.control._service import ControlService
from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import declare_setting
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import Command, Propose, ProposeReply

__all__ = ["PROPOSE_MS", "ProposalRouter"]

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
_RETRIED_KINDS = frozenset({ErrorKind.NO_QUORUM.value, ErrorKind.UNREACHABLE.value})
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
        reply = await self.submit(message.command, link.peer.role == "control")
        if reply.accepted and _is_departure(link, message.command):
            self._service.note_departure(link)
        return reply

    async def submit(self, command: Command, forwarded: bool = False) -> ProposeReply:
        """Propose a command here if this replica leads, otherwise on the leader.

        A command that another replica `forwarded` is tried once and not forwarded again. Others
        are retried, but only while nothing can have been logged or if a repetition has no effect.
        Once the outcome of a try is unknown, later tries that were not logged don't change that.
        """
        deadline_ms = monotonic_ms() + self._propose_ms
        unknown: ProposeReply | None = None
        while True:
            left_ms = deadline_ms - monotonic_ms()
            reply = await self._try_once(command, forwarded, left_ms)
            kind = _read_refusal_kind(reply)
            if kind == ErrorKind.UNKNOWN_OUTCOME.value:
                unknown = reply
            elif unknown is not None and not reply.accepted and kind in _UNLOGGED_KINDS:
                reply = unknown
            if forwarded or not self._should_retry(command, reply):
                return reply
            if deadline_ms - monotonic_ms() <= RETRY_MS:
                return reply
            await asyncio.sleep(RETRY_MS / 1000)
            if self._service.failed.is_set():
                return reply

    async def _try_once(self, command: Command, forwarded: bool, left_ms: float) -> ProposeReply:
        if self._service.failed.is_set():
            remedy = "Send it to another replica."
            return self._refuse(Problem(ErrorKind.NO_QUORUM, "This replica has stopped.", remedy))
        if self._service.node.replica.is_leader:
            return await self._propose_here(command, left_ms)
        link = self._service.leader_link
        if link is None or forwarded:
            remedy = "Retry; check that a majority of the control replicas runs and is connected."
            return self._refuse(Problem(ErrorKind.NO_QUORUM, "No leader is known here.", remedy))
        reply = await link.call(Propose(command), max(1.0, left_ms))
        if isinstance(reply, Success):
            return reply.unwrap()
        return self._refuse(reply.failure())

    async def _propose_here(self, command: Command, left_ms: float) -> ProposeReply:
        known = self._service.node.machine.find_answer(command)
        if known is None and command.put_document is not None:
            problem = check_acceptance(self._promotion, command.put_document)
            if problem is not None:
                return self._refuse(problem)
        try:
            async with asyncio.timeout(max(1.0, left_ms) / 1000):
                result = await self._service.propose(command)
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
        kind = _read_refusal_kind(reply)
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


def _is_departure(link: Link, command: Command) -> bool:
    change = command.change_member
    if change is None or change.action != "remove":
        return False
    return make_replica_id(change.name, change.identity) == link.peer.name


def _read_refusal_kind(reply: ProposeReply) -> str:
    return str(_read_json(reply.answer).get("kind", ""))


def _add_proof(answer: bytes, proof: str) -> bytes:
    return encode_json({**_read_json(answer), "acceptance": proof}) if proof else answer


def _read_json(text: bytes | None) -> dict[str, Any]:
    return json.loads(text or b"{}")
