"""One measured run: a load and a fault script against a system, and its figures."""

import asyncio
from bisect import bisect_right
from contextlib import ExitStack
from typing import NamedTuple

from apricotrail.measure._counters import sum_series
from apricotrail.measure._deployment import DEPLOYMENTS, Deployment
from apricotrail.measure._drive import send_load
from apricotrail.measure._faults import FAULTS, add_burst, cancel_wave, run_script, slot_changes
from apricotrail.measure._figures import Figures, make_figures
from apricotrail.measure._ideal import ideal_work_ms
from apricotrail.measure._load import JobSpec, LoadShape, make_load
from apricotrail.measure._system import start_system

__all__ = ["RunPlan", "run_plan"]

WASTED = "apricotrail_wasted_messages_total"


class RunPlan(NamedTuple):
    """What to run.

    Attributes
    ----------
    deployment, fault, placement : str
        Names.
    load_factor : float
        Work offered over the work that all slots can do.
    duration_s : float
        Time in which jobs arrive, in seconds.
    deadline_ms : int
        Deadline of every job, 0 for the deployment's.
    seed : int
        Seed of load and choices.
    processes : bool
        Whether every role is a process of its own.
    hosted : bool
        Whether entries host the agents of the targets.
    """

    deployment: str = "reparo"
    fault: str = "calm"
    placement: str = "late-binding"
    load_factor: float = 0.7
    duration_s: float = 20.0
    deadline_ms: int = 0
    seed: int = 1
    processes: bool = True
    hosted: bool = False


async def run_plan(plan: RunPlan) -> Figures:
    """Start a system, run the plan against it and return the figures."""
    deployment = DEPLOYMENTS[plan.deployment]
    settings = {"entry.placement": plan.placement}
    with ExitStack() as resources:
        system = await start_system(
            deployment, resources, plan.processes, settings, hosted=plan.hosted
        )
        try:
            return await _measure(plan, deployment, system)
        finally:
            await system.stop()


async def _measure(plan: RunPlan, deployment: Deployment, system) -> Figures:
    script = FAULTS[plan.fault]
    duration_ms = plan.duration_s * 1_000
    jobs = plan_jobs(plan, deployment)
    cancels = cancel_wave(jobs, duration_ms) if script.cancels else {}
    changes = slot_changes(script, deployment, duration_ms)
    moments = [change.at_ms for change in changes]

    def slots_at(at_ms: float) -> int:
        return changes[bisect_right(moments, at_ms) - 1].slots

    faults = asyncio.ensure_future(run_script(system, script, duration_ms))
    load = asyncio.ensure_future(send_load(system, jobs, plan.seed, slots_at, cancels))
    await asyncio.sleep(duration_ms / 1_000)
    work_at_end_ms = system.counts().work_ms
    results = await load
    await faults
    counts = system.counts()
    counts = counts._replace(work_ms=work_at_end_ms, all_work_ms=counts.work_ms)
    metrics = await system.read_metrics()
    ideal_ms = ideal_work_ms(jobs, changes, duration_ms)
    figures = make_figures(results, counts, ideal_ms, sum_series(metrics, WASTED))
    out_ms, in_ms = system.longest_zone_delays_ms()
    return figures._replace(zone_out_ms=out_ms, zone_in_ms=in_ms)


def plan_jobs(plan: RunPlan, deployment: Deployment) -> list[JobSpec]:
    """Return the load of a plan."""
    shape = LoadShape(
        plan.load_factor,
        deployment.all_slots(),
        plan.duration_s * 1_000,
        service=deployment.service,
        callers=deployment.callers(),
        deadline_ms=plan.deadline_ms or deployment.deadline_ms,
    )
    jobs = make_load(shape, plan.seed)
    return add_burst(jobs, plan.duration_s * 1_000) if FAULTS[plan.fault].burst else jobs
