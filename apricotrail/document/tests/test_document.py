"""Succession, differences, items, effective configuration and acceptance."""

from hashlib import sha256
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params
from returns.result import Failure

from apricotrail.document import (
    Document,
    Team,
    Zone,
    check_succession,
    diff_documents,
    digest_document,
    make_items,
    parse_document,
    read_items,
    sign_acceptance,
    verify_acceptance,
)
from apricotrail.errors import ErrorKind

SCHEMES = ("place", "code", "asset")
EXAMPLE = Path(__file__).parents[3] / "examples" / "reparo-costeiro.toml"
TEXT = EXAMPLE.read_bytes()
DOCUMENT = parse_document(TEXT).unwrap()


def make_zones(**names):
    zones = {item_id: Zone(item_id, zone_names) for item_id, zone_names in names.items()}
    return Document(SCHEMES, {}, zones, {}, {})


OLD = make_zones(a={"place": "Natal"}, b={"place": "Pipa", "code": "P"})


@params(
    ({"a": {"place": "Pipa"}, "b": {"code": "P"}}, ["place:Pipa"]),
    ({"a": {"place": "Pipa"}, "b": {"place": "Natal"}}, ["place:Natal", "place:Pipa"]),
    ({"c": {"place": "Natal"}, "b": {"place": "Pipa"}}, ["place:Natal"]),
    ({"a": {"place": "N"}, "b": {"code": "Natal"}}, ["Natal"]),
    ({"a": {"place": "N"}, "b": {"code": "a"}}, []),
    ({"b": {"code": "a"}}, ["a"]),
    ({"a": {"place": "Natal"}, "b": {"code": "Natal"}}, []),
    ({"b": {"place": "Pipa", "code": "P"}}, []),
    ({"a": {"code": "Natal"}, "b": {"code": "P"}, "c": {"place": "New"}}, []),
)
def test_names_that_move_in_one_step(zones, moved):
    problems = check_succession(OLD, make_zones(**zones))
    assert [problem.message.split('"')[1] for problem in problems] == moved
    assert all(problem.kind is ErrorKind.CONFLICT for problem in problems)


def test_name_may_move_in_two_steps():
    middle = make_zones(a={"place": "Natal"}, b={"code": "P"})
    last = make_zones(a={"place": "Pipa"}, b={"code": "P"})
    assert check_succession(None, OLD) == check_succession(OLD, middle) == ()
    assert check_succession(middle, last) == ()


def test_diff_names_fields_targets_and_teams():
    text = TEXT.replace(b'booking = "NAT"', b'booking = "NTL"')
    text = text.replace(b"share = 3.0", b"share = 2.0") + b"[teams.new]\n"
    diff = diff_documents(DOCUMENT, parse_document(text).unwrap())
    assert [(item.kind, item.id, item.change, item.fields) for item in diff.differences] == [
        ("zone", "natal", "changed", ("names.booking: NAT -> NTL",)),
        ("team", "new", "added", ()),
        ("team", "shops", "changed", ("share: 3.0 -> 2.0",)),
    ]
    assert diff.targets == ("natal-1", "natal-2", "natal-3")
    assert diff.teams == ("new", "shops")
    assert "counter-pipa" in diff.callers
    assert diff_documents(DOCUMENT, DOCUMENT).differences == ()


def test_items_round_trip():
    configuration = read_items(make_items(DOCUMENT))
    assert configuration.schemes == DOCUMENT.schemes
    for section in ("services", "zones", "targets", "teams"):
        assert getattr(configuration, section) == getattr(DOCUMENT, section)
    assert len(configuration.targets_of("repair-counter")) == 11
    assert configuration.team_of("counter-pipa").id == "shops"
    assert configuration.team_of("stranger") == Team("default")


@params(
    ("reparo-costeiro", "1ef31569d17ac12d119956ab2071408b3b9f7db685dad5c8a01d3afd437723cb"),
    ("areneros", "db25d2433889cc0007a5612084bc0c47ace58e33026addfbcd48c7095034193a"),
)
def test_items_of_a_document_stay_the_same_bytes(name, expected):
    # Replicas of two versions apply the same document during an upgrade: equal states need
    # equal items. A change of the items needs a step in which both versions run.
    text = (EXAMPLE.parent / f"{name}.toml").read_bytes()
    items = sorted(make_items(parse_document(text).unwrap()).items())
    digest = sha256(b"".join(key.encode() + b"=" + value + b"\n" for key, value in items))
    assert digest.hexdigest() == expected


def test_states_and_hosts():
    items = make_items(DOCUMENT) | {
        "zone-state/pipa": b'{"in_service":false}',
        "target-state/natal-1": b'{"leaving":true}',
        "view": b'{"epoch":4}',
        "host/natal-1": b'{"entry":"e","incarnation":1,"epoch":2}',
        "newer-kind/x": b"?",
    }
    configuration = read_items(items)
    assert not configuration.is_zone_in_service("pipa")
    assert configuration.is_zone_in_service("natal")
    assert not configuration.is_zone_in_service("unknown")
    assert configuration.is_target_leaving("natal-1")
    assert configuration.hosts["natal-1"].entry == "e"


STEPS = {
    "zone/natal": [None, b'{"names":{"place":"Natal"}}', b'{"names":{"code":"Pipa"}}'],
    "zone/pipa": [None, b'{"names":{"place":"Pipa"}}'],
    "zone-state/pipa": [None, b'{"in_service":false}', b'{"in_service":true}'],
    "target/t": [None, b'{"names":{"code":"T"},"service":"s","zone":"natal"}'],
    "team/x": [None, b'{"share":2.0,"callers":["c"]}'],
    "schemes": [b'["place","code","asset"]', b'["code","place","asset"]'],
}
CHANGES = st.fixed_dictionaries({}, optional={k: st.sampled_from(v) for k, v in STEPS.items()})


def describe(configuration):
    results = [configuration.resolve("zone", name) for name in ("Natal", "Pipa", "code:T")]
    resolved = [result.lash(lambda problem: Failure(problem.message)) for result in results]
    targets, team = configuration.targets_of("s"), configuration.team_of("c")
    return str((resolved, targets, team, configuration.is_zone_in_service("pipa")))


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(CHANGES, max_size=5))
def test_applied_changes_equal_a_whole_read(steps):
    items, configuration = {}, read_items({})
    for changes in steps:
        items |= changes
        before = describe(configuration)
        following = configuration.apply(changes)
        assert describe(configuration) == before
        configuration = following
    present = {key: value for key, value in items.items() if value is not None}
    assert describe(configuration) == describe(read_items(present))


PROOF = sign_acceptance(b"key", "trial", digest_document(TEXT))


@params(
    (b"key", "trial", TEXT, PROOF, True),
    (b"kez", "trial", TEXT, PROOF, False),
    (b"key", "other", TEXT, PROOF, False),
    (b"key", "trial", TEXT[:-1] + bytes([TEXT[-1] ^ 1]), PROOF, False),
    (b"key", "trial", TEXT, PROOF[:-1] + "x", False),
    (b"key", "trial", TEXT, "", False),
    (b"key", "trial", TEXT, "\u00e9\ud800", False),
)
def test_acceptance(key, environment, text, proof, expected):
    assert verify_acceptance(key, environment, digest_document(text), proof) is expected
