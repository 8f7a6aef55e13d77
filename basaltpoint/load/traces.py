"""Recorded traces: converts access logs to traces, and traces to arrivals. Streaming, with bounded memory.

A trace has one JSON object per line: `t` (seconds, any origin), `method`, `path`, and if known `account`,
`class` and `bytes`. Accounts are hashed with a salt when a log is imported, so that a trace can be stored and
shared.
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

from basaltpoint.load.arrivals import PlannedRequest
from basaltpoint.load.scenario import ClassTable

MAX_LINE_BYTES = 64 * 1024  # longer lines are skipped
REORDER_WINDOW_LINES = 10_000  # lines within which out-of-order times are sorted
MAX_SHOWN_LINES = 10  # rejected lines that are reported with their number

COMMON_PATTERN = re.compile(
    r"(?P<ip>\S+) \S+ (?P<user>\S+) \[(?P<time>[^\]]+)\] "
    r'"(?P<method>[A-Z]+) (?P<path>\S+)[^"]*" \d{3} (?P<bytes>\d+|-)'
)
ENVOY_PATTERN = re.compile(
    r'\[(?P<time>[^\]]+)\] "(?P<method>[A-Z]+) (?P<path>\S+) [^"]*" \d+ \S+ '
    r'(?P<bytes>\d+) \d+ \d+ \S+ "(?P<ip>[^"]*)"'
)


class TraceError(ValueError):
    """A line that cannot be parsed; the message is the reason."""


@dataclass(slots=True)
class ImportResult:
    """Result of reading a log: how many lines were kept, reordered and rejected."""

    lines: int = 0
    kept: int = 0
    reordered: int = 0  # out of order, sorted within the window
    clamped: int = 0  # out of order beyond the window: got the time of the line before
    rejected: Counter[str] = field(default_factory=Counter)
    shown: list[str] = field(default_factory=list)

    def reject(self, reason: str) -> None:
        self.rejected[reason] += 1
        if len(self.shown) < MAX_SHOWN_LINES:
            self.shown.append(f"line {self.lines}: {reason}")


@dataclass(frozen=True, slots=True)
class TraceRow:
    """One request of a trace. `time_s` is in seconds from any origin."""

    time_s: float
    method: str
    path: str
    account: str = ""
    class_name: str = ""
    body_bytes: int = 0

    def to_line(self) -> bytes:
        raw: dict[str, object] = {"t": round(self.time_s, 6), "method": self.method, "path": self.path}
        raw |= {
            k: v
            for k, v in (("account", self.account), ("class", self.class_name), ("bytes", self.body_bytes))
            if v
        }
        return json.dumps(raw).encode() + b"\n"


def read_lines(file: BinaryIO, result: ImportResult) -> Iterator[str]:
    """Yields the lines of a file; counts and skips a line that is too long without holding it in memory."""
    while piece := file.readline(MAX_LINE_BYTES + 1):
        result.lines += 1
        if len(piece) > MAX_LINE_BYTES and not piece.endswith(b"\n"):
            while (piece := file.readline(MAX_LINE_BYTES)) and not piece.endswith(b"\n"):
                pass
            result.reject(f"longer than {MAX_LINE_BYTES} bytes")
            continue
        yield piece.decode("utf-8", "replace").rstrip("\r\n")


def hash_account(account: str, salt: bytes) -> str:
    """Returns the salted hash of an account name, as stored in a trace."""
    return hashlib.blake2b(account.encode(), key=salt[:64], digest_size=8).hexdigest()


# --- Formats ---------------------------------------------------------------------------------------
def _parse_log_line(
    pattern: re.Pattern[str], parse_time: Callable[[str], float], account_field: str, line: str
) -> TraceRow:
    match = pattern.match(line)
    if match is None:
        raise TraceError("not in this format")
    try:
        time_s = parse_time(match["time"])
    except ValueError:
        raise TraceError(f"invalid time: {match['time'][:40]!r}") from None
    groups = match.groupdict()
    account = groups.get(account_field) or groups["ip"]
    size = groups["bytes"]
    has_body = match["method"] in ("POST", "PUT", "PATCH")
    return TraceRow(
        time_s,
        match["method"],
        match["path"],
        "" if account == "-" else account,
        "",
        int(size) if has_body and size.isdigit() else 0,
    )


def _common_time(text: str) -> float:
    return datetime.strptime(text, "%d/%b/%Y:%H:%M:%S %z").timestamp()


def _iso_time(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def parse_common(line: str, account_field: str = "user") -> TraceRow:
    """Parses a line of the common or combined log format, which nginx also writes."""
    return _parse_log_line(COMMON_PATTERN, _common_time, account_field, line)


def parse_envoy(line: str, account_field: str = "ip") -> TraceRow:
    """Parses a line of Envoy's default access log."""
    return _parse_log_line(ENVOY_PATTERN, _iso_time, account_field, line)


