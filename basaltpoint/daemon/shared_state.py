"""The configuration that limiters share through the store, and the setup that a limiter builds from it.

No I/O but for reading configuration files. Keys: `shared/document` holds the tables that all limiters share,
`shared/server/NAME` a server entry that adds to or replaces one of the document, `shared/drain/NAME` marks a
server as draining.
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
    """What a change of the shared state requires."""

    build: bool  # the document or server entries changed: the whole setup is built again
    drains: bool  # the set of draining servers changed

    def __or__(self, other: Change) -> Change:
        return Change(self.build or other.build, self.drains or other.drains)


NO_CHANGE = Change(False, False)


class SharedState:
    """The shared keys and values.

    Each key has the revision that set it, so that an old or repeated event changes nothing.
    """

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self._revisions: dict[str, int] = {}

    def load(self, values: Mapping[str, bytes], revision: int) -> Change:
        """Replaces all keys with a complete read of the store at `revision`."""
        change = NO_CHANGE
        for key in self.values.keys() | values.keys():
            if self.values.get(key) != values.get(key):
                change |= _change_of(key)
        self.values = dict(values)
        self._revisions = dict.fromkeys(values, revision)
        return change

    def apply_events(self, events: Iterable[tuple[int, str, bytes | None]]) -> Change:
        """Applies events of the store: revision, key, and value or None for a removal."""
        change = NO_CHANGE
        for revision, key, value in events:
            if revision <= self._revisions.get(key, 0):
                continue
            self._revisions[key] = revision
            if value != self.values.get(key):
                change |= _change_of(key)
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
        """Builds the setup of a limiter with this file; FileError with every problem found."""
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


def _change_of(key: str) -> Change:
    drains = key.startswith(DRAIN_PREFIX)
    return Change(not drains and key.startswith(SHARED_PREFIX), drains)


def limiter_name(raw: dict[str, Any]) -> str:
    """Returns the limiter's name in its file's tables; the store holds its state under this name."""
    name = raw.get("name", "basaltpoint")
    # File names are built from it before the whole file is checked, so an invalid one is not used.
    return name if isinstance(name, str) and re.fullmatch(NAME_PATTERN, name) else "basaltpoint"


def first_document(path: Path) -> bytes | None:
    """Returns the file's text, to initialise a new store, or None if it has no shared tables; FileError."""
    return path.read_bytes() if shared_tables(load_toml(path)) else None


def check_local_file(path: Path) -> None:
    """Checks a file whose shared tables are in the store; FileError with every problem found."""
    out, raw = ProblemCollector(str(path)), load_toml(path)
    for key, kind in (
        ("limits", LimitsTable),
        ("clients", ClientsTable),
        ("store", StoreTable),
        ("fleet", FleetTable),
    ):
        if key == "fleet" and key not in raw:
            continue  # `fleet.listen` has no default
        if isinstance(table := raw.get(key, {}), dict):
            decoded = decode(kind, table, out, key)
            if isinstance(decoded, StoreTable):
                storage.check(decoded, path.parent, out)
            elif isinstance(decoded, FleetTable):
                fleets.check(decoded, limiter_name(raw), path.parent, out)
        else:
            out.add(key, f"found {format_value(table)}", "a table")
    if not isinstance(raw.get("listen"), str):
        out.add("listen", "missing" if "listen" not in raw else "no text", "HOST:PORT")
    out.raise_problems()


def check_document(path: Path) -> bytes:
    """Checks a file as a limiter's and returns its text; FileError with every problem found."""
    raw = {"listen": "127.0.0.1:0"} | load_toml(path)
    build_setup(raw, path, ProblemCollector(str(path)))
    return path.read_bytes()
