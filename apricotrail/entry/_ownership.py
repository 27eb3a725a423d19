"""Finds or becomes the owner of a job.

An entry claims an unowned job, waits for the answer of another owner, or takes over the job of an
owner that left the view.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import Clock, wall_ms
from apricotrail.entry._admission import AdmitSubmission, Admitted
from apricotrail.entry._claim_loss import LedgerCoverage, is_certainly_new
from apricotrail.entry._claiming import ClaimAttempt, ClaimOutcome, ClaimStatus
from apricotrail.entry._claims import ClaimTable
from apricotrail.entry._dispatch import JobDispatcher
from apricotrail.entry._job import Job, JobResult, decode_result
from apricotrail.entry._job_problems import (
    describe_mismatch,
    describe_missing_quorum,
    describe_running_job,
    explain_refusal,
)
from apricotrail.entry._submission import Submission, read_uuid7_ms
from apricotrail.entry._succession import ViewSuccession
from apricotrail.entry._takeover import TakeOver
from apricotrail.errors import Problem
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import AttachJob, ClaimRecord, JobAnswer

__all__ = ["Ownership", "OwnershipParts", "Unowned", "read_kept_answer"]

ATTACH_WAIT_MS = 10_000
# Time for the reply to arrive, beyond the time for which the owner waits for the answer.
ATTACH_MARGIN_MS = 1_000
POLL_MS = 50
VIEW_WAIT_MS = 200

StartJob = Callable[[], Awaitable[Result["asyncio.Future[JobResult]", Problem]]]


class OwnershipParts(NamedTuple):
    """Tables and functions that `Ownership` uses; durations in milliseconds.

    Attributes
    ----------
    identity : callable
        Gives (name, incarnation) of this entry.
    table : ClaimTable
        Claims held by this entry.
    succession : ViewSuccession
        Newest view, and whether this entry is ready to claim in it.
    dispatcher : JobDispatcher
        Jobs that this entry owns.
    admit : callable
        Decides whether a new submission is admitted.
    take_over : callable
        Continues a job whose owner is gone from what the agents report of it.
    member_links : callable
        Gives the links to the other members of the view, preferred ones first.
    find_link : callable
        Gives the link to an entry process by name and incarnation.
    report_coverage : callable
        Gives the time that the agents' ledgers cover.
    clock : callable
        Monotonic time.
    retention_ms, stale_ms, claim_call_ms, claim_hedge_ms : float
        Values of the settings ``entry.retention_s``, ``membership.config_stale_ms``,
        ``entry.claim_call_ms`` and ``entry.claim_hedge_ms``.
    """

    identity: Callable[[], tuple[str, int]]
    table: ClaimTable
    succession: ViewSuccession
    dispatcher: JobDispatcher
    admit: AdmitSubmission
    take_over: TakeOver
    member_links: Callable[[], list[Link]]
    find_link: Callable[[str, int], Link | None]
    report_coverage: Callable[[], LedgerCoverage]
    clock: Clock
    retention_ms: float
    stale_ms: float
    claim_call_ms: float
    claim_hedge_ms: float


class Unowned(NamedTuple):
    """Says that nobody owns the job, and the epoch with which to claim it."""

    epoch: int


class _PendingClaim:
    """One claim of this entry, until its job is started or the claim is refused.

    `granted` says whether a majority granted it; `ended` is set when it is over either way.
    """

    def __init__(self, attempt: ClaimAttempt) -> None:
        self.attempt = attempt
        self.granted = False
        self.ended = asyncio.Event()


class Ownership:
    """Acquires jobs for one entry, or attaches to the entry that owns them.

    Parameters
    ----------
    parts : OwnershipParts
        Tables and functions of the entry.
    """

    def __init__(self, parts: OwnershipParts) -> None:
        self._parts = parts
        self._pending_claims: dict[str, _PendingClaim] = {}

    async def acquire(
        self, submission: Submission, admitted: Admitted | None, held: ClaimRecord | None
    ) -> Result["asyncio.Future[JobResult]", Problem]:
        """Claim the job of a submission and start it, or attach to the job if it has an owner.

        Parameters
        ----------
        submission : Submission
            Submission as received.
        admitted : Admitted or None
            Result of admission for a new submission; None if `held` shows that it is not new.
        held : ClaimRecord or None
            Claim on the job in this entry's table.

        Returns
        -------
        Result
            The future answer; or why the submission is refused or can't be answered in time.
        """
        parts = self._parts
        give_up_at_ms = parts.clock() + (submission.deadline_ms or ATTACH_WAIT_MS)
        epoch, record = 1, held
        while parts.clock() < give_up_at_ms:
            if record is not None:
                followed = await self._follow_owner(record, submission, give_up_at_ms)
                if not isinstance(followed, Unowned):
                    return followed
                epoch = followed.epoch
            if admitted is None:
                decision = parts.admit(submission)
                if isinstance(decision, Failure):
                    return decision
                admitted = decision.unwrap()
            outcome = await self._claim_and_start(
                submission, epoch, self._make_start(submission, admitted, epoch)
            )
            if not isinstance(outcome, ClaimOutcome):
                return outcome
            refusal = explain_refusal(outcome.status, submission.job)
            if refusal is not None:
                return Failure(refusal)
            record = outcome.record or parts.table.find(submission.job)
            if outcome.status is not ClaimStatus.HELD:
                await wait_event(parts.succession.changed, VIEW_WAIT_MS)
            elif record is None:
                await asyncio.sleep(POLL_MS / 1000)
        return Failure(describe_missing_quorum("No majority of the entry view answered."))

    async def ask_owner_once(
        self, record: ClaimRecord, submission: Submission | None, wait_ms: float
    ) -> "JobResult | Unowned | Result[asyncio.Future[JobResult], Problem] | None":
        """Ask the owner named by `record` for a job once, or take the job over if it is gone.

        Returns
        -------
        JobResult, Unowned, Result or None
            The answer; that nobody owns the job; the future answer or a problem; None if the
            caller should ask again.
        """
        parts = self._parts
        if record.answer is not None:
            return read_kept_answer(record.answer)
        owner = self._find_owner(record)
        if owner == parts.identity():
            if not record.owner_incarnation:
                # A former process of this entry's name owned the job. Only the agents' ledgers
                # tell what it started.
                return await self._take_over(record, submission)
            return self._attach_to_local(record, submission)
        if not parts.succession.view.has_member(*owner):
            return await self._take_over(record, submission)
        link = parts.find_link(*owner)
        if link is None:
            await asyncio.sleep(POLL_MS / 1000)
            return None
        reply = await link.call(AttachJob(record.job, int(wait_ms)), wait_ms + ATTACH_MARGIN_MS)
        if isinstance(reply, Failure):
            await asyncio.sleep(POLL_MS / 1000)
            return None
        return await self._interpret_reply(record, submission, reply.unwrap())

    async def wait_for_claim(self, job: str, requester: str, wait_ms: float) -> bool:
        """Wait for a pending claim of this entry before another entry is told about the job.

        Of two entries that claim a job at the same time, the one with the smaller name continues.

        Returns
        -------
        bool
            True if this entry has yielded its claim to the requester.
        """
        pending_claim = self._pending_claims.get(job)
        if pending_claim is None:
            return False
        if not pending_claim.granted and requester < self._parts.identity()[0]:
            pending_claim.attempt.yielded = True
            return True
        await wait_event(pending_claim.ended, wait_ms)
        return False

    def is_certainly_new(self, job: str) -> bool:
        """Return whether a job that is not in this entry's table has certainly not run."""
        lost_wall_ms = self._parts.succession.lost_wall_ms
        if not lost_wall_ms:
            return True
        return is_certainly_new(
            read_uuid7_ms(job.partition("/")[2]),
            lost_wall_ms,
            wall_ms(),
            int(self._parts.retention_ms),
            self._parts.report_coverage(),
        )

    # ---- claims ----

    async def _claim_and_start(
        self, submission: Submission, epoch: int, start: StartJob
    ) -> "ClaimOutcome | Result[asyncio.Future[JobResult], Problem]":
        """Claim a job and start it; this entry makes at most one claim on a job at a time."""
        parts = self._parts
        job = submission.job
        if job in self._pending_claims:
            await wait_event(self._pending_claims[job].ended, parts.claim_call_ms)
            return ClaimOutcome(ClaimStatus.HELD, parts.table.find(job))
        held = parts.table.find(job)
        if job in parts.dispatcher.jobs or (held is not None and held.answer is not None):
            return ClaimOutcome(ClaimStatus.HELD, held)
        if not parts.succession.is_ready():
            return ClaimOutcome(ClaimStatus.VIEW_CHANGED)
        pending_claim = self._pending_claims[job] = _PendingClaim(
            self._make_attempt(submission, epoch)
        )
        try:
            outcome = await pending_claim.attempt.run(
                parts.table, lambda: self.is_certainly_new(job)
            )
            if outcome.status is not ClaimStatus.OWNED:
                return outcome
            pending_claim.granted = True
            return await start()
        finally:
            del self._pending_claims[job]
            pending_claim.ended.set()

    def _make_attempt(self, submission: Submission, epoch: int) -> ClaimAttempt:
        parts = self._parts
        name, incarnation = parts.identity()
        record = ClaimRecord(
            job=submission.job,
            owner=name,
            owner_incarnation=incarnation,
            epoch=epoch,
            digest=submission.digest,
            age_ms=0,
            tasks=len(submission.bodies),
        )
        return ClaimAttempt(
            parts.succession.view,
            record,
            parts.member_links(),
            parts.claim_call_ms,
            parts.claim_hedge_ms,
        )

    def _make_start(self, submission: Submission, admitted: Admitted, epoch: int) -> StartJob:
        async def start() -> Result["asyncio.Future[JobResult]", Problem]:
            now_ms = self._parts.clock()
            job = Job(
                submission.job,
                admitted.service,
                submission.bodies,
                now_ms + admitted.deadline_ms,
                epoch,
                submission.digest,
                now_ms,
                admitted.team,
                admitted.share,
            )
            self._parts.dispatcher.add(job)
            return Success(job.result)

        return start

    # ---- other owners ----

    async def _follow_owner(
        self, record: ClaimRecord, submission: Submission, give_up_at_ms: float
    ) -> "Unowned | Result[asyncio.Future[JobResult], Problem]":
        if record.digest and record.digest != submission.digest:
            return Failure(describe_mismatch(submission.job))
        while self._parts.clock() < give_up_at_ms:
            step = await self.ask_owner_once(record, submission, ATTACH_WAIT_MS)
            if isinstance(step, JobResult):
                return Success(_make_finished_future(step))
            if step is not None:
                return step
            record = self._parts.table.find(record.job) or record
        return Failure(describe_running_job(record.job))

    def _attach_to_local(
        self, record: ClaimRecord, submission: Submission | None
    ) -> "Unowned | Result[asyncio.Future[JobResult], Problem]":
        local = self._parts.dispatcher.jobs.get(record.job)
        if local is None:
            return Unowned(record.epoch + 1)
        if submission is not None and local.digest and local.digest != submission.digest:
            return Failure(describe_mismatch(local.key))
        return Success(local.result)

    async def _interpret_reply(
        self, record: ClaimRecord, submission: Submission | None, answer: JobAnswer
    ) -> "JobResult | Unowned | Result[asyncio.Future[JobResult], Problem] | None":
        if answer.answer is not None:
            return read_kept_answer(answer.answer)
        if answer.known:
            return None
        if answer.record is not None and answer.record.epoch > record.epoch:
            self._parts.table.store(answer.record)
            return None
        if record.owner_incarnation == 0:
            return await self._take_over(record, submission)
        return Unowned(record.epoch + 1)

    def _find_owner(self, record: ClaimRecord) -> tuple[str, int]:
        """Return name and incarnation of the owner.

        A record from a ledger has the name only: the incarnation is that of the member of this name
        in the current view, or 0.
        """
        if record.owner_incarnation:
            return record.owner, record.owner_incarnation
        members = self._parts.succession.view.members
        found = [member.incarnation for member in members if member.name == record.owner]
        return record.owner, found[0] if found else 0

    async def _take_over(
        self, record: ClaimRecord, submission: Submission | None
    ) -> "Result[asyncio.Future[JobResult], Problem] | None":
        """Claim a job whose owner left the view, once every agent refuses the owner's starts.

        Once `stale_ms` have passed since this entry saw the view, each agent either knows the view
        too or starts nothing because its configuration is stale.
        """
        parts = self._parts
        wait_ms = parts.succession.view_seen_ms + parts.stale_ms - parts.clock()
        if wait_ms > 0:
            await asyncio.sleep(min(wait_ms, VIEW_WAIT_MS) / 1000)
            return None
        record = parts.table.find(record.job) or record
        admission = parts.admit(submission) if submission is not None else None
        outcome = await self._claim_and_start(
            submission or _make_empty_submission(record),
            record.epoch + 1,
            lambda: parts.take_over(record, submission, admission),
        )
        if not isinstance(outcome, ClaimOutcome):
            return outcome
        if outcome.status is ClaimStatus.HELD:
            if outcome.record is not None:
                parts.table.store(outcome.record)
            return None
        await wait_event(parts.succession.changed, VIEW_WAIT_MS)
        return None


def read_kept_answer(answer: bytes) -> JobResult:
    """Return a kept answer, or a failure if its text was dropped to bound memory."""
    if answer:
        return decode_result(answer)
    body = (
        b'{"state":"failed","error":{"kind":"expired","message":"The answer is no longer kept.",'
        b'"remedy":"Check with the target before submitting again under a new id."}}'
    )
    return JobResult(410, body)


async def wait_event(event: asyncio.Event, wait_ms: float) -> None:
    """Wait for an event for at most `wait_ms`; return in either case."""
    try:
        async with asyncio.timeout(wait_ms / 1000):
            await event.wait()
    except TimeoutError:
        return


def _make_finished_future(result: JobResult) -> "asyncio.Future[JobResult]":
    future = asyncio.get_running_loop().create_future()
    future.set_result(result)
    return future


def _make_empty_submission(record: ClaimRecord) -> Submission:
    caller, _, identifier = record.job.partition("/")
    bodies = (b"",) * (record.tasks or 0)
    return Submission(caller, identifier, "", None, bodies, 1, False, record.digest or b"")
