"""Two core machines are replaced, one after the other; control never accepts anything again."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from rig import CONTROL, call, desired_state, run_case  # noqa: E402

SYNC_S = 4.0  # a removed machine stops counting once its successor has had this time
CALM_S = 3.0  # contactMs
READ_S = 30.0


async def play(deployment, trouble):
    """Replace two of three core machines 8 s apart, then change and read the desired state."""
    record = deployment.record
    assert await put(deployment, 2) == 200
    if trouble:
        await replace(deployment, 0)
        await asyncio.sleep(SYNC_S + CALM_S)
        assert await put(deployment, 3) == 200
        await replace(deployment, 1)
        await asyncio.sleep(SYNC_S + CALM_S)
    else:
        assert await put(deployment, 3) == 200
    status = await put(deployment, 4, limit_s=10.0)
    record.write(f"version 4: {'acked' if status == 200 else 'no ack in 10 s'}")
    version = await read_back(deployment)
    record.write(f"version 3 was acked; read back in {READ_S:.0f} s: {version}")
    return version is None or version < 3


async def put(deployment, version, limit_s=4.0):
    """Send a desired state to the machines that serve control."""
    body = json.dumps(desired_state(version)).encode()
    return await deployment.order("PUT", "/apricotrail/config", body, deployment.fronts, limit_s)


async def replace(deployment, position):
    """Kill a core machine for good; an empty one comes 1 s later at another address."""
    old = deployment.fronts.pop(position)
    deployment.signal(old, signal.SIGKILL)
    await asyncio.sleep(1.0)
    block, _, last = old["ip"].rpartition(".")
    new = {
        "name": old["name"] + "-new",
        "zone": old["zone"],
        "ip": f"{block}.{int(last) + 20}",
    }
    # The list from which seeds are taken lags by seedLagS, so it still names the lost machine.
    deployment.seeds = [f"{it['ip']}:{CONTROL}" for it in (*deployment.fronts, old)]
    await deployment.start_role(new, "control")
    await deployment.start_role(new, "entry")
    deployment.fronts.insert(position, new)
    for _ in range(50):  # the successor runs and answers, if only that it can't be sure
        if (
            await call((new["ip"], CONTROL), "GET", "/apricotrail/config", timeout_s=2.0)
            is not None
        ):
            break
        await asyncio.sleep(0.1)
    else:
        raise AssertionError("the successor doesn't answer")
    deployment.record.write(f"{old['name']} was replaced by an empty {new['name']}")


async def read_back(deployment):
    """Ask for the desired state, at all machines in turn; return the highest version read."""
    loop = asyncio.get_running_loop()
    end_s, highest, statuses = loop.time() + READ_S, None, {}
    while loop.time() < end_s and highest is None:
        for front in deployment.fronts:
            answer = await call((front["ip"], CONTROL), "GET", "/apricotrail/config")
            status = answer[0] if answer is not None else None
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200:
                highest = max(highest or 0, json.loads(answer[1])["version"])
        await asyncio.sleep(0.2)
    deployment.record.write(f"reads of the desired state, by status: {statuses}")
    return highest


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
