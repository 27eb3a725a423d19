"""Handlers for availability zones: list, out, in."""

from collections import Counter
from typing import Any

from returns.result import Failure

from apricotrail.document import EffectiveConfiguration
from apricotrail.http import Request, Response, json_response, problem_response
from apricotrail.operators._answers import describe_names
from apricotrail.operators._changes import change
from apricotrail.operators._parts import OperatorParts
from apricotrail.wire.generated.ttypes import Command, SetZoneState

__all__ = ["list_zones", "set_zone_state"]


async def list_zones(parts: OperatorParts, request: Request) -> Response:
    """Answer every zone with its state and its number of targets."""
    configuration = parts.read_configuration()
    known = Counter(target.zone for target in configuration.targets.values())
    live = Counter(
        configuration.targets[target.target].zone
        for target in parts.list_live()
        if target.target in configuration.targets
    )
    zones = [
        {
            **_describe(configuration, zone_id),
            "targets": known[zone_id],
            "live_targets": live[zone_id],
        }
        for zone_id in sorted(configuration.zones)
    ]
    return json_response(200, {"zones": zones})


async def set_zone_state(
    parts: OperatorParts, request: Request, zone: str, in_service: bool
) -> Response:
    """Take a zone out of service or put it back."""
    configuration = parts.read_configuration()
    resolved = configuration.resolve("zone", zone)
    if isinstance(resolved, Failure):
        return problem_response(resolved.failure())
    zone_id = resolved.unwrap()

    def fill(command: Command) -> None:
        command.set_zone_state = SetZoneState(zone_id, in_service)

    names = describe_names(configuration, "zone", zone_id)
    return await change(parts, request, fill, {"zone": {**names, "in_service": in_service}})


def _describe(configuration: EffectiveConfiguration, zone_id: str) -> dict[str, Any]:
    names = describe_names(configuration, "zone", zone_id)
    return {**names, "in_service": configuration.is_zone_in_service(zone_id)}
