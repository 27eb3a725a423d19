"""Numbers of a report in words, for the table and the page."""

from apricotrail.reports._burn import ServiceBurn

__all__ = ["describe_lasts", "format_duration", "format_rate", "format_share"]

_UNITS = ((86_400_000, "d"), (3_600_000, "h"), (60_000, "min"), (1_000, "s"))


def format_duration(duration_ms: float) -> str:
    """Return a duration in its largest fitting unit.

    Examples
    --------
    >>> format_duration(5_400_000)
    '1.5 h'
    """
    for unit_ms, name in _UNITS:
        if duration_ms >= unit_ms:
            return f"{duration_ms / unit_ms:.3g} {name}"
    return f"{duration_ms:.0f} ms"


def format_rate(rate: float) -> str:
    """Return a burn rate, such as ``0.4`` or ``12``."""
    return f"{rate:.0f}" if rate >= 10 else f"{rate:.1f}"


def format_share(share: float) -> str:
    """Return a share as a percentage.

    Examples
    --------
    >>> format_share(0.9995)
    '99.95%'
    """
    return f"{share * 100:.4g}%"


def describe_lasts(service: ServiceBurn) -> str:
    """Return how long the error budget lasts at the rate of the last hour."""
    if service.budget_left <= 0:
        return "spent"
    if service.budget_lasts_ms is None:
        return "not burning"
    return format_duration(service.budget_lasts_ms)
