"""One report from the counts of all entries."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from apricotrail.reports._burn import (
    BurnReport,
    Cause,
    EntryCoverage,
    Point,
    ServiceBurn,
    WindowBurn,
    find_budget_lasts_ms,
    find_budget_left,
    find_burn_rate,
    find_state,
)
from apricotrail.reports._gaps import describe_gaps, find_gaps, find_known_share
from apricotrail.reports._recorder import Objectives
from apricotrail.reports._rings import WINDOWS, Bucket, Window

__all__ = ["merge_reports"]

CAUSE_WINDOW = WINDOWS[2]
PLOTTED_WINDOWS = WINDOWS[2:]
MAX_LISTED_CAUSES = 5
_STATE_ORDER = ("burning fast", "burning", "ok")

Counts = Mapping[str, Any]


def merge_reports(
    reports: Iterable[Counts],
    find_objectives: Callable[[str], Objectives | None],
    silent: Sequence[str],
    now_ms: int,
) -> BurnReport:
    """Merge the counts of all entries.

    Parameters
    ----------
    reports : iterable of dict
        Results of `SloRecorder.export`, also of earlier incarnations (`HeldReports`); of several
        for one incarnation the newest is used.
    find_objectives : callable
        Gives the objectives of a service, or None: such a service is left out.
    silent : sequence of str
        Entries that did not answer.
    now_ms : int
        Wall clock in milliseconds.
    """
    newest = _keep_newest(reports)
    gaps = find_gaps(newest, silent, now_ms)
    shares = {window.name: find_known_share(gaps, window, now_ms) for window in WINDOWS}
    services = []
    for name in sorted({name for report in newest for name in report["services"]}):
        objectives = find_objectives(name)
        if objectives is not None:
            services.append(_merge_service(name, objectives, newest, shares, now_ms))
    services.sort(key=lambda service: (_STATE_ORDER.index(service.state), service.service))
    return BurnReport(
        now_ms,
        tuple(services),
        tuple(_list_entries(newest, silent)),
        tuple(sorted(silent)),
        describe_gaps(gaps),
    )


def _keep_newest(reports: Iterable[Counts]) -> list[Counts]:
    newest: dict[tuple[str, int], Counts] = {}
    for report in reports:
        key = (report["entry"], report["incarnation"])
        if key not in newest or newest[key]["wall_ms"] < report["wall_ms"]:
            newest[key] = report
    return [newest[key] for key in sorted(newest)]


def _list_entries(reports: Sequence[Counts], silent: Sequence[str]) -> Iterable[EntryCoverage]:
    last = {report["entry"]: report["incarnation"] for report in reports}
    for report in reports:
        name, incarnation = report["entry"], report["incarnation"]
        answered = last[name] == incarnation and name not in silent
        yield EntryCoverage(name, incarnation, report["wall_ms"], answered)


def _merge_service(
    name: str,
    objectives: Objectives,
    reports: Sequence[Counts],
    shares: Mapping[str, float],
    now_ms: int,
) -> ServiceBurn:
    buckets = {window.name: _merge_buckets(name, window, reports, now_ms) for window in WINDOWS}
    windows = tuple(
        _sum_window(window, buckets[window.name], objectives, shares[window.name])
        for window in WINDOWS
    )
    points = {
        window.name: tuple(
            Point(b.start_ms, b.total, b.failed, b.slow) for b in buckets[window.name]
        )
        for window in PLOTTED_WINDOWS
    }
    return ServiceBurn(
        name,
        objectives,
        find_state(windows),
        windows,
        tuple(_rank_causes(buckets[CAUSE_WINDOW.name])),
        find_budget_left(windows),
        find_budget_lasts_ms(windows),
        points,
    )


def _merge_buckets(
    name: str, window: Window, reports: Sequence[Counts], now_ms: int
) -> list[Bucket]:
    merged: dict[int, Bucket] = {}
    for report in reports:
        for start_ms, total, failed, slow, causes in _find_buckets(report, name, window):
            if start_ms <= now_ms - window.length_ms:
                continue
            bucket = merged.setdefault(start_ms, Bucket(start_ms))
            bucket.total += total
            bucket.failed += failed
            bucket.slow += slow
            for cause, count in causes.items():
                bucket.blame(cause, count)
    return [merged[start_ms] for start_ms in sorted(merged)]


def _find_buckets(report: Counts, name: str, window: Window) -> Iterable[list[Any]]:
    return report["services"].get(name, {}).get(window.name, ())


def _sum_window(
    window: Window, buckets: Sequence[Bucket], objectives: Objectives, known_share: float
) -> WindowBurn:
    total = sum(bucket.total for bucket in buckets)
    failed = sum(bucket.failed for bucket in buckets)
    slow = sum(bucket.slow for bucket in buckets)
    return WindowBurn(
        window.name,
        total,
        failed,
        slow,
        find_burn_rate(failed, total, objectives.success),
        find_burn_rate(slow, total - failed, objectives.latency_share),
        known_share,
    )


def _rank_causes(buckets: Sequence[Bucket]) -> Iterable[Cause]:
    counts: dict[str, int] = {}
    for bucket in buckets:
        for cause, count in bucket.causes.items():
            counts[cause] = counts.get(cause, 0) + count
    bad = sum(bucket.failed + bucket.slow for bucket in buckets)
    for dimension in ("zone", "target", "error"):
        prefix = f"{dimension}:"
        named = [
            (count, key[len(prefix) :]) for key, count in counts.items() if key.startswith(prefix)
        ]
        ranked = sorted(named, key=lambda item: (-item[0], item[1]))
        for count, name in ranked[:MAX_LISTED_CAUSES]:
            yield Cause(dimension, name, count, count / bad)
