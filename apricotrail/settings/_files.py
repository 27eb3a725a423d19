"""Reading a settings file and finding everything that is wrong with it at once."""

import tomllib
from collections.abc import Iterable
from math import isfinite
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings._declarations import (
    Constraint,
    Setting,
    Settings,
    find_setting,
    list_constraints,
    list_settings,
)

__all__ = ["TABLES", "check_values", "load_settings"]

# All tables of a settings file. A role loads only the declarations that it uses and skips the
# tables of the others, so that roles can share a file.
TABLES = (
    "agent",
    "control",
    "dispatcher",
    "entry",
    "http",
    "link",
    "log",
    "membership",
    "operators",
    "policy",
    "process",
    "reports",
    "runner",
)

_TYPE_NAMES = {bool: "true or false", int: "a whole number", float: "a number", str: "a string"}
_LIST_TYPE_NAME = "a list of strings"


def load_settings(path: Path) -> Result[Settings, tuple[Problem, ...]]:
    """Read a settings file and check all of it.

    Parameters
    ----------
    path : Path
        TOML file (TOML 1.0).

    Returns
    -------
    Result
        The settings, or every problem found.
    """
    try:
        with path.open("rb") as file:
            tables = tomllib.load(file)
    except (OSError, ValueError) as error:
        remedy = "Give the path of a readable TOML file."
        return Failure((Problem(ErrorKind.SETTINGS, f"{path}: {error}.", remedy),))
    values = _flatten(tables)
    problems = check_values(values)
    return Failure(problems) if problems else Success(Settings(values))


def check_values(values: dict[str, Any]) -> tuple[Problem, ...]:
    """Return every problem with `values` (by dotted name): keys, types, bounds and pairs.

    Examples
    --------
    >>> setting = declare_setting("example.wait_ms", 5, "Example.", unit="ms")
    >>> check_values({"example.wiat_ms": 6})[0].remedy
    'Did you mean example.wait_ms?'
    """
    problems = [problem for name, value in values.items() for problem in _check(name, value)]
    broken = {problem.message.partition(" = ")[0] for problem in problems}
    problems.extend(_check_constraints(values, broken))
    return tuple(problems)


def _flatten(tables: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in tables.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{prefix}{key}."))
        else:
            flat[f"{prefix}{key}"] = value
    return flat


def _check(name: str, value: Any) -> Iterable[Problem]:
    setting = find_setting(name)
    if setting is None:
        return _check_unknown(name, value)
    if not _has_type(setting, value):
        expected = _TYPE_NAMES.get(type(setting.default), _LIST_TYPE_NAME)
        return [_problem(name, value, f"must be {expected}", f"Write it as {setting.default!r}.")]
    if setting.choices and value not in setting.choices:
        names = ", ".join(setting.choices)
        return [_problem(name, value, "is not one of the choices", f"Use one of {names}.")]
    return _check_bounds(setting, value)


def _check_unknown(name: str, value: Any) -> Iterable[Problem]:
    loaded = {setting.name.partition(".")[0] for setting in list_settings()}
    table = name.partition(".")[0]
    if table in TABLES and table not in loaded:
        return []
    return [_problem(name, value, "is not a setting", _suggest(name))]


def _suggest(name: str) -> str:
    from difflib import get_close_matches

    nearest = get_close_matches(name, [setting.name for setting in list_settings()], 1, 0.5)
    if nearest:
        return f"Did you mean {nearest[0]}?"
    return "Remove it; `apricotrail settings explain` lists all settings."


def _has_type(setting: Setting, value: Any) -> bool:
    expected = type(setting.default)
    if expected is float and type(value) is int:
        return True
    if expected is list:
        return type(value) is list and all(type(item) is str for item in value)
    return type(value) is expected


def _check_bounds(setting: Setting, value: Any) -> Iterable[Problem]:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return []
    low, high, unit = setting.minimum, setting.maximum, setting.unit
    if not isfinite(value):
        return [_problem(setting.name, value, "is not finite", "Give a finite number.")]
    if low is not None and value < low:
        return [_problem(setting.name, value, "is too small", f"Give at least {low} {unit}.")]
    if high is not None and value > high:
        return [_problem(setting.name, value, "is too large", f"Give at most {high} {unit}.")]
    return []


def _check_constraints(values: dict[str, Any], broken: set[str]) -> Iterable[Problem]:
    settings = Settings(values)
    for constraint in list_constraints():
        names = [setting.name for setting in constraint.settings]
        if broken.isdisjoint(names) and not _holds(constraint, settings):
            stated = ", ".join(f"{s.name} = {settings.get(s)!r}" for s in constraint.settings)
            message = f"{stated}: {constraint.reason}."
            yield Problem(ErrorKind.SETTINGS, message, constraint.remedy)


def _holds(constraint: Constraint, settings: Settings) -> bool:
    return constraint.holds(*(settings.get(setting) for setting in constraint.settings))


def _problem(name: str, value: Any, reason: str, remedy: str) -> Problem:
    remedy = remedy.replace(" .", ".")
    return Problem(ErrorKind.SETTINGS, f"{name} = {value!r}: {reason}.", remedy)
