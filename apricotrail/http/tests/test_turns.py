"""Who may parse next, on a virtual clock: the load is chunks of a few bytes, in many requests."""

import asyncio
import unittest

from apricotrail.clocks import VirtualClock
from apricotrail.http import HttpServer, Response, ServerLimits
from apricotrail.http._connection import WRITE_BYTES, ServerConnection
from apricotrail.http._turns import BURST_UNITS, QUANTUM_UNITS, ReadTurns

CHUNKS = 100_000
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class FakeReader:
    def __init__(self, peer: str, units: int, log: list) -> None:
        self.peer = peer
        self.request_units = 0
        self.left = units
        self._log = log

    def read(self, units: int) -> int:
        spent = min(units, self.left)
        self.left -= spent
        self.request_units += spent
        self._log.append(self)
        return spent

    def has_input(self) -> bool:
        return self.left > 0


class FakeTransport:
    """Keeps what is written until it is told that the peer has read it."""

    def __init__(self, connection: ServerConnection) -> None:
        self.written = b""
        self.unsent = 0
        self.is_paused = False
        self.is_closed = self.is_cut = False
        self._connection = connection

    def drain(self):
        self.unsent = 0
        self._connection.resume_writing()

    def get_extra_info(self, name):
        return ("10.0.0.1", 1)

    def is_closing(self):
        return False

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def close(self):
        self.is_closed = True

    def abort(self):
        self.is_closed = self.is_cut = True

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return self.unsent

    def write(self, data):
        self.written += data
        self.unsent += len(data)
        if self.unsent > WRITE_BYTES:
            self._connection.pause_writing()

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


