"""Handlers for control's replicas (list, add, promote, remove) and for the status."""

import json
from typing import Any

from returns.result import Failure, Result, Success

from apricotrail.errors import ErrorKind, Problem
from apricotrail.http import Request, Response, json_response, problem_response
from apricotrail.operators._changes import change
from apricotrail.operators._parts import OperatorParts
from apricotrail.wire.generated.ttypes import ChangeMember, Command

__all__ = ["add_member", "change_member", "list_members", "show_status"]

MAX_FIELD_CHARACTERS = 256


async def list_members(parts: OperatorParts, request: Request) -> Response:
    """Answer the replicas of control as its leader sees them."""
    status = await _ask_status(parts)
    if isinstance(status, Failure):
        return problem_response(status.failure())
    return json_response(200, {"members": status.unwrap().get("members", [])})


async def add_member(parts: OperatorParts, request: Request) -> Response:
    """Add a replica as a learner; the body names it: ``{"name", "address", "identity"}``."""
    fields = _read_fields(request.body)
    if fields is None:
        remedy = 'Send {"name": "...", "address": "host:port", "identity": "..."}.'
        return problem_response(Problem(ErrorKind.MALFORMED, "The body names no replica.", remedy))
    return await _change(parts, request, ChangeMember(**fields, action="add_learner"))


async def change_member(
    parts: OperatorParts, request: Request, name: str, identity: str, action: str
) -> Response:
    """Promote a learner that has caught up, or remove a replica."""
    return await _change(parts, request, ChangeMember(name, "", identity, action))


async def show_status(parts: OperatorParts, request: Request) -> Response:
    """Answer the document in force here, the entry's targets, and control's own status."""
    configuration = parts.read_configuration()
    live = parts.list_live()
    unknown = sum(target.target not in configuration.targets for target in live)
    status = await _ask_status(parts)
    control = status.value_or(None)
    answer = {
        "document": configuration.document._asdict(),
        "schemes": list(configuration.schemes),
        "zones_out": [
            zone for zone in configuration.zones if not configuration.is_zone_in_service(zone)
        ],
        "targets": len(configuration.targets),
        "live_targets": len(live) - unknown,
        "unknown_targets": unknown,
        "control": control,
    }
    if isinstance(status, Failure):
        answer["control_problem"] = str(status.failure())
    return json_response(200, answer)


async def _change(parts: OperatorParts, request: Request, member: ChangeMember) -> Response:
    def fill(command: Command) -> None:
        command.change_member = member

    details = {"member": {"name": member.name, "identity": member.identity}}
    return await change(parts, request, fill, details)


async def _ask_status(parts: OperatorParts) -> Result[dict[str, Any], Problem]:
    asked = await parts.ask_status("status", 0)
    if isinstance(asked, Failure):
        return asked
    try:
        status = json.loads(asked.unwrap())
    except ValueError:
        status = None
    if isinstance(status, dict):
        return Success(status)
    problem = Problem(ErrorKind.INTERNAL, "Control's status is not readable.", "Ask again.")
    return Failure(problem)


def _read_fields(body: bytes) -> dict[str, str] | None:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict) or fields.keys() != {"name", "address", "identity"}:
        return None
    texts = [value for value in fields.values() if isinstance(value, str)]
    whole = len(texts) == len(fields) and all(0 < len(t) <= MAX_FIELD_CHARACTERS for t in texts)
    return fields if whole else None
