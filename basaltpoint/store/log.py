"""The log in memory: a snapshot, and entries from some way before it to the last."""

from __future__ import annotations

from collections.abc import Sequence

from basaltpoint.store.messages import Entry, EntryKind, Membership, Snapshot
from basaltpoint.store.wire import decode_membership


class Log:
    """Entries after `base`; indexes count from 1, and 0 stands before all.

    Entries before the snapshot are kept from the last one on: a follower that took that one in still finds
    what follows it, and need not begin with the next.
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
        """The term of an entry; None where it is not held any more or not yet."""
        at = index - self.base_index
        if at == 0:
            return self.base_term
        return self.entries[at - 1].term if 0 < at <= len(self.entries) else None

    def entries_after(
        self, index: int, max_bytes: int | None = None, last: int | None = None
    ) -> tuple[Entry, ...]:
        """Entries after an index: all up to another, or as many as `size` bytes hold but one at least."""
        at = index - self.base_index
        assert at >= 0, "entries that a snapshot replaced were asked for"
        end = len(self.entries) if last is None else last - self.base_index
        if max_bytes is None:
            return tuple(self.entries[at:end])
        found: list[Entry] = []
        while at < end and (not found or max_bytes >= len(self.entries[at].data)):
            found.append(self.entries[at])
            max_bytes -= len(self.entries[at].data) + 32
            at += 1
        return tuple(found)

    def append(self, entry: Entry) -> None:
        assert entry.index == self.last_index + 1
        self.entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on."""
        assert index > self.snapshot.index, "entries in a snapshot are committed and can't be dropped"
        del self.entries[index - self.base_index - 1 :]

    def membership(self, last: int | None = None) -> tuple[Membership, int]:
        """Who belongs to the cluster by the latest entry that says so, and that entry's index."""
        for entry in reversed(self.entries):
            if entry.index <= self.snapshot.index:
                break
            if entry.kind is EntryKind.MEMBERSHIP and (last is None or entry.index <= last):
                return decode_membership(entry.data), entry.index
        return self.snapshot.membership, self.snapshot.index

    def compact(self, snapshot: Snapshot) -> None:
        """A newer snapshot of what is held; entries up to the one before it go."""
        old, self.snapshot = self.snapshot, snapshot
        assert old.index <= snapshot.index <= self.last_index
        del self.entries[: old.index - self.base_index]
        self.base_index, self.base_term = old.index, old.term

    def restore(self, snapshot: Snapshot) -> None:
        """A leader's snapshot in the place of all that is held."""
        self.snapshot, self.entries = snapshot, []
        self.base_index, self.base_term = snapshot.index, snapshot.term
