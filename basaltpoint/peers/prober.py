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
from basaltpoint.peers.view import MAX_UNREACHABLE, MembershipView

INF = float("inf")
MAX_RELAYED_PROBES = 256  # probes for others under way at once; a flood of them costs no more
MIN_INDIRECT_ACKS = 3  # probes in a row that only others could answer, before a link is told as cut
MAX_URGENT_PROBES = 64  # members waiting to be probed at once

SendMessage = Callable[[str, str, Message], None]


@dataclass(slots=True)
class Probe:
    """One member asked whether it is there."""

    target: str
    started_ms: float
    stage_deadline_ms: float  # the end of its present stage
    # Helpers: whether they were refused, too; None: not heard yet.
    helpers: dict[str, bool | None] = field(default_factory=dict)
    is_indirect: bool = False
    connection_refused: bool = False  # its host refused our connection

    @property
    def refused_by_all(self) -> bool:
        """Its host refuses us and everybody who was asked."""
        return self.connection_refused and all(self.helpers.values())


@dataclass(slots=True)
class RelayedProbe:
    """A probe for another."""

    target: str
    requester: str
    requester_address: str
    requester_seq: int
    deadline_ms: float


class Prober:
    """The probes of one member. `tell` sends, `failed` hears of one that nobody could reach."""

    def __init__(
        self,
        view: MembershipView,
        options: MembershipOptions,
        rng: random.Random,
        now: float,
        send_message: SendMessage,
        probe_failed: Callable[[float, str, bool], None],
    ) -> None:
        self._view, self._options, self._rng = view, options, rng
        self._send_message, self._probe_failed = send_message, probe_failed
        self.health_score = 0  # of oneself (Lifeguard's local health): 0 to `doubt_most`
        self.probes: dict[int, Probe] = {}
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self._seq = 0
        self._round_targets: list[str] = []
        self._probe_count = 0
        self._next_probe_ms = now + rng.uniform(0, options.probe_ms)
        self._urgent: dict[str, None] = {}
        self._urgent_at_ms = INF
        self._indirect_acks: dict[str, int] = {}
        self.unreachable: dict[str, bool] = {}  # links that are cut: whether the other is still heard
        self.unreachable_changed = False  # whether `unreached` has changed

    # --- Time -----------------------------------------------------------------------------------------
    @property
    def timeout_factor(self) -> float:
        """By how much times are stretched while this member doubts itself."""
        return 1.0 + self.health_score if self._options.lifeguard else 1.0

    def adjust_health_score(self, by: int) -> None:
        self.health_score = min(self._options.max_health_score, max(0, self.health_score + by))

    @property
    def next_timer_ms(self) -> float:
        due = min(self._next_probe_ms, self._urgent_at_ms)
        for probe in self.probes.values():
            due = min(due, probe.stage_deadline_ms)
        for relay in self.relayed_probes.values():
            due = min(due, relay.deadline_ms)
        return due

    def tick(self, now: float) -> None:
        for seq, probe in list(self.probes.items()):
            if now >= probe.stage_deadline_ms:
                self._advance_probe(now, seq, probe)
        for seq, relay in list(self.relayed_probes.items()):
            if now >= relay.deadline_ms:
                self._send_nack(seq, relay, refused=False)
        urgent, self._urgent, self._urgent_at_ms = self._urgent, {}, INF
        for name in urgent:
            self._start_probe(now, name)
        if now >= self._next_probe_ms:
            self._next_probe_ms = max(now, self._next_probe_ms + self._options.probe_ms * self.timeout_factor)
            if target := self._next_target():
                self._start_probe(now, target)

    def discard_probes(self) -> None:
        """What was under way says nothing: its time-outs fell into a pause."""
        self.probes.clear()
        self.relayed_probes.clear()

    # --- Own probes -----------------------------------------------------------------------------------
    def _next_target(self) -> str:
        """The next in turn: those watched, now and then any other, so that rings that differ still meet."""
        self._probe_count += 1
        live = self._view.members
        if (
            self._options.probe_on_ring
            and self._probe_count % 8 == 0
            and (others := self._view.other_members())
        ):
            return self._rng.choice(others)
        while True:
            while self._round_targets:
                name = self._round_targets.pop()
                if name in live and live[name].record.is_live:
                    return name
            fresh = self._view.probe_targets() if self._options.probe_on_ring else self._view.other_members()
            fresh += [
                name
                for name in self._indirect_acks
                if name in live and live[name].record.is_live and name not in fresh
            ]
            if not fresh:
                return ""
            self._rng.shuffle(fresh)
            self._round_targets = fresh

    def probe_soon(self, now: float, name: str) -> None:
        """Probe a member without waiting for its turn."""
        if len(self._urgent) < MAX_URGENT_PROBES and not any(
            probe.target == name for probe in self.probes.values()
        ):
            self._urgent[name] = None
            self._urgent_at_ms = min(self._urgent_at_ms, now)

    def _start_probe(self, now: float, name: str) -> None:
        known = self._view.members.get(name)
        if known is None or not known.record.is_live or name == self._view.own_name:
            return
        self._seq += 1
        self.probes[self._seq] = Probe(name, now, now + self._options.ack_timeout_ms * self.timeout_factor)
        self._send_message(name, known.record.address, Ping((known.record,), self._seq))

    def _advance_probe(self, now: float, seq: int, probe: Probe) -> None:
        """No direct answer: ask others. None of them either: it failed."""
        known = self._view.members.get(probe.target)
        if known is None or not known.record.is_live:
            del self.probes[seq]
            return
        if probe.is_indirect:
            self._fail_probe(now, seq, probe)
            return
        probe.is_indirect = True
        probe.stage_deadline_ms = max(
            now + self._options.ack_timeout_ms * self.timeout_factor,
            probe.started_ms + self._options.probe_ms * self.timeout_factor,
        )
        helpers = [name for name in self._view.other_members() if name != probe.target]
        for name in self._rng.sample(helpers, min(self._options.indirect_probes, len(helpers))):
            probe.helpers[name] = None
            self._send_message(
                name,
                self._view.members[name].record.address,
                PingRequest((), seq, probe.target, known.record.address),
            )
        if probe.refused_by_all:  # there was nobody to ask
            self._fail_probe(now, seq, probe)

    def _fail_probe(self, now: float, seq: int, probe: Probe) -> None:
        del self.probes[seq]
        unheard = sum(refused is None for refused in probe.helpers.values())
        if self._options.lifeguard:
            # Helpers that say nothing are a sign that this member is at fault, not the target.
            self.adjust_health_score(unheard if probe.helpers else 1)
        self._probe_failed(now, probe.target, probe.refused_by_all)

    def connection_refused(self, now: float, name: str) -> None:
        """A connection to a member was refused, or ended before its greeting."""
        for seq, probe in list(self.probes.items()):
            if probe.target == name and not probe.connection_refused:
                probe.connection_refused = True
                if not probe.is_indirect:
                    self._advance_probe(now, seq, probe)
        for seq, relay in list(self.relayed_probes.items()):
            if relay.target == name:
                self._send_nack(seq, relay, refused=True)

    # --- Answers --------------------------------------------------------------------------------------
    def ack_received(self, now: float, sender: str, ack: Ack) -> None:
        """An answer, to an own probe or to one for another."""
        if relay := self.relayed_probes.pop(ack.seq, None):
            self._send_message(
                relay.requester,
                relay.requester_address,
                Ack(ack.records, relay.requester_seq, ack.instance_id, ack.age_ms, is_direct=False),
            )
            return
        probe = self.probes.pop(ack.seq, None)
        if probe is None:
            if ack.is_direct:
                self._mark_reachable(sender)
            return
        self.adjust_health_score(-1)
        if ack.is_direct and sender == probe.target:
            self._view.members[sender].rtt_ms = now - probe.started_ms
            self._mark_reachable(sender)
            return
        misses = self._indirect_acks.get(probe.target, 0) + 1
        if probe.target in self._indirect_acks or len(self._indirect_acks) < MAX_URGENT_PROBES:
            self._indirect_acks[probe.target] = misses
        if misses >= MIN_INDIRECT_ACKS:
            self._mark_unreachable(probe.target, heard=sender == probe.target)

    def _mark_reachable(self, name: str) -> None:
        self._indirect_acks.pop(name, None)
        if self.unreachable.pop(name, None) is not None:
            self.unreachable_changed = True

    def _mark_unreachable(self, name: str, heard: bool) -> None:
        if self.unreachable.get(name) != heard and (
            name in self.unreachable or len(self.unreachable) < MAX_UNREACHABLE
        ):
            self.unreachable[name] = heard
            self.unreachable_changed = True

    def member_removed(self, name: str) -> None:
        """A member lives no more: its link is of no interest."""
        self._mark_reachable(name)

    def nack_received(self, now: float, sender: str, nack: Nack) -> None:
        """A helper could not reach it."""
        probe = self.probes.get(nack.seq)
        if probe is None or sender not in probe.helpers:
            return
        probe.helpers[sender] = nack.connection_refused
        if probe.refused_by_all:
            self._fail_probe(now, nack.seq, probe)

    # --- For others -----------------------------------------------------------------------------------
    def ping_request_received(self, now: float, sender: str, address: str, ask: PingRequest) -> None:
        """Another asks for a probe."""
        if len(self.relayed_probes) >= MAX_RELAYED_PROBES or ask.target == self._view.own_name:
            return
        self._seq += 1
        self.relayed_probes[self._seq] = RelayedProbe(
            ask.target, sender, address, ask.seq, now + 0.8 * self._options.ack_timeout_ms
        )
        row = self._view.get(ask.target)
        self._send_message(
            ask.target, ask.address, Ping((row,) if row else (), self._seq, sender, address, ask.seq)
        )

    def _send_nack(self, seq: int, relay: RelayedProbe, refused: bool) -> None:
        del self.relayed_probes[seq]
        if self._options.lifeguard or refused:
            self._send_message(
                relay.requester, relay.requester_address, Nack((), relay.requester_seq, refused)
            )
