"""What a dispatcher knows of the runners, and its choice of the runner for a task.

Each agent reports the capacity and health of its runner. Starts that were sent since, which no
report includes yet, are subtracted.
"""

from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from statistics import median

from apricotrail.clocks import Clock
from apricotrail.queues._jobs import Step, Task
from apricotrail.wire.generated.ttypes import RunnerLoad

__all__ = ["RunnerRegistry", "RunnerStatus", "fits", "sum_free_cpu"]

LOAD_STALE_MS = 450  # two reports, sent every 200 ms, were missed; the rest allows for delays
# Runners compared for a task: two, after Mitzenmacher, "The power of two choices", 2001, and one
# more as reports lag.
SAMPLE_SIZE = 3
# A runner is slow from this multiple of the median slowness on; healthy runners differ by a factor
# of 1.6 from slowest to fastest.
SLOW_FACTOR = 2.2
MIN_FULL_WAIT_MS = 10.0  # shortest wait expected at a full runner, as reports are older than that
MIN_SPACING_MS = 5.0  # shortest time expected between two starts at a full runner
# Share of the runners that suspects may take from other tasks: by running there alone, or by having
# crashed them. At least one runner.
MAX_ISOLATING_SHARE = 0.25
UNREPORTED_RUN_MS = 400.0  # expected run time of an isolated start that no report includes yet
WAIT_JITTER_MS = 15.0  # lets dispatchers with the same reports choose different runners


class RunnerStatus:
    """One runner: its agent's last report and the starts sent since.

    The methods about capacity, waits and trials need a report.

    Parameters
    ----------
    agent : str
        Name of its agent.

    Attributes
    ----------
    load : RunnerLoad or None
        Last report, None before the first.
    reported_ms : float
        When the report came, on the dispatcher's clock.
    heartbeat_ms : float
        When the agent's last heartbeat came, on the dispatcher's clock, 0 before the first.
    used_ms : float
        When the last start was sent or the last outcome came, on the dispatcher's clock.
    is_retiring : bool
        Whether the link is to be closed, so that no more tasks are placed here.
    starts_sent : int
        Starts sent or claimed on the present link. The report's ``received`` counts those among
        them that the agent has received.
    """

    def __init__(self, agent: str) -> None:
        self.agent = agent
        self.load: RunnerLoad | None = None
        self.reported_ms = 0.0
        self.heartbeat_ms = 0.0
        self.used_ms = 0.0
        self.is_retiring = False
        self.starts_sent = 0
        # Starts that no report includes: number on the link, CPU in thousandths of a core, MB, and
        # whether the start is isolated.
        self._unreported: deque[tuple[int, int, int, bool]] = deque()
        self._unreported_cpu = 0
        self._unreported_memory = 0

    def note_report(self, load: RunnerLoad, now_ms: float) -> None:
        """Store a report, and stop counting the starts that it includes."""
        self.load = load
        self.reported_ms = now_ms
        while self._unreported and self._unreported[0][0] <= load.received:
            _, cpu, memory, _ = self._unreported.popleft()
            self._unreported_cpu -= cpu
            self._unreported_memory -= memory

    def note_sent(self, step: Step, is_isolated: bool = False) -> None:
        """Count a sent start against the capacity until a report includes it."""
        self.starts_sent += 1
        self._unreported.append((self.starts_sent, step.cpu_millis, step.memory_mb, is_isolated))
        self._unreported_cpu += step.cpu_millis
        self._unreported_memory += step.memory_mb

    def free_cpu(self) -> int:
        """Return the free CPU in thousandths of a core; negative if more is queued than is free."""
        return self.load.free_cpu_millis - self._unreported_cpu

    def free_memory(self) -> int:
        """Return the free memory in MB; negative if more is queued than is free."""
        return self.load.free_memory_mb - self._unreported_memory

    def has_capacity(self, step: Step) -> bool:
        """Return whether a task would start without being queued."""
        return self.free_cpu() >= step.cpu_millis and self.free_memory() >= step.memory_mb

    def wait_ms(self, step: Step, is_urgent: bool) -> float:
        """Return the expected wait until a task would start, 0 if there is capacity for it.

        An urgent task overtakes the others that are queued.
        """
        return 0.0 if self.has_capacity(step) else self.queue_wait_ms(is_urgent)

    def queue_wait_ms(self, is_urgent: bool) -> float:
        """Return the expected wait in the queue of a full runner.

        An urgent task waits behind the urgent runs of the report only. Starts that no report
        includes yet count as ahead of it in the queue.
        """
        load = self.load
        known_ms = load.urgent_start_ms if is_urgent else load.next_start_ms
        ahead = max(0, len(self._unreported))
        return max(MIN_FULL_WAIT_MS, known_ms or 0) + ahead * self.spacing_ms()

    def spacing_ms(self) -> float:
        """Return the predicted time between two starts while the runner is full."""
        return max(MIN_SPACING_MS, self.load.start_spacing_ms or 0)

    def is_isolating(self) -> bool:
        """Return whether an isolated run is there or on its way, so that others wait."""
        return bool(self.load.isolated_runs) or any(isolated for *_, isolated in self._unreported)

    def idle_ms(self) -> float:
        """Return the expected wait until one more isolated run would start."""
        return (self.load.idle_ms or 0) + UNREPORTED_RUN_MS * len(self._unreported)

    def trials_left(self) -> int:
        """Return how many trial runs an unhealthy runner may still take; -1 for a healthy one.

        Trial runs show whether an unhealthy runner has recovered.
        """
        allowed = self.load.trial_runs
        return allowed if allowed < 0 else max(0, allowed - len(self._unreported))


