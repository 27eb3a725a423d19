"""The control role: starts and stops one replica with files, clocks and links from its settings."""

import asyncio
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from uuid import uuid4

from apricotrail.application import Application
from apricotrail.clocks import monotonic_ms, wall_ms
from apricotrail.control._acceptance import PROMOTION_KEY_FILE, TRIAL_ENVIRONMENT, Promotion
from apricotrail.control._answers import StatusRouter
from apricotrail.control._changes import DocumentFunctions
from apricotrail.control._files import (
    FileOperations,
    WriteError,
    make_memory_files,
    open_data_folder,
)
from apricotrail.control._formation import form_group
from apricotrail.control._members import make_memory_identity
from apricotrail.control._meters import time_syncs, watch_service
from apricotrail.control._node import Node
from apricotrail.control._operations import QueueOperations
from apricotrail.control._proposals import PROPOSE_MS, ProposalRouter
from apricotrail.control._quorums import GroupPlan
from apricotrail.control._reopening import keep_trying
from apricotrail.control._replica import Timing
from apricotrail.control._service import CONTROL_STORAGE_FAILED, ControlService, ServiceParts
from apricotrail.control._setup import Limits, NodeSetup
from apricotrail.control._storage import make_random_identity
from apricotrail.control._voters import decide_departure
from apricotrail.document import check_succession, make_items, parse_document
from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.membership import CONFIG_STALE_MS, replica_name
from apricotrail.metrics import add_status_listener, make_metrics
from apricotrail.settings import Settings, declare_constraint, declare_setting
from apricotrail.wire import KEY_FILE, KeyRing, LinkEndpoint, parse_address
from apricotrail.wire.generated.ttypes import Command, Identity, Propose, StatusRequest

__all__ = ["Control", "make_control"]

NAME = declare_setting("control.name", "control-1", "Name of this replica.")
ZONE = declare_setting("control.zone", "", "Availability zone of this replica.")
ENVIRONMENT = declare_setting("control.environment", "production", "Environment of this replica.")
LISTEN = declare_setting("control.listen", "127.0.0.1:7070", "Address for links.")
DATA_FOLDER = declare_setting(
    "control.data_folder",
    "data/control",
    "Folder on a disk, locked by the replica that uses it; empty for a replica that keeps its log "
    "in memory and never votes.",
)
PEERS = declare_setting(
    "control.peers",
    [],
    'All replicas as "name=host:port", this one included; empty or one entry for a single replica.',
)
SEEDS = declare_setting(
    "control.seeds",
    [],
    "Link addresses of some replicas; with these, replicas find each other and replace lost ones.",
)
TOLERATED_LOSSES = declare_setting(
    "control.tolerated_losses",
    1,
    "Replicas whose loss at the same time a group with control.seeds must bear. Twice as many and "
    "one more replicas vote; further ones with a disk are spares.",
    minimum=0,
    maximum=25,
)
ZONES = declare_setting(
    "control.zones",
    0,
    "Number of availability zones with replicas. If they are fewer than the replicas that vote, or "
    "0 for unknown, twice control.tolerated_losses more vote.",
    minimum=0,
)
FOUND = declare_setting(
    "control.found", True, "Whether replicas with empty folders may found a group."
)
STATUS_LISTEN = declare_setting(
    "control.status_listen",
    "",
    "Address for /healthz, /readyz and /metrics; empty for none.",
)
ROUND_MS = declare_setting(
    "control.round_ms",
    150,
    "Time between two rounds in which a leader sends to all other replicas.",
    unit="ms",
    minimum=10,
)
ELECTION_MS = declare_setting(
    "control.election_ms",
    800,
    "Silence of a leader before an election; a leader without a quorum for as long steps down.",
    unit="ms",
    minimum=50,
    maximum=10_000,
)
ENTRY_SILENT_MS = declare_setting(
    "control.entry_silent_ms",
    1_500,
    "Silence after which an entry leaves the view.",
    unit="ms",
    minimum=100,
    maximum=60_000,
)
SNAPSHOT_ENTRIES = declare_setting(
    "control.snapshot_entries", 10_000, "Log entries between two snapshots.", minimum=10
)
SNAPSHOT_LOG_BYTES = declare_setting(
    "control.snapshot_log_bytes",
    32 * 1024 * 1024,
    "Size of the log file at which a snapshot is written before control.snapshot_entries is met.",
    unit="bytes",
    minimum=100_000,
)
declare_constraint(
    (ROUND_MS, ELECTION_MS),
    lambda round_ms, election_ms: round_ms * 3 <= election_ms,
    "control.round_ms must be at most a third of control.election_ms",
    "Lower control.round_ms, or raise control.election_ms.",
)
TRANSFER_POLL_MS = 10
LEAVE_MS = 1_000

