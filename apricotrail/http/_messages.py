"""Requests and responses as values, and the JSON form of problems."""

from asyncio import Future
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson

from apricotrail.errors import Problem, http_status

__all__ = ["JSON_TYPE", "Request", "Response", "json_response", "problem_response"]

JSON_TYPE = "application/json"


def _charge_nothing(units: int) -> None:
    pass


class Request(NamedTuple):
    """One whole request.

    Attributes
    ----------
    method : str
        Method in upper case.
    path : str
        Path as sent, still percent-encoded, without the query.
    query : dict of str to str
        Decoded query parameters; the last of a repeated name counts.
    headers : dict of str to str
        Headers by lower-case name; values of a repeated name are joined by commas.
    body : bytes
        Whole body.
    peer : str
        Address of the other end.
    disconnected : asyncio.Future or None
        Done once the caller's connection is closed, also when it closes only its sending side.
    charge : callable
        ``charge(units)`` counts work that is more than the request's size shows, in units of 25
        microseconds or so; other requests of the listener wait longer for their turns.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    peer: str
    disconnected: Future | None = None
    charge: Callable[[int], None] = _charge_nothing


class Response(NamedTuple):
    """One whole response, to be sent by a server or received by a client.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        Whole body.
    content_type : str
        Media type of the body.
    headers : tuple of (str, str)
        Further headers; lower-case names on received responses.
    """

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name: str) -> str | None:
        """Return the first value of a header, given its lower-case name.

        Examples
        --------
        >>> Response(503, headers=(("Retry-After", "2"),)).header("retry-after")
        '2'
        """
        return next((value for key, value in self.headers if key.lower() == name), None)


def json_response(status: int, value: Any, headers: tuple = ()) -> Response:
    """Return a response with `value` as JSON.

    Examples
    --------
    >>> json_response(200, {"ready": True}).body
    b'{"ready":true}'
    """
    return Response(status, orjson.dumps(value), JSON_TYPE, headers)


def problem_response(problem: Problem, status: int | None = None, headers: tuple = ()) -> Response:
    """Return the response that reports a problem.

    Parameters
    ----------
    problem : Problem
        What to report.
    status : int, optional
        Status code; by default the one of the problem's kind.
    headers : tuple of (str, str)
        Further headers, such as ``Retry-After``.
    """
    error = {"kind": problem.kind, "message": problem.message, "remedy": problem.remedy}
    return json_response(status or http_status(problem.kind), {"error": error}, headers)
