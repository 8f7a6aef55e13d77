"""The `[store]` table, checked and with its paths made whole."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from basaltpoint.config.address import ConfigError, is_loopback
from basaltpoint.config.decode import FileError, ProblemCollector, decode, format_value, load_toml
from basaltpoint.config.schema import StoreTable

SOCKET_NAME = "socket"  # of a replica, in its folder


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Certificate, key and authority."""

    cert: Path
    key: Path
    authority: Path


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """What a replica or a client of the store needs to know."""

    table: StoreTable
    folder: Path
    members: tuple[tuple[str, str], ...]  # name, HOST:PORT
    tls_files: TlsFiles | None

    @property
    def socket(self) -> Path:
        """Where this host's replica is reached."""
        return self.folder / SOCKET_NAME


def check(table: StoreTable, base: Path, out: ProblemCollector) -> StoreSettings:
    """Check one key against another; problems go to `out`."""
    members = tuple((name, address) for name, _, address in (each.partition("@") for each in table.members))
    here = True  # no replica is on another host
    for at, (name, address) in enumerate(members):
        here = _is_loopback(f"store.members[{at}]", address, out) and here
        if name in [other for other, _ in members[:at]]:
            out.add(f"store.members[{at}]", f"found {format_value(name)} again", "each name once")
    for key in ("listen", "advertise"):
        if text := getattr(table, key):
            here = _is_loopback(f"store.{key}", text, out) and here
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
    return StoreSettings(table, (base / table.dir).resolve(), members, _files(table, base, here, out))


def _is_loopback(path: str, text: str, out: ProblemCollector) -> bool:
    """Whether an address is of this host alone; true as well of one that is none, which is told."""
    try:
        return is_loopback(text)
    except ConfigError:
        out.add(path, f"found {format_value(text)}", "HOST:PORT, as 10.0.0.1:7400")
        return True


def _files(table: StoreTable, base: Path, here: bool, out: ProblemCollector) -> TlsFiles | None:
    given = {key: getattr(table, key) for key in ("cert", "key", "authority")}
    if not any(given.values()) and here:
        return None
    why = "a PEM file, or addresses of the loopback alone"
    return pem_files("store", given, base, why, out)


def pem_files(section: str, given: dict[str, str], base: Path, why: str, out: ProblemCollector) -> TlsFiles:
    """The files of `cert`, `key` and `authority`; `why` says what is allowed where one is missing."""
    for key, text in given.items():
        if not text:
            out.add(f"{section}.{key}", "missing", why)
        elif not (base / text).is_file():
            out.add(f"{section}.{key}", f"found {format_value(text)}, which is no file", "a PEM file")
    return TlsFiles(**{key: base / text for key, text in given.items()})


def load(path: Path) -> StoreSettings:
    """The `[store]` table of a file, whatever else stands in it; FileError with every problem found."""
    return parse(load_toml(path), path)


def parse(raw: dict[str, Any], path: Path) -> StoreSettings:
    """The same of a file's tables."""
    out = ProblemCollector(str(path))
    table = raw.get("store")
    if not isinstance(table, dict):
        out.add("store", "missing", "a table [store]")
        raise FileError(out.problems)
    made = decode(StoreTable, table, out, "store")
    if made is None:
        raise FileError(out.problems)
    storage = check(made, path.parent, out)
    out.raise_problems()
    return storage
