"""Processor time of each kind of work at several counts: the best of several runs."""

import asyncio
import gc
import json
from collections.abc import Callable, Sequence
from random import Random
from time import process_time_ns

from fit import Series
from memory import _make_items

ROUNDS = 15
SHORTEST_US = 20_000
TASK_SIZES = (1, 10, 30, 100, 300)
MANY = (200, 500, 1_000, 2_000)
ITEM_SIZES = (1_000, 4_000, 10_000, 22_000)
BODY = b'{"board": "fish 5-10", "ding": "rail", "length_mm": 45, "photos": ["a1b2", "c3d4"]}' * 2
JOB = "counter-17/01912f4e-8a11-7abc-8def-0123456789ab"


def measure_times() -> list[Series]:
    """Return the time series, in microseconds."""
    series = [
        Series(key, title, "us", sizes, _measure(make, sizes)) for key, title, sizes, make in PROBES
    ]
    return series + [_measure_links(), _measure_http()]


def _measure(
    make: Callable[[int], Callable[[], object]], sizes: Sequence[int]
) -> tuple[float, ...]:
    """Return the best time of each size; the sizes take turns, so that all meet the same load."""
    works = [make(size) for size in sizes]
    repeats = [max(1, int(SHORTEST_US / max(1.0, _time(work, 1)))) for work in works]
    best = [float("inf")] * len(works)
    gc.collect()
    gc.disable()
    for _ in range(ROUNDS):
        for index, work in enumerate(works):
            best[index] = min(best[index], _time(work, repeats[index]))
    gc.enable()
    return tuple(best)


def _time(work: Callable[[], object], repeats: int) -> float:
    began = process_time_ns()
    for _ in range(repeats):
        work()
    return (process_time_ns() - began) / 1_000 / repeats


def _code(message: object) -> None:
    from apricotrail.wire import FrameReader, encode_frame

    FrameReader().feed(encode_frame(message))


def _heartbeats(count: int) -> Callable[[], object]:
    from apricotrail.wire.generated.ttypes import Heartbeat, Load

    def work() -> None:
        for number in range(count):
            load = Load("repair-00017", 16, 3, 13, True)
            _code(Heartbeat(number, number, 17_000, 640, [load]))

    return work


def _start_message(tasks: int) -> object:
    from apricotrail.wire.generated.ttypes import StartTasks, TaskStart

    starts = [TaskStart(task, 1, BODY) for task in range(tasks)]
    return StartTasks(JOB, "repair-00017", "entry-1", 1, 5, 900, starts, 0)


def _starts(tasks: int) -> Callable[[], object]:
    return lambda: _code(_start_message(tasks))


def outcome_message(tasks: int) -> object:
    """Return the message that answers `tasks` tasks."""
    from apricotrail.wire.generated.ttypes import Load, TaskOutcome, TaskOutcomes

    outcomes = [TaskOutcome(task, 1, 1, 0, len(BODY), BODY, 120 + task) for task in range(tasks)]
    load = Load("repair-00017", 16, 3, 13, True)
    return TaskOutcomes(JOB, "repair-00017", 5, outcomes, load, 0)


def _outcomes(tasks: int) -> Callable[[], object]:
    return lambda: _code(outcome_message(tasks))


def _gate(tasks: int) -> Callable[[], object]:
    from apricotrail.agent._gate import GateState, decide_starts
    from apricotrail.agent._ledger import Ledger
    from apricotrail.agent._records import AttemptId, LedgerLimits, Outcome
    from apricotrail.agent._slots import Slots
    from apricotrail.agent._target_configuration import TargetConfiguration

    state = GateState("repair-00017", 5, True, TargetConfiguration(True, True, False))
    message = _start_message(tasks)

    def work() -> None:
        ledger = Ledger(LedgerLimits())
        slots = Slots(tasks, 100.0)
        decide_starts(message, "entry-1", state, ledger, slots, 0.0)
        for task in range(tasks):
            ledger.finish(JOB, AttemptId(task, 1), Outcome(1, 0, BODY, 120), 1.0)

    return work


def _claims(count: int) -> Callable[[], object]:
    from apricotrail.entry._claims import ClaimTable
    from apricotrail.wire.generated.ttypes import Claim, ClaimRecord

    digest = Random(1).randbytes(32)

    def work() -> None:
        table = ClaimTable(lambda: 0.0, 1e9, 10**9, 10**12)
        table.become_ready(1)
        for number in range(count):
            claim = Claim(1, ClaimRecord(f"{JOB}{number}", "entry-1", 5, 1, digest, 0))
            _code(claim)
            _code(table.decide(claim, True))

    return work


