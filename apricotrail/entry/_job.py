"""State of one job at its owner: attempts, answers, and the answer as a whole."""

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
    "describe_reason",
    "encode_result",
    "read_result_status",
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
        Incarnation of that agent at the start.
    started_ms : float
        When the start was sent, own monotonic clock.
    """

    number: int
    agent: str
    agent_incarnation: int
    started_ms: float


class JobResult(NamedTuple):
    """Final answer of a job: status and JSON text, the same for every reader."""

    status: int
    body: bytes


class Job:
    """One job at its owner.

    Parameters
    ----------
    key : str
        ``caller/submission``.
    service : str
        Service id.
    bodies : tuple of bytes
        Task bodies.
    deadline_ms : float
        When the answer is due, own monotonic clock.
    epoch : int
        Epoch of the claim.
    digest : bytes
        Digest of the submission.
    submitted_ms : float
        When the submission was read, own monotonic clock.
    team : str
        Team of the caller.
    share : float
        Weight of the team.

    Attributes
    ----------
    open : dict of int to Attempt
        Started tasks without outcome.
    queued : set of int
        Tasks that wait for a slot.
    abandoned : bool
        Whether another entry may own the job by now; its answer here is not kept.
    blamed_target : str
        Where a task failed first, else where the last task ended.
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
        self.open: dict[int, Attempt] = {}
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
        """Who submitted the job."""
        return self.key.partition("/")[0]

    def open_attempt(self, task: int, agent: str, incarnation: int, now_ms: float) -> Attempt:
        """Record that a start for `task` is being sent."""
        self.attempts[task] += 1
        attempt = Attempt(self.attempts[task], agent, incarnation, now_ms)
        self.queued.discard(task)
        self.open[task] = attempt
        return attempt

    def accept(self, agent: str, incarnation: int, outcome: TaskOutcome) -> bool:
        """Return whether an outcome answers the open attempt of its task, and is whole."""
        attempt = self.open.get(outcome.task)
        if attempt is None or attempt.number != outcome.attempt:
            return False
        if (attempt.agent, attempt.agent_incarnation) != (agent, incarnation):
            return False
        if outcome.state != TaskState.DONE:
            return True
        return outcome.answer is not None and len(outcome.answer) == outcome.answer_length

    def requeue(self, task: int) -> None:
        """Take back a task whose open attempt has certainly not run."""
        self.open.pop(task, None)
        self.queued.add(task)

    def settle(self, task: int, state: int, answer: bytes | None = None) -> None:
        """Record the final state of a task; a later one is ignored."""
        self.open.pop(task, None)
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
    problem = job.problem or _explain_states(job)
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


def read_result_status(body: bytes) -> JobResult:
    """Return a kept answer text with the status that it was sent with."""
    value = orjson.loads(body)
    if value["state"] == "complete":
        return JobResult(200, body)
    return JobResult(http_status(ErrorKind(value["error"]["kind"])), body)


def describe_reason(reason: int) -> str:
    """Return a reason's name in lower case with spaces."""
    return Reason._VALUES_TO_NAMES.get(reason, "unknown").lower().replace("_", " ")


def _encode_answer(answer: bytes) -> str | dict[str, str]:
    try:
        return answer.decode()
    except UnicodeDecodeError:
        return {"base64": b64encode(answer).decode()}


def _explain_states(job: Job) -> Problem:
    if TaskState.MAY_HAVE_RUN in job.states:
        remedy = "Check with the target before submitting again under a new id."
        return Problem(ErrorKind.MAY_HAVE_RUN, "The outcome of a task is not known.", remedy)
    if TaskState.FAILED in job.states:
        remedy = "Mend the task's body or the target, then submit under a new id."
        return Problem(ErrorKind.TASK_FAILED, "A task failed at its target.", remedy)
    return Problem(ErrorKind.DEADLINE, "Not every task ran.", "Submit again under a new id.")
