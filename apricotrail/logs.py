"""Log lines of numbered events: JSON or console, with a limit for each event.

Every line has the event's number and name. In a storm an event is written at most `log.burst`
times in each `log.window_ms`; the next line of that event states how many were left out. Fields
that could hold a body or a secret are replaced by their length.
"""

import sys
from collections.abc import Callable
from typing import Any, TextIO

import structlog

from apricotrail.clocks import Clock, monotonic_ms
from apricotrail.settings import Settings, declare_setting

__all__ = ["configure_logs", "make_rate_limit"]

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
_HIDDEN_FIELDS = frozenset(
    {"answer", "authorization", "body", "digest", "key", "keys", "nonce", "secret", "text", "token"}
)
_LEVEL_NUMBERS = {"debug": 10, "info": 20, "warning": 30, "error": 40}

EventFields = dict[str, Any]
Processor = Callable[[Any, str, EventFields], EventFields]


def configure_logs(settings: Settings, role: str, stream: TextIO | None = None) -> None:
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
            hide_contents,
            _make_role_field(role),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _make_renderer(settings.get(FORMAT)),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVEL_NUMBERS[settings.get(LEVEL)]),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


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


def _make_renderer(form: str) -> Any:
    if form == "console":
        return structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    return structlog.processors.JSONRenderer(default=str, sort_keys=False)
