"""Documents that are refused, with the line and path of every problem."""

from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params
from returns.result import Failure

from apricotrail.document import MAX_DOCUMENT_BYTES, parse_document
from apricotrail.errors import ErrorKind

EXAMPLES = Path(__file__).parents[3] / "examples"
HEAD = """schemes = ["place", "code", "asset"]
[services.repair]
names = { place = "Repair" }
[zones.natal]
names = { place = "Natal", code = "NAT" }
[zones.pipa.names]
place = "Pipa"
"""
MALFORMED, UNKNOWN = ErrorKind.MALFORMED, ErrorKind.UNKNOWN_NAME
CONFLICT, AMBIGUOUS = ErrorKind.CONFLICT, ErrorKind.AMBIGUOUS_NAME


def list_problems(text):
    if isinstance(text, str):
        text = text.encode()
    result = parse_document(text)
    return result.failure() if isinstance(result, Failure) else ()


@params(
    (
        "[targets.t]\nnames.place = 'T'\nservice = 'Repair'\nzone = 'x'",
        "line 11, targets.t.zone: ",
        UNKNOWN,
    ),
    ("[zone.x]", "line 8, zone: ", MALFORMED),
    ("[zones.x]", "line 8, zones.x.names: ", MALFORMED),
    ("[zones.x]\nnames = { town = 'X' }", "line 9, zones.x.names.town: ", UNKNOWN),
    ("[zones.x]\nnames = { place = 5 }", "line 9, zones.x.names.place: ", MALFORMED),
    ("[zones.x]\nnames = { place = 'Pipa' }", "line 9, zones.x.names.place: ", CONFLICT),
    ("[zones.x]\nnames = { place = 'code:Z' }", "line 9, zones.x.names.place: ", MALFORMED),
    ("[zones.'a b']\nnames.place = 'X'", "line 8, zones.a b: ", MALFORMED),
    ("[zones]\nx = 5", "line 9, zones.x: ", MALFORMED),
    ("[zones.x]\nnames.place = 'X'\nkolour = 1", "line 10, zones.x.kolour: ", MALFORMED),
    (
        "[targets.t]\nnames.place = 'T'\nservice = 'repair'\nzone = 'Pippa'",
        "line 11, targets.t.zone: ",
        UNKNOWN,
    ),
    ("[targets.t]\nnames.place = 'T'\nzone = 'pipa'", "line 8, targets.t.service: ", MALFORMED),
    ("[teams.a]\nshare = 0", "line 9, teams.a.share: ", MALFORMED),
    ("[teams.a]\nshare = nan", "line 9, teams.a.share: ", MALFORMED),
    ("[teams.a]\ncallers = 'x'", "line 9, teams.a.callers: ", MALFORMED),
    ("[teams.a]\ncallers = ['x']\n[teams.b]\ncallers = ['x']", "line 11, teams.b", CONFLICT),
    ("[services.x]\nnames.place = 'X'\nmax_tasks = true", "line 10, services.x.max", MALFORMED),
    ("[services.x]\nnames.place = 'X'\nmax_tasks = 1.5", "line 10, services.x.max", MALFORMED),
    (
        "[services.x]\nnames.place = 'X'\nobjectives.success = 2",
        "line 10, services.x.objectives.success: ",
        MALFORMED,
    ),
    ("[teams.a\n", "line 8: not TOML", MALFORMED),
    ("[teams.a]\n[teams.a]\n", "line 9: not TOML", MALFORMED),
    ("[zones.x]\nnames = 5", "line 9, zones.x.names: ", MALFORMED),
    (f"[teams.a]\nshare = {10**30}", "line 9, teams.a.share: ", MALFORMED),
)
def test_refused_line(text, place, kind):
    problems = list_problems(HEAD + text)
    assert len(problems) == 1, problems
    assert problems[0].message.startswith(place), problems[0]
    assert (problems[0].kind, bool(problems[0].remedy)) == (kind, True)


@params(
    ("", "schemes: is missing"),
    ("schemes = ['a', 'b']", "2 naming schemes"),
    ("schemes = ['a', 'a', 'b']", "named twice"),
    ("schemes = ['a', 'id', 'b']", "reserved"),
    ("schemes = ['a', 'b c', 'd']", '"b c" is not made'),
    ("schemes = 5", "not a list"),
)
def test_refused_schemes(text, message):
    (problem,) = list_problems(text)
    assert message in problem.message, problem


def test_ambiguous_zone_of_a_target_lists_the_candidates():
    text = HEAD + "[zones.x]\nnames.code = 'Natal'\n[targets.t]\nnames.code = 'T'\n"
    (problem,) = list_problems(text + "service = 'repair'\nzone = 'Natal'")
    assert problem.kind is AMBIGUOUS
    assert problem.remedy == "Use one of: code:Natal, place:Natal."


def test_all_problems_come_at_once_by_line():
    text = HEAD + "colour = 1\n[targets.t]\nservise = 'repair'\n[teams.a]\nshare = 'x'\n"
    lines = [problem.message.split(",")[0] for problem in list_problems(text)]
    assert lines == ["line 8", "line 9", "line 9", "line 9", "line 10", "line 12"]


def test_multi_line_strings_do_not_shift_lines():
    text = 'note = """\n[zones.pipa]\ncolour = 1\n"""\n' + HEAD + "[zones.q]\n"
    problems = list_problems(text)
    assert [problem.message.split(":")[0] for problem in problems] == [
        "line 1, note",
        "line 12, zones.q.names",
    ]


@params((b"\n\xff", "line 2: "), (b"a = " + b"[" * 5_000, "line 1: "))
def test_unreadable_bytes(text, place):
    (problem,) = list_problems(text)
    assert problem.message.startswith(place)


def test_too_large_a_text_is_not_parsed():
    (problem,) = list_problems(b"#" * (MAX_DOCUMENT_BYTES + 1))
    assert problem.kind is ErrorKind.TOO_LARGE


def test_listed_problems_are_bounded():
    text = HEAD + "".join(f"[zones.x{number}]\n" for number in range(1_000))
    problems = list_problems(text + f"[{'y' * 100_000}]\n")
    assert len(problems) == 201
    assert "801 further" in problems[-1].message
    assert sum(map(len, map(str, problems))) < 100_000


def test_documents_in_the_pages_are_accepted():
    page = (EXAMPLES.parent / "docs" / "document.md").read_text()
    blocks = page.split("```toml\n")[1:]
    assert blocks
    for block in blocks:
        assert list_problems(block.split("```")[0]) == ()


@params("reparo-costeiro", "areneros")
def test_examples_are_accepted(name):
    document = parse_document((EXAMPLES / f"{name}.toml").read_bytes()).unwrap()
    assert (len(document.targets), len(document.services)) == (11, 1)


FRAGMENTS = st.sampled_from(
    ["[zones.a]\n", "[teams.a]\n", "schemes = ['a','b','c']\n", "names.a = 'x'\n", "share = 1\n"]
    + ["[targets.t]\n", "zone = 'x'\n", "service = []\n", "[[zones]]\n", "objectives = 1\n", '"""']
    + [
        "[services.s.names]\n",
        "a = {a = 1}\n",
        "callers = [1]\n",
        "max_tasks = 1e999\n",
        "id = 1\n",
    ]
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.one_of(st.binary(max_size=60), st.lists(FRAGMENTS, max_size=8), st.text(max_size=60)))
def test_any_text_parses_or_names_remedies(text):
    if isinstance(text, list):
        text = "".join(text)
    problems = list_problems(text)
    assert all(problem.message and problem.remedy for problem in problems)
