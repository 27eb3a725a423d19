"""The command line: one module for each noun, loaded when its command is chosen."""

from apricotrail.cli._main import main
from apricotrail.cli._role import catch_stop_signals, serve

__all__ = ["catch_stop_signals", "main", "serve"]
