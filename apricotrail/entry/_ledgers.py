"""Reads the ledgers of agents, which name the jobs that started there."""

import asyncio
from collections.abc import Callable, Iterable

from returns.result import Success

from apricotrail.clocks import Clock, wall_ms
from apricotrail.entry._agents import AgentTable
from apricotrail.entry._claims import ClaimTable
from apricotrail.entry._succession import ViewSuccession
from apricotrail.entry._uncertainty import Vouching
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import ClaimRecord, LedgerRequest

__all__ = ["LedgerReader"]

LEDGER_CALL_MS = 2_000


class LedgerReader:
    """What this entry has read of the agents' ledgers.

    Parameters
    ----------
    agents : AgentTable
        Agents.
    table : ClaimTable
        Takes in the jobs that ledgers name, after claims were lost.
    succession : ViewSuccession
        Whether and when claims were lost.
    list_targets : callable
        Gives every target id of the document.
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(
        self,
        agents: AgentTable,
        table: ClaimTable,
        succession: ViewSuccession,
        list_targets: Callable[[], Iterable[str]],
        clock: Clock,
    ) -> None:
        self._agents = agents
        self._table = table
        self._succession = succession
        self._list_targets = list_targets
        self._clock = clock

    def vouch(self) -> Vouching:
        """Return what the ledgers of all targets cover, as far as read since claims were lost."""
        lost_ms = self._succession.lost_seen_ms
        agents = [self._agents.by_target(target) for target in self._list_targets()]
        asked = [
            agent
            for agent in agents
            if agent is not None and agent.ledger_since_ms and agent.ledger_read_ms >= lost_ms
        ]
        since_ms = max((agent.ledger_since_ms for agent in asked), default=0)
        return Vouching(len(asked) == len(agents) and bool(agents), since_ms)

    async def read_all(self) -> None:
        """Read the ledger of every linked agent."""
        links = [agent.link for agent in self._agents.connected()]
        await asyncio.gather(*(self.read(link) for link in links))

    async def read(self, link: Link) -> None:
        """Read one agent's ledger."""
        agent = self._agents.find(link.peer.name)
        if agent is None:
            return
        asked_ms = self._clock()
        reply = await link.call(LedgerRequest(agent.target), LEDGER_CALL_MS)
        if not isinstance(reply, Success):
            return
        ledger = reply.unwrap()
        if self._succession.lost_wall_ms:
            for job in ledger.jobs or ():
                # The ledger knows the owner's name only: incarnation 0 stands for any process.
                self._table.store(ClaimRecord(job.job, job.owner, 0, job.epoch, b"", 0))
        agent.ledger_since_ms = wall_ms() - ledger.age_ms
        agent.ledger_read_ms = asked_ms
