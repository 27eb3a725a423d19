"""The agent with real links and HTTP: starts, refusals, cancellation, planned stop."""

import asyncio
import socket
import unittest

from apricotrail.agent import make_agent
from apricotrail.agent.tests.stand_ins import FAST, AgentSystem, StandInEntry, wait_until
from apricotrail.errors import ApricotrailError
from apricotrail.http import HttpClient
from apricotrail.settings import Settings
from apricotrail.wire.generated import ttypes
from apricotrail.wire.generated.ttypes import Reason, TaskState

HOLD = {"hold": True}


class TestAgent(unittest.IsolatedAsyncioTestCase):
    async def test_tasks_run_and_complete_answers_are_returned(self):
        async with AgentSystem() as system:
            system.entry.start_tasks("school/1", {"answer": "a"}, {"answer": "b" * 900})
            await wait_until(lambda: len(system.entry.outcomes) == 2)
            answers = {outcome.task: outcome.answer for outcome in system.entry.outcomes}
            self.assertEqual(answers, {0: b"a", 1: b"b" * 900})
            self.assertEqual(system.entry.messages[-1].load.free_slots, 2)
            self.assertEqual(system.entry.messages[-1].load.received, 2)
            self.assertTrue(all(0 < ms <= 5_000 for ms in system.target.budgets_ms))

    async def test_response_of_the_target_determines_the_state(self):
        table = (
            ({"status": 201}, TaskState.DONE, Reason.NONE),
            ({"status": 500}, TaskState.FAILED, Reason.TARGET_ERROR),
            ({"status": 302}, TaskState.FAILED, Reason.TARGET_ERROR),
            ({"status": 503}, TaskState.FAILED, Reason.TARGET_ERROR),
            (
                {"status": 503, "headers": {"Apricotrail-Not-Run": "1"}},
                TaskState.NOT_RUN,
                Reason.TARGET_ERROR,
            ),
            ({"answer": "a" * 1_001}, TaskState.FAILED, Reason.TARGET_ERROR),
        )
        async with AgentSystem() as system:
            for number, (body, state, reason) in enumerate(table):
                with self.subTest(body=body):
                    system.entry.start_tasks(f"school/{number}", body)
                    await wait_until(lambda count=number: len(system.entry.outcomes) > count)
                    self.assertEqual(system.entry.states()[-1], (0, state, reason))

    async def test_task_of_silent_target_is_stopped_and_frees_its_slot(self):
        async with AgentSystem(slots=1) as system:
            system.entry.start_tasks("school/1", HOLD, budget_ms=50)
            await wait_until(lambda: system.entry.outcomes)
            silent = (0, TaskState.MAY_HAVE_RUN, Reason.TARGET_SILENT)
            self.assertEqual(system.entry.states(), [silent])
            await wait_until(lambda: system.agent.agent.slots.running == 0)
            self.assertEqual(system.target.stopped, [("school/1", 0)])
            system.entry.start_tasks("school/2", {})
            await wait_until(lambda: len(system.entry.outcomes) == 2)
            self.assertEqual(system.entry.outcomes[-1].state, TaskState.DONE)

    async def test_outcomes_of_one_tick_share_a_message(self):
        async with AgentSystem(slots=1) as system:
            system.entry.start_tasks("school/1", *[{}] * 40)
            await wait_until(lambda: len(system.entry.outcomes) == 40)
            self.assertEqual(len(system.entry.messages[0].outcomes), 39)
            self.assertEqual({o.reason for o in system.entry.messages[0].outcomes}, {Reason.FULL})

    async def test_duplicate_start_messages_start_once(self):
        async with AgentSystem(slots=4) as system:
            message = system.entry.start_tasks("school/1", HOLD)
            for _ in range(3):
                system.entry.link.send(message)
            await wait_until(lambda: len(system.entry.outcomes) == 3)
            seen = (0, TaskState.RUNNING, Reason.SEEN)
            self.assertEqual(system.entry.states(), [seen] * 3)
            system.target.release("school/1", 0)
            await wait_until(lambda: len(system.entry.outcomes) == 4)
            self.assertEqual(len(system.target.started), 1)

    async def test_incomplete_message_starts_nothing(self):
        async with AgentSystem() as system:
            task = ttypes.TaskStart(1, None, b"{}")
            message = ttypes.StartTasks("j", "runner", "entry-a", 1, 1, 1, [task], 0)
            system.entry.link.send(message)
            system.entry.start_tasks("school/1", {})
            await wait_until(lambda: system.entry.outcomes)
            self.assertEqual(len(system.agent.agent.ledger), 2)

    async def test_freed_slots_go_to_entries_with_demand(self):
        async with AgentSystem(slots=1, entries=2) as system:
            busy, waiting = system.entries
            busy.start_tasks("school/1", HOLD, {}, want=1)
            await wait_until(lambda: busy.outcomes)
            waiting.link.send(ttypes.SlotWant("runner", waiting.link.peer.incarnation, 1))
            await wait_until(lambda: len(system.agent.agent.slots._demand) == 2)
            system.target.release("school/1", 0)
            await wait_until(lambda: len(busy.outcomes) == 2)
            self.assertEqual(busy.messages[-1].granted, 1)
            await wait_until(lambda: waiting.offers)
            self.assertEqual(waiting.offers[0].granted, 1)

    async def test_stop_message_stops_running_tasks_and_later_starts(self):
        async with AgentSystem(slots=3) as system:
            system.entry.start_tasks("school/1", HOLD, HOLD, HOLD)
            await wait_until(lambda: len(system.target.started) == 3)
            system.entry.link.send(ttypes.StopTasks("school/1", "runner", 0, [0]))
            system.entry.link.send(ttypes.StopTasks("school/1", "runner", 1, [1, 99]))
            await wait_until(lambda: system.entry.outcomes)
            cancelled = (TaskState.MAY_HAVE_RUN, Reason.CANCELLED)
            self.assertEqual(system.entry.states(), [(1, *cancelled)])
            system.entry.link.send(ttypes.StopTasks("school/1", "runner", 1, []))
            await wait_until(lambda: system.agent.agent.slots.running == 0)
            self.assertEqual(sorted(system.target.stopped), [("school/1", n) for n in range(3)])
            system.entry.start_tasks("school/1", {}, attempt=2)
            await wait_until(lambda: len(system.entry.outcomes) == 4)
            self.assertEqual(system.entry.states()[-1][1], TaskState.NOT_RUN)

    async def test_configuration_decides_whether_tasks_may_start(self):
        table = (
            ("zone-state/pipa", {"in_service": False}, Reason.ZONE_OUT),
            ("zone-state/pipa", {"in_service": True}, Reason.NONE),
            ("target-state/runner", {"leaving": True}, Reason.TARGET_LEAVING),
            ("target-state/runner", {"leaving": False}, Reason.NONE),
            ("target/runner", {"zone": "nowhere"}, Reason.UNKNOWN_TARGET),
        )
        async with AgentSystem() as system:
            for number, (key, value, reason) in enumerate(table):
                with self.subTest(key=key, value=value):
                    system.entry.put_item(key, value)
                    system.entry.start_tasks(f"school/{number}", {})
                    await wait_until(lambda n=number: len(system.entry.outcomes) > n)
                    self.assertEqual(system.entry.outcomes[-1].reason, reason)

    async def test_stale_configuration_starts_nothing(self):
        async with AgentSystem() as system:
            system.entry.age_ms = 3_000
            system.agent._follower.freshness._as_of_ms = None
            await wait_until(lambda: not system.agent.agent.describe_load("x").accepting)
            system.entry.start_tasks("school/1", {})
            await wait_until(lambda: system.entry.outcomes)
            self.assertEqual(system.entry.outcomes[0].reason, Reason.STALE_CONFIGURATION)
            system.entry.age_ms = 0
            await wait_until(lambda: system.agent.agent.describe_load("x").accepting)

    async def test_leaving_target_gets_no_starts(self):
        async with AgentSystem() as system:
            leaving = ttypes.Announcement("shop:runner-1", "", 1, 1, 1, 1, True)
            system.entry.link.send(ttypes.ShareAnnouncements([leaving]))
            system.entry.start_tasks("school/1", {})
            await wait_until(lambda: system.entry.outcomes)
            self.assertEqual(system.entry.outcomes[0].reason, Reason.TARGET_LEAVING)

    async def test_planned_stop_waits_for_running_tasks(self):
        async with AgentSystem() as system:
            system.entry.start_tasks("school/1", HOLD)
            await wait_until(lambda: system.target.started)
            stop = asyncio.ensure_future(system.agent.stop())
            await wait_until(lambda: system.entry.loads and not system.entry.loads[-1].accepting)
            system.entry.start_tasks("school/2", {})
            await wait_until(lambda: system.entry.outcomes)
            self.assertEqual(system.entry.outcomes[0].reason, Reason.STOPPING)
            system.target.release("school/1", 0)
            await stop
            self.assertEqual(system.entry.outcomes[1].answer, b"ok")
            self.assertIsNone(system.entry.link)

    async def test_tasks_that_exceed_the_stop_deadline_are_stopped_and_reported(self):
        async with AgentSystem() as system:
            system.entry.start_tasks("school/1", HOLD)
            await wait_until(lambda: system.target.started)
            await system.agent.stop(deadline_ms=20)
            cut_off = (0, TaskState.MAY_HAVE_RUN, Reason.STOPPING)
            self.assertEqual(system.entry.states(), [cut_off])
            self.assertEqual(system.target.stopped, [("school/1", 0)])

    async def test_new_host_starts_nothing_before_its_first_start_time(self):
        system = AgentSystem()
        system.first_start_after_ms = 300
        async with system:
            self.assertGreaterEqual(system.agent._clock(), system.agent._earliest_start_ms)


