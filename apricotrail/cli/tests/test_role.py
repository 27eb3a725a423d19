"""A role's planned stop: first signal, second signal, deadline."""

import asyncio
import os
import signal
from unittest import IsolatedAsyncioTestCase

from apricotrail.application import Application
from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._role import serve

LONG_MS = 30_000


class PlannedStop(IsolatedAsyncioTestCase):
    """Signals to this very process, caught by the handlers of `serve`."""

    def make_application(self):
        self.stopping = asyncio.Event()
        self.released = asyncio.Event()
        self.finished = False
        application = Application("entry")
        application.on_stop(self.finish)
        return application

    async def finish(self):
        self.stopping.set()
        await self.released.wait()
        self.finished = True

    async def begin(self, stop_ms):
        served = asyncio.create_task(serve(self.make_application(), stop_ms))
        await asyncio.sleep(0)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.wait_for(self.stopping.wait(), 10)
        return served

    async def test_first_signal_waits_for_the_stop_hooks(self):
        served = await self.begin(LONG_MS)
        self.assertFalse(served.done())
        self.released.set()
        self.assertEqual(await asyncio.wait_for(served, 10), ExitCode.DONE)
        self.assertTrue(self.finished)

    async def test_second_signal_ends_the_wait(self):
        served = await self.begin(LONG_MS)
        os.kill(os.getpid(), signal.SIGINT)
        self.assertEqual(await asyncio.wait_for(served, 10), ExitCode.REFUSED)
        self.assertFalse(self.finished)

    async def test_the_deadline_ends_the_wait(self):
        served = await self.begin(20)
        self.assertEqual(await asyncio.wait_for(served, 10), ExitCode.REFUSED)
        self.assertFalse(self.finished)
