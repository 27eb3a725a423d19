"""Announcements of other writers among those of the agent's own runner."""

import unittest
from random import Random

from apricotrail.clocks import VirtualClock
from apricotrail.runners._announcements import LATE_SPREAD_MS, MAX_WAITING, Announcements
from apricotrail.runners._runs import Listing
from apricotrail.runners.tests.harness import BOOT, GateCase, make_report, make_start
from apricotrail.wire.generated.ttypes import RunState

KEY = ("j.0.0.0", 1)
HEARTBEAT_MS = 1_500.0
ODD_BOOTS = (BOOT + 1, 2**53 - 1)
ODD_SEQUENCES = (3, 1_000, 2**53 - 1)


def list_under_id(case: GateCase, instance: str = "", refused: str = "", boot: int = BOOT) -> None:
    listing = Listing(boot, 0, (), (), instance, refused)
    case.gate.receive_listing(listing, case.clock())


class TestOddBoot(unittest.TestCase):
    # Guards against runs that are given up, and started elsewhere, while they go on: an entry of
    # another writer counted as a new boot of the runner.
    def test_an_entry_with_another_boot_ends_no_run_and_closes_nothing(self):
        for boot in ODD_BOOTS:
            with self.subTest(boot=boot):
                case = GateCase()
                case.start()
                self.assertFalse(case.gate.announce(make_report(boot=boot, sequence=1)))
                case.advance(2_000, running=[KEY])
                self.assertEqual(case.outcomes(), [])
                self.assertEqual(case.gate.runner.boot, BOOT)
                self.assertTrue(case.gate.announce(make_report(sequence=2, cpu_millis=8_000)))
                case.start(make_start("k.0.0.0"))
                self.assertEqual(len(case.gate.list_running()), 2)

    def test_a_real_boot_takes_effect_with_the_first_listing_that_shows_it(self):
        for reports in ([make_report(boot=BOOT + 5)], []):
            case = GateCase()
            case.start()
            case.clock.advance(5)
            case.gate.announce(make_report(boot=ODD_BOOTS[1], cpu_millis=1))
            for report in reports:
                case.gate.announce(report)
            case.list(boot=BOOT + 5)
            self.assertEqual(case.outcomes(), [(*KEY, RunState.LOST)])
            self.assertEqual(case.gate.describe_load(0).accepting, bool(reports))
            case.gate.announce(make_report(boot=BOOT + 5, sequence=2))
            self.assertTrue(case.gate.describe_load(0).accepting)
            self.assertFalse(case.gate.announce(make_report(sequence=99, leaving=True)))

    def test_announcements_that_wait_are_bounded(self):
        announcements = Announcements(VirtualClock())
        for boot in range(1, 3 * MAX_WAITING):
            announcements.accept(make_report(boot=boot), None)
        self.assertEqual(len(announcements._waiting), MAX_WAITING)


class TestOddSequence(unittest.TestCase):
    # Guards against an agent that takes no further announcement of its runner.
    def test_the_runners_own_announcements_hold_again_after_two(self):
        for sequence in ODD_SEQUENCES:
            with self.subTest(sequence=sequence):
                case = GateCase()
                case.gate.announce(make_report(sequence=sequence, leaving=True))
                for own in (2, 3):
                    case.advance(HEARTBEAT_MS)
                    case.gate.announce(make_report(sequence=own))
                self.assertFalse(case.gate.runner.leaving)

    def test_late_announcements_that_come_together_are_ignored(self):
        case = GateCase()
        case.gate.announce(make_report(sequence=9, leaving=True))
        case.clock.advance(HEARTBEAT_MS)
        for sequence in (6, 7, 8):
            case.clock.advance(LATE_SPREAD_MS / 4)
            self.assertFalse(case.gate.announce(make_report(sequence=sequence)))
        self.assertTrue(case.gate.runner.leaving)


