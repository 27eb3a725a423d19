"""What a document changes against the one that it follows."""

from collections.abc import Mapping
from typing import NamedTuple

from apricotrail.document._model import Document

__all__ = ["Difference", "DocumentDiff", "diff_documents"]


class Difference(NamedTuple):
    """One thing that was added, removed or changed.

    Attributes
    ----------
    kind : str
        "schemes", "service", "zone", "target" or "team".
    id : str
        Key of its table, empty for the schemes.
    change : str
        "added", "removed" or "changed".
    fields : tuple of str
        What changed, as "field: old -> new"; empty for things added or removed.
    """

    kind: str
    id: str
    change: str
    fields: tuple[str, ...]


class DocumentDiff(NamedTuple):
    """Differences between two documents, and whom they touch.

    Attributes
    ----------
    differences : tuple of Difference
        By kind, then in the order of the documents.
    targets : tuple of str
        Ids of the targets that change, or whose service or zone does.
    teams : tuple of str
        Ids of the teams that change.
    callers : tuple of str
        Callers of those teams, before or after.
    """

    differences: tuple[Difference, ...]
    targets: tuple[str, ...]
    teams: tuple[str, ...]
    callers: tuple[str, ...]


_EMPTY = Document((), {}, {}, {}, {})


def diff_documents(old: Document | None, new: Document) -> DocumentDiff:
    """Compare two documents.

    Examples
    --------
    >>> schemes = ("a", "b", "c")
    >>> diff_documents(None, Document(schemes, {}, {}, {}, {})).differences[0].fields
    ('schemes: none -> a, b, c',)
    """
    old = old or _EMPTY
    differences = []
    if old.schemes != new.schemes:
        fields = (_describe_field("schemes", old.schemes, new.schemes),)
        differences.append(Difference("schemes", "", "changed", fields))
    for kind, section in _SECTIONS.items():
        differences += _diff_section(kind, getattr(old, section), getattr(new, section))
    targets = _list_touched_targets(old, new, differences)
    teams = tuple(difference.id for difference in differences if difference.kind == "team")
    return DocumentDiff(tuple(differences), targets, teams, _list_callers(old, new, teams))


_SECTIONS = {"service": "services", "zone": "zones", "target": "targets", "team": "teams"}


def _diff_section(kind: str, old: Mapping, new: Mapping) -> list[Difference]:
    differences = []
    for item_id in old.keys() | new.keys():
        if item_id not in old:
            differences.append(Difference(kind, item_id, "added", ()))
        elif item_id not in new:
            differences.append(Difference(kind, item_id, "removed", ()))
        elif old[item_id] != new[item_id]:
            fields = _diff_fields(old[item_id], new[item_id])
            differences.append(Difference(kind, item_id, "changed", fields))
    return sorted(differences)


def _diff_fields(old: tuple, new: tuple) -> tuple[str, ...]:
    before, after = _flatten(old), _flatten(new)
    return tuple(
        _describe_field(name, before.get(name), after.get(name))
        for name in dict.fromkeys((*before, *after))
        if before.get(name) != after.get(name)
    )


def _flatten(thing: tuple) -> dict[str, object]:
    fields: dict[str, object] = {}
    for name, value in thing._asdict().items():  # type: ignore[attr-defined]
        if hasattr(value, "_asdict"):
            value = value._asdict()
        if isinstance(value, dict):
            fields.update({f"{name}.{key}": inner for key, inner in value.items()})
        else:
            fields[name] = value
    return fields


def _describe_field(name: str, old: object, new: object) -> str:
    return f"{name}: {_show(old)} -> {_show(new)}"


def _show(value: object) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(str, value)) or "none"
    return "none" if value is None else str(value)


def _list_touched_targets(
    old: Document, new: Document, differences: list[Difference]
) -> tuple[str, ...]:
    changed = {(difference.kind, difference.id) for difference in differences}
    touched = {item_id for kind, item_id in changed if kind == "target"}
    for target in (*old.targets.values(), *new.targets.values()):
        if ("service", target.service) in changed or ("zone", target.zone) in changed:
            touched.add(target.id)
    return tuple(sorted(touched))


def _list_callers(old: Document, new: Document, teams: tuple[str, ...]) -> tuple[str, ...]:
    touched: set[str] = set()
    for document in (old, new):
        for team_id in teams:
            if team_id in document.teams:
                touched.update(document.teams[team_id].callers)
    return tuple(sorted(touched))
