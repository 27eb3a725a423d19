"""A replica that froze carries out, when it wakes, an order whose sender has long moved on."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from rig import CONTACT_MS, EVACUATE_MS, now_ms, run_case  # noqa: E402

FREEZE_S = 3.5
WATCH_S = 8.0


async def play(deployment, trouble):
    """Evacuate a zone, take it back and evacuate it again while one core machine is frozen."""
    record, fronts = deployment.record, deployment.fronts
    frozen, others = fronts[0], fronts[1:]
    zone = fronts[0]["zone"]
    path = f"/apricotrail/evacuations/{zone}"
    instances = {it.instance for it in deployment.runners if it.zone == zone}
    load = asyncio.ensure_future(submit_forever(deployment, others))
    await asyncio.sleep(2.0)
    assert await deployment.order("POST", path, b"", others) == 200
    await asyncio.sleep(4.0)
    freeze_ms = now_ms()
    if trouble:
        deployment.signal(frozen, signal.SIGSTOP)
    assert await deployment.order("DELETE", path, b"", [frozen, *others]) == 200
    await asyncio.sleep(0.5)
    assert await deployment.order("POST", path, b"", others) == 200
    acked_ms = now_ms()
    record.write(f"{zone} is evacuated, the newest order of the operator")
    await asyncio.sleep(max(0.0, FREEZE_S - (now_ms() - freeze_ms) / 1000))
    if trouble:
        deployment.signal(frozen, signal.SIGCONT)
    # All machines are in touch once the core has been stable for contactMs.
    calm_ms = max(now_ms() + CONTACT_MS, acked_ms + EVACUATE_MS)
    await asyncio.sleep((calm_ms - now_ms()) / 1000 + WATCH_S)
    load.cancel()
    starts = [row for row in deployment.log if row[1] == "start" and row[0] > calm_ms]
    wrong = [row for row in starts if row[2] in instances]
    record.write(f"from {record.since_start_s(calm_ms):.3f} s on: {len(starts)} starts")
    record.write(f"{len(wrong)} of them in the evacuated zone")
    for at_ms, _, instance, task, run in wrong[:20]:
        record.write(f"start at {record.since_start_s(at_ms):.3f} s: {instance} {task} run {run}")
    if not starts:
        raise AssertionError("nothing was served")
    return bool(wrong)


async def submit_forever(deployment, fronts):
    """Hand in a job of three tasks of 0.12 s every 50 ms."""
    number = 0
    jobs = set()
    while True:
        number += 1
        job = deployment.submit(fronts[number % len(fronts)], f"{number:016x}", 0.12, 3)
        task = asyncio.ensure_future(job)
        jobs.add(task)
        task.add_done_callback(jobs.discard)
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
