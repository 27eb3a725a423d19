"""Starts the real roles on loopback addresses, with stand-ins for clients, operator and runners.

Only the standard library is used. Each machine has a loopback address of its own in a block that
belongs to this process, so that the ports can be the same on all machines, as the pages say. The
ports are free ones, drawn at each start.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BLOCK = f"127.{40 + os.getpid() % 200}.{os.getpid() // 200 % 250}"  # loopback addresses
ZONES = ("natal", "pipa", "jeri")
METRICS = (9401, 9402, 9403)  # fixed by the roles, at the machine's own loopback address
SERVICE, HOST, PREFIX = "balcao", "nony24.example", "/lohu930/"
CONTACT_MS, APPLY_MS, EVACUATE_MS, CANCEL_MS, RESEND_MS = 3000, 2000, 5000, 3000, 1300
STOP_MS, MAX_HOLD_MS, PING_S = 50, 1000, 1.5
BOUNDS = {
    "seedLagS": 3,
    "reuseS": 2,
    "contactMs": CONTACT_MS,
    "ackMs": 4000,
    "syncS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "applyMs": APPLY_MS,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "evacuateMs": EVACUATE_MS,
    "recoveryS": 12,
    "maxHoldMs": MAX_HOLD_MS,
    "stopTimeoutMs": STOP_MS,
    "cancel_ms": CANCEL_MS,
    "visible_ms": 3000,
    "early_ms": 250,
    "leaseMs": 3000,
    "resendMs": RESEND_MS,
}


def choose_ports():
    """Return the ports that all machines use: front, ready, control, links (two) and runner."""
    for base in random.sample(range(20_000, 32_000, 8), 200):
        try:
            for port in range(base, base + 6):
                with socket.socket() as probe:
                    probe.bind((f"{BLOCK}.10", port))
        except OSError:
            continue
        return base, base + 1, base + 2, base + 3, base + 5
    raise SystemExit(2)


FRONT, READY, CONTROL, LINK, RUNNER = choose_ports()


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing."""


def now_ms() -> float:
    """Return the steady time in milliseconds."""
    return time.monotonic() * 1000


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_ms = now_ms()

    def write(self, what: str) -> None:
        """Write one line with the time since the start of the case."""
        self._file.write(f"{(now_ms() - self._start_ms) / 1000:9.3f} s  {what}\n")
        self._file.flush()

    def since_start_s(self, at_ms: float) -> float:
        """Return a steady time as seconds since the start of the case."""
        return (at_ms - self._start_ms) / 1000


async def call(address, method, path, body=b"", headers=(), timeout_s=1.0, sent=None):
    """Make one HTTP call on a new connection; return (status, body), or None without an answer.

    The connection is closed when the time is over, as a client does that waits no longer.
    """
    host, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if not any(name == "Host" for name, _ in headers):
                lines.append(f"Host: {host}:{port}")
            lines.append("Content-Type: application/json")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            if sent is not None:
                sent()
            return await _read_response(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def _read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split()[1])
    length = 0
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return status, await reader.readexactly(length)


