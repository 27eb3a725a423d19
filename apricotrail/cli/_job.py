"""``apricotrail job``: show or cancel a submitted job."""

import asyncio
import sys
from collections import Counter
from json import dumps
from typing import Any
from urllib.parse import quote

from returns.result import Failure

from apricotrail.cli._caller_client import (
    DEFAULT_ENTRY,
    Reply,
    ask,
    explain_refusal,
    make_problem,
    report_problem,
)
from apricotrail.cli._exit_codes import ExitCode, find_exit_code

__all__ = ["JOB_COMMANDS", "cancel", "print_job", "show"]

MARGIN_MS = 10_000


def show(
    caller: str,
    submission: str,
    *,
    entry: str = DEFAULT_ENTRY,
    wait_ms: int = 0,
    json: bool = False,
) -> ExitCode:
    """Print the answer of a job, or that it is still running.

    Parameters
    ----------
    caller : str
        Caller that submitted the job.
    submission : str
        Its submission id.
    entry : str
        Address of any entry, host:port.
    wait_ms : int
        Time to wait for the job to finish in ms.
    json : bool
        Print the entry's answer as one JSON document.
    """
    path = f"{_make_path(caller, submission)}?wait_ms={max(0, wait_ms)}"
    return _run("GET", entry, path, wait_ms + MARGIN_MS, json)


def cancel(
    caller: str, submission: str, *, entry: str = DEFAULT_ENTRY, json: bool = False
) -> ExitCode:
    """Cancel a job: tasks not yet started are not run, running ones are told to stop.

    Parameters
    ----------
    caller : str
        Caller that submitted the job.
    submission : str
        Its submission id.
    entry : str
        Address of any entry, host:port.
    json : bool
        Print the entry's answer as one JSON document.
    """
    return _run("DELETE", entry, _make_path(caller, submission), MARGIN_MS, json)


def print_job(reply: Reply, json: bool) -> ExitCode:
    """Print an entry's answer about a job and return the exit code it stands for.

    A complete job's answers go to standard output, one JSON value a line; all else goes to standard
    error.
    """
    value = reply.value if isinstance(reply.value, dict) else {}
    if json:
        print(dumps(reply.value))
    if value.get("state") == "failed" or reply.status >= 400:
        return _print_failure(reply, value, json)
    if not json:
        _print_success(value)
    return ExitCode.DONE


def _run(method: str, entry: str, path: str, timeout_ms: int, json: bool) -> ExitCode:
    result = asyncio.run(ask(method, entry, path, timeout_ms=timeout_ms, notice=_notice))
    if isinstance(result, Failure):
        report_problem(result.failure())
        return find_exit_code(result.failure())
    return print_job(result.unwrap(), json)


def _print_success(value: dict[str, Any]) -> None:
    answers = value.get("answers", [])
    for answer in answers:
        print(dumps(answer, ensure_ascii=False))
    count = f", {len(answers)} answers" if answers else ""
    print(f"job {value.get('job', '')}: {value.get('state', 'accepted')}{count}", file=sys.stderr)


def _print_failure(reply: Reply, value: dict[str, Any], json: bool) -> ExitCode:
    problem = make_problem(value["error"]) if "error" in value else explain_refusal(reply)
    states = Counter(
        str(task.get("state")) for task in value.get("tasks", ()) if isinstance(task, dict)
    )
    if not json:
        report_problem(problem)
        counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
        if counts:
            print(f"tasks: {counts}", file=sys.stderr)
    if states["may_have_run"]:
        return ExitCode.UNKNOWN_OUTCOME
    return find_exit_code(problem)


def _make_path(caller: str, submission: str) -> str:
    return f"/v1/jobs/{quote(caller, safe='')}/{quote(submission, safe='')}"


def _notice(text: str) -> None:
    print(text, file=sys.stderr)


JOB_COMMANDS = {"cancel": cancel, "show": show}
