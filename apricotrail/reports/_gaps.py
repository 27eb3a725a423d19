"""Stretches of time for which an entry's counts are not in a report."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any, NamedTuple

from apricotrail.reports._rings import WINDOWS, Window

__all__ = ["Gap", "describe_gaps", "find_gaps", "find_known_share"]


class Gap(NamedTuple):
    """A stretch of wall-clock time without the counts of one entry."""

    entry: str
    from_ms: int
    until_ms: int
    reason: str


def find_gaps(
    reports: Sequence[Mapping[str, Any]], silent: Sequence[str], now_ms: int
) -> tuple[Gap, ...]:
    """Return the gaps within the longest window.

    Parameters
    ----------
    reports : sequence of dict
        Counts, the newest of each incarnation, in the order of entry and incarnation.
    silent : sequence of str
        Entries that did not answer now.
    now_ms : int
        Wall clock in milliseconds.
    """
    oldest_ms = now_ms - WINDOWS[-1].length_ms
    gaps: list[Gap] = []
    counted_until_ms: dict[str, int] = {}
    for report in reports:
        entry, start_ms = report["entry"], report["incarnation"]
        until_ms = counted_until_ms.get(entry, oldest_ms)
        if start_ms > until_ms:
            reason = "restarted" if entry in counted_until_ms else "started"
            gaps.append(Gap(entry, until_ms, start_ms, reason))
        counted_until_ms[entry] = max(oldest_ms, report["wall_ms"])
    for entry in sorted(silent):
        gaps.append(Gap(entry, counted_until_ms.get(entry, oldest_ms), now_ms, "silent"))
    return tuple(gaps)


def describe_gaps(gaps: Iterable[Gap]) -> tuple[str, ...]:
    """Return a sentence for each gap."""
    return tuple(_describe(gap) for gap in gaps)


def find_known_share(gaps: Iterable[Gap], window: Window, now_ms: int) -> float:
    """Return the share of a window that has no gap, for the entry with the longest ones."""
    missing_ms: dict[str, int] = {}
    for gap in gaps:
        from_ms = max(gap.from_ms, now_ms - window.length_ms)
        length_ms = max(0, gap.until_ms - from_ms)
        missing_ms[gap.entry] = missing_ms.get(gap.entry, 0) + length_ms
    return max(0.0, 1.0 - max(missing_ms.values(), default=0) / window.length_ms)


def _describe(gap: Gap) -> str:
    start, end = _format_time(gap.from_ms), _format_time(gap.until_ms)
    if gap.reason == "started":
        return f"{gap.entry} has counted only since {end}."
    if gap.reason == "silent":
        return f"{gap.entry} did not answer; its counts since {start} are missing."
    return f"{gap.entry} was restarted; its counts from {start} to {end} are lost."


def _format_time(wall_ms: int) -> str:
    return datetime.fromtimestamp(wall_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
