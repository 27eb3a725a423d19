"""Bounds of the HTTP server and client.

Each kind of listener has bounds of its own, so that what one of them is sent takes nothing from the
others.
"""

from typing import NamedTuple

from apricotrail.resources import read_resources
from apricotrail.settings import Setting, Settings, declare_setting

__all__ = ["ClientLimits", "ServerLimits", "read_client_limits", "read_server_limits"]

MAX_CONNECTIONS = declare_setting(
    "http.max_connections",
    4_096,
    "Connections that a listener holds open at most; see http.connection_share.",
    minimum=1,
)
CONNECTION_SHARE = declare_setting(
    "http.connection_share",
    0.5,
    "Share of process.max_descriptors for connections of the callers' listener, so that some stay "
    "free for links, files and the other listeners; above it, the least recently used connection "
    "of the peer with most is closed, or the new one gets 503 if requests run on all.",
    minimum=0.01,
    maximum=0.5,
)
PEER_CONNECTION_SHARE = declare_setting(
    "http.peer_connection_share",
    0.75,
    "Share of a listener's connections that one peer address may hold.",
    minimum=0.01,
    maximum=1.0,
)
MAX_HEADER_BYTES = declare_setting(
    "http.max_header_bytes",
    16 * 1024,
    "Request line and headers of one request; more gets 431.",
    unit="bytes",
    minimum=256,
)
MAX_BODY_BYTES = declare_setting(
    "http.max_body_bytes",
    16 * 1024 * 1024,
    "Body of one request of a caller; more gets 413.",
    unit="bytes",
    minimum=1,
)
OPERATORS_MAX_BODY_BYTES = declare_setting(
    "http.operators_max_body_bytes",
    8 * 1024 * 1024,
    "Body of one request of an operator, such as a document; more gets 413.",
    unit="bytes",
    minimum=1,
)
RUNNERS_MAX_BODY_BYTES = declare_setting(
    "http.runners_max_body_bytes",
    4 * 1024 * 1024,
    "Body of one announcement of a runner to its agent; more gets 413.",
    unit="bytes",
    minimum=1,
)
STATUS_MAX_BODY_BYTES = declare_setting(
    "http.status_max_body_bytes",
    4 * 1024,
    "Body of one request to a listener for health checks and metrics, which need none; more gets "
    "413.",
    unit="bytes",
    minimum=1,
)
REQUEST_MEMORY_SHARE = declare_setting(
    "http.request_memory_share",
    0.125,
    "Share of process.memory_mb for the bytes of requests that aren't answered yet, over all "
    "connections of the callers' listener; above it, the largest one that is still being read, of "
    "the peer that holds most, gets 503.",
    minimum=0.001,
    maximum=0.5,
)
BODY_MEMORY_SHARE = declare_setting(
    "http.body_memory_share",
    0.03125,
    "Share of process.memory_mb for the body of one request of an operator or runner, half of it "
    "for a caller's; lowers the limits on bodies where memory is small, since a decoded body takes "
    "up to 29 times its size.",
    minimum=0.001,
    maximum=0.5,
)
PIPELINED_MEMORY_SHARE = declare_setting(
    "http.pipelined_memory_share",
    0.03,
    "Share of process.memory_mb for bytes behind requests that are running, over all connections "
    "of the callers' listener; above it, the connection that holds most, of the peer that holds "
    "most, is closed after the running request's answer.",
    minimum=0.001,
    maximum=0.5,
)
ANSWER_MEMORY_SHARE = declare_setting(
    "http.answer_memory_share",
    0.06,
    "Share of process.memory_mb for answers that peers haven't read, over all connections of the "
    "callers' listener; above it, the connection that holds most, of the peer that holds most, is "
    "cut.",
    minimum=0.001,
    maximum=0.5,
)
READ_TIME_SHARE = declare_setting(
    "http.read_time_share",
    0.5,
    "Share of the event loop's time for parsing and decoding requests, about; what takes longer "
    "waits for its turn, the request that has cost least first.",
    minimum=0.01,
    maximum=1.0,
)
HEADER_TIMEOUT_MS = declare_setting(
    "http.header_timeout_ms",
    5_000,
    "Time from a request's first byte to the end of its headers; longer gets 408.",
    unit="ms",
    minimum=1,
)
BODY_TIMEOUT_MS = declare_setting(
    "http.body_timeout_ms",
    30_000,
    "Time from the end of the headers to the end of the body; longer gets 408.",
    unit="ms",
    minimum=1,
)
IDLE_TIMEOUT_MS = declare_setting(
    "http.idle_timeout_ms",
    75_000,
    "A connection without a request for this long is closed.",
    unit="ms",
    minimum=1,
)
LINGER_MS = declare_setting(
    "http.linger_ms",
    1_000,
    "After an early refusal, time for the caller to read it before the connection is cut.",
    unit="ms",
    minimum=1,
)
LAST_REQUEST_MS = declare_setting(
    "http.last_request_ms",
    100,
    "A stopping server keeps idle connections this long for a request that is on its way.",
    unit="ms",
    minimum=0,
)
CLIENT_CONNECTIONS = declare_setting(
    "http.client_connections",
    64,
    "Connections that the client keeps to one address.",
    minimum=1,
)
CLIENT_MAX_ANSWER_BYTES = declare_setting(
    "http.client_max_answer_bytes",
    16 * 1024 * 1024,
    "Largest response body that the client accepts.",
    unit="bytes",
    minimum=1,
)
CLIENT_CONNECT_MS = declare_setting(
    "http.client_connect_ms", 1_000, "Time for opening a connection.", unit="ms", minimum=1
)
CLIENT_IDLE_MS = declare_setting(
    "http.client_idle_ms",
    4_000,
    "The client reuses no connection idle for longer; keep it under the servers' own idle time.",
    unit="ms",
    minimum=0,
)


