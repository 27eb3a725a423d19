"""``apricotrail version``."""

from platform import python_version

from apricotrail import __version__

__all__ = ["show_version"]


def show_version() -> int:
    """Print the versions of apricotrail, of its wire protocol and of Python."""
    from apricotrail.wire import WIRE_VERSION

    print(f"apricotrail {__version__}, wire version {WIRE_VERSION}, Python {python_version()}")
    return 0
