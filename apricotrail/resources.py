"""Memory and descriptors that a process may use; the limits on clients are shares of them."""

import os
import resource
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from apricotrail.events import Level, declare_event, emit
from apricotrail.settings import Settings, declare_setting

__all__ = ["LimitCounts", "Resources", "read_resources"]

MEMORY_MB = declare_setting(
    "process.memory_mb",
    0,
    "Memory that this process may use; 0 for what its control group or else its machine has.",
    unit="MB",
    minimum=0,
)
MAX_DESCRIPTORS = declare_setting(
    "process.max_descriptors",
    0,
    "Descriptors that this process may have open; 0 for the limit of the operating system.",
    minimum=0,
)

LIMIT_MET = declare_event(
    9003,
    "limit_met",
    Level.WARNING,
    "Clients met a limit of a listener, or peers one of the links: their requests were refused, or "
    "connections closed, as docs/http.md says for it. count is the number since the last such line "
    "for this limit.",
)

BYTES_PER_MB = 1024 * 1024
MOST_DESCRIPTORS = 1_048_576  # where the operating system sets no limit
CGROUP_LIMIT = Path("/sys/fs/cgroup/memory.max")


class Resources(NamedTuple):
    """What a process may use.

    Attributes
    ----------
    memory_bytes : int
        Resident memory in bytes.
    descriptors : int
        Open descriptors.
    """

    memory_bytes: int
    descriptors: int


class LimitCounts:
    """Counts how often the limits of a listener, or of links, are met.

    Parameters
    ----------
    owner : str
        Listener, or ``links``; limits are named ``OWNER LIMIT``.

    Attributes
    ----------
    on_limit : callable
        ``on_limit(name)`` is called each time.
    """

    def __init__(self, owner: str) -> None:
        self.on_limit: Callable[[str], None] = lambda name: None
        self._owner = owner
        self._unlogged: Counter[str] = Counter()

    def note(self, limit: str) -> None:
        """Count a limit that was met."""
        name = f"{self._owner} {limit}"
        self._unlogged[name] += 1
        self.on_limit(name)

    def log(self) -> None:
        """Log what was counted since the last call; called in intervals, not for each client."""
        for name, count in self._unlogged.items():
            emit(LIMIT_MET, limit=name, count=count)
        self._unlogged.clear()


def read_resources(settings: Settings) -> Resources:
    """Return what this process may use: the settings, or else the limits of the system."""
    memory_bytes = settings.get(MEMORY_MB) * BYTES_PER_MB or _read_memory_limit()
    descriptors = settings.get(MAX_DESCRIPTORS) or _read_descriptor_limit()
    return Resources(memory_bytes, descriptors)


def _read_memory_limit() -> int:
    machine_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    with suppress(OSError, ValueError):  # without a limit, the file holds a word
        return min(machine_bytes, int(CGROUP_LIMIT.read_text()))
    return machine_bytes


def _read_descriptor_limit() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MOST_DESCRIPTORS if soft == resource.RLIM_INFINITY else min(soft, MOST_DESCRIPTORS)
