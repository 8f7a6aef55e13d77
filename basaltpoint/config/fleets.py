"""The `[fleet]` table, checked and with its paths made whole."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from basaltpoint.config.address import ConfigError, is_loopback, parse_address
from basaltpoint.config.decode import FileError, ProblemCollector, decode, format_value, load_toml
from basaltpoint.config.schema import FleetTable
from basaltpoint.config.storage import TlsFiles, pem_files


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """What a member needs to know. `files` is None on the loopback alone."""

    table: FleetTable
    name: str
    seeds: tuple[tuple[str, str], ...]  # name, HOST:PORT
    tls_files: TlsFiles | None
    journal: Path | None

    @property
    def cluster(self) -> str:
        """What members and operators greet for: unlike a store's of the same name."""
        return f"fleet {self.table.cluster}"

    @property
    def address(self) -> str:
        """Where the file says that this member is reached."""
        return self.table.advertise or self.table.listen


def check(table: FleetTable, name: str, base: Path, out: ProblemCollector) -> FleetSettings:
    """Check one key against another; problems go to `out`. `name` is the limiter's."""
    loopback = False
    for key in ("listen", "advertise"):
        if text := getattr(table, key):
            try:
                loopback = is_loopback(text) if key == "listen" else loopback
            except ConfigError:
                out.add(f"fleet.{key}", f"found {format_value(text)}", "HOST:PORT, as 10.0.0.1:7500")
    seeds = tuple((seed, address) for seed, _, address in (each.partition("@") for each in table.seeds))
    for at, (seed, address) in enumerate(seeds):
        try:
            parse_address(address)
        except ConfigError:
            out.add(f"fleet.seeds[{at}]", f"found {format_value(address)}", "NAME@HOST:PORT")
        if seed in [other for other, _ in seeds[:at]]:
            out.add(f"fleet.seeds[{at}]", f"found {format_value(seed)} again", "each name once")
    files = _files(table, base, loopback, out)
    journal = base / table.journal if table.journal else None
    return FleetSettings(table, table.name or name, seeds, files, journal)


def _files(table: FleetTable, base: Path, loopback: bool, out: ProblemCollector) -> TlsFiles | None:
    given = {key: getattr(table, key) for key in ("cert", "key", "authority")}
    if not any(given.values()) and loopback:
        return None
    return pem_files("fleet", given, base, "a PEM file, or a `listen` of the loopback", out)


def parse(raw: dict[str, Any], path: Path) -> FleetSettings:
    """The `[fleet]` table of a file's tables; FileError with every problem found."""
    out = ProblemCollector(str(path))
    table = raw.get("fleet")
    if not isinstance(table, dict):
        out.add("fleet", "missing", "a table [fleet]")
        raise FileError(out.problems)
    made = decode(FleetTable, table, out, "fleet")
    if made is None:
        raise FileError(out.problems)
    name = raw.get("name", "basaltpoint")
    setting = check(made, name if isinstance(name, str) else "basaltpoint", path.parent, out)
    out.raise_problems()
    return setting


def load(path: Path) -> FleetSettings:
    """The same of a file, whatever else stands in it."""
    return parse(load_toml(path), path)
