"""State of each agent as this entry knows it: slots, load, grants and open attempts.

A grant is a slot that an agent reserves for this entry for a short time.
"""

from collections import defaultdict, deque
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import Load

__all__ = ["AGENT_PREFIX", "AgentState", "AgentTable", "read_target"]

AGENT_PREFIX = "agent:"
GRANT_MARGIN_MS = 5  # a grant expires this long before its reserved period ends
MAX_GRANTS = 1_024
LATENCY_WEIGHT = 0.2  # weight of a new round trip in the moving average


def read_target(agent_name: str) -> str:
    """Return the target id in an agent's link name.

    Examples
    --------
    >>> read_target("agent:runner-3")
    'runner-3'
    """
    return agent_name.removeprefix(AGENT_PREFIX)


class _LostLink(NamedTuple):
    """Configuration version of an agent whose link was lost, and until when it may start tasks."""

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
        How long a granted slot is reserved, in milliseconds.

    Attributes
    ----------
    open_tasks : dict of str to set of int
        Started tasks without an outcome, by job.
    ledger_since_wall_ms : int
        Wall clock time in milliseconds from which its ledger is complete, 0 if it was not read.
    ledger_read_ms : float
        Time on this entry's monotonic clock at which its ledger was last read.
    requested_slots : int
        Slots last requested from this agent (``want``), less those granted since.
    """

    def __init__(self, name: str, incarnation: int, clock: Clock, grant_ms: float) -> None:
        self.name = name
        self.target = read_target(name)
        self.incarnation = incarnation
        self.link: Link | None = None
        self.slots = 0
        self.accepting = False
        self.open_tasks: dict[str, set[int]] = defaultdict(set)
        self.open_count = 0
        self.requested_slots = 0
        self.latency_ms = 0.0
        self.config_version = 0
        self.ledger_since_wall_ms = 0
        self.ledger_read_ms = 0.0
        self._clock = clock
        self._grant_ms = grant_ms
        self._reported_free = 0
        self._sent = 0
        self._paused_until_ms = 0.0
        self._grants: deque[float] = deque()

    def connect(self, link: Link) -> None:
        """Use a new link and reset the counts that belong to the former one."""
        self.link = link
        self._sent = 0
        self._reported_free = 0
        self._grants.clear()
        self.requested_slots = 0

    def report(self, load: Load) -> None:
        """Apply a load report, less the starts that the agent had not received when it sent it."""
        self.slots = load.slots
        self.accepting = bool(load.accepting)
        unreceived = self._sent - load.received if load.received is not None else 0
        self._reported_free = load.free_slots - max(0, unreceived)

    def grant(self, count: int) -> None:
        """Record `count` slots that the agent reserved for this entry."""
        expires_ms = self._clock() + self._grant_ms - GRANT_MARGIN_MS
        room = MAX_GRANTS - len(self._grants)
        self._grants.extend([expires_ms] * min(count, room))
        self.requested_slots = max(0, self.requested_slots - count)

    def clear_requests_and_grants(self) -> None:
        """Forget requested and granted slots, when no task is queued any more."""
        self.requested_slots = 0
        self._grants.clear()

    def pause(self, until_ms: float) -> None:
        """Send no start before `until_ms`, after a refusal that would meet further starts too."""
        self._paused_until_ms = until_ms

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the agent is linked, accepts starts and is not paused."""
        return self.link is not None and self.accepting and now_ms >= self._paused_until_ms

    def count_granted(self) -> int:
        """Return how many granted slots are still reserved."""
        now_ms = self._clock()
        while self._grants and self._grants[0] <= now_ms:
            self._grants.popleft()
        return len(self._grants)

    def count_free(self) -> int:
        """Return an estimate of the slots that are free and not reserved for any entry."""
        return max(0, min(self._reported_free, self.slots - self.open_count))

    def note_start(self, job: str, tasks: list[int]) -> None:
        """Record started tasks; they use up grants first, then reported free slots."""
        self.open_tasks[job].update(tasks)
        self.open_count += len(tasks)
        self._sent += len(tasks)
        from_grants = min(len(tasks), self.count_granted())
        for _ in range(from_grants):
            self._grants.popleft()
        self._reported_free -= len(tasks) - from_grants

    def note_outcome(self, job: str, task: int) -> None:
        """Close the open attempt of a task; a task without one is ignored."""
        tasks = self.open_tasks.get(job)
        if tasks is None or task not in tasks:
            return
        tasks.discard(task)
        self.open_count -= 1
        if not tasks:
            del self.open_tasks[job]

    def note_latency(self, round_trip_ms: float) -> None:
        """Update the moving average of the link's round-trip time with a measured one."""
        if not self.latency_ms:
            self.latency_ms = round_trip_ms
        self.latency_ms += LATENCY_WEIGHT * (round_trip_ms - self.latency_ms)


