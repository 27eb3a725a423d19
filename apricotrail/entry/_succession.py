"""Brings a member of a new view to hold every claim that a majority of an earlier one granted.

The member seals the former epochs at their members and copies their claims. Epoch e is covered
when a read quorum of its members has been copied, or when a copied member was itself ready in a
later epoch. A member that can't cover all epochs in time goes on, but marks its table: claims from
before that moment may be missing, and unknown submissions from before are refused.
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
    4001, "view_ready", Level.INFO, "This entry holds the claims of all former views."
)
CLAIMS_LOST = declare_event(
    4002,
    "claims_lost",
    Level.ERROR,
    "Claims of a former view could not be copied; unknown older submissions are refused.",
)

Member = tuple[str, int]
FindLink = Callable[[str, int], Link | None]


def is_covered(view: View, copied: dict[Member, int]) -> bool:
    """Return whether all claims granted before `view` are among what was copied.

    Parameters
    ----------
    view : View
        New view with its former ones.
    copied : dict
        Newest epoch in which each copied member was ready; all are sealed below `view`.
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
    """Follows the views of one entry.

    Parameters
    ----------
    table : ClaimTable
        Claims of this entry.
    find_link : callable
        Gives the link to an entry process by name and incarnation.
    own : callable
        Gives name and incarnation of this entry.
    clock : Clock
        Monotonic time in milliseconds.
    sync_ms : float
        Time to copy before giving up.

    Attributes
    ----------
    view : View
        Newest view seen.
    lost_wall_ms : int
        Claims from before this wall clock time may be missing here, 0 if none are.
    lost_seen_ms : float
        Own monotonic time at which that was learned; ledgers read before don't make up for it.
    """

    def __init__(
        self,
        table: ClaimTable,
        find_link: FindLink,
        own: Callable[[], Member],
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
        self._own = own
        self._clock = clock
        self._sync_ms = sync_ms

    def is_ready(self) -> bool:
        """Return whether this entry grants claims in the newest view."""
        return self.view.epoch > 0 and self._table.ready_epoch == self.view.epoch

    async def follow(self, view: View) -> None:
        """Take a newer view and get ready for it."""
        if view.epoch <= self.view.epoch:
            return
        self.view = view
        self.view_seen_ms = self._clock()
        self._table.seal(view.epoch - 1)
        if not view.has(*self._own()):
            self._notify()
            return
        await self._copy_claims(view)
        if self.view.epoch == view.epoch:
            self._table.become_ready(view.epoch)
            emit(VIEW_READY, epoch=view.epoch, claims=len(self._table))
        self._notify()

    async def _copy_claims(self, view: View) -> None:
        copied: dict[Member, int] = {self._own(): self._table.ready_epoch}
        give_up_ms = self._clock() + self._sync_ms
        while self.view.epoch == view.epoch and not is_covered(view, copied):
            await self._copy_reachable(view, copied)
            if is_covered(view, copied):
                return
            if self._clock() >= give_up_ms or self._is_hopeless(view, copied):
                self._note_loss(wall_ms())
                emit(CLAIMS_LOST, epoch=view.epoch, copied=len(copied))
                return
            await asyncio.sleep(COPY_RETRY_MS / 1000)

    def _is_hopeless(self, view: View, copied: dict[Member, int]) -> bool:
        return bool(view.lost_wall_ms) and not any(
            self._find_link(*member) for member in _former_members(view) if member not in copied
        )

    async def _copy_reachable(self, view: View, copied: dict[Member, int]) -> None:
        members = [member for member in _former_members(view) if member not in copied]
        links = [(member, self._find_link(*member)) for member in members]
        copies = [
            self._copy_member(member, link, view.epoch - 1, copied)
            for member, link in links
            if link
        ]
        await asyncio.gather(*copies)

    async def _copy_member(
        self, member: Member, link: Link, sealed_epoch: int, copied: dict[Member, int]
    ) -> None:
        after = ""
        while True:
            reply = await link.call(ClaimsRequest(sealed_epoch, after), COPY_CALL_MS)
            if not isinstance(reply, Success):
                return
            page = reply.unwrap()
            for record in page.records:
                self._table.store(record)
            self._note_loss(page.lost_wall_ms or 0)
            if not page.more or not page.records:
                copied[member] = page.epoch
                return
            after = page.records[-1].job

    def _note_loss(self, lost_wall_ms: int) -> None:
        if lost_wall_ms > self.lost_wall_ms:
            self.lost_wall_ms = lost_wall_ms
            self.lost_seen_ms = self._clock()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def _former_members(view: View) -> list[Member]:
    members: dict[Member, ViewMember] = {}
    for old in view.previous:
        members.update({(member.name, member.incarnation): member for member in old.members})
    return list(members)
