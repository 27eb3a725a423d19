"""Runs a small deployment of the real programs, with stand-ins for runners, callers and operators.

The programs are started as the deploy file says. Each machine has a loopback address of its own.
Every stand-in follows the protocol page of the users; none of them uses the project's code.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

FRONT_PORT, READY_PORT, CONTROL_PORT, LINK_PORT, RUNNER_PORT = 8161, 8167, 8166, 7720, 8080
ZONES = ("natal", "pipa", "jeri")
BEAT_S = 1.5
MAX_LEASE_MS = 1_000
STOP_MS = 50
CAPACITY = {"cpu": 16_000, "memMb": 32_768, "gpus": 0}
HOST, SERVICE = "nony24.example", "balcao"
REPOSITORY = Path(__file__).resolve().parents[2]
BOUNDS = """
[bounds]
seedLagS = 3
contactMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
applyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
evacuateMs = 5000
recoveryS = 12
maxHoldMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
resendMs = 1300
requireFencing = true
leaseMs = 3000
"""


class Record:
    """Writes what was sent, answered and run, with the time since the start in ms."""

    def __init__(self, path):
        self._file = path.open("w", encoding="utf-8")
        self._zero = time.monotonic()

    def now_ms(self):
        """Return the time since the start of the record in ms."""
        return (time.monotonic() - self._zero) * 1000

    def write(self, text):
        """Write one line and return its time in ms."""
        now_ms = self.now_ms()
        if not self._file.closed:
            self._file.write(f"{now_ms:9.1f} {text}\n")
            self._file.flush()
        return now_ms

    def close(self):
        """Close the file."""
        self._file.close()


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


async def call(address, method, path, body=None, headers=(), host=None, timeout_s=5.0, opened=None):
    """Send one request on a channel of its own; return status and body, or None without an answer.

    `opened` gets the writer, so that the caller can close the channel early.
    """
    ip, _, port = address.rpartition(":")
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(data)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            if opened is not None:
                opened(writer)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            answer = await read_message(reader)
            if answer is None:
                return None
            first, _, content = answer
            return int(first.split()[1]), content
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Runner:
    """A runner that does not guard its capacity, as the protocol page describes it.

    A spec is ``END SECONDS``: what the task ends as, and how long it works.
    """

    def __init__(self, record, name, ip, zone, agent, clock_rate=1.0):
        self.record, self.name, self.ip, self.zone, self.agent = record, name, ip, zone, agent
        self.address = f"{ip}:{RUNNER_PORT}"
        self.clock_rate = clock_rate
        self.labels = ["a", "r1-1"]
        self.state = "ready"
        self.pings_itself = True
        self.note = lambda what, task, run, runner: None
        self.capacity = dict(CAPACITY)
        self._server = self._announcing = self._watching = None
        self._writers = set()
        self.boot()

    def boot(self):
        """Begin a life: nothing runs and nothing of before is known."""
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.seq = self.fence = self.ends = 0
        self.lease_ms = 0.0
        self.running, self.highest, self.ended = {}, {}, []
        self.changed = asyncio.Event()

    def clock(self):
        """Return the time on the runner's steady clock in ms."""
        return int((time.monotonic() - self.zero) * 1000 * self.clock_rate) + 1_000

    async def start(self):
        """Listen and announce the runner to its agent."""
        self._server = await asyncio.start_server(self._serve, self.ip, RUNNER_PORT)
        self._announcing = asyncio.ensure_future(self._announce_forever())
        self._watching = asyncio.ensure_future(self._watch_forever())

    async def stop(self):
        """Stop listening and announcing."""
        for task in (self._announcing, self._watching):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
        for _, timer, _, _ in self.running.values():
            timer.cancel()

    def make_ping(self):
        """Return the body of the next ping."""
        self.seq += 1
        return {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "currentMs": self.clock(),
            "seq": self.seq,
            "born": self.born,
        }

    async def deliver(self, ping):
        """Bring a ping to the agent; return whether it was acknowledged within a second."""
        path = f"/apricotrail/instances/i-{self.name}"
        answer = await call(self.agent, "PUT", path, ping, timeout_s=1.0)
        return answer is not None and answer[0] // 100 == 2

    async def announce(self):
        """Send one ping; return whether it was acknowledged."""
        return await self.deliver(self.make_ping())

    async def _announce_forever(self):
        while True:
            if not self.pings_itself:
                return
            await self.announce()
            await asyncio.sleep(BEAT_S)

    async def _watch_forever(self):
        while True:
            await asyncio.sleep(0.01)
            self._expire()

    def _expire(self):
        if self.running and self.clock() >= self.lease_ms:
            for key in list(self.running):
                self._end(key, "lapsed")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                status, answer = await self._answer(first.split()[1], headers, json.loads(body))
                answer = {"currentMs": self.clock(), "born": self.born, **answer}
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, path, headers, fields):
        if headers.get("apricotrail-expect-instance", f"i-{self.name}") != f"i-{self.name}":
            return 421, {}
        token = fields.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        self._expire()
        until_ms = min(fields.get("deadlineMs", 0), self.clock() + MAX_LEASE_MS)
        self.lease_ms = max(self.lease_ms, until_ms)
        if path.endswith("run-start"):
            return self._start_run(fields)
        if path.endswith("run-stop"):
            return self._stop_run(fields)
        return await self._hold(fields)

    def _start_run(self, fields):
        key = (fields["task"], fields["runId"])
        if key in self.running:
            return 200, {}
        if self.highest.get(key[0], 0) >= key[1]:
            return 409, {"reason": "old"}
        if self.clock() >= self.lease_ms:
            return 409, {"reason": "late"}
        end, _, seconds = fields["spec"].partition(" ")
        timer = asyncio.get_running_loop().call_later(float(seconds), self._end, key, end)
        self.running[key] = (time.monotonic(), timer, float(seconds), fields["spec"])
        self.record.write(f"start   {key[0]} run {key[1]} at {self.name}")
        self.note("start", *key, self.name)
        return 200, {}

    def _stop_run(self, fields):
        key = (fields["task"], fields["runId"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.running:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self._end, key, "stopped")
        return 200, {}

    async def _hold(self, fields):
        self.ended = [row for row in self.ended if row[0] > fields.get("lastSeen", 0)]
        if not self.ended and fields.get("waitMs"):
            self.changed.clear()
            try:
                async with asyncio.timeout(min(2_000, fields["waitMs"]) / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [*key, "", min(99, int(100 * (now - began) / max(0.001, seconds))), 0]
            for key, (began, _, seconds, _) in self.running.items()
        ]
        return 200, {"running": running, "ended": self.ended[:500]}

    def _end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run[1].cancel()
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ends += 1
        self.ended.append([self.ends, *key, how, ""])
        self.record.write(f"{how:7} {key[0]} run {key[1]} at {self.name}")
        self.note(how, *key, self.name)
        self.changed.set()


class LinkProxy:
    """Forwards the links to one control machine, and cuts those of dispatchers and agents off.

    The first bytes of a link name the role of the process that opened it. While the proxy is cut,
    nothing passes on these links, in either direction and without a reset.
    """

    ROLES = (b"dispatcher", b"runner")

    def __init__(self, host, target):
        self.host, self.target = host, target
        self.is_cut = False
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._forward, self.host, LINK_PORT)

    def stop(self):
        """Stop listening and close what is open; new connections are refused from then on."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _forward(self, reader, writer):
        far_writer = None
        self._writers.add(writer)
        try:
            data = await reader.read(65_536)
            is_outside = any(role in data for role in self.ROLES)
            if not data or await self._hold(is_outside):
                return
            far_reader, far_writer = await asyncio.open_connection(self.target, LINK_PORT)
            self._writers.add(far_writer)
            far_writer.write(data)
            passing = {
                asyncio.ensure_future(self._pass(reader, far_writer, is_outside)),
                asyncio.ensure_future(self._pass(far_reader, writer, is_outside)),
            }
            _, rest = await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
            for task in rest:
                task.cancel()
            await asyncio.gather(*passing, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for it in (writer, far_writer):
                if it is not None:
                    self._writers.discard(it)
                    it.transport.abort()

    async def _pass(self, reader, writer, is_outside):
        while data := await reader.read(65_536):
            if await self._hold(is_outside):
                return
            writer.write(data)
            await writer.drain()

    async def _hold(self, is_outside):
        """Wait while the proxy is cut for this link; return whether it was."""
        was_cut = is_outside and self.is_cut
        while is_outside and self.is_cut:
            await asyncio.sleep(0.05)
        return was_cut


class Deployment:
    """Machines with the programs, and a runner beside each agent."""

    def __init__(self, record, fronts=3, sides=3, timeout_ms=1_500, losses=1):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="rig-"))
        self.block = _find_free_block(fronts + 4, sides)
        self.processes = {}
        self.ended_by_script = set()
        self.fronts = [f"{self.block}.{10 + number}" for number in range(fronts)]
        self.sides = [f"{self.block}.{60 + number}" for number in range(sides)]
        self.runners = []
        for number, ip in enumerate(self.sides):
            zone = ZONES[number % len(ZONES)]
            rate = 0.98 if number % 2 else 1.0
            agent = f"{ip}:{CONTROL_PORT}"
            self.runners.append(Runner(record, f"r{number + 1}", ip, zone, agent, rate))
        self.version = 0
        self.timeout_ms = timeout_ms
        self.losses = losses
        self.zones = {}
        self.seeds = [0, 1, 2][:fronts]
        self.proxies = {}
        self.regions = dict.fromkeys(ZONES, "nordeste")
        self.bootstrap = True

    def entry(self, number):
        """Return the address for clients of a front machine."""
        return f"{self.fronts[number]}:{FRONT_PORT}"

    def control(self, number):
        """Return the address for operators of a front machine."""
        return f"{self.fronts[number]}:{CONTROL_PORT}"

    def reached_at(self, number):
        """Return the IP at which others reach the control replica of a front machine."""
        proxy = self.proxies.get(number)
        return self.fronts[number] if proxy is None else proxy.host

    async def start_proxy(self, number):
        """Put a proxy before the links of a control replica that doesn't run yet."""
        host = f"{self.block}.{110 + number}"
        self.proxies[number] = LinkProxy(host, self.fronts[number])
        await self.proxies[number].start()

    def renew_seeds(self, numbers):
        """Name other core machines as seeds in the settings of all programs."""
        self.seeds = list(numbers)
        for role, number in self.processes:
            self._write_settings(role, number)

    async def start(self):
        """Start runners and programs, put a desired state and wait until every entry is ready."""
        for runner in self.runners:
            await runner.start()
        for number in range(len(self.fronts)):
            self.launch("control", number)
            self.launch("entry", number)
        for number in range(len(self.sides)):
            self.launch("agent", number)
        self.bootstrap = False
        if not await self.put_routes(["/lohu930/"], limit_s=30.0):
            return False
        return await self._wait_until_ready(30.0)

    def launch(self, role, number):
        """Start one program with the command of the deploy file."""
        path = self._write_settings(role, number)
        deps = REPOSITORY / "target" / "deps"
        log = (self.folder / f"{role}-{number}.log").open("ab")
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        self.processes[role, number] = _spawn(role, log, deps, path, variables)
        self.ended_by_script.discard((role, number))
        log.close()

    def add_front(self, zone):
        """Start an empty machine with control and an entry at a new address; return its number."""
        number = len(self.fronts)
        self.fronts.append(f"{self.block}.{10 + number}")
        self.zones["front", number] = zone
        self.launch("control", number)
        self.launch("entry", number)
        return number

    def wipe(self, number):
        """Remove what a control replica has on its disk."""
        shutil.rmtree(self.folder / f"disk-{number}", ignore_errors=True)

    def kill(self, role, number):
        """Kill a program."""
        self.ended_by_script.add((role, number))
        self.processes[role, number].kill()
        self.processes[role, number].wait()

    def signal(self, role, number, what):
        """Send a signal to a program."""
        self.ended_by_script.add((role, number))
        self.processes[role, number].send_signal(what)

    def list_ended(self):
        """Return the programs that have ended though this script didn't end them."""
        return [
            key
            for key, process in self.processes.items()
            if process.poll() is not None and key not in self.ended_by_script
        ]

    async def stop(self):
        """End all that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for runner in self.runners:
            await runner.stop()
        for proxy in self.proxies.values():
            proxy.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def order(self, method, path, body=None, limit_s=10.0, first=0):
        """Bring an order to control as the operator does; return whether it was acknowledged."""
        end = time.monotonic() + limit_s
        number = first
        while time.monotonic() < end:
            answer = await call(self.control(number), method, path, body, timeout_s=1.0)
            if answer is not None and answer[0] // 100 == 2:
                self.record.write(f"ack     {method} {path} {answer[0]}")
                return True
            if answer is not None and answer[0] in (400, 409, 412, 413, 422):
                self.record.write(f"refused {method} {path} {answer[0]}")
                return False
            number = (number + 1) % len(self.fronts)
            await asyncio.sleep(0.1)
        return False

    async def put_routes(self, prefixes, limit_s=10.0):
        """Put a desired state of a higher version with these prefixes."""
        self.version += 1
        routes = [
            {
                "name": f"r-{number}",
                "host": HOST,
                "prefix": prefix,
                "type": "non_idempotent",
                "timeoutMs": self.timeout_ms,
                "sloMs": 60,
                "priority": 0,
                "service": SERVICE,
                "attempts": 4,
                "slackFactor": 1.6,
            }
            for number, prefix in enumerate(prefixes)
        ]
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
        state = {"version": self.version, "routes": routes, "services": [service], "limits": limits}
        return await self.order("PUT", "/apricotrail/config", state, limit_s)

    async def submit(self, number, job, steps, spec, budget_ms, opened=None, prefix="/lohu930/"):
        """Send a job that needn't be kept to an entry; return status and body, or None."""
        body = {"spec": spec, "steps": steps, "preemptible": True}
        self.record.write(f"send    POST {prefix}{job} to entry {number + 1}: {json.dumps(steps)}")
        headers = (("Apricotrail-Deadline-Ms", str(budget_ms)),)
        path = f"{prefix}{job}"
        address = self.entry(number)
        answer = await call(address, "POST", path, body, headers, HOST, budget_ms / 1000, opened)
        shown = "none" if answer is None else f"{answer[0]} {answer[1].decode()[:160]}"
        self.record.write(f"answer  POST {job}: {shown}")
        return answer

    async def _wait_until_ready(self, limit_s):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            ready = [
                await call(f"{ip}:{READY_PORT}", "GET", "/apricotrail/readiness", timeout_s=1.0)
                for ip in self.fronts
            ]
            if all(answer is not None and answer[0] == 200 for answer in ready):
                # Two pings later each agent knows its runner, and each entry all agents.
                await asyncio.sleep(2 * BEAT_S + 1.0)
                return True
            await asyncio.sleep(0.2)
        return False

    def _write_settings(self, role, number):
        ip = self.sides[number] if role == "agent" else self.fronts[number]
        kind = "side" if role == "agent" else "front"
        seeds = ",".join(f'"{self.reached_at(seed)}:{CONTROL_PORT}"' for seed in self.seeds)
        zone = self.zones.get((kind, number), ZONES[number % len(ZONES)])
        lines = [
            f'node = "{kind}-{zone}-{number + 1}"',
            f'role = "{role}"',
            f'machineClass = "{kind}"',
            f'ip = "{ip}"',
            f'zone = "{zone}"',
            f'region = "{self.regions[zone]}"',
            f"portRange = [{LINK_PORT},{LINK_PORT + 15}]",
            f"seeds = [{seeds}]",
            f"bootstrap = {str(self.bootstrap).lower()}",
            f"countsLoss = {str(role == 'control').lower()}",
            'discovery = "local"',
            'entry = "vip"',
            "heartbeatMs = 1500",
            'config_mode = "highest"',
            'controlMode = "call"',
        ]
        if role == "control":
            lines.append(f'dataDir = "{self.folder}/disk-{number}"')
        if role == "agent":
            lines.append(f'app = "{self.runners[number].address}"')
        regions = (f'{name} = "{region}"' for name, region in self.regions.items())
        lines += ["[zones]", *regions, "[bindAddrs]"]
        if role == "entry":
            lines += [f'front = "{ip}:{FRONT_PORT}"', f'ready = "{ip}:{READY_PORT}"']
        else:
            lines.append(f'control = "{ip}:{CONTROL_PORT}"')
        lines += ["[faultTolerance]", f"machines = {self.losses}", "zones = 1", "regions = 0"]
        if role == "control" and number in self.proxies:
            link = f"{self.reached_at(number)}:{LINK_PORT}"
            lines += ["[apricotrail.link]", f'advertise = "{link}"']
            lines += ["[apricotrail.control]", f'name = "{link}"']
        path = self.folder / f"{role}-{number}.toml"
        partial = path.with_suffix(".new")
        partial.write_text("\n".join(lines) + "\n" + BOUNDS, encoding="utf-8")
        partial.replace(path)
        return path


