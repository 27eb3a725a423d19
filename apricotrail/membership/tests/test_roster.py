"""What a process knows of others through control: who is listed, and whether it is in touch."""

import unittest
from typing import NamedTuple

from apricotrail.clocks import VirtualClock
from apricotrail.membership import Roster, RosterParts
from apricotrail.membership._roster import FORGET_MS, IN_TOUCH_MS, MAX_NODES, SETTLED_MS
from apricotrail.wire.generated.ttypes import Heartbeat, Identity, NodeList


class FakeLink(NamedTuple):
    peer: Identity

    def send(self, message, *more):
        pass

    def beat(self):
        pass


class FakeEndpoint:
    """Keeps what a roster registers."""

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
        self.dialed.remove(address)

    def dial(self, address):
        self.dialed.append(address)


class RosterCase:
    """A roster that is linked to control replicas."""

    def __init__(self, *replicas: str) -> None:
        self.clock = VirtualClock(50_000.0)
        self.endpoint = FakeEndpoint()
        self.roster = Roster(
            RosterParts(self.endpoint, (), "pipa", ("x/",), self.clock, lambda: None)
        )
        self.links = {}
        for name in replicas:
            self.link(name)

    def link(self, name: str) -> None:
        link = FakeLink(Identity(name, "control", "pipa", 1, name))
        self.links[name] = self.endpoint.links[name] = link
        self.endpoint.up(link)

    def lose(self, name: str) -> None:
        self.endpoint.links.pop(name)
        self.endpoint.down(self.links[name])

    def tell(self, replica: str, *runners: str, replicas=()) -> None:
        nodes = [Identity(name, "runner", "pipa", 1, name) for name in runners]
        nodes += [Identity(name, "control", "pipa", 1, name) for name in (replica, *replicas)]
        self.endpoint.handlers[NodeList](self.links[replica], NodeList(nodes))

    def is_in_touch(self) -> bool:
        return self.clock() - self.roster.in_touch_ms() < IN_TOUCH_MS

    def echo(self, replica: str, asked_ms: float | None) -> None:
        self.roster.receive_heartbeat(self.links[replica], Heartbeat(config_version=0), asked_ms)


class TestListed(unittest.TestCase):
    def make_settled(self, *replicas: str) -> RosterCase:
        case = RosterCase(*replicas)
        case.clock.advance(SETTLED_MS)
        for name in replicas:
            case.tell(name, "r-1", replicas=replicas)
            case.echo(name, case.clock())
        return case

    def test_a_process_is_unlisted_once_no_linked_replica_lists_it(self):
        case = self.make_settled("a", "b", "c")
        self.assertFalse(case.roster.is_unlisted("r-1"))
        case.tell("a", "r-2")
        case.tell("b")
        self.assertFalse(case.roster.is_unlisted("r-1"))
        case.tell("c")
        self.assertTrue(case.roster.is_unlisted("r-1"))
        self.assertFalse(case.roster.is_unlisted("r-2"))

    def test_nothing_is_known_without_lists_of_a_majority(self):
        """Found by the soak (seed 107): all replicas were killed, and nobody was listed."""
        case = self.make_settled("a", "b", "c")
        case.lose("a")
        case.lose("b")
        case.tell("c")
        self.assertFalse(case.roster.is_unlisted("r-1"))
        for name in "ab":
            case.link(name)
            case.tell(name)
            case.echo(name, case.clock())
        self.assertFalse(case.roster.is_unlisted("r-1"))
        case.clock.advance(SETTLED_MS)
        for name in "ab":
            case.echo(name, case.clock())
        self.assertTrue(case.roster.is_unlisted("r-1"))

    def test_nothing_is_known_out_of_touch(self):
        case = self.make_settled("a")
        case.tell("a")
        self.assertTrue(case.roster.is_unlisted("r-1"))
        case.clock.advance(IN_TOUCH_MS)
        self.assertFalse(case.roster.is_unlisted("r-1"))

    def test_a_list_that_was_cut_may_have_left_out_anyone(self):
        case = self.make_settled("a")
        case.tell("a", *(f"r-{number}" for number in range(MAX_NODES - 2)))
        self.assertTrue(case.roster.is_unlisted("x"))
        case.tell("a", *(f"r-{number}" for number in range(MAX_NODES - 1)))
        self.assertFalse(case.roster.is_unlisted("x"))


class TestTouch(unittest.TestCase):
    def test_a_majority_of_the_replicas_must_have_echoed(self):
        case = RosterCase("a", "b")
        case.tell("a", replicas=("b", "c", "d"))
        self.assertFalse(case.is_in_touch())
        for name, at_ms in (("a", 49_990.0), ("b", 49_980.0)):
            case.echo(name, at_ms)
        self.assertEqual(case.roster.in_touch_ms(), 0.0)
        case.link("c")
        case.echo("c", 49_000.0)
        self.assertEqual(case.roster.in_touch_ms(), 49_000.0)
        self.assertTrue(case.is_in_touch())
        case.clock.advance(500)
        self.assertFalse(case.is_in_touch())

    def test_heartbeats_without_an_echo_prove_nothing(self):
        case = RosterCase("a")
        case.echo("a", None)
        self.assertFalse(case.is_in_touch())
        case.echo("a", 49_999.0)
        self.assertTrue(case.is_in_touch())

    def test_a_zone_that_is_cut_off_is_not_in_touch_when_its_replicas_list_only_each_other(self):
        """Found by reading: the list shrinks before the lease of an unconfirmed end is over."""
        case = RosterCase("a", "b")
        for name in "ab":
            case.tell(name, replicas="abcd")
            case.echo(name, 49_990.0)
        case.lose("b")
        case.tell("a")
        case.clock.advance(10)
        case.echo("a", 50_000.0)
        self.assertEqual(case.roster.in_touch_ms(), 0.0)
        case.clock.advance(FORGET_MS - 1_000)
        case.roster.forget_old()
        case.echo("a", case.clock())
        self.assertFalse(case.is_in_touch())
        case.clock.advance(1_001)
        case.roster.forget_old()
        case.echo("a", case.clock())
        self.assertTrue(case.is_in_touch())

    def test_a_replica_whose_disk_was_lost_counts_once(self):
        case = RosterCase("a#1", "b#1", "c#1")
        case.tell("a#1", replicas=("b#1", "c#1"))
        case.tell("a#1", replicas=("b#2", "c#2"))
        for name in ("a#1", "b#1"):
            case.echo(name, 49_990.0)
        self.assertTrue(case.is_in_touch())
