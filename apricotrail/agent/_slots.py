"""Slots of one target: those that run tasks, those granted to entries, and unmet demand."""

from collections import Counter, OrderedDict, deque
from typing import NamedTuple

__all__ = ["Slots"]

MAX_DEMAND = 65_536


class _Grant(NamedTuple):
    number: int
    until_ms: float


class Slots:
    """Counts slots and grants free ones fairly to the entries that need more.

    Parameters
    ----------
    count : int
        Tasks that the target runs at a time.
    grant_ms : float
        How long a granted slot is reserved, in milliseconds.

    Attributes
    ----------
    running : int
        Slots that are occupied by a task.

    Examples
    --------
    >>> slots = Slots(1, grant_ms=100)
    >>> slots.acquire("entry-a", now_ms=0)
    True
    >>> slots.set_demand("entry-b", 2)
    >>> slots.release("entry-a")
    >>> slots.grant(now_ms=5)
    {'entry-b': 1}
    >>> slots.acquire("entry-a", now_ms=6)
    False
    """

    def __init__(self, count: int, grant_ms: float) -> None:
        self.count = count
        self.running = 0
        self._grant_ms = grant_ms
        self._granted = 0
        self._grants: dict[str, deque[_Grant]] = {}
        self._demand: OrderedDict[str, int] = OrderedDict()
        self._running_by_entry: Counter[str] = Counter()
        self._recently_released: set[str] = set()

    def free(self) -> int:
        """Return the number of slots that neither run a task nor are granted."""
        return max(0, self.count - self.running - self._granted)

    def granted_to(self, entry: str) -> int:
        """Return the number of slots reserved for an entry."""
        return sum(grant.number for grant in self._grants.get(entry, ()))

    def acquire(self, entry: str, now_ms: float) -> bool:
        """Occupy a granted or else a free slot for a task from `entry`; False if there is none."""
        self.expire(now_ms)
        grants = self._grants.get(entry)
        if grants:
            self._use_oldest_grant(entry, grants)
        elif self.free() == 0:
            return False
        self.running += 1
        self._running_by_entry[entry] += 1
        return True

    def release(self, entry: str) -> None:
        """Free the slot of a task from `entry` that has ended."""
        self.running -= 1
        self._running_by_entry[entry] -= 1
        if not self._running_by_entry[entry]:
            del self._running_by_entry[entry]
        self._recently_released.add(entry)

    def set_demand(self, entry: str, count: int) -> None:
        """Set how many more slots `entry` could use now; 0 removes its demand."""
        if count <= 0:
            self._demand.pop(entry, None)
            return
        self._demand[entry] = min(count, MAX_DEMAND)

    def grant(self, now_ms: float) -> dict[str, int]:
        """Reserve free slots for the entries with demand and return the number granted to each.

        Each slot goes to the entry that holds the fewest (max-min fairness). Among equals, an entry
        whose task has just ended comes first, as the message with its outcome then carries the
        grant; the others take turns.
        """
        self.expire(now_ms)
        new_grants: Counter[str] = Counter()
        for _ in range(self.free()):
            if not self._demand:
                break
            entry = min(self._demand, key=lambda name: self._rank(name, new_grants))
            demand = self._demand.pop(entry)
            if demand > 1:
                self._demand[entry] = demand - 1
            new_grants[entry] += 1
        self._recently_released.clear()
        for entry, number in new_grants.items():
            grant = _Grant(number, now_ms + self._grant_ms)
            self._grants.setdefault(entry, deque()).append(grant)
            self._granted += number
        return dict(new_grants)

    def _rank(self, entry: str, new_grants: Counter[str]) -> tuple[int, bool]:
        held = self._running_by_entry[entry] + self.granted_to(entry) + new_grants[entry]
        return held, entry not in self._recently_released

    def withdraw_entry(self, entry: str) -> None:
        """Remove an entry's demand and grants, as after a lost link; its tasks keep their slots."""
        self._demand.pop(entry, None)
        self._granted -= self.granted_to(entry)
        self._grants.pop(entry, None)

    def expire(self, now_ms: float) -> None:
        """Free the granted slots whose reservation has expired."""
        if not self._granted:
            return
        for entry, grants in list(self._grants.items()):
            while grants and grants[0].until_ms <= now_ms:
                self._granted -= grants.popleft().number
            if not grants:
                del self._grants[entry]

    def _use_oldest_grant(self, entry: str, grants: deque[_Grant]) -> None:
        oldest = grants.popleft()
        if oldest.number > 1:
            grants.appendleft(oldest._replace(number=oldest.number - 1))
        self._granted -= 1
        if not grants:
            del self._grants[entry]
