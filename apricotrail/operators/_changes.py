"""Changes by operators: identified by a request id, carried out once, awaited until in force."""

import asyncio
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import wall_ms
from apricotrail.errors import ErrorKind, Problem, http_status
from apricotrail.events import Level, declare_event, emit
from apricotrail.http import Request, Response, json_response, problem_response
from apricotrail.operators._parts import OperatorParts
from apricotrail.wire.generated.ttypes import Command, ProposeReply

__all__ = ["AUTHOR_HEADER", "REQUEST_ID_HEADER", "change", "read_command"]

REQUEST_ID_HEADER = "apricotrail-request-id"
AUTHOR_HEADER = "apricotrail-author"
MAX_HEADER_CHARACTERS = 128
DEFAULT_AUTHOR = "unknown"
POLL_MS = 100
SETTLE_MS = 20  # after this the end of a connection is read that came with the request
MS_PER_S = 1_000
CONFIRMED = "confirmed"
STALE_LIMIT = "stale_limit"
CLOCK_MARGIN = 1.05
"""Factor on the stale limit, for clocks of nodes that run slower than this one's."""

CHANGE_ACCEPTED = declare_event(
    6001, "change_accepted", Level.INFO, "Control accepted an operator's change."
)
CHANGE_REFUSED = declare_event(
    6002, "change_refused", Level.WARNING, "Control refused an operator's change."
)


class _Force(NamedTuple):
    in_force: str
    behind: list[str]


def read_command(request: Request) -> Result[Command, Problem]:
    """Return a command with the request's id, author and ``expect``, still without a change.

    Returns
    -------
    Result
        The command, or a ``malformed`` problem.
    """
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    author = request.headers.get(AUTHOR_HEADER, DEFAULT_AUTHOR)
    if not _is_short_text(request_id):
        remedy = "Send Apricotrail-Request-Id, new for each change and the same for a resend."
        return Failure(Problem(ErrorKind.MALFORMED, "The change has no request id.", remedy))
    if not _is_short_text(author):
        remedy = f"Send Apricotrail-Author with 1 to {MAX_HEADER_CHARACTERS} characters."
        return Failure(Problem(ErrorKind.MALFORMED, "The author is not readable.", remedy))
    command = Command(request_id=f"operator/{request_id}", author=author, wall_ms=wall_ms())
    expect = request.query.get("expect")
    if expect is None:
        return Success(command)
    if not (expect.isascii() and expect.isdigit() and len(expect) < 19):
        remedy = "Give the configuration version that the change is based on, as expect=17."
        return Failure(Problem(ErrorKind.MALFORMED, "expect is not a version.", remedy))
    command.expect = int(expect)
    return Success(command)


async def change(
    parts: OperatorParts,
    request: Request,
    fill: Callable[[Command], None],
    details: dict[str, Any],
) -> Response:
    """Propose a change and answer once it is in force everywhere, or the stale limit has passed.

    Parameters
    ----------
    parts : OperatorParts
        Functions of the entry.
    request : Request
        The operator's request.
    fill : callable
        Puts the change into the command.
    details : dict
        Further fields of a successful answer.

    Returns
    -------
    Response
        ``in_force`` is "confirmed" if every node confirmed the version, "stale_limit" if those
        that did not, ``behind``, have certainly stopped starting tasks.
    """
    read = read_command(request)
    if isinstance(read, Failure):
        return problem_response(read.failure())
    command = read.unwrap()
    fill(command)
    if await _has_caller_left(request):
        # It may have given another order since, which this one would undo.
        remedy = "Send the change again under the same request id if it is still wanted."
        message = "The caller left before the change was proposed; nothing was recorded."
        return problem_response(Problem(ErrorKind.CANCELLED, message, remedy))
    proposed = await parts.propose(command)
    if isinstance(proposed, Failure):
        return problem_response(proposed.failure())
    reply = proposed.unwrap()
    if not reply.accepted:
        return _refuse(command, reply)
    emit(CHANGE_ACCEPTED, author=command.author, version=reply.version)
    force = await _wait_in_force(parts, reply.version or 0)
    answer = {**_read_answer(reply), **details, "version": reply.version, **force._asdict()}
    return json_response(200, answer)


async def _has_caller_left(request: Request) -> bool:
    if request.disconnected is None:
        return False
    await asyncio.sleep(SETTLE_MS / MS_PER_S)
    return request.disconnected.done()


def _refuse(command: Command, reply: ProposeReply) -> Response:
    answer = _read_answer(reply)
    if "kind" not in answer:
        message = "Control has no leader at the moment; nothing was recorded."
        remedy = "Send the change again under the same request id."
        return problem_response(Problem(ErrorKind.NO_QUORUM, message, remedy))
    emit(CHANGE_REFUSED, author=command.author, kind=answer["kind"])
    version = answer.pop("version", reply.version)
    status = http_status(ErrorKind(answer["kind"]))
    return json_response(status, {"error": answer, "version": version})


def _read_answer(reply: ProposeReply) -> dict[str, Any]:
    try:
        answer = json.loads(reply.answer or b"{}")
    except ValueError:
        return {}
    return answer if isinstance(answer, dict) else {}


async def _wait_in_force(parts: OperatorParts, version: int) -> _Force:
    end_ms = parts.clock() + parts.stale_ms * CLOCK_MARGIN
    while parts.clock() < end_ms:
        remaining_s = (end_ms - parts.clock()) / MS_PER_S
        force = await _ask_force(parts, version, remaining_s)
        if force is not None:
            return force
        await asyncio.sleep(min(POLL_MS / MS_PER_S, remaining_s))
    return _Force(STALE_LIMIT, [])


async def _ask_force(parts: OperatorParts, version: int, limit_s: float) -> _Force | None:
    try:
        async with asyncio.timeout(limit_s):
            asked = await parts.ask_status("forced", version)
    except TimeoutError:
        return None
    if isinstance(asked, Failure):
        return None
    try:
        answer = json.loads(asked.unwrap())
    except ValueError:
        return None
    if not isinstance(answer, dict) or answer.get("in_force") is not True:
        return None
    how = CONFIRMED if answer.get("how") == CONFIRMED else STALE_LIMIT
    return _Force(how, list(answer.get("behind", ())))


def _is_short_text(text: str) -> bool:
    return 0 < len(text) <= MAX_HEADER_CHARACTERS and text.isprintable()
