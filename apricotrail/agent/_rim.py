"""What connects the agent's state to sockets, the loop and the configuration."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from apricotrail.agent._gate import GateState
from apricotrail.agent._records import Outcome
from apricotrail.wire.generated.ttypes import TaskStart

__all__ = ["AgentRim"]


class AgentRim(NamedTuple):
    """Functions that the state calls.

    Attributes
    ----------
    send : callable
        Sends a message to an entry by name; returns whether the link took it.
    schedule : callable
        Runs a function after the present loop tick.
    run_task : callable
        Coroutine function of job, `TaskStart` and budget in ms; returns an `Outcome`.
    stop_task : callable
        Coroutine function of job and task number that asks the target to stop it.
    gate_state : callable
        Returns the present `GateState`.
    """

    send: Callable[[str, Any], bool]
    schedule: Callable[[Callable[[], None]], object]
    run_task: Callable[[str, TaskStart, float], Awaitable[Outcome]]
    stop_task: Callable[[str, int], Awaitable[None]]
    gate_state: Callable[[], GateState]
