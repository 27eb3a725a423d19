"""Seeded load: jobs of short tasks that arrive independently of how fast they are answered."""

from collections.abc import Sequence
from math import exp, log
from random import Random
from typing import NamedTuple

__all__ = ["JobSpec", "LoadShape", "TaskSpec", "make_load", "mean_task_ms", "mean_tasks"]

_MS_PER_S = 1_000.0


class TaskSpec(NamedTuple):
    """What one task asks of a stand-in target.

    Attributes
    ----------
    run_ms : float
        Run time in milliseconds.
    answer_bytes : int
        Size of the answer.
    """

    run_ms: float
    answer_bytes: int


class JobSpec(NamedTuple):
    """One job of a load.

    Attributes
    ----------
    submission : str
        Submission id, unique in the load.
    caller, team, service : str
        Ids.
    at_ms : float
        Arrival after the start of the load.
    deadline_ms : float
        Time allowed for the answer.
    tasks : sequence of TaskSpec
        Tasks in order.
    """

    submission: str
    caller: str
    team: str
    service: str
    at_ms: float
    deadline_ms: float
    tasks: Sequence[TaskSpec]


class LoadShape(NamedTuple):
    """Parameters of a load.

    Attributes
    ----------
    load_factor : float
        Mean work offered over the work that `slots` can do.
    slots : int
        Slots of the service.
    duration_ms : float
        Time in which jobs arrive.
    service : str
        Service id.
    callers : sequence of (str, str)
        Caller and team ids.
    run_ms : (float, float)
        Shortest and longest run time of an ordinary task, drawn evenly on a log scale.
    long_run_ms : (float, float)
        The same for a long task.
    long_share : float
        Share of tasks that are long.
    tasks : (int, int)
        Fewest and most tasks a job, drawn evenly on a log scale.
    answer_bytes : int
        Size of each answer.
    deadline_ms : float
        Time allowed for each answer.
    """

    load_factor: float
    slots: int
    duration_ms: float
    service: str = "service"
    callers: Sequence[tuple[str, str]] = (("caller", "team"),)
    run_ms: tuple[float, float] = (50.0, 1_000.0)
    long_run_ms: tuple[float, float] = (2_000.0, 5_000.0)
    long_share: float = 0.01
    tasks: tuple[int, int] = (1, 300)
    answer_bytes: int = 200
    deadline_ms: float = 30_000.0


def make_load(shape: LoadShape, seed: int) -> list[JobSpec]:
    """Return the jobs of a load in order of arrival; arrivals are a Poisson process.

    Examples
    --------
    >>> jobs = make_load(LoadShape(0.5, 88, 10_000.0), seed=1)
    >>> all(1 <= len(job.tasks) <= 300 for job in jobs)
    True
    """
    random = Random(seed)
    jobs: list[JobSpec] = []
    rate = shape.load_factor * shape.slots / (mean_tasks(shape) * mean_task_ms(shape))
    at_ms = random.expovariate(rate)
    while at_ms < shape.duration_ms:
        caller, team = random.choice(shape.callers)
        tasks = [_draw_task(shape, random) for _ in range(_draw_tasks(shape, random))]
        submission = f"{seed}-{len(jobs)}"
        jobs.append(
            JobSpec(submission, caller, team, shape.service, at_ms, shape.deadline_ms, tasks)
        )
        at_ms += random.expovariate(rate)
    return jobs


def mean_task_ms(shape: LoadShape) -> float:
    """Return the expected run time of a task."""
    ordinary_ms = _log_uniform_mean(*shape.run_ms)
    return ordinary_ms + shape.long_share * (_log_uniform_mean(*shape.long_run_ms) - ordinary_ms)


def mean_tasks(shape: LoadShape) -> float:
    """Return the expected number of tasks of a job, up to rounding."""
    return _log_uniform_mean(*shape.tasks)


def _draw_task(shape: LoadShape, random: Random) -> TaskSpec:
    bounds = shape.long_run_ms if random.random() < shape.long_share else shape.run_ms
    return TaskSpec(round(_draw_log_uniform(*bounds, random), 1), shape.answer_bytes)


def _draw_tasks(shape: LoadShape, random: Random) -> int:
    return round(_draw_log_uniform(*shape.tasks, random))


def _draw_log_uniform(low: float, high: float, random: Random) -> float:
    return exp(random.uniform(log(low), log(high)))


def _log_uniform_mean(low: float, high: float) -> float:
    return low if low == high else (high - low) / log(high / low)
