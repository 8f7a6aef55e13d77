"""Checks the `[store]` table and resolves its paths."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from basaltpoint.config.address import ConfigError, is_loopback
from basaltpoint.config.decode import FileError, ProblemCollector, decode, format_value, load_toml
from basaltpoint.config.schema import StoreTable

SOCKET_NAME = "socket"  # file name of a replica's local socket, in its folder


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the certificate, its private key and the authority's certificate (PEM)."""

    cert: Path
    key: Path
    authority: Path


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of a replica or a client of the store."""

    table: StoreTable
    folder: Path
    members: tuple[tuple[str, str], ...]  # name, HOST:PORT
    tls_files: TlsFiles | None

    @property
    def socket(self) -> Path:
        """Path of the local socket of this host's replica."""
        return self.folder / SOCKET_NAME


def check(table: StoreTable, base: Path, out: ProblemCollector) -> StoreSettings:
    """Checks keys against each other and adds problems to `out`."""
    members = tuple((name, address) for name, _, address in (each.partition("@") for each in table.members))
    is_local = True  # whether every address is a loopback address
    for at, (name, address) in enumerate(members):
        is_local = _is_loopback(f"store.members[{at}]", address, out) and is_local
        if name in [other for other, _ in members[:at]]:
            out.add(f"store.members[{at}]", f"found {format_value(name)} again", "each name once")
    for key in ("listen", "advertise"):
        if text := getattr(table, key):
            is_local = _is_loopback(f"store.{key}", text, out) and is_local
    names = [name for name, _ in members]
    if table.name and members and table.name not in names and not table.join:
        out.add("store.name", f"found {format_value(table.name)}", "one of the members, or join = true")
    if not table.name and not members:
        out.add("store.members", "none", "the replicas to ask, or a name to run one here")
    others = [name for name in names if name != table.name]
    if table.name and (others or table.join) and not table.listen:
        out.add("store.listen", "missing", "HOST:PORT for the other replicas")
    if table.heartbeat_ms * 3 > table.election_ms:
        out.add(
            "store.heartbeat_ms",
            f"found {table.heartbeat_ms:g}",
            f"up to a third of election_ms, {table.election_ms / 3:g}",
        )
    return StoreSettings(table, (base / table.dir).resolve(), members, _tls_files(table, base, is_local, out))


def _is_loopback(path: str, text: str, out: ProblemCollector) -> bool:
    """Returns whether an address is a loopback address; an invalid one adds a problem and returns True."""
    try:
        return is_loopback(text)
    except ConfigError:
        out.add(path, f"found {format_value(text)}", "HOST:PORT, as 10.0.0.1:7400")
        return True


def _tls_files(table: StoreTable, base: Path, is_local: bool, out: ProblemCollector) -> TlsFiles | None:
    given = {key: getattr(table, key) for key in ("cert", "key", "authority")}
    if not any(given.values()) and is_local:
        return None
    allowed = "a PEM file, or only loopback addresses"
    return pem_files("store", given, base, allowed, out)


def pem_files(
    section: str, given: dict[str, str], base: Path, allowed: str, out: ProblemCollector
) -> TlsFiles:
    """Returns the paths of `cert`, `key` and `authority`, and adds a problem for each that is not a file.

    `allowed` is what the problem of a missing key says is allowed.
    """
    for key, text in given.items():
        if not text:
            out.add(f"{section}.{key}", "missing", allowed)
        elif not (base / text).is_file():
            out.add(f"{section}.{key}", f"found {format_value(text)}, which is no file", "a PEM file")
    return TlsFiles(**{key: base / text for key, text in given.items()})


def load(path: Path) -> StoreSettings:
    """Reads the `[store]` table of a file, not its other tables; raises FileError with all problems."""
    return parse(load_toml(path), path)


def parse(raw: dict[str, Any], path: Path) -> StoreSettings:
    """Decodes and checks the `[store]` table among a file's tables; raises FileError with all problems."""
    out = ProblemCollector(str(path))
    table = raw.get("store")
    if not isinstance(table, dict):
        out.add("store", "missing", "a table [store]")
        raise FileError(out.problems)
    decoded = decode(StoreTable, table, out, "store")
    if decoded is None:
        raise FileError(out.problems)
    storage = check(decoded, path.parent, out)
    out.raise_problems()
    return storage
