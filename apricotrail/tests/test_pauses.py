"""Pauses of periodic work end together, and repeated ones keep their interval."""

import unittest

from nose2.tools import params

from apricotrail.pauses import GRID_MS, find_pause_s


class TestPauses(unittest.TestCase):
    # Guards against timers of one process that wake it one after the other.
    @params(50, 100, 200, 500, 2_000)
    def test_pauses_that_begin_at_different_times_end_together(self, pause_ms):
        ends = {
            round(1e6 * (now_s + find_pause_s(pause_ms, now_s)))
            for now_s in (100 + find_pause_s(GRID_MS, 100) + late_s for late_s in (0, 0.004, 0.02))
        }
        self.assertEqual(len(ends), 1)

    # Guards against heartbeats that drift apart from their interval by the time each step takes.
    def test_late_steps_keep_the_mean_interval(self):
        now_s = start_s = 100 + find_pause_s(200, 100)
        for _ in range(100):
            now_s += 0.012
            now_s += find_pause_s(200, now_s)
        self.assertAlmostEqual(now_s - start_s, 20.0)

    # Guards against heartbeats that come later than the limits for silence count on.
    @params(50, 100, 200, 500)
    def test_no_pause_is_much_longer_than_wanted(self, pause_ms):
        pauses_s = [find_pause_s(pause_ms, 100 + 0.007 * step) for step in range(200)]
        self.assertLessEqual(max(pauses_s), 1.1 * pause_ms / 1000 + 1e-6)
        self.assertGreater(min(pauses_s), 0)

    # Guards against a short pause of a retry that the grid stretches or drops.
    def test_short_pauses_stay_as_they_are(self):
        self.assertEqual(find_pause_s(20, 123.4), 0.02)
