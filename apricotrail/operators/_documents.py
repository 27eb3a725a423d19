"""Handlers for documents: check, diff, try, promote, history, exact bytes."""

import json
from hashlib import sha256

from returns.result import Failure, Result, Success

from apricotrail.document import (
    Document,
    DocumentDiff,
    EffectiveConfiguration,
    check_succession,
    diff_documents,
    digest_document,
    parse_document,
)
from apricotrail.errors import ErrorKind, Problem, http_status
from apricotrail.http import Request, Response, json_response, problem_response
from apricotrail.operators._answers import describe_diff, describe_problems
from apricotrail.operators._changes import change
from apricotrail.operators._parts import OperatorParts
from apricotrail.wire.generated.ttypes import Command, PutDocument

__all__ = ["ACCEPTANCE_HEADER", "check", "diff", "list_history", "promote", "show", "try_document"]

ACCEPTANCE_HEADER = "apricotrail-acceptance"
TOML_TYPE = "application/toml"
CURRENT = "current"


async def check(parts: OperatorParts, request: Request) -> Response:
    """Answer whether the body may follow the document in force, with every problem."""
    checked = _check(parts.read_configuration(), request.body)
    if isinstance(checked, Failure):
        return _refuse(checked.failure())
    return json_response(200, {"problems": [], "sha256": digest_document(request.body).hex()})


async def diff(parts: OperatorParts, request: Request) -> Response:
    """Answer what the body would change, and which targets and callers it touches."""
    checked = _check(parts.read_configuration(), request.body)
    if isinstance(checked, Failure):
        return _refuse(checked.failure())
    return json_response(200, describe_diff(checked.unwrap()))


async def try_document(parts: OperatorParts, request: Request) -> Response:
    """Put the body in force in a trial environment; the answer carries its acceptance."""
    return await _put(parts, request, trial=True, acceptance=None)


async def promote(parts: OperatorParts, request: Request) -> Response:
    """Put in force the exact bytes that a trial environment accepted."""
    acceptance = request.headers.get(ACCEPTANCE_HEADER, "")
    if not acceptance:
        message = "The document comes without the acceptance of the trial environment."
        remedy = "Try it there first and send the acceptance in Apricotrail-Acceptance."
        return problem_response(Problem(ErrorKind.REFUSED, message, remedy))
    return await _put(parts, request, trial=False, acceptance=acceptance)


async def list_history(parts: OperatorParts, request: Request) -> Response:
    """Answer the accepted documents, newest last."""
    asked = await parts.ask_status("history", 0)
    if isinstance(asked, Failure):
        return problem_response(asked.failure())
    return json_response(200, {"documents": json.loads(asked.unwrap())})


async def show(parts: OperatorParts, request: Request, number: str) -> Response:
    """Answer the exact bytes of an accepted document; ``current`` is the one in force."""
    current = parts.read_configuration().document.number
    wanted = str(current) if number == CURRENT else number
    if not (wanted.isascii() and wanted.isdigit() and 0 < int(wanted[:18]) <= current):
        message = f'There is no document "{number:.40}".'
        remedy = f"Give a number from 1 to {current}, or current."
        return problem_response(Problem(ErrorKind.NOT_FOUND, message, remedy))
    asked = await parts.ask_status("document", int(wanted[:18]))
    if isinstance(asked, Failure):
        return problem_response(asked.failure())
    text = asked.unwrap()
    if not text:
        message = f"The text of document {wanted} is no longer kept."
        remedy = "The history still holds its digest; the trial environment may hold its text."
        return problem_response(Problem(ErrorKind.NOT_FOUND, message, remedy))
    headers = (
        ("Apricotrail-Document-Number", wanted),
        ("Apricotrail-Sha256", sha256(text).hexdigest()),
    )
    return Response(200, text, TOML_TYPE, headers)


async def _put(
    parts: OperatorParts, request: Request, trial: bool, acceptance: str | None
) -> Response:
    configuration = parts.read_configuration()
    digest = digest_document(request.body)
    parsed = parse_document(request.body)
    if isinstance(parsed, Failure):
        return _refuse(parsed.failure())
    difference = diff_documents(_read_present(configuration), parsed.unwrap())

    def fill(command: Command) -> None:
        command.put_document = PutDocument(request.body, digest, trial, acceptance)

    details = {"sha256": digest.hex(), "diff": describe_diff(difference)}
    return await change(parts, request, fill, details)


def _check(
    configuration: EffectiveConfiguration, text: bytes
) -> Result[DocumentDiff, tuple[Problem, ...]]:
    parsed = parse_document(text)
    if isinstance(parsed, Failure):
        return parsed
    present = _read_present(configuration)
    problems = check_succession(present, parsed.unwrap())
    if problems:
        return Failure(problems)
    return Success(diff_documents(present, parsed.unwrap()))


def _read_present(configuration: EffectiveConfiguration) -> Document | None:
    if not configuration.schemes:
        return None
    return Document(
        configuration.schemes,
        dict(configuration.services),
        dict(configuration.zones),
        dict(configuration.targets),
        dict(configuration.teams),
    )


def _refuse(problems: tuple[Problem, ...]) -> Response:
    first = problems[0]
    count = len(problems)
    message = first.message if count == 1 else f"{count} problems; the first: {first.message}"
    error = {"kind": first.kind.value, "message": message, "remedy": first.remedy}
    body = {"error": {**error, "problems": describe_problems(problems)}}
    return json_response(http_status(first.kind), body)
