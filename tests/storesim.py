"""Simulation of a cluster; one seed gives one run. Nodes and disks are the store's own code.

Network, clocks, disks and crashes are simulated: messages are lost, duplicated, reordered and delayed, one or
both directions of a connection are blocked, clock rates are up to a quarter off, a replica is paused, crashes
between any two writes, or restarts with a disk that lost a part of its unsynced data. Raft's safety
properties are asserted at every step.
"""

from __future__ import annotations

import contextlib
import heapq
import math
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from linear import Operation, violations

from basaltpoint.store import state_machine as kv
from basaltpoint.store import wire
from basaltpoint.store.messages import Entry, Member, Membership, Message
from basaltpoint.store.node import Node, StorageLimits
from basaltpoint.store.raft import RefusedError

FAULTS_MS = 8_000.0  # duration of the faults in a run
MAX_CONVERGENCE_MS = 30_000.0  # time in which the replicas must agree after the end of all faults
CLIENT_TIMEOUT_MS = 450.0  # after it, a client repeats its request at a random replica


class SimulatedCrash(BaseException):
    """The process ends at this point."""


@dataclass(slots=True)
class _File:
    data: bytearray = field(default_factory=bytearray)
    synced_bytes: int = 0
    unreliable_from: int | None = None  # a failed sync may have lost data from this offset on


