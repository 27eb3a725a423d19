"""Slots of one target: running tasks, slots granted to entries, and entries that want one."""

from collections import Counter, OrderedDict, deque
from typing import NamedTuple

__all__ = ["Slots"]

MAX_WANT = 65_536


class _Grant(NamedTuple):
    number: int
    until_ms: float


class Slots:
    """Counts slots and hands free ones to the wanting entries in turn.

    Parameters
    ----------
    count : int
        Tasks that the target runs at a time.
    grant_ms : float
        How long a granted slot is reserved, in milliseconds.

    Examples
    --------
    >>> slots = Slots(1, grant_ms=100)
    >>> slots.take("entry-a", now_ms=0)
    True
    >>> slots.want("entry-b", 2)
    >>> slots.release("entry-a")
    >>> slots.grant(now_ms=5)
    {'entry-b': 1}
    >>> slots.take("entry-a", now_ms=6)
    False
    """

    def __init__(self, count: int, grant_ms: float) -> None:
        self.count = count
        self.running = 0
        self._grant_ms = grant_ms
        self._granted = 0
        self._grants: dict[str, deque[_Grant]] = {}
        self._wanting: OrderedDict[str, int] = OrderedDict()
        self._running_of: Counter[str] = Counter()
        self._released: set[str] = set()

    def free(self) -> int:
        """Return the slots that neither run a task nor are granted."""
        return max(0, self.count - self.running - self._granted)

    def granted_to(self, entry: str) -> int:
        """Return the slots reserved for an entry."""
        return sum(grant.number for grant in self._grants.get(entry, ()))

    def take(self, entry: str, now_ms: float) -> bool:
        """Occupy a slot for a start sent by `entry`: a granted one, else a free one."""
        self.expire(now_ms)
        grants = self._grants.get(entry)
        if grants:
            self._shrink_first(entry, grants)
        elif self.free() == 0:
            return False
        self.running += 1
        self._running_of[entry] += 1
        return True

    def release(self, entry: str) -> None:
        """Free the slot of a task that `entry` started and that ended."""
        self.running -= 1
        self._running_of[entry] -= 1
        if not self._running_of[entry]:
            del self._running_of[entry]
        self._released.add(entry)

    def want(self, entry: str, count: int) -> None:
        """Register how many more slots `entry` could use now; 0 withdraws."""
        if count <= 0:
            self._wanting.pop(entry, None)
            return
        self._wanting[entry] = min(count, MAX_WANT)

    def grant(self, now_ms: float) -> dict[str, int]:
        """Reserve the free slots for wanting entries and return the new grants.

        Each goes to the entry that holds the fewest (max-min fairness). Of equals, one whose task
        has just ended comes first, as the grant then rides on its outcome; the others take turns.
        """
        self.expire(now_ms)
        new: Counter[str] = Counter()
        for _ in range(self.free()):
            if not self._wanting:
                break
            entry = min(self._wanting, key=lambda it: self._rank(it, new))
            wanted = self._wanting.pop(entry)
            if wanted > 1:
                self._wanting[entry] = wanted - 1
            new[entry] += 1
        self._released.clear()
        for entry, number in new.items():
            grant = _Grant(number, now_ms + self._grant_ms)
            self._grants.setdefault(entry, deque()).append(grant)
            self._granted += number
        return dict(new)

    def _rank(self, entry: str, new: Counter[str]) -> tuple[int, bool]:
        held = self._running_of[entry] + self.granted_to(entry) + new[entry]
        return held, entry not in self._released

    def forget(self, entry: str) -> None:
        """Withdraw the wants and grants of an entry whose link is lost."""
        self._wanting.pop(entry, None)
        self._granted -= self.granted_to(entry)
        self._grants.pop(entry, None)

    def expire(self, now_ms: float) -> None:
        """Free the granted slots that were not used in time."""
        if not self._granted:
            return
        for entry, grants in list(self._grants.items()):
            while grants and grants[0].until_ms <= now_ms:
                self._granted -= grants.popleft().number
            if not grants:
                del self._grants[entry]

    def _shrink_first(self, entry: str, grants: deque[_Grant]) -> None:
        first = grants.popleft()
        if first.number > 1:
            grants.appendleft(first._replace(number=first.number - 1))
        self._granted -= 1
        if not grants:
            del self._grants[entry]
