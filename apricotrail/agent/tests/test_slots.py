"""Demand, grants and fairness of the slots."""

from apricotrail.agent._slots import Slots


def test_entries_with_demand_get_slots_in_turn():
    slots = Slots(5, grant_ms=50)
    slots.set_demand("a", 4)
    slots.set_demand("b", 2)
    assert slots.grant(0) == {"a": 3, "b": 2}
    assert slots.free() == 0
    assert not slots.acquire("c", 1)
    assert slots.acquire("b", 1)
    assert (slots.granted_to("b"), slots.running) == (1, 1)


def test_unused_grants_expire_and_go_to_another_entry():
    slots = Slots(1, grant_ms=50)
    slots.set_demand("a", 1)
    assert slots.grant(0) == {"a": 1}
    slots.set_demand("b", 1)
    assert slots.grant(49) == {}
    assert slots.grant(50) == {"b": 1}
    assert not slots.acquire("a", 60), "its grant has expired"
    assert slots.acquire("b", 60)


def test_withdrawn_and_lost_entries_hold_nothing():
    slots = Slots(2, grant_ms=50)
    slots.set_demand("a", 2)
    slots.set_demand("b", 2)
    slots.set_demand("b", 0)
    assert slots.grant(0) == {"a": 2}
    slots.withdraw_entry("a")
    assert (slots.free(), slots.granted_to("a")) == (2, 0)
    assert slots.grant(0) == {}


def test_fewer_slots_than_running_tasks_are_never_negative():
    slots = Slots(1, grant_ms=50)
    assert slots.acquire("a", 0)
    slots.count = 0
    assert (slots.free(), slots.acquire("a", 0)) == (0, False)


def test_freed_slot_stays_with_its_entry_while_shares_are_even():
    slots = Slots(4, grant_ms=50)
    for entry in ("a", "b", "a", "b"):
        assert slots.acquire(entry, 0)
    for entry in ("a", "b"):
        slots.set_demand(entry, 10)
    for entry in ("b", "a", "b", "b", "a"):
        slots.release(entry)
        assert slots.grant(1) == {entry: 1}
        assert slots.acquire(entry, 2)


def test_entry_with_fewer_slots_gets_the_next_one():
    slots = Slots(3, grant_ms=50)
    for _ in range(3):
        assert slots.acquire("a", 0)
    slots.set_demand("a", 10)
    slots.set_demand("b", 10)
    slots.release("a")
    assert slots.grant(1) == {"b": 1}
    slots.release("a")
    assert slots.grant(1) == {"a": 1}, "one each; the entry whose task ended comes first"
