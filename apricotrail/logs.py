"""Log lines of numbered events: JSON or console, with a limit for each event.

Every line has the event's number and name. In a storm an event is written at most `log.burst`
times in each `log.window_ms`; the next line of that event states how many were left out. Fields
that could hold a body or a secret are replaced by their length.
"""

import asyncio
import json
import os
import sys
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from datetime import UTC, datetime
from typing import Any, TextIO

import orjson
import structlog

from apricotrail.clocks import Clock, monotonic_ms
from apricotrail.pauses import pause
from apricotrail.settings import Settings, declare_setting

__all__ = ["LogWriter", "configure_logs", "make_rate_limit"]

FORMAT = declare_setting(
    "log.format", "json", "Form of the log lines.", choices=("console", "json")
)
LEVEL = declare_setting(
    "log.level",
    "info",
    "Lowest level that is written.",
    choices=("debug", "error", "info", "warning"),
)
BURST = declare_setting(
    "log.burst", 20, "Lines of one event written in each window.", minimum=1, maximum=100_000
)
WINDOW_MS = declare_setting(
    "log.window_ms",
    10_000,
    "Window of the limit for each event.",
    unit="ms",
    minimum=1,
    maximum=3_600_000,
)

MAX_FIELD_CHARACTERS = 400
MAX_PENDING_BYTES = 512 * 1024
FLUSH_MS = 100
JSON_OPTIONS = orjson.OPT_UTC_Z | orjson.OPT_NON_STR_KEYS
_HIDDEN_FIELDS = frozenset(
    {"answer", "authorization", "body", "digest", "key", "keys", "nonce", "secret", "text", "token"}
)
_LEVEL_NUMBERS = {"debug": 10, "info": 20, "warning": 30, "error": 40}

EventFields = dict[str, Any]
Processor = Callable[[Any, str, EventFields], EventFields]


def configure_logs(
    settings: Settings, role: str, stream: "TextIO | LogWriter | None" = None
) -> None:
    """Send the events of this process to `stream`.

    Parameters
    ----------
    settings : Settings
        Format, level and limits.
    role : str
        Written in each line.
    stream : file, optional
        Standard error by default.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            make_rate_limit(settings.get(BURST), settings.get(WINDOW_MS), monotonic_ms),
            *([stream.make_room] if isinstance(stream, LogWriter) else []),
            hide_contents,
            _make_role_field(role),
            *_make_renderers(settings.get(FORMAT)),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVEL_NUMBERS[settings.get(LEVEL)]),
        logger_factory=_make_logger_factory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


class LogWriter:
    """Collects log lines and writes them without ever waiting for the reader.

    Parameters
    ----------
    descriptor : int
        Open file that the lines go to; it is set not to block.
    max_bytes : int
        Lines waiting to be written. From half of it on lines below warning are dropped, above it
        all of them; the next line that is kept states how many in ``dropped``.
    """

    def __init__(self, descriptor: int, max_bytes: int = MAX_PENDING_BYTES) -> None:
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._dropped = 0
        self._has_lines = asyncio.Event()
        with suppress(OSError):
            os.set_blocking(descriptor, False)

    def make_room(self, logger: Any, method: str, fields: EventFields) -> EventFields:
        """Drop a line that the reader is too slow for; a processor of structlog."""
        is_minor = _LEVEL_NUMBERS.get(method, 0) < _LEVEL_NUMBERS["warning"]
        limit = self._max_bytes // 2 if is_minor else self._max_bytes
        if self._pending_bytes >= limit:
            self._dropped += 1
            raise structlog.DropEvent
        if self._dropped:
            fields["dropped"], self._dropped = self._dropped, 0
        return fields

    def write(self, text: str) -> None:
        """Take in text that is written soon."""
        data = text.encode(errors="replace")
        self._pending.append(data)
        self._pending_bytes += len(data)
        self._has_lines.set()

    def flush(self) -> None:
        """Do nothing: lines are written in groups."""

    def drain(self) -> None:
        """Write what the reader takes now."""
        while self._pending:
            data = b"".join(self._pending)
            try:
                written = os.write(self._descriptor, data)
            except OSError:
                # The pipe is full, or nobody reads it: lines are kept up to the bound.
                self._keep(data)
                return
            self._keep(data[written:])

    async def drain_forever(self) -> None:
        """Write waiting lines every `FLUSH_MS`; without lines, sleep."""
        while True:
            await self._has_lines.wait()
            await pause(FLUSH_MS)
            self.drain()
            if not self._pending:
                self._has_lines.clear()

    def _keep(self, data: bytes) -> None:
        self._pending.clear()
        if data:
            self._pending.append(data)
        self._pending_bytes = len(data)


def make_rate_limit(burst: int, window_ms: float, clock: Clock) -> Processor:
    """Return a processor that drops lines of an event beyond `burst` in each window.

    Parameters
    ----------
    burst : int
        Lines of one event that pass in each window.
    window_ms : float
        Length of a window in milliseconds.
    clock : Clock
        Monotonic time in milliseconds.
    """
    windows: dict[int, list[float]] = {}

    def limit(logger: Any, method: str, fields: EventFields) -> EventFields:
        now_ms = clock()
        window = windows.setdefault(fields.get("number", 0), [now_ms, 0, 0])
        if now_ms - window[0] >= window_ms:
            window[0], window[1] = now_ms, 0
        window[1] += 1
        if window[1] > burst:
            window[2] += 1
            raise structlog.DropEvent
        if window[2]:
            fields["suppressed"] = window[2]
            window[2] = 0
        return fields

    return limit


def hide_contents(logger: Any, method: str, fields: EventFields) -> EventFields:
    """Replace bodies, secrets and over-long values of a log line.

    Examples
    --------
    >>> hide_contents(None, "info", {"event": "started", "body": b"tide"})
    {'event': 'started', 'body': '(4 hidden)'}
    """
    for name, value in fields.items():
        if name in _HIDDEN_FIELDS or isinstance(value, bytes):
            fields[name] = f"({len(value) if hasattr(value, '__len__') else 1} hidden)"
        elif isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
            fields[name] = value[:MAX_FIELD_CHARACTERS] + "..."
    return fields


def _make_role_field(role: str) -> Processor:
    def add_role(logger: Any, method: str, fields: EventFields) -> EventFields:
        fields.setdefault("role", role)
        return fields

    return add_role


def _make_renderers(form: str) -> list[Any]:
    """Return the processors that add the time and make the text of a line."""
    if form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
        return [structlog.processors.TimeStamper(fmt="iso", utc=True), renderer]
    return [_render_json]


def _render_json(logger: Any, method: str, fields: EventFields) -> str:
    fields["timestamp"] = datetime.now(UTC)
    try:
        return orjson.dumps(fields, _render_other, JSON_OPTIONS).decode()
    except orjson.JSONEncodeError:
        # A number above 64 bits, or half of a surrogate pair.
        fields["timestamp"] = fields["timestamp"].isoformat()
        return json.dumps(fields, default=str)


def _render_other(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else str(value)


def _make_logger_factory(stream: "TextIO | LogWriter") -> Callable[..., Any]:
    """Return a factory of loggers that write whole lines; all of them share one."""
    if not isinstance(stream, LogWriter):
        return structlog.PrintLoggerFactory(stream)
    logger = _LineLogger(stream.write)
    return lambda *args: logger


class _LineLogger:
    """Writes each line with one call."""

    def __init__(self, write: Callable[[str], None]) -> None:
        self._write = write

    def msg(self, line: str) -> None:
        """Write a line."""
        self._write(line + "\n")

    debug = info = warning = error = msg
