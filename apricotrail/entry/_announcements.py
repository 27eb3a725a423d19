"""Targets that announced themselves, each under a lease."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import Clock
from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import declare_setting
from apricotrail.wire import parse_address
from apricotrail.wire.generated.ttypes import Announcement

__all__ = ["MAX_ANNOUNCEMENTS", "AnnouncementTable", "Announced", "check_announcement"]

MAX_ANNOUNCEMENTS = declare_setting(
    "entry.max_announcements", 50_000, "Announced targets kept, unknown ones included.", minimum=1
)
MIN_LEASE_MS = 500
MAX_LEASE_MS = 120_000
MAX_SLOTS = 10_000


class Announced(NamedTuple):
    """One announcement.

    Attributes
    ----------
    announcement : Announcement
        As received.
    expires_ms : float
        End of its lease, own monotonic clock.
    """

    announcement: Announcement
    expires_ms: float


def check_announcement(announcement: Announcement) -> Result[Announcement, Problem]:
    """Return the announcement, or why it can't be taken."""
    try:
        parse_address(announcement.address or "")
    except ValueError as error:
        return _malformed(f"address: {error}.", "Give the target's host:port.")
    if not 1 <= (announcement.slots or 0) <= MAX_SLOTS:
        return _malformed("slots is out of range.", f"Give 1 to {MAX_SLOTS}.")
    if not announcement.slots <= (announcement.connections or 0) <= MAX_SLOTS:
        return _malformed("connections is out of range.", "Give at least as many as slots.")
    if not MIN_LEASE_MS <= (announcement.lease_ms or 0) <= MAX_LEASE_MS:
        remedy = f"Give {MIN_LEASE_MS} to {MAX_LEASE_MS} ms."
        return _malformed("lease_ms is out of range.", remedy)
    return Success(announcement)


class AnnouncementTable:
    """Announced targets by id; those that the document does not know by their reference.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    max_announcements : int
        Bound on the table.
    """

    def __init__(self, clock: Clock, max_announcements: int) -> None:
        self._clock = clock
        self._max_announcements = max_announcements
        self._announced: dict[str, Announced] = {}

    def put(self, target: str, announcement: Announcement) -> bool:
        """Take in or renew an announcement.

        One of an older incarnation is refused. What a target says of itself is left aside while the
        agent beside it renews its own announcement.
        """
        self._expire()
        present = self._announced.get(target)
        if present and present.announcement.has_agent and not announcement.has_agent:
            return True
        if present and (present.announcement.incarnation or 0) > (announcement.incarnation or 0):
            return False
        if present is None and len(self._announced) >= self._max_announcements:
            return False
        expires_ms = self._clock() + announcement.lease_ms
        self._announced[target] = Announced(announcement, expires_ms)
        return True

    def remove(self, target: str) -> None:
        """Drop a target that has left."""
        self._announced.pop(target, None)

    def live(self) -> dict[str, Announcement]:
        """Return the announcements whose lease runs."""
        self._expire()
        return {target: item.announcement for target, item in self._announced.items()}

    def _expire(self) -> None:
        now_ms = self._clock()
        for target in [t for t, item in self._announced.items() if item.expires_ms <= now_ms]:
            del self._announced[target]


def _malformed(message: str, remedy: str) -> Failure:
    return Failure(Problem(ErrorKind.MALFORMED, message, remedy))
