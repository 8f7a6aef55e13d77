"""The linearizability checker finds every planted violation and reports none in valid histories."""

from __future__ import annotations

import math
import random

from linear import Operation, violations


def op(kind: str, value: str | None, began: float, ended: float, **more: object) -> Operation:
    return Operation("k", kind, value, began, ended, **more)  # type: ignore[arg-type]


def history(rng: random.Random, count: int = 60) -> list[Operation]:
    """Returns concurrent operations with a valid order: each takes effect at a time between start and end."""
    operations, state = [], None
    effect_time = 0.0
    for at in range(count):
        effect_time += rng.random()
        start, end = effect_time - rng.random() * 3, effect_time + rng.random() * 3
        kind = rng.choice(("read", "write", "swap"))
        if kind == "read":
            operations.append(op("read", state, start, end))
        elif kind == "write":
            state = f"v{at}"
            operations.append(op("write", state, start, end))
        else:
            old = rng.choice((state, "other"))
            succeeded = old == state
            state = f"v{at}" if succeeded else state
            operations.append(op("swap", f"v{at}", start, end, expected=old, succeeded=succeeded))
    return operations


def test_linearizable_histories_are_accepted() -> None:
    for seed in range(200):
        assert not violations(history(random.Random(seed)))


def test_a_stale_read_is_found() -> None:
    assert violations([op("write", "1", 0, 1), op("write", "2", 2, 3), op("read", "1", 4, 5)]) == ["k"]


def test_a_lost_write_is_found() -> None:
    assert violations([op("write", "1", 0, 1), op("read", None, 2, 3)]) == ["k"]


def test_a_read_of_what_was_never_written_is_found() -> None:
    assert violations([op("write", "1", 0, 1), op("read", "9", 0, 9)]) == ["k"]


def test_two_swaps_of_one_value_are_found() -> None:
    ops = [op("write", "1", 0, 1)]
    ops += [op("swap", f"{at}", 2, 5, expected="1", succeeded=True) for at in (2, 3)]
    assert violations(ops) == ["k"]


def test_a_value_that_returns_after_an_overwrite_is_found() -> None:
    """A command that was applied twice shows up as a value that returns after it was overwritten."""
    ops = [op("write", "1", 0, 10), op("read", "1", 1, 2), op("write", "2", 3, 4), op("read", "2", 5, 6)]
    assert not violations(ops)
    assert violations([*ops, op("read", "1", 7, 8)]) == ["k"]


def test_a_write_without_a_response_may_have_taken_effect_or_not() -> None:
    lost = op("write", "1", 0, math.inf)
    assert not violations([lost, op("read", None, 1, 2), op("read", "1", 3, 4)])
    assert not violations([lost, op("read", None, 1, 2)])
    assert violations([lost, op("read", "1", 1, 2), op("read", None, 3, 4)]) == ["k"]


def test_each_planted_fault_in_a_long_history_is_found() -> None:
    found = 0
    for seed in range(100):
        rng = random.Random(seed)
        ops = history(rng)
        at = rng.choice([at for at, each in enumerate(ops) if each.kind == "read" and at > 10])
        writes = [
            each.value for each in ops[: at - 8] if each.kind == "write" and each.value != ops[at].value
        ]
        if not writes:
            continue
        stale = ops[at]
        ops[at] = op("read", writes[0], stale.start, stale.end)
        found += bool(violations(ops))
    assert found > 80
