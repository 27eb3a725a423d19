"""The one gate through which runs start at a runner: room, owners, leases and settled ends.

The gate counts the room of everything that may be running: what was ordered without an answer and
what is being stopped, until its end is listed. It takes messages, listings and the time in and
gives orders for the runner and outcomes for the owners out; no socket is touched here.
"""

from collections.abc import Callable
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.metrics import make_metrics
from apricotrail.runners._health import HealthChange, RunnerHealth
from apricotrail.runners._load import describe_load, describe_unknown_runner, sum_room
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

MAX_QUEUED = 256
MAX_SILENT = 1_024  # silent owners remembered; more than there are dispatchers

_ENDS = {"done": RunState.DONE, "failed": RunState.FAILED, "stopped": RunState.STOPPED}

RUNNER_ANNOUNCED = declare_event(
    11001,
    "runner_announced",
    Level.INFO,
    "A runner, its new boot or its new state was announced.",
)
RUN_ORDERED = declare_event(
    11002, "run_ordered", Level.INFO, "The runner was ordered to start a run."
)
RUN_TURNED_AWAY = declare_event(
    11003, "run_turned_away", Level.INFO, "A run was not started; its owner is told so."
)
RUN_OVER = declare_event(11004, "run_over", Level.INFO, "A run has ended or is known not to run.")
RUN_STOPPED = declare_event(
    11005, "run_stop_ordered", Level.INFO, "The runner was ordered to stop a run."
)
HEALTH_CHANGED = declare_event(
    11006, "runner_health_changed", Level.WARNING, "The runner is trusted no more, or again."
)
OWNER_GONE = declare_event(
    11007, "run_owner_gone", Level.WARNING, "An owner is silent or lost; its runs are stopped."
)
RUNS_ADOPTED = declare_event(
    11008, "runs_adopted", Level.INFO, "Runs found at the runner or claimed by their owner."
)
LEASES_LAPSED = declare_event(
    11009,
    "leases_lapsed",
    Level.WARNING,
    "The runner could not be reached for as long as its leases last; what ran there is over.",
)

ENDS_IN_DOUBT = declare_event(
    11010,
    "ends_in_doubt",
    Level.WARNING,
    "Owners of ends are silent and control is out of touch: the lease is left to lapse.",
)


class GateLimits(NamedTuple):
    """Times of one gate, in milliseconds.

    Attributes
    ----------
    owner_silent_ms : float
        Silence after which an owner's runs are stopped.
    stop_overdue_ms : float
        Time without an answer to a stop after which leases are no longer renewed.
    stall_ms : float
        Time without progress after which a run is stopped.
    claim_ms : float
        Time for owners to claim runs that a new agent finds.
    doubt_ms : float
        Silence of an owner and of control after which the lease is left to lapse: with the lease
        and a tick less than the time after which owners try again.
    lease_ms : float
        Longest lease, with the drift of the runner's clock.
    listing_stale_ms : float
        Age of the last listing from which nothing is started.
    """

    owner_silent_ms: float = 500.0
    stop_overdue_ms: float = 250.0
    stall_ms: float = 700.0
    claim_ms: float = 900.0
    doubt_ms: float = 750.0
    lease_ms: float = 1_050.0
    listing_stale_ms: float = 800.0


