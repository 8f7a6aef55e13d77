"""The versioned document that a limiter on the platform passes to its successor. No I/O.

Each part of the decision module's state is imported separately: a part that is missing, unknown or out of
range is reported and left out, and the limiter starts without it, as it does without a predecessor.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from basaltpoint.handover import state
from basaltpoint.policy import DecisionModule

VERSION = 1  # a document of another version is rejected, as its values may mean something else


class PlatformStateError(ValueError):
    """A document that can't be imported; the message says why."""


@dataclass(slots=True)
class PlatformState:
    """The decoded document.

    `origin_s` is the start of the decision module's clock on the host's monotonic clock, `unix_offset_ms` the
    time of the decision module's clock minus Unix time. `servers` is the last list of servers in discovery's
    form, `server_numbers` maps the servers to their numbers in the decision module. `open_req_ids` are the
    Req-Ids of requests that the predecessor still handles, `module` is the decision module's exported state.
    `claims_file` identifies the file in which the predecessor claims Req-Ids; empty if it does not.
    """

    origin_s: float
    unix_offset_ms: float
    servers: dict[str, Any]
    server_numbers: dict[str, int]
    open_req_ids: list[bytes] = field(default_factory=list)
    module: dict[str, Any] = field(default_factory=dict)
    claims_file: str = ""


def encode(snapshot: PlatformState) -> bytes:
    return json.dumps(
        {
            "version": VERSION,
            "origin_s": snapshot.origin_s,
            "wall_ms": snapshot.unix_offset_ms,
            "servers": snapshot.servers,
            "numbers": snapshot.server_numbers,
            "names": [name.decode("latin-1") for name in snapshot.open_req_ids],
            "module": snapshot.module,
            "claims_file": snapshot.claims_file,
        }
    ).encode()


def decode(text: bytes, now_s: float) -> PlatformState:
    """Decodes a document; `now_s` is the time of the monotonic clock, after which no clock can have started.

    Raises PlatformStateError if the document is invalid as a whole; the decision module's state is not
    checked here.
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise PlatformStateError(f"the document can't be read: {error}") from None
    if not isinstance(raw, dict) or raw.get("version") != VERSION:
        found = raw.get("version") if isinstance(raw, dict) else raw
        raise PlatformStateError(f"version {str(found)[:40]!r}, where version {VERSION} is expected")
    origin, wall = _finite(raw.get("origin_s")), _finite(raw.get("wall_ms"))
    if origin is None or wall is None or not 0.0 <= origin <= now_s:
        raise PlatformStateError(f"origin_s {raw.get('origin_s')!r} is not a time before {now_s!r}")
    servers, numbers, names = raw.get("servers"), raw.get("numbers"), raw.get("names", [])
    if not isinstance(servers, dict) or not isinstance(numbers, dict):
        raise PlatformStateError("servers or numbers is missing")
    if not all(isinstance(n, int) and not isinstance(n, bool) and n >= 0 for n in numbers.values()):
        raise PlatformStateError("numbers holds a value that is not a whole number from 0")
    if len(set(numbers.values())) < len(numbers):
        raise PlatformStateError("numbers holds a number twice")
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise PlatformStateError("names is not a list of Req-Ids")
    module = raw.get("module", {})
    return PlatformState(
        origin,
        wall,
        servers,
        numbers,
        [name.encode("latin-1", "replace") for name in names],
        module if isinstance(module, dict) else {},
        str(raw.get("claims_file", "")),
    )


def _finite(value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        return None
    return float(value)


def import_module_state(decision_module: DecisionModule, module: dict[str, Any], now: float) -> Iterator[str]:
    """Imports the parts of the decision module's state separately; yields a text for each failure."""
    parts: tuple[tuple[str, Callable[[DecisionModule, Any, float], None]], ...] = (
        ("clock", state.import_clock),
        ("waits", state.import_class_waits),
        ("pools", state.import_pools),
        ("servers", state.import_servers),
    )
    for name, import_part in parts:
        try:
            import_part(decision_module, module[name], now)
        except (KeyError, TypeError, ValueError, IndexError, OverflowError) as error:
            yield f"{name}: {error!r}"
    invalid = 0
    rows = module.get("customers")
    for row in rows if isinstance(rows, list) else ():
        try:
            state.import_customer(decision_module, row, now)
        except (KeyError, TypeError, ValueError, IndexError, OverflowError):
            invalid += 1
    if invalid:
        yield f"customers: {invalid} of {len(rows or ())} are invalid"
