"""How long tasks of a queue run: callers' estimates, corrected by what was seen."""

from collections import OrderedDict
from math import exp, log

from apricotrail.queues._document import Queue
from apricotrail.queues._jobs import JobRequest, Slack

__all__ = ["RunEstimates"]

SMOOTHING = 0.05  # weight of the newest run; the last 20 or so count
MAX_QUEUES = 1_024
FIRST_RUN_MS = 300.0  # without estimate and experience
LATE_FACTOR = 3.0  # of the objective: up to this a late job is still of use
OVERHEAD_MS = 25.0  # links, orders and the listing of the end


class RunEstimates:
    """Run times by queue, learned from runs that ended done."""

    def __init__(self) -> None:
        self._log_run_ms: OrderedDict[str, float] = OrderedDict()

    def note_run(self, queue: str, run_ms: float) -> None:
        """Take in the run time of one task."""
        value = log(max(1.0, run_ms))
        known = self._log_run_ms.get(queue)
        self._log_run_ms[queue] = value if known is None else known + SMOOTHING * (value - known)
        self._log_run_ms.move_to_end(queue)
        while len(self._log_run_ms) > MAX_QUEUES:
            self._log_run_ms.popitem(last=False)

    def estimate_ms(self, queue: str, estimate_ms: float) -> float:
        """Return the expected run time of a task, given the caller's estimate (0 for none).

        Callers' estimates are off by a factor either way, and tasks of one queue differ: the
        geometric mean of both is nearer than either.
        """
        known = self._log_run_ms.get(queue)
        if known is None:
            return estimate_ms or FIRST_RUN_MS
        if estimate_ms <= 0:
            return exp(known)
        return exp((known + log(estimate_ms)) / 2)

    def find_slack(self, request: JobRequest, queue: Queue) -> Slack:
        """Return how long a job's tasks may wait for their start."""
        chain_ms = self._measure_chain(request, queue)
        objective_ms = queue.slack * chain_ms + queue.objective_ms
        used_ms = chain_ms + OVERHEAD_MS
        return Slack(objective_ms - used_ms, LATE_FACTOR * objective_ms - used_ms, chain_ms)

    def _measure_chain(self, request: JobRequest, queue: Queue) -> float:
        """Return the expected time of the longest chain of dependent steps."""
        chains: list[float] = []
        for step in request.steps:
            before_ms = max((chains[number] for number in step.depends_on), default=0.0)
            chains.append(before_ms + self.estimate_ms(queue.name, step.estimate_ms))
        return max(chains)
