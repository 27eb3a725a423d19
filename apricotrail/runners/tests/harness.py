"""A run gate on virtual time with a runner whose answers the test scripts."""

from apricotrail.clocks import VirtualClock
from apricotrail.runners._gate import GateLimits, RunGate
from apricotrail.runners._runs import (
    EndedRow,
    Listing,
    OrderKind,
    Owner,
    RunnerReport,
    RunningRow,
    StartReply,
)
from apricotrail.wire.generated.ttypes import RunStart

BOOT = 1_000
RUNNER_ZERO_MS = 7_000.0  # when the runner's clock began, on the clock of the test
ALICE = Owner("alice", 1)
BOB = Owner("bob", 1)


def make_report(**changes) -> RunnerReport:
    report = RunnerReport(
        "i-1", BOOT, "127.0.0.1:1", "repairs", "pipa", ("a",), 16_000, 32_000, False, 1
    )
    return report._replace(**changes)


def make_start(task="j.0.0.0", run=1, cpu=1_600, wait_ms=0, **changes) -> RunStart:
    due_ms = changes.get("due_ms", 1_000)
    late_ms = changes.get("late_due_ms", 3_000)
    priority = changes.get("priority", 0)
    limit = changes.get("max_per_runner")
    return RunStart(
        task, run, b"spec", cpu, 64, 400, priority, wait_ms, due_ms, late_ms, None, limit
    )


class GateCase:
    """A gate with the orders it sent to the runner and the outcomes it reported to owners."""

    def __init__(self, announced: bool = True) -> None:
        self.clock = VirtualClock(10_000.0)
        self.orders = []
        self.reports = []
        self.gate = RunGate(
            self.clock,
            GateLimits(),
            self.orders.append,
            lambda owner, outcome: self.reports.append((owner, outcome)),
            fence=5,
        )
        self.gate.record_owner_alive(ALICE, self.clock())
        self.ends = 0
        if announced:
            self.list()
            self.gate.announce(make_report())

    def start(self, start=None, owner=ALICE, reply=StartReply.STARTED) -> None:
        start = start or make_start()
        self.gate.receive_start(owner, start, False)
        if reply is not None:
            self.gate.receive_start_reply((start.task, start.run), reply)

    def runner_clock_ms(self) -> int:
        """Return the runner's monotonic clock, which its listings show."""
        return int(self.clock() - RUNNER_ZERO_MS)

    def list(self, running=(), ended=(), boot=BOOT, asked_ms=None) -> None:
        """Give the gate a listing; `ended` holds (task, run, end_state)."""
        rows = []
        for task, run, end_state in ended:
            self.ends += 1
            rows.append(EndedRow(self.ends, task, run, end_state))
        running_rows = tuple(RunningRow(*row) for row in running)
        listing = Listing(boot, self.runner_clock_ms(), running_rows, tuple(rows))
        self.gate.receive_listing(listing, self.clock() if asked_ms is None else asked_ms)

    def advance(self, total_ms, running=(), alive=(ALICE,), step_ms=50.0) -> None:
        """Advance the clock with ticks, listings of `running` and heartbeats of owners."""
        passed = 0.0
        while passed < total_ms:
            self.clock.advance(step_ms)
            passed += step_ms
            for owner in alive:
                self.gate.record_owner_alive(owner, self.clock())
            if running is not None:
                self.list([(*row, 1 + int(passed)) for row in running])
            self.gate.tick()

    def ordered(self, kind: OrderKind) -> list:
        return [(order.task, order.run) for order in self.orders if order.kind is kind]

    def outcomes(self) -> list:
        return [(outcome.task, outcome.run, outcome.state) for _, outcome in self.reports]
