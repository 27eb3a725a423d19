"""Deterministic state machine of the control log.

The state consists of documents, queues, zone and target states, the entry view, hosts and members.
Every replica applies the same commands in the same order and so holds the same state. An accepted
command that changes configuration items gets the next version. A refused command changes nothing
but the table of first answers.
"""

import json
from base64 import b64decode, b64encode
from collections import Counter, deque
from hashlib import sha256
from typing import Any

from returns.result import Success

from apricotrail.control._changes import (
    DocumentFunctions,
    DocumentRecord,
    KeyChange,
    NewDocument,
    Refusal,
)
from apricotrail.control._commands import decide_command, encode_json
from apricotrail.control._members import Member, Members, apply_member_change
from apricotrail.control._requests import Outcome, RequestTable
from apricotrail.errors import ErrorKind, Problem
from apricotrail.membership import Configuration
from apricotrail.wire import decode_message, encode_message
from apricotrail.wire.generated.ttypes import (
    ChangeMember,
    Command,
    ConfigurationChange,
    ConfigurationItem,
)

__all__ = [
    "MAX_DOCUMENT_TEXTS",
    "MAX_HISTORY",
    "MAX_TEXT_BYTES",
    "StateMachine",
    "read_members",
]

MAX_HISTORY = 1_000
MAX_DOCUMENT_TEXTS = 16
MAX_REMOVED_IDS = 256
MAX_JOINED_IDS = 512
MAX_TEXT_BYTES = 8 * 1024 * 1024
EMPTY_OUTCOME = Outcome(True, 0, b"{}")


