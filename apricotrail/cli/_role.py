"""Runs one role until it is told to stop.

The first SIGTERM or SIGINT begins the planned stop: the application's stop hooks finish what is
under way. Further signals change nothing, since rolling restarts may overlap; only the stop
deadline ends the wait. A signal that comes while the role starts begins the stop after the start.
"""

import asyncio
import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from importlib import import_module
from pathlib import Path

from returns.result import Failure

from apricotrail.application import STOP_MS, Application
from apricotrail.cli._exit_codes import ExitCode
from apricotrail.errors import ApricotrailError, ErrorKind, Problem
from apricotrail.events import Level, declare_event, emit
from apricotrail.logs import configure_logs
from apricotrail.settings import Settings, load_settings

__all__ = ["catch_stop_signals", "run_agent", "run_control", "run_entry", "run_role", "serve"]

ROLE_STARTED = declare_event(7001, "role_started", Level.INFO, "The role is up.")
ROLE_STOPPING = declare_event(
    7002, "role_stopping", Level.INFO, "A signal came; the planned stop has begun."
)
ROLE_STOPPED = declare_event(7003, "role_stopped", Level.INFO, "The planned stop is complete.")
STOP_CUT_SHORT = declare_event(
    7004,
    "stop_cut_short",
    Level.ERROR,
    "The stop deadline (process.stop_ms) ended the planned stop; work may be unfinished.",
)
ROLE_FAILED = declare_event(
    7005, "role_failed", Level.ERROR, "The role could not start; the problem names the remedy."
)

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run_entry(*, settings: Path) -> int:
    """Run an entry: the instance that callers and operators speak to.

    Parameters
    ----------
    settings : Path
        Settings file (TOML).
    """
    return run_role("entry", settings)


def run_control(*, settings: Path) -> int:
    """Run a control replica: it keeps the document and the zone states on disk.

    Parameters
    ----------
    settings : Path
        Settings file (TOML).
    """
    return run_role("control", settings)


def run_agent(*, settings: Path) -> int:
    """Run an agent: the process beside a target through which all of its tasks start.

    Parameters
    ----------
    settings : Path
        Settings file (TOML).
    """
    return run_role("agent", settings)


def run_role(role: str, path: Path) -> ExitCode:
    """Load the settings of a role and run it until it has stopped.

    Parameters
    ----------
    role : str
        ``entry``, ``control`` or ``agent``.
    path : Path
        Settings file.
    """
    make = getattr(import_module(f"apricotrail.{role}"), f"make_{role}")
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        return ExitCode.REFUSED
    settings = loaded.unwrap()
    configure_logs(settings, role)
    return asyncio.run(_start_and_serve(role, make, settings))


async def _start_and_serve(
    role: str, make: Callable[[Settings], Application], settings: Settings
) -> ExitCode:
    with catch_stop_signals() as stop_requested:
        try:
            application = make(settings)
            await application.start()
        except ApricotrailError as error:
            emit(ROLE_FAILED, role=role, problem=str(error.problem))
            return ExitCode.REFUSED
        except OSError as error:
            remedy = "Check the addresses and folders in the settings."
            problem = Problem(ErrorKind.SETTINGS, f"{error}.", remedy)
            emit(ROLE_FAILED, role=role, problem=str(problem))
            return ExitCode.REFUSED
        emit(ROLE_STARTED, role=role)
        return await serve(application, settings.get(STOP_MS), stop_requested)


@contextmanager
def catch_stop_signals() -> Iterator["asyncio.Future[signal.Signals]"]:
    """Handle SIGTERM and SIGINT in the running loop; the future receives the first of them."""
    loop = asyncio.get_running_loop()
    stop_requested: asyncio.Future[signal.Signals] = loop.create_future()

    def request_stop(number: signal.Signals) -> None:
        if not stop_requested.done():
            stop_requested.set_result(number)

    for number in _SIGNALS:
        loop.add_signal_handler(number, request_stop, number)
    try:
        yield stop_requested
    finally:
        for number in _SIGNALS:
            loop.remove_signal_handler(number)


async def serve(
    application: Application, stop_ms: float, stop_requested: "asyncio.Future[signal.Signals]"
) -> ExitCode:
    """Wait for a signal, then stop `application`.

    Parameters
    ----------
    application : Application
        A started application.
    stop_ms : float
        Longest time for the planned stop in milliseconds.
    stop_requested : asyncio.Future
        As given by `catch_stop_signals`.

    Returns
    -------
    ExitCode
        ``DONE`` after a whole stop, ``REFUSED`` if the deadline cut it short.
    """
    number = await stop_requested
    emit(ROLE_STOPPING, application=application.name, signal=number.name)
    try:
        async with asyncio.timeout(stop_ms / 1000):
            await application.stop()
    except TimeoutError:
        emit(STOP_CUT_SHORT, application=application.name, stop_ms=stop_ms)
        return ExitCode.REFUSED
    emit(ROLE_STOPPED, application=application.name)
    return ExitCode.DONE