class Runner:
    """A runner as the pages describe it: leases, stops, lists, generation numbers, pings.

    A spec ``run SECONDS`` is a task that ends `done` after that time. Runs are kept under their
    name and number; `log` gets (time, what, runner id, task, run).
    """

    def __init__(self, name, ip, zone, log):
        self.name, self.ip, self.zone, self.log = name, ip, zone, log
        self.service, self.cpu, self.mem = SERVICE, 16000, 32768
        self.state = "ready"
        self.leave_order = lambda path, fields: False  # whether an order gets no answer
        self.peers = [self]  # all runners, whose ends are logged before a start is
        self.left = None  # the last order that got none
        self._server = None
        self._tasks = []
        self._connections = set()
        self.boot(name)

    def boot(self, instance):
        """Begin a new life, which knows nothing of the former one."""
        self.instance = instance
        self.born = int(time.time() * 1000)
        self._zero_ms = now_ms()
        self._seq = self._token = self._number = 0
        self._lease_ms = 0.0
        self.running, self._highest, self._ended = {}, {}, []
        self._changed = asyncio.Event()

    def clock(self):
        """Return the runner's own steady clock in milliseconds."""
        return int(now_ms() - self._zero_ms) + 1000

    async def start(self):
        """Listen for calls of the own machine, watch leases and send pings."""
        self._server = await asyncio.start_server(self._serve, self.ip, RUNNER)
        self._tasks = [asyncio.ensure_future(it) for it in (self._watch(), self._ping_forever())]

    async def stop(self):
        """End."""
        for task in self._tasks:
            task.cancel()
        self._close()

    def _close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def crash(self, down_s, first=None):
        """Lose all runs and refuse calls; start again after `down_s`, under the same id.

        `first` is an order that was left unanswered; the new boot carries it out as it starts.
        """
        for task in self._tasks:
            task.cancel()
        for key in list(self.running):
            self.log.append((now_ms(), "crashed", self.instance, *key))
        self.running = {}
        self._close()
        await asyncio.sleep(down_s)
        self.boot(self.instance)
        if first is not None:
            await self._answer(*first)
        await self.start()

    def report(self):
        """Return what the runner says of itself in its next ping."""
        self._seq += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{RUNNER}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpus": 0},
            "labels": ["a", "r1-1"],
            "currentMs": self.clock(),
            "seq": self._seq,
            "born": self.born,
        }

    async def ping(self):
        """Send one ping to the role on the same machine."""
        body = json.dumps(self.report()).encode()
        path = f"/apricotrail/instances/{self.instance}"
        return await call((self.ip, CONTROL), "PUT", path, body)

    async def _ping_forever(self):
        while True:
            await self.ping()
            await asyncio.sleep(PING_S)

    async def _watch(self):
        while True:
            self._expire()
            await asyncio.sleep(0.005)

    def _expire(self):
        now = self.clock()
        if now >= self._lease_ms:
            for key in list(self.running):
                self._end(key, "lapsed")
            return
        for key, (_, end_ms) in list(self.running.items()):
            if now >= end_ms:
                self._end(key, "done")

    def _end(self, key, how):
        del self.running[key]
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        self._number += 1
        self._ended.append([self._number, *key, how, ""])
        self.log.append((now_ms(), how, self.instance, *key))
        self._changed.set()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split()
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.leave_order(path, json.loads(body or b"{}")):
                    self.left = (method, path, headers, body)
                    await reader.read()  # no answer; until the caller gives the channel up
                    return
                status, fields = await self._answer(method, path, headers, body)
                fields = {"currentMs": self.clock(), "born": self.born, **fields}
                text = json.dumps(fields).encode()
                start = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{start}Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, method, path, headers, body):
        self._expire()
        if method == "GET":
            return 200, {}
        if headers.get("apricotrail-expect-instance") not in (None, self.instance):
            return 421, {}
        fields = json.loads(body)
        if fields.get("fencingToken", 0) < self._token:
            return 409, {"reason": "fence"}
        self._token = fields.get("fencingToken", 0)
        if path.endswith("run-stop"):
            return self._stop(fields)
        self._extend(fields.get("deadlineMs") or 0)
        if path.endswith("run-start"):
            return self._start(fields)
        return await self._hold(fields)

    def _extend(self, deadline_ms):
        self._lease_ms = max(self._lease_ms, min(deadline_ms, self.clock() + MAX_HOLD_MS))

    def _start(self, fields):
        key = (fields["task"], fields["runId"])
        if key in self.running:
            return 200, {}
        if self._highest.get(key[0], 0) >= key[1]:
            return 409, {"reason": "old"}
        if self.clock() >= self._lease_ms:
            return 409, {"reason": "late"}
        for peer in self.peers:
            peer._expire()
        work_ms = float(fields["spec"].split()[1]) * 1000
        self.running[key] = (self.clock(), self.clock() + work_ms)
        self.log.append((now_ms(), "start", self.instance, *key))
        return 200, {}

    def _stop(self, fields):
        key = (fields["task"], fields["runId"])
        self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        if key in self.running:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self._end_stopped, key)
        return 200, {}

    def _end_stopped(self, key):
        if key in self.running:
            self._end(key, "stopped")

    async def _hold(self, fields):
        self._ended = [row for row in self._ended if row[0] > fields["lastSeen"]]
        if not self._ended and fields.get("waitMs"):
            self._changed.clear()
            try:
                async with asyncio.timeout(min(2000, fields["waitMs"]) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        rows = []
        for key, (start_ms, end_ms) in self.running.items():
            percent = int(100 * (self.clock() - start_ms) / (end_ms - start_ms))
            rows.append([*key, "", min(99, percent), 1600])
        return 200, {"running": rows, "ended": self._ended[:500]}


class Deployment:
    """A small deployment: `fronts` machines with entry and control, `sides` with an agent."""

    def __init__(self, record, fronts=3, sides=3):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="apricotrail-review-"))
        self.fronts = [
            {"name": f"front-{ZONES[n % 3]}-{n}", "zone": ZONES[n % 3], "ip": f"{BLOCK}.{10 + n}"}
            for n in range(fronts)
        ]
        self.sides = [
            {"name": f"side-{ZONES[n % 3]}-{n}", "zone": ZONES[n % 3], "ip": f"{BLOCK}.{60 + n}"}
            for n in range(sides)
        ]
        self.log = []
        self.runners = [
            Runner(f"i-{side['name']}", side["ip"], side["zone"], self.log) for side in self.sides
        ]
        for runner in self.runners:
            runner.peers = self.runners
        self.processes = {}
        self._killed = set()
        self.seeds = [f"{front['ip']}:{CONTROL}" for front in self.fronts[:3]]
        self.bootstrap = True

    async def start(self):
        """Start everything and wait until the desired state is in force and jobs are served."""
        for machine in (*self.fronts, *self.sides):
            self._check_ports(machine["ip"])
        for runner in self.runners:
            await runner.start()
        for front in self.fronts:
            await self.start_role(front, "control")
            await self.start_role(front, "entry")
        for side in self.sides:
            await self.start_role(side, "agent")
        self.bootstrap = False
        body = json.dumps(desired_state(1)).encode()
        status = await self.order("PUT", "/apricotrail/config", body, self.fronts, limit_s=25)
        if status != 200:
            raise CannotRunError("the first desired state was not accepted")
        for _ in range(200):
            ready = [
                await call((front["ip"], READY), "GET", "/apricotrail/readiness")
                for front in self.fronts
            ]
            if all(it is not None and it[0] == 200 for it in ready):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRunError("the entries did not become ready")
        await asyncio.sleep(CONTACT_MS / 1000)

    def _check_ports(self, ip):
        for port in (FRONT, READY, CONTROL, LINK, LINK + 1, RUNNER, *METRICS):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, port))
                except OSError as error:
                    raise CannotRunError(f"{ip}:{port} can't be used: {error}") from error

    async def start_role(self, machine, role):
        """Start one of the programs as the deploy file says."""
        path = self.folder / f"{machine['name']}-{role}.toml"
        path.write_text(self._settings(machine, role))
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (self.folder / f"{machine['name']}-{role}.log").open("ab") as log:
            self.processes[machine["name"], role] = await asyncio.create_subprocess_exec(
                *("python3", "-P", "-m", "apricotrail_platform", role),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **keep,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "APRICOTRAIL_SETTINGS": str(path),
                },
            )

    def signal(self, machine, number, roles=("entry", "control", "agent")):
        """Send a signal to the programs of a machine."""
        for role in roles:
            process = self.processes.get((machine["name"], role))
            if process is not None and process.returncode is None:
                process.send_signal(number)
                if number == signal.SIGKILL:
                    self._killed.add((machine["name"], role))
        self.record.write(f"{signal.Signals(number).name} to {machine['name']} {roles}")

    def check_alive(self):
        """Raise an error if a program ended that the case didn't kill: it says nothing then."""
        ended = [key for key, it in self.processes.items() if it.returncode is not None]
        if set(ended) - self._killed:
            raise CannotRunError(f"ended by themselves: {set(ended) - self._killed}")

    async def stop(self):
        """End every process that was started, and the stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for runner in self.runners:
            await runner.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def order(self, method, path, body, machines, limit_s=4.0):
        """Send an operator's order to `machines` in turn until one gives a clear answer.

        One second for an answer, then the next machine, with growing pauses, as the pages say.
        """
        end_ms, pause_s, n = now_ms() + limit_s * 1000, 0.05, 0
        while now_ms() < end_ms:
            machine = machines[n % len(machines)]
            n += 1
            answer = await call((machine["ip"], CONTROL), method, path, body)
            status = answer[0] if answer is not None else None
            self.record.write(f"operator: {method} {path} to {machine['name']}: {status}")
            if status is not None and (status < 300 or status in (400, 409, 412, 413, 422)):
                return status
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, 0.4)
        return None

    async def submit(self, front, job_id, work_s, count=1, steps=None, budget_ms=1500):
        """Hand a job in at one entry; return the status, or None without an answer."""
        return (await self.submit_whole(front, job_id, work_s, count, steps, budget_ms))[0]

    async def submit_whole(self, front, job_id, work_s, count=1, steps=None, budget_ms=1500):
        """Like `submit`; return status and body."""
        step = {"count": count, "cpu": 1600, "memMb": 64, "estimateMs": int(work_s * 1000)}
        job = {"spec": f"run {work_s}", "steps": steps or [step], "preemptible": True}
        headers = (("Host", HOST), ("Apricotrail-Deadline-Ms", str(budget_ms)))
        answer = await call(
            (front["ip"], FRONT),
            "POST",
            PREFIX + job_id,
            json.dumps(job).encode(),
            headers,
            budget_ms / 1000,
        )
        return answer if answer is not None else (None, b"")

    def _settings(self, machine, role):
        seeds = ",".join(f'"{seed}"' for seed in self.seeds)
        side = role == "agent"
        serves = {"entry": "front", "control": "control", "agent": "side"}[role]
        lines = [
            f'node = "{machine["name"]}"',
            f'role = "{role}"',
            f'machineClass = "{"side" if side else "front"}"',
            f'serves = ["{serves}"]',
            f'ip = "{machine["ip"]}"',
            f'zone = "{machine["zone"]}"',
            'region = "nordeste"',
            f"portRange = [{LINK},{LINK + 1}]",
            f"seeds = [{seeds}]",
            f"bootstrap = {str(self.bootstrap).lower()}",
            f"countsLoss = {str(not side).lower()}",
            'discovery = "local"',
            'entry = "vip"',
            "heartbeatMs = 1500",
            'config_mode = "highest"',
            'controlMode = "call"',
        ]
        if role == "control":
            disk = self.folder / f"{machine['name']}-disk"
            disk.mkdir(exist_ok=True)
            lines.append(f'dataDir = "{disk}"')
        if side:
            lines.append(f'app = "{machine["ip"]}:{RUNNER}"')
        lines.append("[zones]")
        lines += [f'{zone} = "nordeste"' for zone in ZONES]
        lines.append("[bindAddrs]")
        if role == "entry":
            lines += [
                f'front = "{machine["ip"]}:{FRONT}"',
                f'ready = "{machine["ip"]}:{READY}"',
            ]
        else:
            lines.append(f'control = "{machine["ip"]}:{CONTROL}"')
        lines.append("[faultTolerance]")
        lines += ["machines = 1", "zones = 1", "regions = 0", "[bounds]"]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        return "\n".join(lines) + "\n"


def desired_state(version, **changes):
    """Return a desired state with one queue, whose tasks run on one service."""
    route = {
        "name": "r-3hwrr6x",
        "host": HOST,
        "prefix": PREFIX,
        "type": "non_idempotent",
        "timeoutMs": 1500,
        "sloMs": 60,
        "priority": 0,
        "service": SERVICE,
        "attempts": 4,
        "slackFactor": 1.6,
        **changes,
    }
    service = {
        "name": SERVICE,
        "healthPath": "/health",
        "maxConns": 64,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
        "admissionControl": False,
        "standby": False,
    }
    limits = {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000}
    return {"version": version, "routes": [route], "services": [service], "limits": limits}


def run_case(folder, play, **size):
    """Play a case and return its exit code: 1 broken, 0 kept, 2 could not run."""

    async def main():
        record = Record(Path(folder) / "record.txt")
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record.write("with the disruption" if trouble else "without the disruption")
        deployment = Deployment(record, **size)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                record.write("all is ready")
                broken = await play(deployment, trouble)
                deployment.check_alive()
        except (Exception, asyncio.CancelledError) as error:
            record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await deployment.stop()
        record.write("BROKEN" if broken else "kept")
        return 1 if broken else 0

    async def run():
        work = asyncio.ensure_future(main())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, work.cancel)
        return await work

    return asyncio.run(run())