class AgentTable:
    """Agents by link name, each in its newest known incarnation.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    grant_ms : float
        How long a granted slot is reserved, in milliseconds.
    stale_ms : float
        Age of its configuration from which an agent starts nothing.
    """

    def __init__(self, clock: Clock, grant_ms: float, stale_ms: float) -> None:
        self._clock = clock
        self._grant_ms = grant_ms
        self._stale_ms = stale_ms
        self._lost_links: dict[tuple[str, int], _LostLink] = {}
        self._agents: dict[str, AgentState] = {}

    def find(self, name: str) -> AgentState | None:
        """Return the newest known incarnation of an agent."""
        return self._agents.get(name)

    def connect(self, link: Link) -> tuple[AgentState, AgentState | None]:
        """Record a new link to an agent.

        Returns
        -------
        tuple
            The agent, and its former incarnation or None if this one was known before.
        """
        name, incarnation = link.peer.name, link.peer.incarnation
        agent, former = self._agents.get(name), None
        if agent is None or agent.incarnation != incarnation:
            former = agent
            agent = AgentState(name, incarnation, self._clock, self._grant_ms)
            self._agents[name] = agent
        agent.connect(link)
        self._lost_links.pop((name, incarnation), None)
        return agent, former

    def disconnect(self, link: Link) -> AgentState | None:
        """Record a lost link; return the agent that used it, None if a newer link replaced it."""
        agent = self._agents.get(link.peer.name)
        if agent is None or agent.link is not link:
            return None
        agent.link = None
        until_ms = self._clock() + self._stale_ms
        self._lost_links[(agent.name, agent.incarnation)] = _LostLink(
            agent.config_version, until_ms
        )
        return agent

    def forget(self, agent: AgentState) -> None:
        """Remove an agent whose attempts are all closed, unless it has a link or was replaced."""
        if self._agents.get(agent.name) is agent and agent.link is None:
            del self._agents[agent.name]

    def forget_ledgers(self) -> None:
        """Mark every ledger as not read, when the claims built from ledgers are dropped."""
        for agent in self._agents.values():
            agent.ledger_since_wall_ms = 0

    def find_by_target(self, target: str) -> AgentState | None:
        """Return the agent of a target, None if it has never linked."""
        return self._agents.get(AGENT_PREFIX + target)

    def confirmed_version(self, own_version: int) -> int:
        """Return the oldest version among this entry and every agent that may start tasks.

        An agent whose link was lost may start tasks by the version it has until that is stale.
        """
        now_ms = self._clock()
        for key in [key for key, lost in self._lost_links.items() if lost.until_ms <= now_ms]:
            del self._lost_links[key]
        versions = [agent.config_version for agent in self.list_linked()]
        versions += [lost.config_version for lost in self._lost_links.values()]
        return min([own_version, *versions])

    def list_linked(self) -> list[AgentState]:
        """Return all agents with a link."""
        return [agent for agent in self._agents.values() if agent.link is not None]
