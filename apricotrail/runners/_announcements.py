"""Decides which announcements come from the agent's own runner.

An announcement says what its writer claims, and others may write to the same address. The lists
that the runner returns are evidence: of its boot, of its clock, and of its id if the call named
that id. So an announcement of another boot changes nothing until the runner lists that boot, and
within a boot the id counts under which the runner has answered.

An announcement that names the runner's clock is late if a newer one was accepted, and another
writer's if the clock is ahead of the runner's. Numbers order those without such a clock
(`_sequence`). One that is neither proven nor late only restricts the runner: work that starts in
spite of it would break what its acknowledgement promises, while the runner's next announcement
makes up for a restriction that was wrong. `_leaving` keeps a runner leaving once it has said so.
"""

from collections import OrderedDict
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._leaving import LeavingState, Position
from apricotrail.runners._runs import RunnerReport
from apricotrail.runners._sequence import SPREAD_MS, AnnouncedNumbers, AnnouncementOrder

__all__ = ["LATE_SPREAD_MS", "Announcements", "Verdict"]

MAX_WAITING = 8
MAX_REFUSED_IDS = 256
LATE_SPREAD_MS = SPREAD_MS
CLOCK_MARGIN_MS = 100.0
MAX_CLOCK_RATE = 1.02

ANNOUNCEMENT_IGNORED = declare_event(
    11014,
    "announcement_ignored",
    Level.WARNING,
    "An announcement names another id or boot than the runner that answers here. It is kept if the "
    "runner may have booted again, and ignored otherwise. Check who else writes to this address.",
)


class Verdict(NamedTuple):
    """What becomes of an announcement.

    Attributes
    ----------
    effect : RunnerReport or None
        What is known of the runner from now on; None if nothing changes.
    is_newest : bool
        Whether the announcement counts as the runner's newest.
    """

    effect: RunnerReport | None
    is_newest: bool = False


class _ClockReading(NamedTuple):
    """The runner's clock in one boot, and the earliest time on the own clock at which it was so."""

    boot: int
    clock_ms: int
    since_ms: float


