"""The way of a submission: admit, resolve, claim, place, start, gather, answer.

Each filter is a module of its own; this one wires them and knows who owns which job.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.clocks import Clock, wall_ms
from apricotrail.entry._admission import AdmitSubmission, Admitted
from apricotrail.entry._claiming import ClaimAttempt, ClaimOutcome, ClaimStatus
from apricotrail.entry._claims import ClaimTable
from apricotrail.entry._dispatch import Dispatcher
from apricotrail.entry._job import Job, JobResult, encode_result, read_result_status
from apricotrail.entry._submission import Submission, read_uuid7_ms
from apricotrail.entry._succession import ViewSuccession
from apricotrail.entry._takeover import TakeOver
from apricotrail.entry._uncertainty import CLOCK_MARGIN_MS, Vouching, is_certainly_new
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

__all__ = ["Pipeline", "PipelineParts"]

ATTACH_WAIT_MS = 10_000
ATTACH_MARGIN_MS = 1_000
POLL_MS = 50
FIND_CALL_MS = 1_000
VIEW_WAIT_MS = 200


class PipelineParts(NamedTuple):
    """What a pipeline is wired from; durations in milliseconds.

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
        Gives what the ledgers of a service's targets cover.
    clock : callable
        Monotonic time.
    retention_ms, stale_ms, claim_call_ms, claim_hedge_ms : float
        See the settings of claims and freshness.
    observe : callable
        Takes in a finished job, its result and its response time in milliseconds.
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
    observe: Callable[[Job, JobResult, float], None]


class _Free(NamedTuple):
    """The job has no owner any more: claim it with this epoch."""

    epoch: int


class _Claiming(NamedTuple):
    attempt: ClaimAttempt
    decided: asyncio.Event


