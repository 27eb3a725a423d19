"""Connects one agent's state machine to its links, its configuration and its target.

Receives the entries' messages, follows the configuration, announces the target and opens the HTTP
connections to it.
"""

import asyncio
import math
from contextlib import suppress
from typing import Any

from apricotrail.agent._agent import Agent
from apricotrail.agent._callbacks import AgentCallbacks
from apricotrail.agent._client import run_task, stop_task
from apricotrail.agent._deliveries import Deliveries
from apricotrail.agent._follower import ConfigurationFollower
from apricotrail.agent._gate import GateState, find_closed_reason
from apricotrail.agent._parameters import AgentParameters, make_announcement
from apricotrail.agent._records import Outcome
from apricotrail.agent._target_configuration import (
    UNKNOWN,
    TargetConfiguration,
    read_target_configuration,
)
from apricotrail.clocks import Clock
from apricotrail.events import Level, declare_event, emit
from apricotrail.http import ClientLimits, HttpClient
from apricotrail.membership import NEVER_CONFIRMED_AGE_MS, NO_VIEW, View, read_view
from apricotrail.wire import Link, LinkEndpoint
from apricotrail.wire.generated import ttypes
from apricotrail.wire.generated.ttypes import Heartbeat, Reason, ShareAnnouncements

__all__ = ["TargetAgent"]

STOP_CONNECTIONS = 8
POLL_MS = 10
ANNOUNCEMENTS_PER_LEASE = 3
# In units of link.silent_ms: within three, a silent link is noticed, a new one opened and the
# attempts resolved on it.
DELIVERY_SILENT_PERIODS = 3

AGENT_STOPPED = declare_event(
    5101,
    "agent_stopped",
    Level.INFO,
    "The agent of a target completed a planned stop; "
    "cut_off counts the tasks it stopped because they ran beyond the deadline.",
)
AGENT_LOOP_FAILED = declare_event(
    5102,
    "agent_loop_failed",
    Level.ERROR,
    "A periodic step of an agent (clean-up or announcement) raised an exception; "
    "it is repeated after its interval. Report the error as a defect.",
)


