"""A linearizability checker for histories over single keys (Wing and Gong 1993, with Lowe's memory of 2017).

Each key is judged by itself: a history is linearizable where that of each key is (Herlihy and Wing 1990).
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Op:
    """One operation: `write` sets `value`; `read` saw `value`; `swap` set `value` where it found `old`.

    `ended` is inf where the answer was lost: it took effect at any time after it began, or never. `good`
    tells of a swap whether it found what it expected; None where that is not known.
    """

    key: str
    kind: str
    value: str | None
    began: float
    ended: float
    old: str | None = None
    good: bool | None = True


def _after(state: str | None, op: Op) -> tuple[bool, str | None]:
    """Whether it can take effect on a state, and the state behind it."""
    if op.kind == "read":
        return state == op.value, state
    if op.kind == "write":
        return True, op.value
    found = state == op.old
    if op.good is None:
        return True, op.value if found else state
    return found == op.good, op.value if found else state


def _key_holds(ops: list[Op]) -> bool:
    ops = sorted(ops, key=lambda op: op.began)
    # A read whose answer was lost says nothing.
    ops = [op for op in ops if not (op.kind == "read" and op.ended == math.inf)]
    done = sum(1 << at for at, op in enumerate(ops) if op.ended < math.inf)
    seen: set[tuple[int, str | None]] = set()
    stack: list[tuple[int, str | None]] = [(0, None)]
    while stack:
        taken, state = stack.pop()
        if taken & done == done:
            return True
        # Only what began before the first end of those left can be next.
        bound = min(op.ended for at, op in enumerate(ops) if not taken >> at & 1)
        for at, op in enumerate(ops):
            if op.began > bound:
                break
            if taken >> at & 1:
                continue
            fits, after = _after(state, op)
            following = (taken | 1 << at, after)
            if fits and following not in seen:
                seen.add(following)
                stack.append(following)
    return False


def violations(history: Iterable[Op]) -> list[str]:
    """The keys whose operations have no order that explains them."""
    keys: dict[str, list[Op]] = defaultdict(list)
    for op in history:
        keys[op.key].append(op)
    return [key for key, ops in sorted(keys.items()) if not _key_holds(ops)]