class Pipeline:
    """Jobs of one entry, from submission to answer.

    Parameters
    ----------
    parts : PipelineParts
        The filters and tables.
    """

    def __init__(self, parts: PipelineParts) -> None:
        self._parts = parts
        self._claiming: dict[str, _Claiming] = {}
        parts.dispatcher.on_finish = self._finish

    # ---- callers ----

    async def submit(self, submission: Submission) -> Result[JobResult, Problem]:
        """Run a submission, or attach to the job that it already started.

        Returns
        -------
        Result
            The job's answer; or a refusal before anything was claimed or started.
        """
        started = await self.begin(submission)
        if isinstance(started, Failure):
            return started
        return Success(await started.unwrap())

    async def begin(self, submission: Submission) -> Result["asyncio.Future[JobResult]", Problem]:
        """Claim and queue a submission, or attach to its job; gives the future answer."""
        known = self._parts.dispatcher.jobs.get(submission.job)
        if known is not None:
            return self._attach_local(known, submission)
        held = self._parts.table.find(submission.job)
        admitted: Admitted | None = None
        if held is None:
            expired = self._check_age(submission)
            decision = expired or self._parts.admit(submission)
            if isinstance(decision, Failure):
                return decision
            admitted = decision.unwrap()
        return await self._acquire(submission, admitted, held)

    async def find(self, job: str, wait_ms: float) -> Result[JobResult | None, Problem]:
        """Return the answer of a job, None if it still runs after `wait_ms`."""
        local = self._parts.dispatcher.jobs.get(job)
        if local is not None:
            return Success(await _wait_result(local, wait_ms))
        record = self._parts.table.find(job)
        if record is None:
            found = await self._ask_members(job)
            if not isinstance(found, ClaimRecord):
                return found
            record = found
        try:
            async with asyncio.timeout(wait_ms / 1000 + ATTACH_MARGIN_MS / 1000):
                return await self._follow_to_end(record, wait_ms)
        except TimeoutError:
            return Success(None)

    async def cancel(self, job: str) -> Result[None, Problem]:
        """Cancel a job wherever it is owned."""
        if self.cancel_local(job):
            return Success(None)
        record = self._parts.table.find(job)
        if record is None:
            found = await self._ask_members(job)
            if isinstance(found, Failure):
                return found
            record = found if isinstance(found, ClaimRecord) else None
        if record is None or record.answer is not None:
            return Success(None)
        link = self._parts.find_link(record.owner, record.owner_incarnation)
        if link is None:
            return Failure(_no_quorum(f"The owner of {job} can't be reached."))
        reply = await link.call(CancelJob(job), FIND_CALL_MS)
        return reply.map(lambda _: None)

    def cancel_local(self, job: str) -> bool:
        """Cancel a job that this entry owns; returns whether it does."""
        local = self._parts.dispatcher.jobs.get(job)
        if local is None:
            return False
        problem = Problem(
            ErrorKind.CANCELLED, "The caller cancelled the job.", "Submit under a new id."
        )
        self._parts.dispatcher.cancel(local, problem)
        return True

    # ---- other entries ----

    def receive_claim(self, link: Link, claim: Claim) -> ClaimReply:
        """Grant or refuse another entry's claim."""
        return self._parts.table.decide(claim, self._is_certain(claim.record.job))

    def receive_claims_request(self, link: Link, request: ClaimsRequest) -> CopyClaims:
        """Hand claims to a member of the next view."""
        page = self._parts.table.copy_page(request)
        page.lost_wall_ms = self._parts.succession.lost_wall_ms
        return page

    def receive_answer(self, link: Link, message: CopyAnswer) -> None:
        """Keep another owner's finished answer."""
        self._parts.table.store(message.record)

    async def receive_attach(self, link: Link, request: AttachJob) -> JobAnswer:
        """Tell another entry what is known of a job, waiting for its answer if it runs here."""
        claiming = self._claiming.get(request.job)
        if claiming is not None:
            if link.peer.name < self._parts.identity()[0]:
                claiming.attempt.abandoned = True
                return JobAnswer(request.job, False)
            await _wait_event(claiming.decided, request.wait_ms)
        local = self._parts.dispatcher.jobs.get(request.job)
        if local is not None:
            result = await _wait_result(local, request.wait_ms)
            return JobAnswer(request.job, True, result.body if result else None)
        record = self._parts.table.find(request.job)
        if record is None:
            return JobAnswer(request.job, False)
        owned = (record.owner, record.owner_incarnation) == self._parts.identity()
        known = record.answer is not None
        return JobAnswer(request.job, known, record.answer, None if owned and not known else record)

    def receive_cancel(self, link: Link, request: CancelJob) -> CancelReply:
        """Cancel a job for a caller of another entry."""
        return CancelReply(self.cancel_local(request.job))

    # ---- ownership ----

    async def _acquire(
        self, submission: Submission, admitted: Admitted | None, held: ClaimRecord | None
    ) -> Result["asyncio.Future[JobResult]", Problem]:
        parts = self._parts
        give_up_ms = parts.clock() + (submission.deadline_ms or ATTACH_WAIT_MS)
        epoch, record = 1, held
        problem = _no_quorum("No majority of the entry view answered.")
        while parts.clock() < give_up_ms:
            if record is not None:
                followed = await self._follow(record, submission, give_up_ms)
                if not isinstance(followed, _Free):
                    return followed
                epoch = followed.epoch
            if admitted is None:
                decision = parts.admit(submission)
                if isinstance(decision, Failure):
                    return decision
                admitted = decision.unwrap()
            outcome = await self._claim(submission, epoch)
            if outcome.status is ClaimStatus.OWNED:
                return Success(self._start(submission, admitted, epoch))
            refusal = _explain_refusal(outcome.status, submission.job)
            if refusal is not None:
                return Failure(refusal)
            record = outcome.record or parts.table.find(submission.job)
            if outcome.status is not ClaimStatus.HELD:
                await _wait_event(parts.succession.changed, VIEW_WAIT_MS)
            elif record is None:
                await asyncio.sleep(POLL_MS / 1000)
        return Failure(problem)

    async def _claim(self, submission: Submission, epoch: int) -> ClaimOutcome:
        parts = self._parts
        if not parts.succession.is_ready():
            return ClaimOutcome(ClaimStatus.VIEW_CHANGED)
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
        attempt = ClaimAttempt(
            parts.succession.view,
            record,
            parts.member_links(),
            parts.claim_call_ms,
            parts.claim_hedge_ms,
        )
        claiming = _Claiming(attempt, asyncio.Event())
        if submission.job in self._claiming:
            await _wait_event(self._claiming[submission.job].decided, parts.claim_call_ms)
            return ClaimOutcome(ClaimStatus.HELD, parts.table.find(submission.job))
        self._claiming[submission.job] = claiming
        try:
            return await attempt.run(parts.table, lambda: self._is_certain(submission.job))
        finally:
            del self._claiming[submission.job]
            claiming.decided.set()

    async def _follow(
        self, record: ClaimRecord, submission: Submission, give_up_ms: float
    ) -> "_Free | Result[asyncio.Future[JobResult], Problem]":
        if record.digest and record.digest != submission.digest:
            return Failure(_mismatch(submission.job))
        while self._parts.clock() < give_up_ms:
            step = await self._follow_once(record, submission, ATTACH_WAIT_MS)
            if isinstance(step, JobResult):
                return Success(_finished(step))
            if step is not None:
                return step
            record = self._parts.table.find(record.job) or record
        return Failure(_still_running(record.job))

    async def _follow_to_end(
        self, record: ClaimRecord, wait_ms: float
    ) -> Result[JobResult | None, Problem]:
        while True:
            step = await self._follow_once(record, None, wait_ms)
            if isinstance(step, JobResult):
                return Success(step)
            if isinstance(step, _Free):
                return Failure(_not_found(record.job))
            if isinstance(step, Success):
                return Success(await step.unwrap())
            if isinstance(step, Failure):
                return step
            record = self._parts.table.find(record.job) or record

    async def _follow_once(
        self, record: ClaimRecord, submission: Submission | None, wait_ms: float
    ) -> "JobResult | _Free | Result[asyncio.Future[JobResult], Problem] | None":
        """Ask once for a job held by `record`; None means ask again."""
        parts = self._parts
        if record.answer is not None:
            return _kept_answer(record)
        owner = (record.owner, record.owner_incarnation)
        if owner == parts.identity():
            local = parts.dispatcher.jobs.get(record.job)
            if local is not None and submission is not None:
                return self._attach_local(local, submission)
            return Success(local.result) if local is not None else _Free(record.epoch + 1)
        if record.owner_incarnation == 0:
            owner = self._find_present(record.owner)
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
        answer: JobAnswer = reply.unwrap()
        if answer.answer is not None:
            return _kept_answer(ClaimRecord(job=record.job, answer=answer.answer))
        if answer.known:
            return None
        if answer.record is not None and answer.record.epoch > record.epoch:
            parts.table.store(answer.record)
            return None
        if record.owner_incarnation == 0:
            return await self._take_over(record, submission)
        return _Free(record.epoch + 1)

    def _find_present(self, name: str) -> tuple[str, int]:
        """Return the present incarnation of an owner known by name from an agent's ledger."""
        members = self._parts.succession.view.members
        found = [member.incarnation for member in members if member.name == name]
        return name, found[0] if found else 0

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
        stand_in = submission or _empty_submission(record)
        outcome = await self._claim(stand_in, record.epoch + 1)
        if outcome.status is ClaimStatus.HELD:
            if outcome.record is not None:
                parts.table.store(outcome.record)
            return None
        if outcome.status is not ClaimStatus.OWNED:
            await _wait_event(parts.succession.changed, VIEW_WAIT_MS)
            return None
        admitted = parts.admit(submission) if submission is not None else None
        return await parts.take_over(record, submission, admitted)

    def _start(
        self, submission: Submission, admitted: Admitted, epoch: int
    ) -> "asyncio.Future[JobResult]":
        job = Job(
            submission.job,
            admitted.service,
            submission.bodies,
            self._parts.clock() + admitted.deadline_ms,
            epoch,
            submission.digest,
            self._parts.clock(),
            admitted.team,
            admitted.share,
        )
        self._parts.dispatcher.add(job)
        return job.result

    def _attach_local(
        self, job: Job, submission: Submission
    ) -> Result["asyncio.Future[JobResult]", Problem]:
        if job.digest and job.digest != submission.digest:
            return Failure(_mismatch(job.key))
        return Success(job.result)

    def _finish(self, job: Job) -> None:
        result = encode_result(job)
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
        for link in self._parts.member_links()[:1]:
            link.send(CopyAnswer(self._parts.succession.view.epoch, record))
        if not job.result.done():
            job.result.set_result(result)
        self._parts.observe(job, result, self._parts.clock() - job.submitted_ms)

    async def _ask_members(self, job: str) -> "ClaimRecord | Result[JobResult | None, Problem]":
        links = self._parts.member_links()
        replies = await asyncio.gather(
            *(link.call(AttachJob(job, 0), FIND_CALL_MS) for link in links)
        )
        answers = [reply.unwrap() for reply in replies if isinstance(reply, Success)]
        for link, reply in zip(links, replies, strict=True):
            answer = reply.unwrap() if isinstance(reply, Success) else None
            if answer is not None and answer.answer is not None:
                return Success(_kept_answer(ClaimRecord(job=job, answer=answer.answer)))
            if answer is not None and answer.known:
                return ClaimRecord(job, link.peer.name, link.peer.incarnation, 0)
        records = [answer.record for answer in answers if answer.record is not None]
        if records:
            return max(records, key=lambda record: record.epoch or 0)
        if len(answers) + 1 < len(self._parts.succession.view.members) // 2 + 1:
            return Failure(_no_quorum(f"Too few entries answered to say whether {job} is known."))
        if not self._is_certain(job):
            return Failure(_explain_refusal(ClaimStatus.UNCERTAIN, job))
        return Failure(_not_found(job))

    def _is_certain(self, job: str) -> bool:
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

    def _check_age(self, submission: Submission) -> Failure | None:
        created_ms = read_uuid7_ms(submission.submission)
        if created_ms is None:
            return None
        if wall_ms() - created_ms <= self._parts.retention_ms - CLOCK_MARGIN_MS:
            return None
        message = f"The id {submission.submission} is older than the retention of submissions."
        remedy = "If the first submission's answer is lost, check with the target; use a new id."
        return Failure(Problem(ErrorKind.EXPIRED, message, remedy))


