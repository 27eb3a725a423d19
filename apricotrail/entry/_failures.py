"""Problems that keep a job from being complete: a failed task, a lost agent, a passed deadline."""

from apricotrail.entry._job import describe_reason
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire.generated.ttypes import TaskOutcome, TaskState

__all__ = ["describe_deadline", "describe_failure", "describe_lost_agent"]

CHECK_REMEDY = "Check with the target before submitting again under a new id."


def describe_failure(target: str, outcome: TaskOutcome) -> Problem:
    """Return the problem of a task that failed or whose outcome is unknown."""
    reason = describe_reason(outcome.reason)
    if outcome.state == TaskState.FAILED:
        detail = f": {outcome.detail}" if outcome.detail else ""
        message = f"Task {outcome.task} failed at target {target} ({reason}{detail})."
        remedy = "Correct the task's body or the target, then submit under a new id."
        return Problem(ErrorKind.TASK_FAILED, message, remedy)
    message = f"Task {outcome.task} started at target {target}; its outcome is unknown ({reason})."
    return Problem(ErrorKind.MAY_HAVE_RUN, message, CHECK_REMEDY)


def describe_lost_agent(target: str) -> Problem:
    """Return the problem of an agent that was given up with open tasks."""
    message = f"The agent of target {target} was lost while a task ran there."
    return Problem(ErrorKind.MAY_HAVE_RUN, message, CHECK_REMEDY)


def describe_deadline() -> Problem:
    """Return the problem of a job that was not complete by its deadline."""
    remedy = "Submit under a new id with a later deadline, or when the service is less busy."
    return Problem(ErrorKind.DEADLINE, "The deadline passed before every task was done.", remedy)
