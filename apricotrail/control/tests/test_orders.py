"""Orders of operators that are read, or reach the leader, after their caller has moved on."""

import asyncio
import unittest
from unittest.mock import patch
from uuid import uuid4

from apricotrail.clocks import VirtualClock
from apricotrail.control._orders import (
    CALLER_PATIENCE_MS,
    MAX_ORDER_KEYS,
    MAX_TICK_GAP_MS,
    ORDER_ANSWER_MS,
    ORDER_TRY_MS,
    SETTLE_MS,
    UNSETTLED_MS,
    OrderLog,
    PauseWatch,
)
from apricotrail.control.tests.test_process import ControlCase, find_ports, put_document, wait_until
from apricotrail.wire.generated.ttypes import Command, SetZoneState

ZONE = "barranca"


class TestOrderLimits(unittest.TestCase):
    # Guards against an order that is tried again when its caller has given the contrary one.
    def test_an_order_is_last_tried_before_its_caller_moves_on(self):
        latest_ms = 2 * MAX_TICK_GAP_MS + SETTLE_MS + ORDER_TRY_MS
        self.assertLess(latest_ms, CALLER_PATIENCE_MS)
        self.assertLess(ORDER_ANSWER_MS, CALLER_PATIENCE_MS)
        self.assertGreater(UNSETTLED_MS, 2 * MAX_TICK_GAP_MS)


class TestPauseWatch(unittest.TestCase):
    def test_a_replica_is_unsettled_for_a_while_after_a_pause(self):
        clock = VirtualClock()
        watch = PauseWatch(clock)
        for step_ms, settled in (
            (MAX_TICK_GAP_MS, True),
            (MAX_TICK_GAP_MS + 1, False),
            *[(UNSETTLED_MS / 5, False)] * 4,
            (UNSETTLED_MS / 5, True),
        ):
            clock.advance(step_ms)
            self.assertEqual(watch.is_settled(), settled)


class TestOrderLog(unittest.TestCase):
    def test_orders_are_stale_once_a_later_one_on_the_same_thing_is_logged(self):
        log = OrderLog()
        log.add("zone/a", 10, 1, 5)
        cases = (("zone/a", 9, 1, True), ("zone/a", 10, 1, False), ("zone/b", 9, 1, False))
        for key, based_on, term, stale in cases:
            self.assertEqual(log.is_stale(key, based_on, term, 5), stale, (key, based_on))
        # Another leader may have logged any order before this one's first entry.
        self.assertTrue(log.is_stale("zone/b", 11, 2, 12))
        self.assertFalse(log.is_stale("zone/b", 12, 2, 12))

    def test_keys_are_bounded_and_forgotten_ones_count_as_ordered_last(self):
        log = OrderLog()
        for index in range(MAX_ORDER_KEYS + 1):
            log.add(f"zone/{index}", index, 1, 0)
        self.assertTrue(log.is_stale("zone/0", MAX_ORDER_KEYS - 1, 1, 0))
        self.assertFalse(log.is_stale("zone/0", MAX_ORDER_KEYS, 1, 0))


# All replicas of these tests run in one process, which may pause for longer on a busy machine.
RAISED_GAP_MS = 60_000.0


