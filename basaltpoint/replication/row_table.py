"""All rows of a member's copy, by owner, and the count up to which each owner's changes are complete.

Of two versions of a row the one with the higher count wins, and two copies are merged row by row. Therefore
changes may arrive in any order and repeatedly.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

import msgspec
from sortedcontainers import SortedDict

from basaltpoint.replication.rows import MAX_DELTA_BYTES, MAX_DELTA_ENTRIES, Entry, Owner

Key = tuple[int, str]


class OwnerRows:
    """The rows of one owner, indexed by the counts of their changes."""

    def __init__(self) -> None:
        self.up_to = 0  # all changes up to this count are here, or were overwritten by later ones that are
        self._received_up_to = self._target_up_to = 0  # of a series of messages in progress
        self.fingerprint = 0  # of all rows, independent of their order
        self._rows: dict[Key, Entry] = {}
        self._by_count: SortedDict[int, Key] = SortedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._rows.values())

    def get(self, key: Key) -> Entry | None:
        return self._rows.get(key)

    def put(self, entry: Entry) -> bool:
        """Stores a row unless a version as new is here already; returns whether it was stored."""
        key = entry.kind, entry.key
        current = self._rows.get(key)
        if current is not None:
            if current.count >= entry.count:
                return False
            del self._by_count[current.count]
            self.fingerprint ^= _fingerprint(current)
        self.fingerprint ^= _fingerprint(entry)
        self._rows[key] = entry
        self._by_count[entry.count] = key
        return True

    def advance(self, after: int, up_to: int, final_up_to: int) -> bool:
        """Records that all changes above `after` and up to `up_to` were received.

        `final_up_to` is where the series of messages ends. Returns whether the copy advanced.
        """
        if after <= self.up_to:
            self._received_up_to, self._target_up_to = up_to, final_up_to
        elif after <= self._received_up_to and final_up_to == self._target_up_to:
            self._received_up_to = max(self._received_up_to, up_to)
        if self._received_up_to < self._target_up_to or self._target_up_to <= self.up_to:
            return False
        self.up_to = self._target_up_to
        return True

    def has_gap(self, after: int) -> bool:
        """Whether changes up to `after` are missing, and not part of a series in progress."""
        return after > max(self.up_to, self._received_up_to)

    def changes_after(self, count: int) -> tuple[list[Entry], int]:
        """Returns changes above a count that fit one message, and the count up to which they are complete."""
        entries: list[Entry] = []
        size = 0
        for position in self._by_count.irange(minimum=count + 1):
            if len(entries) >= MAX_DELTA_ENTRIES or size > MAX_DELTA_BYTES:
                return entries, max(count, min(entries[-1].count, self.up_to))
            entry = self._rows[self._by_count[position]]
            entries.append(entry)
            size += len(entry.value)
        # Rows above `up_to` may have arrived out of order; changes between them may be missing here.
        return entries, max(self.up_to, count)


class RowTable:
    """The rows of all owners."""

    def __init__(self) -> None:
        self.owners: dict[Owner, OwnerRows] = {}
        self._rows_by_key: dict[Key, dict[Owner, Entry]] = {}

    def owner_rows(self, owner: Owner) -> OwnerRows:
        if (rows := self.owners.get(owner)) is None:
            rows = self.owners[owner] = OwnerRows()
        return rows

    def put(self, owner: Owner, entry: Entry) -> bool:
        """Stores a row unless a version as new is here already; returns whether it was stored."""
        is_new = self.owner_rows(owner).put(entry)
        if is_new:
            self._rows_by_key.setdefault((entry.kind, entry.key), {})[owner] = entry
        return is_new

    def rows(self, kind: int, key: str) -> Iterable[Entry]:
        """Returns the rows of all owners for one key."""
        return self._rows_by_key.get((kind, key), {}).values()

    def keys(self, kind: int) -> Iterator[str]:
        return (key for its, key in self._rows_by_key if its == kind)

    def version_vector(self) -> tuple[tuple[Owner, int, int], ...]:
        """Returns, by owner, the count up to which changes are complete, and the fingerprint of the rows."""
        found = (
            (owner, owned.up_to, owned.fingerprint) for owner, owned in self.owners.items() if len(owned)
        )
        return tuple(sorted(found))

    def digest(self) -> int:
        """Returns a digest that is equal for copies with equal rows."""
        return _hash(repr(self.version_vector()).encode())


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=7).digest(), "little")


def _fingerprint(entry: Entry) -> int:
    return _hash(msgspec.msgpack.encode(entry))
