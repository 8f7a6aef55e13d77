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
from basaltpoint.rehearsal.events import Life, Saw
from basaltpoint.rehearsal.faults import Fault, Kind, Spoilt

TRIP_S = (0.0002, 0.002)  # one way, least and most: hosts of one site
CONNECT_TRIPS = 3  # one way each, for a connection and both greetings
ROUND_S = 1e-9  # a timer must not come before its time by rounding


@dataclass(slots=True)
class Node:
    """One member's process."""

    name: str
    peers: MembershipStateMachine
    up: bool = True
    paused: bool = False
    held: list[Callable[[], None]] = field(default_factory=list)  # what came while it was paused
    due: float = math.inf  # of the timer that is set
    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: int = 0


class Model:
    """`names` start at 0, one after the other within `spread_s`; the first three are everybody's seeds."""

    def __init__(
        self,
        names: Sequence[str],
        options: MembershipOptions = MembershipOptions(),  # noqa: B008 - it can't be changed
        faults: Sequence[Fault] = (),
        seed: int = 1,
        spread_s: float = 0.2,
        make: Callable[..., MembershipStateMachine] = MembershipStateMachine,
        record: bool = True,
    ) -> None:
        self.names, self.options, self.faults = list(names), options, list(faults)
        self.rng = random.Random(seed)
        self.now = 0.0
        self.nodes: dict[str, Node] = {}
        self.saws: list[Saw] = []
        self.lives: list[Life] = []
        self.spoilt = Spoilt()
        self.ended: list[tuple[float, str, str]] = []  # processes that gave up: when, who, why
        self._make, self._record = make, record
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._links: set[frozenset[str]] = set()
        self._stalled: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._arrives: dict[tuple[str, str], float] = {}
        self._began: dict[str, Life] = {}
        for name in self.names:
            self.at(self.rng.uniform(0.0, spread_s), partial(self.start, name))
        for fault in self.faults:
            self.at(fault.at_s, partial(self._begin, fault))
            if fault.end_s < math.inf:
                self.at(fault.end_s, partial(self._end, fault))

    # --- Time -------------------------------------------------------------------------------------------
    def at(self, when: float, what: Callable[[], None]) -> None:
        """Do something at a time, in seconds."""
        self._count += 1
        heapq.heappush(self._queue, (max(when, self.now), self._count, what))

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        self.now = until

    @property
    def all_lives(self) -> list[Life]:
        """Those that ended, and those that are there."""
        return self.lives + list(self._began.values())

    # --- Processes ----------------------------------------------------------------------------------------
    def start(self, name: str) -> None:
        first = 1000 + int(self._ms)
        self.nodes[name] = Node(name, self._member(name, first))
        self._began[name] = Life(name, self.now, math.inf, False, first)
        self._after(self.nodes[name])

    def _member(self, name: str, incarnation: int) -> MembershipStateMachine:
        seeds, life = [(other, other) for other in self.names[:3]], self.rng.getrandbits(53)
        return self._make(name, name, life, incarnation, seeds, self.options, self._fresh(), self._ms)

    def _fresh(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))

    def kill(self, name: str, told: bool = False) -> None:
        """The process is gone; the kernel ends its connections, where that can be heard."""
        node = self.nodes[name]
        if not node.up:
            return
        node.up = False
        self.lives.append(replace(self._began.pop(name), ended_s=self.now, told=told))
        self._unlink(name)

    def _unlink(self, name: str) -> None:
        """All connections of a process end."""
        for link in [link for link in self._links if name in link]:
            self._links.discard(link)
            (other,) = link - {name}
            if not self.spoilt.way(name, other).cut:
                self._later(name, other, partial(self._lost, other, name))

    def _lost(self, name: str, gone: str) -> None:
        self._call(name, lambda node: node.peers.connection_lost(self._ms, gone))

    def stop(self, name: str) -> None:
        """SIGTERM: it says that it goes."""
        node = self.nodes[name]
        if node.up:
            node.peers.leave(self._ms)
            self._after(node)
            self.kill(name, told=True)

    def _upgrade(self, node: Node) -> None:
        """A new process goes on in the place of the one that runs."""
        if node.peers.state is m.MemberState.JOINING:
            return
        rows, age_ms = node.peers.hand_over(), self._ms - node.peers.started_ms
        self._unlink(node.name)
        node.peers, node.due = self._member(node.name, rows[0].incarnation), math.inf
        node.peers.take_over(self._ms, rows, age_ms)

    @property
    def _ms(self) -> float:
        return self.now * 1000.0

    # --- Faults -------------------------------------------------------------------------------------------
    def _begin(self, fault: Fault) -> None:
        match fault.kind:
            case Kind.PAUSE:
                for name in fault.on:
                    self.nodes[name].paused = True
            case Kind.KILL | Kind.WIPE | Kind.PUTBACK:
                for name in fault.on:
                    self.kill(name)
            case Kind.STOP:
                for name in fault.on:
                    self.stop(name)
            case Kind.UPGRADE:
                for name in fault.on:
                    self._call(name, self._upgrade)
            case Kind.RESET:
                for link in list(self._links):
                    one, other = link
                    if fault.between(one, other) or fault.between(other, one):
                        self._reset(one, other)
            case Kind.DRAIN | Kind.UNDRAIN:
                pass  # the peers know nothing of servers
            case _:
                self.spoilt.faults.append(fault)

    def _end(self, fault: Fault) -> None:
        match fault.kind:
            case Kind.PAUSE:
                for name in fault.on:
                    self._resume(self.nodes[name])
            case Kind.KILL | Kind.WIPE | Kind.PUTBACK | Kind.STOP:
                for name in fault.on:
                    if not self.nodes[name].up:
                        self.start(name)
            case Kind.RESET | Kind.UPGRADE | Kind.DRAIN | Kind.UNDRAIN:
                pass
            case _:
                self.spoilt.faults.remove(fault)
                for (source, target), held in list(self._stalled.items()):
                    if not self.spoilt.way(source, target).stalled:
                        del self._stalled[source, target]
                        for what in held:
                            self._later(source, target, what)

    def _resume(self, node: Node) -> None:
        node.paused = False
        held, node.held = node.held, []
        for what in held:
            what()
        self._tick(node, node.due)

    def _reset(self, one: str, other: str) -> None:
        self._links.discard(frozenset((one, other)))
        self._lost(one, other)
        self._lost(other, one)

    # --- Messages -----------------------------------------------------------------------------------------
    def _call(self, name: str, what: Callable[[Node], None]) -> None:
        """An event at a member: now, or when it goes on."""
        node = self.nodes.get(name)
        if node is None or not node.up:
            return
        if node.paused:
            node.held.append(lambda: self._call(name, what))
            return
        what(node)
        self._after(node)

    def _after(self, node: Node) -> None:
        for action in node.peers.take_actions():
            match action:
                case act.Send():
                    self._sent(node, action)
                case act.MemberChanged():
                    self._saw(node.name, action.after)
                case act.CheckNameConflict():
                    self._rival(node, action)
                case act.Terminate():
                    self.ended.append((self.now, node.name, action.reason))
                    self.kill(node.name)
                case act.ProtocolViolation() | act.PauseDetected():
                    pass
        due = node.peers.next_timer_ms / 1000.0 + ROUND_S
        if node.up and due < node.due:
            node.due = due
            if due < math.inf:
                self.at(due, lambda: self._tick(node, due))

    def _saw(self, by: str, row: m.MemberRecord) -> None:
        if self._record:
            self.saws.append(Saw(self.now, by, row.name, row.incarnation, row.state.name.lower()))

    def _tick(self, node: Node, due: float) -> None:
        if node.due != due or not node.up or node.paused:
            return
        node.due = math.inf
        node.peers.tick(self._ms)
        self._after(node)

    def _later(self, source: str, target: str, what: Callable[[], None], trips: int = 1) -> None:
        """In order on one way, as a connection carries it."""
        way = self.spoilt.way(source, target)
        if way.stalled:
            self._stalled.setdefault((source, target), []).append(what)
            return
        took = (
            sum(self.rng.uniform(*TRIP_S) for _ in range(trips))
            + way.delay_s
            + self.rng.uniform(0, way.jitter_s)
        )
        when = max(self.now + took, self._arrives.get((source, target), 0.0))
        self._arrives[source, target] = when
        self.at(when, what)

    def _sent(self, node: Node, send: act.Send) -> None:
        source, target = node.name, send.address
        node.sent[type(send.message).__name__] += 1
        node.sent_bytes += len(encode_frame(send.message))
        there = self.nodes.get(target)
        link = frozenset((source, target))
        way, back = self.spoilt.way(source, target), self.spoilt.way(target, source)
        trips = 1
        if link not in self._links:
            if way.cut or back.cut:
                return  # no connection comes up; what waited for it is lost
            if there is None or not there.up:
                self._later(target, source, partial(self._refused, source, send.member), 2)
                return
            self._links.add(link)
            trips = CONNECT_TRIPS
            self._later(source, target, partial(self._linked, target, source), 2)
            self._later(target, source, partial(self._linked, source, target), 2)
        if self.rng.random() >= way.lost:
            life = there.peers.instance_id if there else 0
            self._later(source, target, lambda: self._came(target, life, source, send.message), trips)

    def _linked(self, name: str, other: str) -> None:
        self._call(name, lambda node: node.peers.member_connected(self._ms, other))

    def _refused(self, name: str, other: str) -> None:
        self._call(name, lambda node: node.peers.connection_refused(self._ms, other))

    def _came(self, target: str, life: int, source: str, message: m.Message) -> None:
        node = self.nodes.get(target)
        if node and node.peers.instance_id == life:  # else the connection ended with the process
            self._call(target, lambda n: n.peers.message_received(self._ms, source, source, message))

    def _rival(self, node: Node, ask: act.CheckNameConflict) -> None:
        other = self.nodes.get(ask.address)
        if other is None or not other.up or other.paused or other is node:
            return
        life, age = other.peers.instance_id, (self.now - self._began[other.name].began_s) * 1000
        self.at(
            self.now + 0.002,
            lambda: self._call(node.name, lambda n: n.peers.name_conflict_found(self._ms, life, age)),
        )
