"""The report as one HTML file with inline plots; it loads nothing."""

from collections.abc import Iterable
from datetime import UTC, datetime
from html import escape

from apricotrail.reports._burn import BUDGET_MS, BurnReport, Cause, ServiceBurn, WindowBurn
from apricotrail.reports._plot import draw_burn, draw_jobs
from apricotrail.reports._rings import WINDOWS
from apricotrail.reports._style import STYLE
from apricotrail.reports._words import (
    describe_lasts,
    format_duration,
    format_rate,
    format_share,
)

__all__ = ["render_page"]

_STATE_CLASS = {"ok": "ok", "burning": "warn", "burning fast": "bad"}
_DIMENSIONS = (("zone", "By zone"), ("target", "By target"), ("error", "By kind of error"))


def render_page(report: BurnReport) -> str:
    """Return the report as a self-contained HTML document."""
    made = datetime.fromtimestamp(report.made_wall_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M UTC")
    services = "".join(_render_service(service, report.made_wall_ms) for service in report.services)
    empty = "<p class='note'>No job of a service with objectives was answered in 3 days.</p>"
    return (
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        "<meta name='viewport' content='width=device-width, initial-scale=1'>"
        f"<title>Service-level burn, {made}</title><style>{STYLE}</style></head><body><main>"
        f"<header><h1>Service-level burn</h1><p>{made}, {_describe_entries(report)}</p></header>"
        f"{_render_gaps(report)}{_render_overview(report)}{services or empty}"
        "<footer>Burn rate 1 spends the error budget of 3 days in exactly 3 days. A job counts "
        "against the success objective if it failed, against the latency objective if its complete "
        "answer came late.</footer></main></body></html>\n"
    )


def _describe_entries(report: BurnReport) -> str:
    answered = len({entry.entry for entry in report.entries if entry.answered})
    silent = f", {len(report.silent)} silent" if report.silent else ""
    return f"counts of {answered} {'entry' if answered == 1 else 'entries'}{silent}"


def _render_gaps(report: BurnReport) -> str:
    if not report.gaps:
        return ""
    items = "".join(f"<li>{escape(gap)}</li>" for gap in report.gaps)
    return f"<aside><strong>Counts are missing</strong><ul>{items}</ul></aside>"


def _render_overview(report: BurnReport) -> str:
    if len(report.services) < 2:
        return ""
    rows = "".join(_render_overview_row(service) for service in report.services)
    head = "".join(f"<th class='n'>{window.name}</th>" for window in WINDOWS)
    return (
        f"<table class='overview'><thead><tr><th>Service</th><th>State</th>{head}"
        f"<th class='n'>Budget left</th><th class='n'>Lasts</th></tr></thead>"
        f"<tbody>{rows}</tbody></table>"
    )


def _render_overview_row(service: ServiceBurn) -> str:
    rates = "".join(
        f"<td class='n'>{format_rate(max(window.success_burn, window.latency_burn))}</td>"
        for window in service.windows
    )
    name = escape(service.service)
    return (
        f"<tr><td><a href='#{name}'>{name}</a></td><td>{_render_state(service.state)}</td>{rates}"
        f"<td class='n'>{format_share(max(0.0, service.budget_left))}</td>"
        f"<td class='n'>{describe_lasts(service)}</td></tr>"
    )


def _render_state(state: str) -> str:
    return f"<span class='state {_STATE_CLASS[state]}'>{state}</span>"


def _render_service(service: ServiceBurn, made_ms: int) -> str:
    name = escape(service.service)
    objectives = service.objectives
    promise = (
        f"{format_share(objectives.success)} of jobs complete; "
        f"{format_share(objectives.latency_share)} of answers within "
        f"{format_duration(objectives.latency_ms)}"
    )
    plots = "".join(
        f"<figure><figcaption>{title}</figcaption>{plot}</figure>"
        for title, plot in (
            ("Burn rate, last 6 h", draw_burn(service, WINDOWS[2], made_ms)),
            ("Burn rate, last 3 d", draw_burn(service, WINDOWS[3], made_ms)),
            ("Jobs, last 3 d", draw_jobs(service, WINDOWS[3], made_ms)),
        )
    )
    causes = "".join(
        _render_causes(title, [cause for cause in service.causes if cause.dimension == dimension])
        for dimension, title in _DIMENSIONS
    )
    return (
        f"<section id='{name}'><h2>{name} {_render_state(service.state)}</h2>"
        f"<p class='promise'>{promise}</p>{_render_budget(service)}"
        f"<div class='windows'>{''.join(_render_window(w) for w in service.windows)}</div>"
        f"<div class='plots'>{plots}</div><div class='causes'>{causes}</div></section>"
    )


def _render_budget(service: ServiceBurn) -> str:
    left = min(1.0, max(0.0, service.budget_left))
    return (
        f"<div class='budget'><div class='bar'><div style='width:{left * 100:.1f}%'></div></div>"
        f"<p>{format_share(left)} of the budget of {format_duration(BUDGET_MS)} left; at the rate "
        f"of the last hour: <strong>{describe_lasts(service)}</strong></p></div>"
    )


def _render_window(window: WindowBurn) -> str:
    rate = max(window.success_burn, window.latency_burn)
    level = "bad" if rate > 6 else "warn" if rate > 1 else "ok"
    known = "" if window.known_share >= 1 else f", {format_share(window.known_share)} known"
    return (
        f"<div class='window {level}'><span>{window.window}</span><b>{format_rate(rate)}&times;</b>"
        f"<small>{window.total:,} jobs, {window.failed:,} failed, {window.slow:,} late{known}"
        "</small></div>"
    )


def _render_causes(title: str, causes: Iterable[Cause]) -> str:
    rows = "".join(
        f"<li><span>{escape(cause.name)}</span><i style='width:{cause.share * 100:.1f}%'></i>"
        f"<em>{cause.count:,} ({format_share(cause.share)})</em></li>"
        for cause in causes
    )
    return f"<div><h3>{title}, last 6 h</h3><ul>{rows or '<li>nothing</li>'}</ul></div>"
