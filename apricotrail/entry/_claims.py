"""The claims that one member of the entry view holds in memory.

A claim records which entry owns a submission. An entry becomes owner once a majority of the view
has granted its claim. A member that has sealed an epoch grants no more claims in it, so the claims
that it hands to the members of the next view are complete.
"""

from bisect import bisect_right
from collections import OrderedDict
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.settings import declare_setting
from apricotrail.wire.generated.ttypes import (
    Claim,
    ClaimRecord,
    ClaimReply,
    ClaimsRequest,
    ClaimVerdict,
    CopyClaims,
)

__all__ = ["MAX_CLAIMS", "RETENTION_S", "ClaimTable", "count_majority", "count_read_quorum"]

RETENTION_S = declare_setting(
    "entry.retention_s",
    900,
    "How long a submission id and its answer are kept.",
    unit="s",
    minimum=10,
)
MAX_CLAIMS = declare_setting(
    "entry.max_claims", 400_000, "Most claims held; beyond it new jobs are refused.", minimum=100
)
MAX_ANSWERS_BYTES = declare_setting(
    "entry.max_answers_bytes",
    256 * 1024 * 1024,
    "Bytes of kept answers; beyond it the oldest answer text is dropped, its claim stays.",
    unit="bytes",
    minimum=1_000_000,
)
# Bounds on one reply to a member of the next view that copies the claims.
COPY_PAGE_RECORDS = 1_000
COPY_PAGE_BYTES = 4 * 1024 * 1024
_MS_PER_S = 1_000


def count_majority(members: int) -> int:
    """Return how many grants a claim needs in a view of `members` entries."""
    return members // 2 + 1


def count_read_quorum(members: int) -> int:
    """Return how many members always include at least one of every majority.

    Examples
    --------
    >>> [count_read_quorum(n) for n in (1, 2, 3, 4, 5)]
    [1, 1, 2, 2, 3]
    """
    return members - count_majority(members) + 1


class _HeldClaim(NamedTuple):
    record: ClaimRecord
    recorded_ms: float


