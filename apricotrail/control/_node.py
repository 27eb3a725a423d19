"""One replica: protocol, storage and state machine, driven by messages, ticks and commands.

Everything received during one iteration of the event loop is written as one batch and synced once.
Appends are sent before the sync, so that the other replicas write at the same time; every other
message, and every answer, waits for it. The sync blocks the event loop: control is a process of
its own and has nothing else to do that a task would wait for.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from apricotrail.control._checks import (
    check_proposal,
    make_replaced_problem,
    make_stale_order_problem,
    make_unknown_outcome_problem,
)
from apricotrail.control._election import begin_transfer
from apricotrail.control._log import ReplicatedLog
from apricotrail.control._members import Members, make_replica_id
from apricotrail.control._orders import OrderLog, find_order_key
from apricotrail.control._protocol import mark_synced, receive, start_round_if_due, tick
from apricotrail.control._replica import ReplicaState, confirmation_age_ms
from apricotrail.control._replication import append_command
from apricotrail.control._requests import Outcome
from apricotrail.control._setup import NodeSetup
from apricotrail.control._snapshots import Snapshot
from apricotrail.control._state import StateMachine
from apricotrail.control._storage import FORMATION_INDEX, Storage
from apricotrail.control._transfer import commit_snapshot_if_held, reset_to_snapshot
from apricotrail.errors import Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.wire import decode_message, encode_message
from apricotrail.wire.generated.ttypes import ChangeMember, Command

__all__ = ["Node"]

FORMATION_TERM = 1
SNAPSHOT_RETRY_SHARE = 0.1  # of the entries between two snapshots

SNAPSHOT_POSTPONED = declare_event(
    3009,
    "snapshot_postponed",
    Level.ERROR,
    "There is no room on the disk for a snapshot, so the log goes on growing; it is tried again "
    "later. Free space on the disk.",
)

Answer = Result[Outcome, Problem]


class _Pending(NamedTuple):
    term: int
    on_answer: Callable[[Answer], None]


class Node:
    """One replica of the control log.

    A call of `receive`, `tick`, `propose` or `begin_transfer` changes the state in memory only;
    `flush` then writes, syncs, sends and applies.

    Parameters
    ----------
    setup : NodeSetup
        Dependencies and limits.

    Raises
    ------
    StorageError
        If the data folder is damaged.

    Attributes
    ----------
    machine : StateMachine
        Replicated state after the entry `applied_index`.
    replica : ReplicaState
        Protocol state.
    """

    def __init__(self, setup: NodeSetup) -> None:
        self.setup = setup
        self.storage = Storage(setup.files, setup.make_identity)
        stored = self.storage.load(setup.after_failure)
        self.replica_id = make_replica_id(setup.name, stored.identity)
        self.machine = StateMachine(setup.documents)
        self.applied_index = 0
        self.snapshot_index = 0
        self._snapshot_retry_index = 0
        self._pending: dict[int, _Pending] = {}
        self._orders = OrderLog()
        members: Members = {}
        snapshot = stored.snapshot
        if snapshot is not None:
            self.machine.restore(snapshot.payload)
            self.applied_index = self.snapshot_index = snapshot.index
            members = self.machine.members
        log = ReplicatedLog(
            _read_member_change,
            snapshot.index if snapshot is not None else 0,
            snapshot.term if snapshot is not None else 0,
            members,
            [entry for entry in stored.entries if entry.index > self.applied_index],
        )
        self.replica = ReplicaState(
            self.replica_id,
            log,
            stored.term,
            stored.vote,
            setup.timing,
            setup.random,
            setup.clock(),
            self._make_snapshot,
        )

    # ---- input ----

    @property
    def is_formed(self) -> bool:
        """Whether this replica belongs to a group: it knows the members of one."""
        return bool(self.replica.log.members)

    def form(self, members: Members) -> None:
        """Form a new group of `members`, all of which have empty data folders."""
        payload = StateMachine(self.setup.documents, members).export()
        snapshot = Snapshot(FORMATION_INDEX, FORMATION_TERM, payload)
        self.storage.add_term(FORMATION_TERM, "")
        self.replica.term = FORMATION_TERM
        self._install(snapshot)

    def receive(self, sender: str, message: Any) -> None:
        """Handle a protocol message; `flush` must follow."""
        receive(self.replica, sender, message, self.setup.clock())

    def tick(self) -> None:
        """Run what is due in the protocol; `flush` must follow."""
        tick(self.replica, self.setup.clock())

    def propose(
        self,
        command: Command,
        on_answer: Callable[[Answer], None],
        based_on: int | None = None,
    ) -> None:
        """Append a command to the log if this replica leads; `flush` must follow.

        A request that was answered before gets the same outcome again.

        Parameters
        ----------
        command : Command
            The command.
        on_answer : callable
            Called once: with the outcome when the command is committed, or with a problem.
        based_on : int or None
            For an order without a version, the index of the last entry that was applied where it
            came to; it is refused if a later one may be logged. None to log it in any case.
        """
        replica = self.replica
        replica.now_ms = self.setup.clock()
        known = self.machine.find_answer(command)
        if known is not None:
            on_answer(Success(known))
            return
        refusal = check_proposal(
            replica, command, len(self._pending), self.setup.limits.max_pending
        )
        if refusal is not None:
            on_answer(Failure(refusal))
            return
        term, key = (replica.term, replica.term_start_index), find_order_key(command)
        if key and based_on is not None and self._orders.is_stale(key, based_on, *term):
            on_answer(Failure(make_stale_order_problem()))
            return
        index = append_command(replica, encode_message(command))
        if key:
            self._orders.add(key, index, *term)
        self._add_pending(index, on_answer)

    def begin_transfer(self) -> bool:
        """Start to transfer leadership to another replica; `flush` must follow.

        Returns False if this replica does not lead or has no other voter.
        """
        self.replica.now_ms = self.setup.clock()
        return begin_transfer(self.replica)

    def flush(self) -> None:
        """Write, sync, send and apply until nothing is left to do.

        Raises
        ------
        StorageError
            If the disk failed; the replica must not be used any more.
        """
        while self._flush_once():
            pass

    def confirmation_age_ms(self) -> float:
        """Return the age in milliseconds of the last proof that the applied state is the newest."""
        self.replica.now_ms = self.setup.clock()
        self.replica.freshness.advance(self.applied_index)
        return confirmation_age_ms(self.replica, self.applied_index)

    def fail_pending(self) -> None:
        """Answer all pending commands with a problem: their outcome is unknown."""
        for pending in self._pending.values():
            pending.on_answer(Failure(make_unknown_outcome_problem()))
        self._pending.clear()

    def close(self) -> None:
        """Close the files and answer all pending commands with a problem."""
        self.fail_pending()
        self.storage.close()

    # ---- internals ----

    def _add_pending(self, index: int, on_answer: Callable[[Answer], None]) -> None:
        replaced = self._pending.pop(index, None)
        if replaced is not None:
            replaced.on_answer(Failure(make_replaced_problem()))
        self._pending[index] = _Pending(self.replica.term, on_answer)

    def _flush_once(self) -> bool:
        replica = self.replica
        start_round_if_due(replica)
        if replica.snapshot_to_install is not None:
            snapshot, replica.snapshot_to_install = replica.snapshot_to_install, None
            self._add_records()
            if not commit_snapshot_if_held(replica, snapshot.index, snapshot.term):
                self._install(snapshot)
        self._add_records()
        self._send_all(replica.messages_before_sync)
        synced = self.storage.commit()
        mark_synced(replica)
        self._send_all(replica.messages_after_sync)
        # The commit index is sent first, so that all replicas apply a large document at the same
        # time.
        start_round_if_due(replica)
        self._add_records()
        self._send_all(replica.messages_before_sync)
        applied = self._apply_committed()
        return synced or applied or replica.round_due or bool(replica.messages_after_sync)

    def _add_records(self) -> None:
        for write in self.replica.pending_writes:
            if isinstance(write, tuple):
                self.storage.add_term(*write)
            else:
                self.storage.add_entry(write)
        self.replica.pending_writes.clear()

    def _send_all(self, queue: list[tuple[str, Any]]) -> None:
        messages = queue[:]
        queue.clear()
        for peer, message in messages:
            self.setup.send(peer, message)

    def _apply_committed(self) -> bool:
        replica = self.replica
        version_before = self.machine.version
        applied_before = self.applied_index
        while self.applied_index < replica.commit_index:
            self.applied_index += 1
            entry = replica.log.entry_at(self.applied_index)
            outcome = self.machine.apply(entry.command)
            self._resolve(entry.index, entry.term, outcome)
        replica.freshness.advance(self.applied_index)
        if self.applied_index == applied_before:
            return False
        self._save_snapshot_if_due()
        if self.machine.version > version_before:
            self.setup.on_change()
        return True

    def _resolve(self, index: int, term: int, outcome: Outcome) -> None:
        pending = self._pending.pop(index, None)
        if pending is None:
            return
        if pending.term == term:
            pending.on_answer(Success(outcome))
            return
        pending.on_answer(Failure(make_replaced_problem()))

    def _save_snapshot_if_due(self) -> None:
        limits = self.setup.limits
        if self.applied_index < self._snapshot_retry_index:
            return
        if (
            self.applied_index - self.snapshot_index < limits.snapshot_entries
            and self.storage.log_bytes < limits.snapshot_log_bytes
        ):
            return
        self.save_snapshot()

    def save_snapshot(self) -> None:
        """Write a snapshot of the applied state and drop the entries it covers.

        The last `retained_entries` of them are kept. Does nothing if the log is already compacted
        up to the applied entry. If there is no room on the disk, it is tried again later.
        """
        log = self.replica.log
        index = self.applied_index
        if index <= log.base_index:
            return
        snapshot = self._make_snapshot()
        if snapshot is None:
            return
        base = max(log.base_index, index - self.setup.limits.retained_entries)
        if not self.storage.save_snapshot_if_room(snapshot, log.entries_from(base + 1)):
            self._postpone_snapshot()
            return
        log.compact(base)
        self.snapshot_index = index

    def _postpone_snapshot(self) -> None:
        pause_entries = max(1, int(self.setup.limits.snapshot_entries * SNAPSHOT_RETRY_SHARE))
        self._snapshot_retry_index = self.applied_index + pause_entries
        emit(SNAPSHOT_POSTPONED, index=self.applied_index, retry_index=self._snapshot_retry_index)

    def _install(self, snapshot: Snapshot) -> None:
        self.storage.save_snapshot(snapshot, [])
        version_before = self.machine.version
        self.machine.restore(snapshot.payload)
        reset_to_snapshot(self.replica, snapshot.index, snapshot.term, self.machine.members)
        self.applied_index = self.snapshot_index = snapshot.index
        self.replica.freshness.advance(snapshot.index)
        for index in [index for index in self._pending if index <= snapshot.index]:
            self._pending.pop(index).on_answer(Failure(make_unknown_outcome_problem()))
        if self.machine.version > version_before:
            self.setup.on_change()

    def _make_snapshot(self) -> Snapshot | None:
        index = self.applied_index
        term = self.replica.log.term_at(index)
        return Snapshot(index, term, self.machine.export()) if term is not None else None


def _read_member_change(command: bytes) -> ChangeMember | None:
    return decode_message(Command, command).change_member
