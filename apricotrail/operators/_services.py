"""Handlers for services: list, show."""

from typing import Any

from returns.result import Failure

from apricotrail.document import EffectiveConfiguration
from apricotrail.http import Request, Response, json_response, problem_response
from apricotrail.operators._answers import describe_names
from apricotrail.operators._parts import OperatorParts
from apricotrail.operators._targets import describe_target

__all__ = ["list_services", "show_service"]


async def list_services(parts: OperatorParts, request: Request) -> Response:
    """Answer every service with its limits, objectives and number of targets."""
    configuration = parts.read_configuration()
    live = {target.target for target in parts.list_live()}
    services = [
        _describe(configuration, service_id, live) for service_id in sorted(configuration.services)
    ]
    return json_response(200, {"services": services})


async def show_service(parts: OperatorParts, request: Request, service: str) -> Response:
    """Answer one service with its targets."""
    configuration = parts.read_configuration()
    resolved = configuration.resolve("service", service)
    if isinstance(resolved, Failure):
        return problem_response(resolved.failure())
    service_id = resolved.unwrap()
    live = {target.target: target for target in parts.list_live()}
    targets = [
        describe_target(configuration, target.id, live.get(target.id))
        for target in sorted(configuration.targets_of(service_id))
    ]
    answer = _describe(configuration, service_id, set(live))
    return json_response(200, {**answer, "target_list": targets})


def _describe(
    configuration: EffectiveConfiguration, service_id: str, live: set[str]
) -> dict[str, Any]:
    service = configuration.services[service_id]
    targets = configuration.targets_of(service_id)
    return {
        **describe_names(configuration, "service", service_id),
        "deadline_ms": service.deadline_ms,
        "max_tasks": service.max_tasks,
        "max_body_bytes": service.max_body_bytes,
        "max_answer_bytes": service.max_answer_bytes,
        "objectives": service.objectives._asdict(),
        "targets": len(targets),
        "live_targets": sum(target.id in live for target in targets),
    }
