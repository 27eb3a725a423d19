"""Handlers for targets: list, leave, return."""

from typing import Any

from returns.result import Failure

from apricotrail.document import EffectiveConfiguration
from apricotrail.http import Request, Response, json_response, problem_response
from apricotrail.operators._answers import describe_names
from apricotrail.operators._changes import change
from apricotrail.operators._parts import LiveTarget, OperatorParts
from apricotrail.wire.generated.ttypes import Command, SetTargetState

__all__ = ["describe_target", "list_targets", "set_target_state"]


async def list_targets(parts: OperatorParts, request: Request) -> Response:
    """Answer every target of the document, then the announced ones that it does not know.

    The query parameters ``zone`` and ``service`` narrow the list.
    """
    configuration = parts.read_configuration()
    wanted: dict[str, str] = {}
    for kind in ("zone", "service"):
        if kind in request.query:
            resolved = configuration.resolve(kind, request.query[kind])
            if isinstance(resolved, Failure):
                return problem_response(resolved.failure())
            wanted[kind] = resolved.unwrap()
    live = {target.target: target for target in parts.list_live()}
    targets = [
        describe_target(configuration, target_id, live.get(target_id))
        for target_id, target in sorted(configuration.targets.items())
        if all(getattr(target, kind) == item_id for kind, item_id in wanted.items())
    ]
    unknown = [it for key, it in sorted(live.items()) if key not in configuration.targets]
    described = [{"reference": it.target, **_describe_live(it)} for it in unknown]
    return json_response(200, {"targets": targets, "unknown": [] if wanted else described})


async def set_target_state(
    parts: OperatorParts, request: Request, target: str, leaving: bool
) -> Response:
    """Tell a target to leave, or let it return."""
    configuration = parts.read_configuration()
    resolved = configuration.resolve("target", target)
    if isinstance(resolved, Failure):
        return problem_response(resolved.failure())
    target_id = resolved.unwrap()

    def fill(command: Command) -> None:
        command.set_target_state = SetTargetState(target_id, leaving)

    names = describe_names(configuration, "target", target_id)
    return await change(parts, request, fill, {"target": {**names, "leaving": leaving}})


def describe_target(
    configuration: EffectiveConfiguration, target_id: str, live: LiveTarget | None
) -> dict[str, Any]:
    """Return a known target with the names of its zone and service, its state and its load."""
    target = configuration.targets[target_id]
    host = configuration.hosts.get(target_id)
    return {
        **describe_names(configuration, "target", target_id),
        "service": describe_names(configuration, "service", target.service),
        "zone": describe_names(configuration, "zone", target.zone),
        "state": _find_state(configuration, target_id, live),
        "host": host.entry if host is not None else None,
        **(_describe_live(live) if live is not None else {}),
    }


def _find_state(
    configuration: EffectiveConfiguration, target_id: str, live: LiveTarget | None
) -> str:
    if live is None:
        return "not_announced"
    if live.leaving or configuration.is_target_leaving(target_id):
        return "leaving"
    if not configuration.is_zone_in_service(configuration.targets[target_id].zone):
        return "zone_out"
    return "in_service"


def _describe_live(live: LiveTarget) -> dict[str, Any]:
    fields = live._asdict()
    del fields["target"], fields["leaving"]
    return fields
