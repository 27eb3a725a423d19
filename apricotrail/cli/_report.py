"""``apricotrail report``: the report on service-level burn."""

from pathlib import Path
from typing import Any

from returns.result import Failure

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._operator_options import Session, read_command
from apricotrail.cli._output import report_problem
from apricotrail.errors import ErrorKind, Problem
from apricotrail.reports import BurnReport, format_report, load_report, render_page

__all__ = ["REPORT_COMMANDS", "show_burn"]

PATH = "/v1/admin/reports/burn"


@read_command
async def show_burn(session: Session, *, html: str = "") -> ExitCode:
    """Show how fast each service spends its error budget, and on what.

    Parameters
    ----------
    html
        Also write a page with plots to this file.
    """
    result = await session.read(PATH)
    if isinstance(result, Failure):
        return session.show(result, print)
    try:
        report = load_report(result.unwrap().value)
    except (KeyError, TypeError) as error:
        remedy = "Use a command line of the same version as the entry."
        problem = Problem(ErrorKind.MALFORMED, f"This is no report: {error!r}.", remedy)
        return report_problem(problem, {}, session.as_json)
    if html:
        _write_page(report, html)
    return session.show(result, _make_printer(report))


def _write_page(report: BurnReport, path: str) -> None:
    Path(path).write_text(render_page(report), encoding="utf-8")


def _make_printer(report: BurnReport) -> Any:
    return lambda value: print(format_report(report), end="")


REPORT_COMMANDS = {"burn": show_burn}
