"""HTTP requests to the target that run and stop a task, and how responses become outcomes."""

import math
from collections.abc import Callable
from urllib.parse import quote

from returns.result import Success

from apricotrail.agent._records import Outcome
from apricotrail.errors import ErrorKind, Problem
from apricotrail.http import HttpClient, Response
from apricotrail.wire.generated.ttypes import Reason, TaskState

__all__ = ["BUDGET_HEADER", "NOT_RUN_HEADER", "run_task", "stop_task", "task_path"]

BUDGET_HEADER = "Apricotrail-Budget-Ms"  # of a request: milliseconds left for the task
NOT_RUN_HEADER = "apricotrail-not-run"  # of a response: "1" if the target has not run the task
STATUS_UNAVAILABLE = 503

# By kind of problem. Nothing was sent to an unreachable target; else the request was sent.
# WRONG_LENGTH stands for every answer that is broken, cut short or without a length.
_PROBLEM_OUTCOMES = {
    ErrorKind.UNREACHABLE: (TaskState.NOT_RUN, Reason.TARGET_UNREACHABLE),
    ErrorKind.DEADLINE: (TaskState.MAY_HAVE_RUN, Reason.TARGET_SILENT),
    ErrorKind.MALFORMED: (TaskState.MAY_HAVE_RUN, Reason.WRONG_LENGTH),
    ErrorKind.TOO_LARGE: (TaskState.FAILED, Reason.TARGET_ERROR),
}


def task_path(job: str, task: int) -> str:
    """Return the path of a task on its target.

    Examples
    --------
    >>> task_path("surf school/42", 3)
    '/tasks/surf%20school%2F42/3'
    """
    return f"/tasks/{quote(job, safe='')}/{task}"


async def run_task(
    client: HttpClient,
    address: str,
    job: str,
    task: int,
    body: bytes,
    budget_ms: float,
    find_closed_reason: Callable[[], int],
    max_answer_bytes: int | None = None,
) -> Outcome:
    """Run a task on the target and return its outcome.

    Parameters
    ----------
    client : HttpClient
        Connections to targets.
    address : str
        Target's server as ``host:port``.
    job, task : str, int
        Id of the job, and number of the task in it.
    body : bytes
        Task's body.
    budget_ms : float
        Time left for it, in milliseconds; also sent to the target.
    find_closed_reason : callable
        Returns the `Reason` why no task may start now, `Reason.NONE` if one may; called just before
        the request is written, since opening a connection can take long.
    max_answer_bytes : int, optional
        Size of the largest answer; a larger one fails the task. By default the client's limit.
    """
    # Stays empty if no connection was opened, so that `may_send` was never called.
    closed_reasons: list[int] = []

    def may_send() -> bool:
        closed_reasons.append(find_closed_reason())
        return closed_reasons[0] == Reason.NONE

    result = await client.request(
        "POST",
        address,
        task_path(job, task),
        body,
        ((BUDGET_HEADER, str(math.ceil(budget_ms))),),
        budget_ms,
        max_answer_bytes,
        may_send,
    )
    if closed_reasons and closed_reasons[0] != Reason.NONE:
        return Outcome(TaskState.NOT_RUN, closed_reasons[0])
    if isinstance(result, Success):
        return _read_response(result.unwrap())
    return _read_problem(result.failure())


async def stop_task(
    client: HttpClient, address: str, job: str, task: int, timeout_ms: float
) -> None:
    """Ask the target to stop a task; the result of the request is ignored."""
    await client.request("DELETE", address, task_path(job, task), timeout_ms=timeout_ms)


def _read_response(response: Response) -> Outcome:
    status = response.status
    if 200 <= status < 300:
        return Outcome(TaskState.DONE, answer=response.body)
    detail = f"The target answered with status {status}."
    if status == STATUS_UNAVAILABLE and response.header(NOT_RUN_HEADER) == "1":
        return Outcome(TaskState.NOT_RUN, Reason.TARGET_ERROR, detail=detail)
    return Outcome(TaskState.FAILED, Reason.TARGET_ERROR, detail=detail)


def _read_problem(problem: Problem) -> Outcome:
    unknown = (TaskState.MAY_HAVE_RUN, Reason.TARGET_ERROR)
    state, reason = _PROBLEM_OUTCOMES.get(problem.kind, unknown)
    return Outcome(state, reason, detail=problem.message)
