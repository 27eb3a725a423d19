"""Which processes a roster counts as listed or keeps links to, and its contact with a majority."""

import unittest
from typing import NamedTuple

from apricotrail.clocks import VirtualClock
from apricotrail.membership import NEVER_CONFIRMED_AGE_MS, Roster, RosterParts
from apricotrail.membership._roster import (
    CONFIRM_INTERVAL_MS,
    FORGET_AFTER_MS,
    LISTS_COMPLETE_MS,
    MAX_CONTACT_AGE_MS,
    MAX_NODES,
    SEEDS_AGAIN_MS,
)
from apricotrail.wire.generated.ttypes import (
    ConfigurationChange,
    Heartbeat,
    Identity,
    NodeChanges,
    NodeList,
)


class FakeLink(NamedTuple):
    peer: Identity
    sent: list
    heartbeats: list

    def send(self, message, *more):
        self.sent.append((self.peer.name, message))

    def send_heartbeat(self):
        self.heartbeats.append(self.peer.name)


class FakeEndpoint:
    """Records the handlers that a roster registers and the addresses that it dials."""

    def __init__(self) -> None:
        self.links = {}
        self.handlers = {}
        self.dialed = []

    def on(self, type_, handler):
        self.handlers[type_] = handler

    def on_up(self, hook):
        self.up = hook

    def on_down(self, hook):
        self.down = hook

    def undial(self, address):
        if address in self.dialed:
            self.dialed.remove(address)

    def dial(self, address):
        self.dialed.append(address)


class RosterCase:
    """A roster that is linked to control replicas."""

    def __init__(self, *replicas: str, seeds=()) -> None:
        self.clock = VirtualClock(50_000.0)
        self.endpoint = FakeEndpoint()
        self.roster = Roster(
            RosterParts(self.endpoint, seeds, "pipa", ("x/",), self.clock, lambda: None)
        )
        self.links = {}
        self.sent = []
        self.heartbeats = []
        for name in replicas:
            self.link(name)

    def link(self, name: str, zone: str = "pipa") -> None:
        link = FakeLink(Identity(name, "control", zone, 1, name), self.sent, self.heartbeats)
        self.links[name] = self.endpoint.links[name] = link
        self.endpoint.up(link)

    def unlink(self, name: str) -> None:
        self.endpoint.links.pop(name)
        self.endpoint.down(self.links[name])

    def receive_list(self, replica: str, *runners: str, replicas=()) -> None:
        nodes = [Identity(name, "runner", "pipa", 1, name) for name in runners]
        nodes += [Identity(name, "control", "pipa", 1, name) for name in (replica, *replicas)]
        self.endpoint.handlers[NodeList](self.links[replica], NodeList(nodes))

    def receive_changes(self, replica: str, added=(), removed=(), first=False) -> None:
        nodes = [Identity(name, "runner", "pipa", 1, name) for name in added]
        changes = NodeChanges(nodes, list(removed), first)
        self.endpoint.handlers[NodeChanges](self.links[replica], changes)

    def tick(self, total_ms: float) -> None:
        for _ in range(int(total_ms / 50)):
            self.roster.tick()
            self.clock.advance(50)

    def has_quorum_contact(self) -> bool:
        return self.clock() - self.roster.quorum_contact_ms() < MAX_CONTACT_AGE_MS

    def echo(self, replica: str, heartbeat_sent_ms: float | None) -> None:
        self.roster.receive_heartbeat(
            self.links[replica], Heartbeat(config_version=0), heartbeat_sent_ms
        )

    def state(
        self, replica: str, version: int, age_ms: int | None, sent_ms: float | None = None
    ) -> None:
        """Receive a heartbeat that echoes one sent at `sent_ms`, by default just now."""
        heartbeat = Heartbeat(config_version=version, config_age_ms=age_ms)
        sent_ms = self.clock() if sent_ms is None else sent_ms
        self.roster.receive_heartbeat(self.links[replica], heartbeat, sent_ms)

    def receive_change(self, replica: str, version: int) -> None:
        change = ConfigurationChange(self.roster.configuration.version, version, [])
        self.endpoint.handlers[ConfigurationChange](self.links[replica], change)


