"""Runs agents inside this entry for targets that have no agent process beside them.

The host, which is the entry that runs a target's agent, is assigned in the control log, so that one
entry hosts a target at a time. An entry that succeeds another host starts no task until the former
host's configuration is certainly stale.
"""

import asyncio
from collections.abc import Awaitable, Callable
from hashlib import sha256
from typing import NamedTuple, Protocol

from apricotrail.clocks import Clock
from apricotrail.document import EffectiveConfiguration, Host
from apricotrail.entry._announcements import AnnouncementTable
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import View, ViewMember
from apricotrail.settings import declare_setting
from apricotrail.wire.generated.ttypes import Announcement, AssignHost

__all__ = ["REBALANCE_MS", "HostedAgent", "Hosting", "HostingParts", "choose_host"]

PROPOSAL_PAUSE_MS = 1_000  # least time between two proposals for one target

REBALANCE_MS = declare_setting(
    "entry.rebalance_ms",
    10_000,
    "Least time between two hosted agents that an entry hands over to the preferred entry.",
    unit="ms",
    minimum=100,
)

HOST_STARTED = declare_event(
    4301,
    "host_started",
    Level.INFO,
    "This entry now runs the agent of a target; it starts tasks after first_start_after_ms.",
)
HOST_STOPPED = declare_event(
    4302, "host_stopped", Level.INFO, "This entry no longer runs the agent of a target."
)


class HostedAgent(Protocol):
    """An agent that runs inside this entry."""

    async def start(self) -> None:
        """Connect the agent to the entries."""

    async def stop(self) -> None:
        """Wait for running tasks, then close the links."""


class HostingParts(NamedTuple):
    """Dependencies of hosting.

    Attributes
    ----------
    identity : callable
        Returns (name, incarnation) of this entry.
    configuration : callable
        Returns the configuration in force.
    view : callable
        Returns the entry view.
    announcements : AnnouncementTable
        Live announcements.
    propose : callable
        Proposes an assignment to control under a request id; returns whether it was accepted.
    make_agent : callable
        Makes the agent of a target; the float is the wait before its first start in milliseconds.
    clock : callable
        Monotonic time in milliseconds.
    stale_ms : float
        Age in milliseconds of its configuration from which a former host starts no task.
    rebalance_ms : float
        Least time between two handovers to the preferred entry, in milliseconds.
    """

    identity: Callable[[], tuple[str, int]]
    configuration: Callable[[], EffectiveConfiguration]
    view: Callable[[], View]
    announcements: AnnouncementTable
    propose: Callable[[str, AssignHost], Awaitable[bool]]
    make_agent: Callable[[str, Announcement, float], HostedAgent]
    clock: Clock
    stale_ms: float
    rebalance_ms: float


class _RunningAgent(NamedTuple):
    agent: HostedAgent
    announcement: Announcement


def choose_host(target: str, zone: str, members: tuple[ViewMember, ...]) -> ViewMember | None:
    """Return the member that should host a target: one in its zone if there is any.

    Rendezvous hashing (Thaler and Ravishankar, 1998) makes every entry choose the same one.
    """
    if not members:
        return None
    candidates = [member for member in members if member.zone == zone] or list(members)
    return max(candidates, key=lambda member: sha256(f"{target} {member.name}".encode()).digest())


