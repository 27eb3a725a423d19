"""Sums of the time limits of runs: whoever starts a task again waits until its run is over."""

import unittest

from apricotrail.membership import (
    AGENT_LOST_AFTER_MS,
    CALLER_RETRY_MS,
    IN_DOUBT_AFTER_MS,
    LEASE_MS,
    LISTS_COMPLETE_MS,
    MAX_NOTICE_MS,
    OWNER_GRACE_MS,
    OWNER_SILENT_MS,
    START_VALID_MS,
    TICK_MS,
    WRITE_OFF_CONTACT_MS,
)
from apricotrail.queues._dispatcher import MAX_PAUSE_MS, STILL_LISTED_MS, UNLISTED_FOR_MS
from apricotrail.runners._driver import LEASE_MS as ORDERED_LEASE_MS
from apricotrail.runners._driver import MIN_CLOCK_RATE, STOP_RETRY_MS, STOP_TIMEOUT_MS
from apricotrail.runners._gate import MIN_START_LEASE_MS
from apricotrail.runners._unconfirmed import CONTACT_AFTER_SILENCE_MS

SLOWEST_CLOCK = 0.98
MAX_STOP_MS = 50.0  # `stopTimeoutMs` of the users' runners
LINK_SILENT_MS = 1_500.0  # the longest of any role
HEARTBEAT_MS = 200.0  # of agents
POWERLESS_MS = 1_600.0
PROCESS_START_MS = 400.0
SHARE_MS = 250.0  # between two looks of a control replica at its links, with margin


class TestRunLimits(unittest.TestCase):
    # Guards against runs that outlast the time after which a caller sends its job again.
    def test_a_callers_former_runs_have_ended_when_it_sends_its_job_again(self):
        self.assertLessEqual(MAX_NOTICE_MS + OWNER_GRACE_MS, CALLER_RETRY_MS)

    # Guards against an agent whose runs go on when its dispatcher starts them elsewhere.
    def test_a_silent_agents_runs_have_ended_when_they_are_written_off(self):
        self.assertLessEqual(OWNER_GRACE_MS, AGENT_LOST_AFTER_MS)
        self.assertLessEqual(IN_DOUBT_AFTER_MS + TICK_MS + LEASE_MS, AGENT_LOST_AFTER_MS)

    # Guards against an end that is acknowledged while its owner may still write its run off.
    def test_an_owner_that_saw_the_agent_listed_has_decided_when_its_ends_are_final(self):
        self.assertLess(STILL_LISTED_MS + LINK_SILENT_MS, CONTACT_AFTER_SILENCE_MS)
        self.assertLess(LINK_SILENT_MS, AGENT_LOST_AFTER_MS)
        self.assertLess(SHARE_MS, UNLISTED_FOR_MS)
        self.assertLessEqual(AGENT_LOST_AFTER_MS, WRITE_OFF_CONTACT_MS)

    # Guards against leases that lapse at all agents after a short loss of power of all of control.
    def test_a_short_loss_of_power_can_be_told_from_a_write_off(self):
        away_ms = HEARTBEAT_MS + POWERLESS_MS + PROCESS_START_MS
        self.assertLess(away_ms, WRITE_OFF_CONTACT_MS)
        self.assertLess(PROCESS_START_MS, LISTS_COMPLETE_MS)

    # Guards against stops that come too late to be answered before the leases lapse.
    def test_a_stop_can_be_repeated_before_the_leases_lapse(self):
        repeated_ms = 3 * (STOP_TIMEOUT_MS + STOP_RETRY_MS) + MAX_STOP_MS
        self.assertLessEqual(OWNER_SILENT_MS + TICK_MS + repeated_ms, OWNER_GRACE_MS)

    # Guards against dispatchers that go on with jobs whose runs agents have stopped.
    def test_a_paused_dispatcher_gives_its_jobs_up_before_agents_stop_their_runs(self):
        self.assertLess(MAX_PAUSE_MS, OWNER_SILENT_MS)
        self.assertLess(START_VALID_MS, OWNER_SILENT_MS)
        self.assertLess(OWNER_SILENT_MS, OWNER_GRACE_MS - MIN_START_LEASE_MS)

    # Guards against a lease that lasts longer than agents count, by the clock of its runner.
    def test_a_lease_counts_as_long_as_the_slowest_clock_makes_it(self):
        self.assertLessEqual(ORDERED_LEASE_MS / SLOWEST_CLOCK, LEASE_MS)
        self.assertLessEqual(MIN_CLOCK_RATE, SLOWEST_CLOCK)
