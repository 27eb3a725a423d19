"""Jobs of queues: what callers ask for, and how far each task has come."""

import asyncio
from enum import StrEnum
from typing import NamedTuple

from apricotrail.queues._document import Queue

__all__ = ["Job", "JobAnswer", "JobRequest", "JobState", "Slack", "Step", "Task", "TaskPhase"]


class Step(NamedTuple):
    """Tasks of one kind within a job.

    Attributes
    ----------
    count : int
        Number of tasks.
    cpu_millis, memory_mb : int
        Room that each task takes at a runner.
    estimate_ms : int
        Caller's rough estimate of a task's run time, 0 for none.
    depends_on : tuple of int
        Earlier steps whose tasks must all be done first.
    label : str
        Label that the runner must have, empty for any.
    near : str
        Label of the runners that run it faster, empty for none.
    most_per_runner : int
        Bound on the step's tasks at one runner, 0 for none.
    """

    count: int
    cpu_millis: int
    memory_mb: int
    estimate_ms: int
    depends_on: tuple[int, ...] = ()
    label: str = ""
    near: str = ""
    most_per_runner: int = 0


class JobRequest(NamedTuple):
    """One job as submitted.

    Attributes
    ----------
    job_id : str
        Id chosen by the caller.
    spec : bytes
        What the runners need to know, passed on as it is.
    steps : tuple of Step
        Its tasks.
    budget_ms : float
        How long the caller waits.
    """

    job_id: str
    spec: bytes
    steps: tuple[Step, ...]
    budget_ms: float


class Slack(NamedTuple):
    """How long the start of a job's longest task may wait.

    Attributes
    ----------
    due_ms : float
        Wait that keeps the objective.
    late_due_ms : float
        Wait with which the job is late, but still of use.
    chain_ms : float
        Expected time of the job's longest chain of tasks.
    """

    due_ms: float
    late_due_ms: float
    chain_ms: float


class JobState(StrEnum):
    """How a job was answered."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNFINISHED = "unfinished"


class JobAnswer(NamedTuple):
    """Final answer to one job.

    Attributes
    ----------
    state : JobState
        ``REFUSED`` says that nothing of it has run or will run; ``UNFINISHED`` that some may have.
    reason : str
        Why it was not completed.
    retry_after_ms : float
        With ``REFUSED``: when to come back.
    """

    state: JobState
    reason: str = ""
    retry_after_ms: float = 0.0


class TaskPhase(StrEnum):
    """How far a task has come."""

    WAITING = "waiting"
    SENT = "sent"
    DONE = "done"


class Task:
    """One task of a job."""

    __slots__ = ("agent", "avoid", "failures", "index", "name", "phase", "run", "sent_ms", "step")

    def __init__(self, name: str, step: int, index: int) -> None:
        self.name = name
        self.step = step
        self.index = index
        self.phase = TaskPhase.WAITING
        self.run = 0
        self.failures = 0
        self.agent = ""
        self.sent_ms = 0.0
        self.avoid: set[str] = set()


class Job:
    """One job under way at this dispatcher.

    Parameters
    ----------
    request : JobRequest
        As submitted.
    queue : Queue
        Its queue.
    now_ms : float
        When it was received.
    answer : asyncio.Future
        Will hold the `JobAnswer`.
    """

    def __init__(
        self, request: JobRequest, queue: Queue, now_ms: float, answer: "asyncio.Future[JobAnswer]"
    ) -> None:
        self.request = request
        self.queue = queue
        self.received_ms = now_ms
        self.give_up_ms = now_ms + request.budget_ms
        self.answer = answer
        self.callers = 0
        self.starts = 0
        self.slack: Slack | None = None
        self.may_have_run = False
        self.may_start = True
        self.stopping = False
        self.left = [step.count for step in request.steps]
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
        """Return the waiting tasks whose steps may run."""
        steps = self.request.steps
        open_steps = {
            number
            for number, step in enumerate(steps)
            if all(self.left[earlier] == 0 for earlier in step.depends_on)
        }
        return [
            task
            for task in self.tasks
            if task.phase is TaskPhase.WAITING and task.step in open_steps
        ]

    def list_sent(self) -> list[Task]:
        """Return the tasks with a run at an agent."""
        return [task for task in self.tasks if task.phase is TaskPhase.SENT]

    def is_done(self) -> bool:
        """Return whether every task is done."""
        return not any(self.left)
