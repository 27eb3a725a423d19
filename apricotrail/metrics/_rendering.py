"""Hands the numbers to aioprometheus and renders them (text format 0.0.4 of Prometheus)."""

from collections.abc import Iterable
from typing import Any

from apricotrail.metrics._instruments import Counter, Gauge, Histogram, LabelledCounter

__all__ = ["CONTENT_TYPE", "PREFIX", "Instrument", "make_renderer"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "apricotrail_"

Instrument = Counter | LabelledCounter | Gauge | Histogram


def make_renderer(instruments: Iterable[Instrument], role: str) -> Any:
    """Return a function that gives the present numbers as bytes for ``/metrics``."""
    from aioprometheus import Registry, render

    registry = Registry()
    flushes = [_register(registry, instrument, role) for instrument in instruments]

    def render_all() -> bytes:
        for flush in flushes:
            flush()
        return render(registry, ["text/plain"])[0]

    return render_all


def _register(registry: Any, instrument: Instrument, role: str) -> Any:
    if isinstance(instrument, Histogram):
        return _register_histogram(registry, instrument, role)
    if isinstance(instrument, LabelledCounter):
        return _register_labelled(registry, instrument, role)
    return _register_number(registry, instrument, role)


def _register_number(registry: Any, instrument: Counter | Gauge, role: str) -> Any:
    import aioprometheus

    if isinstance(instrument, Gauge):
        gauge = aioprometheus.Gauge(PREFIX + instrument.name, instrument.meaning, registry=registry)
        return lambda: gauge.set({"role": role}, float(instrument.read()))
    counter = aioprometheus.Counter(
        f"{PREFIX}{instrument.name}_total", instrument.meaning, registry=registry
    )
    return lambda: counter.set({"role": role}, instrument.value)


def _register_labelled(registry: Any, instrument: LabelledCounter, role: str) -> Any:
    import aioprometheus

    counter = aioprometheus.Counter(
        f"{PREFIX}{instrument.name}_total", instrument.meaning, registry=registry
    )

    def flush() -> None:
        for value, count in instrument.values.items():
            counter.set({"role": role, instrument.label: value}, count)

    return flush


def _register_histogram(registry: Any, instrument: Histogram, role: str) -> Any:
    import aioprometheus
    from aioprometheus.histogram import Histogram as Buckets

    histogram = aioprometheus.Histogram(
        PREFIX + instrument.name, instrument.meaning, registry=registry, buckets=instrument.bounds
    )
    buckets = Buckets(*instrument.bounds)
    histogram.set_value({"role": role}, buckets)

    def flush() -> None:
        below = 0
        for bound, count in zip(buckets.buckets, instrument.counts, strict=True):
            below += count
            buckets.buckets[bound] = below
        buckets.observations = below
        buckets.sum = instrument.total

    return flush
