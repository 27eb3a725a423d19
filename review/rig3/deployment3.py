"""A small deployment of the project's own programs on loopback addresses, with its record.

Three `front` machines in three zones run an entry and a control replica each, some `side` machines
an agent each beside a stand-in runner. The commands are those of the deploy file, started at the
root of the repository with ``target/deps`` on Python's path.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from http3 import Answer, request
from runner3 import Runner, RunnerKind

__all__ = [
    "BROKEN",
    "CANNOT_RUN",
    "HELD",
    "MEMORY_MB",
    "Deployment",
    "Queue",
    "has_trouble",
    "run_case",
]

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
ROOT = Path(__file__).resolve().parents[2]
ZONES = ("barranca", "puerto-berrio", "la-dorada")
REGION = "magdalena"
METRICS_PORTS = (9_401, 9_402, 9_403)
PORTS_OF_RANGE = 16
LIMIT_S = 112.0
MEMORY_MB = 300  # of each process on a machine of class front
BOUNDS = {
    "seedLagS": 3,
    "reuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "syncS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "applyMs": 2000,
    "rollbackSlackMs": 250,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 1000,
    "stopTimeoutMs": 50,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "resendMs": 1300,
}


class Queue(NamedTuple):
    """A route of the desired state and where clients reach it."""

    name: str
    host: str
    prefix: str
    service: str = "despacho"


class _Ports(NamedTuple):
    front: int
    ready: int
    control: int
    app: int
    first: int


class Deployment:
    """The programs and runners of one case, and the record of what was sent, answered and run.

    Parameters
    ----------
    record : Path
        File for the record.
    kinds : list of RunnerKind
        One `side` machine for each.
    """

    def __init__(self, record: Path, kinds: list[RunnerKind]) -> None:
        self._record = record.open("w")
        self._zero_s = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.folder = Path(tempfile.mkdtemp(prefix="apricotrail-"))
        self._ips, self._ports = _find_free_addresses(len(ZONES) + len(kinds))
        self._commands = _read_commands()
        self.processes: dict[tuple[int, str], asyncio.subprocess.Process] = {}
        self.fronts = list(range(len(ZONES)))
        self.sides = [len(ZONES) + number for number in range(len(kinds))]
        self.runners = [
            Runner(
                f"i-{number + 1}",
                f"{self._ips[machine]}:{self._ports.app}",
                f"{self._ips[machine]}:{self._ports.control}",
                ZONES[number % len(ZONES)],
                "despacho",
                kinds[number],
                self.note,
            )
            for number, machine in enumerate(self.sides)
        ]
        self._is_first_start = True

    # ---- record ----

    def now_s(self) -> float:
        """Return the seconds since the beginning of the case."""
        return time.monotonic() - self._zero_s

    def note(self, event: str, **fields: Any) -> None:
        """Write a line of the record."""
        line = {"s": round(self.now_s(), 3), "event": event, **fields}
        self.events.append(line)
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()

    def list_events(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of the record about an event."""
        return [line for line in self.events if line["event"] == event]

    # ---- programs ----

    async def start(self) -> None:
        """Start all programs and runners."""
        for machine in self.fronts:
            await self.start_program(machine, "control")
            await self.start_program(machine, "entry")
        for machine in self.sides:
            await self.start_program(machine, "agent")
        for runner in self.runners:
            await runner.start()
        self._is_first_start = False

    async def start_program(self, machine: int, role: str) -> None:
        """Start a program of a machine with the command of the deploy file."""
        path = self.folder / f"{machine}-{role}.toml"
        path.write_text(self._format_settings(machine, role))
        environment = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["APRICOTRAIL_SETTINGS"] = str(path)
        with (self.folder / f"{machine}-{role}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *self._commands[role],
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes[machine, role] = process
        self.note("program_started", machine=machine, role=role)

    def signal(self, machine: int, role: str, number: signal.Signals) -> None:
        """Send a signal to a program that this deployment started."""
        self.note("signal", machine=machine, role=role, signal=number.name)
        self.processes[machine, role].send_signal(number)

    async def stop(self) -> None:
        """End all that was started and remove the temporary folder."""
        for runner in self.runners:
            await runner.crash()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in self.processes.values()))
        await asyncio.sleep(0.05)
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    # ---- callers ----

    def entry(self, front: int) -> str:
        """Return the address of an entry for callers."""
        return f"{self._ips[front]}:{self._ports.front}"

    def control(self, front: int) -> str:
        """Return the address of a control replica for operators."""
        return f"{self._ips[front]}:{self._ports.control}"

    async def is_ready(self, front: int) -> bool:
        """Return whether an entry says that it is ready."""
        address = f"{self._ips[front]}:{self._ports.ready}"
        return (await request("GET", address, "/apricotrail/readiness")).status == 200

    async def put_state(self, version: int, queues: list[Queue], timeout_ms: int) -> bool:
        """Send a desired state, again and again as an operator does; return if it was accepted."""
        state = {
            "version": version,
            "routes": [
                {
                    "name": queue.name,
                    "host": queue.host,
                    "prefix": queue.prefix,
                    "type": "non_idempotent",
                    "timeoutMs": timeout_ms,
                    "sloMs": 60,
                    "priority": 0,
                    "service": queue.service,
                    "attempts": 4,
                    "slackFactor": 1.6,
                }
                for queue in queues
            ],
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 64, "admissionControl": False}
                for name in sorted({queue.service for queue in queues})
            ],
            "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000},
        }
        for attempt in range(60):
            front = self.fronts[attempt % len(self.fronts)]
            answer = await request("PUT", self.control(front), "/apricotrail/config", state)
            self.note("state_put", version=version, front=front, status=answer.status)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def wait_until_ready(self, settle_s: float = 4.0) -> bool:
        """Wait until all entries are ready, and then for some beats of the runners."""
        for _ in range(60):
            if all([await self.is_ready(front) for front in self.fronts]):
                await asyncio.sleep(settle_s)
                self.note("ready")
                return True
            await asyncio.sleep(0.25)
        return False

    async def submit(
        self, front: int, queue: Queue, job: str, body: dict[str, Any], wait_ms: int
    ) -> Answer:
        """Hand a job in at an entry and wait for its answer for at most `wait_ms`."""
        headers = {"Host": queue.host, "Apricotrail-Deadline-Ms": str(wait_ms)}
        self.note("submitted", job=job, front=front, queue=queue.name, wait_ms=wait_ms)
        path = queue.prefix + job
        answer = await request("POST", self.entry(front), path, body, headers, wait_ms / 1_000)
        state = answer.json().get("state", "") if answer.status == 200 else ""
        self.note("answered", job=job, status=answer.status, state=state, reason=answer.reason)
        return answer

    # ---- internals ----

    def _format_settings(self, machine: int, role: str) -> str:
        ip, ports = self._ips[machine], self._ports
        is_front = machine in self.fronts
        number = machine if is_front else machine - len(self.fronts)
        zone = ZONES[number % len(ZONES)]
        kind = "front" if is_front else "side"
        serves = {"entry": ["front"], "control": ["control"], "agent": ["side"]}[role]
        seeds = [f"{self._ips[front]}:{ports.control}" for front in self.fronts]
        lines = [
            f'node = "{kind}-{zone}-{number // len(ZONES) + 1}"',
            f'role = "{role}"',
            f'machineClass = "{kind}"',
            f"serves = {json.dumps(serves)}",
            f'ip = "{ip}"',
            f'zone = "{zone}"',
            f'region = "{REGION}"',
            f"portRange = [{ports.first},{ports.first + PORTS_OF_RANGE - 1}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(self._is_first_start)}",
            f"countsLoss = {json.dumps(is_front)}",
            'discovery = "local"',
            'entry = "vip"',
            "heartbeatMs = 1500",
            'config_mode = "highest"',
            'controlMode = "call"',
        ]
        if role == "control":
            data = self.folder / f"disk-{machine}"
            lines.append(f'dataDir = "{data}"')
        if role == "agent":
            lines += [f'app = "{ip}:{ports.app}"', 'service = "despacho"']
        lines += ["[zones]", *(f'{name} = "{REGION}"' for name in ZONES), "[bindAddrs]"]
        if role == "entry":
            lines += [f'front = "{ip}:{ports.front}"', f'ready = "{ip}:{ports.ready}"']
        else:
            lines.append(f'control = "{ip}:{ports.control}"')
        lines += ["[limits]", f"memoryMb = {MEMORY_MB if is_front else 168}", "maxFds = 4100"]
        lines += ["[faultTolerance]", "machines = 1", "zones = 1", "regions = 0", "[bounds]"]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        return "\n".join(lines) + "\n"