class Announcements:
    """Ids, clocks and sequence numbers of the announcements in the runner's present boot.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._boot = 0
        self._confirmed_id = ""
        self._refused_ids: OrderedDict[str, None] = OrderedDict()
        self._waiting: OrderedDict[tuple[int, str], RunnerReport] = OrderedDict()
        self._reading: _ClockReading | None = None
        self._newest = Position(0)
        self._numbers = AnnouncedNumbers(clock, 0)
        self._leaving = LeavingState(clock)
        self._ignored = ("", 0)

    def accept(self, report: RunnerReport, current: RunnerReport | None) -> Verdict:
        """Return what becomes of an announcement, given what is known of the runner.

        One of a later boot is kept until `enter_boot`. `leaving` is also set if the runner has said
        before that it leaves.
        """
        if report.boot > self._boot:
            self._keep(report)
            return Verdict(None)
        if report.boot < self._boot or report.runner in self._refused_ids:
            return Verdict(None)
        if current is None or current.boot != report.boot:
            # The next call names this id, and shows whether the runner goes by it.
            return Verdict(self._accept_first(report), True)
        if report.runner != (self._confirmed_id or current.runner):
            self._note_ignored(report)
            return Verdict(None)
        return self._accept_next(report, current)

    def withdraw(self) -> None:
        """Note that the runner left for good, without an announcement of that."""
        self._leaving.note_withdrawal(self._newest)

    def note_clock(self, boot: int, clock_ms: int, asked_ms: float) -> None:
        """Record the runner's clock in the answer to a call that was made at `asked_ms`."""
        self._reading = _ClockReading(boot, clock_ms, asked_ms)

    def _accept_first(self, report: RunnerReport) -> RunnerReport:
        self._newest = self._locate(report)
        self._numbers = AnnouncedNumbers(self._clock, report.sequence)
        self._leaving = LeavingState(self._clock)
        if report.leaving:
            self._leaving.note_leaving(self._newest)
        return report

    def _accept_next(self, report: RunnerReport, current: RunnerReport) -> Verdict:
        position, former = self._locate(report), self._newest
        order = self._order(position)
        if order is AnnouncementOrder.UNPROVEN:
            return Verdict(self._restrict(report, current))
        is_newest = order is AnnouncementOrder.NEWER
        if is_newest and position.clock_ms is None and position.number < former.number:
            # The highest number was another writer's, and what came with it is void.
            self._leaving = LeavingState(self._clock)
        if report.leaving:
            if is_newest:
                self._leaving.note_leaving(position)
            return Verdict(report if is_newest else None, is_newest)
        is_leaving = self._leaving.note_ready(position)
        if is_newest or (current.leaving and not is_leaving):
            return Verdict(report._replace(leaving=is_leaving), True)
        return Verdict(None)

    def _locate(self, report: RunnerReport) -> Position:
        """Return the place of an announcement, without a clock that the runner can't have read."""
        reading, clock_ms = self._reading, report.clock_ms
        if clock_ms is None or reading is None or reading.boot != report.boot:
            return Position(report.sequence)
        passed_ms = (self._clock() - reading.since_ms) * MAX_CLOCK_RATE
        is_possible = clock_ms <= reading.clock_ms + passed_ms + CLOCK_MARGIN_MS
        return Position(report.sequence, clock_ms if is_possible else None)

    def _order(self, position: Position) -> AnnouncementOrder:
        """Return the order of an announcement, and record it if it is the newest."""
        newest = self._newest
        if position.clock_ms is None:
            order = self._numbers.compare(position.number)
            if order is AnnouncementOrder.NEWER:
                self._newest = newest._replace(number=position.number)
            return order
        known_ms = -1 if newest.clock_ms is None else newest.clock_ms
        if (position.clock_ms, position.number) <= (known_ms, newest.number):
            return AnnouncementOrder.LATE
        self._numbers.accept(position.number)
        self._newest = position
        return AnnouncementOrder.NEWER

    def _restrict(self, report: RunnerReport, current: RunnerReport) -> RunnerReport | None:
        """Return what holds while an announcement is unproven; None if it changes nothing."""
        if report.leaving:
            # Later ones than the newest speak against it, whatever its own number is.
            self._leaving.note_leaving(self._newest)
        restricted = current._replace(
            leaving=current.leaving or report.leaving,
            cpu_millis=min(current.cpu_millis, report.cpu_millis),
            memory_mb=min(current.memory_mb, report.memory_mb),
        )
        return restricted if restricted != current else None

    def enter_boot(self, boot: int) -> RunnerReport | None:
        """Note the boot that the runner has listed; return the announcement kept for it, if any."""
        self._boot = boot
        self._confirmed_id = ""
        self._refused_ids.clear()
        kept = [report for report in self._waiting.values() if report.boot == boot]
        for key in [key for key in self._waiting if key[0] <= boot]:
            del self._waiting[key]
        return self._accept_first(kept[0]) if kept else None

    def confirm_id(self, runner: str) -> None:
        """Note that the runner answered a call that named this id."""
        self._confirmed_id = runner

    def refuse_id(self, runner: str) -> bool:
        """Note that the runner refused a call for this id; return whether the id isn't its own."""
        if runner == self._confirmed_id:
            return False
        self._refused_ids[runner] = None
        while len(self._refused_ids) > MAX_REFUSED_IDS:
            self._refused_ids.popitem(last=False)
        return True

    def _keep(self, report: RunnerReport) -> None:
        key = (report.boot, report.runner)
        known = self._waiting.get(key)
        if known is None:
            self._note_ignored(report)
        if known is None or report.sequence > known.sequence:
            self._waiting[key] = report
        while len(self._waiting) > MAX_WAITING:
            self._waiting.popitem(last=False)

    def _note_ignored(self, report: RunnerReport) -> None:
        if self._ignored == (report.runner, report.boot) or not self._boot:
            return
        self._ignored = (report.runner, report.boot)
        emit(
            ANNOUNCEMENT_IGNORED,
            runner=report.runner,
            boot=report.boot,
            known_runner=self._confirmed_id,
            known_boot=self._boot,
        )
