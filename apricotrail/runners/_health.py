"""How a runner has done lately: failures of different jobs in a row, stalls, and its speed."""

from collections import deque
from typing import NamedTuple

from apricotrail.clocks import Clock

__all__ = ["HealthChange", "RunnerHealth"]

BAD_JOBS = 3  # one hopeless job is not the runner's fault; three different ones in a row are
TRIAL_PAUSE_MS = 600.0  # a trial costs its caller a further attempt
SOUND_RUNS = 2  # good trial runs until the runner is trusted again
SMOOTHING = 0.25  # weight of the newest run; estimates are off by a factor of several
SPEED_KEPT_MS = 4_000.0  # without runs the speed is unknown again, so that it is tried again


class HealthChange(NamedTuple):
    """What one run changed.

    Attributes
    ----------
    became_unhealthy, became_healthy : bool
        Whether the judgement changed with it.
    """

    became_unhealthy: bool = False
    became_healthy: bool = False


class RunnerHealth:
    """Judgement of one runner by its own runs.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.reset()

    def reset(self) -> None:
        """Know nothing, as of a new boot."""
        self._bad_jobs: deque[str] = deque(maxlen=BAD_JOBS)
        self._is_healthy = True
        self._sound_runs = 0
        self._next_trial_ms = 0.0
        self._slowness = 0.0
        self._measured_ms = 0.0

    def note_good(self, run_ms: float, estimate_ms: float) -> HealthChange:
        """Count a run that ended done."""
        now_ms = self._clock()
        self._bad_jobs.clear()
        if estimate_ms > 0:
            ratio = run_ms / estimate_ms
            if self._slowness <= 0 or now_ms - self._measured_ms > SPEED_KEPT_MS:
                self._slowness = ratio
            else:
                self._slowness += SMOOTHING * (ratio - self._slowness)
            self._measured_ms = now_ms
        if self._is_healthy:
            return HealthChange()
        self._sound_runs += 1
        if self._sound_runs < SOUND_RUNS:
            self._next_trial_ms = now_ms
            return HealthChange()
        self._is_healthy = True
        return HealthChange(became_healthy=True)

    def note_bad(self, job: str) -> HealthChange:
        """Count a run that failed, stalled or was turned away."""
        if job not in self._bad_jobs:
            self._bad_jobs.append(job)
        self._sound_runs = 0
        if not self._is_healthy:
            self._next_trial_ms = self._clock() + TRIAL_PAUSE_MS
            return HealthChange()
        if len(self._bad_jobs) < BAD_JOBS:
            return HealthChange()
        self._is_healthy = False
        self._next_trial_ms = self._clock() + TRIAL_PAUSE_MS
        return HealthChange(became_unhealthy=True)

    def note_trial(self) -> None:
        """Count a trial run that was let in; the next one has to wait."""
        self._next_trial_ms = self._clock() + TRIAL_PAUSE_MS

    def trials(self) -> int:
        """Return how many runs may start now; -1 for a healthy runner."""
        if self._is_healthy:
            return -1
        return int(self._clock() >= self._next_trial_ms)

    def slowness(self) -> float:
        """Return the smoothed run time over estimate, 0 for unknown."""
        if self._clock() - self._measured_ms > SPEED_KEPT_MS:
            return 0.0
        return self._slowness
