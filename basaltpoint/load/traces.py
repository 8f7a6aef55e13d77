"""Recorded traces: access logs to JSON lines, and JSON lines to arrivals. Streaming: memory stays flat.

One JSON object a line: `t` (seconds, any origin), `method`, `path`; where known `account`, `class`, `bytes`.
Accounts are hashed with a salt when a log is imported, so that a trace can be kept and shared.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import BinaryIO

from basaltpoint.load.arrivals import Planned
from basaltpoint.load.scenario import ClassTable

LONGEST_LINE = 64 * 1024  # bytes; of a longer one nothing is kept
WINDOW = 10_000  # lines within which times that are out of order are put right
SHOWN = 10  # bad lines that are told with their number

COMMON = re.compile(
    r"(?P<ip>\S+) \S+ (?P<user>\S+) \[(?P<time>[^\]]+)\] "
    r'"(?P<method>[A-Z]+) (?P<path>\S+)[^"]*" \d{3} (?P<bytes>\d+|-)'
)
ENVOY = re.compile(
    r'\[(?P<time>[^\]]+)\] "(?P<method>[A-Z]+) (?P<path>\S+) [^"]*" \d+ \S+ '
    r'(?P<bytes>\d+) \d+ \d+ \S+ "(?P<ip>[^"]*)"'
)


class TraceError(ValueError):
    """A line that is none; says why."""


@dataclass(slots=True)
class Import:
    """What became of a log's lines."""

    lines: int = 0
    kept: int = 0
    moved: int = 0  # out of order, put right within the window
    clamped: int = 0  # out of order beyond it: taken at the time of the line before
    bad: Counter[str] = field(default_factory=Counter)
    shown: list[str] = field(default_factory=list)

    def reject(self, why: str) -> None:
        self.bad[why] += 1
        if len(self.shown) < SHOWN:
            self.shown.append(f"line {self.lines}: {why}")


@dataclass(frozen=True, slots=True)
class Row:
    """One request of a trace."""

    t: float
    method: str
    path: str
    account: str = ""
    cls: str = ""
    size: int = 0

    def line(self) -> bytes:
        raw: dict[str, object] = {"t": round(self.t, 6), "method": self.method, "path": self.path}
        raw |= {k: v for k, v in (("account", self.account), ("class", self.cls), ("bytes", self.size)) if v}
        return json.dumps(raw).encode() + b"\n"


def lines_of(file: BinaryIO, done: Import) -> Iterator[str]:
    """The lines of a file; one that is too long is counted and skipped without being held."""
    while piece := file.readline(LONGEST_LINE + 1):
        done.lines += 1
        if len(piece) > LONGEST_LINE and not piece.endswith(b"\n"):
            while (piece := file.readline(LONGEST_LINE)) and not piece.endswith(b"\n"):
                pass
            done.reject(f"longer than {LONGEST_LINE} bytes")
            continue
        yield piece.decode("utf-8", "replace").rstrip("\r\n")


def hashed(account: str, salt: bytes) -> str:
    """An account's name as a trace holds it; the same name and salt give the same."""
    return hashlib.blake2b(account.encode(), key=salt[:64], digest_size=8).hexdigest()


# --- Formats ---------------------------------------------------------------------------------------
def _from_log(pattern: re.Pattern[str], when: Callable[[str], float], by: str, line: str) -> Row:
    match = pattern.match(line)
    if match is None:
        raise TraceError("not of this format")
    try:
        at = when(match["time"])
    except ValueError:
        raise TraceError(f"no time: {match['time'][:40]!r}") from None
    groups = match.groupdict()
    who = groups.get(by) or groups["ip"]
    size = groups["bytes"]
    sends = match["method"] in ("POST", "PUT", "PATCH")
    return Row(
        at,
        match["method"],
        match["path"],
        "" if who == "-" else who,
        "",
        int(size) if sends and size.isdigit() else 0,
    )


def _common_time(text: str) -> float:
    return datetime.strptime(text, "%d/%b/%Y:%H:%M:%S %z").timestamp()


def _iso_time(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def common(line: str, by: str = "user") -> Row:
    """A line of the common or combined log format, which nginx writes, too."""
    return _from_log(COMMON, _common_time, by, line)


def envoy(line: str, by: str = "ip") -> Row:
    """A line of Envoy's default access log."""
    return _from_log(ENVOY, _iso_time, by, line)


def own(line: str, by: str = "") -> Row:
    """A line of this project's own traces."""
    try:
        raw = json.loads(line)
    except ValueError:
        raise TraceError("no JSON") from None
    if not isinstance(raw, dict):
        raise TraceError("no object")
    for key, kinds in (("t", (int, float)), ("method", str), ("path", str)):
        if key not in raw:
            raise TraceError(f"{key} is missing")
        if not isinstance(raw[key], kinds) or isinstance(raw[key], bool):
            raise TraceError(f"{key} is of a wrong type")
    size = raw.get("bytes", 0)
    if isinstance(size, bool) or not isinstance(size, int) or size < 0:
        raise TraceError("bytes is no whole number")
    return Row(
        float(raw["t"]),
        raw["method"],
        raw["path"],
        str(raw.get("account", "")),
        str(raw.get("class", "")),
        size,
    )


FORMATS: dict[str, Callable[..., Row]] = {"common": common, "nginx": common, "envoy": envoy, "own": own}


def read(file: BinaryIO, kind: str, done: Import, by: str | None = None) -> Iterator[Row]:
    """The rows of a log in the order of their times, as far as the window reaches."""
    parse = FORMATS[kind]
    heap: list[tuple[float, int, Row]] = []
    last, newest = -1e300, -1e300
    for line in lines_of(file, done):
        if not line.strip():
            continue
        try:
            row = parse(line, by) if by else parse(line)
        except TraceError as error:
            done.reject(str(error))
            continue
        done.kept += 1
        done.moved += row.t < newest
        newest = max(newest, row.t)
        heapq.heappush(heap, (row.t, done.lines, row))
        if len(heap) > WINDOW:
            last, row = _pop(heap, last, done)
            yield row
    while heap:
        last, row = _pop(heap, last, done)
        yield row


def _pop(heap: list[tuple[float, int, Row]], last: float, done: Import) -> tuple[float, Row]:
    t, _, row = heapq.heappop(heap)
    if t < last:
        done.clamped += 1
        row = Row(last, row.method, row.path, row.account, row.cls, row.size)
    return row.t, row


def convert(source: BinaryIO, sink: BinaryIO, kind: str, salt: bytes, by: str | None = None) -> Import:
    """A log to a trace, its accounts hashed."""
    done = Import()
    for row in read(source, kind, done, by):
        account = hashed(row.account, salt) if row.account else ""
        sink.write(Row(row.t, row.method, row.path, account, row.cls, row.size).line())
    return done


# --- Replay ------------------------------------------------------------------------------------------
def replay(
    rows: Iterable[Row], factor: float, classes: dict[str, ClassTable], plan: str = "trace"
) -> Iterator[Planned]:
    """The trace's arrivals at `factor` times its speed; gaps are kept, shorter by the factor."""
    start: float | None = None
    first = next(iter(classes))
    for number, row in enumerate(rows):
        start = row.t if start is None else start
        cls = row.cls if row.cls in classes else _class_of(row, classes, first)
        yield Planned(
            number,
            (row.t - start) / factor,
            plan,
            cls,
            row.account or "anonymous",
            row.method,
            row.path,
            row.size,
        )


def _class_of(row: Row, classes: dict[str, ClassTable], first: str) -> str:
    """The first class with this method, else the first of all."""
    return next((name for name, cls in classes.items() if cls.method == row.method), first)
