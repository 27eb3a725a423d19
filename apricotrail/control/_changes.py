"""Types of what a command of the replicated log does to the state of control, or why it is refused.

Beside `Change` and `Refusal` these are the records of accepted documents and of last changes that
the state machine keeps, and the functions through which it parses documents.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Result

from apricotrail.errors import Problem

__all__ = ["Change", "DocumentFunctions", "DocumentRecord", "KeyChange", "NewDocument", "Refusal"]


class DocumentFunctions(NamedTuple):
    """Functions through which the state machine parses and checks documents.

    A document describes the environment: its services, zones, targets and teams.

    Attributes
    ----------
    parse : callable
        ``parse(text)`` returns a Result with the document or its problems.
    check_succession : callable
        ``check_succession(old, new)`` returns the problems of replacing `old` by `new`, none if
        that is allowed; `old` is None for the first document.
    make_items : callable
        ``make_items(document)`` returns the configuration items of a document by key.
    """

    parse: Callable[[bytes], Result[Any, tuple[Problem, ...]]]
    check_succession: Callable[[Any, Any], tuple[Problem, ...]]
    make_items: Callable[[Any], dict[str, bytes]]


class DocumentRecord(NamedTuple):
    """One accepted document in the history; the state machine keeps the newest texts apart.

    Attributes
    ----------
    number : int
        Number of the document, counted from 1.
    sha256 : str
        Digest of the exact bytes, hexadecimal.
    author : str
        Author of the command.
    wall_ms : int
        Wall time of the proposal in milliseconds, by the clock of the replica that proposed it.
    version : int
        Configuration version in which it was accepted.
    """

    number: int
    sha256: str
    author: str
    wall_ms: int
    version: int


class KeyChange(NamedTuple):
    """The last change of one key that several operators may change at the same time.

    A command may state the configuration version on which it is based. If that is older than the
    last change of its key, the command is refused as a conflict.

    Attributes
    ----------
    version : int
        Configuration version of the change.
    author : str
        Author of the command.
    wall_ms : int
        Wall time of the proposal in milliseconds, by the clock of the replica that proposed it.
    sha256 : str
        Digest of the document or item, hexadecimal.
    """

    version: int
    author: str
    wall_ms: int
    sha256: str


class NewDocument(NamedTuple):
    """A document that passed all checks, with its number in the history and hexadecimal digest.

    `text` has the exact bytes; `parsed` is what `DocumentFunctions.parse` made of them.
    """

    number: int
    sha256: str
    text: bytes
    parsed: Any


class Change(NamedTuple):
    """Effect of an accepted command, which the state machine applies.

    Attributes
    ----------
    items : dict
        New values of configuration items by key, None to remove an item; empty if the command
        changes nothing.
    key : str
        Key for which the command is recorded as last change, so that conflicts between operators
        are detected; empty for commands that can't conflict in this way.
    sha256 : str
        Digest of the new value under `key`, hexadecimal.
    document : NewDocument or None
        The new document if the command puts one that differs from the newest one.
    """

    items: dict[str, bytes | None]
    key: str = ""
    sha256: str = ""
    document: NewDocument | None = None


class Refusal(NamedTuple):
    """Why a command was refused.

    Attributes
    ----------
    problem : Problem
        Kind, message and remedy.
    details : dict
        Further fields of the JSON answer, such as the change that won a conflict.
    """

    problem: Problem
    details: dict[str, Any] = {}
