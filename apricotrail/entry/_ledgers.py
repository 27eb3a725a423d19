"""Reads the ledgers of agents, which list the jobs that started there.

After claims were lost, the ledgers tell which submissions may have run.
"""

import asyncio
from collections.abc import Callable, Iterable

from returns.result import Success

from apricotrail.clocks import Clock, wall_ms
from apricotrail.entry._agents import AgentTable
from apricotrail.entry._claim_loss import LedgerCoverage
from apricotrail.entry._claims import ClaimTable
from apricotrail.entry._succession import ViewSuccession
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import ClaimRecord, LedgerRequest

__all__ = ["LedgerReader"]

LEDGER_CALL_MS = 2_000


class LedgerReader:
    """Reads the agents' ledgers for one entry and restores claims from them.

    Parameters
    ----------
    agents : AgentTable
        Agents, with the time that their ledgers cover.
    table : ClaimTable
        Receives a claim for each job in a ledger, after claims were lost.
    succession : ViewSuccession
        Tells whether and when claims were lost.
    list_targets : callable
        Gives the id of every target in the document.
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

    def report_coverage(self) -> LedgerCoverage:
        """Return the time that the ledgers cover, counting those read since claims were lost."""
        lost_ms = self._succession.lost_seen_ms
        agents = [self._agents.find_by_target(target) for target in self._list_targets()]
        up_to_date = [
            agent
            for agent in agents
            if agent is not None and agent.ledger_since_wall_ms and agent.ledger_read_ms >= lost_ms
        ]
        since_ms = max((agent.ledger_since_wall_ms for agent in up_to_date), default=0)
        return LedgerCoverage(len(up_to_date) == len(agents) and bool(agents), since_ms)

    async def read_all(self) -> None:
        """Read the ledger of every linked agent."""
        links = [agent.link for agent in self._agents.list_linked()]
        await asyncio.gather(*(self.read(link) for link in links))

    async def read(self, link: Link) -> None:
        """Read one agent's ledger; an agent that does not answer is left as it was."""
        agent = self._agents.find(link.peer.name)
        if agent is None:
            return
        requested_ms = self._clock()
        reply = await link.call(LedgerRequest(agent.target), LEDGER_CALL_MS)
        if not isinstance(reply, Success):
            return
        ledger = reply.unwrap()
        if self._succession.lost_wall_ms:
            for job in ledger.jobs or ():
                # A ledger has the owner's name only: incarnation 0 stands for any process of it.
                self._table.store(ClaimRecord(job.job, job.owner, 0, job.epoch, b"", 0))
        agent.ledger_since_wall_ms = wall_ms() - ledger.age_ms
        agent.ledger_read_ms = requested_ms
