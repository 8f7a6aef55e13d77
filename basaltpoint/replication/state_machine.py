"""One member's copy: own rows and others' messages in, messages and changes out.

Changes are pushed at once to the members that this one watches on the peers' ring, who push on what is news
to them, and pulled now and then from a random member by how far each has come. No clock is read and no socket
is opened; times are ms of this member's own clock.
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
    """Times in ms, with the reason of each."""

    push_delay_ms: float = (
        10.0  # news waits so long for more of it: each step through the fleet costs as much
    )
    pull_interval_ms: float = (
        1000.0  # between two questions to a random member; what a push lost comes by then
    )
    max_response_messages: int = 64  # messages of one answer; the rest is asked for by the next question


@dataclass(frozen=True, slots=True)
class Send:
    """Send this to a member, over whatever connection there is."""

    member: str
    message: Frame


@dataclass(frozen=True, slots=True)
class RowChanged:
    """What is held of one thing has changed."""

    kind: int
    key: str


@dataclass(frozen=True, slots=True)
class ProtocolViolation:
    """A member sent what it may not."""

    member: str
    problem: str


Action = Send | RowChanged | ProtocolViolation


class ReplicationStateMachine:
    """One member's copy of all rows."""

    def __init__(
        self,
        owner: Owner,
        options: ReplicationOptions,
        rng: random.Random,
        now: float,
        push_targets: Callable[[], Sequence[str]],
        live_members: Callable[[], Sequence[str]],
    ) -> None:
        """`watched`, `others`: members to push to, and all that live."""
        self.owner, self.options = owner, options
        self.table = RowTable()
        self.table.owner_rows(owner)
        self._rng, self._push_targets, self._live_members = rng, push_targets, live_members
        self._pushed_up_to: dict[Owner, int] = {}  # changes that were pushed on
        self._pending_sources: dict[Owner, str] = {}  # who told the news that waits; it need not be told back
        self._push_at_ms = INF
        self._pull_at_ms = now + rng.uniform(0.0, options.pull_interval_ms)
        self._actions: list[Action] = []

    # --- What the shell calls ---------------------------------------------------------------------------
    def take_actions(self) -> list[Action]:
        """What is to be done now; to be asked for after each of the calls below."""
        taken, self._actions = self._actions, []
        return taken

    @property
    def next_timer_ms(self) -> float:
        return min(self._push_at_ms, self._pull_at_ms)

    def put_own_row(self, now: float, kind: int, key: str, value: bytes) -> None:
        """Raise a row of this member's own."""
        owned = self.table.owner_rows(self.owner)
        owned.up_to += 1
        self.table.put(self.owner, Entry(kind, key, owned.up_to, value))
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
        owner, news = Owner(*delta.owner), False
        if owner == self.owner:
            return  # nobody else raises a row of this process
        for entry in delta.entries:
            if problem := validation_error(owner, entry):
                self._actions.append(ProtocolViolation(sender, problem))
                return
        for entry in delta.entries:
            if self.table.put(owner, entry):
                news = True
                self._actions.append(RowChanged(entry.kind, entry.key))
        owned = self.table.owner_rows(owner)
        if owned.has_gap(delta.after):
            self._actions.append(Send(sender, VersionVector((), 0, ((owner, owned.up_to, 0),), True)))
        elif owned.advance(delta.after, delta.up_to, delta.final_up_to):
            news = True
        if news:
            self._schedule_push(now, owner, sender)

    def _schedule_push(self, now: float, owner: Owner, sender: str) -> None:
        self._pending_sources[owner] = sender if self._pending_sources.get(owner, sender) == sender else ""
        self._push_at_ms = min(self._push_at_ms, now + self.options.push_delay_ms)

    def _push(self) -> None:
        waiting, self._pending_sources = self._pending_sources, {}
        names = self._push_targets()
        for owner, source in waiting.items():
            since = self._pushed_up_to.get(owner, 0)
            for delta in self._deltas_after(owner, since):
                self._actions += [Send(name, delta) for name in names if name != source]
                self._pushed_up_to[owner] = max(since, delta.up_to)

    def _deltas_after(self, owner: Owner, since: int) -> list[Delta]:
        """What came of an owner after a count, in as many messages as it takes, up to a bound."""
        owned, found = self.table.owner_rows(owner), list[Delta]()
        while len(found) < self.options.max_response_messages:
            entries, upto = owned.changes_after(since)
            if not entries and upto <= since:
                break
            found.append(Delta((), owner, since, upto, owned.up_to, tuple(entries)))
            if upto <= since or upto >= owned.up_to:
                break
            since = upto
        return found

    # --- How far each has come ----------------------------------------------------------------------------
    def _version_vector_received(self, sender: str, have: VersionVector) -> None:
        if not have.versions and not have.is_partial:
            if have.digest != self.table.digest():
                self._actions.append(Send(sender, VersionVector((), 0, self.table.version_vector())))
            return
        told = {Owner(*owner): (upto, seal) for owner, upto, seal in have.versions}
        lacks: list[tuple[Owner, int, int]] = []
        for owner in told.keys() if have.is_partial else told.keys() | self.table.owners.keys():
            upto, seal = told.get(owner, (0, 0))
            owned = self.table.owners.get(owner)
            mine = owned.up_to if owned else 0
            if mine > upto:
                self._actions += [Send(sender, delta) for delta in self._deltas_after(owner, upto)]
            elif mine < upto:
                lacks.append((owner, mine, 0))
            elif (
                not have.is_partial
                and owned
                and owned.fingerprint != seal
                and (rest := owned.changes_after(mine)[0])
            ):
                # Rows that came out of turn, as the owner ended before what lay between them was heard.
                self._actions.append(Send(sender, Delta((), owner, mine, mine, mine, tuple(rest))))
        if lacks:
            self._actions.append(Send(sender, VersionVector((), 0, tuple(lacks), True)))

    # --- Drains -----------------------------------------------------------------------------------------
    def set_drain(self, now: float, server: str, draining: bool) -> bool:
        """Say that a server drains, or does no more; whether that is news."""
        held = merge_drains(self.table.rows(Kind.DRAIN, server))
        if held.draining == draining:
            return False
        value = msgspec.msgpack.encode(Drain(held.generation + 1, draining))
        self.put_own_row(now, Kind.DRAIN, server, value)
        return True

    def draining_servers(self) -> frozenset[str]:
        """Servers that drain."""
        return frozenset(
            server
            for server in self.table.keys(Kind.DRAIN)
            if merge_drains(self.table.rows(Kind.DRAIN, server)).draining
        )

    def unreadable_rows(self) -> list[tuple[Owner, Entry]]:
        """Rows of kinds that are known here and can't be read."""
        return [
            (owner, entry)
            for owner, owned in self.table.owners.items()
            for entry in owned
            if entry.kind == Kind.DRAIN and decode_drain(entry) is None
        ]
