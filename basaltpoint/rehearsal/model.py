"""Simulates a fleet in virtual time: the real membership state machine on modelled links, with faults."""

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

ONE_WAY_DELAY_S = (0.0002, 0.002)  # shortest and longest, between hosts of one site
CONNECT_DELAYS = 3  # one-way delays to open a connection and exchange both greetings
TIMER_ROUNDING_S = 1e-9  # so that rounding does not fire a timer early


@dataclass(slots=True)
class Node:
    """The process of one member; times are seconds of the virtual clock."""

    name: str
    membership: MembershipStateMachine
    is_running: bool = True
    is_paused: bool = False
    # Events that arrived during a pause.
    deferred_events: list[Callable[[], None]] = field(default_factory=list)
    timer_due_s: float = math.inf  # of the next timer
    sent_messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: int = 0


class FleetModel:
    """A fleet on a virtual clock, in seconds from 0.

    The members `names` start at random times within `start_spread_s`; the first three are the seeds of all.
    """

    def __init__(
        self,
        names: Sequence[str],
        options: MembershipOptions = MembershipOptions(),  # noqa: B008 - it is immutable
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
        # Processes that ended themselves: seconds, name, reason.
        self.terminations: list[tuple[float, str, str]] = []
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
            self.schedule(fault.start_s, partial(self._begin_fault, fault))
            if fault.end_s < math.inf:
                self.schedule(fault.end_s, partial(self._end_fault, fault))

    # --- Time -------------------------------------------------------------------------------------------
    def schedule(self, when_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a time in seconds."""
        self._event_count += 1
        heapq.heappush(self._queue, (max(when_s, self.now_s), self._event_count, callback))

    def run_until(self, end_s: float) -> None:
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_s = end_s

    @property
    def lifetimes(self) -> list[ProcessLifetime]:
        """The lifetimes of ended and of running processes."""
        return self.ended_lifetimes + list(self._running_lifetimes.values())

    # --- Processes ----------------------------------------------------------------------------------------
    def start(self, name: str) -> None:
        first = 1000 + int(self._now_ms)
        self.nodes[name] = Node(name, self._make_member(name, first))
        self._running_lifetimes[name] = ProcessLifetime(name, self.now_s, math.inf, False, first)
        self._carry_out_actions(self.nodes[name])

    def _make_member(self, name: str, incarnation: int) -> MembershipStateMachine:
        seeds, instance_id = [(other, other) for other in self.names[:3]], self.rng.getrandbits(53)
        return self._make_state_machine(
            name, name, instance_id, incarnation, seeds, self.options, self._new_rng(), self._now_ms
        )

    def _new_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))

    def kill(self, name: str, is_announced: bool = False) -> None:
        """Ends the process; its peers see the connections close unless a fault blocks the link."""
        node = self.nodes[name]
        if not node.is_running:
            return
        node.is_running = False
        self.ended_lifetimes.append(
            replace(self._running_lifetimes.pop(name), ended_s=self.now_s, is_announced=is_announced)
        )
        self._close_connections(name)

    def _close_connections(self, name: str) -> None:
        """Closes all connections of a process."""
        for link in [link for link in self._connections if name in link]:
            self._connections.discard(link)
            (other,) = link - {name}
            if not self.link_faults.link_state(name, other).is_blocked:
                self._schedule_on_link(name, other, partial(self._connection_lost, other, name))

    def _connection_lost(self, name: str, other: str) -> None:
        self._deliver(name, lambda node: node.membership.connection_lost(self._now_ms, other))

    def stop(self, name: str) -> None:
        """Ends the process as after SIGTERM: it announces that it leaves."""
        node = self.nodes[name]
        if node.is_running:
            node.membership.leave(self._now_ms)
            self._carry_out_actions(node)
            self.kill(name, is_announced=True)

    def _upgrade(self, node: Node) -> None:
        """Replaces the running process with a successor that takes over its state."""
        if node.membership.state is m.MemberState.JOINING:
            return
        rows, age_ms = node.membership.hand_over(), self._now_ms - node.membership.started_ms
        self._close_connections(node.name)
        node.membership, node.timer_due_s = self._make_member(node.name, rows[0].incarnation), math.inf
        node.membership.take_over(self._now_ms, rows, age_ms)

    @property
    def _now_ms(self) -> float:
        return self.now_s * 1000.0

    # --- Faults -------------------------------------------------------------------------------------------
    def _begin_fault(self, fault: Fault) -> None:
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
                    self._deliver(name, self._upgrade)
            case FaultKind.RESET:
                for link in list(self._connections):
                    one, other = link
                    if fault.affects_link(one, other) or fault.affects_link(other, one):
                        self._reset_connection(one, other)
            case FaultKind.DRAIN | FaultKind.UNDRAIN:
                pass  # the model has no servers
            case _:
                self.link_faults.faults.append(fault)

    def _end_fault(self, fault: Fault) -> None:
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
                for (source, target), deferred in list(self._stalled_events.items()):
                    if not self.link_faults.link_state(source, target).is_stalled:
                        del self._stalled_events[source, target]
                        for event in deferred:
                            self._schedule_on_link(source, target, event)

    def _resume(self, node: Node) -> None:
        node.is_paused = False
        deferred, node.deferred_events = node.deferred_events, []
        for event in deferred:
            event()
        self._tick(node, node.timer_due_s)

    def _reset_connection(self, one: str, other: str) -> None:
        self._connections.discard(frozenset((one, other)))
        self._connection_lost(one, other)
        self._connection_lost(other, one)

    # --- Messages -----------------------------------------------------------------------------------------
    def _deliver(self, name: str, event: Callable[[Node], None]) -> None:
        """Runs an event at a member, now or after its pause."""
        node = self.nodes.get(name)
        if node is None or not node.is_running:
            return
        if node.is_paused:
            node.deferred_events.append(lambda: self._deliver(name, event))
            return
        event(node)
        self._carry_out_actions(node)

    def _carry_out_actions(self, node: Node) -> None:
        for action in node.membership.take_actions():
            match action:
                case act.Send():
                    self._send_message(node, action)
                case act.MemberChanged():
                    self._record_observation(node.name, action.after)
                case act.CheckNameConflict():
                    self._check_name_conflict(node, action)
                case act.Terminate():
                    self.terminations.append((self.now_s, node.name, action.reason))
                    self.kill(node.name)
                case act.ProtocolViolation() | act.PauseDetected():
                    pass
        due_s = node.membership.next_timer_ms / 1000.0 + TIMER_ROUNDING_S
        if node.is_running and due_s < node.timer_due_s:
            node.timer_due_s = due_s
            if due_s < math.inf:
                self.schedule(due_s, lambda: self._tick(node, due_s))

    def _record_observation(self, observer: str, row: m.MemberRecord) -> None:
        if self._records_observations:
            self.observations.append(
                Observation(self.now_s, observer, row.name, row.incarnation, row.state.name.lower())
            )

    def _tick(self, node: Node, due_s: float) -> None:
        if node.timer_due_s != due_s or not node.is_running or node.is_paused:
            return
        node.timer_due_s = math.inf
        node.membership.tick(self._now_ms)
        self._carry_out_actions(node)

    def _schedule_on_link(self, source: str, target: str, event: Callable[[], None], delays: int = 1) -> None:
        """Schedules an event after the delay of a link, in order with earlier ones, as on a connection."""
        state = self.link_faults.link_state(source, target)
        if state.is_stalled:
            self._stalled_events.setdefault((source, target), []).append(event)
            return
        delay_s = (
            sum(self.rng.uniform(*ONE_WAY_DELAY_S) for _ in range(delays))
            + state.delay_s
            + self.rng.uniform(0, state.jitter_s)
        )
        arrival_s = max(self.now_s + delay_s, self._last_arrival_s.get((source, target), 0.0))
        self._last_arrival_s[source, target] = arrival_s
        self.schedule(arrival_s, event)

    def _send_message(self, node: Node, send: act.Send) -> None:
        source, target = node.name, send.address
        node.sent_messages[type(send.message).__name__] += 1
        node.sent_bytes += len(encode_frame(send.message))
        receiver = self.nodes.get(target)
        link = frozenset((source, target))
        outbound, inbound = (
            self.link_faults.link_state(source, target),
            self.link_faults.link_state(target, source),
        )
        delays = 1
        if link not in self._connections:
            if outbound.is_blocked or inbound.is_blocked:
                return  # no connection can be opened; the message is lost
            if receiver is None or not receiver.is_running:
                self._schedule_on_link(
                    target, source, partial(self._connection_refused, source, send.member), 2
                )
                return
            self._connections.add(link)
            delays = CONNECT_DELAYS
            self._schedule_on_link(source, target, partial(self._connected, target, source), 2)
            self._schedule_on_link(target, source, partial(self._connected, source, target), 2)
        if self.rng.random() >= outbound.loss_fraction:
            instance_id = receiver.membership.instance_id if receiver else 0
            self._schedule_on_link(
                source,
                target,
                lambda: self._message_received(target, instance_id, source, send.message),
                delays,
            )

    def _connected(self, name: str, other: str) -> None:
        self._deliver(name, lambda node: node.membership.member_connected(self._now_ms, other))

    def _connection_refused(self, name: str, other: str) -> None:
        self._deliver(name, lambda node: node.membership.connection_refused(self._now_ms, other))

    def _message_received(self, target: str, instance_id: int, source: str, message: m.Message) -> None:
        node = self.nodes.get(target)
        # A message for an earlier process is lost with its connection.
        if node and node.membership.instance_id == instance_id:
            self._deliver(
                target, lambda n: n.membership.message_received(self._now_ms, source, source, message)
            )

    def _check_name_conflict(self, node: Node, check: act.CheckNameConflict) -> None:
        other = self.nodes.get(check.address)
        if other is None or not other.is_running or other.is_paused or other is node:
            return
        instance_id, age = (
            other.membership.instance_id,
            (self.now_s - self._running_lifetimes[other.name].started_s) * 1000,
        )
        self.schedule(
            self.now_s + 0.002,
            lambda: self._deliver(
                node.name, lambda n: n.membership.name_conflict_found(self._now_ms, instance_id, age)
            ),
        )