def _kept_answer(record: ClaimRecord) -> JobResult:
    if record.answer:
        return read_result_status(record.answer)
    body = (
        b'{"state":"failed","error":{"kind":"expired","message":"The answer is no longer kept.",'
        b'"remedy":"Check with the target before submitting again under a new id."}}'
    )
    return JobResult(410, body)


def _finished(result: JobResult) -> "asyncio.Future[JobResult]":
    future = asyncio.get_running_loop().create_future()
    future.set_result(result)
    return future


def _empty_submission(record: ClaimRecord) -> Submission:
    caller, _, identifier = record.job.partition("/")
    bodies = (b"",) * (record.tasks or 0)
    return Submission(caller, identifier, "", None, bodies, 1, False, record.digest or b"")


async def _wait_result(job: Job, wait_ms: float) -> JobResult | None:
    try:
        async with asyncio.timeout(wait_ms / 1000):
            return await asyncio.shield(job.result)
    except TimeoutError:
        return None


async def _wait_event(event: asyncio.Event, wait_ms: float) -> None:
    try:
        async with asyncio.timeout(wait_ms / 1000):
            await event.wait()
    except TimeoutError:
        return


def _explain_refusal(status: ClaimStatus, job: str) -> Problem | None:
    if status is ClaimStatus.MISMATCH:
        return _mismatch(job)
    if status is ClaimStatus.UNCERTAIN:
        message = f"Records of earlier submissions were lost; {job} may have run."
        remedy = "Check with the target, or submit under a new UUIDv7."
        return Problem(ErrorKind.MAY_HAVE_RUN, message, remedy)
    if status is ClaimStatus.FULL:
        message = "The table of claims is full; nothing was started."
        return Problem(ErrorKind.OVERLOADED, message, "Retry the same id after a pause.")
    return None


def _mismatch(job: str) -> Problem:
    message = f"{job} was submitted before with another body."
    return Problem(ErrorKind.BODY_MISMATCH, message, "Use a new id for a new request.")


def _no_quorum(message: str) -> Problem:
    return Problem(ErrorKind.NO_QUORUM, f"{message} Nothing was started.", "Retry the same id.")


def _still_running(job: str) -> Problem:
    message = f"{job} was submitted before and has no answer yet."
    return Problem(ErrorKind.UNKNOWN_OUTCOME, message, f"Read GET /v1/jobs/{job} for its answer.")


def _not_found(job: str) -> Problem:
    message = f"No submission {job} is known."
    return Problem(ErrorKind.NOT_FOUND, message, "Check caller and id, or submit the job.")
