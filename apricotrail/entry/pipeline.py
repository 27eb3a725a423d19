"""The stages of a submission: admit, resolve, claim, place, start, collect, answer.

Each stage is a module of its own; this one connects them for callers and for other entries.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import wall_ms
from apricotrail.entry._admission import Admitted
from apricotrail.entry._claim_loss import CLOCK_MARGIN_MS
from apricotrail.entry._claiming import ClaimStatus
from apricotrail.entry._claims import count_majority
from apricotrail.entry._job import Job, JobResult, encode_result
from apricotrail.entry._job_problems import (
    describe_mismatch,
    describe_missing_quorum,
    describe_unknown_job,
    explain_refusal,
)
from apricotrail.entry._ownership import Ownership, OwnershipParts, Unowned, read_kept_answer
from apricotrail.entry._submission import Submission, read_uuid7_ms
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import (
    AttachJob,
    CancelJob,
    CancelReply,
    Claim,
    ClaimRecord,
    ClaimReply,
    ClaimsRequest,
    CopyAnswer,
    CopyClaims,
    JobAnswer,
)

__all__ = ["Pipeline"]

FIND_CALL_MS = 1_000
FIND_MARGIN_MS = 1_000  # allowed to `Pipeline.find` beyond the wait that a reader asks for
ANSWER_COPIES = 1  # other members that store each finished answer

ObserveJob = Callable[[Job, JobResult, float], None]


class _SearchResult(NamedTuple):
    """What the other members know of a job: a claim to follow, or the final result."""

    record: ClaimRecord | None
    final_result: Result[JobResult | None, Problem] | None = None


class Pipeline:
    """Jobs of one entry, from submission to answer.

    Parameters
    ----------
    parts : OwnershipParts
        The stages and tables that it uses.
    observe : callable
        Called with each finished job, its result and its response time in milliseconds.
    """

    def __init__(self, parts: OwnershipParts, observe: ObserveJob) -> None:
        self._parts = parts
        self._observe = observe
        self._ownership = Ownership(parts)
        self._submissions_in_progress = 0
        self._draining = asyncio.Event()
        parts.dispatcher.on_finish = self._finish

    # ---- planned stop ----

    def begin_draining(self) -> None:
        """Tell waiting readers that their job still runs; they can ask another entry."""
        self._draining.set()

    def is_idle(self) -> bool:
        """Return whether no job is owned here and no submission is being claimed or attached."""
        return not self._submissions_in_progress and not self._parts.dispatcher.jobs

    # ---- callers ----

    async def begin(self, submission: Submission) -> Result["asyncio.Future[JobResult]", Problem]:
        """Claim and queue a submission, or attach to its job.

        Returns
        -------
        Result
            A future of the answer, or a refusal before anything was claimed or started.
        """
        self._submissions_in_progress += 1
        try:
            return await self._begin(submission)
        finally:
            self._submissions_in_progress -= 1

    async def _begin(self, submission: Submission) -> Result["asyncio.Future[JobResult]", Problem]:
        known = self._parts.dispatcher.jobs.get(submission.job)
        if known is not None:
            self._parts.dispatcher.dispatch_state.metrics.jobs_attached.add()
            return _attach(known, submission)
        held = self._parts.table.find(submission.job)
        admitted: Admitted | None = None
        if held is None:
            decision = self._check_age(submission) or self._parts.admit(submission)
            if isinstance(decision, Failure):
                return decision
            admitted = decision.unwrap()
        else:
            self._parts.dispatcher.dispatch_state.metrics.jobs_attached.add()
        return await self._ownership.acquire(submission, admitted, held)

    async def find(self, job: str, wait_ms: float) -> Result[JobResult | None, Problem]:
        """Return the answer of a job, None if it runs after `wait_ms` or once this entry drains."""
        search = asyncio.ensure_future(self._find(job, wait_ms))
        draining = asyncio.ensure_future(self._draining.wait())
        try:
            await asyncio.wait({search, draining}, return_when=asyncio.FIRST_COMPLETED)
            return search.result() if search.done() else Success(None)
        finally:
            search.cancel()
            draining.cancel()

    async def _find(self, job: str, wait_ms: float) -> Result[JobResult | None, Problem]:
        local = self._parts.dispatcher.jobs.get(job)
        if local is not None:
            return Success(await _wait_result(local, wait_ms))
        record = self._parts.table.find(job)
        if record is None:
            found = await self._ask_members(job)
            if found.final_result is not None:
                return found.final_result
            record = found.record
        try:
            async with asyncio.timeout((wait_ms + FIND_MARGIN_MS) / 1000):
                return await self._follow_to_end(record, wait_ms)
        except TimeoutError:
            return Success(None)

    async def cancel(self, job: str) -> Result[None, Problem]:
        """Cancel a job at the entry that owns it; a finished job keeps its answer."""
        if self.cancel_local(job):
            return Success(None)
        record = self._parts.table.find(job)
        if record is None:
            found = await self._ask_members(job)
            if found.final_result is not None:
                return found.final_result.map(lambda _: None)
            record = found.record
        if record.answer is not None:
            return Success(None)
        link = self._parts.find_link(record.owner, record.owner_incarnation)
        if link is None:
            message = f"The entry that owns {job} can't be reached."
            return Failure(Problem(ErrorKind.UNREACHABLE, message, "Send the cancellation again."))
        reply = await link.call(CancelJob(job), FIND_CALL_MS)
        return reply.map(lambda _: None)

    def cancel_local(self, job: str) -> bool:
        """Cancel a job if this entry owns it; return whether it does."""
        local = self._parts.dispatcher.jobs.get(job)
        if local is None:
            return False
        message = "The caller cancelled the job."
        problem = Problem(ErrorKind.CANCELLED, message, "Submit under a new id.")
        self._parts.dispatcher.cancel(local, problem)
        return True

    # ---- other entries ----

    def receive_claim(self, link: Link, claim: Claim) -> ClaimReply:
        """Grant or refuse another entry's claim."""
        return self._parts.table.decide(claim, self._ownership.is_certainly_new(claim.record.job))

    def receive_claims_request(self, link: Link, request: ClaimsRequest) -> CopyClaims:
        """Return a page of claims to a member that prepares for the next view."""
        page = self._parts.table.copy_page(request)
        page.lost_wall_ms = self._parts.succession.lost_wall_ms
        return page

    def receive_answer(self, link: Link, message: CopyAnswer) -> None:
        """Store a copy of a finished answer whose job another entry owns."""
        self._parts.table.store(message.record)

    async def receive_attach(self, link: Link, request: AttachJob) -> JobAnswer:
        """Reply with what this entry knows of a job, waiting for its answer if it runs here."""
        job = request.job
        if await self._ownership.wait_for_claim(job, link.peer.name, request.wait_ms):
            return JobAnswer(job, False)
        local = self._parts.dispatcher.jobs.get(job)
        if local is not None:
            result = await _wait_result(local, request.wait_ms)
            return JobAnswer(job, True, result.body if result else None)
        record = self._parts.table.find(job)
        if record is None:
            return JobAnswer(job, False)
        if record.answer is not None:
            return JobAnswer(job, True, record.answer)
        owned = (record.owner, record.owner_incarnation) == self._parts.identity()
        return JobAnswer(job, False, None, None if owned else record)

    def receive_cancel(self, link: Link, request: CancelJob) -> CancelReply:
        """Cancel a job at the request of another entry, whose caller asked for it."""
        return CancelReply(self.cancel_local(request.job))

    # ---- internals ----

    async def _follow_to_end(
        self, record: ClaimRecord, wait_ms: float
    ) -> Result[JobResult | None, Problem]:
        while True:
            step = await self._ownership.ask_owner_once(record, None, wait_ms)
            if isinstance(step, JobResult):
                return Success(step)
            if isinstance(step, Unowned):
                return Failure(describe_unknown_job(record.job))
            if isinstance(step, Success):
                return Success(await asyncio.shield(step.unwrap()))
            if isinstance(step, Failure):
                return step
            record = self._parts.table.find(record.job) or record

    async def _ask_members(self, job: str) -> _SearchResult:
        links = self._parts.member_links()
        replies = await asyncio.gather(
            *(link.call(AttachJob(job, 0), FIND_CALL_MS) for link in links)
        )
        records = []
        answered = 1
        for link, reply in zip(links, replies, strict=True):
            if isinstance(reply, Failure):
                continue
            answered += 1
            answer: JobAnswer = reply.unwrap()
            if answer.answer is not None:
                return _SearchResult(None, Success(read_kept_answer(answer.answer)))
            if answer.known:
                records.append(ClaimRecord(job, link.peer.name, link.peer.incarnation, 0))
            if answer.record is not None:
                records.append(answer.record)
        if records:
            return _SearchResult(max(records, key=lambda record: record.epoch or 0))
        return _SearchResult(None, Failure(self._explain_unknown(job, answered)))

    def _explain_unknown(self, job: str, answered: int) -> Problem:
        if answered < count_majority(len(self._parts.succession.view.members)):
            message = f"Too few entries answered to tell whether {job} is known."
            return describe_missing_quorum(message)
        if not self._ownership.is_certainly_new(job):
            return explain_refusal(ClaimStatus.UNCERTAIN, job)
        return describe_unknown_job(job)

    def _finish(self, job: Job) -> None:
        result = encode_result(job)
        if not job.abandoned:
            self._keep_answer(job, result)
        if not job.result.done():
            job.result.set_result(result)
        self._observe(job, result, self._parts.clock() - job.submitted_ms)

    def _keep_answer(self, job: Job, result: JobResult) -> None:
        name, incarnation = self._parts.identity()
        record = ClaimRecord(
            job=job.key,
            owner=name,
            owner_incarnation=incarnation,
            epoch=job.epoch,
            digest=job.digest,
            age_ms=0,
            answer=result.body,
            tasks=len(job.bodies),
        )
        self._parts.table.store(record)
        epoch = self._parts.succession.view.epoch
        for link in self._parts.member_links()[:ANSWER_COPIES]:
            link.send(CopyAnswer(epoch, record))

    def _check_age(self, submission: Submission) -> Failure | None:
        created_ms = read_uuid7_ms(submission.submission)
        if created_ms is None:
            return None
        if wall_ms() - created_ms <= self._parts.retention_ms - CLOCK_MARGIN_MS:
            return None
        message = f"The id {submission.submission} is older than the retention of submissions."
        remedy = "If the first submission's answer is lost, check with the target; use a new id."
        return Failure(Problem(ErrorKind.EXPIRED, message, remedy))


def _attach(job: Job, submission: Submission) -> Result["asyncio.Future[JobResult]", Problem]:
    if job.digest and job.digest != submission.digest:
        return Failure(describe_mismatch(job.key))
    return Success(job.result)


async def _wait_result(job: Job, wait_ms: float) -> JobResult | None:
    try:
        async with asyncio.timeout(wait_ms / 1000):
            return await asyncio.shield(job.result)
    except TimeoutError:
        return None
