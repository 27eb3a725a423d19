"""Handlers by method and path pattern."""

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import unquote

from apricotrail.errors import ErrorKind, Problem
from apricotrail.http._messages import Request, Response, problem_response

__all__ = ["Router"]

METHOD_NOT_ALLOWED = 405


class _Route(NamedTuple):
    segments: tuple[str, ...]
    names: tuple[str | None, ...]
    handlers: dict[str, Callable[..., Any]]


class Router:
    """Finds the handler of a request; itself a handler for `HttpServer`.

    Examples
    --------
    >>> router = Router()
    >>> router.add("GET", "/v1/zones/{zone}", lambda request, zone: Response(200, zone.encode()))
    >>> router(Request("GET", "/v1/zones/La%20Dorada", {}, {}, b"", "")).body
    b'La Dorada'
    """

    def __init__(self) -> None:
        self._fixed: dict[str, _Route] = {}
        self._with_names: dict[int, list[_Route]] = {}

    def add(self, method: str, pattern: str, handler: Callable[..., Any]) -> None:
        """Handle requests whose path fits `pattern`.

        Parameters
        ----------
        method : str
            Method in upper case; GET also answers HEAD.
        pattern : str
            Path with parameters as ``{name}``, each one whole segment.
        handler : callable
            Called with the request and the decoded parameters by name; returns a response or an
            awaitable of one.
        """
        route = self._find_or_make(pattern)
        route.handlers[method] = handler
        if method == "GET":
            route.handlers.setdefault("HEAD", handler)

    def __call__(self, request: Request) -> Any:
        """Call the handler of a request, or return the response that says why there is none."""
        route = self._fixed.get(request.path)
        segments: list[str] = []
        if route is None:
            segments = request.path.split("/")
            route = self._match(segments)
        if route is None:
            return _not_found(request.path)
        handler = route.handlers.get(request.method)
        if handler is None:
            return _not_allowed(request.method, route)
        try:
            parameters = {
                name: unquote(segment, errors="strict")
                for name, segment in zip(route.names, segments, strict=False)
                if name is not None
            }
        except UnicodeDecodeError:
            return _bad_path()
        return handler(request, **parameters)

    def _find_or_make(self, pattern: str) -> _Route:
        segments = tuple(pattern.split("/"))
        names = tuple(part[1:-1] if part.startswith("{") else None for part in segments)
        if not any(names):
            return self._fixed.setdefault(pattern, _Route(segments, names, {}))
        routes = self._with_names.setdefault(len(segments), [])
        for route in routes:
            if route.segments == segments:
                return route
        routes.append(_Route(segments, names, {}))
        return routes[-1]

    def _match(self, segments: list[str]) -> _Route | None:
        for route in self._with_names.get(len(segments), ()):
            pairs = zip(route.segments, route.names, segments, strict=True)
            if all(given if name else fixed == given for fixed, name, given in pairs):
                return route
        return None


def _not_found(path: str) -> Response:
    remedy = "Check the path against docs/http.md."
    return problem_response(Problem(ErrorKind.NOT_FOUND, f"Nothing is at {path[:200]}.", remedy))


def _bad_path() -> Response:
    remedy = "Percent-encode UTF-8 in the path."
    return problem_response(Problem(ErrorKind.MALFORMED, "The path is not UTF-8.", remedy))


def _not_allowed(method: str, route: _Route) -> Response:
    allowed = ", ".join(sorted(route.handlers))
    problem = Problem(
        ErrorKind.REFUSED, f"{method[:20]} is not for this path.", f"Use one of {allowed}."
    )
    return problem_response(problem, METHOD_NOT_ALLOWED, (("Allow", allowed),))
