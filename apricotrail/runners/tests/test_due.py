"""When an agent looks at its runs again: not before something is due, and not much later."""

import unittest
from math import inf

from apricotrail.membership import OWNER_SILENT_MS, TICK_MS
from apricotrail.runners._gate import GateLimits
from apricotrail.runners._runs import StartReply
from apricotrail.runners.tests.harness import ALICE, BOB, GateCase, make_start

LIMITS = GateLimits()


class TestDue(unittest.TestCase):
    def setUp(self):
        self.case = GateCase()
        self.gate, self.clock = self.case.gate, self.case.clock

    # Guards against an idle agent that wakes twenty times a second.
    def test_nothing_is_due_without_runs_and_ends(self):
        self.assertEqual(self.gate.find_due_ms(), inf)

    # Guards against runs that go on for longer than an owner may be silent, and a tick.
    def test_a_run_is_due_when_its_owner_has_been_silent_for_too_long(self):
        self.gate.record_owner_alive(BOB, self.clock())
        self.clock.advance(100)
        self.gate.record_owner_alive(ALICE, self.clock())
        self.case.start()
        self.assertEqual(self.gate.find_due_ms(), self.clock() + OWNER_SILENT_MS)
        self.clock.advance(OWNER_SILENT_MS)
        self.gate.tick()
        self.assertTrue(self.gate.list_running()[0].stop_ordered_ms)

    # Guards against a stalled run that is found late while its owner is alive.
    def test_a_run_is_due_when_it_may_have_stalled(self):
        self.case.start()
        self.clock.advance(LIMITS.stall_ms - TICK_MS)
        self.gate.record_owner_alive(ALICE, self.clock())
        self.assertEqual(self.gate.find_due_ms(), self.clock() + TICK_MS)

    # Guards against a queued run that is refused, or started, later than at the next tick.
    def test_queued_runs_are_due_at_once(self):
        self.case.start(make_start(cpu=16_000))
        self.case.start(make_start("k.0.0.0", wait_ms=60), reply=None)
        self.assertLessEqual(self.gate.find_due_ms(), self.clock())

    # Guards against unconfirmed ends of a silent owner that nobody looks at.
    def test_unconfirmed_ends_are_due_once_their_owner_is_silent(self):
        self.case.start(reply=StartReply.STARTED)
        self.case.list(ended=[("j.0.0.0", 1, "done")])
        self.assertTrue(self.gate.has_unconfirmed)
        self.assertEqual(self.gate.find_due_ms(), self.clock() + OWNER_SILENT_MS)
        self.clock.advance(OWNER_SILENT_MS)
        self.gate.tick()
        self.assertLessEqual(self.gate.find_due_ms(), self.clock())
