"""Small stand-in targets: HTTP servers whose tasks only wait, with switchable faults."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum

import orjson

from apricotrail.clocks import Clock, monotonic_ms, wall_ms
from apricotrail.http import HttpServer, Request, Response, Router, json_response

__all__ = ["FaultMode", "StandinTarget", "make_answer", "make_standin_target", "make_task_body"]

FAST_FAILURE_MS = 1.0
SLOW_FACTOR = 10.0
MAX_START_TIMES = 100_000
_MS_PER_S = 1_000.0


class FaultMode(StrEnum):
    """How a stand-in target treats its tasks."""

    OK = "ok"
    FAIL = "fail"
    STALL = "stall"
    SLOW = "slow"
    CUT = "cut"


class StandinTarget:
    """A target whose tasks wait as long as their body says.

    A task's body is JSON: ``{"run_ms": 120, "answer_bytes": 200}``; ``"fail": true`` makes the
    task itself fail at any target. The answer is ``job/task`` padded to the size asked for.

    Parameters
    ----------
    name, zone : str
        Ids.
    slots : int
        Tasks at a time that the target announces; more at once are counted.
    clock : Clock
        Monotonic time in milliseconds.

    Attributes
    ----------
    address : str
        ``host:port`` once `listen` has run.
    incarnation : int
        Wall clock in ms when `listen` last ran.
    mode : FaultMode
        Present fault.
    starts : Counter
        Starts by (job, task); a fault does not hide a start.
    work_ms : float
        Run time of the tasks that ended well.
    most_running : int
        Most tasks that ran at once.
    start_times_ms : deque of float
        Moments of the latest starts.
    starts_out_of_service : int
        Starts after the moment set by `forbid_starts`.
    """

    def __init__(self, name: str, zone: str, slots: int, clock: Clock = monotonic_ms) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.address = ""
        self.incarnation = 0
        self.mode = FaultMode.OK
        self.starts: Counter[tuple[str, int]] = Counter()
        self.work_ms = 0.0
        self.most_running = 0
        self.starts_out_of_service = 0
        self.start_times_ms: deque[float] = deque(maxlen=MAX_START_TIMES)
        self._clock = clock
        self._forbidden_from_ms: float | None = None
        self._running: dict[tuple[str, int], asyncio.Future] = {}
        self._server: HttpServer | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Open the server and return its address; a former address is taken again."""
        if self.address:
            host, _, text = self.address.rpartition(":")
            port = int(text)
        self.incarnation = wall_ms()
        self._server = HttpServer(_make_router(self))
        self.address = await self._server.listen(host, port)
        return self.address

    async def crash(self) -> None:
        """Close every connection and the listening socket; running tasks end unanswered."""
        server, self._server = self._server, None
        for stopped in list(self._running.values()):
            stopped.cancel()
        if server is not None:
            await server.stop(0)

    def is_listening(self) -> bool:
        """Return whether the server is open."""
        return self._server is not None

    def forbid_starts(self, from_ms: float | None) -> None:
        """Count starts from a moment on as out of service, None to allow them again."""
        self._forbidden_from_ms = from_ms

    async def run(self, job: str, task: int, body: bytes) -> Response:
        """Run one task."""
        key = (job, task)
        self._count_start(key)
        value = orjson.loads(body or b"{}")
        run_ms = float(value.get("run_ms", 0.0))
        stopped = asyncio.get_running_loop().create_future()
        self._running[key] = stopped
        self.most_running = max(self.most_running, len(self._running))
        try:
            if await _wait_or_stop(stopped, self._takes_ms(run_ms)):
                return Response(409, b"stopped")
        finally:
            if self._running.get(key) is stopped:
                del self._running[key]
        if self.mode is FaultMode.FAIL or value.get("fail"):
            return Response(500, b"failed")
        self.work_ms += run_ms
        answer = make_answer(job, task, int(value.get("answer_bytes", 0)))
        if self.mode is FaultMode.CUT:
            await self.crash()
            await self.listen()
        return Response(200, answer, "text/plain")

    def stop(self, job: str, task: int) -> Response:
        """Stop a running task."""
        stopped = self._running.get((job, task))
        if stopped is not None and not stopped.done():
            stopped.set_result(None)
        return json_response(200, {"stopped": stopped is not None})

    def _takes_ms(self, run_ms: float) -> float | None:
        if self.mode is FaultMode.STALL:
            return None
        if self.mode is FaultMode.FAIL:
            return FAST_FAILURE_MS
        return run_ms * SLOW_FACTOR if self.mode is FaultMode.SLOW else run_ms

    def _count_start(self, key: tuple[str, int]) -> None:
        now_ms = self._clock()
        self.starts[key] += 1
        self.start_times_ms.append(now_ms)
        forbidden_ms = self._forbidden_from_ms
        if forbidden_ms is not None and now_ms >= forbidden_ms:
            self.starts_out_of_service += 1


def make_standin_target(
    name: str, zone: str, slots: int = 8, clock: Clock = monotonic_ms
) -> StandinTarget:
    """Return a stand-in target that does not listen yet."""
    return StandinTarget(name, zone, slots, clock)


def make_task_body(run_ms: float, answer_bytes: int = 0, fail: bool = False) -> str:
    """Return the body of a task for a stand-in target.

    Examples
    --------
    >>> make_task_body(120, 200)
    '{"run_ms":120,"answer_bytes":200}'
    """
    value: dict[str, object] = {"run_ms": run_ms, "answer_bytes": answer_bytes}
    if fail:
        value["fail"] = True
    return orjson.dumps(value).decode()


def make_answer(job: str, task: int, answer_bytes: int) -> bytes:
    """Return the answer that a stand-in target gives to a task.

    Examples
    --------
    >>> make_answer("a/1", 0, 8)
    b'a/1/0...'
    """
    return f"{job}/{task}".encode().ljust(answer_bytes, b".")


def _make_router(target: StandinTarget) -> Callable:
    async def start(request: Request, job: str, task: str) -> Response:
        return await target.run(job, int(task), request.body)

    def stop(request: Request, job: str, task: str) -> Response:
        return target.stop(job, int(task))

    def show_counts(request: Request) -> Response:
        doubles = sum(number - 1 for number in target.starts.values())
        counts = {"starts": sum(target.starts.values()), "double_starts": doubles}
        return json_response(200, counts | {"work_ms": target.work_ms, "mode": target.mode.value})

    def set_mode(request: Request, mode: str) -> Response:
        if mode not in FaultMode._value2member_map_:
            return json_response(404, {"modes": list(FaultMode)})
        target.mode = FaultMode(mode)
        return json_response(200, {"mode": mode})

    router = Router()
    router.add("POST", "/tasks/{job}/{task}", start)
    router.add("DELETE", "/tasks/{job}/{task}", stop)
    router.add("GET", "/standin/counts", show_counts)
    router.add("POST", "/standin/mode/{mode}", set_mode)
    return router


async def _wait_or_stop(stopped: asyncio.Future, wait_ms: float | None) -> bool:
    """Wait for the run time; returns whether the task was stopped before."""
    timeout = None if wait_ms is None else wait_ms / _MS_PER_S
    done, _ = await asyncio.wait({stopped}, timeout=timeout)
    return bool(done)
