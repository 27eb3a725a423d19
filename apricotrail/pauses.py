"""Pauses of periodic work that end together, so that one wake-up of a process serves all of it.

A process that wakes finds its caches cold, and pays for that more than for most of its periodic
steps. So these pauses end at points of one grid in time. The grid is that of the wall clock, on
which heartbeats of many processes reach their common peers together, too: those wake a few times
for all of them. Half of the processes are shifted by half of the grid, and heartbeats every 200 ms
begin at any of four points, so that not all processes of a machine wake at the same moment. Nothing
relies on the clocks of machines being equal.
"""

import asyncio
from math import floor
from random import choice
from time import monotonic, time

__all__ = ["GRID_MS", "find_pause_s", "pause"]

GRID_MS = 50
"""Distance of the points at which shared pauses end, in milliseconds."""

_GRID_S = GRID_MS / 1000
_OFFSET_S = (monotonic() - time() + choice((0.0, _GRID_S / 2))) % _GRID_S


def find_pause_s(pause_ms: float, now_s: float) -> float:
    """Return the seconds from `now_s` to the grid point that is nearest to the end of a pause.

    Work that is repeated after pauses of a multiple of `GRID_MS` keeps its mean interval, as a
    pause that begins late by less than half of `GRID_MS` is shortened by that.

    Parameters
    ----------
    pause_ms : float
        Wanted pause in milliseconds; below `GRID_MS` it is not moved to the grid.
    now_s : float
        Present time of the event loop in seconds.
    """
    if pause_ms < GRID_MS:
        return pause_ms / 1000
    points = floor((now_s + pause_ms / 1000 - _OFFSET_S) / _GRID_S + 0.5)
    return points * _GRID_S + _OFFSET_S - now_s


async def pause(pause_ms: float) -> None:
    """Sleep for about `pause_ms` milliseconds, until a point of the grid."""
    await asyncio.sleep(find_pause_s(pause_ms, asyncio.get_running_loop().time()))
