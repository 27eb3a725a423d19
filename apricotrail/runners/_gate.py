"""Admission control and state tracking for the runs at one runner.

The gate is the part of a runner's agent that decides which runs start and stop. All starts at a
runner pass through its gate, which checks capacity, tracks the owners and leases of runs, and
reports how runs ended once that is certain. Capacity counts as used by every run that may be
running, also by one whose start was not answered or that is being stopped, until its end is listed.
Inputs are messages, listings (the runner's lists of running and ended runs) and the time; outputs
are orders to the runner and outcomes for the owners. The gate does no input or output of its own.
"""

from collections.abc import Callable

from apricotrail.clocks import Clock
from apricotrail.runners._boots import announce, withdraw
from apricotrail.runners._capacity import is_open, refuse_queued
from apricotrail.runners._claims import receive_claim, replace_owner
from apricotrail.runners._gate_state import GateLimits, GateState
from apricotrail.runners._leases import (
    MIN_START_LEASE_MS,
    find_lease_limit_ms,
    has_lease_left,
    may_renew,
    record_lease_extension,
)
from apricotrail.runners._listings import receive_listing
from apricotrail.runners._load import describe_load, describe_unknown_runner
from apricotrail.runners._owners import record_owner_alive
from apricotrail.runners._runs import Listing, Order, Owner, RunKey, RunnerReport, StartReply
from apricotrail.runners._starts import may_send_start, receive_start, receive_start_reply
from apricotrail.runners._stops import receive_stop, receive_stop_reply
from apricotrail.runners._timers import find_due_ms, tick
from apricotrail.wire.generated.ttypes import RunnerLoad, RunOutcome, RunReason, RunStart

__all__ = ["MIN_START_LEASE_MS", "GateLimits", "RunGate"]


