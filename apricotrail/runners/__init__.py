"""The agent beside a leased runner, which starts and stops its runs and renews their leases."""

from apricotrail.runners._application import RunnerAgent
from apricotrail.runners._driver import Call, RunnerPort, StartResult, StopResult
from apricotrail.runners._runs import EndedRow, Listing, RunnerReport, RunningRow, StartReply

__all__ = [
    "Call",
    "EndedRow",
    "Listing",
    "RunnerAgent",
    "RunnerPort",
    "RunnerReport",
    "RunningRow",
    "StartReply",
    "StartResult",
    "StopResult",
]
