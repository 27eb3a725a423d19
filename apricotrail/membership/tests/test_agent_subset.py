"""A mesh of every dialing process with every agent: its links grow with the product of both.

Chosen subsets keep the links of a process the same at any size, spread over the agents evenly, and
move few of them when processes come and go.
"""

import unittest

from apricotrail.membership._agent_subset import DIALERS_PER_AGENT, MIN_AGENTS, AgentSubset


def make_names(kind: str, count: int) -> list[str]:
    return [f"{kind}-zone{number % 6}-{number}" for number in range(count)]


def choose(dialers: list[str], agents: list[str]) -> dict[str, set[str]]:
    chosen = {}
    for dialer in dialers:
        subset = AgentSubset(dialer)
        subset.update(dialers, agents)
        chosen[dialer] = set(subset.list_wanted())
    return chosen


class TestSubset(unittest.TestCase):
    def test_a_few_agents_are_dialed_by_all(self):
        agents = make_names("side", 11)
        for wanted in choose(make_names("front", 9), agents).values():
            self.assertEqual(wanted, set(agents))

    def test_links_of_a_process_do_not_grow_with_the_fleet(self):
        for dialer_count, agent_count in ((40, 160), (100, 400)):
            dialers = make_names("front", dialer_count)
            agents = make_names("side", agent_count)
            chosen = choose(dialers, agents)
            for agent in agents:
                linked = sum(agent in wanted for wanted in chosen.values())
                self.assertEqual(linked, DIALERS_PER_AGENT)
            for wanted in chosen.values():
                self.assertLess(len(wanted), 2 * MIN_AGENTS)
                self.assertGreater(len(wanted), MIN_AGENTS / 2)
                # A zone that is cut off takes only part of them.
                zones = [name.split("-")[1] for name in wanted]
                self.assertLess(max(map(zones.count, zones)), len(zones) / 2)

    def test_many_dialing_processes_still_have_enough_agents_each(self):
        for wanted in choose(make_names("front", 60), make_names("side", 64)).values():
            self.assertGreater(len(wanted), MIN_AGENTS / 2)

    def test_a_process_that_leaves_moves_only_the_links_to_its_own_agents(self):
        dialers, agents = make_names("front", 40), make_names("side", 160)
        before = choose(dialers, agents)
        gone = dialers.pop()
        after = choose(dialers, agents)
        for dialer in dialers:
            self.assertEqual(before[dialer] - after[dialer], set())
            self.assertLessEqual(after[dialer] - before[dialer], before[gone])

    def test_changes_one_at_a_time_lead_to_the_same_choice_as_all_at_once(self):
        dialers, agents = make_names("front", 20), make_names("side", 70)
        subset = AgentSubset(dialers[3])
        for number in range(1, 21):
            subset.update(dialers[:number], agents[: 4 * number])
        subset.update(dialers[1:], agents[5:])
        self.assertEqual(set(subset.list_wanted()), choose(dialers[1:], agents[5:])[dialers[3]])
