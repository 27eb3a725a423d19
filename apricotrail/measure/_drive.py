"""Callers of a measured system: sends a load over HTTP and collects what they got."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

import orjson
from returns.result import Success

from apricotrail.clocks import monotonic_ms
from apricotrail.errors import ErrorKind
from apricotrail.http import Response
from apricotrail.measure._figures import JobResult
from apricotrail.measure._ideal import ideal_response_ms
from apricotrail.measure._load import JobSpec
from apricotrail.measure._system import MeasuredSystem
from apricotrail.measure._target import make_answer, make_task_body

__all__ = ["send_load"]

RESEND_MS = 100.0
ANSWER_MARGIN_MS = 5_000.0
_MS_PER_S = 1_000.0
_LOST = {ErrorKind.UNREACHABLE, ErrorKind.UNKNOWN_OUTCOME, ErrorKind.MALFORMED}


async def send_load(
    system: MeasuredSystem,
    jobs: Sequence[JobSpec],
    seed: int,
    slots_at: Callable[[float], int],
    cancel_at: dict[str, float] | None = None,
) -> list[JobResult]:
    """Send each job at its moment, whatever the earlier ones do, and wait for all answers.

    A caller that loses its connection sends the same submission to another entry.

    Parameters
    ----------
    system : MeasuredSystem
        Running system.
    jobs : sequence of JobSpec
        Load.
    seed : int
        Seed of the choice of entries.
    slots_at : callable
        Slots in service at a moment of the load, for the ideal response time.
    cancel_at : dict of str to float, optional
        Moments in ms at which callers cancel jobs, by submission id.
    """
    random = Random(seed)
    began_ms = monotonic_ms()
    callers = []
    for job in jobs:
        await _sleep_until(began_ms + job.at_ms)
        entries = random.sample(list(system.entries.values()), len(system.entries))
        slots = slots_at(job.at_ms)
        callers.append(asyncio.ensure_future(_submit(system, job, entries, slots, began_ms)))
        moment_ms = (cancel_at or {}).get(job.submission)
        if moment_ms is not None:
            callers.append(
                asyncio.ensure_future(_cancel(system, job, entries, began_ms + moment_ms))
            )
    results = await asyncio.gather(*callers)
    return [result for result in results if result is not None]


async def _submit(
    system: MeasuredSystem, job: JobSpec, entries: list[str], slots: int, began_ms: float
) -> JobResult:
    body = _encode(job)
    due_ms = began_ms + job.at_ms
    give_up_ms = due_ms + job.deadline_ms + ANSWER_MARGIN_MS
    outcome, states, whole = "no_answer", (), True
    attempt = 0
    while (left_ms := give_up_ms - monotonic_ms()) > 0:
        address = entries[attempt % len(entries)]
        attempt += 1
        reply = await system.client.request("POST", address, "/v1/jobs", body, (), left_ms)
        if isinstance(reply, Success):
            outcome, states, whole = _read_answer(job, reply.unwrap())
            break
        if reply.failure().kind not in _LOST:
            break
        await asyncio.sleep(RESEND_MS / _MS_PER_S)
    run_ms = [task.run_ms for task in job.tasks]
    ideal_ms = ideal_response_ms(run_ms, slots)
    name = f"{job.caller}/{job.submission}"
    response_ms = monotonic_ms() - due_ms
    return JobResult(name, outcome, response_ms, ideal_ms, sum(run_ms), states, whole)


def _encode(job: JobSpec) -> bytes:
    tasks = [{"body": make_task_body(task.run_ms, task.answer_bytes)} for task in job.tasks]
    return orjson.dumps(
        {
            "submission": job.submission,
            "caller": job.caller,
            "service": job.service,
            "deadline_ms": int(job.deadline_ms),
            "tasks": tasks,
        }
    )


def _read_answer(job: JobSpec, response: Response) -> tuple[str, tuple[str, ...], bool]:
    value = orjson.loads(response.body)
    if response.status == 200:
        name = f"{job.caller}/{job.submission}"
        wanted = [
            make_answer(name, number, task.answer_bytes).decode()
            for number, task in enumerate(job.tasks)
        ]
        return "complete", (), value.get("answers") == wanted
    states = tuple(task["state"] for task in value.get("tasks", ()))
    return value.get("error", {}).get("kind", "unknown"), states, True


async def _cancel(system: MeasuredSystem, job: JobSpec, entries: list[str], at_ms: float) -> None:
    await _sleep_until(at_ms)
    path = f"/v1/jobs/{job.caller}/{job.submission}"
    await system.client.request("DELETE", entries[0], path, timeout_ms=ANSWER_MARGIN_MS)


async def _sleep_until(moment_ms: float) -> None:
    wait_ms = moment_ms - monotonic_ms()
    if wait_ms > 0:
        await asyncio.sleep(wait_ms / _MS_PER_S)
