"""Whether a submission that no member knows can have run before claims were lost."""

from typing import NamedTuple

__all__ = ["CLOCK_MARGIN_MS", "Vouching", "is_certainly_new"]

CLOCK_MARGIN_MS = 5_000


class Vouching(NamedTuple):
    """What agents' ledgers can say about unknown submissions.

    Attributes
    ----------
    all_asked : bool
        Whether the ledgers of all targets of the service were read after the loss.
    since_wall_ms : int
        Time from which all these ledgers are complete.
    """

    all_asked: bool
    since_wall_ms: int


def is_certainly_new(
    id_wall_ms: int | None,
    lost_wall_ms: int,
    now_wall_ms: int,
    retention_ms: int,
    vouching: Vouching,
) -> bool:
    """Return whether an unknown submission has certainly not run.

    Parameters
    ----------
    id_wall_ms : int or None
        Creation time inside the id, None for ids without one.
    lost_wall_ms : int
        When claims were last lost, 0 for never.
    now_wall_ms : int
        Present time.
    retention_ms : int
        How long a submission is remembered and may be repeated.
    vouching : Vouching
        What agents' ledgers cover.

    Examples
    --------
    >>> is_certainly_new(None, 0, 10_000, 900_000, Vouching(False, 0))
    True
    >>> is_certainly_new(None, 9_000, 10_000, 900_000, Vouching(False, 0))
    False
    """
    if not lost_wall_ms or now_wall_ms - lost_wall_ms > retention_ms:
        return True
    if id_wall_ms is not None and id_wall_ms > lost_wall_ms + CLOCK_MARGIN_MS:
        return True
    if not vouching.all_asked:
        return False
    covered_from_ms = now_wall_ms - retention_ms if id_wall_ms is None else id_wall_ms
    return vouching.since_wall_ms + CLOCK_MARGIN_MS <= covered_from_ms
