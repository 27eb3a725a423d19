"""Expected run times of tasks by queue: callers' estimates, corrected by observed run times."""

from collections import OrderedDict
from math import exp, log

from apricotrail.queues._document import Queue
from apricotrail.queues._jobs import JobRequest, Slack

__all__ = ["RunEstimates"]

SMOOTHING = 0.05  # weight of the newest run: an average over about the last 20
MAX_QUEUES = 1_024
DEFAULT_RUN_MS = 300.0  # with neither an estimate nor an observed run
LATE_FACTOR = 3.0  # multiple of the objective up to which a late job is still of use
MAX_SPAN_MS = 2.0**29  # longest estimate; its multiples fit the messages' 32-bit fields
OVERHEAD_MS = 25.0  # links, start messages, and the runner's report that a run has ended


class RunEstimates:
    """Average run times by queue, learned from runs that ended as done.

    The logarithms are averaged, so the average is a geometric mean.
    """

    def __init__(self) -> None:
        self._mean_log_run_ms: OrderedDict[str, float] = OrderedDict()

    def note_run(self, queue: str, run_ms: float) -> None:
        """Add the run time of one task to the average of its queue."""
        value = log(max(1.0, run_ms))
        known = self._mean_log_run_ms.get(queue)
        self._mean_log_run_ms[queue] = (
            value if known is None else known + SMOOTHING * (value - known)
        )
        self._mean_log_run_ms.move_to_end(queue)
        while len(self._mean_log_run_ms) > MAX_QUEUES:
            self._mean_log_run_ms.popitem(last=False)

    def estimate_ms(self, queue: str, estimate_ms: float) -> float:
        """Return the expected run time of a task, given the caller's estimate (0 for none).

        Callers' estimates are off by a factor either way, and tasks of one queue differ: the
        geometric mean of both is nearer than either.
        """
        known = self._mean_log_run_ms.get(queue)
        if known is None:
            return min(estimate_ms or DEFAULT_RUN_MS, MAX_SPAN_MS)
        if estimate_ms <= 0:
            return min(exp(known), MAX_SPAN_MS)
        return min(exp((known + log(estimate_ms)) / 2), MAX_SPAN_MS)

    def compute_slack(self, request: JobRequest, queue: Queue) -> Slack:
        """Return how long a job's tasks may wait for their start, counted from its receipt."""
        critical_path_ms = self._estimate_critical_path_ms(request, queue)
        objective_ms = min(queue.slack * critical_path_ms + queue.objective_ms, MAX_SPAN_MS)
        used_ms = critical_path_ms + OVERHEAD_MS
        return Slack(objective_ms - used_ms, LATE_FACTOR * objective_ms - used_ms, critical_path_ms)

    def _estimate_critical_path_ms(self, request: JobRequest, queue: Queue) -> float:
        """Return the expected run time of the longest chain of dependent steps."""
        paths_ms: list[float] = []
        for step in request.steps:
            before_ms = max((paths_ms[number] for number in step.depends_on), default=0.0)
            paths_ms.append(before_ms + self.estimate_ms(queue.name, step.estimate_ms))
        return min(max(paths_ms), MAX_SPAN_MS)
