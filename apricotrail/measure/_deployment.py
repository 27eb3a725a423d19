"""The deployments to measure, their document, and the settings of their roles."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "DEPLOYMENTS",
    "ENVIRONMENT",
    "Deployment",
    "TargetPlace",
    "write_document",
    "write_toml",
]

ENVIRONMENT = "trial"


class Deployment(NamedTuple):
    """Size of one deployment.

    Attributes
    ----------
    name : str
        Name on the command line.
    service : str
        Service id.
    zones : tuple of str
        Zone ids; targets and entries are spread over them in turn.
    teams : tuple of str
        Team ids.
    targets, slots, connections, entries, replicas : int
        Targets, slots and connections of each, entries, control replicas.
    deadline_ms : int
        Deadline of jobs.
    """

    name: str
    service: str
    zones: tuple[str, ...]
    teams: tuple[str, ...]
    targets: int = 11
    slots: int = 8
    connections: int = 64
    entries: int = 3
    replicas: int = 3
    deadline_ms: int = 30_000

    def all_slots(self) -> int:
        """Return the slots of all targets."""
        return self.targets * self.slots

    def places(self) -> "list[TargetPlace]":
        """Return the targets with their zones."""
        return [
            TargetPlace(f"runner-{number}", self.zones[number % len(self.zones)])
            for number in range(self.targets)
        ]

    def callers(self) -> list[tuple[str, str]]:
        """Return two callers of each team, with the team."""
        return [(f"{team}-{number}", team) for team in self.teams for number in (1, 2)]


class TargetPlace(NamedTuple):
    """A target and its zone, by id."""

    target: str
    zone: str


DEPLOYMENTS: dict[str, Deployment] = {
    "reparo": Deployment(
        "reparo",
        "repair",
        ("natal", "pipa", "fortaleza", "jeri"),
        ("shop-1", "shop-2", "shop-3", "shop-4", "shop-5"),
    ),
    "areneros": Deployment(
        "areneros",
        "dispatch",
        ("barranca", "puerto-berrio", "la-dorada"),
        ("pits", "gates", "sites"),
    ),
}
"""The two deployments of today, by name."""


def write_document(deployment: Deployment) -> str:
    """Return the document of a deployment (TOML)."""
    lines = ['schemes = ["booking", "legacy", "yard"]', "", f"[services.{deployment.service}]"]
    lines += [f'names = {{ booking = "{deployment.service} service" }}']
    lines += [f"deadline_ms = {deployment.deadline_ms}"]
    for zone in deployment.zones:
        lines += ["", f"[zones.{zone}]", f'names = {{ booking = "{zone} zone" }}']
    for place in deployment.places():
        lines += ["", f"[targets.{place.target}]", f'names = {{ legacy = "old {place.target}" }}']
        lines += [f'service = "{deployment.service}"', f'zone = "{place.zone}"']
    for team in deployment.teams:
        callers = ", ".join(f'"{name}"' for name, owner in deployment.callers() if owner == team)
        lines += ["", f"[teams.{team}]", "share = 1.0", f"callers = [{callers}]"]
    return "\n".join(lines) + "\n"


def write_toml(values: Mapping[str, int | float | str | Sequence[str]]) -> str:
    """Return settings by dotted name as the text of a settings file.

    Examples
    --------
    >>> print(write_toml({"agent.slots": 8, "agent.zone": "pipa"}))
    [agent]
    slots = 8
    zone = "pipa"
    """
    tables: dict[str, list[str]] = {}
    for name, value in values.items():
        table, _, key = name.partition(".")
        tables.setdefault(table, []).append(f"{key} = {_write_value(value)}")
    return "\n".join("\n".join([f"[{table}]", *lines]) for table, lines in tables.items())


def _write_value(value: int | float | str | Sequence[str]) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return str(value)
    if isinstance(value, str):
        return f'"{value}"'
    return "[" + ", ".join(f'"{item}"' for item in value) + "]"
