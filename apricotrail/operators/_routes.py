"""Routes of the operators' interface, each behind the token check."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

from returns.result import Failure

from apricotrail.http import Request, Response, problem_response
from apricotrail.operators._documents import (
    check,
    diff,
    list_history,
    promote,
    show,
    try_document,
)
from apricotrail.operators._members import (
    add_member,
    change_member,
    list_members,
    show_status,
)
from apricotrail.operators._parts import OperatorParts
from apricotrail.operators._services import list_services, show_service
from apricotrail.operators._targets import list_targets, set_target_state
from apricotrail.operators._zones import list_zones, set_zone_state

__all__ = ["Handler", "Route", "make_operator_routes"]

Handler = Callable[..., Awaitable[Response]]
PREFIX = "/v1/admin"

_ROUTES: tuple[tuple[str, str, Handler], ...] = (
    ("GET", "/status", show_status),
    ("GET", "/documents", list_history),
    ("GET", "/documents/{number}", show),
    ("POST", "/documents/check", check),
    ("POST", "/documents/diff", diff),
    ("POST", "/documents/try", try_document),
    ("POST", "/documents/promote", promote),
    ("GET", "/zones", list_zones),
    ("POST", "/zones/{zone}/out", partial(set_zone_state, in_service=False)),
    ("POST", "/zones/{zone}/in", partial(set_zone_state, in_service=True)),
    ("GET", "/targets", list_targets),
    ("POST", "/targets/{target}/leave", partial(set_target_state, leaving=True)),
    ("POST", "/targets/{target}/return", partial(set_target_state, leaving=False)),
    ("GET", "/services", list_services),
    ("GET", "/services/{service}", show_service),
    ("GET", "/members", list_members),
    ("POST", "/members", add_member),
    ("POST", "/members/{name}/{identity}/promote", partial(change_member, action="promote")),
    ("DELETE", "/members/{name}/{identity}", partial(change_member, action="remove")),
)


class Route(NamedTuple):
    """One call: method, path pattern and handler, as ``Router.add`` takes them."""

    method: str
    pattern: str
    handler: Handler


def make_operator_routes(parts: OperatorParts) -> list[Route]:
    """Return the routes under ``/v1/admin``.

    Parameters
    ----------
    parts : OperatorParts
        Functions of the entry.
    """
    return [
        Route(method, PREFIX + pattern, _guard(parts, handler))
        for method, pattern, handler in _ROUTES
    ]


def _guard(parts: OperatorParts, handler: Handler) -> Handler:
    async def handle(request: Request, **parameters: str) -> Response:
        checked = parts.tokens.check(request.headers.get("authorization", ""))
        if isinstance(checked, Failure):
            headers = (("WWW-Authenticate", "Bearer"),)
            return problem_response(checked.failure(), headers=headers)
        return await handler(parts, request, **parameters)

    return handle
