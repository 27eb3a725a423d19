"""``apricotrail measure``: figures of the real roles on loopback."""

import asyncio
import json as json_format
import sys
from itertools import product

from apricotrail.errors import ApricotrailError
from apricotrail.measure._faults import FAULTS
from apricotrail.measure._figures import Figures, render_table
from apricotrail.measure._load import LoadShape, make_load
from apricotrail.measure._model import ModelShape, run_model
from apricotrail.measure._run import RunPlan, run_plan

__all__ = ["MEASURE_COMMANDS"]

SLOTS = 88


def run(
    *,
    deployment: list[str] = ["reparo"],  # noqa: B006
    fault: list[str] = ["calm"],  # noqa: B006
    placement: list[str] = ["late-binding"],  # noqa: B006
    load: list[float] = [0.7],  # noqa: B006
    seconds: float = 20.0,
    deadline_ms: int = 0,
    seed: int = 1,
    one_process: bool = False,
    hosted: bool = False,
    json: bool = False,
) -> int:
    """Run every combination, one after the other, and print a table of figures.

    Parameters
    ----------
    deployment
        reparo or areneros.
    fault
        Fault scripts, see ``apricotrail measure faults``.
    placement
        late-binding, power-of-two, join-shortest or random.
    load
        Load factors: work offered over the work that all slots can do.
    seconds
        Time in which jobs arrive.
    deadline_ms
        Deadline of every job, 0 for the deployment's.
    seed
        Seed of load and choices.
    one_process
        Run all roles in this process; quicker to start, and no role can be killed.
    hosted
        Entries host the agents; otherwise each target has an agent process beside it.
    json
        Print JSON instead of a table.
    """
    plans = [
        RunPlan(size, name, policy, factor, seconds, deadline_ms, seed, not one_process, hosted)
        for size, name, factor, policy in product(deployment, fault, load, placement)
    ]
    rows = []
    for plan in plans:
        try:
            rows.append((_describe(plan), asyncio.run(run_plan(plan))))
            print(*rows[-1], file=sys.stderr)
        except ApricotrailError as error:
            print(_describe(plan), error.problem, file=sys.stderr)
    print(_render_json(rows) if json else render_table(rows))
    return int(len(rows) < len(plans) or any(_breaks_promise(figures) for _, figures in rows))


def faults() -> None:
    """List the fault scripts."""
    for script in FAULTS.values():
        print(f"{script.name:16} {script.meaning}")


def model(
    *,
    placement: list[str] = ["late-binding"],  # noqa: B006
    load: list[float] = [0.7],  # noqa: B006
    report_ms: list[float] = [1_000.0],  # noqa: B006
    callers: int = 9,
    deadline_ms: float = 30_000.0,
    seconds: float = 30.0,
    seed: int = 1,
) -> None:
    """Print model figures, in virtual time: placements with and without offers of free slots.

    Parameters
    ----------
    placement
        late-binding, power-of-two, join-shortest or random.
    load
        Load factors: work offered over the work that all slots can do.
    report_ms
        Intervals of load reports.
    callers
        Callers, in three teams.
    deadline_ms
        Deadline of every job.
    seconds
        Virtual time in which jobs arrive.
    seed
        Seed of load and choices.
    """
    rows = []
    for factor, interval_ms, policy, offers in product(load, report_ms, placement, (False, True)):
        shape = ModelShape(placement=policy, report_ms=interval_ms, offers=offers, seed=seed)
        name = f"{factor:g} {policy} {'offers' if offers else 'no offers'} {interval_ms:g} ms"
        names = [(f"caller-{number}", f"team-{number % 3}") for number in range(callers)]
        load_shape = LoadShape(
            factor, SLOTS, seconds * 1_000, callers=names, deadline_ms=deadline_ms
        )
        rows.append((name, run_model(shape, make_load(load_shape, seed), seconds * 1_000)))
    print(render_table(rows))


MEASURE_COMMANDS = {"run": run, "faults": faults, "model": model}


def _describe(plan: RunPlan) -> str:
    hosted = " hosted" if plan.hosted else ""
    return f"{plan.deployment} {plan.fault} {plan.load_factor:g} {plan.placement}{hosted}"


def _render_json(rows: list[tuple[str, Figures]]) -> str:
    return json_format.dumps([{"run": name} | figures._asdict() for name, figures in rows])


def _breaks_promise(figures: Figures) -> bool:
    counts = (
        figures.double_starts,
        figures.false_reports,
        figures.starts_out_of_service,
        figures.broken_answers,
    )
    return any(counts)