class TestReadTurns(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = VirtualClock(1_000.0)
        self.log = []
        self.turns = ReadTurns(self.clock, 0.5)

    def add(self, peer: str, units: int) -> FakeReader:
        reader = FakeReader(peer, units, self.log)
        self.turns.request_turn(reader)
        return reader

    def run_for(self, steps: int) -> None:
        for _ in range(steps):
            self.clock.advance(5.0)
            self.turns.run()

    async def test_ordinary_requests_are_parsed_at_once(self):
        readers = [self.add("10.0.0.1", 8) for _ in range(40)]
        self.assertEqual(self.log, readers)

    async def test_what_is_parsed_at_once_is_bounded_however_many_connections_have_input(self):
        readers = [self.add("10.0.0.1", 100_000) for _ in range(1_000)]
        self.assertLessEqual(sum(it.request_units for it in readers), BURST_UNITS + QUANTUM_UNITS)

    async def test_new_request_goes_before_costly_ones_of_its_peer(self):
        costly = [self.add("10.0.0.1", 100_000) for _ in range(200)]
        self.run_for(500)
        ordinary = self.add("10.0.0.1", 8)
        self.run_for(1)
        self.assertFalse(ordinary.has_input())
        self.assertTrue(all(it.has_input() for it in costly))

    async def test_peers_take_turns_whatever_number_of_connections_they_have(self):
        for _ in range(200):
            self.add("10.0.0.1", 100_000)
        other = self.add("10.0.0.2", 1_000)
        self.run_for(20)
        self.assertFalse(other.has_input())

    async def test_a_lone_costly_request_is_parsed_to_its_end(self):
        reader = self.add("10.0.0.1", CHUNKS)
        self.run_for(CHUNKS // 100)
        self.assertFalse(reader.has_input())
        self.assertFalse(self.turns.is_waiting(reader))

    async def test_connections_that_leave_are_forgotten(self):
        gone = [self.add("10.0.0.1", 100_000) for _ in range(50)]
        for reader in gone:
            self.turns.cancel(reader)
        self.run_for(3)
        self.assertEqual(len(self.log), sum(it.request_units > 0 for it in gone))


class TestConnection(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = VirtualClock(1_000.0)

    # Guards against 100,000 chunks that are parsed to their end in one turn of the event loop.
    async def test_chunks_of_two_bytes_are_parsed_in_turns_and_the_request_is_answered(self):
        limits = ServerLimits(body_timeout_ms=1e9)
        bodies = []
        server = HttpServer(lambda it: bodies.append(it.body) or Response(200), limits, self.clock)
        connection = ServerConnection(server)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        connection.data_received(HEAD + b"2\r\nab\r\n" * CHUNKS + b"0\r\n\r\n")
        self.assertTrue(transport.is_paused)
        self.assertLessEqual(connection.request_units, BURST_UNITS + QUANTUM_UNITS)
        while not bodies:
            self.clock.advance(5.0)
            server.turns.run()
        self.assertEqual(bodies, [b"ab" * CHUNKS])
        self.assertTrue(transport.written.startswith(b"HTTP/1.1 200 "))
        self.assertFalse(transport.is_paused)
        await asyncio.sleep(0)

    # Guards against thousands of short headers, query fields or trailers, which take milliseconds.
    async def test_many_headers_or_trailers_and_long_answers_count_for_what_they_cost(self):
        fields = b"a:b\r\n" * 3_000
        for name, request, answer in (
            ("headers", GET[:-2] + fields + b"\r\n", b""),
            ("query", b"GET /?" + b"a=&" * 5_000 + GET[5:], b""),
            ("trailers", HEAD + b"0\r\n" + fields + b"\r\n", b""),
            ("answer", GET, b"a" * 200_000),
        ):
            with self.subTest(name):
                server = HttpServer(lambda it, body=answer: Response(200, body), clock=self.clock)
                for _ in range(30):
                    connection = ServerConnection(server)
                    connection.connection_made(FakeTransport(connection))
                    connection.data_received(request)
                self.assertLessEqual(server.requests, 4)
                for _ in range(400):
                    self.clock.advance(5.0)
                    server.turns.run()
                self.assertEqual(server.requests, 30)

    # Guards against thousands of requests that are handled for a peer that reads no answer.
    async def test_no_further_request_is_handled_while_answers_are_unread(self):
        server = HttpServer(lambda request: Response(200, b"a" * 1_000), clock=self.clock)
        connection = ServerConnection(server)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        connection.data_received(GET * 5_000)
        for most in (WRITE_BYTES, 2 * WRITE_BYTES):
            for _ in range(100):
                self.clock.advance(5.0)
                server.turns.run()
            self.assertLess(len(transport.written), most + 2_000)
            self.assertTrue(transport.is_paused)
            transport.drain()
        self.assertEqual(server.answer_bytes.total, transport.unsent)

    # Guards against requests that are lost as their connection closes before they had their turn.
    async def test_request_that_waits_for_its_turn_is_answered_after_a_stop_or_a_half_close(self):
        for how in ("stop", "half-close"):
            with self.subTest(how):
                server = HttpServer(lambda request: Response(200, b"done"), clock=self.clock)
                server.turns.charge(1_000)
                connection = ServerConnection(server)
                transport = FakeTransport(connection)
                connection.connection_made(transport)
                connection.data_received(GET)
                self.assertTrue(server.turns.is_waiting(connection))
                if how == "stop":
                    server.begin_draining()
                    server.close_idle()
                else:
                    self.assertTrue(connection.eof_received())
                self.assertFalse(transport.is_closed)
                self.clock.advance(200.0)
                server.turns.run()
                self.assertTrue(transport.written.endswith(b"done"))
                self.assertIn(b"Connection: close", transport.written)

    # Guards against an answer that is cut while a slow peer reads it, as its connection closes.
    async def test_last_answer_is_delivered_as_long_as_its_peer_reads(self):
        server = HttpServer(lambda request: Response(200, b"a" * 100_000), clock=self.clock)
        server.begin_draining()
        connection = ServerConnection(server)
        transport = FakeTransport(connection)
        connection.connection_made(transport)
        connection.data_received(GET)
        for _ in range(5):
            transport.unsent -= 10_000
            self.clock.advance(server.limits.linger_ms)
            connection.note_unsent()
            connection.expire(self.clock())
            self.assertFalse(transport.is_cut)
        self.clock.advance(server.limits.linger_ms)
        connection.expire(self.clock())
        self.assertTrue(transport.is_cut)
