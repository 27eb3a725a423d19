"""Typed reading of the tables of a document, which collects every problem."""

from math import isfinite
from typing import NamedTuple

from apricotrail.document._lines import LineIndex, Path
from apricotrail.errors import ErrorKind, Problem
from apricotrail.names import suggest

__all__ = ["Bounds", "Problems", "TableReader"]


MAX_PROBLEMS = 200
MAX_SHOWN_CHARACTERS = 64


class Bounds(NamedTuple):
    """Inclusive bounds of a number."""

    minimum: float
    maximum: float


class _Found(NamedTuple):
    path: Path
    message: str
    remedy: str
    kind: ErrorKind


class Problems:
    """The problems found in one text; its lines are looked up only if there is one.

    Parameters
    ----------
    text : str
        The text.
    """

    def __init__(self, text: str) -> None:
        self._text = text
        self._found: list[_Found] = []

    def add(
        self, path: Path, message: str, remedy: str, kind: ErrorKind = ErrorKind.MALFORMED
    ) -> None:
        """Add a problem at `path`."""
        self._found.append(_Found(path, message, remedy, kind))

    def list(self) -> tuple[Problem, ...]:
        """Return the problems by line."""
        if not self._found:
            return ()
        lines = LineIndex(self._text)
        numbered = [(lines.find(found.path), found) for found in self._found]
        numbered.sort(key=lambda pair: pair[0])
        located = [_locate(line, found) for line, found in numbered[:MAX_PROBLEMS]]
        surplus = len(numbered) - len(located)
        if surplus:
            message = f"{surplus} further problems are not listed."
            located.append(Problem(ErrorKind.MALFORMED, message, "Correct the listed ones first."))
        return tuple(located)


def _locate(line: int, found: _Found) -> Problem:
    path = ".".join(f"{part:.{MAX_SHOWN_CHARACTERS}}" for part in found.path)
    return Problem(found.kind, f"line {line}, {path}: {found.message}", found.remedy)


class TableReader:
    """Reads the keys of one table; each method returns a usable value even after a problem.

    Parameters
    ----------
    values : object
        The parsed table; anything else is a problem.
    path : tuple of str
        Where the table stands.
    problems : Problems
        Takes the problems found.
    """

    def __init__(self, values: object, path: Path, problems: Problems) -> None:
        self.path = path
        self.problems = problems
        self._known: list[str] = []
        self._is_table = _is_table(values)
        self._values: dict[str, object] = values if _is_table(values) else {}
        if not self._is_table:
            problems.add(path, "is not a table.", f"Write it as [{'.'.join(path)}].")

    def is_empty(self) -> bool:
        """Return whether this is a table without a key."""
        return self._is_table and not self._values

    def read_tables(self, key: str) -> dict[str, "TableReader"]:
        """Return a reader for each table below `key`, none if the key is absent."""
        section = self.read_table(key)
        tables = {name: section.read_table(name) for name in section._values}
        return {name: tables[name] for name, value in section._values.items() if _is_table(value)}

    def read_table(self, key: str) -> "TableReader":
        """Return a reader for the table at `key`, empty if it is absent."""
        return TableReader(self._take(key, {}), (*self.path, key), self.problems)

    def read_text(self, key: str) -> str:
        """Return the required string at `key`, empty after a problem."""
        value = self._take(key, None)
        if isinstance(value, str):
            return value
        message = "is missing." if value is None else f"{value!r:.60} is not a string."
        self._add(key, message, f'Write {key} = "...".')
        return ""

    def read_texts(self, key: str, *, required: bool = False) -> tuple[str, ...]:
        """Return the list of strings at `key`."""
        value = self._take(key, None if required else [])
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        message = "is missing." if value is None else "is not a list of strings."
        self._add(key, message, f'Write {key} = ["...", "..."].')
        return ()

    def read_all_texts(self) -> dict[str, str]:
        """Return the strings of this table, in which every value must be one."""
        texts = {key: self.read_text(key) for key in self._values}
        return {key: text for key, text in texts.items() if isinstance(self._values[key], str)}

    def read_integer(self, key: str, default: int, bounds: Bounds) -> int:
        """Return the whole number at `key`, `default` if it is absent."""
        value = self._take(key, default)
        if type(value) is int and bounds.minimum <= value <= bounds.maximum:
            return value
        self._add(key, f"{_show(value)} is not a whole number in range.", _describe(bounds))
        return default

    def read_number(self, key: str, default: float, bounds: Bounds) -> float:
        """Return the number at `key`, `default` if it is absent."""
        value = self._take(key, default)
        if type(value) in (int, float) and bounds.minimum <= value <= bounds.maximum:
            return float(value)
        self._add(key, f"{_show(value)} is not a number in range.", _describe(bounds))
        return default

    def refuse_unknown_keys(self) -> None:
        """Add a problem for each key that was never read."""
        for key in self._values:
            if key not in self._known:
                self._add(key, "no such key here.", suggest(key, self._known))

    def _take(self, key: str, default: object) -> object:
        self._known.append(key)
        return self._values.get(key, default)

    def _add(self, key: str, message: str, remedy: str) -> None:
        self.problems.add((*self.path, key), message, remedy)


def _is_table(value: object) -> bool:
    return isinstance(value, dict)


def _show(value: object) -> str:
    if type(value) is int:
        return str(value) if value.bit_length() < 64 else "this number"
    return f"{value!r:.60}" if not isinstance(value, float) or isfinite(value) else str(value)


def _describe(bounds: Bounds) -> str:
    return f"Give a number from {bounds.minimum:,g} to {bounds.maximum:,g}."
