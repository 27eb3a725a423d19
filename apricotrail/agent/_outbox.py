"""Batches the outcomes of one event loop iteration by receiving entry and job."""

from collections.abc import Callable
from typing import NamedTuple

from apricotrail.agent._records import AttemptId, Outcome
from apricotrail.wire.generated.ttypes import TaskOutcome, TaskState

__all__ = ["Batch", "Outbox", "make_task_outcome"]

MAX_BATCH_BYTES = 4 * 1024 * 1024
MAX_DETAIL_CHARACTERS = 500


class Batch(NamedTuple):
    """Outcomes of one job that go to one entry in one message."""

    receiver: str
    job: str
    outcomes: list[TaskOutcome]


class Outbox:
    """Collects outcomes until the end of the loop iteration.

    Parameters
    ----------
    schedule : callable
        Runs a function in the next loop iteration, like ``loop.call_soon``.
    deliver : callable
        Sends the batches; called with an empty list if a flush was requested without outcomes.
    """

    def __init__(
        self,
        schedule: Callable[[Callable[[], None]], object],
        deliver: Callable[[list[Batch]], None],
    ) -> None:
        self._schedule = schedule
        self._deliver = deliver
        self._scheduled = False
        self._pending: dict[tuple[str, str], list[TaskOutcome]] = {}

    def add(self, receiver: str, job: str, attempt_id: AttemptId, outcome: Outcome) -> None:
        """Add an outcome to the next batch for an entry."""
        message = make_task_outcome(attempt_id, outcome)
        self._pending.setdefault((receiver, job), []).append(message)
        self.request_flush()

    def request_flush(self) -> None:
        """Call `deliver` in the next loop iteration, even without outcomes."""
        if not self._scheduled:
            self._scheduled = True
            self._schedule(self._flush)

    def _flush(self) -> None:
        self._scheduled = False
        pending, self._pending = self._pending, {}
        batches = []
        for (receiver, job), outcomes in pending.items():
            batches += [Batch(receiver, job, part) for part in _split_by_size(outcomes)]
        self._deliver(batches)


def make_task_outcome(attempt_id: AttemptId, outcome: Outcome) -> TaskOutcome:
    """Return an outcome as a message; only a ``DONE`` one carries an answer."""
    answer = outcome.answer if outcome.state == TaskState.DONE else None
    return TaskOutcome(
        task=attempt_id.task,
        attempt=attempt_id.attempt,
        state=outcome.state,
        reason=outcome.reason,
        answer_length=len(answer) if answer is not None else 0,
        answer=answer,
        run_ms=outcome.run_ms,
        detail=outcome.detail[:MAX_DETAIL_CHARACTERS] if outcome.detail else None,
    )


def _split_by_size(outcomes: list[TaskOutcome]) -> list[list[TaskOutcome]]:
    total_bytes = sum(outcome.answer_length for outcome in outcomes)
    if total_bytes <= MAX_BATCH_BYTES:
        return [outcomes]
    parts: list[list[TaskOutcome]] = [[]]
    part_bytes = 0
    for outcome in outcomes:
        if parts[-1] and part_bytes + outcome.answer_length > MAX_BATCH_BYTES:
            parts.append([])
            part_bytes = 0
        parts[-1].append(outcome)
        part_bytes += outcome.answer_length
    return parts
