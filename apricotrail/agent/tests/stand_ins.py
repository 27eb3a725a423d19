"""Stand-ins for a target, an entry and a lossy network, and a running agent between them."""

import asyncio

import orjson

from apricotrail.agent import make_hosted_agent
from apricotrail.http import HttpServer, Request, Response, Router
from apricotrail.settings import Settings
from apricotrail.wire import KeyRing, LinkEndpoint
from apricotrail.wire.generated import ttypes

FAST = {
    "link.heartbeat_ms": 20,
    "link.silent_ms": 400,
    "link.redial_ms": 5,
    "agent.tick_ms": 10,
    "agent.stop_task_ms": 200,
    "agent.stop_deadline_ms": 5_000,
}
VIEW_MEMBERS = {"entry-a": 1, "entry-b": 1}
ITEMS = {
    "target/runner": {"names": {"shop": "runner-1"}, "service": "counter", "zone": "pipa"},
    "zone/pipa": {"names": {}},
    "service/counter": {"max_answer_bytes": 1_000},
}


async def wait_until(condition, timeout_s: float = 10.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.002)


class StandInTarget:
    """Target whose response is set by a task's body: ``{"hold", "status", "answer", "headers"}``.

    A task with ``hold`` runs until `release` is called for it.
    """

    def __init__(self) -> None:
        self.started: list[tuple[str, int]] = []
        self.stopped: list[tuple[str, int]] = []
        self.budgets_ms: list[int] = []
        self.address = ""
        self._released: dict[tuple[str, int], asyncio.Event] = {}
        router = Router()
        router.add("POST", "/tasks/{job}/{task}", self._run)
        router.add("DELETE", "/tasks/{job}/{task}", self._stop)
        self._server = HttpServer(router)

    async def start(self) -> None:
        self.address = await self._server.listen("127.0.0.1", 0)

    async def stop(self) -> None:
        await self._server.stop(0)

    def release(self, job: str, task: int) -> None:
        self._released.setdefault((job, task), asyncio.Event()).set()

    async def _run(self, request: Request, job: str, task: str) -> Response:
        key = (job, int(task))
        self.started.append(key)
        self.budgets_ms.append(int(request.headers["apricotrail-budget-ms"]))
        instructions = orjson.loads(request.body)
        if instructions.get("hold"):
            await self._released.setdefault(key, asyncio.Event()).wait()
        headers = tuple(instructions.get("headers", {}).items())
        answer = instructions.get("answer", "ok").encode()
        return Response(instructions.get("status", 200), answer, "text/plain", headers)

    def _stop(self, request: Request, job: str, task: str) -> Response:
        self.stopped.append((job, int(task)))
        return Response(204)


