"""Problems that callers get when a job can't be claimed, followed or found."""

from apricotrail.entry._claiming import ClaimStatus
from apricotrail.errors import ErrorKind, Problem

__all__ = [
    "describe_mismatch",
    "describe_missing_quorum",
    "describe_running_job",
    "describe_unknown_job",
    "explain_refusal",
]


def explain_refusal(status: ClaimStatus, job: str) -> Problem | None:
    """Return the problem with which a refused claim ends a submission, None to claim it again."""
    if status is ClaimStatus.MISMATCH:
        return describe_mismatch(job)
    if status is ClaimStatus.UNCERTAIN:
        message = f"Records of earlier submissions were lost; {job} may have run."
        remedy = "Check with the target, or submit under a UUIDv7 created some seconds from now."
        return Problem(ErrorKind.MAY_HAVE_RUN, message, remedy)
    if status is ClaimStatus.FULL:
        message = "The table of claims is full; nothing was started."
        return Problem(ErrorKind.OVERLOADED, message, "Retry the same id after a pause.")
    return None


def describe_mismatch(job: str) -> Problem:
    """Return the problem of a submission whose id was used before with another body."""
    message = f"{job} was submitted before with another body."
    return Problem(ErrorKind.BODY_MISMATCH, message, "Use a new id for a new request.")


def describe_missing_quorum(message: str) -> Problem:
    """Return the problem of too few members of the view answering; nothing was started."""
    return Problem(ErrorKind.NO_QUORUM, f"{message} Nothing was started.", "Retry the same id.")


def describe_running_job(job: str) -> Problem:
    """Return the problem of an earlier submission without an answer within the deadline."""
    message = f"{job} was submitted before and has no answer yet."
    return Problem(ErrorKind.UNKNOWN_OUTCOME, message, f"Read GET /v1/jobs/{job} for its answer.")


def describe_unknown_job(job: str) -> Problem:
    """Return the problem of a job that no entry knows."""
    message = f"No submission {job} is known."
    return Problem(ErrorKind.NOT_FOUND, message, "Check caller and id, or submit the job.")