class TestListedSince(unittest.TestCase):
    # Guards against a write-off by the list of a replica that has died since: a majority of others
    # echoed heartbeats.
    def test_only_lists_of_replicas_that_echoed_late_enough_count(self):
        case = RosterCase("a", "b", "c")
        case.clock.advance(LISTS_COMPLETE_MS)
        for name in "abc":
            case.receive_list(name, replicas="abc")
            case.echo(name, case.clock())
        as_of_ms = case.clock() + 100
        self.assertTrue(case.roster.is_unlisted("r-1"))
        self.assertFalse(case.roster.is_unlisted("r-1", as_of_ms))
        case.clock.advance(100)
        for count, name in enumerate("abc", start=1):
            case.echo(name, as_of_ms)
            self.assertEqual(case.roster.is_unlisted("r-1", as_of_ms), count >= 2)


class TestListed(unittest.TestCase):
    def make_complete(self, *replicas: str) -> RosterCase:
        case = RosterCase(*replicas)
        case.clock.advance(LISTS_COMPLETE_MS)
        for name in replicas:
            case.receive_list(name, "r-1", replicas=replicas)
            case.echo(name, case.clock())
        return case

    def test_a_process_is_unlisted_once_no_linked_replica_lists_it(self):
        case = self.make_complete("a", "b", "c")
        self.assertFalse(case.roster.is_unlisted("r-1"))
        case.receive_list("a", "r-2")
        case.receive_list("b")
        self.assertFalse(case.roster.is_unlisted("r-1"))
        case.receive_list("c")
        self.assertTrue(case.roster.is_unlisted("r-1"))
        self.assertFalse(case.roster.is_unlisted("r-2"))

    def test_no_process_is_unlisted_without_lists_of_a_majority(self):
        """Found by the soak (seed 107): all replicas were killed, and no process was listed."""
        case = self.make_complete("a", "b", "c")
        case.unlink("a")
        case.unlink("b")
        case.receive_list("c")
        self.assertFalse(case.roster.is_unlisted("r-1"))
        for name in "ab":
            case.link(name)
            case.receive_list(name)
            case.echo(name, case.clock())
        self.assertFalse(case.roster.is_unlisted("r-1"))
        case.clock.advance(LISTS_COMPLETE_MS)
        for name in "ab":
            case.echo(name, case.clock())
        self.assertTrue(case.roster.is_unlisted("r-1"))

    def test_no_process_is_unlisted_without_contact_with_a_majority(self):
        case = self.make_complete("a")
        case.receive_list("a")
        self.assertTrue(case.roster.is_unlisted("r-1"))
        case.clock.advance(MAX_CONTACT_AGE_MS)
        self.assertFalse(case.roster.is_unlisted("r-1"))

    def test_changes_of_the_list_count_like_whole_lists(self):
        case = self.make_complete("a")
        case.receive_changes("a", ["r-1", "r-2"], first=True)
        case.receive_changes("a", ["r-3"], ["r-2"])
        for name, is_unlisted in (("r-1", False), ("r-2", True), ("r-3", False)):
            self.assertEqual(case.roster.is_unlisted(name), is_unlisted, name)
        case.receive_changes("a", ["r-2"], first=True)
        self.assertTrue(case.roster.is_unlisted("r-1"))

    def test_a_list_of_maximum_length_may_have_left_out_any_process(self):
        case = self.make_complete("a")
        case.receive_list("a", *(f"r-{number}" for number in range(MAX_NODES - 2)))
        self.assertTrue(case.roster.is_unlisted("x"))
        case.receive_list("a", *(f"r-{number}" for number in range(MAX_NODES - 1)))
        self.assertFalse(case.roster.is_unlisted("x"))


