"""Operators' commands against an entry over HTTP."""

import json
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from nose2.tools import params

from apricotrail.cli._output import TABLE_WIDTH, format_table
from apricotrail.cli.tests.entries import run_command, serve, serve_losing_answers
from apricotrail.errors import ErrorKind, Problem
from apricotrail.operators.tests.fakes import TEXT, TOKEN, FakeControl, make_router

NOBODY = "127.0.0.1:9"


class TestCommands(TestCase):
    """One entry, its control in memory."""

    trial = False

    def setUp(self):
        self.stack = ExitStack()
        self.addCleanup(self.stack.close)
        self.folder = Path(self.stack.enter_context(TemporaryDirectory()))
        self.token_file = self.folder / "token"
        self.token_file.write_text(TOKEN)
        self.control = FakeControl()
        self.entry = self.serve(self.control)

    def serve(self, control):
        return self.stack.enter_context(serve(make_router(control, self.token_file)))

    def run_words(self, *words, entry=None, timeout_s=20):
        shared = ["--entry", entry or self.entry, "--token-file", str(self.token_file)]
        return run_command(*words, *shared, "--timeout-s", str(timeout_s))

    def test_zone_goes_out_under_every_scheme(self):
        for name in ("Pipa", "booking:PIP", "rn-2"):
            done = self.run_words("zone", "out", name)
            self.assertEqual(done.code, 0, done.error)
            self.assertIn("Pipa / PIP / rn-2 is out of service", done.out)
        listed = self.run_words("zone", "list").out.splitlines()
        self.assertEqual([line.split()[3] for line in listed[1:]], ["in", "in", "in", "out"])

    def test_every_list_fits_and_has_json(self):
        nouns = (("zone", "list"), ("target", "list"), ("service", "list"), ("member", "list"))
        for words in (*nouns, ("service", "show", "RPC"), ("target", "list", "--zone", "Natal")):
            with self.subTest(words):
                done = self.run_words(*words)
                self.assertEqual(done.code, 0, done.error)
                self.assertLessEqual(max(map(len, done.out.splitlines())), TABLE_WIDTH)
                json.loads(self.run_words(*words, "--json").out)

    def test_lost_answer_is_sent_again_under_the_same_id(self):
        losing = self.stack.enter_context(serve_losing_answers(self.entry))
        done = self.run_words("zone", "out", "Pipa", entry=f"{losing},{self.entry}")
        self.assertEqual(done.code, 0, done.error)
        self.assertIn("Sending again under the same request id", done.error)
        self.assertEqual(len({command.request_id for command in self.control.commands}), 1)
        self.assertEqual((len(self.control.commands), self.control.version), (2, 2))

    def test_outcome_stays_unknown_if_no_answer_ever_comes(self):
        losing = self.stack.enter_context(serve_losing_answers(self.entry))
        done = self.run_words("zone", "out", "Pipa", entry=losing, timeout_s=0.5)
        self.assertEqual(done.code, 4)
        self.assertIn("--request-id", done.error)
        request_id = done.error.split("--request-id ")[1].split(".")[0]
        again = self.run_words("zone", "out", "Pipa", "--request-id", request_id)
        self.assertEqual((again.code, self.control.version), (0, 2))

    def test_refusal_by_an_entry_after_a_lost_answer_leaves_the_outcome_unknown(self):
        losing = self.stack.enter_context(serve_losing_answers(self.entry))
        other = FakeControl()
        other.items = {}
        entries = f"{losing},{self.serve(other)}"
        self.assertEqual(self.run_words("zone", "out", "Pipa", entry=entries).code, 4)

    def test_exit_codes(self):
        table = (
            (("zone", "out", "Pippa"), None, 1, "Did you mean"),
            (("zone", "out", "Pipa", "--expect", "9"), None, 1, "winner: version 7 by ana"),
            (("zone", "list"), NOBODY, 3, "unreachable"),
            (("zone", "out", "Pipa"), NOBODY, 3, "unreachable"),
            (("zone", "out"), None, 2, "usage"),
            (("zone", "list"), ",", 2, "APRICOTRAIL_ENTRY"),
            (("document", "check", "/none.toml"), None, 1, "/none.toml"),
        )
        for words, entry, code, text in table:
            with self.subTest(words):
                done = self.run_words(*words, entry=entry, timeout_s=1)
                self.assertEqual(done.code, code, done)
                self.assertIn(text, done.error)

    def test_wrong_token_is_refused(self):
        self.token_file.write_text(TOKEN)
        wrong = self.folder / "wrong"
        wrong.write_text("another-token-of-nobody")
        done = run_command("zone", "list", "--entry", self.entry, "--token-file", str(wrong))
        self.assertEqual(done.code, 1)
        self.assertIn("unauthorised", done.error)

    def test_control_without_quorum_is_unreachable(self):
        self.control.failure = Problem(ErrorKind.NO_QUORUM, "No leader.", "Wait.")
        done = self.run_words("zone", "out", "Pipa", timeout_s=0.5)
        self.assertEqual((done.code, self.control.version), (3, 1))

    def test_document_goes_from_trial_to_production(self):
        trial = self.serve(FakeControl(trial=True))
        file = self.folder / "document.toml"
        file.write_bytes(TEXT.replace(b"share = 3.0", b"share = 4.0"))
        self.assertEqual(self.run_words("document", "check", str(file)).code, 0)
        self.assertIn("shops", self.run_words("document", "diff", str(file)).out)
        self.assertEqual(self.run_words("document", "promote", str(file)).code, 1)
        tried = self.run_words("document", "try", str(file), entry=trial)
        self.assertEqual(tried.code, 0, tried.error)
        changed = self.folder / "changed.toml"
        changed.write_bytes(file.read_bytes() + b"\n")
        proof = ("--acceptance-file", f"{file}.accepted")
        refused = self.run_words("document", "promote", str(changed), *proof)
        self.assertEqual((refused.code, self.control.version), (1, 1))
        promoted = self.run_words("document", "promote", str(file))
        self.assertEqual((promoted.code, self.control.version), (0, 2), promoted.error)
        self.assertEqual(self.control.texts[-1], file.read_bytes())
        shown = self.run_words("document", "show")
        self.assertEqual(shown.out.encode(), file.read_bytes())
        self.assertEqual(len(self.run_words("document", "history").out.splitlines()), 3)

    def test_acceptance_is_shown_if_its_file_cannot_be_written(self):
        trial = self.serve(FakeControl(trial=True))
        file = self.folder / "document.toml"
        file.write_bytes(TEXT)
        words = ("document", "try", str(file), "--acceptance-file", "/none/file")
        done = self.run_words(*words, entry=trial)
        self.assertEqual(done.code, 1)
        self.assertIn('acceptance: "a1.', done.error)

    def test_members_are_added_promoted_and_removed(self):
        for words in (("add", "control-4", "h:4", "d4"), ("promote", "control-4", "d4")):
            self.assertEqual(self.run_words("member", *words).code, 0)
        self.assertEqual(self.run_words("member", "remove", "control-4", "d4").code, 0)
        actions = [command.change_member.action for command in self.control.commands]
        self.assertEqual(actions, ["add_learner", "promote", "remove"])

    def test_target_leaves_and_returns(self):
        for verb, state in (("leave", "is leaving"), ("return", "is no longer leaving")):
            self.assertIn(state, self.run_words("target", verb, "asset:runner-01").out)


def test_document_is_checked_without_an_entry():
    with TemporaryDirectory() as folder:
        file = Path(folder) / "document.toml"
        file.write_text("schemes = ['a', 'b', 'c']\n[zones.x]\nkolour = 1\n[zone]\n")
        done = run_command("document", "check", str(file))
        assert done.code == 1
        lines = done.error.splitlines()
        assert [line.split(",")[0] for line in lines] == [
            "malformed: line 2",
            "malformed: line 3",
            "malformed: line 4",
        ]
        listed = json.loads(run_command("document", "check", str(file), "--json").out)
        assert len(listed["error"]["problems"]) == 3


@params((1, 10), (3, 80), (12, 40))
def test_tables_stay_within_their_width(columns, length):
    text = format_table(["h"] * columns, [["x" * length] * columns])
    assert all(len(line) <= TABLE_WIDTH for line in text.splitlines())
