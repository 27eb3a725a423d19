"""Callbacks through which the agent's state machine reaches sockets, loop and configuration."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from apricotrail.agent._gate import GateState
from apricotrail.agent._records import Outcome
from apricotrail.wire.generated.ttypes import TaskStart

__all__ = ["AgentCallbacks"]


class AgentCallbacks(NamedTuple):
    """Functions that the agent's state machine calls.

    Attributes
    ----------
    send : callable
        Sends a message to an entry by name; returns whether the link accepted it.
    schedule : callable
        Runs a function in the next loop iteration.
    run_task : callable
        Coroutine function that runs a task, given its job, `TaskStart` and budget in milliseconds;
        returns an `Outcome`.
    stop_task : callable
        Coroutine function that asks the target to stop a task, given its job and number.
    gate_state : callable
        Returns the current `GateState`.
    """

    send: Callable[[str, Any], bool]
    schedule: Callable[[Callable[[], None]], object]
    run_task: Callable[[str, TaskStart, float], Awaitable[Outcome]]
    stop_task: Callable[[str, int], Awaitable[None]]
    gate_state: Callable[[], GateState]
