"""A fleet in virtual time: the shipped peers' machine on modelled links, under processes' faults."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from basaltpoint.links.frames import encode_frame
from basaltpoint.peers import actions as act
from basaltpoint.peers import messages as m
from basaltpoint.peers.options import MembershipOptions
from basaltpoint.peers.state_machine import MembershipStateMachine
from basaltpoint.rehearsal.events import Observation, ProcessLifetime
from basaltpoint.rehearsal.faults import ActiveLinkFaults, Fault, FaultKind

TRIP_S = (0.0002, 0.002)  # one way, least and most: hosts of one site
CONNECT_TRIPS = 3  # one way each, for a connection and both greetings
ROUND_S = 1e-9  # a timer must not come before its time by rounding


@dataclass(slots=True)
class Node:
    """One member's process."""

    name: str
    membership: MembershipStateMachine
    is_running: bool = True
    is_paused: bool = False
    deferred_events: list[Callable[[], None]] = field(default_factory=list)  # what came while it was paused
    timer_due_s: float = math.inf  # of the timer that is set
    sent_messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: int = 0


class FleetModel:
    """`names` start at 0, one after the other within `spread_s`; the first three are everybody's seeds."""

    def __init__(
        self,
        names: Sequence[str],
        options: MembershipOptions = MembershipOptions(),  # noqa: B008 - it can't be changed
        faults: Sequence[Fault] = (),
        seed: int = 1,
        start_spread_s: float = 0.2,
        make_state_machine: Callable[..., MembershipStateMachine] = MembershipStateMachine,
        records_observations: bool = True,
    ) -> None:
        self.names, self.options, self.faults = list(names), options, list(faults)
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.nodes: dict[str, Node] = {}
        self.observations: list[Observation] = []
        self.ended_lifetimes: list[ProcessLifetime] = []
        self.link_faults = ActiveLinkFaults()
        self.terminations: list[tuple[float, str, str]] = []  # processes that gave up: when, who, why
        self._make_state_machine, self._records_observations = make_state_machine, records_observations
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._connections: set[frozenset[str]] = set()
        self._stalled_events: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._last_arrival_s: dict[tuple[str, str], float] = {}
        self._running_lifetimes: dict[str, ProcessLifetime] = {}
        for name in self.names:
            self.schedule(self.rng.uniform(0.0, start_spread_s), partial(self.start, name))
        for fault in self.faults:
            self.schedule(fault.start_s, partial(self._begin, fault))
            if fault.end_s < math.inf:
                self.schedule(fault.end_s, partial(self._end, fault))

    # --- Time -------------------------------------------------------------------------------------------
    def schedule(self, when: float, what: Callable[[], None]) -> None:
        """Do something at a time, in seconds."""
        self._event_count += 1
        heapq.heappush(self._queue, (max(when, self.now_s), self._event_count, what))

    def run_until(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now_s, _, what = heapq.heappop(self._queue)
            what()
        self.now_s = until

    @property
    def lifetimes(self) -> list[ProcessLifetime]:
        """Those that ended, and those that are there."""
        return self.ended_lifetimes + list(self._running_lifetimes.values())

    # --- Processes ----------------------------------------------------------------------------------------
    def start(self, name: str) -> None:
        first = 1000 + int(self._ms)
        self.nodes[name] = Node(name, self._make_member(name, first))
        self._running_lifetimes[name] = ProcessLifetime(name, self.now_s, math.inf, False, first)
        self._carry_out_actions(self.nodes[name])

    def _make_member(self, name: str, incarnation: int) -> MembershipStateMachine:
        seeds, life = [(other, other) for other in self.names[:3]], self.rng.getrandbits(53)
        return self._make_state_machine(
            name, name, life, incarnation, seeds, self.options, self._fresh(), self._ms
        )

    def _fresh(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))

    def kill(self, name: str, told: bool = False) -> None:
        """The process is gone; the kernel ends its connections, where that can be heard."""
        node = self.nodes[name]
        if not node.is_running:
            return
        node.is_running = False
        self.ended_lifetimes.append(
            replace(self._running_lifetimes.pop(name), ended_s=self.now_s, is_announced=told)
        )
        self._unlink(name)

    def _unlink(self, name: str) -> None:
        """All connections of a process end."""
        for link in [link for link in self._connections if name in link]:
            self._connections.discard(link)
            (other,) = link - {name}
            if not self.link_faults.link_state(name, other).is_blocked:
                self._later(name, other, partial(self._lost, other, name))

    def _lost(self, name: str, gone: str) -> None:
        self._call(name, lambda node: node.membership.connection_lost(self._ms, gone))

    def stop(self, name: str) -> None:
        """SIGTERM: it says that it goes."""
        node = self.nodes[name]
        if node.is_running:
            node.membership.leave(self._ms)
            self._carry_out_actions(node)
            self.kill(name, told=True)

    def _upgrade(self, node: Node) -> None:
        """A new process goes on in the place of the one that runs."""
        if node.membership.state is m.MemberState.JOINING:
            return
        rows, age_ms = node.membership.hand_over(), self._ms - node.membership.started_ms
        self._unlink(node.name)
        node.membership, node.timer_due_s = self._make_member(node.name, rows[0].incarnation), math.inf
        node.membership.take_over(self._ms, rows, age_ms)

    @property
    def _ms(self) -> float:
        return self.now_s * 1000.0

    # --- Faults -------------------------------------------------------------------------------------------
    def _begin(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.PAUSE:
                for name in fault.members:
                    self.nodes[name].is_paused = True
            case FaultKind.KILL | FaultKind.WIPE | FaultKind.PUTBACK:
                for name in fault.members:
                    self.kill(name)
            case FaultKind.STOP:
                for name in fault.members:
                    self.stop(name)
            case FaultKind.UPGRADE:
                for name in fault.members:
                    self._call(name, self._upgrade)
            case FaultKind.RESET:
                for link in list(self._connections):
                    one, other = link
                    if fault.affects_link(one, other) or fault.affects_link(other, one):
                        self._reset(one, other)
            case FaultKind.DRAIN | FaultKind.UNDRAIN:
                pass  # the peers know nothing of servers
            case _:
                self.link_faults.faults.append(fault)

    def _end(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.PAUSE:
                for name in fault.members:
                    self._resume(self.nodes[name])
            case FaultKind.KILL | FaultKind.WIPE | FaultKind.PUTBACK | FaultKind.STOP:
                for name in fault.members:
                    if not self.nodes[name].is_running:
                        self.start(name)
            case FaultKind.RESET | FaultKind.UPGRADE | FaultKind.DRAIN | FaultKind.UNDRAIN:
                pass
            case _:
                self.link_faults.faults.remove(fault)
                for (source, target), held in list(self._stalled_events.items()):
                    if not self.link_faults.link_state(source, target).is_stalled:
                        del self._stalled_events[source, target]
                        for what in held:
                            self._later(source, target, what)

    def _resume(self, node: Node) -> None:
        node.is_paused = False
        held, node.deferred_events = node.deferred_events, []
        for what in held:
            what()
        self._tick(node, node.timer_due_s)

    def _reset(self, one: str, other: str) -> None:
        self._connections.discard(frozenset((one, other)))
        self._lost(one, other)
        self._lost(other, one)

    # --- Messages -----------------------------------------------------------------------------------------
    def _call(self, name: str, what: Callable[[Node], None]) -> None:
        """An event at a member: now, or when it goes on."""
        node = self.nodes.get(name)
        if node is None or not node.is_running:
            return
        if node.is_paused:
            node.deferred_events.append(lambda: self._call(name, what))
            return
        what(node)
        self._carry_out_actions(node)

    def _carry_out_actions(self, node: Node) -> None:
        for action in node.membership.take_actions():
            match action:
                case act.Send():
                    self._sent(node, action)
                case act.MemberChanged():
                    self._saw(node.name, action.after)
                case act.CheckNameConflict():
                    self._rival(node, action)
                case act.Terminate():
                    self.terminations.append((self.now_s, node.name, action.reason))
                    self.kill(node.name)
                case act.ProtocolViolation() | act.PauseDetected():
                    pass
        due = node.membership.next_timer_ms / 1000.0 + ROUND_S
        if node.is_running and due < node.timer_due_s:
            node.timer_due_s = due
            if due < math.inf:
                self.schedule(due, lambda: self._tick(node, due))

    def _saw(self, by: str, row: m.MemberRecord) -> None:
        if self._records_observations:
            self.observations.append(
                Observation(self.now_s, by, row.name, row.incarnation, row.state.name.lower())
            )

    def _tick(self, node: Node, due: float) -> None:
        if node.timer_due_s != due or not node.is_running or node.is_paused:
            return
        node.timer_due_s = math.inf
        node.membership.tick(self._ms)
        self._carry_out_actions(node)

    def _later(self, source: str, target: str, what: Callable[[], None], trips: int = 1) -> None:
        """In order on one way, as a connection carries it."""
        way = self.link_faults.link_state(source, target)
        if way.is_stalled:
            self._stalled_events.setdefault((source, target), []).append(what)
            return
        took = (
            sum(self.rng.uniform(*TRIP_S) for _ in range(trips))
            + way.delay_s
            + self.rng.uniform(0, way.jitter_s)
        )
        when = max(self.now_s + took, self._last_arrival_s.get((source, target), 0.0))
        self._last_arrival_s[source, target] = when
        self.schedule(when, what)

    def _sent(self, node: Node, send: act.Send) -> None:
        source, target = node.name, send.address
        node.sent_messages[type(send.message).__name__] += 1
        node.sent_bytes += len(encode_frame(send.message))
        there = self.nodes.get(target)
        link = frozenset((source, target))
        way, back = self.link_faults.link_state(source, target), self.link_faults.link_state(target, source)
        trips = 1
        if link not in self._connections:
            if way.is_blocked or back.is_blocked:
                return  # no connection comes up; what waited for it is lost
            if there is None or not there.is_running:
                self._later(target, source, partial(self._refused, source, send.member), 2)
                return
            self._connections.add(link)
            trips = CONNECT_TRIPS
            self._later(source, target, partial(self._linked, target, source), 2)
            self._later(target, source, partial(self._linked, source, target), 2)
        if self.rng.random() >= way.loss_fraction:
            life = there.membership.instance_id if there else 0
            self._later(source, target, lambda: self._came(target, life, source, send.message), trips)

    def _linked(self, name: str, other: str) -> None:
        self._call(name, lambda node: node.membership.member_connected(self._ms, other))

    def _refused(self, name: str, other: str) -> None:
        self._call(name, lambda node: node.membership.connection_refused(self._ms, other))

    def _came(self, target: str, life: int, source: str, message: m.Message) -> None:
        node = self.nodes.get(target)
        if node and node.membership.instance_id == life:  # else the connection ended with the process
            self._call(target, lambda n: n.membership.message_received(self._ms, source, source, message))

    def _rival(self, node: Node, ask: act.CheckNameConflict) -> None:
        other = self.nodes.get(ask.address)
        if other is None or not other.is_running or other.is_paused or other is node:
            return
        life, age = (
            other.membership.instance_id,
            (self.now_s - self._running_lifetimes[other.name].started_s) * 1000,
        )
        self.schedule(
            self.now_s + 0.002,
            lambda: self._call(node.name, lambda n: n.membership.name_conflict_found(self._ms, life, age)),
        )
