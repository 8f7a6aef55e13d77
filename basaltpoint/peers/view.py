"""One member's view of all: rows under their join, the ring, and a digest to compare views by."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

from basaltpoint.peers.messages import LAST, Row

NAMES = 64  # characters of a name, and twice that of an address
UNREACHED = 8  # names that a row tells of at most


def order(row: Row) -> tuple[int, int, int, int]:
    """What of two rows about one name the higher wins by: a total order but for who accuses."""
    return row.incarnation, row.state, row.life, row.report


def join(one: Row, other: Row) -> Row:
    """The one of two rows about a name that holds. Commutative, associative, idempotent."""
    return max(one, other, key=lambda row: (order(row), not row.refused, row.address, row.by, row.unreached))


def sound(row: Row) -> str:
    """What is wrong with a row from elsewhere; nothing where it may be taken."""
    if not 0 < row.incarnation < LAST:
        return f"an incarnation of {row.incarnation}; allowed: 1 to {LAST - 1}"
    if not row.name or len(row.name) > NAMES or len(row.address) > 2 * NAMES or len(row.by) > NAMES:
        return f"a name or address that is empty or longer than {NAMES} and {2 * NAMES} characters"
    if len(row.unreached) > UNREACHED or any(len(name) > NAMES + 1 for name in row.unreached):
        return f"more than {UNREACHED} names that it can't reach"
    return ""


def point(name: str) -> int:
    """Where a name stands on the ring: the same for all, and unlike the names' own order."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "little")


@dataclass(slots=True)
class Known:
    """A row, and what this member alone knows of it. Times are its own clock's."""

    row: Row
    since: float
    heard: float = -1.0  # its own word came directly; -1: never
    rtt: float = -1.0


class View:
    """All members that are known of, this one included."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.known: dict[str, Known] = {}
        self._ring: list[str] | None = None  # the living, by their points
        self._points: dict[str, int] = {}

    def get(self, name: str) -> Row | None:
        known = self.known.get(name)
        return known.row if known else None

    def put(self, now: float, row: Row) -> None:
        """Take a row as it is."""
        known = self.known.get(row.name)
        if known is None:
            self.known[row.name] = Known(row, now)
            self._points[row.name] = point(row.name)
            self._ring = None
            return
        if known.row.live != row.live:
            self._ring = None
        if (known.row.state, known.row.incarnation) != (row.state, row.incarnation):
            known.since = now
        known.row = row

    def forget(self, name: str) -> None:
        del self.known[name], self._points[name]
        self._ring = None

    @property
    def rows(self) -> tuple[Row, ...]:
        return tuple(known.row for known in self.known.values())

    @property
    def ring(self) -> list[str]:
        """The living, in an order that is the same for all who see the same."""
        if self._ring is None:
            living = (name for name, known in self.known.items() if known.row.live)
            self._ring = sorted(living, key=self._points.__getitem__)
        return self._ring

    def others(self) -> list[str]:
        """The living but this one."""
        return [name for name in self.ring if name != self.me]

    def watched(self) -> list[str]:
        """Whom this member probes: those 1, 2, 4, ... places on. Each is watched by as many, the connections
        last, and word crosses the fleet in as many steps as its size has binary digits."""
        ring = self.ring
        if self.me not in ring or len(ring) < 2:
            return []
        at, found, step = ring.index(self.me), list[str](), 1
        while step < len(ring):
            found.append(ring[(at + step) % len(ring)])
            step *= 2
        return found

    def digest(self) -> int:
        """Alike where the living are seen alike, but for who accuses; each forgets the dead in its time."""
        made = hashlib.blake2b(digest_size=6)
        for name in self.ring:
            row = self.known[name].row
            made.update(f"{name} {order(row)}\n".encode())
        return int.from_bytes(made.digest(), "little")

    def cuts(self) -> Iterator[tuple[str, str, bool]]:
        """Links that a living member says it can't use: from, to, and whether it still hears the other."""
        for known in self.known.values():
            if known.row.live:
                for name in known.row.unreached:
                    yield known.row.name, name.removeprefix(">"), name.startswith(">")
