"""Counts of other entries, kept so that a restart of one does not lose them.

Each entry asks its peers for their counts from time to time and keeps the last answer of every
incarnation. After a restart the counts of the earlier incarnation are still held by the others;
what it counted after the last exchange is lost, and the report states that gap.
"""

from typing import Any

from apricotrail.reports._rings import WINDOWS

__all__ = ["MAX_HELD", "HeldReports"]

MAX_HELD = 64
_LONGEST_MS = max(window.length_ms for window in WINDOWS)


class HeldReports:
    """The last counts seen of each entry's incarnation, bounded in number and age.

    Examples
    --------
    >>> held = HeldReports()
    >>> held.keep({"entry": "entry-2", "incarnation": 5, "wall_ms": 1_000, "services": {}})
    >>> len(held.list_reports(2_000))
    1
    """

    def __init__(self) -> None:
        self._reports: dict[tuple[str, int], dict[str, Any]] = {}

    def keep(self, report: dict[str, Any]) -> None:
        """Keep an entry's counts unless newer ones of the same incarnation are held."""
        key = (report["entry"], report["incarnation"])
        present = self._reports.get(key)
        if present is not None and present["wall_ms"] >= report["wall_ms"]:
            return
        self._reports[key] = report
        if len(self._reports) > MAX_HELD:
            oldest = min(self._reports, key=lambda key: self._reports[key]["wall_ms"])
            del self._reports[oldest]

    def list_reports(self, now_ms: int) -> list[dict[str, Any]]:
        """Return what is held and not older than the longest window."""
        oldest_ms = now_ms - _LONGEST_MS
        self._reports = {
            key: report for key, report in self._reports.items() if report["wall_ms"] > oldest_ms
        }
        return list(self._reports.values())
