"""Replication: laws of merging; copies in virtual time over links with loss, duplicates and partitions."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basaltpoint.replication import kinds, row_table, rows
from basaltpoint.replication.kinds import Drain, Kind
from basaltpoint.replication.row_table import OwnerRows, RowTable
from basaltpoint.replication.rows import Delta, Entry, Owner, VersionVector
from basaltpoint.replication.state_machine import (
    ProtocolViolation,
    ReplicationOptions,
    ReplicationStateMachine,
    RowChanged,
    Send,
)

A, B = Owner("a", 1), Owner("b", 1)


class SimulatedNetwork:
    """Copies on links with 0.2 to 2 ms latency; `delivers` says whether messages pass from one to another."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.rng, self.now, self.loss = random.Random(seed), 0.0, loss
        self.names = [f"l{at}" for at in range(count)]
        self.delivers: Callable[[str, str], bool] = lambda source, target: True
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.first_seen_ms: dict[tuple[str, int, str], float] = {}  # by member, kind and key
        self.sent_bytes = 0
        self.copies = {name: self._copy(name, 1) for name in self.names}
        for name in self.names:
            self._run_actions(name)

    def _copy(self, name: str, epoch: int) -> ReplicationStateMachine:
        at, size = self.names.index(name), len(self.names)
        ring = [self.names[(at + (1 << step)) % size] for step in range((size - 1).bit_length())]
        others = [other for other in self.names if other != name]
        rng = random.Random(self.rng.getrandbits(32))
        return ReplicationStateMachine(
            Owner(name, epoch), ReplicationOptions(), rng, self.now, lambda: ring, lambda: others
        )

    def restart(self, name: str) -> None:
        """Kills a member and starts it without rows, under a later epoch."""
        self.copies[name] = self._copy(name, self.copies[name].owner.epoch + 1)
        self._run_actions(name)

    def schedule(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._count), event))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._queue and self._queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        self.now = end

    def call(self, name: str, action: Callable[[ReplicationStateMachine], object]) -> None:
        action(self.copies[name])
        self._run_actions(name)

    def _run_actions(self, name: str) -> None:
        copy = self.copies[name]
        for action in copy.take_actions():
            match action:
                case Send():
                    self._deliver(name, action)
                case RowChanged():
                    self.first_seen_ms.setdefault((name, action.kind, action.key), self.now)
                case ProtocolViolation():
                    raise AssertionError(action)
        due = copy.next_timer_ms
        self.schedule(max(due, self.now), lambda: self._tick(name, copy, due))

    def _tick(self, name: str, copy: ReplicationStateMachine, due: float) -> None:
        if self.copies[name] is copy and copy.next_timer_ms == due:
            copy.tick(self.now + 1e-6)
            self._run_actions(name)

    def _deliver(self, name: str, send: Send) -> None:
        raw = msgspec.msgpack.encode(send.message)
        self.sent_bytes += len(raw)
        if self.rng.random() < self.loss or not self.delivers(name, send.member):
            return
        message = msgspec.msgpack.decode(raw, type=Delta | VersionVector)
        for _ in range(1 + (self.rng.random() < self.loss)):  # some are duplicated
            self.schedule(
                self.now + self.rng.uniform(0.2, 2.0),
                lambda: self.call(send.member, lambda copy: copy.message_received(self.now, name, message)),
            )

    def has_converged(self) -> bool:
        """Whether all copies hold the same rows and have the same digest."""
        distinct_rows = {
            tuple(sorted((owner, tuple(sorted(map(msgspec.structs.astuple, owned)))) for owner, owned in
                         copy.table.owners.items() if len(owned)))
            for copy in self.copies.values()
        }  # fmt: skip
        return len(distinct_rows) == 1 and len({copy.table.digest() for copy in self.copies.values()}) == 1


# --- Merging -----------------------------------------------------------------------------------------------
CHANGES = st.lists(st.tuples(st.sampled_from("xyz"), st.booleans()), min_size=1, max_size=12)


