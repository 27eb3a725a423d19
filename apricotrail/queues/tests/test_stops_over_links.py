"""Stops that get lost with the link to their agent."""

import asyncio
import unittest

from apricotrail.queues._jobs import JobState
from apricotrail.queues.tests.harness import DispatchCase
from apricotrail.wire.generated.ttypes import ClaimRuns


class TestStopsOverLinks(unittest.IsolatedAsyncioTestCase):
    def list_claimed(self, case: DispatchCase) -> list:
        claims = [message for _, message in case.sent if isinstance(message, ClaimRuns)]
        return [(start.task, start.run) for start in claims[-1].runs]

    # Guards against runs of an answered job that go on, and beside them those of the job sent
    # again elsewhere, because a stop was lost with its link and the next link claimed the runs.
    async def test_runs_of_a_stopped_job_are_not_claimed_when_the_link_is_back(self):
        case = DispatchCase("a")
        answer = case.submit()
        await asyncio.sleep(0)
        self.assertEqual(len(case.runs()), 1)
        case.dispatcher.link_down("a")
        case.dispatcher.detach_caller("j", answer)  # its connection broke with the link
        self.assertEqual(answer.result().state, JobState.UNFINISHED)
        case.dispatcher.link_up("a")
        self.assertEqual(self.list_claimed(case), [])

    # Guards against the same for a stop that was written to a link that broke before it arrived.
    async def test_runs_of_a_job_stopped_before_the_link_broke_are_not_claimed(self):
        case = DispatchCase("a")
        answer = case.submit()
        await asyncio.sleep(0)
        case.dispatcher.detach_caller("j", answer)
        case.dispatcher.link_down("a")
        case.dispatcher.link_up("a")
        self.assertEqual(self.list_claimed(case), [])
