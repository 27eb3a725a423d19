"""Requests of the command line to an entry, repeated when an answer is lost."""

import asyncio
import sys
from collections.abc import Callable
from json import loads
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import monotonic_ms
from apricotrail.errors import ErrorKind, Problem

__all__ = ["DEFAULT_ENTRY", "Reply", "ask", "explain_refusal", "make_problem", "report_problem"]

DEFAULT_ENTRY = "127.0.0.1:8080"
PAUSE_MS = 200
_LOST = (ErrorKind.UNREACHABLE, ErrorKind.UNKNOWN_OUTCOME, ErrorKind.DEADLINE)


class Reply(NamedTuple):
    """Status code and JSON value of an entry's answer."""

    status: int
    value: Any


async def ask(
    method: str,
    entry: str,
    path: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    timeout_ms: float = 30_000,
    notice: Callable[[str], None] | None = None,
) -> Result[Reply, Problem]:
    """Send an idempotent request until it is answered or the time is up.

    Parameters
    ----------
    method, path : str
        Method in upper case, path with query.
    entry : str
        Address of the entry, ``host:port``.
    body : bytes
        Whole body; the same for every repetition.
    headers : tuple of (str, str)
        Further headers.
    timeout_ms : float
        Time for all tries in milliseconds.
    notice : callable, optional
        Told in words when the request is sent again.

    Returns
    -------
    Result
        The answer, whatever its status; or a problem of kind ``unreachable`` if no try reached the
        entry, ``unknown_outcome`` if one may have been carried out.
    """
    from apricotrail.http import HttpClient

    client = HttpClient()
    until_ms = monotonic_ms() + timeout_ms
    may_have_arrived = False
    try:
        while True:
            left_ms = max(1.0, until_ms - monotonic_ms())
            result = await client.request(
                method, entry, path, body, headers=headers, timeout_ms=left_ms
            )
            if isinstance(result, Success):
                response = result.unwrap()
                return _read_reply(response.status, response.body)
            problem = result.failure()
            may_have_arrived |= problem.kind is not ErrorKind.UNREACHABLE
            if problem.kind not in _LOST or monotonic_ms() + PAUSE_MS >= until_ms:
                return Failure(_settle(problem, may_have_arrived))
            if notice is not None:
                notice(f"{problem.message} Sending the same request again.")
            await asyncio.sleep(PAUSE_MS / 1000)
    finally:
        await client.close()


def make_problem(error: Any) -> Problem:
    """Return the problem that an entry stated as ``{"kind", "message", "remedy"}``."""
    fields = error if isinstance(error, dict) else {}
    kind = fields.get("kind")
    known = kind in ErrorKind._value2member_map_
    return Problem(
        ErrorKind(kind) if known else ErrorKind.INTERNAL,
        str(fields.get("message", "The entry gave no reason.")),
        str(fields.get("remedy", "Look at the entry's log.")),
    )


def explain_refusal(reply: Reply) -> Problem:
    """Return the problem stated in an answer that is no success."""
    value = reply.value if isinstance(reply.value, dict) else {}
    return make_problem(value.get("error"))


def report_problem(problem: Problem) -> None:
    """Print a problem on standard error."""
    print(problem, file=sys.stderr)


def _read_reply(status: int, body: bytes) -> Result[Reply, Problem]:
    try:
        return Success(Reply(status, loads(body)))
    except ValueError:
        message = f"The answer (status {status}) is not JSON."
        remedy = "Check that the address is that of an entry."
        return Failure(Problem(ErrorKind.MALFORMED, message, remedy))


def _settle(problem: Problem, may_have_arrived: bool) -> Problem:
    if problem.kind not in _LOST:
        return problem
    if may_have_arrived:
        remedy = "Repeat the command under the same id: it attaches to what was done before."
        return Problem(ErrorKind.UNKNOWN_OUTCOME, problem.message, remedy)
    return Problem(ErrorKind.UNREACHABLE, problem.message, problem.remedy)
