"""Discovers the other processes and receives configuration changes through control.

A process has the addresses of a few control replicas, its seeds, in its settings; some of them may
be stale. It links to all replicas with a durable log that it learns of and keeps those links, so
that it needs the seeds only once. It follows the configuration at one replica, in its own zone if
possible; the heartbeats of the other replicas show whether that one has fallen behind. Heartbeats
also date the configuration: each states how old a replica's last proof is that its version is the
newest. A replica whose proofs stay away is left for another (`_replica_choice`).

Replicas that keep their log in memory serve operators, and lead processes to the others. Links to
them are closed once the others are reached, as links grow with the product of both numbers.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership._agent_links import AgentLinkParts, AgentLinks
from apricotrail.membership._configuration import Configuration
from apricotrail.membership._freshness import NEVER_CONFIRMED_AGE_MS, Freshness
from apricotrail.membership._replica_choice import Choice, ReplicaChoice
from apricotrail.membership._replicas import has_durable_log, replica_name
from apricotrail.membership._run_limits import LISTS_COMPLETE_MS
from apricotrail.membership._witnesses import Witnesses, find_majority_ms
from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    ConfigurationChange,
    ConfigurationRequest,
    Heartbeat,
    Identity,
    NodeChanges,
    NodeList,
    NodesRequest,
)

__all__ = ["Roster", "RosterParts"]

MAX_NODES = 4_096  # the most that control puts into a list; one of this length may be incomplete
FORGET_AFTER_MS = 60_000.0  # longer than a restart and the time until a replica notices the restart
BEHIND_GRACE_MS = 250.0  # a change that was already sent arrives within this time
MAX_CONTACT_AGE_MS = 1_200.0  # two heartbeat intervals of a replica and a slow answer
SEEDS_AGAIN_MS = 1_000.0  # without a link to a durable replica, the seeds are dialed again
ADJUST_MS = 1_000.0  # time between two checks of the links if no list changes
ADJUST_AFTER_CHANGE_MS = 100.0  # several replicas list the same change at nearly the same time
FORGET_INTERVAL_MS = 5_000.0
CONFIRM_INTERVAL_MS = 100.0  # shortest time between two requests for a confirmation

CONTROL_LINKED = declare_event(
    2101, "control_linked", Level.INFO, "The link to a control replica was established."
)
CONTROL_LINK_LOST = declare_event(
    2102,
    "control_link_lost",
    Level.WARNING,
    "The link to a control replica was lost; it is dialed again.",
)
CONFIGURATION_TAKEN = declare_event(
    2103, "configuration_taken", Level.INFO, "This process applied a newer configuration."
)
REPLICA_FOLLOWED = declare_event(
    2104,
    "replica_followed",
    Level.INFO,
    "This process now requests configuration changes from this replica. Reasons: first, preferred "
    "(it has a disk, or is in the same zone), link_lost, unconfirmed (the former one's "
    "confirmations lag).",
)


class RosterParts(NamedTuple):
    """What a roster needs from its process.

    Attributes
    ----------
    endpoint : LinkEndpoint
        Links of this process.
    seeds : tuple of str
        Link addresses of some control replicas.
    zone : str
        Own availability zone.
    prefixes : tuple of str
        Prefixes of the keys of the configuration items that are followed.
    clock : Clock
        Monotonic time in milliseconds.
    on_change : callable
        Called without arguments after a newer configuration was applied.
    agent_role : str
        Role of the processes to dial besides control, empty for none. Each is dialed by some of
        the processes with the own role.
    retire_agents : callable
        See `AgentLinkParts.retire`.
    """

    endpoint: LinkEndpoint
    seeds: tuple[str, ...]
    zone: str
    prefixes: tuple[str, ...]
    clock: Clock
    on_change: Callable[[], None]
    agent_role: str = ""
    retire_agents: Callable[[frozenset[str]], frozenset[str]] = lambda names: names


class Roster:
    """The other processes and the configuration, as one process knows them through control.

    Attributes
    ----------
    configuration : Configuration
        Configuration items that are followed.
    freshness : Freshness
        Age of the last confirmation that this configuration was the newest.
    """

    def __init__(self, parts: RosterParts) -> None:
        self._parts = parts
        self._endpoint = parts.endpoint
        self.configuration = Configuration()
        self.freshness = Freshness(parts.clock, NEVER_CONFIRMED_AGE_MS)
        self._confirmation_requested_ms = parts.clock() - CONFIRM_INTERVAL_MS
        self._followed: Link | None = None
        self._choice = ReplicaChoice(parts.zone, parts.clock)
        # Times by the own clock. Where replicas are counted for a majority, they go by their stable
        # name, so that a replica whose disk was lost counts once; elsewhere by their full name.
        self._behind_since_ms: dict[str, float] = {}
        self._address_listed_ms: dict[str, float] = {}
        self._nodes_by_replica: dict[str, dict[str, Identity]] = {}
        self._linked_ms: dict[str, float] = {}
        self._replica_seen_ms: dict[str, float] = {}
        self._echoed_ms: dict[str, float] = {}
        self._witnesses = Witnesses(parts.clock)
        self._retired: frozenset[str] = frozenset()
        self._agents: AgentLinks | None = None
        self._durable_linked_ms = parts.clock()
        self._adjusted_ms = 0.0
        self._forgot_ms = parts.clock()
        self._is_adjustment_due = False
        if parts.agent_role:
            self._agents = AgentLinks(
                AgentLinkParts(parts.endpoint, parts.agent_role, parts.clock, parts.retire_agents)
            )
        parts.endpoint.on(NodeList, self._receive_nodes)
        parts.endpoint.on(NodeChanges, self._receive_node_changes)
        parts.endpoint.on(ConfigurationChange, self._receive_change)
        parts.endpoint.on_up(self._link_up)
        parts.endpoint.on_down(self._link_down)

    def start(self) -> None:
        """Dial the seeds."""
        self.add_seeds(self._parts.seeds)

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Dial further control replicas.

        Unlike the seeds of the start, those that stay unlinked and unlisted are forgotten.
        """
        for address in seeds:
            self._dial(address)

    def tick(self) -> None:
        """Adjust the links to the processes that control lists; call this some times a second."""
        now_ms = self._parts.clock()
        if self._choice.is_pending:
            self._review_followed()
        pause_ms = ADJUST_AFTER_CHANGE_MS if self._is_adjustment_due else ADJUST_MS
        if now_ms - self._adjusted_ms < pause_ms:
            return
        self._adjusted_ms = now_ms
        self._is_adjustment_due = False
        if self._agents is not None:
            listed = [it for nodes in self._nodes_by_replica.values() for it in nodes.values()]
            self._agents.adjust(listed, self._has_contact(now_ms))
        self._adjust_replica_links(now_ms)
        if now_ms - self._forgot_ms >= FORGET_INTERVAL_MS:
            self._forgot_ms = now_ms
            self.forget_old()

    def list_control(self) -> list[Link]:
        """Return the links to control replicas."""
        return [link for link in self._endpoint.links.values() if link.peer.role == "control"]

    def is_unlisted(self, name: str, as_of_ms: float = 0.0) -> bool:
        """Return whether a majority of the control replicas is known to have no link to a process.

        False if any linked replica lists the process, or if this isn't known: it isn't without
        contact with a majority within `MAX_CONTACT_AGE_MS`, a replica linked for less than
        `LISTS_COMPLETE_MS` may not list all others yet, and a list of maximum length may have left
        out any process.

        Parameters
        ----------
        name : str
            Name of the process.
        as_of_ms : float
            Own time from which on a replica must have received a heartbeat for its list to count.
        """
        now_ms = self._parts.clock()
        if not self._has_contact(now_ms):
            return False
        if any(name in it or len(it) >= MAX_NODES for it in self._nodes_by_replica.values()):
            return False
        complete = {
            replica_name(replica)
            for replica in self._nodes_by_replica
            if now_ms - self._linked_ms.get(replica, now_ms) >= LISTS_COMPLETE_MS
            and self._echoed_ms.get(replica_name(replica), 0.0) >= as_of_ms
        }
        return 2 * len(complete & self._replica_seen_ms.keys()) > len(self._replica_seen_ms)

    def quorum_contact_ms(self) -> float:
        """Return the latest own time at which a majority of the replicas was reachable.

        The contact with a replica dates from the last own heartbeat that it echoed, so that both
        directions are known to work. For `FORGET_AFTER_MS`, replicas that are no longer listed are
        still counted among those of which a majority is needed, because the replicas of a zone
        that is cut off soon list only each other. Replicas that keep their log in memory don't
        count. 0.0 stands for no contact yet.
        """
        return find_majority_ms(self._echoed_ms.get(name, 0.0) for name in self._replica_seen_ms)

    def witness_contact_ms(self, since_ms: float) -> float:
        """Return until when no process can have seen a majority of the replicas not list this one.

        That holds for write-offs at `since_ms` or later, as `Witnesses` shows; 0.0 if it isn't
        known. The same replicas are counted as by `quorum_contact_ms`.
        """
        return self._witnesses.find_contact_ms(since_ms, self._replica_seen_ms)

    def request_confirmation(self) -> None:
        """Ask all linked replicas whether the configuration is the newest; they answer at once."""
        now_ms = self._parts.clock()
        if now_ms - self._confirmation_requested_ms < CONFIRM_INTERVAL_MS:
            return
        self._confirmation_requested_ms = now_ms
        for link in self.list_control():
            link.send_heartbeat()

    def receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, heartbeat_sent_ms: float | None = None
    ) -> None:
        """Record a heartbeat of a replica, and request changes that the followed one has not sent.

        They are requested from this replica once its heartbeats have stated a version newer than
        the own one for `BEHIND_GRACE_MS`, or at once if the followed one's confirmations lag.

        Parameters
        ----------
        link : Link
            Link to the replica.
        heartbeat : Heartbeat
            States the configuration version that the replica has, and the age of its confirmation.
        heartbeat_sent_ms : float or None
            Own time at which the heartbeat that it echoes was sent, None without an echo.
        """
        name = link.peer.name
        if heartbeat_sent_ms is not None:
            stable_name = replica_name(name)
            self._note_replica(name, self._parts.clock())
            self._witnesses.note_echo(name, heartbeat_sent_ms, heartbeat.uptime_ms)
            if stable_name in self._replica_seen_ms:
                self._echoed_ms[stable_name] = max(
                    heartbeat_sent_ms, self._echoed_ms.get(stable_name, 0.0)
                )
            age_ms = heartbeat.config_age_ms
            if age_ms is not None and age_ms < NEVER_CONFIRMED_AGE_MS:
                # The replica stated the age after the echoed heartbeat was sent.
                as_of_ms = heartbeat_sent_ms - age_ms
                self.freshness.receive(heartbeat.config_version or 0, as_of_ms)
                self._choice.note_confirmation(name, as_of_ms)
            self._review_followed()
        if (heartbeat.config_version or 0) <= self.configuration.version:
            self._behind_since_ms.pop(name, None)
            return
        now_ms = self._parts.clock()
        is_overdue = now_ms - self._behind_since_ms.setdefault(name, now_ms) >= BEHIND_GRACE_MS
        if is_overdue or self._choice.is_pending:
            self._behind_since_ms.pop(name, None)
            self._request(link, follow=link is self._followed)

    def forget_old(self) -> None:
        """Stop dialing unlinked replicas that no other has listed for `FORGET_AFTER_MS`.

        Replicas that were neither linked nor listed for as long no longer count towards the
        majority.
        """
        now_ms = self._parts.clock()
        self._forget_replicas(now_ms)
        in_use = {link.peer.address for link in self._endpoint.links.values()}
        in_use |= {replica.address for replica in self._list_replicas()}
        for address, listed_ms in list(self._address_listed_ms.items()):
            if address in in_use:
                self._address_listed_ms[address] = now_ms
            elif now_ms - listed_ms > FORGET_AFTER_MS:
                del self._address_listed_ms[address]
                self._endpoint.undial(address)

    def _forget_replicas(self, now_ms: float) -> None:
        for replica in self._list_replicas():
            self._note_replica(replica.name, now_ms)
        for stable_name, seen_ms in list(self._replica_seen_ms.items()):
            if now_ms - seen_ms > FORGET_AFTER_MS:
                del self._replica_seen_ms[stable_name]
                self._echoed_ms.pop(stable_name, None)

    def _list_replicas(self) -> list[Identity]:
        """Return the control replicas that are linked, or listed by one that is."""
        lists = self._nodes_by_replica.values()
        listed = [node for nodes in lists for node in nodes.values() if node.role == "control"]
        return [*(link.peer for link in self.list_control()), *listed]

    def _note_replica(self, replica: str, now_ms: float) -> None:
        """Count a replica towards the majority if its log is durable and it wasn't removed."""
        stable_name = replica_name(replica)
        if has_durable_log(replica) and stable_name not in self._retired:
            self._replica_seen_ms[stable_name] = now_ms

    def _retire(self, stable_names: frozenset[str]) -> None:
        """Count the replicas that the group removed no more; one that comes back counts again."""
        self._retired = stable_names
        for stable_name in stable_names:
            self._replica_seen_ms.pop(stable_name, None)
            self._echoed_ms.pop(stable_name, None)

    def _has_contact(self, now_ms: float) -> bool:
        return now_ms - self.quorum_contact_ms() < MAX_CONTACT_AGE_MS

    def _adjust_replica_links(self, now_ms: float) -> None:
        """Close links to replicas that others make needless; without others, dial the seeds."""
        durable = [link for link in self.list_control() if has_durable_log(link.peer.name)]
        if durable:
            self._durable_linked_ms = now_ms
        elif now_ms - self._durable_linked_ms >= SEEDS_AGAIN_MS:
            for address in self._parts.seeds:
                self._dial(address)
        if not self._has_contact(now_ms):
            return
        for link in self.list_control():
            if not has_durable_log(link.peer.name):
                self._address_listed_ms.pop(link.peer.address, None)
                self._endpoint.undial(link.peer.address)

    # ---- links ----

    def _link_up(self, link: Link) -> None:
        if link.peer.role != "control":
            return
        self._linked_ms[link.peer.name] = self._parts.clock()
        self._witnesses.note_up(link.peer.name)
        emit(CONTROL_LINKED, replica=link.peer.name, zone=link.peer.zone)
        if self._followed is None:
            self._follow(Choice(link.peer.name, "first"))
        roles = self._agents.needed_roles if self._agents is not None else ()
        link.send(NodesRequest(["control", *roles]))
        # Contact with the replica counts from the first heartbeat that it echoes.
        link.send_heartbeat()

    def _link_down(self, link: Link) -> None:
        if link.peer.role != "control":
            return
        emit(CONTROL_LINK_LOST, replica=link.peer.name)
        self._nodes_by_replica.pop(link.peer.name, None)
        self._linked_ms.pop(link.peer.name, None)
        self._witnesses.note_down(link.peer.name)
        self._choice.forget(link.peer.name)
        if link is not self._followed:
            return
        self._followed = None
        others = [it.peer for it in self.list_control() if it is not link]
        choice = self._choice.replace_lost(others)
        if choice is not None:
            self._follow(choice)

    def _review_followed(self) -> None:
        followed = self._followed
        if followed is None:
            return
        choice = self._choice.review(followed.peer, [it.peer for it in self.list_control()])
        if choice is not None:
            self._follow(choice)
        elif self._choice.must_ask_again():
            followed.send_heartbeat()

    def _follow(self, choice: Choice) -> None:
        link = self._endpoint.links[choice.replica]
        self._followed = link
        emit(
            REPLICA_FOLLOWED,
            replica=choice.replica,
            version=self.configuration.version,
            reason=choice.reason,
            age_ms=round(self.freshness.age_ms()),
        )
        self._request(link, follow=True)

    def _request(self, link: Link, follow: bool) -> None:
        version = self.configuration.version
        # With correlation 0 the answer comes to `_receive_change`, as pushed changes do.
        link.send(ConfigurationRequest(version, list(self._parts.prefixes), follow), 0)

    # ---- messages ----

    def _receive_change(self, link: Link, change: ConfigurationChange) -> None:
        before = self.configuration.version
        if not self.configuration.apply(change):
            self._request(link, follow=link is self._followed)
            return
        if self.configuration.version > before:
            self.freshness.advance(self.configuration.version)
            emit(
                CONFIGURATION_TAKEN,
                version=change.version,
                of=link.peer.name,
                age_ms=round(self.freshness.age_ms()),
            )
            self._parts.on_change()

    def _receive_nodes(self, link: Link, listed: NodeList) -> None:
        """Store the whole list of a replica that can't state changes only."""
        if link.peer.role != "control":
            return
        self._nodes_by_replica[link.peer.name] = {}
        self._add_nodes(link, listed.nodes or ())

    def _receive_node_changes(self, link: Link, changes: NodeChanges) -> None:
        if link.peer.role != "control":
            return
        if changes.first:
            self._nodes_by_replica[link.peer.name] = {}
        nodes = self._nodes_by_replica.setdefault(link.peer.name, {})
        for name in changes.removed or ():
            nodes.pop(name, None)
        if changes.retired is not None:
            self._retire(frozenset(changes.retired))
        self._add_nodes(link, changes.added or ())

    def _add_nodes(self, link: Link, added: Iterable[Identity]) -> None:
        nodes = self._nodes_by_replica[link.peer.name]
        now_ms = self._parts.clock()
        for node in added:
            nodes[node.name] = node
            if node.role == "control" and node.address:
                self._note_replica(node.name, now_ms)
                if has_durable_log(node.name):
                    self._dial(node.address)
        self._is_adjustment_due = True

    def _dial(self, address: str) -> None:
        if address not in self._address_listed_ms and len(self._address_listed_ms) >= MAX_NODES:
            return
        self._address_listed_ms[address] = self._parts.clock()
        self._endpoint.dial(address)
