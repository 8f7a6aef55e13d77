"""The log in memory: the latest snapshot, and the entries from the preceding snapshot on."""

from __future__ import annotations

from collections.abc import Sequence

from basaltpoint.store.messages import Entry, EntryKind, Membership, Snapshot
from basaltpoint.store.wire import decode_membership


class Log:
    """The entries after `base_index`; indexes start at 1, and 0 is the position before the first entry.

    Entries between the preceding and the latest snapshot are kept, so that a follower that has just installed
    the preceding one can continue with entries and does not need the latest snapshot.
    """

    def __init__(
        self, snapshot: Snapshot, entries: Sequence[Entry] = (), base: tuple[int, int] | None = None
    ):
        self.snapshot = snapshot
        self.base_index, self.base_term = base or (snapshot.index, snapshot.term)
        self.entries: list[Entry] = list(entries)
        assert all(entry.index == self.base_index + at for at, entry in enumerate(self.entries, 1))
        assert self.base_index <= snapshot.index <= self.last_index

    @property
    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry; None if the log does not hold it."""
        at = index - self.base_index
        if at == 0:
            return self.base_term
        return self.entries[at - 1].term if 0 < at <= len(self.entries) else None

    def entries_after(
        self, index: int, max_bytes: int | None = None, last: int | None = None
    ) -> tuple[Entry, ...]:
        """Returns the entries after `index`, up to `last` and within `max_bytes` but at least one."""
        at = index - self.base_index
        assert at >= 0, "the requested entries were replaced by a snapshot"
        end = len(self.entries) if last is None else last - self.base_index
        if max_bytes is None:
            return tuple(self.entries[at:end])
        entries: list[Entry] = []
        while at < end and (not entries or max_bytes >= len(self.entries[at].data)):
            entries.append(self.entries[at])
            max_bytes -= len(self.entries[at].data) + 32
            at += 1
        return tuple(entries)

    def append(self, entry: Entry) -> None:
        assert entry.index == self.last_index + 1
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drops the entries from an index on."""
        assert index > self.snapshot.index, "entries covered by a snapshot are committed and can't be dropped"
        del self.entries[index - self.base_index - 1 :]

    def membership(self, last: int | None = None) -> tuple[Membership, int]:
        """Returns the latest membership up to entry `last`, if given, and the index of its entry."""
        for entry in reversed(self.entries):
            if entry.index <= self.snapshot.index:
                break
            if entry.kind is EntryKind.MEMBERSHIP and (last is None or entry.index <= last):
                return decode_membership(entry.data), entry.index
        return self.snapshot.membership, self.snapshot.index

    def compact(self, snapshot: Snapshot) -> None:
        """Adopts a newer snapshot of this log and drops the entries up to the preceding snapshot."""
        previous, self.snapshot = self.snapshot, snapshot
        assert previous.index <= snapshot.index <= self.last_index
        del self.entries[: previous.index - self.base_index]
        self.base_index, self.base_term = previous.index, previous.term

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by a snapshot from the leader."""
        self.snapshot, self.entries = snapshot, []
        self.base_index, self.base_term = snapshot.index, snapshot.term
