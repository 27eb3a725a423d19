"""Typed effects and refusals of commands, and what the state remembers of them."""

from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Result

from apricotrail.errors import Problem

__all__ = ["Change", "DocumentFunctions", "DocumentRecord", "KeyChange", "NewDocument", "Refusal"]


class DocumentFunctions(NamedTuple):
    """What the state machine needs to know of documents.

    Attributes
    ----------
    parse : callable
        ``parse(text)`` gives a Result of the document or its problems.
    check_succession : callable
        ``check_succession(old, new)`` gives the problems of replacing `old` (may be None).
    make_items : callable
        ``make_items(document)`` gives its configuration items by key.
    """

    parse: Callable[[bytes], Result[Any, tuple[Problem, ...]]]
    check_succession: Callable[[Any, Any], tuple[Problem, ...]]
    make_items: Callable[[Any], dict[str, bytes]]


class DocumentRecord(NamedTuple):
    """One accepted document.

    Attributes
    ----------
    number : int
        Counts documents from 1.
    sha256 : str
        Digest of the exact bytes, hexadecimal.
    author : str
        Who proposed it.
    wall_ms : int
        Wall time of the proposal in milliseconds.
    version : int
        Configuration version that brought it.
    """

    number: int
    sha256: str
    author: str
    wall_ms: int
    version: int


class KeyChange(NamedTuple):
    """The last change of one thing that operators may race for.

    Attributes
    ----------
    version : int
        Configuration version of the change.
    author : str
        Who proposed it.
    wall_ms : int
        Wall time of the proposal in milliseconds.
    sha256 : str
        Digest of the document or item, hexadecimal.
    """

    version: int
    author: str
    wall_ms: int
    sha256: str


class NewDocument(NamedTuple):
    """A document that passed all checks."""

    number: int
    sha256: str
    text: bytes
    parsed: Any


class Change(NamedTuple):
    """Effect of an accepted command.

    Attributes
    ----------
    items : dict
        Configuration items by key, None to remove.
    key : str
        What operators may race for, empty for other commands.
    sha256 : str
        Digest of the new value under `key`.
    document : NewDocument or None
        Set if the command brings a document.
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
        More for the answer.
    """

    problem: Problem
    details: dict[str, Any] = {}
