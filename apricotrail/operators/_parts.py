"""What an entry hands to the operators' interface."""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from returns.result import Result

from apricotrail.clocks import Clock
from apricotrail.document import EffectiveConfiguration
from apricotrail.errors import Problem
from apricotrail.operators._token import TokenFile
from apricotrail.wire.generated.ttypes import Command, ProposeReply

__all__ = ["AskStatus", "LiveTarget", "OperatorParts", "Propose"]

Propose = Callable[[Command], Awaitable[Result[ProposeReply, Problem]]]
AskStatus = Callable[[str, int], Awaitable[Result[bytes, Problem]]]


class LiveTarget(NamedTuple):
    """A target whose announcement is alive.

    Attributes
    ----------
    target : str
        Id of the target, or its reference as announced if the document does not know it.
    address : str
        Address of the target's server.
    slots, connections : int
        As announced.
    incarnation : int
        Start of the target.
    leaving : bool
        Whether the target itself said that it leaves.
    free_slots : int or None
        As last reported by its agent, None without a report.
    """

    target: str
    address: str
    slots: int
    connections: int
    incarnation: int
    leaving: bool
    free_slots: int | None = None


class OperatorParts(NamedTuple):
    """Functions of the entry.

    Attributes
    ----------
    propose : callable
        Proposes a command to control and gives its reply.
    ask_status : callable
        Asks control for "status", "history", "document" or "forced" with a number; gives its body.
    read_configuration : callable
        Gives the configuration in force on this entry.
    list_live : callable
        Gives the announced targets, those that the document does not know included.
    tokens : TokenFile
        Tokens that open the interface.
    stale_ms : float
        Age from which no node starts a task on old configuration.
    clock : Clock
        Monotonic time in milliseconds.
    """

    propose: Propose
    ask_status: AskStatus
    read_configuration: Callable[[], EffectiveConfiguration]
    list_live: Callable[[], Sequence[LiveTarget]]
    tokens: TokenFile
    stale_ms: float
    clock: Clock