class SimFiles:
    """A folder that loses unsynced data and file names, or a part of them, at a power failure."""

    def __init__(self) -> None:
        self.current_files: dict[str, _File] = {}
        self.durable_files: dict[str, _File] = {}
        self._unsynced_changes: list[Callable[[dict[str, _File]], object]] = []
        self.is_failing = False  # the disk is full or broken

    def _change_names(self, op: Callable[[dict[str, _File]], object]) -> None:
        op(self.current_files)
        self._unsynced_changes.append(op)

    def list_names(self) -> list[str]:
        return sorted(self.current_files)

    def read(self, name: str) -> bytes:
        return bytes(self.current_files[name].data)

    def append(self, name: str, data: bytes) -> None:
        if name not in self.current_files:
            made = _File()
            self._change_names(lambda names: names.update({name: made}))
        if self.is_failing:
            self.current_files[name].data += data[: len(data) // 2]  # a partial write
            raise OSError(28, "No space left on device")
        self.current_files[name].data += data

    def truncate(self, name: str, size: int) -> None:
        file = self.current_files[name]
        del file.data[size:]
        file.synced_bytes = min(file.synced_bytes, size)
        if file.unreliable_from is not None and file.unreliable_from >= size:
            file.unreliable_from = None
        if self.is_failing:
            raise OSError(5, "Input/output error")

    def sync(self, name: str) -> None:
        file = self.current_files[name]
        if self.is_failing:
            # The system reports the error once: a later sync succeeds even if these bytes never reach the
            # disk.
            if file.unreliable_from is None and file.synced_bytes < len(file.data):
                file.unreliable_from = file.synced_bytes
            raise OSError(5, "Input/output error")
        file.synced_bytes = len(file.data)

    def rename(self, old: str, new: str) -> None:
        file = self.current_files[old]

        def move(names: dict[str, _File]) -> None:
            names.pop(old, None)
            names[new] = file

        self._change_names(move)

    def remove(self, name: str) -> None:
        self._change_names(lambda names: names.pop(name, None))

    def sync_directory(self) -> None:
        self.durable_files, self._unsynced_changes = dict(self.current_files), []

    def lose_power(self, rng: random.Random) -> None:
        """Power failure: of the unsynced bytes a prefix remains, of the unsynced name changes any subset."""
        for op in self._unsynced_changes:
            if rng.random() < 0.5:
                op(self.durable_files)
        self.current_files, self._unsynced_changes = dict(self.durable_files), []
        for file in self.current_files.values():
            if file.unreliable_from is not None:
                if rng.random() < 0.5 and file.unreliable_from < len(file.data):
                    file.data[rng.randrange(file.unreliable_from, len(file.data))] ^= 0x20
                file.unreliable_from = None
            left = rng.randint(file.synced_bytes, len(file.data))
            del file.data[left:]
            if left > file.synced_bytes and rng.random() < 0.3:
                file.data[rng.randrange(file.synced_bytes, left)] ^= 0x40
            file.synced_bytes = len(file.data)

    def copy(self) -> SimFiles:
        """Returns a copy of the current files, to be put back later."""
        copied = SimFiles()
        copied.durable_files = {
            name: _File(bytearray(file.data), len(file.data)) for name, file in self.current_files.items()
        }
        copied.current_files = dict(copied.durable_files)
        return copied


@dataclass
class Host:
    """The host of one replica."""

    name: str
    files: SimFiles
    clock_rate: float
    node: Node | None = None
    is_paused: bool = False
    deferred: list[Callable[[], None]] = field(default_factory=list)  # actions that arrived during a pause
    incarnation: int = 0  # counts process starts and ends
    may_be_stale: bool = False


@dataclass
class Faults:
    """Probabilities of faults, from 0 to 1 for each message or step."""

    loss_rate: float = 0.03
    duplicate_rate: float = 0.02
    crash_rate: float = 0.003  # at each crash point
    has_events: bool = True  # partitions, pauses, crashes, full disks, transfers and membership changes


class SimulatedClient:
    """Sends one operation after another and records the history."""

    def __init__(self, sim: ClusterSimulation, name: str) -> None:
        self.sim, self.name = sim, name
        self.session = self.number = 0
        self.write_count = 0
        self.last_read: dict[str, tuple[str | None, int]] = {}  # key -> value and revision that it last read
        self.attempt_number = 0

    def start(self) -> None:
        self._command(kv.OpenSession(), self._opened)

    def _opened(self, result: kv.Result) -> None:
        if result.ident:
            self.session, self.number = result.ident, 0
            self.schedule_next()
        else:
            self.sim.schedule(50, self.start)

    def schedule_next(self) -> None:
        if self.sim.now_ms > self.sim.faults_end_ms:
            return
        self.sim.schedule(self.sim.rng.uniform(1, 30), self._choose)

    def _choose(self) -> None:
        rng, key = self.sim.rng, f"k{self.sim.rng.randrange(3)}"
        self.write_count += 1
        value = f"{self.name}.{self.write_count}"
        kind = rng.choice(("read", "read", "write", "swap"))
        if kind == "read" or (kind == "swap" and key not in self.last_read):
            self._read(key)
            return
        old, revision = self.last_read.get(key, (None, 0))
        checks = (kv.Check(key, revision),) if kind == "swap" else ()
        txn = kv.Transaction(checks, (kv.Put(key, value.encode()),))
        start = self.sim.now_ms

        def completed(result: kv.Result) -> None:
            if result.error in ("", "check"):
                self.sim.history.append(
                    Operation(key, kind, value, start, self.sim.now_ms, old, result.error == "")
                )
                self.last_read.pop(key, None)
                self.schedule_next()
            else:  # its session has ended: the outcome is unknown
                self.sim.history.append(Operation(key, kind, value, start, math.inf, old, None))
                self.start()

        pending = Operation(key, kind, value, start, math.inf, old, None)
        self.sim.open_operations[self.name] = pending
        self._command(txn, completed)

    def _command(self, action: kv.Action, completed: Callable[[kv.Result], None]) -> None:
        """Retries at random replicas until a response arrives; the session prevents a second execution."""
        opening = isinstance(action, kv.OpenSession)
        if not opening:
            self.number += 1
        command = kv.Command(action, 0 if opening else self.session, 0 if opening else self.number)
        is_completed = False

        def receive(result: kv.Result | None, attempt_number: int) -> None:
            nonlocal is_completed
            if is_completed or (result is None and attempt_number != self.attempt_number):
                return
            if result is None:
                retry()
                return
            is_completed = True
            self.sim.open_operations.pop(self.name, None)
            completed(result)

        def retry() -> None:
            self.sim.schedule(self.sim.rng.uniform(5, 60), attempt)

        def attempt() -> None:
            if is_completed:
                return
            self.attempt_number += 1
            this_attempt = self.attempt_number
            self.sim.call_any_replica(
                lambda node, now, back: node.propose(now, command, back), lambda r: receive(r, this_attempt)
            )
            self.sim.schedule(
                CLIENT_TIMEOUT_MS,
                lambda: attempt() if not is_completed and this_attempt == self.attempt_number else None,
            )

        attempt()

    def _read(self, key: str) -> None:
        start = self.sim.now_ms
        is_completed = False

        def completed(value: Any) -> None:
            nonlocal is_completed
            if is_completed:
                return
            is_completed = True
            if value is not None:
                found, _ = value
                self.last_read[key] = value
                self.sim.history.append(Operation(key, "read", found, start, self.sim.now_ms))
            self.schedule_next()

        def start_read(node: Node, now: float, respond: Callable[[Any], None]) -> None:
            def complete(is_current: bool) -> None:
                value = node.state_machine.state.values.get(key)
                respond(
                    (value.value.decode(), value.modified_revision) if value else (None, 0)
                ) if is_current else respond(None)

            node.read(now, complete)

        self.sim.call_any_replica(start_read, completed)
        self.sim.schedule(CLIENT_TIMEOUT_MS, lambda: completed(None))


class ClusterSimulation:
    """One run of a simulated cluster."""

    def __init__(
        self,
        seed: int,
        size: int = 3,
        faults: Faults | None = None,
        faults_end_ms: float = FAULTS_MS,
        clients: int = 6,
    ) -> None:
        self.seed, self.size = seed, size
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.now_ms, self.faults_end_ms = 0.0, faults_end_ms
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.blocked_links: set[tuple[str, str]] = set()
        self.history: list[Operation] = []
        self.open_operations: dict[str, Operation] = {}
        self.leader_by_term: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self.steps = self.added_host_count = 0
        self.log: list[str] = []
        self.hosts: dict[str, Host] = {}
        self.initial = Membership(tuple(Member(f"n{at}", f"host{at}:1") for at in range(size)))
        for member in self.initial.members:
            self.add_host(member.name)
        self.clients = [SimulatedClient(self, f"c{at}") for at in range(clients)]

    # --- Time and network --------------------------------------------------------------------------
    def schedule(self, ms: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._queue, (self.now_ms + ms, self._count, action))

    def local_time(self, host: Host) -> float:
        return self.now_ms * host.clock_rate

    def send(self, sender: Host, receiver: str, message: Message) -> None:
        raw, incarnation = wire.encode(message), sender.incarnation
        for _ in range(2 if self.rng.random() < self.faults.duplicate_rate else 1):
            if self.rng.random() < self.faults.loss_rate or receiver not in self.hosts:
                continue
            delay = self.rng.uniform(0.3, 5) if self.rng.random() < 0.95 else self.rng.uniform(20, 400)
            self.schedule(delay, lambda: self._deliver(sender, incarnation, receiver, raw))

    def _deliver(self, sender: Host, incarnation: int, receiver: str, raw: bytes) -> None:
        # A connection closes with its process.
        if (sender.name, receiver) in self.blocked_links or sender.incarnation != incarnation:
            return
        self.run_on(
            self.hosts[receiver], lambda node, now: node.step(now, sender.name, wire.decode_message(raw))
        )

    def run_on(self, host: Host, action: Callable[[Node, float], None]) -> None:
        """Runs an action on a replica, or after its pause if it is paused."""
        if host.is_paused:
            incarnation = host.incarnation
            host.deferred.append(
                lambda: self.run_on(host, action) if host.incarnation == incarnation else None
            )
            return
        if host.node is None:
            return
        try:
            action(host.node, self.local_time(host))
            host.node.process_output()
        except SimulatedCrash:
            self.crash(host)
        self._check_safety(host)

    def call_any_replica(self, call_replica: Callable[..., None], respond: Callable[[Any], None]) -> None:
        """Calls a random replica for a client, with delays; the response may be lost."""
        host = self.hosts[self.rng.choice(sorted(self.hosts))]

        def call(node: Node, now: float) -> None:
            def answer(result: Any) -> None:
                if self.rng.random() >= self.faults.loss_rate * 2:
                    self.schedule(self.rng.uniform(0.3, 5), lambda: respond(result))

            try:
                call_replica(node, now, answer)
            except RefusedError:
                answer(None)

        self.schedule(self.rng.uniform(0.3, 5), lambda: self.run_on(host, call))

    # --- Replicas ------------------------------------------------------------------------------------
    def add_host(self, name: str) -> Host:
        host = Host(name, SimFiles(), self.rng.uniform(0.8, 1.25))
        self.hosts[name] = host
        self.start(host)
        return host

    def start(self, host: Host) -> None:
        host.incarnation += 1
        host.is_paused = False
        initial = self.initial if any(m.name == host.name for m in self.initial.members) else None
        try:
            host.node = Node(
                host.name,
                host.files,
                random.Random(self.rng.random()),
                self.local_time(host),
                lambda to, message: self.send(host, to, message),
                limits=StorageLimits(snapshot_entries=25),
                initial=initial,
                may_be_stale=host.may_be_stale,
                crash_point=lambda name: self._reach_crash_point(host, name),
            )
        except (SimulatedCrash, OSError):  # the start is retried
            self.crash(host)
            return
        host.may_be_stale = False
        self._tick_regularly(host, host.incarnation)

    def _tick_regularly(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation or host.node is None:
            return
        if not host.is_paused:
            self.run_on(host, lambda node, now: node.tick(now))
        self.schedule(self.rng.uniform(3, 12), lambda: self._tick_regularly(host, incarnation))

    def _reach_crash_point(self, host: Host, name: str) -> None:
        if (
            self.faults.crash_rate
            and self.now_ms < self.faults_end_ms
            and self.rng.random() < self.faults.crash_rate
        ):
            self.log.append(f"{self.now_ms:.0f} {host.name} crashes at {name}")
            raise SimulatedCrash

    def crash(self, host: Host) -> None:
        host.node, host.is_paused = None, False
        host.deferred.clear()
        host.files.lose_power(self.rng)
        host.incarnation += 1
        incarnation = host.incarnation
        self.schedule(
            self.rng.uniform(20, 2500), lambda: self.start(host) if host.incarnation == incarnation else None
        )

    def resume(self, host: Host) -> None:
        host.is_paused = False
        waiting, host.deferred = host.deferred, []
        for action in waiting:
            action()

    @property
    def leader(self) -> Host | None:
        leading = [host for host in self.hosts.values() if host.node and host.node.is_leader]
        return max(leading, key=lambda host: host.node.raft.hard_state.term if host.node else 0, default=None)

    # --- Fault injection --------------------------------------------------------------------------------
    def _inject_fault(self) -> None:
        if self.now_ms >= self.faults_end_ms:
            return
        rng = self.rng
        host = self.hosts[rng.choice(sorted(self.hosts))]
        if (leader := self.leader) and rng.random() < 0.5:
            host = leader
        others = [name for name in sorted(self.hosts) if name != host.name]
        match rng.choice(
            (
                "crash",
                "crash",
                "isolated",
                "receives nothing",
                "sends nothing",
                "pause",
                "partition",
                "heal",
                "full disk",
                "transfer",
                "members",
            )
        ):
            case "crash" if host.node:
                self.log.append(f"{self.now_ms:.0f} {host.name} crashes")
                self.crash(host)
            case "isolated":
                self.blocked_links |= {(host.name, name) for name in others} | {
                    (name, host.name) for name in others
                }
            case "receives nothing":
                self.blocked_links |= {(name, host.name) for name in others}
            case "sends nothing":
                self.blocked_links |= {(host.name, name) for name in others}
            case "partition":
                half = set(rng.sample(sorted(self.hosts), len(self.hosts) // 2))
                pairs = {(a, b) for a in self.hosts for b in self.hosts if (a in half) != (b in half)}
                self.blocked_links |= pairs
            case "pause" if host.node and not host.is_paused:
                host.is_paused = True
                incarnation = host.incarnation
                self.schedule(
                    rng.uniform(50, 2500),
                    lambda: self.resume(host) if host.incarnation == incarnation else None,
                )
            case "full disk" if host.node:
                host.files.is_failing = True
                self.schedule(rng.uniform(50, 800), lambda: self._end_disk_fault(host))
            case "transfer" if leader and leader.node and others:
                target = rng.choice(others)
                self.run_on(
                    leader,
                    lambda node, now: _ignore_refusal(lambda: node.raft.transfer_leadership(now, target)),
                )
            case "members" if leader and leader.node:
                self._change_membership(leader)
            case _:
                self.blocked_links.clear()
        if rng.random() < 0.35:
            self.blocked_links.clear()
        self.schedule(rng.uniform(100, 900), self._inject_fault)

    def _change_membership(self, leader: Host) -> None:
        """Proposes to add a learner, promote one, or remove a member; the leader may refuse."""
        assert leader.node
        membership = list(leader.node.raft.membership.members)
        learners = [at for at, member in enumerate(membership) if not member.voter]
        if learners:
            at = self.rng.choice(learners)
            membership[at] = Member(membership[at].name, membership[at].address)
        elif len(membership) > self.size or self.rng.random() < 0.3:
            if len(membership) > 2:
                del membership[self.rng.randrange(len(membership))]
        else:
            self.added_host_count += 1
            membership.append(Member(self.add_host(f"x{self.added_host_count}").name, "", voter=False))
        membership = Membership(tuple(membership))
        self.run_on(
            leader,
            lambda node, now: _ignore_refusal(
                lambda: node.change_membership(now, membership, lambda result: None)
            ),
        )

    def _end_disk_fault(self, host: Host) -> None:
        host.files.is_failing = False
        if host.node and host.node.failure and self.rng.random() < 0.3:  # an operator restarts it
            self.crash(host)

    # --- Properties (Ongaro, figure 3.2) ------------------------------------------------------------------
    def _check_safety(self, host: Host) -> None:
        node = host.node
        if node is None:
            return
        raft = node.raft
        if node.is_leader:
            term = raft.hard_state.term
            first = self.leader_by_term.setdefault(term, host.name)
            assert first == host.name, f"two leaders in term {term}"
            if getattr(node, "checked", 0) != term:
                node.checked = term  # type: ignore[attr-defined]
                for index, entry in self.committed.items():
                    if index > raft.log.snapshot.index:
                        assert raft.log.term_at(index) == entry.term, (
                            f"leader {host.name} lacks entry {index}"
                        )
        start = max(getattr(node, "seen", 0), raft.log.snapshot.index)
        if raft.applied_index > start and start >= raft.log.base_index:
            for entry in raft.log.entries_after(start, last=raft.applied_index):
                known = self.committed.setdefault(entry.index, entry)
                assert known == entry, f"{host.name} applied another entry {entry.index}"
        node.seen = raft.applied_index  # type: ignore[attr-defined]
        self.steps += 1

    def _check_log_matching(self) -> None:
        nodes = [host.node for host in self.hosts.values() if host.node]
        for one in nodes:
            for other in nodes:
                a, b = one.raft.log, other.raft.log
                low, high = max(a.base_index, b.base_index), min(a.last_index, b.last_index)
                agreed = max((i for i in range(low, high + 1) if a.term_at(i) == b.term_at(i)), default=low)
                assert all(a.term_at(i) == b.term_at(i) for i in range(low + 1, agreed + 1)), (
                    "logs differ before a matching entry"
                )

    # --- The run ----------------------------------------------------------------------------------------
    def run(self) -> None:
        """Runs with faults, then without. AssertionError if a property is violated."""
        for client in self.clients:
            client.start()
        if self.faults.has_events:
            self.schedule(500, self._inject_fault)
        self.run_until(lambda: self.now_ms >= self.faults_end_ms)
        self.end_faults()
        self.run_until(self.has_converged, MAX_CONVERGENCE_MS)
        assert self.has_converged(), "the replicas do not converge after the end of all faults"
        self.check_final_state()

    def end_faults(self) -> None:
        """Ends all faults."""
        self.faults = Faults(0, 0, 0, False)
        self.blocked_links.clear()
        for host in self.hosts.values():
            host.files.is_failing = False
            if host.is_paused:
                self.resume(host)
            if host.node is None:
                self.crash(host)

    def run_until(self, condition: Callable[[], bool], max_ms: float = math.inf) -> None:
        end, last_check_ms = self.now_ms + max_ms, 0.0
        while self._queue and not condition() and self.now_ms < end:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
            if self.now_ms - last_check_ms > 100:
                last_check_ms = self.now_ms
                self._check_log_matching()

    def has_converged(self) -> bool:
        """Whether all members are up and have applied the whole log, and no client waits."""
        leader = self.leader
        if self.open_operations or leader is None or leader.node is None:
            return False
        raft = leader.node.raft
        for name in raft.membership.names:
            node = self.hosts[name].node
            if (
                node is None
                or node.raft.applied_index != raft.log.last_index
                or node.raft.hard_state.recovering
            ):
                return False
        return raft.applied_index == raft.log.last_index

    def check_final_state(self) -> None:
        leader = self.leader
        assert leader and leader.node
        states = [
            host.node.state_machine.state
            for name, host in sorted(self.hosts.items())
            if host.node and name in leader.node.raft.membership.names
        ]
        assert all(state == states[0] for state in states), "replicas hold different states"
        self._check_log_matching()
        violating_keys = violations([*self.history, *self.open_operations.values()])
        assert not violating_keys, f"the history is not linearizable for the keys {violating_keys}"


def _ignore_refusal(action: Callable[[], Any]) -> None:
    with contextlib.suppress(RefusedError):
        action()


def run_seed(seed: int, size: int) -> ClusterSimulation:
    """Runs one seed; a failure states how to repeat it."""
    sim = ClusterSimulation(seed, size)
    try:
        sim.run()
    except Exception as error:
        again = f"def test_seed_{seed}_of_{size}() -> None:\n    run_seed({seed}, {size})"
        raise AssertionError(f"{error}\n\n{again}\n\nor: python tests/storesim.py {size} {seed}") from error
    return sim


def main(argv: list[str]) -> int:
    """Runs a range of seeds: `storesim.py SIZE FIRST [LAST]`."""
    size, first = int(argv[0]), int(argv[1])
    last = int(argv[2]) if len(argv) > 2 else first
    ops = steps = failed = 0
    for seed in range(first, last + 1):
        try:
            sim = run_seed(seed, size)
            ops, steps = ops + len(sim.history), steps + sim.steps
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {error}", flush=True)
            if first == last:
                raise
    print(f"{last - first + 1} seeds of {size} replicas: {steps} steps, {ops} operations, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