@given(CHANGES, st.randoms(use_true_random=False))
def test_owner_rows_are_independent_of_order_and_repetition(
    changes: list[tuple[str, bool]], rng: random.Random
) -> None:
    entries = [Entry(1, key, at + 1, b"%d" % flag) for at, (key, flag) in enumerate(changes)]
    expected, actual = OwnerRows(), OwnerRows()
    for entry in entries:
        expected.put(entry)
    shuffled = entries + rng.choices(entries, k=5)
    rng.shuffle(shuffled)
    for entry in shuffled:
        actual.put(entry)
    assert (
        sorted(expected, key=lambda e: e.count)
        == sorted(actual, key=lambda e: e.count)
        == expected.changes_after(0)[0]
    )


@given(
    st.lists(st.builds(Drain, st.integers(0, 3), st.booleans()), max_size=5),
    st.randoms(use_true_random=False),
)
def test_merged_drain_is_independent_of_order(drains: list[Drain], rng: random.Random) -> None:
    entries = [Entry(1, "s", at + 1, msgspec.msgpack.encode(drain)) for at, drain in enumerate(drains)]
    expected = kinds.merge_drains(entries)
    rng.shuffle(entries)
    assert kinds.merge_drains(entries + entries[:2]) == expected
    assert not drains or (expected.generation == max(w.generation for w in drains) and expected in drains)
    assert expected.draining == any(w.draining for w in drains if w.generation == expected.generation)


