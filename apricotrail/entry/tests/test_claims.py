"""Claims, sealed epochs and the copying of claims between views, with fake links.

The tests guard against a submission that runs twice because a claim on it was lost or granted to
two entries.
"""

import unittest
from types import SimpleNamespace

from nose2.tools import params
from returns.result import Failure, Success

from apricotrail.clocks import VirtualClock
from apricotrail.entry._agents import AgentTable
from apricotrail.entry._claim_loss import LedgerCoverage, is_certainly_new
from apricotrail.entry._claims import ClaimTable, count_majority, count_read_quorum
from apricotrail.entry._ledgers import LedgerReader
from apricotrail.entry._succession import ViewSuccession, is_covered
from apricotrail.errors import ErrorKind, Problem
from apricotrail.membership import View, ViewMember
from apricotrail.wire.generated.ttypes import (
    Claim,
    ClaimRecord,
    ClaimsRequest,
    ClaimVerdict,
    Ledger,
    LedgerJob,
)

RETENTION_MS = 900_000


def make_table(ready=1, max_claims=1_000) -> ClaimTable:
    table = ClaimTable(VirtualClock(), RETENTION_MS, max_claims, 10_000)
    table.become_ready(ready)
    return table


def make_claim(owner="a", epoch=1, view=1, digest=b"d", job="c/1") -> Claim:
    return Claim(view, ClaimRecord(job, owner, 1, epoch, digest, 0))


@params(
    ("same claim again", make_claim(), ClaimVerdict.GRANTED),
    ("other owner, same epoch", make_claim("b"), ClaimVerdict.HELD),
    ("other owner, higher epoch", make_claim("b", 2), ClaimVerdict.GRANTED),
    ("other body", make_claim("a", 1, 1, b"other"), ClaimVerdict.MISMATCH),
    ("former view", make_claim(view=0), ClaimVerdict.WRONG_VIEW),
    ("view that is not ready", make_claim(view=2), ClaimVerdict.NOT_READY),
)
def test_verdict_on_a_held_submission(name, claim, verdict):
    table = make_table()
    assert table.decide(make_claim(), True).verdict == ClaimVerdict.GRANTED
    assert table.decide(claim, True).verdict == verdict, name


def test_finished_job_is_never_claimed_again():
    table = make_table()
    table.store(ClaimRecord("c/1", "a", 1, 1, b"d", 0, b"{}"))
    assert table.decide(make_claim("b", 9), True).verdict == ClaimVerdict.HELD


def test_unknown_submission_after_a_loss_is_refused_not_started():
    assert make_table().decide(make_claim(), False).verdict == ClaimVerdict.UNCERTAIN


def test_full_table_refuses_claims_until_retention_ends():
    clock = VirtualClock()
    table = ClaimTable(clock, RETENTION_MS, 1, 10_000)
    table.become_ready(1)
    table.decide(make_claim(), True)
    assert table.decide(make_claim(job="c/2"), True).verdict == ClaimVerdict.FULL
    clock.advance(RETENTION_MS + 1)
    assert table.decide(make_claim(job="c/2"), True).verdict == ClaimVerdict.GRANTED


def test_answers_are_bounded_in_bytes_but_claims_stay():
    table = make_table()
    for number in range(5):
        table.store(ClaimRecord(f"c/{number}", "a", 1, 1, b"d", 0, b"x" * 4_000))
    answers = [table.find(f"c/{number}").answer for number in range(5)]
    assert answers[0] == b"" and answers[4] == b"x" * 4_000
    assert table.decide(make_claim("b", 2, job="c/0"), True).verdict == ClaimVerdict.HELD


def test_read_quorum_intersects_every_majority():
    for members in range(1, 10):
        assert count_majority(members) + count_read_quorum(members) > members


ENTRY_A, ENTRY_B, ENTRY_C, ENTRY_D = (ViewMember(name, 1, "pipa", "") for name in "abcd")
VIEW_1 = View(1, (ENTRY_A, ENTRY_B, ENTRY_C))
VIEW_2 = View(2, (ENTRY_A, ENTRY_B), 0, (VIEW_1,))
VIEW_3 = View(3, (ENTRY_A, ENTRY_B, ENTRY_D), 0, (VIEW_1, VIEW_2))


@params(
    ("first view", View(1, (ENTRY_A,)), {}, True),
    ("nobody copied", VIEW_2, {}, False),
    ("one of three", VIEW_2, {("a", 1): 1}, False),
    ("read quorum of three", VIEW_2, {("a", 1): 1, ("b", 1): 1}, True),
    ("crashed member not needed", VIEW_2, {("b", 1): 1, ("c", 1): 1}, True),
    ("one of two suffices if it was ready in the latest view", VIEW_3, {("b", 1): 2}, True),
    ("one of two, ready only in the first view", VIEW_3, {("b", 1): 1}, False),
    ("two that were never ready in the second view", VIEW_3, {("a", 1): 1, ("b", 1): 1}, True),
    ("restarted member does not count", VIEW_2, {("a", 2): 0, ("b", 1): 1}, False),
    ("history cut off", View(9, (ENTRY_A,), 0, ()), {("a", 1): 1}, False),
)
def test_coverage_of_former_epochs(name, view, copied, covered):
    assert is_covered(view, copied) is covered, name


