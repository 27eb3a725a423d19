"""HTTP interface for callers and targets (JSON); docs/INTERFACE.md describes it."""

import asyncio
from collections.abc import Callable
from math import ceil
from typing import NamedTuple

import orjson
from returns.result import Failure, Result

from apricotrail.entry._announcements import check_announcement
from apricotrail.entry._submission import Submission, SubmissionLimits, parse_submission
from apricotrail.entry.pipeline import Pipeline
from apricotrail.errors import ErrorKind, Problem
from apricotrail.http import Request, Response, Router, json_response, problem_response
from apricotrail.wire.generated.ttypes import Announcement

__all__ = ["CallerParts", "add_caller_routes"]

MAX_WAIT_MS = 60_000
MAX_WAIT_DIGITS = 9
DEFAULT_LEASE_MS = 10_000
MS_PER_S = 1_000
RETRYABLE_KINDS = frozenset(
    {
        ErrorKind.OVERLOADED,
        ErrorKind.QUOTA_EXCEEDED,
        ErrorKind.NO_QUORUM,
        ErrorKind.STALE_CONFIGURATION,
        ErrorKind.NOT_READY,
        ErrorKind.STOPPING,
    }
)


class CallerParts(NamedTuple):
    """Dependencies of the callers' interface.

    Attributes
    ----------
    pipeline : Pipeline
        Claims, runs, finds and cancels jobs.
    limits : SubmissionLimits
        Bounds on a submission.
    announce : callable
        Records a target's announcement and shares it with the other entries.
    leave : callable
        Marks a target as leaving, by its reference.
    is_ready : callable
        Whether the load balancer should send new connections here.
    retry_after_ms : callable
        Returns after how many milliseconds a refused submission may be sent again.
    render_metrics : callable
        Returns the metrics in the Prometheus text format.
    observe_refusal : callable
        Counts a submission that was refused before anything started.
    """

    pipeline: Pipeline
    limits: SubmissionLimits
    announce: Callable[[Announcement], Result[str, Problem]]
    leave: Callable[[str], Result[str, Problem]]
    is_ready: Callable[[], bool]
    retry_after_ms: Callable[[Submission], float]
    render_metrics: Callable[[], bytes]
    observe_refusal: Callable[[Submission, Problem], None]


def add_caller_routes(router: Router, parts: CallerParts) -> None:
    """Add the routes for callers, for targets and for the platform's probes to `router`."""

    async def submit(request: Request) -> Response:
        return await _submit(parts, request)

    async def read_job(request: Request, caller: str, submission: str) -> Response:
        wait_ms = _read_wait_ms(request)
        found = await parts.pipeline.find(f"{caller}/{submission}", wait_ms)
        if isinstance(found, Failure):
            return problem_response(found.failure())
        result = found.unwrap()
        if result is None:
            return json_response(202, {"job": f"{caller}/{submission}", "state": "running"})
        return Response(result.status, result.body)

    async def cancel_job(request: Request, caller: str, submission: str) -> Response:
        job = f"{caller}/{submission}"
        cancelled = await parts.pipeline.cancel(job)
        if isinstance(cancelled, Failure):
            return problem_response(cancelled.failure())
        return json_response(202, {"job": job, "state": "cancelling"})

    def announce_target(request: Request) -> Response:
        return _answer_announcement(_parse_announcement(request.body).bind(parts.announce))

    def leave_target(request: Request, name: str) -> Response:
        return _answer_announcement(parts.leave(name))

    def answer_healthy(request: Request) -> Response:
        return Response(200, b"ok\n", "text/plain")

    def answer_ready(request: Request) -> Response:
        if parts.is_ready():
            return Response(200, b"ready\n", "text/plain")
        return Response(503, b"not ready\n", "text/plain")

    def answer_metrics(request: Request) -> Response:
        return Response(200, parts.render_metrics(), "text/plain; version=0.0.4")

    router.add("POST", "/v1/jobs", submit)
    router.add("GET", "/v1/jobs/{caller}/{submission}", read_job)
    router.add("DELETE", "/v1/jobs/{caller}/{submission}", cancel_job)
    router.add("POST", "/v1/targets", announce_target)
    router.add("DELETE", "/v1/targets/{name}", leave_target)
    router.add("GET", "/healthz", answer_healthy)
    router.add("GET", "/readyz", answer_ready)
    router.add("GET", "/metrics", answer_metrics)


async def _submit(parts: CallerParts, request: Request) -> Response:
    parsed = parse_submission(request.body, parts.limits)
    if isinstance(parsed, Failure):
        return problem_response(parsed.failure())
    submission = parsed.unwrap()
    begun = await parts.pipeline.begin(submission)
    if isinstance(begun, Failure):
        parts.observe_refusal(submission, begun.failure())
        return _refuse(parts, submission, begun.failure())
    future = begun.unwrap()
    if "respond-async" in request.headers.get("prefer", ""):
        location = ("Location", f"/v1/jobs/{submission.job}")
        return json_response(202, {"job": submission.job, "state": "running"}, (location,))
    if submission.cancel_on_disconnect and request.disconnected is not None:
        await _wait_or_cancel(parts.pipeline, submission.job, future, request.disconnected)
    result = await asyncio.shield(future)
    return Response(result.status, result.body)


async def _wait_or_cancel(
    pipeline: Pipeline, job: str, future: asyncio.Future, disconnected: asyncio.Future
) -> None:
    await asyncio.wait({future, disconnected}, return_when=asyncio.FIRST_COMPLETED)
    if not future.done():
        await pipeline.cancel(job)


def _refuse(parts: CallerParts, submission: Submission, problem: Problem) -> Response:
    if problem.kind not in RETRYABLE_KINDS:
        return problem_response(problem)
    retry_ms = parts.retry_after_ms(submission)
    headers = (
        ("Retry-After", str(ceil(retry_ms / MS_PER_S))),
        ("Apricotrail-Retry-After-Ms", str(ceil(retry_ms))),
    )
    return problem_response(problem, headers=headers)


def _read_wait_ms(request: Request) -> float:
    text = request.query.get("wait_ms", "0")
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_WAIT_DIGITS
    return float(min(int(text), MAX_WAIT_MS)) if is_number else 0.0


def _parse_announcement(body: bytes) -> Result[Announcement, Problem]:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return _malformed(f"The body is not JSON: {error}.")
    if not isinstance(value, dict) or not isinstance(value.get("name"), str):
        return _malformed("name is missing.")
    numbers = ("slots", "connections", "incarnation", "lease_ms")
    if any(type(value.get(key, 1)) is not int for key in numbers):
        return _malformed(f"One of {', '.join(numbers)} is not an integer.")
    if not isinstance(value.get("address"), str):
        return _malformed("address is missing.")
    announcement = Announcement(
        value["name"],
        value["address"],
        value.get("slots", 1),
        value.get("connections", value.get("slots", 1)),
        value.get("incarnation", 1),
        value.get("lease_ms", DEFAULT_LEASE_MS),
        value.get("leaving") is True,
        False,
    )
    return check_announcement(announcement)


def _answer_announcement(recorded: Result[str, Problem]) -> Response:
    if isinstance(recorded, Failure):
        return problem_response(recorded.failure())
    return json_response(200, {"target": recorded.unwrap()})


def _malformed(message: str) -> Failure:
    remedy = 'Send {"name", "address", "slots", "connections", "incarnation", "lease_ms"}.'
    return Failure(Problem(ErrorKind.MALFORMED, message, remedy))
