"""Placement: chooses the targets that get the next tasks of an entry's queue.

A placement maps the known state of the targets and a number of waiting tasks to assignments. Only
known free slots are used; the other tasks stay queued. Reports may be stale: an agent that has no
free slot refuses, and the task is queued again.
"""

from collections.abc import Callable, Sequence
from math import inf
from random import Random
from typing import NamedTuple

__all__ = [
    "PLACEMENTS",
    "Assignment",
    "Candidate",
    "Placement",
    "list_targets_to_ask",
    "make_join_shortest",
    "make_late_binding",
    "make_power_of_two",
    "make_random",
]

SLOW_FACTOR = 3.0  # multiple of the targets' median run time above which a target is slow


class Candidate(NamedTuple):
    """What an entry knows of one target that may be used.

    Attributes
    ----------
    name : str
        Name by which assignments refer to the target; entries use the link name of its agent.
    zone : str
        Zone id; not used by the placements here.
    free_slots : int
        Free slots by the last report less the starts sent since, granted slots excluded.
    granted : int
        Free slots reserved for this entry.
    slots : int
        All slots of the target.
    queue_ahead : int
        Tasks of this entry sent to the target and not yet answered.
    latency_ms : float
        Round-trip time to the agent; not used by the placements here.
    service_ms : float
        Learned run time of a task at this target, 0 if unknown.
    """

    name: str
    zone: str
    free_slots: int
    granted: int
    slots: int
    queue_ahead: int
    latency_ms: float
    service_ms: float


class Assignment(NamedTuple):
    """Number of tasks to start at a target.

    Attributes
    ----------
    name : str
        Name of the candidate.
    count : int
        Tasks, at least 1.
    """

    name: str
    count: int


Placement = Callable[[Sequence[Candidate], int], list[Assignment]]
"""Assigns up to the given number of tasks to candidates; the others stay queued."""


def make_late_binding(random: Random) -> Placement:
    """Return the placement that draws free slots rather than targets, and uses slow targets last.

    A task is bound late: it stays in the entry's queue until there is a known free slot for it.
    Granted slots go first, as no other entry can take them. The remaining tasks go to free slots
    drawn at random, each slot with the same chance, so that entries with the same reports rarely
    choose the same slot. A target whose learned run time is far above the median is used only for
    tasks that would be done no sooner if they waited for the other targets.

    Parameters
    ----------
    random : Random
        Source of choices.

    Examples
    --------
    >>> place = make_late_binding(Random(1))
    >>> place([Candidate("a", "z", 0, 2, 8, 0, 1.0, 0.0)], 5)
    [Assignment(name='a', count=2)]
    """

    def place(candidates: Sequence[Candidate], count: int) -> list[Assignment]:
        ordinary, slow = _split_by_speed(candidates)
        chosen = _draw_slots(ordinary, count, random)
        chosen += _choose_slow_slots(ordinary, slow, count - len(chosen))
        counts: dict[str, int] = {}
        for candidate in chosen:
            counts[candidate.name] = counts.get(candidate.name, 0) + 1
        return [Assignment(name, number) for name, number in counts.items()]

    return place


def list_targets_to_ask(candidates: Sequence[Candidate], waiting: int) -> list[Candidate]:
    """Return the targets to ask to grant their next free slots while `waiting` tasks are queued.

    A slow target is included only if a task there would be done no later than the last of the
    waiting tasks at the other targets.
    """
    ordinary, slow = _split_by_speed(candidates)
    wait_ms = _wait_for_ordinary_ms(ordinary, waiting)
    return ordinary + [candidate for candidate in slow if candidate.service_ms <= wait_ms]


def make_random(random: Random) -> Placement:
    """Return the placement that sends each task to a target with a free slot, drawn at random."""

    def place(candidates: Sequence[Candidate], count: int) -> list[Assignment]:
        return _assign_one_by_one(candidates, count, lambda load: random.choice(list(load)))

    return place