class TestReplacedReplicas(unittest.TestCase):
    def replace_three(self, tells: bool) -> RosterCase:
        """Replace three replicas in turn, within less than `FORGET_AFTER_MS`."""
        case = RosterCase("a", "b", "c")
        running, gone = ["a", "b", "c"], []
        for name in running:
            case.echo(name, case.clock())
        for new in ("d", "e", "f"):
            gone.append(running.pop(0))
            case.unlink(gone[-1])
            running.append(new)
            case.link(new)
            case.clock.advance(7_000)
            for name in running:
                changes = NodeChanges([], [], False, gone if tells else None)
                case.endpoint.handlers[NodeChanges](case.links[name], changes)
                case.echo(name, case.clock())
        return case

    # Guards against processes that miss a majority of replicas, most of which were replaced.
    def test_replicas_that_the_group_removed_do_not_count_towards_the_majority(self):
        self.assertTrue(self.replace_three(tells=True).has_quorum_contact())
        self.assertFalse(self.replace_three(tells=False).has_quorum_contact())

    def test_a_removed_replica_that_votes_again_counts_again(self):
        case = self.replace_three(tells=True)
        case.link("a")
        case.echo("a", case.clock())
        self.assertNotIn("a", case.roster._replica_seen_ms)
        changes = NodeChanges([], [], False, ["b", "c"])
        case.endpoint.handlers[NodeChanges](case.links["d"], changes)
        case.echo("a", case.clock())
        self.assertIn("a", case.roster._replica_seen_ms)


class TestContact(unittest.TestCase):
    def test_a_majority_of_the_replicas_must_have_echoed(self):
        case = RosterCase("a", "b")
        case.receive_list("a", replicas=("b", "c", "d"))
        self.assertFalse(case.has_quorum_contact())
        for name, at_ms in (("a", 49_990.0), ("b", 49_980.0)):
            case.echo(name, at_ms)
        self.assertEqual(case.roster.quorum_contact_ms(), 0.0)
        case.link("c")
        case.echo("c", 49_000.0)
        self.assertEqual(case.roster.quorum_contact_ms(), 49_000.0)
        self.assertTrue(case.has_quorum_contact())
        case.clock.advance(500)
        self.assertFalse(case.has_quorum_contact())

    def test_heartbeats_without_an_echo_prove_nothing(self):
        case = RosterCase("a")
        case.echo("a", None)
        self.assertFalse(case.has_quorum_contact())
        case.echo("a", 49_999.0)
        self.assertTrue(case.has_quorum_contact())

    def test_replicas_of_a_cut_off_zone_that_list_only_each_other_are_no_majority(self):
        """Found by reading the code: the list shrinks before an unconfirmed end's lease lapses."""
        case = RosterCase("a", "b")
        for name in "ab":
            case.receive_list(name, replicas="abcd")
            case.echo(name, 49_990.0)
        case.unlink("b")
        case.receive_list("a")
        case.clock.advance(10)
        case.echo("a", 50_000.0)
        self.assertEqual(case.roster.quorum_contact_ms(), 0.0)
        case.clock.advance(FORGET_AFTER_MS - 1_000)
        case.roster.forget_old()
        case.echo("a", case.clock())
        self.assertFalse(case.has_quorum_contact())
        case.clock.advance(1_001)
        case.roster.forget_old()
        case.echo("a", case.clock())
        self.assertTrue(case.has_quorum_contact())

    def test_a_replica_whose_disk_was_lost_counts_once(self):
        case = RosterCase("a#1", "b#1", "c#1")
        case.receive_list("a#1", replicas=("b#1", "c#1"))
        case.receive_list("a#1", replicas=("b#2", "c#2"))
        for name in ("a#1", "b#1"):
            case.echo(name, 49_990.0)
        self.assertTrue(case.has_quorum_contact())

    def test_replicas_without_a_durable_log_do_not_count(self):
        case = RosterCase("a#1", "b#1")
        case.receive_list("a#1", replicas=("b#1", "c#1", "d#memory-1", "e#memory-2"))
        for name in ("a#1", "b#1"):
            case.echo(name, 49_990.0)
        self.assertTrue(case.has_quorum_contact())

    def test_a_replica_that_is_listed_still_counts_however_old_the_list(self):
        """With changes in place of whole lists, a list that stays true is not sent again."""
        case = RosterCase("a")
        case.receive_list("a", replicas=("b", "c"))
        for _ in range(3):
            case.clock.advance(FORGET_AFTER_MS / 2)
            case.roster.forget_old()
        case.echo("a", case.clock())
        self.assertFalse(case.has_quorum_contact())
        self.assertIn("b", case.endpoint.dialed)


