"""Reads the state, largest answer and references of one target from the configuration items."""

from collections.abc import Mapping
from typing import Any, NamedTuple

import orjson

__all__ = ["UNKNOWN", "TargetConfiguration", "read_target_configuration"]


class TargetConfiguration(NamedTuple):
    """What the configuration says about a target.

    Attributes
    ----------
    known : bool
        Whether the configuration has an item for the target and one for its zone.
    zone_in_service : bool
        Whether its availability zone is in service, as it is unless operators have ordered
        otherwise.
    leaving : bool
        Whether operators have ordered the target to leave.
    max_answer_bytes : int or None
        Size of the largest answer of its service in bytes; None if it isn't known.
    references : frozenset of str
        All references to the target: its id, its names, and its names as ``scheme:name``.
    """

    known: bool = False
    zone_in_service: bool = False
    leaving: bool = False
    max_answer_bytes: int | None = None
    references: frozenset[str] = frozenset()


UNKNOWN = TargetConfiguration()


def read_target_configuration(items: Mapping[str, bytes], target_id: str) -> TargetConfiguration:
    """Return what the items say about a target, `UNKNOWN` if it or its zone is missing.

    Without an item ``zone-state/`` a zone is in service, without an item ``target-state/`` a target
    isn't leaving.

    Examples
    --------
    >>> items = {"target/t": b'{"service":"s","zone":"z"}', "zone/z": b"{}"}
    >>> read_target_configuration(items, "t").zone_in_service
    True
    """
    target = _read(items, f"target/{target_id}")
    if target is None or f"zone/{target.get('zone')}" not in items:
        return UNKNOWN
    zone_state = _read(items, f"zone-state/{target['zone']}") or {}
    target_state = _read(items, f"target-state/{target_id}") or {}
    service = _read(items, f"service/{target.get('service')}") or {}
    return TargetConfiguration(
        known=True,
        zone_in_service=zone_state.get("in_service", True),
        leaving=target_state.get("leaving", False),
        max_answer_bytes=service.get("max_answer_bytes"),
        references=_list_references(target_id, target.get("names", {})),
    )


def _list_references(target_id: str, names: Mapping[str, str]) -> frozenset[str]:
    qualified = (f"{scheme}:{name}" for scheme, name in names.items())
    return frozenset({target_id, *names.values(), *qualified})


def _read(items: Mapping[str, bytes], key: str) -> dict[str, Any] | None:
    value = items.get(key)
    return None if value is None else orjson.loads(value)
