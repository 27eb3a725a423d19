"""Boots of the runner, its announcements, and what is lost with a boot."""

from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._capacity import finish_run, refuse_oversized, refuse_queued, start_queued
from apricotrail.runners._gate_state import GateState
from apricotrail.runners._runs import Listing, Run, RunnerReport
from apricotrail.wire.generated.ttypes import RunReason, RunState

__all__ = ["announce", "check_id", "enter_boot", "record_loss", "withdraw"]

RUNNER_ANNOUNCED = declare_event(
    11001,
    "runner_announced",
    Level.INFO,
    "The runner announced itself for the first time, after a boot or with a changed state.",
)
RUNNER_ID_REFUSED = declare_event(
    11013,
    "runner_id_refused",
    Level.WARNING,
    "The runner answered that it doesn't go by the id under which it was announced; the agent "
    "waits for its own announcement. Check who else writes to this address.",
)


def announce(gate: GateState, report: RunnerReport) -> bool:
    """Apply an announcement of the runner; return False unless it counts as its newest."""
    verdict = gate._announcements.accept(report, gate.runner)
    if verdict.effect is not None:
        _apply_announcement(gate, verdict.effect)
    return verdict.is_newest


def withdraw(gate: GateState, runner: str) -> None:
    """Start nothing more at a runner that announced that it leaves permanently."""
    if gate.runner is not None and gate.runner.runner == runner:
        gate._announcements.withdraw()
        gate.runner = gate.runner._replace(leaving=True)
        refuse_queued(gate, RunReason.CLOSED)


def _apply_announcement(gate: GateState, report: RunnerReport) -> None:
    former, gate.runner = gate.runner, report
    if former is None or _without_position(former) != _without_position(report):
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
        refuse_queued(gate, RunReason.CLOSED)
    refuse_oversized(gate)
    start_queued(gate)


def _without_position(report: RunnerReport) -> RunnerReport:
    return report._replace(sequence=0, clock_ms=None)


def check_id(gate: GateState, listing: Listing) -> None:
    """Note by which id the runner goes, and drop an announcement under another one."""
    if listing.instance:
        gate._announcements.confirm_id(listing.instance)
    refused = listing.refused_instance
    if not refused or refused != gate.instance or not gate._announcements.refuse_id(refused):
        return
    emit(RUNNER_ID_REFUSED, runner=refused, boot=gate.boot)
    gate.runner = None
    refuse_queued(gate, RunReason.CLOSED)


def enter_boot(gate: GateState, boot: int) -> None:
    """Note a newer boot that the runner listed; the runs ordered in a former one are lost."""
    if boot <= gate.boot:
        return
    _leave_boot(gate, boot)
    announced = gate._announcements.enter_boot(boot)
    if announced is not None:
        _apply_announcement(gate, announced)


def _leave_boot(gate: GateState, boot: int) -> None:
    """End the runs of the former boot, if there was one."""
    gate._unconfirmed.release_all()
    former_boot = gate.boot
    gate.boot = boot
    gate.highest_end = 0
    if not former_boot:
        return
    # The new boot knows no token yet; orders to the former one that arrive late are refused.
    gate.fence += 1
    gate.health.reset()
    gate._records.clear_run_numbers()
    present = gate.list_running()
    record_loss(gate, former_boot, present, is_down=True)
    for run in present:
        run.may_have_run = True
        # An order sent after the last listing of the former boot may have reached the new boot.
        if run.ordered_ms < gate._listing_asked_ms:
            finish_run(gate, run, RunState.LOST, RunReason.NONE)


def record_loss(gate: GateState, boot: int, runs: list[Run], is_down: bool = False) -> None:
    """Announce the loss of the runner with `runs`, unless it leaves or that is announced."""
    is_leaving = gate.runner is not None and gate.runner.leaving
    unreported = [run for run in runs if not run.is_reported]
    if not is_leaving:
        gate.losses.record(boot, unreported, gate._listing_asked_ms, is_down)
