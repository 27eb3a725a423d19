"""Applies configuration from control and forwards it to agents; heartbeats tell them its age."""

from collections.abc import Callable

from returns.result import Success

from apricotrail.clocks import Clock
from apricotrail.document import EffectiveConfiguration, read_items
from apricotrail.entry._agents import AgentTable, read_target
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import Configuration, Freshness, View, read_view
from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    ConfigurationChange,
    ConfigurationRequest,
    Heartbeat,
)

__all__ = ["ConfigurationRelay", "filter_for_target"]

FETCH_CALL_MS = 2_000

CONFIGURATION_APPLIED = declare_event(
    2001,
    "configuration_applied",
    Level.INFO,
    "A newer configuration version is in force at this entry.",
)

_SHARED_KEYS = frozenset({"view", "schemes"})
_SHARED_PREFIXES = ("zone/", "zone-state/")


def filter_for_target(change: ConfigurationChange, target: str, service: str | None):
    """Return the part of a change that the agent of `target` needs.

    Parameters
    ----------
    change : ConfigurationChange
        Unfiltered change.
    target : str
        Target id.
    service : str or None
        Service id of the target, None if the target is not in the document.
    """
    own = {f"target/{target}", f"target-state/{target}", f"host/{target}", f"service/{service}"}
    items = [
        item
        for item in change.items
        if item.key in own or item.key in _SHARED_KEYS or item.key.startswith(_SHARED_PREFIXES)
    ]
    return ConfigurationChange(change.base_version, change.version, items)


class ConfigurationRelay:
    """Keeps the configuration of one entry current, and that of the agents linked to it.

    Parameters
    ----------
    endpoint : LinkEndpoint
        Links to control and agents.
    agents : AgentTable
        Agents and the configuration versions that they confirmed.
    clock : Clock
        Monotonic time in milliseconds.
    stale_ms : float
        Age in milliseconds from which a configuration is too old to start tasks.

    Attributes
    ----------
    effective : EffectiveConfiguration
        Configuration in force at this entry.
    view : View
        Entry view in that configuration.
    """

    def __init__(
        self, endpoint: LinkEndpoint, agents: AgentTable, clock: Clock, stale_ms: float
    ) -> None:
        self.configuration = Configuration()
        self.freshness = Freshness(clock, stale_ms)
        self.effective: EffectiveConfiguration = read_items({})
        self.view: View = read_view(None)
        self.on_applied: list[Callable[[], None]] = []
        self._endpoint = endpoint
        self._agents = agents
        self._fetching = False
        endpoint.on(ConfigurationChange, self._receive_change)
        endpoint.on(ConfigurationRequest, self._answer_request)

    def receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, heartbeat_sent_ms: float | None
    ) -> None:
        """Record which version is newest, and its age, from a heartbeat; fetch it if it is new."""
        version = heartbeat.config_version or 0
        if heartbeat_sent_ms is not None:
            self.freshness.receive(version, heartbeat_sent_ms - (heartbeat.config_age_ms or 0))
        if version > self.configuration.version and not self._fetching:
            self._fetching = True
            self._endpoint.spawn(self._fetch(link))

    def confirmed_version(self) -> int:
        """Return the oldest version among this entry and the agents that may start tasks for it."""
        return self._agents.confirmed_version(self.configuration.version)

    def push_to(self, link: Link) -> None:
        """Send an agent the changes since the version that it has."""
        agent = self._agents.find(link.peer.name)
        since_version = agent.config_version if agent is not None else 0
        link.send(self._changes_for(link, since_version))

    def _receive_change(self, link: Link, change: ConfigurationChange) -> None:
        if link.peer.role == "control":
            self._apply(link, change)

    def _answer_request(self, link: Link, request: ConfigurationRequest) -> ConfigurationChange:
        return self._changes_for(link, request.version or 0)

    async def _fetch(self, link: Link) -> None:
        try:
            request = ConfigurationRequest(self.configuration.version)
            reply = await link.call(request, FETCH_CALL_MS)
            if isinstance(reply, Success):
                self._apply(link, reply.unwrap())
        finally:
            self._fetching = False

    def _apply(self, link: Link, change: ConfigurationChange) -> None:
        before = self.configuration.version
        if not self.configuration.apply(change):
            if not self._fetching:
                self._fetching = True
                self._endpoint.spawn(self._fetch(link))
            return
        if self.configuration.version == before:
            return
        self._update_effective(change)
        self.freshness.advance(self.configuration.version)
        emit(CONFIGURATION_APPLIED, version=self.configuration.version, items=len(change.items))
        for agent in self._agents.list_linked():
            self.push_to(agent.link)
        for hook in self.on_applied:
            hook()

    def _update_effective(self, change: ConfigurationChange) -> None:
        changed = {item.key: item.value for item in change.items}
        if change.base_version == 0:
            self.effective = read_items(self.configuration.items())
        else:
            self.effective = self.effective.apply(changed)
        if "view" in changed:
            self.view = read_view(changed["view"])

    def _changes_for(self, link: Link, since_version: int) -> ConfigurationChange:
        change = self.configuration.changes_since(since_version)
        if link.peer.role != "agent":
            return change
        target = read_target(link.peer.name)
        known = self.effective.targets.get(target)
        return filter_for_target(change, target, known.service if known else None)
