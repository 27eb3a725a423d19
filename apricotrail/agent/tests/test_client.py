"""Outcomes of tasks whose target sends a broken response or none, on raw sockets."""

import asyncio
import unittest

from apricotrail.agent._client import run_task
from apricotrail.http import HttpClient
from apricotrail.wire.generated.ttypes import Reason, TaskState

MAY_HAVE_RUN, FAILED = TaskState.MAY_HAVE_RUN, TaskState.FAILED
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: "
TABLE = (
    ("whole", HEAD + b"2\r\n\r\nok", TaskState.DONE, Reason.NONE),
    ("cut short", HEAD + b"9\r\n\r\nok", MAY_HAVE_RUN, Reason.WRONG_LENGTH),
    ("garbage", b"\x00\x01\r\n\r\n", MAY_HAVE_RUN, Reason.WRONG_LENGTH),
    ("no length", b"HTTP/1.1 200 OK\r\n\r\nok", MAY_HAVE_RUN, Reason.WRONG_LENGTH),
    ("closed", b"", MAY_HAVE_RUN, Reason.TARGET_ERROR),
    ("too long", HEAD + b"99\r\n\r\n", FAILED, Reason.TARGET_ERROR),
    ("silent", None, MAY_HAVE_RUN, Reason.TARGET_SILENT),
    ("stalled", HEAD, MAY_HAVE_RUN, Reason.TARGET_SILENT),
)


def is_open() -> int:
    return Reason.NONE


class TestRunTask(unittest.IsolatedAsyncioTestCase):
    async def run_against(self, answer: bytes | None):
        heads = []

        async def serve(reader, writer):
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer or b"")
            if answer in (None, HEAD):
                await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = HttpClient()
        outcome = await run_task(client, address, "a/b", 3, b"{}", 60, is_open, 10)
        await client.close()
        server.close()
        self.assertEqual(len(heads), 1)
        self.assertTrue(heads[0].startswith(b"POST /tasks/a%2Fb/3 HTTP/1.1\r\n"), heads)
        self.assertIn(b"apricotrail-budget-ms: 60\r\n", heads[0].lower())
        return outcome

    async def test_state_and_reason(self):
        for name, answer, state, reason in TABLE:
            with self.subTest(name):
                outcome = await self.run_against(answer)
                self.assertEqual((outcome.state, outcome.reason), (state, reason), outcome.detail)
                self.assertEqual(outcome.answer, b"ok" if state == TaskState.DONE else None)

    async def test_refusal_while_connecting_means_not_run(self):
        received = []

        async def serve(reader, writer):
            received.append(await reader.read())
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = HttpClient()
        outcome = await run_task(client, address, "a/b", 3, b"{}", 60, lambda: Reason.ZONE_OUT)
        self.assertEqual((outcome.state, outcome.reason), (TaskState.NOT_RUN, Reason.ZONE_OUT))
        await client.close()
        async with asyncio.timeout(10):
            while not received:
                await asyncio.sleep(0.005)
        self.assertEqual(received, [b""])
        server.close()

    async def test_no_connection_means_not_run(self):
        outcome = await run_task(HttpClient(), "127.0.0.1:1", "a/b", 3, b"{}", 60, is_open)
        expected = (TaskState.NOT_RUN, Reason.TARGET_UNREACHABLE)
        self.assertEqual((outcome.state, outcome.reason), expected)
