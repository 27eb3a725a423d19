"""Member changes that the leader proposes: who joins, who votes, who takes whose place."""

from random import Random

from nose2.tools import params

from apricotrail.control._log import ReplicatedLog
from apricotrail.control._member_repair import decide_member_change, decide_open_member_change
from apricotrail.control._members import Member
from apricotrail.control._replica import Progress, ReplicaState, Role, Timing
from apricotrail.control._voters import GroupPlan, LinkedReplica, count_seats, decide_departure

A, B, C, D, E, F, G = "a#1", "b#1", "c#1", "d#1", "e#1", "f#1", "g#1"
C2, M = "c#2", "m#memory-1"
ONE, TWO = GroupPlan(1, 3), GroupPlan(2, 6)
GONE_MS, SILENT_MS, HEARD_MS = 12_000.0, 2_000.0, 1_900.0
OWN = A


def make_leader(
    members: dict[str, Member], caught_up: tuple[str, ...] = (), answering: tuple[str, ...] = ()
) -> ReplicaState:
    log = ReplicatedLog(lambda command: None, 1, 1, members, [])
    state = ReplicaState(OWN, log, 1, "", Timing(), Random(1), 0.0, lambda: None)
    state.role = Role.LEADER
    state.commit_index = state.term_start_index = 1
    state.round = 2
    state.rounds_sent[state.round] = 0.0
    for key in members:
        if key != OWN:
            state.progress[key] = Progress(2, 0.0, first_round=1)
            state.progress[key].match_index = int(key in caught_up)
            state.progress[key].acked_round = state.round * (key in answering)
    return state


def make_members(voters: str, learners: tuple[str, ...] = ()) -> dict[str, Member]:
    members = {f"{name}#1": Member(name, True) for name in voters}
    return {**members, **{key: Member(key, False) for key in learners}}


def link(*replicas: str) -> dict[str, LinkedReplica]:
    """Return linked replicas by id; ``d#1@c5`` is in the zone of c and started at 5 ms."""
    linked = {}
    for text in (OWN, *replicas):
        key, _, place = text.partition("@")
        zone, started_ms = (place[:1], int(place[1:] or 0)) if place else (key[0], 0)
        linked[key] = LinkedReplica(key, zone, started_ms)
    return linked


def decide(members, linked, silences_ms, plan, removed=()):
    linked = link(*linked)
    leader = make_leader(members, caught_up=tuple(linked), answering=tuple(linked))
    change = decide_open_member_change(
        leader, linked, {A: 0.0, B: 0.0, **silences_ms}, removed, plan
    )
    return change and (change.action, change.name)


