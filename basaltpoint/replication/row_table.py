"""All rows that a member holds, by owner, and up to where it has each owner's changes.

A copy is what its owner's changes make of it, so two copies differ only in how far they have come: the join
of two rows is the one with the higher count, and of two copies the row by row join. Changes may come in any
order, any number of times.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

import msgspec
from sortedcontainers import SortedDict

from basaltpoint.replication.rows import MAX_DELTA_BYTES, MAX_DELTA_ENTRIES, Entry, Owner

Key = tuple[int, str]


class OwnerRows:
    """The rows of one owner, by the counts of their changes."""

    def __init__(self) -> None:
        self.up_to = 0  # all changes up to this one are here, or were replaced by later ones that are
        self._received_up_to = self._target_up_to = (
            0  # of several messages that bring more: how far they have come
        )
        self.fingerprint = 0  # of all rows together, whatever their order
        self._rows: dict[Key, Entry] = {}
        self._by_count: SortedDict[int, Key] = SortedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._rows.values())

    def get(self, key: Key) -> Entry | None:
        return self._rows.get(key)

    def put(self, entry: Entry) -> bool:
        """Take a row; whether it is news."""
        key = entry.kind, entry.key
        held = self._rows.get(key)
        if held is not None:
            if held.count >= entry.count:
                return False
            del self._by_count[held.count]
            self.fingerprint ^= _fingerprint(held)
        self.fingerprint ^= _fingerprint(entry)
        self._rows[key] = entry
        self._by_count[entry.count] = key
        return True

    def advance(self, since: int, upto: int, goal: int) -> bool:
        """All changes after one, up to another, are here now; whether this copy has come further by it."""
        if since <= self.up_to:
            self._received_up_to, self._target_up_to = upto, goal
        elif since <= self._received_up_to and goal == self._target_up_to:
            self._received_up_to = max(self._received_up_to, upto)
        if self._received_up_to < self._target_up_to or self._target_up_to <= self.up_to:
            return False
        self.up_to = self._target_up_to
        return True

    def has_gap(self, since: int) -> bool:
        """Whether something before this is not here and not on its way."""
        return since > max(self.up_to, self._received_up_to)

    def changes_after(self, count: int) -> tuple[list[Entry], int]:
        """Changes after a count, as many as one message may hold; with it, up to where they are all."""
        found: list[Entry] = []
        size = 0
        for at in self._by_count.irange(minimum=count + 1):
            if len(found) >= MAX_DELTA_ENTRIES or size > MAX_DELTA_BYTES:
                return found, max(count, min(found[-1].count, self.up_to))
            entry = self._rows[self._by_count[at]]
            found.append(entry)
            size += len(entry.value)
        # Rows above may have come out of turn; what was not heard in between is not vouched for.
        return found, max(self.up_to, count)


class RowTable:
    """Those of all owners."""

    def __init__(self) -> None:
        self.owners: dict[Owner, OwnerRows] = {}
        self._rows_by_key: dict[Key, dict[Owner, Entry]] = {}

    def owner_rows(self, owner: Owner) -> OwnerRows:
        if (owned := self.owners.get(owner)) is None:
            owned = self.owners[owner] = OwnerRows()
        return owned

    def put(self, owner: Owner, entry: Entry) -> bool:
        """Take a row; whether it is news."""
        news = self.owner_rows(owner).put(entry)
        if news:
            self._rows_by_key.setdefault((entry.kind, entry.key), {})[owner] = entry
        return news

    def rows(self, kind: int, key: str) -> Iterable[Entry]:
        """What all owners hold of one thing."""
        return self._rows_by_key.get((kind, key), {}).values()

    def keys(self, kind: int) -> Iterator[str]:
        return (key for its, key in self._rows_by_key if its == kind)

    def version_vector(self) -> tuple[tuple[Owner, int, int], ...]:
        """By owner, up to where its changes are here, and the print of its rows."""
        found = (
            (owner, owned.up_to, owned.fingerprint) for owner, owned in self.owners.items() if len(owned)
        )
        return tuple(sorted(found))

    def digest(self) -> int:
        """The same for copies that hold the same."""
        return _hash(repr(self.version_vector()).encode())


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=7).digest(), "little")


def _fingerprint(entry: Entry) -> int:
    return _hash(msgspec.msgpack.encode(entry))