class FakeLink:
    """Passes calls on to another member's table; a crashed member has no link."""

    def __init__(self, table: ClaimTable) -> None:
        self.table = table

    async def call(self, request, timeout_ms):
        if not isinstance(request, ClaimsRequest):
            return Failure(Problem(ErrorKind.UNREACHABLE, "x", "y"))
        return Success(self.table.copy_page(request))


class Members:
    """Claim tables of several members with links between them."""

    def __init__(self, *names: str) -> None:
        self.clock = VirtualClock()
        self.tables = {name: ClaimTable(self.clock, RETENTION_MS, 100_000, 10**6) for name in names}
        self.crashed: set[str] = set()
        self.successions = {name: self._follow(name) for name in names}

    def _follow(self, name: str) -> ViewSuccession:
        def find_link(other, incarnation):
            alive = other in self.tables and other not in self.crashed and incarnation == 1
            return FakeLink(self.tables[other]) if alive else None

        return ViewSuccession(self.tables[name], find_link, lambda: (name, 1), self.clock, 0)

    async def install(self, view: View) -> None:
        for name, succession in self.successions.items():
            if name not in self.crashed:
                await succession.follow(view)


class TestSuccession(unittest.IsolatedAsyncioTestCase):
    async def test_entry_lost_right_after_another_was_replaced_loses_no_claim(self):
        members = Members("a", "b", "c", "d")
        await members.install(VIEW_1)
        for number in range(2_500):
            holders = ("a", "c") if number % 2 else ("b", "c")
            for name in holders:
                members.tables[name].decide(make_claim(job=f"c/{number:05}"), True)
        members.crashed.add("c")
        await members.install(VIEW_2)
        await members.install(VIEW_3)
        members.crashed.add("a")
        await members.install(View(4, (ENTRY_B, ENTRY_D), 0, (VIEW_1, VIEW_2, VIEW_3)))
        for name in ("b", "d"):
            self.assertTrue(members.successions[name].is_ready())
            self.assertEqual(members.successions[name].lost_wall_ms, 0)
            self.assertEqual(len(members.tables[name]), 2_500)

    async def test_former_member_grants_nothing_once_its_claims_were_copied(self):
        members = Members("a", "b", "c")
        await members.install(VIEW_1)
        await members.successions["a"].follow(VIEW_2)
        late = members.tables["b"].decide(make_claim("b", view=1), True)
        self.assertEqual(late.verdict, ClaimVerdict.WRONG_VIEW)

    async def test_loss_of_a_majority_is_recorded(self):
        members = Members("a", "b", "c")
        await members.install(VIEW_1)
        members.crashed.update("bc")
        await members.install(View(2, (ENTRY_A,), 0, (VIEW_1,)))
        self.assertTrue(members.successions["a"].is_ready())
        self.assertGreater(members.successions["a"].lost_wall_ms, 0)


NOW_MS = 10_000_000


@params(
    ("nothing lost", None, 0, LedgerCoverage(False, 0), True),
    ("lost, no id time", None, NOW_MS - 1_000, LedgerCoverage(False, 0), False),
    ("id from before the loss", NOW_MS - 20_000, NOW_MS - 10_000, LedgerCoverage(False, 0), False),
    (
        "id within the clock margin",
        NOW_MS - 8_000,
        NOW_MS - 10_000,
        LedgerCoverage(False, 0),
        False,
    ),
    ("id from after the loss", NOW_MS - 1_000, NOW_MS - 10_000, LedgerCoverage(False, 0), True),
    ("retention over", None, NOW_MS - RETENTION_MS - 1, LedgerCoverage(False, 0), True),
    (
        "ledgers cover the id",
        NOW_MS - 20_000,
        NOW_MS - 10_000,
        LedgerCoverage(True, NOW_MS - 60_000),
        True,
    ),
    (
        "ledgers too young to cover the id",
        NOW_MS - 20_000,
        NOW_MS - 10_000,
        LedgerCoverage(True, NOW_MS - 21_000),
        False,
    ),
    (
        "ledgers cover all",
        None,
        NOW_MS - 9,
        LedgerCoverage(True, NOW_MS - RETENTION_MS - 5_000),
        True,
    ),
)
def test_unknown_submission_is_new_only_if_certain(name, id_ms, lost_ms, coverage, certain):
    assert is_certainly_new(id_ms, lost_ms, NOW_MS, RETENTION_MS, coverage) is certain, name


class FakeLedgerLink:
    """An agent's link; the agent's ledger holds one job."""

    peer = SimpleNamespace(name="agent:r1", zone="pipa", role="agent", incarnation=1)

    async def call(self, request, timeout_ms):
        return Success(Ledger("r1", 1, 60_000, [LedgerJob("c/1", "a", 1)]))


class TestLedgers(unittest.IsolatedAsyncioTestCase):
    async def test_ledger_read_before_a_loss_gives_no_coverage(self):
        members = Members("a")
        clock, table, succession = members.clock, members.tables["a"], members.successions["a"]
        agents = AgentTable(clock, 50, 3_000)
        link = FakeLedgerLink()
        agents.connect(link)
        reader = LedgerReader(agents, table, succession, lambda: ["r1"], clock)
        await reader.read(link)
        self.assertTrue(reader.report_coverage().all_read)
        self.assertIsNone(table.find("c/1"), "nothing is lost yet")
        clock.advance(10)
        succession._record_loss(1_000)
        self.assertFalse(reader.report_coverage().all_read)
        await reader.read(link)
        self.assertTrue(reader.report_coverage().all_read)
        self.assertEqual(table.find("c/1").owner_incarnation, 0)
