"""The store's state machine: what a transaction, a lease, a session and a watch must hold."""

from __future__ import annotations

import random

import pytest

from basaltpoint.store import machine as kv
from basaltpoint.store.machine import Check, Clock, Command, CompactedError, Delete, Expire, Machine, Put, Txn


class Rig:
    def __init__(self, **named: int) -> None:
        self.machine = Machine(**named)
        self.index = 0

    def do(self, action: kv.Action, session: int = 0, number: int = 0) -> kv.Result:
        self.index += 1
        return self.machine.apply(self.index, kv.encode(Command(action, session, number)))

    def put(self, key: str, value: str = "v", lease: int = 0, *checks: Check) -> kv.Result:
        return self.do(Txn(checks, (Put(key, value.encode(), lease),)))

    def held(self) -> dict[str, str]:
        return {key: value.value.decode() for key, value in self.machine.range("").items()}


@pytest.fixture
def rig() -> Rig:
    return Rig()


def test_a_transaction_takes_effect_whole_or_not_at_all(rig: Rig) -> None:
    first = rig.put("a", "1")
    ops = (Put("a", b"2"), Put("b", b"2"), Delete("c"))
    failed = rig.do(Txn((Check("a", first.revision), Check("b", 7)), ops))
    assert failed.error == "check" and "b: found revision 0, expected 7" in failed.text
    assert rig.held() == {"a": "1"} and failed.revision == first.revision
    done = rig.do(Txn((Check("a", first.revision), Check("b", 0)), ops))
    assert rig.held() == {"a": "2", "b": "2"} and done.revision == first.revision + 1


def test_all_changes_of_a_transaction_have_one_revision(rig: Rig) -> None:
    rig.do(Txn((), (Put("a", b"1"), Put("b", b"1"))))
    rig.put("a", "2")
    value = rig.machine.state.values
    assert (value["a"].created, value["a"].changed, value["b"].changed) == (1, 2, 1)


def test_a_prefix_goes_at_once(rig: Rig) -> None:
    for key in ("a/1", "a/2", "b"):
        rig.put(key)
    rig.do(Txn((), (Delete("a/", prefix=True),)))
    assert list(rig.held()) == ["b"]
    assert [event.key for event in rig.machine.since(4, "")] == ["a/1", "a/2"]


def test_a_removal_of_nothing_changes_nothing(rig: Rig) -> None:
    assert rig.do(Txn((), (Delete("a"),))).revision == 0


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (Txn((), (Put("k" * 513, b""),)), "513 bytes; allowed: 1 to 512"),
        (Txn((), (Put("", b""),)), "a key of 0 bytes"),
        (Txn((), (Put("k", b"v" * ((1 << 20) + 1)),)), "k: found a value of 1048577 bytes; allowed: 1048576"),
        (Txn((), (Put("k", b""),) * 257), "found 257 operations"),
        (Txn((Check("k", 0),) * 257), "257 checks"),
        (kv.Grant(0), "1 ms at least"),
    ],
)
def test_what_is_beyond_the_bounds_is_refused_with_what_is_allowed(
    rig: Rig, action: kv.Action, text: str
) -> None:
    result = rig.do(action)
    assert result.error == "limit" and text in result.text
    assert not rig.machine.state.values


def test_the_state_keeps_to_its_size_and_room_comes_back_with_removals() -> None:
    rig = Rig(state_bytes=100)
    assert rig.put("a", "x" * 60).error == ""
    assert rig.put("b", "x" * 60).error == "limit"
    assert rig.put("a", "y" * 90).error == ""
    rig.do(Txn((), (Delete("a"),)))
    assert rig.machine.state.size == 0
    assert rig.put("b", "x" * 60).error == ""


def test_a_lease_takes_its_keys_along(rig: Rig) -> None:
    lease = rig.do(kv.Grant(1000)).ident
    rig.put("a", "1", lease)
    rig.put("b", "1", lease)
    rig.put("b", "2")  # no longer under it
    rig.do(kv.Revoke(lease))
    assert rig.held() == {"b": "2"}
    assert rig.put("c", "1", lease).error == "lease"


def test_an_expiry_that_a_renewal_overtook_ends_nothing(rig: Rig) -> None:
    lease = rig.do(kv.Grant(1000)).ident
    rig.put("a", "1", lease)
    rig.do(kv.Renew(lease))
    rig.do(Expire(lease, 0))
    assert rig.held() == {"a": "1"}
    rig.do(Expire(lease, 1))
    assert rig.held() == {} and rig.do(kv.Renew(lease)).error == "lease"


