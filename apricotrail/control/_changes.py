"""Types of the effects and refusals of commands, and of the records that the state keeps."""

from collections.abc import Callable
from typing import Any, NamedTuple

from returns.result import Result

from apricotrail.errors import Problem

__all__ = ["Change", "DocumentFunctions", "DocumentRecord", "KeyChange", "NewDocument", "Refusal"]


class DocumentFunctions(NamedTuple):
    """Functions through which the state machine parses and checks documents.

    Attributes
    ----------
    parse : callable
        ``parse(text)`` returns a Result with the document or its problems.
    check_succession : callable
        ``check_succession(old, new)`` returns the problems of replacing `old`, which may be None.
    make_items : callable
        ``make_items(document)`` returns the configuration items of a document by key.
    """

    parse: Callable[[bytes], Result[Any, tuple[Problem, ...]]]
    check_succession: Callable[[Any, Any], tuple[Problem, ...]]
    make_items: Callable[[Any], dict[str, bytes]]


class DocumentRecord(NamedTuple):
    """Entry of the history: one accepted document.

    Attributes
    ----------
    number : int
        Number of the document, counted from 1.
    sha256 : str
        Digest of the exact bytes, hexadecimal.
    author : str
        Author of the command.
    wall_ms : int
        Wall time of the proposal in milliseconds.
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

    A command that states an older version than this one as the one it expects is refused.

    Attributes
    ----------
    version : int
        Configuration version of the change.
    author : str
        Author of the command.
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
    """A document that passed all checks, with its number and hexadecimal digest."""

    number: int
    sha256: str
    text: bytes
    parsed: Any


class Change(NamedTuple):
    """Effect of an accepted command.

    Attributes
    ----------
    items : dict
        New values of configuration items by key, None to remove an item.
    key : str
        Key for which conflicts between operators are detected, empty for other commands.
    sha256 : str
        Digest of the new value under `key`, hexadecimal.
    document : NewDocument or None
        Set if the command puts a document.
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
        Further fields of the answer.
    """

    problem: Problem
    details: dict[str, Any] = {}
