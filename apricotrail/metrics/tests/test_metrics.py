"""Metrics: what is rendered, and that series stay bounded."""

import asyncio
from unittest import IsolatedAsyncioTestCase

from nose2.tools import params

from apricotrail.clocks import VirtualClock
from apricotrail.metrics import (
    MAX_SERIES,
    OTHER_LABEL,
    Gauge,
    Histogram,
    LabelledCounter,
    make_metrics,
    watch_loop_lag,
)


@params("entry", "agent", "control")
def test_every_instrument_of_a_role_is_rendered(role):
    metrics = make_metrics(role)
    for instrument in metrics.instruments():
        if isinstance(instrument, LabelledCounter):
            instrument.add("some")
    text = metrics.render().decode()
    for instrument in metrics.instruments():
        assert f"# HELP apricotrail_{instrument.name}" in text
        assert instrument.meaning in text


def test_numbers_are_those_at_the_time_of_rendering():
    metrics = make_metrics("entry")
    metrics.tasks_started.add(300)
    metrics.refusals.add("overloaded")
    metrics.refusals.add("overloaded", 2)
    metrics.queued_tasks.watch(lambda: 7)
    first = metrics.render().decode()
    assert 'apricotrail_tasks_started_total{role="entry"} 300' in first
    assert 'apricotrail_refusals_total{kind="overloaded",role="entry"} 3' in first
    assert 'apricotrail_queued_tasks{role="entry"} 7.0' in first
    metrics.tasks_started.add(1)
    assert 'apricotrail_tasks_started_total{role="entry"} 301' in metrics.render().decode()


def test_histogram_buckets_are_cumulative_and_inclusive():
    metrics = make_metrics("entry")
    for value_ms in (1, 1.5, 2, 40_000):
        metrics.response_ms.observe(value_ms)
    text = metrics.render().decode()
    for bound, count in (("1.0", 1), ("2.0", 3), ("30000.0", 3), ("+Inf", 4)):
        assert f'apricotrail_response_ms_bucket{{le="{bound}",role="entry"}} {count}' in text
    assert 'apricotrail_response_ms_sum{role="entry"} 40004.5' in text
    assert 'apricotrail_response_ms_count{role="entry"} 4' in text


def test_series_are_bounded():
    counter = LabelledCounter("refusals", "Refusals.", "kind")
    for number in range(1_000):
        counter.add(f"kind-{number}")
    assert len(counter.values) == MAX_SERIES + 1
    assert counter.values[OTHER_LABEL] == 1_000 - MAX_SERIES
    assert sum(counter.values.values()) == 1_000


def test_a_gauge_nobody_watches_reads_zero():
    assert Gauge("slots", "Slots.").read() == 0


class SignallingHistogram(Histogram):
    """Sets an event with the first observation."""

    def __init__(self):
        super().__init__("loop_lag_ms", "Lag.", (1, 2))
        self.observed = asyncio.Event()

    def observe(self, value):
        super().observe(value)
        self.observed.set()


class LoopLag(IsolatedAsyncioTestCase):
    """Delay of timers."""

    async def test_lag_is_observed_until_cancelled(self):
        lag_ms = SignallingHistogram()
        task = asyncio.create_task(watch_loop_lag(lag_ms, VirtualClock()))
        await asyncio.wait_for(lag_ms.observed.wait(), 10)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        assert lag_ms.counts[0] >= 1