class ClaimTable:
    """Claims held by one member: grants new ones, expires old ones, copies them to other members.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    retention_ms : float
        How long a claim is kept.
    max_claims : int
        Number of claims from which new submissions are refused.
    max_answers_bytes : int
        Bytes of kept answers beyond which the oldest answers are dropped; their claims stay.

    Attributes
    ----------
    ready_epoch : int
        Newest epoch in which this member grants claims. It has copied the claims of all earlier
        epochs by then, or recorded that some are lost.
    sealed_epoch : int
        No claim is granted any more in this epoch or an earlier one.
    """

    def __init__(
        self, clock: Clock, retention_ms: float, max_claims: int, max_answers_bytes: int
    ) -> None:
        self.ready_epoch = 0
        self.sealed_epoch = 0
        self._clock = clock
        self._retention_ms = retention_ms
        self._max_claims = max_claims
        self._max_answers_bytes = max_answers_bytes
        self._held: OrderedDict[str, _HeldClaim] = OrderedDict()
        self._answers_bytes = 0
        self._answer_bytes_by_job: OrderedDict[str, int] = OrderedDict()
        # Sorted job keys as of the last request for a first page. The later pages can go by them,
        # because a sealed epoch gets no further claims.
        self._copy_order: list[str] = []

    def __len__(self) -> int:
        return len(self._held)

    def find(self, job: str) -> ClaimRecord | None:
        """Return the claim of a job with its current age, or None."""
        held = self._held.get(job)
        return self._refresh_age(held) if held else None

    def become_ready(self, epoch: int) -> None:
        """Grant claims in `epoch` from now on and seal all earlier epochs, unless it is sealed."""
        if epoch > self.sealed_epoch:
            self.ready_epoch = max(self.ready_epoch, epoch)
            self.sealed_epoch = max(self.sealed_epoch, epoch - 1)

    def seal(self, epoch: int) -> None:
        """Grant no more claims in `epoch` or an earlier one."""
        self.sealed_epoch = max(self.sealed_epoch, epoch)

    def decide(self, claim: Claim, certainly_new: bool) -> ClaimReply:
        """Grant or refuse a claim, and keep it if it is granted.

        An unanswered claim passes to a claim with a higher epoch; a claim with an answer never
        passes on.

        Parameters
        ----------
        claim : Claim
            Claim, with the epoch of the view in which it is made.
        certainly_new : bool
            Whether the submission, if it is not in this table, is known not to have run before
            claims were lost.
        """
        self._drop_expired()
        if claim.view_epoch <= self.sealed_epoch:
            return ClaimReply(ClaimVerdict.WRONG_VIEW, self.sealed_epoch + 1)
        if claim.view_epoch != self.ready_epoch:
            return ClaimReply(ClaimVerdict.NOT_READY, self.ready_epoch)
        record = claim.record
        held = self.find(record.job)
        if held is None:
            return self._decide_new(record, certainly_new)
        if held.digest and record.digest and held.digest != record.digest:
            return self._make_reply(ClaimVerdict.MISMATCH, held)
        if held.answer is None and (held.epoch or 0) < (record.epoch or 0):
            self._insert(record)
            return self._make_reply(ClaimVerdict.GRANTED, record)
        if _is_same_claim(held, record):
            return self._make_reply(ClaimVerdict.GRANTED, held)
        return self._make_reply(ClaimVerdict.HELD, held)

    def store(self, record: ClaimRecord) -> None:
        """Store a claim or an answer that another member holds, unless the one here is as new.

        An answer supersedes any claim without one, then the higher epoch supersedes the lower, then
        a claim with a digest one that a ledger named without it.
        """
        held = self.find(record.job)
        if held is None or _rank(record) > _rank(held):
            self._insert(record, record.age_ms or 0)

    def release(self, job: str, epoch: int) -> None:
        """Remove this entry's claim of `epoch`, which got no majority and started nothing."""
        held = self.find(job)
        if held is not None and held.epoch == epoch and held.answer is None:
            del self._held[job]

    def clear(self) -> None:
        """Remove all claims and stop granting: a new incarnation has been a member of no view."""
        self._held.clear()
        self._answer_bytes_by_job.clear()
        self._answers_bytes = 0
        self.ready_epoch = 0

    def copy_page(self, request: ClaimsRequest) -> CopyClaims:
        """Seal the requested epoch and return one page of claims in the order of job keys."""
        self.seal(request.sealed_epoch)
        if not request.after:
            self._copy_order = sorted(self._held)
        page: list[ClaimRecord] = []
        size_bytes = 0
        position = bisect_right(self._copy_order, request.after or "")
        while position < len(self._copy_order) and len(page) < COPY_PAGE_RECORDS:
            held = self._held.get(self._copy_order[position])
            position += 1
            if held is None:
                continue
            record = self._refresh_age(held)
            size_bytes += len(record.answer or b"")
            page.append(record)
            if size_bytes > COPY_PAGE_BYTES:
                break
        return CopyClaims(self.ready_epoch, True, page, position < len(self._copy_order))

    def list_orphaned(self, owners: set[tuple[str, int]]) -> list[ClaimRecord]:
        """Return unfinished claims whose owner is not among (name, incarnation) `owners`."""
        records = (held.record for held in self._held.values())
        return [
            record
            for record in records
            if record.answer is None and (record.owner, record.owner_incarnation) not in owners
        ]

    def _decide_new(self, record: ClaimRecord, certainly_new: bool) -> ClaimReply:
        if not certainly_new:
            return ClaimReply(ClaimVerdict.UNCERTAIN, self.ready_epoch)
        if len(self._held) >= self._max_claims:
            return ClaimReply(ClaimVerdict.FULL, self.ready_epoch)
        self._insert(record)
        return self._make_reply(ClaimVerdict.GRANTED, record)

    def _make_reply(self, verdict: int, record: ClaimRecord) -> ClaimReply:
        return ClaimReply(verdict, self.ready_epoch, record)

    def _insert(self, record: ClaimRecord, age_ms: float = 0) -> None:
        self._held.pop(record.job, None)
        self._answers_bytes -= self._answer_bytes_by_job.pop(record.job, 0)
        self._held[record.job] = _HeldClaim(record, self._clock() - age_ms)
        if record.answer is None:
            return
        self._answer_bytes_by_job[record.job] = len(record.answer)
        self._answers_bytes += len(record.answer)
        while self._answers_bytes > self._max_answers_bytes and len(self._answer_bytes_by_job) > 1:
            job, size_bytes = self._answer_bytes_by_job.popitem(last=False)
            self._answers_bytes -= size_bytes
            self._held[job].record.answer = b""

    def _refresh_age(self, held: _HeldClaim) -> ClaimRecord:
        held.record.age_ms = int(self._clock() - held.recorded_ms)
        return held.record

    def _drop_expired(self) -> None:
        oldest_ms = self._clock() - self._retention_ms
        while self._held:
            job = next(iter(self._held))
            if self._held[job].recorded_ms > oldest_ms:
                return
            del self._held[job]
            self._answers_bytes -= self._answer_bytes_by_job.pop(job, 0)


def _rank(record: ClaimRecord) -> tuple[bool, int, bool]:
    return record.answer is not None, record.epoch or 0, bool(record.digest)


def _is_same_claim(held: ClaimRecord, record: ClaimRecord) -> bool:
    return (held.owner, held.owner_incarnation, held.epoch) == (
        record.owner,
        record.owner_incarnation,
        record.epoch,
    )
