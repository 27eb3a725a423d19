"""JSON forms of what operators are answered; a thing is always given with all its names."""

from collections.abc import Sequence
from typing import Any

from apricotrail.document import DocumentDiff, EffectiveConfiguration
from apricotrail.errors import Problem

__all__ = ["describe_diff", "describe_names", "describe_problems"]


def describe_names(configuration: EffectiveConfiguration, kind: str, item_id: str) -> dict:
    """Return the id and the names of a thing, in the order of the schemes."""
    names = configuration.names_of(kind, item_id)
    ordered = {scheme: names[scheme] for scheme in configuration.schemes if scheme in names}
    return {"id": item_id, "names": ordered}


def describe_problems(problems: Sequence[Problem]) -> list[dict[str, str]]:
    """Return problems as JSON objects."""
    return [
        {"kind": problem.kind.value, "message": problem.message, "remedy": problem.remedy}
        for problem in problems
    ]


def describe_diff(diff: DocumentDiff) -> dict[str, Any]:
    """Return differences with the targets, teams and callers that they touch."""
    return {
        "differences": [difference._asdict() for difference in diff.differences],
        "targets": list(diff.targets),
        "teams": list(diff.teams),
        "callers": list(diff.callers),
    }
