"""Plain responses are read as h11 reads them, and everything else is left to h11."""

import unittest

import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from apricotrail.http._plain import read_plain_response

PLAIN = b"HTTP/1.1 200 OK\r\nDate: today\r\nContent-Type: a/b\r\nContent-Length: 4\r\n\r\nbody"
PIECES = (
    *(b"HTTP/1.1 200 OK", b"HTTP/1.0 200 OK", b"HTTP/1.1 204 No", b"HTTP/1.1 100 Go", b"\r\n"),
    *(b"Content-Length: 4\r\n", b"content-length:4\r\n", b"Content-Length: 04\r\n", b"\n", b" "),
    *(b"Content-Length: 4, 4\r\n", b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n"),
    *(b"X-A:  b \t\r\n", b"X-A : b\r\n", b": b\r\n", b"\r\n\r\n", b"body", b"\x00", b"\xff", b"x"),
)


def read_with_h11(data: bytes) -> tuple | None:
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    body = b""
    try:
        head = parser.next_event()
        while type(event := parser.next_event()) is h11.Data:
            body += event.data
    except h11.RemoteProtocolError:
        return None
    if type(event) is not h11.EndOfMessage or parser.their_state is not h11.DONE:
        return None
    if parser.trailing_data[0]:
        return None
    headers = ((name.decode(), value.decode("latin-1")) for name, value in head.headers)
    return head.status_code, tuple(headers), body


class TestPlainResponses(unittest.TestCase):
    def test_a_plain_response_is_read(self):
        self.assertEqual(read_plain_response(PLAIN, 4), read_with_h11(PLAIN))

    # Guards against answers that are cut, too large, or whose end is not certain.
    @params(
        (PLAIN[:-1], 4),
        (PLAIN + b"x", 9),
        (PLAIN, 3),
        (PLAIN.replace(b"Date", b"Connection"), 4),
        (PLAIN.replace(b"Date", b"Content-Length"), 4),
        (PLAIN.replace(b"Date: today", b"Transfer-Encoding: chunked"), 4),
        (PLAIN.replace(b"200", b"100"), 4),
    )
    def test_other_responses_are_left_to_h11(self, data, max_body_bytes):
        self.assertIsNone(read_plain_response(data, max_body_bytes))

    # Guards against a response that the short way takes for another one than the strict parser.
    @given(st.lists(st.sampled_from(PIECES), max_size=8), st.integers(0, len(PLAIN)))
    @settings(max_examples=400, derandomize=True, deadline=None)
    def test_what_is_read_is_what_h11_reads(self, pieces, cut):
        for data in (b"".join(pieces), PLAIN[:cut] + b"".join(pieces[:2]) + PLAIN[cut:]):
            plain = read_plain_response(data, 100)
            if plain is not None:
                self.assertEqual(plain, read_with_h11(data))
