"""Names and states of answers, as tables show them."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

__all__ = ["describe_force", "first_name", "list_names", "list_schemes"]


def list_schemes(things: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return the schemes that name any of `things`, in their order."""
    return list(dict.fromkeys(scheme for thing in things for scheme in thing["names"]))


def list_names(thing: Mapping[str, Any], schemes: Sequence[str]) -> list[str]:
    """Return the names of a thing under each of `schemes`, "-" for none."""
    return [thing["names"].get(scheme, "-") for scheme in schemes]


def first_name(thing: Mapping[str, Any]) -> str:
    """Return the name under the first scheme that has one, else the id."""
    return next(iter(thing["names"].values()), thing["id"])


def describe_force(answer: Mapping[str, Any]) -> str:
    """Return how far a change is in force."""
    version = answer["version"]
    if answer["in_force"] == "confirmed":
        return f"version {version} is in force everywhere."
    behind = ", ".join(answer.get("behind", ())) or "nodes that did not confirm it"
    return f"version {version} is in force: the stale limit has stopped {behind}."
