"""What a dispatcher tells an agent of the runs that it wrote off, and until when."""

import unittest

from apricotrail.queues._dispatcher import STILL_LISTED_MS
from apricotrail.queues._write_offs import KEPT_MS, MAX_KEYS, TAKEN_MS, WriteOffs
from apricotrail.queues.tests.harness import DispatchCase, make_request
from apricotrail.wire.generated.ttypes import ClaimRuns, OutcomesTaken, RunReason, RunState


class WriteOffCase(DispatchCase):
    """A dispatcher with a job that was started at an agent which it can't reach any more."""

    def __init__(self) -> None:
        super().__init__("a", "b")
        self.confirms = True
        self.dispatcher._state.is_unlisted_since = lambda agent, as_of_ms: self.confirms
        self.unlisted = False
        self.answer = self.submit(make_request(count=1)._replace(budget_ms=60_000.0))
        self.first = self.runs()[0]
        self.agent = self.first[0]

    def lose(self, total_ms: float = 0.0) -> None:
        self.dispatcher.link_down(self.agent)
        self.advance(total_ms)

    def write_off(self) -> None:
        self.unlisted = True
        self.lose(3_000)

    def relink(self) -> ClaimRuns:
        self.dispatcher.link_up(self.agent)
        return [it for _, it in self.sent if isinstance(it, ClaimRuns)][-1]

    def echo(self) -> None:
        """Let the agent echo a heartbeat that is sent now."""
        self.clock.advance(1)
        self.dispatcher.receive_echo(self.agent, self.clock())

    def list_confirmed(self) -> list:
        return [
            (agent, key.task, key.run)
            for agent, message in self.sent
            if isinstance(message, OutcomesTaken)
            for key in message.runs
        ]


def list_keys(keys) -> list:
    return [(key.task, key.run) for key in keys]


