"""Declared settings and the TOML file that changes them.

A module declares the settings it reads beside their use; a `Settings` object holds the values of
one process.
"""

import tomllib
from pathlib import Path
from typing import Generic, NamedTuple, TypeVar

from returns.result import Failure, Result, Success

from apricotrail.errors import ErrorKind, Problem

__all__ = ["Setting", "Settings", "declare_setting", "list_settings", "load_settings"]

T = TypeVar("T", int, float, str, bool, list)


class Setting(NamedTuple, Generic[T]):
    """One declared setting.

    Attributes
    ----------
    name : str
        Dotted name: table and key of the TOML file.
    default : int, float, str, bool or list
        Value without a file; its type is the type the file must give.
    unit : str
        Unit of the value, empty for none.
    meaning : str
        One line for ``settings explain``.
    minimum, maximum : float or None
        Inclusive bounds for numbers.
    """

    name: str
    default: T
    unit: str
    meaning: str
    minimum: float | None = None
    maximum: float | None = None


_DECLARED: dict[str, Setting] = {}


def declare_setting(
    name: str,
    default: T,
    meaning: str,
    *,
    unit: str = "",
    minimum: float | None = None,
    maximum: float | None = None,
) -> Setting[T]:
    """Declare a setting beside its use and return it."""
    setting = Setting(name, default, unit, meaning, minimum, maximum)
    if _DECLARED.setdefault(name, setting) != setting:
        raise ValueError(f"setting {name} is declared twice; keep one declaration")
    return setting


def list_settings() -> list[Setting]:
    """Return the declared settings, by name."""
    return [_DECLARED[name] for name in sorted(_DECLARED)]


class Settings:
    """Values of one process's settings.

    Parameters
    ----------
    values : dict, optional
        Values by dotted name; the rest have their defaults.

    Examples
    --------
    >>> wait_ms = declare_setting("example.wait_ms", 5, "Example.", unit="ms")
    >>> Settings({"example.wait_ms": 7}).get(wait_ms)
    7
    """

    def __init__(self, values: dict[str, object] | None = None) -> None:
        self._values = dict(values or {})

    def get(self, setting: Setting[T]) -> T:
        """Return the value of `setting`."""
        return self._values.get(setting.name, setting.default)  # type: ignore[return-value]


def load_settings(path: Path) -> Result[Settings, tuple[Problem, ...]]:
    """Read a settings file and check all of it.

    Parameters
    ----------
    path : Path
        TOML file.

    Returns
    -------
    Result
        The settings, or every problem found.
    """
    try:
        with path.open("rb") as file:
            tables = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        remedy = "Give the path of a readable TOML file."
        return Failure((Problem(ErrorKind.SETTINGS, f"{path}: {error}.", remedy),))
    values = _flatten(tables)
    problems = [problem for name, value in values.items() for problem in _check(name, value)]
    return Failure(tuple(problems)) if problems else Success(Settings(values))


def _flatten(tables: dict, prefix: str = "") -> dict[str, object]:
    flat: dict[str, object] = {}
    for key, value in tables.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{prefix}{key}."))
        else:
            flat[f"{prefix}{key}"] = value
    return flat


def _check(name: str, value: object) -> list[Problem]:
    setting = _DECLARED.get(name)
    if setting is None:
        return [Problem(ErrorKind.SETTINGS, f"{name}: no such setting.", "Remove the key.")]
    expected = type(setting.default)
    if type(value) is not expected and not (expected is float and type(value) is int):
        message = f"{name}: {value!r} is not of type {expected.__name__}."
        return [Problem(ErrorKind.SETTINGS, message, f"Give a value like {setting.default!r}.")]
    return _check_bounds(setting, value)


def _check_bounds(setting: Setting, value: object) -> list[Problem]:
    low, high = setting.minimum, setting.maximum
    if low is not None and value < low:  # type: ignore[operator]
        message = f"{setting.name}: {value} is below {low} {setting.unit}."
        return [Problem(ErrorKind.SETTINGS, message, f"Give at least {low}.")]
    if high is not None and value > high:  # type: ignore[operator]
        message = f"{setting.name}: {value} is above {high} {setting.unit}."
        return [Problem(ErrorKind.SETTINGS, message, f"Give at most {high}.")]
    return []
