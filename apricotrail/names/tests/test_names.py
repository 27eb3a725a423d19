"""Names, references and remedies."""

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params
from returns.result import Failure

from apricotrail.errors import ErrorKind
from apricotrail.names import NameTable, find_id_fault, find_name_fault, suggest
from apricotrail.names._table import MAX_KEPT_REFUSALS

SCHEMES = ("place", "code", "asset")
ZONES = {
    "natal": {"place": "Natal", "code": "NAT", "asset": "rn-1"},
    "pipa": {"place": "Pipa", "code": "PIP", "asset": "natal-2"},
    "berrio": {"place": "Puerto Berr\u00edo", "code": "Natal"},
    "north": {"code": "pipa"},
}
TABLE = NameTable("zone", SCHEMES, ZONES)


@params(
    ("place:Natal", "natal"),
    ("code:Natal", "berrio"),
    ("natal", "natal"),
    ("id:pipa", "pipa"),
    ("code:pipa", "north"),
    ("rn-1", "natal"),
    ("Puerto Berri\u0301o", "berrio"),
)
def test_references_that_mean_one_thing(reference, expected):
    assert TABLE.resolve(reference).unwrap() == expected


@params(
    ("Natal", ErrorKind.AMBIGUOUS_NAME, "Use one of: code:Natal, place:Natal."),
    ("pipa", ErrorKind.AMBIGUOUS_NAME, "Use one of: code:pipa, id:pipa."),
    ("Pippa", ErrorKind.UNKNOWN_NAME, 'Did you mean "pipa"'),
    ("asset:rn-2", ErrorKind.UNKNOWN_NAME, 'Did you mean "rn-1"?'),
    ("town:Natal", ErrorKind.UNKNOWN_NAME, "Did you mean"),
    ("id:Natal", ErrorKind.UNKNOWN_NAME, 'Did you mean "natal"?'),
    ("", ErrorKind.UNKNOWN_NAME, "Use one of"),
    ("x" * 1_000_000, ErrorKind.UNKNOWN_NAME, "at most 128"),
)
def test_refused_references(reference, kind, remedy):
    problem = TABLE.resolve(reference).failure()
    assert problem.kind is kind
    assert remedy in problem.remedy, problem.remedy


def test_nearest_name_among_many():
    names = {f"t{number}": {"asset": f"runner-{number:05}"} for number in range(5_000)}
    problem = NameTable("target", SCHEMES, names).resolve("runer-00042").failure()
    assert '"runner-00042"' in problem.remedy


def test_kept_refusals_are_bounded_and_stay_right():
    table = NameTable("zone", SCHEMES, ZONES)
    for number in range(1_000):
        assert table.resolve(f"Pippa{number}").failure().message.count(f"Pippa{number}") == 1
    first = table.resolve("Pippa").failure()
    assert table.resolve("Pippa").failure() is first
    assert len(table._refusals) <= MAX_KEPT_REFUSALS


@params("", " x", "x\n", "place:x", "id:x", "x" * 129)
def test_texts_that_are_no_names(text):
    assert find_name_fault(text, SCHEMES)


@params("", "-x", "a b", "a:b", "x" * 65, "\u00e9")
def test_texts_that_are_no_ids(text):
    assert find_id_fault(text)


def test_remedy_without_known_names():
    assert "add it" in suggest("x", [])


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.text(max_size=20))
def test_any_reference_resolves_or_names_a_remedy(reference):
    result = TABLE.resolve(reference)
    assert not isinstance(result, Failure) or result.failure().remedy
