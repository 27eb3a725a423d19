"""Records when a replica last heard from each member, whether it leads or not."""

from collections.abc import Iterable, Mapping

__all__ = ["MemberContacts"]


class MemberContacts:
    """Times of the last contact with the members of a group.

    Parameters
    ----------
    max_gap_ms : float
        Time between two calls of `record` above which this process counts as stalled. Others can't
        be heard during a stall, so it doesn't count as silence.
    """

    def __init__(self, max_gap_ms: float) -> None:
        self._max_gap_ms = max_gap_ms
        self._heard_ms: dict[str, float] = {}
        self._recorded_ms: float | None = None

    def record(
        self, members: Iterable[str], heard_ms: Mapping[str, float], now_ms: float
    ) -> dict[str, float]:
        """Record the present contacts and return the silence of each member in milliseconds.

        Parameters
        ----------
        members : iterable of str
            Ids of the members; one that is new here counts as heard now.
        heard_ms : dict of str to float
            Time of the last message on each open link, by replica id.
        now_ms : float
            Monotonic time in milliseconds.
        """
        if self._recorded_ms is not None and now_ms - self._recorded_ms > self._max_gap_ms:
            stall_ms = now_ms - self._recorded_ms
            self._heard_ms = {key: at_ms + stall_ms for key, at_ms in self._heard_ms.items()}
        self._recorded_ms = now_ms
        self._heard_ms = {
            key: max(self._heard_ms.get(key, heard_ms.get(key, now_ms)), heard_ms.get(key, 0.0))
            for key in members
        }
        return {key: now_ms - at_ms for key, at_ms in self._heard_ms.items()}
