"""Fault scripts: what is done to a measured system while its load runs."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import NamedTuple

from apricotrail.clocks import monotonic_ms
from apricotrail.measure._deployment import Deployment
from apricotrail.measure._ideal import SlotChange
from apricotrail.measure._load import JobSpec
from apricotrail.measure._system import MeasuredSystem
from apricotrail.measure._target import FaultMode

__all__ = ["FAULTS", "FaultScript", "Step", "cancel_wave", "run_script", "slot_changes"]

ZONE_GRACE_MS = 3_000.0
BURST_JOBS = 40
CANCELLED_SHARE = 0.5
_MS_PER_S = 1_000.0

Action = Callable[[MeasuredSystem], Awaitable[None]]


class Step(NamedTuple):
    """One action of a script.

    Attributes
    ----------
    share : float
        Moment as a share of the load's duration.
    action : callable
        What to do.
    """

    share: float
    action: Action


class FaultScript(NamedTuple):
    """A named row of the fault table.

    Attributes
    ----------
    name : str
        Name on the command line.
    meaning : str
        What happens.
    steps : sequence of Step
        Actions in order.
    zone_out : tuple of float
        Shares of the duration at which the first zone leaves and returns, empty if it stays.
    lost_targets : tuple of float
        The same for the first target.
    burst : bool
        Whether a burst of jobs arrives at once at half time.
    cancels : bool
        Whether half of the jobs are cancelled at half time.
    """

    name: str
    meaning: str
    steps: Sequence[Step] = ()
    zone_out: tuple[float, ...] = ()
    lost_targets: tuple[float, ...] = ()
    burst: bool = False
    cancels: bool = False


async def run_script(system: MeasuredSystem, script: FaultScript, duration_ms: float) -> None:
    """Run the steps of a script at their moments."""
    began_ms = monotonic_ms()
    for step in script.steps:
        wait_ms = began_ms + step.share * duration_ms - monotonic_ms()
        await asyncio.sleep(max(0.0, wait_ms) / _MS_PER_S)
        await step.action(system)


def slot_changes(
    script: FaultScript, deployment: Deployment, duration_ms: float
) -> list[SlotChange]:
    """Return the slots in service over the load."""
    places = deployment.places()
    in_zone = sum(place.zone == deployment.zones[0] for place in places)
    moments: list[tuple[float, int]] = []
    for shares, targets in ((script.zone_out, in_zone), (script.lost_targets, 1)):
        for number, share in enumerate(shares):
            sign = 1 if number % 2 else -1
            moments.append((share * duration_ms, sign * targets * deployment.slots))
    slots = deployment.all_slots()
    changes = [SlotChange(0.0, slots)]
    for at_ms, change in sorted(moments):
        slots += change
        changes.append(SlotChange(at_ms, slots))
    return changes


def add_burst(jobs: list[JobSpec], duration_ms: float) -> list[JobSpec]:
    """Move the jobs after half time that make a burst to half time."""
    half_ms = duration_ms / 2
    late = [job for job in jobs if job.at_ms >= half_ms]
    moved = {job.submission for job in late[:BURST_JOBS]}
    changed = [job._replace(at_ms=half_ms) if job.submission in moved else job for job in jobs]
    return sorted(changed, key=lambda job: job.at_ms)


def cancel_wave(jobs: Sequence[JobSpec], duration_ms: float) -> dict[str, float]:
    """Return the moments at which callers cancel: half of the earlier jobs, all at half time."""
    half_ms = duration_ms / 2
    early = [job for job in jobs if job.at_ms < half_ms]
    wave = early[int(len(early) * (1 - CANCELLED_SHARE)) :]
    return {job.submission: half_ms for job in wave}


def _set_mode(mode: FaultMode, number: int = 0) -> Action:
    async def act(system: MeasuredSystem) -> None:
        list(system.targets.values())[number].mode = mode

    return act


async def _take_zone_out(system: MeasuredSystem) -> None:
    zone = system.deployment.zones[0]
    from_ms = monotonic_ms() + ZONE_GRACE_MS
    for target in system.targets.values():
        if target.zone == zone:
            target.forbid_starts(from_ms)
    await system.set_zone(zone, False)


async def _bring_zone_in(system: MeasuredSystem) -> None:
    zone = system.deployment.zones[0]
    for target in system.targets.values():
        if target.zone == zone:
            target.forbid_starts(None)
    await system.set_zone(zone, True)


async def _crash_target(system: MeasuredSystem) -> None:
    await next(iter(system.targets.values())).crash()


async def _restart_target(system: MeasuredSystem) -> None:
    await next(iter(system.targets.values())).listen()


def _kill(name: str) -> Action:
    return lambda system: system.kill(name)


def _start(name: str) -> Action:
    return lambda system: system.start_role(name)


async def _kill_zone(system: MeasuredSystem) -> None:
    zone = system.deployment.zones[0]
    for name, target in system.targets.items():
        if target.zone == zone:
            await system.kill(f"agent-{name}")
            await target.crash()


async def _revive_zone(system: MeasuredSystem) -> None:
    zone = system.deployment.zones[0]
    for name, target in system.targets.items():
        if target.zone == zone:
            await target.listen()
            await system.start_role(f"agent-{name}")


_OUT_IN = (0.3, 0.65)
_FLAPS = (0.2, 0.35, 0.5, 0.65)

_SCRIPTS = (
    FaultScript("calm", "Nothing fails."),
    FaultScript("burst", "Forty jobs arrive at once.", burst=True),
    FaultScript(
        "zone-out-in",
        "Operators take a zone out and bring it back.",
        (Step(_OUT_IN[0], _take_zone_out), Step(_OUT_IN[1], _bring_zone_in)),
        zone_out=_OUT_IN,
    ),
    FaultScript(
        "zone-flaps",
        "Operators take a zone out and bring it back, twice.",
        tuple(
            Step(share, _bring_zone_in if number % 2 else _take_zone_out)
            for number, share in enumerate(_FLAPS)
        ),
        zone_out=_FLAPS,
    ),
    FaultScript(
        "zone-dies",
        "Targets and agents of a zone are killed and start again.",
        (Step(_OUT_IN[0], _kill_zone), Step(_OUT_IN[1], _revive_zone)),
        zone_out=_OUT_IN,
    ),
    FaultScript(
        "black-hole",
        "A target fails every task at once.",
        (Step(0.2, _set_mode(FaultMode.FAIL)), Step(0.7, _set_mode(FaultMode.OK))),
        lost_targets=(0.2, 0.7),
    ),
    FaultScript(
        "stalled",
        "A target takes tasks and never answers.",
        (Step(0.2, _set_mode(FaultMode.STALL)), Step(0.7, _set_mode(FaultMode.OK))),
        lost_targets=(0.2, 0.7),
    ),
    FaultScript(
        "straggler",
        "A target takes ten times as long.",
        (Step(0.2, _set_mode(FaultMode.SLOW)), Step(0.7, _set_mode(FaultMode.OK))),
        lost_targets=(0.2, 0.7),
    ),
    FaultScript(
        "target-crash",
        "A target's process dies and starts again.",
        (Step(0.3, _crash_target), Step(0.6, _restart_target)),
        lost_targets=(0.3, 0.6),
    ),
    FaultScript(
        "agent-kill",
        "An agent is killed and starts again.",
        (Step(0.3, _kill("agent-runner-0")), Step(0.6, _start("agent-runner-0"))),
        lost_targets=(0.3, 0.6),
    ),
    FaultScript(
        "entry-kill",
        "An entry is killed and starts again.",
        (Step(0.3, _kill("entry-1")), Step(0.6, _start("entry-1"))),
    ),
    FaultScript(
        "entry-and-zone",
        "An entry is killed while a zone is out.",
        (
            Step(_OUT_IN[0], _take_zone_out),
            Step(0.4, _kill("entry-1")),
            Step(0.55, _start("entry-1")),
            Step(_OUT_IN[1], _bring_zone_in),
        ),
        zone_out=_OUT_IN,
    ),
    FaultScript("cancel-wave", "Callers cancel half of their jobs at once.", cancels=True),
)
FAULTS: Mapping[str, FaultScript] = {script.name: script for script in _SCRIPTS}
"""Fault scripts by name."""
