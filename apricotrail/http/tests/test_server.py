"""Faults on the server's raw sockets, and its planned stop."""

import asyncio
import socket
import unittest
from contextlib import suppress

import orjson
from nose2.tools import params

from apricotrail.clocks import VirtualClock
from apricotrail.http import HttpServer, Request, Response, ServerLimits, json_response
from apricotrail.http._client import HttpClient
from apricotrail.http._connection import Phase
from apricotrail.http._router import Router

LIMITS = ServerLimits(
    max_connections=3,
    max_peer_connections=1_000,
    max_header_bytes=512,
    max_body_bytes=1_000,
    header_timeout_ms=60,
    body_timeout_ms=60,
    idle_timeout_ms=60_000,
    linger_ms=200,
    last_request_ms=50,
)
HOST = b"Host: a\r\n"
GET = b"GET /healthz HTTP/1.1\r\n" + HOST + b"\r\n"
POST = b"POST /echo HTTP/1.1\r\n" + HOST


def answer(request: Request) -> Response:
    if request.path == "/boom":
        raise RuntimeError("boom")
    return Response(200, request.body or request.path.encode(), "text/plain")


async def answer_slowly(request: Request) -> Response:
    await asyncio.sleep(0.05)
    return answer(request)


async def exchange(server: HttpServer, *parts: bytes) -> bytes:
    address = await server.listen("127.0.0.1", 0)
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.005)
    async with asyncio.timeout(10):
        data = await reader.read(-1)
    writer.close()
    await server.stop(100)
    return data


