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
from basaltpoint.replication.kinds import Drain, Kind, drain, read_drain
from basaltpoint.replication.row_table import RowTable
from basaltpoint.replication.rows import Delta, Entry, Have, Owner, sound

INF = math.inf


@dataclass(frozen=True, slots=True)
class Options:
    """Times in ms, with the reason of each."""

    push_ms: float = 10.0  # news waits so long for more of it: each step through the fleet costs as much
    pull_ms: float = 1000.0  # between two questions to a random member; what a push lost comes by then
    parts: int = 64  # messages of one answer; the rest is asked for by the next question


@dataclass(frozen=True, slots=True)
class Send:
    """Send this to a member, over whatever connection there is."""

    to: str
    message: Frame


@dataclass(frozen=True, slots=True)
class Changed:
    """What is held of one thing has changed."""

    kind: int
    key: str


@dataclass(frozen=True, slots=True)
class Named:
    """A member sent what it may not."""

    name: str
    text: str


Action = Send | Changed | Named


class Copy:
    """One member's copy of all rows."""

    def __init__(
        self,
        me: Owner,
        options: Options,
        rng: random.Random,
        now: float,
        watched: Callable[[], Sequence[str]],
        others: Callable[[], Sequence[str]],
    ) -> None:
        """`watched`, `others`: members to push to, and all that live."""
        self.me, self.options = me, options
        self.table = RowTable()
        self.table.of(me)
        self._rng, self._watched, self._others = rng, watched, others
        self._pushed: dict[Owner, int] = {}  # changes that were pushed on
        self._from: dict[Owner, str] = {}  # who told the news that waits; it need not be told back
        self._push_at = INF
        self._pull_at = now + rng.uniform(0.0, options.pull_ms)
        self._out: list[Action] = []

    # --- What the shell calls ---------------------------------------------------------------------------
    def take(self) -> list[Action]:
        """What is to be done now; to be asked for after each of the calls below."""
        taken, self._out = self._out, []
        return taken

    @property
    def next_ms(self) -> float:
        return min(self._push_at, self._pull_at)

    def put(self, now: float, kind: int, key: str, value: bytes) -> None:
        """Raise a row of this member's own."""
        owned = self.table.of(self.me)
        owned.upto += 1
        self.table.put(self.me, Entry(kind, key, owned.upto, value))
        self._out.append(Changed(kind, key))
        self._news(now, self.me, "")

    def tick(self, now: float) -> None:
        if now >= self._push_at:
            self._push_at = INF
            self._push()
        if now >= self._pull_at:
            self._pull_at = now + self.options.pull_ms * self._rng.uniform(0.8, 1.2)
            if others := self._others():
                self._out.append(Send(self._rng.choice(others), Have((), self.table.digest())))

    def heard(self, now: float, sender: str, message: Delta | Have) -> None:
        match message:
            case Delta():
                self._delta(now, sender, message)
            case Have():
                self._have(sender, message)

    # --- Changes ----------------------------------------------------------------------------------------
    def _delta(self, now: float, sender: str, delta: Delta) -> None:
        owner, news = Owner(*delta.owner), False
        if owner == self.me:
            return  # nobody else raises a row of this process
        for entry in delta.entries:
            if problem := sound(owner, entry):
                self._out.append(Named(sender, problem))
                return
        for entry in delta.entries:
            if self.table.put(owner, entry):
                news = True
                self._out.append(Changed(entry.kind, entry.key))
        owned = self.table.of(owner)
        if owned.gap(delta.since):
            self._out.append(Send(sender, Have((), 0, ((owner, owned.upto, 0),), True)))
        elif owned.come(delta.since, delta.upto, delta.goal):
            news = True
        if news:
            self._news(now, owner, sender)

    def _news(self, now: float, owner: Owner, sender: str) -> None:
        self._from[owner] = sender if self._from.get(owner, sender) == sender else ""
        self._push_at = min(self._push_at, now + self.options.push_ms)

    def _push(self) -> None:
        waiting, self._from = self._from, {}
        names = self._watched()
        for owner, source in waiting.items():
            since = self._pushed.get(owner, 0)
            for delta in self._deltas(owner, since):
                self._out += [Send(name, delta) for name in names if name != source]
                self._pushed[owner] = max(since, delta.upto)

    def _deltas(self, owner: Owner, since: int) -> list[Delta]:
        """What came of an owner after a count, in as many messages as it takes, up to a bound."""
        owned, found = self.table.of(owner), list[Delta]()
        while len(found) < self.options.parts:
            entries, upto = owned.since(since)
            if not entries and upto <= since:
                break
            found.append(Delta((), owner, since, upto, owned.upto, tuple(entries)))
            if upto <= since or upto >= owned.upto:
                break
            since = upto
        return found

    # --- How far each has come ----------------------------------------------------------------------------
    def _have(self, sender: str, have: Have) -> None:
        if not have.owners and not have.part:
            if have.digest != self.table.digest():
                self._out.append(Send(sender, Have((), 0, self.table.vector())))
            return
        told = {Owner(*owner): (upto, seal) for owner, upto, seal in have.owners}
        lacks: list[tuple[Owner, int, int]] = []
        for owner in told.keys() if have.part else told.keys() | self.table.owners.keys():
            upto, seal = told.get(owner, (0, 0))
            owned = self.table.owners.get(owner)
            mine = owned.upto if owned else 0
            if mine > upto:
                self._out += [Send(sender, delta) for delta in self._deltas(owner, upto)]
            elif mine < upto:
                lacks.append((owner, mine, 0))
            elif not have.part and owned and owned.fingerprint != seal and (rest := owned.since(mine)[0]):
                # Rows that came out of turn, as the owner ended before what lay between them was heard.
                self._out.append(Send(sender, Delta((), owner, mine, mine, mine, tuple(rest))))
        if lacks:
            self._out.append(Send(sender, Have((), 0, tuple(lacks), True)))

    # --- Drains -----------------------------------------------------------------------------------------
    def drain(self, now: float, server: str, draining: bool) -> bool:
        """Say that a server drains, or does no more; whether that is news."""
        held = drain(self.table.rows(Kind.DRAIN, server))
        if held.draining == draining:
            return False
        value = msgspec.msgpack.encode(Drain(held.generation + 1, draining))
        self.put(now, Kind.DRAIN, server, value)
        return True

    def drains(self) -> frozenset[str]:
        """Servers that drain."""
        return frozenset(
            server
            for server in self.table.keys(Kind.DRAIN)
            if drain(self.table.rows(Kind.DRAIN, server)).draining
        )

    def unreadable(self) -> list[tuple[Owner, Entry]]:
        """Rows of kinds that are known here and can't be read."""
        return [
            (owner, entry)
            for owner, owned in self.table.owners.items()
            for entry in owned
            if entry.kind == Kind.DRAIN and read_drain(entry) is None
        ]
