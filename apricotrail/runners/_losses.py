"""Records which runs were at a runner when it was lost, so that dispatchers can find the cause.

A task may crash each runner that starts it. Only the agents see all runs of a runner, whichever
dispatcher ordered them, so they tell every linked dispatcher about each loss.
"""

from collections import deque
from collections.abc import Callable

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._runs import Run
from apricotrail.wire import bound_i32
from apricotrail.wire.generated.ttypes import LostRun, RunnerLost

__all__ = ["RunnerLosses"]

MAX_LOSSES = 32  # a runner that crashes is away for seconds
DOWN_AFTER_REFUSALS = 2  # a connection that is reset breaks one call, the next one opens another
KEPT_MS = 60_000.0  # longer than a job waits for its answer

RUNNER_LOST = declare_event(
    11011,
    "runner_lost",
    Level.WARNING,
    "The runner crashed or was unreachable for a whole lease, and its runs are lost. Each run is "
    "named with its number and the time in ms from the order of its start until the runner was "
    "lost.",
)


class RunnerLosses:
    """Losses of one runner: evidence while its calls fail, and what was lost.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.

    Attributes
    ----------
    announce : callable
        ``announce(lost)`` sends a `RunnerLost` to all linked dispatchers.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.announce: Callable[[RunnerLost], None] = lambda lost: None
        self._refused_since_ms: float | None = None
        self._refusals = 0
        self._recent: deque[tuple[float, RunnerLost]] = deque(maxlen=MAX_LOSSES)

    def note_refused_call(self) -> None:
        """Record that the runner refused or broke a call, so that it may be down."""
        self._refusals += 1
        if self._refused_since_ms is None:
            self._refused_since_ms = self._clock()

    @property
    def is_down(self) -> bool:
        """Whether the runner refuses all calls, so that it is probably down."""
        return self._refusals >= DOWN_AFTER_REFUSALS

    def note_answer(self) -> None:
        """Record that the runner answered a call."""
        self._refusals = 0
        self._refused_since_ms = None

    def note_boot(self, boot: int) -> None:
        """Forget losses of the boot that answers now: the runner was only out of reach."""
        if self._recent and self._recent[-1][1].boot == boot:
            kept = [(at_ms, lost) for at_ms, lost in self._recent if lost.boot != boot]
            self._recent = deque(kept, maxlen=MAX_LOSSES)

    def record(self, boot: int, runs: list[Run], heard_ms: float, is_down: bool = False) -> None:
        """Record and announce that `runs` were lost with a boot of the runner.

        Parameters
        ----------
        boot : int
            The boot of the runner that was lost.
        runs : list of Run
            Runs that may have been running there.
        heard_ms : float
            When the runner was last heard, if no call has been refused since.
        is_down : bool
            Whether it is certain that the runner is down, even if no call has been refused.
        """
        now_ms = self._clock()
        refused_ms = self._refused_since_ms if self.is_down else None
        self._refused_since_ms = None
        lost_ms = heard_ms if refused_ms is None else refused_ms
        # A run that was ordered after the runner had refused a call can't be the cause.
        present = [run for run in runs if refused_ms is None or run.ordered_ms <= refused_ms]
        if not present:
            return
        lost = RunnerLost(
            boot,
            [
                LostRun(*run.key, _find_running_ms(run, lost_ms), len(present) == 1)
                for run in present
            ],
            is_down or refused_ms is not None,
            0,
        )
        self._recent.append((now_ms, lost))
        emit(
            RUNNER_LOST,
            boot=boot,
            is_down=lost.is_down,
            lost_ms_ago=round(now_ms - lost_ms),
            runs=[[run.task, run.run, run.running_ms] for run in lost.runs],
        )
        self.announce(lost)

    def list_recent(self) -> list[RunnerLost]:
        """Return the recent losses with their age, for a dispatcher that is linked now."""
        now_ms = self._clock()
        return [
            RunnerLost(lost.boot, lost.runs, lost.is_down, bound_i32(now_ms - recorded_ms))
            for recorded_ms, lost in self._recent
            if now_ms - recorded_ms < KEPT_MS
        ]


def _find_running_ms(run: Run, lost_ms: float) -> int:
    """Return the time from the order of a run until it was lost.

    A run that the agent found at its runner was ordered by a former agent, before it was found.
    """
    return bound_i32(max(0.0, lost_ms - (run.ordered_ms or run.received_ms)))
