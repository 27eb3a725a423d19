"""The application object: owns what a process opens and closes it in reverse order."""

import asyncio
from collections.abc import Awaitable, Callable

from apricotrail.events import Level, declare_event, emit
from apricotrail.settings import declare_setting

__all__ = ["STOP_MS", "Application"]

STOP_MS = declare_setting(
    "process.stop_ms",
    30_000,
    "Longest time for a planned stop; what is unfinished then is cut off and reported.",
    unit="ms",
    minimum=100,
    maximum=600_000,
)

STOP_HOOK_FAILED = declare_event(
    9001, "stop_hook_failed", Level.ERROR, "A clean-up step failed; the others still ran."
)
TASK_FAILED = declare_event(
    9002, "background_task_failed", Level.ERROR, "A background task ended with an exception."
)

Hook = Callable[[], Awaitable[None]]


class Application:
    """Life cycle of one role.

    Start hooks run in the order added, stop hooks in reverse. Background tasks started with
    `spawn` are cancelled after the stop hooks have run.

    Parameters
    ----------
    name : str
        Name for logs.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self._start_hooks: list[Hook] = []
        self._stop_hooks: list[Hook] = []
        self._tasks: set[asyncio.Task] = set()

    def on_start(self, hook: Hook) -> None:
        """Add a coroutine function to run at start."""
        self._start_hooks.append(hook)

    def on_stop(self, hook: Hook) -> None:
        """Add a coroutine function to run at stop."""
        self._stop_hooks.append(hook)

    def spawn(self, work: Awaitable[None]) -> asyncio.Task:
        """Run `work` in the background until it ends or the application stops."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    async def start(self) -> None:
        """Run the start hooks."""
        for hook in self._start_hooks:
            await hook()

    async def stop(self) -> None:
        """Run the stop hooks in reverse, then cancel the background tasks."""
        for hook in reversed(self._stop_hooks):
            await self._run_stop_hook(hook)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_stop_hook(self, hook: Hook) -> None:
        try:
            await hook()
        except Exception as error:
            emit(STOP_HOOK_FAILED, application=self.name, error=repr(error))

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            emit(TASK_FAILED, application=self.name, error=repr(task.exception()))
