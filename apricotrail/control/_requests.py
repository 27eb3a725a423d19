"""First answers by request id, so that a resent command gets the same answer.

An answer is kept for `REQUEST_WINDOW_MS` of log time, but no more than `MAX_REQUESTS` of them. Log
time is the highest wall time of any command so far: it is the same on every replica and never runs
backwards.
"""

from base64 import b64decode, b64encode
from collections import OrderedDict
from typing import Any, NamedTuple

__all__ = ["MAX_REQUESTS", "REQUEST_WINDOW_MS", "Outcome", "RequestTable"]

REQUEST_WINDOW_MS = 3_600_000
MAX_REQUESTS = 16_384


class Outcome(NamedTuple):
    """What became of a command.

    Attributes
    ----------
    accepted : bool
        Whether the command was carried out.
    version : int
        Configuration version that holds it, or the present version on refusal.
    answer : bytes
        JSON; on refusal with kind, message and remedy.
    """

    accepted: bool
    version: int
    answer: bytes


class _Remembered(NamedTuple):
    wall_ms: int
    digest: str
    outcome: Outcome


class RequestTable:
    """Bounded table of first answers."""

    def __init__(self) -> None:
        self._requests: OrderedDict[str, _Remembered] = OrderedDict()

    def find(self, request_id: str) -> tuple[str, Outcome] | None:
        """Return the digest of the first command under `request_id` and its outcome."""
        remembered = self._requests.get(request_id)
        return (remembered.digest, remembered.outcome) if remembered is not None else None

    def add(self, request_id: str, digest: str, outcome: Outcome, log_ms: int) -> None:
        """Keep an outcome and drop those out of the window."""
        self._requests[request_id] = _Remembered(log_ms, digest, outcome)
        while len(self._requests) > MAX_REQUESTS or self._oldest_ms() < log_ms - REQUEST_WINDOW_MS:
            self._requests.popitem(last=False)

    def export(self) -> list[list[Any]]:
        """Return the table as JSON values."""
        return [
            [key, at_ms, digest, out.accepted, out.version, b64encode(out.answer).decode()]
            for key, (at_ms, digest, out) in self._requests.items()
        ]

    def restore(self, rows: list[list[Any]]) -> None:
        """Replace the table by an exported one."""
        self._requests = OrderedDict(
            (key, _Remembered(at_ms, digest, Outcome(accepted, version, b64decode(answer))))
            for key, at_ms, digest, accepted, version, answer in rows
        )

    def _oldest_ms(self) -> int:
        return next(iter(self._requests.values())).wall_ms
