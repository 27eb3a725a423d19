"""Decides which tasks of a start message start here; everything else is refused for good."""

from collections.abc import Sequence
from typing import NamedTuple

from apricotrail.agent._ledger import Ledger
from apricotrail.agent._records import AttemptId, Outcome
from apricotrail.agent._slots import Slots
from apricotrail.agent._standing import Standing
from apricotrail.wire.generated.ttypes import Reason, StartTasks, TaskStart, TaskState

__all__ = ["Decision", "GateState", "decide_starts", "find_closure"]


class GateState(NamedTuple):
    """What the gate needs to know besides ledger and slots.

    Attributes
    ----------
    target : str
        Id of the agent's target.
    incarnation : int
        The agent's own incarnation.
    fresh : bool
        Whether the configuration was confirmed recently enough.
    standing : Standing
        What the configuration says of the target.
    leaving : bool
        Whether the target announced that it leaves.
    stopping : bool
        Whether the agent is stopping.
    waiting : bool
        Whether the agent may not start tasks yet because an earlier host may still run some.
    sender_in_view : bool
        Whether the entry that sent the message is a member of the entry view, this very process.
        One that left the view may have lost its jobs to another entry.
    """

    target: str
    incarnation: int
    fresh: bool
    standing: Standing
    leaving: bool = False
    stopping: bool = False
    waiting: bool = False
    sender_in_view: bool = True


class Decision(NamedTuple):
    """Result for one message.

    Attributes
    ----------
    starts : list of TaskStart
        Tasks to start now; each holds a slot and is recorded as running.
    outcomes : list of (AttemptId, Outcome)
        States to answer with for the other tasks.
    """

    starts: list[TaskStart]
    outcomes: list[tuple[AttemptId, Outcome]]


def find_closure(state: GateState) -> int:
    """Return the `Reason` why no task may start here now, `Reason.NONE` if the gate is open."""
    if not state.fresh or state.waiting:
        return Reason.STALE_CONFIGURATION
    if not state.standing.known:
        return Reason.UNKNOWN_TARGET
    if not state.standing.zone_in_service:
        return Reason.ZONE_OUT
    if state.standing.leaving or state.leaving:
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
        Name of the entry whose link it came on; its granted slots are used.
    state : GateState
        What the agent knows now.
    ledger : Ledger
        Updated: started attempts run, refused ones never start.
    slots : Slots
        Updated: one slot for each start.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    Decision
        What to start and what to answer.
    """
    attempt_ids = [AttemptId(start.task, start.attempt) for start in message.tasks]
    if message.target != state.target:
        return _refuse_unrecorded(attempt_ids, Reason.UNKNOWN_TARGET)
    if message.agent_incarnation != state.incarnation:
        return _refuse_unrecorded(attempt_ids, Reason.WRONG_INCARNATION)
    ledger.claim(message.job, message.owner, message.epoch, now_ms)
    closure = find_closure(state)
    if closure == Reason.NONE and message.budget_ms <= 0:
        closure = Reason.EXPIRED
    if closure == Reason.NONE and not state.sender_in_view:
        closure = Reason.FENCED
    decision = Decision([], [])
    for start, attempt_id in zip(message.tasks, attempt_ids, strict=True):
        known = ledger.find(message.job, attempt_id)
        if known is not None:
            decision.outcomes.append((attempt_id, _mark_seen(known)))
            continue
        reason = ledger.find_refusal(message.job, attempt_id, message.epoch, now_ms) or closure
        if reason == Reason.NONE and not slots.take(sender, now_ms):
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
