"""The `[store]` table, checked and with its paths made whole."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from basaltpoint.config.address import ConfigError, is_loopback
from basaltpoint.config.decode import Collector, FileError, decode, read_sound, shown
from basaltpoint.config.schema import StoreTable

SOCKET = "socket"  # of a replica, in its folder


@dataclass(frozen=True, slots=True)
class Files:
    """Certificate, key and authority."""

    cert: Path
    key: Path
    authority: Path


@dataclass(frozen=True, slots=True)
class Storage:
    """What a replica or a client of the store needs to know."""

    table: StoreTable
    folder: Path
    members: tuple[tuple[str, str], ...]  # name, HOST:PORT
    files: Files | None

    @property
    def socket(self) -> Path:
        """Where this host's replica is reached."""
        return self.folder / SOCKET


def check(table: StoreTable, base: Path, out: Collector) -> Storage:
    """Check one key against another; problems go to `out`."""
    members = tuple((name, address) for name, _, address in (each.partition("@") for each in table.members))
    here = True  # no replica is on another host
    for at, (name, address) in enumerate(members):
        here = _here(f"store.members[{at}]", address, out) and here
        if name in [other for other, _ in members[:at]]:
            out.add(f"store.members[{at}]", f"found {shown(name)} again", "each name once")
    for key in ("listen", "advertise"):
        if text := getattr(table, key):
            here = _here(f"store.{key}", text, out) and here
    names = [name for name, _ in members]
    if table.name and members and table.name not in names and not table.join:
        out.add("store.name", f"found {shown(table.name)}", "one of the members, or join = true")
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
    return Storage(table, (base / table.dir).resolve(), members, _files(table, base, here, out))


def _here(path: str, text: str, out: Collector) -> bool:
    """Whether an address is of this host alone; true as well of one that is none, which is told."""
    try:
        return is_loopback(text)
    except ConfigError:
        out.add(path, f"found {shown(text)}", "HOST:PORT, as 10.0.0.1:7400")
        return True


def _files(table: StoreTable, base: Path, here: bool, out: Collector) -> Files | None:
    given = {key: getattr(table, key) for key in ("cert", "key", "authority")}
    if not any(given.values()) and here:
        return None
    why = "a PEM file, or addresses of the loopback alone"
    return pem_files("store", given, base, why, out)


def pem_files(section: str, given: dict[str, str], base: Path, why: str, out: Collector) -> Files:
    """The files of `cert`, `key` and `authority`; `why` says what is allowed where one is missing."""
    for key, text in given.items():
        if not text:
            out.add(f"{section}.{key}", "missing", why)
        elif not (base / text).is_file():
            out.add(f"{section}.{key}", f"found {shown(text)}, which is no file", "a PEM file")
    return Files(**{key: base / text for key, text in given.items()})


def load(path: Path) -> Storage:
    """The `[store]` table of a file, whatever else stands in it; FileError with every problem found."""
    return parse(read_sound(path), path)


def parse(raw: dict[str, Any], path: Path) -> Storage:
    """The same of a file's tables."""
    out = Collector(str(path))
    table = raw.get("store")
    if not isinstance(table, dict):
        out.add("store", "missing", "a table [store]")
        raise FileError(out.problems)
    made = decode(StoreTable, table, out, "store")
    if made is None:
        raise FileError(out.problems)
    storage = check(made, path.parent, out)
    out.check()
    return storage
