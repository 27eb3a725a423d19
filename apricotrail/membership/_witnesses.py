"""Control replicas that are known to have listed this process all the time.

An owner that can't reach an agent writes its runs off once a majority of the replicas don't list
the agent. An agent that was out of touch must know whether that may have happened. A replica lists
whom it has a link with, so one with which the link never broke has listed this process throughout;
and one whose process has just started can't have told anyone before this process was linked again.
docs/design/uncertain-ends.md has the proof.
"""

from collections.abc import Collection, Iterable

from apricotrail.clocks import Clock
from apricotrail.membership._replicas import replica_name
from apricotrail.membership._run_limits import LISTS_COMPLETE_MS, WRITE_OFF_CONTACT_MS

__all__ = ["Witnesses", "find_majority_ms"]


def find_majority_ms(times_ms: Iterable[float]) -> float:
    """Return the latest time that more than half of `times_ms` reach, 0.0 for no times.

    Examples
    --------
    >>> find_majority_ms([30.0, 10.0, 20.0]), find_majority_ms([30.0, 10.0, 20.0, 5.0])
    (20.0, 10.0)
    """
    ordered = sorted(times_ms, reverse=True)
    return ordered[len(ordered) // 2] if ordered else 0.0


class _ReplicaLink:
    """What is known of the present link to a replica, by the own clock.

    Attributes
    ----------
    first_echo_ms : float or None
        When the first echo arrived on this link: the replica has the link by then.
    echoed_ms : float
        When the last own heartbeat was sent that the replica echoed on this link.
    started_after_ms, started_before_ms : float or None
        Limits of the start of the replica's process; None if it doesn't state its uptime.
    """

    def __init__(self, replica: str) -> None:
        self.replica = replica
        self.first_echo_ms: float | None = None
        self.echoed_ms = 0.0
        self.started_after_ms: float | None = None
        self.started_before_ms: float | None = None

    def note_echo(self, sent_ms: float, now_ms: float, uptime_ms: int | None) -> None:
        if self.first_echo_ms is None:
            self.first_echo_ms = now_ms
        self.echoed_ms = max(self.echoed_ms, sent_ms)
        if uptime_ms is None:
            return
        # The uptime was stated between the two times.
        earliest_ms, latest_ms = sent_ms - uptime_ms, now_ms - uptime_ms
        if self.started_after_ms is None or self.started_before_ms is None:
            self.started_after_ms, self.started_before_ms = earliest_ms, latest_ms
        self.started_after_ms = max(self.started_after_ms, earliest_ms)
        self.started_before_ms = min(self.started_before_ms, latest_ms)

    def is_witness(self, since_ms: float) -> bool:
        """Return whether this replica can't have counted for a write-off at `since_ms` or later.

        Lists count for that as `Roster.is_unlisted` says.
        """
        if self.first_echo_ms is None:
            return False
        if self.first_echo_ms <= since_ms:
            return True
        if self.started_after_ms is None or self.started_before_ms is None:
            return False
        return (
            self.started_after_ms >= since_ms
            and self.started_before_ms < since_ms + WRITE_OFF_CONTACT_MS
            and self.first_echo_ms - self.started_after_ms < LISTS_COMPLETE_MS
        )


class Witnesses:
    """The present links of one process to the control replicas.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By the stable name, under which replicas are counted for a majority.
        self._links: dict[str, _ReplicaLink] = {}

    def note_up(self, replica: str) -> None:
        """Record that a link to a replica came up."""
        self._links[replica_name(replica)] = _ReplicaLink(replica)

    def note_down(self, replica: str) -> None:
        """Record that the link to a replica was lost."""
        known = self._links.get(replica_name(replica))
        if known is not None and known.replica == replica:
            del self._links[replica_name(replica)]

    def note_echo(self, replica: str, sent_ms: float, uptime_ms: int | None) -> None:
        """Record that a replica echoed an own heartbeat.

        Parameters
        ----------
        replica : str
            Id of the replica.
        sent_ms : float
            Own time at which the heartbeat was sent.
        uptime_ms : int or None
            How long the replica's process had run, as it stated with the echo.
        """
        known = self._links.get(replica_name(replica))
        if known is not None and known.replica == replica:
            known.note_echo(sent_ms, self._clock(), uptime_ms)

    def find_contact_ms(self, since_ms: float, counted: Collection[str]) -> float:
        """Return until when a majority of replicas are witnesses, on the own clock.

        Parameters
        ----------
        since_ms : float
            Time from which an owner may have been out of touch.
        counted : collection of str
            Stable names of the replicas of which a majority is needed.

        Returns
        -------
        float
            0.0 if there is no such majority.
        """
        return find_majority_ms(self._find_echoed_ms(name, since_ms) for name in counted)

    def _find_echoed_ms(self, stable_name: str, since_ms: float) -> float:
        link = self._links.get(stable_name)
        return link.echoed_ms if link is not None and link.is_witness(since_ms) else 0.0
