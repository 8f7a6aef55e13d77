"""Rows and the messages that carry them. A row is owned by one process, and only that process changes it.

All are MessagePack arrays; new fields are appended with a default. Values are opaque here, so that rows of
unknown kinds are replicated as well.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from basaltpoint.peers.messages import Message

MAX_KEY_CHARS = 256
MAX_VALUE_BYTES = 4096
MAX_DELTA_ENTRIES = 256  # with values of maximum size, MAX_DELTA_BYTES is reached first
MAX_DELTA_BYTES = 32 << 10  # of the values in one message; exceeded by at most one value
COUNT_LIMIT = 1 << 53  # counts and epochs are below


class Owner(NamedTuple):
    """A process: a member's name, and an epoch that is higher for each later process of that name."""

    name: str
    epoch: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One row as its owner last changed it. `count` numbers all changes of the owner, from 1."""

    kind: int
    key: str
    count: int
    value: bytes


class Delta(Message, frozen=True, tag="d"):
    """Changes of one owner with counts above `after` and up to `up_to`, except those that were overwritten.

    In a series of messages, `final_up_to` is the `up_to` of the last. A change that was overwritten by one
    above `up_to` is missing here, so a copy advances only once it has received the whole series.
    """

    owner: Owner = Owner("", 0)
    after: int = 0
    up_to: int = 0
    final_up_to: int = 0
    entries: tuple[Entry, ...] = ()


class VersionVector(Message, frozen=True, tag="h"):
    """By owner, the count up to which the sender has all changes, and the fingerprint of its rows.

    The receiver sends the changes that the sender lacks, and requests those that it lacks itself.

    Without `versions`, the message carries only a digest; the response has `versions` if the digests differ.
    `is_partial`: nothing is said about owners that are not listed, and fingerprints are not compared.
    """

    digest: int = 0
    versions: tuple[tuple[Owner, int, int], ...] = ()
    is_partial: bool = False


def validation_error(owner: Owner, entry: Entry) -> str:
    """Returns why a received row is invalid, or an empty string."""
    if not owner.name or len(owner.name) > MAX_KEY_CHARS or not 0 < owner.epoch < COUNT_LIMIT:
        return f"a row of {owner.name!r}, epoch {owner.epoch}"
    if (
        not 0 < entry.count < COUNT_LIMIT
        or len(entry.key) > MAX_KEY_CHARS
        or len(entry.value) > MAX_VALUE_BYTES
    ):
        return f"row {entry.key[:64]!r} with count {entry.count} and {len(entry.value)} bytes"
    return ""
