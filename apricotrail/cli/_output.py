"""Tables, JSON and problems as commands print them."""

import json
import sys
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from apricotrail.cli._exit_codes import ExitCode, find_exit_code
from apricotrail.errors import Problem

__all__ = [
    "TABLE_WIDTH",
    "format_table",
    "format_time",
    "print_json",
    "print_table",
    "report_problem",
]

TABLE_WIDTH = 100
MS_PER_S = 1_000
_GAP = "  "
_MIN_COLUMN_WIDTH = 6
_CUT = "\u2026"


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with one line a row, at most `TABLE_WIDTH` characters wide.

    Text that does not fit its column is cut; columns of numbers are aligned right.

    Examples
    --------
    >>> print(format_table(["zone", "targets"], [["Pipa", 3], ["Natal", 12]]))
    zone   targets
    Pipa         3
    Natal       12
    """
    cells = [[_show(value) for value in row] for row in rows]
    lengths = [
        max([len(heading), *(len(row[column]) for row in cells)])
        for column, heading in enumerate(headings)
    ]
    widths = _fit(lengths, TABLE_WIDTH - len(_GAP) * (len(headings) - 1))
    right = [_is_numeric([row[column] for row in rows]) for column in range(len(headings))]
    return "\n".join(_format_row(row, widths, right) for row in [list(headings), *cells])


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table, or that there is nothing to list."""
    print(format_table(headings, rows) if rows else "(none)")


def print_json(value: object) -> None:
    """Print a value as JSON for scripts."""
    print(json.dumps(value, ensure_ascii=False, indent=2))


def report_problem(
    problem: Problem, details: Mapping[str, Any] | None = None, as_json: bool = False
) -> ExitCode:
    """Print a problem and return the exit code that reports it.

    Parameters
    ----------
    problem : Problem
        What went wrong.
    details : mapping, optional
        Further fields of the refusal: ``problems`` of a document, ``winner`` of a race.
    as_json : bool
        Print JSON on standard output instead of text on standard error.
    """
    details = dict(details or {})
    if as_json:
        error = {"kind": problem.kind.value, "message": problem.message, "remedy": problem.remedy}
        print_json({"error": {**error, **details}})
        return find_exit_code(problem)
    listed = details.pop("problems", [])
    for item in listed:
        print(f"{item['kind']}: {item['message']} Remedy: {item['remedy']}", file=sys.stderr)
    if not listed:
        print(problem, file=sys.stderr)
    winner = details.pop("winner", None)
    if winner is not None:
        print(_describe_winner(winner), file=sys.stderr)
    for name, value in details.items():
        print(f"{name}: {json.dumps(value, ensure_ascii=False)}", file=sys.stderr)
    return find_exit_code(problem)


def format_time(wall_ms: int) -> str:
    """Return a wall clock time in UTC, to the second.

    Examples
    --------
    >>> format_time(86_400_000)
    '1970-01-02 00:00:00'
    """
    return datetime.fromtimestamp(wall_ms / MS_PER_S, UTC).strftime("%Y-%m-%d %H:%M:%S")


def _describe_winner(winner: Mapping[str, Any]) -> str:
    time = format_time(winner.get("wall_ms", 0))
    return (
        f"winner: version {winner.get('version')} by {winner.get('author')} at {time} UTC, "
        f"SHA-256 {winner.get('sha256')}"
    )


def _show(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def _is_numeric(values: Sequence[object]) -> bool:
    return bool(values) and all(
        value is None or (isinstance(value, int | float) and not isinstance(value, bool))
        for value in values
    )


def _fit(lengths: Sequence[int], room: int) -> list[int]:
    widths = list(lengths)
    while sum(widths) > room:
        widest = max(range(len(widths)), key=widths.__getitem__)
        if widths[widest] <= _MIN_COLUMN_WIDTH:
            break
        widths[widest] -= 1
    return widths


def _format_row(cells: Sequence[str], widths: Sequence[int], right: Sequence[bool]) -> str:
    fitted = [
        _cut(cell, width).rjust(width) if to_right else _cut(cell, width).ljust(width)
        for cell, width, to_right in zip(cells, widths, right, strict=True)
    ]
    return _GAP.join(fitted).rstrip()


def _cut(text: str, width: int) -> str:
    return text if len(text) <= width else text[: width - 1] + _CUT
