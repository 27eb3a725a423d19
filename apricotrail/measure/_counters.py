"""Counters of the roles, read from their metrics."""

__all__ = ["parse_metrics", "sum_series"]


def parse_metrics(text: str) -> dict[str, float]:
    """Return the samples of a metrics text by name and labels.

    Examples
    --------
    >>> parse_metrics('# TYPE a counter\\na_total{kind="x"} 3\\n')
    {'a_total{kind="x"}': 3.0}
    """
    samples = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if name and not line.startswith("#"):
            samples[name] = float(value)
    return samples


def sum_series(metrics: dict[str, float], name: str) -> float:
    """Return the sum of all samples of one name, over its labels."""
    return sum(value for key, value in metrics.items() if key.partition("{")[0] == name)
