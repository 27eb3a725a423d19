"""A control replica as a process: links, loops, pushes to entries and the view's upkeep."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from returns.result import Result

from apricotrail.clocks import monotonic_ms, wall_ms
from apricotrail.control._entries import EntryTable
from apricotrail.control._files import StorageError
from apricotrail.control._members import replica_name
from apricotrail.control._node import Node
from apricotrail.control._protocol import MESSAGE_TYPES, wait_ms
from apricotrail.control._requests import Outcome
from apricotrail.control._upkeep import Upkeep, decide_upkeep
from apricotrail.errors import Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.metrics import ControlMetrics
from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    Command,
    ConfigurationChange,
    ConfigurationRequest,
    Heartbeat,
    NodeList,
)

__all__ = ["ControlService", "ServiceParts"]

OVERSEE_MS = 250
MAX_COMMIT_TIMES = 1_024
REPLACE_MS = 12_000  # above the outages that a replica with its disk usually returns from
CONFIRMED_MS = 1_500  # under the two seconds in which a change has to be in force
MAX_LISTED_NODES = 4_096
_LISTED_ROLES = frozenset({"control", "dispatcher", "runner"})

CONTROL_STOPPED = declare_event(
    3001, "control_storage_failed", Level.ERROR, "The disk failed; this replica has stopped."
)
LEADER_CHANGED = declare_event(
    3004, "leader_changed", Level.INFO, "This replica follows another leader, or none, or leads."
)
CONTROL_LOOP_FAILED = declare_event(
    3005, "control_loop_failed", Level.ERROR, "A periodic step of control failed."
)
CONTROL_FORMED = declare_event(
    3006, "control_formed", Level.INFO, "A new control group was founded on empty folders."
)


class ServiceParts(NamedTuple):
    """What a service is made of.

    Attributes
    ----------
    endpoint : LinkEndpoint
        Links of this process.
    node : Node
        Replica.
    peers : dict of str to str
        Addresses by replica name, from the settings.
    entry_silent_ms : float
        Silence after which an entry leaves the view.
    stale_ms : float
        Age from which a node starts no task.
    metrics : ControlMetrics
        Instruments of this replica.
    open_group : bool
        Whether every linked replica may join and one that is gone for good is replaced.
    may_found : bool
        Whether this replica may found a group.
    """

    endpoint: LinkEndpoint
    node: Node
    peers: dict[str, str]
    entry_silent_ms: float
    stale_ms: float
    metrics: ControlMetrics
    open_group: bool = False
    may_found: bool = True


class ControlService:
    """Runs one replica on its links.

    Parameters
    ----------
    parts : ServiceParts
        Links, replica and limits.

    Attributes
    ----------
    entries : EntryTable
        Entries heard by this replica.
    committed_ms : dict of int to float
        Own monotonic time at which each recent version was seen committed here.
    failed : asyncio.Event
        Set once the disk has failed.
    """

    def __init__(self, parts: ServiceParts) -> None:
        self.parts = parts
        self.endpoint = parts.endpoint
        self.node = parts.node
        self.entries = EntryTable()
        self.committed_ms: dict[int, float] = {}
        self.failed = asyncio.Event()
        self._pushed_version = parts.node.machine.version
        self._flush_due = False
        self._proposing = False
        self._leader = ""
        self._leading_since_ms: float | None = None
        self._closing: asyncio.Future | None = None
        self._linked_ms: dict[str, float] = {}
        self._followers: dict[Link, tuple[str, ...]] = {}
        self._unanswered: dict[Link, ConfigurationRequest] = {}
        self._nodes_due = False

    def connect(self) -> None:
        """Register the handlers of the links."""
        endpoint = self.endpoint
        for type_ in MESSAGE_TYPES:
            endpoint.on(type_, self._receive_protocol)
        endpoint.on(ConfigurationRequest, self._answer_configuration)
        endpoint.on(NodeList, self._learn_nodes)
        endpoint.state_heartbeat = self._state_heartbeat
        endpoint.receive_heartbeat = self._receive_heartbeat
        endpoint.on_up(self._link_up)
        endpoint.on_down(self._link_down)

    # ---- replica ----

    @property
    def leader_link(self) -> Link | None:
        """Link to the present leader, if it is another replica."""
        leader = self.node.replica.leader
        return self.endpoint.links.get(leader) if leader != self.node.replica_id else None

    def send(self, replica_id: str, message: Any) -> None:
        """Send a protocol message; it is lost if there is no link."""
        link = self.endpoint.links.get(replica_id)
        if link is not None:
            link.send(message)

    def flush_soon(self) -> None:
        """Write, sync and send at the end of this pass of the loop."""
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write, sync and send now; a failed disk stops the replica."""
        self._flush_due = False
        if self.failed.is_set():
            return
        applied, snapshot = self.node.applied_index, self.node.snapshot_index
        try:
            self.node.flush()
        except StorageError as error:
            self.fail(error)
        self.parts.metrics.commits.add(self.node.applied_index - applied)
        self.parts.metrics.snapshots.add(int(self.node.snapshot_index > snapshot))
        self._note_leader()

    def fail(self, error: StorageError) -> None:
        """Stop for good: what the disk holds is unknown."""
        emit(CONTROL_STOPPED, problem=str(error.problem))
        self.failed.set()
        self.node.abandon()
        self._closing = asyncio.ensure_future(self.endpoint.stop())

    async def propose(self, command: Command) -> Result[Outcome, Problem]:
        """Log a command on this replica, which must lead, and wait for its outcome."""
        future: asyncio.Future = asyncio.get_running_loop().create_future()

        def done(result: Result[Outcome, Problem]) -> None:
            if not future.done():
                future.set_result(result)

        command.wall_ms = wall_ms()
        started_ms = monotonic_ms()
        self.node.propose(command, done)
        self.flush_soon()
        result = await future
        self.parts.metrics.commit_ms.observe(monotonic_ms() - started_ms)
        return result

    def on_change(self) -> None:
        """Note the commit time and push what changed to every entry."""
        machine = self.node.machine
        now_ms = monotonic_ms()
        for version in range(self._pushed_version + 1, machine.version + 1):
            self.committed_ms[version] = now_ms
        while len(self.committed_ms) > MAX_COMMIT_TIMES:
            del self.committed_ms[min(self.committed_ms)]
        change = machine.configuration.changes_since(self._pushed_version)
        self._pushed_version = machine.version
        for link in self.entry_links():
            link.send(change)
        for link, prefixes in self._followers.items():
            link.send(_select_items(change, prefixes))

    def entry_links(self) -> list[Link]:
        """Return the links to entries."""
        return [link for link in self.endpoint.links.values() if link.peer.role == "entry"]

    def upkeep(self) -> Upkeep:
        """Return what the leader's next own command depends on."""
        links = self.endpoint.links.items()
        now_ms = monotonic_ms()
        linked = {key: link.peer.address for key, link in links if link.peer.role == "control"}
        peers = self.parts.peers
        if self.parts.open_group:
            peers = {replica_name(key): address for key, address in linked.items()}
        since_ms = self._leading_since_ms
        silent_ms = self.parts.entry_silent_ms
        return Upkeep(
            self.node,
            linked,
            peers,
            self.entries.heard_within(now_ms, silent_ms),
            since_ms is not None and now_ms - since_ms >= silent_ms,
            self._find_gone(linked, now_ms) if self.parts.open_group else frozenset(),
            self.parts.open_group,
        )

    def _find_gone(self, linked: Mapping[str, str], now_ms: float) -> frozenset[str]:
        """Return the members without a link for `REPLACE_MS`, counted while this replica leads."""
        members = self.node.replica.log.members
        since_ms = self._leading_since_ms if self._leading_since_ms is not None else now_ms
        for replica_id in (*linked, self.node.replica_id):
            self._linked_ms[replica_id] = now_ms
        self._linked_ms = {key: at_ms for key, at_ms in self._linked_ms.items() if key in members}
        return frozenset(
            key
            for key in members
            if now_ms - max(since_ms, self._linked_ms.get(key, 0.0)) >= REPLACE_MS
        )

    # ---- loops ----

    async def tick_forever(self) -> None:
        """Drive the protocol's times."""
        while not self.failed.is_set():
            self._run_step(self._tick)
            pause_ms = wait_ms(self.node.replica, monotonic_ms())
            due_ms = monotonic_ms() + pause_ms
            await asyncio.sleep(pause_ms / 1000)
            self.parts.metrics.loop_lag_ms.observe(monotonic_ms() - due_ms)

    async def oversee_forever(self) -> None:
        """Keep the entry view and the replicas as they should be, on the leader."""
        while not self.failed.is_set():
            self._run_step(self._oversee)
            await asyncio.sleep(OVERSEE_MS / 1000)

    def _run_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:
            emit(CONTROL_LOOP_FAILED, step=step.__name__, error=repr(error))

    def _tick(self) -> None:
        self.node.tick()
        self.flush()
        self._answer_waiting()

    def _note_leader(self) -> None:
        replica = self.node.replica
        if replica.is_leader and self._leading_since_ms is None:
            self._leading_since_ms = monotonic_ms()
            self.parts.metrics.elections.add("won")
        if not replica.is_leader:
            self._leading_since_ms = None
        if replica.leader != self._leader:
            self._leader = replica.leader
            emit(LEADER_CHANGED, leader=replica.leader, term=replica.term)

    def _oversee(self) -> None:
        self._dial_members()
        if self._nodes_due:
            self._share_nodes()
        if self.node.replica.is_leader and not self._proposing:
            command = decide_upkeep(self.upkeep())
            if command is not None:
                self._proposing = True
                self.endpoint.spawn(self._propose_own(command))

    async def _propose_own(self, command: Command) -> None:
        try:
            async with asyncio.timeout(self.parts.stale_ms / 1000):
                await self.propose(command)
        except TimeoutError:
            pass
        finally:
            self._proposing = False

    # ---- links ----

    def _dial_members(self) -> None:
        own = replica_name(self.node.replica_id)
        addresses = dict(self.parts.peers)
        for replica_id, member in self.node.replica.log.members.items():
            addresses.setdefault(replica_name(replica_id), member.address)
        for name, address in addresses.items():
            if name != own:
                self.endpoint.dial(address)

    def _learn_nodes(self, link: Link, listed: NodeList) -> None:
        if not self.parts.open_group or link.peer.role != "control":
            return
        for node in listed.nodes or ():
            if node.role == "control" and len(self.parts.peers) < MAX_LISTED_NODES:
                self.parts.peers.setdefault(replica_name(node.name), node.address)

    def _receive_protocol(self, link: Link, message: Any) -> None:
        if link.peer.role != "control" or self.failed.is_set():
            return
        self.node.receive(link.peer.name, message)
        self.flush_soon()
        self._answer_waiting()

    def _answer_configuration(
        self, link: Link, request: ConfigurationRequest
    ) -> ConfigurationChange | None:
        prefixes = tuple(request.prefixes or ())
        if prefixes and self.node.confirmation_age_ms() > CONFIRMED_MS:
            # After its start this replica may have far older items than the group.
            self._unanswered[link] = request
            return None
        if request.follow:
            self._followers[link] = prefixes
        change = self.node.machine.configuration.changes_since(request.version or 0)
        return _select_items(change, prefixes) if prefixes else change

    def _answer_waiting(self) -> None:
        if not self._unanswered or self.node.confirmation_age_ms() > CONFIRMED_MS:
            return
        waiting, self._unanswered = self._unanswered, {}
        for link, request in waiting.items():
            link.send(self._answer_configuration(link, request))

    def _state_heartbeat(self, link: Link) -> Heartbeat:
        age_ms = int(self.node.confirmation_age_ms()) + 1
        return Heartbeat(
            config_version=self.node.machine.version,
            config_age_ms=min(age_ms, 2**31 - 1),
        )

    def _receive_heartbeat(self, link: Link, heartbeat: Heartbeat, asked_ms: float | None) -> None:
        if link.peer.role == "entry":
            self.entries.note(link.peer, heartbeat, monotonic_ms())

    def _link_up(self, link: Link) -> None:
        self._nodes_due = True
        link.beat()

    def _link_down(self, link: Link) -> None:
        self._nodes_due = True
        self._followers.pop(link, None)
        self._unanswered.pop(link, None)

    def _share_nodes(self) -> None:
        """Tell every process that joins jobs and runners which processes are linked here."""
        self._nodes_due = False
        links = self.endpoint.links.values()
        nodes = [self.endpoint.identity, *(link.peer for link in links)]
        for link in list(links):
            if link.peer.role in _LISTED_ROLES:
                link.send(NodeList(nodes[:MAX_LISTED_NODES]))


def _select_items(change: ConfigurationChange, prefixes: tuple[str, ...]) -> ConfigurationChange:
    items = [item for item in change.items if item.key.startswith(prefixes)]
    return ConfigurationChange(change.base_version, change.version, items)