class RunnerRegistry:
    """All runners known to one dispatcher.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    random : Random
        Source of the samples and the jitter in `choose`.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self.by_agent: dict[str, RunnerStatus] = {}

    def add(self, agent: str) -> RunnerStatus:
        """Add the runner of a newly linked agent, without a report; replaces an earlier one."""
        runner = self.by_agent[agent] = RunnerStatus(agent)
        return runner

    def remove(self, agent: str) -> None:
        """Forget an agent whose link was lost."""
        self.by_agent.pop(agent, None)

    def list_usable(self, pool: str) -> list[RunnerStatus]:
        """Return the runners of a pool that accept work and whose last report is recent.

        Those whose link is about to be closed are left out, and those with isolated runs if there
        are others.
        """
        accepting = self._list_accepting(pool)
        return [runner for runner in accepting if not runner.is_isolating()] or accepting

    def _list_accepting(self, pool: str) -> list[RunnerStatus]:
        now_ms = self._clock()
        return [
            runner
            for runner in self.by_agent.values()
            if runner.load is not None
            and runner.load.pool == pool
            and runner.load.accepting
            and not runner.is_retiring
            and now_ms - runner.reported_ms < LOAD_STALE_MS
        ]

    def is_complete(self, pool: str) -> bool:
        """Return whether a pool has usable runners and every linked agent has named its runner.

        For some hundred ms after a start or a pause that may not be so, and jobs wait for a runner
        rather than being refused at once.
        """
        unknown = [it for it in self.by_agent.values() if it.load is None or not it.load.runner]
        return not unknown and bool(self.list_usable(pool))

    def choose(
        self,
        usable: list[RunnerStatus],
        step: Step,
        task: Task,
        is_allowed: Callable[[str], bool],
        is_urgent: bool = False,
    ) -> RunnerStatus | None:
        """Return the runner for a task, or None if none can take it now.

        Healthy runners of usual speed come first, then slow ones and trials at unhealthy ones.
        Among those with capacity, if possible with the label ``step.preferred_label``, a sample is
        compared by free CPU and speed. If none has capacity, the one with the shortest wait is
        chosen.

        Parameters
        ----------
        usable : list of RunnerStatus
            As returned by `list_usable`.
        step, task : Step, Task
            What is placed; agents in ``task.avoid``, where earlier runs of the task did not
            succeed, come after the others of usual speed.
        is_allowed : callable
            ``is_allowed(agent)`` tells whether another task of the step may go to that runner.
        is_urgent : bool
            Whether the task is due soon and so overtakes less urgent ones in the queue.
        """
        fitting = [runner for runner in usable if fits(runner, step) and is_allowed(runner.agent)]
        preferred = self._list_preferred(fitting)
        for group in (
            [runner for runner in preferred if runner.agent not in task.avoid],
            preferred,
            [runner for runner in fitting if runner.trials_left() != 0],
        ):
            if group:
                return self._choose_among(group, step, is_urgent)
        return None

    def choose_isolated(
        self,
        pool: str,
        step: Step,
        task: Task,
        is_allowed: Callable[[str], bool],
        down: list[str],
    ) -> RunnerStatus | None:
        """Return the runner for a task that must run alone, or None if it has to wait.

        The healthy runner that is idle soonest is chosen, if possible not one in ``task.avoid``.
        No further runner is kept from other tasks for it while `MAX_ISOLATING_SHARE` of the pool
        are, counting those of the agents in `down`, which have crashed: the task may crash this
        one, too. The other parameters are those of `choose`.
        """
        healthy = [
            runner
            for runner in self._list_accepting(pool)
            if runner.trials_left() < 0 and fits(runner, step) and is_allowed(runner.agent)
        ]
        isolating = [runner for runner in healthy if runner.is_isolating()]
        down_count = sum(self._is_in_pool(agent, pool) for agent in down)
        limit = max(1, int(MAX_ISOLATING_SHARE * (len(healthy) + down_count)))
        is_limited = len(isolating) + down_count >= limit
        candidates = isolating if is_limited else healthy
        elsewhere = [runner for runner in candidates if runner.agent not in task.avoid]
        return min(elsewhere or candidates, key=lambda it: it.idle_ms(), default=None)

    def _is_in_pool(self, agent: str, pool: str) -> bool:
        runner = self.by_agent.get(agent)
        return runner is not None and runner.load is not None and runner.load.pool == pool

    def find_trial_runner(
        self, usable: list[RunnerStatus], step: Step, is_allowed: Callable[[str], bool]
    ) -> RunnerStatus | None:
        """Return an unhealthy runner with capacity that may take a trial run now, or None."""
        for runner in usable:
            may_try = runner.trials_left() > 0 and is_allowed(runner.agent)
            if may_try and fits(runner, step) and runner.has_capacity(step):
                return runner
        return None

    def _list_preferred(self, runners: list[RunnerStatus]) -> list[RunnerStatus]:
        """Return the healthy runners that are not slow; unknown slowness does not count as slow."""
        known = [runner.load.slowness for runner in runners if runner.load.slowness > 0]
        typical = median(known) if known else 0.0
        return [
            runner
            for runner in runners
            if runner.trials_left() < 0
            and not (typical and runner.load.slowness > typical * SLOW_FACTOR)
        ]

    def _choose_among(
        self, runners: list[RunnerStatus], step: Step, is_urgent: bool
    ) -> RunnerStatus:
        with_capacity = [runner for runner in runners if runner.has_capacity(step)]
        if not with_capacity:
            jitter = self._random.uniform
            return min(
                runners, key=lambda it: it.wait_ms(step, is_urgent) + jitter(0.0, WAIT_JITTER_MS)
            )
        near = [
            runner
            for runner in with_capacity
            if step.preferred_label and step.preferred_label in (runner.load.labels or ())
        ]
        sample = near or with_capacity
        if len(sample) > SAMPLE_SIZE:
            sample = self._random.sample(sample, SAMPLE_SIZE)
        return max(sample, key=_rate_free_capacity)


def fits(runner: RunnerStatus, step: Step) -> bool:
    """Return whether a task of `step` fits the whole capacity and the labels of a runner."""
    load = runner.load
    if load.cpu_millis < step.cpu_millis or load.memory_mb < step.memory_mb:
        return False
    return not step.label or step.label in (load.labels or ())


def _rate_free_capacity(runner: RunnerStatus) -> float:
    """Return the free share of the CPU, divided by the runner's slowness if that is known."""
    share = runner.free_cpu() / max(1, runner.load.cpu_millis)
    return share / runner.load.slowness if runner.load.slowness > 0 else share


def sum_free_cpu(runners: Iterable[RunnerStatus]) -> int:
    """Return the free CPU of all `runners` in thousandths of a core, less what is queued there."""
    return sum(runner.free_cpu() for runner in runners)
