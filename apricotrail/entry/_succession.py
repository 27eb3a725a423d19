"""Copies the claims of former views to a member of a new view.

Afterwards the member holds every claim that a majority of an earlier view granted. It seals the
former epochs at their members and copies the claims of these members. Epoch e is covered when a
read quorum of its members has been copied, or when a copied member was itself ready in a later
epoch. A member that can't cover all epochs in time becomes ready all the same, but records when
that happened: claims from before that moment may be missing, and unknown submissions from before
it are refused.
"""

import asyncio
from collections.abc import Callable

from returns.result import Success

from apricotrail.clocks import Clock, wall_ms
from apricotrail.entry._claims import ClaimTable, count_read_quorum
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import View, ViewMember
from apricotrail.settings import declare_setting
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import ClaimsRequest

__all__ = ["SYNC_MS", "ViewSuccession", "is_covered"]

SYNC_MS = declare_setting(
    "entry.claims_sync_ms",
    3_000,
    "Time to copy the claims of former views before going on without them.",
    unit="ms",
    minimum=50,
)
COPY_CALL_MS = 1_000
COPY_RETRY_MS = 50

VIEW_READY = declare_event(
    4001,
    "view_ready",
    Level.INFO,
    "This entry has copied the claims of former views, apart from losses that claims_lost reports, "
    "and grants claims in the view of this epoch.",
)
CLAIMS_LOST = declare_event(
    4002,
    "claims_lost",
    Level.ERROR,
    "Claims of former views could not be copied and may be missing; for entry.retention_s, unknown "
    "submissions that may be older are refused as may_have_run unless agents' ledgers rule it out.",
)

MemberKey = tuple[str, int]
FindLink = Callable[[str, int], Link | None]


def is_covered(view: View, copied: dict[MemberKey, int]) -> bool:
    """Return whether the copied claims include all that were granted before `view`.

    Parameters
    ----------
    view : View
        New view, with the former views that it lists.
    copied : dict
        Newest epoch in which each copied member was ready. Each of them has sealed all epochs
        before that of `view`.
    """
    complete_below = max(copied.values(), default=0)
    former = {old.epoch: old for old in view.previous}
    for epoch in range(max(1, complete_below), view.epoch):
        old = former.get(epoch)
        if old is None:
            return False
        sealed = sum((member.name, member.incarnation) in copied for member in old.members)
        if sealed < count_read_quorum(len(old.members)):
            return False
    return True


class ViewSuccession:
    """Prepares one entry for each new view: copies the claims, then grants claims in its epoch.

    Parameters
    ----------
    table : ClaimTable
        Claims of this entry.
    find_link : callable
        Gives the link to an entry process by name and incarnation.
    identity : callable
        Gives (name, incarnation) of this entry.
    clock : Clock
        Monotonic time in milliseconds.
    sync_ms : float
        Time to copy claims before giving up.

    Attributes
    ----------
    view : View
        Newest view seen.
    view_seen_ms : float
        Own monotonic time at which this entry saw it.
    lost_wall_ms : int
        Claims from before this wall clock time may be missing here, 0 if none are.
    lost_seen_ms : float
        Own monotonic time at which this entry learned of the loss. Ledgers read before it don't
        make up for the loss.
    changed : asyncio.Event
        Set and replaced by a new event at each change of the view or of readiness.
    """

    def __init__(
        self,
        table: ClaimTable,
        find_link: FindLink,
        identity: Callable[[], MemberKey],
        clock: Clock,
        sync_ms: float,
    ) -> None:
        self.view = View(0, ())
        self.view_seen_ms = clock()
        self.lost_wall_ms = 0
        self.lost_seen_ms = 0.0
        self.changed = asyncio.Event()
        self._table = table
        self._find_link = find_link
        self._identity = identity
        self._clock = clock
        self._sync_ms = sync_ms

    def is_ready(self) -> bool:
        """Return whether this entry grants claims in the newest view that it has seen."""
        return self.view.epoch > 0 and self._table.ready_epoch == self.view.epoch

    async def follow(self, view: View) -> None:
        """Seal the former epochs, copy their claims and become ready in `view`, if it is newer."""
        if view.epoch <= self.view.epoch:
            return
        self.view = view
        self.view_seen_ms = self._clock()
        self._table.seal(view.epoch - 1)
        if not view.has_member(*self._identity()):
            self._notify()
            return
        await self._copy_claims(view)
        if self.view.epoch == view.epoch:
            self._table.become_ready(view.epoch)
            emit(VIEW_READY, epoch=view.epoch, claims=len(self._table))
        self._notify()

    async def _copy_claims(self, view: View) -> None:
        copied: dict[MemberKey, int] = {self._identity(): self._table.ready_epoch}
        give_up_at_ms = self._clock() + self._sync_ms
        while self.view.epoch == view.epoch and not is_covered(view, copied):
            await self._copy_reachable(view, copied)
            if is_covered(view, copied):
                return
            if self._clock() >= give_up_at_ms or self._is_copy_impossible(view, copied):
                self._record_loss(wall_ms())
                emit(CLAIMS_LOST, epoch=view.epoch, copied=len(copied))
                return
            await asyncio.sleep(COPY_RETRY_MS / 1000)

    def _is_copy_impossible(self, view: View, copied: dict[MemberKey, int]) -> bool:
        """Return whether claims were lost with a view and no former member is left to copy."""
        return bool(view.lost_wall_ms) and not any(
            self._find_link(*member) for member in _former_members(view) if member not in copied
        )

    async def _copy_reachable(self, view: View, copied: dict[MemberKey, int]) -> None:
        members = [member for member in _former_members(view) if member not in copied]
        links = [(member, self._find_link(*member)) for member in members]
        copies = [
            self._copy_member(member, link, view.epoch - 1, copied)
            for member, link in links
            if link
        ]
        await asyncio.gather(*copies)

    async def _copy_member(
        self, member: MemberKey, link: Link, sealed_epoch: int, copied: dict[MemberKey, int]
    ) -> None:
        after = ""
        while True:
            reply = await link.call(ClaimsRequest(sealed_epoch, after), COPY_CALL_MS)
            if not isinstance(reply, Success):
                return
            page = reply.unwrap()
            for record in page.records:
                self._table.store(record)
            self._record_loss(page.lost_wall_ms or 0)
            if not page.more or not page.records:
                copied[member] = page.epoch
                return
            after = page.records[-1].job

    def _record_loss(self, lost_wall_ms: int) -> None:
        if lost_wall_ms > self.lost_wall_ms:
            self.lost_wall_ms = lost_wall_ms
            self.lost_seen_ms = self._clock()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def _former_members(view: View) -> list[MemberKey]:
    members: dict[MemberKey, ViewMember] = {}
    for old in view.previous:
        members.update({(member.name, member.incarnation): member for member in old.members})
    return list(members)
