"""One member's view of the fleet: merged member records, the probe ring, and a digest to compare views."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

from basaltpoint.peers.messages import INCARNATION_LIMIT, MemberRecord

MAX_NAME_CHARS = 64  # an address may be twice as long
MAX_UNREACHABLE = 8  # unreachable members listed in one record


def precedence(record: MemberRecord) -> tuple[int, int, int, int]:
    """Returns the key by which the higher of two records of one name wins.

    It is a total order except for fields that only say who suspects the member and why.
    """
    return record.incarnation, record.state, record.instance_id, record.self_report


def merge(one: MemberRecord, other: MemberRecord) -> MemberRecord:
    """Returns the winning one of two records of one name; commutative, associative and idempotent."""
    return max(
        one,
        other,
        key=lambda record: (
            precedence(record),
            not record.connection_refused,
            record.address,
            record.reported_by,
            record.unreachable,
        ),
    )


def validation_error(record: MemberRecord) -> str:
    """Returns why a received record is invalid, or an empty string."""
    if not 0 < record.incarnation < INCARNATION_LIMIT:
        return f"an incarnation of {record.incarnation}; allowed: 1 to {INCARNATION_LIMIT - 1}"
    if (
        not record.name
        or len(record.name) > MAX_NAME_CHARS
        or len(record.address) > 2 * MAX_NAME_CHARS
        or len(record.reported_by) > MAX_NAME_CHARS
    ):
        return (
            f"a name or address that is empty or longer than {MAX_NAME_CHARS} "
            f"and {2 * MAX_NAME_CHARS} characters"
        )
    if len(record.unreachable) > MAX_UNREACHABLE or any(
        len(name) > MAX_NAME_CHARS + 1 for name in record.unreachable
    ):
        return f"more than {MAX_UNREACHABLE} names that it can't reach"
    return ""


def ring_position(name: str) -> int:
    """Returns the position of a name on the ring: equal at all members, unrelated to the order of names."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "little")


@dataclass(slots=True)
class KnownMember:
    """A record, and what only this member knows of the member. Times are ms of the local clock."""

    record: MemberRecord
    state_since_ms: float
    last_heard_ms: float = -1.0  # last message directly from it; -1: never
    rtt_ms: float = -1.0  # of the last direct ack; -1: none


class MembershipView:
    """All known members, this one included."""

    def __init__(self, me: str) -> None:
        self.own_name = me
        self.members: dict[str, KnownMember] = {}
        self._ring: list[str] | None = None  # live members by ring position; None: to be rebuilt
        self._points: dict[str, int] = {}

    def get(self, name: str) -> MemberRecord | None:
        known = self.members.get(name)
        return known.record if known else None

    def put(self, now: float, record: MemberRecord) -> None:
        """Stores a record without merging it with the present one."""
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
        """Live members, in an order that is equal at all members with the same view."""
        if self._ring is None:
            live_names = (name for name, known in self.members.items() if known.record.is_live)
            self._ring = sorted(live_names, key=self._points.__getitem__)
        return self._ring

    def other_members(self) -> list[str]:
        """Live members except this one."""
        return [name for name in self.ring if name != self.own_name]

    def probe_targets(self) -> list[str]:
        """Returns the members that this one probes: those 1, 2, 4, ... places further on the ring.

        Each member is probed by as many others as it probes, the connections are long-lived, and gossip
        crosses the fleet in as many steps as its size has binary digits.
        """
        ring = self.ring
        if self.own_name not in ring or len(ring) < 2:
            return []
        own_index, targets, step = ring.index(self.own_name), list[str](), 1
        while step < len(ring):
            targets.append(ring[(own_index + step) % len(ring)])
            step *= 2
        return targets

    def digest(self) -> int:
        """Returns a digest of the live members, equal for views that agree on them.

        It does not cover who suspects a member, nor dead members: each member forgets those at its own time.
        """
        digest = hashlib.blake2b(digest_size=6)
        for name in self.ring:
            record = self.members[name].record
            digest.update(f"{name} {precedence(record)}\n".encode())
        return int.from_bytes(digest.digest(), "little")

    def broken_links(self) -> Iterator[tuple[str, str, bool]]:
        """Yields links that live members report as broken: from, to, whether messages back still arrive."""
        for known in self.members.values():
            if known.record.is_live:
                for name in known.record.unreachable:
                    yield known.record.name, name.removeprefix(">"), name.startswith(">")
