"""One member's view of all: rows under their join, the ring, and a digest to compare views by."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

from basaltpoint.peers.messages import INCARNATION_LIMIT, MemberRecord

MAX_NAME_CHARS = 64  # characters of a name, and twice that of an address
MAX_UNREACHABLE = 8  # names that a row tells of at most


def precedence(record: MemberRecord) -> tuple[int, int, int, int]:
    """What of two rows about one name the higher wins by: a total order but for who accuses."""
    return record.incarnation, record.state, record.instance_id, record.self_report


def merge(one: MemberRecord, other: MemberRecord) -> MemberRecord:
    """The one of two rows about a name that holds. Commutative, associative, idempotent."""
    return max(
        one,
        other,
        key=lambda row: (
            precedence(row),
            not row.connection_refused,
            row.address,
            row.reported_by,
            row.unreachable,
        ),
    )


def validation_error(record: MemberRecord) -> str:
    """What is wrong with a row from elsewhere; nothing where it may be taken."""
    if not 0 < record.incarnation < INCARNATION_LIMIT:
        return f"an incarnation of {record.incarnation}; allowed: 1 to {INCARNATION_LIMIT - 1}"
    if (
        not record.name
        or len(record.name) > MAX_NAME_CHARS
        or len(record.address) > 2 * MAX_NAME_CHARS
        or len(record.reported_by) > MAX_NAME_CHARS
    ):
        return f"a name or address that is empty or longer than {MAX_NAME_CHARS} and {2 * MAX_NAME_CHARS} characters"
    if len(record.unreachable) > MAX_UNREACHABLE or any(
        len(name) > MAX_NAME_CHARS + 1 for name in record.unreachable
    ):
        return f"more than {MAX_UNREACHABLE} names that it can't reach"
    return ""


def ring_position(name: str) -> int:
    """Where a name stands on the ring: the same for all, and unlike the names' own order."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "little")


@dataclass(slots=True)
class KnownMember:
    """A row, and what this member alone knows of it. Times are its own clock's."""

    record: MemberRecord
    state_since_ms: float
    last_heard_ms: float = -1.0  # its own word came directly; -1: never
    rtt_ms: float = -1.0


class MembershipView:
    """All members that are known of, this one included."""

    def __init__(self, me: str) -> None:
        self.own_name = me
        self.members: dict[str, KnownMember] = {}
        self._ring: list[str] | None = None  # the living, by their points
        self._points: dict[str, int] = {}

    def get(self, name: str) -> MemberRecord | None:
        known = self.members.get(name)
        return known.record if known else None

    def put(self, now: float, record: MemberRecord) -> None:
        """Take a row as it is."""
        known = self.members.get(record.name)
        if known is None:
            self.members[record.name] = KnownMember(record, now)
            self._points[record.name] = ring_position(record.name)
            self._ring = None
            return
        if known.record.is_live != record.is_live:
            self._ring = None
        if (known.record.state, known.record.incarnation) != (record.state, record.incarnation):
            known.state_since_ms = now
        known.record = record

    def forget(self, name: str) -> None:
        del self.members[name], self._points[name]
        self._ring = None

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        return tuple(known.record for known in self.members.values())

    @property
    def ring(self) -> list[str]:
        """The living, in an order that is the same for all who see the same."""
        if self._ring is None:
            living = (name for name, known in self.members.items() if known.record.is_live)
            self._ring = sorted(living, key=self._points.__getitem__)
        return self._ring

    def other_members(self) -> list[str]:
        """The living but this one."""
        return [name for name in self.ring if name != self.own_name]

    def probe_targets(self) -> list[str]:
        """Whom this member probes: those 1, 2, 4, ... places on. Each is watched by as many, the connections
        last, and word crosses the fleet in as many steps as its size has binary digits."""
        ring = self.ring
        if self.own_name not in ring or len(ring) < 2:
            return []
        at, found, step = ring.index(self.own_name), list[str](), 1
        while step < len(ring):
            found.append(ring[(at + step) % len(ring)])
            step *= 2
        return found

    def digest(self) -> int:
        """Alike where the living are seen alike, but for who accuses; each forgets the dead in its time."""
        digest = hashlib.blake2b(digest_size=6)
        for name in self.ring:
            row = self.members[name].record
            digest.update(f"{name} {precedence(row)}\n".encode())
        return int.from_bytes(digest.digest(), "little")

    def broken_links(self) -> Iterator[tuple[str, str, bool]]:
        """Links that a living member says it can't use: from, to, and whether it still hears the other."""
        for known in self.members.values():
            if known.record.is_live:
                for name in known.record.unreachable:
                    yield known.record.name, name.removeprefix(">"), name.startswith(">")
