"""Records of the ledger, and the settings that limit its size."""

from typing import NamedTuple

from apricotrail.settings import Settings, declare_setting
from apricotrail.wire.generated.ttypes import Reason

__all__ = ["AttemptId", "LedgerLimits", "Outcome", "read_ledger_limits"]

RETENTION_S = declare_setting(
    "agent.retention_s",
    900,
    "An agent remembers which attempts it started or refused for this long.",
    unit="s",
    minimum=10,
)
ANSWER_KEEP_MS = declare_setting(
    "agent.answer_keep_ms",
    30_000,
    "An agent keeps an answer for this long, for an owner that asks again.",
    unit="ms",
    minimum=0,
)
ANSWER_KEEP_BYTES = declare_setting(
    "agent.answer_keep_bytes",
    8 * 1024 * 1024,
    "Bytes of answers that an agent keeps; the newest answer stays, whatever its size.",
    unit="bytes",
    minimum=0,
    maximum=12 * 1024 * 1024,
)
LEDGER_RECORDS = declare_setting(
    "agent.ledger_records",
    200_000,
    "Attempts and jobs that an agent remembers; a full ledger refuses starts.",
    minimum=100,
)


class Outcome(NamedTuple):
    """State of one attempt.

    Attributes
    ----------
    state : int
        `TaskState`.
    reason : int
        `Reason`.
    answer : bytes or None
        Complete answer of a task that is done, as long as it is kept.
    run_ms : int
        Run time in milliseconds.
    detail : str or None
        Explanation for an operator.
    """

    state: int
    reason: int = Reason.NONE
    answer: bytes | None = None
    run_ms: int = 0
    detail: str | None = None


class AttemptId(NamedTuple):
    """One attempt of one task of a job."""

    task: int
    attempt: int


class LedgerLimits(NamedTuple):
    """Bounds of a ledger; the settings of the same names explain them."""

    retention_ms: float = RETENTION_S.default * 1_000
    answer_keep_ms: float = ANSWER_KEEP_MS.default
    answer_keep_bytes: int = ANSWER_KEEP_BYTES.default
    records: int = LEDGER_RECORDS.default


def read_ledger_limits(settings: Settings) -> LedgerLimits:
    """Return the ledger's bounds from the settings."""
    return LedgerLimits(
        settings.get(RETENTION_S) * 1_000,
        settings.get(ANSWER_KEEP_MS),
        settings.get(ANSWER_KEEP_BYTES),
        settings.get(LEDGER_RECORDS),
    )