class TestLateAnnouncements(unittest.TestCase):
    """Announcements of the runner itself that come late, by whatever time and in whatever order."""

    # Guards against starts at a runner that leaves (review, case 10): two late announcements half a
    # second apart, counted as proof that the known number was wrong.
    def test_late_announcements_never_take_back_that_the_runner_leaves(self):
        for gap_ms in (0.0, LATE_SPREAD_MS, 600.0, HEARTBEAT_MS, 12_000.0):
            for late in ((6, 7), (7, 6), (7, 7), (1, 6, 7), (6, 7, 9)):
                with self.subTest(gap_ms=gap_ms, late=late):
                    case = GateCase()
                    case.advance(4 * HEARTBEAT_MS)
                    case.gate.announce(make_report(sequence=5))
                    case.advance(3 * HEARTBEAT_MS)
                    case.gate.announce(make_report(sequence=8, leaving=True))
                    for number in late:
                        case.advance(gap_ms)
                        report = make_report(sequence=number, leaving=number >= 8)
                        self.assertEqual(case.gate.announce(report), number > 8)
                        self.assertTrue(case.gate.runner.leaving)
                        self.assertFalse(case.gate.describe_load(0).accepting)

    # Guards against a capacity or address of before that is taken for the present one.
    def test_late_announcements_change_nothing_else_either(self):
        case = GateCase()
        case.gate.announce(make_report(sequence=5, cpu_millis=8_000))
        for number in (2, 3, 4, 5):
            case.advance(HEARTBEAT_MS)
            self.assertFalse(case.gate.announce(make_report(sequence=number)))
        self.assertEqual(case.gate.runner.cpu_millis, 8_000)

    # Guards against announcements that were on their way when the runner withdrew.
    def test_announcements_after_a_withdrawal_do_not_take_it_back(self):
        case = GateCase()
        case.gate.withdraw("i-1")
        for number in range(2, 9):
            case.advance(HEARTBEAT_MS)
            case.gate.announce(make_report(sequence=number))
            self.assertTrue(case.gate.runner.leaving)

    # Guards against a runner that stays closed since another writer withdrew it.
    def test_a_runner_that_goes_on_announcing_itself_was_withdrawn_by_another(self):
        case = GateCase()
        case.gate.withdraw("i-1")
        for number in range(2, 14):
            case.advance(HEARTBEAT_MS)
            case.gate.announce(make_report(sequence=number))
        self.assertFalse(case.gate.runner.leaving)

    # Guards against a single odd announcement that opens a runner which leaves.
    def test_one_higher_announcement_does_not_take_back_that_the_runner_leaves(self):
        case = GateCase()
        case.gate.announce(make_report(sequence=2, leaving=True))
        for number in (3, 2**53 - 1):
            case.advance(HEARTBEAT_MS)
            case.gate.announce(make_report(sequence=number))
            self.assertTrue(case.gate.runner.leaving)


class TestFarNumbers(unittest.TestCase):
    # Guards against an agent that is deaf to its runner, or that believes every jump.
    def test_a_far_number_counts_once_others_go_on_from_it(self):
        case = GateCase()
        far = make_report(sequence=5_000, cpu_millis=8_000)
        self.assertFalse(case.gate.announce(far))
        case.advance(LATE_SPREAD_MS / 2)
        self.assertFalse(case.gate.announce(far._replace(sequence=5_001)))
        case.advance(LATE_SPREAD_MS)
        self.assertTrue(case.gate.announce(far._replace(sequence=5_002)))
        self.assertEqual(case.gate.runner.cpu_millis, 8_000)

    # Guards against an agent that stays deaf since the first announcement it got was odd.
    def test_the_runners_numbers_count_if_only_the_first_one_was_far_above(self):
        for leaving in (False, True):
            case = GateCase(announced=False)
            case.list()
            case.gate.announce(make_report(sequence=2**53 - 1, leaving=leaving))
            for number in (400, 401):
                case.advance(HEARTBEAT_MS)
                case.gate.announce(make_report(sequence=number, cpu_millis=8_000))
            self.assertEqual(case.gate.runner.cpu_millis, 8_000)
            self.assertFalse(case.gate.runner.leaving)
            case.advance(HEARTBEAT_MS)
            self.assertTrue(case.gate.announce(make_report(sequence=402)))

    def test_numbers_that_were_missed_for_long_are_not_far(self):
        case = GateCase()
        case.advance(60_000.0, step_ms=500.0)
        self.assertTrue(case.gate.announce(make_report(sequence=41)))


