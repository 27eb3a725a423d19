"""Dispatch: finds the module of the chosen command and lets defopt read its arguments.

A role started as ``apricotrail ROLE --settings FILE`` is run without loading the argument parser
and the TLS library, which would stay in memory for the life of the process.
"""

import sys
from collections.abc import Sequence
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Any

__all__ = ["COMMANDS", "main"]

USAGE = 2
ROLES = ("agent", "control", "entry")

# First word of the command line: module and the function or nested dictionary of functions in it.
COMMANDS = {
    "agent": ("apricotrail.cli._role", "run_agent"),
    "control": ("apricotrail.cli._role", "run_control"),
    "demo": ("apricotrail.cli.demo", "run_demo"),
    "document": ("apricotrail.cli._operator_commands", "OPERATOR_COMMANDS"),
    "entry": ("apricotrail.cli._role", "run_entry"),
    "events": ("apricotrail.cli._catalogue", "EVENTS_COMMANDS"),
    "explain": ("apricotrail.cli.explain", "explain"),
    "job": ("apricotrail.cli._job", "JOB_COMMANDS"),
    "measure": ("apricotrail.measure", "MEASURE_COMMANDS"),
    "member": ("apricotrail.cli._operator_commands", "OPERATOR_COMMANDS"),
    "metrics": ("apricotrail.cli._catalogue", "METRICS_COMMANDS"),
    "report": ("apricotrail.cli._report", "REPORT_COMMANDS"),
    "service": ("apricotrail.cli._operator_commands", "OPERATOR_COMMANDS"),
    "settings": ("apricotrail.cli._settings", "SETTINGS_COMMANDS"),
    "submit": ("apricotrail.cli._submit", "submit"),
    "target": ("apricotrail.cli._operator_commands", "OPERATOR_COMMANDS"),
    "version": ("apricotrail.cli._version", "show_version"),
    "zone": ("apricotrail.cli._operator_commands", "OPERATOR_COMMANDS"),
}


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit with its code (`ExitCode`).

    Parameters
    ----------
    arguments : sequence of str, optional
        Words after the program name; those of the process by default.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    if _is_plain_role(words):
        _leave_out_tls()
        from apricotrail.cli._role import run_role

        raise SystemExit(int(run_role(words[0], Path(words[2]))))
    raise SystemExit(int(_run_parsed(words) or 0))


def _leave_out_tls() -> None:
    """Keep asyncio from loading `ssl`, which no role uses; without the module it has no TLS."""
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]


def _is_plain_role(words: Sequence[str]) -> bool:
    return (
        len(words) == 3
        and words[0] in ROLES
        and words[1] == "--settings"
        and not words[2].startswith("-")
    )


def _run_parsed(words: Sequence[str]) -> Any:
    from defopt import run

    chosen = words[0] if words else ""
    names = [chosen] if chosen in COMMANDS else list(COMMANDS)
    functions = {name: _load(name) for name in names if _is_installed(name)}
    if len(words) == 1 and isinstance(functions.get(chosen), dict):
        print(f"usage: apricotrail {chosen} {{{','.join(functions[chosen])}}} ...", file=sys.stderr)
        return USAGE
    return run(
        functions,
        argv=words,
        show_types=False,
        version=False,
        no_negated_flags=True,
        argparse_kwargs={"prog": "apricotrail", "description": "Dispatcher for sub-second tasks."},
    )


def _is_installed(name: str) -> bool:
    return find_spec(COMMANDS[name][0]) is not None


def _load(name: str) -> Any:
    module, attribute = COMMANDS[name]
    found = getattr(import_module(module), attribute)
    if attribute == "OPERATOR_COMMANDS":
        return found[name]
    return found
