"""Time until a change is in force whose leader is lost as soon as it has acknowledged it.

The other replicas hold the entry, but don't know that it is committed. They apply it once a new
leader has committed an entry of its own term; only then does a replica state the version:

========================================  ==========================================================
step                                      ends after
========================================  ==========================================================
the last append of the lost leader is     half a round trip
read by those that it hadn't reached
an election is due                        two election times, the longest random pause
pre-votes                                 a round trip; nothing is written
votes                                     the candidate's sync of its term, a round trip, and two
                                          syncs of a voter that is just writing the same term
the first entry of the term is committed  a round trip and two syncs; a voter that lacks entries
                                          costs one more of each
the others learn the commit index and     half a round trip and `APPLICATION_MS`
apply the entry
a process takes it                        half a round trip and `APPLICATION_MS`
========================================  ==========================================================

An election fails if the votes are split between candidates, or if a voter still counts the lost
leader as active. Each failure costs a round trip and two election times. The steps are the same for
any number of voters, but not how often elections fail.

A process that followed the lost replica finds that out by the silence of its link, at its next
heartbeat; if another one that it then follows is lost, too, at the heartbeat after that. Or else
the heartbeats of other replicas state a higher version for a while. The first of the two counts,
and they run beside the election.
"""

from math import ceil
from typing import NamedTuple

from apricotrail.control._replica import Timing

__all__ = ["APPLICATION_MS", "ApplyLimits", "sum_applied_ms", "sum_taken_ms"]

APPLICATION_MS = 50.0
"""Longest time in which a replica or a process applies a change."""


class ApplyLimits(NamedTuple):
    """Limits and delays that decide when a change is in force, in milliseconds.

    Attributes
    ----------
    timing : Timing
        Round and election times of the replicas.
    sync_ms : float
        Longest sync of a disk.
    round_trip_ms : float
        Longest round trip between two processes.
    heartbeat_ms : float
        Time between two heartbeats of a process, which replicas answer at once.
    silent_ms : float
        Silence after which a process replaces a link.
    behind_grace_ms : float
        How long another replica must have stated a higher version before a process requests it.
    """

    timing: Timing
    sync_ms: float
    round_trip_ms: float
    heartbeat_ms: float
    silent_ms: float
    behind_grace_ms: float


def sum_applied_ms(limits: ApplyLimits, failed_elections: int = 1) -> float:
    """Return the time from the acknowledgement until the remaining replicas have applied it, in ms.

    Parameters
    ----------
    limits : ApplyLimits
        Limits and delays.
    failed_elections : int
        Elections without a winner.
    """
    sync_ms, round_trip_ms = limits.sync_ms, limits.round_trip_ms
    election_due_ms = 2 * limits.timing.election_ms
    failed_ms = failed_elections * (round_trip_ms + election_due_ms)
    elected_ms = round_trip_ms / 2 + election_due_ms + 2 * round_trip_ms + 3 * sync_ms
    committed_ms = 2 * round_trip_ms + 3 * sync_ms
    return failed_ms + elected_ms + committed_ms + round_trip_ms / 2 + APPLICATION_MS


def sum_taken_ms(limits: ApplyLimits, failed_elections: int = 1, lost: int = 1) -> float:
    """Return the time from the acknowledgement until all processes obey it, in ms.

    Parameters
    ----------
    limits : ApplyLimits
        Limits and delays.
    failed_elections : int
        Elections without a winner.
    lost : int
        Replicas that are lost at once; one of them leads.
    """
    applied_ms = sum_applied_ms(limits, failed_elections)
    beat_ms = limits.heartbeat_ms
    silence_noticed_ms = limits.silent_ms + lost * beat_ms
    grace_beats = ceil(limits.behind_grace_ms / beat_ms)
    higher_noticed_ms = applied_ms + (1 + grace_beats) * beat_ms
    followed_ms = min(max(applied_ms, silence_noticed_ms), higher_noticed_ms)
    # A request and its answer.
    return followed_ms + limits.round_trip_ms + APPLICATION_MS
