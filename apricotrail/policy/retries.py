"""Retry budget and backoff for tasks that are known not to have run.

The budget prevents retry storms; the backoff has jitter.
"""

from random import Random

from apricotrail.settings import Settings, declare_setting

__all__ = ["RetryBudget", "backoff_ms"]

RETRY_SHARE = declare_setting(
    "policy.retry_share",
    0.2,
    "Retries allowed per first start, beyond the steady allowance.",
    minimum=0.0,
    maximum=1.0,
)
RETRIES_PER_S = declare_setting(
    "policy.retries_per_s",
    10.0,
    "Steady allowance of retries of each service.",
    unit="1/s",
    minimum=0.1,
)
RETRY_BURST = declare_setting(
    "policy.retry_burst", 1_000, "Most retries that one service can save up.", minimum=1
)
BACKOFF_BASE_MS = 2.0
BACKOFF_LIMIT_MS = 1_000.0
MAX_DOUBLINGS = 16
_MS_PER_S = 1_000.0


class RetryBudget:
    """Token bucket per service that limits retries to a share of the first starts.

    A steady rate of retries is allowed as well, whatever the number of starts.

    Parameters
    ----------
    settings : Settings, optional
        Values of the settings ``policy.retry_*``.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> budget.try_spend("repair", 0.0)
    True
    """

    def __init__(self, settings: Settings | None = None) -> None:
        settings = settings or Settings()
        self._share = settings.get(RETRY_SHARE)
        self._rate_per_ms = settings.get(RETRIES_PER_S) / _MS_PER_S
        self._burst = float(settings.get(RETRY_BURST))
        self._tokens: dict[str, tuple[float, float]] = {}

    def note_start(self, service: str, count: int, now_ms: float) -> None:
        """Add the allowance for `count` first starts."""
        tokens = self._refill(service, now_ms)
        self._tokens[service] = (min(self._burst, tokens + count * self._share), now_ms)

    def try_spend(self, service: str, now_ms: float) -> bool:
        """Spend one token of `service`; return whether there was one, so the retry is allowed."""
        tokens = self._refill(service, now_ms)
        allowed = tokens >= 1
        self._tokens[service] = (tokens - 1 if allowed else tokens, now_ms)
        return allowed

    def _refill(self, service: str, now_ms: float) -> float:
        tokens, updated_ms = self._tokens.get(service, (self._burst, now_ms))
        earned = max(0.0, now_ms - updated_ms) * self._rate_per_ms
        return min(self._burst, tokens + earned)


def backoff_ms(attempt: int, random: Random) -> float:
    """Return the wait in milliseconds before retry number `attempt`, counted from 1.

    The wait is drawn uniformly between zero and a limit that doubles with each attempt ("full
    jitter", M. Brooker, "Exponential backoff and jitter", 2015).

    Examples
    --------
    >>> 0 <= backoff_ms(1, Random(1)) <= BACKOFF_BASE_MS
    True
    """
    doublings = min(max(0, attempt - 1), MAX_DOUBLINGS)
    return random.uniform(0.0, min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS * 2**doublings))
