"""Keeps the links of one process to its subset of the agent processes that control lists."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership._agent_subset import MIN_AGENTS, AgentSubset
from apricotrail.wire import LinkEndpoint
from apricotrail.wire.generated.ttypes import Identity

__all__ = ["AgentLinks", "AgentLinkParts"]

# A dialing process is counted for this long after control stopped listing it, so that a restart
# moves no links.
DIALER_GONE_MS = 5_000.0
AGENT_GONE_MS = 60_000.0
# While the known dialing processes change, as during a start, only the likely agents are dialed.
SETTLED_AFTER_MS = 1_000.0
# Other processes may not know yet that they have to dial an agent which this one leaves.
RETIRE_AFTER_MS = 10_000.0

AGENT_LINKS_CHANGED = declare_event(
    2105,
    "agent_links_changed",
    Level.INFO,
    "The subset of agents that this process links to changed with the processes that control "
    "lists; agents that left it are released once nothing runs there.",
)


class AgentLinkParts(NamedTuple):
    """What `AgentLinks` needs from its process.

    Attributes
    ----------
    endpoint : LinkEndpoint
        Links of this process.
    role : str
        Role of the agents.
    clock : Clock
        Monotonic time in milliseconds.
    retire : callable
        ``retire(names)`` gets the linked agents that are not needed any more, stops the use of
        these and of no others, and returns those whose links may be closed now.
    """

    endpoint: LinkEndpoint
    role: str
    clock: Clock
    retire: Callable[[frozenset[str]], frozenset[str]]


class _Agent(NamedTuple):
    address: str
    listed_ms: float


class AgentLinks:
    """Dials the agents of this process's subset, and releases those that leave it.

    Parameters
    ----------
    parts : AgentLinkParts
        Links, clock and the hook that releases agents.
    """

    def __init__(self, parts: AgentLinkParts) -> None:
        self._parts = parts
        self._own = parts.endpoint.identity
        self._subset = AgentSubset(self._own.name)
        self._dialers: dict[str, float] = {}
        self._agents: dict[str, _Agent] = {}
        self._dialed: dict[str, str] = {}
        self._unneeded_since_ms: dict[str, float] = {}
        self._dialers_changed_ms = parts.clock()

    @property
    def needed_roles(self) -> tuple[str, str]:
        """Roles of the processes that `adjust` needs: the agents and those that dial them."""
        return (self._parts.role, self._own.role)

    def adjust(self, listed: Iterable[Identity], is_in_contact: bool) -> None:
        """Dial and release agents by the processes that control lists now.

        Parameters
        ----------
        listed : iterable of Identity
            Processes that any linked control replica lists.
        is_in_contact : bool
            Whether the lists are known to be recent. Otherwise nothing unlisted is forgotten.
        """
        now_ms = self._parts.clock()
        known = set(self._dialers)
        for node in listed:
            if node.role == self._own.role and node.name:
                self._dialers[node.name] = now_ms
            elif node.role == self._parts.role and node.name and node.address:
                self._agents[node.name] = _Agent(node.address, now_ms)
        if is_in_contact:
            self._forget(now_ms)
        else:
            self._keep_all(now_ms)
        if known != set(self._dialers):
            self._dialers_changed_ms = now_ms
        self._subset.update(self._dialers, self._agents)
        wanted = self._subset.list_wanted()
        # In the order of the own scores, so that most of the first ones stay wanted.
        if now_ms - self._dialers_changed_ms < SETTLED_AFTER_MS:
            wanted = wanted[:MIN_AGENTS]
        dialed_before = len(self._dialed)
        self._dial(wanted)
        released = self._release(set(wanted), now_ms)
        if released or len(self._dialed) != dialed_before:
            emit(
                AGENT_LINKS_CHANGED,
                dialed=len(self._dialed),
                released=released,
                agents=len(self._agents),
                dialers=len(self._dialers),
            )

    def _forget(self, now_ms: float) -> None:
        linked = self._parts.endpoint.links
        self._dialers = {
            name: listed_ms
            for name, listed_ms in self._dialers.items()
            if now_ms - listed_ms < DIALER_GONE_MS
        }
        for name, agent in list(self._agents.items()):
            if now_ms - agent.listed_ms >= AGENT_GONE_MS and name not in linked:
                del self._agents[name]
                self._undial(name)

    def _keep_all(self, now_ms: float) -> None:
        """Count no time without contact; after an outage, lists fill up one process at a time."""
        self._dialers = dict.fromkeys(self._dialers, now_ms)
        self._agents = {
            name: agent._replace(listed_ms=now_ms) for name, agent in self._agents.items()
        }

    def _dial(self, wanted: list[str]) -> None:
        for name in wanted:
            address = self._agents[name].address
            if self._dialed.get(name, address) != address:
                self._undial(name)
            if name not in self._dialed:
                self._dialed[name] = address
                self._parts.endpoint.dial(address)

    def _release(self, wanted: set[str], now_ms: float) -> int:
        unneeded = self._dialed.keys() - wanted
        self._unneeded_since_ms = {
            name: self._unneeded_since_ms.get(name, now_ms) for name in unneeded
        }
        retiring = {
            name
            for name, since_ms in self._unneeded_since_ms.items()
            if now_ms - since_ms >= RETIRE_AFTER_MS
        }
        linked = self._parts.endpoint.links
        released = self._parts.retire(frozenset(retiring & linked.keys()))
        released |= frozenset(retiring - linked.keys())
        for name in released:
            self._undial(name)
        return len(released)

    def _undial(self, name: str) -> None:
        address = self._dialed.pop(name, None)
        if address is not None:
            self._parts.endpoint.undial(address)
