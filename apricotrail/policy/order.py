"""Queue of the tasks of one service that decides the order in which they start.

Teams share by weight and callers of a team share evenly (start-time fair queueing on both levels).
Within a caller, jobs with the fewest unfinished tasks go first, as a job is as slow as its last
task. A job can be overtaken only by jobs added within a bounded time after it.
"""

from collections import deque
from collections.abc import Sequence
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from apricotrail.policy.fairness import FairFlows

__all__ = ["FairQueue", "QueuedJob", "Taken"]

OVERTAKING_MS_PER_TASK = 10.0  # each unfinished task sorts a job as if it came this much later
MIN_STALE_ITEMS = 64
MIN_SHARE = 1e-9
REFILL_FACTOR = 4  # most tasks ahead, in multiples of what is queued now


class QueuedJob(NamedTuple):
    """A job with tasks to queue.

    Attributes
    ----------
    job, caller, team : str
        Ids; the job's is unique.
    share : float
        Weight of the team.
    tasks : sequence of int
        Task numbers in the order to start them.
    now_ms : float
        When the job was added, in milliseconds on a monotonic clock.
    deadline_ms : float
        Moment after which no task of the job is started, on the same clock as `now_ms`.
    cost : float
        Expected time that one task uses a slot, in any unit that is the same for all jobs.
    """

    job: str
    caller: str
    team: str
    share: float
    tasks: Sequence[int]
    now_ms: float
    deadline_ms: float
    cost: float = 1.0


class Taken(NamedTuple):
    """Tasks of one job to start now.

    Attributes
    ----------
    job : str
        Job id.
    tasks : list of int
        Task numbers.
    """

    job: str
    tasks: list[int]


class _Job:
    """One job; `sequence` identifies its current heap item, others of it are stale."""

    def __init__(self, queued: QueuedJob) -> None:
        self.queued = queued
        self.tasks = deque(queued.tasks)
        self.remaining = len(self.tasks)
        self.sequence: int | None = None

    def sort_key_ms(self) -> float:
        return self.queued.now_ms + OVERTAKING_MS_PER_TASK * self.remaining


class _Caller:
    def __init__(self) -> None:
        self.heap: list[tuple[float, int, str]] = []
        self.queued_tasks = 0


class _Team:
    def __init__(self) -> None:
        self.flows = FairFlows()
        self.share = 1.0
        self.callers: dict[str, _Caller] = {}
        self.queued_tasks = 0


