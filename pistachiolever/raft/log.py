"""The in-memory Raft log of a member: a snapshot and the entries after it."""

from attrs import define, field

from pistachiolever.raft.models import Entry, Snapshot


@define
class RaftLog:
    """Log entries by index; those up to the snapshot's index are compacted."""

    snapshot: Snapshot = field(factory=Snapshot)
    entries: list[Entry] = field(factory=list)

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is compacted or not present."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at an index, which must be in the log."""
        return self.entries[index - self.snapshot.index - 1]

    def entries_after(self, index: int, limit: int) -> list[Entry]:
        """Return up to `limit` entries after an index."""
        offset = index - self.snapshot.index
        return self.entries[offset : offset + limit]

    def append(self, entry: Entry) -> None:
        """Append an entry."""
        self.entries.append(entry)

    def merge(self, entries: list[Entry]) -> list[Entry]:
        """Merge a leader's entries; return those that were new or conflicted.

        A conflicting entry is replaced and all entries after it are discarded.
        """
        for position, entry in enumerate(entries):
            if entry.index <= self.snapshot.index:
                continue
            if self.term_at(entry.index) == entry.term:
                continue
            offset = entry.index - self.snapshot.index - 1
            del self.entries[offset:]
            self.entries.extend(entries[position:])
            return entries[position:]
        return []

    def compact(self, snapshot: Snapshot) -> None:
        """Discard the entries that a snapshot covers.

        If the log has no entry that matches the snapshot, all entries are discarded.
        """
        offset = snapshot.index - self.snapshot.index
        if offset <= 0:
            return
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.entries[offset:] if matches else []
        self.snapshot = snapshot
