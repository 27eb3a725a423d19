"""Announces stand-in targets that have no agent beside them."""

import asyncio
from collections.abc import Mapping

import orjson
from returns.result import Success

from apricotrail.http import HttpClient
from apricotrail.measure._deployment import Deployment
from apricotrail.measure._target import StandinTarget

__all__ = ["announce_forever"]

LEASE_MS = 6_000
ANNOUNCEMENTS_PER_LEASE = 3
_MS_PER_S = 1_000.0


async def announce_forever(
    client: HttpClient,
    targets: Mapping[str, StandinTarget],
    entries: Mapping[str, str],
    deployment: Deployment,
) -> None:
    """Announce every listening target through any entry, several times in each lease."""
    interval_ms = LEASE_MS / ANNOUNCEMENTS_PER_LEASE
    while True:
        listening = [target for target in targets.values() if target.is_listening()]
        await asyncio.gather(
            *(
                _announce(client, target, list(entries.values()), deployment, interval_ms)
                for target in listening
            )
        )
        await asyncio.sleep(interval_ms / _MS_PER_S)


async def _announce(
    client: HttpClient,
    target: StandinTarget,
    entries: list[str],
    deployment: Deployment,
    timeout_ms: float,
) -> None:
    value = {
        "name": target.name,
        "address": target.address,
        "slots": target.slots,
        "connections": deployment.connections,
        "incarnation": target.incarnation,
        "lease_ms": LEASE_MS,
    }
    body = orjson.dumps(value)
    for address in entries:
        reply = await client.request("POST", address, "/v1/targets", body, (), timeout_ms)
        if isinstance(reply, Success) and reply.unwrap().status == 200:
            return
