"""Control replicas as processes run them: over loopback links and with real files."""

import asyncio
import json
import socket
import tempfile
import unittest
from hashlib import sha256
from pathlib import Path

from apricotrail.clocks import monotonic_ms
from apricotrail.control import Control
from apricotrail.control.tests.disk import FillableDisk
from apricotrail.membership import Roster, RosterParts
from apricotrail.settings import Settings
from apricotrail.wire import KeyRing, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    Append,
    Command,
    ConfigurationChange,
    ConfigurationRequest,
    Heartbeat,
    Identity,
    Propose,
    PutDocument,
    SetZoneState,
    StatusRequest,
)

DOCUMENT = (Path(__file__).parents[3] / "examples" / "areneros.toml").read_bytes()
FAST = {
    "control.environment": "trial",
    "control.round_ms": 30,
    "control.election_ms": 200,
    "control.entry_silent_ms": 400,
    "link.heartbeat_ms": 20,
    "link.silent_ms": 500,
    "link.redial_ms": 10,
    "membership.config_stale_ms": 1_000,
}


async def wait_until(condition, timeout_s: float = 20.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


class FakeEntry:
    """Links of an entry whose heartbeats confirm the newest version that it received."""

    def __init__(self, name: str, incarnation: int = 1) -> None:
        identity = Identity(name, "entry", "barranca", incarnation, f"{name}:1")
        self.endpoint = LinkEndpoint(identity, "trial", KeyRing(None), Settings(FAST))
        self.version, self.ready_epoch, self.config_ages_ms = 0, 0, {}
        self.uptimes_ms = []
        self.confirms = True
        self.endpoint.make_heartbeat = lambda link: Heartbeat(
            config_version=self.version,
            config_age_ms=0,
            ready_epoch=self.ready_epoch,
            confirmed_version=self.version if self.confirms else 0,
        )
        self.endpoint.receive_heartbeat = self._record_age
        self.endpoint.on(ConfigurationChange, self._record_version)

    def _record_age(self, link, heartbeat, heartbeat_sent_ms):
        self.config_ages_ms[link.peer.name] = heartbeat.config_age_ms
        self.uptimes_ms.append(heartbeat.uptime_ms)

    def _record_version(self, link, change):
        self.version = max(self.version, change.version)

    async def call(self, message, peer: str = ""):
        links = [it for name, it in self.endpoint.links.items() if name.startswith(peer)]
        return (await links[0].call(message, 10_000)).unwrap()

    async def ask(self, what: str, number: int = 0, peer: str = ""):
        return json.loads((await self.call(StatusRequest(what, number), peer)).body)

    async def fetch_view(self):
        change = await self.call(ConfigurationRequest(0))
        items = {item.key: item.value for item in change.items}
        view = json.loads(items.get("view", b'{"epoch": 0, "members": []}'))
        self.ready_epoch = view["epoch"]
        return [member["name"] for member in view["members"]]


def put_document(request_id: str, text: bytes = DOCUMENT) -> Propose:
    put = PutDocument(text, sha256(text).digest(), True)
    return Propose(Command(request_id, "ana", 0, put_document=put))


def take_zone_out(request_id: str, zone: str = "barranca", **more) -> Propose:
    return Propose(Command(request_id, "ana", 0, set_zone_state=SetZoneState(zone, False), **more))


class ControlCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.running = []

    async def asyncTearDown(self):
        for stop in reversed(self.running):
            await stop()

    async def start_control(self, name: str, port: int = 0, peers=(), disk=None) -> Control:
        control = Control(
            Settings(
                {
                    **FAST,
                    "control.name": name,
                    "control.listen": f"127.0.0.1:{port}",
                    "control.data_folder": str(self.folder / name),
                    "control.peers": list(peers),
                }
            ),
            (disk or FillableDisk()).wrap,
        )
        await control.application.start()
        self.running.append(control.application.stop)
        return control

    async def start_entry(self, *addresses: str, name="entry-1", incarnation=1) -> FakeEntry:
        entry = FakeEntry(name, incarnation)
        entry.endpoint.start()
        for address in addresses:
            entry.endpoint.dial(address)
        self.running.append(entry.endpoint.stop)
        await wait_until(lambda: len(entry.endpoint.links) == len(addresses))
        return entry


class TestSingleReplica(ControlCase):
    async def test_restart_keeps_changes_and_first_answers(self):
        control = await self.start_control("a")
        entry = await self.start_entry(control.address)
        first = await entry.call(put_document("one"))
        self.assertTrue(first.accepted, first.answer)
        refused = await entry.call(put_document("two", b"nonsense = 1"))
        self.assertIn("remedy", json.loads(refused.answer))
        out = await entry.call(take_zone_out("three"))
        await wait_until(lambda: entry.version == out.version)
        await entry.endpoint.stop()
        await self.running.pop(0)()
        restarted = await self.start_control("a")
        entry = await self.start_entry(restarted.address)
        resent = await entry.call(put_document("one"))
        self.assertEqual((resent.version, resent.answer), (first.version, first.answer))
        status = await entry.ask("status")
        self.assertEqual((status["zones_out"], status["document"]["number"]), (["barranca"], 1))
        text = await entry.call(StatusRequest("document", 1))
        self.assertEqual(text.body, DOCUMENT)

    async def test_view_follows_entries_and_heartbeats_state_the_age(self):
        control = await self.start_control("a")
        entry = await self.start_entry(control.address)
        while await entry.fetch_view() != ["entry-1"]:
            await asyncio.sleep(0.02)
        other = await self.start_entry(control.address, name="entry-2")
        while await entry.fetch_view() != ["entry-1", "entry-2"]:
            await asyncio.sleep(0.02)
        await wait_until(lambda: max(entry.config_ages_ms.values()) < 1_000)
        self.assertEqual(entry.uptimes_ms, sorted(entry.uptimes_ms))
        self.assertGreater(entry.uptimes_ms[-1], entry.uptimes_ms[0])
        await other.endpoint.stop()
        while await entry.fetch_view() != ["entry-1"]:
            await asyncio.sleep(0.02)

    async def test_forced_reports_how_a_version_came_in_force(self):
        control = await self.start_control("a")
        entry = await self.start_entry(control.address)
        version = (await entry.call(put_document("one"))).version
        self.assertEqual((await entry.ask("forced", version))["how"], "confirmed")
        entry.confirms = False
        version = (await entry.call(take_zone_out("two"))).version
        answer = await entry.ask("forced", version)
        self.assertEqual((answer["how"], answer["behind"]), ("stale_limit", ["entry-1"]))

    async def test_failed_disk_stops_the_replica_and_the_outcome_is_unknown(self):
        control = await self.start_control("a")
        entry = await self.start_entry(control.address)

        def fail(name):
            raise OSError("no space left")

        storage = control.service.node.storage
        storage._files = storage._files._replace(sync=fail)
        link = next(iter(entry.endpoint.links.values()))
        answer = await link.call(take_zone_out("one"), 10_000)
        self.assertEqual(answer.failure().kind, "unknown_outcome")
        await wait_until(lambda: not entry.endpoint.links)
        self.assertTrue(control.service.failed.is_set())


class TestThreeReplicas(ControlCase):
    async def test_group_goes_on_and_takes_back_a_leader_that_lost_its_disk(self):
        ports = find_ports(3)
        peers = [f"{name}=127.0.0.1:{port}" for name, port in zip("abc", ports, strict=True)]
        controls = {
            name: await self.start_control(name, port, peers)
            for name, port in zip("abc", ports, strict=True)
        }
        entry = await self.start_entry(*(control.address for control in controls.values()))
        accepted = await entry.call(put_document("one"), "c#")
        self.assertTrue(accepted.accepted, accepted.answer)
        leader = next(n for n, it in controls.items() if it.service.node.replica.is_leader)
        index = list(controls).index(leader)
        await self.running.pop(index)()
        other = next(name for name in "abc" if name != leader)
        reply = await entry.call(take_zone_out("two"), f"{other}#")
        self.assertTrue(reply.accepted, reply.answer)
        (self.folder / leader).rename(self.folder / "lost")
        returned = await self.start_control(leader, ports[index], peers)
        node = returned.service.node
        await wait_until(lambda: node.replica.is_voter and len(node.replica.log.members) == 3)
        self.assertEqual(node.machine.read_item("zone-state/barranca"), {"in_service": False})
        self.assertEqual(node.machine.texts[1], DOCUMENT)


class TestLostLeader(ControlCase):
    async def start_three(self) -> list[Control]:
        ports = find_ports(3)
        peers = [f"{name}=127.0.0.1:{port}" for name, port in zip("abc", ports, strict=True)]
        return [
            await self.start_control(name, port, peers)
            for name, port in zip("abc", ports, strict=True)
        ]

    async def start_roster(self, *addresses: str) -> Roster:
        """Start a dispatcher's roster that follows one of the replicas."""
        identity = Identity("front-1", "dispatcher", "barranca", 1, "front-1:1")
        endpoint = LinkEndpoint(identity, "trial", KeyRing(None), Settings(FAST))
        parts = RosterParts(
            endpoint, addresses, "barranca", ("queue/",), monotonic_ms, lambda: None
        )
        roster = Roster(parts)
        endpoint.receive_heartbeat = roster.receive_heartbeat
        endpoint.start()
        roster.start()
        self.running.append(endpoint.stop)
        return roster

    # Guards against an acknowledged change that stays unknown since its leader was lost before it
    # told the others the commit index, and against a replica that calls an older one the newest.
    async def test_a_change_whose_leader_is_killed_at_once_is_read_and_pushed(self):
        controls = await self.start_three()
        first = await controls[0].operations.put_queues(1, {"queue/x": {"of": 1}}, b"text")
        self.assertTrue(first.accepted, first.answer)
        leader = next(it for it in controls if it.service.node.replica.is_leader)
        others = [it for it in controls if it is not leader]
        roster = await self.start_roster(*(it.address for it in controls))
        await wait_until(lambda: roster.configuration.version >= first.version)
        machines = [it.service.node.machine for it in others]
        await wait_until(lambda: all(it.version == first.version for it in machines))
        keep_commits(leader)
        second = await leader.operations.put_queues(2, {"queue/x": {"of": 2}}, b"text")
        acknowledged_ms = monotonic_ms()
        self.assertTrue(second.accepted, second.answer)
        await kill(leader)
        self.assertEqual([it.version for it in machines], [first.version] * 2)
        self.assertEqual(roster.configuration.version, first.version)
        confirmed_ms = record_confirmations(others, second.version)
        await wait_until(lambda: all(it.version >= second.version for it in machines))
        await wait_until(lambda: roster.configuration.version >= second.version)
        for other in others:
            self.assertEqual((await other.operations.read_queues()).unwrap().version, 2)
        self.assertTrue(confirmed_ms)
        self.assertLess(max(confirmed_ms), acknowledged_ms)


class TestReplicasWithoutDisks(ControlCase):
    async def start_seeded(self, port: int, seeds: list[str], folder: str) -> Control:
        address = f"127.0.0.1:{port}"
        values = {
            **FAST,
            "control.name": address,
            "control.listen": address,
            "control.seeds": seeds,
            "control.data_folder": folder and str(self.folder / folder),
        }
        control = Control(Settings(values))
        await control.application.start()
        self.running.append(control.application.stop)
        return control

    async def test_replicas_without_disks_serve_calls_and_never_vote(self):
        ports = find_ports(4)
        seeds = [f"127.0.0.1:{port}" for port in ports[:3]]
        # The first seed has no disk: the second one founds the group.
        folders = ("", "b", "c", "d")
        controls = [
            await self.start_seeded(port, seeds, folder)
            for port, folder in zip(ports, folders, strict=True)
        ]
        diskless, *others = [control.service.node for control in controls]
        await wait_until(lambda: sum(it.voter for it in diskless.replica.log.members.values()) == 3)
        await wait_until(lambda: diskless.replica.leader)
        self.assertTrue(all(node.replica.is_voter for node in others))
        self.assertFalse(diskless.replica.is_voter)
        operations = controls[0].operations
        for version in range(1, 4):
            reply = await operations.put_queues(version, {"queue/x": {"of": version}}, b"text")
            self.assertTrue(reply.accepted, reply.answer)
        self.assertEqual((await operations.read_queues()).unwrap().version, 3)
        await self.running.pop(0)()
        restarted = await self.start_seeded(ports[0], seeds, "")
        node = restarted.service.node
        self.assertNotEqual(node.replica_id, diskless.replica_id)
        await wait_until(lambda: node.replica_id in node.replica.log.members)
        await wait_until(lambda: diskless.replica_id not in node.replica.log.members)
        self.assertEqual((await restarted.operations.read_queues()).unwrap().version, 3)
        self.assertFalse(node.replica.is_voter)


def keep_commits(leader: Control) -> None:
    """Let no other replica or process learn of what this one commits from now on."""
    service = leader.service
    known_index, send = service.node.replica.commit_index, service.send

    def send_if_known(replica_id: str, message) -> None:
        if not isinstance(message, Append) or message.commit_index <= known_index:
            send(replica_id, message)

    service.send = send_if_known
    service.on_change = lambda: None


async def kill(control: Control) -> None:
    """End the links and timers of a replica, with no transfer of leadership."""
    control.service.failed.set()
    control._reopening.cancel()
    await control.service.endpoint.stop()


def record_confirmations(controls: list[Control], version: int) -> list[float]:
    """Return a list that gets the time as of which a version before `version` was confirmed.

    What a heartbeat would state is recorded after each message, before the flush that follows it.
    """
    confirmed_ms: list[float] = []

    def watch(service, schedule_flush) -> None:
        def record_and_schedule() -> None:
            heartbeat = service._make_heartbeat(None)
            if heartbeat.config_version < version:
                confirmed_ms.append(monotonic_ms() - heartbeat.config_age_ms)
            schedule_flush()

        service.schedule_flush = record_and_schedule

    for control in controls:
        watch(control.service, control.service.schedule_flush)
    return confirmed_ms


def find_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for held in sockets:
        held.bind(("127.0.0.1", 0))
    ports = [held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return ports
