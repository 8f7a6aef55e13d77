"""The versioned document that a standalone limiter passes to its successor. No I/O.

Each process assigns its own numbers to accounts, servers and pools. So the document carries their names,
and the successor replaces the predecessor's numbers by its own.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from basaltpoint.handover import platform_state
from basaltpoint.peers.messages import MemberRecord
from basaltpoint.policy import DecisionModule

VERSION = 1  # a document of another version is rejected, as its contents may mean something else
# By part of the decision module's state: the key that holds a number, and the kind of thing that it numbers.
NUMBERED_PARTS = {
    "customers": ("ident", "account"),
    "servers": ("number", "server"),
    "pools": ("number", "pool"),
}


class HandoverError(ValueError):
    """A document that can't be imported; the message says why."""


class Hello(msgspec.Struct, frozen=True):
    """The predecessor's first document: its version of the handover and its name."""

    version: int
    name: str


class FleetPlace(msgspec.Struct, frozen=True):
    """A member's place in its fleet, as a process passes it to its successor."""

    row: MemberRecord  # of the member itself
    rows: tuple[MemberRecord, ...]  # of the other members
    age_ms: float  # age of the member, over all its processes


class StoreSnapshot(msgspec.Struct, frozen=True):
    """The last known contents of the store."""

    revision: int
    values: dict[str, bytes]


class UpgradeState(msgspec.Struct, frozen=True):
    """The predecessor's state at the moment from which it accepts no new requests.

    `origin_s` is the start of the decision module's clock on the host's monotonic clock, `started_ms` the
    time on the decision module's clock at which each server was first seen. `names` maps, by kind, each name
    to the predecessor's number. `listeners` says what the sockets are for that were passed before this
    document, in their order.
    """

    version: int
    origin_s: float
    module: dict[str, Any]
    names: dict[str, dict[str, int]]
    started_ms: dict[str, float]
    listeners: tuple[str, ...] = ()
    place: FleetPlace | None = None
    shared: StoreSnapshot | None = None


def encode(document: Hello | UpgradeState) -> bytes:
    return msgspec.msgpack.encode(document)


def decode_hello(text: bytes) -> Hello:
    """Decodes the predecessor's first document; raises HandoverError if no handover from it is possible."""
    try:
        hello = msgspec.msgpack.decode(text, type=Hello)
    except msgspec.DecodeError as error:
        raise HandoverError(f"its first document can't be read: {error}") from None
    if hello.version != VERSION:
        raise HandoverError(
            f"it uses version {hello.version} of the handover, where version {VERSION} is expected"
        )
    return hello


def decode(text: bytes, now_s: float) -> UpgradeState:
    """Decodes a document at `now_s` of the monotonic clock; raises HandoverError if it is invalid."""
    try:
        upgrade = msgspec.msgpack.decode(text, type=UpgradeState)
    except msgspec.DecodeError as error:
        raise HandoverError(f"the document can't be read: {error}") from None
    if upgrade.version != VERSION or not 0.0 <= upgrade.origin_s <= now_s:
        raise HandoverError(
            f"version {upgrade.version}, a clock that started at {upgrade.origin_s:g} s, at {now_s:g} s now"
        )
    return upgrade


def import_module_state(
    decision_module: DecisionModule,
    upgrade: UpgradeState,
    numbers: Mapping[str, Mapping[str, int]],
    now: float,
) -> Iterator[str]:
    """Imports the decision module's state under this process's numbers; yields a text for each failure."""
    module = dict(upgrade.module)
    for part, (key, kind) in NUMBERED_PARTS.items():
        new_numbers = {old: numbers[kind].get(name) for name, old in upgrade.names.get(kind, {}).items()}
        rows = module.get(part)
        if not isinstance(rows, list):
            continue
        kept = [
            row | {key: new_numbers[row[key]]} for row in rows if new_numbers.get(row.get(key)) is not None
        ]
        if missing := len(rows) - len(kept):
            yield f"{part}: {missing} are not in this process's configuration"
        module[part] = kept
    yield from platform_state.import_module_state(decision_module, module, now)
