"""Finds the other processes through control: seeds, node lists, and the configuration followed.

A process knows the addresses of a few control replicas from its settings, some of which may be
stale. It links to all replicas that it learns of and keeps those links, so that it needs the
seeds only once. The configuration is followed at one replica, in the own zone if there is one; the
heartbeats of the others show whether that one has fallen behind.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership._configuration import Configuration
from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    ConfigurationChange,
    ConfigurationRequest,
    Heartbeat,
    Identity,
    NodeList,
)

__all__ = ["Roster", "RosterParts"]

MAX_NODES = 4_096
FORGET_MS = 60_000.0  # above a restart and the time in which a replica notices it
BEHIND_MS = 250.0  # a push that is on its way arrives earlier
IN_TOUCH_MS = 1_200.0  # two heartbeats of a replica and a slow answer
SETTLED_MS = 2_000.0  # others dial a replica that has started again within this

CONTROL_LINKED = declare_event(2101, "control_linked", Level.INFO, "A control replica is linked.")
CONTROL_LOST = declare_event(
    2102, "control_link_lost", Level.WARNING, "The link to a control replica was lost."
)
CONFIGURATION_TAKEN = declare_event(
    2103, "configuration_taken", Level.INFO, "A newer configuration is in force here."
)
REPLICA_FOLLOWED = declare_event(
    2104, "replica_followed", Level.INFO, "Configuration changes are now taken from this replica."
)


class RosterParts(NamedTuple):
    """What a roster is made of.

    Attributes
    ----------
    endpoint : LinkEndpoint
        Links of this process.
    seeds : tuple of str
        Link addresses of some control replicas.
    zone : str
        Own availability zone.
    prefixes : tuple of str
        Keys of the configuration items that are followed begin with one of these.
    clock : Clock
        Monotonic time in milliseconds.
    on_change : callable
        Called after a newer configuration was taken.
    dialed_role : str
        Role of the processes that are dialed, empty for none but control.
    """

    endpoint: LinkEndpoint
    seeds: tuple[str, ...]
    zone: str
    prefixes: tuple[str, ...]
    clock: Clock
    on_change: Callable[[], None]
    dialed_role: str = ""


class Roster:
    """Processes and configuration known to one process.

    Attributes
    ----------
    configuration : Configuration
        Items followed.
    """

    def __init__(self, parts: RosterParts) -> None:
        self._parts = parts
        self._endpoint = parts.endpoint
        self.configuration = Configuration()
        self._followed: Link | None = None
        self._behind_since: dict[str, float] = {}
        self._listed_ms: dict[str, float] = {}
        self._lists: dict[str, frozenset[str]] = {}
        self._linked_ms: dict[str, float] = {}
        self._replicas_ms: dict[str, float] = {}
        self._echoed_ms: dict[str, float] = {}
        parts.endpoint.on(NodeList, self._receive_nodes)
        parts.endpoint.on(ConfigurationChange, self._receive_change)
        parts.endpoint.on_up(self._link_up)
        parts.endpoint.on_down(self._link_down)

    def start(self) -> None:
        """Dial the seeds."""
        self.add_seeds(self._parts.seeds)

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Dial further control replicas."""
        for address in seeds:
            self._dial(address)

    def list_control(self) -> list[Link]:
        """Return the links to control replicas."""
        return [link for link in self._endpoint.links.values() if link.peer.role == "control"]

    def is_unlisted(self, name: str) -> bool:
        """Return whether a majority of the replicas is known to have no link to a process.

        False where any replica has one, or where it isn't known: a replica that was linked lately
        may list others only soon, and a list that is cut at its greatest length lists anyone.
        """
        now_ms = self._parts.clock()
        if now_ms - self.in_touch_ms() >= IN_TOUCH_MS:
            return False
        if any(name in it or len(it) >= MAX_NODES for it in self._lists.values()):
            return False
        settled = {
            _replica_place(replica)
            for replica in self._lists
            if now_ms - self._linked_ms.get(replica, now_ms) >= SETTLED_MS
        }
        return 2 * len(settled) > len(self._replicas_ms)

    def in_touch_ms(self) -> float:
        """Return the latest own time at which a majority of the replicas was in touch.

        A replica was in touch when this process sent the last heartbeat that it echoed, so that
        both directions are known to work. Those that are no longer listed count for a while: where
        a zone is cut off, its own replicas soon list only each other.
        """
        echoed = [self._echoed_ms.get(name, 0.0) for name in self._replicas_ms]
        return sorted(echoed, reverse=True)[len(echoed) // 2] if echoed else 0.0

    def receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, asked_ms: float | None = None
    ) -> None:
        """Ask a replica that states a newer version than arrived from the one followed."""
        name = link.peer.name
        if asked_ms is not None:
            place = _replica_place(name)
            self._replicas_ms[place] = self._parts.clock()
            self._echoed_ms[place] = max(asked_ms, self._echoed_ms.get(place, 0.0))
        if (heartbeat.config_version or 0) <= self.configuration.version:
            self._behind_since.pop(name, None)
            return
        now_ms = self._parts.clock()
        if now_ms - self._behind_since.setdefault(name, now_ms) >= BEHIND_MS:
            self._behind_since.pop(name, None)
            self._request(link, follow=link is self._followed)

    def forget_old(self) -> None:
        """Stop dialing processes that no replica has listed for long and that are not linked."""
        now_ms = self._parts.clock()
        self._forget_replicas(now_ms)
        linked = {link.peer.address for link in self._endpoint.links.values()}
        for address, listed_ms in list(self._listed_ms.items()):
            if address in linked or address in self._parts.seeds:
                self._listed_ms[address] = now_ms
            elif now_ms - listed_ms > FORGET_MS:
                del self._listed_ms[address]
                self._endpoint.undial(address)

    def _forget_replicas(self, now_ms: float) -> None:
        for link in self.list_control():
            self._replicas_ms[_replica_place(link.peer.name)] = now_ms
        for place, seen_ms in list(self._replicas_ms.items()):
            if now_ms - seen_ms > FORGET_MS:
                del self._replicas_ms[place]
                self._echoed_ms.pop(place, None)

    # ---- links ----

    def _link_up(self, link: Link) -> None:
        if link.peer.role != "control":
            return
        self._linked_ms[link.peer.name] = self._parts.clock()
        emit(CONTROL_LINKED, replica=link.peer.name, zone=link.peer.zone)
        followed = self._followed
        is_nearer = followed is not None and (
            followed.peer.zone != self._parts.zone and link.peer.zone == self._parts.zone
        )
        if followed is None or is_nearer:
            self._follow(link)
        link.beat()

    def _link_down(self, link: Link) -> None:
        if link.peer.role != "control":
            return
        emit(CONTROL_LOST, replica=link.peer.name)
        self._lists.pop(link.peer.name, None)
        self._linked_ms.pop(link.peer.name, None)
        if link is not self._followed:
            return
        self._followed = None
        others = [it for it in self.list_control() if it is not link]
        if others:
            own_zone = [it for it in others if it.peer.zone == self._parts.zone]
            self._follow((own_zone or others)[0])

    def _follow(self, link: Link) -> None:
        self._followed = link
        emit(REPLICA_FOLLOWED, replica=link.peer.name, version=self.configuration.version)
        self._request(link, follow=True)

    def _request(self, link: Link, follow: bool) -> None:
        version = self.configuration.version
        link.send(ConfigurationRequest(version, list(self._parts.prefixes), follow), 0)

    # ---- messages ----

    def _receive_change(self, link: Link, change: ConfigurationChange) -> None:
        before = self.configuration.version
        if not self.configuration.apply(change):
            self._request(link, follow=link is self._followed)
            return
        if self.configuration.version > before:
            emit(CONFIGURATION_TAKEN, version=change.version, of=link.peer.name)
            self._parts.on_change()

    def _receive_nodes(self, link: Link, listed: NodeList) -> None:
        if link.peer.role != "control":
            return
        nodes = listed.nodes or ()
        self._lists[link.peer.name] = frozenset(node.name for node in nodes)
        now_ms = self._parts.clock()
        for node in nodes:
            if node.role == "control":
                self._replicas_ms[_replica_place(node.name)] = now_ms
        for node in nodes:
            if self._is_wanted(node):
                self._dial(node.address)

    def _is_wanted(self, node: Identity) -> bool:
        return bool(node.address) and node.role in ("control", self._parts.dialed_role)

    def _dial(self, address: str) -> None:
        if address not in self._listed_ms and len(self._listed_ms) >= MAX_NODES:
            return
        self._listed_ms[address] = self._parts.clock()
        self._endpoint.dial(address)


def _replica_place(name: str) -> str:
    """Return the part of a replica's name that stays when its disk is lost."""
    return name.partition("#")[0]
