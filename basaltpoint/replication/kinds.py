"""Kinds of replicated state: the value of a row, and how values of different owners are merged."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import msgspec

from basaltpoint.replication.rows import Entry


class Kind(IntEnum):
    """Kinds of rows. Numbers are never reused: members of other versions may hold rows of a removed kind."""

    DRAIN = 1  # the key is a server


class Drain(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Whether a server drains. The highest generation wins; within one generation draining wins."""

    generation: int
    draining: bool


def decode_drain(entry: Entry) -> Drain | None:
    """Decodes the value of a drain row; None if it is invalid."""
    try:
        return msgspec.msgpack.decode(entry.value, type=Drain)
    except msgspec.DecodeError:
        return None


def merge_drains(rows: Iterable[Entry]) -> Drain:
    """Merges the rows that all owners hold for one server."""
    return max((drain for entry in rows if (drain := decode_drain(entry))), default=Drain(0, False))
