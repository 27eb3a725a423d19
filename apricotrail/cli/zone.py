"""``apricotrail zone``: list, out, in."""

from typing import Any
from urllib.parse import quote

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._operator_options import Session, change_command, read_command
from apricotrail.cli._output import print_table
from apricotrail.cli._things import describe_force, list_names, list_schemes

__all__ = ["list_zones", "put_zone_in", "take_zone_out"]


@read_command
async def list_zones(session: Session) -> ExitCode:
    """List the availability zones under all their names, with their state."""
    return session.show(await session.read("/v1/admin/zones"), _print_zones)


@change_command
async def take_zone_out(session: Session, zone: str) -> ExitCode:
    """Take a zone out of service: within seconds no task starts there.

    Parameters
    ----------
    zone
        Name of the zone, bare or as scheme:name.
    """
    return await _set_state(session, zone, "out")


@change_command
async def put_zone_in(session: Session, zone: str) -> ExitCode:
    """Put a zone back into service.

    Parameters
    ----------
    zone
        Name of the zone, bare or as scheme:name.
    """
    return await _set_state(session, zone, "in")


async def _set_state(session: Session, zone: str, state: str) -> ExitCode:
    result = await session.change(f"/v1/admin/zones/{quote(zone, safe='')}/{state}")
    return session.show(result, _print_state)


def _print_state(answer: Any) -> None:
    zone = answer["zone"]
    state = "in service" if zone["in_service"] else "out of service"
    print(f"{' / '.join(zone['names'].values())} is {state}; {describe_force(answer)}")


def _print_zones(answer: Any) -> None:
    zones = answer["zones"]
    schemes = list_schemes(zones)
    rows = [
        [
            *list_names(zone, schemes),
            "in" if zone["in_service"] else "out",
            zone["targets"],
            zone["live_targets"],
        ]
        for zone in zones
    ]
    print_table([*schemes, "service", "targets", "live"], rows)
