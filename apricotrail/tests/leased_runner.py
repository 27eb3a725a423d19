"""A stand-in runner that keeps leases, fencing tokens and run numbers, on virtual time.

A share of its calls can stay unanswered, and be carried out at once, seconds later or not at all.
"""

import asyncio
from collections.abc import Callable
from random import Random

from apricotrail.runners import (
    Call,
    EndedRow,
    Listing,
    RunnerPort,
    RunningRow,
    StartReply,
    StartResult,
    StopResult,
)
from apricotrail.runners._runs import RunKey
from apricotrail.tests.virtual_time import VirtualTimeLoop

__all__ = ["CLOCK_RATE", "LeasedRunner"]

CLOCK_RATE = 0.98  # the slowest clock that a runner may have
MAX_LEASE_MS = 1_000.0
MAX_STOP_MS = 50.0
CALL_MS = 1.0
POLL_S = 0.01
LATE_S = (2.0, 12.0)


def _always() -> bool:
    return True


class LeasedRunner:
    """A runner that does not guard its capacity.

    Parameters
    ----------
    loop : VirtualTimeLoop
        Source of the time.
    random : Random
        Source of delays and of the calls that stay unanswered.
    run_ms : callable
        ``run_ms(task)`` gives how long the runs of a task take, in milliseconds.
    note_start : callable
        ``note_start(runner, key)`` is called before a run begins.

    Attributes
    ----------
    unanswered_share : float
        Share of the calls that stay unanswered and are carried out 2 to 12 s later.
    lost_share : float
        Share of the calls that are carried out at once and stay unanswered.
    running : dict
        Runs that are at work, with the time at which they are done, in ms.
    note_final : callable
        ``note_final(row)`` is called with each end that is acknowledged before its lease is over.
    """

    def __init__(
        self,
        loop: VirtualTimeLoop,
        random: Random,
        run_ms: Callable[[str], float],
        note_start: Callable[["LeasedRunner", RunKey], None],
    ) -> None:
        self.unanswered_share = 0.0
        self.lost_share = 0.0
        self.boot = 1
        self.running: dict[RunKey, float] = {}
        self.note_final: Callable[[EndedRow], None] = lambda row: None
        self._void_ends: set[int] = set()
        self.instance = "i-1"
        self._booted_ms = 0.0
        self._back_s = 0.0
        self._started_ms: dict[RunKey, float] = {}
        self._loop = loop
        self._random = random
        self._run_ms = run_ms
        self._note_start = note_start
        self._token = 0
        self._lease_end_ms = 0.0
        self._highest_runs: dict[str, int] = {}
        self._ended: list[EndedRow] = []
        self._ends = 0

    def make_port(self) -> RunnerPort:
        """Return the calls to this runner."""
        return RunnerPort(self._call_start, self._call_stop, self._call_hold)

    def expire(self) -> None:
        """End the runs that are done, and all others once the lease is over."""
        now_ms = self._loop.clock_ms()
        lease_end_ms = self._booted_ms + self._lease_end_ms / CLOCK_RATE
        for key, done_ms in list(self.running.items()):
            if done_ms <= min(now_ms, lease_end_ms):
                self._end(key, "done")
            elif lease_end_ms <= now_ms:
                self._end(key, "lapsed")
        if lease_end_ms <= now_ms:
            self._void_ends.update(row.number for row in self._ended)

    def crash(self, down_s: float, instance: str) -> None:
        """Lose all runs and all state, and come back after `down_s` as `instance`."""
        self.expire()
        self.running.clear()
        self._started_ms.clear()
        self._ended.clear()
        self._void_ends.clear()
        self._highest_runs.clear()
        self._token = self._ends = 0
        self._lease_end_ms = 0.0
        self._back_s = self._loop.time() + down_s
        self._booted_ms = self._loop.clock_ms() + down_s * 1_000
        self.boot = int(self._booted_ms)
        self.instance = instance

    @property
    def is_up(self) -> bool:
        """Whether the runner takes calls."""
        return self._loop.time() >= self._back_s

    def _clock_ms(self) -> float:
        return (self._loop.clock_ms() - self._booted_ms) * CLOCK_RATE

    def _end(self, key: RunKey, end_state: str) -> None:
        if self.running.pop(key, None) is not None:
            self._ends += 1
            self._ended.append(EndedRow(self._ends, *key, end_state))

    async def _carry_out(self, call: Call, work: Callable[[], object], none: object) -> object:
        """Carry out a call now or later; return its result, or `none` without an answer."""
        await asyncio.sleep(CALL_MS / 1_000)
        if not self.is_up:
            return none
        draw = self._random.random()
        if draw < self.unanswered_share:
            self._loop.call_later(self._random.uniform(*LATE_S), work)
        else:
            result = work()
            if draw >= self.unanswered_share + self.lost_share:
                await asyncio.sleep(CALL_MS / 1_000)
                return result
        await asyncio.sleep(call.timeout_ms / 1_000)
        return none

    def _accept(self, call: Call) -> bool:
        """Take in the token and the lease of a call; return False if the token is too low."""
        self.expire()
        if call.fence < self._token:
            return False
        self._token = call.fence
        longest_ms = self._clock_ms() + MAX_LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, min(longest_ms, call.lease_until_ms or 0))
        return True

    async def _call_start(
        self,
        call: Call,
        task: str,
        run: int,
        spec: bytes,
        may_send: Callable[[], bool] = _always,
    ) -> StartResult:
        await asyncio.sleep(CALL_MS / 1_000)  # opens a connection
        if not may_send() or not self.is_up:
            return StartResult(StartReply.UNDELIVERED)

        def start() -> StartResult:
            if self._is_other_boot(call):
                return StartResult(StartReply.OTHER_BOOT)
            if not self._accept(call):
                return StartResult(StartReply.FENCED, int(self._clock_ms()))
            if (task, run) in self.running:
                return StartResult(StartReply.STARTED, int(self._clock_ms()))
            if self._highest_runs.get(task, 0) >= run:
                return StartResult(StartReply.SUPERSEDED, int(self._clock_ms()))
            if self._clock_ms() >= self._lease_end_ms:
                return StartResult(StartReply.TOO_LATE, int(self._clock_ms()))
            self._highest_runs[task] = run
            self._note_start(self, (task, run))
            self._started_ms[task, run] = self._loop.clock_ms()
            self.running[task, run] = self._loop.clock_ms() + self._run_ms(task)
            return StartResult(StartReply.STARTED, int(self._clock_ms()))

        return await self._carry_out(call, start, StartResult(StartReply.UNANSWERED))

    async def _call_stop(self, call: Call, task: str, run: int) -> StopResult:
        def end() -> None:
            self.expire()
            self._end((task, run), "stopped")

        def stop() -> StopResult:
            if self._is_other_boot(call):
                return StopResult(True)
            if not self._accept(call):
                return StopResult(False, True)
            self._highest_runs[task] = max(self._highest_runs.get(task, 0), run)
            self._loop.call_later(self._random.uniform(0.0, MAX_STOP_MS) / 1_000, end)
            return StopResult(True)

        return await self._carry_out(call, stop, StopResult(False))

    async def _call_hold(self, call: Call, last_end: int, wait_ms: int) -> Listing | bool | None:
        def hold() -> Listing | bool | None:
            if self._is_other_boot(call):
                return None
            if not self._accept(call):
                return True
            for row in [row for row in self._ended if row.number <= last_end]:
                self._ended.remove(row)
                if row.number not in self._void_ends:
                    self.note_final(row)
            return self._list()

        answer = await self._carry_out(call, hold, None)
        end_s = self._loop.time() + wait_ms / 1_000
        while isinstance(answer, Listing) and not answer.ended and self._loop.time() < end_s:
            await asyncio.sleep(POLL_S)
            if not self.is_up or answer.boot != self.boot:
                return None
            self.expire()
            if self._ended:
                answer = self._list()
        return self._list() if isinstance(answer, Listing) else answer

    def _is_other_boot(self, call: Call) -> bool:
        """Return whether a call names another runner than the one that carries it out."""
        named = getattr(call, "instance", "")
        return not self.is_up or (bool(named) and named != self.instance)

    def _list(self) -> Listing:
        self.expire()
        now_ms = self._loop.clock_ms()
        rows = tuple(
            RunningRow(*key, int(1 + (now_ms - self._started_ms[key]) // 10))
            for key in self.running
        )
        return Listing(self.boot, int(self._clock_ms()), rows, tuple(self._ended))
