"""Service-level counts, exchanged between entries for the burn report.

Burn is the rate at which failed and slow jobs use up a service's error budget.
"""

import asyncio
from collections.abc import Callable

import orjson
from returns.result import Success

from apricotrail.clocks import wall_ms
from apricotrail.document import EffectiveConfiguration
from apricotrail.entry._job import Job, JobResult
from apricotrail.errors import Problem
from apricotrail.http import Request, Response, json_response
from apricotrail.reports import (
    HeldReports,
    Objectives,
    SloRecorder,
    dump_report,
    merge_reports,
)
from apricotrail.settings import declare_setting
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import Report, ReportRequest

__all__ = ["EXCHANGE_S", "BurnCounts"]

EXCHANGE_S = declare_setting(
    "reports.exchange_s",
    60,
    "Time between two exchanges of service-level counts between entries.",
    unit="s",
    minimum=1,
)
CALL_MS = 2_000
HTTP_OK = 200


class BurnCounts:
    """Service-level counts of one entry, and the last ones received from the others.

    Parameters
    ----------
    name : str
        Name of this entry.
    incarnation : int
        Its incarnation.
    configuration : callable
        Returns the configuration in force.
    links : callable
        Returns the links to the other members of the view.
    member_names : callable
        Returns the names of all members of the view.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        configuration: Callable[[], EffectiveConfiguration],
        links: Callable[[], list[Link]],
        member_names: Callable[[], set[str]],
    ) -> None:
        self._name = name
        self._configuration = configuration
        self._links = links
        self._member_names = member_names
        self._recorder = SloRecorder(name, incarnation, self._find_objectives)
        self._held = HeldReports()

    def observe_job(self, job: Job, result: JobResult, response_ms: float) -> None:
        """Count a finished job with its response time in milliseconds."""
        ok = result.status == HTTP_OK
        kind = "" if ok else job.problem.kind.value if job.problem else "task_failed"
        known = self._configuration().targets.get(job.blamed_target)
        zone = known.zone if known is not None else ""
        self._recorder.observe(
            job.service, ok, response_ms, zone, job.blamed_target, kind, wall_ms()
        )

    def observe_refusal(self, service_reference: str, problem: Problem) -> None:
        """Count a submission that was refused before anything started."""
        resolved = self._configuration().resolve("service", service_reference)
        if isinstance(resolved, Success):
            service = resolved.unwrap()
            self._recorder.observe(service, False, 0.0, "", "", problem.kind.value, wall_ms())

    def answer_request(self, link: Link, request: ReportRequest) -> Report:
        """Return the counts of this entry to another one."""
        return Report(orjson.dumps(self._recorder.export(wall_ms())))

    async def show_report(self, request: Request) -> Response:
        """Answer ``GET /v1/admin/reports/burn`` with the merged report of all entries."""
        answered = await self.exchange()
        silent = sorted(self._member_names() - answered - {self._name})
        now_ms = wall_ms()
        reports = [self._recorder.export(now_ms), *self._held.list_reports(now_ms)]
        merged = merge_reports(reports, self._find_objectives, silent, now_ms)
        return json_response(200, dump_report(merged))

    async def exchange(self) -> set[str]:
        """Ask the other entries for their counts; return the names of those that answered."""
        links = self._links()
        replies = await asyncio.gather(*(link.call(ReportRequest(0), CALL_MS) for link in links))
        answered = set()
        for link, reply in zip(links, replies, strict=True):
            if isinstance(reply, Success):
                self._held.keep(orjson.loads(reply.unwrap().body))
                answered.add(link.peer.name)
        return answered

    def _find_objectives(self, service: str) -> Objectives | None:
        known = self._configuration().services.get(service)
        if known is None:
            return None
        wanted = known.objectives
        return Objectives(wanted.success, float(wanted.latency_ms), wanted.latency_share)
