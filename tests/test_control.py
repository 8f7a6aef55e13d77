"""The control address: correct figures at once, whatever other connections do."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sockets import SETTINGS, Request, backend, host, limiter, message, run, until

from basaltpoint import interface as api
from basaltpoint.core.table import NewRequest, Reply, RequestResult, RequestTable, StartAttempt
from basaltpoint.fronts.control.console import MAX_CONNECTIONS, MAX_LINE_BYTES, Console
from basaltpoint.fronts.platform.config import load
from basaltpoint.interface import Status
from basaltpoint.system.listening import open_listener
from basaltpoint.telemetry.figures import Figures, Gauges

FIGURE = re.compile(r'gw_(\w+?)(?:\{group="(.*)"\})? (\d+)')


def read(lines: list[str]) -> dict[tuple[str, str], int]:
    found = {}
    for line in lines:
        match = FIGURE.fullmatch(line)
        assert match, line
        found[match[1], match[2] or ""] = int(match[3])
    return found


async def call(address: tuple[str, int], line: bytes) -> list[str]:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(line)
    answer = (await reader.read()).decode().splitlines()
    writer.close()
    return answer


def test_figures_as_they_are_written() -> None:
    figures = Figures(["read", 'a"b'])
    figures.counts_of(1).answered += 3
    lines = list(figures.metric_lines(Gauges(14, 9, 2)))
    assert 'gw_answered{group="a\\"b"} 3' in lines and lines[-3:] == [
        "gw_current 14",
        "gw_cluster_size 9",
        "gw_cluster_unhealthy 2",
    ]


def test_a_class_that_returns_keeps_its_counts() -> None:
    figures = Figures(["read", "fix"])
    kept = figures.counts_of(1)
    figures.update_classes(["fix"])
    assert figures.counts_of(0) is kept
    figures.update_classes(["read", "fix"])
    kept.errored += 1
    assert figures.counts_of(1).errored == 1


class RandomModule:
    """A module with random actions: sends, refuses, fails, retries, or does nothing."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Arrival) or (isinstance(event, api.Outcome) and not event.closed):
            ident = event.request
            return self.rng.choice(
                [[api.Send(ident, 1, now + 500)], [api.Refuse(ident)], [api.Fail(ident)], []]
            )
        return []


@given(st.integers(0, 2**32))
@settings(max_examples=60, deadline=None)
def test_figures_equal_a_ledger_of_the_responses_of_clients(seed: int) -> None:
    rng = random.Random(seed)
    names = ["read", "fix"]
    table = RequestTable(RandomModule(rng), 3, 5, Figures(names))
    ledger: Counter[tuple[str, str]] = Counter()
    classes: dict[int, str] = {}
    out: dict[int, int] = {}
    now = 0.0

    def see(effects: list[object]) -> None:
        for effect in effects:
            if isinstance(effect, StartAttempt):
                out[effect.request] = effect.attempt
            elif isinstance(effect, Reply):
                served, refused = (
                    effect.result is RequestResult.SERVED,
                    effect.result in (RequestResult.REFUSED, RequestResult.BUSY),
                )
                kind = "answered" if served else "deferred" if refused else "errored"
                ledger[kind, classes[effect.request]] += 1

    for _ in range(120):
        now += rng.random() * 100
        roll = rng.random()
        if roll < 0.4:
            cls = rng.randrange(2)
            # The number is only returned with the effects: one more than the last.
            classes[len(classes) + 1] = names[cls]
            name = b"%d" % rng.randrange(8)
            _, effects = table.admit(now, NewRequest(cls, 0, 1, 1.0, 1, 400.0, key=name))
            see(list(effects))
        elif roll < 0.8 and out:
            ident = rng.choice(sorted(out))
            status = rng.choice([Status.OK, Status.ERROR, Status.TIMEOUT])
            see(list(table.attempt_ended(now, ident, out.pop(ident), status)))
        elif roll < 0.9 and classes:
            see(list(table.client_disconnected(now, rng.randrange(len(classes)) + 1)))
        else:
            see(list(table.tick(now)))
    counted = read(list(table.figures.metric_lines(Gauges(table.open_count, 0, 0))))
    results = {key: value for key, value in counted.items() if key[0] in ("answered", "deferred", "errored")}
    assert {key: value for key, value in results.items() if value} == dict(ledger)


