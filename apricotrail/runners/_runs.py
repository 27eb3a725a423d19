"""Types that the parts of a runner's agent share: runs, orders, replies and listings."""

from enum import StrEnum
from typing import NamedTuple

from apricotrail.wire.generated.ttypes import RunStart

__all__ = [
    "EndedRow",
    "Listing",
    "Order",
    "OrderKind",
    "Owner",
    "Run",
    "RunPhase",
    "RunnerReport",
    "RunningRow",
    "StartReply",
]

PRIORITY_STEP_MS = 150.0  # delay for one level of priority: the latency objective of a short task

RunKey = tuple[str, int]
"""Name of a task and number of one of its runs."""


class Owner(NamedTuple):
    """The dispatcher process that ordered a run.

    Attributes
    ----------
    name : str
        Name of the dispatcher, kept over restarts.
    incarnation : int
        Start of the process, wall clock in milliseconds.
    """

    name: str
    incarnation: int


class RunnerReport(NamedTuple):
    """What a runner announces about itself.

    Attributes
    ----------
    runner : str
        Its id, which stays the same over restarts.
    boot : int
        Its last start, wall clock in milliseconds, which tells its boots apart.
    address : str
        ``host:port`` at which it accepts orders.
    pool, zone : str
        Its pool and its availability zone.
    labels : tuple of str
        Its machine kind and rack.
    cpu_millis, memory_mb : int
        Its total capacity: processor in millicores, memory in MB.
    leaving : bool
        Whether it is leaving and accepts no new runs.
    sequence : int
        Number of the announcement, which grows within one boot.
    clock_ms : int or None
        The runner's monotonic clock in milliseconds when it made the announcement, as in `Listing`;
        None if it doesn't say.
    """

    runner: str
    boot: int
    address: str
    pool: str
    zone: str
    labels: tuple[str, ...]
    cpu_millis: int
    memory_mb: int
    leaving: bool
    sequence: int
    clock_ms: int | None = None


class RunningRow(NamedTuple):
    """A row of a runner's list of running runs.

    Attributes
    ----------
    task, run : str, int
        Name of the task and number of the run.
    percent : int
        Progress in percent.
    """

    task: str
    run: int
    percent: int


class EndedRow(NamedTuple):
    """A row of a runner's list of ended runs.

    Attributes
    ----------
    number : int
        Number of the end, which grows within one boot.
    task, run : str, int
        Name of the task and number of the run.
    end_state : str
        ``done``, ``failed``, ``stopped``, ``lapsed`` or another word for an early end; all but the
        first three count as lost.
    """

    number: int
    task: str
    run: int
    end_state: str


class Listing(NamedTuple):
    """A runner's answer to a `hold` call: its lists of running and ended runs.

    The agent polls its runner with `hold` calls, which also acknowledge ends and extend leases.

    Attributes
    ----------
    boot : int
        Last start of the runner that answered, wall clock in milliseconds.
    clock_ms : int
        Its monotonic clock in milliseconds.
    running : tuple of RunningRow
        Runs that are running.
    ended : tuple of EndedRow
        Runs that ended after the last acknowledged end, oldest first.
    instance : str
        Id that the answered call named, empty for none: the runner goes by it.
    refused_instance : str
        Id that the runner refused just before, empty for none: it doesn't go by it.
    """

    boot: int
    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    instance: str = ""
    refused_instance: str = ""


class StartReply(StrEnum):
    """A runner's reply to a start order, or `UNANSWERED` if there was none that could be read.

    With `SUPERSEDED` the runner has seen this run or a higher one of the task, with `FENCED` a
    higher fencing token; with `OTHER_BOOT` it is not in the boot that the order was for. `REJECTED`
    stands for all other refusals. The order is repeated a few times after `FENCED`, `TOO_LATE` and
    `UNANSWERED`. `UNDELIVERED` means that not one byte of it was sent, so the run can't start;
    `WITHDRAWN` that it was not sent since its permission had ended.
    """

    STARTED = "started"
    SUPERSEDED = "superseded"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    FENCED = "fenced"
    OTHER_BOOT = "other_boot"
    UNHEALTHY = "unhealthy"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"
    UNDELIVERED = "undelivered"
    WITHDRAWN = "withdrawn"


