"""Start of hundreds of processes: with whole lists at each change, bytes grow with their cube.

Each process gets the roles that it asked for once, then the changes.
"""

import unittest
from types import SimpleNamespace

from apricotrail.control._nodes import PIECE_NODES, NodeSharing
from apricotrail.resources import LimitCounts
from apricotrail.wire.generated.ttypes import Identity, NodeChanges, NodeList, NodesRequest


class FakeLink:
    def __init__(self, name: str, role: str) -> None:
        self.peer = Identity(name, role, "pipa", 1, name)
        self.sent = []
        self.is_full = False
        self.is_closed = False

    def send(self, message) -> bool:
        self.sent.append(message)
        return not self.is_full

    def close(self) -> None:
        self.is_closed = True


class FakeEndpoint:
    def __init__(self) -> None:
        self.identity = Identity("control-1#a", "control", "pipa", 1, "control-1")
        self.links = {}
        self.open_links = SimpleNamespace(limits_met=LimitCounts("links"))


class NodeCase:
    def __init__(self) -> None:
        self.endpoint = FakeEndpoint()
        self.retired = frozenset()
        self.sharing = NodeSharing(self.endpoint, lambda: self.retired)

    def link(self, name: str, role: str, *asked: str) -> FakeLink:
        link = self.endpoint.links[name] = FakeLink(name, role)
        self.sharing.note_link_change()
        if asked:
            self.sharing.answer_request(link, NodesRequest(list(asked)))
        return link

    def unlink(self, name: str) -> None:
        self.sharing.forget(self.endpoint.links.pop(name))


def list_known(link: FakeLink) -> set[str]:
    """Return the names that the peer of a link knows from its messages."""
    known = set()
    for message in link.sent:
        if message.first:
            known.clear()
        known -= set(message.removed)
        known |= {node.name for node in message.added}
    return known


class TestNodeSharing(unittest.TestCase):
    def test_each_process_learns_the_roles_that_it_asked_for(self):
        case = NodeCase()
        agent = case.link("side-1", "runner", "control")
        entry = case.link("front-1", "dispatcher", "control", "runner", "dispatcher")
        case.sharing.share()
        later = case.link("front-2", "dispatcher", "control", "runner", "dispatcher")
        case.sharing.share()
        case.unlink("side-1")
        case.sharing.share()
        self.assertEqual(list_known(agent), {"control-1#a"})
        self.assertEqual(list_known(entry), {"control-1#a", "front-1", "front-2"})
        self.assertEqual(list_known(later), list_known(entry))

    def test_removed_replicas_are_told_when_they_change_and_to_newcomers(self):
        case = NodeCase()
        agent = case.link("side-1", "runner", "control")
        other = case.link("front-1", "dispatcher", "runner")
        case.sharing.share()
        for retired in ({"a"}, {"a"}, {"a", "b"}, set()):
            case.retired = frozenset(retired)
            case.sharing.share()
        told = [message.retired for message in agent.sent if message.retired is not None]
        self.assertEqual(told, [[], ["a"], ["a", "b"], []])
        self.assertTrue(all(message.retired is None for message in other.sent))
        case.retired = frozenset({"c"})
        case.sharing.share()
        later = case.link("side-2", "runner", "control")
        self.assertEqual(later.sent[0].retired, ["c"])

    def test_messages_and_their_length_at_a_start_of_many(self):
        case = NodeCase()
        for number in range(160):
            case.link(f"side-{number}", "runner", "control")
            case.sharing.share()
        for number in range(40):
            case.link(f"front-{number}", "dispatcher", "control", "runner", "dispatcher")
            case.sharing.share()
        for name, link in case.endpoint.links.items():
            sent = sum(len(message.added) for message in link.sent)
            # Each identity once, and for agents those of control only.
            self.assertLessEqual(sent, 1 if name.startswith("side") else 201, name)

    def test_a_process_that_starts_again_is_listed_with_its_new_incarnation(self):
        case = NodeCase()
        entry = case.link("front-1", "dispatcher", "runner")
        case.link("side-1", "runner")
        case.sharing.share()
        case.unlink("side-1")
        case.link("side-1", "runner").peer.incarnation = 2
        case.sharing.share()
        self.assertEqual([it.incarnation for m in entry.sent for it in m.added], [1, 2])

    def test_long_lists_come_in_pieces(self):
        case = NodeCase()
        for number in range(2 * PIECE_NODES + 1):
            case.link(f"side-{number}", "runner", "control")
        case.sharing.share()
        entry = case.link("front-1", "dispatcher", "runner")
        self.assertEqual([it.first for it in entry.sent], [True, False, False])
        self.assertEqual(len(list_known(entry)), 2 * PIECE_NODES + 1)

    def test_a_process_that_missed_a_change_has_to_ask_again(self):
        case = NodeCase()
        entry = case.link("front-1", "dispatcher", "runner")
        entry.is_full = True
        case.link("side-1", "runner")
        case.sharing.share()
        self.assertTrue(entry.is_closed)

    def test_releases_that_do_not_ask_get_whole_lists(self):
        case = NodeCase()
        entry = case.link("front-1", "dispatcher")
        replica = case.link("control-2#b", "control")
        case.link("side-1", "runner", "control")
        case.sharing.share()
        self.assertIsInstance(entry.sent[-1], NodeList)
        self.assertEqual(len(entry.sent[-1].nodes), 4)
        self.assertEqual({it.role for it in replica.sent[-1].nodes}, {"control"})

    def test_nothing_is_sent_without_a_change(self):
        case = NodeCase()
        entry = case.link("front-1", "dispatcher", "runner")
        case.sharing.share()
        case.sharing.note_link_change()
        case.sharing.share()
        self.assertEqual(entry.sent, [NodeChanges([], [], True)])
