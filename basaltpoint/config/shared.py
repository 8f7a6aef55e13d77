"""What limiters hold in common, laid over one limiter's own file. Free of I/O.

The document is a file's text with the tables that all share; single server entries are laid over it, so that
a server can come without the whole document being written anew.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from basaltpoint.config.decode import ProblemCollector, parse_toml

# The rest of a file is shared. What names a place on one host can't be.
LOCAL_KEYS = ("listen", "name", "limits", "clients", "accounts_file", "store", "fleet")


def shared_tables(raw: dict[str, Any]) -> dict[str, Any]:
    """The tables of a file that all limiters share."""
    return {key: value for key, value in raw.items() if key not in LOCAL_KEYS}


def parse_document(text: bytes, out: ProblemCollector) -> dict[str, Any]:
    """The document's tables; problems go to `out`."""
    return shared_tables(parse_toml(text, "document", out))


def parse_server(name: str, text: bytes, out: ProblemCollector) -> dict[str, Any]:
    """One server entry: the keys of [[server]] but its name, and `pools`; problems go to `out`."""
    path = f"server/{name}"
    try:
        raw = json.loads(text)
    except ValueError as error:
        out.add(path, f"no JSON: {error}", "an object with the keys of [[server]], and pools")
        return {}
    if not isinstance(raw, dict):
        out.add(path, "no object", "an object with the keys of [[server]], and pools")
        return {}
    pools = raw.get("pools", [])
    if not isinstance(pools, list) or not all(isinstance(pool, str) for pool in pools):
        out.add(f"{path}.pools", "no list of names", "names of pools")
        return {}
    return raw


@dataclass(frozen=True, slots=True)
class SharedTables:
    """The document's tables, and server entries by name."""

    tables: dict[str, Any]
    servers: dict[str, dict[str, Any]] = field(default_factory=dict)

    def merge_into(self, local: dict[str, Any]) -> dict[str, Any]:
        """One limiter's whole file."""
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
