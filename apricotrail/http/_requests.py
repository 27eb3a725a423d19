"""Requests and responses between h11's events and this package's messages."""

from asyncio import Future
from collections.abc import Callable
from urllib.parse import parse_qsl

import h11

from apricotrail.http._messages import Request, Response

__all__ = ["encode_response", "find_framing", "make_request"]

NO_BODY_STATUSES = frozenset({204, 304})
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


def find_framing(head: h11.Request) -> int | None:
    """Return the announced length of a request's body, 0 without one.

    None if the request has both ``Content-Length`` and ``Transfer-Encoding``.
    """
    if {name for name, _ in head.headers} >= FRAMING_HEADERS:
        return None
    return int(next((value for name, value in head.headers if name == b"content-length"), b"0"))


def make_request(
    head: h11.Request,
    body: bytes,
    peer: str,
    disconnected: Future[None] | None,
    charge: Callable[[int], None],
) -> Request:
    """Return the request of a head and a whole body."""
    headers: dict[str, str] = {}
    for name, value in head.headers:
        key, text = name.decode("ascii"), value.decode("latin-1")
        headers[key] = f"{headers[key]}, {text}" if key in headers else text
    path, _, query = head.target.decode("ascii").partition("?")
    parameters = dict(parse_qsl(query, keep_blank_values=True)) if query else {}
    method = head.method.decode("ascii")
    return Request(method, path, parameters, headers, body, peer, disconnected, charge)


def encode_response(
    connection: h11.Connection,
    head: h11.Request | None,
    response: Response,
    date: bytes,
    closing: bool,
) -> bytes:
    """Return the bytes of a response.

    Parameters
    ----------
    connection : h11.Connection
        Server side; its state follows.
    head : h11.Request or None
        Head of the request, None if it could not be read.
    response : Response
        What to send.
    date : bytes
        Value of the header ``Date``.
    closing : bool
        Whether the connection is closed afterwards.
    """
    headers = [(b"Date", date), (b"Content-Type", response.content_type.encode("ascii"))]
    if response.status not in NO_BODY_STATUSES:
        headers.append((b"Content-Length", b"%d" % len(response.body)))
    headers += [(name.encode(), value.encode("latin-1")) for name, value in response.headers]
    if closing:
        headers.append((b"Connection", b"close"))
    data = connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
    is_head = head is not None and head.method == b"HEAD"
    if response.body and not is_head and response.status not in NO_BODY_STATUSES:
        data += connection.send(h11.Data(data=response.body)) or b""
    return data + (connection.send(h11.EndOfMessage()) or b"")