LEAST_CONNECTIONS = 4


class ServerLimits(NamedTuple):
    """Bounds of one server; the settings of the same names explain them.

    Attributes
    ----------
    listener : str
        Kind of listener, for logs and metrics.
    request_bytes, pipelined_bytes, answer_bytes : int
        The settings' shares of the process's memory, in bytes.
    max_peer_connections : int
        Connections of one peer address.
    read_time_share : float
        Share of the event loop's time.
    """

    max_connections: int = MAX_CONNECTIONS.default
    max_header_bytes: int = MAX_HEADER_BYTES.default
    max_body_bytes: int = MAX_BODY_BYTES.default
    header_timeout_ms: float = HEADER_TIMEOUT_MS.default
    body_timeout_ms: float = BODY_TIMEOUT_MS.default
    idle_timeout_ms: float = IDLE_TIMEOUT_MS.default
    linger_ms: float = LINGER_MS.default
    last_request_ms: float = LAST_REQUEST_MS.default
    listener: str = "callers"
    request_bytes: int = 64 * 1024 * 1024
    pipelined_bytes: int = 16 * 1024 * 1024
    answer_bytes: int = 64 * 1024 * 1024
    max_peer_connections: int = MAX_CONNECTIONS.default
    read_time_share: float = READ_TIME_SHARE.default


class ClientLimits(NamedTuple):
    """Bounds of one client; the settings of the same names explain them."""

    connections: int = CLIENT_CONNECTIONS.default
    max_answer_bytes: int = CLIENT_MAX_ANSWER_BYTES.default
    connect_ms: float = CLIENT_CONNECT_MS.default
    idle_ms: float = CLIENT_IDLE_MS.default


class _Kind(NamedTuple):
    """A kind of listener: its limit on bodies, and its parts of the shares for callers."""

    max_body_bytes: Setting[int]
    part: float
    body_part: float
    time_part: float


_KINDS = {
    "callers": _Kind(MAX_BODY_BYTES, 1.0, 0.5, 1.0),
    "operators": _Kind(OPERATORS_MAX_BODY_BYTES, 0.5, 1.0, 1.0),
    "runners": _Kind(RUNNERS_MAX_BODY_BYTES, 0.5, 1.0, 1.0),
    "status": _Kind(STATUS_MAX_BODY_BYTES, 0.1, 1.0, 0.1),
}


def read_server_limits(settings: Settings, listener: str = "callers") -> ServerLimits:
    """Return the bounds of a listener from the settings.

    Parameters
    ----------
    settings : Settings
        Values of ``http.*`` and ``process.*``.
    listener : str
        Who calls it: ``callers``, ``operators``, ``runners`` (their announcements) or ``status``
        (health checks and metrics).
    """
    kind = _KINDS[listener]
    resources = read_resources(settings)
    memory_bytes = kind.part * resources.memory_bytes
    descriptors = int(kind.part * resources.descriptors * settings.get(CONNECTION_SHARE))
    connections = min(settings.get(MAX_CONNECTIONS), max(LEAST_CONNECTIONS, descriptors))
    request_bytes = int(memory_bytes * settings.get(REQUEST_MEMORY_SHARE))
    header_bytes = settings.get(MAX_HEADER_BYTES)
    body_share = kind.body_part * settings.get(BODY_MEMORY_SHARE)
    body_bytes = min(
        settings.get(kind.max_body_bytes),
        int(resources.memory_bytes * body_share),
        request_bytes - 2 * header_bytes,  # a single request must fit what all may hold
    )
    return ServerLimits(
        connections,
        header_bytes,
        max(1, body_bytes),
        settings.get(HEADER_TIMEOUT_MS),
        settings.get(BODY_TIMEOUT_MS),
        settings.get(IDLE_TIMEOUT_MS),
        settings.get(LINGER_MS),
        settings.get(LAST_REQUEST_MS),
        listener,
        request_bytes,
        int(memory_bytes * settings.get(PIPELINED_MEMORY_SHARE)),
        int(memory_bytes * settings.get(ANSWER_MEMORY_SHARE)),
        max(1, int(connections * settings.get(PEER_CONNECTION_SHARE))),
        kind.time_part * settings.get(READ_TIME_SHARE),
    )


def read_client_limits(settings: Settings) -> ClientLimits:
    """Return the client's bounds from the settings."""
    return ClientLimits(
        settings.get(CLIENT_CONNECTIONS),
        settings.get(CLIENT_MAX_ANSWER_BYTES),
        settings.get(CLIENT_CONNECT_MS),
        settings.get(CLIENT_IDLE_MS),
    )
