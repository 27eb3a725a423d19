"""Processor time and memory of whole roles, as processes linked to each other on loopback."""

import asyncio
import json
import os
from contextlib import ExitStack
from pathlib import Path

from fit import Series
from memory import PAGE_BYTES

ENTRY_COUNTS = (1, 3, 5, 8)
AGENT_COUNTS = (4, 12, 24, 40)
TASK_COUNTS = (1_500, 3_000, 6_000, 9_000)
TASKS_PER_JOB = 30
JOBS_AT_ONCE = 6
RUN_MS = 20
SETTLE_S = 3.0
IDLE_S = 8.0
NS_PER_US = 1_000


def measure_system() -> list[Series]:
    """Return the series of whole roles."""
    by_entries = [asyncio.run(_measure_idle(entries, 2)) for entries in ENTRY_COUNTS]
    by_agents = [asyncio.run(_measure_idle(1, agents)) for agents in AGENT_COUNTS]
    loads = asyncio.run(_measure_loads())
    return [
        _series("idle_agent", "idle agent, an entry it is linked to", "us/s", ENTRY_COUNTS,
                [usage["agent"][0] for usage in by_entries]),
        _series("idle_control", "idle control replica, an entry", "us/s", ENTRY_COUNTS,
                [usage["control"][0] for usage in by_entries]),
        _series("idle_entry", "idle entry, an agent linked to it", "us/s", AGENT_COUNTS,
                [usage["entry"][0] for usage in by_agents]),
        _series("entry_memory", "idle entry's memory, an agent linked to it", "bytes", AGENT_COUNTS,
                [usage["entry"][1] for usage in by_agents]),
        _series("entry_task", f"entry, a task (jobs of {TASKS_PER_JOB})", "us", TASK_COUNTS,
                [load["entry"] for load in loads]),
        _series("agent_task", "all agents, a task, with the HTTP call to the target", "us",
                TASK_COUNTS, [load["agent"] for load in loads]),
    ]  # fmt: skip


def _series(key: str, title: str, unit: str, sizes: tuple[int, ...], values: list) -> Series:
    return Series(key, title, unit, sizes, tuple(values))


async def _measure_idle(entries: int, agents: int) -> dict[str, tuple[float, float]]:
    """Return for each role the processor time in us/s and the memory of one process."""
    from apricotrail.measure import DEPLOYMENTS, start_system

    deployment = DEPLOYMENTS["reparo"]._replace(entries=entries, targets=agents, replicas=1)
    with ExitStack() as resources:
        system = await start_system(deployment, resources)
        try:
            await asyncio.sleep(SETTLE_S)
            before = _read_usage()
            await asyncio.sleep(IDLE_S)
            after = _read_usage()
        finally:
            await system.stop()
    usage = {}
    for name in ("agent-runner-0", "entry-1", "control-1"):
        spent_us = (after[name][0] - before[name][0]) / NS_PER_US / IDLE_S
        usage[name.partition("-")[0]] = (spent_us, after[name][1])
    return usage


async def _measure_loads() -> list[dict[str, float]]:
    """Return for each count of tasks the processor time in us of the entry and of all agents."""
    from apricotrail.measure import DEPLOYMENTS, start_system

    deployment = DEPLOYMENTS["reparo"]._replace(entries=1, targets=6, slots=16, replicas=1)
    with ExitStack() as resources:
        system = await start_system(deployment, resources)
        try:
            await _run_tasks(system, "warm", TASK_COUNTS[0])
            return [await _measure_load(system, count) for count in TASK_COUNTS]
        finally:
            await system.stop()


async def _measure_load(system, tasks: int) -> dict[str, float]:  # type: ignore[no-untyped-def]
    before = _read_usage()
    await _run_tasks(system, str(tasks), tasks)
    after = _read_usage()
    spent = {name: (after[name][0] - before[name][0]) / NS_PER_US for name in after}
    return {
        "entry": spent["entry-1"],
        "agent": sum(value for name, value in spent.items() if name.startswith("agent")),
    }


async def _run_tasks(system, label: str, tasks: int) -> None:  # type: ignore[no-untyped-def]
    """Run jobs, a few at once, and check that each is complete."""
    from apricotrail.measure import make_task_body

    numbers = iter(range(tasks // TASKS_PER_JOB))
    body = make_task_body(RUN_MS, 170)
    caller = system.deployment.callers()[0][0]
    address = system.entries["entry-1"]

    async def work() -> None:
        for number in numbers:
            job = {
                "submission": f"{label}-{number}",
                "caller": caller,
                "service": system.deployment.service,
                "tasks": [{"body": body}] * TASKS_PER_JOB,
            }
            sent = await system.client.request(
                "POST", address, "/v1/jobs", json.dumps(job).encode(), timeout_ms=30_000
            )
            if sent.unwrap().status != 200:
                raise RuntimeError(f"a job failed: {sent.unwrap().body!r}")

    await asyncio.gather(*(work() for _ in range(JOBS_AT_ONCE)))


def _read_usage() -> dict[str, tuple[int, int]]:
    """Return processor time (ns) and resident bytes of each child process, by role name."""
    usage = {}
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            words = (folder / "cmdline").read_bytes().split(b"\0")
            parent = int((folder / "stat").read_text().rpartition(")")[2].split()[1])
            if parent != os.getpid() or b"--settings" not in words:
                continue
            name = Path(words[words.index(b"--settings") + 1].decode()).stem
            spent_ns = int((folder / "schedstat").read_text().split()[0])
            resident = int((folder / "statm").read_text().split()[1]) * PAGE_BYTES
            usage[name] = (spent_ns, resident)
        except (OSError, ValueError):
            continue
    return usage
