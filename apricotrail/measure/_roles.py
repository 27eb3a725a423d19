"""Runs the roles of a measured system: in this process, or as processes of their own."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from importlib import import_module
from pathlib import Path
from typing import NamedTuple

from apricotrail.measure._deployment import write_toml
from apricotrail.settings import Settings

__all__ = ["RoleRunner", "RunningRole", "make_process_runner", "run_in_process"]

STOP_MS = 15_000
_MS_PER_S = 1_000.0


class RunningRole(NamedTuple):
    """One running role.

    Attributes
    ----------
    name : str
        Unique name.
    stop : callable
        Ends it as planned.
    kill : callable
        Ends it at once; without effect on a role in this process but a hasty stop.
    process_id : int or None
        Process to send signals to, None for a role in this process.
    """

    name: str
    stop: Callable[[], Awaitable[None]]
    kill: Callable[[], Awaitable[None]]
    process_id: int | None = None


RoleRunner = Callable[[str, str, dict], Awaitable[RunningRole]]
"""Starts a role, given its kind, a unique name and its settings by dotted name."""


async def run_in_process(role: str, name: str, values: dict) -> RunningRole:
    """Start a role in this process."""
    make = getattr(import_module(f"apricotrail.{role}"), f"make_{role}")
    application = make(Settings(values))
    await application.start()
    return RunningRole(name, application.stop, application.stop)


def make_process_runner(folder: Path) -> RoleRunner:
    """Return the runner that starts each role as a process with a settings file in `folder`."""

    async def run(role: str, name: str, values: dict) -> RunningRole:
        path = folder / f"{name}.toml"
        path.write_text(write_toml(values))
        with (folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "apricotrail",
                role,
                "--settings",
                str(path),
                stdout=log,
                stderr=log,
            )
        return RunningRole(name, lambda: _stop(process), lambda: _kill(process), process.pid)

    return run


async def _stop(process: asyncio.subprocess.Process) -> None:
    if process.returncode is not None:
        return
    process.terminate()
    try:
        async with asyncio.timeout(STOP_MS / _MS_PER_S):
            await process.wait()
    except TimeoutError:
        await _kill(process)


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()
