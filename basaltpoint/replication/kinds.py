"""Kinds of replicated state: what a row holds, and what wins where owners differ."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import msgspec

from basaltpoint.replication.rows import Entry


class Kind(IntEnum):
    """Numbers are never used again: a member of another version may hold rows of a kind that went."""

    DRAIN = 1  # by server


class Drain(msgspec.Struct, frozen=True, array_like=True, order=True):
    """That a server drains, or does no more. The higher generation holds; within one the drain wins."""

    generation: int
    draining: bool


def decode_drain(entry: Entry) -> Drain | None:
    """None where the row can't be read."""
    try:
        return msgspec.msgpack.decode(entry.value, type=Drain)
    except msgspec.DecodeError:
        return None


def merge_drains(rows: Iterable[Entry]) -> Drain:
    """What holds of a server: the join of all owners' words."""
    return max((told for entry in rows if (told := decode_drain(entry))), default=Drain(0, False))
