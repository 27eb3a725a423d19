"""A whole system for measuring: control, entries, agents and stand-in targets on loopback."""

import asyncio
import socket
from collections import Counter
from contextlib import ExitStack
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import orjson
from returns.result import Success

from apricotrail.clocks import monotonic_ms
from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.http import ClientLimits, HttpClient, Response
from apricotrail.measure._deployment import ENVIRONMENT, Deployment, write_document
from apricotrail.measure._figures import TargetCounts
from apricotrail.measure._roles import RoleRunner, RunningRole, make_process_runner, run_in_process
from apricotrail.measure._target import StandinTarget, make_standin_target

__all__ = ["MeasuredSystem", "start_system"]

START_MS = 60_000
POLL_MS = 100
CALL_MS = 5_000
CHANGE_MS = 20_000
CLIENT_CONNECTIONS = 4_096
TOKEN = "measure-operator-token"
_MS_PER_S = 1_000.0


class MeasuredSystem:
    """Control, entries, agents and targets of one run.

    Parameters
    ----------
    deployment : Deployment
        Size.
    folder : Path
        Folder for settings, logs and control's data.
    run_role : callable
        Starts one role.
    settings : dict
        Further settings of every role.

    Attributes
    ----------
    entries : dict of str to str
        Callers' address of each entry that was started, by name.
    targets : dict of str to StandinTarget
        Stand-in targets by id.
    roles : dict of str to RunningRole
        Running roles by name.
    """

    def __init__(
        self, deployment: Deployment, folder: Path, run_role: RoleRunner, settings: dict
    ) -> None:
        self.deployment = deployment
        self.client = HttpClient(ClientLimits(connections=CLIENT_CONNECTIONS))
        self.entries: dict[str, str] = {}
        self.targets: dict[str, StandinTarget] = {}
        self.roles: dict[str, RunningRole] = {}
        self._folder = folder
        self._run_role = run_role
        self._settings = settings
        self._values: dict[str, tuple[str, dict]] = {}
        self._operators: dict[str, str] = {}
        self._requests = count(1)

    async def start(self) -> None:
        """Start everything and wait until every target can be used."""
        token_file = self._folder / "operators.token"
        token_file.write_text(TOKEN + "\n")
        deployment = self.deployment
        ports = find_free_ports(deployment.replicas + 3 * deployment.entries)
        peers = self._plan_control(ports)
        self._plan_entries(ports, list(peers.values()), token_file)
        for name in list(self._values):
            await self.start_role(name)
        await self._wait_until(self._is_ready, "entries to be ready")
        await self._put_document()
        await self._start_targets()
        await self._wait_until(self._sees_targets, "targets to be seen by every entry")

    async def start_role(self, name: str) -> None:
        """Start a planned role, or start it again after it was stopped or killed."""
        role, values = self._values[name]
        self.roles[name] = await self._run_role(role, name, values)

    async def stop(self) -> None:
        """Stop agents, then entries, then control, then the targets."""
        for role in ("agent", "entry", "control"):
            names = [name for name in self.roles if self._values[name][0] == role]
            stops = (self.roles.pop(name).stop() for name in names)
            await asyncio.gather(*stops, return_exceptions=True)
        for target in self.targets.values():
            await target.crash()
        await self.client.close()

    async def kill(self, name: str) -> None:
        """End a role without a planned stop."""
        await self.roles.pop(name).kill()

    async def set_zone(self, zone: str, in_service: bool) -> float:
        """Take a zone out or bring it back; returns the answer time in ms."""
        began_ms = monotonic_ms()
        word = "in" if in_service else "out"
        await self._operate("POST", f"/v1/admin/zones/{zone}/{word}")
        return monotonic_ms() - began_ms

    async def read_metrics(self) -> Counter[str]:
        """Return the sum of every counter over all entries that answer, by name and labels."""
        total: Counter[str] = Counter()
        for address in self.entries.values():
            reply = await self.client.request("GET", address, "/metrics", timeout_ms=CALL_MS)
            if isinstance(reply, Success):
                total.update(parse_metrics(reply.unwrap().body.decode()))
        return total

    def counts(self) -> TargetCounts:
        """Return what the stand-in targets counted."""
        starts: Counter[tuple[str, int]] = Counter()
        for target in self.targets.values():
            starts.update(target.starts)
        work_ms = sum(target.work_ms for target in self.targets.values())
        return TargetCounts(
            starts,
            work_ms,
            work_ms,
            sum(target.starts_out_of_service for target in self.targets.values()),
        )

    def _plan_control(self, ports: list[int]) -> dict[str, str]:
        names = [f"control-{number}" for number in range(1, self.deployment.replicas + 1)]
        peers = {name: f"127.0.0.1:{ports.pop()}" for name in names}
        for number, (name, address) in enumerate(peers.items()):
            self._values[name] = (
                "control",
                self._settings
                | {
                    "control.name": name,
                    "control.zone": self._zone(number),
                    "control.environment": ENVIRONMENT,
                    "control.listen": address,
                    "control.peers": [f"{name}={address}" for name, address in peers.items()],
                    "control.data_folder": str(self._folder / name),
                },
            )
        return peers

    def _plan_entries(self, ports: list[int], control: list[str], token_file: Path) -> None:
        for number in range(self.deployment.entries):
            name = f"entry-{number + 1}"
            callers, operators, links = (f"127.0.0.1:{ports.pop()}" for _ in range(3))
            self.entries[name] = callers
            self._operators[name] = operators
            self._values[name] = (
                "entry",
                self._settings
                | {
                    "entry.name": name,
                    "entry.zone": self._zone(number),
                    "entry.environment": ENVIRONMENT,
                    "entry.listen": callers,
                    "entry.operators_listen": operators,
                    "entry.link_listen": links,
                    "control.addresses": control,
                    "operators.token_file": str(token_file),
                },
            )

    async def _start_targets(self) -> None:
        links = [
            values["entry.link_listen"] for role, values in self._values.values() if role == "entry"
        ]
        for place in self.deployment.places():
            target = make_standin_target(place.target, place.zone, self.deployment.slots)
            self.targets[place.target] = target
            await target.listen()
            name = f"agent-{place.target}"
            self._values[name] = (
                "agent",
                self._settings
                | {
                    "agent.target": place.target,
                    "agent.target_address": target.address,
                    "agent.slots": self.deployment.slots,
                    "agent.connections": self.deployment.connections,
                    "agent.zone": place.zone,
                    "agent.environment": ENVIRONMENT,
                    "agent.entries": links,
                },
            )
            await self.start_role(name)

    async def _put_document(self) -> None:
        text = write_document(self.deployment).encode()
        await self._operate("POST", "/v1/admin/documents/try", text)

    async def _operate(self, method: str, path: str, body: bytes = b"") -> Response:
        """Send an operator's call to an entry; a change keeps its id when sent again."""
        request_id = f"measure-{next(self._requests)}"
        headers = (
            ("Authorization", f"Bearer {TOKEN}"),
            ("Apricotrail-Request-Id", request_id),
            ("Apricotrail-Author", "measure"),
        )
        problem = "no entry answered"
        deadline_ms = monotonic_ms() + START_MS
        while monotonic_ms() < deadline_ms:
            for address in self._operators.values():
                reply = await self.client.request(method, address, path, body, headers, CHANGE_MS)
                if isinstance(reply, Success) and reply.unwrap().status < 300:
                    return reply.unwrap()
                problem = str(reply)
            await asyncio.sleep(POLL_MS / _MS_PER_S)
        remedy = "See the log files of the roles."
        raise ApricotrailError(Problem(ErrorKind.UNREACHABLE, f"{path}: {problem}", remedy))

    async def _is_ready(self) -> bool:
        for address in self.entries.values():
            reply = await self.client.request("GET", address, "/readyz", timeout_ms=CALL_MS)
            if not isinstance(reply, Success) or reply.unwrap().status != 200:
                return False
        return True

    async def _sees_targets(self) -> bool:
        headers = (("Authorization", f"Bearer {TOKEN}"),)
        for address in self._operators.values():
            reply = await self.client.request(
                "GET", address, "/v1/admin/status", b"", headers, CALL_MS
            )
            if not isinstance(reply, Success) or reply.unwrap().status != 200:
                return False
            if orjson.loads(reply.unwrap().body)["live_targets"] < self.deployment.targets:
                return False
        metrics = await self.read_metrics()
        wanted = self.deployment.entries * self.deployment.all_slots()
        return sum_series(metrics, "apricotrail_slots") >= wanted

    async def _wait_until(self, condition, what: str) -> None:
        deadline_ms = monotonic_ms() + START_MS
        while not await condition():
            if monotonic_ms() > deadline_ms:
                remedy = "See the log files of the roles."
                raise ApricotrailError(
                    Problem(ErrorKind.NOT_READY, f"Waited in vain for {what}.", remedy)
                )
            await asyncio.sleep(POLL_MS / _MS_PER_S)

    def _zone(self, number: int) -> str:
        return self.deployment.zones[number % len(self.deployment.zones)]


