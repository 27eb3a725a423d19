"""State of one replica of the replicated log, shared by the modules of the protocol.

The protocol is Raft (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm", USENIX ATC 2014) with pre-vote, check-quorum, leadership transfer and learners (Ongaro's
dissertation, 2014). Functions take the state, a message and the time as arguments; messages to
send and records to write are collected in the state. No socket, file or clock is used here.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from enum import StrEnum
from random import Random
from typing import Any, NamedTuple

from apricotrail.control._log import ReplicatedLog
from apricotrail.control._members import Members
from apricotrail.control._quorums import GroupPlan, QuorumRule, find_lost_disks
from apricotrail.control._snapshots import Snapshot
from apricotrail.membership import NEVER_CONFIRMED_AGE_MS, Freshness
from apricotrail.wire.generated.ttypes import LogEntry

__all__ = [
    "Progress",
    "ReplicaState",
    "Role",
    "Timing",
    "Transfer",
    "become_follower",
    "confirmation_age_ms",
    "is_leader_ready",
    "postpone_election",
    "set_term",
]


class Role(StrEnum):
    """Raft role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """Intervals of the protocol in milliseconds.

    Attributes
    ----------
    round_ms : float
        Time between two rounds of appends; an empty append is the heartbeat.
    election_ms : float
        Shortest time without a message of the leader before a follower starts an election; also
        the longest time that a leader keeps its role without a round confirmed by a quorum.
    """

    round_ms: float = 150.0
    election_ms: float = 800.0


class Progress:
    """What a leader knows of another replica.

    Attributes
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Highest index at which the other log is known to match, synced there; 0 if unknown.
    acked_round : int
        Newest round that it has answered.
    ack_wait_start_ms : float
        Monotonic time from which the wait for an acknowledgement is measured: `match_index`
        advanced, entries were sent again, or nothing was unacknowledged.
    echo : int
        Sequence number of its newest reply, sent back in the next append.
    snapshot_data : bytes or None
        Encoded snapshot being sent, if any.
    snapshot_position : tuple of (int, int)
        Index and term of the last entry that this snapshot covers.
    snapshot_offset_bytes : int
        Offset of the next chunk to send.
    first_round : int
        First round that was sent to it.
    """

    def __init__(self, next_index: int, now_ms: float, first_round: int = 0) -> None:
        self.next_index = next_index
        self.first_round = first_round
        self.match_index = 0
        self.acked_round = 0
        self.ack_wait_start_ms = now_ms
        self.echo = 0
        self.snapshot_data: bytes | None = None
        self.snapshot_position: tuple[int, int] = (0, 0)
        self.snapshot_offset_bytes = 0


class Transfer(NamedTuple):
    """A leadership transfer in progress.

    Attributes
    ----------
    target : str
        Id of the replica that shall lead.
    deadline_ms : float
        Monotonic time at which the leader gives the transfer up.
    """

    target: str
    deadline_ms: float