def make_power_of_two(random: Random) -> Placement:
    """Return the placement that draws two targets per task and takes the less loaded one.

    Only targets with a free slot are drawn.

    References
    ----------
    M. Mitzenmacher, "The power of two choices in randomized load balancing", IEEE Transactions on
    Parallel and Distributed Systems, 2001.
    """

    def place(candidates: Sequence[Candidate], count: int) -> list[Assignment]:
        def choose(load: dict[str, float]) -> str:
            pair = random.sample(list(load), min(2, len(load)))
            return min(pair, key=lambda name: load[name])

        return _assign_one_by_one(candidates, count, choose)

    return place


def make_join_shortest() -> Placement:
    """Return the placement that sends each task to the least loaded target with a free slot."""

    def place(candidates: Sequence[Candidate], count: int) -> list[Assignment]:
        return _assign_one_by_one(
            candidates, count, lambda load: min(load, key=lambda name: load[name])
        )

    return place


PLACEMENTS: dict[str, Callable[[Random], Placement]] = {
    "late-binding": make_late_binding,
    "power-of-two": make_power_of_two,
    "join-shortest": lambda random: make_join_shortest(),
    "random": make_random,
}
"""Factories of placements by their name in the settings."""


def _draw_slots(candidates: list[Candidate], count: int, random: Random) -> list[Candidate]:
    granted = [candidate for candidate in candidates for _ in range(candidate.granted)]
    if len(granted) >= count:
        return granted[: max(0, count)]
    free = [candidate for candidate in candidates for _ in range(candidate.free_slots)]
    return granted + random.sample(free, min(len(free), count - len(granted)))


def _split_by_speed(
    candidates: Sequence[Candidate],
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the ordinary and the slow targets; one with an unknown run time is ordinary."""
    known = sorted(candidate.service_ms for candidate in candidates if candidate.service_ms > 0)
    if not known:
        return list(candidates), []
    limit_ms = known[len(known) // 2] * SLOW_FACTOR
    ordinary = [candidate for candidate in candidates if candidate.service_ms <= limit_ms]
    slow = [candidate for candidate in candidates if candidate.service_ms > limit_ms]
    return ordinary, slow


def _choose_slow_slots(
    ordinary: list[Candidate], slow: list[Candidate], waiting: int
) -> list[Candidate]:
    chosen: list[Candidate] = []
    for candidate in sorted(slow, key=lambda candidate: candidate.service_ms):
        for _ in range(candidate.granted + candidate.free_slots):
            left = waiting - len(chosen)
            if left <= 0 or candidate.service_ms > _wait_for_ordinary_ms(ordinary, left):
                return chosen
            chosen.append(candidate)
    return chosen


def _wait_for_ordinary_ms(ordinary: Sequence[Candidate], waiting: int) -> float:
    """Return the time until the last of the waiting tasks would be done without slow targets.

    Each task is assumed to run as long as at the slowest of the ordinary targets; infinite if they
    have no slots.
    """
    slots = sum(candidate.slots for candidate in ordinary)
    if not slots:
        return inf
    return max(candidate.service_ms for candidate in ordinary) * (1 + waiting / slots)


def _assign_one_by_one(
    candidates: Sequence[Candidate], count: int, choose: Callable[[dict[str, float]], str]
) -> list[Assignment]:
    """Assign tasks one by one; `choose` picks a target from the loads of those with a free slot."""
    by_name = {candidate.name: candidate for candidate in candidates}
    usable_slots = {
        candidate.name: candidate.free_slots + candidate.granted for candidate in candidates
    }
    load = {name: _load(by_name[name]) for name, free in usable_slots.items() if free > 0}
    counts: dict[str, int] = {}
    for _ in range(count):
        if not load:
            break
        name = choose(load)
        counts[name] = counts.get(name, 0) + 1
        load[name] += 1 / max(1, by_name[name].slots)
        if counts[name] >= usable_slots[name]:
            del load[name]
    return [Assignment(name, number) for name, number in counts.items()]


def _load(candidate: Candidate) -> float:
    """Return the share of the slots in use; above 1 if more tasks were sent than slots exist."""
    slots = max(1, candidate.slots)
    busy = max(slots - candidate.free_slots - candidate.granted, candidate.queue_ahead)
    return busy / slots
