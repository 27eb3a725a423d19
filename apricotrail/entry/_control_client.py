"""Calls to control through any linked replica."""

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
    "Time for control to answer a proposal or a query.",
    unit="ms",
    minimum=100,
)


class ControlClient:
    """Sends the proposals and status queries of one entry to control.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Links of this entry.
    call_ms : float
        Time limit of one call in milliseconds.
    """

    def __init__(self, endpoint: LinkEndpoint, call_ms: float) -> None:
        self._endpoint = endpoint
        self._call_ms = call_ms

    async def propose(self, command: Command) -> Result[ProposeReply, Problem]:
        """Propose a command to the replicated log; any replica forwards it to the leader.

        Returns
        -------
        Result
            The reply; ``unreachable`` if it was not sent, ``unknown_outcome`` if it was sent but
            not answered: send it again under the same request id.
        """
        problem = _describe_no_linked_replica()
        for link in self._replicas():
            reply = await link.call(Propose(command), self._call_ms)
            if isinstance(reply, Success):
                return reply
            problem = reply.failure()
            if problem.kind is ErrorKind.UNKNOWN_OUTCOME:
                break
        return Failure(problem)

    async def ask_status(self, what: str, number: int = 0) -> Result[bytes, Problem]:
        """Return the body of control's answer to a query.

        Parameters
        ----------
        what : str
            ``status`` or ``history`` (JSON), ``document`` (its text), or ``forced`` (JSON), which
            waits until a version is in force.
        number : int
            Number of the document, or the version to wait for.

        Returns
        -------
        Result
            The body, or the last problem if no linked replica answered.
        """
        problem = _describe_no_linked_replica()
        for link in self._replicas():
            reply = await link.call(StatusRequest(what, number), self._call_ms)
            if isinstance(reply, Success):
                answer: StatusReply = reply.unwrap()
                return Success(answer.body or b"")
            problem = reply.failure()
        return Failure(problem)

    async def assign_host(self, request_id: str, assignment: AssignHost) -> bool:
        """Propose which entry hosts a target's agent; return whether control accepted it."""
        author = self._endpoint.identity.name
        command = Command(request_id, author, wall_ms(), assign_host=assignment)
        reply = await self.propose(command)
        return isinstance(reply, Success) and bool(reply.unwrap().accepted)

    def _replicas(self) -> list[Link]:
        return [link for link in self._endpoint.links.values() if link.peer.role == "control"]


def _describe_no_linked_replica() -> Problem:
    remedy = "Check control.addresses and that a majority of the replicas runs; then retry."
    return Problem(ErrorKind.UNREACHABLE, "No control replica is linked.", remedy)
