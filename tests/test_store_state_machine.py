"""The store's state machine: guarantees of transactions, leases, sessions and watches."""

from __future__ import annotations

import random

import pytest

from basaltpoint.store import state_machine as kv
from basaltpoint.store.state_machine import (
    Check,
    Command,
    CompactedError,
    Delete,
    ExpireLease,
    LeaseTimers,
    Put,
    StoreStateMachine,
    Transaction,
)


class StateMachineDriver:
    def __init__(self, **named: int) -> None:
        self.state_machine = StoreStateMachine(**named)
        self.last_index = 0

    def apply(self, action: kv.Action, session: int = 0, number: int = 0) -> kv.Result:
        self.last_index += 1
        return self.state_machine.apply(self.last_index, kv.encode_command(Command(action, session, number)))

    def put(self, key: str, value: str = "v", lease: int = 0, *checks: Check) -> kv.Result:
        return self.apply(Transaction(checks, (Put(key, value.encode(), lease),)))

    def values(self) -> dict[str, str]:
        return {key: value.value.decode() for key, value in self.state_machine.values_with_prefix("").items()}


@pytest.fixture
def rig() -> StateMachineDriver:
    return StateMachineDriver()


def test_a_transaction_takes_effect_whole_or_not_at_all(rig: StateMachineDriver) -> None:
    first = rig.put("a", "1")
    ops = (Put("a", b"2"), Put("b", b"2"), Delete("c"))
    failed = rig.apply(Transaction((Check("a", first.revision), Check("b", 7)), ops))
    assert failed.error == "check" and "b: found revision 0, expected 7" in failed.text
    assert rig.values() == {"a": "1"} and failed.revision == first.revision
    done = rig.apply(Transaction((Check("a", first.revision), Check("b", 0)), ops))
    assert rig.values() == {"a": "2", "b": "2"} and done.revision == first.revision + 1


def test_all_changes_of_a_transaction_have_one_revision(rig: StateMachineDriver) -> None:
    rig.apply(Transaction((), (Put("a", b"1"), Put("b", b"1"))))
    rig.put("a", "2")
    value = rig.state_machine.state.values
    assert (value["a"].created_revision, value["a"].modified_revision, value["b"].modified_revision) == (
        1,
        2,
        1,
    )


def test_a_prefix_is_removed_in_one_revision(rig: StateMachineDriver) -> None:
    for key in ("a/1", "a/2", "b"):
        rig.put(key)
    rig.apply(Transaction((), (Delete("a/", prefix=True),)))
    assert list(rig.values()) == ["b"]
    assert [event.key for event in rig.state_machine.events_since(4, "")] == ["a/1", "a/2"]


def test_a_removal_of_nothing_changes_nothing(rig: StateMachineDriver) -> None:
    assert rig.apply(Transaction((), (Delete("a"),))).revision == 0


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (Transaction((), (Put("k" * 513, b""),)), "513 bytes; allowed: 1 to 512"),
        (Transaction((), (Put("", b""),)), "a key of 0 bytes"),
        (
            Transaction((), (Put("k", b"v" * ((1 << 20) + 1)),)),
            "k: found a value of 1048577 bytes; allowed: 1048576",
        ),
        (Transaction((), (Put("k", b""),) * 257), "found 257 operations"),
        (Transaction((Check("k", 0),) * 257), "257 checks"),
        (kv.GrantLease(0), "1 ms at least"),
    ],
)
def test_a_command_beyond_a_limit_is_refused_and_states_the_limit(
    rig: StateMachineDriver, action: kv.Action, text: str
) -> None:
    result = rig.apply(action)
    assert result.error == "limit" and text in result.text
    assert not rig.state_machine.state.values


def test_the_state_stays_within_its_size_limit_and_removals_free_space() -> None:
    rig = StateMachineDriver(max_state_bytes=100)
    assert rig.put("a", "x" * 60).error == ""
    assert rig.put("b", "x" * 60).error == "limit"
    assert rig.put("a", "y" * 90).error == ""
    rig.apply(Transaction((), (Delete("a"),)))
    assert rig.state_machine.state.size_bytes == 0
    assert rig.put("b", "x" * 60).error == ""


def test_the_end_of_a_lease_removes_its_keys(rig: StateMachineDriver) -> None:
    lease = rig.apply(kv.GrantLease(1000)).ident
    rig.put("a", "1", lease)
    rig.put("b", "1", lease)
    rig.put("b", "2")  # no longer attached to the lease
    rig.apply(kv.RevokeLease(lease))
    assert rig.values() == {"b": "2"}
    assert rig.put("c", "1", lease).error == "lease"


def test_an_expiry_after_a_renewal_ends_nothing(rig: StateMachineDriver) -> None:
    lease = rig.apply(kv.GrantLease(1000)).ident
    rig.put("a", "1", lease)
    rig.apply(kv.RenewLease(lease))
    rig.apply(ExpireLease(lease, 0))
    assert rig.values() == {"a": "1"}
    rig.apply(ExpireLease(lease, 1))
    assert rig.values() == {} and rig.apply(kv.RenewLease(lease)).error == "lease"


