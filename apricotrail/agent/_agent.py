"""The agent's state machine: handles messages from entries, starts tasks and reports outcomes.

It does no input or output itself; it acts through the functions of `AgentCallbacks`.
"""

from collections import Counter
from typing import Any

from apricotrail.agent._callbacks import AgentCallbacks
from apricotrail.agent._gate import GateState, decide_starts, find_closed_reason
from apricotrail.agent._ledger import Ledger
from apricotrail.agent._outbox import Batch, Outbox, make_task_outcome
from apricotrail.agent._records import AttemptId, LedgerLimits, Outcome
from apricotrail.agent._runs import Runs
from apricotrail.agent._slots import Slots
from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.metrics import make_metrics
from apricotrail.wire.generated.ttypes import (
    AttemptStates,
    FenceJob,
    LedgerJob,
    Load,
    Reason,
    ResolveAttempts,
    SlotOffer,
    SlotWant,
    StartTasks,
    StopTasks,
    TaskOutcomes,
    TaskState,
)
from apricotrail.wire.generated.ttypes import (
    Ledger as LedgerMessage,
)

__all__ = ["Agent"]

OUTCOMES_NOT_SENT = declare_event(
    5003,
    "outcomes_not_sent",
    Level.INFO,
    "Outcomes of a job were not sent: the link to the entry is down or accepts no messages. "
    "They are kept until the entry asks for them; no action is needed.",
)
MESSAGE_INCOMPLETE = declare_event(
    5004,
    "message_incomplete",
    Level.WARNING,
    "A message from an entry lacked required fields and was ignored; "
    "compare the versions of the entries with that of this agent.",
)

_REASON_LABELS = {number: name.lower() for number, name in Reason._VALUES_TO_NAMES.items()}
_STATE_LABELS = {number: name.lower() for number, name in TaskState._VALUES_TO_NAMES.items()}


