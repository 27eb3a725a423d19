"""A role's own HTTP listener: liveness, readiness, metrics."""

from collections.abc import Callable
from typing import Any

from apricotrail.application import Application
from apricotrail.clocks import Clock, monotonic_ms
from apricotrail.errors import ErrorKind, Problem
from apricotrail.metrics._lag import watch_loop_lag
from apricotrail.metrics._rendering import CONTENT_TYPE
from apricotrail.metrics._roles import RoleMetrics
from apricotrail.settings import Settings

__all__ = ["add_status_listener"]

STOP_MS = 200


def add_status_listener(
    application: Application,
    address: str,
    metrics: RoleMetrics,
    is_ready: Callable[[], bool],
    settings: Settings,
    clock: Clock = monotonic_ms,
) -> None:
    """Serve ``/healthz``, ``/readyz`` and ``/metrics`` while `application` runs.

    Parameters
    ----------
    application : Application
        Role; the listener starts and stops with it.
    address : str
        ``host:port``; empty for no listener.
    metrics : RoleMetrics
        What ``/metrics`` shows; the loop's lag is observed as well.
    is_ready : callable
        What ``/readyz`` answers.
    settings : Settings
        Limits of the server.
    clock : Clock
        Monotonic time in milliseconds.
    """
    if not address:
        return
    from apricotrail.http import HttpServer, read_server_limits
    from apricotrail.wire import parse_address

    limits = read_server_limits(settings, "status")
    on_limit = metrics.limits_met.add
    server = HttpServer(_make_router(metrics, is_ready), limits, clock, on_limit)

    async def start() -> None:
        await server.listen(*parse_address(address))
        application.spawn(watch_loop_lag(metrics.loop_lag_ms, clock))

    async def stop() -> None:
        await server.stop(STOP_MS)

    application.on_start(start)
    application.on_stop(stop)


def _make_router(metrics: RoleMetrics, is_ready: Callable[[], bool]) -> Any:
    from apricotrail.http import Request, Response, Router, json_response, problem_response

    def show_health(request: Request) -> Response:
        return json_response(200, {"alive": True})

    def show_readiness(request: Request) -> Response:
        if is_ready():
            return json_response(200, {"ready": True})
        remedy = "See the log for the links, and the age of the configuration in /metrics."
        return problem_response(
            Problem(ErrorKind.NOT_READY, f"The {metrics.role} is not ready.", remedy)
        )

    def show_metrics(request: Request) -> Response:
        return Response(200, metrics.render(), CONTENT_TYPE)

    router = Router()
    router.add("GET", "/healthz", show_health)
    router.add("GET", "/readyz", show_readiness)
    router.add("GET", "/metrics", show_metrics)
    return router
