"""Memory and descriptors that a process may use; the limits on clients are shares of them."""

import os
import resource
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from apricotrail.settings import Settings, declare_setting

__all__ = ["Resources", "read_resources"]

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
