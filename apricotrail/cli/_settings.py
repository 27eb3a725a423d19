"""``apricotrail settings``: check a settings file, explain all settings."""

import sys
from pathlib import Path

from returns.result import Failure

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._modules import import_all_modules
from apricotrail.settings import explain_settings, load_settings

__all__ = ["SETTINGS_COMMANDS", "check", "explain"]


def check(file: Path) -> ExitCode:
    """Check a settings file and print everything that is wrong with it.

    Parameters
    ----------
    file : Path
        Settings file (TOML) of any role.
    """
    import_all_modules()
    loaded = load_settings(file)
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        return ExitCode.REFUSED
    print(f"{file}: no problem found")
    return ExitCode.DONE


def explain() -> ExitCode:
    """Print every setting with its default, unit, bounds and meaning, as TOML."""
    import_all_modules()
    print(explain_settings(), end="")
    return ExitCode.DONE


SETTINGS_COMMANDS = {"check": check, "explain": explain}
