"""Burn rates and what is left of the error budget.

Burn rates as in *The Site Reliability Workbook* (Beyer et al., 2018), chapter 5: the share of bad
events over the share that the objective allows; at 1 the budget lasts exactly its period.
"""

from typing import NamedTuple

from apricotrail.reports._recorder import Objectives
from apricotrail.reports._rings import WINDOWS

__all__ = [
    "BUDGET_MS",
    "FAST_BURN_RATE",
    "BurnReport",
    "Cause",
    "EntryCoverage",
    "Point",
    "ServiceBurn",
    "WindowBurn",
    "find_budget_left",
    "find_budget_lasts_ms",
    "find_burn_rate",
    "find_state",
]

BUDGET_MS = max(window.length_ms for window in WINDOWS)
RATE_DIGITS = 9  # hides the rounding errors of objectives such as 0.99
FAST_BURN_RATE = 6.0  # spends the whole budget in a sixth of its period, half a day


class WindowBurn(NamedTuple):
    """Burn of one service over one window.

    Attributes
    ----------
    window : str
        Name of the window.
    total, failed, slow : int
        Jobs answered; failed; complete but late.
    success_burn, latency_burn : float
        Burn rates against the two objectives.
    known_share : float
        Share of the window for which every entry's counts are known, 0 to 1.
    """

    window: str
    total: int
    failed: int
    slow: int
    success_burn: float
    latency_burn: float
    known_share: float


class Cause(NamedTuple):
    """Part of the bad jobs of a window.

    Attributes
    ----------
    dimension : str
        ``zone``, ``target`` or ``error``.
    name : str
        Zone, target or kind of error; ``slow`` for late answers.
    count : int
        Failed and late jobs.
    share : float
        Share of all bad jobs of the window, 0 to 1.
    """

    dimension: str
    name: str
    count: int
    share: float


class Point(NamedTuple):
    """Counts of one bucket, for the plots."""

    start_ms: int
    total: int
    failed: int
    slow: int


class ServiceBurn(NamedTuple):
    """Burn of one service.

    Attributes
    ----------
    service : str
        Service id.
    objectives : Objectives
        What was promised.
    state : str
        ``ok``, ``burning`` (over 6 h faster than the budget allows) or ``burning fast``.
    windows : tuple of WindowBurn
        Shortest window first.
    causes : tuple of Cause
        What burns the budget in the last 6 h, worst first within each dimension.
    budget_left : float
        Share of the budget of 3 d that is left; negative if overspent.
    budget_lasts_ms : float or None
        Time until the budget is spent at the rate of the last hour; None if nothing burns.
    points : dict of str to tuple of Point
        Counts by bucket, for the windows ``6 h`` and ``3 d``.
    """

    service: str
    objectives: Objectives
    state: str
    windows: tuple[WindowBurn, ...]
    causes: tuple[Cause, ...]
    budget_left: float
    budget_lasts_ms: float | None
    points: dict[str, tuple[Point, ...]]


class EntryCoverage(NamedTuple):
    """One incarnation of an entry whose counts are in the report."""

    entry: str
    incarnation: int
    counted_until_ms: int
    answered: bool


class BurnReport(NamedTuple):
    """The merged report.

    Attributes
    ----------
    made_wall_ms : int
        When it was made.
    services : tuple of ServiceBurn
        Worst state first, then by name.
    entries : tuple of EntryCoverage
        Whose counts are in it.
    silent : tuple of str
        Entries that did not answer.
    gaps : tuple of str
        One sentence for each stretch of time without counts.
    """

    made_wall_ms: int
    services: tuple[ServiceBurn, ...]
    entries: tuple[EntryCoverage, ...]
    silent: tuple[str, ...]
    gaps: tuple[str, ...]


def find_burn_rate(bad: int, total: int, objective: float) -> float:
    """Return how many times faster than allowed bad events come.

    Examples
    --------
    >>> round(find_burn_rate(bad=2, total=1_000, objective=0.999), 6)
    2.0
    """
    if total == 0:
        return 0.0
    return round(bad / total / (1.0 - objective), RATE_DIGITS)


def find_budget_left(windows: tuple[WindowBurn, ...]) -> float:
    """Return the share of the budget that is left, by the objective that spent more."""
    longest = windows[-1]
    return 1.0 - max(longest.success_burn, longest.latency_burn)


def find_budget_lasts_ms(windows: tuple[WindowBurn, ...]) -> float | None:
    """Return when the budget will be spent at the rate of the last hour, in milliseconds."""
    longest, hour = windows[-1], windows[1]
    times_ms = [
        max(0.0, 1.0 - spent) * BUDGET_MS / rate
        for spent, rate in (
            (longest.success_burn, hour.success_burn),
            (longest.latency_burn, hour.latency_burn),
        )
        if rate > 0
    ]
    return min(times_ms, default=None)


def find_state(windows: tuple[WindowBurn, ...]) -> str:
    """Return ``burning fast``, ``burning`` or ``ok`` by two windows each, against false alarms."""
    rates = [max(window.success_burn, window.latency_burn) for window in windows]
    if min(rates[0], rates[1]) > FAST_BURN_RATE:
        return "burning fast"
    if min(rates[1], rates[2]) > 1.0:
        return "burning"
    return "ok"
