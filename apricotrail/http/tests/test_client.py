"""What the client reports about servers that misbehave."""

import asyncio
import unittest

from apricotrail.errors import ErrorKind
from apricotrail.http import ClientLimits, HttpClient

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LIMITS = ClientLimits(connections=2, max_answer_bytes=100, connect_ms=500, idle_ms=60_000)


class StandInServer:
    """Answers every request with fixed bytes, then closes or stays silent."""

    def __init__(self, answer: bytes, close: bool = True, wait_s: float = 0.0) -> None:
        self.answer, self.close, self.wait_s = answer, close, wait_s
        self.connections = self.requests = self.most_open = self._open = 0

    async def __aenter__(self) -> "StandInServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *exc) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._open += 1
        self.most_open = max(self._open, self.most_open)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                await asyncio.sleep(self.wait_s)
                writer.write(self.answer)
                if self.close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._open -= 1
            writer.close()


class TestClient(unittest.IsolatedAsyncioTestCase):
    FAULTS = (
        ("truncated", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", ErrorKind.MALFORMED),
        ("truncated head", b"HTTP/1.1 200 OK\r\nContent-", ErrorKind.UNKNOWN_OUTCOME),
        (
            "truncated chunks",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            ErrorKind.MALFORMED,
        ),
        ("no framing", b"HTTP/1.1 200 OK\r\n\r\nabc", ErrorKind.MALFORMED),
        ("garbage", b"\x00\x01nonsense\r\n\r\n", ErrorKind.MALFORMED),
        ("nothing", b"", ErrorKind.UNKNOWN_OUTCOME),
        (
            "declared too large",
            b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
            ErrorKind.TOO_LARGE,
        ),
        (
            "chunks too large",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + b"a" * 101,
            ErrorKind.TOO_LARGE,
        ),
    )

    async def test_fault_is_reported_and_sent_once(self):
        for name, answer, kind in self.FAULTS:
            with self.subTest(name):
                async with StandInServer(answer) as server:
                    client = HttpClient(LIMITS)
                    result = await client.request("POST", server.address, "/")
                    self.assertEqual(result.failure().kind, kind)
                    self.assertEqual(server.requests, 1)
                    await client.close()

    async def test_silence_ends_at_the_deadline(self):
        async with StandInServer(b"", close=False) as server:
            client = HttpClient(LIMITS)
            result = await client.request("POST", server.address, "/", timeout_ms=50)
            self.assertEqual(result.failure().kind, ErrorKind.DEADLINE)

    async def test_refused_connection_is_unreachable(self):
        for address in ("127.0.0.1:1", "nowhere", ":80", "127.0.0.1:"):
            with self.subTest(address):
                result = await HttpClient(LIMITS).request("POST", address, "/")
                self.assertEqual(result.failure().kind, ErrorKind.UNREACHABLE)

    async def test_connections_are_reused_and_bounded(self):
        async with StandInServer(OK, close=False, wait_s=0.002) as server:
            client = HttpClient(LIMITS)
            calls = [client.request("POST", server.address, "/", b"") for _ in range(20)]
            results = await asyncio.gather(*calls)
            self.assertEqual({result.unwrap().body for result in results}, {b"ok"})
            self.assertEqual((server.connections, server.most_open), (2, 2))
            await client.close()

    async def test_wait_for_a_connection_counts_as_not_sent(self):
        async with StandInServer(b"", close=False) as server:
            client = HttpClient(LIMITS._replace(connections=1))
            first = asyncio.ensure_future(
                client.request("POST", server.address, "/", timeout_ms=200)
            )
            await asyncio.sleep(0.01)
            second = await client.request("POST", server.address, "/", timeout_ms=20)
            self.assertEqual(second.failure().kind, ErrorKind.UNREACHABLE)
            self.assertEqual((await first).failure().kind, ErrorKind.DEADLINE)
            self.assertEqual(server.requests, 1)

    async def test_bytes_behind_a_response_are_not_read_as_the_next_one(self):
        """Guards against an answer to another request, sent in the same packet as the last one."""
        async with StandInServer(OK + OK, close=False) as server:
            client = HttpClient(LIMITS)
            for _ in range(2):
                result = await client.request("GET", server.address, "/")
                self.assertEqual(result.unwrap().body, b"ok")
            self.assertEqual(server.connections, 2)
            await client.close()

    async def test_connection_closed_while_idle_is_not_used(self):
        async with StandInServer(OK, close=True) as server:
            client = HttpClient(LIMITS)
            for _ in range(3):
                result = await client.request("POST", server.address, "/")
                self.assertEqual(result.unwrap().body, b"ok")
            self.assertEqual(server.requests, 3)
