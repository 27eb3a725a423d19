"""The command line."""

__all__ = ["main"]


def main() -> None:
    """Run one command."""
    raise SystemExit("no command yet")
