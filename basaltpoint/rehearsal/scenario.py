"""Reads the scenario file of a rehearsal: the fleet, its load and the faults; reports all problems."""

from __future__ import annotations

import errno
import math
from pathlib import Path
from typing import Annotated, Any

import msgspec

from basaltpoint.config.decode import ProblemCollector, decode, format_value, load_toml
from basaltpoint.config.schema import described
from basaltpoint.load.scenario import ClassTable, PlanTable
from basaltpoint.rehearsal.faults import LINK_FAULTS, SERVER_FAULTS, Fault, FaultKind

# Tables and keys of a limiter's file that the rehearsal sets itself; with replicas, `store` too.
RESERVED_TABLES = {"fleet", "listen", "name"}
UNTIL_END = 0.0  # as `for_s`: the fault lasts until the end


class FleetTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[fleet]`: the processes and the duration."""

    limiters: Annotated[int, described("Limiters, named l1, l2, ...", ge=1, le=200)] = 3
    servers: Annotated[int, described("Stand-in servers, named s1, s2, ...", ge=1, le=100)] = 2
    seconds: Annotated[float, described("Duration of the rehearsal.", gt=0, le=86400)] = 30.0
    store: Annotated[int, described("Replicas of the store, named r1, r2, ...; 0 for none.", ge=0, le=7)] = 0


class LoadTable(msgspec.Struct, frozen=True, kw_only=True):
    """`[load]`: plans and classes as in scenarios of the load generator; no load without plans."""

    plan: tuple[PlanTable, ...] = ()
    class_: tuple[ClassTable, ...] = msgspec.field(name="class", default=())


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """The file except for the faults and the limiter's tables, which are read separately."""

    fleet: FleetTable = FleetTable()
    load: LoadTable = LoadTable()


class Rehearsal(msgspec.Struct, frozen=True, kw_only=True):
    """A valid scenario. `limiter` holds tables that replace those of each limiter's file."""

    fleet: FleetTable
    load: LoadTable
    limiter: dict[str, Any]
    faults: tuple[Fault, ...]

    @property
    def limiter_names(self) -> list[str]:
        return [f"l{at + 1}" for at in range(self.fleet.limiters)]

    @property
    def replica_names(self) -> list[str]:
        return [f"r{at + 1}" for at in range(self.fleet.store)]


SYSTEM_CALLS = ("accept", "connect", "socket", "read", "write", "poll")  # those that a scenario may let fail
MAX_CLOCK_STEP_S = 1e9  # of the wall clock, in both directions
EXPECTED_VALUES = {
    "server": "the name of a server",
    "call": "a system call",
    "error": "an errno's name",
    "by_s": "seconds",
}
NUMBER_DEFAULTS = {"at_s": 0.0, "for_s": UNTIL_END, "part": 0.2, "ms": 0.0, "jitter_ms": 0.0}


def load(path: Path) -> Rehearsal:
    """Reads and checks a scenario file; raises FileError with all problems."""
    out, raw = ProblemCollector(str(path)), dict(load_toml(path))
    faults, limiter = raw.pop("fault", []), raw.pop("limiter", {})
    scenario = decode(Scenario, raw, out) or Scenario()
    if not isinstance(limiter, dict):
        out.add("limiter", f"found {format_value(limiter)}", "a table")
    elif reserved := sorted(
        ({*RESERVED_TABLES, "store"} if scenario.fleet.store else RESERVED_TABLES) & limiter.keys()
    ):
        out.add(f"limiter.{reserved[0]}", "given", "any table that the rehearsal does not set itself")
    if not isinstance(faults, list):
        out.add("fault", f"found {format_value(faults)}", "a list of tables, [[fault]]")
        faults = []
    decoded = [_decode_fault(f"fault[{at}]", row, scenario.fleet, out) for at, row in enumerate(faults)]
    if scenario.load.plan and not scenario.load.class_:
        out.add("load.class", "none", "at least one [[load.class]] if there are plans")
    out.raise_problems()
    return Rehearsal(
        fleet=scenario.fleet, load=scenario.load, limiter=limiter, faults=tuple(f for f in decoded if f)
    )


def _decode_names(path: str, value: Any, known: list[str], out: ProblemCollector) -> tuple[str, ...]:
    names = [value] if isinstance(value, str) else value
    if not isinstance(names, list) or not names or not all(isinstance(name, str) for name in names):
        out.add(path, f"found {format_value(value)}", "a name, or a list of names")
        return ()
    for name in names:
        if name not in known:
            groups = [[n for n in known if n[0] == kind] for kind in "lr"]
            allowed = ", ".join(f"{group[0]} to {group[-1]}" for group in groups if group)
            out.add(path, f"found {format_value(name)}", f"one of {allowed}")
    return tuple(names)


def _decode_fault(path: str, row: Any, fleet: FleetTable, out: ProblemCollector) -> Fault | None:
    problem_count = len(out.problems)
    if not isinstance(row, dict):
        out.add(path, f"found {format_value(row)}", "a table")
        return None
    limiters = [f"l{at + 1}" for at in range(fleet.limiters)]
    replicas = [f"r{at + 1}" for at in range(fleet.store)]
    try:
        kind = FaultKind(row.get("kind"))
    except ValueError:
        out.add(
            f"{path}.kind",
            f"found {format_value(row.get('kind', ''))}",
            "one of " + ", ".join(k.value for k in FaultKind),
        )
        return None
    # A replica that lost its disk must not return under its name; upgrades and drains apply to limiters only.
    known_names = (
        limiters
        if kind in (*SERVER_FAULTS, FaultKind.WIPE, FaultKind.PUTBACK, FaultKind.UPGRADE)
        else limiters + replicas
    )
    if kind is FaultKind.SPLIT:
        keys = {"sides"}
    elif kind in LINK_FAULTS:
        keys = {"from", "to"} | ({"part"} if kind is FaultKind.DROP else set())
        keys |= {"ms", "jitter_ms"} if kind is FaultKind.DELAY else set()
    else:
        keys = {"on"} | ({"server"} if kind in SERVER_FAULTS else set())
        keys |= {"part"} if kind in (FaultKind.SYNC, FaultKind.CALLS) else set()
        keys |= {"call", "error"} if kind is FaultKind.CALLS else set()
        keys |= {"by_s"} if kind is FaultKind.CLOCK else set()
    for key in sorted(row.keys() - keys - {"kind", "at_s", "for_s"}):
        out.add(
            f"{path}.{key}", f"not for {kind.value}", "one of " + ", ".join(sorted(keys | {"at_s", "for_s"}))
        )
    for key in sorted(keys - row.keys() - NUMBER_DEFAULTS.keys()):
        out.add(f"{path}.{key}", "missing", EXPECTED_VALUES.get(key, "names"))
    numbers = {
        key: _decode_number(f"{path}.{key}", row.get(key, default), out)
        for key, default in NUMBER_DEFAULTS.items()
    }
    if numbers["at_s"] >= fleet.seconds:
        out.add(f"{path}.at_s", f"found {numbers['at_s']:g}", f"below fleet.seconds, {fleet.seconds:g}")
    if not 0 < numbers["part"] <= 1:
        out.add(f"{path}.part", f"found {numbers['part']:g}", "above 0, up to 1")
    names_by_key = {
        key: _decode_names(f"{path}.{key}", row[key], known_names, out)
        for key in ("on", "from", "to")
        if key in row
    }
    sides = tuple(
        _decode_names(f"{path}.sides[{at}]", side, known_names, out)
        for at, side in enumerate(_as_list(row.get("sides", [])))
    )
    repeated = [name for at, side in enumerate(sides) for name in side if any(name in s for s in sides[:at])]
    if kind is FaultKind.SPLIT and (len(sides) < 2 or repeated):
        out.add(
            f"{path}.sides",
            f"found {len(sides)}, {repeated or 'none'} twice",
            "at least two lists, each name in only one",
        )
    servers = [f"s{at + 1}" for at in range(fleet.servers)]
    if kind in SERVER_FAULTS and "server" in row and row["server"] not in servers:
        out.add(
            f"{path}.server", f"found {format_value(row['server'])}", f"one of {servers[0]} to {servers[-1]}"
        )
    if kind in SERVER_FAULTS and not fleet.store:
        out.add(f"{path}.kind", f"found {kind.value}", "with fleet.store: drains go through the store")
    _check_system_keys(path, row, keys, out)
    if len(out.problems) > problem_count:
        return None
    end_s = numbers["at_s"] + numbers["for_s"] if numbers["for_s"] else math.inf
    return Fault(
        kind, numbers["at_s"], end_s,
        names_by_key.get("on", ()), names_by_key.get("from", ()), names_by_key.get("to", ()), sides,
        numbers["part"], numbers["ms"] / 1000, numbers["jitter_ms"] / 1000, str(row.get("server", "")),
        str(row.get("call", "")), str(row.get("error", "")), float(row.get("by_s", 0.0)),
    )  # fmt: skip


def _check_system_keys(path: str, row: dict[str, Any], keys: set[str], out: ProblemCollector) -> None:
    """Checks the keys of faults of system calls and clocks."""
    if "call" in keys & row.keys() and row["call"] not in SYSTEM_CALLS:
        out.add(f"{path}.call", f"found {format_value(row['call'])}", "one of " + ", ".join(SYSTEM_CALLS))
    if "error" in keys & row.keys() and row["error"] not in errno.errorcode.values():
        out.add(f"{path}.error", f"found {format_value(row['error'])}", "an errno's name, e.g. ENFILE")
    by_s = row.get("by_s", 0.0)
    if isinstance(by_s, bool) or not isinstance(by_s, int | float) or not abs(by_s) <= MAX_CLOCK_STEP_S:
        out.add(
            f"{path}.by_s",
            f"found {format_value(by_s)}",
            f"seconds, from {-MAX_CLOCK_STEP_S:g} to {MAX_CLOCK_STEP_S:g}",
        )


def _as_list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else [value]


def _decode_number(path: str, value: Any, out: ProblemCollector) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= 86_400_000:
        out.add(path, f"found {format_value(value)}", "a number from 0 on")
        return 0.5
    return float(value)
