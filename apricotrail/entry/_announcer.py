"""Records targets' announcements from HTTP and other entries, and shares those from HTTP."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from apricotrail.document import EffectiveConfiguration
from apricotrail.entry._announcements import AnnouncementTable
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import Announcement, ShareAnnouncements

__all__ = ["Announcer"]


class Announcer:
    """Receives and shares announcements at one entry.

    Parameters
    ----------
    table : AnnouncementTable
        Live announcements.
    configuration : callable
        Returns the configuration in force, which resolves references to target ids.
    endpoint : LinkEndpoint
        Links to the other entries.
    """

    def __init__(
        self,
        table: AnnouncementTable,
        configuration: Callable[[], EffectiveConfiguration],
        endpoint: LinkEndpoint,
    ) -> None:
        self._table = table
        self._configuration = configuration
        self._endpoint = endpoint
        endpoint.on(ShareAnnouncements, self._receive)

    def announce(self, announcement: Announcement) -> Result[str, Problem]:
        """Record an announcement received over HTTP and share it with the other entries."""
        recorded = self._put(announcement)
        if isinstance(recorded, Success):
            message = ShareAnnouncements([announcement])
            for link in self._endpoint.links.values():
                if link.peer.role == "entry":
                    link.send(message)
        return recorded

    def leave(self, reference: str) -> Result[str, Problem]:
        """Mark an announced target as leaving, so that it gets no new tasks."""
        live = self._table.live().get(self._resolve(reference))
        if live is None:
            message = f"No live announcement of target {reference}."
            return Failure(Problem(ErrorKind.NOT_FOUND, message, "Check the name."))
        live.leaving = True
        return self.announce(live)

    def _put(self, announcement: Announcement) -> Result[str, Problem]:
        target = self._resolve(announcement.target)
        if self._table.put(target, announcement):
            return Success(target)
        message = "A newer incarnation of the target is announced, or too many targets are."
        return Failure(Problem(ErrorKind.CONFLICT, message, "Announce a newer incarnation."))

    def _resolve(self, reference: str) -> str:
        configuration = self._configuration()
        if reference in configuration.targets:
            return reference
        return configuration.resolve("target", reference).value_or(reference)

    def _receive(self, link: Link, message: ShareAnnouncements) -> None:
        for announcement in message.announcements or ():
            self._put(announcement)
