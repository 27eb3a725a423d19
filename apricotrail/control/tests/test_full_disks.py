"""Control processes whose disks fill up and have room again, with real links and files."""

import asyncio
from itertools import count
from random import Random

from returns.result import Success

from apricotrail.clocks import monotonic_ms
from apricotrail.control._reopening import keep_trying
from apricotrail.control.tests.disk import FillableDisk
from apricotrail.control.tests.test_process import (
    ControlCase,
    find_ports,
    put_document,
    wait_until,
)
from apricotrail.wire.generated.ttypes import Command, Propose, SetZoneState

FULL_S = 0.6
ACK_S = 4.0
CALL_MS = 1_000


class TestFullDisks(ControlCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.random = Random(1)
        self.numbers = count(1)
        self.acknowledged: dict[str, tuple[int, bytes]] = {}

    async def start_group(self, size: int):
        names = "abcde"[:size]
        self.ports = ports = find_ports(size)
        peers = [f"{name}=127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)]
        self.peers = peers
        self.disks = {name: FillableDisk() for name in names}
        self.controls = {
            name: await self.start_control(name, port, peers, self.disks[name])
            for name, port in zip(names, ports, strict=True)
        }
        self.entry = await self.start_entry(*(it.address for it in self.controls.values()))

    async def submit(self, propose: Propose, peer: str = "") -> None:
        """Send a change to one replica after another until it is acknowledged, as operators do.

        With `peer`, it is sent to the replica of that name only.
        """
        while True:
            links = [it for key, it in self.entry.endpoint.links.items() if key.startswith(peer)]
            if links:
                reply = await self.random.choice(links).call(propose, CALL_MS)
                if isinstance(reply, Success) and reply.unwrap().accepted:
                    answer = (reply.unwrap().version, reply.unwrap().answer)
                    first = self.acknowledged.setdefault(propose.command.request_id, answer)
                    self.assertEqual(answer, first)
                    return
            await asyncio.sleep(0.02)

    async def submit_until(self, end_ms: float) -> None:
        while monotonic_ms() < end_ms:
            await self.submit(self.make_change())

    def make_change(self) -> Propose:
        number = next(self.numbers)
        change = SetZoneState("barranca", bool(number % 2))
        return Propose(Command(f"change {number}", "ana", 0, set_zone_state=change))

    async def check_disks_full_in_turn(self, size: int) -> None:
        await self.start_group(size)
        await self.submit(put_document("one"))
        for disk in self.disks.values():
            disk.full = True
            try:
                await asyncio.wait_for(
                    self.submit_until(monotonic_ms() + FULL_S * 1000), FULL_S + ACK_S
                )
            finally:
                disk.full = False
        for name in self.controls:
            await asyncio.wait_for(self.submit(self.make_change(), f"{name}#"), ACK_S)
        await self.check_nothing_is_lost()

    async def check_nothing_is_lost(self) -> None:
        versions = [version for version, _ in self.acknowledged.values()]
        self.assertEqual(versions, sorted(versions))
        nodes = [control.service.node for control in self.controls.values()]
        await wait_until(lambda: min(it.machine.version for it in nodes) >= versions[-1])
        for request_id, first in self.acknowledged.items():
            for node in nodes:
                outcome = node.machine.requests.find(request_id)[1]
                self.assertEqual((outcome.version, outcome.answer), first)

    # Guards against replicas that stop for good, one after another, though the disk of each was
    # full only for a moment.
    async def test_changes_are_accepted_after_each_disk_of_three_was_full_in_turn(self):
        await self.check_disks_full_in_turn(3)

    async def test_changes_are_accepted_after_each_disk_of_five_was_full_in_turn(self):
        await self.check_disks_full_in_turn(5)

    # Guards against a process that ends again and again while the disk is full at its start.
    async def test_replica_starts_on_a_full_disk_and_joins_once_it_has_room(self):
        disk = FillableDisk()
        disk.full = True
        (port,) = find_ports(1)
        control = await self.start_control("a", port, disk=disk)
        self.assertIsNone(control.operations)
        disk.full = False
        await wait_until(lambda: control.operations is not None)
        self.entry = await self.start_entry(control.address)
        await asyncio.wait_for(self.submit(put_document("one")), ACK_S)

    # Guards against a group that is never formed, as the disk of its founder was full then.
    async def test_group_forms_after_the_disk_of_its_founder_was_full(self):
        self.ports = find_ports(3)
        self.peers = [
            f"{name}=127.0.0.1:{port}" for name, port in zip("abc", self.ports, strict=True)
        ]
        disk = FillableDisk()
        founder = await self.start_control("a", self.ports[0], self.peers, disk)
        disk.full = True
        for name, port in zip("bc", self.ports[1:], strict=True):
            await self.start_control(name, port, self.peers)
        await wait_until(founder.service.failed.is_set)
        disk.full = False
        self.entry = await self.start_entry(f"127.0.0.1:{self.ports[1]}")
        await asyncio.wait_for(self.submit(put_document("one")), 2 * ACK_S)

    async def test_process_stops_while_its_disk_is_full(self):
        await self.start_group(3)
        await self.submit(put_document("one"))
        self.disks["b"].full = True
        await self.submit(self.make_change())
        await wait_until(self.controls["b"].service.failed.is_set)
        await self.running.pop(1)()
        self.disks["b"].full = False
        self.controls["b"] = await self.start_control("b", self.ports[1], self.peers)
        await asyncio.wait_for(self.submit(self.make_change(), "b#"), ACK_S)
        await self.check_nothing_is_lost()

    # Guards against an unexpected error that ends the attempts, so that the replica stays stopped.
    async def test_an_unexpected_error_does_not_end_the_attempts_to_open_the_folder(self):
        errors = [ValueError("unexpected"), OSError("no space left")]

        async def reopen() -> None:
            if errors:
                raise errors.pop(0)

        await keep_trying(reopen)
        self.assertEqual(errors, [])
