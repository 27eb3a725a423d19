"""Metrics of each role: plain integers on the hot path, Prometheus text when asked."""

from apricotrail.metrics._instruments import (
    MAX_SERIES,
    OTHER_LABEL,
    Counter,
    Gauge,
    Histogram,
    LabelledCounter,
)
from apricotrail.metrics._lag import watch_loop_lag
from apricotrail.metrics._listener import add_status_listener
from apricotrail.metrics._rendering import CONTENT_TYPE
from apricotrail.metrics._roles import (
    AgentMetrics,
    ControlMetrics,
    DispatcherMetrics,
    EntryMetrics,
    RoleMetrics,
    RunnerMetrics,
    make_metrics,
)

__all__ = [
    "CONTENT_TYPE",
    "MAX_SERIES",
    "OTHER_LABEL",
    "AgentMetrics",
    "ControlMetrics",
    "Counter",
    "DispatcherMetrics",
    "EntryMetrics",
    "Gauge",
    "Histogram",
    "LabelledCounter",
    "RoleMetrics",
    "RunnerMetrics",
    "add_status_listener",
    "make_metrics",
    "watch_loop_lag",
]