class TestFaults(unittest.IsolatedAsyncioTestCase):
    REFUSALS = (
        (408, "deadline", [b"GET / HTTP/1.1\r\n", b"A: b"]),
        (408, "deadline", [POST + b"Content-Length: 9\r\n\r\n", b"abc"]),
        (431, "too_large", [b"GET / HTTP/1.1\r\nA: " + b"a" * 600]),
        (431, "too_large", [b"GET /" + b"a" * 5_000]),
        (413, "too_large", [POST + b"Content-Length: 1001\r\n\r\n"]),
        (413, "too_large", [POST + b"Expect: 100-continue\r\nContent-Length: 1001\r\n\r\n"]),
        (413, "too_large", [POST + b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + b"a" * 1_001]),
        (400, "malformed", [POST + b"Content-Length: x\r\n\r\n"]),
        (400, "malformed", [POST + b"Content-Length: " + b"9" * 400 + b"\r\n\r\n"]),
        (400, "malformed", [POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"]),
        (400, "malformed", [POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"]),
        (
            400,
            "malformed",
            [POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"],
        ),
        (400, "malformed", [b"\x16\x03\x01\x02garbage\r\n\r\n"]),
        (400, "malformed", [b"GET http://a/ HTTP/1.1\r\n" + HOST + b"\r\n"]),
        (400, "malformed", [b"GET / HTTP/1.1\r\n\r\n"]),
    )

    async def test_refusal_names_kind_and_remedy(self):
        for status, kind, parts in self.REFUSALS:
            with self.subTest(parts=parts):
                data = await exchange(HttpServer(answer, LIMITS), *parts)
                self.assertTrue(data.startswith(b"HTTP/1.1 %d " % status), data)
                self.assertIn(b"\r\nConnection: close\r\n", data)
                error = orjson.loads(data.partition(b"\r\n\r\n")[2])["error"]
                self.assertEqual(error["kind"], kind)
                self.assertTrue(error["message"] and error["remedy"])

    async def test_pipelined_requests_are_answered_in_order(self):
        last = b"GET /last HTTP/1.1\r\nConnection: close\r\n" + HOST + b"\r\n"
        for handler in (answer, answer_slowly):
            with self.subTest(handler=handler):
                data = await exchange(HttpServer(handler, LIMITS), GET + GET + last)
                self.assertEqual(data.count(b"HTTP/1.1 200"), 3)
                self.assertTrue(data.endswith(b"/last"))

    async def test_too_much_pipelining_waits(self):
        last = b"GET /last HTTP/1.1\r\nConnection: close\r\n" + HOST + b"\r\n"
        data = await exchange(HttpServer(answer_slowly, LIMITS), GET, GET * 20, last)
        self.assertEqual(data.count(b"HTTP/1.1 200"), 22)

    async def test_head_has_no_body_and_continue_is_sent(self):
        head = b"HEAD /four HTTP/1.1\r\n" + HOST + b"\r\n"
        fields = b"Expect: 100-continue\r\nConnection: close\r\nContent-Length: 2\r\n\r\n"
        data = await exchange(HttpServer(answer, LIMITS), head, POST + fields, b"ok")
        first, _, second = data.partition(b"HTTP/1.1 100 ")
        self.assertTrue(first.endswith(b"\r\n\r\n"), first)
        self.assertTrue(second.endswith(b"\r\n\r\nok"), second)

    async def test_failed_handler_is_a_500(self):
        data = await exchange(
            HttpServer(answer, LIMITS),
            b"GET /boom HTTP/1.1\r\nConnection: close\r\n" + HOST + b"\r\n",
        )
        self.assertTrue(data.startswith(b"HTTP/1.1 500 "))

    async def test_connection_over_the_bound_is_refused_while_requests_run_on_all(self):
        release = asyncio.Event()

        async def answer_when_released(request: Request) -> Response:
            await release.wait()
            return answer(request)

        server = HttpServer(answer_when_released, LIMITS)
        host, port = (await server.listen("127.0.0.1", 0)).split(":")
        held = [await asyncio.open_connection(host, int(port)) for _ in range(3)]
        for _, writer in held:
            writer.write(GET)
        async with asyncio.timeout(10):
            while any(it.phase is not Phase.RUNNING for it in server._connections):
                await asyncio.sleep(0.01)
        for _ in range(5):
            reader, writer = await asyncio.open_connection(host, int(port))
            self.assertTrue((await reader.read(-1)).startswith(b"HTTP/1.1 503 "))
            self.assertLessEqual(len(server), LIMITS.max_connections + 1)
            writer.close()
        release.set()
        for reader, writer in held:
            self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 200 "))
            writer.close()
        await server.stop(1_000)
        self.assertEqual(len(server), 0)

    # Guards against connections that say nothing, or not all of a header, and keep others out.
    async def test_connection_without_a_request_gives_way_to_a_new_one(self):
        for limits, seen in (
            (LIMITS, "callers connections"),
            (
                LIMITS._replace(max_connections=9, max_peer_connections=3),
                "callers peer_connections",
            ),
        ):
            for said in (b"", GET[:10], GET):
                with self.subTest(seen=seen, said=said):
                    met = []
                    server = HttpServer(answer, limits, on_limit=met.append)
                    host, port = (await server.listen("127.0.0.1", 0)).split(":")
                    held = []
                    for number in range(20):
                        held.append(await asyncio.open_connection(host, int(port)))
                        held[-1][1].write(said if number else GET)
                        async with asyncio.timeout(10):
                            while len(met) < number - 2:
                                await asyncio.sleep(0)
                    self.assertEqual(len(server), 3)
                    self.assertEqual(set(met), {seen})
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(GET)
                    self.assertTrue((await reader.readline()).startswith(b"HTTP/1.1 200 "))
                    for _, open_writer in [*held, (reader, writer)]:
                        open_writer.close()
                    await server.stop(1_000)

    async def test_idle_and_unread_connections_are_closed(self):
        big = Response(200, b"a" * 20_000_000, "text/plain")
        for name, request in (("idle", b""), ("unread", GET)):
            with self.subTest(name):
                clock = VirtualClock(1_000.0)
                server = HttpServer(lambda request: big, LIMITS, clock)
                host, port = (await server.listen("127.0.0.1", 0)).split(":")
                reader, writer = await asyncio.open_connection(host, int(port), limit=1_000)
                writer.write(request)
                async with asyncio.timeout(10):
                    while not (server.requests if request else len(server)):
                        await asyncio.sleep(0.01)
                    while len(server):
                        clock.advance(LIMITS.idle_timeout_ms)
                        await asyncio.sleep(0.05)
                writer.close()
                await server.stop(100)

    # Guards against the sum of many unfinished requests, and against a greedy peer that takes the
    # room of the others.
    async def test_unfinished_requests_of_the_greediest_peer_give_way_the_largest_first(self):
        limits = LIMITS._replace(
            max_connections=100, body_timeout_ms=60_000, request_bytes=3_000, max_body_bytes=2_000
        )
        seen = []
        server = HttpServer(answer, limits, on_limit=seen.append)
        host, port = (await server.listen("127.0.0.1", 0)).split(":")

        async def send(peer: str, size: int, whole: int = 1_900):
            streams = await asyncio.open_connection(host, int(port), local_addr=(peer, 0))
            streams[1].write(POST + b"Content-Length: %d\r\n\r\n" % whole + b"a" * size)
            before = server.request_bytes.total
            while server.request_bytes.total == before and not seen:
                await asyncio.sleep(0)
            return streams

        modest = await send("127.0.0.2", 900, 1_000)
        small = await send("127.0.0.1", 300)
        large = await send("127.0.0.1", 1_700)
        self.assertEqual(seen, [])
        last = await send("127.0.0.1", 200)
        self.assertEqual(seen, ["callers request_memory"])
        refused = await large[0].read(-1)
        self.assertTrue(refused.startswith(b"HTTP/1.1 503 "), refused)
        self.assertIn(b"\r\nRetry-After: 1\r\n", refused)
        modest[1].write(b"a" * 100)
        self.assertTrue((await modest[0].readline()).startswith(b"HTTP/1.1 200 "))
        for _, writer in (modest, small, large, last):
            writer.close()
        await server.stop(1_000)
        self.assertEqual((server.request_bytes.total, server.request_bytes.by_peer), (0, {}))

    async def test_pipelined_bytes_over_the_bound_are_dropped_and_the_answer_is_delivered(self):
        limits = LIMITS._replace(max_connections=100, pipelined_bytes=6_500, last_request_ms=0)
        seen, release = [], asyncio.Event()

        async def answer_when_released(request: Request) -> Response:
            await release.wait()
            return answer(request)

        server = HttpServer(answer_when_released, limits, on_limit=seen.append)
        host, port = (await server.listen("127.0.0.1", 0)).split(":")
        streams = [await asyncio.open_connection(host, int(port)) for _ in range(2)]
        streams[0][1].write(GET + b"b" * 5_000)
        streams[1][1].write(GET + b"b" * 10_000)
        async with asyncio.timeout(10):
            while not seen:
                await asyncio.sleep(0.01)
        release.set()
        cut = await streams[1][0].read(-1)
        self.assertEqual(seen, ["callers pipelined_memory"])
        self.assertIn(b"Connection: close", cut)
        self.assertTrue(cut.endswith(b"/healthz"), cut)
        for _, writer in streams:
            writer.close()
        await server.stop(100)
        self.assertEqual(server.pipelined_bytes.total, 0)

    async def test_unread_answers_over_the_bound_are_cut_and_a_single_one_never(self):
        big = Response(200, b"a" * 20_000_000, "text/plain")
        for bound, answers in ((25_000_000, 2), (1_000_000, 1)):
            with self.subTest(bound=bound):
                seen = []
                limits = LIMITS._replace(max_connections=100, answer_bytes=bound)
                server = HttpServer(lambda request: big, limits, on_limit=seen.append)
                host, port = (await server.listen("127.0.0.1", 0)).split(":")
                streams = []
                for _ in range(answers):
                    streams.append(await asyncio.open_connection(host, int(port), limit=1_000))
                    streams[-1][1].write(GET)
                    async with asyncio.timeout(10):
                        while server.requests < len(streams):
                            await asyncio.sleep(0.01)
                self.assertEqual(seen, ["callers answer_memory"] * (answers - 1))
                whole = 0
                for reader, writer in streams:
                    with suppress(ConnectionError, asyncio.IncompleteReadError):
                        await reader.readuntil(b"\r\n\r\n")
                        whole += len(await reader.readexactly(20_000_000)) == 20_000_000
                    writer.close()
                self.assertEqual(whole, 1)
                await server.stop(100)

    async def test_disconnect_is_seen_by_the_handler(self):
        seen = asyncio.get_running_loop().create_future()

        async def wait_for_disconnect(request: Request) -> Response:
            await request.disconnected
            seen.set_result(True)
            return Response(200)

        server = HttpServer(wait_for_disconnect, LIMITS)
        host, port = (await server.listen("127.0.0.1", 0)).split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(GET)
        await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(10):
            self.assertTrue(await seen)
        await server.stop(1_000)

    async def test_stop_answers_what_was_connected_before_it(self):
        limits = LIMITS._replace(max_connections=100, last_request_ms=5_000)
        server = HttpServer(answer, limits)
        host, port = (await server.listen("127.0.0.1", 0)).split(":")
        accepted = await asyncio.open_connection(host, int(port))
        sockets = [socket.create_connection((host, int(port))) for _ in range(20)]
        stop = asyncio.ensure_future(server.stop(10_000))
        queued = [await asyncio.open_connection(sock=sock) for sock in sockets]
        await asyncio.sleep(0.02)
        for _, writer in (accepted, *queued):
            writer.write(GET)
        replies = [await reader.read(-1) for reader, _ in (accepted, *queued)]
        self.assertEqual({reply[:12] for reply in replies}, {b"HTTP/1.1 200"})
        await stop
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        for _, writer in (accepted, *queued):
            writer.close()

    async def test_stop_waits_for_running_requests(self):
        server = HttpServer(answer_slowly, LIMITS)
        address = await server.listen("127.0.0.1", 0)
        client = HttpClient()
        call = asyncio.ensure_future(client.request("GET", address, "/a"))
        await asyncio.sleep(0.02)
        await server.stop(10_000)
        response = (await call).unwrap()
        self.assertEqual((response.status, response.header("connection")), (200, "close"))


@params(
    ("GET", "/v1/jobs/surf%2Fschool/a%20b", 200, ["surf/school", "a b"]),
    ("HEAD", "/v1/jobs/a/b", 200, ["a", "b"]),
    ("PUT", "/v1/jobs/a/b", 405, None),
    ("GET", "/v1/jobs/a", 404, None),
    ("GET", "/v1/jobs//b", 404, None),
    ("GET", "/v1/jobs/%ff/b", 400, None),
    ("GET", "/healthz", 200, []),
)
def test_router(method, path, status, parameters):
    router = Router()
    router.add("GET", "/healthz", lambda request: json_response(200, []))
    router.add("GET", "/v1/jobs/{c}/{s}", lambda request, c, s: json_response(200, [c, s]))
    response = router(Request(method, path, {}, {}, b"", ""))
    assert response.status == status
    if parameters is not None:
        assert orjson.loads(response.body) == parameters
