"""Links between two endpoints over loopback."""

import asyncio
import unittest

from nose2.tools import params

from apricotrail.settings import Settings
from apricotrail.wire import FrameReader, KeyRing, LinkEndpoint, WireError, encode_frame
from apricotrail.wire.generated.ttypes import Claim, ClaimReply, Identity, SlotWant

FAST = Settings({"link.heartbeat_ms": 20, "link.silent_ms": 150, "link.redial_ms": 5})


def make_endpoint(name: str, environment: str = "trial") -> LinkEndpoint:
    return LinkEndpoint(Identity(name, "entry", "pipa", 1, ""), environment, KeyRing(None), FAST)


async def wait_until(condition, timeout_s: float = 10.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


class Pair:
    """Two connected endpoints."""

    def __init__(self) -> None:
        self.left, self.right = make_endpoint("left"), make_endpoint("right")

    async def __aenter__(self) -> "Pair":
        address = await self.right.listen("127.0.0.1", 0)
        self.left.start()
        self.right.start()
        self.left.dial(address)
        await wait_until(lambda: self.left.links and self.right.links)
        return self

    async def __aexit__(self, *exc) -> None:
        await self.left.stop()
        await self.right.stop()


class TestLinks(unittest.IsolatedAsyncioTestCase):
    async def test_call_gets_its_reply(self):
        async with Pair() as pair:
            pair.right.on(Claim, lambda link, claim: ClaimReply(1, claim.view_epoch))
            replies = await asyncio.gather(
                *(pair.left.links["right"].call(Claim(n), 1_000) for n in range(20))
            )
        self.assertEqual([reply.unwrap().view_epoch for reply in replies], list(range(20)))

    async def test_lost_link_is_dialed_again(self):
        async with Pair() as pair:
            first = pair.left.links["right"]
            pair.right.links["left"].close()
            await wait_until(lambda: pair.left.links.get("right") not in (None, first))

    async def test_ends_that_dial_each_other_keep_one_link(self):
        async with Pair() as pair:
            pair.right.dial(await pair.left.listen("127.0.0.1", 0))
            await asyncio.sleep(0.1)
            kept = pair.left.links["right"]
            await asyncio.sleep(0.1)
            self.assertIs(pair.left.links["right"], kept)
            pair.left.links["right"].close()
            await wait_until(lambda: pair.left.links and pair.right.links)

    async def test_other_environment_is_refused(self):
        left, right = make_endpoint("left", "trial"), make_endpoint("right", "production")
        address = await right.listen("127.0.0.1", 0)
        left.dial(address)
        await asyncio.sleep(0.05)
        self.assertEqual((left.links, right.links), ({}, {}))
        await left.stop()
        await right.stop()


@params(b"\xff\xff\xff\xff" + b"\0" * 6, encode_frame(SlotWant("t", 1, 2))[:-2] + b"\xff\xff")
def test_malformed_frames_are_refused(data):
    reader = FrameReader()
    try:
        reader.feed(data)
    except WireError as error:
        assert error.problem.remedy
        return
    raise AssertionError("accepted")


def test_frames_survive_any_cut():
    data = b"".join(encode_frame(SlotWant("t", n, 1), n) for n in range(5))
    for step in (1, 3, len(data)):
        reader = FrameReader()
        cuts = range(0, len(data), step)
        frames = [frame for at in cuts for frame in reader.feed(data[at : at + step])]
        assert [frame.correlation for frame in frames] == list(range(5))
