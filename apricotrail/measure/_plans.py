"""Settings of the roles of a measured system."""

import socket
from collections.abc import Mapping
from pathlib import Path
from random import Random
from typing import NamedTuple

from apricotrail.measure._deployment import ENVIRONMENT, Deployment, TargetPlace

__all__ = ["RolePlan", "find_free_ports", "plan_agent", "plan_control", "plan_entries"]

HOST = "127.0.0.1"
PORT_RANGE = (20_000, 32_000)


class RolePlan(NamedTuple):
    """One role to run: "control", "entry" or "agent", and its settings by dotted name."""

    role: str
    values: dict


def plan_control(deployment: Deployment, folder: Path, ports: list[int]) -> dict[str, RolePlan]:
    """Return the control replicas by name; takes ports from `ports`."""
    names = [f"control-{number}" for number in range(1, deployment.replicas + 1)]
    addresses = {name: f"{HOST}:{ports.pop()}" for name in names}
    peers = [f"{name}={address}" for name, address in addresses.items()]
    return {
        name: RolePlan(
            "control",
            {
                "control.name": name,
                "control.zone": _zone(deployment, number),
                "control.environment": ENVIRONMENT,
                "control.listen": addresses[name],
                "control.peers": peers,
                "control.data_folder": str(folder / name),
            },
        )
        for number, name in enumerate(names)
    }


def plan_entries(
    deployment: Deployment, token_file: Path, ports: list[int], plans: Mapping[str, RolePlan]
) -> dict[str, RolePlan]:
    """Return the entries by name; `plans` holds the control replicas."""
    control = _list_values(plans, "control", "control.listen")
    return {
        f"entry-{number + 1}": RolePlan(
            "entry",
            {
                "entry.name": f"entry-{number + 1}",
                "entry.zone": _zone(deployment, number),
                "entry.environment": ENVIRONMENT,
                "entry.listen": f"{HOST}:{ports.pop()}",
                "entry.operators_listen": f"{HOST}:{ports.pop()}",
                "entry.link_listen": f"{HOST}:{ports.pop()}",
                "control.addresses": control,
                "operators.token_file": str(token_file),
            },
        )
        for number in range(deployment.entries)
    }


def plan_agent(
    deployment: Deployment, place: TargetPlace, address: str, plans: Mapping[str, RolePlan]
) -> RolePlan:
    """Return the agent of a target at `address`; `plans` holds the entries."""
    return RolePlan(
        "agent",
        {
            "agent.target": place.target,
            "agent.target_address": address,
            "agent.slots": deployment.slots,
            "agent.connections": deployment.connections,
            "agent.zone": place.zone,
            "agent.environment": ENVIRONMENT,
            "agent.entries": _list_values(plans, "entry", "entry.link_listen"),
        },
    )


def _list_values(plans: Mapping[str, RolePlan], role: str, name: str) -> list[str]:
    return [plan.values[name] for plan in plans.values() if plan.role == role]


def _zone(deployment: Deployment, number: int) -> str:
    return deployment.zones[number % len(deployment.zones)]


def find_free_ports(number: int) -> list[int]:
    """Return ports that are free now, below the range from which connections take theirs."""
    random = Random()
    ports: list[int] = []
    for port in random.sample(range(*PORT_RANGE), PORT_RANGE[1] - PORT_RANGE[0]):
        if len(ports) == number:
            break
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
