"""Links between two endpoints over loopback."""

import asyncio
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from apricotrail.settings import Settings
from apricotrail.wire import (
    FrameReader,
    KeyRing,
    LinkEndpoint,
    WireError,
    encode_frame,
    parse_address,
)
from apricotrail.wire.generated.ttypes import Claim, ClaimReply, Heartbeat, Identity, SlotWant

FAST = Settings({"link.heartbeat_ms": 20, "link.silent_ms": 150, "link.redial_ms": 5})


def make_endpoint(
    name: str, environment: str = "trial", keys: KeyRing | None = None
) -> LinkEndpoint:
    identity = Identity(name, "entry", "pipa", 1, "")
    return LinkEndpoint(identity, environment, keys or KeyRing(None), FAST)


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


ODD_ADDRESSES = (
    None,
    "",
    "127.0.0.1",
    ":7070",
    "127.0.0.1:",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:1e3",
    "127.0.0.1:\u0667\u0660",
    "127.0.0.1:" + "8" * 5_000,
)


class TestAddresses(unittest.IsolatedAsyncioTestCase):
    # Guards against an odd entry in a list of processes that ends the dialing of its reader.
    async def test_addresses_that_cannot_be_read_are_not_dialed_and_others_are(self):
        left, right = make_endpoint("left"), make_endpoint("right")
        address = await right.listen("127.0.0.1", 0)
        for odd in (*ODD_ADDRESSES, address):
            left.dial(odd)
        self.assertEqual(left.dialed(), [address])
        await wait_until(lambda: left.links)
        await left.stop()
        await right.stop()

    def test_ports_are_numbers_up_to_the_highest(self):
        self.assertEqual(parse_address("10.0.0.1:65535"), ("10.0.0.1", 65_535))
        for odd in ODD_ADDRESSES[1:]:
            with self.subTest(odd=odd[:40]), self.assertRaises(ValueError):
                parse_address(odd)


class TestLinks(unittest.IsolatedAsyncioTestCase):
    async def test_call_gets_its_reply(self):
        async with Pair() as pair:
            pair.right.on(Claim, lambda link, claim: ClaimReply(1, claim.view_epoch))
            replies = await asyncio.gather(
                *(pair.left.links["right"].call(Claim(n), 1_000) for n in range(20))
            )
        self.assertEqual([reply.unwrap().view_epoch for reply in replies], list(range(20)))

    async def test_heartbeats_that_are_answered_at_once_need_no_others(self):
        """With many links, a second clock for the answers would double their cost."""
        clocked = []
        async with Pair() as pair:
            pair.right.receive_heartbeat = lambda link, *_: link.send_heartbeat()
            pair.right.make_heartbeat = lambda link: clocked.append(1) or Heartbeat()
            link = pair.left.links["right"]
            pair.right.heartbeat_ms_by_role["entry"] = 400.0
            sent_before = link.sent_frames
            await wait_until(lambda: link.sent_frames >= sent_before + 10)
            # One answer each, and up to four that the clock sent before.
            self.assertLessEqual(len(clocked), 14)

    # Guards against a sign of life by the clock of a process that has not read its messages yet.
    async def test_heartbeats_echo_nothing_new_while_they_may_not(self):
        async with Pair() as pair:
            echoed = []
            pair.left.receive_heartbeat = lambda link, heartbeat, sent_ms: echoed.append(
                heartbeat.echo
            )
            await wait_until(lambda: len(echoed) > 2)
            pair.right.may_echo = lambda: False
            await wait_until(lambda: len(echoed) > 3)
            echoed.clear()
            await wait_until(lambda: len(echoed) > 3)
            self.assertEqual(len(set(echoed[1:])), 1)
            pair.right.may_echo = lambda: True
            await wait_until(lambda: echoed[-1] > echoed[1] + 3)

    async def test_an_error_in_one_heartbeat_silences_no_link(self):
        """Operators of a similar system: one unexpected error took a whole process down."""

        def fail(link, *more):
            raise ValueError("unexpected")

        async with Pair() as pair:
            link = pair.left.links["right"]
            make, pair.left.make_heartbeat = pair.left.make_heartbeat, fail
            pair.right.receive_heartbeat = fail
            await asyncio.sleep(0.06)
            pair.left.make_heartbeat = make
            sent_before = link.sent_frames
            await wait_until(lambda: link.sent_frames >= sent_before + 10)
            self.assertIs(pair.left.links["right"], link)

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

    async def test_malformed_frame_closes_that_link_alone(self):
        async with Pair() as pair:
            third = make_endpoint("third")
            third.start()
            third.dial(pair.right.identity.address)
            await wait_until(lambda: "third" in pair.right.links)
            kept = pair.right.links["third"]
            broken = pair.left.links["right"]
            broken._transport.write(b"\xff" * 64)
            await wait_until(broken.closed.done)
            await wait_until(lambda: "left" in pair.right.links)
            self.assertIs(pair.right.links["third"], kept)
            await third.stop()

    async def test_wrong_key_is_refused_and_keys_are_replaced_without_a_stop(self):
        with TemporaryDirectory() as folder:
            files = [Path(folder) / name for name in ("left", "right")]
            files[0].write_text("first-key-0123456789\n")
            files[1].write_text("other-key-0123456789\n")
            left, right = (make_endpoint(path.name, keys=KeyRing(path)) for path in files)
            left.dial(await right.listen("127.0.0.1", 0))
            await asyncio.sleep(0.1)
            self.assertEqual((left.links, right.links), ({}, {}))
            files[1].write_text("other-key-0123456789\nfirst-key-0123456789\n")
            files[0].write_text("first-key-0123456789\nother-key-0123456789\n")
            await wait_until(lambda: left.links and right.links)
            await left.stop()
            await right.stop()

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


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.binary(max_size=200), st.integers(0, 60), st.integers(1, 50))
def test_reader_gives_frames_or_a_wire_error_for_any_bytes(noise, at, step):
    whole = encode_frame(Claim(3), 7)
    data = whole[:at] + noise + whole
    reader = FrameReader(max_frame_bytes=1_000)
    try:
        for start in range(0, len(data), step):
            reader.feed(data[start : start + step])
    except WireError as error:
        assert error.problem.remedy
