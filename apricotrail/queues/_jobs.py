"""Jobs of queues: requests and answers of callers, and the progress of each task."""

import asyncio
from enum import StrEnum
from typing import NamedTuple

from apricotrail.queues._document import Queue

__all__ = ["Job", "JobAnswer", "JobRequest", "JobState", "Slack", "Step", "Task", "TaskPhase"]


class Step(NamedTuple):
    """A group of tasks of a job with the same requirements.

    Attributes
    ----------
    count : int
        Number of tasks.
    cpu_millis, memory_mb : int
        Capacity that each task takes at a runner, in thousandths of a core and in MB.
    estimate_ms : int
        Caller's rough estimate of a task's run time, 0 if none was given.
    depends_on : tuple of int
        Numbers of earlier steps whose tasks must all be done first.
    label : str
        Label that the runner must have, empty for any.
    preferred_label : str
        Label of the runners that run it faster and so are preferred, empty for none.
    max_per_runner : int
        Most tasks of the step that run on one runner at the same time, 0 for no limit.
    """

    count: int
    cpu_millis: int
    memory_mb: int
    estimate_ms: int
    depends_on: tuple[int, ...] = ()
    label: str = ""
    preferred_label: str = ""
    max_per_runner: int = 0


class JobRequest(NamedTuple):
    """One job as submitted.

    Attributes
    ----------
    job_id : str
        Id chosen by the caller; a job that is sent again has the same id.
    spec : bytes
        Input for the runners, forwarded unchanged.
    steps : tuple of Step
        Groups of tasks that make up the job.
    budget_ms : float
        Time in milliseconds that the caller waits for the answer.
    """

    job_id: str
    spec: bytes
    steps: tuple[Step, ...]
    budget_ms: float


class Slack(NamedTuple):
    """How long the longest chain of a job's tasks may wait for its start, from the job's receipt.

    Attributes
    ----------
    due_ms : float
        Longest wait that still meets the queue's latency objective.
    late_due_ms : float
        Longest wait with which the job misses its objective but is still of use.
    critical_path_ms : float
        Expected run time of the job's longest chain of dependent tasks.
    """

    due_ms: float
    late_due_ms: float
    critical_path_ms: float


class JobState(StrEnum):
    """Result of a job as its caller is told."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNFINISHED = "unfinished"


class JobAnswer(NamedTuple):
    """Final answer to one job.

    Attributes
    ----------
    state : JobState
        ``REFUSED`` guarantees that no task has run or will run; ``UNFINISHED`` that some may have.
    reason : str
        Why it was not completed.
    retry_after_ms : float
        With ``REFUSED``: wait before the job is sent again.
    """

    state: JobState
    reason: str = ""
    retry_after_ms: float = 0.0


class TaskPhase(StrEnum):
    """Progress of a task."""

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"


class Task:
    """One task of a job, its latest run, and the agents where earlier runs did not succeed.

    `is_isolated` tells whether the latest run must be alone at its runner.
    """

    __slots__ = (
        "agent",
        "avoid",
        "failures",
        "index",
        "is_isolated",
        "losses",
        "name",
        "phase",
        "run",
        "sent_ms",
        "step",
    )

    def __init__(self, name: str, step: int, index: int) -> None:
        self.name = name
        self.step = step
        self.index = index
        self.phase = TaskPhase.WAITING
        self.run = 0
        self.failures = 0
        self.losses = 0
        self.is_isolated = False
        self.agent = ""
        self.sent_ms = 0.0
        self.avoid: set[str] = set()


class Job:
    """One job that this dispatcher owns, from admission until its last run has ended.

    Parameters
    ----------
    request : JobRequest
        As submitted.
    queue : Queue
        Queue that it was sent to.
    now_ms : float
        When it was received, on the monotonic clock.
    answer : asyncio.Future
        Future that receives the `JobAnswer`.
    """

    def __init__(
        self, request: JobRequest, queue: Queue, now_ms: float, answer: "asyncio.Future[JobAnswer]"
    ) -> None:
        self.request = request
        self.queue = queue
        self.received_ms = now_ms
        self.deadline_ms = now_ms + request.budget_ms
        self.answer = answer
        self.waiting_callers = 0
        self.starts = 0
        self.slack: Slack | None = None
        self.may_have_run = False
        self.may_start = True
        self.stopping = False
        self.unfinished = [step.count for step in request.steps]
        self.tasks = [
            Task(f"{request.job_id}.0.{number}.{index}", number, index)
            for number, step in enumerate(request.steps)
            for index in range(step.count)
        ]

    @property
    def job_id(self) -> str:
        """Id chosen by the caller."""
        return self.request.job_id

    def list_ready(self) -> list[Task]:
        """Return the waiting tasks whose steps depend on no unfinished task."""
        steps = self.request.steps
        open_steps = {
            number
            for number, step in enumerate(steps)
            if all(self.unfinished[earlier] == 0 for earlier in step.depends_on)
        }
        return [
            task
            for task in self.tasks
            if task.phase is TaskPhase.WAITING and task.step in open_steps
        ]

    def list_sent(self) -> list[Task]:
        """Return the tasks whose run was sent to an agent and is not known to have ended."""
        return [task for task in self.tasks if task.phase is TaskPhase.SENT]

    def is_done(self) -> bool:
        """Return whether every task is done."""
        return not any(self.unfinished)
