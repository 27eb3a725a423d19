"""Calls to control over whichever replica is linked."""

from returns.result import Failure, Result, Success

from apricotrail.clocks import wall_ms
from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import declare_setting
from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    AssignHost,
    Command,
    Propose,
    ProposeReply,
    StatusReply,
    StatusRequest,
)

__all__ = ["CONTROL_CALL_MS", "ControlClient"]

CONTROL_CALL_MS = declare_setting(
    "entry.control_call_ms",
    8_000,
    "Time for control to answer a proposal or a question.",
    unit="ms",
    minimum=100,
)


class ControlClient:
    """Proposals and questions of one entry.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Links of this entry.
    call_ms : float
        Time for one call in milliseconds.
    """

    def __init__(self, endpoint: LinkEndpoint, call_ms: float) -> None:
        self._endpoint = endpoint
        self._call_ms = call_ms

    async def propose(self, command: Command) -> Result[ProposeReply, Problem]:
        """Propose a command; every replica passes it on to the leader.

        Returns
        -------
        Result
            The reply; ``unreachable`` if it was not sent, ``unknown_outcome`` if it was sent and no
            reply came: send it again under the same request id.
        """
        problem = _no_control()
        for link in self._replicas():
            reply = await link.call(Propose(command), self._call_ms)
            if isinstance(reply, Success):
                return reply
            problem = reply.failure()
            if problem.kind is ErrorKind.UNKNOWN_OUTCOME:
                break
        return Failure(problem)

    async def ask_status(self, what: str, number: int = 0) -> Result[bytes, Problem]:
        """Ask control for its status, history, a document, or until a version is in force."""
        problem = _no_control()
        for link in self._replicas():
            reply = await link.call(StatusRequest(what, number), self._call_ms)
            if isinstance(reply, Success):
                answer: StatusReply = reply.unwrap()
                return Success(answer.body or b"")
            problem = reply.failure()
        return Failure(problem)

    async def assign_host(self, request_id: str, assignment: AssignHost) -> bool:
        """Propose that this entry hosts a target; returns whether it was accepted."""
        author = self._endpoint.identity.name
        command = Command(request_id, author, wall_ms(), assign_host=assignment)
        reply = await self.propose(command)
        return isinstance(reply, Success) and bool(reply.unwrap().accepted)

    def _replicas(self) -> list[Link]:
        return [link for link in self._endpoint.links.values() if link.peer.role == "control"]


def _no_control() -> Problem:
    remedy = "Check control.addresses and that a majority of the replicas runs; then retry."
    return Problem(ErrorKind.UNREACHABLE, "No control replica is linked.", remedy)
