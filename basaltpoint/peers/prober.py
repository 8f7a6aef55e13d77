"""Probes: directly, then through others; for others, too; and which links can't be used.

"I can't reach it" and "it is dead" are two facts. One that answers through others lives: the link to it is
told as cut, and it is asked again until it answers directly.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from basaltpoint.peers.messages import Ack, Message, Nack, Ping, PingRequest
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.view import UNREACHED, MembershipView

INF = float("inf")
RELAYS = 256  # probes for others under way at once; a flood of them costs no more
MISSES = 3  # probes in a row that only others could answer, before a link is told as cut
URGENT = 64  # members waiting to be probed at once

Tell = Callable[[str, str, Message], None]


@dataclass(slots=True)
class Probe:
    """One member asked whether it is there."""

    target: str
    began: float
    until: float  # the end of its present stage
    # Helpers: whether they were refused, too; None: not heard yet.
    asked: dict[str, bool | None] = field(default_factory=dict)
    indirect: bool = False
    refused: bool = False  # its host refused our connection

    @property
    def sure(self) -> bool:
        """Its host refuses us and everybody who was asked."""
        return self.refused and all(self.asked.values())


@dataclass(slots=True)
class Relay:
    """A probe for another."""

    target: str
    asker: str
    address: str
    seq: int
    until: float


class Prober:
    """The probes of one member. `tell` sends, `failed` hears of one that nobody could reach."""

    def __init__(
        self,
        view: MembershipView,
        options: MembershipOptions,
        rng: random.Random,
        now: float,
        tell: Tell,
        failed: Callable[[float, str, bool], None],
    ) -> None:
        self._view, self._options, self._rng = view, options, rng
        self._tell, self._failed = tell, failed
        self.health_score = 0  # of oneself (Lifeguard's local health): 0 to `doubt_most`
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self._seq = 0
        self._round: list[str] = []
        self._turn = 0
        self._at = now + rng.uniform(0, options.probe_ms)
        self._urgent: dict[str, None] = {}
        self._urgent_at = INF
        self._misses: dict[str, int] = {}
        self.unreached: dict[str, bool] = {}  # links that are cut: whether the other is still heard
        self.news = False  # whether `unreached` has changed

    # --- Time -----------------------------------------------------------------------------------------
    @property
    def factor(self) -> float:
        """By how much times are stretched while this member doubts itself."""
        return 1.0 + self.health_score if self._options.lifeguard else 1.0

    def adjust_health_score(self, by: int) -> None:
        self.health_score = min(self._options.max_health_score, max(0, self.health_score + by))

    @property
    def next_ms(self) -> float:
        due = min(self._at, self._urgent_at)
        for probe in self.probes.values():
            due = min(due, probe.until)
        for relay in self.relays.values():
            due = min(due, relay.until)
        return due

    def tick(self, now: float) -> None:
        for seq, probe in list(self.probes.items()):
            if now >= probe.until:
                self._stage(now, seq, probe)
        for seq, relay in list(self.relays.items()):
            if now >= relay.until:
                self._nack(seq, relay, refused=False)
        urgent, self._urgent, self._urgent_at = self._urgent, {}, INF
        for name in urgent:
            self._probe(now, name)
        if now >= self._at:
            self._at = max(now, self._at + self._options.probe_ms * self.factor)
            if target := self._next():
                self._probe(now, target)

    def stood_still(self) -> None:
        """What was under way says nothing: its time-outs fell into a pause."""
        self.probes.clear()
        self.relays.clear()

    # --- Own probes -----------------------------------------------------------------------------------
    def _next(self) -> str:
        """The next in turn: those watched, now and then any other, so that rings that differ still meet."""
        self._turn += 1
        live = self._view.members
        if self._options.probe_on_ring and self._turn % 8 == 0 and (others := self._view.other_members()):
            return self._rng.choice(others)
        while True:
            while self._round:
                name = self._round.pop()
                if name in live and live[name].record.is_live:
                    return name
            fresh = self._view.probe_targets() if self._options.probe_on_ring else self._view.other_members()
            fresh += [
                name
                for name in self._misses
                if name in live and live[name].record.is_live and name not in fresh
            ]
            if not fresh:
                return ""
            self._rng.shuffle(fresh)
            self._round = fresh

    def soon(self, now: float, name: str) -> None:
        """Probe a member without waiting for its turn."""
        if len(self._urgent) < URGENT and not any(probe.target == name for probe in self.probes.values()):
            self._urgent[name] = None
            self._urgent_at = min(self._urgent_at, now)

    def _probe(self, now: float, name: str) -> None:
        known = self._view.members.get(name)
        if known is None or not known.record.is_live or name == self._view.own_name:
            return
        self._seq += 1
        self.probes[self._seq] = Probe(name, now, now + self._options.ack_timeout_ms * self.factor)
        self._tell(name, known.record.address, Ping((known.record,), self._seq))

    def _stage(self, now: float, seq: int, probe: Probe) -> None:
        """No direct answer: ask others. None of them either: it failed."""
        known = self._view.members.get(probe.target)
        if known is None or not known.record.is_live:
            del self.probes[seq]
            return
        if probe.indirect:
            self._end(now, seq, probe)
            return
        probe.indirect = True
        probe.until = max(
            now + self._options.ack_timeout_ms * self.factor,
            probe.began + self._options.probe_ms * self.factor,
        )
        helpers = [name for name in self._view.other_members() if name != probe.target]
        for name in self._rng.sample(helpers, min(self._options.indirect_probes, len(helpers))):
            probe.asked[name] = None
            self._tell(
                name,
                self._view.members[name].record.address,
                PingRequest((), seq, probe.target, known.record.address),
            )
        if probe.sure:  # there was nobody to ask
            self._end(now, seq, probe)

    def _end(self, now: float, seq: int, probe: Probe) -> None:
        del self.probes[seq]
        unheard = sum(refused is None for refused in probe.asked.values())
        if self._options.lifeguard:
            # Helpers that say nothing are a sign that this member is at fault, not the target.
            self.adjust_health_score(unheard if probe.asked else 1)
        self._failed(now, probe.target, probe.sure)

    def refused(self, now: float, name: str) -> None:
        """A connection to a member was refused, or ended before its greeting."""
        for seq, probe in list(self.probes.items()):
            if probe.target == name and not probe.refused:
                probe.refused = True
                if not probe.indirect:
                    self._stage(now, seq, probe)
        for seq, relay in list(self.relays.items()):
            if relay.target == name:
                self._nack(seq, relay, refused=True)

    # --- Answers --------------------------------------------------------------------------------------
    def acked(self, now: float, sender: str, ack: Ack) -> None:
        """An answer, to an own probe or to one for another."""
        if relay := self.relays.pop(ack.seq, None):
            self._tell(
                relay.asker,
                relay.address,
                Ack(ack.records, relay.seq, ack.instance_id, ack.age_ms, is_direct=False),
            )
            return
        probe = self.probes.pop(ack.seq, None)
        if probe is None:
            if ack.is_direct:
                self._reached(sender)
            return
        self.adjust_health_score(-1)
        if ack.is_direct and sender == probe.target:
            self._view.members[sender].rtt_ms = now - probe.began
            self._reached(sender)
            return
        misses = self._misses.get(probe.target, 0) + 1
        if probe.target in self._misses or len(self._misses) < URGENT:
            self._misses[probe.target] = misses
        if misses >= MISSES:
            self._cut(probe.target, heard=sender == probe.target)

    def _reached(self, name: str) -> None:
        self._misses.pop(name, None)
        if self.unreached.pop(name, None) is not None:
            self.news = True

    def _cut(self, name: str, heard: bool) -> None:
        if self.unreached.get(name) != heard and (name in self.unreached or len(self.unreached) < UNREACHED):
            self.unreached[name] = heard
            self.news = True

    def gone(self, name: str) -> None:
        """A member lives no more: its link is of no interest."""
        self._reached(name)

    def nacked(self, now: float, sender: str, nack: Nack) -> None:
        """A helper could not reach it."""
        probe = self.probes.get(nack.seq)
        if probe is None or sender not in probe.asked:
            return
        probe.asked[sender] = nack.connection_refused
        if probe.sure:
            self._end(now, nack.seq, probe)

    # --- For others -----------------------------------------------------------------------------------
    def ask(self, now: float, sender: str, address: str, ask: PingRequest) -> None:
        """Another asks for a probe."""
        if len(self.relays) >= RELAYS or ask.target == self._view.own_name:
            return
        self._seq += 1
        self.relays[self._seq] = Relay(
            ask.target, sender, address, ask.seq, now + 0.8 * self._options.ack_timeout_ms
        )
        row = self._view.get(ask.target)
        self._tell(ask.target, ask.address, Ping((row,) if row else (), self._seq, sender, address, ask.seq))

    def _nack(self, seq: int, relay: Relay, refused: bool) -> None:
        del self.relays[seq]
        if self._options.lifeguard or refused:
            self._tell(relay.asker, relay.address, Nack((), relay.seq, refused))
