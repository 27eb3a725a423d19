"""Leased runners: the gate, health and driver of the agent beside each of them."""

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