def test_a_lease_expires_its_time_to_live_after_the_last_renewal() -> None:
    rig, timers = StateMachineDriver(), LeaseTimers()
    lease = rig.apply(kv.GrantLease(1000)).ident
    leases = rig.state_machine.state.leases
    assert timers.expired(0, leases) == [] and timers.expired(999, leases) == []
    rig.apply(kv.RenewLease(lease))
    assert timers.expired(1000, leases) == [] and timers.expired(1999, leases) == []
    assert timers.expired(2000, leases) == [ExpireLease(lease, 1)]
    timers.reset()  # a new leader starts without times
    assert timers.expired(2001, leases) == [] and timers.expired(3001, leases) == [ExpireLease(lease, 1)]


def test_a_repeated_command_gets_its_result_and_is_not_applied_again(rig: StateMachineDriver) -> None:
    session = rig.apply(kv.OpenSession()).ident
    first = rig.apply(Transaction((), (Put("a", b"1"),)), session, 1)
    rig.put("a", "2")
    assert rig.apply(Transaction((), (Put("a", b"1"),)), session, 1) == first
    assert rig.values() == {"a": "2"}
    assert rig.apply(Transaction((), (Put("a", b"3"),)), session, 2).error == ""
    assert rig.apply(Transaction((), (Put("a", b"1"),)), session, 1).error == "old"
    assert rig.values() == {"a": "3"}


def test_a_command_of_an_ended_session_is_not_applied(
    rig: StateMachineDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(kv, "MAX_SESSIONS", 2)
    sessions = [rig.apply(kv.OpenSession()).ident for _ in range(2)]
    rig.apply(Transaction((), (Put("a", b"1"),)), sessions[0], 1)
    third = rig.apply(kv.OpenSession()).ident  # ends the least recently used session, the second
    result = rig.apply(Transaction((), (Put("a", b"2"),)), sessions[1], 1)
    assert result.error == "session" and rig.values() == {"a": "1"}
    assert rig.apply(Transaction((), (Put("a", b"3"),)), third, 1).error == ""


def test_a_watch_gets_every_event_or_a_compacted_error(
    rig: StateMachineDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(kv, "MAX_EVENTS", 5)
    for at in range(4):
        rig.put(f"a{at}")
        rig.put(f"b{at}")
    assert [event.key for event in rig.state_machine.events_since(5, "a")] == ["a2", "a3"]
    with pytest.raises(CompactedError) as error:
        rig.state_machine.events_since(3, "a")
    assert error.value.oldest_revision == 4 and rig.state_machine.events_since(9, "") == []


def test_events_of_one_transaction_are_dropped_together(
    rig: StateMachineDriver, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(kv, "MAX_EVENTS", 3)
    rig.apply(Transaction((), (Put("a", b""), Put("b", b""))))
    rig.apply(Transaction((), (Put("c", b""), Put("d", b""))))
    assert rig.state_machine.oldest_revision == 2 and [
        event.key for event in rig.state_machine.events_since(2, "")
    ] == ["c", "d"]


def test_a_watch_from_before_a_snapshot_gets_a_compacted_error(rig: StateMachineDriver) -> None:
    for at in range(5):
        rig.put(f"a{at}")
    other = StoreStateMachine()
    other.restore(rig.state_machine.serialize())
    with pytest.raises(CompactedError):
        other.events_since(5, "")
    assert other.events_since(6, "") == []
    other.apply(rig.last_index + 1, kv.encode_command(Command(Transaction((), (Put("z", b""),)))))
    assert [event.key for event in other.events_since(6, "")] == ["z"]


def test_a_restored_snapshot_behaves_like_the_original_state() -> None:
    rng, rig = random.Random(3), StateMachineDriver()
    other: StoreStateMachine | None = None
    session = rig.apply(kv.OpenSession()).ident
    leases = [rig.apply(kv.GrantLease(10)).ident for _ in range(3)]
    for step in range(400):
        key = f"k{rng.randrange(20)}"
        action = rng.choice(
            [
                Transaction((), (Put(key, b"%d" % step, rng.choice([0, *leases])),)),
                Transaction((Check(key, rng.randrange(step + 1)),), (Delete(key),)),
                Transaction((), (Delete(f"k{rng.randrange(3)}", prefix=True),)),
                kv.RenewLease(rng.choice(leases)),
            ]
        )
        data = kv.encode_command(Command(action, session, step + 1))
        rig.last_index += 1
        result = rig.state_machine.apply(rig.last_index, data)
        if other:
            assert other.apply(rig.last_index, data) == result
        elif step == 200:
            other = StoreStateMachine()
            other.restore(rig.state_machine.serialize())
    assert (
        other
        and other.state == rig.state_machine.state
        and other.keys_with_prefix("") == rig.state_machine.keys_with_prefix("")
    )
    size = sum(len(key) + len(value.value) for key, value in other.state.values.items())
    assert size == other.state.size_bytes
