"""The agent's state: messages from entries in, runs and messages to entries out."""

from collections import Counter
from typing import Any

from apricotrail.agent._gate import GateState, decide_starts, find_closure
from apricotrail.agent._ledger import Ledger
from apricotrail.agent._outbox import Batch, Outbox, make_task_outcome
from apricotrail.agent._records import AttemptId, LedgerLimits, Outcome
from apricotrail.agent._rim import AgentRim
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
    "The owner's link takes no messages; the outcomes are kept until it asks for them.",
)
MESSAGE_INCOMPLETE = declare_event(
    5004, "message_incomplete", Level.WARNING, "A message lacked a field and was ignored."
)

_REASON_LABELS = {number: name.lower() for number, name in Reason._VALUES_TO_NAMES.items()}
_STATE_LABELS = {number: name.lower() for number, name in TaskState._VALUES_TO_NAMES.items()}


class Agent:
    """The one gate in front of a target.

    Parameters
    ----------
    rim : AgentRim
        Connections to the outside.
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
        self, rim: AgentRim, slots: int, grant_ms: float, limits: LedgerLimits, clock: Clock
    ) -> None:
        self.ledger = Ledger(limits)
        self.slots = Slots(slots, grant_ms)
        self.outbox = Outbox(rim.schedule, self._deliver)
        self.runs = Runs(rim, clock, self._record_outcome, self._release_slot)
        self.metrics = make_metrics("agent")
        self._rim = rim
        self._clock = clock
        self._received: Counter[str] = Counter()
        self._kept_since_ms = clock()

    # ---- messages ----

    def start_tasks(self, sender: str, message: StartTasks, sender_in_view: bool = True) -> None:
        """Start what may start and answer for the rest.

        Parameters
        ----------
        sender : str
            Name of the entry.
        message : StartTasks
            As received.
        sender_in_view : bool
            Whether that entry process is a member of the entry view.
        """
        if not _is_whole(message):
            return
        self._received[sender] += len(message.tasks)
        state = self._rim.gate_state()._replace(sender_in_view=sender_in_view)
        now_ms = self._clock()
        decision = decide_starts(message, sender, state, self.ledger, self.slots, now_ms)
        for start in decision.starts:
            self.runs.start(message.job, start, sender, message.budget_ms, now_ms)
        for attempt_id, outcome in decision.outcomes:
            self.outbox.add(sender, message.job, attempt_id, outcome)
            self.metrics.refused_starts.add(_REASON_LABELS[outcome.reason])
        self.metrics.tasks_started.add(len(decision.starts))
        self._want(sender, message.want or 0)

    def resolve_attempts(self, sender: str, message: ResolveAttempts) -> AttemptStates | None:
        """Say what became of attempts; one never seen will never start."""
        if _lacks(message, "job", "epoch", "attempts"):
            return None
        state, now_ms = self._rim.gate_state(), self._clock()
        ids = [AttemptId(key.task, key.attempt) for key in message.attempts]
        if message.agent_incarnation != state.incarnation or message.target != state.target:
            lost = Outcome(TaskState.MAY_HAVE_RUN, Reason.AGENT_LOST)
            return self._state_attempts(message.job, [(attempt_id, lost) for attempt_id in ids])
        self.ledger.claim(message.job, sender, message.epoch, now_ms, use_reserve=True)
        states = []
        for attempt_id in ids:
            known = self.ledger.find(message.job, attempt_id)
            if known is None:
                known = self.ledger.refuse(message.job, attempt_id, Reason.NONE, now_ms)
            states.append((attempt_id, known))
        return self._state_attempts(message.job, states)

    def fence_job(self, message: FenceJob) -> AttemptStates | None:
        """Accept no lower epoch for the job and say all that is known of it.

        Returns
        -------
        AttemptStates or None
            None if the epoch itself is too low or can't be recorded: then nothing may be concluded.
        """
        state = self._rim.gate_state()
        if _lacks(message, "job", "epoch", "owner") or message.target != state.target:
            return None
        now_ms = self._clock()
        if not self.ledger.claim(
            message.job, message.owner, message.epoch, now_ms, use_reserve=True
        ):
            return None
        return self._state_attempts(message.job, self.ledger.attempts(message.job))

    def stop_tasks(self, message: StopTasks) -> None:
        """Stop started tasks; an empty list of tasks stops the job and its later starts."""
        if _lacks(message, "job", "epoch", "tasks"):
            return
        if self.ledger.is_fenced(message.job, message.epoch):
            return
        if not message.tasks:
            self.ledger.cancel_job(message.job)
        self.runs.stop(message.job, message.tasks, Reason.CANCELLED)

    def want_slots(self, sender: str, message: SlotWant) -> None:
        """Register an entry's need of slots."""
        if message.agent_incarnation == self._rim.gate_state().incarnation:
            self._want(sender, message.want or 0)
            if not message.want:
                self.slots.forget(sender)
                self.outbox.request_flush()

    def list_ledger(self) -> LedgerMessage:
        """Return the jobs of the ledger for the rebuilding of claims."""
        state = self._rim.gate_state()
        jobs = [LedgerJob(job, owner, epoch) for job, owner, epoch in self.ledger.jobs()]
        return LedgerMessage(state.target, state.incarnation, self._ledger_age_ms(), jobs)

    # ---- other events ----

    def forget_entry(self, entry: str) -> None:
        """Withdraw the slots of an entry whose link is lost or new; its tasks go on."""
        self.slots.forget(entry)
        self._received.pop(entry, None)
        self.outbox.request_flush()

    def tick(self) -> None:
        """Drop what has expired and hand out free slots; to be called regularly."""
        now_ms = self._clock()
        self.ledger.expire(now_ms)
        self.slots.expire(now_ms)
        self.outbox.request_flush()

    def load(self, entry: str) -> Load:
        """Return the present load as told to `entry`."""
        return self._make_load(entry, self._rim.gate_state())

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

    # ---- answers ----

    def _want(self, entry: str, count: int) -> None:
        self.slots.want(entry, count)
        if count > 0:
            self.outbox.request_flush()

    def _state_attempts(self, job: str, states: list[tuple[AttemptId, Outcome]]) -> AttemptStates:
        state = self._rim.gate_state()
        outcomes = [make_task_outcome(attempt_id, outcome) for attempt_id, outcome in states]
        return AttemptStates(job, state.target, state.incarnation, outcomes, self._ledger_age_ms())

    def _ledger_age_ms(self) -> int:
        return int(self._clock() - self._kept_since_ms)

    def _make_load(self, entry: str, state: GateState) -> Load:
        slots = self.slots
        return Load(
            target=state.target,
            slots=slots.count,
            free_slots=slots.free(),
            running=slots.running,
            accepting=find_closure(state) == Reason.NONE and not self.ledger.is_full(),
            received=self._received[entry],
        )

    def _deliver(self, batches: list[Batch]) -> None:
        state = self._rim.gate_state()
        is_open = find_closure(state) == Reason.NONE
        grants = self.slots.grant(self._clock()) if is_open else {}
        if not batches and not grants:
            return
        for batch in batches:
            self._send_batch(batch, state, grants.pop(batch.receiver, 0))
        for entry, granted in grants.items():
            load = self._make_load(entry, state)
            offer = SlotOffer(state.target, state.incarnation, granted, load)
            if not self._rim.send(entry, offer):
                self.slots.forget(entry)

    def _send_batch(self, batch: Batch, state: GateState, granted: int) -> None:
        load = self._make_load(batch.receiver, state)
        message = TaskOutcomes(
            batch.job, state.target, state.incarnation, batch.outcomes, load, granted
        )
        if self._rim.send(batch.receiver, message):
            return
        emit(OUTCOMES_NOT_SENT, entry=batch.receiver, job=batch.job)
        self.slots.forget(batch.receiver)


def _lacks(message: Any, *names: str) -> bool:
    """Return whether a message lacks one of these fields; such a message is ignored."""
    missing = [name for name in names if getattr(message, name) is None]
    if missing:
        emit(MESSAGE_INCOMPLETE, kind=type(message).__name__, missing=missing)
    return bool(missing)


def _is_whole(message: StartTasks) -> bool:
    if _lacks(message, "job", "owner", "epoch", "budget_ms", "tasks"):
        return False
    return not any(_lacks(start, "task", "attempt", "body") for start in message.tasks)
