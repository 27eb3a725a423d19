"""Feeds an entry's metrics and service-level counts."""

from apricotrail.entry._agents import AgentTable
from apricotrail.entry._burn import BurnCounts
from apricotrail.entry._claims import ClaimTable
from apricotrail.entry._dispatch import JobDispatcher
from apricotrail.entry._job import Job, JobResult
from apricotrail.entry._relay import ConfigurationRelay
from apricotrail.entry._submission import Submission
from apricotrail.entry._succession import ViewSuccession
from apricotrail.errors import Problem
from apricotrail.metrics import EntryMetrics
from apricotrail.wire import LinkEndpoint

__all__ = ["JobObserver", "watch_dispatcher", "watch_membership"]

HTTP_OK = 200


class JobObserver:
    """Counts answered and refused jobs.

    Parameters
    ----------
    metrics : EntryMetrics
        Instruments to update.
    burn : BurnCounts
        Service-level counts.
    """

    def __init__(self, metrics: EntryMetrics, burn: BurnCounts) -> None:
        self._metrics = metrics
        self._burn = burn

    def observe_job(self, job: Job, result: JobResult, response_ms: float) -> None:
        """Count a finished job and its response time in milliseconds."""
        self._metrics.jobs.add("complete" if result.status == HTTP_OK else "failed")
        self._metrics.claims_lost.add(int(job.abandoned))
        self._metrics.response_ms.observe(response_ms)
        if job.longest_ms:
            self._metrics.response_over_ideal.observe(response_ms / job.longest_ms)
        self._burn.observe_job(job, result, response_ms)

    def observe_refusal(self, submission: Submission, problem: Problem) -> None:
        """Count a submission that was refused before anything started."""
        self._metrics.refusals.add(problem.kind.value)
        self._burn.observe_refusal(submission.service, problem)


def watch_dispatcher(metrics: EntryMetrics, dispatcher: JobDispatcher, agents: AgentTable) -> None:
    """Make the gauges of queues and slots read dispatcher and agents when they are rendered."""
    metrics.queued_tasks.watch(dispatcher.count_all_queued)
    metrics.running_tasks.watch(dispatcher.count_running)
    metrics.slots.watch(lambda: sum(agent.slots for agent in agents.list_linked()))
    metrics.free_slots.watch(lambda: sum(agent.count_free() for agent in agents.list_linked()))
    metrics.targets_ejected.watch(lambda: len(dispatcher.dispatch_state.health.list_ejected()))


def watch_membership(
    metrics: EntryMetrics,
    endpoint: LinkEndpoint,
    relay: ConfigurationRelay,
    table: ClaimTable,
    succession: ViewSuccession,
) -> None:
    """Make the gauges of links, configuration and claims read these objects when rendered."""
    metrics.links.watch(endpoint.links.__len__)
    endpoint.open_links.limits_met.on_limit = metrics.limits_met.add
    metrics.config_version.watch(lambda: relay.configuration.version)
    metrics.config_age_ms.watch(relay.freshness.age_ms)
    metrics.lease_age_ms.watch(relay.freshness.age_ms)
    metrics.claims.watch(table.__len__)
    metrics.view_epoch.watch(lambda: succession.view.epoch)
    endpoint.on_down(lambda link: metrics.links_lost.add())
