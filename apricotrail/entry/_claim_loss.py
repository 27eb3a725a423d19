"""Decides whether a submission that no member knows can have run before claims were lost."""

from typing import NamedTuple

__all__ = ["CLOCK_MARGIN_MS", "LedgerCoverage", "is_certainly_new"]

CLOCK_MARGIN_MS = 5_000  # between the wall clocks of two machines


class LedgerCoverage(NamedTuple):
    """Time that the agents' ledgers cover: a job that started in it is in one of them.

    Attributes
    ----------
    all_read : bool
        Whether the ledgers of all targets were read after the loss.
    complete_since_wall_ms : int
        Wall clock time from which all the ledgers read are complete.
    """

    all_read: bool
    complete_since_wall_ms: int


def is_certainly_new(
    id_wall_ms: int | None,
    lost_wall_ms: int,
    now_wall_ms: int,
    retention_ms: int,
    coverage: LedgerCoverage,
) -> bool:
    """Return whether an unknown submission has certainly not run.

    Parameters
    ----------
    id_wall_ms : int or None
        Creation time inside the id, None for ids without one.
    lost_wall_ms : int
        Time at which claims were last lost, 0 for never.
    now_wall_ms : int
        Current time.
    retention_ms : int
        How long a submission is remembered and may be repeated.
    coverage : LedgerCoverage
        Time that the agents' ledgers cover.

    Examples
    --------
    >>> is_certainly_new(None, 0, 10_000, 900_000, LedgerCoverage(False, 0))
    True
    >>> is_certainly_new(None, 9_000, 10_000, 900_000, LedgerCoverage(False, 0))
    False
    """
    if not lost_wall_ms or now_wall_ms - lost_wall_ms > retention_ms:
        return True
    if id_wall_ms is not None and id_wall_ms > lost_wall_ms + CLOCK_MARGIN_MS:
        return True
    if not coverage.all_read:
        return False
    covered_from_ms = now_wall_ms - retention_ms if id_wall_ms is None else id_wall_ms
    return coverage.complete_since_wall_ms + CLOCK_MARGIN_MS <= covered_from_ms
