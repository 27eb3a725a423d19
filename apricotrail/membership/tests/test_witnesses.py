"""Which replicas are known to have listed a process since an owner fell silent."""

import unittest
from typing import NamedTuple

from apricotrail.clocks import VirtualClock
from apricotrail.membership._run_limits import LISTS_COMPLETE_MS, WRITE_OFF_CONTACT_MS
from apricotrail.membership._witnesses import Witnesses

SINCE_MS = 100_000.0
REPLICA = "pipa-1#c0ffee"


class Link(NamedTuple):
    """A link by the own clock: when it came up, when its echoes arrived, the replica's start."""

    case: str
    first_echo_ms: float
    started_ms: float | None
    is_witness: bool


LINKS = (
    Link("same link since before", SINCE_MS - 10, None, True),
    Link("same link, and the uptime is known", SINCE_MS - 10, SINCE_MS - 9_000, True),
    Link("new link to an old process", SINCE_MS + 500, SINCE_MS - 9_000, False),
    Link("new link, uptime unknown", SINCE_MS + 500, None, False),
    Link("new process, linked at once", SINCE_MS + 2_000, SINCE_MS + 1_700, True),
    Link("new process, linked late", SINCE_MS + 4_000, SINCE_MS + 1_700, False),
    Link("process too young", SINCE_MS + 2_600, SINCE_MS + WRITE_OFF_CONTACT_MS, False),
    Link("just young enough", SINCE_MS + 2_600, SINCE_MS + WRITE_OFF_CONTACT_MS - 20, True),
    Link("process of just before", SINCE_MS + 300, SINCE_MS - 50, False),
    Link("linked just in time", SINCE_MS + 90 + LISTS_COMPLETE_MS - 20, SINCE_MS + 90, True),
)


def echo(witnesses: Witnesses, clock: VirtualClock, link: Link, at_ms: float, name=REPLICA) -> None:
    """Receive an echo of a heartbeat that was sent 5 ms before."""
    clock.now_ms = at_ms
    uptime_ms = None if link.started_ms is None else int(at_ms - 2 - link.started_ms)
    witnesses.note_echo(name, at_ms - 5, uptime_ms)


class TestWitnesses(unittest.TestCase):
    # Guards against an end that is final although a replica may have stopped listing its agent.
    def test_only_replicas_that_listed_the_process_throughout_are_witnesses(self):
        for link in LINKS:
            with self.subTest(link.case):
                clock = VirtualClock(SINCE_MS - 60_000)
                witnesses = Witnesses(clock)
                witnesses.note_up(REPLICA)
                echo(witnesses, clock, link, link.first_echo_ms)
                echo(witnesses, clock, link, SINCE_MS + 9_000)
                expected_ms = SINCE_MS + 8_995 if link.is_witness else 0.0
                self.assertEqual(witnesses.find_contact_ms(SINCE_MS, {"pipa-1"}), expected_ms)

    # Guards against a link that was opened again and counts as the one before.
    def test_a_link_that_was_lost_is_none_any_more(self):
        for has_new_link in (False, True):
            clock = VirtualClock(SINCE_MS - 60_000)
            witnesses = Witnesses(clock)
            witnesses.note_up(REPLICA)
            echo(witnesses, clock, LINKS[0], SINCE_MS - 10)
            witnesses.note_down(REPLICA)
            if has_new_link:
                witnesses.note_up(REPLICA)
                echo(witnesses, clock, LINKS[0], SINCE_MS + 100)
            self.assertEqual(witnesses.find_contact_ms(SINCE_MS, {"pipa-1"}), 0.0)

    # Guards against a minority that is taken for a majority of the replicas that are known.
    def test_a_majority_of_the_known_replicas_is_needed(self):
        clock = VirtualClock(SINCE_MS - 60_000)
        witnesses = Witnesses(clock)
        for number in range(2):
            witnesses.note_up(f"r{number}#x")
            echo(witnesses, clock, LINKS[0], SINCE_MS - 10, f"r{number}#x")
            echo(witnesses, clock, LINKS[0], SINCE_MS + 500 + 100 * number, f"r{number}#x")
        names = [f"r{number}" for number in range(5)]
        self.assertEqual(witnesses.find_contact_ms(SINCE_MS, names[:3]), SINCE_MS + 495)
        self.assertEqual(witnesses.find_contact_ms(SINCE_MS, names[:4]), 0.0)
        self.assertEqual(witnesses.find_contact_ms(SINCE_MS, names), 0.0)
