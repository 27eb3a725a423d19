"""Builds the components of an entry, connects them, and starts and stops them in order."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

from apricotrail.agent import GRANT_MS, make_hosted_agent
from apricotrail.agent import RETENTION_S as LEDGER_RETENTION_S
from apricotrail.application import STOP_MS, Application
from apricotrail.clocks import monotonic_ms, wall_ms
from apricotrail.entry._admission import (
    MAX_JOBS_OF_CALLER,
    AdmissionParts,
    make_admit,
    make_retry_after,
)
from apricotrail.entry._agents import AgentTable
from apricotrail.entry._announcements import MAX_ANNOUNCEMENTS, AnnouncementTable
from apricotrail.entry._announcer import Announcer
from apricotrail.entry._burn import EXCHANGE_S, BurnCounts
from apricotrail.entry._callers import CallerParts, add_caller_routes
from apricotrail.entry._claiming import CLAIM_CALL_MS, CLAIM_HEDGE_MS
from apricotrail.entry._claims import MAX_ANSWERS_BYTES, MAX_CLAIMS, RETENTION_S, ClaimTable
from apricotrail.entry._control_client import CONTROL_CALL_MS, ControlClient
from apricotrail.entry._dispatch import AGENT_LOST_MS, STOP_GRACE_MS, JobDispatcher
from apricotrail.entry._dispatch_state import DispatchState
from apricotrail.entry._hosting import REBALANCE_MS, Hosting, HostingParts
from apricotrail.entry._ledgers import LedgerReader
from apricotrail.entry._observation import JobObserver, watch_dispatcher, watch_membership
from apricotrail.entry._operating import OperatingParts, make_operator_router
from apricotrail.entry._ownership import OwnershipParts
from apricotrail.entry._placer import Placer
from apricotrail.entry._relay import ConfigurationRelay
from apricotrail.entry._submission import MAX_DEADLINE_MS, read_limits
from apricotrail.entry._succession import SYNC_MS, ViewSuccession
from apricotrail.entry._takeover import TakeOverParts, make_take_over
from apricotrail.entry.pipeline import Pipeline
from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.http import HttpServer, Router, read_server_limits
from apricotrail.membership import CONFIG_STALE_MS, NEVER_CONFIRMED_AGE_MS
from apricotrail.metrics import make_metrics, watch_loop_lag
from apricotrail.policy import PLACEMENTS, Admission, Placement
from apricotrail.settings import Settings, declare_constraint, declare_setting
from apricotrail.wire import KEY_FILE, KeyRing, Link, LinkEndpoint, parse_address
from apricotrail.wire.generated import ttypes

__all__ = ["Entry", "make_entry"]

NAME = declare_setting("entry.name", "entry-1", "Name of this entry, unique in its environment.")
ZONE = declare_setting("entry.zone", "", "Availability zone of this entry.")
ENVIRONMENT = declare_setting("entry.environment", "production", "Environment of this entry.")
LISTEN = declare_setting("entry.listen", "127.0.0.1:8080", "Address for callers and targets.")
OPERATORS_LISTEN = declare_setting(
    "entry.operators_listen", "127.0.0.1:8081", "Address for operators, not that for callers."
)
LINK_LISTEN = declare_setting("entry.link_listen", "127.0.0.1:7080", "Address for links.")
CONTROL_ADDRESSES = declare_setting(
    "control.addresses", [], "Link addresses of the control replicas."
)
PLACEMENT = declare_setting("entry.placement", "late-binding", "Name of the placement policy.")
DRAIN_MS = declare_setting(
    "entry.drain_ms",
    2_000,
    "How long a stopping entry keeps serving until the load balancer stops choosing it.",
    unit="ms",
    minimum=0,
)
FINISH_MS = declare_setting(
    "entry.finish_ms", 20_000, "How long a stopping entry waits for its jobs.", unit="ms", minimum=0
)
declare_constraint(
    (DRAIN_MS, FINISH_MS, STOP_MS),
    lambda drain_ms, finish_ms, stop_ms: drain_ms + finish_ms < stop_ms,
    "entry.drain_ms and entry.finish_ms together must be under process.stop_ms",
    "Raise process.stop_ms, or lower entry.finish_ms.",
)
declare_constraint(
    (MAX_DEADLINE_MS, RETENTION_S),
    lambda max_deadline_ms, retention_s: max_deadline_ms < retention_s * 1_000,
    "entry.max_deadline_ms must be under entry.retention_s",
    "Lower entry.max_deadline_ms, or raise entry.retention_s.",
)
declare_constraint(
    (RETENTION_S, LEDGER_RETENTION_S),
    lambda retention_s, ledger_retention_s: retention_s <= ledger_retention_s,
    "agent.retention_s must be at least entry.retention_s",
    "Raise agent.retention_s: claims are rebuilt from the agents' ledgers.",
)
TICK_MS = 250
POLL_MS = 20
MS_PER_S = 1_000
STOP_STEP_MS = 2_000  # longest time for each of the last steps of a planned stop

ENTRY_EXCLUDED = declare_event(
    2002,
    "entry_excluded",
    Level.ERROR,
    "A new entry view excludes this entry: it was silent for too long, or a newer process has its "
    "name. Its open jobs are reported as may_have_run, and it rejoins as a new incarnation. "
    "Check its links to control and that its name is unique.",
)
TICK_FAILED = declare_event(
    4401,
    "tick_failed",
    Level.ERROR,
    "A periodic step of this entry raised an exception; the next interval runs it again. If the "
    "error recurs, report it.",
)


class Entry:
    """One entry process.

    Parameters
    ----------
    settings : Settings
        Values of its settings.

    Attributes
    ----------
    application : Application
        Life cycle.
    address, operators_address : str
        Addresses for callers and for operators, empty until started.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.application = Application("entry")
        self.address = ""
        self.ready = False
        self.stopping = False
        self.random = Random()
        self.stale_ms = float(settings.get(CONFIG_STALE_MS))
        self.endpoint = _make_endpoint(settings)
        self.agents = AgentTable(monotonic_ms, settings.get(GRANT_MS), self.stale_ms)
        self.announcements = AnnouncementTable(monotonic_ms, settings.get(MAX_ANNOUNCEMENTS))
        self.control = ControlClient(self.endpoint, settings.get(CONTROL_CALL_MS))
        self.relay = ConfigurationRelay(self.endpoint, self.agents, monotonic_ms, self.stale_ms)
        self.table = ClaimTable(
            monotonic_ms,
            settings.get(RETENTION_S) * MS_PER_S,
            settings.get(MAX_CLAIMS),
            settings.get(MAX_ANSWERS_BYTES),
        )
        self.succession = ViewSuccession(
            self.table, self.find_link, self.identity, monotonic_ms, settings.get(SYNC_MS)
        )
        self.announcer = Announcer(self.announcements, lambda: self.relay.effective, self.endpoint)
        self.ledgers = LedgerReader(
            self.agents,
            self.table,
            self.succession,
            lambda: self.relay.effective.targets,
            monotonic_ms,
        )
        self.metrics = make_metrics("entry")
        self.dispatcher = self._make_dispatcher()
        self.hosting = Hosting(self._hosting_parts())
        admission = self._admission_parts()
        self.admit = make_admit(admission)
        self.retry_after_ms = make_retry_after(admission)
        self.burn = BurnCounts(
            *self.identity(),
            lambda: self.relay.effective,
            self.member_links,
            lambda: {member.name for member in self.succession.view.members},
        )
        self.observer = JobObserver(self.metrics, self.burn)
        self.pipeline = Pipeline(self._ownership_parts(), self.observer.observe_job)
        self.server = HttpServer(
            self._make_router(),
            read_server_limits(settings),
            on_limit=self.metrics.limits_met.add,
        )
        self.operators = HttpServer(
            make_operator_router(self._operating_parts()),
            read_server_limits(settings, "operators"),
            on_limit=self.metrics.limits_met.add,
        )
        self.operators_address = ""
        self._was_member = False
        self._register_handlers()

    # ---- identity and peers ----

    def identity(self) -> tuple[str, int]:
        """Return the name and incarnation of this process."""
        return self.endpoint.identity.name, self.endpoint.identity.incarnation

    def find_link(self, name: str, incarnation: int) -> Link | None:
        """Return the link to an entry, None if it is not linked or is another incarnation."""
        link = self.endpoint.links.get(name)
        return link if link is not None and link.peer.incarnation == incarnation else None

    def member_links(self) -> list[Link]:
        """Return the links to the other members of the view, those in this entry's zone first."""
        own = self.identity()
        members = [m for m in self.succession.view.members if (m.name, m.incarnation) != own]
        members.sort(key=lambda member: (member.zone != self.endpoint.identity.zone, member.name))
        links = [self.find_link(member.name, member.incarnation) for member in members]
        return [link for link in links if link is not None]

    def list_usable_targets(self, service: str) -> list[tuple[str, str]]:
        """Return (target, zone) of each target that is not leaving and whose zone is in service."""
        configuration = self.relay.effective
        return [
            (target.id, target.zone)
            for target in configuration.targets_of(service)
            if configuration.is_zone_in_service(target.zone)
            and not configuration.is_target_leaving(target.id)
        ]

    def find_service(self, target: str) -> str | None:
        """Return the service id of a target, None if the document does not contain the target."""
        known = self.relay.effective.targets.get(target)
        return known.service if known is not None else None

    # ---- links ----

    def _make_heartbeat(self, link: Link) -> ttypes.Heartbeat:
        age_ms = min(int(self.relay.freshness.age_ms()), NEVER_CONFIRMED_AGE_MS)
        heartbeat = ttypes.Heartbeat(
            config_version=self.relay.configuration.version, config_age_ms=age_ms
        )
        if link.peer.role == "control":
            heartbeat.ready_epoch = self.table.ready_epoch
            heartbeat.confirmed_version = self.relay.confirmed_version()
            heartbeat.stopping = self.stopping and self.pipeline.is_idle()
        return heartbeat

    def _receive_heartbeat(
        self, link: Link, heartbeat: ttypes.Heartbeat, heartbeat_sent_ms: float | None
    ) -> None:
        if link.peer.role != "agent":
            self.relay.receive_heartbeat(link, heartbeat, heartbeat_sent_ms)
            return
        agent = self.agents.find(link.peer.name)
        if agent is None:
            return
        agent.config_version = heartbeat.config_version or 0
        for load in heartbeat.loads or ():
            agent.report(load)
        self.dispatcher.placer.schedule_target(agent.target)

    def _link_up(self, link: Link) -> None:
        if link.peer.role != "agent":
            return
        self.dispatcher.connect(link)
        self.relay.push_to(link)
        self.application.spawn(self.ledgers.read(link))

    def _link_down(self, link: Link) -> None:
        if link.peer.role == "agent":
            self.dispatcher.disconnect(link)

    # ---- view ----

    def _configuration_applied(self) -> None:
        view = self.relay.view
        for member in view.members:
            if member.name != self.endpoint.identity.name:
                self.endpoint.dial(member.address)
        self.metrics.views_installed.add(int(view.epoch > self.succession.view.epoch))
        if self._was_member and view.epoch and not view.has_member(*self.identity()):
            self._begin_new_incarnation()
        self._was_member = view.has_member(*self.identity())
        self.application.spawn(self._follow_view())
        self.dispatcher.placer.schedule_all()

    async def _follow_view(self) -> None:
        await self.succession.follow(self.relay.view)
        if self.succession.lost_wall_ms:
            await self.ledgers.read_all()

    def _begin_new_incarnation(self) -> None:
        """Abandon all jobs, which other entries may own by now, and rejoin as a new incarnation."""
        if self.stopping:
            return
        emit(ENTRY_EXCLUDED, epoch=self.relay.view.epoch, jobs=len(self.dispatcher.jobs))
        remedy = "Read the job from another entry, or check with the target."
        problem = Problem(ErrorKind.MAY_HAVE_RUN, "This entry lost contact for too long.", remedy)
        for job in list(self.dispatcher.jobs.values()):
            self.dispatcher.abandon(job, problem)
        self.table.clear()
        self.agents.forget_ledgers()
        self.endpoint.identity.incarnation = wall_ms()
        for link in list(self.endpoint.links.values()):
            link.close()

    # ---- components and handlers ----

    def _register_handlers(self) -> None:
        endpoint = self.endpoint
        endpoint.make_heartbeat = self._make_heartbeat
        endpoint.receive_heartbeat = self._receive_heartbeat
        endpoint.on_up(self._link_up)
        endpoint.on_down(self._link_down)
        endpoint.on(ttypes.TaskOutcomes, self.dispatcher.receive_outcomes)
        endpoint.on(ttypes.SlotOffer, self.dispatcher.receive_offer)
        endpoint.on(ttypes.Claim, self.pipeline.receive_claim)
        endpoint.on(ttypes.ClaimsRequest, self.pipeline.receive_claims_request)
        endpoint.on(ttypes.CopyAnswer, self.pipeline.receive_answer)
        endpoint.on(ttypes.AttachJob, self.pipeline.receive_attach)
        endpoint.on(ttypes.CancelJob, self.pipeline.receive_cancel)
        endpoint.on(ttypes.ReportRequest, self.burn.answer_request)
        watch_dispatcher(self.metrics, self.dispatcher, self.agents)
        watch_membership(self.metrics, endpoint, self.relay, self.table, self.succession)
        self.relay.on_applied.append(self._configuration_applied)
        self.application.on_start(self._start)
        self.application.on_stop(self._stop)

    def _make_dispatcher(self) -> JobDispatcher:
        dispatch_state = DispatchState(
            self.agents, monotonic_ms, self.random, self.metrics, self.settings
        )
        placer = Placer(
            dispatch_state,
            lambda: self.endpoint.identity.name,
            self.list_usable_targets,
            self.find_service,
            self.relay.freshness.is_fresh,
            _find_placement(self.settings.get(PLACEMENT))(self.random),
        )
        return JobDispatcher(
            dispatch_state,
            placer,
            self.settings.get(AGENT_LOST_MS),
            self.settings.get(STOP_GRACE_MS),
        )

    def _hosting_parts(self) -> HostingParts:
        return HostingParts(
            self.identity,
            lambda: self.relay.effective,
            lambda: self.relay.view,
            self.announcements,
            self.control.assign_host,
            self._make_hosted_agent,
            monotonic_ms,
            self.stale_ms,
            self.settings.get(REBALANCE_MS),
        )

    def _make_hosted_agent(
        self, target: str, announcement: ttypes.Announcement, first_start_after_ms: float
    ):
        return make_hosted_agent(
            self.settings,
            target,
            announcement,
            self.endpoint.environment,
            self.endpoint.identity.zone,
            [self.endpoint.identity.address],
            first_start_after_ms,
        )

    def _admission_parts(self) -> AdmissionParts:
        return AdmissionParts(
            lambda: self.relay.effective,
            self.relay.freshness.is_fresh,
            lambda: self.stopping,
            self.dispatcher,
            self.agents,
            Admission(self.random, self.settings),
            self.settings.get(MAX_JOBS_OF_CALLER),
            monotonic_ms,
            lambda: len(self.succession.view.members),
        )

    def _ownership_parts(self) -> OwnershipParts:
        take_over = make_take_over(
            TakeOverParts(
                self.agents,
                self.dispatcher,
                lambda: list(self.relay.effective.targets),
                self.identity,
                monotonic_ms,
                self.settings.get(CLAIM_CALL_MS),
            )
        )
        return OwnershipParts(
            self.identity,
            self.table,
            self.succession,
            self.dispatcher,
            self.admit,
            take_over,
            self.member_links,
            self.find_link,
            self.ledgers.report_coverage,
            monotonic_ms,
            self.settings.get(RETENTION_S) * MS_PER_S,
            self.stale_ms,
            self.settings.get(CLAIM_CALL_MS),
            self.settings.get(CLAIM_HEDGE_MS),
        )

    def _operating_parts(self) -> OperatingParts:
        return OperatingParts(
            self.settings,
            self.control,
            lambda: self.relay.effective,
            self.announcements,
            self.agents,
            self.burn,
            self.metrics.render,
            self.stale_ms,
        )

    def _make_router(self) -> Router:
        router = Router()
        parts = CallerParts(
            self.pipeline,
            read_limits(self.settings),
            self.announcer.announce,
            self.announcer.leave,
            lambda: self.ready and self.succession.is_ready() and self.relay.freshness.is_fresh(),
            self.retry_after_ms,
            self.metrics.render,
            self.observer.observe_refusal,
        )
        add_caller_routes(router, parts)
        return router

    # ---- life cycle ----

    async def _start(self) -> None:
        await self.endpoint.listen(*parse_address(self.settings.get(LINK_LISTEN)))
        self.endpoint.start()
        for address in self.settings.get(CONTROL_ADDRESSES):
            self.endpoint.dial(address)
        self.application.spawn(self._tick_forever())
        self.application.spawn(self._exchange_forever())
        self.application.spawn(watch_loop_lag(self.metrics.loop_lag_ms))
        self.address = await self.server.listen(*parse_address(self.settings.get(LISTEN)))
        operators = parse_address(self.settings.get(OPERATORS_LISTEN))
        self.operators_address = await self.operators.listen(*operators)
        self.ready = True

    async def _exchange_forever(self) -> None:
        while True:
            await asyncio.sleep(self.settings.get(EXCHANGE_S))
            try:
                await self.burn.exchange()
            except Exception as error:
                emit(TICK_FAILED, error=repr(error))

    async def _tick_forever(self) -> None:
        while True:
            try:
                await self.hosting.update()
            except Exception as error:
                emit(TICK_FAILED, error=repr(error))
            await asyncio.sleep(TICK_MS / MS_PER_S)

    async def _stop(self) -> None:
        self.ready = False
        self.server.begin_draining()
        await asyncio.sleep(self.settings.get(DRAIN_MS) / MS_PER_S)
        self.stopping = True
        self.pipeline.begin_draining()
        await _wait_until(self.pipeline.is_idle, self.settings.get(FINISH_MS))
        await self.hosting.stop()
        await _wait_until(self._has_left_view, STOP_STEP_MS)
        await self.server.stop(STOP_STEP_MS)
        await self.operators.stop(STOP_STEP_MS)
        await self.dispatcher.stop()
        await self.endpoint.stop()

    def _has_left_view(self) -> bool:
        return not self.relay.view.has_member(*self.identity()) or len(self.relay.view.members) == 1


