"""Claims, sealing and succession of views, with fake links."""

import unittest
from types import SimpleNamespace

from nose2.tools import params
from returns.result import Failure, Success

from apricotrail.clocks import VirtualClock
from apricotrail.entry._agents import AgentTable
from apricotrail.entry._claims import ClaimTable, count_majority, count_read_quorum
from apricotrail.entry._ledgers import LedgerReader
from apricotrail.entry._succession import ViewSuccession, is_covered
from apricotrail.entry._uncertainty import Vouching, is_certainly_new
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


def test_full_table_refuses_and_forgets_after_retention():
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


def test_read_quorum_meets_every_majority():
    for members in range(1, 10):
        assert count_majority(members) + count_read_quorum(members) > members


A, B, C, D = (ViewMember(name, 1, "pipa", "") for name in "abcd")
ONE = View(1, (A, B, C))
TWO = View(2, (A, B), 0, (ONE,))
THREE = View(3, (A, B, D), 0, (ONE, TWO))


@params(
    ("first view", View(1, (A,)), {}, True),
    ("nobody copied", TWO, {}, False),
    ("one of three", TWO, {("a", 1): 1}, False),
    ("read quorum of three", TWO, {("a", 1): 1, ("b", 1): 1}, True),
    ("dead member not needed", TWO, {("b", 1): 1, ("c", 1): 1}, True),
    ("one of two suffices if it is ready in the latest", THREE, {("b", 1): 2}, True),
    ("one of two, ready only in the first", THREE, {("b", 1): 1}, False),
    ("two that skipped the second view", THREE, {("a", 1): 1, ("b", 1): 1}, True),
    ("restarted member does not count", TWO, {("a", 2): 0, ("b", 1): 1}, False),
    ("history cut off", View(9, (A,), 0, ()), {("a", 1): 1}, False),
)
def test_coverage_of_former_epochs(name, view, copied, covered):
    assert is_covered(view, copied) is covered, name


class FakeLink:
    """Calls another member's table."""

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
        self.dead: set[str] = set()
        self.successions = {name: self._follow(name) for name in names}

    def _follow(self, name: str) -> ViewSuccession:
        def find_link(other, incarnation):
            alive = other in self.tables and other not in self.dead and incarnation == 1
            return FakeLink(self.tables[other]) if alive else None

        return ViewSuccession(self.tables[name], find_link, lambda: (name, 1), self.clock, 0)

    async def install(self, view: View) -> None:
        for name, succession in self.successions.items():
            if name not in self.dead:
                await succession.follow(view)


class TestSuccession(unittest.IsolatedAsyncioTestCase):
    async def test_entry_lost_right_after_another_was_replaced_loses_no_claim(self):
        members = Members("a", "b", "c", "d")
        await members.install(ONE)
        for number in range(2_500):
            holders = ("a", "c") if number % 2 else ("b", "c")
            for name in holders:
                members.tables[name].decide(make_claim(job=f"c/{number:05}"), True)
        members.dead.add("c")
        await members.install(TWO)
        await members.install(THREE)
        members.dead.add("a")
        await members.install(View(4, (B, D), 0, (ONE, TWO, THREE)))
        for name in ("b", "d"):
            self.assertTrue(members.successions[name].is_ready())
            self.assertEqual(members.successions[name].lost_wall_ms, 0)
            self.assertEqual(len(members.tables[name]), 2_500)

    async def test_former_member_grants_nothing_once_its_claims_were_copied(self):
        members = Members("a", "b", "c")
        await members.install(ONE)
        await members.successions["a"].follow(TWO)
        late = members.tables["b"].decide(make_claim("b", view=1), True)
        self.assertEqual(late.verdict, ClaimVerdict.WRONG_VIEW)

    async def test_majority_lost_at_once_is_marked(self):
        members = Members("a", "b", "c")
        await members.install(ONE)
        members.dead.update("bc")
        await members.install(View(2, (A,), 0, (ONE,)))
        self.assertTrue(members.successions["a"].is_ready())
        self.assertGreater(members.successions["a"].lost_wall_ms, 0)


NOW = 10_000_000


@params(
    ("nothing lost", None, 0, Vouching(False, 0), True),
    ("lost, no id time", None, NOW - 1_000, Vouching(False, 0), False),
    ("id from before the loss", NOW - 20_000, NOW - 10_000, Vouching(False, 0), False),
    ("id within the clock margin", NOW - 8_000, NOW - 10_000, Vouching(False, 0), False),
    ("id from after the loss", NOW - 1_000, NOW - 10_000, Vouching(False, 0), True),
    ("retention over", None, NOW - RETENTION_MS - 1, Vouching(False, 0), True),
    ("ledgers cover the id", NOW - 20_000, NOW - 10_000, Vouching(True, NOW - 60_000), True),
    ("ledgers too young", NOW - 20_000, NOW - 10_000, Vouching(True, NOW - 21_000), False),
    ("ledgers cover all", None, NOW - 9, Vouching(True, NOW - RETENTION_MS - 5_000), True),
)
def test_unknown_submission_is_new_only_if_certain(name, id_ms, lost_ms, vouching, certain):
    assert is_certainly_new(id_ms, lost_ms, NOW, RETENTION_MS, vouching) is certain, name


class LedgerLink:
    """An agent's link that answers with one job."""

    peer = SimpleNamespace(name="agent:r1", zone="pipa", role="agent", incarnation=1)

    async def call(self, request, timeout_ms):
        return Success(Ledger("r1", 1, 60_000, [LedgerJob("c/1", "a", 1)]))


class TestLedgers(unittest.IsolatedAsyncioTestCase):
    async def test_ledger_read_before_a_loss_vouches_for_nothing(self):
        members = Members("a")
        clock, table, succession = members.clock, members.tables["a"], members.successions["a"]
        agents = AgentTable(clock, 50, 3_000)
        link = LedgerLink()
        agents.connect(link)
        reader = LedgerReader(agents, table, succession, lambda: ["r1"], clock)
        await reader.read(link)
        self.assertTrue(reader.vouch().all_asked)
        self.assertIsNone(table.find("c/1"), "nothing is lost yet")
        clock.advance(10)
        succession._note_loss(1_000)
        self.assertFalse(reader.vouch().all_asked)
        await reader.read(link)
        self.assertTrue(reader.vouch().all_asked)
        self.assertEqual(table.find("c/1").owner_incarnation, 0)
