"""The command line: one module for each noun, loaded when its command is chosen."""

from apricotrail.cli._main import main

__all__ = ["main"]
