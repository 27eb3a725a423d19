"""Resident memory of each kind of state at several counts, each in a process of its own."""

import asyncio
import gc
import json
import subprocess
import sys
from collections.abc import Callable
from random import Random

from fit import Series

PAGE_BYTES = 4_096
SIZES = (10_000, 20_000, 40_000, 80_000)
LINK_SIZES = (300, 600, 1_000, 1_500)
SERVICE_SIZES = (20, 60, 120, 200)


def measure_memory() -> list[Series]:
    """Return the memory series, in bytes."""
    series = []
    for key, (title, sizes, _) in PROBES.items():
        values = tuple(_measure_apart(key, size) for size in sizes)
        series.append(Series(key, title, "bytes", sizes, values))
    return series


def run_probe(key: str, size: int) -> float:
    """Return by how many bytes the resident memory of this process grows with `size` items."""
    make = PROBES[key][2]
    keep = [make(10)]  # loads modules and fills caches
    gc.collect()
    before = _read_resident_bytes()
    keep.append(make(size))
    gc.collect()
    grown = _read_resident_bytes() - before
    del keep
    return grown


def _measure_apart(key: str, size: int) -> float:
    command = [sys.executable, __file__.replace("memory.py", "__main__.py")]
    command += ["--probe", key, "--size", str(size)]
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return float(done.stdout)


def _read_resident_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _make_items(count: int) -> dict[str, bytes]:
    items = {}
    for number in range(count):
        names = {"old": f"repair-{number:05}", "place": f"r{number:05}", "asset": f"A-{number:07}"}
        value = {"names": names, "service": f"service-{number % 200}", "zone": f"zone-{number % 8}"}
        items[f"target/repair-{number:05}"] = json.dumps(value).encode()
    return items


def _make_configuration(count: int) -> object:
    from apricotrail.membership import Configuration
    from apricotrail.wire.generated.ttypes import ConfigurationChange, ConfigurationItem

    configuration = Configuration()
    items = [ConfigurationItem(key, value) for key, value in _make_items(count).items()]
    configuration.apply(ConfigurationChange(0, 1, items))
    return configuration


def _make_effective(count: int) -> object:
    from apricotrail.document import read_items

    items = _make_items(count)
    effective = read_items(items)
    items.clear()
    return effective


def _make_claims(answer_bytes: int) -> Callable[[int], object]:
    def make(count: int) -> object:
        from apricotrail.entry._claims import ClaimTable
        from apricotrail.wire.generated.ttypes import ClaimRecord

        table = ClaimTable(lambda: 0.0, 1e9, 10**9, 10**12)
        random = Random(1)
        for number in range(count):
            job = f"counter-{number % 500}/0191-{number:012}-7abc-8def-0123"
            answer = random.randbytes(answer_bytes) if answer_bytes else None
            digest = random.randbytes(32)
            table.store(ClaimRecord(job, f"entry-{number % 5}", 5, 1, digest, 0, answer))
        return table

    return make


def _make_ledger(tasks: int) -> Callable[[int], object]:
    def make(count: int) -> object:
        from apricotrail.agent._ledger import Ledger
        from apricotrail.agent._records import AttemptId, LedgerLimits, Outcome

        ledger = Ledger(LedgerLimits(1e12, 0, 0, 10**9))
        for number in range(count // tasks):
            job = f"counter-{number % 500}/0191-{number:012}-7abc-8def-0123"
            ledger.claim(job, "entry-1", 1, 0.0)
            for task in range(tasks):
                attempt = AttemptId(task * 7 + number % 7, 1)
                ledger.begin(job, attempt, 0.0)
                ledger.finish(job, attempt, Outcome(1, 0, None, 120), 0.0)
        return ledger

    return make


def _make_queue(count: int) -> object:
    from apricotrail.policy import FairQueue, QueuedJob

    queue = FairQueue()
    for number in range(count // 100):
        job = QueuedJob(
            f"c/{number:020}", f"caller-{number % 500}", "team", 1.0, range(100), 0.0, 1e9
        )
        queue.add(job)
    return queue


def _make_agents(count: int) -> object:
    from apricotrail.entry._agents import AgentState

    return [
        AgentState(f"agent:repair-{number:05}", 1, lambda: 0.0, 100.0) for number in range(count)
    ]


def _make_recorder(count: int) -> object:
    from apricotrail.reports import SloRecorder

    recorder = SloRecorder("entry-1", 0, lambda service: None)
    for hour in range(72):
        for service in range(count):
            recorder.observe(f"service-{service}", True, 1.0, now_ms=hour * 3_600_000)
    return recorder


def _make_links(count: int) -> object:
    """Both ends of `count` links, in one process."""
    from apricotrail.settings import Settings
    from apricotrail.wire import KeyRing, LinkEndpoint
    from apricotrail.wire.generated.ttypes import Identity

    loop = asyncio.new_event_loop()

    async def connect() -> object:
        connected = asyncio.Event()
        server = LinkEndpoint(
            Identity("entry-1", "entry", "", 1, ""), "t", KeyRing(None), Settings()
        )
        address = await server.listen("127.0.0.1", 0)
        server.on_up(lambda link: connected.set() if len(server.links) == count else None)
        clients = []
        for number in range(count):
            identity = Identity(f"agent:{number}", "agent", "", 1, "")
            client = LinkEndpoint(identity, "t", KeyRing(None), Settings())
            client.dial(address)
            clients.append(client)
        await connected.wait()
        return server, clients

    return loop, loop.run_until_complete(connect())


PROBES: dict[str, tuple[str, tuple[int, ...], Callable[[int], object]]] = {
    "item": ("configuration item (a target, JSON) of a node", SIZES, _make_configuration),
    "effective": ("target in an entry's typed look-ups", SIZES, _make_effective),
    "claim": ("claim record without answer", SIZES, _make_claims(0)),
    "claim_answer": ("claim record with an answer of 1,000 bytes", SIZES, _make_claims(1_000)),
    "ledger_1": ("ledger record, jobs with 1 task at the agent", SIZES, _make_ledger(1)),
    "ledger_10": ("ledger record, jobs with 10 tasks at the agent", SIZES, _make_ledger(10)),
    "queued": ("queued task, jobs of 100", SIZES, _make_queue),
    "agent": ("agent as an entry knows it, without its link", SIZES, _make_agents),
    "service": ("service in the burn recorder, 72 hours of traffic", SERVICE_SIZES, _make_recorder),
    "link": ("link, both ends, with one endpoint for each client", LINK_SIZES, _make_links),
}
