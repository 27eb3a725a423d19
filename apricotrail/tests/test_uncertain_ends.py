"""Ends whose owner is silent, in all orders of loss and return of owner, control and agent.

The processes run as they ship, on a network in virtual time (`linked_system`). Strict in each case:
no two runs of a task at once; no start of a task after its end as done is final, and no final end
of a task that has been started again.
"""

import asyncio
import logging
import unittest
from collections.abc import Callable
from itertools import permutations, product
from random import Random
from typing import NamedTuple

import structlog

from apricotrail.tests.linked_system import LinkedSystem, play_system

CONTROL = ("c0", "c1", "c2")
GAP_S = 0.3  # between two losses, or two returns
RESOLVED_S = 12.5  # a doubt of 10 s, and a lease
FRESH_S = 0.08  # runs of d0 take 0.13 s
POWERLESS_S = 1.6


Step = tuple[float, Callable[[LinkedSystem], object]]


class Fault(NamedTuple):
    """A loss and its return.

    Attributes
    ----------
    lose, return_ : callable
        Functions of the system.
    """

    lose: Callable[[LinkedSystem], object]
    return_: Callable[[LinkedSystem], object]


def cut(*pairs: tuple[str, str]) -> Fault:
    return Fault(
        lambda system: [system.loop.cut(*pair) for pair in pairs],
        lambda system: [system.loop.heal(*pair) for pair in pairs],
    )


def cut_and_reset(*pairs: tuple[str, str]) -> Fault:
    """Return a cut that both ends notice at once."""

    def lose(system: LinkedSystem) -> None:
        for pair in pairs:
            system.loop.reset(*pair)
            system.loop.cut(*pair)

    return Fault(lose, cut(*pairs).return_)


def kill(*names: str) -> Fault:
    return Fault(
        lambda system: [system.kill(name) for name in names],
        lambda system: [system.start_host(name) for name in names],
    )


TO_CONTROL = tuple(("a0", name) for name in CONTROL)
OWNER_FAULTS = {
    "cut": cut(("d0", "a0")),
    "reset": cut_and_reset(("d0", "a0")),
    "killed": kill("d0"),
}
CONTROL_FAULTS = {
    "cut": cut(*TO_CONTROL),
    "reset": cut_and_reset(*TO_CONTROL),
    "killed": kill(*CONTROL),
}
AGENT_FAULT = kill("a0")


async def play_steps(system: LinkedSystem, steps: list[Step]) -> None:
    """Play steps, each a time to wait after it and what to do.

    Runs of one owner end all the time until the last step, those of the other keep leases alive.
    """
    ending = asyncio.ensure_future(system.keep_busy("d0", 0.07, 1, 130.0))
    lasting = asyncio.ensure_future(system.keep_busy("d1", 0.4, 2, 600.0))
    await asyncio.sleep(1.0)
    for wait_s, act in steps[:-1]:
        act(system)
        await asyncio.sleep(wait_s)
    ending.cancel()
    wait_s, act = steps[-1]
    act(system)
    await asyncio.sleep(wait_s)
    lasting.cancel()


def order_steps(losses: list[Fault], returns: list[Fault], away_s: float) -> list[Step]:
    """Return steps that lose in the order of `losses` and return in that of `returns`."""
    steps = [
        *((GAP_S, fault.lose) for fault in losses[:-1]),
        (GAP_S + away_s, losses[-1].lose),
        *((GAP_S, fault.return_) for fault in returns[:-1]),
        (GAP_S + RESOLVED_S, returns[-1].return_),
    ]
    return steps


def setUpModule() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def tearDownModule() -> None:
    structlog.reset_defaults()


class TestOrders(unittest.TestCase):
    def check(self, losses: list[Fault], returns: list[Fault], away_s: float) -> LinkedSystem:
        steps = order_steps(losses, returns, away_s)
        system = play_system(lambda it: play_steps(it, steps))
        self.assertEqual(system.violations, [])
        self.assertGreater(len(system.started), 60)
        gate = system.last_gates["a0"]
        self.assertLess(gate.highest_end - gate.highest_final_end, 5)
        return system

    # Guards against ends that are final although their owner has started the tasks again.
    def test_owner_and_control_in_all_orders(self):
        for owner, control, away_s in product(("cut", "killed"), CONTROL_FAULTS, (1.2, 3.0)):
            faults = [OWNER_FAULTS[owner], CONTROL_FAULTS[control]]
            for losses, returns in product(permutations(faults), permutations(faults)):
                order = (losses[0] is faults[0], returns[0] is faults[0])
                with self.subTest(owner=owner, control=control, away_s=away_s, order=order):
                    self.check(list(losses), list(returns), away_s)

    # Guards against ends that a new agent makes final without knowing what the former one knew.
    def test_owner_control_and_agent_in_all_orders(self):
        random = Random(5)
        indices = range(3)
        for losses, returns in product(permutations(indices), permutations(indices)):
            owner, control = random.choice(list(OWNER_FAULTS)), random.choice(list(CONTROL_FAULTS))
            away_s = random.choice((0.2, 1.2, 3.0))
            faults = [OWNER_FAULTS[owner], CONTROL_FAULTS[control], AGENT_FAULT]
            with self.subTest(
                owner=owner, control=control, away_s=away_s, losses=losses, returns=returns
            ):
                self.check([faults[it] for it in losses], [faults[it] for it in returns], away_s)


