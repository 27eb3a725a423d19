"""Weighted fair choice among flows with work: start-time fair queueing."""

from collections import OrderedDict
from heapq import heapify, heappop, heappush

__all__ = ["FairFlows"]

MAX_IDLE_FLOWS = 16_384
MIN_STALE_ENTRIES = 64


class _Flow:
    def __init__(self, tag: float) -> None:
        self.tag = tag
        self.weight = 1.0
        self.entry: int | None = None


class FairFlows:
    """Chooses the flow to serve next in proportion to weights.

    A flow is served in the order of its start tag, which grows by cost over weight with each
    service; a flow that was idle starts at the present virtual time, so it neither saves up nor
    owes a share. A share that is not used goes to the others.

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
        self._entries = 0

    def __len__(self) -> int:
        return len(self._active)

    def activate(self, name: str, weight: float) -> None:
        """Add a flow that has work, or change its weight."""
        flow = self._active.get(name)
        if flow is None:
            flow = self._idle.pop(name, None) or _Flow(self.virtual_time)
            flow.tag = max(flow.tag, self.virtual_time)
            self._active[name] = flow
            self._push(name, flow)
        flow.weight = max(weight, 1e-9)

    def deactivate(self, name: str) -> None:
        """Remove a flow that has no work left; its tag is kept while it is ahead."""
        flow = self._active.pop(name, None)
        if flow is None:
            return
        flow.entry = None
        self._idle[name] = flow
        if len(self._idle) > MAX_IDLE_FLOWS:
            self._idle.popitem(last=False)
        self._compact()

    def first(self) -> str | None:
        """Return the flow to serve next, None without active flows."""
        while self._heap:
            _, entry, name = self._heap[0]
            flow = self._active.get(name)
            if flow is not None and flow.entry == entry:
                return name
            heappop(self._heap)
        return None

    def serve(self, name: str, cost: float) -> str:
        """Charge `cost` to the flow that was `first`, which moves virtual time; return it."""
        self.virtual_time = max(self.virtual_time, self._active[name].tag)
        self.charge(name, cost)
        return name

    def charge(self, name: str, cost: float) -> None:
        """Charge `cost`, negative to refund, without moving virtual time.

        An idle flow is not charged: it owes nothing for capacity that nobody else wanted.
        """
        flow = self._active.get(name)
        if flow is None:
            return
        flow.tag += cost / flow.weight
        self._push(name, flow)

    def _push(self, name: str, flow: _Flow) -> None:
        self._entries += 1
        flow.entry = self._entries
        heappush(self._heap, (flow.tag, self._entries, name))
        self._compact()

    def _compact(self) -> None:
        if len(self._heap) <= MIN_STALE_ENTRIES + 2 * len(self._active):
            return
        live = []
        for entry in self._heap:
            flow = self._active.get(entry[2])
            if flow is not None and flow.entry == entry[1]:
                live.append(entry)
        heapify(live)
        self._heap = live
