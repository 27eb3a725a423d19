"""A fixed-size memory of refused attempts that never forgets one within the window.

Two Bloom filters (Bloom, "Space/time trade-offs in hash coding with allowable errors", 1970) that
are used in turn. A false positive refuses an attempt that was never seen, which is always safe; a
false negative can't happen before two windows have passed.
"""

from collections.abc import Hashable

__all__ = ["RefusalFilter"]

INDEX_BITS = 20
HASHES = 3
_SIZE = 1 << INDEX_BITS
_MASK = _SIZE - 1


class RefusalFilter:
    """Remembers keys for at least `window_ms` in constant space.

    Parameters
    ----------
    window_ms : float
        Shortest time to remember, in milliseconds.

    Examples
    --------
    >>> refusals = RefusalFilter(window_ms=1_000)
    >>> refusals.add("job-1", now_ms=0)
    >>> refusals.contains("job-1", now_ms=900)
    True
    """

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._since_ms: float | None = None
        self._present = bytearray()
        self._former = bytearray()

    def add(self, key: Hashable, now_ms: float) -> None:
        """Remember `key`."""
        self._rotate(now_ms)
        if not self._present:
            self._present = bytearray(_SIZE // 8)
            self._since_ms = now_ms
        for index in _indexes(key):
            self._present[index >> 3] |= 1 << (index & 7)

    def contains(self, key: Hashable, now_ms: float) -> bool:
        """Return whether `key` was added within the window; rarely true for other keys."""
        if self._since_ms is None:
            return False
        self._rotate(now_ms)
        indexes = _indexes(key)
        return _has_all(self._present, indexes) or _has_all(self._former, indexes)

    def _rotate(self, now_ms: float) -> None:
        if self._since_ms is None or now_ms - self._since_ms < self._window_ms:
            return
        recent = now_ms - self._since_ms < 2 * self._window_ms
        self._former = self._present if recent else bytearray()
        self._present = bytearray()
        self._since_ms = now_ms if self._former else None


def _indexes(key: Hashable) -> list[int]:
    value = hash(key)
    return [(value >> (INDEX_BITS * number)) & _MASK for number in range(HASHES)]


def _has_all(bits: bytearray, indexes: list[int]) -> bool:
    if not bits:
        return False
    return all(bits[index >> 3] >> (index & 7) & 1 for index in indexes)
