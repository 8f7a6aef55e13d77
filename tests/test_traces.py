"""Conversion of access logs to traces, replay of traces, and the ledger that finds violations."""

from __future__ import annotations

import io
import json
import tracemalloc
from collections.abc import Iterator

import pytest

from basaltpoint.load import ledger, traces
from basaltpoint.load.ledger import ClientAttempt, ServerAttempt, audit
from basaltpoint.load.scenario import ClassTable
from basaltpoint.load.traces import ImportResult, TraceError, TraceRow

NGINX = '10.0.0.7 - ann [01/Dec/2026:09:00:{:02d} +0000] "GET /series/{} HTTP/1.1" 200 512 "-" "curl/8"'
ENVOY = '[2026-12-01T09:00:01.250Z] "POST /observations HTTP/1.1" 200 - 42 17 12 11 "10.0.0.9" "curl" "id" "host" "up"'


def test_formats() -> None:
    row = traces.parse_common(NGINX.format(5, 1))
    assert (row.method, row.path, row.account, row.body_bytes) == ("GET", "/series/1", "ann", 0)
    assert traces.parse_common(NGINX.format(5, 1), "ip").account == "10.0.0.7"
    assert (
        traces.parse_common('h - - [01/Dec/2026:10:00:00 +0100] "PUT /x HTTP/1.0" 201 -').time_s
        == traces.parse_common(NGINX.format(0, 1)).time_s
    )
    row = traces.parse_envoy(ENVOY)
    assert (row.method, row.path, row.account, row.body_bytes) == ("POST", "/observations", "10.0.0.9", 42)
    assert row.time_s % 1 == 0.25
    assert traces.parse_trace('{"t": 1.5, "method": "GET", "path": "/", "class": "read"}') == TraceRow(
        1.5, "GET", "/", "", "read"
    )
    for parse, line in (
        (traces.parse_common, "rubbish"),
        (traces.parse_common, NGINX.format(5, 1).replace("Dec", "Dez")),
        (traces.parse_trace, "[]"),
        (traces.parse_trace, '{"t": 1, "method": "GET"}'),
        (traces.parse_trace, '{"t": "1", "method": "GET", "path": "/"}'),
        (traces.parse_trace, '{"t": 1, "method": "GET", "path": "/", "bytes": -1}'),
    ):
        with pytest.raises(TraceError):
            parse(line)


def test_bad_lines_are_counted_and_reported_and_the_rest_is_kept() -> None:
    lines = [NGINX.format(n, n) for n in range(5)]
    lines[2:2] = ["rubbish", "x" * 1_000_000, ""]
    counts = ImportResult()
    rows = list(traces.read(io.BytesIO("\n".join(lines).encode()), "nginx", counts))
    assert [row.path for row in rows] == [f"/series/{n}" for n in range(5)]
    assert (counts.lines, counts.kept) == (8, 5) and sum(counts.rejected.values()) == 2
    assert counts.shown == [
        "line 3: not in this format",
        f"line 4: longer than {traces.MAX_LINE_BYTES} bytes",
    ]


