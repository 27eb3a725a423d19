"""State of one replica of the log and what the protocol's parts share.

The protocol is Raft (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm", USENIX ATC 2014) with pre-vote, check-quorum, leadership transfer and learners (Ongaro's
dissertation, 2014). Functions take the state, a message and the time in; messages to send and
records to write collect in the state. No socket, file or clock is touched here.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum
from random import Random
from typing import Any, NamedTuple

from apricotrail.control._log import ReplicatedLog
from apricotrail.control._storage import Snapshot
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
    """Part that a replica plays in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing(NamedTuple):
    """Protocol times in milliseconds.

    Attributes
    ----------
    round_ms : float
        Time between two rounds of appends.
    election_ms : float
        Shortest silence of a leader before an election; also the longest time a leader goes on
        without a confirmed round.
    """

    round_ms: float = 150.0
    election_ms: float = 800.0


class Progress:
    """What a leader knows of another replica."""

    def __init__(self, next_index: int, now_ms: float) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.acked_round = 0
        self.advanced_ms = now_ms
        self.echo = 0
        self.snapshot: bytes | None = None
        self.snapshot_at: tuple[int, int] = (0, 0)
        self.offset = 0


class Transfer(NamedTuple):
    """A leadership transfer under way."""

    target: str
    deadline_ms: float


class ReplicaState:
    """Everything that one replica's protocol holds.

    Parameters
    ----------
    own_id : str
        Id of this replica.
    log : ReplicatedLog
        Entries and members.
    term, vote : int, str
        As stored.
    timing : Timing
        Protocol times.
    random : Random
        Source of election jitter and first sequence numbers.
    now_ms : float
        Monotonic time.
    load_snapshot : callable
        Gives a snapshot of the applied state, or None.
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
        load_snapshot: Callable[[], Snapshot | None],
    ) -> None:
        self.own_id = own_id
        self.log = log
        self.term = term
        self.vote = vote
        self.timing = timing
        self.random = random
        self.now_ms = now_ms
        self.load_snapshot = load_snapshot
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = log.base_index
        self.synced_index = log.last_index
        # A restarted replica may have confirmed a leader just before: it waits before it votes.
        self.heard_ms = now_ms
        self.deadline_ms = now_ms
        self.ticked_ms = now_ms
        self.resumed_ms = now_ms
        self.pre_vote = False
        self.votes: set[str] = set()
        # Leader
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.rounds_sent: OrderedDict[int, float] = OrderedDict()
        self.quorum_ms: float | None = None
        self.elected_ms = now_ms
        self.term_start_index = 0
        self.next_round_ms = now_ms
        self.transfer: Transfer | None = None
        self.broadcast_due = False
        # Follower
        self.sequence = random.getrandbits(48)
        self.replies_sent: OrderedDict[int, float] = OrderedDict()
        self.freshness = Freshness(lambda: self.now_ms, NEVER_CONFIRMED_AGE_MS)
        self.incoming: tuple[int, int, bytearray] | None = None
        # Effects
        self.writes: list[LogEntry | tuple[int, str]] = []
        self.early: list[tuple[str, Any]] = []
        self.outbox: list[tuple[str, Any]] = []
        self.installed: Snapshot | None = None
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

    def send(self, peer: str, message: Any) -> None:
        """Queue a message that goes out once all records are synced."""
        self.outbox.append((peer, message))


def set_term(state: ReplicaState, term: int, vote: str) -> None:
    """Enter `term` with `vote`, to be stored before any message goes out."""
    state.term, state.vote = term, vote
    state.writes.append((term, vote))


def become_follower(state: ReplicaState, term: int, leader: str) -> None:
    """Follow `leader` (empty if unknown) in `term`."""
    if term > state.term:
        set_term(state, term, "")
    if state.role is not Role.FOLLOWER:
        state.role = Role.FOLLOWER
        postpone_election(state)
    state.leader = leader
    state.transfer = None
    state.broadcast_due = False
    state.progress.clear()
    state.rounds_sent.clear()
    state.votes.clear()


def postpone_election(state: ReplicaState) -> None:
    """Set a new random time for the next election."""
    election_ms = state.timing.election_ms
    state.deadline_ms = state.now_ms + state.random.uniform(election_ms, 2 * election_ms)


def is_leader_ready(state: ReplicaState) -> bool:
    """Return whether this leader's state holds everything that was ever accepted."""
    return state.is_leader and state.commit_index >= state.term_start_index


def confirmation_age_ms(state: ReplicaState) -> float:
    """Return the age in milliseconds of the newest proof that nothing newer was accepted.

    A leader's proof is the send time of its newest round that a quorum confirmed: no other leader
    can have been elected before that. A follower's proof is the send time of its own reply that
    the leader echoed, less the age that the leader stated. Both times are the own clock's.
    """
    age_ms = state.freshness.age_ms()
    if is_leader_ready(state) and state.quorum_ms is not None:
        age_ms = min(age_ms, state.now_ms - state.quorum_ms)
    return age_ms
