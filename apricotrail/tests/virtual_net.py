"""Connections between hosts in one event loop on virtual time, with cuts, resets and power losses.

The code under test runs as it ships: `create_server` and `create_connection` of the loop make
connections in memory. A connection across a cut stays open; what is written on it is delivered
after the cut, as TCP does, unless either end has closed it by then.
"""

import asyncio
from collections import defaultdict
from contextvars import ContextVar, copy_context
from typing import Any
from weakref import WeakSet

from apricotrail.tests.virtual_time import VirtualTimeLoop

__all__ = ["HOST", "VirtualNetLoop"]

HOST: ContextVar[str] = ContextVar("host", default="")
"""Host on which the present task or callback runs."""

LATENCY_S = 0.001
STEP_S = 1e-6  # keeps what is sent on one connection in order


class _Server:
    def __init__(self, loop: "VirtualNetLoop", address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address
        self.sockets = [self]

    def getsockname(self) -> tuple[str, int]:
        return self._address

    def close(self) -> None:
        self._loop.listeners.pop(self._address, None)


class _Transport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, loop: "VirtualNetLoop", local: str, remote: str, protocol: Any) -> None:
        super().__init__()
        self._loop = loop
        self.local, self.remote = local, remote
        self.protocol = protocol
        self.peer: _Transport
        self.is_closed = False
        self.held: list[bytes | None] = []
        self._last_s = 0.0
        self._context = copy_context()

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        if not self.is_closed:
            self._send(bytes(data))

    def abort(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.call_soon(self.protocol.connection_lost, None)
        self._send(None)

    close = abort

    def lose(self) -> None:
        """Vanish without a word to the own process."""
        self.is_closed = True

    def release(self) -> None:
        """Send what was held by a cut."""
        held, self.held = self.held, []
        for data in held:
            self._send(data)

    def _send(self, data: bytes | None) -> None:
        if self._loop.is_cut(self.local, self.remote):
            self.held.append(data)
            return
        self._last_s = max(self._last_s + STEP_S, self._loop.time() + LATENCY_S)
        self._loop.call_at(self._last_s, self.peer.receive, data)

    def receive(self, data: bytes | None) -> None:
        """Hand over what arrived, or None for the end of the connection."""
        if self.is_closed:
            return
        if data is None:
            self.is_closed = True
            self._context.run(self.protocol.connection_lost, None)
        else:
            self._context.run(self.protocol.data_received, data)


class VirtualNetLoop(VirtualTimeLoop):
    """An event loop with its own network; hosts are names."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[tuple[str, int], Any] = {}
        self._transports: list[_Transport] = []
        self._cuts: set[frozenset[str]] = set()
        self._without_power: set[str] = set()
        self._tasks_by_host: dict[str, WeakSet[asyncio.Task]] = defaultdict(WeakSet)
        self.set_task_factory(self._make_task)

    def _make_task(self, loop: Any, work: Any, **options: Any) -> asyncio.Task:
        task = asyncio.Task(work, loop=loop, **options)
        self._tasks_by_host[HOST.get()].add(task)
        return task

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **_: Any):
        """Listen at an address; the server's host is where this is called."""
        address = (host, port)
        self.listeners[address] = (factory, copy_context())
        return _Server(self, address)

    async def create_connection(
        self, factory: Any, host: Any = None, port: Any = None, **_: Any
    ) -> Any:
        """Connect to a listener; waits for ever across a cut."""
        local = HOST.get()
        await asyncio.sleep(2 * LATENCY_S)
        while self.is_cut(local, host):
            await asyncio.sleep(10.0)
        if (host, port) not in self.listeners:
            raise ConnectionRefusedError(host)
        remote_factory, context = self.listeners[host, port]
        near = _Transport(self, local, host, factory())
        far = context.run(lambda: _Transport(self, host, local, remote_factory()))
        near.peer, far.peer = far, near
        self._transports = [it for it in self._transports if not it.is_closed]
        self._transports += [near, far]
        context.run(far.protocol.connection_made, far)
        near.protocol.connection_made(near)
        return near, near.protocol

    # ---- faults ----

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two hosts."""
        return (
            frozenset((one, other)) in self._cuts
            or one in self._without_power
            or other in self._without_power
        )

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two hosts, in either direction."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a cut; what was sent meanwhile arrives."""
        self._cuts.discard(frozenset((one, other)))
        for transport in self._list_between(one, other):
            transport.release()

    def reset(self, one: str, other: str) -> None:
        """Break the connections between two hosts at both ends."""
        for transport in self._list_between(one, other):
            if not transport.is_closed:
                transport.is_closed = True
                transport._context.run(transport.protocol.connection_lost, None)

    def kill(self, host: str, has_power: bool = True) -> None:
        """End all tasks of a host; others see its connections break only while it has power."""
        if not has_power:
            self._without_power.add(host)
        for task in list(self._tasks_by_host.pop(host, ())):
            task.cancel()
        for address in [it for it in self.listeners if it[0] == host]:
            del self.listeners[address]
        for transport in self._transports:
            if transport.local == host and not transport.is_closed:
                transport.lose()
                transport._send(None)

    def restore_power(self, host: str) -> None:
        """Let a host be reached again; connections of before are answered by a reset."""
        self._without_power.discard(host)
        for transport in self._transports:
            if host in (transport.local, transport.remote):
                transport.release()

    def _list_between(self, one: str, other: str) -> list[_Transport]:
        return [it for it in self._transports if {it.local, it.remote} == {one, other}]
