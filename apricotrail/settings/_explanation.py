"""All declared settings as a commented TOML file."""

import json

from apricotrail.settings._declarations import Setting, list_constraints, list_settings

__all__ = ["explain_settings"]


def explain_settings() -> str:
    """Return every declared setting as commented TOML; the values are the defaults."""
    lines: list[str] = []
    present = ""
    for setting in list_settings():
        table, _, key = setting.name.rpartition(".")
        if table != present:
            lines += ["", f"[{table}]"] if lines else [f"[{table}]"]
            present = table
        lines.append(f"# {_describe(setting)}")
        lines.append(f"{key} = {_format_value(setting.default)}")
    rules = [f"# - {constraint.reason}" for constraint in list_constraints()]
    if rules:
        lines += ["", "# Settings that must agree:", *rules]
    return "\n".join(lines) + "\n"


def _describe(setting: Setting) -> str:
    details = [f"in {setting.unit}"] if setting.unit else []
    if setting.minimum is not None:
        details.append(f"at least {setting.minimum}")
    if setting.maximum is not None:
        details.append(f"at most {setting.maximum}")
    if setting.choices:
        details.append("one of " + ", ".join(setting.choices))
    return f"{setting.meaning} ({'; '.join(details)})" if details else setting.meaning


def _format_value(value: object) -> str:
    return json.dumps(value)
