"""The process of the dispatcher role: links, configuration, callers' jobs, readiness and stop."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from apricotrail.application import Application
from apricotrail.clocks import monotonic_ms, wall_ms
from apricotrail.errors import ErrorKind, http_status
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import TICK_MS, Roster, RosterParts
from apricotrail.metrics import add_status_listener
from apricotrail.pauses import pause
from apricotrail.queues._dispatcher import Dispatcher, DispatcherParts
from apricotrail.queues._document import POOL_PREFIX, QUEUE_PREFIX, QueueTable, read_queue_table
from apricotrail.queues._jobs import JobAnswer, JobRequest
from apricotrail.resources import read_resources
from apricotrail.settings import Settings, declare_setting
from apricotrail.wire import KeyRing, Link, LinkEndpoint
from apricotrail.wire.generated.ttypes import (
    ClaimRuns,
    Heartbeat,
    Identity,
    RunnerLost,
    RunOutcomes,
    StartRuns,
)

__all__ = ["QueueDispatcher"]

NAME = declare_setting(
    "dispatcher.name", "dispatcher-1", "Name of this dispatcher, unique in its environment."
)
ZONE = declare_setting("dispatcher.zone", "", "Availability zone of this dispatcher.")
SEEDS = declare_setting("dispatcher.seeds", [], "Link addresses of some control replicas.")
ENVIRONMENT = declare_setting(
    "dispatcher.environment", "production", "Environment of this dispatcher."
)
STATUS_LISTEN = declare_setting(
    "dispatcher.status_listen",
    "",
    "Address for /healthz, /readyz and /metrics; empty for none.",
)
TASK_MEMORY_SHARE = declare_setting(
    "dispatcher.task_memory_share",
    0.125,
    "Share of process.memory_mb for the tasks of open jobs, of 1 KiB each; a job that would exceed "
    "it is refused, one of more than 64 tasks from half of it on.",
    minimum=0.001,
    maximum=0.5,
)
TASK_BYTES = 1_024
IDLE_TICK_MS = 100  # if no task waits; less than the pause of a process that is noticed
# Without runs at an agent, every second heartbeat of it, sent every 200 ms, is answered; links are
# replaced only after a silence of more than a second.
IDLE_ECHO_MS = 300
# The answers are enough unless a heartbeat of the agent is late.
ANSWERED_HEARTBEAT_MS = 800.0
STOP_WAIT_MS = 400  # a job sent again waits this long for its stopped runs to end
POLL_MS = 10
START_WAIT_MS = 600  # a new process has its links and queues within this once its peers run
# An acknowledged version is in force within 2 s. Queues that were confirmed as the newest less than
# this before a request hold all versions that were acknowledged 2 s before it was sent.
MAX_CONFIRMATION_AGE_MS = 1_500
CONFIRM_WAIT_MS = 300  # several round trips; callers may ask another dispatcher after that
MAX_LOGGED_CHARACTERS = 100

QUEUES_TAKEN = declare_event(
    10101,
    "queues_taken",
    Level.INFO,
    "This dispatcher applied a newer version of the queue document; new jobs follow it.",
)
DISPATCHER_TICK_FAILED = declare_event(
    10102,
    "dispatcher_tick_failed",
    Level.ERROR,
    "The periodic work of this dispatcher raised an error; it goes on with the next tick.",
)
DISPATCHER_DRAINING = declare_event(
    10103,
    "dispatcher_draining",
    Level.INFO,
    "A planned stop began: this dispatcher reports not ready, but serves jobs that still arrive.",
)
QUEUE_NOT_FOUND = declare_event(
    10104,
    "queue_not_found",
    Level.INFO,
    "A request was answered 404: no queue has its host and path, and age_ms ago the queues were "
    "confirmed as the newest.",
)
QUEUES_UNCONFIRMED = declare_event(
    10105,
    "queues_unconfirmed",
    Level.WARNING,
    "A request was answered 503, as its answer depends on the newest queues and those here were "
    "last confirmed age_ms ago. Check that a majority of the control replicas runs and is reached.",
)


def _read_max_open_tasks(settings: Settings) -> int:
    memory_bytes = read_resources(settings).memory_bytes
    return int(memory_bytes * settings.get(TASK_MEMORY_SHARE) / TASK_BYTES)


class QueueDispatcher:
    """One dispatcher process: joins callers, the `Dispatcher` and the links to agents and control.

    Parameters
    ----------
    settings : Settings
        Values of ``dispatcher.*`` and ``link.*``.

    Attributes
    ----------
    application : Application
        Starts and stops the parts of the process.
    dispatcher : Dispatcher
        Owner of the open jobs.
    table : QueueTable
        Queues of the configuration in force.
    stopping : bool
        Whether a planned stop has begun.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.application = Application("dispatcher")
        self.table = QueueTable()
        self.stopping = False
        self._busy_agents: set[str] = set()
        identity = Identity(
            settings.get(NAME), "dispatcher", settings.get(ZONE), wall_ms(), settings.get(NAME)
        )
        self.endpoint = LinkEndpoint(
            identity, settings.get(ENVIRONMENT), KeyRing(None), settings, monotonic_ms
        )
        self.dispatcher = Dispatcher(
            DispatcherParts(
                monotonic_ms,
                Random(),
                self._send,
                lambda agent: self.roster.is_unlisted(agent),
                self._is_unlisted_since,
                _read_max_open_tasks(settings),
            )
        )
        self.roster = Roster(
            RosterParts(
                self.endpoint,
                tuple(settings.get(SEEDS)),
                settings.get(ZONE),
                (QUEUE_PREFIX, POOL_PREFIX, "queues"),
                monotonic_ms,
                self._apply_configuration,
                "runner",
                self.dispatcher.retire_agents,
            )
        )
        self.endpoint.on(RunOutcomes, self._receive_outcomes)
        self.endpoint.on(RunnerLost, self._receive_runner_lost)
        self.endpoint.on_up(self._link_up)
        self.endpoint.on_down(self._link_down)
        self.endpoint.make_heartbeat = self._make_heartbeat
        self.endpoint.may_echo = lambda: self.dispatcher.check_for_pause() == 0.0
        self.endpoint.receive_heartbeat = self._receive_heartbeat
        self.endpoint.heartbeat_ms_by_role["runner"] = ANSWERED_HEARTBEAT_MS
        metrics = self.dispatcher.metrics
        metrics.links.watch(lambda: len(self.endpoint.links))
        self.endpoint.open_links.limits_met.on_limit = metrics.limits_met.add
        metrics.config_version.watch(lambda: self.table.version)
        metrics.config_age_ms.watch(self.roster.freshness.age_ms)
        self.application.on_start(self._start)
        add_status_listener(
            self.application, settings.get(STATUS_LISTEN), metrics, self.is_ready, settings
        )
        self.application.on_stop(self.endpoint.stop)

    def is_ready(self) -> bool:
        """Return whether jobs should come here: queues and a runner are known, no stop begun."""
        return not self.stopping and self.table.version > 0 and self._has_runners()

    def begin_stop(self) -> None:
        """Report not ready, so that callers go elsewhere; jobs that still arrive are served."""
        self.stopping = True
        emit(DISPATCHER_DRAINING, jobs=len(self.dispatcher.jobs))

    async def wait_for_queues(self) -> bool:
        """Wait up to `START_WAIT_MS` for the first queue document; return whether there is one."""
        return await self._wait_until(lambda: self.table.version > 0)

    def is_confirmed(self) -> bool:
        """Return whether the queues were confirmed as the newest just before.

        Only then may an answer state which queues there are, or what is in one. A job of a known
        queue is run however old the queues are.
        """
        return self.roster.freshness.age_ms() < MAX_CONFIRMATION_AGE_MS

    async def wait_for_confirmation(self) -> bool:
        """Ask control for a confirmation of the queues and wait up to `CONFIRM_WAIT_MS` for it."""

        def is_confirmed() -> bool:
            self.roster.request_confirmation()
            return self.is_confirmed()

        return await self._wait_until(is_confirmed, CONFIRM_WAIT_MS)

    def log_denial(self, host: str, path: str, status: int) -> None:
        """Log that a request was answered 404, or 503 as the queues aren't confirmed."""
        prefix = path[: path.find("/", 1) + 1] or path
        emit(
            QUEUE_NOT_FOUND if status == http_status(ErrorKind.NOT_FOUND) else QUEUES_UNCONFIRMED,
            host=host[:MAX_LOGGED_CHARACTERS],
            prefix=prefix[:MAX_LOGGED_CHARACTERS],
            version=self.table.version,
            age_ms=round(self.roster.freshness.age_ms()),
            status=status,
        )

    async def _wait_until(
        self, condition: Callable[[], bool], limit_ms: float = START_WAIT_MS
    ) -> bool:
        """Wait for what a process lacks for some hundred ms after a start or a pause."""
        end_ms = monotonic_ms() + limit_ms
        while not condition() and not self.stopping and monotonic_ms() < end_ms:
            await asyncio.sleep(POLL_MS / 1000)
        return condition()

    async def run_job(
        self, request: JobRequest, queue: Any, disconnected: asyncio.Future | None
    ) -> JobAnswer | None:
        """Run a job and return its answer; None if its caller disconnected first."""
        while (unsettled_ms := self.dispatcher.check_for_pause()) > 0.0:
            await asyncio.sleep(unsettled_ms / 1000)
        await self._wait_until_stopped(request.job_id)
        registry = self.dispatcher.registry
        if not registry.is_complete(queue.pool):
            await self._wait_until(lambda: self.dispatcher.would_admit(request, queue))
        if disconnected is not None and disconnected.done():
            # The caller may have sent the job to another dispatcher by now.
            return None
        answer = self.dispatcher.submit(request, queue)
        if not answer.done() and disconnected is not None:
            await asyncio.wait({answer, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if answer.done() or disconnected is None:
            return await answer
        self.dispatcher.detach_caller(request.job_id, answer)
        return None

    async def _wait_until_stopped(self, job_id: str) -> None:
        """Wait up to `STOP_WAIT_MS` until the runs of a stopped job with this id have ended."""
        for _ in range(STOP_WAIT_MS // POLL_MS):
            job = self.dispatcher.jobs.get(job_id)
            if job is None or not job.stopping:
                return
            await asyncio.sleep(POLL_MS / 1000)

    async def _start(self) -> None:
        self.endpoint.start()
        self.roster.start()
        self.application.spawn(self._tick_forever())

    async def _tick_forever(self) -> None:
        while True:
            pause_ms = TICK_MS
            try:
                self._busy_agents = self.dispatcher.list_busy_agents()
                self.dispatcher.tick()
                self.roster.tick()
                if not self.dispatcher.has_waiting():
                    pause_ms = IDLE_TICK_MS
            except Exception as error:
                emit(DISPATCHER_TICK_FAILED, error=repr(error))
            await pause(pause_ms)

    def _has_runners(self) -> bool:
        return any(runner.load is not None for runner in self.dispatcher.registry.by_agent.values())

    def _apply_configuration(self) -> None:
        self.table = read_queue_table(self.roster.configuration.items(), self.table)
        emit(QUEUES_TAKEN, version=self.table.version, queues=len(self.table.queues))

    # ---- links ----

    def _is_unlisted_since(self, agent: str, as_of_ms: float) -> bool:
        if monotonic_ms() >= as_of_ms:
            # The replicas' own heartbeats are too far apart to wait for.
            self.roster.request_confirmation()
        return self.roster.is_unlisted(agent, as_of_ms)

    def _send(self, agent: str, message: Any) -> bool:
        link = self.endpoint.links.get(agent)
        if link is None:
            return False
        if isinstance(message, StartRuns | ClaimRuns):
            self._busy_agents.add(agent)
            if link.owes_echo:
                # The agent starts a run only if it knows that its owner was alive just before.
                link.send_heartbeat()
        return link.send(message)

    def _link_up(self, link: Link) -> None:
        if link.peer.role == "runner":
            self.dispatcher.link_up(link.peer.name)

    def _link_down(self, link: Link) -> None:
        self.dispatcher.metrics.links_lost.add()
        if link.peer.role == "runner":
            self.dispatcher.link_down(link.peer.name)

    def _make_heartbeat(self, link: Link) -> Heartbeat:
        return Heartbeat(config_version=self.roster.configuration.version)

    def _receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, heartbeat_sent_ms: float | None
    ) -> None:
        if link.peer.role == "control":
            self.roster.receive_heartbeat(link, heartbeat, heartbeat_sent_ms)
        elif link.peer.role == "runner":
            if heartbeat_sent_ms is not None:
                self.dispatcher.receive_echo(link.peer.name, heartbeat_sent_ms)
            if heartbeat.runner_load is not None:
                self.dispatcher.receive_heartbeat(link.peer.name, heartbeat.runner_load)
            # Answering at once shows the agent that the owner of its runs is alive.
            if self._is_echo_due(link):
                link.send_heartbeat()
            unsettled_ms = self.dispatcher.check_for_pause()
            if unsettled_ms > 0.0:
                loop = asyncio.get_running_loop()
                loop.call_later(unsettled_ms / 1000, link.send_heartbeat)

    def _is_echo_due(self, link: Link) -> bool:
        """Return whether an agent needs an answer to its heartbeat: it has runs, or waits long."""
        is_busy = link.peer.name in self._busy_agents
        return is_busy or monotonic_ms() - link.beat_ms >= IDLE_ECHO_MS

    def _receive_outcomes(self, link: Link, message: RunOutcomes) -> None:
        self.dispatcher.receive_outcomes(link.peer.name, message)

    def _receive_runner_lost(self, link: Link, message: RunnerLost) -> None:
        self.dispatcher.receive_runner_lost(link.peer.name, message)
