"""The whole agent over loopback: starts, refusals, stops, lost links, planned stop."""

import unittest

from apricotrail.agent.tests.stand_ins import Scene, wait_until
from apricotrail.wire.generated.ttypes import Reason, TaskState

HOLD = {"hold": True}


class TestAgent(unittest.IsolatedAsyncioTestCase):
    async def test_tasks_run_and_answers_come_back_whole(self):
        async with Scene() as scene:
            scene.entry.start_tasks("school/1", {"answer": "a"}, {"answer": "b" * 900})
            await wait_until(lambda: len(scene.entry.outcomes) == 2)
            answers = {outcome.task: outcome.answer for outcome in scene.entry.outcomes}
            self.assertEqual(answers, {0: b"a", 1: b"b" * 900})
            self.assertEqual(scene.entry.messages[-1].load.free_slots, 2)
            self.assertEqual(scene.entry.messages[-1].load.received, 2)
            self.assertTrue(all(0 < ms <= 5_000 for ms in scene.target.budgets_ms))

    async def test_what_the_target_does_decides_the_state(self):
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
        async with Scene() as scene:
            for number, (body, state, reason) in enumerate(table):
                with self.subTest(body=body):
                    scene.entry.start_tasks(f"school/{number}", body)
                    await wait_until(lambda count=number: len(scene.entry.outcomes) > count)
                    self.assertEqual(scene.entry.states()[-1], (0, state, reason))

    async def test_silent_target_costs_its_tasks_only(self):
        async with Scene(slots=1) as scene:
            scene.entry.start_tasks("school/1", HOLD, budget_ms=50)
            await wait_until(lambda: scene.entry.outcomes)
            silent = (0, TaskState.MAY_HAVE_RUN, Reason.TARGET_SILENT)
            self.assertEqual(scene.entry.states(), [silent])
            await wait_until(lambda: scene.agent.agent.slots.running == 0)
            self.assertEqual(scene.target.stopped, [("school/1", 0)])
            scene.entry.start_tasks("school/2", {})
            await wait_until(lambda: len(scene.entry.outcomes) == 2)
            self.assertEqual(scene.entry.outcomes[-1].state, TaskState.DONE)
