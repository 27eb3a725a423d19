"""Decides which announcements come from the agent's own runner.

An announcement says what its writer claims, and others may write to the same address. The lists
that the runner returns are evidence: of its boot, and of its id if the call named that id. So an
announcement of another boot changes nothing until the runner lists that boot, and within a boot the
id counts under which the runner has answered. `_sequence` tells late announcements by their
numbers, and `_leaving` keeps a runner leaving once it has said so.
"""

from collections import OrderedDict

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._leaving import LeavingState
from apricotrail.runners._runs import RunnerReport
from apricotrail.runners._sequence import SPREAD_MS, AnnouncedNumbers

__all__ = ["LATE_SPREAD_MS", "Announcements"]

MAX_WAITING = 8
MAX_REFUSED_IDS = 256
LATE_SPREAD_MS = SPREAD_MS

ANNOUNCEMENT_IGNORED = declare_event(
    11014,
    "announcement_ignored",
    Level.WARNING,
    "An announcement names another id or boot than the runner that answers here. It is kept if the "
    "runner may have booted again, and ignored otherwise. Check who else writes to this address.",
)


class Announcements:
    """Ids and sequence numbers of the announcements in the runner's present boot.

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
        self._numbers: AnnouncedNumbers | None = None
        self._leaving = LeavingState(clock)
        self._ignored = ("", 0)

    def accept(self, report: RunnerReport, current: RunnerReport | None) -> RunnerReport | None:
        """Return the announcement that takes the place of the `current` one now, None if none does.

        One of a later boot is kept until `enter_boot`. `leaving` is also set if the runner has said
        before that it leaves.
        """
        if report.boot > self._boot:
            self._keep(report)
            return None
        if report.boot < self._boot or report.runner in self._refused_ids:
            return None
        if current is None or current.boot != report.boot:
            # The next call names this id, and shows whether the runner goes by it.
            return self._accept_first(report)
        if report.runner != (self._confirmed_id or current.runner):
            self._note_ignored(report)
            return None
        return self._accept_next(report, current)

    def withdraw(self) -> None:
        """Note that the runner left for good, without an announcement of that."""
        self._leaving.note_withdrawal(self._numbers.highest if self._numbers is not None else 0)

    def _accept_first(self, report: RunnerReport) -> RunnerReport:
        self._numbers = AnnouncedNumbers(self._clock, report.sequence)
        self._leaving = LeavingState(self._clock)
        if report.leaving:
            self._leaving.note_leaving(report.sequence)
        return report

    def _accept_next(self, report: RunnerReport, current: RunnerReport) -> RunnerReport | None:
        former_highest = self._numbers.highest
        is_newer = self._numbers.accept(report.sequence)
        if is_newer and report.sequence < former_highest:
            # The highest number was another writer's, and what came with it is void.
            self._leaving = LeavingState(self._clock)
        if not is_newer and report.sequence > former_highest:
            return None
        if report.leaving:
            if is_newer:
                self._leaving.note_leaving(report.sequence)
            return report if is_newer else None
        is_leaving = self._leaving.note_ready(report.sequence)
        if is_newer or (current.leaving and not is_leaving):
            return report._replace(leaving=is_leaving)
        return None

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
