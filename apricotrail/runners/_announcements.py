"""Decides which announcements come from the agent's own runner.

An announcement says what its writer claims, and others may write to the same address. The lists
that the runner returns are evidence: of its boot, and of its id if the call named that id. So an
announcement of another boot changes nothing until the runner lists that boot, and within a boot the
id counts under which the runner has answered.
"""

from collections import OrderedDict

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._runs import RunnerReport

__all__ = ["Announcements"]

MAX_WAITING = 8
MAX_REFUSED_IDS = 256
LATE_SPREAD_MS = 500.0  # late announcements come together, those of a runner a second apart

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
        self._lower: tuple[int, float] | None = None
        self._ignored = ("", 0)

    def accept(self, report: RunnerReport, current: RunnerReport | None) -> bool:
        """Return whether an announcement takes effect now, in place of the `current` one.

        One of a later boot is kept until `enter_boot`.
        """
        if report.boot > self._boot:
            self._keep(report)
            return False
        if report.boot < self._boot or report.runner in self._refused_ids:
            return False
        if current is None or current.boot != report.boot:
            # The next call names this id, and shows whether the runner goes by it.
            return True
        if report.runner != (self._confirmed_id or current.runner):
            self._note_ignored(report)
            return False
        return self._follows(report.sequence, current.sequence)

    def enter_boot(self, boot: int) -> RunnerReport | None:
        """Note the boot that the runner has listed; return the announcement kept for it, if any."""
        self._boot = boot
        self._confirmed_id = ""
        self._refused_ids.clear()
        self._lower = None
        kept = [report for report in self._waiting.values() if report.boot == boot]
        for key in [key for key in self._waiting if key[0] <= boot]:
            del self._waiting[key]
        return kept[0] if kept else None

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

    def _follows(self, sequence: int, current: int) -> bool:
        """Return whether an announcement is newer than the current one of the same id and boot.

        One with a lower number is late, unless an earlier one with a number below its own came
        some time before it: then the current number is wrong.
        """
        now_ms = self._clock()
        if sequence > current:
            self._lower = None
            return True
        if self._lower is None or sequence <= self._lower[0]:
            self._lower = (sequence, now_ms)
            return False
        if now_ms - self._lower[1] < LATE_SPREAD_MS:
            return False
        self._lower = None
        return True

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