def test_the_clock_lets_each_lease_run_its_time_from_the_last_renewal() -> None:
    rig, clock = Rig(), Clock()
    lease = rig.do(kv.Grant(1000)).ident
    leases = rig.machine.state.leases
    assert clock.due(0, leases) == [] and clock.due(999, leases) == []
    rig.do(kv.Renew(lease))
    assert clock.due(1000, leases) == [] and clock.due(1999, leases) == []
    assert clock.due(2000, leases) == [Expire(lease, 1)]
    clock.reset()  # another leader: it knows no times yet
    assert clock.due(2001, leases) == [] and clock.due(3001, leases) == [Expire(lease, 1)]


def test_a_repeated_command_is_answered_and_not_applied(rig: Rig) -> None:
    session = rig.do(kv.Open()).ident
    first = rig.do(Txn((), (Put("a", b"1"),)), session, 1)
    rig.put("a", "2")
    assert rig.do(Txn((), (Put("a", b"1"),)), session, 1) == first
    assert rig.held() == {"a": "2"}
    assert rig.do(Txn((), (Put("a", b"3"),)), session, 2).error == ""
    assert rig.do(Txn((), (Put("a", b"1"),)), session, 1).error == "old"
    assert rig.held() == {"a": "3"}


def test_a_command_of_a_session_that_is_gone_is_not_applied(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(kv, "SESSIONS", 2)
    sessions = [rig.do(kv.Open()).ident for _ in range(2)]
    rig.do(Txn((), (Put("a", b"1"),)), sessions[0], 1)
    third = rig.do(kv.Open()).ident  # the second was unused for longest
    result = rig.do(Txn((), (Put("a", b"2"),)), sessions[1], 1)
    assert result.error == "session" and rig.held() == {"a": "1"}
    assert rig.do(Txn((), (Put("a", b"3"),)), third, 1).error == ""


def test_a_watch_is_told_every_change_or_that_it_can_not_be(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(kv, "EVENTS", 5)
    for at in range(4):
        rig.put(f"a{at}")
        rig.put(f"b{at}")
    assert [event.key for event in rig.machine.since(5, "a")] == ["a2", "a3"]
    with pytest.raises(CompactedError) as error:
        rig.machine.since(3, "a")
    assert error.value.oldest == 4 and rig.machine.since(9, "") == []


def test_events_of_one_transaction_go_together(rig: Rig, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(kv, "EVENTS", 3)
    rig.do(Txn((), (Put("a", b""), Put("b", b""))))
    rig.do(Txn((), (Put("c", b""), Put("d", b""))))
    assert rig.machine.oldest == 2 and [event.key for event in rig.machine.since(2, "")] == ["c", "d"]


def test_a_watch_from_before_a_snapshot_is_told_compacted(rig: Rig) -> None:
    for at in range(5):
        rig.put(f"a{at}")
    other = Machine()
    other.load(rig.machine.save())
    with pytest.raises(CompactedError):
        other.since(5, "")
    assert other.since(6, "") == []
    other.apply(rig.index + 1, kv.encode(Command(Txn((), (Put("z", b""),)))))
    assert [event.key for event in other.since(6, "")] == ["z"]


def test_a_snapshot_goes_on_as_the_state_that_it_was_made_of() -> None:
    rng, rig = random.Random(3), Rig()
    other: Machine | None = None
    session = rig.do(kv.Open()).ident
    leases = [rig.do(kv.Grant(10)).ident for _ in range(3)]
    for step in range(400):
        key = f"k{rng.randrange(20)}"
        action = rng.choice(
            [
                Txn((), (Put(key, b"%d" % step, rng.choice([0, *leases])),)),
                Txn((Check(key, rng.randrange(step + 1)),), (Delete(key),)),
                Txn((), (Delete(f"k{rng.randrange(3)}", prefix=True),)),
                kv.Renew(rng.choice(leases)),
            ]
        )
        data = kv.encode(Command(action, session, step + 1))
        rig.index += 1
        result = rig.machine.apply(rig.index, data)
        if other:
            assert other.apply(rig.index, data) == result
        elif step == 200:
            other = Machine()
            other.load(rig.machine.save())
    assert other and other.state == rig.machine.state and other.keys("") == rig.machine.keys("")
    size = sum(len(key) + len(value.value) for key, value in other.state.values.items())
    assert size == other.state.size
