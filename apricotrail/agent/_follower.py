"""Follows the configuration of the linked entries and measures its age."""

from collections.abc import Callable

from returns.result import Success

from apricotrail.clocks import Clock
from apricotrail.membership import Configuration, Freshness
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import ConfigurationChange, ConfigurationRequest, Heartbeat

__all__ = ["ConfigurationFollower"]

FETCH_CALL_MS = 2_000


class ConfigurationFollower:
    """Configuration of one agent.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    stale_ms : float
        Age from which no task starts.
    on_applied : callable
        Called with the items after each change.

    Attributes
    ----------
    configuration : Configuration
        Items and their version.
    freshness : Freshness
        Age of the newest confirmation.
    """

    def __init__(
        self, clock: Clock, stale_ms: float, on_applied: Callable[[dict[str, bytes]], None]
    ) -> None:
        self.configuration = Configuration()
        self.freshness = Freshness(clock, stale_ms)
        self._on_applied = on_applied
        self._fetching = False

    def receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, asked_ms: float | None
    ) -> ConfigurationRequest | None:
        """Take in what an entry says; returns the request to call it with, if one is due."""
        version = heartbeat.config_version or 0
        if asked_ms is not None and heartbeat.config_age_ms is not None:
            self.freshness.receive(version, asked_ms - heartbeat.config_age_ms)
        if version <= self.configuration.version or self._fetching:
            return None
        return ConfigurationRequest(self.configuration.version)

    async def fetch(self, link: Link, request: ConfigurationRequest) -> None:
        """Ask an entry for what is missing; one call at a time."""
        if self._fetching:
            return
        self._fetching = True
        try:
            reply = await link.call(request, FETCH_CALL_MS)
        finally:
            self._fetching = False
        if isinstance(reply, Success):
            self.apply(reply.unwrap())

    def apply(self, change: ConfigurationChange) -> None:
        """Apply a change; one with a gap is dropped, the next heartbeat asks for all of it."""
        before = self.configuration.version
        if not self.configuration.apply(change) or self.configuration.version == before:
            return
        self._on_applied(self.configuration.items())
        self.freshness.advance(self.configuration.version)