class TargetAgent:
    """The agent of one target with its links, configuration and HTTP connections.

    Parameters
    ----------
    parameters : AgentParameters
        Target and limits.
    endpoint : LinkEndpoint
        The agent's endpoint, named ``agent:<target id>``; started and stopped by this object.

    Attributes
    ----------
    agent : Agent
        State machine with ledger, slots and runs.
    """

    def __init__(self, parameters: AgentParameters, endpoint: LinkEndpoint) -> None:
        clock = endpoint.clock
        self._parameters = parameters
        self._endpoint = endpoint
        self._clock: Clock = clock
        self._earliest_start_ms = clock() + parameters.first_start_after_ms
        self._target_configuration: TargetConfiguration = UNKNOWN
        self._view: View = NO_VIEW
        self._leaving = False
        self._closed_reason: int = Reason.NONE
        self._stopping = False
        self._deliveries = Deliveries(clock)
        self._follower = ConfigurationFollower(clock, parameters.stale_ms, self._apply_items)
        connections = max(1, parameters.connections)
        self._client = HttpClient(ClientLimits(connections=connections), clock)
        self._stop_client = HttpClient(ClientLimits(connections=STOP_CONNECTIONS), clock)
        callbacks = AgentCallbacks(
            self._send,
            lambda flush: asyncio.get_running_loop().call_soon(flush),
            self._run_task,
            self._stop_task,
            self._gate_state,
        )
        slots = min(parameters.slots, connections)
        self.agent = Agent(callbacks, slots, parameters.grant_ms, parameters.ledger, clock)
        self._connect_handlers()
        self._watch_metrics()

    async def start(self) -> None:
        """Dial the entries and start the periodic clean-up and announcements."""
        self._earliest_start_ms = self._clock() + self._parameters.first_start_after_ms
        self._endpoint.start()
        for address in self._parameters.entries:
            self._endpoint.dial(address)
        self._endpoint.spawn(self._repeat(self._parameters.tick_ms, self._tick))
        if self._parameters.announces:
            interval_ms = self._parameters.lease_ms / ANNOUNCEMENTS_PER_LEASE
            self._endpoint.spawn(self._repeat(interval_ms, self._announce_to_all))

    async def stop(self, deadline_ms: float | None = None) -> None:
        """Refuse new starts, wait for running tasks and for receipt of their outcomes, then close.

        Parameters
        ----------
        deadline_ms : float, optional
            Longest wait for running tasks in milliseconds, by default that of the parameters;
            tasks that still run are then stopped.
        """
        limit_ms = self._parameters.stop_deadline_ms if deadline_ms is None else deadline_ms
        self._stopping = True
        self._announce_to_all()
        self._send_heartbeats()
        await self._wait_for_runs(limit_ms)
        cut_off = self.agent.slots.running
        self.agent.runs.stop_all(Reason.STOPPING)
        await self._wait_for_runs(self._parameters.stop_task_ms)
        await self._wait_for_deliveries(DELIVERY_SILENT_PERIODS * self._endpoint.silent_ms)
        await self._endpoint.stop()
        await self._client.close()
        await self._stop_client.close()
        emit(AGENT_STOPPED, target=self._parameters.target, cut_off=cut_off)

    def is_ready(self) -> bool:
        """Return whether tasks may start on the target now."""
        return find_closed_reason(self._gate_state()) == Reason.NONE

    def set_leaving(self, leaving: bool) -> None:
        """Set whether the target announced that it is leaving; if so, no task starts on it."""
        self._leaving = leaving
        self._send_heartbeats()

    # ---- callbacks of the state machine ----

    def _gate_state(self) -> GateState:
        return GateState(
            self._parameters.target,
            self._endpoint.identity.incarnation,
            self._follower.freshness.is_fresh(),
            self._target_configuration,
            self._leaving,
            self._stopping,
            self._clock() < self._earliest_start_ms,
        )

    def _send(self, entry: str, message: Any) -> bool:
        self._deliveries.record_sent(entry)
        link = self._endpoint.links.get(entry)
        if link is None:
            return False
        if link.send(message):
            return True
        link.close()
        return False

    async def _run_task(self, job: str, start: ttypes.TaskStart, budget_ms: float) -> Outcome:
        return await run_task(
            self._client,
            self._parameters.address,
            job,
            start.task,
            start.body,
            budget_ms,
            lambda: find_closed_reason(self._gate_state()),
            self._target_configuration.max_answer_bytes,
        )

    async def _stop_task(self, job: str, task: int) -> None:
        address, limit_ms = self._parameters.address, self._parameters.stop_task_ms
        await stop_task(self._stop_client, address, job, task, limit_ms)

    # ---- links ----

    def _connect_handlers(self) -> None:
        endpoint, agent = self._endpoint, self.agent
        endpoint.make_heartbeat = self._make_heartbeat
        endpoint.receive_heartbeat = self._receive_heartbeat
        endpoint.on_up(self._link_up)
        endpoint.on_down(self._link_down)
        endpoint.on(ttypes.StartTasks, self._receive_start)
        endpoint.on(ttypes.ResolveAttempts, self._resolve_attempts)
        endpoint.on(ttypes.FenceJob, self._fence_job)
        endpoint.on(ttypes.StopTasks, lambda link, m: agent.stop_tasks(m))
        endpoint.on(ttypes.SlotWant, lambda link, m: agent.receive_slot_want(link.peer.name, m))
        endpoint.on(ttypes.LedgerRequest, lambda link, m: agent.list_ledger())
        endpoint.on(ttypes.ConfigurationChange, self._receive_change)
        endpoint.on(ShareAnnouncements, self._receive_announcements)

    def _receive_start(self, link: Link, message: ttypes.StartTasks) -> None:
        in_view = self._view.has_member(link.peer.name, link.peer.incarnation)
        self.agent.start_tasks(link.peer.name, message, in_view)

    def _resolve_attempts(
        self, link: Link, message: ttypes.ResolveAttempts
    ) -> ttypes.AttemptStates | None:
        self._deliveries.record_sent(link.peer.name)
        return self.agent.resolve_attempts(link.peer.name, message)

    def _fence_job(self, link: Link, message: ttypes.FenceJob) -> ttypes.AttemptStates | None:
        self._deliveries.record_sent(link.peer.name)
        return self.agent.fence_job(message)

    def _link_up(self, link: Link) -> None:
        self.agent.reset_entry(link.peer.name)
        self._deliveries.record_new_link(link.peer.name)
        if self._parameters.announces:
            link.send(self._announcement())
        link.send_heartbeat()

    def _link_down(self, link: Link) -> None:
        self.agent.reset_entry(link.peer.name)
        self.agent.metrics.links_lost.add()

    def _make_heartbeat(self, link: Link) -> Heartbeat:
        version = self._follower.configuration.version
        age_ms = math.ceil(min(self._follower.freshness.age_ms(), NEVER_CONFIRMED_AGE_MS))
        load = self.agent.describe_load(link.peer.name)
        return Heartbeat(
            config_version=version,
            config_age_ms=age_ms,
            loads=[load],
            stopping=self._stopping,
            confirmed_version=version,
        )

    def _receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, heartbeat_sent_ms: float | None
    ) -> None:
        if heartbeat_sent_ms is not None:
            self._deliveries.record_echo(link.peer.name, heartbeat_sent_ms)
        if link.peer.role != "entry":
            return
        request = self._follower.receive_heartbeat(link, heartbeat, heartbeat_sent_ms)
        if request is not None:
            self._endpoint.spawn(self._follower.fetch(link, request))

    def _receive_change(self, link: Link, change: ttypes.ConfigurationChange) -> None:
        if link.peer.role == "entry":
            self._follower.apply(change)

    def _apply_items(self, items: dict[str, bytes]) -> None:
        self._target_configuration = read_target_configuration(items, self._parameters.target)
        self._view = read_view(items.get("view"))
        member_addresses = {member.address for member in self._view.members}
        dial_addresses = member_addresses | set(self._parameters.entries)
        for address in dial_addresses - set(self._endpoint.dialed()):
            self._endpoint.dial(address)
        for address in set(self._endpoint.dialed()) - dial_addresses:
            self._endpoint.undial(address)
        self._send_heartbeats()
        self.agent.outbox.request_flush()

    # ---- announcements ----

    def _announcement(self) -> ShareAnnouncements:
        incarnation = self._endpoint.identity.incarnation
        return make_announcement(
            self._parameters, self.agent.slots.count, incarnation, self._stopping
        )

    def _announce_to_all(self) -> None:
        if not self._parameters.announces:
            return
        message = self._announcement()
        for link in self._entry_links():
            link.send(message)

    def _receive_announcements(self, link: Link, message: ShareAnnouncements) -> None:
        for announcement in message.announcements or ():
            if announcement.target in self._target_configuration.references:
                self.set_leaving(bool(announcement.leaving))

    # ---- internals ----

    def _watch_metrics(self) -> None:
        metrics, agent = self.agent.metrics, self.agent
        metrics.links.watch(self._endpoint.links.__len__)
        self._endpoint.open_links.limits_met.on_limit = metrics.limits_met.add
        metrics.config_version.watch(lambda: self._follower.configuration.version)
        metrics.config_age_ms.watch(self._follower.freshness.age_ms)
        metrics.slots.watch(lambda: agent.slots.count)
        metrics.free_slots.watch(agent.slots.free)
        metrics.running_tasks.watch(lambda: agent.slots.running)
        metrics.ledger_records.watch(agent.ledger.__len__)

    def _entry_links(self) -> list[Link]:
        return [link for link in self._endpoint.links.values() if link.peer.role == "entry"]

    def _tick(self) -> None:
        """Clean up, and inform the entries at once when starts become allowed or refused."""
        self.agent.tick()
        closed_reason = find_closed_reason(self._gate_state())
        if closed_reason != self._closed_reason:
            self._closed_reason = closed_reason
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        for link in self._entry_links():
            link.send_heartbeat()

    async def _repeat(self, interval_ms: float, step) -> None:
        while True:
            await asyncio.sleep(interval_ms / 1000)
            try:
                step()
            except Exception as error:
                emit(AGENT_LOOP_FAILED, error=repr(error))

    async def _wait_for_runs(self, limit_ms: float) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, limit_ms) / 1000):
                await self.agent.runs.wait_until_idle()

    async def _wait_for_deliveries(self, limit_ms: float) -> None:
        """Wait until each entry acknowledged what was sent to it, over a new link if necessary."""
        until_ms = self._clock() + limit_ms
        for link in self._entry_links():
            self._deliveries.record_sent(link.peer.name)
        await asyncio.sleep(POLL_MS / 1000)
        self._send_heartbeats()
        while self._deliveries.list_unacknowledged() and self._clock() < until_ms:
            await asyncio.sleep(POLL_MS / 1000)
