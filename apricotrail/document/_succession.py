"""Checks of a document against the one that it follows."""

from collections.abc import Mapping
from typing import Protocol

from apricotrail.document._model import Document, Names
from apricotrail.errors import ErrorKind, Problem
from apricotrail.names import NameTable

__all__ = ["check_succession"]


class _Named(Protocol):
    names: Names


def check_succession(old: Document | None, new: Document) -> tuple[Problem, ...]:
    """Find the names that would move to another thing in one step.

    A caller that still uses the old meaning would otherwise reach another thing without an error.
    Bare names are checked as well as those under a scheme.

    Parameters
    ----------
    old : Document or None
        Document in force, None for the first.
    new : Document
        Document that would follow it.

    Returns
    -------
    tuple of Problem
        One for each name, empty if `new` may follow.
    """
    if old is None:
        return ()
    kinds = (
        ("service", old.services, new.services),
        ("zone", old.zones, new.zones),
        ("target", old.targets, new.targets),
    )
    problems: list[Problem] = []
    for kind, before, after in kinds:
        if before == after and old.schemes == new.schemes:
            continue
        problems += _find_moves(kind, _Kind(kind, old, before), _Kind(kind, new, after))
    return tuple(problems)


class _Kind:
    def __init__(self, kind: str, document: Document, things: Mapping[str, _Named]) -> None:
        self.things = things
        names = {item_id: thing.names for item_id, thing in things.items()}
        self.table = NameTable(kind, document.schemes, names)
        self.ids = {
            (scheme, name): item_id
            for item_id, thing_names in names.items()
            for scheme, name in thing_names.items()
        }


def _find_moves(kind: str, old: _Kind, new: _Kind) -> list[Problem]:
    moved: dict[tuple[str, str, str], str] = {}
    for (scheme, name), before in old.ids.items():
        after = new.ids.get((scheme, name))
        if after is not None and after != before:
            moved[name, before, after] = f"{scheme}:{name}"
    bare_names = {name for _, name in old.ids} | old.things.keys()
    for name in bare_names:
        before, after = old.table.find(name), new.table.find(name)
        if len(before) != 1 or len(after) != 1 or before.keys() == after.keys():
            continue
        (before_id,), (after_id,) = before, after
        moved.setdefault((name, before_id, after_id), name)
    return [
        _describe(kind, reference, before, after)
        for (_, before, after), reference in sorted(moved.items())
    ]


def _describe(kind: str, reference: str, before: str, after: str) -> Problem:
    message = (
        f'{kind}s: the name "{reference}" would move from "{before}" to "{after}" in one step.'
    )
    remedy = f'Take it from "{before}" in one document and give it to "{after}" in the next.'
    return Problem(ErrorKind.CONFLICT, message, remedy)
