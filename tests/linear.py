"""A linearizability checker for histories over single keys (Wing and Gong 1993, with Lowe's memory of 2017).

Each key is judged by itself: a history is linearizable where that of each key is (Herlihy and Wing 1990).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation: `write` sets `value`; `read` saw `value`; `swap` set `value` where it found `old`.

    `ended` is inf where the answer was lost: it took effect at any time after it began, or never. `good`
    tells of a swap whether it found what it expected; None where that is not known.
    """

    key: str
    kind: str
    value: str | None
    start: float
    end: float
    expected: str | None = None
    succeeded: bool | None = True


def _apply(state: str | None, op: Operation) -> tuple[bool, str | None]:
    """Whether it can take effect on a state, and the state behind it."""
    if op.kind == "read":
        return state == op.value, state
    if op.kind == "write":
        return True, op.value
    found = state == op.expected
    if op.succeeded is None:
        return True, op.value if found else state
    return found == op.succeeded, op.value if found else state


def _is_linearizable(operations: list[Operation]) -> bool:
    operations = sorted(operations, key=lambda op: op.start)
    # A read whose answer was lost says nothing.
    operations = [op for op in operations if not (op.kind == "read" and op.end == math.inf)]
    required = sum(1 << at for at, op in enumerate(operations) if op.end < math.inf)
    visited: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        applied, state = stack.pop()
        if applied & required == required:
            return True
        # Only what began before the first end of those left can be next.
        earliest_end = min(op.end for at, op in enumerate(operations) if not applied >> at & 1)
        for at, op in enumerate(operations):
            if op.start > earliest_end:
                break
            if applied >> at & 1:
                continue
            fits, after = _apply(state, op)
            following = (applied | 1 << at, after)
            if fits and following not in visited:
                visited.add(following)
                stack.append(following)
    return False


def violations(history: Iterable[Operation]) -> list[str]:
    """The keys whose operations have no order that explains them."""
    by_key: dict[str, list[Operation]] = defaultdict(list)
    for op in history:
        by_key[op.key].append(op)
    return [key for key, ops in sorted(by_key.items()) if not _is_linearizable(ops)]
