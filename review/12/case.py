"""A runner drains; the agent acknowledges that and goes on to start tasks there."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig3"))

from deployment3 import BROKEN, CANNOT_RUN, HELD, Deployment, Queue, has_trouble, run_case
from runner3 import RunnerKind

QUEUE = Queue("r-gate", "nony24.example", "/lohu930/")
DRAIN_S = 2.0
RUNNERS = 4
JOBS = 30
WAIT_MS = 4_000
# `seq` increases with each call; the page doesn't say by how much.
KIND = RunnerKind(is_numbered_by_clock=True)


async def play(deployment: Deployment) -> int:
    """Let one runner drain, and go on handing jobs in until it leaves."""
    if not await deployment.put_state(1, [QUEUE], timeout_ms=WAIT_MS):
        return CANNOT_RUN
    if not await deployment.wait_until_ready():
        return CANNOT_RUN
    leaving = deployment.runners[0]
    acked_s = None
    if has_trouble():
        leaving.state = "draining"
        status = await leaving.announce()
        acked_s = deployment.now_s()
        deployment.note("draining", runner=leaving.name, status=status)
        if status != 200:
            return CANNOT_RUN
    # One task for each runner, as two don't fit on one.
    step = {"count": RUNNERS, "cpu": 9_000, "memMb": 64, "estimateMs": 150}
    body = {"spec": '{"ms": 150}', "preemptible": True, "steps": [step]}
    for number in range(JOBS):
        await deployment.submit(number % 3, QUEUE, f"{number + 1:016x}", body, WAIT_MS)
    return judge(deployment, leaving.name, acked_s)


def judge(deployment: Deployment, leaving: str, acked_s: float | None) -> int:
    """Return whether a task was started on a draining runner too late after the ack."""
    starts = deployment.list_events("run_start")
    if not starts:
        return CANNOT_RUN
    if acked_s is None:
        return HELD
    late = [it for it in starts if it["runner"] == leaving and it["s"] > acked_s + DRAIN_S]
    deployment.note("judged", acked_s=round(acked_s, 3), late_starts=[it["s"] for it in late])
    return BROKEN if late else HELD


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent, [KIND] * RUNNERS)
