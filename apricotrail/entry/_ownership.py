"""Which entry owns a job: claims it, follows another owner, or takes over a lost one's job."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import Clock, wall_ms
from apricotrail.entry._admission import AdmitSubmission, Admitted
from apricotrail.entry._claiming import ClaimAttempt, ClaimOutcome, ClaimStatus
from apricotrail.entry._claims import ClaimTable
from apricotrail.entry._dispatch import Dispatcher
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
from apricotrail.entry._uncertainty import Vouching, is_certainly_new
from apricotrail.errors import Problem
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import AttachJob, ClaimRecord, JobAnswer

__all__ = ["Free", "Ownership", "OwnershipParts", "read_kept_answer"]

ATTACH_WAIT_MS = 10_000
ATTACH_MARGIN_MS = 1_000
POLL_MS = 50
VIEW_WAIT_MS = 200

StartOwned = Callable[[], Awaitable[Result["asyncio.Future[JobResult]", Problem]]]


class OwnershipParts(NamedTuple):
    """What ownership works with; durations in milliseconds.

    Attributes
    ----------
    identity : callable
        Gives (name, incarnation) of this entry.
    table : ClaimTable
        Claims held here.
    succession : ViewSuccession
        View and readiness.
    dispatcher : Dispatcher
        Queues and open attempts.
    admit : callable
        Decides whether a new submission is taken.
    take_over : callable
        Collects what agents know of a job whose owner is gone.
    member_links : callable
        Gives the links to the other members of the view, preferred ones first.
    find_link : callable
        Gives the link to an entry process by name and incarnation.
    vouch : callable
        Gives what the ledgers of all targets cover.
    clock : callable
        Monotonic time.
    retention_ms, stale_ms, claim_call_ms, claim_hedge_ms : float
        See the settings of claims and freshness.
    """

    identity: Callable[[], tuple[str, int]]
    table: ClaimTable
    succession: ViewSuccession
    dispatcher: Dispatcher
    admit: AdmitSubmission
    take_over: TakeOver
    member_links: Callable[[], list[Link]]
    find_link: Callable[[str, int], Link | None]
    vouch: Callable[[], Vouching]
    clock: Clock
    retention_ms: float
    stale_ms: float
    claim_call_ms: float
    claim_hedge_ms: float


class Free(NamedTuple):
    """The job has no owner: claim it with this epoch."""

    epoch: int


class _Acquiring:
    """One claim of this entry, until its job is started or the claim has failed."""

    def __init__(self, attempt: ClaimAttempt) -> None:
        self.attempt = attempt
        self.won = False
        self.ended = asyncio.Event()


class Ownership:
    """Ownership of jobs at one entry.

    Parameters
    ----------
    parts : OwnershipParts
        Tables and functions.
    """

    def __init__(self, parts: OwnershipParts) -> None:
        self._parts = parts
        self._acquiring: dict[str, _Acquiring] = {}

    async def acquire(
        self, submission: Submission, admitted: Admitted | None, held: ClaimRecord | None
    ) -> Result["asyncio.Future[JobResult]", Problem]:
        """Own the job of a submission and start it, or attach to the one that runs.

        Parameters
        ----------
        submission : Submission
            As received.
        admitted : Admitted or None
            Decision on a new submission; None if `held` says that it is not new.
        held : ClaimRecord or None
            What the own table holds.
        """
        parts = self._parts
        give_up_ms = parts.clock() + (submission.deadline_ms or ATTACH_WAIT_MS)
        epoch, record = 1, held
        while parts.clock() < give_up_ms:
            if record is not None:
                followed = await self._follow(record, submission, give_up_ms)
                if not isinstance(followed, Free):
                    return followed
                epoch = followed.epoch
            if admitted is None:
                decision = parts.admit(submission)
                if isinstance(decision, Failure):
                    return decision
                admitted = decision.unwrap()
            outcome = await self._own(
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

    async def follow_once(
        self, record: ClaimRecord, submission: Submission | None, wait_ms: float
    ) -> "JobResult | Free | Result[asyncio.Future[JobResult], Problem] | None":
        """Ask once for a job held by `record`.

        Returns
        -------
        JobResult, Free, Result or None
            The answer; that nobody owns the job; the future answer or a problem; None to ask again.
        """
        parts = self._parts
        if record.answer is not None:
            return read_kept_answer(record.answer)
        owner = self._find_owner(record)
        if owner == parts.identity():
            if not record.owner_incarnation:
                # A former process of this name started it; what it did is only in the ledgers.
                return await self._take_over(record, submission)
            return self._follow_own(record, submission)
        if not parts.succession.view.has(*owner):
            return await self._take_over(record, submission)
        link = parts.find_link(*owner)
        if link is None:
            await asyncio.sleep(POLL_MS / 1000)
            return None
        reply = await link.call(AttachJob(record.job, int(wait_ms)), wait_ms + ATTACH_MARGIN_MS)
        if isinstance(reply, Failure):
            await asyncio.sleep(POLL_MS / 1000)
            return None
        return await self._read_attached(record, submission, reply.unwrap())

    async def wait_for_claim(self, job: str, requester: str, wait_ms: float) -> bool:
        """Let a claim of this entry end before another entry is told about the job.

        Of two entries that claim at once, the one with the smaller name goes on.

        Returns
        -------
        bool
            True if this entry gave its claim up for good.
        """
        acquiring = self._acquiring.get(job)
        if acquiring is None:
            return False
        if not acquiring.won and requester < self._parts.identity()[0]:
            acquiring.attempt.abandoned = True
            return True
        await wait_event(acquiring.ended, wait_ms)
        return False

    def is_certain(self, job: str) -> bool:
        """Return whether a job that is not in the own table has certainly not run."""
        lost_wall_ms = self._parts.succession.lost_wall_ms
        if not lost_wall_ms:
            return True
        return is_certainly_new(
            read_uuid7_ms(job.partition("/")[2]),
            lost_wall_ms,
            wall_ms(),
            int(self._parts.retention_ms),
            self._parts.vouch(),
        )

    # ---- claims ----

    async def _own(
        self, submission: Submission, epoch: int, start: StartOwned
    ) -> "ClaimOutcome | Result[asyncio.Future[JobResult], Problem]":
        """Claim a job and start it; at most one claim of a job is under way at this entry."""
        parts = self._parts
        job = submission.job
        if job in self._acquiring:
            await wait_event(self._acquiring[job].ended, parts.claim_call_ms)
            return ClaimOutcome(ClaimStatus.HELD, parts.table.find(job))
        held = parts.table.find(job)
        if job in parts.dispatcher.jobs or (held is not None and held.answer is not None):
            return ClaimOutcome(ClaimStatus.HELD, held)
        if not parts.succession.is_ready():
            return ClaimOutcome(ClaimStatus.VIEW_CHANGED)
        acquiring = self._acquiring[job] = _Acquiring(self._make_attempt(submission, epoch))
        try:
            outcome = await acquiring.attempt.run(parts.table, lambda: self.is_certain(job))
            if outcome.status is not ClaimStatus.OWNED:
                return outcome
            acquiring.won = True
            return await start()
        finally:
            del self._acquiring[job]
            acquiring.ended.set()

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

    def _make_start(self, submission: Submission, admitted: Admitted, epoch: int) -> StartOwned:
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

    async def _follow(
        self, record: ClaimRecord, submission: Submission, give_up_ms: float
    ) -> "Free | Result[asyncio.Future[JobResult], Problem]":
        if record.digest and record.digest != submission.digest:
            return Failure(describe_mismatch(submission.job))
        while self._parts.clock() < give_up_ms:
            step = await self.follow_once(record, submission, ATTACH_WAIT_MS)
            if isinstance(step, JobResult):
                return Success(_finished(step))
            if step is not None:
                return step
            record = self._parts.table.find(record.job) or record
        return Failure(describe_running_job(record.job))

    def _follow_own(
        self, record: ClaimRecord, submission: Submission | None
    ) -> "Free | Result[asyncio.Future[JobResult], Problem]":
        local = self._parts.dispatcher.jobs.get(record.job)
        if local is None:
            return Free(record.epoch + 1)
        if submission is not None and local.digest and local.digest != submission.digest:
            return Failure(describe_mismatch(local.key))
        return Success(local.result)

    async def _read_attached(
        self, record: ClaimRecord, submission: Submission | None, answer: JobAnswer
    ) -> "JobResult | Free | Result[asyncio.Future[JobResult], Problem] | None":
        if answer.answer is not None:
            return read_kept_answer(answer.answer)
        if answer.known:
            return None
        if answer.record is not None and answer.record.epoch > record.epoch:
            self._parts.table.store(answer.record)
            return None
        if record.owner_incarnation == 0:
            return await self._take_over(record, submission)
        return Free(record.epoch + 1)

    def _find_owner(self, record: ClaimRecord) -> tuple[str, int]:
        """Return the owner; one known only by name, from a ledger, in its present incarnation."""
        if record.owner_incarnation:
            return record.owner, record.owner_incarnation
        members = self._parts.succession.view.members
        found = [member.incarnation for member in members if member.name == record.owner]
        return record.owner, found[0] if found else 0

    async def _take_over(
        self, record: ClaimRecord, submission: Submission | None
    ) -> "Result[asyncio.Future[JobResult], Problem] | None":
        """Own a job whose owner left the view, once its starts are refused everywhere."""
        parts = self._parts
        wait_ms = parts.succession.view_seen_ms + parts.stale_ms - parts.clock()
        if wait_ms > 0:
            await asyncio.sleep(min(wait_ms, VIEW_WAIT_MS) / 1000)
            return None
        record = parts.table.find(record.job) or record
        admission = parts.admit(submission) if submission is not None else None
        outcome = await self._own(
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
    """Return a kept answer, or that its text was dropped for room."""
    if answer:
        return decode_result(answer)
    body = (
        b'{"state":"failed","error":{"kind":"expired","message":"The answer is no longer kept.",'
        b'"remedy":"Check with the target before submitting again under a new id."}}'
    )
    return JobResult(410, body)


async def wait_event(event: asyncio.Event, wait_ms: float) -> None:
    """Wait for an event, at most `wait_ms`."""
    try:
        async with asyncio.timeout(wait_ms / 1000):
            await event.wait()
    except TimeoutError:
        return


def _finished(result: JobResult) -> "asyncio.Future[JobResult]":
    future = asyncio.get_running_loop().create_future()
    future.set_result(result)
    return future


def _make_empty_submission(record: ClaimRecord) -> Submission:
    caller, _, identifier = record.job.partition("/")
    bodies = (b"",) * (record.tasks or 0)
    return Submission(caller, identifier, "", None, bodies, 1, False, record.digest or b"")