async def start_system(
    deployment: Deployment,
    resources: ExitStack,
    processes: bool = True,
    settings: dict | None = None,
    folder: Path | None = None,
) -> MeasuredSystem:
    """Start a whole system on loopback with ports chosen free.

    Parameters
    ----------
    deployment : Deployment
        Size.
    resources : ExitStack
        Owns the folder of the system.
    processes : bool
        Whether every role is a process of its own.
    settings : dict, optional
        Further settings of every role, by dotted name.
    folder : Path, optional
        Folder for settings, logs and data; by default a temporary one.

    Raises
    ------
    ApricotrailError
        If the system does not come up in time.
    """
    if folder is None:
        folder = Path(resources.enter_context(TemporaryDirectory(prefix="apricotrail-")))
    folder.mkdir(parents=True, exist_ok=True)
    run_role = make_process_runner(folder) if processes else run_in_process
    system = MeasuredSystem(deployment, folder, run_role, settings or {})
    try:
        await system.start()
    except BaseException:
        await system.stop()
        raise
    return system


def find_free_ports(number: int) -> list[int]:
    """Return ports that were free a moment ago, in random order."""
    probes = [socket.socket() for _ in range(number)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        ports = [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()
    Random(ports[0]).shuffle(ports)
    return ports


def parse_metrics(text: str) -> dict[str, float]:
    """Return the samples of a metrics text by name and labels.

    Examples
    --------
    >>> parse_metrics('# TYPE a counter\\na_total{kind="x"} 3\\n')
    {'a_total{kind="x"}': 3.0}
    """
    samples = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if name and not line.startswith("#"):
            samples[name] = float(value)
    return samples


def sum_series(metrics: dict[str, float], name: str) -> float:
    """Return the sum of all samples of one name, over its labels."""
    return sum(value for key, value in metrics.items() if key.partition("{")[0] == name)