async def _wait_until(condition: Callable[[], bool], deadline_ms: float) -> None:
    for _ in range(int(deadline_ms / POLL_MS)):
        if condition():
            return
        await asyncio.sleep(POLL_MS / MS_PER_S)


def _find_placement(name: str) -> Callable[[Random], Placement]:
    make_placement = PLACEMENTS.get(name)
    if make_placement is None:
        message = f"entry.placement: {name!r} is not a placement policy."
        remedy = f"Use one of {', '.join(sorted(PLACEMENTS))}."
        raise ApricotrailError(Problem(ErrorKind.SETTINGS, message, remedy))
    return make_placement


def _make_endpoint(settings: Settings) -> LinkEndpoint:
    identity = ttypes.Identity(
        settings.get(NAME), "entry", settings.get(ZONE), wall_ms(), settings.get(LINK_LISTEN)
    )
    key_file = settings.get(KEY_FILE)
    keys = KeyRing(Path(key_file) if key_file else None)
    return LinkEndpoint(identity, settings.get(ENVIRONMENT), keys, settings)


def make_entry(settings: Settings) -> Application:
    """Return the application of the entry role, not yet started.

    Parameters
    ----------
    settings : Settings
        Values of ``entry.*``, ``control.addresses``, ``link.*`` and others.
    """
    return Entry(settings).application