class RunPhase(StrEnum):
    """State of a run at the agent.

    A run is `STARTING` or `STOPPING` from the order until the runner's reply or list shows the
    result. A `LAPSED` run was reported as lost when the leases of an unreachable runner must have
    lapsed; it is kept until it is missing from the runner's list.
    """

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    LAPSED = "lapsed"


class OrderKind(StrEnum):
    """What an order tells the runner to do."""

    START = "start"
    STOP = "stop"


class Order(NamedTuple):
    """One order to the runner.

    Attributes
    ----------
    kind : OrderKind
        What to do with the run.
    task, run : str, int
        Name of the task and number of the run.
    spec : bytes
        For a start, the specification that the runner gets; otherwise empty.
    """

    kind: OrderKind
    task: str
    run: int
    spec: bytes = b""


class Run:
    """A run that is queued or may be running at this agent's runner.

    Times are in milliseconds on the agent's monotonic clock.

    Parameters
    ----------
    start : RunStart
        Start message from the owner.
    owner : Owner or None
        Dispatcher process that ordered it; None if it was found at the runner and not yet claimed.
    now_ms : float
        Time at which it was received.

    Attributes
    ----------
    queued_until_ms : float
        Time at which it is refused if it is still queued.
    due_ms, late_due_ms : float
        Latest start that meets its job's objective, and latest start with which it is still of use.
    ordered_ms : float
        When its start was ordered, 0 before.
    percent, progress_ms : int, float
        Last known progress, and when it changed; a run whose progress does not change is stopped.
    wanted_ms : float or None
        Latest time at which its owner is known to have wanted it, once it is being stopped or has
        lapsed; None before.
    stop_reason : int
        The ``RunReason`` for which its stop was ordered.
    stop_ordered_ms, stop_answered_ms : float
        When its stop was ordered, and when the runner answered that, None before.
    may_have_run : bool
        Whether the runner may have started it: a stopped run that is missing from the runner's
        list then ends as lost, otherwise as not run.
    has_known_size : bool
        Whether the capacity that it takes is known; not if it was found at the runner.
    is_reported : bool
        Whether its outcome was recorded and, if it has an owner, reported.
    """

    def __init__(self, start: RunStart, owner: Owner | None, now_ms: float) -> None:
        self.start = start
        self.owner = owner
        self.received_ms = now_ms
        self.phase = RunPhase.QUEUED
        self.queued_until_ms = now_ms + (start.wait_ms or 0)
        self.due_ms = now_ms + (start.due_ms or 0)
        self.late_due_ms = now_ms + (start.late_due_ms or 0)
        self.ordered_ms = 0.0
        self.started_ms = now_ms
        self.percent = 0
        self.progress_ms = now_ms
        self.wanted_ms: float | None = None
        self.stop_reason = 0
        self.stop_ordered_ms = 0.0
        self.stop_answered_ms: float | None = None
        self.may_have_run = False
        self.has_known_size = True
        self.is_reported = False

    def effective_due_ms(self, now_ms: float) -> float:
        """Return the time by which the queue is sorted, earliest first.

        It is the due time or, once that has passed, the late due time.

        Each level of priority below the highest, 0, makes the run due `PRIORITY_STEP_MS` later.

        A run that can no longer meet its job's objective yields to runs that can, until the time
        from which its result would be useless comes near. Admission prevents its starvation.
        """
        limit_ms = self.due_ms if now_ms <= self.due_ms else self.late_due_ms
        return limit_ms + PRIORITY_STEP_MS * (self.start.priority or 0)

    @property
    def key(self) -> RunKey:
        """Key of the run: name of its task and its number."""
        return self.start.task, self.start.run
