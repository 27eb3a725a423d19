"""The configuration in force on one node: document, short-notice states and hosts.

The entry view is read by `apricotrail.membership`.
"""

from collections.abc import Callable, Iterable, Mapping
from sys import intern
from typing import NamedTuple

from orjson import loads
from returns.result import Failure, Result

from apricotrail.document._model import (
    DEFAULT_TEAM_ID,
    Objectives,
    Service,
    Target,
    Team,
    Zone,
)
from apricotrail.errors import ErrorKind, Problem
from apricotrail.names import NameTable

__all__ = [
    "DocumentRecord",
    "EffectiveConfiguration",
    "Host",
    "read_items",
]


class Host(NamedTuple):
    """The entry that hosts the agent of a target.

    Attributes
    ----------
    entry : str
        Name of the entry.
    incarnation : int
        Its incarnation.
    epoch : int
        Grows with each assignment.
    released : bool
        Whether the former host stopped its agent before this assignment.
    """

    entry: str
    incarnation: int
    epoch: int
    released: bool = False


class DocumentRecord(NamedTuple):
    """Which document is in force; `sha256` is in hexadecimal digits."""

    number: int = 0
    sha256: str = ""
    author: str = ""
    wall_ms: int = 0


def _read_fields(kind: type, value: Mapping[str, object], **fixed: object) -> tuple:
    """Build a NamedTuple from the fields that it knows; newer ones are skipped."""
    fields = {name: value[name] for name in kind._fields if name in value}  # type: ignore
    return kind(**(fields | fixed))


def _read_service(item_id: str, value: dict) -> Service:
    objectives = _read_fields(Objectives, value.get("objectives", {}))
    return _read_fields(Service, value, id=item_id, objectives=objectives)


def _read_zone(item_id: str, value: dict) -> Zone:
    return _read_fields(Zone, value, id=item_id)


def _read_target(item_id: str, value: dict) -> Target:
    service, zone = intern(value["service"]), intern(value["zone"])
    return _read_fields(Target, value, id=item_id, service=service, zone=zone)


def _read_team(item_id: str, value: dict) -> Team:
    return _read_fields(Team, value, id=item_id, callers=tuple(value.get("callers", ())))


def _read_zone_state(item_id: str, value: dict) -> bool:
    return value["in_service"]


def _read_target_state(item_id: str, value: dict) -> bool:
    return value["leaving"]


def _read_host(item_id: str, value: dict) -> Host:
    return _read_fields(Host, value)


def _read_document(item_id: str, value: dict) -> DocumentRecord:
    return _read_fields(DocumentRecord, value)


def _read_schemes(item_id: str, value: list) -> tuple[str, ...]:
    return tuple(value)


_READERS: dict[str, Callable[[str, object], object]] = {
    "schemes": _read_schemes,
    "service": _read_service,
    "zone": _read_zone,
    "target": _read_target,
    "team": _read_team,
    "zone-state": _read_zone_state,
    "target-state": _read_target_state,
    "host": _read_host,
    "document": _read_document,
}
_NAMED_KINDS = ("service", "zone", "target")

Sections = Mapping[str, Mapping[str, object]]