class TestLateOrders(ControlCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.enterContext(patch("apricotrail.control._orders.MAX_TICK_GAP_MS", RAISED_GAP_MS))

    async def start_group(self) -> None:
        ports = find_ports(3)
        peers = [f"{name}=127.0.0.1:{port}" for name, port in zip("abc", ports, strict=True)]
        self.controls = [
            await self.start_control(name, port, peers)
            for name, port in zip("abc", ports, strict=True)
        ]
        await wait_until(lambda: any(it.service.node.replica.is_leader for it in self.controls))
        entry = await self.start_entry(*(control.address for control in self.controls))
        await entry.call(put_document("one"))
        self.leader = next(it for it in self.controls if it.service.node.replica.is_leader)
        self.follower, self.other = (it for it in self.controls if it is not self.leader)
        await wait_until(lambda: self.follower.service.leader_link is not None)

    async def order(self, control, in_service: bool) -> None:
        """Send an order until it is carried out, as operators do."""
        async with asyncio.timeout(30):
            while not (await control.operations.set_zone(ZONE, in_service)).unwrap().accepted:
                await asyncio.sleep(0.05)

    def is_out(self) -> bool:
        item = self.leader.service.node.machine.read_item(f"zone-state/{ZONE}")
        return item == {"in_service": False}

    # Guards against a withdrawal that waits on the way to the leader and undoes a later evacuation.
    async def test_an_order_that_reaches_the_leader_late_is_not_carried_out(self):
        await self.check_late_order(was_withdrawn=True)

    # Guards against a zone that stays dark: an evacuation comes late after its withdrawal.
    async def test_an_evacuation_that_comes_after_its_withdrawal_is_not_carried_out(self):
        await self.start_group()
        link, gate = self.follower.service.leader_link, asyncio.Event()
        call = link.call

        async def call_late(message, timeout_ms):
            await gate.wait()
            return await call(message, timeout_ms)

        link.call = call_late
        late = asyncio.ensure_future(self.follower.operations.set_zone(ZONE, False))
        await asyncio.sleep((ORDER_TRY_MS + 2 * SETTLE_MS) / 1000)
        await self.order(self.other, False)
        await self.order(self.other, True)
        gate.set()
        self.assertFalse((await late).unwrap().accepted)
        self.assertFalse(self.is_out())

    async def test_nor_if_the_later_order_changed_nothing(self):
        await self.check_late_order(was_withdrawn=False)

    async def check_late_order(self, was_withdrawn: bool) -> None:
        await self.start_group()
        await self.order(self.other, False)
        link, gate = self.follower.service.leader_link, asyncio.Event()
        call = link.call

        async def call_late(message, timeout_ms):
            await gate.wait()
            return await call(message, timeout_ms)

        link.call = call_late
        late = asyncio.ensure_future(self.follower.operations.set_zone(ZONE, True))
        await asyncio.sleep((ORDER_TRY_MS + 2 * SETTLE_MS) / 1000)
        if was_withdrawn:
            await self.order(self.other, True)
        await self.order(self.other, False)
        gate.set()
        reply = (await late).unwrap()
        self.assertFalse(reply.accepted, reply.answer)
        self.assertIn(b"stale_configuration", reply.answer)
        self.assertTrue(self.is_out())

    # Guards against an order that is carried out for a caller that has left.
    async def test_an_order_whose_caller_has_left_is_not_carried_out(self):
        await self.start_group()
        await self.order(self.leader, False)
        left = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(SETTLE_MS / 4_000, left.set_result, None)
        reply = (await self.follower.operations.set_zone(ZONE, True, left)).unwrap()
        self.assertFalse(reply.accepted, reply.answer)
        self.assertTrue(self.is_out())

    # Guards against an order that came before the pause of a replica and is read after it.
    async def test_an_order_that_is_read_after_a_pause_is_refused(self):
        await self.start_group()
        await self.order(self.leader, False)
        for control in self.controls:
            control.service.pauses._active_ms -= RAISED_GAP_MS + 1
            refused = await control.operations.set_zone(ZONE, True)
            self.assertTrue(refused.failure().remedy)
        self.assertTrue(self.is_out())

    # Guards against a new leader that takes an order of before its term for a new one.
    async def test_an_order_of_before_the_leaders_term_is_refused(self):
        await self.start_group()
        index = self.follower.service.node.applied_index
        await self.order(self.leader, False)
        former = self.leader.service
        former.node.begin_transfer()
        former.flush()
        await wait_until(
            lambda: any(it.service.node.replica.is_leader for it in (self.follower, self.other))
        )
        self.leader = next(it for it in self.controls if it.service.node.replica.is_leader)
        command = Command(uuid4().hex, "ana", 0, set_zone_state=SetZoneState(ZONE, True))
        refused = await self.leader.service.propose(command, index)
        self.assertEqual(refused.failure().kind, "stale_configuration")
        self.assertTrue(self.is_out())
