"""Jobs are cancelled while they run; later tasks of them are started all the same."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig3"))

from deployment3 import BROKEN, CANNOT_RUN, HELD, Deployment, Queue, has_trouble, run_case
from http3 import request
from runner3 import RunnerKind

QUEUE = Queue("r-gate", "nony24.example", "/lohu930/")
CANCEL_S = 3.0
STOP_TIMEOUT_S = 0.05
RUNNERS = 4
JOBS = 8
CANCELLED_JOBS = 2  # a quarter of the jobs
WAIT_MS = 20_000
CANCEL_AFTER_S = 0.3


async def play(deployment: Deployment) -> int:
    """Hand jobs of four steps in, cancel a quarter of them, and look at what is started later."""
    if not await deployment.put_state(1, [QUEUE], timeout_ms=WAIT_MS):
        return CANNOT_RUN
    if not await deployment.wait_until_ready():
        return CANNOT_RUN
    steps = [
        {"count": 2, "cpu": 1_000, "memMb": 64, "estimateMs": 1_800, "dependsOn": [number - 1]}
        for number in range(4)
    ]
    del steps[0]["dependsOn"]
    body = {"spec": '{"ms": 1800}', "preemptible": True, "steps": steps}
    jobs = [f"{number + 1:016x}" for number in range(JOBS)]
    answers = [
        asyncio.ensure_future(deployment.submit(number % 3, QUEUE, job, body, WAIT_MS))
        for number, job in enumerate(jobs)
    ]
    await asyncio.sleep(CANCEL_AFTER_S)
    cancelled = jobs[:CANCELLED_JOBS] if has_trouble() else []
    for number, job in enumerate(cancelled):
        # At the entry that has the job, on another channel.
        await cancel(deployment, number % 3, job)
    await asyncio.gather(*answers)
    return judge(deployment, cancelled)


async def cancel(deployment: Deployment, front: int, job: str) -> None:
    """Cancel a job, again until there is a clear answer."""
    for _ in range(5):
        headers = {"Host": QUEUE.host, "Apricotrail-Deadline-Ms": "1000"}
        path = QUEUE.prefix + job
        answer = await request("DELETE", deployment.entry(front), path, None, headers)
        deployment.note("cancelled", job=job, front=front, status=answer.status)
        if 200 <= answer.status < 300 or answer.status == 410:
            return
        await asyncio.sleep(0.3)


def judge(deployment: Deployment, cancelled: list[str]) -> int:
    """Return whether tasks were started, or ran on, too long after the cancel was acknowledged."""
    late = 0
    for job in cancelled:
        acks = [
            line["s"]
            for line in deployment.list_events("cancelled")
            if line["job"] == job and (200 <= line["status"] < 300 or line["status"] == 410)
        ]
        if not acks:
            return CANNOT_RUN
        limit_s = acks[0] + CANCEL_S
        starts = [
            line["s"]
            for line in deployment.list_events("run_start")
            if line["task"].startswith(job) and line["s"] > limit_s
        ]
        on = [
            line["s"]
            for line in deployment.list_events("run_end")
            if line["task"].startswith(job) and line["s"] > limit_s + STOP_TIMEOUT_S
        ]
        deployment.note("judged", job=job, acknowledged_s=acks[0], late_starts=starts, late_ends=on)
        late += bool(starts)
    return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent, [RunnerKind()] * RUNNERS)
