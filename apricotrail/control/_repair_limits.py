"""Time limits of repairs of an open group, and what they add up to.

A machine that replaces a lost one restores the group before the next loss if these steps end within
`REPAIRED_AFTER_MS` of its start, whether the lost replica led or not:

========================================  ==========================================================
step                                      ends after
========================================  ==========================================================
the lost replica counts as replaceable    `REPLACE_AFTER_MS` of silence, counted by each replica, so
                                          that a change of leader doesn't start it anew
the new replica is a learner and has      a connection, `OVERSEE_INTERVAL_MS` and the transfer of
caught up                                 the log; this and the step above run side by side
the lost replica is removed               `OVERSEE_INTERVAL_MS` and a commit
the new replica votes                     a commit; it is proposed once the removal is in force
========================================  ==========================================================

The lost replica is removed first: if the new one is lost, too, before it votes, the others are a
majority without either of them.
"""

from typing import NamedTuple

__all__ = [
    "COMMIT_MS",
    "OVERSEE_INTERVAL_MS",
    "REMOVE_AFTER_MS",
    "REPAIRED_AFTER_MS",
    "REPLACE_AFTER_MS",
    "RepairLimits",
]

REPAIRED_AFTER_MS = 4_000.0
"""Time after the start of a replacement within which the group bears the next loss."""

REPLACE_AFTER_MS = 2_000.0
"""Silence of a voter after which a replica that has caught up takes its place."""

REMOVE_AFTER_MS = 12_000.0
"""Silence of a member after which it is removed without a successor; longer than usual outages."""

OVERSEE_INTERVAL_MS = 250.0
"""Time between two looks of the leader at its group."""

COMMIT_MS = 200.0
"""Longest time in which a group without a fault commits a change, with slow disks."""


class RepairLimits(NamedTuple):
    """Silences after which members are replaced, or removed, in milliseconds."""

    replace_after_ms: float = REPLACE_AFTER_MS
    remove_after_ms: float = REMOVE_AFTER_MS
