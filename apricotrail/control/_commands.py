"""Decides what each command does: checks it against the state and returns the changed items.

Nothing here alters the state; `StateMachine` applies what `decide_command` returns.
"""

import json
from base64 import b64encode
from collections.abc import Callable
from hashlib import sha256
from typing import TYPE_CHECKING, Any
from zlib import decompress
from zlib import error as zlib_error

from returns.result import Failure, Result, Success

from apricotrail.control._changes import Change, NewDocument, Refusal
from apricotrail.errors import ErrorKind, Problem
from apricotrail.wire.generated.ttypes import (
    AssignHost,
    Command,
    InstallView,
    PutDocument,
    PutQueues,
    SetTargetState,
    SetZoneState,
    ViewMember,
)

if TYPE_CHECKING:
    from apricotrail.control._state import StateMachine

__all__ = [
    "DOCUMENT_KEY",
    "MAX_DOCUMENT_BYTES",
    "QUEUES_KEY",
    "QUEUES_SOURCE_KEY",
    "decide_command",
    "encode_json",
]

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_ITEMS_PER_KIND = 65_536
MAX_VIEW_MEMBERS = 256
MAX_PREVIOUS_VIEWS = 8
DOCUMENT_KEY = "document"
QUEUES_KEY = "queues"
QUEUES_SOURCE_KEY = "source/queues"
_QUEUE_PREFIXES = ("queue/", "pool/")
_DOCUMENT_PREFIXES = ("service/", "zone/", "target/", "team/")
_READ_AGAIN = "Read the present state and decide again."

Decision = Result[Change, Refusal]


