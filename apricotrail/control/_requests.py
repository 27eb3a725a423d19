"""First answers by request id, so that a resent command gets the same answer.

An answer is kept for `REQUEST_WINDOW_MS` of log time, and at most `MAX_REQUESTS` answers are kept.
Log time is the highest wall time of any command so far: it is the same on every replica and never
goes back.
"""

from base64 import b64decode, b64encode
from collections import OrderedDict
from typing import Any, NamedTuple

__all__ = ["MAX_REQUESTS", "REQUEST_WINDOW_MS", "Outcome", "RequestTable"]

REQUEST_WINDOW_MS = 3_600_000
MAX_REQUESTS = 16_384


class Outcome(NamedTuple):
    """Result of a command that the state machine has applied.

    Attributes
    ----------
    accepted : bool
        Whether the command was accepted; it may still have changed nothing.
    version : int
        Configuration version after the command; a refused one leaves it as it was.
    answer : bytes
        JSON; on refusal it has kind, message and remedy.
    """

    accepted: bool
    version: int
    answer: bytes


class _StoredAnswer(NamedTuple):
    log_ms: int
    digest: str
    outcome: Outcome


class RequestTable:
    """Bounded table of first answers, oldest first."""

    def __init__(self) -> None:
        self._requests: OrderedDict[str, _StoredAnswer] = OrderedDict()

    def find(self, request_id: str) -> tuple[str, Outcome] | None:
        """Return the digest and outcome of the first command under `request_id`, or None."""
        stored = self._requests.get(request_id)
        return (stored.digest, stored.outcome) if stored is not None else None

    def add(self, request_id: str, digest: str, outcome: Outcome, log_ms: int) -> None:
        """Store an outcome and drop those beyond the window or the bound."""
        self._requests[request_id] = _StoredAnswer(log_ms, digest, outcome)
        while len(self._requests) > MAX_REQUESTS or self._oldest_ms() < log_ms - REQUEST_WINDOW_MS:
            self._requests.popitem(last=False)

    def export(self) -> list[list[Any]]:
        """Return the table as JSON values."""
        return [
            [key, log_ms, digest, out.accepted, out.version, b64encode(out.answer).decode()]
            for key, (log_ms, digest, out) in self._requests.items()
        ]

    def restore(self, rows: list[list[Any]]) -> None:
        """Replace the table by one that `export` returned."""
        self._requests = OrderedDict(
            (key, _StoredAnswer(log_ms, digest, Outcome(accepted, version, b64decode(answer))))
            for key, log_ms, digest, accepted, version, answer in rows
        )

    def _oldest_ms(self) -> int:
        return next(iter(self._requests.values())).log_ms
