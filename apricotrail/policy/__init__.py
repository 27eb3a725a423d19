"""Scheduling decisions of an entry: admission, queue order, placement, ejection and retries.

Plain functions and small classes without sockets or an event loop; the time is passed in.
"""

from apricotrail.policy.admission import Admission, AdmissionRequest, ServiceState
from apricotrail.policy.ejection import TargetHealth
from apricotrail.policy.estimates import RunTimes
from apricotrail.policy.order import FairQueue, QueuedJob, Taken
from apricotrail.policy.placement import (
    PLACEMENTS,
    Assignment,
    Candidate,
    Placement,
    list_targets_to_ask,
    make_join_shortest,
    make_late_binding,
    make_power_of_two,
    make_random,
)
from apricotrail.policy.retries import RetryBudget, backoff_ms

__all__ = [
    "PLACEMENTS",
    "Admission",
    "AdmissionRequest",
    "Assignment",
    "Candidate",
    "FairQueue",
    "Placement",
    "QueuedJob",
    "RetryBudget",
    "RunTimes",
    "ServiceState",
    "Taken",
    "TargetHealth",
    "backoff_ms",
    "list_targets_to_ask",
    "make_join_shortest",
    "make_late_binding",
    "make_power_of_two",
    "make_random",
]
