"""The agent's own HTTP listener: liveness, readiness, metrics."""

from collections.abc import Callable

from apricotrail.errors import ErrorKind, Problem
from apricotrail.http import Request, Response, Router, json_response, problem_response
from apricotrail.metrics import CONTENT_TYPE, AgentMetrics

__all__ = ["make_status_router"]


def make_status_router(metrics: AgentMetrics, is_ready: Callable[[], bool]) -> Router:
    """Return the routes ``/healthz``, ``/readyz`` and ``/metrics``.

    Parameters
    ----------
    metrics : AgentMetrics
        What ``/metrics`` shows.
    is_ready : callable
        Whether tasks may start now.
    """

    def show_health(request: Request) -> Response:
        return json_response(200, {"alive": True})

    def show_readiness(request: Request) -> Response:
        if is_ready():
            return json_response(200, {"ready": True})
        remedy = "See the log for the configuration's age, the zone's state and the target's."
        return problem_response(Problem(ErrorKind.NOT_READY, "No task may start here now.", remedy))

    def show_metrics(request: Request) -> Response:
        return Response(200, metrics.render(), CONTENT_TYPE)

    router = Router()
    router.add("GET", "/healthz", show_health)
    router.add("GET", "/readyz", show_readiness)
    router.add("GET", "/metrics", show_metrics)
    return router
