"""Fixed-size set of refused attempts, without false negatives within the retention window.

Two alternating Bloom filters (Bloom, "Space/time trade-offs in hash coding with allowable errors",
1970). A false positive refuses an attempt that was never seen, which is always safe; a false
negative can't happen before two windows have passed.
"""

from collections.abc import Hashable

__all__ = ["RefusalFilter"]

INDEX_BITS = 20
HASHES = 3
_SIZE_BITS = 1 << INDEX_BITS
_MASK = _SIZE_BITS - 1


class RefusalFilter:
    """Remembers keys for at least `window_ms` in constant space.

    Parameters
    ----------
    window_ms : float
        Minimum time for which a key is remembered, in milliseconds.

    Examples
    --------
    >>> refusals = RefusalFilter(window_ms=1_000)
    >>> refusals.add("job-1", now_ms=0)
    >>> refusals.contains("job-1", now_ms=900)
    True
    """

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._current_since_ms: float | None = None
        self._current = bytearray()
        self._previous = bytearray()

    def add(self, key: Hashable, now_ms: float) -> None:
        """Add `key`; it is remembered for at least the window."""
        self._rotate(now_ms)
        if not self._current:
            self._current = bytearray(_SIZE_BITS // 8)
            self._current_since_ms = now_ms
        for index in _indexes(key):
            self._current[index >> 3] |= 1 << (index & 7)

    def contains(self, key: Hashable, now_ms: float) -> bool:
        """Return whether `key` was added within the window; rarely true for other keys."""
        if self._current_since_ms is None:
            return False
        self._rotate(now_ms)
        indexes = _indexes(key)
        return _has_all(self._current, indexes) or _has_all(self._previous, indexes)

    def _rotate(self, now_ms: float) -> None:
        if self._current_since_ms is None or now_ms - self._current_since_ms < self._window_ms:
            return
        recent = now_ms - self._current_since_ms < 2 * self._window_ms
        self._previous = self._current if recent else bytearray()
        self._current = bytearray()
        self._current_since_ms = now_ms if self._previous else None


def _indexes(key: Hashable) -> list[int]:
    value = hash(key)
    return [(value >> (INDEX_BITS * number)) & _MASK for number in range(HASHES)]


def _has_all(bits: bytearray, indexes: list[int]) -> bool:
    if not bits:
        return False
    return all(bits[index >> 3] >> (index & 7) & 1 for index in indexes)
