"""Planned stops with load running: no request is cut off and no task starts twice."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from apricotrail.entry.tests.system import ZONES, System

DRAIN = {"entry.drain_ms": 150, "membership.config_stale_ms": 2_000}


class Callers:
    """Callers behind a balancer that turns away from entries which are not ready."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.replies: list[tuple[int, dict]] = []
        self._stopping = False

    async def run(self, number: int) -> None:
        count = 0
        while not self._stopping:
            count += 1
            await self._submit(f"{number}-{count}")

    async def _submit(self, submission: str) -> None:
        bodies = [{"run_ms": 20, "id": submission}] * 6
        for attempt in range(200):
            ready = [entry for entry in self.system.entries if entry.ready]
            if not ready:
                await asyncio.sleep(0.02)
                continue
            entry = ready[attempt % len(ready)]
            reply = await self.system.submit(entry, submission, bodies)
            if reply[0] not in (429, 503):
                self.replies.append(reply)
                return
            await asyncio.sleep(0.02)

    async def run_during(self, work: Callable[[], Awaitable[None]]) -> None:
        callers = [asyncio.ensure_future(self.run(number)) for number in range(6)]
        await asyncio.sleep(0.3)
        await work()
        await asyncio.sleep(0.3)
        self._stopping = True
        await asyncio.gather(*callers)


class TestPlannedStops(unittest.IsolatedAsyncioTestCase):
    async def check(self, restart: Callable[[System], Awaitable[None]], **options) -> None:
        async with System(targets=4, settings=DRAIN, **options) as system:
            callers = Callers(system)
            await callers.run_during(lambda: restart(system))
            failed = [reply for reply in callers.replies if reply[0] != 200]
            self.assertEqual(failed, [])
            self.assertGreater(len(callers.replies), 20)
            self.assertEqual(set(system.starts().values()), {1})

    async def test_entries_restarted_in_turn(self):
        await self.check(restart_entries)

    async def test_entries_that_host_agents_restarted_in_turn(self):
        await self.check(restart_entries, beside=False)

    async def test_agents_restarted_in_turn(self):
        await self.check(restart_agents)

    async def test_control_restarted(self):
        await self.check(restart_control)


async def restart_entries(system: System) -> None:
    for number, entry in enumerate(list(system.entries)):
        await entry.application.stop()
        system.entries.remove(entry)
        await system.start_entry(entry.endpoint.identity.name, ZONES[number % 2])
        await system.wait_until(lambda: system.has_view(3))
        await system.wait_until(lambda: all(system.has_agents(e) for e in system.entries))


async def restart_agents(system: System) -> None:
    for target in system.targets:
        await system.agents.pop(target.name).stop()
        await system.start_agent(target)
        await system.wait_until(lambda: all(system.has_agents(e) for e in system.entries))


async def restart_control(system: System) -> None:
    await system.control.stop()
    await system.start_control()
    await system.set_zone("pipa", True, "after-restart")
