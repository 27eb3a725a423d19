"""A whole system, control, entries and agents, in one process over loopback, for tests."""

import asyncio
import hashlib
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

import orjson
from returns.result import Success

from apricotrail.agent import make_agent
from apricotrail.control import make_control
from apricotrail.entry import Entry
from apricotrail.http import HttpClient, HttpServer, Request, Response
from apricotrail.settings import Settings
from apricotrail.wire.generated.ttypes import (
    Command,
    PutDocument,
    SetTargetState,
    SetZoneState,
)

SHORT_TIMEOUTS = {
    "link.heartbeat_ms": 50,
    "link.silent_ms": 300,
    "link.redial_ms": 10,
    "membership.config_stale_ms": 600,
    "control.entry_silent_ms": 300,
    "entry.drain_ms": 0,
    "entry.agent_lost_ms": 1_500,
    "entry.claim_call_ms": 300,
}
DOCUMENT = """
schemes = ["booking", "legacy", "yard"]
[services.repair]
max_answer_bytes = 1_000_000
names = {{ booking = "Repair" }}
[zones.natal]
names = {{ booking = "Natal" }}
[zones.pipa]
names = {{ booking = "Pipa" }}
{targets}
"""
TARGET = """
[targets.{name}]
names = {{ legacy = "old-{name}" }}
service = "repair"
zone = "{zone}"
"""
ZONES = ("natal", "pipa")


