"""What the heartbeats of entries show a control replica."""

from typing import NamedTuple

from apricotrail.wire.generated.ttypes import Heartbeat, Identity

__all__ = ["EntryTable", "LinkedEntry"]

MAX_ENTRIES = 1_024


class LinkedEntry(NamedTuple):
    """One entry process.

    Attributes
    ----------
    name, zone, address : str
        From its identity.
    incarnation : int
        Start of the process, wall clock in milliseconds.
    heard_ms : float
        Own monotonic time of its last heartbeat.
    ready_epoch : int
        Newest view whose claims it holds.
    stopping : bool
        Whether it asked to leave the view.
    confirmed_version : int
        Version that it and every agent behind it have.
    """

    name: str
    incarnation: int
    zone: str
    address: str
    heard_ms: float
    ready_epoch: int
    stopping: bool
    confirmed_version: int


class EntryTable:
    """Entry processes by name and incarnation, as heard by this replica."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, int], LinkedEntry] = {}

    def note(self, identity: Identity, heartbeat: Heartbeat, now_ms: float) -> None:
        """Take in a heartbeat."""
        key = (identity.name, identity.incarnation)
        if key not in self._entries and len(self._entries) >= MAX_ENTRIES:
            self._drop_oldest()
        self._entries[key] = LinkedEntry(
            identity.name,
            identity.incarnation,
            identity.zone or "",
            identity.address or "",
            now_ms,
            heartbeat.ready_epoch or 0,
            bool(heartbeat.stopping),
            heartbeat.confirmed_version or 0,
        )

    def heard_within(self, now_ms: float, window_ms: float) -> list[LinkedEntry]:
        """Return the processes heard in the last `window_ms`, by name and incarnation."""
        heard = [it for it in self._entries.values() if now_ms - it.heard_ms <= window_ms]
        return sorted(heard)

    def find(self, name: str, incarnation: int) -> LinkedEntry | None:
        """Return what is known of one process."""
        return self._entries.get((name, incarnation))

    def _drop_oldest(self) -> None:
        oldest = min(self._entries, key=lambda key: self._entries[key].heard_ms)
        del self._entries[oldest]
