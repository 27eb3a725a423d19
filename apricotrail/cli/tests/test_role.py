"""A role's planned stop: first signal, further signals, deadline, signals during the start."""

import asyncio
import os
import signal
from unittest import IsolatedAsyncioTestCase

from apricotrail.application import Application
from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._role import catch_stop_signals, serve

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

    async def start_and_serve(self, application, stop_ms):
        with catch_stop_signals() as stop_requested:
            await application.start()
            return await serve(application, stop_ms, stop_requested)

    async def begin(self, stop_ms):
        served = asyncio.create_task(self.start_and_serve(self.make_application(), stop_ms))
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

    async def test_further_signals_do_not_shorten_the_stop(self):
        """Guards against a second SIGTERM that cuts the requests which still run."""
        served = await self.begin(LONG_MS)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.01)
        self.assertFalse(served.done())
        self.assertFalse(self.finished)
        self.released.set()
        self.assertEqual(await asyncio.wait_for(served, 10), ExitCode.DONE)
        self.assertTrue(self.finished)

    async def test_the_deadline_ends_the_wait(self):
        served = await self.begin(20)
        self.assertEqual(await asyncio.wait_for(served, 10), ExitCode.REFUSED)
        self.assertFalse(self.finished)

    async def test_a_signal_during_the_start_begins_the_stop_after_it(self):
        """Guards against a process that dies of a SIGTERM while its callers are already served."""
        application = self.make_application()
        self.released.set()

        async def signal_itself():
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0.01)

        application.on_start(signal_itself)
        served = self.start_and_serve(application, LONG_MS)
        self.assertEqual(await asyncio.wait_for(served, 10), ExitCode.DONE)
        self.assertTrue(self.finished)
