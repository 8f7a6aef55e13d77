"""Direct and indirect probes, relayed probes for other members, and the detection of broken links.

A member that this one can't reach is not necessarily dead. If it responds to indirect probes only, it is
alive and the link to it is reported as broken; it is probed until it responds directly.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from basaltpoint.peers.messages import Ack, Message, Nack, Ping, PingRequest
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.view import MAX_UNREACHABLE, MembershipView

INF = float("inf")
MAX_RELAYED_PROBES = 256  # in progress for other members; bounds the cost of a flood of requests
MIN_INDIRECT_ACKS = 3  # consecutive indirect acks after which a link is reported as broken
MAX_URGENT_PROBES = 64  # members queued to be probed out of turn

SendMessage = Callable[[str, str, Message], None]


@dataclass(slots=True)
class Probe:
    """A probe of one member in progress."""

    target: str
    started_ms: float
    stage_deadline_ms: float  # of the direct stage, then of the indirect one
    # By helper: whether its connection to the target was refused, too; None: no response yet.
    helpers: dict[str, bool | None] = field(default_factory=dict)
    is_indirect: bool = False
    connection_refused: bool = False  # the target's host refused this member's connection

    @property
    def refused_by_all(self) -> bool:
        """Whether the target's host refused the connections of this member and of all helpers."""
        return self.connection_refused and all(self.helpers.values())


@dataclass(slots=True)
class RelayedProbe:
    """A probe that this member sent as a helper."""

    target: str
    requester: str
    requester_address: str
    requester_seq: int
    deadline_ms: float


class Prober:
    """The probes of one member.

    `send_message` sends a message; `probe_failed` is called with a member that neither this member nor a
    helper could reach, and whether its host refused all connections.
    """

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
        self.health_score = 0  # Lifeguard's local health: 0 (healthy) to `max_health_score`
        self.probes: dict[int, Probe] = {}
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self._seq = 0
        self._round_targets: list[str] = []
        self._probe_count = 0
        self._next_probe_ms = now + rng.uniform(0, options.probe_ms)
        self._urgent: dict[str, None] = {}
        self._urgent_at_ms = INF
        self._indirect_acks: dict[str, int] = {}
        self.unreachable: dict[str, bool] = {}  # by member: whether its messages still arrive
        self.unreachable_changed = False  # whether `unreachable` has changed

    # --- Time -----------------------------------------------------------------------------------------
    @property
    def timeout_factor(self) -> float:
        """Factor on probe intervals and timeouts, above 1 while this member's local health is bad."""
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
        """Drops all probes in progress after a pause: their timeouts are no evidence."""
        self.probes.clear()
        self.relayed_probes.clear()

    # --- Probes of this member ------------------------------------------------------------------------
    def _next_target(self) -> str:
        """Returns the next member to probe, or an empty string.

        These are the neighbours on the ring, and every eighth time a random member, so that members whose
        rings differ still contact each other.
        """
        self._probe_count += 1
        members = self._view.members
        if (
            self._options.probe_on_ring
            and self._probe_count % 8 == 0
            and (others := self._view.other_members())
        ):
            return self._rng.choice(others)
        while True:
            while self._round_targets:
                name = self._round_targets.pop()
                if name in members and members[name].record.is_live:
                    return name
            targets = (
                self._view.probe_targets() if self._options.probe_on_ring else self._view.other_members()
            )
            targets += [
                name
                for name in self._indirect_acks
                if name in members and members[name].record.is_live and name not in targets
            ]
            if not targets:
                return ""
            self._rng.shuffle(targets)
            self._round_targets = targets

    def probe_soon(self, now: float, name: str) -> None:
        """Schedules a probe of a member at once, ahead of its turn."""
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
        """Moves a probe without a direct ack to its indirect stage, and fails one that was in it already."""
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
        if probe.refused_by_all:  # there is no helper
            self._fail_probe(now, seq, probe)

    def _fail_probe(self, now: float, seq: int, probe: Probe) -> None:
        del self.probes[seq]
        silent_helpers = sum(refused is None for refused in probe.helpers.values())
        if self._options.lifeguard:
            # Helpers without a response suggest a fault of this member, not of the target.
            self.adjust_health_score(silent_helpers if probe.helpers else 1)
        self._probe_failed(now, probe.target, probe.refused_by_all)

    def connection_refused(self, now: float, name: str) -> None:
        """A connection to a member was refused, or closed before its greeting."""
        for seq, probe in list(self.probes.items()):
            if probe.target == name and not probe.connection_refused:
                probe.connection_refused = True
                if not probe.is_indirect:
                    self._advance_probe(now, seq, probe)
        for seq, relay in list(self.relayed_probes.items()):
            if relay.target == name:
                self._send_nack(seq, relay, refused=True)

    # --- Responses ------------------------------------------------------------------------------------
    def ack_received(self, now: float, sender: str, ack: Ack) -> None:
        """An ack of a probe of this member, or of a relayed one."""
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
        indirect_acks = self._indirect_acks.get(probe.target, 0) + 1
        if probe.target in self._indirect_acks or len(self._indirect_acks) < MAX_URGENT_PROBES:
            self._indirect_acks[probe.target] = indirect_acks
        if indirect_acks >= MIN_INDIRECT_ACKS:
            self._mark_unreachable(probe.target, can_hear=sender == probe.target)

    def _mark_reachable(self, name: str) -> None:
        self._indirect_acks.pop(name, None)
        if self.unreachable.pop(name, None) is not None:
            self.unreachable_changed = True

    def _mark_unreachable(self, name: str, can_hear: bool) -> None:
        if self.unreachable.get(name) != can_hear and (
            name in self.unreachable or len(self.unreachable) < MAX_UNREACHABLE
        ):
            self.unreachable[name] = can_hear
            self.unreachable_changed = True

    def member_removed(self, name: str) -> None:
        """A member has died or left: the state of the link to it is dropped."""
        self._mark_reachable(name)

    def nack_received(self, now: float, sender: str, nack: Nack) -> None:
        """A helper could not reach the target."""
        probe = self.probes.get(nack.seq)
        if probe is None or sender not in probe.helpers:
            return
        probe.helpers[sender] = nack.connection_refused
        if probe.refused_by_all:
            self._fail_probe(now, nack.seq, probe)

    # --- Relayed probes -------------------------------------------------------------------------------
    def ping_request_received(self, now: float, sender: str, address: str, request: PingRequest) -> None:
        """Another member requests an indirect probe."""
        if len(self.relayed_probes) >= MAX_RELAYED_PROBES or request.target == self._view.own_name:
            return
        self._seq += 1
        self.relayed_probes[self._seq] = RelayedProbe(
            request.target, sender, address, request.seq, now + 0.8 * self._options.ack_timeout_ms
        )
        record = self._view.get(request.target)
        self._send_message(
            request.target,
            request.address,
            Ping((record,) if record else (), self._seq, sender, address, request.seq),
        )

    def _send_nack(self, seq: int, relay: RelayedProbe, refused: bool) -> None:
        del self.relayed_probes[seq]
        if self._options.lifeguard or refused:
            self._send_message(
                relay.requester, relay.requester_address, Nack((), relay.requester_seq, refused)
            )
