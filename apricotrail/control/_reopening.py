"""Opens the data folder of a replica again after its disk failed."""

import asyncio
from collections.abc import Awaitable, Callable

from apricotrail.errors import ApricotrailError
from apricotrail.events import Level, declare_event, emit

__all__ = ["keep_trying"]

FIRST_PAUSE_MS = 250
MAX_PAUSE_MS = 500

CONTROL_REOPENED = declare_event(
    3007,
    "control_reopened",
    Level.WARNING,
    "The disk of this replica can be used again and the replica has rejoined its group.",
)
CONTROL_REOPENING_FAILED = declare_event(
    3008,
    "control_reopening_failed",
    Level.ERROR,
    "The data folder still can't be used; it is tried again twice a second. The problem names "
    "the remedy.",
)


async def keep_trying(reopen: Callable[[], Awaitable[None]]) -> None:
    """Call `reopen` until it succeeds, with growing pauses; equal problems are logged once."""
    pause_ms = FIRST_PAUSE_MS
    logged = ""
    while True:
        await asyncio.sleep(pause_ms / 1000)
        try:
            await reopen()
        except Exception as error:
            problem = str(error.problem) if isinstance(error, ApricotrailError) else repr(error)
            if problem != logged:
                emit(CONTROL_REOPENING_FAILED, problem=problem)
            logged = problem
            pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
            continue
        emit(CONTROL_REOPENED)
        return
