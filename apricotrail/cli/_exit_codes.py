"""Exit codes of every command, and the code that reports a problem."""

from enum import IntEnum

from apricotrail.errors import ErrorKind, Problem

__all__ = ["ExitCode", "find_exit_code"]


class ExitCode(IntEnum):
    """Exit codes, the same for every command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN_OUTCOME = 4


_CODES = {
    ErrorKind.UNREACHABLE: ExitCode.UNREACHABLE,
    ErrorKind.NOT_READY: ExitCode.UNREACHABLE,
    ErrorKind.NO_QUORUM: ExitCode.UNREACHABLE,
    ErrorKind.UNKNOWN_OUTCOME: ExitCode.UNKNOWN_OUTCOME,
    ErrorKind.MAY_HAVE_RUN: ExitCode.UNKNOWN_OUTCOME,
}


def find_exit_code(problem: Problem) -> ExitCode:
    """Return the exit code that reports `problem`.

    Examples
    --------
    >>> int(find_exit_code(Problem(ErrorKind.UNKNOWN_OUTCOME, "No answer.", "Ask again.")))
    4
    """
    return _CODES.get(problem.kind, ExitCode.REFUSED)
