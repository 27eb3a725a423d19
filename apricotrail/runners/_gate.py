"""Admission control and state tracking for the runs at one runner.

The gate is the part of a runner's agent that decides which runs start and stop. All starts at a
runner pass through its gate, which checks capacity, tracks the owners and leases of runs, and
reports how runs ended once that is certain. Capacity counts as used by every run that may be
running, also by one whose start was not answered or that is being stopped, until its end is listed.
Inputs are messages, listings (the runner's lists of running and ended runs) and the time; outputs
are orders to the runner and outcomes for the owners. The gate does no input or output of its own.
"""

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import (
    IN_DOUBT_AFTER_MS,
    LEASE_MS,
    OWNER_GRACE_MS,
    OWNER_SILENT_MS,
)
from apricotrail.metrics import make_metrics
from apricotrail.runners._announcements import Announcements
from apricotrail.runners._health import HealthChange, RunnerHealth
from apricotrail.runners._load import describe_load, describe_unknown_runner, sum_resources
from apricotrail.runners._losses import RunnerLosses
from apricotrail.runners._records import RunRecords
from apricotrail.runners._runs import (
    EndedRow,
    Listing,
    Order,
    OrderKind,
    Owner,
    Run,
    RunKey,
    RunnerReport,
    RunPhase,
    StartReply,
)
from apricotrail.runners._unconfirmed import UnconfirmedEnds
from apricotrail.wire.generated.ttypes import (
    RunnerLoad,
    RunOutcome,
    RunReason,
    RunStart,
    RunState,
)

__all__ = ["GateLimits", "RunGate"]

MAX_QUEUED_RUNS = 256
MIN_START_LEASE_MS = 400.0  # a run that starts with less would lapse before a stop is answered
MAX_SILENT_OWNERS = 1_024  # more than there are dispatchers

_STATE_BY_END = {"done": RunState.DONE, "failed": RunState.FAILED, "stopped": RunState.STOPPED}

RUNNER_ANNOUNCED = declare_event(
    11001,
    "runner_announced",
    Level.INFO,
    "The runner announced itself for the first time, after a boot or with a changed state.",
)
RUN_ORDERED = declare_event(
    11002, "run_ordered", Level.INFO, "The agent ordered the runner to start a run."
)
RUN_REFUSED = declare_event(
    11003,
    "run_turned_away",
    Level.INFO,
    "The agent refused a run on its arrival, for the given reason, and reports this to its owner.",
)
RUN_OVER = declare_event(
    11004, "run_over", Level.INFO, "The outcome of a run is known: it ended or never ran."
)
RUN_STOP_ORDERED = declare_event(
    11005, "run_stop_ordered", Level.INFO, "The agent ordered the runner to stop a run."
)
RUNNER_HEALTH_CHANGED = declare_event(
    11006,
    "runner_health_changed",
    Level.WARNING,
    "The runner became unhealthy and gets only trial runs (check it if this lasts), or recovered.",
)
RUN_OWNER_GONE = declare_event(
    11007,
    "run_owner_gone",
    Level.WARNING,
    "A dispatcher is silent or was replaced by a new process; its runs here are being stopped.",
)
RUNS_ADOPTED = declare_event(
    11008,
    "runs_adopted",
    Level.INFO,
    "A dispatcher claimed the runs it believes to be here; mismatches are stopped.",
)
LEASES_LAPSED = declare_event(
    11009,
    "leases_lapsed",
    Level.WARNING,
    "The runner was unreachable for a whole lease; its runs are lost. Check the runner.",
)

ENDS_IN_DOUBT = declare_event(
    11010,
    "ends_in_doubt",
    Level.WARNING,
    "Owners of ended runs and control are silent, so leases are not renewed, or this is over.",
)
RUNNER_ID_REFUSED = declare_event(
    11013,
    "runner_id_refused",
    Level.WARNING,
    "The runner answered that it doesn't go by the id under which it was announced; the agent "
    "waits for its own announcement. Check who else writes to this address.",
)


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
        Silence of an owner and of control after which the lease is left to lapse, if an end of the
        owner's runs awaits confirmation: whether the owner starts its task again is then in doubt.
        Together with the lease and a tick it is less than the time after which owners start a task
        again.
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


