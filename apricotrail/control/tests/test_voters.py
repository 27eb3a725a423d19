"""Member changes that the leader proposes: who joins, who votes, who takes whose place."""

from random import Random

from nose2.tools import params

from apricotrail.control._log import ReplicatedLog
from apricotrail.control._member_repair import decide_member_change, decide_open_member_change
from apricotrail.control._members import Member
from apricotrail.control._quorums import GroupPlan
from apricotrail.control._replica import Progress, ReplicaState, Role, Timing
from apricotrail.control._voters import LinkedReplica, count_seats, decide_departure

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
    """Return linked replicas by id; ``d#1@c`` is in the zone of c, others in their own."""
    linked = {}
    for text in (OWN, *replicas):
        key, _, zone = text.partition("@")
        linked[key] = LinkedReplica(key, zone or key[0])
    return linked


def decide(members, linked, silences_ms, plan, joined=(A, B, C, D, E, F, G)):
    linked = link(*linked)
    leader = make_leader(members, caught_up=tuple(linked), answering=tuple(linked))
    change = decide_open_member_change(
        leader, linked, {A: 0.0, B: 0.0, **silences_ms}, joined, plan
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
    # All seats are taken: a newcomer elsewhere is a spare, in a voter's zone it takes its seat, and
    # of the two the one that joined first is removed then.
    (make_members("abc", (D,)), (B, C, D), {}, ONE, None),
    (make_members("abc", (D,)), (B, C, f"{D}@c"), {}, ONE, ("promote", "d")),
    (make_members("abcd"), (B, C, f"{D}@c"), {}, ONE, ("remove", "c")),
    (make_members("abcd"), (B, C, f"{D}@a"), {}, ONE, ("remove", "a")),
    # It waits while a voter is neither heard nor silent for long enough to be replaced.
    (make_members("abc", (D,)), (B, f"{D}@c"), {C: HEARD_MS}, ONE, None),
    (make_members("abcd"), (B, f"{D}@c"), {C: HEARD_MS}, ONE, None),
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
    # In an even group a silent voter, or any, goes without a successor, in an odd one after long.
    (make_members("abcd"), (B, D), {C: SILENT_MS}, ONE, ("remove", "c")),
    (make_members("abcd"), (B, D), {C: HEARD_MS}, ONE, None),
    (make_members("abcde"), (B, D, E), {C: SILENT_MS}, TWO, None),
    (make_members("abcde"), (B, D, E), {C: GONE_MS}, TWO, ("remove", "c")),
    # More or fewer voters than seats: changed by two, so that the number stays odd.
    (make_members("abce", (D,)), (B, D, E), {C: SILENT_MS}, TWO, ("promote", "d")),
    (make_members("abc", (D,)), (B, C, D), {}, TWO, None),
    (make_members("abc", (D, E)), (B, C, D, E), {}, TWO, ("promote", "e")),
    (make_members("abce", (D,)), (B, C, D, E), {}, TWO, ("promote", "d")),
    (make_members("abcd"), (B, C, D), {}, TWO, ("remove", "a")),
    (make_members("abcde"), (B, C, D, E), {}, ONE, ("remove", "a")),
    # Two voters in one zone and none in that of a spare.
    (make_members("abd", (C,)), (B, C, f"{D}@a"), {}, ONE, ("promote", "c")),
    (make_members("abcd"), (B, C, f"{D}@a"), {}, ONE, ("remove", "a")),
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


# Guards against a successor that loses its seat while it is away and never gets it back, so that
# its predecessor goes as a voter, and against two replicas that take each other's seat for ever.
@params(((A, B, C, D), ("promote", "d")), ((A, B, D, C), None), ((A, B, C), None))
def test_of_the_replicas_in_a_zone_those_that_joined_last_vote(joined, change):
    assert decide(make_members("abc", (D,)), (B, C, f"{D}@c"), {}, ONE, joined) == change


# Guards against a spare that has just died and is still linked.
def test_a_spare_that_answers_no_round_is_not_promoted():
    linked = link(B, D)
    leader = make_leader(make_members("ab", (D,)), caught_up=tuple(linked), answering=(B,))
    silences_ms = {A: 0.0, B: 0.0, D: HEARD_MS}
    assert decide_open_member_change(leader, linked, silences_ms, (A, B, D), ONE) is None


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
    # members, whether it leaves before a stop
    (make_members("abc"), False),
    (make_members("abcd"), True),
    (make_members("abcde"), False),
    (make_members("bcde"), False),
    (make_members("bcd", (A,)), True),
    (make_members("ab", (C,)), False),
)
def test_a_replica_leaves_before_a_stop_if_the_others_are_better_off_then(members, leaves):
    change = decide_departure(make_leader(members))
    assert (change is not None) == leaves
    assert change is None or (change.action, change.name) == ("remove", "a")


def test_seats_bear_the_losses_also_beside_newcomers_that_took_the_wrong_seat():
    for losses in range(1, 4):
        spread = count_seats(GroupPlan(losses, 2 * losses + 1))
        assert spread - losses > spread // 2
        crowded = count_seats(GroupPlan(losses, 2))
        assert crowded - 2 * losses > crowded // 2
    assert count_seats(GroupPlan(0, 1)) >= 3
