"""Replaces one of five core machines in three zones; then two others lose their disks."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))

from rig import CannotRunError, call, run_case  # noqa: E402

FRONTS = 5  # natal, pipa, jeri, natal, pipa
LOSSES = 2
REPLACED, WIPED = 3, (1, 4)
SUCCESSOR_S = 9.0  # more than twice `syncS`
BETWEEN_S = 1.0
DOWN_S = 1.0
SYNC_S, CONTACT_S, RECOVERY_S = 4.0, 3.0, 12.0
WATCH_S = 12.0


async def play(deployment, record, trouble):
    """Acknowledge a desired state, replace and wipe, and ask for the state to the end."""
    if not await deployment.put_routes(["/lohu930/", "/pufi791/"]):
        raise CannotRunError("a desired state was not acknowledged before the disruption")
    await asyncio.sleep(SYNC_S)
    gone = set()
    if trouble:
        successor = deployment.add_front("natal")
        record.write(f"added   front {successor + 1} in natal, empty")
        await asyncio.sleep(SUCCESSOR_S)
        version = deployment.version
        if not await deployment.put_routes(["/lohu930/", "/pule252/"]):
            raise CannotRunError(f"version {version + 1} was not acknowledged with the successor")
        record.write(f"removed front {REPLACED + 1} for good")
        for role in ("entry", "control"):
            deployment.kill(role, REPLACED)
        gone.add(REPLACED)
        await asyncio.sleep(BETWEEN_S)
        for number in WIPED:
            deployment.kill("control", number)
            deployment.wipe(number)
            record.write(f"wiped   front {number + 1}: control killed, its disk lost")
        await asyncio.sleep(DOWN_S)
        for number in WIPED:
            deployment.launch("control", number)
        record.write("back    both with empty disks")
    # Both are back and no longer lost, the core is stable, and the recovery is over.
    await asyncio.sleep(SYNC_S + CONTACT_S + RECOVERY_S)
    answers = []
    end_ms = record.now_ms() + WATCH_S * 1000
    while record.now_ms() < end_ms:
        for number in range(len(deployment.fronts)):
            if number in gone:
                continue
            path = "/apricotrail/config"
            answer = await call(deployment.control(number), "GET", path, timeout_s=1.0)
            shown = "none" if answer is None else answer[0]
            answers.append(answer)
            record.write(f"read    front {number + 1}: {shown}")
        await asyncio.sleep(0.5)
    versions = [
        json.loads(answer[1])["version"]
        for answer in answers
        if answer is not None and answer[0] == 200
    ]
    if versions and max(versions) >= deployment.version:
        return []
    last = max(versions, default=None)
    return [
        f"version {deployment.version} was acknowledged; {len(answers)} reads in {WATCH_S:.0f} s "
        f"to all running control machines gave version {last}"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, fronts=FRONTS, sides=1, losses=LOSSES)
