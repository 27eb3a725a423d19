"""A runner crashes; tasks that must not share a runner are then started on the same one."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig3"))

from deployment3 import BROKEN, CANNOT_RUN, HELD, Deployment, Queue, has_trouble, run_case
from runner3 import RunnerKind

QUEUE = Queue("r-gate", "nony24.example", "/lohu930/")
# Runners of two kinds, as on the sites; the tasks ask for kind b.
KINDS = [RunnerKind(labels=("a" if number % 3 < 2 else "b", "r1")) for number in range(9)]
KINDS[0] = RunnerKind(labels=("a", "r1"))
ANTI_AFFINITY = 1
TASKS = 3
JOBS = 4
PAUSE_S = 1.0  # no two jobs are at work at the same time
WAIT_MS = 8_000
DOWN_S = 4.5


async def play(deployment: Deployment) -> int:
    """Crash one of the runners of a kind and hand jobs in that need three of them."""
    if not await deployment.put_state(1, [QUEUE], timeout_ms=WAIT_MS):
        return CANNOT_RUN
    if not await deployment.wait_until_ready():
        return CANNOT_RUN
    crashed = next(runner for runner in deployment.runners if "b" in runner.kind.labels)
    if has_trouble():
        await crashed.crash()
    await asyncio.sleep(DOWN_S - JOBS * PAUSE_S)
    body = {
        "spec": '{"ms": 300}',
        "preemptible": True,
        "steps": [
            {
                "count": TASKS,
                "cpu": 7_000,
                "memMb": 64,
                "estimateMs": 300,
                "constraints": "b",
                "antiAffinity": ANTI_AFFINITY,
            }
        ],
    }
    answers = []
    for number in range(JOBS):
        job = f"{number + 1:016x}"
        answers.append(
            asyncio.ensure_future(deployment.submit(number % 3, QUEUE, job, body, WAIT_MS))
        )
        await asyncio.sleep(PAUSE_S)
    if has_trouble():
        await crashed.start()
    await asyncio.gather(*answers)
    return judge(deployment)


def judge(deployment: Deployment) -> int:
    """Return whether more tasks of a step than allowed were at work on one runner."""
    at_work: dict[tuple[str, str], set[str]] = {}
    broken = 0
    for line in deployment.events:
        if line["event"] not in ("run_start", "run_end", "run_lost"):
            continue
        step = line["task"].rpartition(".")[0]
        tasks = at_work.setdefault((line["runner"], step), set())
        if line["event"] != "run_start":
            tasks.discard(line["task"])
            continue
        tasks.add(line["task"])
        if len(tasks) > ANTI_AFFINITY:
            broken += 1
            deployment.note("beyond", runner=line["runner"], step=step, tasks=sorted(tasks))
    if not deployment.list_events("run_start"):
        return CANNOT_RUN
    return BROKEN if broken else HELD


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent, KINDS)
