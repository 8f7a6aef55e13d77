"""Rows and the messages that carry them. A row has one owner, a process, that alone raises it.

All are MessagePack arrays; new fields come last, with a default. What a row holds is its kind's own, and is
passed on unread where the kind is not known.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from basaltpoint.peers.messages import Message

MAX_KEY_CHARS = 256  # bytes of the longest key
MAX_VALUE_BYTES = 4096  # and of the longest value
MAX_DELTA_ENTRIES = 256  # of one message: with the longest of both it would be cut by bytes before
MAX_DELTA_BYTES = 32 << 10  # of the values of one message
COUNT_LIMIT = 1 << 53  # counts and epochs stay below it


class Owner(NamedTuple):
    """A process: a member's name, and an epoch that is higher for each later process of the name."""

    name: str
    epoch: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One row as its owner last raised it. `count` numbers all changes of the owner, from 1."""

    kind: int
    key: str
    count: int
    value: bytes


class Delta(Message, frozen=True, tag="d"):
    """Changes of one owner: all that came after `since`, up to `upto`, as far as they still stand.

    Of several messages `goal` is where the last ends. What was replaced by a change behind `upto` is not in
    this one, so a copy has come no further before it has all of them.
    """

    owner: Owner = Owner("", 0)
    after: int = 0
    up_to: int = 0
    final_up_to: int = 0
    entries: tuple[Entry, ...] = ()


class VersionVector(Message, frozen=True, tag="h"):
    """Up to where the sender has each owner's changes, and the print of its rows.

    Who has more of one tells it; who has less asks back.

    Without owners: the digest alone, to be answered with owners where it differs. `part`: owners that are not
    named are not spoken of, and prints are not compared.
    """

    digest: int = 0
    versions: tuple[tuple[Owner, int, int], ...] = ()
    is_partial: bool = False


def validation_error(owner: Owner, entry: Entry) -> str:
    """What is wrong with a row from elsewhere; nothing where it may be taken."""
    if not owner.name or len(owner.name) > MAX_KEY_CHARS or not 0 < owner.epoch < COUNT_LIMIT:
        return f"a row of {owner.name!r}, epoch {owner.epoch}"
    if (
        not 0 < entry.count < COUNT_LIMIT
        or len(entry.key) > MAX_KEY_CHARS
        or len(entry.value) > MAX_VALUE_BYTES
    ):
        return f"row {entry.key[:64]!r} with count {entry.count} and {len(entry.value)} bytes"
    return ""
