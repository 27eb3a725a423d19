"""Chooses the control replica whose configuration changes a process follows.

A replica that is cut off from its group, or that has never joined it, keeps its links and confirms
nothing. Replicas are compared with each other, so that all of them lag alike while no leader is
elected, and none is left for another then.
"""

from collections.abc import Sequence
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.membership._replicas import has_durable_log
from apricotrail.wire.generated.ttypes import Identity

__all__ = ["Choice", "ReplicaChoice"]

LAG_MS = 500.0  # a heartbeat interval; the confirmations of a sound group differ by less
# After an election the leader confirms first, the others up to two rounds later. The followed
# replica is asked again before it is left.
ASK_AGAIN_MS = 300.0
LEAVE_AFTER_MS = 500.0
RETURN_AFTER_MS = 10_000.0  # a replica that confirms by fits and starts is not followed each time


class Choice(NamedTuple):
    """The replica to follow from now on.

    Attributes
    ----------
    replica : str
        Its name.
    reason : str
        ``first``, ``preferred`` (with a disk or in the own zone), ``link_lost`` or
        ``unconfirmed`` (the former one's confirmations lag).
    """

    replica: str
    reason: str


class ReplicaChoice:
    """When each linked replica last confirmed its configuration, and which one to follow.

    Parameters
    ----------
    zone : str
        Own availability zone.
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, zone: str, clock: Clock) -> None:
        self._zone = zone
        self._clock = clock
        self._confirmed_ms: dict[str, float] = {}
        self._lagging_since_ms: float | None = None
        self._is_asked_again = False
        self._left_ms: float | None = None

    @property
    def is_pending(self) -> bool:
        """Whether the followed replica is left soon unless it confirms its configuration."""
        return self._lagging_since_ms is not None

    def note_confirmation(self, replica: str, as_of_ms: float) -> None:
        """Record that a linked replica had the newest configuration at `as_of_ms`."""
        self._confirmed_ms[replica] = max(as_of_ms, self._confirmed_ms.get(replica, as_of_ms))

    def forget(self, replica: str) -> None:
        """Drop the confirmations of a replica whose link was lost."""
        self._confirmed_ms.pop(replica, None)

    def lags(self, replica: str) -> bool:
        """Return whether a replica's confirmations are older than another's by `LAG_MS`."""
        if not self._confirmed_ms:
            return False
        confirmed_ms = self._confirmed_ms.get(replica)
        return confirmed_ms is None or max(self._confirmed_ms.values()) - confirmed_ms >= LAG_MS

    def review(self, followed: Identity, linked: Sequence[Identity]) -> Choice | None:
        """Return the replica to follow in place of `followed`, None to stay.

        Parameters
        ----------
        followed : Identity
            The replica that is followed.
        linked : sequence of Identity
            All linked replicas.
        """
        now_ms = self._clock()
        best = self._find_best(linked)
        if not self.lags(followed.name):
            self._lagging_since_ms = None
            return Choice(best.name, "preferred") if self._is_preferred(best, followed) else None
        if self._lagging_since_ms is None:
            self._lagging_since_ms = now_ms
            self._is_asked_again = False
        if now_ms - self._lagging_since_ms < LEAVE_AFTER_MS:
            return None
        self._lagging_since_ms = None
        self._left_ms = now_ms
        return Choice(best.name, "unconfirmed")

    def replace_lost(self, linked: Sequence[Identity]) -> Choice | None:
        """Return the replica to follow after the link to the followed one was lost."""
        self._lagging_since_ms = None
        return Choice(self._find_best(linked).name, "link_lost") if linked else None

    def must_ask_again(self) -> bool:
        """Return whether to ask the followed replica for a confirmation, once before it is left."""
        since_ms = self._lagging_since_ms
        if since_ms is None or self._is_asked_again or self._clock() - since_ms < ASK_AGAIN_MS:
            return False
        self._is_asked_again = True
        return True

    def _find_best(self, linked: Sequence[Identity]) -> Identity:
        return max(linked, key=lambda it: (not self.lags(it.name), self._rank(it)))

    def _rank(self, replica: Identity) -> tuple[bool, bool]:
        return has_durable_log(replica.name), replica.zone == self._zone

    def _is_preferred(self, best: Identity, followed: Identity) -> bool:
        if best.name not in self._confirmed_ms or self._rank(best) <= self._rank(followed):
            return False
        return self._left_ms is None or self._clock() - self._left_ms >= RETURN_AFTER_MS
