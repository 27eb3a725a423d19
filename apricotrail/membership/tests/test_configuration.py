"""Versions, changes and relaying of configuration items, and the age of a configuration."""

from nose2.tools import params

from apricotrail.clocks import VirtualClock
from apricotrail.membership import Configuration, Freshness
from apricotrail.wire.generated.ttypes import ConfigurationChange, ConfigurationItem


def change(base, version, **values):
    return ConfigurationChange(
        base, version, [ConfigurationItem(key, value) for key, value in values.items()]
    )


def test_versions_only_grow():
    node = Configuration()
    assert node.apply(change(0, 5, a=b"5"))
    assert node.apply(change(0, 4, a=b"4"))
    assert (node.version, node.items()) == (5, {"a": b"5"})
    assert not node.apply(change(6, 7, a=b"7"))


@params(0, 1, 2, 3)
def test_changes_since_any_version_reach_the_same_items(start):
    source, history = Configuration(), [Configuration() for _ in range(4)]
    steps = [change(0, 1, a=b"1", b=b"1"), change(1, 2, a=None), change(2, 3, c=b"3")]
    for number, step in enumerate(steps, start=1):
        source.apply(step)
        for node in history[number:]:
            node.apply(step)
    node = history[start]
    assert node.apply(source.changes_since(node.version))
    assert node.items() == source.items() == {"b": b"1", "c": b"3"}


def test_statement_about_a_newer_version_counts_once_applied():
    clock = VirtualClock(10_000.0)
    freshness = Freshness(clock, 3_000)
    freshness.receive(2, 9_500.0)
    assert not freshness.is_fresh()
    freshness.advance(2)
    assert freshness.age_ms() == 500.0
    freshness.receive(2, 9_000.0)
    assert freshness.age_ms() == 500.0
    clock.advance(2_500)
    assert not freshness.is_fresh()


def test_relay_that_received_all_items_passes_on_removals():
    source, relay, behind = Configuration(), Configuration(), Configuration()
    for step in (change(0, 1, a=b"1", b=b"1"), change(1, 2, a=None), change(2, 3, c=b"3")):
        source.apply(step)
    behind.apply(change(0, 1, a=b"1", b=b"1"))
    relay.apply(source.changes_since(0))
    behind.apply(relay.changes_since(behind.version))
    assert behind.items() == source.items()