def has_trouble() -> bool:
    """Return whether the disruption takes place; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Any, folder: Path, kinds: list[RunnerKind], starts_all: bool = True) -> None:
    """Run a case on a new deployment and exit with its result.

    ``case(deployment)`` returns `HELD`, `BROKEN` or `CANNOT_RUN`.
    """

    async def run() -> int:
        deployment = Deployment(folder / "record.txt", kinds)
        result = CANNOT_RUN
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                deployment.note("begun", trouble=has_trouble())
                if starts_all:
                    await deployment.start()
                result = await case(deployment)
        except TimeoutError:
            deployment.note("out_of_time")
        except asyncio.CancelledError:
            deployment.note("told_to_stop")
        except Exception as error:
            # An error of the script must not look like a broken rule.
            deployment.note("script_failed", error=repr(error))
        finally:
            deployment.note("result", exit=result)
            await deployment.stop()
        return result

    try:
        code = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = CANNOT_RUN
    sys.exit(code)


def _read_commands() -> dict[str, list[str]]:
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    return {name: role["run"].split(" ") for name, role in roles.items()}


def _find_free_addresses(count: int) -> tuple[list[str], _Ports]:
    """Return a loopback address for each machine, and ports that are free at all of them."""
    for _ in range(50):
        block = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        ips = [f"{block}.{10 + number}" for number in range(count)]
        first = random.randrange(20_000, 30_000, PORTS_OF_RANGE)
        ports = _Ports(first + 100, first + 101, first + 102, first + 103, first)
        wanted = [*ports[:4], *range(first, first + PORTS_OF_RANGE), *METRICS_PORTS]
        if all(_is_free(ip, port) for ip in ips for port in wanted):
            return ips, ports
    raise OSError("no free loopback addresses")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