@params(
    # members, linked, silences, plan, change
    (make_members("abc"), (B, C, D), {}, ONE, ("add_learner", "d")),
    (make_members("abc"), (B, C, M), {}, ONE, ("add_learner", "m")),
    (make_members("abc"), (B, C, C2), {}, ONE, ("add_learner", "c")),
    # A lost disk: the former identity goes first.
    (make_members("abc", (C2,)), (B, C2), {}, ONE, ("remove", "c")),
    (make_members("ab", (C2,)), (B, C2), {}, ONE, ("promote", "c")),
    (make_members("abc", (C2,)), (C2,), {}, ONE, None),
    # All seats are taken: a newcomer elsewhere is a spare, in a voter's zone it takes its seat.
    (make_members("abc", (D,)), (B, C, D), {}, ONE, None),
    (make_members("abc", (D,)), (B, C, f"{D}@c9"), {}, ONE, ("promote", "d")),
    (make_members("abcd"), (B, C, f"{D}@c9"), {}, ONE, ("remove", "c")),
    (make_members("abcd"), (B, f"{C}@c9", f"{D}@c5"), {}, ONE, ("remove", "d")),
    (make_members("abcd"), (B, C, f"{D}@a9"), {}, ONE, ("remove", "a")),
    # It waits while a voter is neither heard nor silent for long enough to be replaced.
    (make_members("abc", (D,)), (B, f"{D}@c9"), {C: HEARD_MS}, ONE, None),
    (make_members("abcd"), (B, f"{D}@c9"), {C: HEARD_MS}, ONE, None),
    # A spare takes the seat of the voter that is silent for longest; without a spare it stays.
    (make_members("abc", (D,)), (B, D), {C: SILENT_MS}, ONE, ("remove", "c")),
    (make_members("ab", (D,)), (B, D), {}, ONE, ("promote", "d")),
    (make_members("abc"), (B,), {C: SILENT_MS}, ONE, None),
    (make_members("abc"), (B,), {C: GONE_MS}, ONE, None),
    (
        make_members("abcef", (D,)),
        (B, D, E),
        {C: SILENT_MS, F: SILENT_MS + 1},
        TWO,
        ("remove", "f"),
    ),
    # In an even group a silent voter goes without a successor, in an odd one after long.
    (make_members("abcd"), (B, D), {C: SILENT_MS}, ONE, ("remove", "c")),
    (make_members("abcd"), (B, D), {C: HEARD_MS}, ONE, None),
    (make_members("abcde"), (B, D, E), {C: SILENT_MS}, TWO, None),
    (make_members("abcde"), (B, D, E), {C: GONE_MS}, TWO, ("remove", "c")),
    # More or fewer voters than seats: changed by two, so that the number stays odd.
    (make_members("abce", (D,)), (B, D, E), {C: SILENT_MS}, TWO, ("promote", "d")),
    (make_members("abc", (D,)), (B, C, D), {}, TWO, None),
    (make_members("abc", (D, E)), (B, C, D, E), {}, TWO, ("promote", "d")),
    (make_members("abce", (D,)), (B, C, D, E), {}, TWO, ("promote", "d")),
    (make_members("abcd"), (B, C, D), {}, TWO, None),
    (make_members("abcde"), (f"{B}@b1", C, D, E), {}, ONE, ("remove", "c")),
    # Two voters in one zone and none in that of a spare.
    (make_members("abd", (C,)), (B, C, f"{D}@a5"), {}, ONE, ("promote", "c")),
    (make_members("abcd"), (B, C, f"{D}@a5"), {}, ONE, ("remove", "a")),
    # No change is proposed that the replicas which answer could not commit.
    (make_members("abc", (D,)), (D,), {B: SILENT_MS, C: SILENT_MS}, ONE, None),
    (make_members("abcde"), (B,), {C: GONE_MS, D: GONE_MS, E: GONE_MS}, TWO, None),
    # Learners: removed once silent. One without a disk is never promoted.
    (make_members("abc", (D,)), (B, C), {D: SILENT_MS}, ONE, ("remove", "d")),
    (make_members("abc", (D,)), (B, C), {D: HEARD_MS}, ONE, None),
    (make_members("abc", (M,)), (B, C, M), {}, ONE, None),
    (make_members("ab", (M,)), (B, M), {}, ONE, None),
    (make_members("abc", (M,)), (B, C), {M: GONE_MS}, ONE, ("remove", "m")),
    (make_members("abc", (M, f"{M}2")), (B, C, f"{M}2"), {}, ONE, ("remove", "m")),
)
def test_an_open_group_keeps_its_seats_filled(members, linked, silences_ms, plan, change):
    assert decide(members, linked, silences_ms, plan) == change


# Guards against two replicas of a zone that take each other's seat for ever.
def test_a_replica_that_lost_its_seat_is_no_newcomer():
    members = make_members("abc", (D,))
    linked = (B, C, f"{D}@c9")
    assert decide(members, linked, {}, ONE) == ("promote", "d")
    assert decide(members, linked, {}, ONE, removed=(D,)) is None


def test_lost_replicas_are_never_removed_below_three_voters():
    gone = dict.fromkeys((C, D), GONE_MS)
    action, name = decide(make_members("abcd"), (B, C, D), gone, ONE)
    assert action == "remove"
    left = make_members("abcd".replace(name, ""))
    others = tuple(key for key in left if key != A)
    assert decide(left, others, dict.fromkeys(others, GONE_MS), ONE) is None


@params(
    # members, linked, change
    (make_members("abc"), (B, C, D), ("add_learner", "d")),
    (make_members("abc", (D,)), (B, C, D), ("promote", "d")),
    (make_members("abc", (D,)), (B, D), ("promote", "d")),
    (make_members("abc", (C2,)), (B, C2), ("remove", "c")),
    (make_members("abc", (M,)), (B, C, M), None),
)
def test_in_a_group_of_listed_replicas_all_with_a_disk_vote(members, linked, change):
    linked = link(*linked)
    leader = make_leader(members, caught_up=tuple(linked), answering=tuple(linked))
    decided = decide_member_change(leader, linked, "abcdm")
    assert (decided and (decided.action, decided.name)) == change


@params(
    # members, changes before a stop
    (make_members("abc"), []),
    (make_members("abcd"), [("remove", "a")]),
    (make_members("abcde"), []),
    (make_members("abc", (M,)), []),
    (make_members("abc", (D, E)), [("promote", "d"), ("remove", "a")]),
    (make_members("bcde", (A,)), []),
    (make_members("ab", (C,)), []),
)
def test_a_replica_leaves_before_a_stop_if_the_others_bear_more_losses_then(members, changes):
    decided = decide_departure(make_leader(members))
    assert [(change.action, change.name) for change in decided] == changes


def test_seats_bear_the_losses_also_beside_newcomers_that_took_the_wrong_seat():
    for losses in range(1, 4):
        spread = count_seats(GroupPlan(losses, 2 * losses + 1))
        assert spread - losses > spread // 2
        crowded = count_seats(GroupPlan(losses, 2))
        assert crowded - 2 * losses > crowded // 2
    assert count_seats(GroupPlan(0, 1)) >= 3
