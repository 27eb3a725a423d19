"""``apricotrail report``: the report on service-level burn."""

import asyncio
from json import dumps
from pathlib import Path

from returns.result import Failure, Result, Success

from apricotrail.cli._caller_client import Reply, ask, explain_refusal, report_problem
from apricotrail.cli._exit_codes import ExitCode, find_exit_code
from apricotrail.errors import ErrorKind, Problem

__all__ = ["REPORT_COMMANDS", "burn"]

DEFAULT_OPERATOR_ADDRESS = "127.0.0.1:8081"
PATH = "/v1/admin/reports/burn"
TIMEOUT_MS = 15_000


def burn(
    *,
    entry: str = DEFAULT_OPERATOR_ADDRESS,
    token_file: Path | None = None,
    html: Path | None = None,
    json: bool = False,
) -> ExitCode:
    """Show how fast each service spends its error budget, and on what.

    Parameters
    ----------
    entry : str
        Operators' address of an entry, host:port; it asks all others.
    token_file
        File with the operators' token.
    html
        Also write a page with plots to this file.
    json : bool
        Print the report as JSON.
    """
    result = _read_headers(token_file).bind(lambda headers: _fetch(entry, headers))
    if isinstance(result, Failure):
        report_problem(result.failure())
        return find_exit_code(result.failure())
    return _print_report(result.unwrap(), html, json)


def _read_headers(token_file: Path | None) -> Result[tuple[tuple[str, str], ...], Problem]:
    if token_file is None:
        return Success(())
    try:
        return Success((("Authorization", f"Bearer {token_file.read_text().strip()}"),))
    except (OSError, UnicodeDecodeError) as error:
        remedy = "Give a readable file with one line."
        return Failure(Problem(ErrorKind.SETTINGS, f"{token_file}: {error}.", remedy))


def _fetch(entry: str, headers: tuple[tuple[str, str], ...]) -> Result[Reply, Problem]:
    result = asyncio.run(ask("GET", entry, PATH, headers=headers, timeout_ms=TIMEOUT_MS))
    return result.bind(_check_reply)


def _check_reply(reply: Reply) -> Result[Reply, Problem]:
    return Failure(explain_refusal(reply)) if reply.status >= 400 else Success(reply)


def _print_report(reply: Reply, html: Path | None, json: bool) -> ExitCode:
    from apricotrail.reports import format_report, load_report, render_page

    try:
        report = load_report(reply.value)
    except (KeyError, TypeError) as error:
        remedy = "Use a command line of the same version as the entry."
        report_problem(Problem(ErrorKind.MALFORMED, f"This is no report: {error!r}.", remedy))
        return ExitCode.REFUSED
    if html is not None:
        html.write_text(render_page(report), encoding="utf-8")
    print(dumps(reply.value) if json else format_report(report), end="\n" if json else "")
    return ExitCode.DONE


REPORT_COMMANDS = {"burn": burn}