class TestStepsOfNumbers(unittest.TestCase):
    """Runners that number their announcements by a clock, or in steps of any size."""

    # By name: the first number, and the number after another one.
    STEPS = (
        ("by one", 1, lambda number, draw: number + 1),
        ("in uneven steps", 1, lambda number, draw: number + draw.randint(3, 42)),
        ("by milliseconds", 900, lambda number, draw: number + 1_500),
        ("by microseconds", 900_000, lambda number, draw: number + 1_500_000),
        ("by the time of day", 1_796_000_000_000, lambda number, draw: number + 1_500),
    )

    def announce(self, case: GateCase, number: int, names_clock: bool, **changes) -> None:
        case.advance(HEARTBEAT_MS)
        clock_ms = case.runner_clock_ms() if names_clock else None
        case.gate.announce(make_report(sequence=number, clock_ms=clock_ms, **changes))

    # Guards against tasks that start at a runner after the agent acknowledged that it drains, or
    # over a capacity that has shrunk (review, case 12): the numbers grew by more than 10 a call.
    def test_a_runner_that_leaves_or_shrinks_is_heard_at_once(self):
        for names_clock in (False, True):
            for name, first, step in self.STEPS:
                for others in range(4):
                    with self.subTest(name, names_clock=names_clock, others=others):
                        draw = Random(others)
                        case = GateCase(announced=False)
                        case.list()
                        number = first
                        for _ in range(others + 1):
                            self.announce(case, number, names_clock)
                            number = step(number, draw)
                        self.announce(case, number, names_clock, cpu_millis=4_000)
                        self.assertEqual(case.gate.runner.cpu_millis, 4_000)
                        for _ in range(4):
                            number = step(number, draw)
                            self.announce(case, number, names_clock, leaving=True)
                            self.assertTrue(case.gate.runner.leaving)

    def test_a_capacity_that_grows_again_is_heard_soon(self):
        for names_clock in (False, True):
            for name, number, step in self.STEPS:
                with self.subTest(name, names_clock=names_clock):
                    draw, case = Random(1), GateCase(announced=False)
                    case.list()
                    self.announce(case, number, names_clock, cpu_millis=4_000)
                    for _ in range(1 if names_clock else 4):
                        number = step(number, draw)
                        self.announce(case, number, names_clock)
                    self.assertEqual(case.gate.runner.cpu_millis, 16_000)

    # Guards against late announcements of a runner whose numbers alone don't tell them apart.
    def test_late_announcements_take_nothing_back(self):
        for names_clock in (False, True):
            for name, first, step in self.STEPS[1:]:
                for gap_ms in (100.0, 600.0, HEARTBEAT_MS, 6_000.0):
                    with self.subTest(name, names_clock=names_clock, gap_ms=gap_ms):
                        draw, case = Random(1), GateCase(announced=False)
                        case.list()
                        numbers = [first]
                        while len(numbers) < 8:
                            numbers.append(step(numbers[-1], draw))
                        for number in numbers[:5]:
                            self.announce(case, number, names_clock)
                        late = []
                        for number in numbers[5:7]:
                            clock_ms = case.runner_clock_ms() if names_clock else None
                            late.append(make_report(sequence=number, clock_ms=clock_ms))
                            case.advance(HEARTBEAT_MS)
                        leaving = {"leaving": True, "cpu_millis": 4_000}
                        self.announce(case, numbers[7], names_clock, **leaving)
                        for report in late:
                            case.advance(gap_ms)
                            case.gate.announce(report)
                            self.assertTrue(case.gate.runner.leaving)
                            self.assertEqual(case.gate.runner.cpu_millis, 4_000)


