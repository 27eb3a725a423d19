"""What a dispatcher keeps for its agents: runs that it wrote off, and outcomes that it has taken.

An agent that was out of reach still holds the ends of such runs. It must never acknowledge one
whose task may have been started again, and may acknowledge one whose outcome was taken. Each claim
tells it both; an echo of a later heartbeat on the same link shows that it has read the claim. What
was taken is told for longer: a new process of the agent finds ends that the former one had not
acknowledged yet, although it knew that.
docs/design/uncertain-ends.md says why.
"""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from apricotrail.clocks import Clock
from apricotrail.wire.generated.ttypes import RunKey

__all__ = ["KEPT_MS", "MAX_KEYS", "TAKEN_MS", "ClaimLists", "WriteOffs"]

KEPT_MS = 60_000.0  # an agent leaves an end in doubt for 10 s
TAKEN_MS = 15_000.0  # an end may wait for 10 s behind one in doubt, and an agent may restart then
MAX_KEYS = 4_096  # for each agent; a runner has a few hundred runs

Key = tuple[str, int]


class ClaimLists(NamedTuple):
    """What a claim tells an agent beside the claimed runs.

    Attributes
    ----------
    written_off : list of RunKey or None
        Runs counted as lost; None if there were more than can be kept.
    taken : list of RunKey
        Runs whose outcome was taken.
    """

    written_off: list[RunKey] | None
    taken: list[RunKey]


class _Notes:
    """The notes for one agent; all times are on the own clock.

    Attributes
    ----------
    written_off, taken : dict
        Runs, with the time of the note, oldest first.
    is_truncated : bool
        Whether written-off runs were dropped that the agent was not told of.
    told_ms : float
        When the last claim was sent on the present link, infinite without a link.
    """

    def __init__(self) -> None:
        self.written_off: OrderedDict[Key, float] = OrderedDict()
        self.taken: OrderedDict[Key, float] = OrderedDict()
        self.is_truncated = False
        self.told_ms = inf


class WriteOffs:
    """Runs that were written off or taken, by agent, until the agent is known to have the notes.

    Parameters
    ----------
    clock : Clock
        Monotonic time in milliseconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._notes: dict[str, _Notes] = {}

    def note_written_off(self, agent: str, keys: Iterable[Key]) -> None:
        """Record runs at an agent that count as lost, so that their tasks may start again."""
        self._forget_gone()
        notes = self._notes.setdefault(agent, _Notes())
        for key in keys:
            notes.written_off[key] = self._clock()
            notes.written_off.move_to_end(key)
        while len(notes.written_off) > MAX_KEYS:
            notes.written_off.popitem(last=False)
            notes.is_truncated = True

    def note_taken(self, agent: str, keys: Iterable[Key]) -> None:
        """Record runs whose outcome was taken, and that this was just confirmed to their agent."""
        notes = self._notes.setdefault(agent, _Notes())
        now_ms = self._clock()
        for key in keys:
            notes.taken[key] = now_ms
            notes.taken.move_to_end(key)
        _drop_old(notes.taken, now_ms - TAKEN_MS)

    def is_written_off(self, agent: str, key: Key) -> bool:
        """Return whether the agent may not know yet that a run was written off."""
        notes = self._notes.get(agent)
        return notes is not None and key in notes.written_off

    def list_for_claim(self, agent: str) -> ClaimLists:
        """Return the lists for a claim that is sent now, as the first message on a new link."""
        self._evict(agent)
        notes = self._notes.setdefault(agent, _Notes())
        notes.told_ms = self._clock()
        written_off = None if notes.is_truncated else [RunKey(*key) for key in notes.written_off]
        return ClaimLists(written_off, [RunKey(*key) for key in notes.taken])

    def note_link_lost(self, agent: str) -> None:
        """Record that the link to an agent was lost, with what the agent may not have read."""
        notes = self._notes.get(agent)
        if notes is not None:
            notes.told_ms = inf
            self._forget_gone()

    def note_echo(self, agent: str, sent_ms: float) -> bool:
        """Forget what the agent has read: it echoed an own heartbeat that was sent at `sent_ms`.

        Returns
        -------
        bool
            Whether the agent has read the claim that was sent on this link.
        """
        notes = self._notes.get(agent)
        if notes is None or sent_ms <= notes.told_ms:
            return False
        notes.written_off.clear()
        notes.is_truncated = False
        return True

    def _forget_gone(self) -> None:
        """Forget the agents without a link of which nothing is noted any more."""
        for agent, notes in list(self._notes.items()):
            if notes.told_ms != inf:
                continue
            self._evict(agent)
            if not notes.written_off and not notes.taken:
                del self._notes[agent]

    def _evict(self, agent: str) -> None:
        """Forget what is too old to matter at an agent."""
        notes = self._notes.get(agent)
        if notes is None:
            return
        _drop_old(notes.written_off, self._clock() - KEPT_MS)
        _drop_old(notes.taken, self._clock() - TAKEN_MS)


def _drop_old(noted_ms: OrderedDict[Key, float], oldest_ms: float) -> None:
    """Drop what was noted before `oldest_ms`, and the oldest of more than `MAX_KEYS`."""
    while noted_ms and (len(noted_ms) > MAX_KEYS or next(iter(noted_ms.values())) < oldest_ms):
        noted_ms.popitem(last=False)
