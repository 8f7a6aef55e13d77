"""What a standalone limiter leaves to its next process: a versioned document; no I/O.

Numbers are each process's own: what goes by them is told with names, and taken by the reader's numbers.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from basaltpoint.handover import platform_state
from basaltpoint.peers.messages import MemberRecord
from basaltpoint.policy import DecisionModule

VERSION = 1  # another one is not read: what it says is not known
KINDS = {"customers": ("ident", "account"), "servers": ("number", "server"), "pools": ("number", "pool")}


class HandoverError(ValueError):
    """A document that can't be taken over; says why."""


class Hello(msgspec.Struct, frozen=True):
    """The older process's first word: it is there, and knows this version."""

    version: int
    name: str


class FleetPlace(msgspec.Struct, frozen=True):
    """A member's place among the others, as one process passes it to the next."""

    row: MemberRecord  # its own
    rows: tuple[MemberRecord, ...]  # of the others
    age_ms: float  # of the member, over all its processes


class StoreSnapshot(msgspec.Struct, frozen=True):
    """What the store was known to hold."""

    revision: int
    values: dict[str, bytes]


class UpgradeState(msgspec.Struct, frozen=True):
    """All of it, at the moment from which the older process takes nothing new.

    `origin_s`: where the module's clock began, on the machine's monotonic clock. `started_ms`: of that clock,
    when each server was first heard of; `names`: by kind, name and the older process's number. `listeners`:
    what the sockets are that went before this, in their order.
    """

    version: int
    origin_s: float
    module: dict[str, Any]
    names: dict[str, dict[str, int]]
    started_ms: dict[str, float]
    listeners: tuple[str, ...] = ()
    place: FleetPlace | None = None
    shared: StoreSnapshot | None = None


def encode(told: Hello | UpgradeState) -> bytes:
    return msgspec.msgpack.encode(told)


def decode_hello(text: bytes) -> Hello:
    """The older process's first word; HandoverError where this one can't follow it."""
    try:
        told = msgspec.msgpack.decode(text, type=Hello)
    except msgspec.DecodeError as error:
        raise HandoverError(f"its first word can't be read: {error}") from None
    if told.version != VERSION:
        raise HandoverError(f"it speaks version {told.version} of the handover, where {VERSION} is known")
    return told


def decode(text: bytes, now_s: float) -> UpgradeState:
    """The document at `now_s` of the monotonic clock; HandoverError where it can't be taken over."""
    try:
        told = msgspec.msgpack.decode(text, type=UpgradeState)
    except msgspec.DecodeError as error:
        raise HandoverError(f"the document can't be read: {error}") from None
    if told.version != VERSION or not 0.0 <= told.origin_s <= now_s:
        raise HandoverError(f"version {told.version}, a clock begun at {told.origin_s:g} s of {now_s:g} s")
    return told


def import_module_state(
    decision_module: DecisionModule, told: UpgradeState, numbers: Mapping[str, Mapping[str, int]], now: float
) -> Iterator[str]:
    """Take the module's state over, by this process's numbers; yields what could not be."""
    module = dict(told.module)
    for part, (key, kind) in KINDS.items():
        renamed = {old: numbers[kind].get(name) for name, old in told.names.get(kind, {}).items()}
        rows = module.get(part)
        if not isinstance(rows, list):
            continue
        kept = [row | {key: renamed[row[key]]} for row in rows if renamed.get(row.get(key)) is not None]
        if gone := len(rows) - len(kept):
            yield f"{part}: {gone} are not in this process's configuration"
        module[part] = kept
    yield from platform_state.import_module_state(decision_module, module, now)
