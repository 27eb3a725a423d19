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

# The objective of a short task: one level of priority is worth as much delay.
PRIORITY_STEP_MS = 150.0

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
        Its last start, wall clock in milliseconds.
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
        ``done``, ``failed``, ``stopped``, ``lapsed`` or another word for an early end.
    """

    number: int
    task: str
    run: int
    end_state: str


class Listing(NamedTuple):
    """A runner's answer to a `hold` call: its lists of running and ended runs.

    Attributes
    ----------
    boot : int
        Start of the runner that answered.
    clock_ms : int
        Its monotonic clock in milliseconds.
    running : tuple of RunningRow
        Runs that are running.
    ended : tuple of EndedRow
        Runs that ended after the last acknowledged end, oldest first.
    """

    boot: int
    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


class StartReply(StrEnum):
    """A runner's reply to a start order, or `UNANSWERED` if there was none."""

    STARTED = "started"
    SUPERSEDED = "superseded"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    FENCED = "fenced"
    OTHER_BOOT = "other_boot"
    UNHEALTHY = "unhealthy"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"


class RunPhase(StrEnum):
    """State of a run at the agent; `LAPSED` is a lost run that may still be listed."""

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
        self.stop_reason = 0
        self.stop_ordered_ms = 0.0
        self.stop_answered_ms: float | None = None
        self.may_have_run = False
        self.is_reported = False

    def effective_due_ms(self, now_ms: float) -> float:
        """Return the time by which the queue is sorted, earliest first.

        It is the due time or, once that has passed, the late due time.

        Each level of priority below the highest makes the run due `PRIORITY_STEP_MS` later.

        A run that can no longer meet its job's objective yields to runs that can, until the time
        from which its result would be useless comes near. Admission prevents its starvation.
        """
        limit_ms = self.due_ms if now_ms <= self.due_ms else self.late_due_ms
        return limit_ms + PRIORITY_STEP_MS * (self.start.priority or 0)

    @property
    def key(self) -> RunKey:
        """Key of the run: name of its task and its number."""
        return self.start.task, self.start.run