def test_times_out_of_order_are_sorted_within_the_window(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(traces, "REORDER_WINDOW_LINES", 10)
    times = [0, 1, 3, 2, 4, 5, 7, 6, *range(8, 40), 9.5]
    source = "\n".join(json.dumps({"t": t, "method": "GET", "path": "/"}) for t in times)
    counts = ImportResult()
    rows = list(traces.read(io.BytesIO(source.encode()), "own", counts))
    assert [row.time_s for row in rows] == sorted(row.time_s for row in rows) and len(rows) == len(times)
    assert (counts.reordered, counts.clamped) == (3, 1)


def test_accounts_are_hashed_with_the_salt() -> None:
    source = (NGINX.format(1, 1) + "\n" + NGINX.format(2, 2)).encode()
    account_lists = []
    for salt in (b"one", b"one", b"two"):
        sink = io.BytesIO()
        traces.convert(io.BytesIO(source), sink, "nginx", salt)
        account_lists.append([json.loads(line)["account"] for line in sink.getvalue().splitlines()])
        assert b"ann" not in sink.getvalue()
    assert (
        account_lists[0] == account_lists[1]
        and account_lists[0] != account_lists[2]
        and len(set(account_lists[0])) == 1
    )
    converted_twice = io.BytesIO()
    traces.convert(io.BytesIO(sink.getvalue()), converted_twice, "own", b"x")
    assert len(converted_twice.getvalue().splitlines()) == 2


class GeneratedLog(io.RawIOBase):
    """A log that is generated as it is read."""

    def __init__(self, lines: int) -> None:
        self.lines_left = lines
        self.buffer = b""

    def readable(self) -> bool:
        return True

    def readinto(self, into: bytearray) -> int:  # type: ignore[override]
        while len(self.buffer) < len(into) and self.lines_left:
            self.lines_left -= 1
            self.buffer += NGINX.format(self.lines_left % 60, self.lines_left).encode() + b"\n"
        size = min(len(into), len(self.buffer))
        into[:size], self.buffer = self.buffer[:size], self.buffer[size:]
        return size


def test_memory_does_not_grow_with_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(traces, "REORDER_WINDOW_LINES", 500)

    class Null(io.BytesIO):
        def write(self, data: object) -> int:
            return 0

    def peak(lines: int) -> int:
        tracemalloc.start()
        traces.convert(io.BufferedReader(GeneratedLog(lines)), Null(), "nginx", b"s")
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return peak_bytes

    assert peak(20_000) < 1.5 * peak(5_000)


def test_a_replay_keeps_gaps_at_its_factor_and_finds_classes() -> None:
    classes = {
        name: ClassTable(name=name, method=m)
        for name, m in (("read", "GET"), ("put", "PUT"), ("fix", "POST"))
    }
    rows = [
        TraceRow(100.0, "GET", "/a"),
        TraceRow(110.0, "PUT", "/b", "acc", "", 7),
        TraceRow(160.0, "POST", "/c", "", "fix"),
    ]
    planned = list(traces.replay(rows, 10.0, classes))
    assert [(p.intended_s, p.class_name, p.account) for p in planned] == [
        (0.0, "read", "anonymous"),
        (1.0, "put", "acc"),
        (6.0, "fix", "anonymous"),
    ]
    assert planned[1].body_bytes == 7 and [p.number for p in planned] == [0, 1, 2]


def test_a_hundred_thousand_requests_at_ten_times_their_speed() -> None:
    """The driver sends every request at its time, on a simulated clock."""
    from test_load import SimulatedServer, drive, make_scenario

    def rows() -> Iterator[TraceRow]:
        for n in range(100_000):
            yield TraceRow(n / 1000 + (n % 7) / 10_000, "GET", f"/{n}")

    scenario = make_scenario(duration_s=1000.0)
    classes = {cls.name: cls for cls in scenario.class_}
    results, driver = drive(
        scenario, SimulatedServer(lambda: 0.002), requests=traces.replay(rows(), 10.0, classes)
    )
    assert driver.started_requests == len(results.records) == 100_000
    last_s = max(record.planned.intended_s for record in results.records)
    assert abs(last_s - 10.0) < 0.01 and not results.unsound_intervals


# --- The ledger ------------------------------------------------------------------------------------------
def attempt(
    ident: str, received_s: float, ended_s: float | None, server: str = "s1", **rest: object
) -> ServerAttempt:
    return ServerAttempt(ident, server, received_s, ended_s, ran=bool(rest.pop("ran", True)), **rest)  # type: ignore[arg-type]


VALID_ATTEMPTS = [
    attempt("a", 0.0, 1.0),
    attempt("a", 1.0, 2.0, "s2"),  # a retry, after the first attempt had ended
    attempt("b", 0.0, 0.5, once=True, ran=False),  # declined, so the request could go to another server
    attempt("b", 0.6, 0.9, "s2", once=True),
    attempt("c", 0.0, 0.2, key="k"),
    attempt("c", 0.3, 0.4, key="k", repeat=True),  # discarded by its key
    attempt("d", 5.2, 5.3, "s3"),
]
REQUESTS = [
    ClientAttempt("a", 1),
    ClientAttempt("b", 1),
    ClientAttempt("c", 1),
    ClientAttempt("d", 0, hung_up=True),
]


def test_a_valid_ledger_has_no_findings() -> None:
    assert audit(REQUESTS, VALID_ATTEMPTS, {"s3": 5.0}) == []


@pytest.mark.parametrize(
    ("kind", "asked", "attempts"),
    [
        ("lost", [ClientAttempt("x", 0)], []),
        ("doubled", [ClientAttempt("x", 2)], []),
        ("two at once", [], [attempt("x", 0.0, 1.0), attempt("x", 0.9, 1.1, "s2")]),
        ("two at once", [], [attempt("x", 0.0, None), attempt("x", 9.0, 9.1, "s2")]),
        (
            "two at once",
            [],
            [attempt("x", 0.0, 5.0), attempt("x", 6.0, 9.0, "s2"), attempt("x", 7.0, 7.5, "s4")],
        ),
        ("ran twice", [], [attempt("x", 0.0, 1.0, once=True), attempt("x", 2.0, 3.0, "s2", once=True)]),
        ("ran twice", [], [attempt("x", 0.0, 1.0, key="q"), attempt("y", 2.0, 3.0, key="q")]),
        ("late drain", [], [attempt("x", 5.26, 5.3, "s3")]),
    ],
)
def test_each_injected_fault_is_found(
    kind: str, asked: list[ClientAttempt], attempts: list[ServerAttempt]
) -> None:
    (found,) = audit([*REQUESTS, *asked], [*VALID_ATTEMPTS, *attempts], {"s3": 5.0})
    assert found.kind == kind and found.ident == "x"
    assert ledger.DRAIN_GRACE_S == 0.25