class Hosting:
    """Starts, stops and hands over the agents that one entry hosts.

    Parameters
    ----------
    parts : HostingParts
        Dependencies.
    """

    def __init__(self, parts: HostingParts) -> None:
        self.stopping = False
        self._parts = parts
        self._running: dict[str, _RunningAgent] = {}
        self._proposed_ms: dict[str, float] = {}
        self._transitions: dict[str, asyncio.Task] = {}
        self._rebalanced_ms = parts.clock()

    def list_hosted(self) -> list[str]:
        """Return the ids of the targets whose agents run here, sorted."""
        return sorted(self._running)

    async def update(self) -> None:
        """Start, stop and propose hosts as configuration and announcements require."""
        if self.stopping:
            return
        live = self._parts.announcements.live()
        for target in [target for target in self._running if not self._should_run(target, live)]:
            self._begin_transition(target, self._stop(target))
        for target, announcement in live.items():
            if target not in self._transitions:
                await self._update_target(target, announcement)
        self._rebalance()

    async def stop(self) -> None:
        """Hand every hosted agent over to another entry once its running tasks have ended."""
        self.stopping = True
        await asyncio.gather(*self._transitions.values(), return_exceptions=True)
        await asyncio.gather(*(self._hand_over(target) for target in list(self._running)))

    def _begin_transition(self, target: str, transition: Awaitable[None]) -> None:
        if target in self._transitions:
            transition.close()
            return
        task = asyncio.ensure_future(transition)
        self._transitions[target] = task
        task.add_done_callback(lambda _: self._transitions.pop(target, None))

    def _rebalance(self) -> None:
        """Begin to hand one agent over, if another entry should host it."""
        now_ms = self._parts.clock()
        if now_ms - self._rebalanced_ms < self._parts.rebalance_ms:
            return
        for target in self._running:
            chosen = self._choose_member(target)
            if chosen is not None and (chosen.name, chosen.incarnation) != self._parts.identity():
                self._rebalanced_ms = now_ms
                self._begin_transition(target, self._hand_over(target))
                return

    async def _hand_over(self, target: str) -> None:
        """Stop a hosted agent, then propose another member of the view as its host."""
        host = self._parts.configuration().hosts.get(target)
        await self._stop(target)
        chosen = self._choose_member(target)
        if chosen is None or host is None:
            return
        name, incarnation = self._parts.identity()
        request_id = f"host/{target}/{host.epoch + 1}/{chosen.name}/{chosen.incarnation}"
        assignment = AssignHost(
            target, chosen.name, chosen.incarnation, host.epoch + 1, name, incarnation
        )
        await self._parts.propose(request_id, assignment)

    def _choose_member(self, target: str) -> ViewMember | None:
        known = self._parts.configuration().targets.get(target)
        members = self._parts.view().members
        if self.stopping:
            own = self._parts.identity()
            members = tuple(m for m in members if (m.name, m.incarnation) != own)
        return choose_host(target, known.zone, members) if known is not None else None

    async def _update_target(self, target: str, announcement: Announcement) -> None:
        configuration = self._parts.configuration()
        if announcement.has_agent or announcement.leaving:
            return
        if target not in configuration.targets:
            return
        host = configuration.hosts.get(target)
        if host is not None and (host.entry, host.incarnation) == self._parts.identity():
            await self._ensure_running(target, announcement, host)
            return
        if host is not None and self._parts.view().has_member(host.entry, host.incarnation):
            return
        chosen = self._choose_member(target)
        if chosen is None or (chosen.name, chosen.incarnation) != self._parts.identity():
            return
        await self._propose(target, host.epoch + 1 if host is not None else 1)

    async def _propose(self, target: str, epoch: int) -> None:
        now_ms = self._parts.clock()
        if now_ms - self._proposed_ms.get(target, -PROPOSAL_PAUSE_MS) < PROPOSAL_PAUSE_MS:
            return
        self._proposed_ms[target] = now_ms
        name, incarnation = self._parts.identity()
        request_id = f"host/{target}/{epoch}/{name}/{incarnation}"
        await self._parts.propose(request_id, AssignHost(target, name, incarnation, epoch))

    async def _ensure_running(self, target: str, announcement: Announcement, host: Host) -> None:
        running = self._running.get(target)
        if running is not None and _is_same_target(running.announcement, announcement):
            return
        if running is not None:
            self._begin_transition(target, self._stop(target))
            return
        wait_ms = 0.0 if host.epoch == 1 or host.released else self._parts.stale_ms
        agent = self._parts.make_agent(target, announcement, wait_ms)
        self._running[target] = _RunningAgent(agent, announcement)
        await agent.start()
        emit(HOST_STARTED, target=target, epoch=host.epoch, first_start_after_ms=wait_ms)

    async def _stop(self, target: str) -> None:
        running = self._running.pop(target)
        await running.agent.stop()
        emit(HOST_STOPPED, target=target)

    def _should_run(self, target: str, live: dict[str, Announcement]) -> bool:
        configuration = self._parts.configuration()
        host = configuration.hosts.get(target)
        if host is None or (host.entry, host.incarnation) != self._parts.identity():
            return False
        announcement = live.get(target)
        if announcement is None:
            return False
        return not announcement.leaving and not announcement.has_agent


def _is_same_target(first: Announcement, second: Announcement) -> bool:
    return (first.address, first.slots, first.connections, first.incarnation) == (
        second.address,
        second.slots,
        second.connections,
        second.incarnation,
    )
