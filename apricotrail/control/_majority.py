"""Whether a replica lacks a majority of its group, and whether silent voters have successors.

Observations and the time go in, what to report comes out; `_group_watch` logs it.
"""

from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import Any

from apricotrail.control._members import Members
from apricotrail.control._repair_limits import REPLACE_AFTER_MS
from apricotrail.control._replica import ReplicaState
from apricotrail.membership import has_durable_log

__all__ = [
    "MajorityWatch",
    "Phase",
    "SuccessionWatch",
    "describe_group",
    "describe_members",
    "describe_silences",
    "find_silent_voters",
    "find_spares",
]

MAX_LISTED = 16
HEARD_WITHIN_ELECTIONS = 2  # longer than the pause between two heartbeats of a link


class Phase(StrEnum):
    """What is new about a time without a majority."""

    BEGUN = "begun"
    LASTS = "lasts"
    ENDED = "ended"


class MajorityWatch:
    """Tells when the state of a replica can't be confirmed for long.

    Parameters
    ----------
    limit_ms : float
        Time without a confirmation above which a majority is missing.
    repeat_ms : float
        Time between two reports while it lasts.
    max_gap_ms : float
        Time between two calls of `observe` above which this process counts as stalled; the rest of
        a stall isn't counted.

    Attributes
    ----------
    unconfirmed_ms : float
        Time since the last confirmation, as far as it was observed.
    missing_ms : float
        The same while a majority is missing, else 0; when it ends, kept for that one observation.
    """

    def __init__(self, limit_ms: float, repeat_ms: float, max_gap_ms: float) -> None:
        self._limit_ms = limit_ms
        self._repeat_ms = repeat_ms
        self._max_gap_ms = max_gap_ms
        self._observed_ms: float | None = None
        self._reported_ms: float | None = None
        self.unconfirmed_ms = 0.0
        self.missing_ms = 0.0

    def observe(self, age_ms: float, now_ms: float) -> Phase | None:
        """Take in the age of the last confirmation, and return what to report now.

        Parameters
        ----------
        age_ms : float
            Age of the last proof that the state is the newest, in milliseconds.
        now_ms : float
            Monotonic time in milliseconds.
        """
        gap_ms = 0.0 if self._observed_ms is None else now_ms - self._observed_ms
        self._observed_ms = now_ms
        self.unconfirmed_ms = min(age_ms, self.unconfirmed_ms + min(gap_ms, self._max_gap_ms))
        if self.unconfirmed_ms > self._limit_ms:
            self.missing_ms = self.unconfirmed_ms
            return self._decide_report(now_ms)
        if self._reported_ms is None:
            self.missing_ms = 0.0
            return None
        self._reported_ms = None
        return Phase.ENDED

    def _decide_report(self, now_ms: float) -> Phase | None:
        phase = Phase.BEGUN if self._reported_ms is None else Phase.LASTS
        if self._reported_ms is not None and now_ms - self._reported_ms < self._repeat_ms:
            return None
        self._reported_ms = now_ms
        return phase


class SuccessionWatch:
    """Tells once of each voter that stays silent while too few replicas could take places."""

    def __init__(self) -> None:
        self._reported: frozenset[str] = frozenset()

    def observe(self, silent: Iterable[str], spares: Iterable[str]) -> bool:
        """Return whether a voter is newly without a successor.

        Parameters
        ----------
        silent : iterable of str
            Ids of the voters that are silent for long.
        spares : iterable of str
            Ids of the replicas that could become voters.
        """
        silent = frozenset(silent)
        unreplaced = silent if len(silent) > len(frozenset(spares)) else frozenset()
        is_new = not unreplaced <= self._reported
        self._reported = unreplaced
        return is_new


def find_silent_voters(members: Members, silences_ms: Mapping[str, float]) -> list[str]:
    """Return the voters not heard for longer than `REPLACE_AFTER_MS`, the longest silent first."""
    voters = _sort_voters(members, silences_ms)
    return [key for key in voters if silences_ms.get(key, 0.0) > REPLACE_AFTER_MS]


def find_spares(members: Members, reachable: Iterable[str]) -> list[str]:
    """Return the `reachable` replicas with a disk that do not vote."""
    return [
        key
        for key in reachable
        if has_durable_log(key) and not (key in members and members[key].voter)
    ]


def describe_members(members: Members) -> dict[str, Any]:
    """Return the voters and learners for a log line, at most `MAX_LISTED` of each by id."""
    voters = sorted(key for key, member in members.items() if member.voter)
    learners = sorted(key for key, member in members.items() if not member.voter)
    return {
        "voters": voters[:MAX_LISTED],
        "learners": learners[:MAX_LISTED],
        "members": len(members),
    }


def describe_silences(voters: Sequence[str], silences_ms: Mapping[str, float]) -> dict[str, int]:
    """Return the silences of the first `MAX_LISTED` voters in whole milliseconds, by id."""
    return {key: round(silences_ms.get(key, 0.0)) for key in voters[:MAX_LISTED]}


def describe_group(replica: ReplicaState, silences_ms: Mapping[str, float]) -> dict[str, Any]:
    """Return what a replica knows of its group for a log line.

    ``heard`` counts the voters heard within `HEARD_WITHIN_ELECTIONS` election times.
    """
    members = replica.log.members
    voters = _sort_voters(members, silences_ms)
    limit_ms = HEARD_WITHIN_ELECTIONS * replica.timing.election_ms
    return {
        "replica": replica.own_id,
        "term": replica.term,
        "leader": replica.leader,
        "state": replica.role.value,
        "is_voter": replica.is_voter,
        "is_member": replica.own_id in members,
        "voters": len(voters),
        "heard": sum(silences_ms.get(key, 0.0) < limit_ms for key in voters),
        "silences_ms": describe_silences(voters, silences_ms),
        "learners": describe_members(members)["learners"],
        "members": len(members),
        "commit_index": replica.commit_index,
        "last_index": replica.log.last_index,
    }


def _sort_voters(members: Members, silences_ms: Mapping[str, float]) -> list[str]:
    voters = sorted(key for key, member in members.items() if member.voter)
    return sorted(voters, key=lambda key: -silences_ms.get(key, 0.0))
