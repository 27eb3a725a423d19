"""The next entry view that the leader decides on for the heartbeats that it received."""

from nose2.tools import params

from apricotrail.control._entries import EntryTable, LinkedEntry
from apricotrail.control._overseer import Observation, decide_view
from apricotrail.membership import View, ViewMember
from apricotrail.wire.generated.ttypes import Heartbeat, Identity

NOW_MS = 777


def entry(name: str, incarnation: int = 1, ready: int = 5, stopping: bool = False) -> LinkedEntry:
    return LinkedEntry(name, incarnation, "pipa", f"{name}:1", 0.0, ready, stopping, 0)


def decide(current: str, *heard: LinkedEntry, may_remove_silent: bool = True):
    members = tuple(ViewMember(name, 1, "pipa", f"{name}:1") for name in current)
    view = decide_view(Observation(View(5, members), heard, may_remove_silent, NOW_MS))
    if view is None:
        return None
    assert view.epoch == 6
    members = "".join(f"{member.name}{member.incarnation}" for member in view.members)
    return members, view.lost_wall_ms


@params(
    ("joins alone", decide("", entry("a")), ("a1", 0)),
    ("all ready", decide("a", entry("a"), entry("b"), entry("c")), ("a1b1c1", 0)),
    ("not all ready", decide("ab", entry("a"), entry("b", ready=4), entry("c")), None),
    ("nothing new", decide("ab", entry("a"), entry("b")), None),
    ("one silent", decide("abc", entry("a"), entry("b")), ("a1b1", 0)),
    ("silent and joining", decide("abc", entry("a"), entry("b"), entry("d")), ("a1b1d1", 0)),
    (
        "new leader removes nobody yet",
        decide("abc", entry("a"), entry("b"), may_remove_silent=False),
        None,
    ),
    (
        "none joins until all members are heard",
        decide("a", entry("b"), may_remove_silent=False),
        None,
    ),
    ("restarted", decide("abc", entry("a"), entry("b", 2), entry("c")), ("a1b2c1", 0)),
    (
        "former incarnation heard too",
        decide("ab", entry("a"), entry("b"), entry("b", 2)),
        ("a1b2", 0),
    ),
    ("stopping", decide("abc", entry("a"), entry("b"), entry("c", stopping=True)), ("a1b1", 0)),
    ("last one stopping", decide("a", entry("a", stopping=True)), None),
    ("all silent", decide("ab"), None),
    ("two of three lost", decide("abc", entry("a")), ("a1", NOW_MS)),
    ("read quorum of four stays", decide("abcd", entry("a"), entry("b")), ("a1b1", 0)),
    ("all restarted", decide("ab", entry("a", 2), entry("b", 2)), ("a2b2", NOW_MS)),
)
def test_views(name, decided, expected):
    assert decided == expected, name


def test_table_lists_recently_heard_entries_and_is_bounded():
    table = EntryTable()
    for number in range(1_100):
        identity = Identity(f"e{number}", "entry", "", 1, "")
        table.record_heartbeat(identity, Heartbeat(ready_epoch=1), float(number))
    assert len(table.heard_within(1_099.0, 2_000.0)) == 1_024
    assert [it.name for it in table.heard_within(1_099.0, 1.0)] == ["e1098", "e1099"]
