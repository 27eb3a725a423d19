"""The entry view: which entry processes hold claims together in one epoch."""

from typing import NamedTuple

import orjson

__all__ = ["NO_VIEW", "View", "ViewMember", "read_view"]


class ViewMember(NamedTuple):
    """One entry process.

    Attributes
    ----------
    name : str
        Name from its settings.
    incarnation : int
        Start of the process, wall clock in milliseconds.
    zone : str
        Availability zone.
    address : str
        Address for links, ``host:port``.
    """

    name: str
    incarnation: int
    zone: str
    address: str


class View(NamedTuple):
    """Members of one epoch.

    Attributes
    ----------
    epoch : int
        Grows with each view.
    members : tuple of ViewMember
        Entries that grant claims.
    lost_wall_ms : int
        Wall clock time in milliseconds when claims were last lost with a view, 0 for never.
    previous : tuple of View
        Former views, newest last.
    """

    epoch: int
    members: tuple[ViewMember, ...]
    lost_wall_ms: int = 0
    previous: tuple["View", ...] = ()

    def has(self, name: str, incarnation: int) -> bool:
        """Return whether this very process is a member."""
        return any((m.name, m.incarnation) == (name, incarnation) for m in self.members)

    def owners(self) -> set[tuple[str, int]]:
        """Return (name, incarnation) of all members."""
        return {(member.name, member.incarnation) for member in self.members}


NO_VIEW = View(0, ())


def read_view(value: bytes | None) -> View:
    """Return the view in the configuration item `view`; `NO_VIEW` if there is none."""
    return _read(orjson.loads(value)) if value else NO_VIEW


def _read(value: dict) -> View:
    members = tuple(
        ViewMember(item["name"], item["incarnation"], item["zone"], item["address"])
        for item in value["members"]
    )
    previous = tuple(_read(item) for item in value.get("previous", ()))
    return View(value["epoch"], members, value.get("lost_wall_ms", 0), previous)
