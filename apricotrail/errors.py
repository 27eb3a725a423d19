"""Error kinds, problems as values, and the exceptions that carry them."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ApricotrailError", "ErrorKind", "Problem", "http_status"]


class ErrorKind(StrEnum):
    """Every kind of error that a caller, target or operator can be told."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNKNOWN_NAME = "unknown_name"
    AMBIGUOUS_NAME = "ambiguous_name"
    IMPOSSIBLE = "impossible"
    BODY_MISMATCH = "body_mismatch"
    OVERLOADED = "overloaded"
    QUOTA_EXCEEDED = "quota_exceeded"
    STALE_CONFIGURATION = "stale_configuration"
    NO_QUORUM = "no_quorum"
    NOT_READY = "not_ready"
    EXPIRED = "expired"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    MAY_HAVE_RUN = "may_have_run"
    ZONE_OUT = "zone_out"
    TARGET_LEAVING = "target_leaving"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNAUTHORISED = "unauthorised"
    NOT_FOUND = "not_found"
    SETTINGS = "settings"
    STORAGE = "storage"
    UNREACHABLE = "unreachable"
    UNKNOWN_OUTCOME = "unknown_outcome"
    STOPPING = "stopping"
    INTERNAL = "internal"


_HTTP_STATUS = {
    ErrorKind.MALFORMED: 400,
    ErrorKind.SETTINGS: 400,
    ErrorKind.UNAUTHORISED: 401,
    ErrorKind.UNKNOWN_NAME: 404,
    ErrorKind.NOT_FOUND: 404,
    ErrorKind.AMBIGUOUS_NAME: 409,
    ErrorKind.BODY_MISMATCH: 409,
    ErrorKind.CONFLICT: 409,
    ErrorKind.CANCELLED: 409,
    ErrorKind.EXPIRED: 410,
    ErrorKind.TOO_LARGE: 413,
    ErrorKind.IMPOSSIBLE: 422,
    ErrorKind.REFUSED: 422,
    ErrorKind.OVERLOADED: 429,
    ErrorKind.QUOTA_EXCEEDED: 429,
    ErrorKind.INTERNAL: 500,
    ErrorKind.TASK_FAILED: 502,
    ErrorKind.MAY_HAVE_RUN: 502,
    ErrorKind.DEADLINE: 504,
}
_DEFAULT_HTTP_STATUS = 503


def http_status(kind: ErrorKind) -> int:
    """Return the HTTP status code that reports an error of `kind`.

    Examples
    --------
    >>> http_status(ErrorKind.OVERLOADED)
    429
    """
    return _HTTP_STATUS.get(kind, _DEFAULT_HTTP_STATUS)


class Problem(NamedTuple):
    """An error as a value: the failure side of a ``returns`` Result.

    Attributes
    ----------
    kind : ErrorKind
        What went wrong.
    message : str
        One sentence for a person, without the remedy.
    remedy : str
        What the reader can do about it.
    """

    kind: ErrorKind
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.message} Remedy: {self.remedy}"


class ApricotrailError(Exception):
    """Base of all exceptions raised by apricotrail.

    Parameters
    ----------
    problem : Problem
        Kind, message and remedy.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem
