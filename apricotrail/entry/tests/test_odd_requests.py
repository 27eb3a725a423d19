"""Odd bodies and parameters of callers and targets: a clear refusal, short, and nothing kept."""

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params
from returns.result import Failure, Result

from apricotrail.entry._callers import MAX_WAIT_MS, _parse_announcement, _read_wait_ms
from apricotrail.entry._submission import parse_submission
from apricotrail.entry.tests.test_submission import GOOD, LIMITS
from apricotrail.errors import ErrorKind
from apricotrail.http import Request

TARGET = {"name": "pipa-1", "address": "10.0.0.1:80", "slots": 2}
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)


def change(good: dict):
    """Draw bodies: `good` with some fields of another kind, cut, or no JSON at all."""
    changed = st.dictionaries(st.sampled_from(sorted(good)), VALUES).map(
        lambda changes: orjson.dumps(good | changes)
    )
    cut = st.integers(0, 40).map(lambda size: orjson.dumps(good)[:size])
    return changed | cut | st.binary(max_size=60)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(change(GOOD), change(TARGET))
def test_odd_bodies_are_refused_or_taken_without_an_exception(submission, target):
    for result in (parse_submission(submission, LIMITS), _parse_announcement(target)):
        assert isinstance(result, Result)
        if isinstance(result, Failure):
            assert result.failure().kind in (ErrorKind.MALFORMED, ErrorKind.TOO_LARGE)


@params("\u00b2", "\u0663", "9" * 5_000, "-1", "1.5", "")
def test_odd_waits_count_as_none(text):
    assert _read_wait_ms(Request("GET", "/", {"wait_ms": text}, {}, b"", "")) == 0.0


def test_wait_is_bounded():
    assert _read_wait_ms(Request("GET", "/", {"wait_ms": "9" * 9}, {}, b"", "")) == MAX_WAIT_MS


# Guards against entries that keep what somebody announces, a megabyte each.
@params({"name": "a" * 1_025}, {"address": "a" * 1_025 + ":80"})
def test_long_announcements_are_refused(changes):
    refused = _parse_announcement(orjson.dumps(TARGET | changes))
    assert refused.failure().kind is ErrorKind.MALFORMED
    assert _parse_announcement(orjson.dumps(TARGET)).unwrap().target == "pipa-1"


def test_refusal_of_thousands_of_unknown_keys_is_short():
    body = orjson.dumps(GOOD | {f"{number}-{'a' * 500}": 0 for number in range(1_000)})
    assert len(parse_submission(body, LIMITS).failure().message) < 1_000
