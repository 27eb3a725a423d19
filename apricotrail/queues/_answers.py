"""Cache of final answers, so that an answered job that is sent again is not run again."""

from collections import OrderedDict
from typing import NamedTuple

from apricotrail.queues._jobs import JobAnswer

__all__ = ["AnswerCache"]

MAX_ANSWERS = 4_096
# Longer than the seconds after which a caller may send a job again, so that the answer is found.
ANSWER_RETENTION_MS = 30_000.0


class _CachedAnswer(NamedTuple):
    stored_ms: float
    answer: JobAnswer


class AnswerCache:
    """Answers by job id; the oldest are evicted first.

    Times are in milliseconds on one monotonic clock.
    """

    def __init__(self) -> None:
        self._by_job_id: OrderedDict[str, _CachedAnswer] = OrderedDict()

    def store(self, job_id: str, answer: JobAnswer, now_ms: float) -> None:
        """Store an answer until `evict` drops it."""
        self._by_job_id[job_id] = _CachedAnswer(now_ms, answer)

    def find(self, job_id: str) -> JobAnswer | None:
        """Return the answer to a job, None if it is unknown or was evicted."""
        cached = self._by_job_id.get(job_id)
        return cached.answer if cached is not None else None

    def evict(self, now_ms: float) -> None:
        """Drop answers older than `ANSWER_RETENTION_MS`, and the oldest beyond `MAX_ANSWERS`."""
        while self._by_job_id:
            job_id, cached = next(iter(self._by_job_id.items()))
            if (
                now_ms - cached.stored_ms < ANSWER_RETENTION_MS
                and len(self._by_job_id) <= MAX_ANSWERS
            ):
                return
            del self._by_job_id[job_id]
