"""Guarantees to callers, also under failures, with the real roles over loopback sockets."""

import asyncio
import unittest

import orjson

from apricotrail.entry import Entry
from apricotrail.entry.tests.system import System
from apricotrail.errors import ApricotrailError
from apricotrail.settings import Settings


class TestEndToEnd(unittest.IsolatedAsyncioTestCase):
    async def test_job_of_many_tasks_returns_every_answer_in_order(self):
        async with System() as system:
            bodies = [{"run_ms": 1, "n": n} for n in range(300)]
            status, answer = await system.submit(system.entries[0], "1", bodies)
            self.assertEqual((status, answer["state"]), (200, "complete"), answer)
            for number, text in enumerate(answer["answers"]):
                self.assertIn(f'"n":{number}}}', text)
            self.assertEqual(set(system.starts().values()), {1})

    async def test_long_answers_come_back_whole(self):
        async with System() as system:
            body = {"answer_bytes": 700_000}
            status, answer = await system.submit(system.entries[1], "1", [body] * 8)
            self.assertEqual(status, 200)
            self.assertTrue(all(len(text) > 700_000 for text in answer["answers"]))

    async def test_resubmission_to_any_entry_attaches(self):
        async with System() as system:
            calls = [system.submit(entry, "7", [{"run_ms": 30}] * 5) for entry in system.entries]
            replies = await asyncio.gather(*calls, *make_resubmissions(system))
            self.assertEqual({status for status, _ in replies}, {200}, replies)
            self.assertEqual({str(answer) for _, answer in replies}.__len__(), 1)
            self.assertEqual(sum(system.starts().values()), 5)

    async def test_other_body_under_a_used_id_is_refused(self):
        async with System() as system:
            await system.submit(system.entries[0], "7", [{"n": 1}])
            for entry in system.entries:
                status, answer = await system.submit(entry, "7", [{"n": 2}])
                self.assertEqual((status, answer["error"]["kind"]), (409, "body_mismatch"))

    async def test_one_entry_alone(self):
        async with System(entries=1) as system:
            status, _ = await system.submit(system.entries[0], "1", [{}])
            self.assertEqual(status, 200)

    async def test_hosted_agents_serve_targets_without_a_process(self):
        async with System(entries=2, agent_processes=False) as system:
            status, _ = await system.submit(system.entries[0], "1", [{"run_ms": 1}] * 20)
            self.assertEqual(status, 200)
            self.assertEqual(set(system.starts().values()), {1})


def make_resubmissions(system):
    return [system.submit(entry, "7", [{"run_ms": 30}] * 5) for entry in system.entries]


