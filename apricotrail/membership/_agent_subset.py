"""Chooses to which of many agents a process links, so that links don't grow with their product.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
1998): every pair of a dialing process and an agent has a score, and each agent is dialed by the
processes with its highest scores. All processes that know the same names make the same choice
without messages, and a process that comes or goes changes the links of its own agents only.
"""

from collections.abc import Collection
from hashlib import blake2b
from math import ceil

__all__ = ["AgentSubset"]

DIALERS_PER_AGENT = 8  # processes that share the capacity of one agent
MIN_AGENTS = 32  # fewer make placement uneven and wide jobs wait
_PRIME = 2**61 - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


class AgentSubset:
    """The agents of one dialing process.

    Parameters
    ----------
    own_name : str
        Name of this process.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own_hash = _hash_name(own_name)
        self._dialers: dict[str, int] = {}
        self._agents: dict[str, int] = {}
        # Number of other dialing processes with a higher score, by agent.
        self._ahead: dict[str, int] = {}

    def update(self, dialers: Collection[str], agents: Collection[str]) -> None:
        """Set the names of all dialing processes and of all agents; costs time per change only."""
        others = set(dialers) - {self._own_name}
        for name in self._agents.keys() - set(agents):
            del self._agents[name], self._ahead[name]
        for name in self._dialers.keys() - others:
            self._count_dialer(self._dialers.pop(name), -1)
        for name in others - self._dialers.keys():
            self._dialers[name] = _hash_name(name)
            self._count_dialer(self._dialers[name], 1)
        for name in set(agents) - self._agents.keys():
            agent_hash = self._agents[name] = _hash_name(name)
            own_score = _score(self._own_hash, agent_hash)
            self._ahead[name] = sum(
                _score(it, agent_hash) > own_score for it in self._dialers.values()
            )

    def list_wanted(self) -> list[str]:
        """Return the agents to dial, those with the highest own score first."""
        per_agent = DIALERS_PER_AGENT
        if self._agents:
            dialer_count = len(self._dialers) + 1
            per_agent = max(per_agent, ceil(MIN_AGENTS * dialer_count / len(self._agents)))
        wanted = [name for name, ahead in self._ahead.items() if ahead < per_agent]
        return sorted(wanted, key=lambda it: -_score(self._own_hash, self._agents[it]))

    def _count_dialer(self, dialer_hash: int, change: int) -> None:
        """Add `change` to the count of each agent for which a dialing process is ahead."""
        for name, agent_hash in self._agents.items():
            if _score(dialer_hash, agent_hash) > _score(self._own_hash, agent_hash):
                self._ahead[name] += change


def _hash_name(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def _score(dialer_hash: int, agent_hash: int) -> int:
    """Return a number that orders the dialing processes anew for each agent."""
    return (dialer_hash ^ agent_hash) * _MULTIPLIER % _PRIME
