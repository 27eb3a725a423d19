"""An invalid desired state, whose routes are no list, is acknowledged and put in force."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from rig import APPLY_MS, CONTROL, call, desired_state, run_case  # noqa: E402

CALM_S = 1.0
VALID, INVALID = 2, 3


async def play(deployment, trouble):
    """Send a valid desired state, then one whose routes are a string, and look what is in force."""
    record, fronts = deployment.record, deployment.fronts
    path = "/apricotrail/config"
    body = json.dumps(desired_state(VALID)).encode()
    assert await deployment.order("PUT", path, body, fronts) == 200
    await asyncio.sleep(APPLY_MS / 1000 + CALM_S)
    assert await submit_some(deployment, 1) == {200}, "the valid desired state isn't in force"
    status = None
    if trouble:
        body = json.dumps({**desired_state(INVALID), "routes": ""}).encode()
        record.write(f'operator: version {INVALID}, invalid: "routes" is an empty string')
        status = await deployment.order("PUT", path, body, fronts)
    await asyncio.sleep(APPLY_MS / 1000 + CALM_S)
    answer = await call((fronts[0]["ip"], CONTROL), "GET", path)
    assert answer is not None and answer[0] == 200
    read = json.loads(answer[1])
    record.write(f"read back: version {read['version']}, routes {json.dumps(read['routes'])[:60]}")
    statuses = await submit_some(deployment, 2)
    is_in_force = read["version"] == INVALID or 404 in statuses
    record.write(f"invalid state: acknowledged {status == 200}, in force {is_in_force}")
    return status == 200 or is_in_force


async def submit_some(deployment, number):
    """Hand in a job at each entry, to the route of the valid desired state; return the statuses."""
    statuses = set()
    for n, front in enumerate(deployment.fronts):
        status = await deployment.submit(front, f"{number * 16 + n:016x}", 0.12)
        deployment.record.write(f"client: POST at {front['name']}: {status}")
        statuses.add(status)
    return statuses


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
