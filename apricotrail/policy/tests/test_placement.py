"""Placement: late binding, and the baselines that it is compared with."""

from random import Random

from nose2.tools import params

from apricotrail.policy import PLACEMENTS, Candidate, list_targets_to_ask, make_late_binding


def target(name, free=0, granted=0, service_ms=0.0, slots=8):
    return Candidate(name, "pipa", free, granted, slots, slots - free - granted, 1.4, service_ms)


@params(
    ("nothing free", [target("a")], 3, {}),
    ("granted first", [target("a", free=8), target("b", granted=2)], 2, {"b": 2}),
    ("no more than free", [target("a", free=2), target("b", granted=1)], 9, {"a": 2, "b": 1}),
    ("no candidates", [], 4, {}),
    ("no tasks", [target("a", free=2)], 0, {}),
    (
        "slow target not used for a short queue",
        [target("a", free=1, service_ms=100), target("b", service_ms=100), target("c", 8, 0, 1e3)],
        4,
        {"a": 1},
    ),
    (
        "slow target used for a long queue",
        [target("a", service_ms=100), target("b", service_ms=100), target("c", 2, 0, 1e3)],
        300,
        {"c": 2},
    ),
)
def test_late_binding(_, candidates, count, expected):
    assignments = make_late_binding(Random(1))(candidates, count)
    assert {item.name: item.count for item in assignments} == expected


@params(
    ("granted slots of a slow target", [target("a", service_ms=100), target("b", 0, 3, 1e3)], {}),
    ("only slow targets", [target("a", 1, 0, 1e3)], {"a": 1}),
)
def test_slow_target(_, candidates, expected):
    others = [target(name, service_ms=100) for name in "xyz"] if len(candidates) > 1 else []
    assignments = make_late_binding(Random(1))(candidates + others, 4)
    assert {item.name: item.count for item in assignments} == expected


@params((4, ["a", "b"]), (300, ["a", "b", "c"]))
def test_slow_target_is_asked_for_a_long_queue_only(waiting, expected):
    candidates = [target("a", service_ms=100), target("b", service_ms=100), target("c", 0, 0, 1e3)]
    assert [item.name for item in list_targets_to_ask(candidates, waiting)] == expected


def test_late_binding_draws_each_free_slot_with_the_same_chance():
    place = make_late_binding(Random(2))
    counts = {"a": 0, "b": 0}
    for _ in range(1_000):
        counts[place([target("a", free=6), target("b", free=2)], 1)[0].name] += 1
    assert 700 < counts["a"] < 800


@params("power-of-two", "join-shortest", "random")
def test_baselines_use_known_free_slots_only(name):
    place = PLACEMENTS[name](Random(3))
    assignments = place([target("a", free=5, granted=1), target("b", free=0)], 20)
    assert assignments == [("a", 6)]
    assert place([], 5) == []


def test_join_shortest_takes_the_most_free_target():
    place = PLACEMENTS["join-shortest"](Random(3))
    assert place([target("a", free=1), target("b", free=3)], 2)[0] == ("b", 2)
