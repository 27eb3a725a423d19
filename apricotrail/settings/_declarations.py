"""What settings there are: name, default, unit, meaning, bounds, and pairs that must agree."""

from collections.abc import Callable, Sequence
from typing import Any, Generic, NamedTuple, TypeVar

__all__ = [
    "Constraint",
    "Setting",
    "Settings",
    "declare_constraint",
    "declare_setting",
    "list_constraints",
    "list_settings",
]

T = TypeVar("T", int, float, str, bool, list)


class Setting(NamedTuple, Generic[T]):
    """One declared setting.

    Attributes
    ----------
    name : str
        Dotted name: table and key of the TOML file.
    default : int, float, str, bool or list
        Value without a file; its type is the type the file must give. A list holds strings.
    unit : str
        Unit of the value, empty for none.
    meaning : str
        One line for ``settings explain``.
    minimum, maximum : float or None
        Inclusive bounds for numbers.
    choices : tuple of str
        The only values allowed, empty for any.
    """

    name: str
    default: T
    unit: str
    meaning: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()


class Constraint(NamedTuple):
    """Settings that must agree with each other.

    Attributes
    ----------
    settings : tuple of Setting
        Settings whose values `holds` is given, in this order.
    holds : callable
        Returns whether the values can be used together.
    reason : str
        What must be the case, as a clause.
    remedy : str
        What to change.
    """

    settings: tuple[Setting, ...]
    holds: Callable[..., bool]
    reason: str
    remedy: str


_DECLARED: dict[str, Setting] = {}
_CONSTRAINTS: dict[tuple[str, ...], Constraint] = {}


def declare_setting(
    name: str,
    default: T,
    meaning: str,
    *,
    unit: str = "",
    minimum: float | None = None,
    maximum: float | None = None,
    choices: Sequence[str] = (),
) -> Setting[T]:
    """Declare a setting beside its use and return it.

    Raises
    ------
    ValueError
        If the name was declared with other properties.
    """
    setting = Setting(name, default, unit, meaning, minimum, maximum, tuple(choices))
    if _DECLARED.setdefault(name, setting) != setting:
        raise ValueError(f"setting {name} is declared twice; keep one declaration")
    return setting


def declare_constraint(
    settings: Sequence[Setting], holds: Callable[..., bool], reason: str, remedy: str
) -> Constraint:
    """Declare, beside their use, how the values of some settings must agree.

    Parameters
    ----------
    settings : sequence of Setting
        The settings concerned; their defaults must satisfy the constraint.
    holds : callable
        Gets the values in the order of `settings`, returns whether they agree.
    reason : str
        What must be the case, as a clause.
    remedy : str
        What to change.

    Raises
    ------
    ValueError
        If the defaults break the constraint.

    Examples
    --------
    >>> lease_ms = declare_setting("example.lease_ms", 900, "Lease.", unit="ms")
    >>> renew_ms = declare_setting("example.renew_ms", 300, "Time between renewals.", unit="ms")
    >>> constraint = declare_constraint(
    ...     (renew_ms, lease_ms),
    ...     lambda renew, lease: renew * 3 <= lease,
    ...     "a lease must cover three renewals",
    ...     "Lower example.renew_ms.",
    ... )
    >>> constraint.holds(400, 900)
    False
    """
    constraint = Constraint(tuple(settings), holds, reason, remedy)
    if not holds(*(setting.default for setting in settings)):
        raise ValueError(f"the defaults break a constraint: {reason}; change a default")
    _CONSTRAINTS[(*(setting.name for setting in settings), reason)] = constraint
    return constraint


def list_settings() -> list[Setting]:
    """Return the declared settings, by name."""
    return [_DECLARED[name] for name in sorted(_DECLARED)]


def list_constraints() -> list[Constraint]:
    """Return the declared constraints, by the names of their settings."""
    return [_CONSTRAINTS[key] for key in sorted(_CONSTRAINTS)]


def find_setting(name: str) -> Setting | None:
    """Return the setting declared as `name`, or None."""
    return _DECLARED.get(name)


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

    def __init__(self, values: dict[str, Any] | None = None) -> None:
        self._values = dict(values or {})

    def get(self, setting: Setting[T]) -> T:
        """Return the value of `setting`."""
        return self._values.get(setting.name, setting.default)  # type: ignore[return-value]
