"""State machine of one member's copy: takes local changes and messages, returns messages and changes.

Changes are pushed at once to the members that this one probes on the membership ring, and those push on what
is new to them. A periodic exchange of version vectors with a random member repairs what pushes lost. There is
no I/O here, and no clock is read; times are ms of the local clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from basaltpoint.links.frames import Frame
from basaltpoint.replication.kinds import Drain, Kind, decode_drain, merge_drains
from basaltpoint.replication.row_table import RowTable
from basaltpoint.replication.rows import Delta, Entry, Owner, VersionVector, validation_error

INF = math.inf


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Timing and limits of replication."""

    push_delay_ms: float = 10.0  # collects changes into one push; added to every hop through the fleet
    # Between exchanges of version vectors with a random member, which repair what pushes lost.
    pull_interval_ms: float = 1000.0
    max_response_messages: int = 64  # deltas of one response; the rest follows after the next exchange


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    member: str
    message: Frame


@dataclass(frozen=True, slots=True)
class RowChanged:
    """A row of this key has changed."""

    kind: int
    key: str


@dataclass(frozen=True, slots=True)
class ProtocolViolation:
    """A member sent something that is not allowed."""

    member: str
    problem: str


Action = Send | RowChanged | ProtocolViolation


class ReplicationStateMachine:
    """One member's copy of all rows, without I/O: the caller carries out the actions and reports events."""

    def __init__(
        self,
        owner: Owner,
        options: ReplicationOptions,
        rng: random.Random,
        now: float,
        push_targets: Callable[[], Sequence[str]],
        live_members: Callable[[], Sequence[str]],
    ) -> None:
        """`push_targets` and `live_members` return the members to push to, and all live ones."""
        self.owner, self.options = owner, options
        self.table = RowTable()
        self.table.owner_rows(owner)
        self._rng, self._push_targets, self._live_members = rng, push_targets, live_members
        self._pushed_up_to: dict[Owner, int] = {}  # count up to which changes were pushed
        self._pending_sources: dict[Owner, str] = {}  # by owner, the only sender of pending changes, or ""
        self._push_at_ms = INF
        self._pull_at_ms = now + rng.uniform(0.0, options.pull_interval_ms)
        self._actions: list[Action] = []

    # --- Interface for the caller -----------------------------------------------------------------------
    def take_actions(self) -> list[Action]:
        """Returns the actions to carry out now; must be called after each of the methods below."""
        actions, self._actions = self._actions, []
        return actions

    @property
    def next_timer_ms(self) -> float:
        return min(self._push_at_ms, self._pull_at_ms)

    def put_own_row(self, now: float, kind: int, key: str, value: bytes) -> None:
        """Changes a row that this process owns."""
        own_rows = self.table.owner_rows(self.owner)
        own_rows.up_to += 1
        self.table.put(self.owner, Entry(kind, key, own_rows.up_to, value))
        self._actions.append(RowChanged(kind, key))
        self._schedule_push(now, self.owner, "")

    def tick(self, now: float) -> None:
        if now >= self._push_at_ms:
            self._push_at_ms = INF
            self._push()
        if now >= self._pull_at_ms:
            self._pull_at_ms = now + self.options.pull_interval_ms * self._rng.uniform(0.8, 1.2)
            if others := self._live_members():
                self._actions.append(Send(self._rng.choice(others), VersionVector((), self.table.digest())))

    def message_received(self, now: float, sender: str, message: Delta | VersionVector) -> None:
        match message:
            case Delta():
                self._delta_received(now, sender, message)
            case VersionVector():
                self._version_vector_received(sender, message)

    # --- Changes ----------------------------------------------------------------------------------------
    def _delta_received(self, now: float, sender: str, delta: Delta) -> None:
        owner, is_new = Owner(*delta.owner), False
        if owner == self.owner:
            return  # only this process changes its rows
        for entry in delta.entries:
            if problem := validation_error(owner, entry):
                self._actions.append(ProtocolViolation(sender, problem))
                return
        for entry in delta.entries:
            if self.table.put(owner, entry):
                is_new = True
                self._actions.append(RowChanged(entry.kind, entry.key))
        rows = self.table.owner_rows(owner)
        if rows.has_gap(delta.after):
            self._actions.append(Send(sender, VersionVector((), 0, ((owner, rows.up_to, 0),), True)))
        elif rows.advance(delta.after, delta.up_to, delta.final_up_to):
            is_new = True
        if is_new:
            self._schedule_push(now, owner, sender)

    def _schedule_push(self, now: float, owner: Owner, sender: str) -> None:
        self._pending_sources[owner] = sender if self._pending_sources.get(owner, sender) == sender else ""
        self._push_at_ms = min(self._push_at_ms, now + self.options.push_delay_ms)

    def _push(self) -> None:
        pending, self._pending_sources = self._pending_sources, {}
        names = self._push_targets()
        for owner, source in pending.items():
            pushed_up_to = self._pushed_up_to.get(owner, 0)
            for delta in self._deltas_after(owner, pushed_up_to):
                self._actions += [Send(name, delta) for name in names if name != source]
                self._pushed_up_to[owner] = max(pushed_up_to, delta.up_to)

    def _deltas_after(self, owner: Owner, after: int) -> list[Delta]:
        """Returns an owner's changes above a count, in up to `max_response_messages` messages."""
        rows, deltas = self.table.owner_rows(owner), list[Delta]()
        while len(deltas) < self.options.max_response_messages:
            entries, up_to = rows.changes_after(after)
            if not entries and up_to <= after:
                break
            deltas.append(Delta((), owner, after, up_to, rows.up_to, tuple(entries)))
            if up_to <= after or up_to >= rows.up_to:
                break
            after = up_to
        return deltas

    # --- Version vectors --------------------------------------------------------------------------------
    def _version_vector_received(self, sender: str, vector: VersionVector) -> None:
        if not vector.versions and not vector.is_partial:
            if vector.digest != self.table.digest():
                self._actions.append(Send(sender, VersionVector((), 0, self.table.version_vector())))
            return
        versions = {Owner(*owner): (up_to, fingerprint) for owner, up_to, fingerprint in vector.versions}
        missing: list[tuple[Owner, int, int]] = []
        for owner in versions.keys() if vector.is_partial else versions.keys() | self.table.owners.keys():
            up_to, fingerprint = versions.get(owner, (0, 0))
            rows = self.table.owners.get(owner)
            own_up_to = rows.up_to if rows else 0
            if own_up_to > up_to:
                self._actions += [Send(sender, delta) for delta in self._deltas_after(owner, up_to)]
            elif own_up_to < up_to:
                missing.append((owner, own_up_to, 0))
            elif (
                not vector.is_partial
                and rows
                and rows.fingerprint != fingerprint
                and (out_of_order := rows.changes_after(own_up_to)[0])
            ):
                # Rows that arrived out of order; the owner ended before the changes between them arrived.
                self._actions.append(
                    Send(sender, Delta((), owner, own_up_to, own_up_to, own_up_to, tuple(out_of_order)))
                )
        if missing:
            self._actions.append(Send(sender, VersionVector((), 0, tuple(missing), True)))

    # --- Drains -----------------------------------------------------------------------------------------
    def set_drain(self, now: float, server: str, draining: bool) -> bool:
        """Sets whether a server drains; returns whether that is a change."""
        current = merge_drains(self.table.rows(Kind.DRAIN, server))
        if current.draining == draining:
            return False
        value = msgspec.msgpack.encode(Drain(current.generation + 1, draining))
        self.put_own_row(now, Kind.DRAIN, server, value)
        return True

    def draining_servers(self) -> frozenset[str]:
        """Returns the servers that drain."""
        return frozenset(
            server
            for server in self.table.keys(Kind.DRAIN)
            if merge_drains(self.table.rows(Kind.DRAIN, server)).draining
        )

    def unreadable_rows(self) -> list[tuple[Owner, Entry]]:
        """Returns rows of known kinds whose values can't be decoded."""
        return [
            (owner, entry)
            for owner, rows in self.table.owners.items()
            for entry in rows
            if entry.kind == Kind.DRAIN and decode_drain(entry) is None
        ]
