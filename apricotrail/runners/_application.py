"""The agent process beside a leased runner: connects its gate, its driver and its links."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable

from apricotrail.application import Application
from apricotrail.clocks import monotonic_ms, wall_ms
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import (
    CALLER_RETRY_MS,
    TICK_MS,
    Roster,
    RosterParts,
    compute_owner_grace_ms,
)
from apricotrail.metrics import add_status_listener
from apricotrail.pauses import find_pause_s, pause
from apricotrail.runners._driver import RunnerDriver, RunnerPort
from apricotrail.runners._gate import GateLimits, RunGate
from apricotrail.runners._runs import Owner, RunKey, RunnerReport
from apricotrail.settings import Settings, declare_setting
from apricotrail.wire import KeyRing, Link, LinkEndpoint, parse_address
from apricotrail.wire.generated.ttypes import (
    ClaimRuns,
    Heartbeat,
    Identity,
    OutcomesTaken,
    RunnerLoad,
    RunnerLost,
    RunOutcome,
    RunOutcomes,
    StartRuns,
    StopRuns,
)
from apricotrail.wire.generated.ttypes import RunKey as RunKeyMessage

__all__ = ["RunnerAgent"]

NAME = declare_setting("runner.name", "runner-1", "Name of this agent, unique in its environment.")
ZONE = declare_setting("runner.zone", "", "Availability zone of this agent and its runner.")
LISTEN = declare_setting("runner.listen", "127.0.0.1:7090", "Address for links.")
SEEDS = declare_setting("runner.seeds", [], "Link addresses of some control replicas.")
ENVIRONMENT = declare_setting("runner.environment", "production", "Environment of this agent.")
FINISH_MS = declare_setting(
    "runner.finish_ms",
    4_500,
    "How long a stopping agent waits for the runs at its runner.",
    unit="ms",
    minimum=0,
)
CALLER_RETRY = declare_setting(
    "runner.caller_retry_ms",
    CALLER_RETRY_MS,
    "Shortest time after which a caller, whose dispatcher is gone or has answered that its job is "
    "unfinished, sends the job again. Runs end before that; leases are shortened where it needs.",
    unit="ms",
    minimum=500,
    maximum=60_000,
)
STATUS_LISTEN = declare_setting(
    "runner.status_listen", "", "Address for /healthz, /readyz and /metrics; empty for none."
)
ZONE_STATE_PREFIX = "zone-state/"
# Control answers at once, so contact with it is at most this old, and a round trip: less than the
# gate's limit for its silence. A multiple of the 200 ms between the heartbeats to dispatchers.
CONTROL_HEARTBEAT_MS = 600.0
STOP_POLL_MS = 20
IDLE_TICK_MS = 200  # time between two periodic checks while nothing is due before the next one

AGENT_STOPPING = declare_event(
    11201,
    "runner_agent_stopping",
    Level.INFO,
    "The agent is stopping: it starts no more runs and waits for those at its runner.",
)
AGENT_HANDED_ON = declare_event(
    11202,
    "runner_agent_handed_on",
    Level.INFO,
    "The stopping agent extended the leases a last time; the next agent finds what still runs.",
)
RUNNER_ZONE_CHANGED = declare_event(
    11203,
    "runner_zone_changed",
    Level.INFO,
    "The runner's zone was taken out of service or put back, so its runs are refused or accepted.",
)
AGENT_TICK_FAILED = declare_event(
    11204,
    "runner_tick_failed",
    Level.ERROR,
    "A periodic step of the agent failed; it runs again at the next tick. Report the error.",
)


class RunnerAgent:
    """The agent process beside a leased runner.

    Parameters
    ----------
    settings : Settings
        Values of ``runner.*`` and ``link.*``.
    port : RunnerPort
        The calls to the runner.

    Attributes
    ----------
    application : Application
        Starts and stops the process.
    gate : RunGate
        Decides which runs start and stop at the runner.
    roster : Roster
        Other processes and the configuration, as control states them.
    """

    def __init__(self, settings: Settings, port: RunnerPort) -> None:
        self.settings = settings
        self.application = Application("runner")
        identity = Identity(
            settings.get(NAME), "runner", settings.get(ZONE), wall_ms(), settings.get(LISTEN)
        )
        self.endpoint = LinkEndpoint(
            identity, settings.get(ENVIRONMENT), KeyRing(None), settings, monotonic_ms
        )
        self._outcomes: dict[Owner, list[RunOutcome]] = defaultdict(list)
        self._received_starts: dict[str, int] = defaultdict(int)
        self._is_flush_scheduled = False
        self._runs_came = asyncio.Event()
        self._load, self._load_beat = RunnerLoad(), 0
        limits = GateLimits(owner_grace_ms=compute_owner_grace_ms(settings.get(CALLER_RETRY)))
        self.gate = RunGate(monotonic_ms, limits, self._order, self._report, wall_ms())
        self.driver = RunnerDriver(self.gate, port, monotonic_ms, self.application.spawn)
        self.roster = Roster(
            RosterParts(
                self.endpoint,
                tuple(settings.get(SEEDS)),
                settings.get(ZONE),
                (ZONE_STATE_PREFIX,),
                monotonic_ms,
                self._apply_configuration,
            )
        )
        self.endpoint.heartbeat_ms_by_role["control"] = CONTROL_HEARTBEAT_MS
        self.gate.losses.announce = self._announce_loss
        self.gate.notify_closed = self._send_load_to_owners
        self.gate.quorum_contact_ms = self.roster.quorum_contact_ms
        self.gate.witness_contact_ms = self.roster.witness_contact_ms
        # The zone may be out of service, so no run starts before the first configuration arrives.
        self.gate.zone_open = False
        self._connect()
        metrics = self.gate.metrics
        metrics.links.watch(lambda: len(self.endpoint.links))
        self.endpoint.open_links.limits_met.on_limit = metrics.limits_met.add
        metrics.config_version.watch(lambda: self.roster.configuration.version)
        metrics.config_age_ms.watch(self.roster.freshness.age_ms)
        self.application.on_start(self._start)
        add_status_listener(
            self.application, settings.get(STATUS_LISTEN), metrics, self._is_ready, settings
        )
        self.application.on_stop(self._stop)

    def announce(self, report: RunnerReport) -> None:
        """Pass an announcement of the runner to the gate."""
        was_leaving = self._is_leaving()
        self.gate.announce(report)
        if self._is_leaving() != was_leaving:
            self._send_load_to_owners()

    def withdraw(self, runner: str) -> None:
        """Start nothing more at a runner that announced that it leaves permanently."""
        self.gate.withdraw(runner)
        self._send_load_to_owners()

    def _is_leaving(self) -> bool:
        return self.gate.runner is not None and self.gate.runner.leaving

    def _is_ready(self) -> bool:
        return self.gate.describe_load(0).accepting

    def _connect(self) -> None:
        endpoint = self.endpoint
        endpoint.on(StartRuns, self._receive_starts)
        endpoint.on(StopRuns, self._receive_stops)
        endpoint.on(ClaimRuns, self._receive_claim)
        endpoint.on(OutcomesTaken, self._receive_confirmation)
        endpoint.on_up(self._link_up)
        endpoint.make_heartbeat = self._make_heartbeat
        endpoint.receive_heartbeat = self._receive_heartbeat

    async def _start(self) -> None:
        await self.endpoint.listen(*parse_address(self.settings.get(LISTEN)))
        self.endpoint.start()
        self.roster.start()
        self.application.spawn(self.driver.hold_forever())
        self.application.spawn(self._tick_forever())

    async def _stop(self) -> None:
        self.gate.begin_stop()
        self._send_load_to_owners()
        emit(AGENT_STOPPING, runs=len(self.gate.list_running()))
        deadline_ms = monotonic_ms() + self.settings.get(FINISH_MS)
        while self.gate.list_running() and monotonic_ms() < deadline_ms:
            await asyncio.sleep(STOP_POLL_MS / 1000)
        self._flush_outcomes()
        await self.driver.extend_leases()
        emit(AGENT_HANDED_ON, runs=len(self.gate.list_running()))
        await self.endpoint.stop()

    async def _tick_forever(self) -> None:
        while True:
            try:
                self.gate.tick()
                self.roster.tick()
                await self._pause_until_due()
            except Exception as error:
                emit(AGENT_TICK_FAILED, error=repr(error))
                await pause(TICK_MS)

    async def _pause_until_due(self) -> None:
        """Sleep for `TICK_MS`, or for `IDLE_TICK_MS` if nothing is due by then.

        Starts, stops and claims that come meanwhile may bring forward what is due.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + find_pause_s(IDLE_TICK_MS, loop.time())
        while self.gate.find_due_ms() > monotonic_ms() + 1000 * (end_s - loop.time()):
            self._runs_came.clear()
            try:
                async with asyncio.timeout_at(end_s):
                    await self._runs_came.wait()
            except TimeoutError:
                return
        await pause(TICK_MS)

    # ---- outputs of the gate ----

    def _order(self, order) -> None:
        self.driver.order(order)

    def _report(self, owner: Owner, outcome: RunOutcome) -> None:
        self._outcomes[owner].append(outcome)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush_outcomes)

    def _flush_outcomes(self) -> None:
        """Send the outcomes collected in this pass of the event loop.

        An owner without a link asks for them with its next claim.
        """
        self._is_flush_scheduled = False
        outcomes, self._outcomes = self._outcomes, defaultdict(list)
        for owner, ended in outcomes.items():
            link = self.endpoint.links.get(owner.name)
            if link is not None and link.peer.incarnation == owner.incarnation:
                load = self.gate.describe_load(self._received_starts[owner.name])
                link.send(RunOutcomes(ended, load))

    def _announce_loss(self, lost: RunnerLost) -> None:
        for link in self._list_dispatcher_links():
            link.send(lost)

    def _send_load_to_owners(self) -> None:
        for link in self._list_dispatcher_links():
            link.send_heartbeat()

    def _list_dispatcher_links(self) -> list[Link]:
        return [link for link in self.endpoint.links.values() if link.peer.role == "dispatcher"]

    def _apply_configuration(self) -> None:
        configuration = self.roster.configuration
        is_open = configuration.find(ZONE_STATE_PREFIX + self.settings.get(ZONE)) is None
        if is_open == self.gate.zone_open:
            return
        self.gate.zone_open = is_open
        emit(
            RUNNER_ZONE_CHANGED,
            zone=self.settings.get(ZONE),
            open=is_open,
            version=configuration.version,
        )
        self.gate.refuse_queued_if_closed()
        self._send_load_to_owners()

    # ---- links ----

    def _link_up(self, link: Link) -> None:
        if link.peer.role != "dispatcher":
            return
        self._received_starts[link.peer.name] = 0
        # The peer answered a challenge that was made when the link was opened, but this process
        # may have been paused since the answer came.
        owner = Owner(link.peer.name, link.peer.incarnation)
        self.gate.replace_owner(owner, link.opened_ms)
        for lost in self.gate.losses.list_recent():
            link.send(lost)
        link.send_heartbeat()

    def _make_heartbeat(self, link: Link) -> Heartbeat:
        heartbeat = Heartbeat(config_version=self.roster.configuration.version)
        if link.peer.role == "dispatcher":
            heartbeat.runner_load = self._describe_load(self._received_starts[link.peer.name])
        return heartbeat

    def _describe_load(self, received: int) -> RunnerLoad:
        """Return the load for one owner; for all links of one beat it is computed once.

        It is encoded before the next one is asked for, so that one object serves all of them.
        """
        beat = self.endpoint.beat
        if not beat or beat != self._load_beat:
            self._load, self._load_beat = self.gate.describe_load(received), beat
        self._load.received = received
        return self._load

    def _receive_heartbeat(
        self, link: Link, heartbeat: Heartbeat, heartbeat_sent_ms: float | None
    ) -> None:
        if link.peer.role == "control":
            self.roster.receive_heartbeat(link, heartbeat, heartbeat_sent_ms)
        elif link.peer.role == "dispatcher" and heartbeat_sent_ms is not None:
            self.gate.record_owner_alive(
                Owner(link.peer.name, link.peer.incarnation), heartbeat_sent_ms
            )

    def _receive_starts(self, link: Link, message: StartRuns) -> None:
        self._runs_came.set()
        owner = Owner(link.peer.name, link.peer.incarnation)
        is_expired = monotonic_ms() > (message.valid_until_ms or 0)
        for start in message.starts or ():
            self._received_starts[link.peer.name] += 1
            self.gate.receive_start(owner, start, is_expired)

    def _receive_stops(self, link: Link, message: StopRuns) -> None:
        self._runs_came.set()
        owner = Owner(link.peer.name, link.peer.incarnation)
        self.gate.receive_stop(owner, _list_keys(message.runs or ()))

    def _receive_confirmation(self, link: Link, message: OutcomesTaken) -> None:
        self.gate.confirm_outcomes(_list_keys(message.runs or ()))
        if not self.gate.has_unconfirmed:
            self.driver.notify_confirmed()

    def _receive_claim(self, link: Link, message: ClaimRuns) -> None:
        self._runs_came.set()
        owner = Owner(link.peer.name, link.peer.incarnation)
        self._received_starts[link.peer.name] += len(message.runs or ())
        self.gate.receive_claim(
            owner,
            list(message.runs or ()),
            link.opened_ms,
            None if message.written_off is None else _list_keys(message.written_off),
            _list_keys(message.taken or ()),
        )
        link.send_heartbeat()


def _list_keys(keys: Iterable[RunKeyMessage]) -> list[RunKey]:
    return [(key.task, key.run) for key in keys]
