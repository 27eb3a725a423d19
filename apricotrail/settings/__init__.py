"""Declared settings and the TOML file that changes them.

A module declares the settings it reads beside their use; a `Settings` object holds the values of
one process.
"""

from apricotrail.settings._declarations import (
    Constraint,
    Setting,
    Settings,
    declare_constraint,
    declare_setting,
    list_constraints,
    list_settings,
)
from apricotrail.settings._explanation import explain_settings
from apricotrail.settings._files import TABLES, check_values, load_settings

__all__ = [
    "TABLES",
    "Constraint",
    "Setting",
    "Settings",
    "check_values",
    "declare_constraint",
    "declare_setting",
    "explain_settings",
    "list_constraints",
    "list_settings",
    "load_settings",
]
