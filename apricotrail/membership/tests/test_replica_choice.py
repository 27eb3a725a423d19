"""Which replica a process follows, by the confirmations that the replicas state."""

import unittest

from structlog.testing import capture_logs

from apricotrail.membership._replica_choice import (
    ASK_AGAIN_MS,
    LAG_MS,
    LEAVE_AFTER_MS,
    RETURN_AFTER_MS,
)
from apricotrail.membership.tests.test_roster import RosterCase
from apricotrail.wire.generated.ttypes import ConfigurationRequest

APPLY_MS = 2_000.0  # within this an acknowledged version must be in force
BEAT_MS = 500.0
STEP_MS = 50.0
ELECTION_MS = 1_200.0
ROUND_MS = 100.0


class FollowCase(RosterCase):
    """Replicas that answer each heartbeat with version and age, and the requests to them."""

    def __init__(self, **zones: str) -> None:
        super().__init__()
        self.versions = dict.fromkeys(zones, 3)
        # Own time since which a replica confirms nothing; one that never did has -inf.
        self.silent_since_ms: dict[str, float] = {}
        for name, zone in zones.items():
            self.link(name, zone)
        self.receive_change(self.followed(), 3)
        self.lines: list[dict] = []

    def followed(self) -> str:
        return self.roster._followed.peer.name

    def answer(self, name: str) -> None:
        since_ms = self.silent_since_ms.get(name, self.clock())
        age_ms = min(self.clock() - since_ms, 2**31 - 1)
        self.state(name, self.versions[name], int(age_ms))

    def advance(self, total_ms: float) -> None:
        """Advance the clock with ticks and heartbeats to all replicas, each `BEAT_MS`."""
        with capture_logs() as lines:
            for _ in range(int(total_ms / STEP_MS)):
                self.clock.advance(STEP_MS)
                asked, self.heartbeats[:] = list(self.heartbeats), []
                if self.clock() % BEAT_MS == 0:
                    asked = list(self.links)
                for name in asked:
                    self.answer(name)
                self.roster.tick()
        self.lines += [it for it in lines if it["event"] == "replica_followed"]

    def requests(self) -> list[tuple[str, bool]]:
        """Return the replicas that were asked for changes, and whether to follow them."""
        return [(name, it.follow) for name, it in self.sent if isinstance(it, ConfigurationRequest)]


