"""Copies that merge: laws of the joins, and copies in virtual time over links that lose, double and split."""

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


class Net:
    """Copies on links of 0.2 to 2 ms; `passes` says whether a message from one to another does."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.rng, self.now, self.loss = random.Random(seed), 0.0, loss
        self.names = [f"l{at}" for at in range(count)]
        self.passes: Callable[[str, str], bool] = lambda source, target: True
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.seen: dict[tuple[str, int, str], float] = {}  # who knew of a thing, and when first
        self.sent_bytes = 0
        self.copies = {name: self._copy(name, 1) for name in self.names}
        for name in self.names:
            self._after(name)

    def _copy(self, name: str, epoch: int) -> ReplicationStateMachine:
        at, size = self.names.index(name), len(self.names)
        ring = [self.names[(at + (1 << step)) % size] for step in range((size - 1).bit_length())]
        others = [other for other in self.names if other != name]
        rng = random.Random(self.rng.getrandbits(32))
        return ReplicationStateMachine(
            Owner(name, epoch), ReplicationOptions(), rng, self.now, lambda: ring, lambda: others
        )

    def restart(self, name: str) -> None:
        """Killed, and back with nothing, under a later epoch."""
        self.copies[name] = self._copy(name, self.copies[name].owner.epoch + 1)
        self._after(name)

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._count), what))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._queue and self._queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self._queue)
            what()
        self.now = end

    def do(self, name: str, what: Callable[[ReplicationStateMachine], object]) -> None:
        what(self.copies[name])
        self._after(name)

    def _after(self, name: str) -> None:
        copy = self.copies[name]
        for action in copy.take_actions():
            match action:
                case Send():
                    self._sent(name, action)
                case RowChanged():
                    self.seen.setdefault((name, action.kind, action.key), self.now)
                case ProtocolViolation():
                    raise AssertionError(action)
        due = copy.next_timer_ms
        self.at(max(due, self.now), lambda: self._tick(name, copy, due))

    def _tick(self, name: str, copy: ReplicationStateMachine, due: float) -> None:
        if self.copies[name] is copy and copy.next_timer_ms == due:
            copy.tick(self.now + 1e-6)
            self._after(name)

    def _sent(self, name: str, send: Send) -> None:
        raw = msgspec.msgpack.encode(send.message)
        self.sent_bytes += len(raw)
        if self.rng.random() < self.loss or not self.passes(name, send.member):
            return
        message = msgspec.msgpack.decode(raw, type=Delta | VersionVector)
        for _ in range(1 + (self.rng.random() < self.loss)):  # some come twice
            self.at(
                self.now + self.rng.uniform(0.2, 2.0),
                lambda: self.do(send.member, lambda copy: copy.message_received(self.now, name, message)),
            )

    def same(self) -> bool:
        """Whether all copies hold the same rows, and know it."""
        held = {
            tuple(sorted((owner, tuple(sorted(map(msgspec.structs.astuple, owned)))) for owner, owned in
                         copy.table.owners.items() if len(owned)))
            for copy in self.copies.values()
        }  # fmt: skip
        return len(held) == 1 and len({copy.table.digest() for copy in self.copies.values()}) == 1


# --- Joins -------------------------------------------------------------------------------------------------
CHANGES = st.lists(st.tuples(st.sampled_from("xyz"), st.booleans()), min_size=1, max_size=12)


@given(CHANGES, st.randoms(use_true_random=False))
def test_a_shelf_is_the_same_whatever_the_order_and_number_of_its_changes(
    changes: list[tuple[str, bool]], rng: random.Random
) -> None:
    entries = [Entry(1, key, at + 1, b"%d" % flag) for at, (key, flag) in enumerate(changes)]
    want, got = OwnerRows(), OwnerRows()
    for entry in entries:
        want.put(entry)
    shuffled = entries + rng.choices(entries, k=5)
    rng.shuffle(shuffled)
    for entry in shuffled:
        got.put(entry)
    assert (
        sorted(want, key=lambda e: e.count) == sorted(got, key=lambda e: e.count) == want.changes_after(0)[0]
    )


@given(
    st.lists(st.builds(Drain, st.integers(0, 3), st.booleans()), max_size=5),
    st.randoms(use_true_random=False),
)
def test_what_wins_of_drains_does_not_hang_on_their_order(words: list[Drain], rng: random.Random) -> None:
    entries = [Entry(1, "s", at + 1, msgspec.msgpack.encode(word)) for at, word in enumerate(words)]
    want = kinds.merge_drains(entries)
    rng.shuffle(entries)
    assert kinds.merge_drains(entries + entries[:2]) == want
    assert not words or (want.generation == max(w.generation for w in words) and want in words)
    assert want.draining == any(w.draining for w in words if w.generation == want.generation)


def test_a_copy_has_come_no_further_before_it_has_all_messages_of_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """x was changed first and last: of two messages the first does not hold it, and goes to 3 of 4."""
    monkeypatch.setattr(row_table, "MAX_DELTA_ENTRIES", 2)
    giver, taker = (
        ReplicationStateMachine(o, ReplicationOptions(), random.Random(1), 0.0, lambda: (), lambda: ())
        for o in (A, B)
    )
    for key in ("x", "y", "z", "x"):
        giver.put_own_row(0.0, Kind.DRAIN, key, b"1")
    one, two = giver._deltas_after(A, 0)
    assert [entry.key for entry in one.entries] == ["y", "z"] and (one.up_to, one.final_up_to) == (3, 4)
    taker.message_received(0.0, "a", one)
    assert taker.table.owner_rows(A).up_to == 0
    taker.take_actions()
    taker.message_received(0.0, "a", two)
    assert taker.table.owner_rows(A).up_to == 4 and not [
        a for a in taker.take_actions() if isinstance(a, Send)
    ]
    late = ReplicationStateMachine(
        Owner("c", 1), ReplicationOptions(), random.Random(1), 0.0, lambda: (), lambda: ()
    )
    late.message_received(0.0, "a", two)  # the first was lost: it is asked for
    assert late.table.owner_rows(A).up_to == 0
    assert Send("a", VersionVector((), 0, ((A, 0, 0),), True)) in late.take_actions()


# --- Copies over links -----------------------------------------------------------------------------------
@pytest.mark.parametrize("count", [3, 12, 40, 200])
def test_a_change_is_known_to_all_within_bounds_that_grow_with_the_logarithm(count: int) -> None:
    net = Net(count)
    net.run(50.0)
    began = net.now
    net.do("l1", lambda copy: copy.set_drain(net.now, "s1", True))
    net.run(1_000.0)
    took = [net.seen[name, Kind.DRAIN, "s1"] - began for name in net.names]
    assert max(took) <= 13.0 * count.bit_length()
    net.run(5_000.0)
    assert net.same()


@pytest.mark.parametrize("count", [3, 12, 40])
@pytest.mark.parametrize("seed", range(4))
def test_copies_agree_after_loss_splits_and_restarts(count: int, seed: int) -> None:
    net, rng = Net(count, seed, 0.2), random.Random(seed)
    half = set(net.names[: count // 2])
    net.passes = lambda source, target: (source in half) == (target in half)
    for _ in range(60):
        name = rng.choice(net.names)
        if rng.random() < 0.1:
            net.restart(name)
        else:
            server, flag = f"s{rng.randrange(6)}", rng.random() < 0.5
            net.do(name, lambda copy, s=server, f=flag: copy.set_drain(net.now, s, f))  # type: ignore[misc]
        net.run(rng.uniform(0.0, 400.0))
    net.passes, net.loss = lambda source, target: True, 0.05
    for _ in range(60):
        net.run(1_000.0)
        if net.same():
            break
    assert net.same() and len({copy.draining_servers() for copy in net.copies.values()}) == 1


def test_a_drain_and_its_end_that_cross_on_two_sides_of_a_split_leave_the_drain() -> None:
    net = Net(5)
    net.do("l0", lambda copy: copy.set_drain(net.now, "s1", True))
    net.run(500.0)
    half = {"l0", "l1"}
    net.passes = lambda source, target: (source in half) == (target in half)
    net.do("l0", lambda copy: copy.set_drain(net.now, "s1", False))
    net.run(100.0)
    net.do("l0", lambda copy: copy.set_drain(net.now, "s1", True))
    net.do("l4", lambda copy: copy.set_drain(net.now, "s1", False))
    net.run(2_000.0)
    assert "s1" in net.copies["l1"].draining_servers() and "s1" not in net.copies["l3"].draining_servers()
    net.passes = lambda source, target: True
    net.run(5_000.0)
    assert net.same() and all(copy.draining_servers() == {"s1"} for copy in net.copies.values())


def test_what_a_killed_member_said_is_held_by_the_others_and_told_to_it_when_it_returns() -> None:
    net = Net(5)
    net.do("l2", lambda copy: copy.set_drain(net.now, "s1", True))
    net.run(15.0)  # one push is out
    net.restart("l2")
    net.run(5_000.0)
    assert net.same() and net.copies["l2"].draining_servers() == {"s1"}


def test_rows_of_a_kind_that_is_not_known_are_passed_on_and_what_may_not_be_is_named() -> None:
    net = Net(3)
    net.do("l0", lambda copy: copy.put_own_row(net.now, 99, "k", b"v"))
    net.run(3_000.0)
    assert net.same() and all(list(copy.table.rows(99, "k")) for copy in net.copies.values())
    copy = net.copies["l1"]
    for wrong in (Entry(1, "k" * 999, 1, b""), Entry(1, "k", 0, b""), Entry(1, "k", 1, b"x" * 9999)):
        copy.message_received(net.now, "l0", Delta((), Owner("l0", 9), 0, 1, 1, (wrong,)))
        assert [type(action) for action in copy.take_actions()] == [ProtocolViolation]
    # A row of this process that another tells changes nothing: nobody else raises it.
    copy.message_received(net.now, "l0", Delta((), copy.owner, 0, 7, 7, (Entry(1, "s", 7, b""),)))
    assert not copy.take_actions() and not copy.draining_servers()
    assert rows.validation_error(Owner("", 1), Entry(1, "k", 1, b""))
    net.do("l0", lambda copy: copy.put_own_row(net.now, Kind.DRAIN, "s", b"\xc1"))
    assert [entry.key for _, entry in net.copies["l0"].unreadable_rows()] == ["s"]


@settings(max_examples=20, deadline=None)
@given(st.integers(0, 2**32))
def test_copies_that_met_by_themselves_hold_the_same(seed: int) -> None:
    """Two copies and what either has of five owners: one question and its answers bring them together."""
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
    waiting = [(0, VersionVector((), copies[1].table.digest()))]
    while waiting:
        at, message = waiting.pop(0)
        copies[at].message_received(0.0, "ba"[at], message)
        waiting += [(1 - at, a.message) for a in copies[at].take_actions() if isinstance(a, Send)]  # type: ignore[misc]
    held: list[RowTable] = [copy.table for copy in copies]
    assert held[0].version_vector() == held[1].version_vector()
    assert all(
        sorted(map(repr, held[0].owner_rows(o))) == sorted(map(repr, held[1].owner_rows(o)))
        for o in held[0].owners
    )
