"""Numbered log events.

Each module declares the events that it emits beside the code that emits them. Number ranges:
1000 wire, 1500 http, 2000 membership, 3000 control, 4000 entry, 5000 agent, 6000 document,
7000 command line, 8000 measure, 9000 reports and application, 10000 queues, 11000 runners,
12000 the platform adapter.
"""

from enum import StrEnum
from typing import NamedTuple

import structlog

__all__ = ["Event", "Level", "declare_event", "emit", "list_events"]


class Level(StrEnum):
    """Severity of an event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(NamedTuple):
    """One kind of log line.

    Attributes
    ----------
    number : int
        Unique and never reused.
    name : str
        Short name with underscores.
    level : Level
        Severity.
    meaning : str
        One sentence for the catalogue: what happened and, if anything, what to do.
    """

    number: int
    name: str
    level: Level
    meaning: str


_CATALOGUE: dict[int, Event] = {}
_LOGGER = structlog.get_logger("apricotrail")
_bound = _bound_config = None


def declare_event(number: int, name: str, level: Level, meaning: str) -> Event:
    """Add an event to the catalogue and return it.

    Raises
    ------
    ValueError
        If the number is taken by another event.
    """
    event = Event(number, name, level, meaning)
    if _CATALOGUE.setdefault(number, event) != event:
        raise ValueError(f"event number {number} is taken; choose the next free one")
    return event


def list_events() -> list[Event]:
    """Return the declared events, by number."""
    return [_CATALOGUE[number] for number in sorted(_CATALOGUE)]


def emit(event: Event, **fields: object) -> None:
    """Log `event` with its number, name and `fields`; never pass bodies or secrets."""
    global _bound, _bound_config
    config = structlog.get_config()
    if config != _bound_config:
        # Binding the logger for each line takes as long as writing the line.
        _bound, _bound_config = _LOGGER.bind(), config
    getattr(_bound, event.level)(event.name, number=event.number, **fields)
