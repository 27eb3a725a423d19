"""``apricotrail service``: list, show."""

from typing import Any
from urllib.parse import quote

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._operator_options import Session, read_command
from apricotrail.cli._output import print_table
from apricotrail.cli._things import list_names, list_schemes
from apricotrail.cli.target import print_targets

__all__ = ["list_services", "show_service"]


@read_command
async def list_services(session: Session) -> ExitCode:
    """List the services under all their names, with their targets."""
    return session.show(await session.read("/v1/admin/services"), _print_services)


@read_command
async def show_service(session: Session, service: str) -> ExitCode:
    """Show a service: names, limits, objectives and targets.

    Parameters
    ----------
    service
        Name of the service, bare or as scheme:name.
    """
    result = await session.read(f"/v1/admin/services/{quote(service, safe='')}")
    return session.show(result, _print_service)


def _print_services(answer: Any) -> None:
    services = answer["services"]
    schemes = list_schemes(services)
    rows = [
        [
            *list_names(service, schemes),
            service["deadline_ms"],
            service["targets"],
            service["live_targets"],
        ]
        for service in services
    ]
    print_table([*schemes, "deadline ms", "targets", "live"], rows)


def _print_service(service: Any) -> None:
    objectives = service["objectives"]
    for scheme, name in service["names"].items():
        print(f"{scheme}: {name}")
    for limit in ("deadline_ms", "max_tasks", "max_body_bytes", "max_answer_bytes"):
        print(f"{limit}: {service[limit]}")
    print(
        f"objectives: {objectives['latency_share']:.2%} within {objectives['latency_ms']} ms, "
        f"{objectives['success']:.2%} without failure\n"
    )
    print_targets(service["target_list"])
