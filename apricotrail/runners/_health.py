"""Judges a runner by its recent runs: failures and stalls of different jobs, and slowness."""

from collections import deque
from typing import NamedTuple

from apricotrail.clocks import Clock

__all__ = ["HealthChange", "RunnerHealth"]

# One job that always fails isn't the runner's fault; three different ones in a row are.
UNHEALTHY_AFTER_JOBS = 3
TRIAL_PAUSE_MS = 600.0  # a trial costs its caller a further attempt
RECOVERY_RUNS = 2  # successful trial runs until the runner counts as healthy again
SMOOTHING = 0.25  # weight of the newest run; estimates are off by a factor of several
SLOWNESS_VALID_MS = 4_000.0  # without runs it is unknown again, so that the runner is retried


class HealthChange(NamedTuple):
    """How one run changed the health of its runner.

    Attributes
    ----------
    became_unhealthy, became_healthy : bool
        Whether the runner became unhealthy or healthy with this run.
    """

    became_unhealthy: bool = False
    became_healthy: bool = False


class RunnerHealth:
    """Health and slowness of one runner, derived from its own runs.

    A runner becomes unhealthy when runs of `UNHEALTHY_AFTER_JOBS` different jobs fail in a row. It
    then gets single trial runs, and `RECOVERY_RUNS` successful ones make it healthy again.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.reset()

    def reset(self) -> None:
        """Forget everything, since the runner has booted again."""
        self._failed_jobs: deque[str] = deque(maxlen=UNHEALTHY_AFTER_JOBS)
        self._is_healthy = True
        self._recovery_runs = 0
        self._next_trial_ms = 0.0
        self._slowness = 0.0
        self._slowness_updated_ms = 0.0

    def record_success(self, run_ms: float, estimate_ms: float) -> HealthChange:
        """Record a run that ended as done.

        Parameters
        ----------
        run_ms : float
            Its run time.
        estimate_ms : float
            Its estimated run time, 0 for unknown.
        """
        now_ms = self._clock()
        self._failed_jobs.clear()
        if estimate_ms > 0:
            ratio = run_ms / estimate_ms
            if self._slowness <= 0 or now_ms - self._slowness_updated_ms > SLOWNESS_VALID_MS:
                self._slowness = ratio
            else:
                self._slowness += SMOOTHING * (ratio - self._slowness)
            self._slowness_updated_ms = now_ms
        if self._is_healthy:
            return HealthChange()
        self._recovery_runs += 1
        if self._recovery_runs < RECOVERY_RUNS:
            self._next_trial_ms = now_ms
            return HealthChange()
        self._is_healthy = True
        return HealthChange(became_healthy=True)

    def record_failure(self, job: str) -> HealthChange:
        """Record a run that failed, stalled or was refused by the runner as unhealthy."""
        if job not in self._failed_jobs:
            self._failed_jobs.append(job)
        self._recovery_runs = 0
        if not self._is_healthy:
            self._next_trial_ms = self._clock() + TRIAL_PAUSE_MS
            return HealthChange()
        if len(self._failed_jobs) < UNHEALTHY_AFTER_JOBS:
            return HealthChange()
        self._is_healthy = False
        self._next_trial_ms = self._clock() + TRIAL_PAUSE_MS
        return HealthChange(became_unhealthy=True)

    def record_trial(self) -> None:
        """Record the start of a trial run; the next one may start after a pause."""
        self._next_trial_ms = self._clock() + TRIAL_PAUSE_MS

    def allowed_trials(self) -> int:
        """Return how many runs may start now; -1 for a healthy runner."""
        if self._is_healthy:
            return -1
        return int(self._clock() >= self._next_trial_ms)

    def slowness(self) -> float:
        """Return the smoothed ratio of run time to estimate, 0 for unknown."""
        if self._clock() - self._slowness_updated_ms > SLOWNESS_VALID_MS:
            return 0.0
        return self._slowness
