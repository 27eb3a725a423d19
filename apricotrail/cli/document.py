"""``apricotrail document``: check, diff, try, promote, history, show."""

import sys
from typing import Any

from returns.result import Failure, Result, Success

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._operator_options import (
    Session,
    change_command,
    read_command,
    read_file,
    write_file,
)
from apricotrail.cli._output import format_time, print_json, print_table, report_problem
from apricotrail.cli._things import describe_force
from apricotrail.document import digest_document, parse_document
from apricotrail.errors import ErrorKind, Problem

__all__ = [
    "check_document",
    "diff_document",
    "list_documents",
    "promote_document",
    "show_document",
    "try_document",
]

ACCEPTANCE_SUFFIX = ".accepted"
SHORT_DIGEST_CHARACTERS = 12


@read_command
async def check_document(session: Session, file: str) -> ExitCode:
    """Check a document and list everything that is wrong with it.

    With an entry, it is also checked against the document in force there; without one, the file
    alone is checked.

    Parameters
    ----------
    file
        Document (TOML).
    """
    text = _read_document(file)
    if isinstance(text, Failure):
        return _refuse(session, text)
    if not session.entries:
        answer = {"problems": [], "sha256": digest_document(text.unwrap()).hex()}
        return _show_checked(session, answer)
    result = await session.read("/v1/admin/documents/check", text.unwrap())
    return session.show(result, _print_checked)


@read_command
async def diff_document(session: Session, file: str) -> ExitCode:
    """Show what a document would change, and whom it touches.

    Parameters
    ----------
    file
        Document (TOML).
    """
    text = _read_document(file)
    if isinstance(text, Failure):
        return _refuse(session, text)
    result = await session.read("/v1/admin/documents/diff", text.unwrap())
    return session.show(result, _print_diff)


@change_command
async def try_document(session: Session, file: str, *, acceptance_file: str = "") -> ExitCode:
    """Put a document in force in the trial environment and keep its acceptance for production.

    Parameters
    ----------
    file
        Document (TOML).
    acceptance_file
        Where to write the acceptance; else the file's name with .accepted added.
    """
    text = _read_document(file)
    if isinstance(text, Failure):
        return _refuse(session, text)
    result = await session.change("/v1/admin/documents/try", text.unwrap())
    code = session.show(result, _print_put)
    if isinstance(result, Failure):
        return code
    acceptance = result.unwrap().value.get("acceptance")
    if not acceptance:
        message = "the environment gave no acceptance."
        remedy = "Give control an acceptance key, then try the document again."
        return report_problem(Problem(ErrorKind.REFUSED, message, remedy), {}, session.as_json)
    return _keep_acceptance(session, acceptance, acceptance_file or file + ACCEPTANCE_SUFFIX)


@change_command
async def promote_document(session: Session, file: str, *, acceptance_file: str = "") -> ExitCode:
    """Put in force in production the exact bytes that the trial environment accepted.

    Parameters
    ----------
    file
        Document (TOML), as it was tried.
    acceptance_file
        Acceptance of the trial; else the file's name with .accepted added.
    """
    text = _read_document(file)
    if isinstance(text, Failure):
        return _refuse(session, text)
    remedy = "Try the document in the trial environment first."
    proof = read_file(acceptance_file or file + ACCEPTANCE_SUFFIX, remedy)
    if isinstance(proof, Failure):
        return report_problem(proof.failure(), {}, session.as_json)
    acceptance = proof.unwrap().decode("ascii", errors="replace").strip()
    headers = (("Apricotrail-Acceptance", acceptance),)
    if not acceptance.isascii() or not acceptance.isprintable():
        problem = Problem(ErrorKind.REFUSED, "the acceptance is not readable.", remedy)
        return report_problem(problem, {}, session.as_json)
    result = await session.change("/v1/admin/documents/promote", text.unwrap(), headers=headers)
    return session.show(result, _print_put)


@read_command
async def list_documents(session: Session) -> ExitCode:
    """List the documents that were put in force, newest last."""
    return session.show(await session.read("/v1/admin/documents"), _print_history)


@read_command
async def show_document(session: Session, number: str = "current", *, output: str = "") -> ExitCode:
    """Print the exact bytes of a document that was put in force.

    Parameters
    ----------
    number
        Number in the history, or current.
    output
        File to write instead of standard output.
    """
    result = await session.read(f"/v1/admin/documents/{number}")
    if isinstance(result, Failure):
        return session.show(result, print)
    text = result.unwrap().response.body
    if output:
        written = write_file(output, text)
        if isinstance(written, Failure):
            return report_problem(written.failure(), {}, session.as_json)
        return ExitCode.DONE
    sys.stdout.flush()
    sys.stdout.buffer.write(text)
    return ExitCode.DONE


def _read_document(file: str) -> Result[bytes, tuple[Problem, ...]]:
    read = read_file(file, "Give a readable file.")
    if isinstance(read, Failure):
        return Failure((read.failure(),))
    parsed = parse_document(read.unwrap())
    return parsed if isinstance(parsed, Failure) else Success(read.unwrap())


def _keep_acceptance(session: Session, acceptance: str, path: str) -> ExitCode:
    written = write_file(path, f"{acceptance}\n".encode())
    if isinstance(written, Failure):
        return report_problem(written.failure(), {"acceptance": acceptance}, session.as_json)
    if not session.as_json:
        print(f"The acceptance is in {path}; promote carries it to production.")
    return ExitCode.DONE


def _refuse(session: Session, result: Failure) -> ExitCode:
    problems = result.failure()
    listed = [
        {"kind": it.kind.value, "message": it.message, "remedy": it.remedy} for it in problems
    ]
    return report_problem(problems[0], {"problems": listed}, session.as_json)


def _show_checked(session: Session, answer: dict[str, Any]) -> ExitCode:
    if session.as_json:
        print_json(answer)
    else:
        _print_checked(answer)
    return ExitCode.DONE


def _print_checked(answer: Any) -> None:
    print(f"No problem found; SHA-256 {answer['sha256']}.")


def _print_put(answer: Any) -> None:
    _print_diff(answer["diff"])
    print(f"\nSHA-256 {answer['sha256']}; {describe_force(answer)}")


def _print_diff(diff: Any) -> None:
    rows = [
        [item["kind"], item["id"], item["change"], "; ".join(item["fields"])]
        for item in diff["differences"]
    ]
    print_table(["kind", "id", "change", "fields"], rows)
    for name in ("targets", "teams", "callers"):
        touched = diff[name]
        print(f"{name} touched: {len(touched)}{': ' if touched else ''}{', '.join(touched)}")


def _print_history(answer: Any) -> None:
    rows = [
        [
            row.get("number"),
            row.get("version"),
            format_time(row.get("wall_ms", 0)),
            row.get("author"),
            row.get("sha256", "")[:SHORT_DIGEST_CHARACTERS],
        ]
        for row in answer["documents"]
    ]
    print_table(["number", "version", "time (UTC)", "author", "SHA-256"], rows)