class RunGate(GateState):
    """Decides which runs start and stop at one runner, and tracks them until they end.

    `GateState` describes the parameters and attributes. Each subject is a module of functions that
    get the state: starts, stops, claims, listings, boots, capacity, leases, owners, outcomes and
    timers.
    """

    def __init__(
        self,
        clock: Clock,
        limits: GateLimits,
        order: Callable[[Order], None],
        report: Callable[[Owner, RunOutcome], None],
        fence: int = 1,
    ) -> None:
        super().__init__(clock, limits, order, report, fence)
        self.metrics.free_cpu_millis.watch(lambda: self.describe_load(0).free_cpu_millis)

    # ---- messages from the runner ----

    def announce(self, report: RunnerReport) -> bool:
        """Apply an announcement of the runner; return False unless it counts as its newest.

        It may be old, repeated, of a boot that the runner hasn't listed yet, or of another writer.
        One that may be another writer's takes effect as far as it restricts the runner.
        """
        return announce(self, report)

    def withdraw(self, runner: str) -> None:
        """Start nothing more at a runner that announced that it leaves permanently."""
        withdraw(self, runner)

    def receive_listing(self, listing: Listing, asked_ms: float) -> None:
        """Update the runs from the runner's lists of running and ended runs.

        Parameters
        ----------
        listing : Listing
            The runner's answer.
        asked_ms : float
            Time, on the own clock, at which the request was sent.
        """
        receive_listing(self, listing, asked_ms)

    def may_send_start(self, key: RunKey) -> bool:
        """Return whether the ordered start of a run may be sent, or sent again, now."""
        return may_send_start(self, key)

    def receive_start_reply(self, key: RunKey, reply: StartReply) -> None:
        """Update a run from the runner's reply to its start order."""
        receive_start_reply(self, key, reply)

    def receive_stop_reply(self, key: RunKey, answered: bool) -> None:
        """Update a run after its stop order, which is repeated if it was not answered."""
        receive_stop_reply(self, key, answered)

    def record_refused_call(self) -> None:
        """Record a call that the runner refused or broke; from the second on, nothing is started.

        The queued runs are refused, so that their owners place them elsewhere at once.
        """
        was_down = self.losses.is_down
        self.losses.note_refused_call()
        if self.losses.is_down and not was_down:
            refuse_queued(self, RunReason.CLOSED)
            self.notify_closed()

    def record_lease_extension(self, asked_ms: float) -> None:
        """Record a call that may have extended the leases, whether it was answered or not.

        Parameters
        ----------
        asked_ms : float
            Time, on the own clock, at which the call was sent.
        """
        record_lease_extension(self, asked_ms)

    # ---- messages from owners ----

    def record_owner_alive(self, owner: Owner, alive_ms: float) -> None:
        """Record that an owner was alive at `alive_ms` of the own clock."""
        record_owner_alive(self, owner, alive_ms)

    def confirm_outcomes(self, keys: list[RunKey]) -> None:
        """Let the ends of runs be acknowledged whose owner confirmed that it got their outcomes."""
        self._unconfirmed.confirm(set(keys))

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
        replace_owner(self, owner, alive_ms)

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
        receive_start(self, owner, start, is_expired)

    def receive_stop(self, owner: Owner, keys: list[RunKey]) -> None:
        """Stop runs at the request of their owner.

        A run that is not known yet is recorded as ended, so that a later start is refused. Before
        the first listing it may be at work, ordered by a former agent, and is stopped.
        """
        receive_stop(self, owner, keys)

    def receive_claim(
        self,
        owner: Owner,
        starts: list[RunStart],
        alive_ms: float | None = None,
        written_off: list[RunKey] | None = None,
        taken: list[RunKey] | None = None,
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
        written_off : list of tuple, optional
            Runs here that it counts as lost, so that it may have started their tasks again; None
            from an owner of an older release, or if they were too many.
        taken : list of tuple, optional
            Runs here whose outcomes it has.
        """
        receive_claim(self, owner, starts, alive_ms, written_off, taken)

    # ---- timers ----

    def tick(self) -> None:
        """Stop runs that stalled or have no live owner, and refuse those queued for too long."""
        tick(self)

    def may_renew(self) -> bool:
        """Return whether leases may be renewed.

        They may be while something runs, the runner answers, no stop is overdue, no end is in doubt
        and the limit of `find_lease_limit_ms` has not passed. Each call may renew the leases even
        if it is not answered, so without this the leases of a runner that is gone would never count
        as lapsed.
        """
        return may_renew(self)

    def find_lease_limit_ms(self) -> float:
        """Return the time, on the own clock, beyond which no lease may be extended now.

        A lease holds for all runs at the runner, so each limits it that may be going on: one that
        is wanted, to `owner_grace_ms` after the last sign of life of its owner; one whose stop is
        not answered, to what it was when the stop was ordered. A run without an owner gets no
        further lease, since its owner may have been gone for longer than this agent knows.
        """
        return find_lease_limit_ms(self)

    def find_due_ms(self) -> float:
        """Return the time, on the own clock, from which on `tick` has something to do.

        It may be too early, but not too late unless runs, claims or stops arrive meanwhile.
        """
        return find_due_ms(self)

    def refuse_queued_if_closed(self) -> None:
        """Refuse the queued runs if operators took the zone out of service."""
        if not self.zone_open:
            refuse_queued(self, RunReason.CLOSED)

    def begin_stop(self) -> None:
        """Start no more runs and refuse the queued ones, since this agent is stopping."""
        self.stopping = True
        refuse_queued(self, RunReason.STOPPING)

    # ---- queries ----

    def describe_load(self, received: int) -> RunnerLoad:
        """Return the load for one owner, which has sent `received` starts on its link."""
        now_ms = self._clock()
        if self.runner is None:
            return describe_unknown_runner(received, now_ms)
        accepting = is_open(self) and has_lease_left(self)
        return describe_load(
            self.runner, list(self._runs.values()), accepting, self.health, received, now_ms
        )