class TestClocks(unittest.TestCase):
    """Announcements that name a clock, among them those of other writers."""

    # Guards against an agent that is deaf to its runner since another writer named a later clock.
    def test_a_clock_ahead_of_the_runners_proves_nothing(self):
        for first in (False, True):
            case = GateCase(announced=False)
            case.list()
            own = make_report(sequence=5, clock_ms=case.runner_clock_ms())
            odd = make_report(sequence=2**53 - 1, clock_ms=10**9, leaving=True)
            for report in (odd, own) if first else (own, odd):
                case.gate.announce(report)
            for number in (6, 7):
                case.advance(HEARTBEAT_MS)
                clock_ms = case.runner_clock_ms()
                case.gate.announce(make_report(sequence=number, clock_ms=clock_ms))
            self.assertFalse(case.gate.runner.leaving)

    # Guards against a restriction by another writer that holds for good.
    def test_what_another_writer_restricts_ends_with_the_runners_own_announcements(self):
        for names_clock in (False, True):
            case = GateCase()
            odd = make_report(sequence=2**53 - 1, cpu_millis=1, leaving=True)
            self.assertFalse(case.gate.announce(odd))
            self.assertEqual((case.gate.runner.cpu_millis, case.gate.runner.leaving), (1, True))
            for number in (2, 3):
                case.advance(HEARTBEAT_MS)
                clock_ms = case.runner_clock_ms() if names_clock else None
                case.gate.announce(make_report(sequence=number, clock_ms=clock_ms))
                self.assertEqual(case.gate.runner.cpu_millis, 16_000)
            self.assertFalse(case.gate.runner.leaving)

    def test_an_old_clock_is_late_whatever_its_number(self):
        case = GateCase()
        old_ms = case.runner_clock_ms()
        case.advance(HEARTBEAT_MS)
        new_ms = case.runner_clock_ms()
        self.assertTrue(case.gate.announce(make_report(sequence=2, clock_ms=new_ms, leaving=True)))
        for number in (3, 4):
            case.advance(HEARTBEAT_MS)
            late = make_report(sequence=number, clock_ms=old_ms + number)
            self.assertFalse(case.gate.announce(late))
            self.assertTrue(case.gate.runner.leaving)

    # Guards against an agent that stays deaf when the answer that shows the clock was slow.
    def test_the_clock_is_known_as_of_the_call_that_showed_it(self):
        case = GateCase()
        asked_ms, shown_ms = case.clock(), case.runner_clock_ms()
        case.clock.advance(5_000)
        listing = Listing(BOOT, shown_ms, (), ())
        case.gate.receive_listing(listing, asked_ms)
        report = make_report(sequence=50_000, clock_ms=case.runner_clock_ms(), cpu_millis=8_000)
        self.assertTrue(case.gate.announce(report))

    def test_announcements_of_the_same_millisecond_are_told_by_their_numbers(self):
        case = GateCase()
        clock_ms = case.runner_clock_ms()
        for number, is_newest in ((5, True), (6, True), (5, False)):
            report = make_report(sequence=number, clock_ms=clock_ms)
            self.assertEqual(case.gate.announce(report), is_newest)


class TestOddId(unittest.TestCase):
    # Guards against an entry under another id that takes the place of the runner.
    def test_an_entry_under_another_id_changes_nothing(self):
        case = GateCase()
        for confirms in (False, True):
            if confirms:
                list_under_id(case, "i-1")
            odd = make_report(runner="i-other-writer", sequence=50, cpu_millis=1)
            self.assertFalse(case.gate.announce(odd))
            self.assertEqual(case.gate.instance, "i-1")
            self.assertEqual(case.gate.runner.cpu_millis, 16_000)

    def test_an_id_that_the_runner_refuses_gives_way_to_its_own(self):
        case = GateCase(announced=False)
        case.list()
        self.assertTrue(case.gate.announce(make_report(runner="i-other-writer")))
        list_under_id(case, refused="i-other-writer")
        self.assertFalse(case.gate.describe_load(0).accepting)
        self.assertFalse(case.gate.announce(make_report(runner="i-other-writer", sequence=2)))
        self.assertTrue(case.gate.announce(make_report()))
        list_under_id(case, "i-1")
        self.assertTrue(case.gate.describe_load(0).accepting)

    # Guards against an agent that stays deaf once it has taken a wrong id for the runner's.
    def test_an_id_counts_until_the_runner_refuses_it_while_no_other_is_known(self):
        case = GateCase()
        list_under_id(case, "i-other-writer", boot=BOOT + 1)
        self.assertTrue(case.gate.announce(make_report(boot=BOOT + 1)))
        list_under_id(case, "i-1", boot=BOOT + 1)
        self.assertEqual(case.gate.instance, "i-1")
        self.assertTrue(case.gate.announce(make_report(boot=BOOT + 1, sequence=2)))

    def test_a_new_boot_may_have_another_id(self):
        case = GateCase()
        list_under_id(case, "i-1")
        list_under_id(case, refused="i-1", boot=BOOT + 1)
        self.assertTrue(case.gate.announce(make_report(runner="i-2", boot=BOOT + 1)))
        self.assertEqual(case.gate.instance, "i-2")