GROUP_LEFT = declare_event(
    3010,
    "group_left",
    Level.INFO,
    "This replica stops and asked to leave the group, as the others bear more losses without it; "
    "it joins again after a start.",
)


class Control:
    """One control process: a replica of the configuration log.

    Parameters
    ----------
    settings : Settings
        Values of ``control.*``, ``link.*`` and ``membership.config_stale_ms``.
    wrap_files : callable, optional
        Takes the file operations of the data folder and returns those to use instead.

    Attributes
    ----------
    application : Application
        Start and stop hooks and background tasks.
    service : ControlService or None
        The running replica, or the last one while the disk can't be used; None before the start.
    operations : QueueOperations or None
        Calls of operators of queues, None before the start and while the disk can't be used.
    """

    def __init__(
        self,
        settings: Settings,
        wrap_files: Callable[[FileOperations], FileOperations] = lambda it: it,
    ) -> None:
        self.settings = settings
        self._wrap_files = wrap_files
        self.application = Application("control")
        self.service: ControlService | None = None
        self.operations: QueueOperations | None = None
        self._router: ProposalRouter | None = None
        self._reopening: asyncio.Task | None = None
        self.metrics = make_metrics("control")
        seeds = settings.get(SEEDS)
        self._open_group = bool(seeds)
        self._peers = (
            {seed: seed for seed in seeds}
            if seeds
            else _read_peers(settings.get(PEERS), settings.get(NAME))
        )
        self.application.on_start(self._start)
        add_status_listener(
            self.application,
            settings.get(STATUS_LISTEN),
            self.metrics,
            self._is_ready,
            settings,
        )
        self.application.on_stop(self._stop)

    @property
    def address(self) -> str:
        """Address of the links, ``host:port``; empty before the start."""
        return self.service.endpoint.identity.address if self.service is not None else ""

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Dial further addresses to find the group; without ``control.seeds`` nothing happens."""
        if self._open_group:
            for seed in seeds:
                self._peers.setdefault(seed, seed)

    async def _start(self) -> None:
        try:
            await self._open()
        except WriteError as error:
            emit(CONTROL_STORAGE_FAILED, problem=str(error.problem))
        self._reopening = self.application.spawn(self._reopen_forever())

    async def _open(self, after_failure: bool = False) -> None:
        """Open the data folder and run a replica on it."""
        former = self.service
        node = self._open_node(after_failure)
        try:
            self.service = service = ControlService(self._make_parts(node))
            operations = self._connect(service)
            await service.endpoint.listen(*parse_address(self.settings.get(LISTEN)))
        except BaseException:
            node.close()
            self.service = former
            raise
        self.operations = operations
        service.endpoint.start()
        await self._form_if_single(service)
        self.application.spawn(service.tick_forever())
        self.application.spawn(service.oversee_forever())
        self.application.spawn(form_group(service))

    async def _reopen_forever(self) -> None:
        """After each failure of the disk, open the data folder again as soon as it can be used."""
        while True:
            if self.service is not None:
                await self.service.failed.wait()
                self.operations = None
                await self.service.close_failed()
            await keep_trying(lambda: self._open(after_failure=True))

    def _is_ready(self) -> bool:
        """Return whether the configuration was confirmed within ``membership.config_stale_ms``."""
        service = self.service
        if service is None or service.failed.is_set():
            return False
        return service.node.confirmation_age_ms() < self.settings.get(CONFIG_STALE_MS)

    async def _form_if_single(self, service: ControlService) -> None:
        if len(self._peers) == 1 and service.parts.may_form:
            await form_group(service)
            service.node.tick()
            service.flush()

    async def _stop(self) -> None:
        if self._reopening is not None:
            self._reopening.cancel()
            await asyncio.wait([self._reopening])
        if self.service is None:
            return
        await self._transfer_leadership(self.service)
        await self._leave_group(self.service)
        await self.service.endpoint.stop()
        self.service.node.close()

    async def _transfer_leadership(self, service: ControlService) -> None:
        replica = service.node.replica
        if service.failed.is_set() or not replica.is_leader:
            return
        service.node.begin_transfer()
        service.flush()
        election_ms = self.settings.get(ELECTION_MS)
        for _ in range(int(2 * election_ms / TRANSFER_POLL_MS)):
            if not replica.is_leader or replica.transfer is None:
                return
            await asyncio.sleep(TRANSFER_POLL_MS / 1000)

    async def _leave_group(self, service: ControlService) -> None:
        """Leave an open group before a stop if the others are better off without this replica."""
        if self._router is None or service.failed.is_set() or not self._open_group:
            return
        accepted: bool | None = None
        try:
            async with asyncio.timeout(LEAVE_MS / 1000):
                # Refused while another change of members is under way, which may decide otherwise.
                while not accepted and (change := decide_departure(service.node.replica)):
                    command = Command(uuid4().hex, service.node.replica_id, change_member=change)
                    accepted = (await self._router.submit(command)).accepted
                    await asyncio.sleep(TRANSFER_POLL_MS / 1000)
        except TimeoutError:
            accepted = False
        if accepted is not None:
            emit(GROUP_LEFT, accepted=accepted)

    def _open_node(self, after_failure: bool) -> Node:
        settings = self.settings
        folder = settings.get(DATA_FOLDER)
        file_operations = open_data_folder(Path(folder)) if folder else make_memory_files()
        files = self._wrap_files(file_operations)
        setup = NodeSetup(
            name=settings.get(NAME),
            files=time_syncs(files, self.metrics.sync_ms.observe, monotonic_ms),
            documents=DocumentFunctions(parse_document, check_succession, make_items),
            clock=monotonic_ms,
            random=Random(),
            send=lambda replica_id, message: self.service.send(replica_id, message),
            on_change=lambda: self.service.on_change(),
            timing=Timing(settings.get(ROUND_MS), settings.get(ELECTION_MS)),
            limits=Limits(
                snapshot_entries=settings.get(SNAPSHOT_ENTRIES),
                snapshot_log_bytes=settings.get(SNAPSHOT_LOG_BYTES),
            ),
            make_identity=make_random_identity if folder else make_memory_identity,
            after_failure=after_failure,
        )
        try:
            return Node(setup)
        except BaseException:
            files.close()
            raise

    def _make_parts(self, node: Node) -> ServiceParts:
        settings = self.settings
        identity = Identity(
            node.replica_id, "control", settings.get(ZONE), wall_ms(), settings.get(LISTEN)
        )
        key_file = settings.get(KEY_FILE)
        keys = KeyRing(Path(key_file) if key_file else None)
        endpoint = LinkEndpoint(identity, settings.get(ENVIRONMENT), keys, settings)
        return ServiceParts(
            endpoint,
            node,
            self._peers,
            float(settings.get(ENTRY_SILENT_MS)),
            float(settings.get(CONFIG_STALE_MS)),
            self.metrics,
            self._make_plan(),
            settings.get(FOUND),
        )

    def _make_plan(self) -> GroupPlan | None:
        if not self._open_group:
            return None
        return GroupPlan(self.settings.get(TOLERATED_LOSSES), self.settings.get(ZONES))

    def _connect(self, service: ControlService) -> QueueOperations:
        settings = self.settings
        promotion = Promotion(
            settings.get(ENVIRONMENT),
            settings.get(TRIAL_ENVIRONMENT),
            settings.get(PROMOTION_KEY_FILE),
        )
        router = ProposalRouter(service, promotion, float(settings.get(PROPOSE_MS)))
        self._router = router
        service.connect()
        watch_service(self.metrics, service)
        service.endpoint.on(Propose, router.answer)
        service.endpoint.on(StatusRequest, StatusRouter(service, self.metrics.render).answer)
        return QueueOperations(service, router)


def make_control(settings: Settings) -> Application:
    """Return the control role, ready to start.

    Parameters
    ----------
    settings : Settings
        Values of ``control.*``, ``link.*`` and others.

    Raises
    ------
    ApricotrailError
        If ``control.peers`` can't be read or lacks this replica.
    """
    return Control(settings).application


def _read_peers(lines: list, own_name: str) -> dict[str, str]:
    peers: dict[str, str] = {}
    for line in lines:
        name, separator, address = str(line).partition("=")
        if not separator or not name or replica_name(name) != name:
            raise _settings_error(f"control.peers: {line!r} is not of the form name=host:port.")
        try:
            parse_address(address)
        except ValueError as error:
            raise _settings_error(f"control.peers: {error}.") from error
        peers[name] = address
    if peers and own_name not in peers:
        raise _settings_error(f"control.peers lacks this replica, {own_name!r}.")
    return peers or {own_name: ""}


def _settings_error(message: str) -> ApricotrailError:
    remedy = "List every replica once, as name=host:port, the same list for each of them."
    return ApricotrailError(Problem(ErrorKind.SETTINGS, message, remedy))
