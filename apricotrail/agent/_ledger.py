"""Records the state of every attempt at one target, so that no task starts there twice.

An attempt counts as seen once it was started or refused. A task may start if each of its earlier
attempts is ``NOT_RUN``. Records are kept for the retention window; a full ledger refuses new
starts.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from apricotrail.agent._records import AttemptId, LedgerLimits, Outcome
from apricotrail.agent._refusals import RefusalFilter
from apricotrail.wire.generated.ttypes import Reason, TaskState

__all__ = ["Ledger"]

# Additional share of the record limit, so that fences and tombstones that owners request still fit
# into a ledger that refuses starts.
RESERVE_SHARE = 0.25


RUNNING = Outcome(TaskState.RUNNING)
ANSWER_DROPPED = Outcome(
    TaskState.MAY_HAVE_RUN, Reason.EXPIRED, detail="The task ran; its answer is no longer kept."
)
_TOMBSTONES = {reason: Outcome(TaskState.NOT_RUN, reason) for reason in Reason._VALUES_TO_NAMES}


class _JobRecord:
    """One job; `started` holds each task's attempt that started, unless it ended ``NOT_RUN``."""

    __slots__ = ("attempts", "cancelled", "epoch", "owner", "running", "started", "touched_ms")

    def __init__(self, owner: str, epoch: int) -> None:
        self.owner = owner
        self.epoch = epoch
        self.cancelled = False
        self.running = 0
        self.touched_ms = 0.0
        self.attempts: dict[AttemptId, Outcome] = {}
        self.started: dict[int, AttemptId] = {}


class _KeptAnswer(NamedTuple):
    job: str
    attempt_id: AttemptId
    size_bytes: int
    until_ms: float


