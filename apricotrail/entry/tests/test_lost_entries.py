"""Entries that are cut off, lost one after the other, or lost all at once.

The tests guard against tasks that start twice, answers that get lost, and tasks that start by a
stale configuration.
"""

import asyncio
import unittest
from uuid import UUID

from apricotrail.clocks import wall_ms
from apricotrail.entry.tests.system import ZONES, System, cut_off, reconnect

# Over entry.claim_call_ms of these tests: a takeover is complete only if every ledger is older than
# the job's claim by at least that time.
LEDGER_AGE_S = 0.5
QUICK_SYNC = {"entry.claims_sync_ms": 300}


def make_uuid7(at_ms: int, low_bits: int = 1) -> str:
    """Return a UUIDv7 created at a given wall clock time (RFC 9562)."""
    return str(UUID(int=(at_ms << 80) | (7 << 76) | (2 << 62) | low_bits))


class TestLostEntries(unittest.IsolatedAsyncioTestCase):
    async def test_remaining_entry_serves_jobs_after_the_other_is_lost(self):
        async with System(entries=2) as system:
            first = await system.submit(system.entries[0], "1", [{"n": 1}])
            crashed, remaining = system.entries
            await system.kill(crashed.application)
            system.entries.remove(crashed)
            await system.wait_until(lambda: system.has_view(1))
            self.assertEqual(await system.submit(remaining, "1", [{"n": 1}]), first)
            self.assertEqual((await system.submit(remaining, "2", [{}]))[0], 200)
            self.assertEqual(set(system.starts().values()), {1})

    async def test_answers_survive_when_entries_are_lost_and_replaced_in_turn(self):
        async with System(entries=3) as system:
            jobs = [str(number) for number in range(20)]
            for number, job in enumerate(jobs):
                await system.submit(system.entries[number % 3], job, [{"job": job}])
            for _ in range(2):
                lost = system.entries.pop(0)
                await system.kill(lost.application)
                await system.wait_until(lambda: system.has_view(2))
                await system.start_entry(lost.endpoint.identity.name, ZONES[0])
                await system.wait_until(lambda: system.has_view(3))
            for job in jobs:
                for entry in system.entries:
                    status, answer = await system.submit(entry, job, [{"job": job}])
                    self.assertEqual((status, answer["state"]), (200, "complete"))
            self.assertEqual(set(system.starts().values()), {1})

    async def test_whole_view_lost_starts_nothing_twice(self):
        async with System(entries=3, settings=QUICK_SYNC) as system:
            old_id = make_uuid7(wall_ms())
            await system.submit(system.entries[0], "plain", [{}])
            await system.submit(system.entries[0], old_id, [{}])
            for target in system.targets:
                target.gate.clear()
            lost = asyncio.ensure_future(system.submit(system.entries[1], "running", [{}] * 4))
            await system.wait_until(lambda: len(system.starts()) == 6)
            await asyncio.gather(*(system.kill(e.application) for e in system.entries))
            await lost
            system.entries.clear()
            for target in system.targets:
                target.gate.set()
            for number in range(3):
                await system.start_entry(f"entry-{number}", ZONES[number % 2])
            await system.wait_until(lambda: system.has_view(3))
            await system.wait_until(lambda: all(system.has_agents(e) for e in system.entries))
            entry = system.entries[1]  # the name of the lost owner of the running job
            for submission, tasks in (("plain", 1), (old_id, 1), ("running", 4), ("unknown", 1)):
                status, answer = await system.submit(entry, submission, [{}] * tasks)
                self.assertIn(status, (200, 502), (submission, answer))
                if status == 502:
                    self.assertEqual(answer["error"]["kind"], "may_have_run", submission)
                states = {task["state"] for task in answer.get("tasks", ())}
                self.assertNotIn("not_run", states, submission)
            self.assertEqual(set(system.starts().values()), {1})
            status, _ = await system.submit(entry, make_uuid7(wall_ms() + 10_000), [{}])
            self.assertEqual(status, 200)

    async def test_entry_cut_off_starts_nothing_in_a_zone_taken_out(self):
        async with System(entries=3, agent_processes=False) as system:
            for cut in list(system.entries):
                hosted = [t for t in system.targets if t.name in cut.hosting.list_hosted()]
                if any(target.zone == "pipa" for target in hosted):
                    break
            cut_off(cut)
            others = [entry for entry in system.entries if entry is not cut]
            system.entries.remove(cut)
            await system.set_zone("pipa", False, "out")
            await asyncio.sleep(system.settings["membership.config_stale_ms"] / 1_000)
            before = [t.starts.total() for t in system.targets if t.zone == "pipa"]
            status, answer = await system.submit(cut, "cut", [{}] * 20, deadline_ms=500)
            self.assertEqual((status, answer["error"]["kind"]), (503, "stale_configuration"))
            self.assertEqual((await system.submit(others[0], "1", [{}] * 20))[0], 200)
            after = [t.starts.total() for t in system.targets if t.zone == "pipa"]
            self.assertEqual(before, after)
            system.entries.append(cut)

    async def test_entry_cut_off_with_a_running_job_comes_back_as_a_new_incarnation(self):
        async with System(entries=3, settings=QUICK_SYNC) as system:
            cut, *others = system.entries
            for target in system.targets:
                target.gate.clear()
            bodies = [{"n": n} for n in range(40)]
            await asyncio.sleep(LEDGER_AGE_S)
            first = asyncio.ensure_future(system.submit(cut, "1", bodies))
            await system.wait_until(lambda: len(system.starts()) == 16)
            cut_off(cut)
            incarnation = cut.endpoint.identity.incarnation
            system.entries.remove(cut)
            await system.wait_until(lambda: system.has_view(2))
            second = asyncio.ensure_future(system.submit(others[0], "1", bodies))
            await asyncio.sleep(1)
            for target in system.targets:
                target.gate.set()
            status, answer = await second
            self.assertEqual((status, answer["state"]), (200, "complete"), answer)
            reconnect(cut)
            system.entries.append(cut)
            status, answer = await first
            self.assertEqual((status, answer["error"]["kind"]), (502, "may_have_run"))
            await system.wait_until(lambda: system.has_view(3))
            self.assertGreater(cut.endpoint.identity.incarnation, incarnation)
            self.assertEqual((await system.submit(cut, "1", bodies))[0], 200)
            self.assertEqual(set(system.starts().values()), {1})