class StandInTarget:
    """A target of the tests, which answers each task with its name and the task's body.

    The body is a JSON object; ``run_ms`` delays the answer, ``fail`` makes it a failure and
    ``answer_bytes`` lengthens it. No task is answered while `gate` is clear.
    """

    def __init__(self, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.starts: Counter[str] = Counter()
        self.stopped: list[str] = []
        self.gate = asyncio.Event()
        self.gate.set()
        self.server = HttpServer(self._handle)
        self.address = ""

    async def _handle(self, request: Request) -> Response:
        if request.method == "DELETE":
            self.stopped.append(request.path)
            return Response(200)
        self.starts[request.path] += 1
        value = orjson.loads(request.body)
        await self.gate.wait()
        await asyncio.sleep(value.get("run_ms", 0) / 1000)
        if value.get("fail"):
            return Response(500, b"broken")
        size = value.get("answer_bytes", 0)
        return Response(200, b"%s:%s" % (self.name.encode(), request.body) + b"." * size)


class System:
    """Control, entries, agents and targets of one test.

    Parameters
    ----------
    entries : int
        Number of entries.
    targets : int
        Number of targets, spread over two zones.
    agent_processes : bool
        Whether each target has an agent role of its own; otherwise entries host the agents.
    settings : dict, optional
        Settings of all roles that replace or extend `SHORT_TIMEOUTS`.
    """

    def __init__(
        self,
        entries: int = 3,
        targets: int = 2,
        agent_processes: bool = True,
        settings: dict | None = None,
    ) -> None:
        self.settings = SHORT_TIMEOUTS | (settings or {})
        self.folder = TemporaryDirectory()
        self.client = HttpClient()
        self.entries: list[Entry] = []
        self.agents: dict[str, object] = {}
        self.targets = [StandInTarget(f"r{number}", ZONES[number % 2]) for number in range(targets)]
        self.control = None
        self.control_address = ""
        self._entry_count = entries
        self._link_ports: dict[str, int] = {}
        self._agent_processes = agent_processes
        self._renewals: asyncio.Task | None = None

    async def __aenter__(self) -> "System":
        await self.start_control()
        for number in range(self._entry_count):
            await self.start_entry(f"entry-{number}", ZONES[number % 2])
        await self.wait_until(lambda: self.has_view(self._entry_count))
        await self.put_document()
        for target in self.targets:
            target.address = await target.server.listen("127.0.0.1", 0)
            if self._agent_processes:
                await self.start_agent(target)
        if not self._agent_processes:
            self._renewals = asyncio.ensure_future(self._announce_forever())
        await self.wait_until(lambda: all(self.has_agents(entry) for entry in self.entries))
        return self

    async def __aexit__(self, *exc) -> None:
        if self._renewals is not None:
            self._renewals.cancel()
        roles = [entry.application for entry in self.entries] + list(self.agents.values())
        for entry in self.entries:
            entry.settings = Settings(self.settings | {"entry.finish_ms": 0})
        await asyncio.gather(*(self.kill(role) for role in roles), return_exceptions=True)
        await self.kill(self.control)
        for target in self.targets:
            target.gate.set()
            await target.server.stop(0)
        await self.client.close()
        self.folder.cleanup()

    async def start_control(self) -> None:
        port = self.control_address.rpartition(":")[2] or str(find_free_port())
        self.control_address = f"127.0.0.1:{port}"
        values = self.settings | {
            "control.name": "control-1",
            "control.listen": self.control_address,
            "control.peers": [f"control-1={self.control_address}"],
            "control.data_folder": str(Path(self.folder.name) / "control"),
            "control.environment": "trial",
        }
        self.control = make_control(Settings(values))
        await self.control.start()

    async def start_entry(self, name: str, zone: str) -> Entry:
        port = self._link_ports.setdefault(name, find_free_port())
        values = self.settings | {
            "entry.name": name,
            "entry.zone": zone,
            "entry.environment": "trial",
            "entry.listen": "127.0.0.1:0",
            "entry.link_listen": f"127.0.0.1:{port}",
            "entry.operators_listen": "127.0.0.1:0",
            "control.addresses": [self.control_address],
        }
        entry = Entry(Settings(values))
        await entry.application.start()
        self.entries.append(entry)
        return entry

    async def start_agent(self, target: StandInTarget) -> None:
        values = self.settings | {
            "agent.target": target.name,
            "agent.target_address": target.address,
            "agent.zone": target.zone,
            "agent.environment": "trial",
            "agent.entries": [entry.endpoint.identity.address for entry in self.entries],
        }
        agent = make_agent(Settings(values))
        await agent.start()
        self.agents[target.name] = agent

    async def kill(self, application) -> None:
        """End a role as a crash would: its sockets close without a planned stop or a message."""
        owner = next((e for e in self.entries if e.application is application), None)
        if owner is not None:
            await kill_entry(owner)
            return
        for hook in reversed(application._stop_hooks):
            try:
                async with asyncio.timeout(2):
                    await hook()
            except TimeoutError:
                continue

    def has_view(self, members: int) -> bool:
        views = [entry.succession.view for entry in self.entries]
        ready = all(entry.succession.is_ready() for entry in self.entries)
        return ready and all(len(view.members) == members for view in views)

    def has_agents(self, entry: Entry) -> bool:
        states = [entry.agents.find_by_target(target.name) for target in self.targets]
        return all(state is not None and state.link and state.accepting for state in states)

    async def put_document(self) -> None:
        targets = "".join(TARGET.format(name=t.name, zone=t.zone) for t in self.targets)
        text = DOCUMENT.format(targets=targets).encode()
        put = PutDocument(text, hashlib.sha256(text).digest(), True)
        await self.propose("document", put_document=put)
        await self.wait_until(lambda: all(e.relay.effective.services for e in self.entries))

    async def set_zone(self, zone: str, in_service: bool, request_id: str) -> int:
        state = SetZoneState(zone, in_service)
        return await self.propose(request_id, set_zone_state=state)

    async def set_leaving(self, target: str, request_id: str) -> int:
        return await self.propose(request_id, set_target_state=SetTargetState(target, True))

    async def propose(self, request_id: str, **change) -> int:
        for _ in range(100):
            reply = await self.entries[-1].control.propose(
                Command(request_id, "operator", 1, **change)
            )
            if isinstance(reply, Success) and reply.unwrap().accepted:
                return reply.unwrap().version
            await asyncio.sleep(0.05)
        raise AssertionError(reply)

    async def submit(
        self, entry: Entry, submission: str, bodies: list[dict], deadline_ms=20_000, **more
    ) -> tuple[int, dict]:
        tasks = [{"body": orjson.dumps(body).decode()} for body in bodies]
        value = {
            "submission": submission,
            "caller": "natal",
            "service": "booking:Repair",
            "deadline_ms": deadline_ms,
            "tasks": tasks,
        }
        return await self.call(entry, "POST", "/v1/jobs", orjson.dumps(value | more))

    async def call(self, entry: Entry, method: str, path: str, body: bytes = b"") -> tuple:
        reply = await self.client.request(method, entry.address, path, body, (), 30_000)
        if not isinstance(reply, Success):
            return 0, {"error": {"kind": reply.failure().kind}}
        response = reply.unwrap()
        return response.status, orjson.loads(response.body) if response.body else {}

    def starts(self) -> Counter[str]:
        """Return how often each task was started, over all targets."""
        total: Counter[str] = Counter()
        for target in self.targets:
            total.update(target.starts)
        return total

    async def wait_until(self, condition, timeout_s: float = 20.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def _announce_forever(self) -> None:
        while True:
            for target in self.targets:
                value = {"name": target.name, "address": target.address, "lease_ms": 5_000}
                value |= {"slots": 8, "connections": 64}
                for entry in self.entries:
                    status, _ = await self.call(entry, "POST", "/v1/targets", orjson.dumps(value))
                    if status == 200:
                        break
            await asyncio.sleep(0.2)


async def kill_entry(entry: Entry) -> None:
    """Close an entry's sockets and cancel its tasks at once, as a crash would."""
    entry.ready = False
    for running in entry.hosting._running.values():
        await running.agent._endpoint.stop()
    entry.hosting.stopping = True
    await entry.endpoint.stop()
    await entry.server.stop(0)
    await entry.dispatcher.stop()
    for task in list(entry.application._tasks):
        task.cancel()


def find_free_port() -> int:
    """Return a port that was free when it was looked up; another process may take it."""
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def cut_off(entry: Entry) -> None:
    """Close all links of an entry and of the agents that it hosts, and refuse new ones."""
    for endpoint in _endpoints(entry):
        endpoint.cut_addresses = endpoint.dialed()
        endpoint.dial = lambda address: None
        for address in endpoint.cut_addresses:
            endpoint.undial(address)
        endpoint.open_links.max_links = 0
        for link in list(endpoint.links.values()):
            link.close()


def reconnect(entry: Entry) -> None:
    """Let an entry dial and accept links again after `cut_off`."""
    for endpoint in _endpoints(entry):
        del endpoint.dial
        endpoint.open_links.max_links = 1_000
        for address in endpoint.cut_addresses:
            endpoint.dial(address)


def _endpoints(entry: Entry) -> list:
    hosted = [running.agent._endpoint for running in entry.hosting._running.values()]
    return [entry.endpoint, *hosted]
