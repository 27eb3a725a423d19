"""Keeps an agent's copy of the configuration up to date from its entries and tracks its age."""

from collections.abc import Callable

from returns.result import Success

from apricotrail.clocks import Clock
from apricotrail.membership import Configuration, Freshness
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import ConfigurationChange, ConfigurationRequest, Heartbeat

__all__ = ["ConfigurationFollower"]

FETCH_TIMEOUT_MS = 2_000


class ConfigurationFollower:
    """The configuration as one agent has received it.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    stale_ms : float
        Age of the configuration from which no task starts, in milliseconds.
    on_applied : callable
        Called with all items after each applied change.

    Attributes
    ----------
    configuration : Configuration
        Items and their version.
    freshness : Freshness
        Age of the latest confirmation that this version was the newest.
    """

    def __init__(
        self, clock: Clock, stale_ms: float, on_applied: Callable[[dict[str, bytes]], None]
    ) -> None:
        self.configuration = Configuration()
        self.freshness = Freshness(clock, stale_ms)
        self._on_applied = on_applied
        self._fetching = False

    def receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, heartbeat_sent_ms: float | None
    ) -> ConfigurationRequest | None:
        """Record the version and age that an entry reports.

        Parameters
        ----------
        link : Link
            Link to the entry.
        heartbeat : Heartbeat
            As received.
        heartbeat_sent_ms : float or None
            Time at which the agent sent the heartbeat that this one echoes; None if unknown.

        Returns
        -------
        ConfigurationRequest or None
            Request for `fetch` if the entry has a newer version and no request is under way.
        """
        version = heartbeat.config_version or 0
        if heartbeat_sent_ms is not None and heartbeat.config_age_ms is not None:
            # On the own clock, and never after the confirmation itself: the entry stated the age
            # after that heartbeat was sent.
            self.freshness.receive(version, heartbeat_sent_ms - heartbeat.config_age_ms)
        if version <= self.configuration.version or self._fetching:
            return None
        return ConfigurationRequest(self.configuration.version)

    async def fetch(self, link: Link, request: ConfigurationRequest) -> None:
        """Request the missing changes from an entry and apply them.

        Does nothing while another call waits for its reply. A call without a reply is dropped;
        `receive_heartbeat` returns the next request.
        """
        if self._fetching:
            return
        self._fetching = True
        try:
            reply = await link.call(request, FETCH_TIMEOUT_MS)
        finally:
            self._fetching = False
        if isinstance(reply, Success):
            self.apply(reply.unwrap())

    def apply(self, change: ConfigurationChange) -> None:
        """Apply a change; an old one is ignored.

        One based on a version that this agent has not reached is dropped, and all changes since the
        own version are requested after a heartbeat.
        """
        previous_version = self.configuration.version
        if not self.configuration.apply(change) or self.configuration.version == previous_version:
            return
        self._on_applied(self.configuration.items())
        self.freshness.advance(self.configuration.version)
