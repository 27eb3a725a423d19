"""``apricotrail demo``: all roles and stand-in targets in one process, with a few jobs."""

import asyncio
import logging
from contextlib import ExitStack
from random import Random
from typing import NamedTuple

import orjson
import structlog
from returns.result import Success

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.clocks import monotonic_ms
from apricotrail.measure import (
    DEPLOYMENTS,
    Deployment,
    MeasuredSystem,
    ideal_response_ms,
    make_answer,
    make_task_body,
    start_system,
)

__all__ = ["run_demo"]

ANSWER_BYTES = 60
SHOWN_CHARACTERS = 40
DEADLINE_MS = 30_000
SEED = 1


class _DemoJob(NamedTuple):
    what: str
    run_ms: tuple[int, ...]


def run_demo() -> ExitCode:
    """Start both deployments one after the other, run jobs and print their answers."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    whole = [asyncio.run(_show_deployment(deployment)) for deployment in DEPLOYMENTS.values()]
    return ExitCode.DONE if all(whole) else ExitCode.REFUSED


def _plan_jobs(random: Random) -> list[_DemoJob]:
    return [
        _DemoJob("one short request", (80,)),
        _DemoJob("a few requests at once", tuple(random.randint(50, 300) for _ in range(6))),
        _DemoJob("a job of 88 tasks", tuple(random.randint(50, 400) for _ in range(88))),
        _DemoJob("a job of 300 tasks", tuple(random.randint(50, 400) for _ in range(300))),
        _DemoJob("one long request", (2_000,)),
    ]


async def _show_deployment(deployment: Deployment) -> bool:
    print(
        f"{deployment.name}: {len(deployment.zones)} availability zones, {deployment.entries} "
        f"entries, {deployment.replicas} control replicas, {deployment.targets} targets "
        f"of {deployment.slots} slots"
    )
    with ExitStack() as resources:
        system = await start_system(deployment, resources, processes=False)
        try:
            jobs = _plan_jobs(Random(SEED))
            whole = [await _show_job(system, number, job) for number, job in enumerate(jobs, 1)]
        finally:
            await system.stop()
    print()
    return all(whole)


async def _show_job(system: MeasuredSystem, number: int, job: _DemoJob) -> bool:
    caller, _team = system.deployment.callers()[0]
    tasks = [{"body": make_task_body(run_ms, ANSWER_BYTES)} for run_ms in job.run_ms]
    body = {
        "submission": f"demo-{number}",
        "caller": caller,
        "service": system.deployment.service,
        "deadline_ms": DEADLINE_MS,
        "tasks": tasks,
    }
    entry = list(system.entries.values())[number % len(system.entries)]
    began_ms = monotonic_ms()
    reply = await system.client.request(
        "POST", entry, "/v1/jobs", orjson.dumps(body), (), DEADLINE_MS
    )
    response_ms = monotonic_ms() - began_ms
    if not isinstance(reply, Success):
        print(f"  {job.what}: {reply.failure()}")
        return False
    answer = orjson.loads(reply.unwrap().body)
    key = f"{caller}/demo-{number}"
    wanted = [make_answer(key, task, ANSWER_BYTES).decode() for task in range(len(tasks))]
    whole = answer.get("answers") == wanted
    _print_job(system.deployment, job, answer, whole, response_ms)
    return whole


def _print_job(
    deployment: Deployment, job: _DemoJob, answer: dict, whole: bool, response_ms: float
) -> None:
    ideal_ms = ideal_response_ms(job.run_ms, deployment.all_slots())
    print(
        f"  {job.what:24} {answer['state']:9} {len(answer.get('answers', ())):4} answers "
        f"{'whole' if whole else 'NOT WHOLE'}; {response_ms:7.1f} ms, ideal {ideal_ms:7.1f} ms, "
        f"ratio {response_ms / ideal_ms:.2f}"
    )
    first = (answer.get("answers") or [str(answer.get("error"))])[0]
    print(f"      first answer: {first[:SHOWN_CHARACTERS]}...")
