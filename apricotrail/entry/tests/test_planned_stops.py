"""Planned stops under load: no request is cut off or fails, and no task starts twice."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from apricotrail.entry import Entry
from apricotrail.entry.tests.system import ZONES, System
from apricotrail.wire.generated.ttypes import Claim

# No role fails here, so the limits of silence are long enough for a busy machine.
PLANNED_STOP_SETTINGS = {
    "entry.drain_ms": 150,
    "membership.config_stale_ms": 4_000,
    "link.silent_ms": 5_000,
    "control.entry_silent_ms": 5_000,
}
CALLERS = 6
ANSWERS_PER_PHASE = 12


class Callers:
    """Callers behind a load balancer that only chooses entries that are ready."""

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

    async def _wait_for_answers(self) -> None:
        wanted = len(self.replies) + ANSWERS_PER_PHASE
        await self.system.wait_until(lambda: len(self.replies) >= wanted)

    async def run_during(self, work: Callable[[], Awaitable[None]]) -> None:
        callers = [asyncio.ensure_future(self.run(number)) for number in range(CALLERS)]
        await self._wait_for_answers()
        await work()
        await self._wait_for_answers()
        self._stopping = True
        await asyncio.gather(*callers)


class TestPlannedStops(unittest.IsolatedAsyncioTestCase):
    async def check(self, restart: Callable[[System], Awaitable[None]], **options) -> None:
        async with System(targets=4, settings=PLANNED_STOP_SETTINGS, **options) as system:
            callers = Callers(system)
            await callers.run_during(lambda: restart(system))
            failed = [reply for reply in callers.replies if reply[0] != 200]
            self.assertEqual(failed, [])
            self.assertEqual(set(system.starts().values()), {1})

    async def test_entries_restarted_in_turn(self):
        await self.check(restart_entries)

    async def test_entries_that_host_agents_restarted_in_turn(self):
        await self.check(restart_entries, agent_processes=False)

    async def test_agents_restarted_in_turn(self):
        await self.check(restart_agents)

    async def test_control_restarted(self):
        await self.check(restart_control)

    async def test_submission_that_is_being_claimed_is_answered(self):
        settings = PLANNED_STOP_SETTINGS | {"entry.drain_ms": 0, "entry.claim_call_ms": 2_000}
        async with System(settings=settings) as system:
            stopped, *others = system.entries
            for entry in others:
                entry.endpoint.on(Claim, delay_claims(entry))
            running = asyncio.ensure_future(system.submit(stopped, "1", [{"run_ms": 50}]))
            await system.wait_until(lambda: stopped.pipeline._ownership._pending_claims)
            await stopped.application.stop()
            system.entries.remove(stopped)
            self.assertEqual((await running)[0], 200)

    async def test_reader_of_a_running_job_is_told_that_it_still_runs(self):
        async with System(settings=PLANNED_STOP_SETTINGS | {"entry.drain_ms": 0}) as system:
            stopped, owner, _ = system.entries
            running = asyncio.ensure_future(system.submit(owner, "1", [{"run_ms": 2_000}]))
            await system.wait_until(system.starts)
            path = "/v1/jobs/natal/1?wait_ms=30000"
            reading = asyncio.ensure_future(system.call(stopped, "GET", path))
            await asyncio.sleep(0.1)
            await stopped.application.stop()
            system.entries.remove(stopped)
            status, answer = await reading
            self.assertEqual((status, answer["state"]), (202, "running"))
            self.assertEqual((await running)[0], 200)


def delay_claims(entry: Entry):
    async def answer(link, claim: Claim):
        await asyncio.sleep(0.3)
        return entry.pipeline.receive_claim(link, claim)

    return answer


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
