"""Decides whether a submission without a known claim can have run before claims were lost.

The members of the entry view hold the claims, which record the owner of each submission. Claims
are lost when those of former views can't be copied completely. From then on a missing claim no
longer shows that a submission is new, but its age and the agents' ledgers, which list the jobs
that started there, still may.
"""

from typing import NamedTuple

__all__ = ["CLOCK_MARGIN_MS", "LedgerCoverage", "is_certainly_new"]

CLOCK_MARGIN_MS = 5_000  # allowed for the difference between the wall clocks of two machines


class LedgerCoverage(NamedTuple):
    """Time that the agents' ledgers cover: each job that started in it is listed in one of them.

    Attributes
    ----------
    all_read : bool
        Whether the ledger of every target in the document was read after the loss; False if there
        is no target.
    complete_since_wall_ms : int
        Wall clock time, in milliseconds, from which all the ledgers read are complete.
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
    """Return whether a submission without a known claim has certainly not run.

    That is so if no claims were lost within the retention (claims lost earlier would not be kept by
    now), if the id was created after the loss, or if the ledgers cover all the time since the
    submission can have been created. A job that they list has a claim again, restored from the
    ledger.

    Parameters
    ----------
    id_wall_ms : int or None
        Wall clock time, in milliseconds, at which the id was created, as read from the id; None for
        ids without a time, whose submission may be as old as `retention_ms`.
    lost_wall_ms : int
        Wall clock time, in milliseconds, at which claims were last lost, 0 for never.
    now_wall_ms : int
        Current wall clock time in milliseconds.
    retention_ms : int
        How long a submission is remembered and may be repeated.
    coverage : LedgerCoverage
        Time that the agents' ledgers cover.

    Returns
    -------
    bool
        False if it may have run, so that it must not be started as a new one.

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
