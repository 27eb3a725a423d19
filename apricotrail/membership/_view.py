"""The entry view: the entry processes that hold the claims of one epoch together.

A claim records which entry owns a submission; an entry becomes owner once a majority of the view
has granted its claim. Control replaces a view by the next through the configuration item `view`.
"""

from typing import NamedTuple

import orjson

__all__ = ["NO_VIEW", "View", "ViewMember", "read_view"]


class ViewMember(NamedTuple):
    """One entry process of a view.

    Attributes
    ----------
    name : str
        Name of the entry, from its settings.
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
    """The entry processes of one epoch, with the views before it.

    Attributes
    ----------
    epoch : int
        Number of the view, one higher than that of the view before it; 0 for no view.
    members : tuple of ViewMember
        Entry processes that grant claims.
    lost_wall_ms : int
        Wall clock time of control in milliseconds at which claims may last have been lost with a
        view, because too few of its members stayed in the next one; 0 for never.
    previous : tuple of View
        The latest former views, newest last, from whose members new ones copy the claims. They
        have no previous views themselves.
    """

    epoch: int
    members: tuple[ViewMember, ...]
    lost_wall_ms: int = 0
    previous: tuple["View", ...] = ()

    def has_member(self, name: str, incarnation: int) -> bool:
        """Return whether the process with this name and incarnation is a member."""
        return any((m.name, m.incarnation) == (name, incarnation) for m in self.members)

    def owners(self) -> set[tuple[str, int]]:
        """Return (name, incarnation) of all members, which identify owners of jobs."""
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
