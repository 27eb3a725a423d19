"""Runs one control replica on its links.

The service passes protocol messages between the links and the `Node`, drives its timers, pushes
configuration changes to entries and other followers, and, on the leader, proposes changes of the
members and of the entry view.
"""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Result, Success

from apricotrail.clocks import monotonic_ms, uptime_ms, wall_ms
from apricotrail.control._contacts import MemberContacts
from apricotrail.control._entries import EntryTable
from apricotrail.control._files import StorageError
from apricotrail.control._group_watch import GroupWatch
from apricotrail.control._majority import find_silent_voters
from apricotrail.control._member_repair import note_contacts
from apricotrail.control._members import Members
from apricotrail.control._node import Node
from apricotrail.control._nodes import NodeSharing
from apricotrail.control._orders import PauseWatch
from apricotrail.control._protocol import MESSAGE_TYPES, ms_until_tick
from apricotrail.control._quorums import GroupPlan
from apricotrail.control._repair_limits import OVERSEE_INTERVAL_MS
from apricotrail.control._requests import Outcome
from apricotrail.control._upkeep import UpkeepInput, decide_upkeep, removes_proposer
from apricotrail.control._voters import LinkedReplica
from apricotrail.errors import Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import replica_name
from apricotrail.metrics import ControlMetrics
from apricotrail.pauses import pause
from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    Command,
    ConfigurationChange,
    ConfigurationRequest,
    Heartbeat,
    NodeList,
    NodesRequest,
)

__all__ = ["ControlService", "ServiceParts"]

MAX_COMMIT_TIMES = 1_024
MAX_CONFIRMATION_AGE_MS = 1_500  # below the 2 s within which a change must be in force
MAX_OVERSEE_GAP_MS = 2 * OVERSEE_INTERVAL_MS
MAX_PEERS = 4_096
# These date their contact with control by the answers to their heartbeats. Answered at once, rare
# heartbeats show a more recent contact than frequent ones that wait for the next timer.
PROMPTLY_ANSWERED_ROLES = frozenset({"dispatcher", "runner"})
# The answers, to heartbeats every 500 to 600 ms, are enough unless one is late; links of these
# roles count as silent after 1.2 s.
ANSWERED_HEARTBEAT_MS = 1_000.0

CONTROL_STORAGE_FAILED = declare_event(
    3001,
    "control_storage_failed",
    Level.ERROR,
    "The disk of this replica failed and the replica has stopped; it opens the data folder again "
    "until that works. Free space on the disk, or replace it if it is faulty.",
)
LEADER_CHANGED = declare_event(
    3004,
    "leader_changed",
    Level.INFO,
    "The leader known to this replica changed; it may be this replica, or none. If it stays none, "
    "check that a majority of the control replicas runs and is connected.",
)
CONTROL_LOOP_FAILED = declare_event(
    3005,
    "control_loop_failed",
    Level.ERROR,
    "A periodic step of this replica raised an error; it is tried again. Report the error.",
)
CONTROL_FORMED = declare_event(
    3006,
    "control_formed",
    Level.INFO,
    "This replica founded a group of replicas with empty folders; expected only at a first start.",
)


class ServiceParts(NamedTuple):
    """Dependencies and limits of a `ControlService`.

    Attributes
    ----------
    endpoint : LinkEndpoint
        Links of this process.
    node : Node
        The replica.
    peers : dict of str to str
        Addresses by replica name: those from the settings and, in an open group, those that other
        replicas listed.
    entry_silent_ms : float
        Time without a heartbeat after which an entry is removed from the view.
    stale_ms : float
        Age of the configuration from which a process starts no task.
    metrics : ControlMetrics
        Instruments of this replica.
    plan : GroupPlan or None
        What an open group must bear, in which any linked replica may join and silent voters are
        replaced; None for a group whose members are listed.
    may_form : bool
        Whether this replica may found a group.
    """

    endpoint: LinkEndpoint
    node: Node
    peers: dict[str, str]
    entry_silent_ms: float
    stale_ms: float
    metrics: ControlMetrics
    plan: GroupPlan | None = None
    may_form: bool = True


