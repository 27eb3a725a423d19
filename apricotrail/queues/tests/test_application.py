"""Jobs of callers that leave."""

import asyncio
import unittest

from apricotrail.queues import QueueDispatcher
from apricotrail.queues.tests.harness import QUEUE, make_request
from apricotrail.settings import Settings


class TestCallersThatLeave(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.process = QueueDispatcher(Settings({}))
        self.submitted = []
        self.process.dispatcher.submit = self.submit

    def submit(self, request, queue):
        self.submitted.append(request.job_id)
        return asyncio.get_running_loop().create_future()

    # Guards against starts for a caller that left while its job waited, and sends it elsewhere.
    async def test_job_of_a_caller_that_left_while_it_waited_is_not_submitted(self):
        disconnected = asyncio.get_running_loop().create_future()
        # The registry knows no runner yet, so the job waits for one.
        running = asyncio.ensure_future(self.process.run_job(make_request(), QUEUE, disconnected))
        await asyncio.sleep(0.02)
        disconnected.set_result(None)
        async with asyncio.timeout(10):
            self.assertIsNone(await running)
        self.assertEqual(self.submitted, [])
