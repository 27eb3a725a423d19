"""Connections that are no links, and peers that send half of a message or read nothing."""

import asyncio
import unittest

from apricotrail.settings import Settings
from apricotrail.wire import KeyRing, LinkEndpoint, encode_frame
from apricotrail.wire.generated.ttypes import Hello, Identity, Proof
from apricotrail.wire.tests.test_links import wait_until

LINKS = 8
QUIET = {"link.heartbeat_ms": 1_000, "link.silent_ms": 60_000, "link.redial_ms": 5}
HELLO = encode_frame(Hello(1, Identity("a", "entry", "z", 1, ""), bytes(16), "trial"))


def make_endpoint(name: str, **values) -> LinkEndpoint:
    settings = Settings({**QUIET, "link.max_links": LINKS, **values})
    return LinkEndpoint(Identity(name, "entry", "pipa", 1, ""), "trial", KeyRing(None), settings)


class TestLimits(unittest.IsolatedAsyncioTestCase):
    async def listen(self, **values) -> LinkEndpoint:
        endpoint = make_endpoint("right", **values)
        self.address = (await endpoint.listen("127.0.0.1", 0)).split(":")
        self.addAsyncCleanup(endpoint.stop)
        self.met = []
        endpoint.open_links.limits_met.on_limit = self.met.append
        return endpoint

    async def connect(self, data: bytes = b"") -> tuple:
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def dial(self, endpoint: LinkEndpoint, name: str) -> LinkEndpoint:
        other = make_endpoint(name)
        self.addAsyncCleanup(other.stop)
        other.dial(":".join(self.address))
        await wait_until(lambda: name in endpoint.links and other.links)
        return other

    # Guards against connections that say nothing and take the descriptors of links.
    async def test_connections_without_a_handshake_give_way_to_links(self):
        endpoint = await self.listen()
        await self.dial(endpoint, "first")
        silent = [await self.connect() for _ in range(30)]
        await wait_until(lambda: len(self.met) >= 25)
        self.assertLessEqual(len(endpoint.open_links), LINKS)
        await self.dial(endpoint, "second")
        self.assertEqual(set(endpoint.links), {"first", "second"})
        self.assertEqual(await silent[0][0].read(), b"")

    # Guards against memory for a frame that somebody without a key announces, and against time for
    # many small ones.
    async def test_only_a_short_hello_is_taken_before_the_handshake(self):
        endpoint = await self.listen()
        unknown = b"\0\0\0\1" + b"\xff\xff" + bytes(4) + b"\0"
        for data in (b"\0\0\4\1" + HELLO[4:10], unknown * 10_000, HELLO + unknown, HELLO + HELLO):
            with self.subTest(data=data[:10]):
                reader, _ = await self.connect(data)
                async with asyncio.timeout(10):
                    await reader.read()
                self.assertEqual(
                    (len(endpoint.open_links), endpoint.open_links.received_bytes), (0, 0)
                )

    async def test_incomplete_frames_over_the_bound_cost_the_link_that_holds_most(self):
        endpoint = await self.listen(**{"process.memory_mb": 8, "link.receive_memory_share": 0.01})
        others = [await self.dial(endpoint, f"other-{number}") for number in range(2)]
        kept, largest = endpoint.links["other-0"], endpoint.links["other-1"]
        whole = encode_frame(Proof(bytes(endpoint.limits.frame_bytes - 100)))
        for other, part in zip(others, (len(whole) // 3, len(whole) - 1), strict=True):
            link = other.links["right"]
            link._transport.write(whole[:part])
            await wait_until(
                lambda part=part: endpoint.open_links.received_bytes >= part or self.met
            )
        await wait_until(lambda: self.met)
        self.assertEqual(self.met, ["links receive_memory"])
        self.assertTrue(largest.closed.done())
        others[0].links["right"]._transport.write(whole[len(whole) // 3 :])
        await wait_until(lambda: not endpoint.open_links.received_bytes)
        self.assertFalse(kept.closed.done())

    async def test_messages_that_peers_do_not_read_are_bounded_over_all_links(self):
        endpoint = await self.listen(**{"process.memory_mb": 40})
        others = [await self.dial(endpoint, f"other-{number}") for number in range(6)]
        for other in others:
            other.links["right"]._transport.pause_reading()
        large, small = Proof(bytes(2_000_000)), Proof(bytes(60_000))
        sent = [link.send(large) for _ in range(10) for link in endpoint.links.values()]
        self.assertIn(False, sent)
        unsent = sum(link.unsent_bytes for link in endpoint.links.values())
        self.assertLessEqual(unsent, endpoint.limits.unsent_bytes)
        for link in endpoint.links.values():
            while link.send(small):
                pass
        endpoint.open_links.close_slowest()
        unsent = sum(link.unsent_bytes for link in endpoint.links.values())
        self.assertLessEqual(unsent, endpoint.limits.unsent_bytes)
        self.assertIn("links send_memory", self.met)
