"""When a process dials agents and releases them, as the lists of control change."""

import unittest

from apricotrail.clocks import VirtualClock
from apricotrail.membership._agent_links import (
    AGENT_GONE_MS,
    DIALER_GONE_MS,
    RETIRE_AFTER_MS,
    SETTLED_AFTER_MS,
    AgentLinkParts,
    AgentLinks,
)
from apricotrail.membership._agent_subset import MIN_AGENTS
from apricotrail.wire.generated.ttypes import Identity


class FakeEndpoint:
    def __init__(self) -> None:
        self.identity = Identity("front-0", "dispatcher", "pipa", 1, "front-0")
        self.links = {}
        self.dialed = set()

    def dial(self, address):
        self.dialed.add(address)
        self.links[address] = None

    def undial(self, address):
        self.dialed.discard(address)
        self.links.pop(address, None)


def list_nodes(dialers: int, agents: int) -> list[Identity]:
    return [
        *(Identity(f"front-{n}", "dispatcher", "pipa", 1, "") for n in range(dialers)),
        *(Identity(f"side-{n}", "runner", "pipa", 1, f"side-{n}") for n in range(agents)),
    ]


class AgentLinkCase:
    """Agent links on virtual time whose runner links are released as the test says."""

    def __init__(self) -> None:
        self.clock = VirtualClock(50_000.0)
        self.endpoint = FakeEndpoint()
        self.busy = set()
        self.retired = frozenset()
        self.links = AgentLinks(AgentLinkParts(self.endpoint, "runner", self.clock, self._retire))

    def _retire(self, names):
        self.retired = names
        return frozenset(names - self.busy)

    def settle(self, nodes, is_in_contact=True, total_ms=2 * SETTLED_AFTER_MS) -> set[str]:
        for _ in range(int(total_ms / 500)):
            self.links.adjust(nodes, is_in_contact)
            self.clock.advance(500)
        return set(self.endpoint.dialed)


class TestAgentLinks(unittest.TestCase):
    def test_a_start_of_the_whole_system_dials_no_more_than_the_usual_number(self):
        """All processes are listed one after the other, and each believes to be the only one."""
        case = AgentLinkCase()
        for number in range(1, 41):
            case.links.adjust(list_nodes(number, 160), True)
            case.clock.advance(20)
            self.assertLessEqual(len(case.endpoint.dialed), 2 * MIN_AGENTS)

    def test_a_restart_moves_no_links(self):
        case = AgentLinkCase()
        before = case.settle(list_nodes(40, 160))
        listed = [node for node in list_nodes(40, 160) if node.name not in ("front-7", "side-9")]
        self.assertEqual(case.settle(listed, total_ms=DIALER_GONE_MS - 500), before)

    def test_nothing_is_forgotten_without_contact_with_control(self):
        case = AgentLinkCase()
        before = case.settle(list_nodes(40, 160))
        case.endpoint.links.clear()
        self.assertEqual(case.settle([], False, 2 * AGENT_GONE_MS), before)

    def test_an_outage_of_control_moves_no_links(self):
        """All replicas lose power for seconds; afterwards they list the processes one by one."""
        case = AgentLinkCase()
        before = case.settle(list_nodes(40, 160))
        case.settle([], False, 2 * DIALER_GONE_MS)
        for number in range(40):
            case.links.adjust(list_nodes(number, 4 * number), True)
            case.clock.advance(DIALER_GONE_MS / 50)
        self.assertEqual(set(case.endpoint.dialed), before)

    def test_a_agent_that_is_gone_is_dialed_no_more(self):
        case = AgentLinkCase()
        case.settle(list_nodes(3, 5))
        case.endpoint.links.pop("side-4")
        dialed = case.settle(list_nodes(3, 4), total_ms=AGENT_GONE_MS + 1_000)
        self.assertEqual(dialed, {f"side-{n}" for n in range(4)})

    def test_a_agent_is_released_only_when_others_had_time_and_nothing_runs_there(self):
        case = AgentLinkCase()
        before = case.settle(list_nodes(10, 160))
        after = case.settle(list_nodes(40, 160))
        self.assertEqual(after, before)
        self.assertEqual(case.retired, frozenset())
        case.busy = {sorted(before)[0]}
        after = case.settle(list_nodes(40, 160), total_ms=RETIRE_AFTER_MS)
        self.assertLess(len(after), len(before))
        kept = case.retired & case.busy
        self.assertLessEqual(kept, after)

    def test_a_agent_that_is_needed_again_is_used_again(self):
        case = AgentLinkCase()
        before = case.settle(list_nodes(10, 160))
        case.busy = set(before)
        case.settle(list_nodes(40, 160), total_ms=RETIRE_AFTER_MS + 1_000)
        self.assertTrue(case.retired)
        case.settle(list_nodes(10, 160), total_ms=DIALER_GONE_MS + 1_000)
        self.assertEqual(case.retired, frozenset())