def encode_json(value: Any) -> bytes:
    """Return compact JSON with sorted keys."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()


def decide_command(state: "StateMachine", command: Command) -> Decision:
    """Return the effect of `command` on `state`, or why it is refused; `state` is not altered."""
    for field, decide in _DECIDERS.items():
        body = getattr(command, field)
        if body is not None:
            return decide(state, command, body)
    return _refuse(ErrorKind.MALFORMED, "The command names no change.", "Upgrade this replica.")


def _decide_document(state: "StateMachine", command: Command, put: PutDocument) -> Decision:
    text = put.text or b""
    digest = sha256(text).digest()
    if put.sha256 and put.sha256 != digest:
        return _refuse(ErrorKind.MALFORMED, "The digest is not that of the text.", "Send it again.")
    if len(text) > MAX_DOCUMENT_BYTES:
        message = f"The document has {len(text)} bytes, over {MAX_DOCUMENT_BYTES}."
        return _refuse(ErrorKind.TOO_LARGE, message, "Split the environment.")
    conflict = _find_conflict(state, command, DOCUMENT_KEY)
    if conflict is not None:
        return Failure(conflict)
    if state.history and state.history[-1].sha256 == digest.hex():
        return Success(Change({}))
    parsed = state.documents.parse(text)
    if not isinstance(parsed, Success):
        return Failure(_refuse_document(parsed.failure()))
    document = parsed.unwrap()
    problems = state.documents.check_succession(state.document, document)
    if problems:
        return Failure(_refuse_document(problems))
    number = state.history[-1].number + 1 if state.history else 1
    new = NewDocument(number, digest.hex(), text, document)
    return Success(Change(_list_items(state, command, new), DOCUMENT_KEY, new.sha256, new))


def _list_items(state: "StateMachine", command: Command, new: NewDocument) -> dict:
    items: dict[str, bytes | None] = {
        key: None
        for key in state.configuration.items()
        if key.startswith(_DOCUMENT_PREFIXES) or key == "schemes"
    }
    items.update(state.documents.make_items(new.parsed))
    items[DOCUMENT_KEY] = encode_json(
        {
            "number": new.number,
            "sha256": new.sha256,
            "author": command.author or "",
            "wall_ms": command.wall_ms or 0,
        }
    )
    return items


def _decide_zone(state: "StateMachine", command: Command, change: SetZoneState) -> Decision:
    value = None if change.in_service else {"in_service": False}
    return _decide_state_item(state, command, "zone", change.zone, value)


def _decide_target(state: "StateMachine", command: Command, change: SetTargetState) -> Decision:
    value = {"leaving": True} if change.leaving else None
    return _decide_state_item(state, command, "target", change.target, value)


def _decide_state_item(
    state: "StateMachine", command: Command, kind: str, name: str, value: dict | None
) -> Decision:
    key = f"{kind}-state/{name}"
    find = state.configuration.find
    # With queues and without a document no names are known; any zone or target is accepted.
    checks_names = find(DOCUMENT_KEY) is not None or find(QUEUES_KEY) is None
    if checks_names and find(f"{kind}/{name}") is None and find(key) is None:
        message = f"The document has no {kind} {name!r}."
        return _refuse(ErrorKind.UNKNOWN_NAME, message, f"Name a {kind} of the present document.")
    conflict = _find_conflict(state, command, key)
    if conflict is not None:
        return Failure(conflict)
    if value is not None and find(key) is None and _is_full(state, f"{kind}-state"):
        message = f"{MAX_ITEMS_PER_KIND} states of this kind are set."
        return _refuse(ErrorKind.OVERLOADED, message, f"Reset the states of {kind}s that are gone.")
    encoded = encode_json(value) if value is not None else None
    return Success(Change({key: encoded}, key, sha256(encoded or b"").hexdigest()))


def _decide_queues(state: "StateMachine", command: Command, put: PutQueues) -> Decision:
    """Accept queues of a higher version; those of the current or a lower one change nothing."""
    current = state.read_item(QUEUES_KEY) or {"version": 0}
    if (put.version or 0) <= current["version"]:
        return Success(Change({}))
    try:
        document = json.loads(decompress(put.document or b""))
    except (ValueError, zlib_error) as error:
        message = f"The queues can't be read: {error}."
        return _refuse(ErrorKind.MALFORMED, message, "Send them again as whole JSON.")
    items: dict[str, bytes | None] = {
        key: None for key in state.configuration.items() if key.startswith(_QUEUE_PREFIXES)
    }
    items.update({key: encode_json(value) for key, value in document.items()})
    items[QUEUES_KEY] = encode_json({"version": put.version})
    items[QUEUES_SOURCE_KEY] = encode_json(b64encode(put.source or b"").decode())
    return Success(Change(items))


def _decide_view(state: "StateMachine", command: Command, view: InstallView) -> Decision:
    current = state.read_item("view") or {"epoch": 0, "members": []}
    if view.epoch != current["epoch"] + 1:
        message = f"The view has epoch {current['epoch']}; {view.epoch} does not follow it."
        return _refuse(ErrorKind.CONFLICT, message, _READ_AGAIN)
    if len(view.members or []) > MAX_VIEW_MEMBERS:
        message = f"A view has at most {MAX_VIEW_MEMBERS} members."
        return _refuse(ErrorKind.TOO_LARGE, message, "Run fewer entries.")
    value = {
        "epoch": view.epoch,
        "members": [_describe_view_member(member) for member in view.members or []],
        "lost_wall_ms": max(current.get("lost_wall_ms", 0), view.lost_wall_ms or 0),
        "previous": _list_previous_views(current),
    }
    return Success(Change({"view": encode_json(value)}))


def _list_previous_views(current: dict) -> list[dict]:
    """Return the views before the next one, newest last and without their own previous views."""
    if not current["epoch"]:
        return []
    former = {key: value for key, value in current.items() if key != "previous"}
    return [*current.get("previous", []), former][-MAX_PREVIOUS_VIEWS:]


def _describe_view_member(member: ViewMember) -> dict:
    return {
        "name": member.name,
        "incarnation": member.incarnation,
        "zone": member.zone,
        "address": member.address,
    }


def _decide_host(state: "StateMachine", command: Command, host: AssignHost) -> Decision:
    key = f"host/{host.target}"
    current = state.read_item(key)
    if state.configuration.find(f"target/{host.target}") is None:
        message = f"The document has no target {host.target!r}."
        return _refuse(ErrorKind.UNKNOWN_NAME, message, "Name a target of the present document.")
    if current is None and _is_full(state, "host"):
        return _refuse(
            ErrorKind.OVERLOADED, f"{MAX_ITEMS_PER_KIND} hosts are assigned.", "Use agents."
        )
    epoch = current["epoch"] if current is not None else 0
    if host.epoch != epoch + 1:
        message = f"The host has epoch {epoch}; {host.epoch} does not follow it."
        return _refuse(ErrorKind.CONFLICT, message, _READ_AGAIN)
    view = state.read_item("view") or {"members": []}
    members = {(member["name"], member["incarnation"]) for member in view["members"]}
    proposer = (host.entry, host.incarnation)
    if proposer not in members:
        message = f"Entry {host.entry!r} with this incarnation is not in the view."
        return _refuse(ErrorKind.NOT_READY, message, "Wait until the entry has joined the view.")
    holder = (current["entry"], current["incarnation"]) if current is not None else None
    released = holder is not None and holder == (host.released_by, host.released_by_incarnation)
    if holder in members and holder != proposer and not released:
        message = f"Entry {holder[0]!r} hosts {host.target!r}."
        return _refuse(ErrorKind.CONFLICT, message, "Wait until that entry has left the view.")
    value = {"entry": host.entry, "incarnation": host.incarnation, "epoch": host.epoch}
    if released:
        value["released"] = True
    return Success(Change({key: encode_json(value)}))


def _find_conflict(state: "StateMachine", command: Command, key: str) -> Refusal | None:
    if command.expect is None:
        return None
    if command.expect > state.version:
        message = f"Version {command.expect} does not exist; the newest is {state.version}."
        return Refusal(Problem(ErrorKind.CONFLICT, message, _READ_AGAIN))
    last = state.last_changes.get(key)
    if last is None or last.version <= command.expect:
        return None
    message = (
        f"{key} was changed in version {last.version}, after {command.expect}, by {last.author!r}."
    )
    remedy = "Compare with the winner's change, then propose on top of it or give yours up."
    winner = {
        "version": last.version,
        "author": last.author,
        "wall_ms": last.wall_ms,
        "sha256": last.sha256,
    }
    return Refusal(Problem(ErrorKind.CONFLICT, message, remedy), {"winner": winner})


def _is_full(state: "StateMachine", kind: str) -> bool:
    return state.item_counts[kind] >= MAX_ITEMS_PER_KIND


def _refuse_document(problems: tuple[Problem, ...]) -> Refusal:
    first = problems[0]
    message = f"The document has {len(problems)} problems; the first: {first.message}"
    listed = [
        {"kind": problem.kind.value, "message": problem.message, "remedy": problem.remedy}
        for problem in problems
    ]
    return Refusal(Problem(first.kind, message, first.remedy), {"problems": listed})


def _refuse(kind: ErrorKind, message: str, remedy: str) -> Decision:
    return Failure(Refusal(Problem(kind, message, remedy)))


_DECIDERS: dict[str, Callable[["StateMachine", Command, Any], Decision]] = {
    "put_document": _decide_document,
    "put_queues": _decide_queues,
    "set_zone_state": _decide_zone,
    "set_target_state": _decide_target,
    "install_view": _decide_view,
    "assign_host": _decide_host,
}
