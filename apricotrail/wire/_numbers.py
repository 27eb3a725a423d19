"""Keeps numbers within the range of the message fields that carry them."""

__all__ = ["bound_i32"]

MAX_I32 = 2**31 - 1


def bound_i32(value: float) -> int:
    """Return `value` as the nearest integer that a 32-bit field can carry.

    A message with a larger number can't be sent at all. Durations in milliseconds pass the limit
    after 24.8 days, so an uptime, or a time since one, must not be put into a message without this.

    Examples
    --------
    >>> bound_i32(12.7), bound_i32(3e12), bound_i32(float("-inf"))
    (12, 2147483647, -2147483647)
    """
    return int(max(-MAX_I32, min(value, MAX_I32)))
