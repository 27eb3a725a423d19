"""Finds tasks that crash the runners that start them, and decides where they may start again.

A task may crash each runner that starts it, and every crash takes the other runs of the runner
along. Which of them was the cause isn't known after one crash. It becomes known by starting the
suspects where nothing else runs: a task that is done there is cleared, and one that loses its
runner again is given up. Tasks that only ran beside it start again at once, like any lost run.

All dispatchers hear of all crashes of their agents, so a job that is sent again through another one
keeps what is known of its tasks.
"""

from collections import OrderedDict
from enum import StrEnum
from math import inf
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.wire.generated.ttypes import RunnerLost

__all__ = ["CrashHistory", "Restart"]

# A run that had been ordered for longer when its runner was lost is not suspected at its first
# crash. Covers the start call, and the hold call that finds the runner refusing, on a slow machine.
SUSPECT_MS = 50
GIVE_UP_CRASHES = 2
MAX_CRASHES = 3  # a task is never started again after so many, whether they are confirmed or not
DOWN_MS = 5_000.0  # a runner that is away for longer may never come back
KEPT_MS = 60_000.0  # longer than a job waits for its answer
MAX_JOBS = 4_096


class Restart(StrEnum):
    """What may be done with a waiting task.

    `ISOLATED` means where nothing else runs. `LATER` means not before it is known whether the
    runners that it lost have crashed: one that was only cut off comes back with the same boot.
    """

    ANYWHERE = "anywhere"
    ISOLATED = "isolated"
    LATER = "later"
    NEVER = "never"


class _Crash:
    """One loss of a runner with its runs.

    Parameters
    ----------
    agent, boot : str, int
        The runner's agent, and the boot of the runner that was lost.
    noted_ms : float
        When it was lost, on the dispatcher's clock.

    Attributes
    ----------
    is_down : bool
        Whether the runner refused calls, so that it has probably crashed.
    is_confirmed, is_cleared : bool
        Whether the runner came back with a new boot, or had not crashed after all.
    cause : str
        The task that is known to have caused it, empty if none is.
    """

    __slots__ = ("agent", "boot", "cause", "is_cleared", "is_confirmed", "is_down", "noted_ms")

    def __init__(self, agent: str, boot: int, noted_ms: float) -> None:
        self.agent = agent
        self.boot = boot
        self.noted_ms = noted_ms
        self.is_down = False
        self.is_confirmed = False
        self.is_cleared = False
        self.cause = ""

    def is_same(self, agent: str, boot: int) -> bool:
        """Return whether this is the loss of a runner's boot; a boot is lost for good only once."""
        return (self.agent, self.boot) == (agent, boot) and not self.is_cleared

    def counts_for(self, task: str) -> bool:
        """Return whether this is a crash, as far as is known, that `task` may have caused."""
        is_crash = not self.is_cleared and (self.is_down or self.is_confirmed)
        return is_crash and self.cause in ("", task)


class _Presence(NamedTuple):
    """A run of a task that was there when a runner was lost.

    Attributes
    ----------
    crash : _Crash
        The loss of the runner.
    is_recent : bool
        Whether it had been ordered just before, so that it is suspected.
    is_alone : bool
        Whether nothing else ran there.
    """

    crash: _Crash
    is_recent: bool
    is_alone: bool