class RunGate:
    """Decides which runs start and stop at one runner, and tracks them until they end.

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
        self._announcements = Announcements(clock)
        self._unconfirmed = UnconfirmedEnds()
        self._silent_since_ms: dict[Owner, float] = {}
        self._in_doubt = False
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
        self.metrics.free_cpu_millis.watch(lambda: self.describe_load(0).free_cpu_millis)
        self.metrics.lease_left_ms.watch(lambda: max(0.0, self._lease_end_ms - clock()))

    # ---- messages from the runner ----

    def announce(self, report: RunnerReport) -> bool:
        """Apply an announcement of the runner; return False for one that has no effect now.

        It may be old, repeated, of another writer, or of a boot that the runner hasn't listed yet.
        """
        if not self._announcements.accept(report, self.runner):
            return False
        self._apply_announcement(report)
        return True

    def _apply_announcement(self, report: RunnerReport) -> None:
        former, self.runner = self.runner, report
        if former is None or former._replace(sequence=0) != report._replace(sequence=0):
            emit(
                RUNNER_ANNOUNCED,
                runner=report.runner,
                boot=report.boot,
                leaving=report.leaving,
                cpu_millis=report.cpu_millis,
                memory_mb=report.memory_mb,
                address=report.address,
            )
        if report.leaving:
            self._refuse_queued(RunReason.CLOSED)
        self._refuse_oversized()
        self._start_queued()

    def withdraw(self, runner: str) -> None:
        """Start nothing more at a runner that announced that it leaves permanently."""
        if self.runner is not None and self.runner.runner == runner:
            self.runner = self.runner._replace(leaving=True)
            self._refuse_queued(RunReason.CLOSED)

    def receive_listing(self, listing: Listing, asked_ms: float) -> None:
        """Update the runs from the runner's lists of running and ended runs.

        Parameters
        ----------
        listing : Listing
            The runner's answer.
        asked_ms : float
            Time, on the own clock, at which the request was sent.
        """
        if listing.boot < self.boot:
            return
        self._enter_boot(listing.boot)
        self._check_id(listing)
        self.losses.note_answer()
        self.losses.note_boot(listing.boot)
        now_ms = self._heard_ms = self._clock()
        self._listing_asked_ms = max(self._listing_asked_ms, asked_ms)
        for row in listing.ended:
            if row.number > self.highest_end:
                self.highest_end = row.number
                self._apply_end(row)
        running = {(row.task, row.run): row for row in listing.running}
        for key, row in running.items():
            self._update_running(key, row.percent, now_ms)
        for run in [it for it in self._runs.values() if it.key not in running]:
            self._end_absent(run, asked_ms)
        self._has_listing = True
        self._stop_unseen_claims()
        self._start_queued()

    def may_send_start(self, key: RunKey) -> bool:
        """Return whether the ordered start of a run may be sent, or sent again, now."""
        run = self._runs.get(key)
        if run is None or run.phase is not RunPhase.STARTING:
            return False
        return self._is_open() and self._has_lease_left() and self._has_live_owner(run)

    def receive_start_reply(self, key: RunKey, reply: StartReply) -> None:
        """Update a run from the runner's reply to its start order."""
        run = self._runs.get(key)
        if run is None or run.phase is not RunPhase.STARTING:
            return
        if reply is StartReply.STARTED:
            run.may_have_run = True
            run.phase = RunPhase.RUNNING
            run.started_ms = run.progress_ms = self._clock()
        elif reply is StartReply.UNANSWERED:
            self._cancel_unanswered_start(run)
        elif reply is StartReply.WITHDRAWN:
            self._finish(run, RunState.NOT_RUN, RunReason.EXPIRED)
        elif reply is StartReply.SUPERSEDED:
            self._finish(run, RunState.NOT_RUN, RunReason.SUPERSEDED)
        elif reply is StartReply.OTHER_BOOT or reply is StartReply.UNDELIVERED:
            self._finish(run, RunState.NOT_RUN, RunReason.CLOSED)
        elif reply is StartReply.UNHEALTHY:
            self._log_health_change(self.health.record_failure(_job_of(run)))
            self._finish(run, RunState.NOT_RUN, RunReason.UNHEALTHY)
        else:
            self._finish(run, RunState.NOT_RUN, RunReason.FULL)

    def receive_stop_reply(self, key: RunKey, answered: bool) -> None:
        """Update a run after its stop order, which is repeated if it was not answered."""
        run = self._runs.get(key)
        if run is None or run.phase is not RunPhase.STOPPING:
            return
        if answered:
            run.stop_answered_ms = self._clock()
        else:
            self._order(Order(OrderKind.STOP, *key))

    def record_refused_call(self) -> None:
        """Record a call that the runner refused or broke; from the second on, nothing is started.

        The queued runs are refused, so that their owners place them elsewhere at once.
        """
        was_down = self.losses.is_down
        self.losses.note_refused_call()
        if self.losses.is_down and not was_down:
            self._refuse_queued(RunReason.CLOSED)
            self.notify_closed()

    def record_lease_extension(self, asked_ms: float) -> None:
        """Record a call that may have extended the leases, whether it was answered or not.

        Parameters
        ----------
        asked_ms : float
            Time, on the own clock, at which the call was sent.
        """
        until_ms = min(asked_ms + self._limits.lease_ms, self.find_lease_limit_ms())
        self._lease_end_ms = max(self._lease_end_ms, until_ms)

    # ---- messages from owners ----

    def record_owner_alive(self, owner: Owner, alive_ms: float) -> None:
        """Record that an owner was alive at `alive_ms` of the own clock."""
        known_ms = self._owner_alive_ms.get(owner, 0.0)
        self._owner_alive_ms[owner] = max(known_ms, alive_ms)
        self._silent_since_ms.pop(owner, None)

    def confirm_outcomes(self, keys: list[RunKey]) -> None:
        """Let the ends of runs be acknowledged whose owner confirmed that it got their outcomes."""
        self._unconfirmed.confirm(set(keys))

    @property
    def instance(self) -> str:
        """Return the id of the runner in its latest known boot, empty if it is not known yet."""
        runner = self.runner
        return runner.runner if runner is not None and runner.boot == self.boot else ""

    @property
    def has_work(self) -> bool:
        """Return whether there are runs or unconfirmed ends, which `tick` watches over."""
        return bool(self._runs) or self._in_doubt or self.has_unconfirmed

    @property
    def has_unconfirmed(self) -> bool:
        """Return whether any end awaits the confirmation of its owner."""
        return len(self._unconfirmed) > 0

    @property
    def highest_final_end(self) -> int:
        """Return the highest number up to which the runner may forget ends."""
        return self._unconfirmed.highest_final_number(self.highest_end)

    def replace_owner(self, owner: Owner, alive_ms: float | None = None) -> None:
        """Record that an owner's process is linked and stop the runs of its former incarnations.

        Parameters
        ----------
        owner : Owner
            The linked process.
        alive_ms : float, optional
            Time, on the own clock, at which it was certainly alive; the present by default.
        """
        self.record_owner_alive(owner, self._clock() if alive_ms is None else alive_ms)
        former = {run.owner for run in self._runs.values() if run.owner is not None}
        for other in former:
            if other.name == owner.name and other != owner:
                self._stop_owned(other, RunReason.OWNER_SILENT)
                self._owner_alive_ms.pop(other, None)
        for other in self._unconfirmed.list_owners():
            if other is not None and other.name == owner.name and other != owner:
                # The jobs were lost with the former process, so nothing starts their tasks again.
                self._unconfirmed.match_claim(other, ())

    def receive_start(self, owner: Owner, start: RunStart, is_expired: bool) -> None:
        """Start a run, queue it, or report to its owner why it is refused.

        A start of a run that is present only sets its owner; one of an ended run gets its outcome
        again.

        Parameters
        ----------
        owner : Owner
            Dispatcher process that ordered the run.
        start : RunStart
            The run; with `wait_ms` 0 it is refused unless it can start at once.
        is_expired : bool
            Whether the start arrived after the time until which its sender declared it valid.
        """
        key = (start.task, start.run)
        present = self._runs.get(key)
        if present is not None:
            present.owner = owner
            return
        ended = self._records.find_outcome(key)
        if ended is not None:
            self._report(owner, ended)
            return
        run = Run(start, owner, self._clock())
        reason = RunReason.EXPIRED if is_expired else self._find_refusal(run)
        if reason is not None:
            self._refuse(run, reason)
            return
        self._runs[key] = run
        self._start_queued()
        if run.phase is RunPhase.QUEUED and not start.wait_ms:
            self._finish(run, RunState.NOT_RUN, RunReason.FULL)

    def receive_stop(self, owner: Owner, keys: list[RunKey]) -> None:
        """Stop runs at the request of their owner.

        A run that is not known yet is recorded as ended, so that a later start is refused. Before
        the first listing it may be at work, ordered by a former agent, and is stopped.
        """
        for key in keys:
            run = self._runs.get(key)
            if run is None and not self._has_listing and self._records.find_outcome(key) is None:
                run = self._track_unseen_stop(owner, key)
            if run is not None:
                run.owner = run.owner or owner
                self._stop(run, RunReason.NONE)
                continue
            outcome = self._records.find_outcome(key)
            if outcome is None:
                outcome = RunOutcome(*key, RunState.NOT_RUN, RunReason.UNKNOWN_RUN, 0, 0, 0)
                self._records.add_outcome(outcome)
            self._report(owner, outcome)

    def receive_claim(
        self, owner: Owner, starts: list[RunStart], alive_ms: float | None = None
    ) -> None:
        """Reconcile the runs that an owner believes to be here with those that are.

        Parameters
        ----------
        owner : Owner
            The process that claims.
        starts : list of RunStart
            Its runs.
        alive_ms : float, optional
            Time, on the own clock, at which it was certainly alive; the present by default.
        """
        self.record_owner_alive(owner, self._clock() if alive_ms is None else alive_ms)
        claimed = {(start.task, start.run): start for start in starts}
        self._unconfirmed.match_claim(owner, claimed)
        for run in list(self._runs.values()):
            if run.owner is None and run.key in claimed:
                run.owner, run.start, run.has_known_size = owner, claimed[run.key], True
            elif run.owner == owner and run.key not in claimed:
                self._stop(run, RunReason.UNKNOWN_RUN)
        if claimed:
            emit(RUNS_ADOPTED, owner=owner.name, claimed=len(claimed), present=len(self._runs))
        for key in claimed:
            ended = self._records.find_outcome(key)
            if ended is not None:
                self._report(owner, ended)
            elif key not in self._runs:
                self._track_unseen_claim(owner, claimed[key])

    def _track_unseen_stop(self, owner: Owner, key: RunKey) -> Run:
        """Track a run that is to be stopped, of which a former agent alone knew the size."""
        run = self._runs[key] = Run(RunStart(*key, b"", 0, 0, 0, 0, 0), owner, self._clock())
        run.phase = RunPhase.STARTING
        run.may_have_run = True
        run.has_known_size = False
        return run

    def _track_unseen_claim(self, owner: Owner, start: RunStart) -> None:
        """Track a claimed run that this agent does not know; a former agent may have ordered it.

        The run is stopped to make its state certain, but not before the first listing shows whether
        it is running. A run missing from the listing may have run: the former agent may have
        acknowledged its end.
        """
        run = Run(start, owner, self._clock())
        run.phase = RunPhase.STARTING
        run.may_have_run = True
        self._runs[run.key] = run
        if self._has_listing:
            self._stop(run, RunReason.UNKNOWN_RUN)
        else:
            self._unseen_claims.append(run)

    def _stop_unseen_claims(self) -> None:
        """Stop the claimed runs that are missing from the first listing."""
        unseen, self._unseen_claims = self._unseen_claims, []
        for run in unseen:
            if run.phase is RunPhase.STARTING and self._runs.get(run.key) is run:
                self._stop(run, RunReason.UNKNOWN_RUN)

    # ---- timers ----

    def tick(self) -> None:
        """Stop runs that stalled or have no live owner, and refuse those queued for too long."""
        now_ms = self._clock()
        limits = self._limits
        for owner, alive_ms in list(self._owner_alive_ms.items()):
            if now_ms - alive_ms >= limits.owner_silent_ms:
                del self._owner_alive_ms[owner]
                self._silent_since_ms[owner] = alive_ms
                while len(self._silent_since_ms) > MAX_SILENT_OWNERS:
                    del self._silent_since_ms[next(iter(self._silent_since_ms))]
                self._stop_owned(owner, RunReason.OWNER_SILENT)
        self._release_unconfirmed(now_ms)
        for run in list(self._runs.values()):
            if run.phase is RunPhase.QUEUED and now_ms >= run.queued_until_ms:
                self._finish(run, RunState.NOT_RUN, RunReason.FULL)
            elif run.owner is None and run.phase is RunPhase.RUNNING:
                if now_ms - self._created_ms >= limits.claim_window_ms:
                    self._stop(run, RunReason.OWNER_SILENT)
            elif self._is_stalled(run, now_ms):
                self._log_health_change(self.health.record_failure(_job_of(run)))
                self._stop(run, RunReason.STALLED)
        self._lapse_unreachable(now_ms)
        self._start_queued()

    def may_renew(self) -> bool:
        """Return whether leases may be renewed.

        They may be while something runs, the runner answers, no stop is overdue, no end is in doubt
        and the limit of `find_lease_limit_ms` has not passed. Each call may renew the leases even
        if it is not answered, so without this the leases of a runner that is gone would never count
        as lapsed.
        """
        now_ms = self._clock()
        is_silent = now_ms - self._heard_ms >= self._limits.renew_silent_ms
        if self._in_doubt or is_silent or self.losses.is_down:
            return False
        if now_ms >= self.find_lease_limit_ms():
            return False
        has_runs = False
        for run in self._runs.values():
            if run.phase is RunPhase.STOPPING:
                unanswered = run.stop_answered_ms is None
                if unanswered and now_ms >= run.stop_ordered_ms + self._limits.stop_overdue_ms:
                    return False
            if run.phase in (RunPhase.STARTING, RunPhase.RUNNING):
                has_runs = True
        return has_runs

    def find_lease_limit_ms(self) -> float:
        """Return the time, on the own clock, beyond which no lease may be extended now.

        A lease holds for all runs at the runner, so each limits it that may be going on: one that
        is wanted, to `owner_grace_ms` after the last sign of life of its owner; one whose stop is
        not answered, to what it was when the stop was ordered. A run without an owner gets no
        further lease, since its owner may have been gone for longer than this agent knows.
        """
        earliest_ms = inf
        alive_ms, queued = self._owner_alive_ms, RunPhase.QUEUED
        for run in self._runs.values():
            if run.phase is queued or run.stop_answered_ms is not None:
                continue
            wanted_ms = run.wanted_ms
            if wanted_ms is None:
                # Called many times for each run, so the usual case is looked up here.
                wanted_ms = alive_ms.get(run.owner) or self._find_wanted_ms(run)
            earliest_ms = min(earliest_ms, wanted_ms)
        return earliest_ms + self._limits.owner_grace_ms

    def find_due_ms(self) -> float:
        """Return the time, on the own clock, from which on `tick` has something to do.

        It may be too early, but not too late unless runs, claims or stops arrive meanwhile.
        """
        runs = self._runs.values()
        if not self.has_work:
            return inf
        owners = {run.owner for run in runs} | self._unconfirmed.list_owners()
        alive_ms = self._owner_alive_ms
        if self._in_doubt or not all(owner in alive_ms for owner in owners):
            return 0.0
        if any(run.phase is RunPhase.QUEUED for run in runs):
            return 0.0
        limits = self._limits
        silent_ms = min(alive_ms[owner] for owner in owners) + limits.owner_silent_ms
        progress_ms = (run.progress_ms for run in runs if run.phase is RunPhase.RUNNING)
        stalled_ms = min(progress_ms, default=inf) + limits.stall_ms
        lapsed_ms = max(self._lease_end_ms, self._listing_asked_ms + limits.lease_ms)
        return min(silent_ms, stalled_ms, lapsed_ms)

    def refuse_queued_if_closed(self) -> None:
        """Refuse the queued runs if operators took the zone out of service."""
        if not self.zone_open:
            self._refuse_queued(RunReason.CLOSED)

    def begin_stop(self) -> None:
        """Start no more runs and refuse the queued ones, since this agent is stopping."""
        self.stopping = True
        self._refuse_queued(RunReason.STOPPING)

    # ---- queries ----

    def describe_load(self, received: int) -> RunnerLoad:
        """Return the load for one owner, which has sent `received` starts on its link."""
        now_ms = self._clock()
        if self.runner is None:
            return describe_unknown_runner(received, now_ms)
        accepting = self._is_open() and self._has_lease_left()
        return describe_load(
            self.runner, list(self._runs.values()), accepting, self.health, received, now_ms
        )

    def list_running(self) -> list[Run]:
        """Return the runs that may be running at the runner."""
        return [run for run in self._runs.values() if run.phase is not RunPhase.QUEUED]

    # ---- internals ----

    def _release_unconfirmed(self, now_ms: float) -> None:
        """Release ends of silent owners that can't start their tasks again.

        The runner may be told to forget a released end.
        While that is in doubt, leases are not renewed; after they lapse, all ends are released.
        """
        silent_since_ms = {
            owner: self._silent_since_ms.get(owner, self._created_ms)
            for owner in self._unconfirmed.list_owners()
            if owner is not None and owner not in self._owner_alive_ms
        }
        if now_ms - self._created_ms >= self._limits.claim_window_ms:
            silent_since_ms[None] = self._created_ms
        quorum_contact_ms = self.quorum_contact_ms()
        self._unconfirmed.release_silent(silent_since_ms, quorum_contact_ms)
        was_in_doubt = self._in_doubt
        self._in_doubt = any(
            now_ms - max(quorum_contact_ms, silent_since_ms[owner])
            >= self._limits.in_doubt_after_ms
            for owner in self._unconfirmed.list_owners()
            if owner in silent_since_ms
        )
        if self._in_doubt and now_ms >= self._lease_end_ms:
            self._unconfirmed.release_all()
            self._in_doubt = False
        if self._in_doubt != was_in_doubt:
            left_ms = round(self._lease_end_ms - now_ms)
            emit(ENDS_IN_DOUBT, in_doubt=self._in_doubt, lease_left_ms=left_ms)

    def _check_id(self, listing: Listing) -> None:
        """Note by which id the runner goes, and drop an announcement under another one."""
        if listing.instance:
            self._announcements.confirm_id(listing.instance)
        refused = listing.refused_instance
        if not refused or refused != self.instance or not self._announcements.refuse_id(refused):
            return
        emit(RUNNER_ID_REFUSED, runner=refused, boot=self.boot)
        self.runner = None
        self._refuse_queued(RunReason.CLOSED)

    def _enter_boot(self, boot: int) -> None:
        """Note a newer boot that the runner listed; the runs ordered in a former one are lost."""
        if boot <= self.boot:
            return
        self._leave_boot(boot)
        announced = self._announcements.enter_boot(boot)
        if announced is not None:
            self._apply_announcement(announced)

    def _leave_boot(self, boot: int) -> None:
        """End the runs of the former boot, if there was one."""
        self._unconfirmed.release_all()
        former_boot = self.boot
        self.boot = boot
        self.highest_end = 0
        if not former_boot:
            return
        # The new boot knows no token yet; orders to the former one that arrive late are refused.
        self.fence += 1
        self.health.reset()
        self._records.clear_run_numbers()
        present = self.list_running()
        self._record_loss(former_boot, present, is_down=True)
        for run in present:
            run.may_have_run = True
            # An order sent after the last listing of the former boot may have reached the new boot.
            if run.ordered_ms < self._listing_asked_ms:
                self._finish(run, RunState.LOST, RunReason.NONE)

    def _record_loss(self, boot: int, runs: list[Run], is_down: bool = False) -> None:
        """Announce the loss of the runner with `runs`, unless it leaves or that is announced."""
        is_leaving = self.runner is not None and self.runner.leaving
        unreported = [run for run in runs if not run.is_reported]
        if not is_leaving:
            self.losses.record(boot, unreported, self._listing_asked_ms, is_down)

    def _is_stalled(self, run: Run, now_ms: float) -> bool:
        """Return whether a run shows no progress although its runner sent a listing recently."""
        stall_ms = self._limits.stall_ms
        is_listed = now_ms - self._listing_asked_ms < stall_ms
        return run.phase is RunPhase.RUNNING and is_listed and now_ms - run.progress_ms >= stall_ms

    def _is_open(self) -> bool:
        runner = self.runner
        return (
            runner is not None
            and runner.boot == self.boot
            and not runner.leaving
            and self.zone_open
            and not self.stopping
            and not self._in_doubt
            and not self.losses.is_down
            and self._has_listing
            and self._clock() - self._listing_asked_ms < self._limits.listing_stale_ms
        )

    def _has_lease_left(self) -> bool:
        """Return whether a run that starts now could have a lease of useful length."""
        return self.find_lease_limit_ms() - self._clock() >= MIN_START_LEASE_MS

    def _find_refusal(self, run: Run) -> int | None:
        start = run.start
        if self.stopping:
            return RunReason.STOPPING
        if not self._is_open():
            return RunReason.CLOSED
        if self._records.highest_run(start.task) >= start.run:
            return RunReason.SUPERSEDED
        if not self._fits_runner(start):
            return RunReason.FULL
        if self.health.allowed_trials() == 0:
            return RunReason.UNHEALTHY
        if sum(it.phase is RunPhase.QUEUED for it in self._runs.values()) >= MAX_QUEUED_RUNS:
            return RunReason.FULL
        return None

    def _start_queued(self) -> None:
        """Start isolated runs first, then by `Run.effective_due_ms`, until one can't start."""
        queued = [run for run in self._runs.values() if run.phase is RunPhase.QUEUED]
        if not queued:
            return
        now_ms = self._clock()
        queued.sort(key=lambda run: (not run.start.isolated, run.effective_due_ms(now_ms)))
        for run in queued:
            if self._has_live_owner(run) and not self._start(run):
                return

    def _start(self, run: Run) -> bool:
        """Order the start of a run if capacity allows; return whether it was ordered.

        Nothing starts beside a run of unknown size, nor beside an isolated run, which itself starts
        only while nothing runs.
        """
        if not self._is_open() or not self._has_lease_left():
            return False
        if not all(it.has_known_size for it in self._runs.values()):
            return False
        running = self.list_running()
        if running and (run.start.isolated or any(it.start.isolated for it in running)):
            return False
        used_cpu_millis, used_memory_mb = sum_resources(running)
        if used_cpu_millis + run.start.cpu_millis > self.runner.cpu_millis:
            return False
        if used_memory_mb + run.start.memory_mb > self.runner.memory_mb:
            return False
        allowed_trials = self.health.allowed_trials()
        if allowed_trials == 0:
            return False
        if allowed_trials > 0:
            self.health.record_trial()
        run.phase = RunPhase.STARTING
        run.ordered_ms = self._clock()
        self._records.record_run_number(run.start.task, run.start.run)
        self._order(Order(OrderKind.START, *run.key, run.start.spec or b""))
        emit(
            RUN_ORDERED,
            task=run.start.task,
            run=run.start.run,
            owner=run.owner.name if run.owner is not None else "",
            used_cpu=used_cpu_millis,
            waited_ms=round(run.ordered_ms - run.received_ms),
        )
        return True

    def _cancel_unanswered_start(self, run: Run) -> None:
        """Make sure that a start order without an answer is not executed later."""
        self._stop(run, RunReason.NONE)

    def _stop(self, run: Run, reason: int) -> None:
        if run.phase is RunPhase.QUEUED:
            self._finish(run, RunState.NOT_RUN, reason)
            return
        if run.phase in (RunPhase.STOPPING, RunPhase.LAPSED):
            return
        run.wanted_ms = self._find_wanted_ms(run)
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        run.stop_ordered_ms = self._clock()
        self._order(Order(OrderKind.STOP, *run.key))
        emit(
            RUN_STOP_ORDERED,
            task=run.start.task,
            run=run.start.run,
            reason=RunReason._VALUES_TO_NAMES.get(reason, ""),
            owner_alive_ms_ago=self._find_silence_ms(run),
            lease_left_ms=round(self._lease_end_ms - run.stop_ordered_ms),
        )

    def _find_wanted_ms(self, run: Run) -> float:
        """Return the latest time at which the owner of a run is known to have wanted it."""
        if run.wanted_ms is not None:
            return run.wanted_ms
        alive_ms = self._find_alive_ms(run.owner)
        return -inf if alive_ms is None else alive_ms

    def _has_live_owner(self, run: Run) -> bool:
        alive_ms = self._find_alive_ms(run.owner)
        return alive_ms is not None and self._clock() - alive_ms < self._limits.owner_silent_ms

    def _find_silence_ms(self, run: Run) -> int | None:
        """Return the time since the last sign of life of a run's owner, None if none is known."""
        alive_ms = self._find_alive_ms(run.owner)
        return None if alive_ms is None else round(self._clock() - alive_ms)

    def _find_alive_ms(self, owner: Owner | None) -> float | None:
        if owner is None:
            return None
        return self._owner_alive_ms.get(owner, self._silent_since_ms.get(owner))

    def _stop_owned(self, owner: Owner, reason: int) -> None:
        owned = [run for run in self._runs.values() if run.owner == owner]
        if owned:
            emit(RUN_OWNER_GONE, owner=owner.name, incarnation=owner.incarnation, runs=len(owned))
        for run in owned:
            self._stop(run, reason)

    def _apply_end(self, row: EndedRow) -> None:
        run = self._runs.get((row.task, row.run))
        if run is None:
            # A former agent ordered this run. Its owner asks for the outcome with its next claim.
            state = _STATE_BY_END.get(row.end_state, RunState.LOST)
            if state == RunState.DONE:
                self._unconfirmed.add(row.number, None, (row.task, row.run))
            self._records.add_outcome(
                RunOutcome(row.task, row.run, state, RunReason.NONE, 0, row.run, 0)
            )
            return
        run_ms = self._clock() - run.started_ms
        if row.end_state == "done":
            # A run already reported as lost gets no second outcome that its owner could confirm.
            if not run.is_reported:
                self._unconfirmed.add(row.number, run.owner, run.key)
            if run.owner is not None:
                self._log_health_change(
                    self.health.record_success(run_ms, run.start.estimate_ms or 0)
                )
            self._finish(run, RunState.DONE, RunReason.NONE, run_ms)
        elif row.end_state == "failed":
            self._log_health_change(self.health.record_failure(_job_of(run)))
            self._finish(run, RunState.FAILED, RunReason.NONE, run_ms)
        elif row.end_state == "stopped":
            self._finish(run, RunState.STOPPED, run.stop_reason, run_ms)
        else:
            self._finish(run, RunState.LOST, run.stop_reason, run_ms)

    def _update_running(self, key: RunKey, percent: int, now_ms: float) -> None:
        run = self._runs.get(key)
        if run is None:
            # The run predates this agent, or was given up as lost: its owner must claim it. It is
            # kept for that if the first listing shows it, and stopped if a later one does.
            run = Run(RunStart(*key, b"", 0, 0, 0, 0, 0), None, now_ms)
            run.phase = RunPhase.RUNNING
            run.has_known_size = False
            self._runs[key] = run
            if self._has_listing:
                self._stop(run, RunReason.UNKNOWN_RUN)
            return
        run.may_have_run = True
        if run.phase is RunPhase.LAPSED:
            run.phase = RunPhase.RUNNING
            self._stop(run, RunReason.UNKNOWN_RUN)
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.started_ms = run.progress_ms = now_ms
        if percent != run.percent:
            run.percent, run.progress_ms = percent, now_ms

    def _end_absent(self, run: Run, asked_ms: float) -> None:
        """End a run that is missing from a listing, if that proves that it will not run."""
        if run.phase is RunPhase.LAPSED:
            self._finish(run, RunState.LOST, RunReason.NONE)
        elif run.phase is RunPhase.STOPPING:
            answered_ms = run.stop_answered_ms
            if answered_ms is not None and asked_ms >= answered_ms:
                state = RunState.LOST if run.may_have_run else RunState.NOT_RUN
                self._finish(run, state, run.stop_reason)
        elif run.phase is RunPhase.RUNNING and asked_ms > run.started_ms:
            self._finish(run, RunState.LOST, RunReason.NONE)

    def _lapse_unreachable(self, now_ms: float) -> None:
        """Report the runs of an unreachable runner as lost once their leases must have lapsed."""
        if now_ms < self._lease_end_ms or now_ms - self._listing_asked_ms < self._limits.lease_ms:
            return
        lapsed = [
            run
            for run in self._runs.values()
            if run.phase in (RunPhase.STARTING, RunPhase.RUNNING, RunPhase.STOPPING)
        ]
        if lapsed:
            emit(
                LEASES_LAPSED,
                runs=len(lapsed),
                listed_ms_ago=round(now_ms - self._listing_asked_ms),
            )
            # The runner refuses unanswered orders that arrive later, since their token is lower.
            self.fence += 1
            self._record_loss(self.boot, lapsed)
        for run in lapsed:
            run.phase = RunPhase.LAPSED
            run.wanted_ms = -inf
            self._report_once(run, RunState.LOST, RunReason.NONE, 0.0)

    def _refuse_queued(self, reason: int) -> None:
        for run in [it for it in self._runs.values() if it.phase is RunPhase.QUEUED]:
            self._finish(run, RunState.NOT_RUN, reason)

    def _refuse_oversized(self) -> None:
        """Refuse the queued runs that no longer fit the runner, whose capacity may shrink."""
        for run in [it for it in self._runs.values() if it.phase is RunPhase.QUEUED]:
            if not self._fits_runner(run.start):
                self._finish(run, RunState.NOT_RUN, RunReason.FULL)

    def _fits_runner(self, start: RunStart) -> bool:
        runner = self.runner
        return start.cpu_millis <= runner.cpu_millis and start.memory_mb <= runner.memory_mb

    def _refuse(self, run: Run, reason: int) -> None:
        outcome = self._make_outcome(run, RunState.NOT_RUN, reason, 0.0)
        self._records.add_outcome(outcome)
        self.metrics.refused_runs.add(RunReason._VALUES_TO_NAMES.get(reason, ""))
        emit(
            RUN_REFUSED,
            task=run.start.task,
            run=run.start.run,
            reason=RunReason._VALUES_TO_NAMES.get(reason, ""),
        )
        if run.owner is not None:
            self._report(run.owner, outcome)

    def _finish(self, run: Run, state: int, reason: int, run_ms: float = 0.0) -> None:
        self._runs.pop(run.key, None)
        self._report_once(run, state, reason, run_ms)
        self._start_queued()

    def _report_once(self, run: Run, state: int, reason: int, run_ms: float) -> None:
        if run.is_reported:
            return
        run.is_reported = True
        outcome = self._make_outcome(run, state, reason, run_ms)
        self._records.add_outcome(outcome)
        self.metrics.runs.add(RunState._VALUES_TO_NAMES.get(state, ""))
        self.metrics.run_ms.observe(run_ms)
        self.metrics.waited_ms.observe(outcome.waited_ms)
        emit(
            RUN_OVER,
            task=run.start.task,
            run=run.start.run,
            state=RunState._VALUES_TO_NAMES.get(state, ""),
            reason=RunReason._VALUES_TO_NAMES.get(reason, ""),
            run_ms=round(run_ms),
        )
        if run.owner is not None:
            self._report(run.owner, outcome)

    def _make_outcome(self, run: Run, state: int, reason: int, run_ms: float) -> RunOutcome:
        highest = self._records.highest_run(run.start.task)
        ordered_ms = run.ordered_ms or self._clock()
        waited_ms = int(ordered_ms - run.received_ms)
        return RunOutcome(
            run.start.task, run.start.run, state, reason, int(run_ms), highest, waited_ms
        )

    def _log_health_change(self, change: HealthChange) -> None:
        if change.became_healthy or change.became_unhealthy:
            runner = self.runner.runner if self.runner is not None else ""
            emit(RUNNER_HEALTH_CHANGED, runner=runner, healthy=change.became_healthy)


def _job_of(run: Run) -> str:
    """Return the id of a run's job: the part of the task name before the first dot."""
    return run.start.task.partition(".")[0]
