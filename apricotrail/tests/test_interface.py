"""Runs every example of docs/INTERFACE.md against one of each role."""

import asyncio
import json
import re
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple
from unittest import IsolatedAsyncioTestCase
from urllib.parse import unquote

from apricotrail.agent import make_agent
from apricotrail.control import make_control
from apricotrail.entry import make_entry
from apricotrail.http import HttpClient, HttpServer, Request, Response, ServerLimits
from apricotrail.measure._system import find_free_ports
from apricotrail.settings import Settings

ROOT = Path(__file__).parents[2]
MAX_ASKS = 400
TOKEN = "token-for-the-interface-test"


class Example(NamedTuple):
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    status: int
    answer: str


def read_examples():
    page = (ROOT / "docs" / "INTERFACE.md").read_text()
    for block in re.findall(r"```http\n(.*?)```", page, re.DOTALL):
        asked, _, answered = block.partition("\n\n")
        method, _, rest = asked.partition(" ")
        path, *lines = rest.split("\n")
        headers = []
        while lines and re.match(r"[A-Z][A-Za-z-]+: ", lines[0]):
            name, _, value = lines.pop(0).partition(": ")
            headers.append((name, value))
        status, _, answer = answered.partition("\n")
        yield Example(
            method, path, tuple(headers), "\n".join(lines).encode(), int(status), answer.strip()
        )


def matches(expected: Any, given: Any) -> bool:
    if expected == "...":
        return True
    if isinstance(expected, dict):
        return (
            isinstance(given, dict)
            and expected.keys() == given.keys()
            and all(matches(expected[key], given[key]) for key in expected)
        )
    if isinstance(expected, list):
        return len(expected) == len(given) and all(map(matches, expected, given))
    return expected == given


async def answer_task(request: Request) -> Response:
    """Stand in for a target: quotes, fails, or waits until it is told to stop."""
    if request.method == "DELETE":
        return Response(200)
    body = request.body.decode()
    if body == "fail":
        return Response(500, b"no such board", "text/plain")
    if body == "wait":
        await request.disconnected
    assert unquote(request.path).startswith("/tasks/counter-pipa/q-")
    return Response(200, f"quote for {body}".encode(), "text/plain")


class Interface(IsolatedAsyncioTestCase):
    """One of each role in this process, on free ports."""

    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        token_file = Path(folder.name) / "token"
        token_file.write_text(TOKEN)
        control, links, operators, callers, self.status = (
            f"127.0.0.1:{port}" for port in find_free_ports(5)
        )
        self.address, self.operators = callers, operators
        self.client = HttpClient()
        self.addAsyncCleanup(self.client.close)
        target = HttpServer(answer_task, ServerLimits())
        target_address = await target.listen("127.0.0.1", 0)
        self.addAsyncCleanup(target.stop, 0)
        await self.start_role(
            make_control,
            {
                "control.listen": control,
                "control.status_listen": self.status,
                "control.environment": "trial",
                "control.data_folder": str(Path(folder.name) / "control"),
            },
        )
        await self.start_role(
            make_entry,
            {
                "entry.environment": "trial",
                "entry.listen": callers,
                "entry.operators_listen": operators,
                "entry.link_listen": links,
                "entry.drain_ms": 0,
                "control.addresses": [control],
                "operators.token_file": str(token_file),
            },
        )
        await self.put_document()
        await self.start_role(
            make_agent,
            {
                "agent.environment": "trial",
                "agent.target": "pipa-1",
                "agent.target_address": target_address,
                "agent.entries": [links],
            },
        )

    async def start_role(self, make, values):
        application = make(Settings(values))
        await application.start()
        self.addAsyncCleanup(application.stop)

    async def put_document(self):
        text = (ROOT / "examples" / "local" / "document.toml").read_bytes()
        headers = (
            ("Authorization", f"Bearer {TOKEN}"),
            ("Apricotrail-Request-Id", "interface-1"),
            ("Apricotrail-Author", "test"),
        )
        path = "/v1/admin/documents/try"
        await self.ask_until_ready("POST", self.operators, path, text, headers)
        await self.ask_until_ready("GET", self.address, "/readyz")

    async def ask_until_ready(self, *call):
        for _ in range(MAX_ASKS):
            sent = await self.client.request(*call)
            if sent.unwrap().status != 503:
                break
            await asyncio.sleep(0.05)
        self.assertEqual(sent.unwrap().status, 200, sent)

    async def run_example(self, example: Example):
        sent = await self.client.request(
            example.method, self.address, example.path, example.body, example.headers
        )
        response = sent.unwrap()
        text = response.body.decode()
        self.assertEqual(response.status, example.status, f"{example.path}: {text}")
        if not example.answer.startswith("{"):
            self.assertEqual(text.strip(), example.answer)
            return
        expected, given = json.loads(example.answer), json.loads(text)
        self.assertTrue(matches(expected, given), f"{example.path}: {text}")

    async def test_every_example_of_the_page(self):
        examples = list(read_examples())
        self.assertGreater(len(examples), 12)
        for example in examples:
            await self.run_example(example)

    async def test_control_shows_readiness_and_metrics(self):
        await self.ask_until_ready("GET", self.status, "/readyz")
        for path, part in (("/healthz", b"true"), ("/metrics", b'is_leader{role="control"} 1.0')):
            response = (await self.client.request("GET", self.status, path)).unwrap()
            self.assertEqual(response.status, 200)
            self.assertIn(part, response.body)
