"""The part of the replicated log that a member keeps in memory."""

from cassiapitch.raftmessages import Entry


class RaftLog:
    """Consecutive entries after a base entry, of which only index and term are kept."""

    def __init__(self, base_index: int, base_term: int, entries: list[Entry]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = entries
        self.size_bytes = sum(len(entry.data) for entry in entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base entry if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base entry if there are no entries."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it isn't in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> Entry:
        """Returns an entry, which must be in memory."""
        return self.entries[index - self.base_index - 1]

    def slice(self, first: int, last: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Returns entries from `first` to `last`, cut to a total size.

        The first entry is returned even if it alone exceeds `limit_bytes`.
        """
        start = first - self.base_index - 1
        stop = last - self.base_index
        size_bytes = 0
        for position in range(start, stop):
            size_bytes += len(self.entries[position].data)
            if size_bytes > limit_bytes and position > start:
                return tuple(self.entries[start:position])
        return tuple(self.entries[start:stop])

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Appends entries, which must follow the last one."""
        self.entries.extend(entries)
        self.size_bytes += sum(len(entry.data) for entry in entries)

    def truncate_from(self, index: int) -> None:
        """Removes the entries from `index` on."""
        start = index - self.base_index - 1
        self.size_bytes -= sum(len(entry.data) for entry in self.entries[start:])
        del self.entries[start:]

    def compact_to(self, index: int) -> None:
        """Removes the entries up to `index`, which becomes the base entry."""
        count = index - self.base_index
        if count <= 0:
            return
        self.base_term = self.entries[count - 1].term
        self.size_bytes -= sum(len(entry.data) for entry in self.entries[:count])
        del self.entries[:count]
        self.base_index = index

    def reset(self, index: int, term: int) -> None:
        """Removes all entries; the base is the last entry of an installed snapshot."""
        self.base_index = index
        self.base_term = term
        self.entries = []
        self.size_bytes = 0