def test_a_limiters_figures_equal_those_of_clients_and_servers() -> None:
    """With served requests, server errors and a draining server the counts are exact."""

    async def serve(request: Request) -> None:
        if "bad" in request.headers["req-id"]:
            request.reply("500 Internal Server Error")
        else:
            request.reply(body=b"x")

    async def test() -> None:
        async with backend(serve) as one, backend(serve) as two:
            hosts = host("a", one.address), host("b", two.address), host("c", two.address, "leaving")
            async with limiter(*hosts) as rig:
                client = await rig.connect()
                seen: Counter[tuple[str, str]] = Counter()
                for n in range(30):
                    cls, ident = ("read", "fix")[n % 2], f"{'bad' if n % 5 == 0 else 'good'}-{n}"
                    code = (await client.ask(message(cls, ident))).code
                    kind = "answered" if code == 200 else "deferred" if code in (429, 503) else "errored"
                    seen[kind, cls] += 1
                for server in (one, two):
                    for request in server.requests:
                        seen["sends", request.line.split("/")[1]] += 1
                lines = list(rig.limiter.figures.metric_lines(rig.limiter.gauges()))
                found = read(lines)
                gauges = {
                    name: found.pop((name, "")) for name in ("current", "cluster_size", "cluster_unhealthy")
                }
                assert {key: value for key, value in found.items() if value} == dict(seen)
                assert (gauges["current"], gauges["cluster_size"]) == (0, 3)
                assert gauges["cluster_unhealthy"] >= 1
                one.script = two.script = None
                before = len(one.requests) + len(two.requests)
                client.send(message("fix", "held"))
                await until(lambda: len(one.requests) + len(two.requests) > before)
                assert rig.limiter.gauges().current == 1

    run(test())


def console(calls: int = 3) -> Console:
    def telemetry() -> list[str]:
        return ["ok", *(f"gw_current {n}" for n in range(calls)), "eof"]

    def broken() -> list[str]:
        raise ValueError("on purpose")

    calls_by_name = {"readyz": lambda: ["ok"], "telemetry": telemetry, "broken": broken}
    made = Console(open_listener(("127.0.0.1", 0), 16), calls_by_name)
    made.listen()
    return made


@pytest.mark.parametrize(
    ("line", "begins"),
    [
        (b"readyz\n", "ok"),
        (b"readyz\r\n", "ok"),
        (b"readyz\nreadyz\n", "ok"),
        (b"reboot\n", "fail no such call 'reboot'; there are: readyz, telemetry"),
        (b"\n", "fail"),
        (b"\xff\xfe\n", "fail"),
        (b"x" * 100_000, "fail"),
        (b"broken\n", "fail the call broke down"),
    ],
)
def test_a_command_is_answered_in_one_line(line: bytes, begins: str) -> None:
    async def test() -> None:
        made = console()
        lines = await call(made.address, line)
        assert len(lines) == 1 and lines[0].startswith(begins)
        made.close()

    run(test())


def test_a_command_in_pieces_and_one_without_a_line_end() -> None:
    async def test() -> None:
        made = console()
        reader, writer = await asyncio.open_connection(*made.address)
        for piece in (b"tele", b"metry", b"\n"):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        assert (await reader.read()).decode().splitlines()[-1] == "eof"
        reader, writer = await asyncio.open_connection(*made.address)
        writer.write(b"readyz")
        writer.write_eof()
        assert (await reader.read()) == b"ok\n"
        made.close()

    run(test())


def test_four_hundred_incomplete_commands_hold_a_bounded_number_of_descriptors() -> None:
    async def test() -> None:
        made = console()
        before = len(os.listdir("/proc/self/fd"))
        connections = []
        for n in range(400):
            reader, writer = await asyncio.open_connection(*made.address)
            writer.write(b"" if n % 2 else b"read" if n % 4 else b"x" * MAX_LINE_BYTES)
            connections.append((reader, writer))
            if n % 40 == 0:
                assert (await call(made.address, b"readyz\n")) == ["ok"]
        assert (await call(made.address, b"telemetry\n"))[-1] == "eof"
        # All but the latest were closed; each still holds the descriptor of its end in this process.
        assert len(os.listdir("/proc/self/fd")) - before <= 400 + 2 * MAX_CONNECTIONS
        for reader, _ in connections[: 400 - MAX_CONNECTIONS]:
            assert await reader.read() == b""
        made.close()
        for _, writer in connections:
            writer.close()

    run(test())


def test_the_control_address(tmp_path: Path) -> None:
    """`GW_CONTROL` takes precedence over the file's `control`; without either there is none."""
    file = tmp_path / "config.json"
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": SETTINGS}
    for entry, variable, expected in [
        (None, None, None),
        ("127.0.0.1:7", None, ("127.0.0.1", 7)),
        ("127.0.0.1:7", "127.0.0.1:8", ("127.0.0.1", 8)),
    ]:
        file.write_text(json.dumps({**raw, "control": entry}))
        environ = {"GW_CONFIG": str(file), "GW_CONTROL": variable or ""}
        assert load(environ).control == expected