def _spawn(role, log, deps, settings, variables):
    return subprocess.Popen(
        [sys.executable, "-P", "-m", "apricotrail_platform", role],
        cwd=REPOSITORY,
        stdout=log,
        stderr=log,
        env={**variables, "PYTHONPATH": str(deps), "APRICOTRAIL_SETTINGS": str(settings)},
    )


def _find_free_block(fronts, sides):
    """Return the first three bytes of loopback addresses at which all ports are free."""
    for _ in range(200):
        block = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        addresses = [f"{block}.{10 + number}" for number in range(fronts)]
        addresses += [f"{block}.{110 + number}" for number in range(fronts)]
        addresses += [f"{block}.{60 + number}" for number in range(sides)]
        ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, LINK_PORT, LINK_PORT + 1, RUNNER_PORT)
        ports += (9401, 9402, 9403)
        if all(_is_free(address, port) for address in addresses for port in ports):
            return block
    raise RuntimeError("there are no free loopback ports")


def _is_free(address, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def make_job_id():
    """Return the id of a job as a client chooses it."""
    return f"{random.getrandbits(64):016x}"


def run_case(folder, play, limit_s=110.0, is_started=True, **options):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    ``play(deployment, record, trouble)`` returns what broke the rule, one text each; it raises
    `CannotRunError` if nothing can be said. The deployment has been started, if `is_started`.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begin   with the disruption: {trouble}")
    raise SystemExit(asyncio.run(_run(record, play, limit_s, is_started, options, trouble)))


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


async def _run(record, play, limit_s, is_started, options, trouble):
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    code, deployment = 2, None
    try:
        async with asyncio.timeout(limit_s):
            deployment = Deployment(record, **options)
            if is_started and not await deployment.start():
                raise CannotRunError("the deployment did not become ready")
            broken = await play(deployment, record, trouble)
            if ended := deployment.list_ended():
                raise CannotRunError(f"programs ended by themselves: {ended}")
            for text in broken:
                record.write(f"BROKEN  {text}")
            code = 1 if broken else 0
    except (Exception, asyncio.CancelledError) as error:
        # Whatever goes wrong in a stand-in says nothing about the rule.
        record.write(f"can't run: {error!r}")
    finally:
        if deployment is not None:
            await deployment.stop()
        record.write(f"end     exit code {code}")
        record.close()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    return code
