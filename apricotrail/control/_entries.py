"""Table of the entry processes that sent heartbeats to a control replica.

An entry is a front instance that owns jobs, not an entry of the replicated log. Each replica has
its own table in memory.
"""

from typing import NamedTuple

from apricotrail.wire.generated.ttypes import Heartbeat, Identity

__all__ = ["EntryTable", "LinkedEntry"]

MAX_ENTRIES = 1_024  # processes; former incarnations count until they are dropped


class LinkedEntry(NamedTuple):
    """One entry process as of its last heartbeat; its link may have been lost since.

    Attributes
    ----------
    name, zone, address : str
        Name, availability zone and link address from its identity.
    incarnation : int
        Start of the process, wall clock in milliseconds.
    heard_ms : float
        Time on this replica's monotonic clock, in milliseconds, at which its last heartbeat
        arrived. The status answer shows the heartbeat's age under this name instead.
    ready_epoch : int
        Epoch of the newest entry view whose claims it holds, so that it grants claims in it; 0 for
        none.
    stopping : bool
        Whether it is stopping and so asked to leave the view.
    confirmed_version : int
        Configuration version that it and every agent connected through it have at least, 0 if none
        was stated.
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
    """Entry processes by name and incarnation, at most `MAX_ENTRIES`."""

    def __init__(self) -> None:
        self._entries: dict[tuple[str, int], LinkedEntry] = {}

    def record_heartbeat(self, identity: Identity, heartbeat: Heartbeat, now_ms: float) -> None:
        """Store what a heartbeat states; a full table drops the process silent for longest."""
        key = (identity.name, identity.incarnation)
        if key not in self._entries and len(self._entries) >= MAX_ENTRIES:
            self._drop_longest_silent()
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
        """Return the processes heard in the last `window_ms`, sorted by name and incarnation."""
        heard = [it for it in self._entries.values() if now_ms - it.heard_ms <= window_ms]
        return sorted(heard)

    def find(self, name: str, incarnation: int) -> LinkedEntry | None:
        """Return one process, or None if it was never heard or was dropped."""
        return self._entries.get((name, incarnation))

    def _drop_longest_silent(self) -> None:
        longest_silent = min(self._entries, key=lambda key: self._entries[key].heard_ms)
        del self._entries[longest_silent]
