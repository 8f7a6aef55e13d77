"""Checks the `[fleet]` table and resolves its paths."""

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
    """A member's settings. `tls_files` is None if the member listens at a loopback address only."""

    table: FleetTable
    name: str
    seeds: tuple[tuple[str, str], ...]  # name, HOST:PORT
    tls_files: TlsFiles | None
    journal: Path | None

    @property
    def cluster(self) -> str:
        """Name of the cluster in greetings; it differs from that of a store's cluster of the same name."""
        return f"fleet {self.table.cluster}"

    @property
    def address(self) -> str:
        """Address at which the other members reach this one, by the file."""
        return self.table.advertise or self.table.listen


def check(table: FleetTable, name: str, base: Path, out: ProblemCollector) -> FleetSettings:
    """Checks keys against each other and adds problems to `out`; `name` is the limiter's name."""
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
    tls_files = _tls_files(table, base, loopback, out)
    journal = base / table.journal if table.journal else None
    return FleetSettings(table, table.name or name, seeds, tls_files, journal)


def _tls_files(table: FleetTable, base: Path, loopback: bool, out: ProblemCollector) -> TlsFiles | None:
    given = {key: getattr(table, key) for key in ("cert", "key", "authority")}
    if not any(given.values()) and loopback:
        return None
    return pem_files("fleet", given, base, "a PEM file, or a loopback address for `listen`", out)


def parse(raw: dict[str, Any], path: Path) -> FleetSettings:
    """Decodes and checks the `[fleet]` table among a file's tables; raises FileError with all problems."""
    out = ProblemCollector(str(path))
    table = raw.get("fleet")
    if not isinstance(table, dict):
        out.add("fleet", "missing", "a table [fleet]")
        raise FileError(out.problems)
    decoded = decode(FleetTable, table, out, "fleet")
    if decoded is None:
        raise FileError(out.problems)
    name = raw.get("name", "basaltpoint")
    settings = check(decoded, name if isinstance(name, str) else "basaltpoint", path.parent, out)
    out.raise_problems()
    return settings


def load(path: Path) -> FleetSettings:
    """Reads the `[fleet]` table of a file, not its other tables; raises FileError with all problems."""
    return parse(load_toml(path), path)
