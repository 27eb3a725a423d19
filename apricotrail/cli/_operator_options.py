"""Options that all operators' commands share, and the session that a command works in."""

import asyncio
import inspect
import os
import sys
from collections.abc import Callable, Coroutine
from functools import wraps
from getpass import getuser
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlencode
from uuid import uuid4

from returns.result import Failure, Result, Success

from apricotrail.cli._exit_codes import ExitCode
from apricotrail.cli._operator_client import Call, OperatorClient, Refusal, Reply
from apricotrail.cli._output import print_json, report_problem
from apricotrail.errors import ApricotrailError, ErrorKind, Problem

__all__ = ["Session", "UsageError", "change_command", "read_command", "read_file", "write_file"]

ENTRY_VARIABLE = "APRICOTRAIL_ENTRY"
TOKEN_FILE_VARIABLE = "APRICOTRAIL_TOKEN_FILE"
MS_PER_S = 1_000


class Option(NamedTuple):
    """One shared option: its name, default and line of help."""

    name: str
    default: str | int | float | bool
    meaning: str


_READ_OPTIONS = (
    Option("entry", "", f"Operators' addresses of entries, a:1,b:1; else ${ENTRY_VARIABLE}."),
    Option("token_file", "", f"File whose first line is the token; else ${TOKEN_FILE_VARIABLE}."),
    Option("timeout_s", 30.0, "Longest time for the command, in seconds."),
    Option("json", False, "Print JSON."),
)
_CHANGE_OPTIONS = (
    Option("author", "", "Who makes the change; else the user's name."),
    Option("request_id", "", "Id of a change whose outcome is unknown; else a new one."),
    Option("expect", 0, "Refuse if the subject changed after this version; 0 for no check."),
)


class UsageError(ApricotrailError):
    """The shared options do not suffice for a call."""


class Session:
    """What one command works with.

    Parameters
    ----------
    options : dict
        Values of the shared options.

    Attributes
    ----------
    entries : list of str
        Addresses to call, empty if none was given.
    as_json : bool
        Whether to print JSON.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        entries = options["entry"] or os.environ.get(ENTRY_VARIABLE, "")
        self.entries = [entry.strip() for entry in entries.split(",") if entry.strip()]
        self.as_json: bool = options["json"]
        self._options = options

    async def read(self, path: str, body: bytes = b"") -> Result[Reply, Refusal]:
        """Make a call that changes nothing: GET, or POST if there is a body."""
        return await self._call(Call("POST" if body else "GET", path, body))

    async def change(
        self,
        path: str,
        body: bytes = b"",
        method: str = "POST",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Result[Reply, Refusal]:
        """Make a change under the request id of the options, or a new one."""
        expect = self._options["expect"]
        query = f"?{urlencode({'expect': expect})}" if expect else ""
        request_id = self._options["request_id"] or str(uuid4())
        return await self._call(Call(method, path + query, body, headers, request_id))

    def show(self, result: Result[Reply, Refusal], show: Callable[[Any], None]) -> ExitCode:
        """Print an answer by `show`, or as JSON, or the refusal; return the exit code."""
        if isinstance(result, Failure):
            refusal = result.failure()
            return report_problem(refusal.problem, refusal.details, self.as_json)
        reply = result.unwrap()
        if self.as_json:
            print_json(reply.value)
        else:
            show(reply.value)
        return ExitCode.DONE

    async def _call(self, call: Call) -> Result[Reply, Refusal]:
        client = OperatorClient(
            self._require_entries(),
            self._read_token(),
            self._read_author(),
            self._options["timeout_s"] * MS_PER_S,
            _notify,
        )
        try:
            return await client.call(call)
        finally:
            await client.close()

    def _require_entries(self) -> list[str]:
        if not self.entries:
            raise _usage("no entry is given.", f"Give --entry or set {ENTRY_VARIABLE}.")
        return self.entries

    def _read_token(self) -> str:
        path = self._options["token_file"] or os.environ.get(TOKEN_FILE_VARIABLE, "")
        remedy = f"Give a readable --token-file or set {TOKEN_FILE_VARIABLE}."
        text = read_file(path, remedy)
        if isinstance(text, Failure):
            raise UsageError(text.failure())
        words = text.unwrap().decode(errors="replace").split()
        if not words or not words[0].isascii():
            raise _usage(f"{path}: no token.", remedy)
        return words[0]

    def _read_author(self) -> str:
        author = self._options.get("author") or getuser()
        if not (author.isascii() and author.isprintable()):
            raise _usage("the author is not plain ASCII.", "Give another --author.")
        return author


Command = Callable[..., Coroutine[Any, Any, ExitCode]]


def read_command(command: Command) -> Callable[..., ExitCode]:
    """Make a command line function of a coroutine that takes a `Session` first."""
    return _add_options(command, _READ_OPTIONS)


def change_command(command: Command) -> Callable[..., ExitCode]:
    """Like `read_command`, with the options of a change."""
    return _add_options(command, _CHANGE_OPTIONS + _READ_OPTIONS)


def read_file(path: str, remedy: str) -> Result[bytes, Problem]:
    """Return a file's bytes, or a problem with `remedy`."""
    try:
        return Success(Path(path).read_bytes())
    except OSError as error:
        message = f"{path or 'no file'}: {error.strerror}."
        return Failure(Problem(ErrorKind.SETTINGS, message, remedy))


def write_file(path: str, content: bytes) -> Result[None, Problem]:
    """Write a file, or return a problem."""
    try:
        Path(path).write_bytes(content)
    except OSError as error:
        message = f"{path}: {error.strerror}."
        return Failure(Problem(ErrorKind.STORAGE, message, "Name a file that can be written."))
    return Success(None)


def _add_options(command: Command, options: tuple[Option, ...]) -> Callable[..., ExitCode]:
    own = list(inspect.signature(command).parameters.values())[1:]
    shared = [
        inspect.Parameter(
            option.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=option.default,
            annotation=type(option.default),
        )
        for option in options
    ]

    @wraps(command)
    def run(*arguments: Any, **named: Any) -> ExitCode:
        values = {option.name: named.pop(option.name, option.default) for option in options}
        try:
            return asyncio.run(command(Session(values), *arguments, **named))
        except UsageError as error:
            report_problem(error.problem, {}, values["json"])
            return ExitCode.USAGE

    del run.__wrapped__  # type: ignore[attr-defined]
    run.__signature__ = inspect.Signature([*own, *shared])  # type: ignore[attr-defined]
    run.__annotations__ = {item.name: item.annotation for item in (*own, *shared)}
    run.__doc__ = _describe(command.__doc__ or "", options, bool(own))
    return run


def _describe(text: str, options: tuple[Option, ...], has_parameters: bool) -> str:
    heading = "" if has_parameters else "\n\nParameters\n----------"
    lines = "".join(f"\n{option.name}\n    {option.meaning}" for option in options)
    return inspect.cleandoc(text) + heading + lines


def _usage(message: str, remedy: str) -> UsageError:
    return UsageError(Problem(ErrorKind.SETTINGS, message, remedy))


def _notify(line: str) -> None:
    print(line, file=sys.stderr)