class ReplicaState:
    """Protocol state of one replica.

    Parameters
    ----------
    own_id : str
        Id of this replica.
    log : ReplicatedLog
        Entries and the members that they define.
    term, vote : int, str
        Current term and the replica voted for in it, as read from the disk;
        the vote is empty if none was given.
    timing : Timing
        Intervals of the protocol.
    random : Random
        Source of election jitter and first sequence numbers.
    now_ms : float
        Monotonic time.
    make_snapshot : callable
        Returns a snapshot of the applied state, or None if none can be made.

    Attributes
    ----------
    leader : str
        Id of the known leader of the term, empty if none is known.
    synced_index : int
        Last entry that is synced to the own disk.
    leader_heard_ms : float
        Monotonic time of the last message from a leader.
    election_due_ms : float
        Monotonic time at which this replica starts an election if no leader is heard.
    stall_ended_ms : float
        Monotonic time of the first tick after the last stall of this process.
    quorum_round_sent_ms : float or None
        Send time of the newest round that a quorum confirmed.
    term_start_index : int
        Index of the empty entry that begins the leader's term.
    round_due : bool
        Whether new entries or a new commit index wait to be sent.
    messages_before_sync, messages_after_sync : list
        Messages that may be sent before the records are synced, and those that must wait for it.
    snapshot_to_install : Snapshot or None
        Snapshot received completely and not yet installed.
    plan : GroupPlan or None
        What an open group must bear; None for a group whose members are listed.
    lost_disks : frozenset of str
        Ids of the members whose disks are known to be lost.
    absent_learners : frozenset of str
        Ids of the learners that were silent for so long that they are about to be removed.
    """

    def __init__(
        self,
        own_id: str,
        log: ReplicatedLog,
        term: int,
        vote: str,
        timing: Timing,
        random: Random,
        now_ms: float,
        make_snapshot: Callable[[], Snapshot | None],
    ) -> None:
        self.own_id = own_id
        self.log = log
        self.term = term
        self.vote = vote
        self.timing = timing
        self.random = random
        self.now_ms = now_ms
        self.make_snapshot = make_snapshot
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = log.base_index
        self.synced_index = log.last_index
        # Just before a restart this replica may have confirmed a round of a leader, so it lets the
        # election time pass before it votes.
        self.leader_heard_ms = now_ms
        self.election_due_ms = now_ms
        self.last_tick_ms = now_ms
        self.stall_ended_ms = now_ms
        self.pre_vote = False
        self.votes: set[str] = set()
        # Used by a leader; `rounds_sent` holds send times by round
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.rounds_sent: OrderedDict[int, float] = OrderedDict()
        self.quorum_round_sent_ms: float | None = None
        self.elected_ms = now_ms
        self.term_start_index = 0
        self.next_round_ms = now_ms
        self.transfer: Transfer | None = None
        self.round_due = False
        # Used by a follower; `replies_sent` holds send times by sequence number
        self.reply_sequence = random.getrandbits(48)
        self.replies_sent: OrderedDict[int, float] = OrderedDict()
        self.freshness = Freshness(lambda: self.now_ms, NEVER_CONFIRMED_AGE_MS)
        self.incoming_snapshot: tuple[int, int, bytearray] | None = None
        # Effects, carried out by `Node.flush`
        self.pending_writes: list[LogEntry | tuple[int, str]] = []
        self.messages_before_sync: list[tuple[str, Any]] = []
        self.messages_after_sync: list[tuple[str, Any]] = []
        self.snapshot_to_install: Snapshot | None = None
        self.plan: GroupPlan | None = None
        self.lost_disks: frozenset[str] = frozenset()
        self.absent_learners: frozenset[str] = frozenset()
        postpone_election(self)

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts in quorums."""
        member = self.log.members.get(self.own_id)
        return member is not None and member.voter

    def make_quorum_rule(self, members: Members | None = None) -> QuorumRule:
        """Return what decides which sets are quorums, among `members` or the present ones."""
        members = self.log.members if members is None else members
        lost = self.lost_disks.intersection(members)
        return QuorumRule(members, lost, self.absent_learners.intersection(members), self.plan)

    def note_contacts(self, linked: Collection[str], absent: Iterable[str]) -> None:
        """Record which replicas are linked, which tells whose disks are lost.

        A lost disk doesn't come back, so it counts even while its successor isn't linked.

        Parameters
        ----------
        linked : collection of str
            Ids of the replicas that are linked now, and the own one.
        absent : iterable of str
            Ids of the members that were silent for so long that learners are removed.
        """
        members = self.log.members
        self.absent_learners = frozenset(key for key in absent if not members[key].voter)
        lost = self.lost_disks.union(find_lost_disks(members, linked))
        self.lost_disks = lost.intersection(members).difference(linked)

    def send(self, peer: str, message: Any) -> None:
        """Queue a message that is sent once all records are synced."""
        self.messages_after_sync.append((peer, message))


def set_term(state: ReplicaState, term: int, vote: str) -> None:
    """Enter `term` with `vote`; the pair is stored before any message that waits for the sync."""
    state.term, state.vote = term, vote
    state.pending_writes.append((term, vote))


def become_follower(state: ReplicaState, term: int, leader: str) -> None:
    """Follow `leader` (empty if unknown) in `term`."""
    if term > state.term:
        set_term(state, term, "")
    if state.role is not Role.FOLLOWER:
        state.role = Role.FOLLOWER
        postpone_election(state)
    state.leader = leader
    state.transfer = None
    state.round_due = False
    state.progress.clear()
    state.rounds_sent.clear()
    state.votes.clear()


def postpone_election(state: ReplicaState) -> None:
    """Set a new random time for the next election."""
    election_ms = state.timing.election_ms
    state.election_due_ms = state.now_ms + state.random.uniform(election_ms, 2 * election_ms)


def is_leader_ready(state: ReplicaState) -> bool:
    """Return whether this replica leads and has committed everything accepted in former terms."""
    return state.is_leader and state.commit_index >= state.term_start_index


def confirmation_age_ms(state: ReplicaState, applied_index: int) -> float:
    """Return the age in milliseconds of the newest proof that no newer change was accepted.

    A leader's proof is the send time of its newest round that a quorum confirmed: no other leader
    can have been elected before that. It counts once the first entry of the leader's term is
    applied, since former leaders may have acknowledged the entries before it. A follower's proof is
    the send time of its own reply that the leader echoed, less the age that the leader reported.
    Both times are of the own clock, so a delayed message makes a proof look older, never younger.

    Parameters
    ----------
    state : ReplicaState
        Protocol state of this replica.
    applied_index : int
        Index of the last entry that this replica has applied.
    """
    age_ms = state.freshness.age_ms()
    is_applied = is_leader_ready(state) and applied_index >= state.term_start_index
    if is_applied and state.quorum_round_sent_ms is not None:
        age_ms = min(age_ms, state.now_ms - state.quorum_round_sent_ms)
    return age_ms
