"""Reads the responses that almost all calls get, without the state machine of h11.

A plain response comes whole, with a ``Content-Length`` and nothing that changes its framing or ends
the connection. Everything else, also what is malformed, is left to h11. A call to a runner takes a
third of the time that way.
"""

import re

__all__ = ["read_plain_response"]

MAX_HEAD_BYTES = 4_096
FIRST_FINAL_STATUS = 200
NO_BODY_STATUSES = frozenset({204, 304})
# RFC 9112, sections 4 and 5, without what it only tolerates.
_HEAD = re.compile(
    rb"HTTP/1\.1 ([1-5][0-9][0-9]) [\t -~]*\r\n"
    rb"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~]*\r\n)+)\r\n"
)
_REFUSED_HEADERS = frozenset({"transfer-encoding", "connection", "upgrade", "trailer"})

Headers = tuple[tuple[str, str], ...]


def read_plain_response(data: bytes, max_body_bytes: int) -> tuple[int, Headers, bytes] | None:
    """Return status, headers and body of a plain response, None for anything else.

    Parameters
    ----------
    data : bytes
        All that was received since the request, which was not ``HEAD``.
    max_body_bytes : int
        Largest body accepted.

    Examples
    --------
    >>> read_plain_response(b"HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nhi", 10)
    (200, (('content-length', '2'),), b'hi')
    """
    found = _HEAD.match(data, 0, MAX_HEAD_BYTES)
    if found is None:
        return None
    status = int(found[1])
    lines = (line.partition(":") for line in found[2].decode("ascii").split("\r\n")[:-1])
    headers = tuple((name.lower(), value.strip(" \t")) for name, _, value in lines)
    names = [name for name, _ in headers]
    if status < FIRST_FINAL_STATUS or status in NO_BODY_STATUSES:
        return None
    if names.count("content-length") != 1 or not _REFUSED_HEADERS.isdisjoint(names):
        return None
    length = headers[names.index("content-length")][1]
    body_bytes = len(data) - found.end()
    if not length.isdigit() or int(length) != body_bytes or body_bytes > max_body_bytes:
        return None
    return status, headers, bytes(data[found.end() :])
