"""All links of one process: listening, dialing again, heartbeats, handlers by message type."""

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from apricotrail.clocks import Clock, monotonic_ms
from apricotrail.events import Level, declare_event, emit
from apricotrail.pauses import pause
from apricotrail.settings import Settings, declare_setting
from apricotrail.wire._keys import KeyRing
from apricotrail.wire._limits import read_link_limits
from apricotrail.wire._link import HEARTBEAT_MS, SILENT_MS, Link
from apricotrail.wire._open_links import OpenLinks
from apricotrail.wire.generated import ttypes
from apricotrail.wire.generated.ttypes import Heartbeat, Identity

__all__ = ["LinkEndpoint", "parse_address"]

REDIAL_MS = declare_setting(
    "link.redial_ms",
    200,
    "Mean pause before a lost link is dialed again; doubles up to ten times this.",
    unit="ms",
    minimum=1,
    maximum=10_000,
)
CONNECT_MS = declare_setting(
    "link.connect_ms", 1_000, "Time for a connection and its handshake.", unit="ms", minimum=10
)
ADVERTISE = declare_setting(
    "link.advertise",
    "",
    "Address under which others reach this process, if it isn't the one it listens at.",
)
ACCEPTS_PER_TURN = 16  # those over a limit are open until the next turn of the loop
BACKLOG = 1_024  # all other processes may dial at the same moment
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_SHOWN_CHARACTERS = 100
_REDIAL_GROWTH_LIMIT = 10

LINK_ADDRESS_INVALID = declare_event(
    1007,
    "link_address_invalid",
    Level.WARNING,
    "An address in the settings, or one that another process gave, can't be read and isn't dialed. "
    "Correct it there.",
)

_REPLY_TYPES = frozenset(
    {
        ttypes.AttemptStates,
        ttypes.Ledger,
        ttypes.ClaimReply,
        ttypes.CopyAnswerReply,
        ttypes.CopyClaims,
        ttypes.JobAnswer,
        ttypes.CancelReply,
        ttypes.Report,
        ttypes.ConfigurationChange,
        ttypes.VoteReply,
        ttypes.AppendReply,
        ttypes.SnapshotReply,
        ttypes.ProposeReply,
        ttypes.StatusReply,
    }
)

Handler = Callable[[Link, Any], Any]
HeartbeatSource = Callable[[Link], Heartbeat]
HeartbeatSink = Callable[[Link, Heartbeat, float | None], None]