class TestUnconfirmedReplicas(unittest.TestCase):
    # Guards against a process that follows a replica which is cut off or never was a member.
    def test_a_replica_that_confirms_nothing_is_left_for_one_that_does(self):
        for silent_for_ms in (float("inf"), 40_000.0, 0.0):
            with self.subTest(silent_for_ms=silent_for_ms):
                case = FollowCase(a="pipa", b="jeri", c="jeri")
                self.assertEqual(case.followed(), "a")
                case.silent_since_ms["a"] = case.clock() - silent_for_ms
                case.advance(APPLY_MS * 0.8)
                self.assertNotEqual(case.followed(), "a")
                (line,) = case.lines
                self.assertEqual((line["reason"], line["version"]), ("unconfirmed", 3))
                self.assertLess(line["age_ms"], APPLY_MS)
                self.assertEqual(case.requests()[-1], (case.followed(), True))
                case.advance(10_000)
                self.assertEqual(len(case.lines), 1)

    def test_it_is_left_well_within_the_time_in_which_a_version_must_be_in_force(self):
        for cut_at_ms in range(0, int(BEAT_MS), 50):
            with self.subTest(cut_at_ms=cut_at_ms):
                case = FollowCase(a="pipa", b="jeri")
                case.advance(5_000 + cut_at_ms)
                case.silent_since_ms["a"] = case.clock()
                case.advance(APPLY_MS * 0.8)
                self.assertEqual(case.followed(), "b")

    # Guards against processes that all move to the new leader after each election.
    def test_an_election_moves_nobody(self):
        for started_ms in range(0, int(BEAT_MS), 50):
            for follower_later_ms in (0.0, 2 * ROUND_MS):
                with self.subTest(started_ms=started_ms, follower_later_ms=follower_later_ms):
                    case = FollowCase(a="pipa", b="jeri", c="jeri")
                    case.advance(5_000 + started_ms)
                    case.silent_since_ms = dict.fromkeys("abc", case.clock())
                    case.advance(ELECTION_MS)
                    del case.silent_since_ms["b"]
                    case.advance(follower_later_ms)
                    case.silent_since_ms.clear()
                    case.advance(5_000)
                    self.assertEqual((case.followed(), case.lines), ("a", []))

    def test_without_any_confirmed_replica_the_followed_one_is_kept(self):
        case = FollowCase(a="pipa", b="jeri")
        case.advance(5_000)
        case.silent_since_ms = dict.fromkeys("ab", case.clock())
        case.advance(60_000)
        self.assertEqual((case.followed(), case.lines), ("a", []))

    def test_lag_at_which_a_replica_is_left(self):
        for lag_ms, followed in ((LAG_MS - 1, "a"), (LAG_MS, "b")):
            with self.subTest(lag_ms=lag_ms):
                case = FollowCase(a="pipa", b="jeri")
                for pause_ms in (0.0, ASK_AGAIN_MS, LEAVE_AFTER_MS - ASK_AGAIN_MS):
                    case.clock.advance(pause_ms)
                    case.state("b", 3, 0)
                    case.state("a", 3, int(lag_ms))
                    case.roster.tick()
                self.assertEqual(case.followed(), followed)

    def test_a_replica_is_asked_once_more_before_it_is_left(self):
        case = FollowCase(a="pipa", b="jeri")
        case.state("b", 3, 0)
        case.state("a", 3, 2_000)
        case.heartbeats.clear()
        asked = []
        for _ in range(int(LEAVE_AFTER_MS / STEP_MS) - 1):
            case.clock.advance(STEP_MS)
            case.roster.tick()
            asked.append(len(case.heartbeats))
        self.assertEqual((case.heartbeats, asked.index(1) + 1), (["a"], ASK_AGAIN_MS / STEP_MS))
        case.state("a", 3, 0)
        case.clock.advance(STEP_MS)
        case.roster.tick()
        self.assertEqual(case.followed(), "a")

    # Guards against a version that comes late since the followed replica is cut off.
    def test_changes_are_requested_of_another_at_once_if_the_followed_one_lags(self):
        for age_ms, requests in ((int(LAG_MS) - 1, []), (int(LAG_MS), [("b", False)])):
            with self.subTest(age_ms=age_ms):
                case = FollowCase(a="pipa", b="jeri")
                case.sent.clear()
                case.state("a", 3, age_ms)
                case.state("b", 4, 0)
                self.assertEqual(case.requests(), requests)


class TestPreferredReplicas(unittest.TestCase):
    # Guards against an entry that leaves a sound replica for an empty newcomer of its own zone.
    def test_a_replica_of_the_own_zone_is_followed_once_it_has_confirmed(self):
        case = FollowCase(a="jeri", b="pipa")
        case.silent_since_ms["b"] = -float("inf")
        case.advance(3_000)
        self.assertEqual(case.followed(), "a")
        del case.silent_since_ms["b"]
        case.advance(BEAT_MS)
        self.assertEqual(case.followed(), "b")
        self.assertEqual([line["reason"] for line in case.lines], ["preferred"])

    def test_a_replica_that_confirms_by_fits_and_starts_is_not_followed_each_time(self):
        case = FollowCase(a="pipa", b="jeri")
        for _ in range(6):
            case.silent_since_ms["a"] = case.clock()
            case.advance(2_000)
            case.silent_since_ms.clear()
            case.advance(1_000)
        self.assertLessEqual(len(case.lines), 18_000 / RETURN_AFTER_MS * 2)
        case.advance(RETURN_AFTER_MS)
        self.assertEqual(case.followed(), "a")

    def test_a_replica_with_a_disk_is_preferred_to_one_of_the_own_zone(self):
        case = FollowCase(**{"m#memory-1": "pipa", "a#1": "jeri"})
        case.advance(BEAT_MS)
        self.assertEqual(case.followed(), "a#1")

    def test_a_lost_replica_is_replaced_by_a_confirmed_one_before_one_of_the_own_zone(self):
        for is_confirmed, followed in ((False, "c"), (True, "b")):
            with self.subTest(is_confirmed=is_confirmed):
                case = FollowCase(a="pipa", b="pipa", c="jeri")
                if not is_confirmed:
                    case.silent_since_ms["b"] = -float("inf")
                case.advance(BEAT_MS)
                with capture_logs() as lines:
                    case.unlink("a")
                self.assertEqual(case.followed(), followed)
                self.assertEqual(lines[-1]["reason"], "link_lost")
