"""Carries the gate's orders to the runner and keeps asking it for its lists."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._gate import RunGate
from apricotrail.runners._runs import Listing, Order, OrderKind, StartReply

__all__ = ["Call", "RunnerDriver", "RunnerPort", "StartResult", "StopResult"]

# A call on the own machine takes 1 to 2 ms, on a machine that is six times slower about 10. One
# that is lost hides ends, so it is repeated soon.
START_MS = 60.0
START_TRIES = 3
STOP_MS = 60.0
STOP_PAUSE_MS = 20.0
HOLD_WAIT_MS = 100
HOLD_ANSWER_MS = 50.0  # on top of the wait
IDLE_WAIT_MS = 250  # two lost calls in a row stay under the age at which a listing is stale
HOLD_PAUSE_MS = 20.0
CONFIRM_MS = 25.0  # several round trips between zones; an end has to be final within 100 ms
LEASE_MS = 1_000
FENCE_STEP = 60_000  # above the jumps of wall clocks between two agents, in ms
CLOCK_DRIFT = 0.97  # the runner's clock may be 2 % slow

RUNNER_SILENT = declare_event(
    11101, "runner_silent", Level.WARNING, "The runner does not answer calls."
)
RUNNER_BACK = declare_event(11102, "runner_back", Level.INFO, "The runner answers again.")
FENCE_RAISED = declare_event(
    11103,
    "fence_raised",
    Level.WARNING,
    "The runner has seen a higher fencing token; this agent takes a higher one.",
)


class Call(NamedTuple):
    """What every call to a runner carries.

    Attributes
    ----------
    boot : int
        Boot that the call is meant for, 0 for any.
    fence : int
        Fencing token.
    lease_until_ms : int or None
        Until when leases are extended, on the runner's clock; None leaves them as they are.
    timeout_ms : float
        Time for the answer.
    """

    boot: int
    fence: int
    lease_until_ms: int | None
    timeout_ms: float


class StartResult(NamedTuple):
    """Answer to an order to start.

    Attributes
    ----------
    reply : StartReply
        What became of it.
    clock_ms : int or None
        The runner's clock, if it answered.
    """

    reply: StartReply
    clock_ms: int | None = None


class StopResult(NamedTuple):
    """Answer to an order to stop.

    Attributes
    ----------
    is_settled : bool
        Whether the runner answered that the run does not go on and will not start.
    is_fenced : bool
        Whether the token was too low.
    """

    is_settled: bool
    is_fenced: bool = False


class RunnerPort(NamedTuple):
    """How calls reach a runner.

    Attributes
    ----------
    start : callable
        ``start(call, task, run, spec)`` gives a `StartResult`.
    stop : callable
        ``stop(call, task, run)`` gives a `StopResult`.
    hold : callable
        ``hold(call, last_end, wait_ms)`` gives a `Listing`, True if the token was too low, or None
        without an answer.
    """

    start: Callable[..., Awaitable[StartResult]]
    stop: Callable[..., Awaitable[StopResult]]
    hold: Callable[..., Awaitable[Listing | bool | None]]


class RunnerDriver:
    """Calls one runner on behalf of its gate.

    Parameters
    ----------
    gate : RunGate
        Decides what is called.
    port : RunnerPort
        How calls reach the runner.
    clock : Clock
        Monotonic time in milliseconds.
    spawn : callable
        Runs a coroutine in the background.
    """

    def __init__(
        self,
        gate: RunGate,
        port: RunnerPort,
        clock: Clock,
        spawn: Callable[[Awaitable[None]], object],
    ) -> None:
        self._gate = gate
        self._port = port
        self._clock = clock
        self._spawn = spawn
        self._runner_clock_ms: int | None = None
        self._clock_read_ms = 0.0
        self._silent = False
        self._confirmed = asyncio.Event()

    def order(self, order: Order) -> None:
        """Give an order without waiting."""
        work = self._start if order.kind is OrderKind.START else self._stop
        self._spawn(work(order))

    async def hold_forever(self) -> None:
        """Renew leases and take in ends until cancelled."""
        while True:
            if not await self._hold(self._wait_ms()):
                await asyncio.sleep(HOLD_PAUSE_MS / 1000)
            elif self._gate.has_unconfirmed:
                # The runner would answer at once while it has ends that are not taken note of.
                await self._wait_for_confirmation()

    def note_confirmed(self) -> None:
        """Note that an owner has confirmed ends."""
        self._confirmed.set()

    async def _wait_for_confirmation(self) -> None:
        self._confirmed.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_MS / 1000):
                await self._confirmed.wait()

    async def extend_once(self) -> None:
        """Extend all leases as far as possible, for the agent that comes next."""
        await self._hold(0)

    def _wait_ms(self) -> int:
        return HOLD_WAIT_MS if self._gate.list_running() else IDLE_WAIT_MS

    async def _hold(self, wait_ms: int) -> bool:
        gate = self._gate
        asked_ms = self._clock()
        renews = gate.may_renew()
        if renews:
            gate.note_lease(asked_ms)
        call = self._make_call(wait_ms + HOLD_ANSWER_MS, renews)
        answer = await self._port.hold(call, gate.final_end, wait_ms)
        if answer is True:
            self._raise_fence()
            return False
        if not isinstance(answer, Listing):
            self._note_silent(True)
            return False
        self._note_silent(False)
        if answer.boot >= gate.boot:
            if answer.boot != gate.boot:
                self._runner_clock_ms = None
            self._read_clock(answer.clock_ms)
        gate.note_listing(answer, asked_ms)
        return answer.boot >= call.boot

    async def _start(self, order: Order) -> None:
        gate, key = self._gate, (order.task, order.run)
        reply = StartReply.UNANSWERED
        for _ in range(START_TRIES):
            gate.note_lease(self._clock())
            call = self._make_call(START_MS, True)
            result = await self._port.start(call, order.task, order.run, order.spec)
            reply = result.reply
            if result.clock_ms is not None and call.boot == gate.boot:
                self._read_clock(result.clock_ms)
            if reply is StartReply.FENCED:
                self._raise_fence()
            elif reply is not StartReply.TOO_LATE and reply is not StartReply.UNANSWERED:
                break
        gate.note_started(key, reply)

    async def _stop(self, order: Order) -> None:
        call = self._make_call(STOP_MS, False)
        result = await self._port.stop(call, order.task, order.run)
        if result.is_fenced:
            self._raise_fence()
        if not result.is_settled:
            await asyncio.sleep(STOP_PAUSE_MS / 1000)
        self._gate.note_stopped((order.task, order.run), result.is_settled)

    def _make_call(self, timeout_ms: float, renews: bool) -> Call:
        lease_until_ms = None
        if renews and self._runner_clock_ms is not None:
            passed_ms = (self._clock() - self._clock_read_ms) * CLOCK_DRIFT
            lease_until_ms = int(self._runner_clock_ms + passed_ms + LEASE_MS)
        return Call(self._gate.boot, self._gate.fence, lease_until_ms, timeout_ms)

    def _read_clock(self, clock_ms: int) -> None:
        self._runner_clock_ms = clock_ms
        self._clock_read_ms = self._clock()

    def _raise_fence(self) -> None:
        self._gate.fence += FENCE_STEP
        emit(FENCE_RAISED, fence=self._gate.fence)

    def _note_silent(self, silent: bool) -> None:
        if silent != self._silent:
            self._silent = silent
            emit(RUNNER_SILENT if silent else RUNNER_BACK, boot=self._gate.boot)
