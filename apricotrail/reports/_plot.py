"""Inline SVG plots of one service."""

from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from html import escape
from math import ceil, log10

from apricotrail.reports._burn import Point, ServiceBurn, find_burn_rate
from apricotrail.reports._rings import Window

__all__ = ["draw_burn", "draw_jobs"]

WIDTH, HEIGHT = 340, 150
LEFT, RIGHT, TOP, BOTTOM = 34, 6, 8, 20
GRID_LINES = 4
TIME_MARKS = 4
DATE_MARKS = 2
DAY_MS = 86_400_000


def draw_burn(service: ServiceBurn, window: Window, now_ms: int) -> str:
    """Return a plot of the burn rates of both objectives by bucket; a dashed line marks 1."""
    objectives = service.objectives
    points = service.points[window.name]
    failed = [find_burn_rate(point.failed, point.total, objectives.success) for point in points]
    slow = [
        find_burn_rate(point.slow, point.total - point.failed, objectives.latency_share)
        for point in points
    ]
    top = _round_up(max([1.5, *failed, *slow]))
    place = _make_place(window, now_ms, top)
    limit = place(now_ms, 1.0)[1]
    mark = (
        f"<line x1='{LEFT}' x2='{WIDTH - RIGHT}' y1='{limit:.1f}' y2='{limit:.1f}' "
        "stroke='currentColor' stroke-dasharray='4 3' opacity='.55'/>"
    )
    lines = _draw_line(points, slow, place, window, "var(--b)") + _draw_line(
        points, failed, place, window, "var(--a)"
    )
    legend = (
        f"<text x='{LEFT + 6}' y='{TOP + 10}' style='fill:var(--a)'>failed</text>"
        f"<text x='{LEFT + 44}' y='{TOP + 10}' style='fill:var(--b)'>late</text>"
    )
    return _frame(_draw_axes(window, now_ms, top) + lines + mark + legend, service.service)


def draw_jobs(service: ServiceBurn, window: Window, now_ms: int) -> str:
    """Return bars of the answered jobs by bucket, with the failed and late ones on top."""
    points = service.points[window.name]
    top = _round_up(max([1, *(point.total for point in points)]))
    place = _make_place(window, now_ms, top)
    bars = "".join(_draw_bar(point, place, window) for point in points)
    return _frame(_draw_axes(window, now_ms, top) + bars, service.service)


Place = Callable[[float, float], tuple[float, float]]


def _make_place(window: Window, now_ms: int, top: float) -> Place:
    oldest_ms = now_ms - window.length_ms

    def place(time_ms: float, value: float) -> tuple[float, float]:
        share = min(1.0, max(0.0, (time_ms - oldest_ms) / window.length_ms))
        x = LEFT + share * (WIDTH - LEFT - RIGHT)
        return x, HEIGHT - BOTTOM - value / top * (HEIGHT - TOP - BOTTOM)

    return place


def _draw_line(
    points: Sequence[Point], values: Sequence[float], place: Place, window: Window, color: str
) -> str:
    parts: list[list[str]] = []
    previous_ms = None
    for point, value in zip(points, values, strict=True):
        x, y = place(point.start_ms + window.bucket_ms / 2, value)
        if previous_ms is None or point.start_ms - previous_ms > window.bucket_ms:
            parts.append([])
        parts[-1].append(f"{x:.1f},{y:.1f}")
        previous_ms = point.start_ms
    style = f"fill='none' stroke='{color}' stroke-width='1.6' stroke-linejoin='round'"
    return "".join(
        f"<polyline points='{' '.join(part if len(part) > 1 else part * 2)}' {style} "
        "stroke-linecap='round'/>"
        for part in parts
    )


def _draw_bar(point: Point, place: Place, window: Window) -> str:
    left, total_y = place(point.start_ms, point.total)
    right, bad_y = place(point.start_ms + window.bucket_ms, point.failed + point.slow)
    width = max(0.5, right - left - 0.6)
    base = HEIGHT - BOTTOM
    return (
        f"<rect x='{left:.1f}' y='{total_y:.1f}' width='{width:.1f}' "
        f"height='{base - total_y:.1f}' fill='var(--b)' opacity='.45'/>"
        f"<rect x='{left:.1f}' y='{bad_y:.1f}' width='{width:.1f}' "
        f"height='{base - bad_y:.1f}' fill='var(--a)'/>"
    )


def _draw_axes(window: Window, now_ms: int, top: float) -> str:
    parts = []
    for step in range(GRID_LINES + 1):
        value = top * step / GRID_LINES
        y = HEIGHT - BOTTOM - step / GRID_LINES * (HEIGHT - TOP - BOTTOM)
        parts.append(
            f"<line x1='{LEFT}' x2='{WIDTH - RIGHT}' y1='{y:.1f}' y2='{y:.1f}' "
            "stroke='currentColor' opacity='.12'/>"
            f"<text x='{LEFT - 4}' y='{y + 3:.1f}' text-anchor='end'>{_shorten(value)}</text>"
        )
    marks = TIME_MARKS if window.length_ms < DAY_MS else DATE_MARKS
    for step in range(marks + 1):
        time_ms = now_ms - window.length_ms * (1 - step / marks)
        x = LEFT + step / marks * (WIDTH - LEFT - RIGHT)
        anchor = "start" if step == 0 else "end" if step == marks else "middle"
        label = _format_mark(time_ms, window)
        parts.append(f"<text x='{x:.1f}' y='{HEIGHT - 5}' text-anchor='{anchor}'>{label}</text>")
    return "".join(parts)


def _frame(content: str, label: str) -> str:
    return (
        f"<svg viewBox='0 0 {WIDTH} {HEIGHT}' role='img' aria-label='{escape(label)}'>"
        f"{content}</svg>"
    )


def _format_mark(time_ms: float, window: Window) -> str:
    form = "%H:%M" if window.length_ms < DAY_MS else "%d %b %Hh"
    return datetime.fromtimestamp(time_ms / 1000, UTC).strftime(form)


def _round_up(value: float) -> float:
    power = 10 ** int(log10(value)) if value >= 1 else 1
    return ceil(value / power * 2) / 2 * power


def _shorten(value: float) -> str:
    for size, name in ((1_000_000, "M"), (1_000, "k")):
        if value >= size:
            return f"{value / size:.3g}{name}"
    return f"{value:.3g}"
