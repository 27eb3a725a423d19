"""Sums of the time limits of repairs: a group is whole again before the next loss."""

import unittest

from apricotrail.control._repair_limits import (
    COMMIT_MS,
    OVERSEE_INTERVAL_MS,
    REMOVE_AFTER_MS,
    REPAIRED_AFTER_MS,
    REPLACE_AFTER_MS,
)
from apricotrail.control._replica import Timing
from apricotrail.settings import Settings
from apricotrail.wire import HEARTBEAT_MS, SILENT_MS
from apricotrail.wire._endpoint import CONNECT_MS

REDIAL_MS = 1_000.0  # longest pause between two tries to connect
LOSSES = 2


class TestRepairLimits(unittest.TestCase):
    # Guards against a lost member that still counts as a voter when the next one is lost.
    def test_a_replacement_votes_before_the_next_loss(self):
        seen_lost_ms = REPLACE_AFTER_MS + OVERSEE_INTERVAL_MS
        joined_ms = REDIAL_MS + Settings({}).get(CONNECT_MS) + OVERSEE_INTERVAL_MS + COMMIT_MS
        swapped_ms = max(seen_lost_ms, joined_ms) + LOSSES * 2 * COMMIT_MS
        self.assertLessEqual(swapped_ms, REPAIRED_AFTER_MS)

    # Guards against a predecessor that goes without a word while it still votes.
    def test_a_successor_that_came_first_votes_before_its_predecessor_may_go(self):
        joined_ms = REDIAL_MS + Settings({}).get(CONNECT_MS) + OVERSEE_INTERVAL_MS + COMMIT_MS
        handed_over_ms = OVERSEE_INTERVAL_MS + 2 * COMMIT_MS
        swapped_ms = joined_ms + LOSSES * 2 * COMMIT_MS + handed_over_ms
        self.assertLessEqual(swapped_ms, REPAIRED_AFTER_MS)

    # Guards against a lost leader whose replacement waits for a new silence after the election.
    def test_a_lost_leader_is_replaced_in_the_same_time(self):
        elected_ms = 2 * Timing().election_ms + COMMIT_MS
        self.assertLessEqual(elected_ms, REPLACE_AFTER_MS)

    # Guards against the replacement of replicas that only changed their link.
    def test_a_replica_whose_link_is_replaced_is_not_replaced(self):
        settings = Settings({})
        self.assertLessEqual(settings.get(SILENT_MS), REPLACE_AFTER_MS - settings.get(HEARTBEAT_MS))
        self.assertGreater(REMOVE_AFTER_MS, REPAIRED_AFTER_MS)
