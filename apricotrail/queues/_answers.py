"""Final answers that are kept for callers who send a job again."""

from collections import OrderedDict
from typing import NamedTuple

from apricotrail.queues._jobs import JobAnswer

__all__ = ["KeptAnswers"]

MAX_ANSWERS = 4_096
ANSWER_KEPT_MS = 30_000.0  # above the seconds after which a caller may send a job again


class _Kept(NamedTuple):
    at_ms: float
    answer: JobAnswer


class KeptAnswers:
    """Answers by job id, the oldest forgotten first."""

    def __init__(self) -> None:
        self._kept: OrderedDict[str, _Kept] = OrderedDict()

    def keep(self, job_id: str, answer: JobAnswer, now_ms: float) -> None:
        """Keep an answer for a while."""
        self._kept[job_id] = _Kept(now_ms, answer)

    def find(self, job_id: str) -> JobAnswer | None:
        """Return the answer of a job, if it is still known."""
        kept = self._kept.get(job_id)
        return kept.answer if kept is not None else None

    def forget_old(self, now_ms: float) -> None:
        """Forget answers that are old, and the oldest of too many."""
        while self._kept:
            job_id, kept = next(iter(self._kept.items()))
            if now_ms - kept.at_ms < ANSWER_KEPT_MS and len(self._kept) <= MAX_ANSWERS:
                return
            del self._kept[job_id]