class FairQueue:
    """Queued tasks of one service at one entry.

    A job stays known after its last queued task was taken, so that tasks can be put back. It is
    forgotten by `cancel`, or by `note_progress` once no task remains.

    Examples
    --------
    >>> queue = FairQueue()
    >>> queue.add(QueuedJob("a/1", "a", "shops", 1.0, [0, 1], 0.0, 1_000.0))
    >>> queue.take(1, now_ms=5.0)
    [Taken(job='a/1', tasks=[0])]
    >>> len(queue)
    1
    """

    def __init__(self) -> None:
        self._jobs: dict[str, _Job] = {}
        self._teams: dict[str, _Team] = {}
        self._flows = FairFlows()
        self._queued = 0
        self._last_sequence = 0

    def __len__(self) -> int:
        return self._queued

    def add(self, queued: QueuedJob) -> None:
        """Queue the tasks of a job.

        Raises
        ------
        ValueError
            If the job is already known.
        """
        if queued.job in self._jobs:
            raise ValueError(f"job {queued.job} is queued already; put its tasks back instead")
        job = self._jobs[queued.job] = _Job(queued)
        if job.tasks:
            self._change_queued(job, len(job.tasks))
            self._push(job)

    def take(self, count: int, now_ms: float) -> list[Taken]:
        """Remove and return up to `count` tasks in the order to start them, grouped by job.

        Tasks of jobs past their deadline stay queued until the job is cancelled.
        """
        taken: dict[str, list[int]] = {}
        while count > 0 and (job := self._next_job(now_ms)) is not None:
            taken.setdefault(job.queued.job, []).append(self._take_one(job))
            count -= 1
        return [Taken(job, tasks) for job, tasks in taken.items()]

    def put_back(self, job: str, tasks: Sequence[int]) -> bool:
        """Put tasks that did not run back in front of their job's queued tasks, and refund them.

        Returns
        -------
        bool
            False if the job is unknown, such as after `cancel`.
        """
        record = self._jobs.get(job)
        if record is None or not tasks:
            return False
        record.tasks.extendleft(reversed(tasks))
        self._change_queued(record, len(tasks))
        self._charge(record.queued, -record.queued.cost * len(tasks))
        self._push(record)
        return True

    def cancel(self, job: str) -> int:
        """Forget a job and return how many of its tasks were queued, in constant time per task."""
        record = self._jobs.pop(job, None)
        if record is None:
            return 0
        dropped = len(record.tasks)
        record.sequence = None
        if dropped:
            self._change_queued(record, -dropped)
        return dropped

    def note_progress(self, job: str, remaining: int) -> None:
        """Record that `remaining` tasks of a job are unfinished; 0 forgets the job."""
        record = self._jobs.get(job)
        if record is None:
            return
        if remaining <= 0:
            self.cancel(job)
            return
        record.remaining = remaining
        if record.tasks:
            self._push(record)

    def note_cost(self, job: str, cost: float) -> None:
        """Replace the expected cost that a finished task was charged by its actual `cost`."""
        record = self._jobs.get(job)
        if record is not None:
            self._charge(record.queued, cost - record.queued.cost)

    def count_queued_tasks_by_caller(self) -> dict[str, int]:
        """Return the number of queued tasks of each caller that has any."""
        waiting: dict[str, int] = {}
        for team in self._teams.values():
            for name, caller in team.callers.items():
                waiting[name] = waiting.get(name, 0) + caller.queued_tasks
        return waiting

    def count_queued_tasks_of_team(self, team: str) -> int:
        """Return the number of queued tasks of a team."""
        record = self._teams.get(team)
        return record.queued_tasks if record else 0

    def tasks_ahead(self, caller: str, team: str, share: float, tasks: int) -> float:
        """Estimate how many queued tasks start before the last of `tasks` new ones of a caller.

        While a job waits, the other callers with queued tasks get their shares too. They are
        assumed to send more, up to a multiple of what is queued now.
        """
        own = self._teams.get(team)
        queued = own.callers[caller].queued_tasks if own and caller in own.callers else 0
        needed = queued + tasks
        callers = len(own.callers) if own else 0
        others = callers - (1 if queued else 0)
        team_needed = needed * (1 + others)
        ahead = team_needed - tasks
        for name, record in self._teams.items():
            if name != team and record.queued_tasks:
                ahead += team_needed * record.share / max(share, MIN_SHARE)
        return min(ahead, REFILL_FACTOR * self._queued)

    def _next_job(self, now_ms: float) -> _Job | None:
        while (team_name := self._flows.first()) is not None:
            team = self._teams[team_name]
            caller_name = team.flows.first()
            if caller_name is None:
                self._flows.deactivate(team_name)
                continue
            job = self._next_job_of_caller(team.callers[caller_name], now_ms)
            if job is not None:
                return job
            team.flows.deactivate(caller_name)
        return None

    def _next_job_of_caller(self, caller: _Caller, now_ms: float) -> _Job | None:
        while caller.heap:
            _, sequence, name = caller.heap[0]
            job = self._jobs.get(name)
            if job is not None and job.sequence == sequence and job.tasks:
                if job.queued.deadline_ms > now_ms:
                    return job
                job.sequence = None
            heappop(caller.heap)
        return None

    def _take_one(self, job: _Job) -> int:
        queued = job.queued
        task = job.tasks.popleft()
        team = self._teams[queued.team]
        self._flows.serve(queued.team, queued.cost)
        team.flows.serve(queued.caller, queued.cost)
        self._change_queued(job, -1)
        return task

    def _charge(self, queued: QueuedJob, cost: float) -> None:
        self._flows.charge(queued.team, cost)
        if (team := self._teams.get(queued.team)) is not None:
            team.flows.charge(queued.caller, cost)

    def _change_queued(self, job: _Job, change: int) -> None:
        queued = job.queued
        team = self._teams.get(queued.team)
        if team is None:
            team = self._teams[queued.team] = _Team()
        caller = team.callers.get(queued.caller)
        if caller is None:
            caller = team.callers[queued.caller] = _Caller()
        caller.queued_tasks += change
        team.queued_tasks += change
        self._queued += change
        if change > 0:
            team.share = queued.share
            self._flows.activate(queued.team, queued.share)
            team.flows.activate(queued.caller, 1.0)
            return
        if caller.queued_tasks == 0:
            del team.callers[queued.caller]
            team.flows.deactivate(queued.caller)
        if team.queued_tasks == 0:
            self._flows.deactivate(queued.team)

    def _push(self, job: _Job) -> None:
        caller = self._teams[job.queued.team].callers[job.queued.caller]
        self._last_sequence += 1
        job.sequence = self._last_sequence
        heappush(caller.heap, (job.sort_key_ms(), self._last_sequence, job.queued.job))
        if len(caller.heap) > MIN_STALE_ITEMS and len(caller.heap) > 2 * caller.queued_tasks:
            self._compact(caller)

    def _compact(self, caller: _Caller) -> None:
        live = []
        for item in caller.heap:
            job = self._jobs.get(item[2])
            if job is not None and job.sequence == item[1] and job.tasks:
                live.append(item)
        heapify(live)
        caller.heap = live
