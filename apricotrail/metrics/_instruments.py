"""Instruments that cost an integer addition each; the library sees them when they are rendered."""

from bisect import bisect_left
from collections.abc import Callable, Sequence

__all__ = ["MAX_SERIES", "OTHER_LABEL", "Counter", "Gauge", "Histogram", "LabelledCounter"]

MAX_SERIES = 64
OTHER_LABEL = "other"


class Counter:
    """A number that only grows.

    Parameters
    ----------
    name : str
        Name without the project's prefix.
    meaning : str
        One sentence for the scraper.
    """

    __slots__ = ("meaning", "name", "value")

    def __init__(self, name: str, meaning: str) -> None:
        self.name = name
        self.meaning = meaning
        self.value = 0

    def add(self, count: int = 1) -> None:
        """Count `count` more."""
        self.value += count


class LabelledCounter:
    """Numbers that only grow, one for each value of a label.

    Values of the label beyond `max_series` are counted together as `OTHER_LABEL`.

    Parameters
    ----------
    name : str
        Name without the project's prefix.
    meaning : str
        One sentence for the scraper.
    label : str
        Name of the label.
    max_series : int
        Values of the label that are kept apart.

    Examples
    --------
    >>> refusals = LabelledCounter("refusals", "Refused submissions.", "kind", max_series=1)
    >>> for kind in ("overloaded", "overloaded", "expired"):
    ...     refusals.add(kind)
    >>> refusals.values
    {'overloaded': 2, 'other': 1}
    """

    __slots__ = ("label", "max_series", "meaning", "name", "values")

    def __init__(self, name: str, meaning: str, label: str, max_series: int = MAX_SERIES) -> None:
        self.name = name
        self.meaning = meaning
        self.label = label
        self.max_series = max_series
        self.values: dict[str, int] = {}

    def add(self, label: str, count: int = 1) -> None:
        """Count `count` more under `label`."""
        values = self.values
        if label in values:
            values[label] += count
            return
        key = label if len(values) < self.max_series else OTHER_LABEL
        values[key] = values.get(key, 0) + count


class Gauge:
    """A number that is read from its owner when rendered.

    Parameters
    ----------
    name : str
        Name without the project's prefix, with its unit.
    meaning : str
        One sentence for the scraper.
    """

    __slots__ = ("meaning", "name", "read")

    def __init__(self, name: str, meaning: str) -> None:
        self.name = name
        self.meaning = meaning
        self.read: Callable[[], float] = _read_nothing

    def watch(self, read: Callable[[], float]) -> None:
        """Read the number from `read` from now on."""
        self.read = read


class Histogram:
    """Counts of observations by size.

    Parameters
    ----------
    name : str
        Name without the project's prefix, with its unit.
    meaning : str
        One sentence for the scraper.
    bounds : sequence of float
        Inclusive upper bounds, rising; a last bucket without bound is added.
    """

    __slots__ = ("bounds", "counts", "meaning", "name", "total")

    def __init__(self, name: str, meaning: str, bounds: Sequence[float]) -> None:
        self.name = name
        self.meaning = meaning
        self.bounds = tuple(bounds)
        self.counts = [0] * (len(self.bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one observation."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value


def _read_nothing() -> float:
    return 0.0