class LinkEndpoint:
    """The links of one process.

    Parameters
    ----------
    identity : Identity
        Who this process is; `address` is filled in by `listen`.
    environment : str
        Name of the environment; links between different ones are refused.
    keys : KeyRing
        Keys for the proof of identity.
    settings : Settings
        Heartbeat, silence and limits on links.
    clock : Clock
        Monotonic time in milliseconds.

    Attributes
    ----------
    links : dict of str to Link
        Ready links by the peer's name; the newest link of a peer replaces an older one.
    may_echo : callable
        Whether heartbeats may tell peers now that theirs were received, which shows them that this
        process is alive and has acted on all that came before.
    heartbeat_ms_by_role : dict of str to float
        Time between heartbeats to peers of a role, if it is longer than ``link.heartbeat_ms``.
    limits : LinkLimits
        Bounds on links and on what is buffered for them.
    open_links : OpenLinks
        All links from when their connections open.
    beat : int
        Number of the beat in which heartbeats for all links are being made, one after the other:
        what is computed for one of them holds for the others. 0 between two beats.
    """

    def __init__(
        self,
        identity: Identity,
        environment: str,
        keys: KeyRing,
        settings: Settings,
        clock: Clock = monotonic_ms,
    ) -> None:
        self.identity = identity
        self.environment = environment
        self.keys = keys
        self.clock = clock
        self.links: dict[str, Link] = {}
        self.silent_ms = settings.get(SILENT_MS)
        self.limits = read_link_limits(settings)
        self.open_links = OpenLinks(self.limits)
        self.make_heartbeat: HeartbeatSource = lambda link: Heartbeat(config_version=0)
        self.receive_heartbeat: HeartbeatSink = lambda link, heartbeat, heartbeat_sent_ms: None
        self.may_echo: Callable[[], bool] = lambda: True
        self.heartbeat_ms_by_role: dict[str, float] = {}
        self.beat = self._beats = 0
        self._heartbeat_ms = settings.get(HEARTBEAT_MS)
        self._redial_ms = settings.get(REDIAL_MS)
        self._connect_ms = settings.get(CONNECT_MS)
        self._advertise = settings.get(ADVERTISE)
        self._handlers: dict[type, Handler] = {}
        self._up_hooks: list[Callable[[Link], None]] = []
        self._down_hooks: list[Callable[[Link], None]] = []
        self._dialers: dict[str, asyncio.Task] = {}
        self._dialed_names: dict[str, str] = {}
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    # ---- set up ----

    def on(self, type_: type, handler: Handler) -> None:
        """Handle messages of `type_`.

        The handler gets the link and the message. What it returns, directly or as a coroutine, is
        sent as the reply; None sends nothing.
        """
        self._handlers[type_] = handler

    def on_up(self, hook: Callable[[Link], None]) -> None:
        """Call `hook` with each link that becomes ready."""
        self._up_hooks.append(hook)

    def on_down(self, hook: Callable[[Link], None]) -> None:
        """Call `hook` with each ready link that is lost."""
        self._down_hooks.append(hook)

    async def listen(self, host: str, port: int) -> str:
        """Accept links; returns the address that peers dial.

        Parameters
        ----------
        host : str
            IP number to bind.
        port : int
            Port, 0 for any free one.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(self, dialing=False), host, port, backlog=ACCEPTS_PER_TURN
        )
        _raise_backlog(self._server)
        bound_port = self._server.sockets[0].getsockname()[1]
        self.identity.address = self._advertise or f"{host}:{bound_port}"
        return self.identity.address

    def start(self) -> None:
        """Start sending heartbeats."""
        self.spawn(self._beat_forever())

    def dial(self, address: str) -> None:
        """Keep a link to `address` open until `undial`; one that can't be read is not dialed."""
        if address in self._dialers:
            return
        try:
            host, port = parse_address(address or "")
        except ValueError as error:
            emit(LINK_ADDRESS_INVALID, problem=str(error))
            return
        self._dialers[address] = self.spawn(self._dial_forever(address, host, port))

    def undial(self, address: str) -> None:
        """Stop dialing `address`; an open link to it is closed."""
        task = self._dialers.pop(address, None)
        self._dialed_names.pop(address, None)
        if task is not None:
            task.cancel()

    def dialed(self) -> list[str]:
        """Return the addresses that are being dialed."""
        return list(self._dialers)

    async def stop(self) -> None:
        """Close the listener and every link."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for link in self.open_links:
            link.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # ---- used by Link ----

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task:
        """Run `work` until it ends or the endpoint stops."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def admit(self, link: Link) -> None:
        """Take a link into use after its handshake."""
        self.open_links.note_handshake(link)
        older = self.links.get(link.peer.name)
        if older is not None and self._is_better(older, link):
            link.close()
            return
        self.links[link.peer.name] = link
        if older is not None:
            older.close()
            for hook in self._down_hooks:
                hook(older)
        for hook in self._up_hooks:
            hook(link)

    def _is_better(self, older: Link, newer: Link) -> bool:
        if older.peer.incarnation != newer.peer.incarnation:
            return older.peer.incarnation > newer.peer.incarnation
        # When both ends dial, both keep the link that the smaller name dialed.
        keeps_dialed = self.identity.name < older.peer.name
        return older.dialing == keeps_dialed and newer.dialing != keeps_dialed

    def release(self, link: Link) -> None:
        """Forget a closed link."""
        self.open_links.discard(link)
        if not link.ready or self.links.get(link.peer.name) is not link:
            return
        del self.links[link.peer.name]
        for hook in self._down_hooks:
            hook(link)

    def find_handler(self, message: Any) -> Handler | None:
        """Return the handler for a message, or None."""
        return self._handlers.get(type(message))

    def is_reply(self, message: Any) -> bool:
        """Return whether messages of this type answer a call."""
        return type(message) in _REPLY_TYPES

    # ---- loops ----

    async def _beat_forever(self) -> None:
        while True:
            self._beats += 1
            self.beat = self._beats
            for link in self.open_links:
                role = link.peer.role if link.peer is not None else ""
                interval_ms = self.heartbeat_ms_by_role.get(role, self._heartbeat_ms)
                link.send_due_heartbeat(interval_ms)
            self.beat = 0
            # An error in a hook of a lost link must not end the beats.
            asyncio.get_running_loop().call_soon(self.open_links.close_slowest)
            self.open_links.limits_met.log()
            await pause(self._heartbeat_ms)

    async def _dial_forever(self, address: str, host: str, port: int) -> None:
        pause_ms = self._redial_ms
        while True:
            if self._dialed_names.get(address) in self.links:
                await asyncio.sleep(self._redial_ms / 1000)
                continue
            link = await self._open_link(host, port)
            if link is not None:
                pause_ms = self._redial_ms
                self._dialed_names[address] = link.peer.name
                try:
                    await asyncio.shield(link.closed)
                except asyncio.CancelledError:
                    link.close()
                    raise
            await asyncio.sleep(pause_ms * random.uniform(0.5, 1.5) / 1000)
            pause_ms = min(pause_ms * 2, self._redial_ms * _REDIAL_GROWTH_LIMIT)

    async def _open_link(self, host: str, port: int) -> Link | None:
        loop = asyncio.get_running_loop()
        link: Link | None = None
        try:
            async with asyncio.timeout(self._connect_ms / 1000):
                _, link = await loop.create_connection(lambda: Link(self, dialing=True), host, port)
                return link if await asyncio.shield(link.opened) else None
        except (OSError, TimeoutError):
            if link is not None:
                link.close()
            return None


def _raise_backlog(server: asyncio.Server) -> None:
    """Let more connections wait in the kernel than asyncio accepts at once, which is its backlog.

    A server of tests on virtual time has no socket.
    """
    if not isinstance(server, asyncio.Server):
        return
    for listening in server.sockets:
        own = socket.socket(fileno=listening.fileno())
        own.listen(BACKLOG)
        own.detach()


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    Raises
    ------
    ValueError
        If the address is not of that form.

    Examples
    --------
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, separator, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not separator or not host or not is_number or int(port) > MAX_PORT:
        shown = address[:MAX_SHOWN_CHARACTERS]
        raise ValueError(f"{shown!r} is no address; write it as host:port, the port below 65536")
    return host.strip("[]"), int(port)
