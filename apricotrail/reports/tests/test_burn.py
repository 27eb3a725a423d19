"""Burn arithmetic, windows, merging, gaps and the forms of a report."""

import json
from html.parser import HTMLParser

from nose2.tools import params

from apricotrail.reports import (
    WINDOWS,
    HeldReports,
    Objectives,
    SloRecorder,
    dump_report,
    find_burn_rate,
    format_report,
    load_report,
    merge_reports,
    render_page,
)
from apricotrail.reports._recorder import MAX_SERVICES, OTHER_SERVICE
from apricotrail.reports._rings import MAX_CAUSES
from apricotrail.reports._words import describe_lasts

MIN_MS = 60_000
H_MS = 60 * MIN_MS
START_MS = 1_000 * 24 * H_MS
PROMISE = Objectives(success=0.99, latency_ms=500.0, latency_share=0.9)


def make_recorder(name="entry-1", incarnation=0):
    return SloRecorder(name, incarnation, lambda service: PROMISE)


def observe(recorder, now_ms, good=0, failed=0, slow=0, **labels):
    for count, ok, response_ms in ((good, True, 100.0), (failed, False, 50.0), (slow, True, 501.0)):
        kind = "" if ok else "task_failed"
        for _ in range(count):
            recorder.observe("quotes", ok, response_ms, error_kind=kind, now_ms=now_ms, **labels)


def merge(*recorders, now_ms, silent=(), held=()):
    reports = [recorder.export(now_ms) for recorder in recorders] + list(held)
    return merge_reports(reports, lambda service: PROMISE, silent, now_ms)


@params(
    (0, 0, 0.999, 0.0),
    (0, 1_000, 0.999, 0.0),
    (1, 1_000, 0.999, 1.0),
    (5, 1_000, 0.99, 0.5),
    (1_000, 1_000, 0.5, 2.0),
)
def test_burn_rate(bad, total, objective, expected):
    assert abs(find_burn_rate(bad, total, objective) - expected) < 1e-9


def test_windows_count_what_lies_in_them():
    recorder = make_recorder()
    for age_ms, failed in ((2 * 24 * H_MS, 1), (5 * H_MS, 2), (30 * MIN_MS, 4), (MIN_MS, 8)):
        observe(recorder, START_MS - age_ms, good=100 - failed, failed=failed)
    (service,) = merge(recorder, now_ms=START_MS).services
    counts = [(window.total, window.failed) for window in service.windows]
    assert counts == [(100, 8), (200, 12), (300, 14), (400, 15)]
    rates = [round(window.success_burn, 6) for window in service.windows]
    assert rates == [8.0, 6.0, 4.666667, 3.75]


def test_both_objectives_the_budget_and_how_long_it_lasts():
    recorder = make_recorder()
    observe(recorder, START_MS - MIN_MS, good=945, failed=5, slow=50)
    (service,) = merge(recorder, now_ms=START_MS).services
    hour = service.windows[1]
    assert abs(hour.success_burn - 0.5) < 1e-9
    assert abs(hour.latency_burn - 50 / 995 / 0.1) < 1e-9
    assert abs(service.budget_left - (1 - 50 / 99.5)) < 1e-9
    lasts_ms = (1 - 50 / 99.5) * 72 * H_MS / (50 / 99.5)
    assert abs(service.budget_lasts_ms - lasts_ms) < 1
    assert describe_lasts(service) == "2.97 d"


@params(
    ({"good": 100}, "ok", "not burning"),
    ({"good": 990, "failed": 10}, "ok", "spent"),
    ({"good": 970, "failed": 30}, "burning", "spent"),
    ({"good": 900, "failed": 100}, "burning fast", "spent"),
    ({"failed": 1}, "burning fast", "spent"),
)
def test_state_of_a_service(counts, state, lasts):
    recorder = make_recorder()
    observe(recorder, START_MS - MIN_MS, **counts)
    (service,) = merge(recorder, now_ms=START_MS).services
    assert (service.state, describe_lasts(service)) == (state, lasts)


def test_what_burns_the_budget_is_ranked():
    recorder = make_recorder()
    observe(recorder, START_MS - MIN_MS, good=90, failed=3, zone="pipa", target="repair-1")
    observe(recorder, START_MS - MIN_MS, failed=1, slow=1, zone="jeri", target="repair-2")
    (service,) = merge(recorder, now_ms=START_MS).services
    ranked = [(cause.dimension, cause.name, cause.count, cause.share) for cause in service.causes]
    assert ranked == [
        ("zone", "pipa", 3, 0.6),
        ("zone", "jeri", 2, 0.4),
        ("target", "repair-1", 3, 0.6),
        ("target", "repair-2", 2, 0.4),
        ("error", "task_failed", 4, 0.8),
        ("error", "slow", 1, 0.2),
    ]


