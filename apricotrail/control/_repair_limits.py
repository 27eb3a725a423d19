"""Time limits of repairs of an open group, and what they add up to.

After each order of coming and going the group bears the next losses if these steps end within
`REPAIRED_AFTER_MS` of the start of the successor:

========================================  ==========================================================
the successor starts first                ends after
========================================  ==========================================================
it is a learner and has caught up         a connection, `OVERSEE_INTERVAL_MS` and the transfer of
                                          the log
it votes                                  `OVERSEE_INTERVAL_MS` and a commit
the other voter of its zone is a spare    a commit; if that one led, `OVERSEE_INTERVAL_MS`, a vote
                                          and the first commit of the next leader before
the predecessor goes, with or without     at once: it doesn't vote any more
a signal
========================================  ==========================================================

========================================  ==========================================================
the predecessor goes first                ends after
========================================  ==========================================================
it counts as replaceable                  `REPLACE_AFTER_MS` of silence, counted by each replica, so
                                          that a change of leader doesn't start it anew
the successor is a learner and has        a connection, `OVERSEE_INTERVAL_MS` and the transfer of
caught up                                 the log; this and the step above run side by side
the predecessor is removed                `OVERSEE_INTERVAL_MS` and a commit
the successor votes                       a commit; it is proposed once the removal is in force
========================================  ==========================================================

The second table holds as well for a voter whose place a spare takes. With a planned stop the
predecessor leaves the group itself. Several machines replaced at the same time take the commits one
after another. `apricotrail.control._voters` tells which change comes when, and why.
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
"""Silence of a voter after which a spare takes its place or, in an even group, nobody; also that of
a learner after which it is removed."""

REMOVE_AFTER_MS = 12_000.0
"""Silence of a voter in an odd group after which it is removed without a successor; longer than
usual outages."""

OVERSEE_INTERVAL_MS = 250.0
"""Time between two looks of the leader at its group."""

COMMIT_MS = 200.0
"""Longest time in which a group without a fault commits a change, with slow disks."""


class RepairLimits(NamedTuple):
    """Silences after which members are replaced, or removed, in milliseconds."""

    replace_after_ms: float = REPLACE_AFTER_MS
    remove_after_ms: float = REMOVE_AFTER_MS
