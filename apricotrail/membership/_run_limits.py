"""Time limits of runs that dispatchers and agents share, and what they add up to.

Two runs of one task are kept apart by time alone when processes can't reach each other. Whoever
starts a task again waits, and what it waits for must have ended by then:

========================================  ==========================================================
who starts a task again                   the former run has ended
========================================  ==========================================================
a caller, `CALLER_RETRY_MS` after its     `OWNER_GRACE_MS` after the owner's last sign of life that
dispatcher is gone or has answered that   reached the agent, or after the sign of life before the
the job is unfinished                     stop; a dispatcher may notice `MAX_NOTICE_MS` later than a
                                          caller that they lost each other
the owner of a run, `AGENT_LOST_AFTER_MS` `OWNER_GRACE_MS` after that; and an end that can't be
after the agent's last heartbeat          confirmed is not acknowledged (runners/_doubts), or for an
                                          older owner is void `IN_DOUBT_AFTER_MS`, a tick and a
                                          lease after it
========================================  ==========================================================

An agent stops the runs of an owner that was silent for `OWNER_SILENT_MS`. That takes a few
milliseconds; the limits above hold also if no stop is answered, since leases end by themselves.
"""

__all__ = [
    "AGENT_LOST_AFTER_MS",
    "CALLER_RETRY_MS",
    "IN_DOUBT_AFTER_MS",
    "LEASE_MS",
    "LISTS_COMPLETE_MS",
    "MAX_NOTICE_MS",
    "OWNER_GRACE_MS",
    "OWNER_SILENT_MS",
    "START_VALID_MS",
    "TICK_MS",
    "WRITE_OFF_CONTACT_MS",
    "compute_owner_grace_ms",
]

CALLER_RETRY_MS = 1_300.0
"""Shortest time after which callers send a job again, by default."""

MAX_NOTICE_MS = 150.0
"""Longest pause of a dispatcher after which it answers heartbeats at once."""

_MARGIN_MS = 50.0  # a round trip between zones, and the lag of a loaded process


def compute_owner_grace_ms(caller_retry_ms: float) -> float:
    """Return how long after the last sign of life of its owner a run may go on, in ms.

    Parameters
    ----------
    caller_retry_ms : float
        Shortest time after which callers send a job again.
    """
    return caller_retry_ms - MAX_NOTICE_MS - _MARGIN_MS


OWNER_GRACE_MS = compute_owner_grace_ms(CALLER_RETRY_MS)
"""How long after the last sign of life of its owner a run may go on by default."""

OWNER_SILENT_MS = 500.0
"""Silence of an owner after which its runs are stopped and none is started."""

LEASE_MS = 1_050.0
"""Longest lease of a runner, including the drift of its clock."""

TICK_MS = 50.0
"""Time between two periodic checks of a process."""

START_VALID_MS = 400.0
"""How long after it is sent an agent may act on a start; a later one is refused as expired."""

IN_DOUBT_AFTER_MS = 750.0
"""Silence of an owner and of control after which an end of the owner's runs that awaits
confirmation is in doubt."""

AGENT_LOST_AFTER_MS = 1_950.0
"""Silence of an agent after which its runs have ended."""

WRITE_OFF_CONTACT_MS = 2_300.0
"""Time from an agent's last heartbeat to a heartbeat that control must have echoed before the
agent's runs are written off. An agent can then tell a write-off from an outage of control that
began with the silence of the owner and was over, with new processes, within this time: 1.6 s
without power, a start of 0.4 s, and the time between two heartbeats."""

LISTS_COMPLETE_MS = 2_000.0
"""Age of the link to a control replica from which its list counts as complete: by then, the others
have dialed a replica that has restarted."""
