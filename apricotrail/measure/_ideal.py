"""Bounds that no dispatcher can beat, computed from task sizes and slots in service."""

from collections.abc import Sequence
from typing import NamedTuple

from apricotrail.measure._load import JobSpec

__all__ = ["SlotChange", "ideal_response_ms", "ideal_work_ms"]


class SlotChange(NamedTuple):
    """Number of slots in service from a moment on.

    Attributes
    ----------
    at_ms : float
        Moment after the start of the load.
    slots : int
        Slots in service from then on.
    """

    at_ms: float
    slots: int


def ideal_response_ms(run_ms: Sequence[float], slots: int) -> float:
    """Return a lower bound of a job's response time on `slots` empty slots.

    The bound is the larger of the longest task and the evenly divided work; it holds for any order
    of tasks and counts no network at all.

    Examples
    --------
    >>> ideal_response_ms([100.0, 300.0], slots=88)
    300.0
    >>> ideal_response_ms([100.0] * 176, slots=88)
    200.0
    """
    if not run_ms:
        return 0.0
    return max(max(run_ms), sum(run_ms) / max(1, slots))


def ideal_work_ms(jobs: Sequence[JobSpec], slots: Sequence[SlotChange], end_ms: float) -> float:
    """Return the most work that could be done by `end_ms`, in slot-milliseconds.

    Work is treated as a fluid that keeps every slot busy while any of it waits.

    Examples
    --------
    >>> ideal_work_ms([], [SlotChange(0.0, 8)], 1_000.0)
    0.0
    """
    moments = sorted(
        {0.0, end_ms}
        | {job.at_ms for job in jobs if job.at_ms < end_ms}
        | {change.at_ms for change in slots if 0 < change.at_ms < end_ms}
    )
    arrived = dict.fromkeys(moments, 0.0)
    for job in jobs:
        if job.at_ms < end_ms:
            arrived[job.at_ms] += sum(task.run_ms for task in job.tasks)
    waiting = done = 0.0
    for start_ms, stop_ms in zip(moments, moments[1:], strict=False):
        waiting += arrived[start_ms]
        capacity = _slots_at(slots, start_ms) * (stop_ms - start_ms)
        part = min(waiting, capacity)
        waiting -= part
        done += part
    return done


def _slots_at(slots: Sequence[SlotChange], at_ms: float) -> int:
    present = 0
    for change in slots:
        if change.at_ms <= at_ms:
            present = change.slots
    return present
