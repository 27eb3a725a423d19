"""Connects the metrics of a control replica to what they measure."""

from collections.abc import Callable

from apricotrail.clocks import Clock
from apricotrail.control._files import FileOperations
from apricotrail.control._members import count_voters
from apricotrail.control._service import ControlService
from apricotrail.metrics import ControlMetrics

__all__ = ["time_syncs", "watch_service"]


def time_syncs(
    files: FileOperations, observe: Callable[[float], None], clock: Clock
) -> FileOperations:
    """Return `files` with a sync that passes its duration in milliseconds to `observe`."""

    def sync(name: str) -> None:
        started_ms = clock()
        files.sync(name)
        observe(clock() - started_ms)

    return files._replace(sync=sync)


def watch_service(metrics: ControlMetrics, service: ControlService) -> None:
    """Make the gauges read their values from `service`."""
    node, replica = service.node, service.node.replica
    metrics.links.watch(lambda: len(service.endpoint.links))
    service.endpoint.open_links.limits_met.on_limit = metrics.limits_met.add
    metrics.config_version.watch(lambda: node.machine.version)
    metrics.config_age_ms.watch(node.confirmation_age_ms)
    metrics.lease_age_ms.watch(node.confirmation_age_ms)
    metrics.is_leader.watch(lambda: int(replica.is_leader))
    metrics.term.watch(lambda: replica.term)
    metrics.log_entries.watch(lambda: replica.log.last_index - node.snapshot_index)
    metrics.replicas_behind.watch(lambda: _count_behind(service))
    metrics.voters.watch(lambda: count_voters(replica.log.members))
    metrics.voters_silent.watch(service.count_silent_voters)


def _count_behind(service: ControlService) -> int:
    replica = service.node.replica
    return sum(it.match_index < replica.commit_index for it in replica.progress.values())
