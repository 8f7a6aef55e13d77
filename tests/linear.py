"""A linearizability checker for operations on single keys (Wing and Gong 1993, with Lowe's memoization of
2017).

Each key is checked on its own: a history is linearizable if the history of each key is (Herlihy and Wing
1990).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation: `write` sets `value`, `read` returned `value`, `swap` set `value` if it found
    `expected`.

    `start` and `end` are times. `end` is inf if the response was lost: the operation took effect at any time
    after its start, or never. `succeeded` states whether a swap found the expected value; None if unknown.
    """

    key: str
    kind: str
    value: str | None
    start: float
    end: float
    expected: str | None = None
    succeeded: bool | None = True


def _apply(state: str | None, op: Operation) -> tuple[bool, str | None]:
    """Returns whether an operation is possible in a state, and the state after it."""
    if op.kind == "read":
        return state == op.value, state
    if op.kind == "write":
        return True, op.value
    matches = state == op.expected
    if op.succeeded is None:
        return True, op.value if matches else state
    return matches == op.succeeded, op.value if matches else state


def _is_linearizable(operations: list[Operation]) -> bool:
    operations = sorted(operations, key=lambda op: op.start)
    # A read whose response was lost adds no constraint.
    operations = [op for op in operations if not (op.kind == "read" and op.end == math.inf)]
    required = sum(1 << at for at, op in enumerate(operations) if op.end < math.inf)
    visited: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        applied, state = stack.pop()
        if applied & required == required:
            return True
        # The next operation must have started before the earliest end of the remaining ones.
        earliest_end = min(op.end for at, op in enumerate(operations) if not applied >> at & 1)
        for at, op in enumerate(operations):
            if op.start > earliest_end:
                break
            if applied >> at & 1:
                continue
            possible, next_state = _apply(state, op)
            following = (applied | 1 << at, next_state)
            if possible and following not in visited:
                visited.add(following)
                stack.append(following)
    return False


def violations(history: Iterable[Operation]) -> list[str]:
    """Returns the keys whose operations are not linearizable."""
    by_key: dict[str, list[Operation]] = defaultdict(list)
    for op in history:
        by_key[op.key].append(op)
    return [key for key, ops in sorted(by_key.items()) if not _is_linearizable(ops)]