class TestWriteOffs(unittest.IsolatedAsyncioTestCase):
    # Guards against an agent that takes a run for one that its owner has taken in, while it was
    # started again elsewhere.
    async def test_claims_name_what_was_written_off_until_the_agent_has_read_one(self):
        case = WriteOffCase()
        case.write_off()
        self.assertEqual(len(case.runs()), 2)
        self.assertNotEqual(case.runs()[1][0], case.agent)
        for _ in range(2):
            claim = case.relink()
            self.assertEqual(list_keys(claim.written_off), [case.first[1:]])
            self.assertEqual(list_keys(claim.runs), [])
            # An echo of a heartbeat of before the claim shows nothing.
            case.dispatcher.receive_echo(case.agent, case.clock())
            case.lose(200)
        case.relink()
        case.echo()
        case.lose(200)
        self.assertEqual(list_keys(case.relink().written_off), [])

    # Guards against an end that is final since its owner confirms outcomes that it doesn't know.
    async def test_the_outcome_of_a_run_that_was_written_off_is_not_confirmed(self):
        case = WriteOffCase()
        case.write_off()
        case.relink()
        case.end(case.first)
        self.assertEqual(case.list_confirmed(), [])
        case.end(case.runs()[1])
        self.assertEqual(case.list_confirmed(), [case.runs()[1]])

    # Guards against leases that lapse for the end of a run whose task nobody starts again.
    async def test_runs_of_jobs_that_are_answered_are_not_named(self):
        case = WriteOffCase()
        case.dispatcher.detach_caller("j", case.answer)
        case.write_off()
        self.assertEqual(list_keys(case.relink().written_off), [])

    # Guards against a write-off by lists that may be older than a restart of control.
    async def test_runs_are_written_off_only_by_lists_that_control_confirmed_late_enough(self):
        case = WriteOffCase()
        case.confirms = False
        case.write_off()
        self.assertEqual(len(case.runs()), 1)
        case.confirms = True
        case.advance(100)
        self.assertEqual(len(case.runs()), 2)

    # Guards against an owner that forgets that it must not write off: the agent, listed by control,
    # didn't see the link, and made the ends final.
    async def test_a_link_that_the_agent_never_saw_changes_nothing(self):
        case = WriteOffCase()
        case.lose(STILL_LISTED_MS + 100)
        case.relink()
        case.lose()
        case.unlisted = True
        case.advance(6_000)
        self.assertEqual(len(case.runs()), 1)
        # Once the agent has read a claim, the time counts from the new link.
        case.relink()
        case.echo()
        case.lose(3_000)
        self.assertEqual(len(case.runs()), 2)

    # Guards against a time that begins anew with each link that only the owner sees.
    async def test_an_owner_that_is_linked_for_a_moment_sees_that_the_agent_is_listed(self):
        case = WriteOffCase()
        case.lose(STILL_LISTED_MS - 600)
        case.relink()
        case.advance(1_200, silent=(case.agent,))
        case.lose()
        case.unlisted = True
        case.advance(6_000)
        self.assertEqual(len(case.runs()), 1)

    # Guards against a task that starts again after its end was final: a new process of the agent
    # doesn't know that end, and reports the run that is claimed as lost.
    async def test_a_run_that_may_be_final_is_not_started_again(self):
        for away_ms, starts in ((STILL_LISTED_MS - 200, 2), (STILL_LISTED_MS + 200, 1)):
            for state in (RunState.LOST, RunState.FAILED, RunState.DONE):
                with self.subTest(away_ms=away_ms, state=state):
                    case = WriteOffCase()
                    case.lose(away_ms)
                    case.relink()
                    case.echo()
                    case.report(case.agent)
                    case.end(case.first, state, RunReason.UNKNOWN_RUN)
                    is_again = state == RunState.FAILED or (state == RunState.LOST and starts == 2)
                    self.assertEqual(len(case.runs()), 1 + is_again)
                    if state == RunState.LOST and starts == 1:
                        self.assertEqual(case.answer.result().reason, "may_be_final")

    # Guards against ends that a new agent finds and can't resolve, as it doesn't know their owners.
    async def test_claims_name_outcomes_whose_confirmation_may_be_lost(self):
        case = WriteOffCase()
        case.end(case.first)
        case.lose()
        for _ in range(2):
            self.assertEqual(list_keys(case.relink().taken), [case.first[1:]])
            case.echo()
            case.lose()
        case.clock.advance(TAKEN_MS)
        self.assertEqual(list_keys(case.relink().taken), [])


class TestBounds(unittest.TestCase):
    def test_keys_are_bounded_by_number_and_age(self):
        case = DispatchCase("a")
        notes = WriteOffs(case.clock)
        notes.note_written_off("a", [("t", number) for number in range(MAX_KEYS)])
        notes.note_taken("a", [("t", number) for number in range(2 * MAX_KEYS)])
        lists = notes.list_for_claim("a")
        self.assertEqual((len(lists.written_off), len(lists.taken)), (MAX_KEYS, MAX_KEYS))
        case.clock.advance(KEPT_MS + 1)
        self.assertEqual(notes.list_for_claim("a"), ([], []))

    # Guards against notes that pile up, as agents come and go under new names.
    def test_agents_that_are_gone_are_forgotten(self):
        case = DispatchCase("a")
        notes = WriteOffs(case.clock)
        for number in range(50):
            notes.list_for_claim(f"a{number}")
            notes.note_written_off(f"a{number}", [("t", 1)])
            notes.note_link_lost(f"a{number}")
            case.clock.advance(KEPT_MS / 10)
        self.assertLessEqual(len(notes._notes), 12)

    # Guards against a list that lacks runs and counts as whole.
    def test_a_list_that_was_cut_short_is_not_sent(self):
        case = DispatchCase("a")
        notes = WriteOffs(case.clock)
        notes.note_written_off("a", [("t", number) for number in range(MAX_KEYS + 1)])
        self.assertIsNone(notes.list_for_claim("a").written_off)
        case.clock.advance(1)
        self.assertTrue(notes.note_echo("a", case.clock()))
        self.assertEqual(notes.list_for_claim("a").written_off, [])