class Agent:
    """Decides which tasks start on one target, tracks them and answers the entries.

    Parameters
    ----------
    callbacks : AgentCallbacks
        Functions that send messages, reach the target and read the configuration.
    slots : int
        Tasks that the target runs at a time.
    grant_ms : float
        How long a granted slot is reserved, in milliseconds.
    limits : LedgerLimits
        Bounds of the ledger.
    clock : Clock
        Monotonic time in milliseconds.

    Attributes
    ----------
    metrics : AgentMetrics
        Counts of starts, refusals and outcomes.
    """

    def __init__(
        self,
        callbacks: AgentCallbacks,
        slots: int,
        grant_ms: float,
        limits: LedgerLimits,
        clock: Clock,
    ) -> None:
        self.ledger = Ledger(limits)
        self.slots = Slots(slots, grant_ms)
        self.outbox = Outbox(callbacks.schedule, self._deliver)
        self.runs = Runs(callbacks, clock, self._record_outcome, self._release_slot)
        self.metrics = make_metrics("agent")
        self._callbacks = callbacks
        self._clock = clock
        self._received: Counter[str] = Counter()
        self._ledger_since_ms = clock()

    # ---- messages from entries ----

    def start_tasks(self, sender: str, message: StartTasks, sender_in_view: bool = True) -> None:
        """Start the tasks that may start and report why the others don't.

        A message without a required field is ignored.

        Parameters
        ----------
        sender : str
            Name of the entry whose link the message came on.
        message : StartTasks
            As received.
        sender_in_view : bool
            Whether that entry process is a member of the entry view.
        """
        if not _is_complete(message):
            return
        self._received[sender] += len(message.tasks)
        state = self._callbacks.gate_state()._replace(sender_in_view=sender_in_view)
        now_ms = self._clock()
        decision = decide_starts(message, sender, state, self.ledger, self.slots, now_ms)
        for start in decision.starts:
            self.runs.start(message.job, start, sender, message.budget_ms, now_ms)
        for attempt_id, outcome in decision.outcomes:
            self.outbox.add(sender, message.job, attempt_id, outcome)
            self.metrics.refused_starts.add(_REASON_LABELS[outcome.reason])
        self.metrics.tasks_started.add(len(decision.starts))
        self._set_demand(sender, message.want or 0)

    def resolve_attempts(self, sender: str, message: ResolveAttempts) -> AttemptStates | None:
        """Return the states of attempts; one that was never seen is recorded as refused.

        Returns
        -------
        AttemptStates or None
            None if the message lacks a required field. If it names another target or another
            incarnation of this agent, all attempts are ``MAY_HAVE_RUN``.
        """
        if _has_missing_fields(message, "job", "epoch", "attempts"):
            return None
        state, now_ms = self._callbacks.gate_state(), self._clock()
        ids = [AttemptId(key.task, key.attempt) for key in message.attempts]
        if message.agent_incarnation != state.incarnation or message.target != state.target:
            lost = Outcome(TaskState.MAY_HAVE_RUN, Reason.AGENT_LOST)
            return self._make_attempt_states(
                message.job, [(attempt_id, lost) for attempt_id in ids]
            )
        self.ledger.claim(message.job, sender, message.epoch, now_ms, use_reserve=True)
        states = []
        for attempt_id in ids:
            known = self.ledger.find(message.job, attempt_id)
            if known is None:
                known = self.ledger.refuse(message.job, attempt_id, Reason.NONE, now_ms)
            states.append((attempt_id, known))
        return self._make_attempt_states(message.job, states)

    def fence_job(self, message: FenceJob) -> AttemptStates | None:
        """Refuse all lower epochs of the job from now on and return its attempts.

        Returns
        -------
        AttemptStates or None
            None if the epoch is too low or can't be recorded, if the target is another one or if a
            field is missing: the sender may conclude nothing from it.
        """
        state = self._callbacks.gate_state()
        if _has_missing_fields(message, "job", "epoch", "owner") or message.target != state.target:
            return None
        now_ms = self._clock()
        if not self.ledger.claim(
            message.job, message.owner, message.epoch, now_ms, use_reserve=True
        ):
            return None
        return self._make_attempt_states(message.job, self.ledger.attempts(message.job))

    def stop_tasks(self, message: StopTasks) -> None:
        """Stop running tasks; an empty list stops the whole job and refuses its later starts."""
        if _has_missing_fields(message, "job", "epoch", "tasks"):
            return
        if self.ledger.is_fenced(message.job, message.epoch):
            return
        if not message.tasks:
            self.ledger.cancel_job(message.job)
        self.runs.stop(message.job, message.tasks, Reason.CANCELLED)

    def receive_slot_want(self, sender: str, message: SlotWant) -> None:
        """Record how many more slots an entry could use; 0 also withdraws the granted ones."""
        if message.agent_incarnation == self._callbacks.gate_state().incarnation:
            self._set_demand(sender, message.want or 0)
            if not message.want:
                self.slots.withdraw_entry(sender)
                self.outbox.request_flush()

    def list_ledger(self) -> LedgerMessage:
        """Return the jobs of the ledger, from which entries rebuild lost claims."""
        state = self._callbacks.gate_state()
        jobs = [LedgerJob(job, owner, epoch) for job, owner, epoch in self.ledger.jobs()]
        return LedgerMessage(state.target, state.incarnation, self._ledger_age_ms(), jobs)

    # ---- other events ----

    def reset_entry(self, entry: str) -> None:
        """Withdraw the granted slots of an entry whose link is lost or new; its tasks continue."""
        self.slots.withdraw_entry(entry)
        self._received.pop(entry, None)
        self.outbox.request_flush()

    def tick(self) -> None:
        """Remove expired records and grants and grant free slots; to be called periodically."""
        now_ms = self._clock()
        self.ledger.expire(now_ms)
        self.slots.expire(now_ms)
        self.outbox.request_flush()

    def describe_load(self, entry: str) -> Load:
        """Return the current load as reported to `entry`."""
        return self._make_load(entry, self._callbacks.gate_state())

    # ---- runs ----

    def _record_outcome(self, job: str, attempt_id: AttemptId, outcome: Outcome) -> None:
        if not self.ledger.finish(job, attempt_id, outcome, self._clock()):
            return
        self.metrics.tasks.add(_STATE_LABELS[outcome.state])
        self.metrics.run_ms.observe(outcome.run_ms)
        owner = self.ledger.owner(job)
        if owner is not None:
            self.outbox.add(owner, job, attempt_id, outcome)

    def _release_slot(self, holder: str) -> None:
        self.slots.release(holder)
        self.outbox.request_flush()

    # ---- messages to entries ----

    def _set_demand(self, entry: str, count: int) -> None:
        self.slots.set_demand(entry, count)
        if count > 0:
            self.outbox.request_flush()

    def _make_attempt_states(
        self, job: str, states: list[tuple[AttemptId, Outcome]]
    ) -> AttemptStates:
        state = self._callbacks.gate_state()
        outcomes = [make_task_outcome(attempt_id, outcome) for attempt_id, outcome in states]
        return AttemptStates(job, state.target, state.incarnation, outcomes, self._ledger_age_ms())

    def _ledger_age_ms(self) -> int:
        return int(self._clock() - self._ledger_since_ms)

    def _make_load(self, entry: str, state: GateState) -> Load:
        slots = self.slots
        return Load(
            target=state.target,
            slots=slots.count,
            free_slots=slots.free(),
            running=slots.running,
            accepting=find_closed_reason(state) == Reason.NONE and not self.ledger.is_full(),
            received=self._received[entry],
        )

    def _deliver(self, batches: list[Batch]) -> None:
        state = self._callbacks.gate_state()
        is_open = find_closed_reason(state) == Reason.NONE
        grants = self.slots.grant(self._clock()) if is_open else {}
        if not batches and not grants:
            return
        for batch in batches:
            self._send_batch(batch, state, grants.pop(batch.receiver, 0))
        for entry, granted in grants.items():
            load = self._make_load(entry, state)
            offer = SlotOffer(state.target, state.incarnation, granted, load)
            if not self._callbacks.send(entry, offer):
                self.slots.withdraw_entry(entry)

    def _send_batch(self, batch: Batch, state: GateState, granted: int) -> None:
        load = self._make_load(batch.receiver, state)
        message = TaskOutcomes(
            batch.job, state.target, state.incarnation, batch.outcomes, load, granted
        )
        if self._callbacks.send(batch.receiver, message):
            return
        emit(OUTCOMES_NOT_SENT, entry=batch.receiver, job=batch.job)
        self.slots.withdraw_entry(batch.receiver)


def _has_missing_fields(message: Any, *names: str) -> bool:
    """Return whether a message lacks one of these fields, and log it if so."""
    missing = [name for name in names if getattr(message, name) is None]
    if missing:
        emit(MESSAGE_INCOMPLETE, kind=type(message).__name__, missing=missing)
    return bool(missing)


def _is_complete(message: StartTasks) -> bool:
    if _has_missing_fields(message, "job", "owner", "epoch", "budget_ms", "tasks"):
        return False
    return not any(_has_missing_fields(start, "task", "attempt", "body") for start in message.tasks)
