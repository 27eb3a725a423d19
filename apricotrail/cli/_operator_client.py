"""Calls to the operators' interface of an entry, sent again when an answer is lost.

A change carries a request id, so control carries it out once however often it is sent. The client
tries every entry in turn until one answers or the time is over.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import Clock, monotonic_ms
from apricotrail.errors import ErrorKind, Problem
from apricotrail.http import HttpClient, Response

__all__ = ["Call", "OperatorClient", "Refusal", "Reply"]

ATTEMPT_MS = 15_000
MIN_ATTEMPT_MS = 1_000
"""No further attempt is begun with less time left: it would only leave the outcome unknown."""
PAUSE_MS = 200
_RETRIED_KINDS = frozenset(
    {
        ErrorKind.UNREACHABLE,
        ErrorKind.UNKNOWN_OUTCOME,
        ErrorKind.NO_QUORUM,
        ErrorKind.NOT_READY,
        ErrorKind.STALE_CONFIGURATION,
        ErrorKind.STOPPING,
    }
)
_UNSENT_KINDS = _RETRIED_KINDS - {ErrorKind.UNKNOWN_OUTCOME}


class Call(NamedTuple):
    """One call; `request_id` is empty for a call that changes nothing."""

    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    request_id: str = ""


class Reply(NamedTuple):
    """A successful answer: JSON in `value` (None for other media types) and how often it took."""

    value: Any
    response: Response
    attempts: int


class Refusal(NamedTuple):
    """Why a call was not carried out, or that its outcome is unknown.

    Attributes
    ----------
    problem : Problem
        For a person.
    details : dict
        Further fields, such as ``problems`` or ``winner``.
    """

    problem: Problem
    details: Mapping[str, Any] = {}


class OperatorClient:
    """Calls over any of several entries.

    Parameters
    ----------
    entries : sequence of str
        Operators' addresses of entries, ``host:port``.
    token : str
        Bearer token.
    author : str
        Who makes the changes.
    timeout_ms : float
        Time for one call with all its attempts.
    notify : callable
        Takes a line for the person at the terminal.
    clock : Clock
        Monotonic time in milliseconds.
    sleep : callable
        Waits some seconds.
    """

    def __init__(
        self,
        entries: Sequence[str],
        token: str,
        author: str,
        timeout_ms: float,
        notify: Callable[[str], None],
        clock: Clock = monotonic_ms,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._entries = list(entries)
        self._headers = (
            ("Authorization", f"Bearer {token}"),
            ("Apricotrail-Author", author),
        )
        self._timeout_ms = timeout_ms
        self._notify = notify
        self._clock = clock
        self._sleep = sleep
        self._http = HttpClient()

    async def call(self, call: Call) -> Result[Reply, Refusal]:
        """Send a call until an entry decides it or the time is over.

        Returns
        -------
        Result
            The answer, or the refusal. Its kind is ``unreachable`` if the call certainly had no
            effect, and ``unknown_outcome`` if it was sent and no answer came.
        """
        end_ms = self._clock() + self._timeout_ms
        lost = False
        attempts = 0
        while True:
            entry = self._entries[attempts % len(self._entries)]
            attempts += 1
            refusal = await self._attempt(call, entry, end_ms, attempts)
            if isinstance(refusal, Reply):
                return Success(refusal)
            if refusal.problem.kind not in _RETRIED_KINDS:
                return Failure(_doubt(refusal, call) if lost else refusal)
            lost = lost or refusal.problem.kind not in _UNSENT_KINDS
            if end_ms - self._clock() < MIN_ATTEMPT_MS:
                return Failure(_give_up(refusal, call, lost))
            self._announce_retry(call, entry, refusal.problem)
            if attempts % len(self._entries) == 0:
                await self._sleep(PAUSE_MS / 1000)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def _attempt(
        self, call: Call, entry: str, end_ms: float, attempts: int
    ) -> Reply | Refusal:
        headers = self._headers + call.headers
        if call.request_id:
            headers += (("Apricotrail-Request-Id", call.request_id),)
        timeout_ms = min(ATTEMPT_MS, end_ms - self._clock())
        sent = await self._http.request(
            call.method, entry, call.path, call.body, headers, timeout_ms
        )
        if isinstance(sent, Success):
            return _read(sent.unwrap(), attempts)
        problem = sent.failure()
        if problem.kind is ErrorKind.UNREACHABLE:
            return Refusal(problem)
        return Refusal(problem._replace(kind=ErrorKind.UNKNOWN_OUTCOME))

    def _announce_retry(self, call: Call, entry: str, problem: Problem) -> None:
        if problem.kind in _UNSENT_KINDS or not call.request_id:
            return
        self._notify(
            f"{entry}: the answer was lost ({problem.message}) "
            f"Sending again under the same request id {call.request_id}."
        )


def _read(response: Response, attempts: int) -> Reply | Refusal:
    value = _read_json(response)
    if 200 <= response.status < 300:
        return Reply(value, response, attempts)
    error = value.get("error") if isinstance(value, dict) else None
    if not isinstance(error, dict):
        message = f"The address answered with status {response.status} and no reason."
        remedy = "Check that it is the operators' address of an entry."
        return Refusal(Problem(ErrorKind.REFUSED, message, remedy))
    details = dict(error)
    texts = [str(details.pop(name, "")) for name in ("kind", "message", "remedy")]
    kind = _read_kind(texts[0])
    if "version" in value:
        details["version"] = value["version"]
    return Refusal(Problem(kind, texts[1], texts[2]), details)


def _read_json(response: Response) -> Any:
    if not response.content_type.startswith("application/json"):
        return None
    try:
        return json.loads(response.body)
    except ValueError:
        return None


def _read_kind(text: str) -> ErrorKind:
    try:
        return ErrorKind(text)
    except ValueError:
        return ErrorKind.REFUSED


def _doubt(refusal: Refusal, call: Call) -> Refusal:
    """Return the refusal if control itself decided; else an earlier attempt may have worked."""
    if not call.request_id or "version" in refusal.details:
        return refusal
    message = f"A former answer was lost, then: {refusal.problem.message}"
    return Refusal(_unknown(message, call), refusal.details)


def _give_up(refusal: Refusal, call: Call, lost: bool) -> Refusal:
    problem = refusal.problem
    if lost and call.request_id:
        return Refusal(_unknown(f"No answer came in time: {problem.message}", call))
    kind = ErrorKind.UNREACHABLE if lost else problem.kind
    message = f"No entry could answer in time: {problem.message}"
    return Refusal(Problem(kind, message, problem.remedy), refusal.details)


def _unknown(message: str, call: Call) -> Problem:
    remedy = f"Run the command again with --request-id {call.request_id}."
    return Problem(ErrorKind.UNKNOWN_OUTCOME, message, remedy)
