"""Logs who belongs to the group of a replica, and for how long it has had no majority."""

from collections.abc import Callable, Iterable, Mapping

from apricotrail.control._majority import (
    MajorityWatch,
    Phase,
    SuccessionWatch,
    describe_group,
    describe_members,
    describe_silences,
    find_silent_voters,
    find_spares,
)
from apricotrail.control._members import Members, count_voters
from apricotrail.control._node import Node
from apricotrail.control._repair_limits import OVERSEE_INTERVAL_MS
from apricotrail.events import Level, declare_event, emit

__all__ = ["GroupWatch"]

MISSING_AFTER_ELECTIONS = 5  # a lost leader is replaced sooner
REPEAT_MS = 5_000.0
MAX_LOOK_GAP_MS = 2 * OVERSEE_INTERVAL_MS

MAJORITY_MISSING = declare_event(
    3011,
    "majority_missing",
    Level.ERROR,
    "This replica hasn't been able to confirm its state for several election times: no change is "
    "acknowledged here and reads are refused; repeated while it lasts. silences_ms names the "
    "voters and for how long this replica hasn't heard each. If no majority of them is heard, "
    "start the silent ones with their disks, or mend the network to them; if their disks are lost, "
    "see Lost quorum of control in docs/OPERATIONS.md. If a majority is heard, look at sync_ms and "
    "loop_lag_ms of the replicas; if only this replica logs it, at its own links.",
)
MAJORITY_REGAINED = declare_event(
    3012,
    "majority_regained",
    Level.WARNING,
    "This replica confirms its state again; lasted_ms tells for how long it couldn't.",
)
MEMBERS_IN_EFFECT = declare_event(
    3013,
    "members_in_effect",
    Level.INFO,
    "The members of the control group that count at this replica, at its start and after each "
    "change; a change counts once it is logged, and is undone if it is replaced before its commit. "
    "index is that of the change, or of the snapshot that holds it.",
)
VOTER_UNREPLACED = declare_event(
    3014,
    "voter_unreplaced",
    Level.WARNING,
    "Voters have been silent for longer than it takes to replace them, and fewer replicas with a "
    "disk that could take their places are linked. bears tells how many more voters the group can "
    "lose; below 0 it has no majority. Start the silent ones again, or new replicas.",
)


DISKS_LOST = declare_event(
    3015,
    "disks_lost",
    Level.WARNING,
    "Replicas are linked in the place of these members with new identities, so their disks are "
    "lost. With guarded, the members that are left may elect a leader without a majority of the "
    "voters, as apricotrail.control._quorums tells.",
)


class GroupWatch:
    """Observes the group of a replica and logs what changes.

    Parameters
    ----------
    node : Node
        The replica.
    count_missing_ms : callable
        Takes whole milliseconds that were spent without a majority.
    """

    def __init__(self, node: Node, count_missing_ms: Callable[[int], None]) -> None:
        self._node = node
        self._count_missing_ms = count_missing_ms
        self._counted_ms = 0
        self._members: Members = {}
        self._lost_disks: frozenset[str] = frozenset()
        self._succession = SuccessionWatch()
        limit_ms = MISSING_AFTER_ELECTIONS * node.replica.timing.election_ms
        self._majority = MajorityWatch(limit_ms, REPEAT_MS, MAX_LOOK_GAP_MS)

    def note_members(self) -> None:
        """Log the members if they changed since the last call."""
        log = self._node.replica.log
        if log.members is self._members:
            return
        former, self._members = self._members, log.members
        if former != log.members:
            index = log.member_change_index or log.base_index
            emit(
                MEMBERS_IN_EFFECT,
                index=index,
                committed=index <= self._node.replica.commit_index,
                term=self._node.replica.term,
                **describe_members(log.members),
            )

    def note_lost_disks(self) -> None:
        """Log the members whose disks are newly known to be lost."""
        replica = self._node.replica
        former, self._lost_disks = self._lost_disks, replica.lost_disks
        if not replica.lost_disks <= former:
            emit(
                DISKS_LOST,
                lost=sorted(replica.lost_disks),
                guarded=replica.make_quorum_rule().is_guarded,
                **describe_members(replica.log.members),
            )

    def look(
        self, silences_ms: Mapping[str, float], reachable: Iterable[str], now_ms: float
    ) -> None:
        """Log a majority that is missing or back, and silent voters without successors.

        A replica that belongs to no group yet has nothing to log.

        Parameters
        ----------
        silences_ms : dict of str to float
            Time since the last message of each member in milliseconds, by id.
        reachable : iterable of str
            Ids of the replicas that may join or belong to the group and answer now.
        now_ms : float
            Monotonic time in milliseconds.
        """
        if not self._node.is_formed:
            return
        self._look_for_majority(silences_ms, now_ms)
        self._look_for_successors(silences_ms, reachable)

    def _look_for_majority(self, silences_ms: Mapping[str, float], now_ms: float) -> None:
        node, watch = self._node, self._majority
        age_ms = node.confirmation_age_ms()
        phase = watch.observe(age_ms, now_ms)
        missing_ms = round(watch.missing_ms)
        self._count_missing_ms(max(0, missing_ms - self._counted_ms))
        self._counted_ms = missing_ms
        if phase is Phase.ENDED:
            emit(
                MAJORITY_REGAINED,
                lasted_ms=missing_ms,
                age_ms=round(age_ms),
                **describe_group(node.replica, silences_ms),
            )
        elif phase is not None:
            emit(
                MAJORITY_MISSING,
                phase=phase.value,
                missing_ms=missing_ms,
                age_ms=round(age_ms),
                version=node.machine.version,
                applied_index=node.applied_index,
                **describe_group(node.replica, silences_ms),
            )

    def _look_for_successors(
        self, silences_ms: Mapping[str, float], reachable: Iterable[str]
    ) -> None:
        members = self._node.replica.log.members
        silent = find_silent_voters(members, silences_ms)
        spares = find_spares(members, reachable)
        if not self._succession.observe(silent, spares):
            return
        voters = count_voters(members)
        emit(
            VOTER_UNREPLACED,
            silences_ms=describe_silences(silent, silences_ms),
            voters=voters,
            spares=len(spares),
            bears=voters - len(silent) - (voters // 2 + 1),
        )