class RunGate:
    """Runs at one runner.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds that counts suspended time.
    limits : GateLimits
        Times.
    order : callable
        ``order(order)`` gives an order to the runner without waiting.
    report : callable
        ``report(owner, outcome)`` tells an owner how a run ended.
    fence : int
        First fencing token, above those of former agents of this runner.

    Attributes
    ----------
    runner : RunnerReport or None
        Newest report of the runner.
    zone_open : bool
        Whether operators let work into the runner's zone.
    stopping : bool
        Whether this agent is being stopped: it starts nothing.
    health : RunnerHealth
        Judgement of the runner.
    metrics : RunnerMetrics
        Instruments.
    in_touch_ms : callable
        Gives the latest own time at which a majority of control was in touch.
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
        self.metrics = make_metrics("runner")
        self.last_end = 0
        self.fence = fence
        self.in_touch_ms: Callable[[], float] = clock
        self._unconfirmed = UnconfirmedEnds()
        self._silent_ms: dict[Owner, float] = {}
        self._in_doubt = False
        self._runs: dict[RunKey, Run] = {}
        self._records = RunRecords()
        self._owners_ms: dict[Owner, float] = {}
        # A former agent may have extended the leases until just now.
        self._lease_end_ms = clock() + limits.lease_ms
        self._listed_ms = clock()
        self._opened_ms = clock()
        self._is_listed = False
        self._unseen: list[Run] = []
        self.metrics.open_runs.watch(lambda: len(self._runs))
        self.metrics.free_cpu_millis.watch(lambda: self.describe_load(0).free_cpu_millis)
        self.metrics.lease_left_ms.watch(lambda: max(0.0, self._lease_end_ms - clock()))

    # ---- the runner's word ----

    def announce(self, report: RunnerReport) -> bool:
        """Take in a runner's report; returns whether it was news of the present boot."""
        former = self.runner
        if report.boot < self.boot:
            return False
        if report.boot == self.boot and former is not None and report.sequence <= former.sequence:
            return False
        self._enter_boot(report.boot)
        self.runner = report
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
            self._turn_away_queued(RunReason.CLOSED)
        self._start_queued()
        return True

    def withdraw(self, runner: str) -> None:
        """Note that the runner says it is leaving for good."""
        if self.runner is not None and self.runner.runner == runner:
            self.runner = self.runner._replace(leaving=True)
            self._turn_away_queued(RunReason.CLOSED)

    def note_listing(self, listing: Listing, asked_ms: float) -> None:
        """Take in the runner's lists.

        Parameters
        ----------
        listing : Listing
            What it answered.
        asked_ms : float
            Own time at which it was asked.
        """
        if listing.boot < self.boot:
            return
        self._enter_boot(listing.boot)
        now_ms = self._clock()
        self._listed_ms = max(self._listed_ms, asked_ms)
        for row in listing.ended:
            if row.number > self.last_end:
                self.last_end = row.number
                self._note_end(row)
        running = {(row.task, row.run): row for row in listing.running}
        for key, row in running.items():
            self._note_running(key, row.percent, now_ms)
        for run in [it for it in self._runs.values() if it.key not in running]:
            self._note_absent(run, asked_ms)
        self._is_listed = True
        self._settle_unseen()
        self._start_queued()

    def note_started(self, key: RunKey, reply: StartReply) -> None:
        """Take in the answer to an order to start."""
        run = self._runs.get(key)
        if run is None or run.phase is not RunPhase.STARTING:
            return
        if reply is StartReply.STARTED:
            run.may_have_run = True
            run.phase = RunPhase.RUNNING
            run.started_ms = run.progress_ms = self._clock()
        elif reply is StartReply.UNANSWERED:
            self._settle(run)
        elif reply is StartReply.SUPERSEDED:
            self._finish(run, RunState.NOT_RUN, RunReason.SUPERSEDED)
        elif reply is StartReply.OTHER_BOOT:
            self._finish(run, RunState.NOT_RUN, RunReason.CLOSED)
        elif reply is StartReply.UNHEALTHY:
            self._note_health(self.health.note_bad(_job_of(run)))
            self._finish(run, RunState.NOT_RUN, RunReason.UNHEALTHY)
        else:
            self._finish(run, RunState.NOT_RUN, RunReason.FULL)

    def note_stopped(self, key: RunKey, answered: bool) -> None:
        """Take in whether a stop was answered; one that was not is ordered again."""
        run = self._runs.get(key)
        if run is None or run.phase is not RunPhase.STOPPING:
            return
        if answered:
            run.stop_answered_ms = self._clock()
        else:
            self._order(Order(OrderKind.STOP, *key))

    def note_lease(self, asked_ms: float) -> None:
        """Count an order that may have extended the leases, answered or not."""
        self._lease_end_ms = max(self._lease_end_ms, asked_ms + self._limits.lease_ms)

    # ---- the owners' word ----

    def hear_owner(self, owner: Owner, alive_ms: float) -> None:
        """Note that an owner was alive at `alive_ms` of the own clock."""
        known_ms = self._owners_ms.get(owner, 0.0)
        self._owners_ms[owner] = max(known_ms, alive_ms)
        self._silent_ms.pop(owner, None)

    def confirm_outcomes(self, keys: list[RunKey]) -> None:
        """Note that an owner has taken in how runs ended."""
        self._unconfirmed.confirm(set(keys))

    @property
    def has_unconfirmed(self) -> bool:
        """Return whether ends are held back until their owners confirm them."""
        return len(self._unconfirmed) > 0

    @property
    def final_end(self) -> int:
        """Return the highest number up to which the runner may forget ends."""
        return self._unconfirmed.final_number(self.last_end)

    def replace_owner(self, owner: Owner) -> None:
        """Note that a process is linked: runs of former processes of its name are stopped."""
        self.hear_owner(owner, self._clock())
        former = {run.owner for run in self._runs.values() if run.owner is not None}
        for other in former:
            if other.name == owner.name and other != owner:
                self._owners_ms.pop(other, None)
                self._stop_owned(other, RunReason.OWNER_SILENT)
        for other in self._unconfirmed.list_owners():
            if other is not None and other.name == owner.name and other != owner:
                # Its jobs ended with the former process: nobody starts them again from memory.
                self._unconfirmed.match_claim(other, ())

    def receive_start(self, owner: Owner, start: RunStart, is_late: bool) -> None:
        """Start a run, queue it, or tell its owner why not."""
        key = (start.task, start.run)
        present = self._runs.get(key)
        if present is not None:
            present.owner = owner
            return
        ended = self._records.find_end(key)
        if ended is not None:
            self._report(owner, ended)
            return
        run = Run(start, owner, self._clock())
        reason = RunReason.EXPIRED if is_late else self._find_refusal(run)
        if reason is not None:
            self._turn_away(run, reason)
            return
        self._runs[key] = run
        self._start_queued()
        if run.phase is RunPhase.QUEUED and not start.wait_ms:
            self._finish(run, RunState.NOT_RUN, RunReason.FULL)

    def receive_stop(self, owner: Owner, keys: list[RunKey]) -> None:
        """Stop runs of an owner; what was never seen is never started."""
        for key in keys:
            run = self._runs.get(key)
            if run is not None:
                self._stop(run, RunReason.NONE)
                continue
            outcome = self._records.find_end(key)
            if outcome is None:
                outcome = RunOutcome(*key, RunState.NOT_RUN, RunReason.UNKNOWN_RUN, 0, 0, 0)
                self._records.remember(outcome)
            self._report(owner, outcome)

    def receive_claim(self, owner: Owner, starts: list[RunStart]) -> None:
        """Match the runs that an owner believes to be here with those that are."""
        self.hear_owner(owner, self._clock())
        claimed = {(start.task, start.run): start for start in starts}
        self._unconfirmed.match_claim(owner, claimed)
        for run in list(self._runs.values()):
            if run.owner is None and run.key in claimed:
                run.owner, run.start = owner, claimed[run.key]
            elif run.owner == owner and run.key not in claimed:
                self._stop(run, RunReason.UNKNOWN_RUN)
        if claimed:
            emit(RUNS_ADOPTED, owner=owner.name, claimed=len(claimed), present=len(self._runs))
        for key in claimed:
            ended = self._records.find_end(key)
            if ended is not None:
                self._report(owner, ended)
            elif key not in self._runs:
                self._claim_unseen(owner, claimed[key])

    def _claim_unseen(self, owner: Owner, start: RunStart) -> None:
        """Take in a run that this agent has not seen: a former agent may have ordered it.

        It is settled by a stop, but not before the first listing shows whether it runs. One that
        is not there may have run: its end may have been taken note of by the former agent.
        """
        run = Run(start, owner, self._clock())
        run.phase = RunPhase.STARTING
        run.may_have_run = True
        self._runs[run.key] = run
        if self._is_listed:
            self._stop(run, RunReason.UNKNOWN_RUN)
        else:
            self._unseen.append(run)

    def _settle_unseen(self) -> None:
        """Settle the claimed runs that the first listing lacks."""
        unseen, self._unseen = self._unseen, []
        for run in unseen:
            if run.phase is RunPhase.STARTING and self._runs.get(run.key) is run:
                self._stop(run, RunReason.UNKNOWN_RUN)

    # ---- time ----

    def tick(self) -> None:
        """Stop what stands still or has no owner, and turn away what waited too long."""
        now_ms = self._clock()
        limits = self._limits
        for owner, alive_ms in list(self._owners_ms.items()):
            if now_ms - alive_ms >= limits.owner_silent_ms:
                del self._owners_ms[owner]
                self._silent_ms[owner] = alive_ms
                while len(self._silent_ms) > MAX_SILENT:
                    del self._silent_ms[next(iter(self._silent_ms))]
                self._stop_owned(owner, RunReason.OWNER_SILENT)
        self._settle_unconfirmed(now_ms)
        for run in list(self._runs.values()):
            if run.phase is RunPhase.QUEUED and now_ms >= run.queued_until_ms:
                self._finish(run, RunState.NOT_RUN, RunReason.FULL)
            elif run.owner is None and run.phase is RunPhase.RUNNING:
                if now_ms - self._opened_ms >= limits.claim_ms:
                    self._stop(run, RunReason.OWNER_SILENT)
            elif self._is_stalled(run, now_ms):
                self._note_health(self.health.note_bad(_job_of(run)))
                self._stop(run, RunReason.STALLED)
        self._lapse(now_ms)
        self._start_queued()

    def may_renew(self) -> bool:
        """Return whether leases may be extended: something runs, and no stop is overdue."""
        if self._in_doubt:
            return False
        now_ms = self._clock()
        has_runs = False
        for run in self._runs.values():
            if run.phase is RunPhase.STOPPING:
                unanswered = run.stop_answered_ms is None
                if unanswered and now_ms >= run.stop_due_ms + self._limits.stop_overdue_ms:
                    return False
            if run.phase in (RunPhase.STARTING, RunPhase.RUNNING):
                has_runs = True
        return has_runs

    def turn_away_if_closed(self) -> None:
        """Turn away what is queued if operators closed the zone."""
        if not self.zone_open:
            self._turn_away_queued(RunReason.CLOSED)

    def begin_stop(self) -> None:
        """Start nothing any more; what is queued is turned away."""
        self.stopping = True
        self._turn_away_queued(RunReason.STOPPING)

    # ---- what is known ----

    def describe_load(self, received: int) -> RunnerLoad:
        """Return the report for one owner that has sent `received` starts on its link."""
        now_ms = self._clock()
        if self.runner is None:
            return describe_unknown_runner(received, now_ms)
        return describe_load(
            self.runner, list(self._runs.values()), self._is_open(), self.health, received, now_ms
        )

    def list_running(self) -> list[Run]:
        """Return the runs that may be at the runner."""
        return [run for run in self._runs.values() if run.phase is not RunPhase.QUEUED]

    # ---- internals ----

    def _settle_unconfirmed(self, now_ms: float) -> None:
        """Release ends whose owners are silent, or let the lease lapse while that is in doubt."""
        silent_ms = {
            owner: self._silent_ms.get(owner, self._opened_ms)
            for owner in self._unconfirmed.list_owners()
            if owner is not None and owner not in self._owners_ms
        }
        if now_ms - self._opened_ms >= self._limits.claim_ms:
            silent_ms[None] = self._opened_ms
        in_touch_ms = self.in_touch_ms()
        self._unconfirmed.release_silent(silent_ms, in_touch_ms)
        was_in_doubt = self._in_doubt
        self._in_doubt = any(
            now_ms - max(in_touch_ms, silent_ms[owner]) >= self._limits.doubt_ms
            for owner in self._unconfirmed.list_owners()
            if owner in silent_ms
        )
        if self._in_doubt and now_ms >= self._lease_end_ms:
            self._unconfirmed.release_all()
            self._in_doubt = False
        if self._in_doubt != was_in_doubt:
            left_ms = round(self._lease_end_ms - now_ms)
            emit(ENDS_IN_DOUBT, in_doubt=self._in_doubt, lease_left_ms=left_ms)

    def _enter_boot(self, boot: int) -> None:
        if boot <= self.boot:
            return
        self._unconfirmed.release_all()
        had_boot = self.boot > 0
        self.boot = boot
        self.last_end = 0
        if not had_boot:
            return
        self.health.reset()
        self._records.forget_numbers()
        for run in list(self._runs.values()):
            # What was ordered since the former boot was listed last may be at the new one.
            if run.phase is not RunPhase.QUEUED and run.ordered_ms < self._listed_ms:
                self._finish(run, RunState.LOST, RunReason.NONE)

    def _is_stalled(self, run: Run, now_ms: float) -> bool:
        stall_ms = self._limits.stall_ms
        is_listed = now_ms - self._listed_ms < stall_ms
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
            and self._is_listed
            and self._clock() - self._listed_ms < self._limits.listing_stale_ms
        )

    def _find_refusal(self, run: Run) -> int | None:
        start = run.start
        if self.stopping:
            return RunReason.STOPPING
        if not self._is_open():
            return RunReason.CLOSED
        if self._records.highest_run(start.task) >= start.run:
            return RunReason.SUPERSEDED
        if self.runner.cpu_millis < start.cpu_millis or self.runner.memory_mb < start.memory_mb:
            return RunReason.FULL
        if self.health.trials() == 0:
            return RunReason.UNHEALTHY
        if sum(it.phase is RunPhase.QUEUED for it in self._runs.values()) >= MAX_QUEUED:
            return RunReason.FULL
        return None

    def _start_queued(self) -> None:
        queued = [run for run in self._runs.values() if run.phase is RunPhase.QUEUED]
        if not queued:
            return
        now_ms = self._clock()
        queued.sort(key=lambda run: run.rank(now_ms))
        for run in queued:
            if not self._start(run):
                return

    def _start(self, run: Run) -> bool:
        """Order a run if there is room for it and for no unknown run beside it."""
        if not self._is_open() or any(it.owner is None for it in self._runs.values()):
            return False
        used_cpu, used_memory = sum_room(self.list_running())
        if used_cpu + run.start.cpu_millis > self.runner.cpu_millis:
            return False
        if used_memory + run.start.memory_mb > self.runner.memory_mb:
            return False
        trials = self.health.trials()
        if trials == 0:
            return False
        if trials > 0:
            self.health.note_trial()
        run.phase = RunPhase.STARTING
        run.ordered_ms = self._clock()
        self._records.note_number(run.start.task, run.start.run)
        self._order(Order(OrderKind.START, *run.key, run.start.spec or b""))
        emit(
            RUN_ORDERED,
            task=run.start.task,
            run=run.start.run,
            owner=run.owner.name if run.owner is not None else "",
            used_cpu=used_cpu,
            waited_ms=round(run.ordered_ms - run.received_ms),
        )
        return True

    def _settle(self, run: Run) -> None:
        """Make sure that an order without an answer is not carried out later."""
        self._stop(run, RunReason.NONE)

    def _stop(self, run: Run, reason: int) -> None:
        if run.phase is RunPhase.QUEUED:
            self._finish(run, RunState.NOT_RUN, reason)
            return
        if run.phase in (RunPhase.STOPPING, RunPhase.LAPSED):
            return
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        run.stop_due_ms = self._clock()
        self._order(Order(OrderKind.STOP, *run.key))
        name = RunReason._VALUES_TO_NAMES.get(reason, "")
        emit(RUN_STOPPED, task=run.start.task, run=run.start.run, reason=name)

    def _stop_owned(self, owner: Owner, reason: int) -> None:
        owned = [run for run in self._runs.values() if run.owner == owner]
        if owned:
            emit(OWNER_GONE, owner=owner.name, incarnation=owner.incarnation, runs=len(owned))
        for run in owned:
            self._stop(run, reason)

    def _note_end(self, row: EndedRow) -> None:
        run = self._runs.get((row.task, row.run))
        if run is None:
            # Ordered by a former agent: its owner asks for the outcome by its claim.
            state = _ENDS.get(row.how, RunState.LOST)
            if state == RunState.DONE:
                self._unconfirmed.add(row.number, None, (row.task, row.run))
            self._records.remember(
                RunOutcome(row.task, row.run, state, RunReason.NONE, 0, row.run, 0)
            )
            return
        run_ms = self._clock() - run.started_ms
        if row.how == "done":
            if not run.is_reported:
                self._unconfirmed.add(row.number, run.owner, run.key)
            if run.owner is not None:
                self._note_health(self.health.note_good(run_ms, run.start.estimate_ms or 0))
            self._finish(run, RunState.DONE, RunReason.NONE, run_ms)
        elif row.how == "failed":
            self._note_health(self.health.note_bad(_job_of(run)))
            self._finish(run, RunState.FAILED, RunReason.NONE, run_ms)
        elif row.how == "stopped":
            self._finish(run, RunState.STOPPED, run.stop_reason, run_ms)
        else:
            self._finish(run, RunState.LOST, run.stop_reason, run_ms)

    def _note_running(self, key: RunKey, percent: int, now_ms: float) -> None:
        run = self._runs.get(key)
        if run is None:
            # Found by a new agent, or by one that had given it up: its owner must claim it.
            run = Run(RunStart(*key, b"", 0, 0, 0, 0, 0), None, now_ms)
            run.phase = RunPhase.RUNNING
            self._runs[key] = run
            if self._is_listed:
                self._stop(run, RunReason.UNKNOWN_RUN)
            return
        run.may_have_run = True
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.started_ms = run.progress_ms = now_ms
        if percent != run.percent:
            run.percent, run.progress_ms = percent, now_ms

    def _note_absent(self, run: Run, asked_ms: float) -> None:
        """End a run that a listing lacks, where that listing proves that it will not run."""
        if run.phase is RunPhase.LAPSED:
            self._finish(run, RunState.LOST, RunReason.NONE)
        elif run.phase is RunPhase.STOPPING:
            answered_ms = run.stop_answered_ms
            if answered_ms is not None and asked_ms >= answered_ms:
                state = RunState.LOST if run.may_have_run else RunState.NOT_RUN
                self._finish(run, state, run.stop_reason)
        elif run.phase is RunPhase.RUNNING and asked_ms > run.started_ms:
            self._finish(run, RunState.LOST, RunReason.NONE)

    def _lapse(self, now_ms: float) -> None:
        """Give up runs of a runner that is out of reach once their leases must be over."""
        if now_ms < self._lease_end_ms or now_ms - self._listed_ms < self._limits.lease_ms:
            return
        lapsed = [
            run
            for run in self._runs.values()
            if run.phase in (RunPhase.STARTING, RunPhase.RUNNING, RunPhase.STOPPING)
        ]
        if lapsed:
            emit(LEASES_LAPSED, runs=len(lapsed), listed_ms_ago=round(now_ms - self._listed_ms))
            # What was ordered without an answer is refused by its lower token when it arrives.
            self.fence += 1
        for run in lapsed:
            run.phase = RunPhase.LAPSED
            self._tell(run, RunState.LOST, RunReason.NONE, 0.0)

    def _turn_away_queued(self, reason: int) -> None:
        for run in [it for it in self._runs.values() if it.phase is RunPhase.QUEUED]:
            self._finish(run, RunState.NOT_RUN, reason)

    def _turn_away(self, run: Run, reason: int) -> None:
        outcome = self._make_outcome(run, RunState.NOT_RUN, reason, 0.0)
        self._records.remember(outcome)
        self.metrics.refused_runs.add(RunReason._VALUES_TO_NAMES.get(reason, ""))
        emit(
            RUN_TURNED_AWAY,
            task=run.start.task,
            run=run.start.run,
            reason=RunReason._VALUES_TO_NAMES.get(reason, ""),
        )
        if run.owner is not None:
            self._report(run.owner, outcome)

    def _finish(self, run: Run, state: int, reason: int, run_ms: float = 0.0) -> None:
        self._runs.pop(run.key, None)
        self._tell(run, state, reason, run_ms)
        self._start_queued()

    def _tell(self, run: Run, state: int, reason: int, run_ms: float) -> None:
        if run.is_reported:
            return
        run.is_reported = True
        outcome = self._make_outcome(run, state, reason, run_ms)
        self._records.remember(outcome)
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

    def _note_health(self, change: HealthChange) -> None:
        if change.became_healthy or change.became_unhealthy:
            runner = self.runner.runner if self.runner is not None else ""
            emit(HEALTH_CHANGED, runner=runner, healthy=change.became_healthy)


def _job_of(run: Run) -> str:
    return run.start.task.partition(".")[0]