class Ledger:
    """States of attempts by job, and the owner and epoch of each job.

    Parameters
    ----------
    limits : LedgerLimits
        Bounds on time, count and bytes.

    Attributes
    ----------
    answer_bytes : int
        Total size of the answers that are kept.

    Examples
    --------
    >>> ledger = Ledger(LedgerLimits())
    >>> ledger.claim("school/1", "entry-a", epoch=1, now_ms=0)
    True
    >>> ledger.begin("school/1", AttemptId(0, 1), now_ms=0)
    >>> ledger.find_refusal("school/1", AttemptId(0, 2), epoch=1, now_ms=1) == Reason.SEEN
    True
    """

    def __init__(self, limits: LedgerLimits) -> None:
        self.answer_bytes = 0
        self._limits = limits
        self._jobs: OrderedDict[str, _JobRecord] = OrderedDict()
        self._attempts = 0
        self._answers: deque[_KeptAnswer] = deque()
        self._overflow_refusals = RefusalFilter(limits.retention_ms)

    def __len__(self) -> int:
        """Return the number of records: attempts and jobs."""
        return self._attempts + len(self._jobs)

    # ---- queries ----

    def find(self, job: str, attempt_id: AttemptId) -> Outcome | None:
        """Return the state of an attempt, or None if it was never seen."""
        record = self._jobs.get(job)
        return None if record is None else record.attempts.get(attempt_id)

    def find_refusal(self, job: str, attempt_id: AttemptId, epoch: int, now_ms: float) -> int:
        """Return the `Reason` to refuse an unseen attempt of a claimed job.

        `Reason.NONE` if it may start; `Reason.LEDGER_FULL` for a job that was not claimed.
        """
        record = self._jobs.get(job)
        if record is not None:
            if epoch < record.epoch:
                return Reason.FENCED
            if attempt_id.task in record.started:
                return Reason.SEEN
            if record.cancelled:
                return Reason.CANCELLED
        if self._overflow_refusals.contains((job, attempt_id), now_ms):
            return Reason.SEEN
        if record is None or not self._has_room(1):
            return Reason.LEDGER_FULL
        return Reason.NONE

    def is_fenced(self, job: str, epoch: int) -> bool:
        """Return whether `epoch` is below the lowest epoch accepted for the job."""
        record = self._jobs.get(job)
        return record is not None and epoch < record.epoch

    def is_full(self) -> bool:
        """Return whether the start of a new job would be refused."""
        return not self._has_room(2)

    def owner(self, job: str) -> str | None:
        """Return the name of the entry with the highest epoch seen for the job."""
        record = self._jobs.get(job)
        return None if record is None else record.owner

    def attempts(self, job: str) -> list[tuple[AttemptId, Outcome]]:
        """Return the seen attempts of a job and their states."""
        record = self._jobs.get(job)
        return [] if record is None else list(record.attempts.items())

    def jobs(self) -> list[tuple[str, str, int]]:
        """Return the id, owner and epoch of each job."""
        return [(job, record.owner, record.epoch) for job, record in self._jobs.items()]

    # ---- changes ----

    def claim(
        self, job: str, owner: str, epoch: int, now_ms: float, use_reserve: bool = False
    ) -> bool:
        """Record an owner and its epoch, unless a higher epoch is known.

        A higher epoch fences the former owner and lifts the cancellation of the job.

        Parameters
        ----------
        job : str
            Job's id.
        owner : str
            Name of the entry.
        epoch : int
            Epoch under which it owns the job.
        now_ms : float
            Monotonic time in milliseconds.
        use_reserve : bool
            Whether a new record may use the reserve that starts leave free.

        Returns
        -------
        bool
            False if the epoch is below the lowest accepted one, or if there is no room to record
            it.
        """
        record = self._jobs.get(job)
        if record is None:
            if not self._has_room(2, use_reserve):
                return False
            record = self._jobs[job] = _JobRecord(owner, epoch)
        if epoch < record.epoch:
            return False
        if epoch > record.epoch:
            record.owner, record.epoch, record.cancelled = owner, epoch, False
        self._touch(job, record, now_ms)
        return True

    def begin(self, job: str, attempt_id: AttemptId, now_ms: float) -> None:
        """Record that an attempt starts; the job must have been claimed."""
        record = self._jobs[job]
        record.attempts[attempt_id] = RUNNING
        record.started[attempt_id.task] = attempt_id
        record.running += 1
        self._attempts += 1
        self._touch(job, record, now_ms)

    def refuse(self, job: str, attempt_id: AttemptId, reason: int, now_ms: float) -> Outcome:
        """Record that an unseen attempt must never start and return its outcome."""
        outcome = _TOMBSTONES[reason]
        record = self._jobs.get(job)
        if record is None or not self._has_room(1, use_reserve=True):
            self._overflow_refusals.add((job, attempt_id), now_ms)
            return outcome
        record.attempts[attempt_id] = outcome
        self._attempts += 1
        self._touch(job, record, now_ms)
        return outcome

    def finish(self, job: str, attempt_id: AttemptId, outcome: Outcome, now_ms: float) -> bool:
        """Record the outcome of an attempt; returns False if the attempt is not running."""
        record = self._jobs.get(job)
        if record is None or record.attempts.get(attempt_id) is not RUNNING:
            return False
        record.attempts[attempt_id] = outcome
        record.running -= 1
        if outcome.state == TaskState.NOT_RUN:
            del record.started[attempt_id.task]
        self._touch(job, record, now_ms)
        if outcome.answer is not None:
            self._keep_answer(job, attempt_id, len(outcome.answer), now_ms)
        return True

    def cancel_job(self, job: str) -> None:
        """Refuse further starts in the job's current epoch."""
        record = self._jobs.get(job)
        if record is not None:
            record.cancelled = True

    def expire(self, now_ms: float) -> None:
        """Remove expired answers and jobs; a job with running attempts stays."""
        while self._answers and self._answers[0].until_ms <= now_ms:
            self._drop_oldest_answer()
        oldest_ms = now_ms - self._limits.retention_ms
        while self._jobs:
            job, record = next(iter(self._jobs.items()))
            if record.touched_ms > oldest_ms:
                return
            if record.running:
                self._touch(job, record, now_ms)
                continue
            del self._jobs[job]
            self._attempts -= len(record.attempts)

    # ---- internals ----

    def _has_room(self, count: int, use_reserve: bool = False) -> bool:
        share = 1 + RESERVE_SHARE if use_reserve else 1
        return len(self) + count <= self._limits.records * share

    def _touch(self, job: str, record: _JobRecord, now_ms: float) -> None:
        record.touched_ms = now_ms
        self._jobs.move_to_end(job)

    def _keep_answer(self, job: str, attempt_id: AttemptId, size_bytes: int, now_ms: float) -> None:
        until_ms = now_ms + self._limits.answer_keep_ms
        self._answers.append(_KeptAnswer(job, attempt_id, size_bytes, until_ms))
        self.answer_bytes += size_bytes
        while len(self._answers) > 1 and self.answer_bytes > self._limits.answer_keep_bytes:
            self._drop_oldest_answer()

    def _drop_oldest_answer(self) -> None:
        kept = self._answers.popleft()
        self.answer_bytes -= kept.size_bytes
        record = self._jobs.get(kept.job)
        if record is not None and kept.attempt_id in record.attempts:
            record.attempts[kept.attempt_id] = ANSWER_DROPPED
