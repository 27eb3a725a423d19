"""Log entries in memory after the last compaction, and the group members they define."""

from collections.abc import Callable, Sequence

from apricotrail.control._members import Members, apply_member_change
from apricotrail.wire.generated.ttypes import ChangeMember, LogEntry

__all__ = ["ReplicatedLog"]

ReadMemberChange = Callable[[bytes], ChangeMember | None]


class ReplicatedLog:
    """Log entries of one replica and the members that result from them.

    Parameters
    ----------
    read_member_change : callable
        Returns the member change in an encoded command, or None.
    base_index, base_term : int
        Index and term of the entry before the first one held.
    base_members : dict
        Members after the entry at `base_index`.
    entries : sequence of LogEntry
        Entries from `base_index` + 1 on, without a gap.

    Attributes
    ----------
    members : dict
        Members after the last entry; a change takes effect as soon as it is in the log.
    member_change_index : int
        Index of the last member change held, 0 for none.
    """

    def __init__(
        self,
        read_member_change: ReadMemberChange,
        base_index: int = 0,
        base_term: int = 0,
        base_members: Members | None = None,
        entries: Sequence[LogEntry] = (),
    ) -> None:
        self._read_member_change = read_member_change
        self.base_index = base_index
        self.base_term = base_term
        self._base_members: Members = dict(base_members or {})
        self._entries: list[LogEntry] = []
        self._member_changes: list[tuple[int, ChangeMember]] = []
        self.members: Members = self._base_members
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def member_change_index(self) -> int:
        """Index of the last member change held, 0 for none."""
        return self._member_changes[-1][0] if self._member_changes else 0

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at `index`, which must be held."""
        return self._entries[index - self.base_index - 1]

    def append(self, entry: LogEntry) -> None:
        """Append an entry, whose index must be `last_index` + 1."""
        self._entries.append(entry)
        change = self._read_member_change(entry.command) if entry.command else None
        if change is not None:
            self._member_changes.append((entry.index, change))
            self.members = apply_member_change(self.members, change)

    def truncate(self, index: int) -> None:
        """Drop the entries from `index` on, along with their member changes."""
        del self._entries[index - self.base_index - 1 :]
        if self._member_changes and self._member_changes[-1][0] >= index:
            self._member_changes = [change for change in self._member_changes if change[0] < index]
            self._derive_members()

    def batch_from(self, index: int, max_bytes: int) -> list[LogEntry]:
        """Return the entries from `index` on that fit in `max_bytes`, but at least one, if held."""
        batch: list[LogEntry] = []
        size_bytes = 0
        for position in range(index - self.base_index - 1, len(self._entries)):
            entry = self._entries[position]
            size_bytes += len(entry.command)
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return batch

    def entries_from(self, index: int) -> list[LogEntry]:
        """Return all entries held from `index` on."""
        return self._entries[max(0, index - self.base_index - 1) :]

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        covered = [change for change_index, change in self._member_changes if change_index <= index]
        for change in covered:
            self._base_members = apply_member_change(self._base_members, change)
        del self._entries[: index - self.base_index]
        self._member_changes = [change for change in self._member_changes if change[0] > index]
        self.base_index, self.base_term = index, term or 0

    def reset(self, index: int, term: int, members: Members) -> None:
        """Replace all entries by a snapshot that ends at `index` with `members`."""
        self._entries.clear()
        self._member_changes.clear()
        self.base_index, self.base_term = index, term
        self._base_members = dict(members)
        self._derive_members()

    def _derive_members(self) -> None:
        members = self._base_members
        for _, change in self._member_changes:
            members = apply_member_change(members, change)
        self.members = members
