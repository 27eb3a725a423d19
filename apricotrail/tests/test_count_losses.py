"""The counts of starts and losses by task that ``tools/count-losses`` takes from logs."""

import json
import runpy
import unittest
from pathlib import Path

TOOL = Path(__file__).parents[2] / "tools" / "count-losses"


def make_line(process: str, event: str, second: float, **fields) -> str:
    timestamp = f"2026-03-11T10:48:{second:09.6f}Z"
    return f"  1.5 {process} {json.dumps({**fields, 'event': event, 'timestamp': timestamp})}"


class TestCounts(unittest.TestCase):
    def test_losses_are_counted_by_task_and_dated_from_the_silence_of_their_runner(self):
        lines = [
            make_line("side-1", "run_ordered", 1.0, task="j.0.0.0", run=1),
            make_line("side-1", "run_ordered", 1.2, task="k.0.0.0", run=1),
            make_line("side-1", "runner_silent", 1.21),
            make_line("side-1", "run_ordered", 1.3, task="m.0.0.0", run=1),
            "no log line",
            *(
                make_line("side-1", "run_over", 2.3, task=f"{job}.0.0.0", run=1, state="LOST")
                for job in "jkm"
            ),
            make_line("side-2", "run_ordered", 2.4, task="k.0.0.0", run=2),
            make_line("side-2", "runner_silent", 2.41),
            make_line("side-2", "run_over", 3.5, task="k.0.0.0", run=2, state="LOST"),
            make_line("front-1", "job_answered", 4.0, job="k", state="failed", reason="crashes"),
        ]
        counts = runpy.run_path(str(TOOL))["count_losses"](lines)
        self.assertEqual(counts.losses, {"j.0.0.0": 1, "k.0.0.0": 2, "m.0.0.0": 1})
        self.assertEqual(counts.starts["k.0.0.0"], 2)
        self.assertEqual(counts.answers, {"k": "failed crashes"})
        self.assertEqual(counts.runners, [("side-1", [-210, -10, 90]), ("side-2", [-10])])
