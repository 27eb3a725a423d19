"""Admission control of an entry: refuses jobs that can't be answered in time or kept in memory.

The limit on a service's queued tasks bounds the memory. Once its queue is crowded, each team is
held to its share of that limit.
"""

from random import Random
from typing import NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.errors import ErrorKind, Problem
from apricotrail.settings import Settings, declare_setting

__all__ = ["Admission", "AdmissionRequest", "ServiceState"]

MAX_QUEUED_TASKS = declare_setting(
    "policy.max_queued_tasks",
    100_000,
    "Most tasks that one entry keeps queued for a service.",
    minimum=1,
)
DEADLINE_SHARE = declare_setting(
    "policy.deadline_share",
    0.5,
    "A job is refused if its expected response time exceeds this share of its deadline.",
    minimum=0.1,
    maximum=1.0,
)
MIN_RETRY_AFTER_MS = 100.0
MAX_RETRY_AFTER_MS = 60_000.0
RETRY_JITTER = 1.0  # longest random extension, as a share of the wait
CROWDED_SHARE = 0.5  # fill level of the queue above which teams are held to their shares


class AdmissionRequest(NamedTuple):
    """The job to decide on.

    Attributes
    ----------
    service, team : str
        Ids.
    tasks : int
        Number of tasks.
    deadline_ms : float
        Milliseconds left until the job's deadline.
    now_ms : float
        Monotonic time in milliseconds.
    """

    service: str
    team: str
    tasks: int
    deadline_ms: float
    now_ms: float


class ServiceState(NamedTuple):
    """Load of a service as one entry sees it.

    Attributes
    ----------
    queued_tasks : int
        Tasks in this entry's queue.
    slots : int
        Slots of usable targets; if `busy` is known, this entry counts on a part of them only.
    running : int
        Tasks of this entry that run now.
    mean_task_ms : float
        Learned mean run time of a task, 0 if unknown.
    team_queued : int
        Tasks of the request's team in this entry's queue.
    team_share : float
        The team's part (0 to 1) of the sum of all teams' shares.
    tasks_ahead : float or None
        Queued tasks that start before the job's last one, see `FairQueue.tasks_ahead`; by default
        all queued ones.
    tail_ms : float
        Expected run time of the job's longest task, see `RunTimes.longest_ms`.
    busy : int
        Slots in use by all entries together, 0 if unknown. The part of these that runs tasks of
        this entry is the part of `slots` that it counts on, but at least 1 / `entries`.
    entries : int
        Entries that compete for the slots.
    """

    queued_tasks: int
    slots: int
    running: int
    mean_task_ms: float
    team_queued: int = 0
    team_share: float = 1.0
    tasks_ahead: float | None = None
    tail_ms: float = 0.0
    busy: int = 0
    entries: int = 1


class Admission:
    """Decides whether a job is admitted, by the state of its service and the quota of its team.

    Parameters
    ----------
    random : Random
        Source of the jitter on Retry-After.
    settings : Settings, optional
        Values of ``policy.max_queued_tasks`` and ``policy.deadline_share``.

    Examples
    --------
    >>> admission = Admission(Random(1))
    >>> request = AdmissionRequest("repair", "shops", 10, 1_000.0, now_ms=0.0)
    >>> admission.decide(request, ServiceState(100_000, 88, 88, 300.0)).failure().kind.value
    'overloaded'
    """

    def __init__(self, random: Random, settings: Settings | None = None) -> None:
        settings = settings or Settings()
        self._random = random
        self._max_queued = settings.get(MAX_QUEUED_TASKS)
        self._deadline_share = settings.get(DEADLINE_SHARE)

    def decide(self, request: AdmissionRequest, state: ServiceState) -> Result[None, Problem]:
        """Admit a job, or return why it is refused; no task of a refused job has run.

        While no tasks are queued, no job is refused for its expected response time: it runs, and
        the run times learned from it correct an estimate that was wrong.
        """
        if state.queued_tasks + request.tasks > self._max_queued:
            return Failure(_overloaded("The queue of the service is full."))
        if self._exceeds_quota(request, state):
            return Failure(_over_quota(request.team))
        if state.queued_tasks and expected_response_ms(request.tasks, state) > self._limit_ms(
            request
        ):
            return Failure(_overloaded("The job would not be answered before its deadline."))
        return Success(None)

    def retry_after_ms(self, request: AdmissionRequest, state: ServiceState) -> float:
        """Return the wait before a refused job is sent again; jitter spreads the callers."""
        excess_ms = expected_response_ms(request.tasks, state) - self._limit_ms(request)
        base_ms = min(max(excess_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        return base_ms * (1 + self._random.uniform(0.0, RETRY_JITTER))

    def _exceeds_quota(self, request: AdmissionRequest, state: ServiceState) -> bool:
        """Return whether the queue is crowded and the team would exceed its share of it."""
        if state.queued_tasks + request.tasks <= self._max_queued * CROWDED_SHARE:
            return False
        return state.team_queued + request.tasks > self._max_queued * state.team_share

    def _limit_ms(self, request: AdmissionRequest) -> float:
        return request.deadline_ms * self._deadline_share


def expected_response_ms(tasks: int, state: ServiceState) -> float:
    """Return the expected time until `tasks` more tasks are done, by learned run times.

    Without any slot or learned run time there is no estimate, and 0 is returned, so that jobs are
    admitted: targets may come back.
    """
    slots = _own_slots(state)
    if slots <= 0 or state.mean_task_ms <= 0:
        return 0.0
    queued = state.queued_tasks if state.tasks_ahead is None else state.tasks_ahead
    waiting = queued + max(0, state.running + tasks - slots)
    return max(state.mean_task_ms, state.tail_ms) + state.mean_task_ms * waiting / slots


def _own_slots(state: ServiceState) -> float:
    """Return the part of the slots that this entry gets while others compete for them."""
    if state.busy <= 0:
        return state.slots
    share = max(state.running / state.busy, 1 / max(1, state.entries))
    return state.slots * min(1.0, share)


def _overloaded(message: str) -> Problem:
    return Problem(ErrorKind.OVERLOADED, message, "Send the job again after Retry-After.")


def _over_quota(team: str) -> Problem:
    message = f"The queue is crowded and team {team} would exceed its share of it."
    return Problem(ErrorKind.QUOTA_EXCEEDED, message, "Send the job again after Retry-After.")
