"""Pauses of periodic work that end together, so that one wake-up of a process serves all of it.

A process that wakes finds its caches cold, and pays for that more than for most of its periodic
steps. So these pauses end at points of one grid in time: those of 400 ms where some of 200 ms end,
those of 200 ms where some of 50 ms end. The grid is that of the wall clock, on which heartbeats of
many processes reach their common peers together, too: those wake a few times for all of them. Each
process is shifted by one of `_SHIFTS` parts of 200 ms, so that not all processes of a machine wake
at the same moment. Nothing relies on the clocks of machines being equal.
"""

import asyncio
from math import floor
from random import choice
from time import monotonic, time

__all__ = ["GRID_MS", "find_pause_s", "pause"]

GRID_MS = 50
"""Shortest distance of the points at which shared pauses end, in milliseconds."""

_GRIDS_MS = (500, 200, 100, GRID_MS)
_SHIFTS = 5
_EARLY = 0.1
_OFFSET_S = monotonic() - time() + choice(range(_SHIFTS)) * 0.2 / _SHIFTS


def find_pause_s(pause_ms: float, now_s: float) -> float:
    """Return the seconds from `now_s` to the last grid point before the end of a pause.

    Work that is repeated after pauses of a multiple of `GRID_MS` keeps its mean interval, as a
    pause that begins late is shortened by that. No pause is longer than wanted by more than
    `_EARLY` of its grid, which allows for timers that end early.

    Parameters
    ----------
    pause_ms : float
        Wanted pause in milliseconds. It ends at a multiple of 500, 200, 100 or 50 ms, whichever is
        the first to divide it; a pause that isn't a multiple of 50 ms is not moved.
    now_s : float
        Present time of the event loop in seconds.
    """
    grid_s = next((it for it in _GRIDS_MS if pause_ms % it == 0), 0) / 1000
    if not grid_s:
        return pause_ms / 1000
    points = floor((now_s + pause_ms / 1000 - _OFFSET_S) / grid_s + _EARLY)
    return points * grid_s + _OFFSET_S - now_s


async def pause(pause_ms: float) -> None:
    """Sleep for about `pause_ms` milliseconds, until a point of the grid."""
    await asyncio.sleep(find_pause_s(pause_ms, asyncio.get_running_loop().time()))