class EffectiveConfiguration:
    """Typed look-ups in the configuration items of one node. It never changes.

    Parameters
    ----------
    sections : mapping
        Values by id, by kind.

    Attributes
    ----------
    schemes : tuple of str
        Names of the naming schemes.
    services, zones, targets, teams : dict
        Things of the document by id.
    hosts : dict
        Host of a target's agent by target id.
    document : DocumentRecord
        Which document is in force.

    Examples
    --------
    >>> items = {"schemes": b'["place","b","c"]', "zone/z1": b'{"names":{"place":"Pipa"}}'}
    >>> configuration = read_items(items)
    >>> configuration.resolve("zone", "Pipa").unwrap()
    'z1'
    >>> configuration.apply({"zone-state/z1": b'{"in_service":false}'}).is_zone_in_service("z1")
    False
    """

    def __init__(self, sections: Sections) -> None:
        self._sections = sections
        self.schemes: tuple[str, ...] = self._section("schemes").get("", ())
        self.services: Mapping[str, Service] = self._section("service")
        self.zones: Mapping[str, Zone] = self._section("zone")
        self.targets: Mapping[str, Target] = self._section("target")
        self.teams: Mapping[str, Team] = self._section("team")
        self.hosts: Mapping[str, Host] = self._section("host")
        self.document: DocumentRecord = self._section("document").get("", DocumentRecord())
        self._zone_states: Mapping[str, bool] = self._section("zone-state")
        self._target_states: Mapping[str, bool] = self._section("target-state")
        self._tables: dict[str, NameTable] = {}
        self._targets_by_service: dict[str, tuple[Target, ...]] | None = None
        self._teams_by_caller: dict[str, Team] | None = None

    def apply(self, changes: Mapping[str, bytes | None]) -> "EffectiveConfiguration":
        """Return the configuration after `changes` (JSON by key, None removes).

        Sections without a change, and their indexes, are shared with this configuration.
        """
        grouped = _group(changes.items())
        sections = dict(self._sections)
        for kind, values in grouped.items():
            section = dict(self._section(kind))
            for item_id, value in values.items():
                if value is None:
                    section.pop(item_id, None)
                else:
                    section[item_id] = _READERS[kind](item_id, loads(value))
            sections[kind] = section
        configuration = EffectiveConfiguration(sections)
        configuration._share_indexes(self, grouped)
        return configuration

    def is_zone_in_service(self, zone_id: str) -> bool:
        """Return whether the zone is known and not taken out."""
        return zone_id in self.zones and self._zone_states.get(zone_id, True)

    def is_target_leaving(self, target_id: str) -> bool:
        """Return whether operators told the target to leave."""
        return self._target_states.get(target_id, False)

    def targets_of(self, service_id: str) -> tuple[Target, ...]:
        """Return the targets of a service."""
        if self._targets_by_service is None:
            self._targets_by_service = _index_targets(self.targets.values())
        return self._targets_by_service.get(service_id, ())

    def team_of(self, caller: str) -> Team:
        """Return the team that lists `caller`, else the team ``default``."""
        if self._teams_by_caller is None:
            self._teams_by_caller = {
                name: team for team in self.teams.values() for name in team.callers
            }
        team = self._teams_by_caller.get(caller)
        return team or self.teams.get(DEFAULT_TEAM_ID) or Team(DEFAULT_TEAM_ID)

    def resolve(self, kind: str, reference: str) -> Result[str, Problem]:
        """Return the id of the "service", "zone" or "target" that `reference` means."""
        if kind not in _NAMED_KINDS:
            problem = Problem(
                ErrorKind.MALFORMED, f'"{kind}" has no names.', "Use service, zone or target."
            )
            return Failure(problem)
        return self._name_table(kind).resolve(reference)

    def names_of(self, kind: str, item_id: str) -> dict[str, str]:
        """Return the names by scheme of a service, zone or target, empty if it is unknown."""
        thing = self._section(kind).get(item_id)
        return dict(thing.names) if thing is not None else {}  # type: ignore[attr-defined]

    def _section(self, kind: str) -> Mapping:
        return self._sections.get(kind, {})

    def _name_table(self, kind: str) -> NameTable:
        table = self._tables.get(kind)
        if table is None:
            names = {item_id: thing.names for item_id, thing in self._section(kind).items()}
            table = self._tables[kind] = NameTable(kind, self.schemes, names)
        return table

    def _share_indexes(
        self, other: "EffectiveConfiguration", changed: Mapping[str, Mapping[str, object]]
    ) -> None:
        if "schemes" not in changed:
            for kind, table in other._tables.items():
                if self._has_names_of(other, kind, changed.get(kind, {})):
                    self._tables[kind] = table
        if "target" not in changed:
            self._targets_by_service = other._targets_by_service
        if "team" not in changed:
            self._teams_by_caller = other._teams_by_caller

    def _has_names_of(
        self, other: "EffectiveConfiguration", kind: str, item_ids: Iterable[str]
    ) -> bool:
        present, former = self._section(kind), other._section(kind)
        return all(
            item_id in present
            and item_id in former
            and present[item_id].names == former[item_id].names
            for item_id in item_ids
        )


def read_items(items: Mapping[str, bytes]) -> EffectiveConfiguration:
    """Return the typed configuration of JSON items by key; items of unknown kinds are skipped."""
    return EffectiveConfiguration({}).apply(items)


def _group(
    items: Iterable[tuple[str, bytes | None]],
) -> dict[str, dict[str, bytes | None]]:
    grouped: dict[str, dict[str, bytes | None]] = {}
    for key, value in items:
        kind, _, item_id = key.partition("/")
        if kind in _READERS:
            grouped.setdefault(kind, {})[item_id] = value
    return grouped


def _index_targets(targets: Iterable[Target]) -> dict[str, tuple[Target, ...]]:
    index: dict[str, list[Target]] = {}
    for target in targets:
        index.setdefault(target.service, []).append(target)
    return {service: tuple(members) for service, members in index.items()}