def test_entries_are_added_and_only_the_newest_of_an_incarnation_counts():
    first, second = make_recorder("entry-1"), make_recorder("entry-2")
    observe(first, START_MS - 2 * MIN_MS, good=10)
    old = first.export(START_MS - MIN_MS)
    observe(first, START_MS - MIN_MS, good=5)
    observe(second, START_MS - MIN_MS, failed=1)
    (service,) = merge(first, second, now_ms=START_MS, held=[old]).services
    assert (service.windows[0].total, service.windows[0].failed) == (16, 1)


def test_counts_of_an_earlier_incarnation_are_kept_by_others_and_the_gap_is_stated():
    earlier = make_recorder("entry-1", START_MS - 80 * H_MS)
    observe(earlier, START_MS - 2 * H_MS, good=10)
    held = HeldReports()
    held.keep(earlier.export(START_MS - H_MS))
    held.keep(earlier.export(START_MS - 2 * H_MS))
    later = make_recorder("entry-1", START_MS - H_MS + 30_000)
    observe(later, START_MS - MIN_MS, good=5)
    report = merge(later, now_ms=START_MS, held=held.list_reports(START_MS))
    (gap,) = report.gaps
    assert gap.startswith("entry-1 was restarted; its counts from ")
    (service,) = report.services
    assert service.windows[2].total == 15
    assert abs(service.windows[1].known_share - (1 - 30_000 / H_MS)) < 1e-9
    assert service.windows[0].known_share == 1.0


def test_an_entry_that_did_not_answer_is_named():
    recorder = make_recorder("entry-1", 0)
    observe(recorder, START_MS - MIN_MS, good=1)
    report = merge(recorder, now_ms=START_MS, silent=["entry-2"])
    assert report.silent == ("entry-2",)
    assert "entry-2 did not answer" in report.gaps[0]
    assert report.services[0].windows[-1].known_share == 0.0


def test_memory_is_bounded():
    recorder = make_recorder()
    for number in range(MAX_SERVICES + 500):
        recorder.observe(f"service-{number}", True, 1.0, now_ms=START_MS)
    for step in range(500):
        recorder.observe(
            "service-0", False, 1.0, zone=f"zone-{step}", now_ms=START_MS + step * 2 * H_MS
        )
        recorder.observe(
            "service-0", False, 1.0, target=f"target-{step}", now_ms=START_MS + 1_000 * H_MS
        )
    exported = recorder.export(START_MS + 1_000 * H_MS)["services"]
    assert len(exported) == MAX_SERVICES + 1
    assert exported[OTHER_SERVICE]["5 m"] == [] or exported[OTHER_SERVICE]["5 m"][0][1] == 500
    for window in WINDOWS:
        buckets = exported["service-0"][window.name]
        assert len(buckets) <= window.length_ms // window.bucket_ms
        assert all(len(bucket[4]) <= MAX_CAUSES + 3 for bucket in buckets)


def test_a_clock_that_steps_back_loses_no_count():
    recorder = make_recorder()
    observe(recorder, START_MS, good=1)
    observe(recorder, START_MS - 2 * MIN_MS, good=1)
    (service,) = merge(recorder, now_ms=START_MS).services
    assert service.windows[0].total == 2


def make_example():
    recorder = make_recorder()
    for step in range(60):
        observe(recorder, START_MS - (60 - step) * H_MS, good=100, failed=step % 3, zone="pipa")
    observe(recorder, START_MS - MIN_MS, good=9, failed=1, zone="<b>&jeri", target="t" * 200)
    return merge(recorder, now_ms=START_MS, silent=["entry-<2>"])


def test_json_form_gives_the_same_report():
    report = make_example()
    assert load_report(json.loads(json.dumps(dump_report(report)))) == report


def test_table_fits_100_columns_and_names_gaps():
    text = format_report(make_example())
    assert max(map(len, text.splitlines())) <= 100
    assert "Gap: entry-<2> did not answer" in text
    assert "No job" in format_report(merge(now_ms=START_MS))


class _Checker(HTMLParser):
    """Collects the open elements, links and element names of a page."""

    VOID = {"meta", "line", "rect", "polyline"}

    def __init__(self):
        super().__init__()
        self.open, self.seen, self.loaded = [], set(), []

    def handle_starttag(self, tag, attrs):
        self.seen.add(tag)
        self.loaded += [value for name, value in attrs if name in ("src", "href", "url")]
        if tag not in self.VOID:
            self.open.append(tag)

    def handle_startendtag(self, tag, attrs):
        self.handle_starttag(tag, attrs)

    def handle_endtag(self, tag):
        assert self.open.pop() == tag


def test_page_is_whole_escaped_and_loads_nothing():
    page = render_page(make_example())
    checker = _Checker()
    checker.feed(page)
    assert checker.open == []
    assert all(link.startswith("#") for link in checker.loaded)
    assert {"svg", "polyline", "rect", "table"} & checker.seen >= {"svg", "polyline", "rect"}
    assert "<b>&jeri" not in page and "entry-<2>" not in page
    assert "@import" not in page and "url(" not in page
