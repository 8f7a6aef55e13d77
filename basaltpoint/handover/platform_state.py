"""What one process leaves to the next: a versioned, checked document; no I/O.

Every part is read for itself: one that is missing, foreign or out of range is left out and told, and the
limiter starts without it, as it would from nothing.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from basaltpoint.handover import state
from basaltpoint.policy import DecisionModule

VERSION = 1  # another one is not read: what its numbers mean is not known


class PlatformStateError(ValueError):
    """A document, or a part of one, that can't be taken over; says which and why."""


@dataclass(slots=True)
class PlatformState:
    """What is left, as it was read.

    `origin_s`: where the module's clock started, on the machine's monotonic clock. `wall_ms`: the module's
    time less Unix time. `servers`: the last list, in discovery's form. `numbers`: the servers' numbers in the
    module. `names`: Req-Ids that the other process has in hand.
    """

    origin_s: float
    unix_offset_ms: float
    servers: dict[str, Any]
    server_numbers: dict[str, int]
    open_req_ids: list[bytes] = field(default_factory=list)
    module: dict[str, Any] = field(default_factory=dict)


def encode(held: PlatformState) -> bytes:
    return json.dumps(
        {
            "version": VERSION,
            "origin_s": held.origin_s,
            "wall_ms": held.unix_offset_ms,
            "servers": held.servers,
            "numbers": held.server_numbers,
            "names": [name.decode("latin-1") for name in held.open_req_ids],
            "module": held.module,
        }
    ).encode()


def decode(text: bytes, now_s: float) -> PlatformState:
    """The document at `now_s` of the monotonic clock; PlatformStateError where it can't be read at all."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise PlatformStateError(f"the document can't be read: {error}") from None
    if not isinstance(raw, dict) or raw.get("version") != VERSION:
        told = raw.get("version") if isinstance(raw, dict) else raw
        raise PlatformStateError(f"version {str(told)[:40]!r}, where {VERSION} is known")
    origin, wall = _finite(raw.get("origin_s")), _finite(raw.get("wall_ms"))
    if origin is None or wall is None or not 0.0 <= origin <= now_s:
        raise PlatformStateError(f"origin_s {raw.get('origin_s')!r} is not a time before {now_s!r}")
    servers, numbers, names = raw.get("servers"), raw.get("numbers"), raw.get("names", [])
    if not isinstance(servers, dict) or not isinstance(numbers, dict):
        raise PlatformStateError("servers or numbers is missing")
    if not all(isinstance(n, int) and not isinstance(n, bool) and n >= 0 for n in numbers.values()):
        raise PlatformStateError("numbers holds something else")
    if len(set(numbers.values())) < len(numbers):
        raise PlatformStateError("numbers holds one twice")
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise PlatformStateError("names is no list of Req-Ids")
    module = raw.get("module", {})
    return PlatformState(
        origin,
        wall,
        servers,
        numbers,
        [name.encode("latin-1", "replace") for name in names],
        module if isinstance(module, dict) else {},
    )


def _finite(value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        return None
    return float(value)


def import_module_state(decision_module: DecisionModule, module: dict[str, Any], now: float) -> Iterator[str]:
    """Take the module's parts over, each for itself; yields what could not be."""
    parts: tuple[tuple[str, Callable[[DecisionModule, Any, float], None]], ...] = (
        ("clock", state.import_clock),
        ("waits", state.import_class_waits),
        ("pools", state.import_pools),
        ("servers", state.import_servers),
    )
    for name, taker in parts:
        try:
            taker(decision_module, module[name], now)
        except (KeyError, TypeError, ValueError, IndexError, OverflowError) as error:
            yield f"{name}: {error!r}"
    bad = 0
    rows = module.get("customers")
    for row in rows if isinstance(rows, list) else ():
        try:
            state.import_customer(decision_module, row, now)
        except (KeyError, TypeError, ValueError, IndexError, OverflowError):
            bad += 1
    if bad:
        yield f"customers: {bad} of {len(rows or ())} could not be read"
