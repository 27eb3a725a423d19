"""An event loop on virtual time: it jumps to its next timer whenever nothing is ready to run."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["VirtualTimeLoop", "run_on_virtual_time"]

BEGIN_S = 10.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose `time` advances only from timer to timer."""

    def __init__(self) -> None:
        self._now_s = BEGIN_S
        super().__init__()

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def clock_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self._now_s * 1_000.0

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0].when())
        super()._run_once()


def run_on_virtual_time(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine and everything that it starts on virtual time; return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