class TestProcess(unittest.IsolatedAsyncioTestCase):
    async def test_agent_process_announces_its_target(self):
        entry = StandInEntry()
        await entry.start()
        values = {"agent.target": "runner", "agent.entries": [entry.address], "agent.lease_ms": 60}
        settings = Settings({**FAST, **values, "agent.environment": "trial"})
        application = make_agent(settings)
        await application.start()
        await wait_until(lambda: len(entry.announcements) > 3)
        self.assertEqual(entry.announcements[0].target, "runner")
        self.assertTrue(entry.announcements[0].has_agent)
        await application.stop()
        self.assertTrue(entry.announcements[-1].leaving)
        await entry.stop()

    async def test_listener_shows_readiness_and_metrics(self):
        with socket.create_server(("127.0.0.1", 0)) as probe:
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        settings = Settings({**FAST, "agent.target": "runner", "agent.listen": address})
        application = make_agent(settings)
        await application.start()
        client = HttpClient()
        replies = [
            (await client.request("GET", address, path)).unwrap()
            for path in ("/healthz", "/readyz", "/metrics")
        ]
        self.assertEqual([reply.status for reply in replies], [200, 503, 200])
        self.assertIn(b"apricotrail_ledger_records", replies[2].body)
        await client.close()
        await application.stop()

    async def test_agent_without_a_target_is_refused(self):
        with self.assertRaises(ApricotrailError):
            make_agent(Settings())