def has_fresh_run(system: LinkedSystem, name: str) -> bool:
    """Return whether an agent has just started a run of d0, so that it ends after a loss now."""
    now_s = system.loop.time()
    return any(
        agent == name and key[0].startswith("d0") and now_s - at_s < FRESH_S
        for at_s, agent, key in system.started
    )


class TestPowerLoss(unittest.TestCase):
    # Guards against agents that stop serving all owners for one whose end is in doubt: when all of
    # control and half of the dispatchers lost power, nearly all runners were closed for a second.
    def test_runs_of_others_go_on_and_start_while_control_and_an_owner_have_no_power(self):
        async def play(system: LinkedSystem) -> None:
            work = [
                asyncio.ensure_future(system.keep_busy("d0", 0.07, 1, 130.0)),
                asyncio.ensure_future(system.keep_busy("d1", 0.1, 2, 600.0)),
            ]
            await asyncio.sleep(1.5)
            while not all(has_fresh_run(system, name) for name in system.agents):
                await asyncio.sleep(0.01)
            self.lost_s = system.loop.time()
            system.lose_power((*CONTROL, "d0"), POWERLESS_S)
            await asyncio.sleep(1.3)
            self.held = {name: it.gate.has_unconfirmed for name, it in system.agents.items()}
            await asyncio.sleep(6.0)
            for task in work:
                task.cancel()

        system = play_system(play)
        self.assertEqual(self.held, {"a0": True, "a1": True})
        self.assertEqual(system.violations, [])
        lost = [it for it in system.lost if it[2][0].startswith("d1")]
        self.assertEqual(lost, [])
        for name in ("a0", "a1"):
            starts_s = [at_s for at_s, agent, _ in system.started if agent == name]
            after_s = [at_s for at_s in starts_s if at_s >= self.lost_s]
            gaps_s = [b - a for a, b in zip([self.lost_s, *after_s], after_s, strict=False)]
            self.assertLess(max(gaps_s), 0.5)
            gate = system.last_gates[name]
            self.assertEqual(gate.highest_end, gate.highest_final_end)


class TestRulesThatWereWrong(unittest.TestCase):
    """Orders of events in which rules that seemed right let an end be final."""

    # Guards against young replicas taken for proof that control was down: it was up, and the owner
    # wrote the runs off, while the agent was cut off.
    def test_restart_of_control_after_a_write_off(self):
        for after_s, fault in product((2.1, 2.5, 3.0), (cut, cut_and_reset)):
            with self.subTest(after_s=after_s, fault=fault.__name__):
                steps: list[Step] = [
                    (after_s, fault(("d0", "a0"), *TO_CONTROL).lose),
                    (0.0, kill(*CONTROL).lose),
                    (0.0, kill(*CONTROL).return_),
                    (0.1, kill("d0").lose),
                    (RESOLVED_S, cut(("d0", "a0"), *TO_CONTROL).return_),
                ]
                system = play_system(lambda it, steps=steps: play_steps(it, steps))
                self.assertEqual(system.violations, [])

    # Guards against a new agent that takes a run whose end is final for one that was lost.
    def test_an_agent_that_restarts_after_it_made_ends_final(self):
        for before_s, down_s in product((3.8, 4.6, 6.0), (0.0, 0.5)):
            with self.subTest(before_s=before_s, down_s=down_s):
                steps: list[Step] = [
                    (before_s, cut(("d0", "a0")).lose),
                    (down_s, AGENT_FAULT.lose),
                    (0.8, AGENT_FAULT.return_),
                    (4.0, cut(("d0", "a0")).return_),
                ]
                system = play_system(lambda it, steps=steps: play_steps(it, steps))
                self.assertEqual(system.violations, [])

    # Guards against a new agent that takes 4 s of contact with control for proof: the owner wrote
    # the runs off before, and other owners' claims kept the lease alive.
    def test_ends_that_a_new_agent_finds(self):
        for before_s, down_s, returns_s in product((1.75, 1.9, 2.05), (0.15, 0.35), (0.5, 6.0)):
            with self.subTest(before_s=before_s, down_s=down_s, returns_s=returns_s):
                steps: list[Step] = [
                    (before_s, cut(("d0", "a0")).lose),
                    (down_s, AGENT_FAULT.lose),
                    (returns_s, AGENT_FAULT.return_),
                    (RESOLVED_S, cut(("d0", "a0")).return_),
                ]
                system = play_system(lambda it, steps=steps: play_steps(it, steps))
                self.assertEqual(system.violations, [])
