"""Announcements of targets, and which entry hosts their agents."""

import asyncio
import unittest

from nose2.tools import params
from returns.result import Failure

from apricotrail.clocks import VirtualClock
from apricotrail.document import Host
from apricotrail.entry._announcements import AnnouncementTable, check_announcement
from apricotrail.entry._hosting import Hosting, HostingParts, choose_host
from apricotrail.membership import View, ViewMember
from apricotrail.wire.generated.ttypes import Announcement

OWN = ("entry-1", 5)
MEMBERS = (
    ViewMember("entry-1", 5, "pipa", ""),
    ViewMember("entry-2", 6, "natal", ""),
    ViewMember("entry-3", 7, "natal", ""),
)


def announce(**changes) -> Announcement:
    fields = {"target": "r1", "address": "127.0.0.1:80", "slots": 8, "connections": 64}
    fields |= {"incarnation": 1, "lease_ms": 5_000, "leaving": False, "has_agent": False}
    return Announcement(**(fields | changes))


@params(
    {"address": "nowhere"},
    {"slots": 0},
    {"slots": 9, "connections": 8},
    {"lease_ms": 1},
    {"lease_ms": 10_000_000},
    {"incarnation": 2**62},
    {"incarnation": -1},
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:\u0668"},
)
def test_malformed_announcement_is_refused_with_a_remedy(changes):
    checked = check_announcement(announce(**changes))
    assert isinstance(checked, Failure) and checked.failure().remedy


def test_announcements_expire_with_their_lease_and_are_bounded():
    clock = VirtualClock()
    table = AnnouncementTable(clock, 1)
    assert table.put("r1", announce())
    assert not table.put("r2", announce())
    assert not table.put("r1", announce(incarnation=0)), "an older incarnation is refused"
    clock.advance(5_000)
    assert table.live() == {}
    assert table.put("r2", announce())


def test_targets_own_announcement_is_ignored_while_its_agent_announces_it():
    clock = VirtualClock()
    table = AnnouncementTable(clock, 10)
    table.put("r1", announce(has_agent=True, incarnation=9))
    assert table.put("r1", announce()), "ignored, not refused"
    assert table.live()["r1"].has_agent
    clock.advance(5_000)
    table.put("r1", announce())
    assert not table.live()["r1"].has_agent


def test_every_entry_chooses_the_same_host_in_the_targets_zone():
    assert choose_host("r1", "pipa", MEMBERS).name == "entry-1"
    chosen = {choose_host(f"r{number}", "natal", MEMBERS).name for number in range(50)}
    assert chosen == {"entry-2", "entry-3"}
    assert choose_host("r1", "natal", MEMBERS) == choose_host("r1", "natal", MEMBERS[::-1])
    assert choose_host("r1", "natal", ()) is None


class FakeAgent:
    def __init__(self, log: list, wait_ms: float) -> None:
        self.log = log
        self.wait_ms = wait_ms

    async def start(self) -> None:
        self.log.append(("start", self.wait_ms))

    async def stop(self) -> None:
        self.log.append(("stop",))


class FakeConfiguration:
    def __init__(self, host: Host | None) -> None:
        self.targets = {"r1": type("Target", (), {"zone": "pipa"})}
        self.hosts = {"r1": host} if host is not None else {}


class HostingFixture:
    def __init__(self, host: Host | None) -> None:
        self.log: list = []
        self.configuration = FakeConfiguration(host)
        self.table = AnnouncementTable(VirtualClock(), 10)
        self.table.put("r1", announce())
        self.hosting = Hosting(
            HostingParts(
                lambda: OWN,
                lambda: self.configuration,
                lambda: View(1, MEMBERS),
                self.table,
                self.propose,
                lambda target, announcement, wait_ms: FakeAgent(self.log, wait_ms),
                VirtualClock(10_000.0),
                3_000,
                10_000,
            )
        )

    async def propose(self, request_id, assignment) -> bool:
        self.log.append(("propose", assignment.entry, assignment.epoch, assignment.released_by))
        return True


class TestHosting(unittest.IsolatedAsyncioTestCase):
    async def test_action_for_each_host_assignment(self):
        cases = (
            ("none", None, [("propose", "entry-1", 1, None)]),
            ("own, first host", Host("entry-1", 5, 1), [("start", 0.0)]),
            ("own, after a lost host", Host("entry-1", 5, 2), [("start", 3_000)]),
            ("own, after a release", Host("entry-1", 5, 2, True), [("start", 0.0)]),
            ("another member", Host("entry-2", 6, 1), []),
            ("a lost incarnation", Host("entry-2", 4, 1), [("propose", "entry-1", 2, None)]),
            ("own former incarnation", Host("entry-1", 4, 1), [("propose", "entry-1", 2, None)]),
        )
        for name, host, expected in cases:
            with self.subTest(name):
                fixture = HostingFixture(host)
                await fixture.hosting.update()
                self.assertEqual(fixture.log, expected)

    async def test_hosted_agent_stops_when_one_runs_beside_the_target(self):
        fixture = HostingFixture(Host("entry-1", 5, 1))
        await fixture.hosting.update()
        fixture.table.put("r1", announce(has_agent=True, incarnation=9))
        await fixture.hosting.update()
        await asyncio.sleep(0)
        self.assertEqual(fixture.log, [("start", 0.0), ("stop",)])

    async def test_planned_stop_hands_over_once_the_agent_has_stopped(self):
        fixture = HostingFixture(Host("entry-1", 5, 1))
        await fixture.hosting.update()
        await fixture.hosting.stop()
        self.assertEqual(fixture.log[1], ("stop",))
        self.assertEqual((fixture.log[2][0], fixture.log[2][2:]), ("propose", (2, "entry-1")))
