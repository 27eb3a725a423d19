"""Least-squares lines through measured counts."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["Fit", "Series", "fit_line", "format_series"]


class Fit(NamedTuple):
    """A line: value = `base` + `slope` * size, with its coefficient of determination."""

    base: float
    slope: float
    r_squared: float


class Series(NamedTuple):
    """One quantity measured at several sizes.

    Attributes
    ----------
    key : str
        Name for the model.
    title : str
        Name for a person, with what one item is.
    unit : str
        Unit of the values.
    sizes : tuple of int
        Number of items.
    values : tuple of float
        Measured values.
    """

    key: str
    title: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the least-squares line.

    Examples
    --------
    >>> fit_line([1, 2, 3], [3.0, 5.0, 7.0])
    Fit(base=1.0, slope=2.0, r_squared=1.0)
    """
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    together = sum(
        (size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True)
    )
    slope = together / spread
    base = mean_value - slope * mean_size
    total = sum((value - mean_value) ** 2 for value in values)
    rest = sum(
        (value - base - slope * size) ** 2 for size, value in zip(sizes, values, strict=True)
    )
    return Fit(base, slope, 1.0 - rest / total if total else 1.0)


def format_series(series: Series) -> str:
    """Return one row of a Markdown table: sizes, values, and the fitted line."""
    fit = fit_line(series.sizes, series.values)
    points = ", ".join(
        f"{size:,}: {value:.4g}" for size, value in zip(series.sizes, series.values, strict=True)
    )
    return (
        f"| {series.title} | {points} | {fit.base:.4g} + **{fit.slope:.4g}** n {series.unit} "
        f"| {fit.r_squared:.4f} |"
    )
