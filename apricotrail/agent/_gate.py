"""Decides which tasks of a start message start on the target.

An attempt that does not start is refused permanently: a later copy of its message doesn't start it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from apricotrail.agent._ledger import Ledger
from apricotrail.agent._records import AttemptId, Outcome
from apricotrail.agent._slots import Slots
from apricotrail.agent._target_configuration import TargetConfiguration
from apricotrail.wire.generated.ttypes import Reason, StartTasks, TaskStart, TaskState

__all__ = ["Decision", "GateState", "decide_starts", "find_closed_reason"]


class GateState(NamedTuple):
    """Conditions for starting tasks, besides the ledger and the slots.

    Attributes
    ----------
    target : str
        Id of the agent's target.
    incarnation : int
        The agent's own incarnation.
    fresh : bool
        Whether the configuration was confirmed recently enough.
    target_configuration : TargetConfiguration
        What the configuration says about the target.
    leaving : bool
        Whether the target announced that it is leaving.
    stopping : bool
        Whether the agent is stopping.
    awaiting_earlier_host : bool
        Whether the agent may not start tasks yet because an earlier host may still run some.
    sender_in_view : bool
        Whether the entry that sent the message is in the entry view with the same incarnation. The
        jobs of an entry that left the view may have been taken over by another entry.
    """

    target: str
    incarnation: int
    fresh: bool
    target_configuration: TargetConfiguration
    leaving: bool = False
    stopping: bool = False
    awaiting_earlier_host: bool = False
    sender_in_view: bool = True


class Decision(NamedTuple):
    """What to do with the tasks of one start message.

    Attributes
    ----------
    starts : list of TaskStart
        Tasks to start now; each occupies a slot and is recorded as running.
    outcomes : list of (AttemptId, Outcome)
        States to report for the other tasks.
    """

    starts: list[TaskStart]
    outcomes: list[tuple[AttemptId, Outcome]]


def find_closed_reason(state: GateState) -> int:
    """Return the `Reason` why no task may start on the target now, or `Reason.NONE`.

    An agent that awaits an earlier host also gives `Reason.STALE_CONFIGURATION`.
    """
    if not state.fresh or state.awaiting_earlier_host:
        return Reason.STALE_CONFIGURATION
    if not state.target_configuration.known:
        return Reason.UNKNOWN_TARGET
    if not state.target_configuration.zone_in_service:
        return Reason.ZONE_OUT
    if state.target_configuration.leaving or state.leaving:
        return Reason.TARGET_LEAVING
    if state.stopping:
        return Reason.STOPPING
    return Reason.NONE


def decide_starts(
    message: StartTasks,
    sender: str,
    state: GateState,
    ledger: Ledger,
    slots: Slots,
    now_ms: float,
) -> Decision:
    """Decide each task of a start message.

    Parameters
    ----------
    message : StartTasks
        As received.
    sender : str
        Name of the entry whose link the message came on; its granted slots are used.
    state : GateState
        Current conditions for starting tasks.
    ledger : Ledger
        Updated: records started attempts as running and refused ones as never to start.
    slots : Slots
        Updated: one slot is occupied for each start.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    Decision
        Tasks to start and states to report.
    """
    attempt_ids = [AttemptId(start.task, start.attempt) for start in message.tasks]
    if message.target != state.target:
        return _refuse_unrecorded(attempt_ids, Reason.UNKNOWN_TARGET)
    if message.agent_incarnation != state.incarnation:
        return _refuse_unrecorded(attempt_ids, Reason.WRONG_INCARNATION)
    ledger.claim(message.job, message.owner, message.epoch, now_ms)
    message_reason = find_closed_reason(state)
    if message_reason == Reason.NONE and message.budget_ms <= 0:
        message_reason = Reason.EXPIRED
    if message_reason == Reason.NONE and not state.sender_in_view:
        message_reason = Reason.FENCED
    decision = Decision([], [])
    for start, attempt_id in zip(message.tasks, attempt_ids, strict=True):
        known = ledger.find(message.job, attempt_id)
        if known is not None:
            decision.outcomes.append((attempt_id, _mark_seen(known)))
            continue
        reason = (
            ledger.find_refusal(message.job, attempt_id, message.epoch, now_ms) or message_reason
        )
        if reason == Reason.NONE and not slots.acquire(sender, now_ms):
            reason = Reason.FULL
        if reason != Reason.NONE:
            refusal = ledger.refuse(message.job, attempt_id, reason, now_ms)
            decision.outcomes.append((attempt_id, refusal))
            continue
        ledger.begin(message.job, attempt_id, now_ms)
        decision.starts.append(start)
    return decision


def _refuse_unrecorded(attempt_ids: Sequence[AttemptId], reason: int) -> Decision:
    refusal = Outcome(TaskState.NOT_RUN, reason)
    return Decision([], [(attempt_id, refusal) for attempt_id in attempt_ids])


def _mark_seen(known: Outcome) -> Outcome:
    return known._replace(reason=Reason.SEEN) if known.state == TaskState.RUNNING else known
