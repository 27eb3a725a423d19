"""Learned run times: for each service or target a decaying histogram with relative accuracy."""

from collections import OrderedDict
from math import ceil, exp, log

from apricotrail.settings import Settings, declare_setting

__all__ = ["RunTimes"]

HALF_LIFE_MS = declare_setting(
    "policy.run_time_half_life_ms",
    30_000,
    "Time after which an observed run time counts half.",
    unit="ms",
    minimum=100,
)
MAX_KEYS = 65_536
MIN_RUN_MS = 0.1
MAX_RUN_MS = 3_600_000.0
GROWTH = 1.1  # upper bound of each bucket relative to the one below
RENORMALISE_EXPONENT = 50.0  # weights are scaled down before they exceed exp(50)
_LOG_GROWTH = log(GROWTH)


class _Histogram:
    def __init__(self) -> None:
        self.weights: dict[int, float] = {}
        self.total = 0.0
        self.sum_ms = 0.0


class RunTimes:
    """Mean and percentiles of run times by service or target; newer run times weigh more.

    Buckets grow by a constant factor as in DDSketch (C. Masson et al., VLDB 2019), so a percentile
    is accurate to 5 % at any scale and a key never has more than 183 buckets. Weights use forward
    decay (G. Cormode et al., ICDE 2009): an observation costs O(1).

    Parameters
    ----------
    settings : Settings, optional
        Value of ``policy.run_time_half_life_ms``.

    Examples
    --------
    >>> times = RunTimes()
    >>> times.observe("repair", 100.0, now_ms=0.0)
    >>> round(times.mean_ms("repair"))
    100
    """

    def __init__(self, settings: Settings | None = None) -> None:
        self._rate_per_ms = log(2) / (settings or Settings()).get(HALF_LIFE_MS)
        self._landmark_ms: float | None = None
        self._histograms: OrderedDict[str, _Histogram] = OrderedDict()

    def observe(self, service: str, run_ms: float, now_ms: float) -> None:
        """Add one run time; `service` may be any key, such as a target."""
        weight = self._weight(now_ms)
        histogram = self._histograms.get(service)
        if histogram is None:
            histogram = self._histograms[service] = _Histogram()
            if len(self._histograms) > MAX_KEYS:
                self._histograms.popitem(last=False)
        run_ms = min(max(run_ms, MIN_RUN_MS), MAX_RUN_MS)
        bucket = ceil(log(run_ms) / _LOG_GROWTH)
        histogram.weights[bucket] = histogram.weights.get(bucket, 0.0) + weight
        histogram.total += weight
        histogram.sum_ms += weight * run_ms

    def mean_ms(self, service: str, default_ms: float = 0.0) -> float:
        """Return the mean run time, or `default_ms` if none was observed."""
        histogram = self._histograms.get(service)
        if histogram is None or histogram.total <= 0:
            return default_ms
        return histogram.sum_ms / histogram.total

    def percentile_ms(self, service: str, share: float, default_ms: float = 0.0) -> float:
        """Return the run time that a `share` (0 to 1) of tasks does not exceed, or `default_ms`."""
        histogram = self._histograms.get(service)
        if histogram is None or histogram.total <= 0:
            return default_ms
        threshold = share * histogram.total
        cumulative = 0.0
        for bucket in sorted(histogram.weights):
            cumulative += histogram.weights[bucket]
            if cumulative >= threshold:
                break
        return 2 * GROWTH**bucket / (1 + GROWTH)

    def longest_ms(self, service: str, tasks: int, default_ms: float = 0.0) -> float:
        """Return the median run time of the longest of `tasks` tasks, assumed to be independent."""
        return self.percentile_ms(service, 0.5 ** (1 / max(1, tasks)), default_ms)

    def _weight(self, now_ms: float) -> float:
        if self._landmark_ms is None:
            self._landmark_ms = now_ms
        exponent = (now_ms - self._landmark_ms) * self._rate_per_ms
        if exponent > RENORMALISE_EXPONENT:
            self._renormalise(exp(-exponent))
            self._landmark_ms = now_ms
            exponent = 0.0
        return exp(exponent)

    def _renormalise(self, factor: float) -> None:
        for histogram in self._histograms.values():
            histogram.total *= factor
            histogram.sum_ms *= factor
            histogram.weights = {key: value * factor for key, value in histogram.weights.items()}
