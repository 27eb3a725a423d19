"""How late the event loop runs what is due."""

import asyncio

from apricotrail.clocks import Clock, monotonic_ms
from apricotrail.metrics._instruments import Histogram
from apricotrail.pauses import find_pause_s

__all__ = ["watch_loop_lag"]

SAMPLE_MS = 400


async def watch_loop_lag(lag_ms: Histogram, clock: Clock = monotonic_ms) -> None:
    """Observe in `lag_ms`, every 400 ms, by how much a timer fired late.

    Runs until cancelled.

    Parameters
    ----------
    lag_ms : Histogram
        Where the delays go, in milliseconds.
    clock : Clock
        Monotonic time in milliseconds.
    """
    loop = asyncio.get_running_loop()
    while True:
        pause_s = find_pause_s(SAMPLE_MS, loop.time())
        due_ms = clock() + 1000 * pause_s
        await asyncio.sleep(pause_s)
        lag_ms.observe(max(0.0, clock() - due_ms))