class CrashHistory:
    """Losses of runners by the tasks that ran there, as the agents tell them.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._jobs: OrderedDict[str, tuple[float, dict[str, list[_Presence]]]] = OrderedDict()
        # Neither confirmed nor cleared yet, by agent.
        self._open: dict[str, list[_Crash]] = {}
        self._cause_found_ms = -inf

    def note_loss(self, agent: str, lost: RunnerLost) -> None:
        """Record which tasks were at the runner of `agent` when it was lost."""
        noted_ms = self._clock() - (lost.age_ms or 0)
        crash = self._find_crash(agent, lost.boot, noted_ms)
        crash.is_down |= bool(lost.is_down)
        for run in lost.runs or ():
            _, tasks = self._jobs.setdefault(_job_of(run.task), (noted_ms + KEPT_MS, {}))
            presences = tasks.setdefault(run.task, [])
            if any(it.crash.is_same(agent, lost.boot) for it in presences):
                continue
            is_recent = (run.running_ms or 0) <= SUSPECT_MS
            presences.append(_Presence(crash, is_recent, bool(run.alone)))
            if run.alone and crash.is_down:
                self._record_cause(run.task)
        while len(self._jobs) > MAX_JOBS:
            self._jobs.popitem(last=False)

    def note_boot(self, agent: str, boot: int, is_accepting: bool) -> None:
        """Settle the open losses of an agent from the boot of the runner in its report.

        A newer boot confirms a crash. The same one, accepting runs again, was only out of reach.
        """
        if agent not in self._open:
            return
        still_open = []
        for crash in self._open.pop(agent):
            if boot > crash.boot:
                crash.is_confirmed = True
            elif boot == crash.boot and is_accepting:
                self._clear(crash)
            else:
                still_open.append(crash)
        if still_open:
            self._open[agent] = still_open

    def is_known(self, job_id: str) -> bool:
        """Return whether runs of a job were lost with a runner, so that it may have run."""
        return job_id in self._jobs

    def decide(self, task: str) -> Restart:
        """Return what may be done with a waiting task."""
        presences = self._list_presences(task)
        if not presences:
            return Restart.ANYWHERE
        if len(presences) == 1:
            return Restart.ISOLATED if presences[0].is_recent else Restart.ANYWHERE
        if len(presences) < MAX_CRASHES and not presences[-1].is_alone:
            return Restart.ISOLATED
        confirmed = sum(it.crash.is_confirmed for it in presences)
        return Restart.NEVER if confirmed >= GIVE_UP_CRASHES else Restart.LATER

    def list_at_risk(self) -> list[str]:
        """Return the agents whose runners suspects may have crashed, and that may be back soon.

        As long as no task is known to crash runners, crashes come from elsewhere, and none counts.
        """
        if self._clock() - self._cause_found_ms >= KEPT_MS:
            return []
        since_ms = self._clock() - DOWN_MS
        return [
            agent
            for agent, crashes in self._open.items()
            if any(crash.is_down and crash.noted_ms > since_ms for crash in crashes)
        ]

    def list_lost_at(self, task: str) -> list[str]:
        """Return the agents whose runners seem to have crashed under a task."""
        return [it.crash.agent for it in self._list_presences(task)]

    def evict(self) -> None:
        """Forget what is too old to matter for a job that waits."""
        now_ms = self._clock()
        while self._jobs and next(iter(self._jobs.values()))[0] <= now_ms:
            self._jobs.popitem(last=False)
        for agent, crashes in list(self._open.items()):
            crashes[:] = [crash for crash in crashes if now_ms - crash.noted_ms < KEPT_MS]
            if not crashes:
                del self._open[agent]

    def _find_crash(self, agent: str, boot: int, noted_ms: float) -> _Crash:
        """Return the open loss of a runner's boot, a new one if there is none."""
        for crash in self._open.setdefault(agent, []):
            if crash.is_same(agent, boot):
                return crash
        crash = _Crash(agent, boot, noted_ms)
        self._open[agent].append(crash)
        return crash

    def _record_cause(self, task: str) -> None:
        """Blame a task that lost its runner alone, for its earlier crashes too."""
        presences = self._list_presences(task)
        if len(presences) < GIVE_UP_CRASHES:
            return
        self._cause_found_ms = self._clock()
        for presence in presences:
            presence.crash.cause = task

    def _clear(self, crash: _Crash) -> None:
        """Note that a runner had not crashed; what was concluded from it is void."""
        crash.is_cleared = True
        if not crash.cause:
            return
        for presence in self._list_presences(crash.cause):
            presence.crash.cause = ""

    def _list_presences(self, task: str) -> list[_Presence]:
        """Return the crashes of a task, by all that is known; those that others caused are none."""
        entry = self._jobs.get(_job_of(task))
        presences = entry[1].get(task, ()) if entry is not None else ()
        return [it for it in presences if it.crash.counts_for(task)]


def _job_of(task: str) -> str:
    """Return the id of a task's job: the part of its name before the first dot."""
    return task.partition(".")[0]
