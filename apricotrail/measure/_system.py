"""A whole system for measuring: control, entries, agents and stand-in targets on loopback."""

import asyncio
from collections import Counter
from contextlib import ExitStack
from itertools import count
from math import inf
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

import orjson
from returns.result import Success

from apricotrail.clocks import monotonic_ms
from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.http import ClientLimits, HttpClient, Response
from apricotrail.measure._announcing import announce_forever
from apricotrail.measure._counters import parse_metrics, sum_series
from apricotrail.measure._deployment import Deployment, write_document
from apricotrail.measure._figures import TargetCounts
from apricotrail.measure._plans import (
    RolePlan,
    find_free_ports,
    plan_agent,
    plan_control,
    plan_entries,
)
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


class ZoneChange(NamedTuple):
    """An operator's change of a zone: its id, new state and the moment it was asked for in ms."""

    zone: str
    in_service: bool
    at_ms: float


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
    hosted : bool
        Whether entries host the agents; otherwise each target has an agent process beside it.

    Attributes
    ----------
    entries : dict of str to str
        Callers' address of each entry that was started, by name.
    targets : dict of str to StandinTarget
        Stand-in targets by id.
    roles : dict of str to RunningRole
        Running roles by name.
    zone_changes : list of ZoneChange
        Changes asked for by `set_zone`.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        run_role: RoleRunner,
        settings: dict,
        hosted: bool = False,
    ) -> None:
        self.deployment = deployment
        self.client = HttpClient(ClientLimits(connections=CLIENT_CONNECTIONS))
        self.entries: dict[str, str] = {}
        self.targets: dict[str, StandinTarget] = {}
        self.roles: dict[str, RunningRole] = {}
        self.zone_changes: list[ZoneChange] = []
        self._folder = folder
        self._run_role = run_role
        self._settings = settings
        self._plans: dict[str, RolePlan] = {}
        self._operators: dict[str, str] = {}
        self._requests = count(1)
        self._hosted = hosted
        self._announcing: asyncio.Task | None = None

    async def start(self) -> None:
        """Start everything and wait until every target can be used."""
        token_file = self._folder / "operators.token"
        token_file.write_text(TOKEN + "\n")
        deployment = self.deployment
        ports = find_free_ports(deployment.replicas + 3 * deployment.entries)
        self._plans |= plan_control(deployment, self._folder, ports)
        self._plans |= plan_entries(deployment, token_file, ports, self._plans)
        for name, plan in self._plans.items():
            if plan.role == "entry":
                self.entries[name] = plan.values["entry.listen"]
                self._operators[name] = plan.values["entry.operators_listen"]
            await self.start_role(name)
        await self._wait_until(self._is_ready, "entries to be ready")
        await self._put_document()
        await self._start_targets()
        await self._wait_until(self._sees_targets, "targets to be seen by every entry")

    async def start_role(self, name: str) -> None:
        """Start a planned role, or start it again after it was stopped or killed.

        A system with hosted agents has no plan for them; nothing happens then.
        """
        plan = self._plans.get(name)
        if plan is None:
            return
        values = plan.values | self._settings
        self.roles[name] = await self._run_role(plan.role, name, values)

    async def stop(self) -> None:
        """Stop agents, then entries, then control, then the targets."""
        if self._announcing is not None:
            self._announcing.cancel()
        for role in ("agent", "entry", "control"):
            names = [name for name in self.roles if self._plans[name].role == role]
            stops = (self.roles.pop(name).stop() for name in names)
            await asyncio.gather(*stops, return_exceptions=True)
        for target in self.targets.values():
            await target.crash()
        await self.client.close()

    async def kill(self, name: str) -> None:
        """End a role without a planned stop; a role that does not run is left alone."""
        role = self.roles.pop(name, None)
        if role is not None:
            await role.kill()

    async def set_zone(self, zone: str, in_service: bool) -> float:
        """Take a zone out or bring it back; returns the answer time in ms."""
        began_ms = monotonic_ms()
        self.zone_changes.append(ZoneChange(zone, in_service, began_ms))
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

    def longest_zone_delays_ms(self) -> tuple[float, float]:
        """Return the longest times from a change of a zone to its effect, 0 without a change.

        The first is from taking a zone out to the last start in it, the second from bringing it
        back until each of its targets has started a task again.
        """
        last_starts, first_starts = [0.0], [0.0]
        for number, (zone, in_service, at_ms) in enumerate(self.zone_changes):
            later = [change.at_ms for change in self.zone_changes[number + 1 :]]
            until_ms = later[0] if later else inf
            for target in self.targets.values():
                if target.zone != zone:
                    continue
                delays = [ms - at_ms for ms in target.start_times_ms if at_ms <= ms < until_ms]
                if in_service:
                    first_starts.append(delays[0] if delays else inf)
                elif delays:
                    last_starts.append(delays[-1])
        return max(last_starts), max(first_starts)

    async def _start_targets(self) -> None:
        for place in self.deployment.places():
            target = make_standin_target(place.target, place.zone, self.deployment.slots)
            self.targets[place.target] = target
            address = await target.listen()
            if self._hosted:
                continue
            name = f"agent-{place.target}"
            self._plans[name] = plan_agent(self.deployment, place, address, self._plans)
            await self.start_role(name)
        if self._hosted:
            self._announcing = asyncio.ensure_future(
                announce_forever(self.client, self.targets, self.entries, self.deployment)
            )

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


async def start_system(
    deployment: Deployment,
    resources: ExitStack,
    processes: bool = True,
    settings: dict | None = None,
    folder: Path | None = None,
    hosted: bool = False,
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
    hosted : bool
        Whether entries host the agents of the targets.

    Raises
    ------
    ApricotrailError
        If the system does not come up in time.
    """
    if folder is None:
        folder = Path(resources.enter_context(TemporaryDirectory(prefix="apricotrail-")))
    folder.mkdir(parents=True, exist_ok=True)
    run_role = make_process_runner(folder) if processes else run_in_process
    system = MeasuredSystem(deployment, folder, run_role, settings or {}, hosted)
    try:
        await system.start()
    except BaseException:
        await system.stop()
        raise
    return system
