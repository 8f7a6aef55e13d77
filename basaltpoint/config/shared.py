"""Merges the tables that all limiters share into one limiter's own file. No I/O.

The shared document is a TOML text with the shared tables. Single server entries override or extend it, so
that a server can be added without a new version of the whole document.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from basaltpoint.config.decode import ProblemCollector, parse_toml

# All other keys are shared. These refer to addresses, paths or resources of one host.
LOCAL_KEYS = ("listen", "name", "limits", "clients", "accounts_file", "store", "fleet")


def shared_tables(raw: dict[str, Any]) -> dict[str, Any]:
    """Returns the tables of a file that all limiters share."""
    return {key: value for key, value in raw.items() if key not in LOCAL_KEYS}


def parse_document(text: bytes, out: ProblemCollector) -> dict[str, Any]:
    """Parses the shared document; adds problems to `out`."""
    return shared_tables(parse_toml(text, "document", out))


def parse_server(name: str, text: bytes, out: ProblemCollector) -> dict[str, Any]:
    """Parses a server entry in JSON: the keys of [[server]] except `name`, and `pools`.

    Adds problems to `out` and then returns no keys.
    """
    path = f"server/{name}"
    try:
        raw = json.loads(text)
    except ValueError as error:
        out.add(path, f"invalid JSON: {error}", "an object with the keys of [[server]], and pools")
        return {}
    if not isinstance(raw, dict):
        out.add(path, "not an object", "an object with the keys of [[server]], and pools")
        return {}
    pools = raw.get("pools", [])
    if not isinstance(pools, list) or not all(isinstance(pool, str) for pool in pools):
        out.add(f"{path}.pools", "not a list of names", "names of pools")
        return {}
    return raw


@dataclass(frozen=True, slots=True)
class SharedTables:
    """The shared document's tables, and server entries by name."""

    tables: dict[str, Any]
    servers: dict[str, dict[str, Any]] = field(default_factory=dict)

    def merge_into(self, local: dict[str, Any]) -> dict[str, Any]:
        """Returns the tables of one limiter's whole configuration; `local` is its own file."""
        raw = {key: value for key, value in local.items() if key in LOCAL_KEYS} | self.tables
        if not self.servers or not isinstance(raw.get("server", []), list):
            return raw
        rows = [row for row in raw.get("server", []) if row.get("name") not in self.servers]
        pools = [dict(pool) for pool in raw.get("pool", [])]
        for name, entry in sorted(self.servers.items()):
            rows.append({key: value for key, value in entry.items() if key != "pools"} | {"name": name})
            for pool in pools:
                if pool.get("name") in entry.get("pools", ()) and name not in pool.get("servers", []):
                    pool["servers"] = [*pool.get("servers", []), name]
        return raw | {"server": rows, "pool": pools}
