"""``apricotrail submit``: sends a job and prints its answer."""

import asyncio
import sys
from contextlib import suppress
from json import dumps, loads
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from apricotrail.cli._caller_client import DEFAULT_ENTRY, Reply, ask, report_problem
from apricotrail.cli._exit_codes import ExitCode, find_exit_code
from apricotrail.cli._job import print_job
from apricotrail.clocks import monotonic_ms, wall_ms
from apricotrail.errors import ErrorKind, Problem

__all__ = ["make_submission_id", "submit"]

MAX_JOB_BYTES = 32 * 1024 * 1024
DEFAULT_TIMEOUT_MS = 60_000
PROGRESS_MS = 100
_EXAMPLE = '{"caller": "counter", "service": "quotes", "tasks": [{"body": "..."}]}'


def submit(
    file: Path,
    *,
    entry: str = DEFAULT_ENTRY,
    submission: str = "",
    caller: str = "",
    service: str = "",
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json: bool = False,
) -> ExitCode:
    """Submit a job and wait for its answer.

    If the answer is lost, the same submission is sent again: it attaches to the job and starts
    nothing twice.

    Parameters
    ----------
    file : Path
        Job as JSON, as for POST /v1/jobs; - for standard input.
    entry : str
        Address of an entry, host:port.
    submission : str
        Submission id in place of the file's; without any a new one is made.
    caller : str
        Caller in place of the file's.
    service : str
        Service in place of the file's, in any naming scheme.
    timeout_ms : int
        Time to wait for the answer in ms.
    json : bool
        Print the entry's answer as one JSON document.
    """
    given = {"submission": submission, "caller": caller, "service": service}
    read = _read_job(file, {name: value for name, value in given.items() if value})
    if isinstance(read, Failure):
        report_problem(read.failure())
        return ExitCode.REFUSED
    job = read.unwrap()
    result = asyncio.run(_send(job, entry, timeout_ms))
    if isinstance(result, Failure):
        problem = result.failure()
        report_problem(problem)
        print(f"submission: {job['submission']}", file=sys.stderr)
        return find_exit_code(problem)
    return print_job(result.unwrap(), json)


def make_submission_id(now_ms: int) -> str:
    """Return a UUID of version 7 (RFC 9562) for a time of the wall clock in milliseconds.

    Examples
    --------
    >>> make_submission_id(0)[:15]
    '00000000-0000-7'
    """
    from os import urandom
    from uuid import UUID

    random = int.from_bytes(urandom(10), "big")
    number = (now_ms & 0xFFFF_FFFF_FFFF) << 80 | random
    number = number & ~(0xF << 76) | 0x7 << 76
    number = number & ~(0x3 << 62) | 0x2 << 62
    return str(UUID(int=number))


def _read_job(file: Path, given: dict[str, str]) -> Result[dict[str, Any], Problem]:
    try:
        source = sys.stdin.buffer if str(file) == "-" else file.open("rb")
        with source:
            text = source.read(MAX_JOB_BYTES + 1)
        job = loads(text)
    except (OSError, ValueError) as error:
        return Failure(_malformed(f"{file}: {error}."))
    if len(text) > MAX_JOB_BYTES:
        return Failure(_malformed(f"{file} is over {MAX_JOB_BYTES} bytes."))
    if not isinstance(job, dict):
        return Failure(_malformed(f"{file} is not a JSON object."))
    job = {**job, **given}
    job.setdefault("submission", make_submission_id(wall_ms()))
    missing = [name for name in ("caller", "service", "tasks") if name not in job]
    if missing:
        return Failure(_malformed(f"{file} lacks {', '.join(missing)}."))
    return Success(job)


def _malformed(message: str) -> Problem:
    return Problem(ErrorKind.MALFORMED, message, f"Write the job like {_EXAMPLE}.")


async def _send(job: dict[str, Any], entry: str, timeout_ms: int) -> Result[Reply, Problem]:
    body = dumps(job).encode()
    headers = (("Content-Type", "application/json"),)
    progress = None
    if sys.stderr.isatty():
        progress = asyncio.ensure_future(_show_progress(len(job["tasks"])))
    try:
        return await ask("POST", entry, "/v1/jobs", body, headers, timeout_ms, _notice)
    finally:
        if progress is not None:
            progress.cancel()
            with suppress(asyncio.CancelledError):
                await progress
            print("\r\x1b[K", end="", file=sys.stderr, flush=True)


async def _show_progress(tasks: int) -> None:
    began_ms = monotonic_ms()
    while True:
        waited_s = (monotonic_ms() - began_ms) / 1000
        print(f"\r{tasks} tasks, waiting {waited_s:.1f} s", end="", file=sys.stderr, flush=True)
        await asyncio.sleep(PROGRESS_MS / 1000)


def _notice(text: str) -> None:
    print(text, file=sys.stderr)
