"""State of one job at its owner: task states, open attempts, answers and the job's result."""

import asyncio
from base64 import b64encode
from typing import NamedTuple

import orjson

from apricotrail.errors import ErrorKind, Problem, http_status
from apricotrail.wire.generated.ttypes import Reason, TaskOutcome, TaskState

__all__ = [
    "STATE_NAMES",
    "Attempt",
    "Job",
    "JobResult",
    "decode_result",
    "describe_reason",
    "encode_result",
]

STATE_NAMES = {
    TaskState.DONE: "done",
    TaskState.FAILED: "failed",
    TaskState.NOT_RUN: "not_run",
    TaskState.MAY_HAVE_RUN: "may_have_run",
}


class Attempt(NamedTuple):
    """One start message for one task.

    Attributes
    ----------
    number : int
        Grows with each attempt of the task.
    agent : str
        Link name of the agent.
    agent_incarnation : int
        Incarnation of that agent when the start was sent.
    started_ms : float
        Own monotonic time at which the start was sent.
    """

    number: int
    agent: str
    agent_incarnation: int
    started_ms: float


class JobResult(NamedTuple):
    """Final answer of a job: HTTP status and JSON text, the same for everyone who reads it."""

    status: int
    body: bytes


class Job:
    """One job at its owner, with the state of each task.

    Parameters
    ----------
    key : str
        ``caller/submission``.
    service : str
        Service id.
    bodies : tuple of bytes
        Task bodies.
    deadline_ms : float
        Own monotonic time at which the answer is due.
    epoch : int
        Epoch of the claim.
    digest : bytes
        Digest of the submission.
    submitted_ms : float
        Own monotonic time at which the submission was read.
    team : str
        Team of the caller.
    share : float
        Weight of the team.

    Attributes
    ----------
    open_attempts : dict of int to Attempt
        Open attempts by task: the task was started and has no outcome yet.
    queued : set of int
        Tasks that wait for a slot.
    remaining : int
        Number of tasks without a final state.
    longest_ms : int
        Longest run time of a task that is done.
    abandoned : bool
        Whether another entry may own the job by now; its answer is then not kept here.
    blamed_target : str
        Target where a task failed first, else where the last task ended.
    """

    def __init__(
        self,
        key: str,
        service: str,
        bodies: tuple[bytes, ...],
        deadline_ms: float,
        epoch: int,
        digest: bytes,
        submitted_ms: float,
        team: str = "",
        share: float = 1.0,
    ) -> None:
        self.key = key
        self.service = service
        self.bodies = bodies
        self.deadline_ms = deadline_ms
        self.epoch = epoch
        self.digest = digest
        self.submitted_ms = submitted_ms
        self.team = team
        self.share = share
        self.open_attempts: dict[int, Attempt] = {}
        self.queued: set[int] = set()
        self.attempts = [0] * len(bodies)
        self.states: list[int | None] = [None] * len(bodies)
        self.answers: list[bytes | None] = [None] * len(bodies)
        self.remaining = len(bodies)
        self.problem: Problem | None = None
        self.busy_ms = 0
        self.longest_ms = 0
        self.blamed_target = ""
        self.abandoned = False
        self.result: asyncio.Future[JobResult] = asyncio.get_running_loop().create_future()

    @property
    def caller(self) -> str:
        """Caller who submitted the job."""
        return self.key.partition("/")[0]

    def open_attempt(self, task: int, agent: str, incarnation: int, now_ms: float) -> Attempt:
        """Record a new attempt of `task`, whose start message is about to be sent."""
        self.attempts[task] += 1
        attempt = Attempt(self.attempts[task], agent, incarnation, now_ms)
        self.queued.discard(task)
        self.open_attempts[task] = attempt
        return attempt

    def is_valid_outcome(self, agent: str, incarnation: int, outcome: TaskOutcome) -> bool:
        """Return whether an outcome is for the open attempt of its task and not truncated."""
        attempt = self.open_attempts.get(outcome.task)
        if attempt is None or attempt.number != outcome.attempt:
            return False
        if (attempt.agent, attempt.agent_incarnation) != (agent, incarnation):
            return False
        if outcome.state != TaskState.DONE:
            return True
        return outcome.answer is not None and len(outcome.answer) == outcome.answer_length

    def requeue(self, task: int) -> None:
        """Close the open attempt of a task, which has certainly not run, and queue the task."""
        self.open_attempts.pop(task, None)
        self.queued.add(task)

    def settle(self, task: int, state: int, answer: bytes | None = None) -> None:
        """Record the final state of a task; a later one is ignored."""
        self.open_attempts.pop(task, None)
        self.queued.discard(task)
        if self.states[task] is not None:
            return
        self.states[task] = state
        self.answers[task] = answer
        self.remaining -= 1

    def fail(self, problem: Problem) -> None:
        """Record why the job can't be complete; the first reason stays."""
        if self.problem is None:
            self.problem = problem

    def is_settled(self) -> bool:
        """Return whether every task has its final state."""
        return self.remaining == 0


def encode_result(job: Job) -> JobResult:
    """Return the answer of a settled job: complete or failed, never partial."""
    if job.problem is None and all(state == TaskState.DONE for state in job.states):
        answers = [_encode_answer(answer or b"") for answer in job.answers]
        return JobResult(
            200, orjson.dumps({"job": job.key, "state": "complete", "answers": answers})
        )
    problem = job.problem or _derive_problem(job)
    value = {
        "job": job.key,
        "state": "failed",
        "error": {
            "kind": problem.kind.value,
            "message": problem.message,
            "remedy": problem.remedy,
        },
        "tasks": [{"state": STATE_NAMES[state]} for state in job.states],
    }
    return JobResult(http_status(problem.kind), orjson.dumps(value))


def decode_result(body: bytes) -> JobResult:
    """Return a kept answer text with the HTTP status of its first sending."""
    value = orjson.loads(body)
    if value["state"] == "complete":
        return JobResult(200, body)
    return JobResult(http_status(ErrorKind(value["error"]["kind"])), body)


def describe_reason(reason: int) -> str:
    """Return the name of a `Reason` in lower case with spaces, or "unknown"."""
    return Reason._VALUES_TO_NAMES.get(reason, "unknown").lower().replace("_", " ")


def _encode_answer(answer: bytes) -> str | dict[str, str]:
    try:
        return answer.decode()
    except UnicodeDecodeError:
        return {"base64": b64encode(answer).decode()}


def _derive_problem(job: Job) -> Problem:
    if TaskState.MAY_HAVE_RUN in job.states:
        remedy = "Check with the target before submitting again under a new id."
        return Problem(ErrorKind.MAY_HAVE_RUN, "The outcome of a task is not known.", remedy)
    if TaskState.FAILED in job.states:
        remedy = "Correct the task's body or the target, then submit under a new id."
        return Problem(ErrorKind.TASK_FAILED, "A task failed at its target.", remedy)
    return Problem(ErrorKind.DEADLINE, "Not every task ran.", "Submit again under a new id.")
