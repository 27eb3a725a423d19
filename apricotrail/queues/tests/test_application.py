"""Jobs of callers that leave, and signs of life of a dispatcher that was paused."""

import asyncio
import unittest

from apricotrail.clocks import VirtualClock, monotonic_ms
from apricotrail.membership import MAX_NOTICE_MS
from apricotrail.queues import QueueDispatcher
from apricotrail.queues._application import IDLE_ECHO_MS
from apricotrail.queues._dispatcher import SETTLE_MS, Dispatcher, DispatcherParts
from apricotrail.queues.tests.harness import QUEUE, make_request
from apricotrail.settings import Settings
from apricotrail.wire.generated.ttypes import ClaimRuns, Heartbeat, Identity, StartRuns


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

    # Guards against a request read after a pause, before the news that its caller has left.
    async def test_job_that_is_read_after_a_pause_waits_for_what_came_with_it(self):
        dispatcher = self.process.dispatcher
        dispatcher.registry.is_complete = lambda pool: True
        dispatcher._last_active_ms -= MAX_NOTICE_MS
        disconnected = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(SETTLE_MS / 4_000, disconnected.set_result, None)
        self.assertIsNone(await self.process.run_job(make_request(), QUEUE, disconnected))
        self.assertEqual(self.submitted, [])


class TestPausedDispatcher(unittest.TestCase):
    # Guards against a sign of life that is sent before callers that left meanwhile are noticed.
    def test_a_paused_dispatcher_echoes_heartbeats_only_once_it_has_settled(self):
        process = QueueDispatcher(Settings({}))
        clock = VirtualClock(1_000.0)
        process.dispatcher = Dispatcher(DispatcherParts(clock, None, lambda agent, message: True))
        for gap_ms, may_echo in ((MAX_NOTICE_MS - 1, True), (MAX_NOTICE_MS, False), (1.0, False)):
            with self.subTest(gap_ms=gap_ms):
                clock.advance(gap_ms)
                self.assertEqual(process.endpoint.may_echo(), may_echo)
        clock.advance(SETTLE_MS)
        self.assertTrue(process.endpoint.may_echo())

    # Guards against a slow dispatcher taken for dead, since each pass of its loop is like a pause.
    def test_a_dispatcher_that_is_slow_for_long_goes_on_to_echo_heartbeats(self):
        process = QueueDispatcher(Settings({}))
        clock = VirtualClock(1_000.0)
        process.dispatcher = Dispatcher(DispatcherParts(clock, None, lambda agent, message: True))
        echoes = []
        for _ in range(20):
            clock.advance(MAX_NOTICE_MS + 30)
            echoes.append(process.endpoint.may_echo())
        self.assertGreaterEqual(sum(echoes), len(echoes) // 2)
        self.assertNotIn((False, False), list(zip(echoes, echoes[1:], strict=False)))


class FakeLink:
    """A link to an agent that keeps what is sent."""

    def __init__(self):
        self.peer = Identity("a", "runner", "", 1, "")
        self.sent, self.beat_ms, self.owes_echo = [], 0.0, False

    def send(self, message):
        self.sent.append(type(message).__name__)
        return True

    def send_heartbeat(self):
        self.sent.append("Heartbeat")
        self.beat_ms, self.owes_echo = monotonic_ms(), False


class TestAnswersToHeartbeats(unittest.TestCase):
    def setUp(self):
        self.process, self.link = QueueDispatcher(Settings({})), FakeLink()
        self.process.endpoint.links["a"] = self.link

    def receive_heartbeats(self, count):
        for sequence in range(count):
            self.process._receive_heartbeat(self.link, Heartbeat(sequence), None)
        return self.link.sent.count("Heartbeat")

    # Guards against runs that are stopped since their owner seems silent.
    def test_each_heartbeat_of_an_agent_with_runs_is_answered(self):
        self.process._send("a", StartRuns([]))
        self.assertEqual(self.receive_heartbeats(4), 4)

    # Guards against idle links on which half of all messages answer heartbeats for nobody.
    def test_without_runs_an_answer_that_follows_another_soon_is_left_out(self):
        self.assertEqual(self.receive_heartbeats(4), 1)
        self.link.beat_ms -= IDLE_ECHO_MS
        self.assertEqual(self.receive_heartbeats(1), 2)

    # Guards against a start that its agent refuses, since the last sign of life it knows is old.
    def test_the_newest_heartbeat_is_answered_before_starts_and_claims(self):
        for message in (StartRuns([]), ClaimRuns([])):
            self.link.owes_echo, self.link.sent = True, []
            self.process._send("a", message)
            self.assertEqual(self.link.sent, ["Heartbeat", type(message).__name__])
