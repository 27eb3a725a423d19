"""The report as text of at most 100 columns."""

from collections.abc import Iterable

from apricotrail.reports._burn import BurnReport, ServiceBurn
from apricotrail.reports._words import describe_lasts, format_rate, format_share

__all__ = ["format_report"]

_ROW = "{:<22.22} {:<13} {:>6} {:>6} {:>6} {:>6} {:>12} {:>13}"
_CAUSE_ROW = "  {:<7} {:<40.40} {:>9} {:>7}"


def format_report(report: BurnReport) -> str:
    """Return the report as a table: burn by window, what burns the budget, gaps."""
    lines = [_ROW.format("SERVICE", "STATE", "5 m", "1 h", "6 h", "3 d", "BUDGET LEFT", "LASTS")]
    for service in report.services:
        lines.extend(_format_service(service))
    if not report.services:
        lines.append("No job of a service with objectives was answered in the last 3 days.")
    lines.append("")
    lines.append("Burn rates: 1 spends the budget of 3 days in 3 days; the worse objective counts.")
    lines.extend(f"Gap: {gap}" for gap in report.gaps)
    return "\n".join(lines) + "\n"


def _format_service(service: ServiceBurn) -> Iterable[str]:
    rates = [format_rate(max(w.success_burn, w.latency_burn)) for w in service.windows]
    left = format_share(max(0.0, service.budget_left))
    yield _ROW.format(service.service, service.state, *rates, left, describe_lasts(service))
    for cause in service.causes:
        share = format_share(cause.share)
        yield _CAUSE_ROW.format(cause.dimension, cause.name, cause.count, share)
