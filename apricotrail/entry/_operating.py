"""HTTP routes of the operators' listener: administration, the burn report and metrics."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure

from apricotrail.clocks import monotonic_ms
from apricotrail.document import EffectiveConfiguration
from apricotrail.entry._agents import AgentTable
from apricotrail.entry._announcements import AnnouncementTable
from apricotrail.entry._burn import BurnCounts
from apricotrail.entry._control_client import ControlClient
from apricotrail.http import Request, Response, Router, problem_response
from apricotrail.operators import (
    TOKEN_FILE,
    LiveTarget,
    OperatorParts,
    TokenFile,
    make_operator_routes,
)
from apricotrail.settings import Settings

__all__ = ["OperatingParts", "make_operator_router"]

BURN_PATH = "/v1/admin/reports/burn"


class OperatingParts(NamedTuple):
    """Dependencies of the operators' listener.

    Attributes
    ----------
    settings : Settings
        Values of ``operators.*``.
    control : ControlClient
        Proposals and queries to the control log.
    configuration : callable
        Returns the configuration in force.
    announcements : AnnouncementTable
        Live announcements.
    agents : AgentTable
        Agents and their free slots.
    burn : BurnCounts
        Service-level counts of all entries.
    render_metrics : callable
        Returns the metrics in the Prometheus text format.
    stale_ms : float
        Age in milliseconds from which a configuration is too old to start tasks.
    """

    settings: Settings
    control: ControlClient
    configuration: Callable[[], EffectiveConfiguration]
    announcements: AnnouncementTable
    agents: AgentTable
    burn: BurnCounts
    render_metrics: Callable[[], bytes]
    stale_ms: float


def make_operator_router(parts: OperatingParts) -> Router:
    """Return the router of the operators' listener."""
    token_file = parts.settings.get(TOKEN_FILE)
    tokens = TokenFile(Path(token_file) if token_file else None)

    async def show_burn(request: Request) -> Response:
        checked = tokens.check(request.headers.get("authorization", ""))
        if isinstance(checked, Failure):
            return problem_response(checked.failure())
        return await parts.burn.show_report(request)

    def show_metrics(request: Request) -> Response:
        return Response(200, parts.render_metrics(), "text/plain; version=0.0.4")

    operator_parts = OperatorParts(
        parts.control.propose,
        parts.control.ask_status,
        parts.configuration,
        lambda: _list_live_targets(parts),
        tokens,
        parts.stale_ms,
        monotonic_ms,
    )
    router = Router()
    for route in make_operator_routes(operator_parts):
        router.add(route.method, route.pattern, route.handler)
    router.add("GET", BURN_PATH, show_burn)
    router.add("GET", "/metrics", show_metrics)
    return router


def _list_live_targets(parts: OperatingParts) -> list[LiveTarget]:
    live = []
    for target, announcement in parts.announcements.live().items():
        agent = parts.agents.find_by_target(target)
        live.append(
            LiveTarget(
                target,
                announcement.address,
                announcement.slots,
                announcement.connections,
                announcement.incarnation,
                bool(announcement.leaving),
                agent.count_free() if agent is not None and agent.link is not None else None,
            )
        )
    return live