def test_copy_advances_only_after_the_whole_series_of_deltas(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """x is changed first and last, so the first of two deltas lacks it and covers 3 of 4 changes."""
    monkeypatch.setattr(row_table, "MAX_DELTA_ENTRIES", 2)
    source, receiver = (
        ReplicationStateMachine(o, ReplicationOptions(), random.Random(1), 0.0, lambda: (), lambda: ())
        for o in (A, B)
    )
    for key in ("x", "y", "z", "x"):
        source.put_own_row(0.0, Kind.DRAIN, key, b"1")
    first, second = source._deltas_after(A, 0)
    assert [entry.key for entry in first.entries] == ["y", "z"] and (first.up_to, first.final_up_to) == (3, 4)
    receiver.message_received(0.0, "a", first)
    assert receiver.table.owner_rows(A).up_to == 0
    receiver.take_actions()
    receiver.message_received(0.0, "a", second)
    assert receiver.table.owner_rows(A).up_to == 4 and not [
        a for a in receiver.take_actions() if isinstance(a, Send)
    ]
    other = ReplicationStateMachine(
        Owner("c", 1), ReplicationOptions(), random.Random(1), 0.0, lambda: (), lambda: ()
    )
    other.message_received(0.0, "a", second)  # the first delta was lost and is requested
    assert other.table.owner_rows(A).up_to == 0
    assert Send("a", VersionVector((), 0, ((A, 0, 0),), True)) in other.take_actions()


# --- Copies over links -----------------------------------------------------------------------------------
@pytest.mark.parametrize("count", [3, 12, 40, 200])
def test_change_reaches_all_members_in_logarithmic_time(count: int) -> None:
    net = SimulatedNetwork(count)
    net.run(50.0)
    began = net.now
    net.call("l1", lambda copy: copy.set_drain(net.now, "s1", True))
    net.run(1_000.0)
    latencies_ms = [net.first_seen_ms[name, Kind.DRAIN, "s1"] - began for name in net.names]
    assert max(latencies_ms) <= 13.0 * count.bit_length()
    net.run(5_000.0)
    assert net.has_converged()


@pytest.mark.parametrize("count", [3, 12, 40])
@pytest.mark.parametrize("seed", range(4))
def test_copies_converge_after_loss_partitions_and_restarts(count: int, seed: int) -> None:
    net, rng = SimulatedNetwork(count, seed, 0.2), random.Random(seed)
    half = set(net.names[: count // 2])
    net.delivers = lambda source, target: (source in half) == (target in half)
    for _ in range(60):
        name = rng.choice(net.names)
        if rng.random() < 0.1:
            net.restart(name)
        else:
            server, flag = f"s{rng.randrange(6)}", rng.random() < 0.5
            net.call(name, lambda copy, s=server, f=flag: copy.set_drain(net.now, s, f))  # type: ignore[misc]
        net.run(rng.uniform(0.0, 400.0))
    net.delivers, net.loss = lambda source, target: True, 0.05
    for _ in range(60):
        net.run(1_000.0)
        if net.has_converged():
            break
    assert net.has_converged() and len({copy.draining_servers() for copy in net.copies.values()}) == 1


def test_drain_wins_over_a_concurrent_undrain_in_a_partition() -> None:
    net = SimulatedNetwork(5)
    net.call("l0", lambda copy: copy.set_drain(net.now, "s1", True))
    net.run(500.0)
    half = {"l0", "l1"}
    net.delivers = lambda source, target: (source in half) == (target in half)
    net.call("l0", lambda copy: copy.set_drain(net.now, "s1", False))
    net.run(100.0)
    net.call("l0", lambda copy: copy.set_drain(net.now, "s1", True))
    net.call("l4", lambda copy: copy.set_drain(net.now, "s1", False))
    net.run(2_000.0)
    assert "s1" in net.copies["l1"].draining_servers() and "s1" not in net.copies["l3"].draining_servers()
    net.delivers = lambda source, target: True
    net.run(5_000.0)
    assert net.has_converged() and all(copy.draining_servers() == {"s1"} for copy in net.copies.values())


def test_rows_of_a_killed_member_survive_and_return_to_it() -> None:
    net = SimulatedNetwork(5)
    net.call("l2", lambda copy: copy.set_drain(net.now, "s1", True))
    net.run(15.0)  # enough for one push
    net.restart("l2")
    net.run(5_000.0)
    assert net.has_converged() and net.copies["l2"].draining_servers() == {"s1"}


def test_unknown_kinds_are_replicated_and_invalid_rows_reported() -> None:
    net = SimulatedNetwork(3)
    net.call("l0", lambda copy: copy.put_own_row(net.now, 99, "k", b"v"))
    net.run(3_000.0)
    assert net.has_converged() and all(list(copy.table.rows(99, "k")) for copy in net.copies.values())
    copy = net.copies["l1"]
    for wrong in (Entry(1, "k" * 999, 1, b""), Entry(1, "k", 0, b""), Entry(1, "k", 1, b"x" * 9999)):
        copy.message_received(net.now, "l0", Delta((), Owner("l0", 9), 0, 1, 1, (wrong,)))
        assert [type(action) for action in copy.take_actions()] == [ProtocolViolation]
    # A received row that this process owns changes nothing: only its owner changes it.
    copy.message_received(net.now, "l0", Delta((), copy.owner, 0, 7, 7, (Entry(1, "s", 7, b""),)))
    assert not copy.take_actions() and not copy.draining_servers()
    assert rows.validation_error(Owner("", 1), Entry(1, "k", 1, b""))
    net.call("l0", lambda copy: copy.put_own_row(net.now, Kind.DRAIN, "s", b"\xc1"))
    assert [entry.key for _, entry in net.copies["l0"].unreadable_rows()] == ["s"]


@settings(max_examples=20, deadline=None)
@given(st.integers(0, 2**32))
def test_one_exchange_makes_two_copies_equal(seed: int) -> None:
    """Two copies with different rows of five owners are equal after one exchange of version vectors."""
    rng = random.Random(seed)
    copies = [
        ReplicationStateMachine(
            Owner(n, 1), ReplicationOptions(), random.Random(1), 0.0, lambda: (), lambda: ()
        )
        for n in "ab"
    ]
    for at in range(5):
        source = ReplicationStateMachine(
            Owner(f"o{at}", 1), ReplicationOptions(), random.Random(1), 0.0, lambda: (), lambda: ()
        )
        for _ in range(rng.randrange(1, 8)):
            source.put_own_row(0.0, 1, rng.choice("xyz"), b"1")
            for copy in copies:
                if rng.random() < 0.3:
                    for delta in source._deltas_after(
                        source.owner, copy.table.owner_rows(source.owner).up_to
                    ):
                        copy.message_received(0.0, source.owner.name, delta)
    for copy in copies:
        copy.take_actions()
    pending = [(0, VersionVector((), copies[1].table.digest()))]
    while pending:
        at, message = pending.pop(0)
        copies[at].message_received(0.0, "ba"[at], message)
        pending += [(1 - at, a.message) for a in copies[at].take_actions() if isinstance(a, Send)]  # type: ignore[misc]
    tables: list[RowTable] = [copy.table for copy in copies]
    assert tables[0].version_vector() == tables[1].version_vector()
    assert all(
        sorted(map(repr, tables[0].owner_rows(o))) == sorted(map(repr, tables[1].owner_rows(o)))
        for o in tables[0].owners
    )
