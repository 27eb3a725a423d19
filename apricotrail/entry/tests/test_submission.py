"""Which bodies of ``POST /v1/jobs`` are valid."""

import orjson
from nose2.tools import params
from returns.result import Failure

from apricotrail.entry._submission import SubmissionLimits, parse_submission
from apricotrail.errors import ErrorKind

LIMITS = SubmissionLimits(3, 100, 10_000)
GOOD = {"submission": "1", "caller": "natal", "service": "repair", "tasks": [{"body": "x"}]}


def parse(**changes):
    value = {key: item for key, item in (GOOD | changes).items() if item is not ...}
    return parse_submission(orjson.dumps(value), LIMITS)


@params(
    ({"submission": ...}, ErrorKind.MALFORMED),
    ({"submission": "a/b"}, ErrorKind.MALFORMED),
    ({"caller": ""}, ErrorKind.MALFORMED),
    ({"service": 3}, ErrorKind.MALFORMED),
    ({"deadline_ms": 0}, ErrorKind.MALFORMED),
    ({"deadline_ms": True}, ErrorKind.MALFORMED),
    ({"deadline_ms": 10_001}, ErrorKind.MALFORMED),
    ({"tasks": []}, ErrorKind.MALFORMED),
    ({"tasks": [{}]}, ErrorKind.MALFORMED),
    ({"tasks": [{"body": "x", "size": 1}]}, ErrorKind.MALFORMED),
    ({"tasks": [{"body": "x", "needs": {"slots": 0}}]}, ErrorKind.MALFORMED),
    ({"tasks": [{"body": "x"}] * 4}, ErrorKind.TOO_LARGE),
    ({"tasks": [{"body": "x" * 101}]}, ErrorKind.TOO_LARGE),
    ({"colour": "red"}, ErrorKind.MALFORMED),
)
def test_invalid_submission_is_refused_with_kind_and_remedy(changes, kind):
    result = parse(**changes)
    assert isinstance(result, Failure)
    assert result.failure().kind is kind and result.failure().remedy


@params(b"", b"[]", b"{", b"\xff", b'"x"')
def test_body_that_is_not_an_object_is_malformed(body):
    assert parse_submission(body, LIMITS).failure().kind is ErrorKind.MALFORMED


def test_digest_depends_on_how_bodies_divide_into_tasks():
    digests = {
        parse(tasks=[{"body": first}, {"body": second}]).unwrap().digest
        for first, second in (("ab", "c"), ("a", "bc"), ("abc", ""))
    }
    assert len(digests) == 3
    assert parse().unwrap().digest == parse(deadline_ms=500).unwrap().digest
