"""Sends the gate's orders to the runner and polls it for its lists, which also renews leases."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.runners._gate import RunGate
from apricotrail.runners._runs import Listing, Order, OrderKind, StartReply

__all__ = ["Call", "RunnerDriver", "RunnerPort", "StartResult", "StopResult"]

# A call within the machine takes 1 to 2 ms, and about 10 ms on a machine that is six times slower.
# A lost call hides ends, so it is repeated soon.
START_TIMEOUT_MS = 60.0
START_TRIES = 3
STOP_TIMEOUT_MS = 60.0
STOP_RETRY_MS = 20.0
HOLD_WAIT_MS = 100
HOLD_ANSWER_TIMEOUT_MS = 50.0  # timeout in addition to the wait
IDLE_WAIT_MS = 250  # with two lost calls in a row, the last listing is not stale yet
HOLD_RETRY_MS = 20.0
CONFIRM_WAIT_MS = 25.0  # several round trips between zones; ends must be acknowledged within 100 ms
HELD_WAIT_MS = 50.0  # while ends can't be acknowledged, which may take seconds
LEASE_MS = 1_000
FENCE_STEP = 60_000  # in ms, above the jumps of the wall clock between two agents
MIN_CLOCK_RATE = 0.97  # the runner's clock may be 2 % slow

_REPEATED_REPLIES = (StartReply.UNANSWERED, StartReply.TOO_LATE, StartReply.FENCED)

RUNNER_SILENT = declare_event(
    11101,
    "runner_silent",
    Level.WARNING,
    "Calls to the runner get no answer. Cause refused: it broke or refused the call at once, so it "
    "is probably down; timeout: it may be cut off, paused or slow; error: it answered, but with an "
    "error or without lists.",
)
RUNNER_BACK = declare_event(11102, "runner_back", Level.INFO, "The runner answers calls again.")
FENCE_RAISED = declare_event(
    11103,
    "fence_raised",
    Level.WARNING,
    "The runner has seen a higher fencing token, so this agent raises its own and tries again.",
)
START_REPEATED = declare_event(
    11105,
    "start_repeated",
    Level.INFO,
    "A start is sent again, since it was not answered or refused as late or fenced.",
)
START_WITHDRAWN = declare_event(
    11106,
    "start_withdrawn",
    Level.WARNING,
    "A start was not sent, or not sent again, since its permission had ended by then: its owner is "
    "silent, its run was given up, or the runner takes no runs. This process may have been paused.",
)
RUNNER_CALL_FAILED = declare_event(
    11104,
    "runner_call_failed",
    Level.ERROR,
    "A call to the runner, or handling its answer, raised an exception. The call counts as "
    "unanswered. Report the error.",
)


class Call(NamedTuple):
    """Parameters that every call to a runner has.

    Attributes
    ----------
    boot : int
        Boot of the runner that the call is for, 0 for any.
    fence : int
        Fencing token.
    lease_until_ms : int or None
        New end of all leases on the runner's clock; None leaves them unchanged.
    timeout_ms : float
        Timeout for the answer.
    instance : str
        Id of the runner that the call is for, empty for any. A runner may start again under its id
        or another one, and a call may arrive seconds later.
    """

    boot: int
    fence: int
    lease_until_ms: int | None
    timeout_ms: float
    instance: str = ""


class StartResult(NamedTuple):
    """Result of a call that orders a start.

    Attributes
    ----------
    reply : StartReply
        Whether the run was started, or why not.
    clock_ms : int or None
        The runner's monotonic clock, if it answered.
    """

    reply: StartReply
    clock_ms: int | None = None


class StopResult(NamedTuple):
    """Result of a call that orders a stop.

    Attributes
    ----------
    is_stopped : bool
        Whether the runner answered that the run does not go on and will not start later.
    is_fenced : bool
        Whether the fencing token was too low.
    """

    is_stopped: bool
    is_fenced: bool = False


class RunnerPort(NamedTuple):
    """The calls to a runner, as the platform implements them.

    Attributes
    ----------
    start : callable
        ``start(call, task, run, spec, may_send)`` gives a `StartResult`. ``may_send()`` is asked
        just before the call is written; if it returns False, nothing is sent.
    stop : callable
        ``stop(call, task, run)`` gives a `StopResult`.
    hold : callable
        ``hold(call, last_end, wait_ms)`` acknowledges ends up to `last_end`, extends the leases and
        waits up to `wait_ms` for changes. It gives a `Listing`, True if the fencing token was too
        low, False for an answer without lists, or None without an answer.
    """

    start: Callable[..., Awaitable[StartResult]]
    stop: Callable[..., Awaitable[StopResult]]
    hold: Callable[..., Awaitable[Listing | bool | None]]


class RunnerDriver:
    """Makes the calls to one runner that its gate orders, and repeats lost ones.

    Parameters
    ----------
    gate : RunGate
        Decides which runs start and stop, and whether leases are renewed.
    port : RunnerPort
        The calls to the runner.
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
        self._clock_recorded_ms = 0.0
        self._is_silent = False
        self._confirmed = asyncio.Event()

    def order(self, order: Order) -> None:
        """Send an order to the runner in the background."""
        work = self._start if order.kind is OrderKind.START else self._stop
        self._spawn(work(order))

    async def hold_forever(self) -> None:
        """Poll the runner for its lists and renew its leases until cancelled."""
        while True:
            if not await self._hold_safely():
                await asyncio.sleep(HOLD_RETRY_MS / 1000)
            elif self._gate.has_unconfirmed:
                # The runner answers at once while it has unacknowledged ends, so this would spin.
                await self._wait_for_confirmation()

    def notify_confirmed(self) -> None:
        """End the wait for confirmations, since no end is unconfirmed any more."""
        self._confirmed.set()

    async def _wait_for_confirmation(self) -> None:
        self._confirmed.clear()
        with suppress(TimeoutError):
            wait_ms = HELD_WAIT_MS if self._gate.has_held_ends else CONFIRM_WAIT_MS
            async with asyncio.timeout(wait_ms / 1000):
                await self._confirmed.wait()

    async def extend_leases(self) -> None:
        """Extend all leases as far as possible, so that they last until the next agent starts."""
        await self._hold(0)

    def _choose_wait_ms(self) -> int:
        return HOLD_WAIT_MS if self._gate.list_running() else IDLE_WAIT_MS

    async def _hold_safely(self) -> bool:
        try:
            return await self._hold(self._choose_wait_ms())
        except Exception as error:
            emit(RUNNER_CALL_FAILED, call="hold", error=repr(error))
            return False

    async def _hold(self, wait_ms: int) -> bool:
        gate = self._gate
        asked_ms = self._clock()
        renews = gate.may_renew()
        if renews:
            gate.record_lease_extension(asked_ms)
        call = self._make_call(wait_ms + HOLD_ANSWER_TIMEOUT_MS, renews)
        answer = await self._port.hold(call, gate.highest_final_end, wait_ms)
        if isinstance(answer, bool):
            gate.losses.note_answer()
        if answer is True:
            self._raise_fence()
            return False
        if not isinstance(answer, Listing):
            self._set_silent(True, self._find_cause(answer, asked_ms, call))
            return False
        self._set_silent(False)
        if answer.boot != call.boot:
            # The id that the call named was that of another boot.
            answer = answer._replace(instance="")
        if answer.boot >= gate.boot:
            if answer.boot != gate.boot:
                self._runner_clock_ms = None
            self._record_clock(answer.clock_ms)
        gate.receive_listing(answer, asked_ms)
        return answer.boot >= call.boot

    async def _start(self, order: Order) -> None:
        gate, key = self._gate, (order.task, order.run)
        reply = StartReply.UNANSWERED
        may_have_started = is_withdrawn = False

        def may_send() -> bool:
            # This process may have been paused since the start was ordered or last sent.
            nonlocal is_withdrawn
            is_withdrawn = not gate.may_send_start(key)
            return not is_withdrawn

        for _ in range(START_TRIES):
            if not may_send():
                break
            asked_ms = self._clock()
            gate.record_lease_extension(asked_ms)
            call = self._make_call(START_TIMEOUT_MS, True)
            result = await self._call_start(call, order, may_send)
            if is_withdrawn:
                break
            reply = result.reply
            if result.clock_ms is not None and call.boot == gate.boot:
                self._record_clock(result.clock_ms)
            may_have_started = may_have_started or reply is StartReply.UNANSWERED
            if reply in _REPEATED_REPLIES:
                waited_ms = round(self._clock() - asked_ms)
                emit(
                    START_REPEATED, task=order.task, run=order.run, reply=reply, waited_ms=waited_ms
                )
            if reply is StartReply.FENCED:
                self._raise_fence()
            elif reply is StartReply.UNDELIVERED:
                self._note_failure(asked_ms, call)
                break
            elif reply is not StartReply.TOO_LATE and reply is not StartReply.UNANSWERED:
                break
        if is_withdrawn:
            reply = StartReply.WITHDRAWN
            emit(START_WITHDRAWN, task=order.task, run=order.run, was_sent=may_have_started)
        # An earlier call may have started the run, which may even have ended since.
        if may_have_started and reply is not StartReply.STARTED:
            reply = StartReply.UNANSWERED
        gate.receive_start_reply(key, reply)

    async def _call_start(
        self, call: Call, order: Order, may_send: Callable[[], bool]
    ) -> StartResult:
        try:
            return await self._port.start(call, order.task, order.run, order.spec, may_send)
        except Exception as error:
            emit(RUNNER_CALL_FAILED, call="start", task=order.task, error=repr(error))
            return StartResult(StartReply.UNANSWERED)

    async def _call_stop(self, call: Call, order: Order) -> StopResult:
        try:
            return await self._port.stop(call, order.task, order.run)
        except Exception as error:
            emit(RUNNER_CALL_FAILED, call="stop", task=order.task, error=repr(error))
            return StopResult(False)

    async def _stop(self, order: Order) -> None:
        call = self._make_call(STOP_TIMEOUT_MS, False)
        result = await self._call_stop(call, order)
        if result.is_fenced:
            self._raise_fence()
        if not result.is_stopped:
            await asyncio.sleep(STOP_RETRY_MS / 1000)
        self._gate.receive_stop_reply((order.task, order.run), result.is_stopped)

    def _make_call(self, timeout_ms: float, renews: bool) -> Call:
        lease_until_ms = None
        now_ms = self._clock()
        left_ms = self._gate.find_lease_limit_ms() - now_ms
        if renews and left_ms > 0 and self._runner_clock_ms is not None:
            passed_ms = (now_ms - self._clock_recorded_ms) * MIN_CLOCK_RATE
            lease_ms = min(LEASE_MS, left_ms * MIN_CLOCK_RATE)
            lease_until_ms = int(self._runner_clock_ms + passed_ms + lease_ms)
        gate = self._gate
        return Call(gate.boot, gate.fence, lease_until_ms, timeout_ms, gate.instance)

    def _record_clock(self, clock_ms: int) -> None:
        self._runner_clock_ms = clock_ms
        self._clock_recorded_ms = self._clock()

    def _raise_fence(self) -> None:
        self._gate.fence += FENCE_STEP
        emit(FENCE_RAISED, fence=self._gate.fence)

    def _find_cause(self, answer: bool | None, asked_ms: float, call: Call) -> str:
        """Return why a hold call gave no lists, and record one that was refused."""
        if answer is not None:
            return "error"
        return "refused" if self._note_failure(asked_ms, call) else "timeout"

    def _note_failure(self, asked_ms: float, call: Call) -> bool:
        """Record a call without an answer; return whether it was refused, not left to time out."""
        is_refused = self._clock() - asked_ms < call.timeout_ms
        if is_refused:
            self._gate.record_refused_call()
        return is_refused

    def _set_silent(self, silent: bool, cause: str = "") -> None:
        if silent == self._is_silent:
            return
        self._is_silent = silent
        if silent:
            emit(RUNNER_SILENT, boot=self._gate.boot, cause=cause)
        else:
            emit(RUNNER_BACK, boot=self._gate.boot)