class StandInEntry:
    """An entry that serves a configuration to the agent and records what the agent sends."""

    def __init__(self, name: str = "entry-a", incarnation: int = 1) -> None:
        identity = ttypes.Identity(name, "entry", "pipa", incarnation, "")
        self.endpoint = LinkEndpoint(identity, "trial", KeyRing(None), Settings(FAST))
        self.name = name
        self.version, self.age_ms = 1, 0
        self.items = {key: orjson.dumps(value) for key, value in ITEMS.items()}
        self.served_versions: list[int] = []
        self.outcomes: list[ttypes.TaskOutcome] = []
        self.messages: list[ttypes.TaskOutcomes] = []
        self.offers: list[ttypes.SlotOffer] = []
        self.announcements: list[ttypes.Announcement] = []
        self.loads: list[ttypes.Load] = []
        self.address = ""
        endpoint = self.endpoint
        endpoint.make_heartbeat = lambda link: ttypes.Heartbeat(
            config_version=self.version, config_age_ms=self.age_ms
        )
        endpoint.receive_heartbeat = lambda link, heartbeat, heartbeat_sent_ms: self.loads.extend(
            heartbeat.loads or ()
        )
        endpoint.on(ttypes.ConfigurationRequest, lambda link, request: self._configuration())
        endpoint.on(ttypes.TaskOutcomes, self._receive_outcomes)
        endpoint.on(ttypes.SlotOffer, lambda link, offer: self.offers.append(offer))
        endpoint.on(
            ttypes.ShareAnnouncements,
            lambda link, message: self.announcements.extend(message.announcements),
        )

    async def start(self) -> None:
        self.address = await self.endpoint.listen("127.0.0.1", 0)
        self.set_view(self.address)
        self.endpoint.start()

    def set_view(self, address: str) -> None:
        """Set the entry view in the configuration; all its members have `address`."""
        incarnations = VIEW_MEMBERS | {self.name: self.endpoint.identity.incarnation}
        members = [
            {"name": name, "incarnation": incarnation, "zone": "pipa", "address": address}
            for name, incarnation in incarnations.items()
        ]
        self.items["view"] = orjson.dumps({"epoch": 1, "members": members})

    async def stop(self) -> None:
        await self.endpoint.stop()

    @property
    def link(self):
        return self.endpoint.links.get("agent:runner")

    def put_item(self, key: str, value: dict | None) -> None:
        self.version += 1
        self.items[key] = orjson.dumps(value)
        if self.link is not None:
            self.link.send(self._configuration())

    def start_tasks(self, job: str, *bodies: dict, **fields) -> ttypes.StartTasks:
        """Send one start message with the tasks 0, 1 and so on, and return it."""
        attempt, want = fields.pop("attempt", 1), fields.pop("want", 0)
        tasks = [
            ttypes.TaskStart(task, attempt, orjson.dumps(body)) for task, body in enumerate(bodies)
        ]
        message = ttypes.StartTasks(
            job=job,
            target=fields.pop("target", "runner"),
            owner=self.name,
            epoch=fields.pop("epoch", 1),
            agent_incarnation=fields.pop("agent_incarnation", self.link.peer.incarnation),
            budget_ms=fields.pop("budget_ms", 5_000),
            tasks=tasks,
            want=want,
        )
        assert not fields, fields
        assert self.link.send(message)
        return message

    def states(self) -> list[tuple[int, int, int]]:
        return [(o.task, o.state, o.reason) for o in self.outcomes]

    def _configuration(self) -> ttypes.ConfigurationChange:
        self.served_versions.append(self.version)
        items = [ttypes.ConfigurationItem(key, value) for key, value in self.items.items()]
        return ttypes.ConfigurationChange(0, self.version, items)

    def _receive_outcomes(self, link, message: ttypes.TaskOutcomes) -> None:
        self.messages.append(message)
        self.outcomes.extend(message.outcomes)


class LossyProxy:
    """Forwards bytes between agent and entry.

    Connections that exist when `discard` is called stay open but lose all bytes in one direction.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connections: list[dict] = []
        self._tasks: list[asyncio.Task] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def discard(self, direction: str) -> None:
        for connection in self._connections:
            connection["lost"].add(direction)

    async def _accept(self, reader, writer) -> None:
        host, port = self._address.split(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        connection = {"lost": set()}
        self._connections.append(connection)
        for direction, source, sink in (
            ("to_entry", reader, upstream_writer),
            ("to_agent", upstream_reader, writer),
        ):
            self._tasks.append(
                asyncio.create_task(self._forward(connection, direction, source, sink))
            )

    async def _forward(self, connection, direction, source, sink) -> None:
        try:
            while data := await source.read(65_536):
                if direction not in connection["lost"]:
                    sink.write(data)
        except ConnectionError:
            pass
        finally:
            sink.close()


class AgentSystem:
    """A target, its agent and its entries, connected over loopback."""

    def __init__(self, slots: int = 2, entries: int = 1, proxied: bool = False, **settings) -> None:
        self.proxy: LossyProxy | None = None
        self._proxied = proxied
        self.target = StandInTarget()
        self.entries = [StandInEntry(f"entry-{name}") for name in "abc"[:entries]]
        self.entry = self.entries[0]
        self.settings = Settings({**FAST, **settings})
        self.slots = slots
        self.first_start_after_ms = 0.0
        self.agent = None

    async def __aenter__(self) -> "AgentSystem":
        await self.target.start()
        for entry in self.entries:
            await entry.start()
        addresses = [entry.address for entry in self.entries]
        if self._proxied:
            self.proxy = LossyProxy(self.entry.address)
            addresses = [await self.proxy.start()]
            self.entry.set_view(addresses[0])
        announcement = ttypes.Announcement(
            "runner", self.target.address, self.slots, 16, 1, 6_000, False
        )
        self.agent = make_hosted_agent(
            self.settings,
            "runner",
            announcement,
            "trial",
            "pipa",
            addresses,
            self.first_start_after_ms,
        )
        await self.agent.start()
        await wait_until(self._is_ready)
        return self

    async def __aexit__(self, *exc) -> None:
        await self.agent.stop(0)
        for entry in self.entries:
            await entry.stop()
        if self.proxy is not None:
            await self.proxy.stop()
        await self.target.stop()

    def _is_ready(self) -> bool:
        if any(entry.link is None for entry in self.entries):
            return False
        return bool(self.entry.loads) and self.agent.agent.describe_load("x").accepting
