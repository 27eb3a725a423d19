"""Weighted fair queueing: chooses among flows that have work, by start-time fair queueing."""

from collections import OrderedDict
from heapq import heapify, heappop, heappush

__all__ = ["FairFlows"]

MAX_IDLE_FLOWS = 16_384
MIN_STALE_ITEMS = 64


class _Flow:
    """One flow; `sequence` identifies its current heap item, others of it are stale."""

    def __init__(self, start_tag: float) -> None:
        self.start_tag = start_tag
        self.weight = 1.0
        self.sequence: int | None = None


class FairFlows:
    """Chooses the flow to serve next in proportion to weights.

    The flow with the lowest start tag is served first; each service raises the tag by cost divided
    by weight. A flow that was idle starts at the current virtual time at the earliest, so for its
    idle time it neither gains nor owes a share. A share that is not used goes to the others.

    References
    ----------
    P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.

    Examples
    --------
    >>> flows = FairFlows()
    >>> flows.activate("a", 2.0)
    >>> flows.activate("b", 1.0)
    >>> served = [flows.serve(flows.first(), 1.0) for _ in range(6)]
    >>> served.count("a"), served.count("b")
    (4, 2)
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._active: dict[str, _Flow] = {}
        self._idle: OrderedDict[str, _Flow] = OrderedDict()
        self._heap: list[tuple[float, int, str]] = []
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._active)

    def activate(self, name: str, weight: float) -> None:
        """Add a flow that has work, or change its weight."""
        flow = self._active.get(name)
        if flow is None:
            flow = self._idle.pop(name, None) or _Flow(self.virtual_time)
            flow.start_tag = max(flow.start_tag, self.virtual_time)
            self._active[name] = flow
            self._push(name, flow)
        flow.weight = max(weight, 1e-9)

    def deactivate(self, name: str) -> None:
        """Remove a flow that has no work left; its tag, which may be ahead, is kept."""
        flow = self._active.pop(name, None)
        if flow is None:
            return
        flow.sequence = None
        self._idle[name] = flow
        if len(self._idle) > MAX_IDLE_FLOWS:
            self._idle.popitem(last=False)
        self._compact()

    def first(self) -> str | None:
        """Return the name of the flow to serve next, None without active flows."""
        while self._heap:
            _, sequence, name = self._heap[0]
            flow = self._active.get(name)
            if flow is not None and flow.sequence == sequence:
                return name
            heappop(self._heap)
        return None

    def serve(self, name: str, cost: float) -> str:
        """Advance virtual time to the tag of the flow from `first`, charge `cost`, return it."""
        self.virtual_time = max(self.virtual_time, self._active[name].start_tag)
        self.charge(name, cost)
        return name

    def charge(self, name: str, cost: float) -> None:
        """Charge `cost` without advancing virtual time; a negative cost is a refund.

        An idle flow is not charged: it owes nothing for capacity that no other flow wanted.
        """
        flow = self._active.get(name)
        if flow is None:
            return
        flow.start_tag += cost / flow.weight
        self._push(name, flow)

    def _push(self, name: str, flow: _Flow) -> None:
        self._last_sequence += 1
        flow.sequence = self._last_sequence
        heappush(self._heap, (flow.start_tag, self._last_sequence, name))
        self._compact()

    def _compact(self) -> None:
        if len(self._heap) <= MIN_STALE_ITEMS + 2 * len(self._active):
            return
        live = []
        for item in self._heap:
            flow = self._active.get(item[2])
            if flow is not None and flow.sequence == item[1]:
                live.append(item)
        heapify(live)
        self._heap = live
