"""What a dispatcher knows of the runners: room, health and the starts that no report holds yet."""

from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from statistics import median

from apricotrail.clocks import Clock
from apricotrail.queues._jobs import Step, Task
from apricotrail.wire.generated.ttypes import RunnerLoad

__all__ = ["RunnerBoard", "RunnerView"]

LOAD_STALE_MS = 450  # two reports of 200 ms missed and some delay
SAMPLE = 3  # "The power of two choices", Mitzenmacher 2001; one more as reports lag
SLOW_FACTOR = 2.2  # sound runners differ by 1.6 from slowest to fastest
NEXT_END_MS = 10.0  # reports are older than that: nothing starts sooner at a full runner
LEAST_SPACING_MS = 5.0
WAIT_JITTER_MS = 15.0  # dispatchers that read the same reports choose different runners


class RunnerView:
    """One runner as this dispatcher sees it.

    Parameters
    ----------
    agent : str
        Name of its agent.
    """

    def __init__(self, agent: str) -> None:
        self.agent = agent
        self.load: RunnerLoad | None = None
        self.heard_ms = 0.0
        self.beat_ms = 0.0
        self.sent = 0
        self._unreported: deque[tuple[int, int, int]] = deque()
        self._unreported_cpu = 0
        self._unreported_memory = 0

    def note_load(self, load: RunnerLoad, now_ms: float) -> None:
        """Take in a report."""
        self.load = load
        self.heard_ms = now_ms
        while self._unreported and self._unreported[0][0] <= load.received:
            _, cpu, memory = self._unreported.popleft()
            self._unreported_cpu -= cpu
            self._unreported_memory -= memory

    def note_sent(self, step: Step) -> None:
        """Count a start that no report holds yet."""
        self.sent += 1
        self._unreported.append((self.sent, step.cpu_millis, step.memory_mb))
        self._unreported_cpu += step.cpu_millis
        self._unreported_memory += step.memory_mb

    def free_cpu(self) -> int:
        """Return the free room in thousandths of a core; negative with a queue."""
        return self.load.free_cpu_millis - self._unreported_cpu

    def free_memory(self) -> int:
        """Return the free memory in MB; negative with a queue."""
        return self.load.free_memory_mb - self._unreported_memory

    def has_room(self, step: Step) -> bool:
        """Return whether a task would start at once."""
        return self.free_cpu() >= step.cpu_millis and self.free_memory() >= step.memory_mb

    def wait_ms(self, step: Step, is_urgent: bool) -> float:
        """Return the expected wait until a task would start."""
        return 0.0 if self.has_room(step) else self.full_wait_ms(is_urgent)

    def full_wait_ms(self, is_urgent: bool) -> float:
        """Return the wait at a full runner; starts that no report holds yet are ahead."""
        load = self.load
        known_ms = load.urgent_start_ms if is_urgent else load.next_start_ms
        ahead = max(0, len(self._unreported))
        return max(NEXT_END_MS, known_ms or 0) + ahead * self.spacing_ms()

    def spacing_ms(self) -> float:
        """Return the time between two starts while the runner is full."""
        return max(LEAST_SPACING_MS, self.load.start_spacing_ms or 0)

    def trials(self) -> int:
        """Return how many runs an unhealthy runner may still take; -1 for a healthy one."""
        allowed = self.load.trial_runs
        return allowed if allowed < 0 else max(0, allowed - len(self._unreported))


class RunnerBoard:
    """All runners known to one dispatcher.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    random : Random
        Source of samples.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self.views: dict[str, RunnerView] = {}

    def add(self, agent: str) -> RunnerView:
        """Begin a new view of an agent's runner, as on a new link."""
        view = self.views[agent] = RunnerView(agent)
        return view

    def remove(self, agent: str) -> None:
        """Forget an agent whose link was lost."""
        self.views.pop(agent, None)

    def list_usable(self, pool: str) -> list[RunnerView]:
        """Return the runners of a pool that take work, by fresh reports."""
        now_ms = self._clock()
        return [
            view
            for view in self.views.values()
            if view.load is not None
            and view.load.pool == pool
            and view.load.accepting
            and now_ms - view.heard_ms < LOAD_STALE_MS
        ]

    def is_complete(self, pool: str) -> bool:
        """Return whether runners of a pool are usable and every linked agent knows its runner."""
        unknown = [it for it in self.views.values() if it.load is None or not it.load.runner]
        return not unknown and bool(self.list_usable(pool))

    def choose(
        self,
        usable: list[RunnerView],
        step: Step,
        task: Task,
        is_allowed: Callable[[str], bool],
        is_urgent: bool = False,
    ) -> RunnerView | None:
        """Return the runner for a task, or None if none can take it now.

        Parameters
        ----------
        usable : list of RunnerView
            As returned by `list_usable`.
        step, task : Step, Task
            What is placed; runners in ``task.avoid`` come last.
        is_allowed : callable
            Whether another task of the step may go to the runner of an agent.
        is_urgent : bool
            Whether the task is due soon and so overtakes others.
        """
        fitting = [view for view in usable if _fits(view, step) and is_allowed(view.agent)]
        sound = self._list_sound(fitting)
        for group in (
            [view for view in sound if view.agent not in task.avoid],
            sound,
            [view for view in fitting if view.trials() != 0],
        ):
            if group:
                return self._choose_among(group, step, is_urgent)
        return None

    def find_trial(self, usable: list[RunnerView], step: Step) -> RunnerView | None:
        """Return an unhealthy runner that may take a trial run now, or None."""
        for view in usable:
            if view.trials() > 0 and _fits(view, step) and view.has_room(step):
                return view
        return None

    def _list_sound(self, views: list[RunnerView]) -> list[RunnerView]:
        known = [view.load.slowness for view in views if view.load.slowness > 0]
        usual = median(known) if known else 0.0
        return [
            view
            for view in views
            if view.trials() < 0 and not (usual and view.load.slowness > usual * SLOW_FACTOR)
        ]

    def _choose_among(self, views: list[RunnerView], step: Step, is_urgent: bool) -> RunnerView:
        with_room = [view for view in views if view.has_room(step)]
        if not with_room:
            jitter = self._random.uniform
            return min(
                views, key=lambda it: it.wait_ms(step, is_urgent) + jitter(0.0, WAIT_JITTER_MS)
            )
        near = [view for view in with_room if step.near and step.near in (view.load.labels or ())]
        sample = near or with_room
        if len(sample) > SAMPLE:
            sample = self._random.sample(sample, SAMPLE)
        return max(sample, key=_rate_room)


def _fits(view: RunnerView, step: Step) -> bool:
    load = view.load
    if load.cpu_millis < step.cpu_millis or load.memory_mb < step.memory_mb:
        return False
    return not step.label or step.label in (load.labels or ())


def _rate_room(view: RunnerView) -> float:
    share = view.free_cpu() / max(1, view.load.cpu_millis)
    return share / view.load.slowness if view.load.slowness > 0 else share


def sum_free_cpu(views: Iterable[RunnerView]) -> int:
    """Return the free room of several runners in thousandths of a core, queues taken off."""
    return sum(view.free_cpu() for view in views)