def parse_trace(line: str, account_field: str = "") -> TraceRow:
    """Parses a line of this project's trace format."""
    try:
        raw = json.loads(line)
    except ValueError:
        raise TraceError("not JSON") from None
    if not isinstance(raw, dict):
        raise TraceError("not a JSON object")
    for key, kinds in (("t", (int, float)), ("method", str), ("path", str)):
        if key not in raw:
            raise TraceError(f"{key} is missing")
        if not isinstance(raw[key], kinds) or isinstance(raw[key], bool):
            raise TraceError(f"{key} has the wrong type")
    size = raw.get("bytes", 0)
    if isinstance(size, bool) or not isinstance(size, int) or size < 0:
        raise TraceError("bytes is not a non-negative integer")
    return TraceRow(
        float(raw["t"]),
        raw["method"],
        raw["path"],
        str(raw.get("account", "")),
        str(raw.get("class", "")),
        size,
    )


FORMATS: dict[str, Callable[..., TraceRow]] = {
    "common": parse_common,
    "nginx": parse_common,
    "envoy": parse_envoy,
    "own": parse_trace,
}


def read(
    file: BinaryIO, log_format: str, result: ImportResult, account_field: str | None = None
) -> Iterator[TraceRow]:
    """Yields the rows of a log in order of time, as far as the reorder window allows."""
    parse = FORMATS[log_format]
    heap: list[tuple[float, int, TraceRow]] = []
    last_s, newest_s = -1e300, -1e300
    for line in read_lines(file, result):
        if not line.strip():
            continue
        try:
            row = parse(line, account_field) if account_field else parse(line)
        except TraceError as error:
            result.reject(str(error))
            continue
        result.kept += 1
        result.reordered += row.time_s < newest_s
        newest_s = max(newest_s, row.time_s)
        heapq.heappush(heap, (row.time_s, result.lines, row))
        if len(heap) > REORDER_WINDOW_LINES:
            last_s, row = _pop(heap, last_s, result)
            yield row
    while heap:
        last_s, row = _pop(heap, last_s, result)
        yield row


def _pop(
    heap: list[tuple[float, int, TraceRow]], last_s: float, result: ImportResult
) -> tuple[float, TraceRow]:
    time_s, _, row = heapq.heappop(heap)
    if time_s < last_s:
        result.clamped += 1
        row = TraceRow(last_s, row.method, row.path, row.account, row.class_name, row.body_bytes)
    return row.time_s, row


def convert(
    source: BinaryIO, sink: BinaryIO, log_format: str, salt: bytes, account_field: str | None = None
) -> ImportResult:
    """Converts a log to a trace, with hashed accounts."""
    result = ImportResult()
    for row in read(source, log_format, result, account_field):
        account = hash_account(row.account, salt) if row.account else ""
        sink.write(
            TraceRow(row.time_s, row.method, row.path, account, row.class_name, row.body_bytes).to_line()
        )
    return result


# --- Replay ------------------------------------------------------------------------------------------
def replay(
    rows: Iterable[TraceRow], factor: float, classes: dict[str, ClassTable], plan: str = "trace"
) -> Iterator[PlannedRequest]:
    """Yields the requests of a trace at `factor` times its speed; gaps shrink by the same factor."""
    start_s: float | None = None
    default_class = next(iter(classes))
    for number, row in enumerate(rows):
        start_s = row.time_s if start_s is None else start_s
        class_name = row.class_name if row.class_name in classes else _class_of(row, classes, default_class)
        yield PlannedRequest(
            number,
            (row.time_s - start_s) / factor,
            plan,
            class_name,
            row.account or "anonymous",
            row.method,
            row.path,
            row.body_bytes,
        )


def _class_of(row: TraceRow, classes: dict[str, ClassTable], default: str) -> str:
    """Returns the first class with the method of the row, or else the first class."""
    return next((name for name, cls in classes.items() if cls.method == row.method), default)
