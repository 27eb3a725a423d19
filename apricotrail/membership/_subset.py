"""Chooses which of many targets a process links to, so that links don't grow with their product.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
1998): every pair of a dialing process and a target has a score, and each target is dialed by the
processes with its highest scores. All processes that know the same names make the same choice
without messages, and a process that comes or goes changes the links of its own targets only.
"""

from collections.abc import Collection
from hashlib import blake2b
from math import ceil

__all__ = ["TargetSubset"]

DIALERS_PER_TARGET = 8  # processes that share the capacity of one target
MIN_TARGETS = 32  # fewer make placement uneven and wide jobs wait
_PRIME = 2**61 - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


class TargetSubset:
    """The targets of one dialing process.

    Parameters
    ----------
    own_name : str
        Name of this process.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._own_hash = _hash_name(own_name)
        self._dialers: dict[str, int] = {}
        self._targets: dict[str, int] = {}
        # Number of other dialing processes with a higher score, by target.
        self._ahead: dict[str, int] = {}

    def update(self, dialers: Collection[str], targets: Collection[str]) -> None:
        """Set the names of all dialing processes and of all targets; costs time per change only."""
        others = set(dialers) - {self._own_name}
        for name in self._targets.keys() - set(targets):
            del self._targets[name], self._ahead[name]
        for name in self._dialers.keys() - others:
            self._count(self._dialers.pop(name), -1)
        for name in others - self._dialers.keys():
            self._dialers[name] = _hash_name(name)
            self._count(self._dialers[name], 1)
        for name in set(targets) - self._targets.keys():
            target_hash = self._targets[name] = _hash_name(name)
            own_score = _score(self._own_hash, target_hash)
            self._ahead[name] = sum(
                _score(it, target_hash) > own_score for it in self._dialers.values()
            )

    def list_wanted(self) -> list[str]:
        """Return the targets to dial, those with the highest own score first."""
        per_target = DIALERS_PER_TARGET
        if self._targets:
            dialer_count = len(self._dialers) + 1
            per_target = max(per_target, ceil(MIN_TARGETS * dialer_count / len(self._targets)))
        wanted = [name for name, ahead in self._ahead.items() if ahead < per_target]
        return sorted(wanted, key=lambda it: -_score(self._own_hash, self._targets[it]))

    def _count(self, dialer_hash: int, change: int) -> None:
        for name, target_hash in self._targets.items():
            if _score(dialer_hash, target_hash) > _score(self._own_hash, target_hash):
                self._ahead[name] += change


def _hash_name(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest())


def _score(dialer_hash: int, target_hash: int) -> int:
    return (dialer_hash ^ target_hash) * _MULTIPLIER % _PRIME
