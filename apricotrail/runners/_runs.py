"""Values that the agent beside a runner works with."""

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

PRIORITY_MS = 150.0  # the objective of a short task: one level of priority is worth as much delay

RunKey = tuple[str, int]
"""Name of a task and number of one of its runs."""


class Owner(NamedTuple):
    """The dispatcher process that a run belongs to.

    Attributes
    ----------
    name : str
        Its name.
    incarnation : int
        Start of the process, wall clock in milliseconds.
    """

    name: str
    incarnation: int


class RunnerReport(NamedTuple):
    """What a runner says of itself.

    Attributes
    ----------
    runner : str
        Its id, kept over restarts.
    boot : int
        Its start, wall clock in milliseconds.
    address : str
        ``host:port`` for orders.
    pool, zone : str
        Where it belongs.
    labels : tuple of str
        Kind and rack.
    cpu_millis, memory_mb : int
        Its whole room.
    leaving : bool
        Whether it takes no new work.
    sequence : int
        Grows with each report of one boot.
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
    """One run under way at a runner.

    Attributes
    ----------
    task, run : str, int
        Which run.
    percent : int
        Progress.
    """

    task: str
    run: int
    percent: int


class EndedRow(NamedTuple):
    """One run that has ended.

    Attributes
    ----------
    number : int
        Grows with each end of one boot.
    task, run : str, int
        Which run.
    how : str
        ``done``, ``failed``, ``stopped``, ``lapsed`` or another word for an early end.
    """

    number: int
    task: str
    run: int
    how: str


class Listing(NamedTuple):
    """A runner's lists of runs.

    Attributes
    ----------
    boot : int
        Start of the runner that answered.
    clock_ms : int
        Its steady clock.
    running : tuple of RunningRow
        What runs.
    ended : tuple of EndedRow
        What has ended since the last acknowledged end, oldest first.
    """

    boot: int
    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


class StartReply(StrEnum):
    """A runner's answer to an order to start."""

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
    """How far a run has come."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    LAPSED = "lapsed"


class OrderKind(StrEnum):
    """What the runner is to be told."""

    START = "start"
    STOP = "stop"


class Order(NamedTuple):
    """One order to the runner.

    Attributes
    ----------
    kind : OrderKind
        What to do.
    task, run : str, int
        With which run.
    spec : bytes
        With a start: what the runner needs to know.
    """

    kind: OrderKind
    task: str
    run: int
    spec: bytes = b""


class Run:
    """One run at this agent's runner.

    Parameters
    ----------
    start : RunStart
        As ordered by the owner.
    owner : Owner or None
        Whose it is; None for one found at the runner and not yet claimed.
    now_ms : float
        When it was received.
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
        self.stop_due_ms = 0.0
        self.stop_answered_ms: float | None = None
        self.may_have_run = False
        self.is_reported = False

    def rank(self, now_ms: float) -> float:
        """Return its place in the queue, lowest first: the next time limit that still counts.

        Each level of priority below the highest counts as if the run were due that much later.

        A run that can't keep its job's objective any more gives way to those that can, until the
        time comes near from which it would be of no use. Admission keeps this from starving it.
        """
        limit_ms = self.due_ms if now_ms <= self.due_ms else self.late_due_ms
        return limit_ms + PRIORITY_MS * (self.start.priority or 0)

    @property
    def key(self) -> RunKey:
        """Name of the task and number of the run."""
        return self.start.task, self.start.run
