"""What the store holds for limiters, and what it means to this one. Free of I/O.

Keys: `shared/document` is the file's tables that all limiters share, `shared/server/NAME` a server entry laid
over them, `shared/drain/NAME` a server that drains.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from basaltpoint.config import fleets, storage
from basaltpoint.config.build import NumberRegistry, Setup, build_setup
from basaltpoint.config.decode import ProblemCollector, decode, format_value, load_toml, read_toml
from basaltpoint.config.schema import NAME_PATTERN, ClientsTable, FleetTable, LimitsTable, StoreTable
from basaltpoint.config.shared import SharedTables, parse_document, parse_server, shared_tables

SHARED_PREFIX = "shared/"
DOCUMENT_KEY = SHARED_PREFIX + "document"
SERVER_PREFIX = SHARED_PREFIX + "server/"
DRAIN_PREFIX = SHARED_PREFIX + "drain/"


@dataclass(frozen=True, slots=True)
class Change:
    """What is to be done for what came."""

    build: bool  # document or server entries: all is built anew
    drains: bool

    def __or__(self, other: Change) -> Change:
        return Change(self.build or other.build, self.drains or other.drains)


NO_CHANGE = Change(False, False)


class SharedState:
    """The keys, each with the revision that set it: what comes late or twice changes nothing."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self._changed: dict[str, int] = {}

    def load(self, values: Mapping[str, bytes], revision: int) -> Change:
        """All of it, as read anew."""
        change = NO_CHANGE
        for key in self.values.keys() | values.keys():
            if self.values.get(key) != values.get(key):
                change |= _kind(key)
        self.values = dict(values)
        self._changed = dict.fromkeys(values, revision)
        return change

    def apply_events(self, events: Iterable[tuple[int, str, bytes | None]]) -> Change:
        """Changes: revision, key, value or None for a removal."""
        change = NO_CHANGE
        for revision, key, value in events:
            if revision <= self._changed.get(key, 0):
                continue
            self._changed[key] = revision
            if value != self.values.get(key):
                change |= _kind(key)
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value
        return change

    @property
    def drains(self) -> frozenset[str]:
        return frozenset(
            key.removeprefix(DRAIN_PREFIX) for key in self.values if key.startswith(DRAIN_PREFIX)
        )

    @property
    def document(self) -> bytes | None:
        return self.values.get(DOCUMENT_KEY)

    def build_setup(self, path: Path, numbers: NumberRegistry | None) -> Setup:
        """What a limiter with this file runs on; FileError with every problem found."""
        out = ProblemCollector(f"{path} with {DOCUMENT_KEY} of the store")
        raw = read_toml(path, out)
        tables = parse_document(self.document, out) if self.document is not None else {}
        servers = {
            key.removeprefix(SERVER_PREFIX): parse_server(key.removeprefix(SERVER_PREFIX), value, out)
            for key, value in self.values.items()
            if key.startswith(SERVER_PREFIX)
        }
        out.raise_problems()
        return build_setup(SharedTables(tables, servers).merge_into(raw), path, out, numbers).with_drains(
            self.drains
        )


def _kind(key: str) -> Change:
    drains = key.startswith(DRAIN_PREFIX)
    return Change(not drains and key.startswith(SHARED_PREFIX), drains)


def limiter_name(raw: dict[str, Any]) -> str:
    """The limiter's name by its file's tables, under which the store holds what is its own."""
    name = raw.get("name", "basaltpoint")
    # It names files, too, before the whole file is checked.
    return name if isinstance(name, str) and re.fullmatch(NAME_PATTERN, name) else "basaltpoint"


def first_document(path: Path) -> bytes | None:
    """The file's own text where it has shared tables: a new store begins with it. FileError."""
    return path.read_bytes() if shared_tables(load_toml(path)) else None


def check_local_file(path: Path) -> None:
    """Check a file whose shared tables the store holds; FileError with every problem found."""
    out, raw = ProblemCollector(str(path)), load_toml(path)
    for key, kind in (
        ("limits", LimitsTable),
        ("clients", ClientsTable),
        ("store", StoreTable),
        ("fleet", FleetTable),
    ):
        if key == "fleet" and key not in raw:
            continue  # its address has no default
        if isinstance(table := raw.get(key, {}), dict):
            made = decode(kind, table, out, key)
            if isinstance(made, StoreTable):
                storage.check(made, path.parent, out)
            elif isinstance(made, FleetTable):
                fleets.check(made, limiter_name(raw), path.parent, out)
        else:
            out.add(key, f"found {format_value(table)}", "a table")
    if not isinstance(raw.get("listen"), str):
        out.add("listen", "missing" if "listen" not in raw else "no text", "HOST:PORT")
    out.raise_problems()


def check_document(path: Path) -> bytes:
    """A file's text, once all of it is right as a limiter's; FileError with every problem found."""
    raw = {"listen": "127.0.0.1:0"} | load_toml(path)
    build_setup(raw, path, ProblemCollector(str(path)))
    return path.read_bytes()