class TestFailures(unittest.IsolatedAsyncioTestCase):
    async def test_finished_answer_survives_its_owner(self):
        async with System() as system:
            owner, *others = system.entries
            first = await system.submit(owner, "1", [{"n": 1}])
            await system.kill(owner.application)
            for entry in others:
                self.assertEqual(await system.submit(entry, "1", [{"n": 1}]), first)
            self.assertEqual(set(system.starts().values()), {1})

    async def test_job_is_taken_over_after_its_owner_dies(self):
        async with System(settings={"entry.claims_sync_ms": 500}) as system:
            await asyncio.sleep(0)
            owner, *others = system.entries
            for target in system.targets:
                target.gate.clear()
            bodies = [{"n": n} for n in range(30)]
            interrupted = asyncio.ensure_future(system.submit(owner, "1", bodies))
            await system.wait_until(lambda: len(system.starts()) == 16)
            await system.kill(owner.application)
            await interrupted
            for target in system.targets:
                target.gate.set()
            status, answer = await system.submit(others[0], "1", bodies)
            self.assertEqual(set(system.starts().values()), {1})
            if status == 200:
                self.assertEqual(len(answer["answers"]), 30)
            else:
                states = [task["state"] for task in answer["tasks"]]
                started = {path.rpartition("/")[2] for path in system.starts()}
                for task, state in enumerate(states):
                    self.assertFalse(state == "not_run" and str(task) in started)

    async def test_zone_taken_out_starts_nothing_and_is_used_again(self):
        async with System(targets=4) as system:
            version = await system.set_zone("pipa", False, "out")
            await system.wait_until(
                lambda: all(entry.relay.confirmed_version() >= version for entry in system.entries)
            )
            before = sum(sum(t.starts.values()) for t in system.targets if t.zone == "pipa")
            status, _ = await system.submit(system.entries[0], "1", [{"run_ms": 1}] * 50)
            after = sum(sum(t.starts.values()) for t in system.targets if t.zone == "pipa")
            self.assertEqual((status, after - before), (200, 0))
            await system.set_zone("pipa", True, "in")
            await system.wait_until(
                lambda: all(system.has_agents(entry) for entry in system.entries)
            )
            await system.submit(system.entries[0], "2", [{"run_ms": 1}] * 50)
            used = sum(sum(t.starts.values()) for t in system.targets if t.zone == "pipa")
            self.assertGreater(used, after)

    async def test_cancelled_job_reports_the_state_of_each_task(self):
        async with System(targets=1) as system:
            system.targets[0].gate.clear()
            entry = system.entries[0]
            running = asyncio.ensure_future(system.submit(entry, "1", [{}] * 10))
            await system.wait_until(lambda: len(system.starts()) == 8)
            await system.call(system.entries[1], "DELETE", "/v1/jobs/natal/1")
            status, answer = await running
            states = [task["state"] for task in answer["tasks"]]
            self.assertEqual((status, answer["error"]["kind"]), (409, "cancelled"))
            self.assertEqual(states[8:], ["not_run"] * 2)
            self.assertNotIn("not_run", states[:8])

    async def test_dead_host_is_replaced_without_a_second_start(self):
        async with System(entries=3, agent_processes=False) as system:
            owner = next(e for e in system.entries if e.hosting.list_hosted())
            hosted = owner.hosting.list_hosted()
            await system.kill(owner.application)
            system.entries.remove(owner)
            others = system.entries
            await system.wait_until(
                lambda: set(hosted) <= {t for e in others for t in e.hosting.list_hosted()}
            )
            await system.wait_until(lambda: all(system.has_agents(entry) for entry in others))
            status, answer = await system.submit(others[0], "1", [{"run_ms": 1}] * 40)
            self.assertEqual(status, 200, answer)
            self.assertEqual(set(system.starts().values()), {1})

    async def test_closed_connection_cancels_the_job_if_the_caller_asked_for_it(self):
        async with System(targets=1) as system:
            system.targets[0].gate.clear()
            entry = system.entries[0]
            for submission, cancels in (("stays", False), ("goes", True)):
                more = {"cancel_on_disconnect": cancels}
                reading = asyncio.ensure_future(system.submit(entry, submission, [{}] * 2, **more))
                job = f"natal/{submission}"
                await system.wait_until(lambda key=job: key in entry.dispatcher.jobs)
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)
            await system.wait_until(lambda: "natal/goes" not in entry.dispatcher.jobs)
            self.assertIn("natal/stays", entry.dispatcher.jobs)
            _, answer = await system.call(entry, "GET", "/v1/jobs/natal/goes?wait_ms=5000")
            self.assertEqual(answer["error"]["kind"], "cancelled")

    async def test_deadline_reports_each_task(self):
        async with System(targets=1) as system:
            system.targets[0].gate.clear()
            status, answer = await system.submit(system.entries[0], "1", [{}] * 10, deadline_ms=700)
            states = [task["state"] for task in answer["tasks"]]
            self.assertEqual((status, answer["error"]["kind"]), (504, "deadline"))
            self.assertEqual(states.count("may_have_run"), len(system.starts()))
            self.assertEqual(states.count("not_run"), 10 - len(system.starts()))

    async def test_caller_with_too_many_open_jobs_is_refused_before_anything_starts(self):
        async with System(targets=1, settings={"entry.max_jobs_of_caller": 1}) as system:
            system.targets[0].gate.clear()
            entry = system.entries[0]
            first = asyncio.ensure_future(system.submit(entry, "1", [{}]))
            await system.wait_until(system.starts)
            status, answer = await system.submit(entry, "2", [{}])
            self.assertEqual((status, answer["error"]["kind"]), (429, "quota_exceeded"))
            system.targets[0].gate.set()
            self.assertEqual((await first)[0], 200)
            self.assertEqual((await system.submit(entry, "2", [{}]))[0], 200)

    async def test_asynchronous_job_is_read_from_any_entry(self):
        async with System() as system:
            body = {
                "submission": "a",
                "caller": "natal",
                "service": "Repair",
                "tasks": [{"body": "{}"}],
            }
            headers = (("Prefer", "respond-async"),)
            reply = await system.client.request(
                "POST", system.entries[0].address, "/v1/jobs", orjson.dumps(body), headers
            )
            self.assertEqual(reply.unwrap().status, 202)
            for entry in system.entries:
                status, answer = await system.call(entry, "GET", "/v1/jobs/natal/a?wait_ms=5000")
                self.assertEqual((status, answer["state"]), (200, "complete"))

    async def test_job_is_impossible_only_once_every_target_is_known(self):
        async with System(targets=2) as system:
            entry = system.entries[0]
            tasks = [{"body": "{}", "needs": {"slots": 9}}]
            value = {"caller": "natal", "service": "Repair", "deadline_ms": 300, "tasks": tasks}
            body = orjson.dumps(value | {"submission": "1"})
            status, answer = await system.call(entry, "POST", "/v1/jobs", body)
            self.assertEqual((status, answer["error"]["kind"]), (422, "impossible"))
            unlinked = entry.agents.find_by_target("r1")
            unlinked.slots = 0
            unlinked.link = None
            body = orjson.dumps(value | {"submission": "2"})
            status, _ = await system.call(entry, "POST", "/v1/jobs", body)
            self.assertNotEqual(status, 422, "the target that is not linked may have nine slots")


class TestSettings(unittest.TestCase):
    def test_unknown_placement_names_the_known_ones(self):
        with self.assertRaises(ApricotrailError) as raised:
            Entry(Settings({"entry.placement": "lucky"}))
        self.assertIn("late-binding", raised.exception.problem.remedy)
