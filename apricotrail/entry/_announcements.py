"""Announcements of targets, each valid for the lease that it asks for."""

from typing import NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import Clock
from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import declare_setting
from apricotrail.wire import parse_address
from apricotrail.wire.generated.ttypes import Announcement

__all__ = ["MAX_ANNOUNCEMENTS", "AnnouncementTable", "LeasedAnnouncement", "check_announcement"]

MAX_ANNOUNCEMENTS = declare_setting(
    "entry.max_announcements",
    50_000,
    "Most announced targets kept, unknown ones included.",
    minimum=1,
)
MAX_NAME_CHARACTERS = 1_024  # announcements are kept until their leases end
MIN_LEASE_MS = 500
MAX_LEASE_MS = 120_000
MAX_SLOTS = 10_000
MAX_INCARNATION = 2**53 - 1


class LeasedAnnouncement(NamedTuple):
    """An announcement and the end of its lease.

    Attributes
    ----------
    announcement : Announcement
        As received.
    expires_ms : float
        End of its lease on the monotonic clock of this entry.
    """

    announcement: Announcement
    expires_ms: float


def check_announcement(announcement: Announcement) -> Result[Announcement, Problem]:
    """Return the announcement if it is valid, or what is wrong with it."""
    if max(len(announcement.target or ""), len(announcement.address or "")) > MAX_NAME_CHARACTERS:
        message = f"name or address is over {MAX_NAME_CHARACTERS} characters."
        return _malformed(message, "Give shorter ones.")
    try:
        parse_address(announcement.address or "")
    except ValueError as error:
        return _malformed(f"address: {error}.", "Give the target's host:port.")
    if not 1 <= (announcement.slots or 0) <= MAX_SLOTS:
        return _malformed("slots is out of range.", f"Give 1 to {MAX_SLOTS}.")
    if not announcement.slots <= (announcement.connections or 0) <= MAX_SLOTS:
        return _malformed("connections is out of range.", "Give at least as many as slots.")
    if not 0 <= (announcement.incarnation or 0) <= MAX_INCARNATION:
        remedy = "Give the start of the target in milliseconds since the epoch."
        return _malformed("incarnation is out of range.", remedy)
    if not MIN_LEASE_MS <= (announcement.lease_ms or 0) <= MAX_LEASE_MS:
        remedy = f"Give {MIN_LEASE_MS} to {MAX_LEASE_MS} ms."
        return _malformed("lease_ms is out of range.", remedy)
    return Success(announcement)


class AnnouncementTable:
    """Live announcements by target id, or by reference for targets not in the document.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    max_announcements : int
        Most announcements held; further targets are refused.
    """

    def __init__(self, clock: Clock, max_announcements: int) -> None:
        self._clock = clock
        self._max_announcements = max_announcements
        self._leases: dict[str, LeasedAnnouncement] = {}

    def put(self, target: str, announcement: Announcement) -> bool:
        """Add or renew an announcement; return whether it was accepted.

        One of an older incarnation is refused. A target's own announcement is accepted but ignored
        while the agent process beside it renews an announcement (``has_agent``).
        """
        self._expire()
        present = self._leases.get(target)
        if present and present.announcement.has_agent and not announcement.has_agent:
            return True
        if present and (present.announcement.incarnation or 0) > (announcement.incarnation or 0):
            return False
        if present is None and len(self._leases) >= self._max_announcements:
            return False
        expires_ms = self._clock() + announcement.lease_ms
        self._leases[target] = LeasedAnnouncement(announcement, expires_ms)
        return True

    def remove(self, target: str) -> None:
        """Remove the announcement of a target."""
        self._leases.pop(target, None)

    def live(self) -> dict[str, Announcement]:
        """Return the announcements whose lease has not expired, by target."""
        self._expire()
        return {target: item.announcement for target, item in self._leases.items()}

    def _expire(self) -> None:
        now_ms = self._clock()
        for target in [t for t, item in self._leases.items() if item.expires_ms <= now_ms]:
            del self._leases[target]


def _malformed(message: str, remedy: str) -> Failure:
    return Failure(Problem(ErrorKind.MALFORMED, message, remedy))