def _queue(tasks: int) -> Callable[[], object]:
    from apricotrail.policy import FairQueue, QueuedJob

    def work() -> None:
        queue = FairQueue()
        queue.add(QueuedJob(JOB, "counter-17", "team", 1.0, range(tasks), 0.0, 1e9))
        while len(queue):
            queue.take(10, 0.0)

    return work


def _placement(candidates: int) -> Callable[[], object]:
    from apricotrail.policy import Candidate, make_late_binding

    place = make_late_binding(Random(1))
    loads = [Candidate(f"t{n}", "z", n % 3, 0, 16, 3, 0.4, 120.0) for n in range(candidates)]
    return lambda: place(loads, 10)


def _changes(count: int) -> Callable[[], object]:
    from apricotrail.membership import Configuration
    from apricotrail.wire.generated.ttypes import ConfigurationChange, ConfigurationItem

    def work() -> None:
        configuration = Configuration()
        for number in range(1, count + 1):
            item = ConfigurationItem("zone-state/pipa", b'{"in_service":true}')
            change = ConfigurationChange(number - 1, number, [item])
            _code(change)
            configuration.apply(change)

    return work


def _read_items(count: int) -> Callable[[], object]:
    from apricotrail.document import read_items

    items = _make_items(count)
    return lambda: read_items(items)


def _submissions(tasks: int) -> Callable[[], object]:
    from hashlib import sha256

    submission = {
        "submission": JOB,
        "caller": "counter-17",
        "service": "old:repair-quotes",
        "deadline_ms": 2_000,
        "tasks": [{"body": BODY.decode()}] * tasks,
    }
    text = json.dumps(submission).encode()
    answers = json.dumps([BODY.decode()] * tasks)

    def work() -> None:
        json.loads(text)
        sha256(text).digest()
        json.dumps(json.loads(answers))

    return work


def _measure_links() -> Series:
    """Time of a small message over a real link, both ends in one process."""
    from apricotrail.settings import Settings
    from apricotrail.wire import KeyRing, LinkEndpoint
    from apricotrail.wire.generated.ttypes import Identity, SlotWant

    async def run(count: int) -> float:
        ends = [
            LinkEndpoint(Identity(name, "entry", "", 1, ""), "t", KeyRing(None), Settings())
            for name in ("a", "b")
        ]
        received = asyncio.Event()
        seen = 0

        def receive(link: object, message: object) -> None:
            nonlocal seen
            seen += 1
            received.set()

        ends[0].on(SlotWant, receive)
        ends[1].on_up(lambda link: received.set())
        ends[1].dial(await ends[0].listen("127.0.0.1", 0))
        await received.wait()
        began = process_time_ns()
        for _ in range(count):  # one at a time: no two messages share a system call
            received.clear()
            ends[1].links["a"].send(SlotWant("repair-00017", 5, 3))
            await received.wait()
        took_us = (process_time_ns() - began) / 1_000
        for end in ends:
            await end.stop()
        return took_us

    values = tuple(min(asyncio.run(run(size)) for _ in range(3)) for size in MANY)
    return Series("link_message", "small message over a link, both ends", "us", MANY, values)


def _measure_http() -> Series:
    """Time of a small request and its answer over HTTP, both ends in one process."""
    from apricotrail.http import HttpClient, HttpServer, ServerLimits, json_response

    async def run(count: int) -> float:
        server = HttpServer(lambda request: json_response(200, {}), ServerLimits())
        address = await server.listen("127.0.0.1", 0)
        client = HttpClient()
        await client.request("POST", address, "/", BODY)
        began = process_time_ns()
        for _ in range(count):
            await client.request("POST", address, "/", BODY)
        took_us = (process_time_ns() - began) / 1_000
        await client.close()
        await server.stop(0)
        return took_us

    values = tuple(min(asyncio.run(run(size)) for _ in range(3)) for size in MANY)
    return Series("http", "small HTTP request and answer, both ends", "us", MANY, values)


PROBES = (
    ("heartbeat", "heartbeat with one load, encoded and decoded", MANY, _heartbeats),
    ("start", "task in a start message, encoded and decoded", TASK_SIZES, _starts),
    ("outcome", "task in an outcome message, encoded and decoded", TASK_SIZES, _outcomes),
    ("gate", "task through an agent's gate and ledger", TASK_SIZES, _gate),
    ("claim", "claim and reply, encoded, decoded, decided", MANY, _claims),
    ("queue", "task through an entry's queue, taken 10 at a time", TASK_SIZES, _queue),
    ("placement", "candidate in one placement of 10 tasks", MANY, _placement),
    (
        "submission",
        "task of a submission and of its answer, JSON and digest",
        TASK_SIZES,
        _submissions,
    ),
    ("change", "configuration change of one item, encoded, decoded, applied", MANY, _changes),
    ("read_items", "target when an entry reads its whole configuration", ITEM_SIZES, _read_items),
)
