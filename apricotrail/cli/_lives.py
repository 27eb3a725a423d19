"""Puts the log lines of several processes about one job into the order of cause.

Clocks of machines may differ by seconds, so times alone do not order lines of two processes. The
lines of one process keep their order. What an agent wrote about a run stands between the
dispatcher's line that sent the run and the one that took in its end.
"""

import json
import re
from collections.abc import Iterable
from typing import Any, NamedTuple

__all__ = ["LogLine", "order_lines", "read_lines"]

MAX_LINES = 20_000
_OBJECT = re.compile(r"^(?P<prefix>[^{]*)(?P<body>\{.*\})\s*$")
_HIDDEN = frozenset({"event", "job", "level", "number", "role", "task", "timestamp"})

RunKey = tuple[str, int]


class LogLine(NamedTuple):
    """One line about a job.

    Attributes
    ----------
    source : str
        File, or what stood before the line: process and machine.
    event : str
        Name of the event.
    fields : dict
        All fields.
    """

    source: str
    event: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Return one line for a reader."""
        shown = {name: value for name, value in self.fields.items() if name not in _HIDDEN}
        what = " ".join(f"{name}={value}" for name, value in shown.items())
        task = self.fields.get("task", "")
        return f"{self.source:<28} {self.event:<18} {task.partition('.')[2]:<8} {what}".rstrip()


def read_lines(job: str, source: str, text: Iterable[str]) -> list[LogLine]:
    """Return the lines of one log that are about `job`, in their order."""
    found = []
    for line in text:
        if job not in line:
            continue
        match = _OBJECT.match(line)
        if match is None:
            continue
        try:
            fields = json.loads(match["body"])
        except ValueError:
            continue
        # A collector's prefix ends with the name of the process.
        words = match["prefix"].split()
        for about in _list_subjects(fields):
            names = {about.get("job"), str(about.get("task", "")).partition(".")[0]}
            if job in names and len(found) < MAX_LINES:
                found.append(LogLine(words[-1] if words else source, about.get("event", ""), about))
    return found


def _list_subjects(fields: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the fields of a line; those of a lost runner once for each run that it names."""
    if fields.get("event") != "runner_lost":
        return [fields]
    runs = fields.get("runs", [])
    shared = {name: value for name, value in fields.items() if name != "runs"}
    return [
        {**shared, "task": task, "run": run, "running_ms": running_ms, "beside": len(runs) - 1}
        for task, run, running_ms in runs
    ]


def order_lines(lines: list[LogLine]) -> list[LogLine]:
    """Return the lines of one job, each agent's between the sending and the end of its run."""
    about_runs: dict[RunKey, list[LogLine]] = {}
    main: list[LogLine] = []
    for line in lines:
        if line.fields.get("role") == "agent":
            key = (str(line.fields.get("task", "")), int(line.fields.get("run", 0)))
            about_runs.setdefault(key, []).append(line)
        else:
            main.append(line)
    ordered: list[LogLine] = []
    waiting: list[RunKey] = []
    for line in main:
        ended = _list_ended(line, waiting, about_runs)
        for key in ended:
            ordered.extend(about_runs.pop(key, []))
            waiting.remove(key)
        ordered.append(line)
        waiting.extend(_list_sent(line, about_runs))
    for key in [*waiting, *about_runs]:
        ordered.extend(about_runs.pop(key, []))
    return ordered


def _list_sent(line: LogLine, about_runs: dict[RunKey, list[LogLine]]) -> list[RunKey]:
    if line.event != "runs_sent":
        return []
    runs = {(str(index), int(run)) for index, run in line.fields.get("runs", [])}
    return [key for key in about_runs if (key[0].rpartition(".")[2], key[1]) in runs]


def _list_ended(
    line: LogLine, waiting: list[RunKey], about_runs: dict[RunKey, list[LogLine]]
) -> list[RunKey]:
    if line.event == "run_ended":
        key = (str(line.fields.get("task", "")), int(line.fields.get("run", 0)))
        return [key] if key in waiting else []
    return list(waiting) if line.event == "job_answered" else []
