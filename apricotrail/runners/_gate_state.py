"""State of a run gate, which the modules of the gate share."""

from collections.abc import Callable
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.membership import (
    IN_DOUBT_AFTER_MS,
    LEASE_MS,
    OWNER_GRACE_MS,
    OWNER_SILENT_MS,
)
from apricotrail.metrics import make_metrics
from apricotrail.runners._announcements import Announcements
from apricotrail.runners._health import RunnerHealth
from apricotrail.runners._losses import RunnerLosses
from apricotrail.runners._records import RunRecords
from apricotrail.runners._runs import Order, Owner, Run, RunKey, RunnerReport, RunPhase
from apricotrail.runners._unconfirmed import UnconfirmedEnds
from apricotrail.wire.generated.ttypes import RunOutcome

__all__ = ["GateLimits", "GateState"]


class GateLimits(NamedTuple):
    """Timeouts of a run gate, in milliseconds.

    Attributes
    ----------
    owner_silent_ms : float
        Silence of an owner after which its runs are stopped and none is started.
    owner_grace_ms : float
        How long after the last sign of life of its owner a run may go on: no lease is extended
        beyond that.
    stop_overdue_ms : float
        Time without an answer to a stop order after which leases are no longer renewed.
    renew_silent_ms : float
        Time without a listing after which leases are no longer renewed. A call may be lost, and
        the lease outlasts several.
    stall_ms : float
        Time without progress after which a run is stopped.
    claim_window_ms : float
        Time in which owners may claim runs that a new agent finds at its runner.
    in_doubt_after_ms : float
        Silence of an owner and of control after which an end of the owner's runs that awaits
        confirmation is in doubt. For an owner of an older release the lease is then left to lapse:
        together with the lease and a tick this is less than the time after which owners start a
        task again.
    lease_ms : float
        Longest lease, including the drift of the runner's clock.
    listing_stale_ms : float
        Age of the last listing at which no further run is started.
    """

    owner_silent_ms: float = OWNER_SILENT_MS
    owner_grace_ms: float = OWNER_GRACE_MS
    stop_overdue_ms: float = 250.0
    renew_silent_ms: float = 300.0
    stall_ms: float = 700.0
    claim_window_ms: float = 900.0
    in_doubt_after_ms: float = IN_DOUBT_AFTER_MS
    lease_ms: float = LEASE_MS
    listing_stale_ms: float = 800.0


class GateState:
    """The runs at one runner, their owners, leases and ends.

    Attributes that begin with an underscore are for the modules of the gate.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds that counts suspended time.
    limits : GateLimits
        Timeouts.
    order : callable
        ``order(order)`` sends an order to the runner without waiting.
    report : callable
        ``report(owner, outcome)`` reports the outcome of a run to its owner.
    fence : int
        First fencing token, higher than those of former agents of this runner.

    Attributes
    ----------
    runner : RunnerReport or None
        Latest announcement of the runner, None before the first.
    boot : int
        Latest known boot of the runner, wall clock in milliseconds, 0 for none.
    zone_open : bool
        Whether the runner's zone is in service.
    stopping : bool
        Whether this agent is being stopped, so that it starts no run.
    health : RunnerHealth
        Health of the runner as its runs show it.
    losses : RunnerLosses
        What was lost with the runner.
    metrics : RunnerMetrics
        Instruments.
    highest_end : int
        Highest number of an end listed in this boot, 0 for none.
    fence : int
        Present fencing token.
    notify_closed : callable
        Called when nothing can be started for now, since the runner is down.
    quorum_contact_ms : callable
        Gives the latest time, on the own clock, at which a majority of control was reachable; until
        it is set, the present time.
    witness_contact_ms : callable
        ``witness_contact_ms(since_ms)`` gives the time up to which no owner that heard this agent
        last at `since_ms` can have written off its runs, by what is known of control; until it is
        set, none.
    has_held_ends : bool
        Whether the runner lists ends that can't be acknowledged, as their owners are silent.
    """

    def __init__(
        self,
        clock: Clock,
        limits: GateLimits,
        order: Callable[[Order], None],
        report: Callable[[Owner, RunOutcome], None],
        fence: int = 1,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._order = order
        self._report = report
        self.runner: RunnerReport | None = None
        self.boot = 0
        self.zone_open = True
        self.stopping = False
        self.health = RunnerHealth(clock)
        self.losses = RunnerLosses(clock)
        self.metrics = make_metrics("runner")
        self.highest_end = 0
        self.fence = fence
        self.notify_closed: Callable[[], object] = lambda: None
        self.quorum_contact_ms: Callable[[], float] = clock
        self.witness_contact_ms: Callable[[float], float] = lambda since_ms: 0.0
        self._announcements = Announcements(clock)
        self._unconfirmed = UnconfirmedEnds()
        self._silent_since_ms: dict[Owner, float] = {}
        self.has_held_ends = False
        self._is_lapsing = False
        # By owner whose claims name what it wrote off: when it last heard this agent for certain.
        self._owner_heard_ms: dict[Owner, float] = {}
        self._replaced_ms: dict[Owner, float] = {}
        self._doubted_since_ms: dict[Owner | None, float] = {}
        self._contact_since_ms: float | None = None
        self._runs: dict[RunKey, Run] = {}
        self._records = RunRecords()
        self._owner_alive_ms: dict[Owner, float] = {}
        # A former agent may have extended the leases until just now.
        self._lease_end_ms = clock() + limits.lease_ms
        self._listing_asked_ms = clock()
        self._heard_ms = clock()
        self._created_ms = clock()
        self._has_listing = False
        self._unseen_claims: list[Run] = []
        self.metrics.open_runs.watch(lambda: len(self._runs))
        self.metrics.unconfirmed_ends.watch(lambda: len(self._unconfirmed))
        self.metrics.doubted_owners.watch(lambda: len(self._doubted_since_ms))
        self.metrics.lease_left_ms.watch(lambda: max(0.0, self._lease_end_ms - clock()))

    @property
    def instance(self) -> str:
        """Return the id of the runner in its latest known boot, empty if it is not known yet."""
        runner = self.runner
        return runner.runner if runner is not None and runner.boot == self.boot else ""

    def list_running(self) -> list[Run]:
        """Return the runs that may be running at the runner."""
        return [run for run in self._runs.values() if run.phase is not RunPhase.QUEUED]