class TestAge(unittest.TestCase):
    """How old the last proof is that the own configuration is the newest."""

    def test_age_counts_from_the_echoed_heartbeat_less_the_age_that_the_replica_states(self):
        case = RosterCase("a")
        case.receive_change("a", 3)
        self.assertEqual(case.roster.freshness.age_ms(), NEVER_CONFIRMED_AGE_MS)
        case.state("a", 3, 200, sent_ms=49_900.0)
        self.assertEqual(case.roster.freshness.age_ms(), 300.0)
        case.clock.advance(1_000)
        self.assertEqual(case.roster.freshness.age_ms(), 1_300.0)

    # Guards against old news that look fresh as they were delayed on the way.
    def test_statements_without_proof_of_their_time_change_nothing(self):
        case = RosterCase("a", "b")
        case.receive_change("a", 3)
        for heartbeat, sent_ms in (
            (Heartbeat(config_version=3, config_age_ms=1), None),
            (Heartbeat(config_version=3), 50_000.0),
            (Heartbeat(config_version=3, config_age_ms=NEVER_CONFIRMED_AGE_MS), 50_000.0),
        ):
            case.roster.receive_heartbeat(case.links["a"], heartbeat, sent_ms)
            self.assertEqual(case.roster.freshness.age_ms(), NEVER_CONFIRMED_AGE_MS)
        case.state("a", 3, 100)
        case.state("b", 2, 5_000)
        case.state("a", 3, 100, sent_ms=47_000.0)
        self.assertEqual(case.roster.freshness.age_ms(), 100.0)

    # Guards against a 404 by an entry to which a replica has stated a version that it lacks.
    def test_a_version_that_is_not_applied_yet_confirms_nothing(self):
        case = RosterCase("a")
        case.receive_change("a", 3)
        case.state("a", 3, 100)
        case.clock.advance(2_000)
        case.state("a", 4, 100)
        self.assertEqual(case.roster.freshness.age_ms(), 2_100.0)
        case.receive_change("a", 4)
        self.assertEqual(case.roster.freshness.age_ms(), 100.0)

    def test_a_confirmation_is_requested_of_all_replicas_and_not_too_often(self):
        case = RosterCase("a", "b")
        for pause_ms, requested in ((0, "ab"), (CONFIRM_INTERVAL_MS - 1, ""), (1, "ab")):
            case.clock.advance(pause_ms)
            case.heartbeats.clear()
            case.roster.request_confirmation()
            self.assertEqual("".join(case.heartbeats), requested)


class TestLinksToControl(unittest.TestCase):
    """Links of every process to every replica: replicas that keep no log add cost and no safety."""

    def test_seeds_without_a_durable_log_are_left_for_those_with_one(self):
        case = RosterCase(seeds=("m#memory-1",))
        case.roster.start()
        case.link("m#memory-1")
        case.receive_list("m#memory-1", replicas=("a#1", "b#1", "n#memory-2"))
        self.assertEqual(set(case.endpoint.dialed), {"m#memory-1", "a#1", "b#1"})
        case.link("a#1")
        case.tick(2_000)
        self.assertIn("m#memory-1", case.endpoint.dialed)
        case.link("b#1")
        for name in ("a#1", "b#1"):
            case.echo(name, case.clock())
        case.tick(1_000)
        self.assertEqual(set(case.endpoint.dialed), {"a#1", "b#1"})

    def test_without_a_durable_replica_the_seeds_are_dialed_again(self):
        """All replicas may have been replaced at other addresses while this process was cut off."""
        case = RosterCase("a#1", seeds=("s",))
        case.roster.start()
        case.tick(FORGET_AFTER_MS + 6_000)
        self.assertNotIn("s", case.endpoint.dialed)
        case.unlink("a#1")
        case.tick(SEEDS_AGAIN_MS + 2_000)
        self.assertIn("s", case.endpoint.dialed)
