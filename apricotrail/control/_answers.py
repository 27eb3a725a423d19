"""Answers status requests: status, history, a document, metrics, whether a version is in force.

A version is in force once no task can start under an older one: either all entries confirmed it for
themselves and their agents, or it has been committed for longer than the age of the configuration
from which a process starts no task.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from returns.result import Success

from apricotrail.clocks import monotonic_ms
from apricotrail.control._commands import encode_json
from apricotrail.control._formation import FORMATION_STATUS
from apricotrail.control._service import ControlService
from apricotrail.membership import read_view, replica_name
from apricotrail.wire import Link
from apricotrail.wire.generated.ttypes import StatusReply, StatusRequest

__all__ = ["StatusRouter"]

POLL_MS = 20
FORWARD_TIMEOUT_MS = 4_000
STATUS_ENTRY_WINDOW_MS = 10_000
_LEADER_QUESTIONS = frozenset({"status", "history", "document", "forced"})


class StatusRouter:
    """Answers `StatusRequest`.

    Parameters
    ----------
    service : ControlService
        The replica and its links.
    render_metrics : callable
        Returns the metrics as text.
    """

    def __init__(self, service: ControlService, render_metrics: Callable[[], bytes]) -> None:
        self._service = service
        self._render_metrics = render_metrics

    async def answer(self, link: Link, request: StatusRequest) -> StatusReply:
        """Answer here, or forward a question that needs the newest state to the leader.

        If the leader does not answer, this replica does, from its own state.
        """
        leader = self._service.leader_link
        if request.what in _LEADER_QUESTIONS and leader is not None and link.peer.role != "control":
            reply = await leader.call(request, FORWARD_TIMEOUT_MS)
            if isinstance(reply, Success):
                return reply.unwrap()
        return StatusReply(await self._answer_here(request))

    async def _answer_here(self, request: StatusRequest) -> bytes:
        if request.what in ("status", "replica"):
            return encode_json(self.describe())
        if request.what == "metrics":
            return self._render_metrics()
        if request.what == FORMATION_STATUS:
            return encode_json({"formed": self._service.node.is_formed})
        if request.what == "history":
            history = self._service.node.machine.history
            return encode_json([record._asdict() for record in history])
        if request.what == "document":
            return self._find_document(request.number or 0)
        if request.what == "forced":
            return encode_json(await self._wait_until_in_force(request.number or 0))
        remedy = "Ask for status, replica, history, document, forced or metrics."
        problem = {"kind": "malformed", "message": "Unknown question.", "remedy": remedy}
        return encode_json(problem)

    def describe(self) -> dict[str, Any]:
        """Return the status of this replica as JSON values."""
        node = self._service.node
        replica, machine = node.replica, node.machine
        now_ms = monotonic_ms()
        return {
            "replica": node.replica_id,
            "role": replica.role.value,
            "leader": replica.leader,
            "term": replica.term,
            "commit_index": replica.commit_index,
            "applied_index": node.applied_index,
            "snapshot_index": node.snapshot_index,
            "log_bytes": node.storage.log_bytes,
            "version": machine.version,
            "config_age_ms": int(node.confirmation_age_ms()),
            "document": machine.read_item("document"),
            "view": machine.read_item("view"),
            "zones_out": _list_states(machine.configuration.items(), "zone-state/"),
            "targets_leaving": _list_states(machine.configuration.items(), "target-state/"),
            "members": [self._describe_replica(key) for key in sorted(replica.log.members)],
            "links": [
                {
                    "name": link.peer.name,
                    "sent_bytes": link.sent_bytes,
                    "received_bytes": link.received_bytes,
                }
                for link in self._service.endpoint.links.values()
            ],
            "entries": [
                entry._replace(heard_ms=now_ms - entry.heard_ms)._asdict()
                for entry in self._service.entries.heard_within(now_ms, STATUS_ENTRY_WINDOW_MS)
            ],
        }

    def _describe_replica(self, replica_id: str) -> dict[str, Any]:
        node = self._service.node
        member = node.replica.log.members[replica_id]
        progress = node.replica.progress.get(replica_id)
        linked = replica_id == node.replica_id or replica_id in self._service.endpoint.links
        return {
            "id": replica_id,
            "name": replica_name(replica_id),
            "address": member.address,
            "voter": member.voter,
            "linked": linked,
            "match_index": progress.match_index if progress is not None else None,
        }

    def _find_document(self, number: int) -> bytes:
        machine = self._service.node.machine
        wanted = number or (machine.history[-1].number if machine.history else 0)
        return machine.texts.get(wanted, b"")

    async def _wait_until_in_force(self, version: int) -> dict[str, Any]:
        service = self._service
        asked_ms = monotonic_ms()
        stale_ms = service.parts.stale_ms
        while True:
            now_ms = monotonic_ms()
            known = service.node.machine.version >= version
            behind = self._list_behind(version, now_ms)
            if known and not behind:
                return _describe_in_force(version, True, "confirmed", now_ms - asked_ms, behind)
            since_ms = service.committed_ms.get(version, asked_ms)
            if now_ms - since_ms > stale_ms:
                how = "stale_limit" if known else "unknown_version"
                return _describe_in_force(version, known, how, now_ms - asked_ms, behind)
            await asyncio.sleep(POLL_MS / 1000)

    def _list_behind(self, version: int, now_ms: float) -> list[str]:
        """Return the entries that may still use an older version.

        Members of the view count, and entries that are linked now or sent a heartbeat within the
        stale limit, unless they confirmed `version`.
        """
        service = self._service
        view = read_view(service.node.machine.configuration.find("view"))
        processes = {(member.name, member.incarnation) for member in view.members}
        for entry in service.entries.heard_within(now_ms, service.parts.stale_ms):
            processes.add((entry.name, entry.incarnation))
        for link in service.entry_links():
            processes.add((link.peer.name, link.peer.incarnation))
        behind = []
        for name, incarnation in sorted(processes):
            entry = service.entries.find(name, incarnation)
            if entry is None or entry.confirmed_version < version:
                behind.append(name)
        return behind


def _list_states(items: dict[str, bytes], prefix: str) -> list[str]:
    return sorted(key[len(prefix) :] for key in items if key.startswith(prefix))


def _describe_in_force(
    version: int, in_force: bool, how: str, waited_ms: float, behind: list[str]
) -> dict[str, Any]:
    return {
        "version": version,
        "in_force": in_force,
        "how": how,
        "waited_ms": round(waited_ms),
        "behind": behind,
    }
