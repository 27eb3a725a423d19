"""The walks of docs/OPERATIONS.md from a request's id to its cause, on logs of a played day."""

import io
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._lives import order_lines, read_lines
from apricotrail.cli.explain import explain

LOGS = sorted((Path(__file__).parent / "logs").glob("*.log"))
PAGE = Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
REFUSED, LATE, UNFINISHED = "53b355f709252802", "244950cbed97e4a5", "08347149d4edd5ef"
DEADLY = "30b99d4e4ce1a069"


def run(job, logs=LOGS):
    output, errors = io.StringIO(), io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        code = explain(job, *logs)
    return code, output.getvalue(), errors.getvalue()


class TestWalks(unittest.TestCase):
    def test_each_walk_shows_its_cause_and_stands_on_the_page(self):
        page = PAGE.read_text()
        for job, cause in (
            (REFUSED, "reason=overloaded free_cpu=-27500"),
            (LATE, "state=LOST reason=OWNER_SILENT"),
            (UNFINISHED, "reason=dispatcher_froze"),
            (DEADLY, "run=2 running_ms=11 beside=0"),
        ):
            with self.subTest(job=job):
                code, output, _ = run(job)
                self.assertEqual(code, ExitCode.DONE)
                self.assertIn(cause, output)
                self.assertIn(f"apricotrail explain {job}", page)
                line = next(line for line in output.splitlines() if cause in line)
                self.assertIn(line, page)

    def test_clocks_that_differ_do_not_change_the_order(self):
        _, expected, _ = run(LATE)
        shuffled = sorted(LOGS, key=lambda path: path.name[::-1])
        entry_lines = [line for line in expected.splitlines() if line.startswith("front-")]
        _, output, _ = run(LATE, shuffled)
        self.assertEqual(
            [line for line in output.splitlines() if line.startswith("front-")], entry_lines
        )
        self.assertEqual(sorted(output.splitlines()), sorted(expected.splitlines()))

    def test_agents_lines_stand_between_sending_and_end(self):
        _, output, _ = run(LATE)
        lines = output.splitlines()
        sent = next(n for n, line in enumerate(lines) if "runs=[['1', 2]]" in line)
        ended = next(n for n, line in enumerate(lines) if "run=2 agent=side-pipa-2" in line)
        ordered = next(n for n, line in enumerate(lines) if "0.0.1    run=2 owner" in line)
        self.assertTrue(sent < ordered < ended)

    def test_unknown_job_and_unreadable_log_name_a_remedy(self):
        for job, logs in (("0" * 16, LOGS), (LATE, [Path("missing.log")])):
            code, _, errors = run(job, logs)
            self.assertEqual(code, ExitCode.REFUSED)
            self.assertIn("Remedy", errors)

    def test_broken_and_foreign_lines_are_skipped(self):
        text = [f"{LATE} no json", f'{{"job": "{LATE}"', f'{{"job": "x", "note": "{LATE}"}}']
        self.assertEqual(order_lines(read_lines(LATE, "a", text)), [])
