"""Collects the grants of a majority of the entry view for one claim on a submission."""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum, auto
from typing import NamedTuple

from returns.result import Success

from apricotrail.entry._claims import ClaimTable, count_majority
from apricotrail.membership import View
from apricotrail.settings import declare_setting
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import Claim, ClaimRecord, ClaimReply, ClaimVerdict

__all__ = ["CLAIM_CALL_MS", "CLAIM_HEDGE_MS", "ClaimAttempt", "ClaimOutcome", "ClaimStatus"]

CLAIM_CALL_MS = declare_setting(
    "entry.claim_call_ms", 1_000, "Time for one member to answer a claim.", unit="ms", minimum=10
)
CLAIM_HEDGE_MS = declare_setting(
    "entry.claim_hedge_ms",
    25,
    "Wait for the members asked first before the others of the view are asked too.",
    unit="ms",
    minimum=1,
)


class ClaimStatus(Enum):
    """Result of a claim: OWNED if a majority granted it, else why it was not granted."""

    OWNED = auto()
    HELD = auto()
    MISMATCH = auto()
    UNCERTAIN = auto()
    FULL = auto()
    NO_QUORUM = auto()
    VIEW_CHANGED = auto()


class ClaimOutcome(NamedTuple):
    """Result of a claim, with the record of the current owner if another entry holds it."""

    status: ClaimStatus
    record: ClaimRecord | None = None


_REFUSAL_STATUS = {
    ClaimVerdict.MISMATCH: ClaimStatus.MISMATCH,
    ClaimVerdict.HELD: ClaimStatus.HELD,
    ClaimVerdict.UNCERTAIN: ClaimStatus.UNCERTAIN,
    ClaimVerdict.FULL: ClaimStatus.FULL,
    ClaimVerdict.WRONG_VIEW: ClaimStatus.VIEW_CHANGED,
    ClaimVerdict.NOT_READY: ClaimStatus.VIEW_CHANGED,
}


class ClaimAttempt:
    """One claim for which grants are being collected.

    Parameters
    ----------
    view : View
        View whose members are asked.
    record : ClaimRecord
        Claim of this entry.
    links : sequence of Link
        Links to the other members that can be reached, preferred ones first.
    call_ms : float
        Time in milliseconds for one member to answer.
    hedge_ms : float
        Time in milliseconds after which the members beyond a majority are asked too.

    Attributes
    ----------
    yielded : bool
        Set once this entry has told a competing claimant that it will not become owner. The claim
        then ends as HELD, whatever the members answer.
    """

    def __init__(
        self,
        view: View,
        record: ClaimRecord,
        links: Sequence[Link],
        call_ms: float,
        hedge_ms: float,
    ) -> None:
        self.yielded = False
        self._claim = Claim(view.epoch, record)
        self._needed = count_majority(len(view.members))
        self._links = links
        self._call_ms = call_ms
        self._hedge_ms = hedge_ms

    async def run(self, table: ClaimTable, is_certainly_new: Callable[[], bool]) -> ClaimOutcome:
        """Ask this entry's table, then other members, until a majority has granted the claim.

        The own grant is withdrawn if there is no majority.

        Parameters
        ----------
        table : ClaimTable
            Claims of this entry.
        is_certainly_new : callable
            Whether the submission, if it is unknown here, has certainly not run.
        """
        own_reply = table.decide(self._claim, is_certainly_new())
        if own_reply.verdict != ClaimVerdict.GRANTED:
            return ClaimOutcome(_REFUSAL_STATUS[own_reply.verdict], own_reply.record)
        if self._needed == 1:
            return ClaimOutcome(ClaimStatus.OWNED)
        outcome = await self._ask_members()
        if outcome.status is not ClaimStatus.OWNED:
            table.release(self._claim.record.job, self._claim.record.epoch)
        return outcome

    async def _ask_members(self) -> ClaimOutcome:
        first = self._links[: self._needed - 1]
        rest = self._links[self._needed - 1 :]
        pending = {asyncio.ensure_future(self._ask(link)) for link in first}
        grants, hedge_ms = 1, self._hedge_ms
        try:
            while pending or rest:
                done, pending = await _wait_for_first(pending, hedge_ms if rest else None)
                for task in done:
                    reply = task.result()
                    if self.yielded:
                        return ClaimOutcome(ClaimStatus.HELD)
                    if reply is None:
                        continue
                    if reply.verdict != ClaimVerdict.GRANTED:
                        return ClaimOutcome(_REFUSAL_STATUS[reply.verdict], reply.record)
                    grants += 1
                if grants >= self._needed:
                    return ClaimOutcome(ClaimStatus.OWNED)
                if rest:
                    pending |= {asyncio.ensure_future(self._ask(link)) for link in rest}
                    rest = ()
        finally:
            for task in pending:
                task.cancel()
        return ClaimOutcome(ClaimStatus.NO_QUORUM)

    async def _ask(self, link: Link) -> ClaimReply | None:
        reply = await link.call(self._claim, self._call_ms)
        return reply.unwrap() if isinstance(reply, Success) else None


async def _wait_for_first(
    pending: set[asyncio.Task], timeout_ms: float | None
) -> tuple[set[asyncio.Task], set[asyncio.Task]]:
    if not pending:
        return set(), set()
    timeout_s = None if timeout_ms is None else timeout_ms / 1000
    return await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
