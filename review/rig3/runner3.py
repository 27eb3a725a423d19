"""A runner as PROTOCOL.md describes it, with leases, fencing tokens and lists of ends.

The spec of a task is JSON: ``{"ms": 1800}`` is how long it works. The runner doesn't guard its
capacity (`admissionControl` false): it starts what it is told to start.
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from http3 import Call, request, serve

__all__ = ["Runner", "RunnerKind"]

MAX_HOLD_MS = 1_000
STOP_TIMEOUT_MS = 50
HEARTBEAT_S = 1.5
POLL_S = 0.005


class RunnerKind(NamedTuple):
    """What a runner says of itself.

    Its pings are numbered 1, 2, 3, or by the milliseconds of its clock.
    """

    cpu: int = 16_000
    memory_mb: int = 32_768
    gpus: int = 0
    labels: tuple[str, ...] = ("a", "r1")
    is_numbered_by_clock: bool = False


class _Work(NamedTuple):
    started_ms: float
    work_ms: float


class Runner:
    """One runner beside an agent.

    Parameters
    ----------
    name : str
        Name in the record, and the id.
    address : str
        Where it takes calls.
    agent : str
        Address of its agent, to which it sends its pings.
    zone, service : str
        Its zone and service.
    kind : RunnerKind
        What it says of itself.
    note : callable
        ``note(event, **fields)`` writes to the record.
    """

    def __init__(
        self,
        name: str,
        address: str,
        agent: str,
        zone: str,
        service: str,
        kind: RunnerKind,
        note: Callable[..., None],
    ) -> None:
        self.name, self.address, self.agent = name, address, agent
        self.zone, self.service, self.kind = zone, service, kind
        self.state = "ready"
        self.is_up = False
        self._note = note
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._reset()

    def _reset(self) -> None:
        self.born = int(time.time() * 1_000)
        self._zero_s = time.monotonic()
        self._seq = 0
        self.running: dict[tuple[str, int], _Work] = {}
        self._stopping: set[tuple[str, int]] = set()
        self._ended: list[list] = []
        self._highest_end = 0
        self._highest_run: dict[str, int] = {}
        self._token = 0
        self._lease_ms = 0.0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen, and announce this boot from now on."""
        self._reset()
        self.state = "ready"
        self._server = await serve(self.address, self._handle, self._writers)
        self.is_up = True
        self._note("runner_up", runner=self.name, born=self.born)
        self._tasks = [
            asyncio.ensure_future(self._beat_forever()),
            asyncio.ensure_future(self._work_forever()),
        ]

    async def crash(self) -> None:
        """End at once: connections break, and what ran is gone."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for key in list(self.running):
            self._note("run_lost", runner=self.name, task=key[0], run=key[1])
        self.running.clear()
        if self._server is not None:
            self._server.close()
        self._changed.set()
        for writer in list(self._writers):
            writer.transport.abort()
        self._note("runner_down", runner=self.name)

    async def announce(self) -> int:
        """Send one ping; return the status of the answer, 0 for none."""
        self._seq = self._clock() if self.kind.is_numbered_by_clock else self._seq + 1
        fields: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldMs": 0,
            "capacity": {
                "cpu": self.kind.cpu,
                "memMb": self.kind.memory_mb,
                "gpus": self.kind.gpus,
            },
            "labels": list(self.kind.labels),
            "currentMs": self._clock(),
            "seq": self._seq,
            "born": self.born,
        }
        if self.state == "draining":
            fields["remainingMs"] = 8_000
        path = f"/apricotrail/instances/{self.name}"
        answer = await request("PUT", self.agent, path, fields)
        return answer.status

    def count_used_gpus(self, gpus_by_job: dict[str, int]) -> int:
        """Return the gpus that the running tasks take, by the job that they belong to."""
        return sum(gpus_by_job.get(task.partition(".")[0], 0) for task, _ in self.running)

    # ---- internals ----

    def _clock(self) -> int:
        return int((time.monotonic() - self._zero_s) * 1_000) + 1_000

    async def _beat_forever(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work_forever(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            self._advance()

    def _advance(self) -> None:
        now_ms = self._clock()
        for key, work in list(self.running.items()):
            if now_ms >= work.started_ms + work.work_ms and key not in self._stopping:
                self._end(key, "done")
        if now_ms >= self._lease_ms:
            for key in list(self.running):
                self._end(key, "lapsed")

    def _end(self, key: tuple[str, int], how: str) -> None:
        if self.running.pop(key, None) is None:
            return
        self._stopping.discard(key)
        self._highest_run[key[0]] = max(key[1], self._highest_run.get(key[0], 0))
        self._highest_end += 1
        self._ended.append([self._highest_end, key[0], key[1], how, ""])
        self._note("run_end", runner=self.name, task=key[0], run=key[1], how=how)
        self._changed.set()

    async def _handle(self, call: Call) -> tuple[int, dict]:
        self._advance()
        expected = call.headers.get("apricotrail-expect-instance")
        if expected not in (None, self.name):
            return 421, self._reply()
        fields = json.loads(call.body or b"{}")
        token = fields.get("fencingToken", 0)
        if token < self._token:
            return 409, self._reply(reason="fence")
        self._token = token
        now_ms = self._clock()
        lease_ms = min(now_ms + MAX_HOLD_MS, fields.get("deadlineMs", 0))
        self._lease_ms = max(self._lease_ms, lease_ms)
        if call.path.endswith("/run-start"):
            return self._start(fields)
        if call.path.endswith("/run-stop"):
            return self._stop(fields)
        if call.path.endswith("/hold"):
            return await self._hold(fields)
        return 404, {}

    def _start(self, fields: dict) -> tuple[int, dict]:
        key = (fields["task"], fields["runId"])
        if key in self.running:
            return 200, self._reply()
        if self._highest_run.get(key[0], 0) >= key[1]:
            return 409, self._reply(reason="old")
        now_ms = self._clock()
        if now_ms >= self._lease_ms:
            return 409, self._reply(reason="late")
        work_ms = json.loads(fields["spec"])["ms"]
        self.running[key] = _Work(now_ms, work_ms)
        self._note("run_start", runner=self.name, task=key[0], run=key[1])
        return 200, self._reply()

    def _stop(self, fields: dict) -> tuple[int, dict]:
        key = (fields["task"], fields["runId"])
        self._highest_run[key[0]] = max(key[1], self._highest_run.get(key[0], 0))
        if key in self.running:
            self._stopping.add(key)
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_TIMEOUT_MS / 2_000, self._end, key, "stopped")
        return 200, self._reply()

    async def _hold(self, fields: dict) -> tuple[int, dict]:
        seen = fields.get("lastSeen", 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        wait_ms = min(2_000, fields.get("waitMs", 0))
        if not self._ended and wait_ms:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        now_ms = self._clock()
        running = [
            [task, run, "", min(99, int(100 * (now_ms - work.started_ms) / work.work_ms)), 0]
            for (task, run), work in self.running.items()
        ]
        return 200, self._reply(running=running, ended=self._ended[:500])

    def _reply(self, **fields: Any) -> dict:
        return {"currentMs": self._clock(), "born": self.born, **fields}