class StateMachine:
    """State after a prefix of the log has been applied.

    Parameters
    ----------
    documents : DocumentFunctions
        Functions that parse and check documents.
    members : dict, optional
        Initial replicas of the group.

    Attributes
    ----------
    configuration : Configuration
        Items with their versions.
    members : dict
        Replicas by id.
    history : deque of DocumentRecord
        Accepted documents, oldest first, at most `MAX_HISTORY`.
    texts : dict of int to bytes
        Exact bytes of the newest documents by number, at most `MAX_DOCUMENT_TEXTS` of them and
        `MAX_TEXT_BYTES` in total; the newest always stays.
    removed : list of str
        Ids of the replicas removed last, at most `MAX_REMOVED_IDS`; unless the group is open, the
        leader doesn't take them in again by itself.
    joined : list of str
        Ids of the replicas in the order in which they first joined, the members of the formation
        first; at most `MAX_JOINED_IDS`.
    item_counts : Counter
        Number of present items by kind, the part of the key before the slash.
    log_ms : int
        Highest wall time of any command, in milliseconds.
    """

    def __init__(self, documents: DocumentFunctions, members: Members | None = None) -> None:
        self.documents = documents
        self.members: Members = dict(members or {})
        self.removed: list[str] = []
        self.joined: list[str] = sorted(self.members)
        self.item_counts: Counter[str] = Counter()
        self.configuration = Configuration()
        self.history: deque[DocumentRecord] = deque(maxlen=MAX_HISTORY)
        self.texts: dict[int, bytes] = {}
        self.document: Any = None
        self.log_ms = 0
        self.last_changes: dict[str, KeyChange] = {}
        self.requests = RequestTable()

    @property
    def version(self) -> int:
        """Configuration version."""
        return self.configuration.version

    def read_item(self, key: str) -> Any:
        """Return the JSON value of an item, or None."""
        value = self.configuration.find(key)
        return json.loads(value) if value is not None else None

    def apply(self, command_bytes: bytes) -> Outcome:
        """Apply one log entry; an empty one has no effect."""
        if not command_bytes:
            return EMPTY_OUTCOME
        command = decode_message(Command, command_bytes)
        self.log_ms = max(self.log_ms, command.wall_ms or 0)
        digest = digest_command(command)
        known = self.find_answer(command)
        if known is not None:
            return known
        outcome = self._execute(command)
        if command.request_id:
            self.requests.add(command.request_id, digest, outcome, self.log_ms)
        return outcome

    def find_answer(self, command: Command) -> Outcome | None:
        """Return the first answer to a command's request id, or None if it is new."""
        found = self.requests.find(command.request_id) if command.request_id else None
        if found is None:
            return None
        digest, outcome = found
        if digest == digest_command(command):
            return outcome
        message = f"The request id {command.request_id!r} belongs to another command."
        remedy = "Send a new command under a new request id."
        return self._refuse(Refusal(Problem(ErrorKind.BODY_MISMATCH, message, remedy), {}))

    def export(self) -> bytes:
        """Return the whole state as JSON; equal states give equal bytes."""
        items = self.configuration.items()
        state = {
            "version": self.version,
            "log_ms": self.log_ms,
            "items": {key: value.decode() for key, value in sorted(items.items())},
            "members": {key: list(member) for key, member in sorted(self.members.items())},
            "removed": self.removed,
            "joined": self.joined,
            "history": [list(record) for record in self.history],
            "texts": [[number, b64encode(text).decode()] for number, text in self.texts.items()],
            "last_changes": {key: list(it) for key, it in sorted(self.last_changes.items())},
            "requests": self.requests.export(),
        }
        return json.dumps(state, separators=(",", ":")).encode()

    def restore(self, payload: bytes) -> None:
        """Replace the state by one that `export` returned."""
        state = json.loads(payload)
        items = [ConfigurationItem(key, value.encode()) for key, value in state["items"].items()]
        self.configuration = Configuration()
        self.configuration.apply(ConfigurationChange(0, state["version"], items))
        self.item_counts = Counter(_read_item_kind(key) for key in state["items"])
        self.members = _decode_members(state)
        self.removed = state["removed"]
        # Releases before the field knew no order.
        self.joined = state.get("joined", [])
        self.history = deque((DocumentRecord(*row) for row in state["history"]), MAX_HISTORY)
        self.texts = {number: b64decode(text) for number, text in state["texts"]}
        self.log_ms = state["log_ms"]
        self.last_changes = {key: KeyChange(*row) for key, row in state["last_changes"].items()}
        self.requests.restore(state["requests"])
        newest = self.texts[self.history[-1].number] if self.history else None
        self.document = self.documents.parse(newest).unwrap() if newest is not None else None

    def _execute(self, command: Command) -> Outcome:
        if command.change_member is not None:
            self._change_members(command.change_member)
            return Outcome(True, self.version, encode_json({"version": self.version}))
        result = decide_command(self, command)
        if not isinstance(result, Success):
            return self._refuse(result.failure())
        change = result.unwrap()
        changed = self._put_items(change.items)
        if changed and change.key:
            author, wall_ms = command.author or "", command.wall_ms or 0
            self.last_changes[change.key] = KeyChange(self.version, author, wall_ms, change.sha256)
        if change.document is not None:
            self._put_document(change.document, command)
        answer = {"version": self.version, "changed": changed}
        if command.put_document is not None:
            answer["document"] = self.read_item("document")
        return Outcome(True, self.version, encode_json(answer))

    def _change_members(self, change: ChangeMember) -> None:
        before = self.members
        self.members = apply_member_change(before, change)
        removed_ids = [key for key in before if key not in self.members]
        self.removed = [*self.removed, *removed_ids][-MAX_REMOVED_IDS:]
        newcomers = [key for key in self.members if key not in before and key not in self.joined]
        self.joined = [*self.joined, *newcomers][-MAX_JOINED_IDS:]

    def _put_items(self, items: dict[str, bytes | None]) -> bool:
        find = self.configuration.find
        changed = [
            ConfigurationItem(key, value) for key, value in items.items() if find(key) != value
        ]
        if not changed:
            return False
        for item in changed:
            delta = int(item.value is not None) - int(find(item.key) is not None)
            self.item_counts[_read_item_kind(item.key)] += delta
        version = self.version
        self.configuration.apply(ConfigurationChange(version, version + 1, changed))
        return True

    def _put_document(self, new: NewDocument, command: Command) -> None:
        author, wall_ms = command.author or "", command.wall_ms or 0
        self.document = new.parsed
        self.history.append(DocumentRecord(new.number, new.sha256, author, wall_ms, self.version))
        self.texts[new.number] = new.text
        while len(self.texts) > 1 and (
            len(self.texts) > MAX_DOCUMENT_TEXTS
            or sum(map(len, self.texts.values())) > MAX_TEXT_BYTES
        ):
            del self.texts[min(self.texts)]

    def _refuse(self, refusal: Refusal) -> Outcome:
        kind, message, remedy = refusal.problem
        answer = {"kind": kind.value, "message": message, "remedy": remedy, **refusal.details}
        return Outcome(False, self.version, encode_json({**answer, "version": self.version}))


def _read_item_kind(key: str) -> str:
    return key.partition("/")[0]


def digest_command(command: Command) -> str:
    """Return a SHA-256 digest of a command without its wall time, which differs in each resend."""
    wall_ms, command.wall_ms = command.wall_ms, None
    try:
        return sha256(encode_message(command)).hexdigest()
    finally:
        command.wall_ms = wall_ms


def read_members(payload: bytes) -> Members:
    """Return the replicas in an exported state."""
    return _decode_members(json.loads(payload))


def _decode_members(state: dict[str, Any]) -> Members:
    return {key: Member(*row) for key, row in state["members"].items()}