class ControlService:
    """One replica with its links, loops and followers.

    Parameters
    ----------
    parts : ServiceParts
        Dependencies and limits.

    Attributes
    ----------
    entries : EntryTable
        Entries whose heartbeats this replica received.
    committed_ms : dict of int to float
        Own monotonic time at which this replica applied each of the last `MAX_COMMIT_TIMES`
        versions.
    failed : asyncio.Event
        Set when the disk has failed; this object does nothing from then on.
    pauses : PauseWatch
        Whether this process was paused just before.
    """

    def __init__(self, parts: ServiceParts) -> None:
        self.parts = parts
        self.endpoint = parts.endpoint
        self.node = parts.node
        self.entries = EntryTable()
        self.committed_ms: dict[int, float] = {}
        self.failed = asyncio.Event()
        self.node.replica.plan = parts.plan
        self._pushed_version = parts.node.machine.version
        self._flush_due = False
        self._proposing = False
        self._leader = ""
        self._leading_since_ms: float | None = None
        self._closing: asyncio.Future | None = None
        self.pauses = PauseWatch(monotonic_ms)
        self._contacts = MemberContacts(MAX_OVERSEE_GAP_MS)
        self._silences_ms: dict[str, float] = {}
        self._group_watch = GroupWatch(parts.node, parts.metrics.without_majority_ms.add)
        self._departed: set[Link] = set()
        self._followers: dict[Link, tuple[str, ...]] = {}
        self._deferred_requests: dict[Link, ConfigurationRequest] = {}
        self._nodes = NodeSharing(parts.endpoint, self._list_retired)

    def connect(self) -> None:
        """Register the message handlers and heartbeat hooks of the links."""
        endpoint = self.endpoint
        for message_type in MESSAGE_TYPES:
            endpoint.on(message_type, self._receive_protocol)
        endpoint.on(ConfigurationRequest, self._answer_configuration)
        endpoint.on(NodeList, self._learn_nodes)
        endpoint.on(NodesRequest, self._nodes.answer_request)
        endpoint.make_heartbeat = self._make_heartbeat
        endpoint.receive_heartbeat = self._receive_heartbeat
        for role in PROMPTLY_ANSWERED_ROLES:
            endpoint.heartbeat_ms_by_role[role] = ANSWERED_HEARTBEAT_MS
        endpoint.on_up(self._link_up)
        endpoint.on_down(self._link_down)

    # ---- replica ----

    @property
    def leader_link(self) -> Link | None:
        """Link to the current leader; None if this replica leads or there is no such link."""
        leader = self.node.replica.leader
        return self.endpoint.links.get(leader) if leader != self.node.replica_id else None

    def send(self, replica_id: str, message: Any) -> None:
        """Send a protocol message; without a link it is dropped."""
        link = self.endpoint.links.get(replica_id)
        if link is not None:
            link.send(message)

    def schedule_flush(self) -> None:
        """Schedule one `flush` for all writes of this pass of the event loop."""
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write, sync, send and apply now; a failed disk stops the replica."""
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
        self._track_leader()
        self._group_watch.note_members()

    def fail(self, error: StorageError) -> None:
        """Stop, since it is unknown what the disk holds after a failed write or sync."""
        if self.failed.is_set():
            return
        emit(CONTROL_STORAGE_FAILED, problem=str(error.problem))
        self.failed.set()
        self.node.fail_pending()
        self._closing = asyncio.ensure_future(self.endpoint.stop())

    async def close_failed(self) -> None:
        """Wait until the links of this failed replica are closed, and release its data folder."""
        await self._closing
        self.node.close()

    def form(self, members: Members) -> bool:
        """Form a new group; False if the disk failed, which stops the replica."""
        try:
            self.node.form(members)
        except StorageError as error:
            self.fail(error)
            return False
        self.flush()
        return True

    async def propose(
        self, command: Command, based_on: int | None = None
    ) -> Result[Outcome, Problem]:
        """Append a command to the log of this replica and wait for its outcome.

        A replica that does not lead answers with a problem; `Node.propose` explains `based_on`.
        """
        future: asyncio.Future = asyncio.get_running_loop().create_future()

        def done(result: Result[Outcome, Problem]) -> None:
            if not future.done():
                future.set_result(result)

        command.wall_ms = wall_ms()
        started_ms = monotonic_ms()
        self.node.propose(command, done, based_on)
        self.schedule_flush()
        result = await future
        self.parts.metrics.commit_ms.observe(monotonic_ms() - started_ms)
        return result

    def on_change(self) -> None:
        """Record the time of the new versions and push changes to entries and followers."""
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

    def gather_upkeep_input(self) -> UpkeepInput:
        """Return what `decide_upkeep` needs to choose the leader's next own command."""
        now_ms = monotonic_ms()
        since_ms = self._leading_since_ms
        silent_ms = self.parts.entry_silent_ms
        return UpkeepInput(
            self.node,
            self._list_linked(),
            self.parts.peers,
            self.entries.heard_within(now_ms, silent_ms),
            since_ms is not None and now_ms - since_ms >= silent_ms,
            self._silences_ms,
            self.parts.plan,
        )

    def _list_linked(self) -> dict[str, LinkedReplica]:
        """Return the replicas that are linked, and this one, by id."""
        peers = {
            key: link.peer
            for key, link in self.endpoint.links.items()
            if link.peer.role == "control" and link not in self._departed
        }
        peers[self.node.replica_id] = self.endpoint.identity
        return {key: LinkedReplica(peer.address, peer.zone or "") for key, peer in peers.items()}

    def _list_retired(self) -> frozenset[str]:
        """Return the names of the replicas that the group removed and that have not come back."""
        machine = self.node.machine
        return frozenset(map(replica_name, machine.removed)) - {*map(replica_name, machine.members)}

    def count_silent_voters(self) -> int:
        """Return the number of voters that this replica hasn't heard for `REPLACE_AFTER_MS`."""
        return len(find_silent_voters(self.node.replica.log.members, self._silences_ms))

    def note_departure(self, link: Link) -> None:
        """Record that a stopping replica left the group; on this link it does not join again."""
        self._departed.add(link)

    def _record_contacts(self) -> None:
        """Record the contacts with the other members; a replica that leads later needs them."""
        heard_ms = {key: link.heard_ms for key, link in self.endpoint.links.items()}
        now_ms = monotonic_ms()
        heard_ms[self.node.replica_id] = now_ms
        members = self.node.replica.log.members
        self._silences_ms = self._contacts.record(members, heard_ms, now_ms)

    # ---- loops ----

    async def tick_forever(self) -> None:
        """Run the timers of the protocol until the disk fails."""
        while not self.failed.is_set():
            self._run_step(self._tick)
            pause_ms = ms_until_tick(self.node.replica, monotonic_ms())
            due_ms = monotonic_ms() + pause_ms
            await asyncio.sleep(pause_ms / 1000)
            self.parts.metrics.loop_lag_ms.observe(monotonic_ms() - due_ms)

    async def oversee_forever(self) -> None:
        """Dial and watch the other replicas; on the leader, also propose members and a view."""
        while not self.failed.is_set():
            self._run_step(self._oversee)
            self._run_step(self._watch_group)
            await pause(OVERSEE_INTERVAL_MS)

    def _run_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:
            emit(CONTROL_LOOP_FAILED, step=step.__name__, error=repr(error))

    def _tick(self) -> None:
        self.pauses.is_settled()
        self.node.tick()
        self.flush()
        self._answer_deferred()

    def _track_leader(self) -> None:
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
        self._nodes.share()
        self._record_contacts()
        note_contacts(self.node.replica, self._list_linked(), self._silences_ms)
        self._group_watch.note_lost_disks()
        if self.node.replica.is_leader and not self._proposing:
            command = decide_upkeep(self.gather_upkeep_input())
            if command is not None and removes_proposer(command):
                # The next leader removes this replica: the group is then never without a leader.
                self._hand_over()
            elif command is not None:
                self._proposing = True
                self.endpoint.spawn(self._propose_own(command))

    def _hand_over(self) -> None:
        if self.node.replica.transfer is None and self.node.begin_transfer():
            self.schedule_flush()

    def _watch_group(self) -> None:
        reachable = [
            key
            for key, link in self.endpoint.links.items()
            if link.peer.role == "control"
            and link not in self._departed
            and (self.parts.plan is not None or replica_name(key) in self.parts.peers)
        ]
        reachable.append(self.node.replica_id)
        self._group_watch.look(self._silences_ms, reachable, monotonic_ms())

    async def _propose_own(self, command: Command) -> None:
        result: Result[Outcome, Problem] | None = None
        try:
            async with asyncio.timeout(self.parts.stale_ms / 1000):
                result = await self.propose(command)
        except TimeoutError:
            pass
        finally:
            self._proposing = False
        # The next change of a repair follows at once.
        if command.change_member is not None and isinstance(result, Success):
            self._run_step(self._oversee)

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
        if self.parts.plan is None or link.peer.role != "control":
            return
        for node in listed.nodes or ():
            if node.role == "control" and len(self.parts.peers) < MAX_PEERS:
                self.parts.peers.setdefault(replica_name(node.name), node.address)

    def _receive_protocol(self, link: Link, message: Any) -> None:
        if link.peer.role != "control" or self.failed.is_set():
            return
        self.node.receive(link.peer.name, message)
        self.schedule_flush()
        self._answer_deferred()

    def _answer_configuration(
        self, link: Link, request: ConfigurationRequest
    ) -> ConfigurationChange | None:
        prefixes = tuple(request.prefixes or ())
        if prefixes and self.node.confirmation_age_ms() > MAX_CONFIRMATION_AGE_MS:
            # A replica that has just started may hold far older items than the group, so the
            # answer waits until its state is confirmed.
            self._deferred_requests[link] = request
            return None
        if request.follow:
            self._followers[link] = prefixes
        change = self.node.machine.configuration.changes_since(request.version or 0)
        return _select_items(change, prefixes) if prefixes else change

    def _answer_deferred(self) -> None:
        if not self._deferred_requests or self.node.confirmation_age_ms() > MAX_CONFIRMATION_AGE_MS:
            return
        deferred, self._deferred_requests = self._deferred_requests, {}
        for link, request in deferred.items():
            link.send(self._answer_configuration(link, request))

    def _make_heartbeat(self, link: Link) -> Heartbeat:
        age_ms = int(self.node.confirmation_age_ms()) + 1
        return Heartbeat(
            config_version=self.node.machine.version,
            config_age_ms=min(age_ms, 2**31 - 1),
            uptime_ms=uptime_ms(),
        )

    def _receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, heartbeat_sent_ms: float | None
    ) -> None:
        if link.peer.role == "entry":
            self.entries.record_heartbeat(link.peer, heartbeat, monotonic_ms())
        elif link.peer.role in PROMPTLY_ANSWERED_ROLES:
            link.send_heartbeat()

    def _link_up(self, link: Link) -> None:
        self._nodes.note_link_change()
        link.send_heartbeat()

    def _link_down(self, link: Link) -> None:
        self._nodes.forget(link)
        self._followers.pop(link, None)
        self._deferred_requests.pop(link, None)
        self._departed.discard(link)


def _select_items(change: ConfigurationChange, prefixes: tuple[str, ...]) -> ConfigurationChange:
    items = [item for item in change.items if item.key.startswith(prefixes)]
    return ConfigurationChange(change.base_version, change.version, items)
