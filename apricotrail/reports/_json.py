"""The merged report as JSON and back."""

from typing import Any

from apricotrail.reports._burn import (
    BurnReport,
    Cause,
    EntryCoverage,
    Point,
    ServiceBurn,
    WindowBurn,
)
from apricotrail.reports._recorder import Objectives

__all__ = ["dump_report", "load_report"]


def dump_report(report: BurnReport) -> dict[str, Any]:
    """Return the report as JSON values."""
    return {
        "made_wall_ms": report.made_wall_ms,
        "services": [_dump_service(service) for service in report.services],
        "entries": [entry._asdict() for entry in report.entries],
        "silent": list(report.silent),
        "gaps": list(report.gaps),
    }


def load_report(value: dict[str, Any]) -> BurnReport:
    """Return the report that `dump_report` made `value` from.

    Raises
    ------
    KeyError, TypeError
        If the value is no such report.
    """
    return BurnReport(
        value["made_wall_ms"],
        tuple(_load_service(service) for service in value["services"]),
        tuple(EntryCoverage(**entry) for entry in value["entries"]),
        tuple(value["silent"]),
        tuple(value["gaps"]),
    )


def _dump_service(service: ServiceBurn) -> dict[str, Any]:
    return {
        **service._asdict(),
        "objectives": service.objectives._asdict(),
        "windows": [window._asdict() for window in service.windows],
        "causes": [cause._asdict() for cause in service.causes],
        "points": {name: [list(p) for p in points] for name, points in service.points.items()},
    }


def _load_service(value: dict[str, Any]) -> ServiceBurn:
    points = {
        name: tuple(Point(*point) for point in points) for name, points in value["points"].items()
    }
    return ServiceBurn(
        **{
            **value,
            "objectives": Objectives(**value["objectives"]),
            "windows": tuple(WindowBurn(**window) for window in value["windows"]),
            "causes": tuple(Cause(**cause) for cause in value["causes"]),
            "points": points,
        }
    )
