"""What this entry knows of each agent: slots, load, grants and open attempts."""

from collections import defaultdict, deque
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import Load

__all__ = ["AGENT_PREFIX", "AgentState", "AgentTable", "read_target"]

AGENT_PREFIX = "agent:"
GRANT_MARGIN_MS = 5
MAX_GRANTS = 1_024
LATENCY_WEIGHT = 0.2


def read_target(agent_name: str) -> str:
    """Return the target id in an agent's link name.

    Examples
    --------
    >>> read_target("agent:runner-3")
    'runner-3'
    """
    return agent_name.removeprefix(AGENT_PREFIX)


class _Lost(NamedTuple):
    config_version: int
    until_ms: float


class AgentState:
    """One agent incarnation, as this entry knows it.

    Parameters
    ----------
    name : str
        Link name.
    incarnation : int
        Incarnation of the agent.
    clock : Clock
        Monotonic time in milliseconds.
    grant_ms : float
        How long a granted slot is reserved.

    Attributes
    ----------
    open : dict of str to set of int
        Started tasks without outcome, by job.
    ledger_since_ms : int
        Wall clock time in milliseconds from which its ledger is complete, 0 if it was not read.
    ledger_read_ms : float
        Own monotonic time at which its ledger was last read.
    want_stated : int
        Queued tasks last stated to this agent.
    """

    def __init__(self, name: str, incarnation: int, clock: Clock, grant_ms: float) -> None:
        self.name = name
        self.target = read_target(name)
        self.incarnation = incarnation
        self.link: Link | None = None
        self.slots = 0
        self.accepting = False
        self.open: dict[str, set[int]] = defaultdict(set)
        self.open_count = 0
        self.want_stated = 0
        self.latency_ms = 0.0
        self.config_version = 0
        self.ledger_since_ms = 0
        self.ledger_read_ms = 0.0
        self._clock = clock
        self._grant_ms = grant_ms
        self._reported_free = 0
        self._sent = 0
        self._paused_until_ms = 0.0
        self._grants: deque[float] = deque()

    def connect(self, link: Link) -> None:
        """Use a new link; counts that belong to the former link start again."""
        self.link = link
        self._sent = 0
        self._reported_free = 0
        self._grants.clear()
        self.want_stated = 0

    def report(self, load: Load) -> None:
        """Take in a load report; starts that it does not include yet are subtracted."""
        self.slots = load.slots
        self.accepting = bool(load.accepting)
        unseen = self._sent - load.received if load.received is not None else 0
        self._reported_free = load.free_slots - max(0, unseen)

    def grant(self, count: int) -> None:
        """Take in slots reserved for this entry."""
        expires_ms = self._clock() + self._grant_ms - GRANT_MARGIN_MS
        room = MAX_GRANTS - len(self._grants)
        self._grants.extend([expires_ms] * min(count, room))
        self.want_stated = max(0, self.want_stated - count)

    def drop_grants(self) -> None:
        """Forget wants and grants, when nothing is queued any more."""
        self.want_stated = 0
        self._grants.clear()

    def pause(self, until_ms: float) -> None:
        """Send no start before `until_ms`, after a refusal that another start would meet too."""
        self._paused_until_ms = until_ms

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the agent is linked and takes starts."""
        return self.link is not None and self.accepting and now_ms >= self._paused_until_ms

    def count_granted(self) -> int:
        """Return how many granted slots are still reserved."""
        now_ms = self._clock()
        while self._grants and self._grants[0] <= now_ms:
            self._grants.popleft()
        return len(self._grants)

    def count_free(self) -> int:
        """Return how many slots are thought free and not reserved for anyone."""
        return max(0, min(self._reported_free, self.slots - self.open_count))

    def note_start(self, job: str, tasks: list[int]) -> None:
        """Count tasks as started: grants are used first, then reported free slots."""
        self.open[job].update(tasks)
        self.open_count += len(tasks)
        self._sent += len(tasks)
        from_grants = min(len(tasks), self.count_granted())
        for _ in range(from_grants):
            self._grants.popleft()
        self._reported_free -= len(tasks) - from_grants

    def note_outcome(self, job: str, task: int) -> None:
        """Close one open attempt."""
        tasks = self.open.get(job)
        if tasks is None or task not in tasks:
            return
        tasks.discard(task)
        self.open_count -= 1
        if not tasks:
            del self.open[job]

    def note_latency(self, round_trip_ms: float) -> None:
        """Average a measured round trip of the link."""
        if not self.latency_ms:
            self.latency_ms = round_trip_ms
        self.latency_ms += LATENCY_WEIGHT * (round_trip_ms - self.latency_ms)


class AgentTable:
    """All agents by link name.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    grant_ms : float
        How long a granted slot is reserved.
    stale_ms : float
        Age of its configuration from which an agent starts nothing.
    """

    def __init__(self, clock: Clock, grant_ms: float, stale_ms: float) -> None:
        self._clock = clock
        self._grant_ms = grant_ms
        self._stale_ms = stale_ms
        self._lost: dict[tuple[str, int], _Lost] = {}
        self._agents: dict[str, AgentState] = {}

    def find(self, name: str) -> AgentState | None:
        """Return the newest known incarnation of an agent."""
        return self._agents.get(name)

    def connect(self, link: Link) -> tuple[AgentState, AgentState | None]:
        """Take in a new link.

        Returns
        -------
        tuple
            The agent, and its former incarnation if this is a new one.
        """
        name, incarnation = link.peer.name, link.peer.incarnation
        agent, former = self._agents.get(name), None
        if agent is None or agent.incarnation != incarnation:
            former = agent
            agent = AgentState(name, incarnation, self._clock, self._grant_ms)
            self._agents[name] = agent
        agent.connect(link)
        self._lost.pop((name, incarnation), None)
        return agent, former

    def disconnect(self, link: Link) -> AgentState | None:
        """Note a lost link; returns the agent that used it."""
        agent = self._agents.get(link.peer.name)
        if agent is None or agent.link is not link:
            return None
        agent.link = None
        until_ms = self._clock() + self._stale_ms
        self._lost[(agent.name, agent.incarnation)] = _Lost(agent.config_version, until_ms)
        return agent

    def forget(self, agent: AgentState) -> None:
        """Drop an agent whose attempts are all closed."""
        if self._agents.get(agent.name) is agent and agent.link is None:
            del self._agents[agent.name]

    def forget_ledgers(self) -> None:
        """Note that what was read of the agents' ledgers is no longer held."""
        for agent in self._agents.values():
            agent.ledger_since_ms = 0

    def by_target(self, target: str) -> AgentState | None:
        """Return the agent of a target."""
        return self._agents.get(AGENT_PREFIX + target)

    def confirmed_version(self, own_version: int) -> int:
        """Return the version that this entry and every agent which may start tasks have.

        An agent whose link was lost may go on with what it knows until that is stale.
        """
        now_ms = self._clock()
        for key in [key for key, lost in self._lost.items() if lost.until_ms <= now_ms]:
            del self._lost[key]
        versions = [agent.config_version for agent in self.connected()]
        versions += [lost.config_version for lost in self._lost.values()]
        return min([own_version, *versions])

    def connected(self) -> list[AgentState]:
        """Return all agents with a link."""
        return [agent for agent in self._agents.values() if agent.link is not None]
