"""``apricotrail explain``: one job's life from the logs of several processes."""

import sys
from pathlib import Path

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._lives import LogLine, order_lines, read_lines

__all__ = ["explain"]


def explain(job: str, *logs: Path) -> ExitCode:
    """Show what entries and agents decided about one job, in the order of cause.

    Parameters
    ----------
    job
        Id of the job.
    logs
        Log files of the processes; standard input without any.
    """
    lines: list[LogLine] = []
    if not logs:
        lines = read_lines(job, "-", sys.stdin)
    for path in logs:
        try:
            with path.open(errors="replace") as text:
                lines.extend(read_lines(job, path.name, text))
        except OSError as error:
            print(f"{path}: {error.strerror}. Remedy: name a readable log file.", file=sys.stderr)
            return ExitCode.REFUSED
    if not lines:
        message = f"No line is about job {job!r}. Remedy: give the logs of all entries and agents"
        print(f"{message}, and check the id.", file=sys.stderr)
        return ExitCode.REFUSED
    for line in order_lines(lines):
        print(line.describe())
    return ExitCode.DONE
