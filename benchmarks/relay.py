"""What a request costs the limiter, against a bare relay on the same libraries in the same run.

    python benchmarks/relay.py [--seconds 4] [--rounds 3] [--against COMMIT ... [--connections N]]

One stand-in server, one load process (closed loop, 16 connections, 200 accounts), and in turn: the server
alone, the bare relay, the platform's limiter, the standalone limiter with 1, 10 and 200 routes and with 200,
1,000 and 100,000 accounts. Printed: CPU of the process under test a request (the least of the rounds: other
work on the machine only adds), and medians of p50 and p99 beside those of the server alone.

With `--against` the platform's limiter and the standalone one of this tree and of each commit are measured in
turn, each beside the bare relay of its own round, and the median, least and most of the ratios are printed.
With `--fleet SIZE ...` a standalone limiter alone and as a member of fleets of these sizes, in turn.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar, cast

import httptools
import uvloop

ROOT = Path(__file__).parent.parent
CONNECTIONS = 16
ACTIVE = 200
TICK_S = 1 / os.sysconf("SC_CLK_TCK")


class Peer(asyncio.Protocol):
    """A connection that writes when told and hands on what comes."""

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self.on_data = on_data
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.on_data(data)


# --- The server ------------------------------------------------------------------------------------
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"x" * 100


class Server(asyncio.Protocol):
    """Answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.transport.write(ANSWER)


# --- The floor -------------------------------------------------------------------------------------
class Relay(asyncio.Protocol):
    """Copies whole requests to a kept connection and answers back. It reads both and decides nothing."""

    free: ClassVar[list[Back]] = []
    upstream = ("127.0.0.1", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.pieces: list[bytes] = []

    def data_received(self, data: bytes) -> None:
        self.pieces.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        data, self.pieces = b"".join(self.pieces), []
        if self.free:
            self.free.pop().send(self, data)
        else:
            asyncio.get_running_loop().create_task(self.connect(data))

    async def connect(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, back = await loop.create_connection(Back, *self.upstream)
        back.send(self, data)


class Back(asyncio.Protocol):
    """The relay's side to the server."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)
        self.client: Relay | None = None

    def send(self, client: Relay, data: bytes) -> None:
        self.client = client
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        assert self.client
        self.client.transport.write(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.client = None
        Relay.free.append(self)


async def listen(make: Callable[[], asyncio.Protocol]) -> None:
    server = await asyncio.get_running_loop().create_server(make, "127.0.0.1", 0)
    print("{}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await asyncio.Event().wait()


# --- The load --------------------------------------------------------------------------------------
def key(number: int) -> str:
    return f"benchmark-key-{number:08d}"


class Asker(asyncio.Protocol):
    """One connection in a closed loop."""

    def __init__(self, run: Run, number: int) -> None:
        self.run, self.number = run, number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)
        self.ask()

    def ask(self) -> None:
        self.number += 1
        account, at = self.number % ACTIVE, self.number % self.run.paths
        raw = f"GET /r{at}/x HTTP/1.1\r\nHost: bench\r\nX-Api-Key: {key(account)}\r\nAccept: */*\r\n"
        if self.run.platform:
            raw = (
                f"GET /read/{at} HTTP/1.1\r\nHost: bench\r\nReq-Id: {self.number:016x}\r\nReq-Kind: read\r\n"
                f"X-Tier: basic\r\nX-Api-Key: {account:016x}\r\nReq-Deadline: 90\r\n"
                f"X-Call-Terms: units=1,spread=3,first=1\r\n"
            )
        raw += "\r\n"
        self.start = time.perf_counter()
        self.transport.write(raw.encode())

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.run.done(self)


class Run:
    """Latencies of one spell, after a warm-up."""

    def __init__(self, paths: int, platform: bool) -> None:
        self.paths, self.platform = paths, platform
        self.latencies: list[float] = []
        self.bad = 0
        self.ended = False

    def done(self, asker: Asker) -> None:
        self.latencies.append(time.perf_counter() - asker.start)
        self.bad += asker.parser.get_status_code() != 200
        if not self.ended:
            asker.ask()


async def load(address: str, pid: int, seconds: float, paths: int, connections: int, platform: bool) -> None:
    host, port = address.split(":")
    run, loop = Run(paths, platform), asyncio.get_running_loop()
    for number in range(connections):
        await loop.create_connection(lambda n=number: Asker(run, n << 32), host, int(port))  # type: ignore[misc]
    await asyncio.sleep(1.0)
    run.latencies.clear()
    before = cpu(pid)
    await asyncio.sleep(seconds)
    spent, count = cpu(pid) - before, len(run.latencies)
    run.ended = True
    ordered = sorted(run.latencies)
    print(
        json.dumps(
            {
                "cpu_us": spent / count * 1e6,
                "p50_us": ordered[count // 2] * 1e6,
                "p99_us": ordered[count * 99 // 100] * 1e6,
                "rate": count / seconds,
                "bad": run.bad,
            }
        )
    )


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


# --- The comparison ----------------------------------------------------------------------------------
@dataclass
class Subject:
    """A process under test."""

    process: subprocess.Popen[Any]
    address: str
    platform: bool = False

    @property
    def pid(self) -> int:
        return self.process.pid


def part(role: str, *args: str) -> Subject:
    process = subprocess.Popen([sys.executable, __file__, role, *args], stdout=subprocess.PIPE, text=True)
    assert process.stdout
    return Subject(process, process.stdout.readline().strip())


def config(server: str, routes: int, accounts: int, folder: Path) -> Path:
    """A file with so many routes and accounts; plans and classes that refuse nothing."""
    lines = (
        json.dumps(
            {"name": f"a{n}", "plan": "p", "keys": ["sha256:" + hashlib.sha256(key(n).encode()).hexdigest()]}
        )
        for n in range(accounts)
    )
    (folder / "accounts.jsonl").write_text("\n".join(lines))
    parts = ['listen = "127.0.0.1:0"\naccounts_file = "accounts.jsonl"\n']
    parts.append('[[plan]]\nname = "p"\nrate = 1000000\nburst = 1000000\n')
    parts.append('[[class]]\nname = "c"\neffect = "safe"\naim_ms = 60000\ndeadline_ms = 60000\n')
    parts.append(f'[[server]]\nname = "s"\naddress = "{server}"\n[[pool]]\nname = "m"\nservers = ["s"]\n')
    for n in range(routes):
        parts.append(f'[[route]]\nname = "r{n}"\nprefix = "/r{n}"\npool = "m"\nclass = "c"\n')
    path = folder / "limiter.toml"
    path.write_text("\n".join(parts))
    return path


async def limiter(path: str, root: str = str(ROOT)) -> None:
    sys.path.insert(0, root)
    import gc

    from basaltpoint.daemon.standalone import Standalone

    made = Standalone(Path(path))
    await made.start()
    gc.freeze()  # as `basaltpoint serve` does
    print("{}:{}".format(*made.address), flush=True)
    await asyncio.Event().wait()


def measure(subject: Subject, seconds: float, paths: int, connections: int = CONNECTIONS) -> dict[str, float]:
    args = [sys.executable, __file__, "load", subject.address, str(subject.pid), str(seconds)]
    args += [str(paths), str(connections)]
    args += ["platform"] if subject.platform else []
    found: dict[str, float] = json.loads(subprocess.check_output(args, text=True))
    found["memory_mb"] = memory_mb(subject.pid)
    return found


SETTINGS = {
    "balancers": 3, "me": 0, "zones": ["a"],
    "services": [{"name": "read", "aimMs": 6e4, "hardLimitMs": 6e4, "effect": "idempotent"}],
    "contracts": [{"name": "basic", "rate": 1e6, "mostAtOnce": 1e6}],
    "guarantees": {"coldFrom": 0.2, "coldMs": 1.0, "tipMultiple": 2.0, "fallMs": 1e3, "drainGraceMs": 250},
    "ceilings": {"maxAttempts": 3, "cancel": True, "connectTimeoutMs": 250.0, "connIdleMs": 30000.0},
    "specifics": {"mostUnits": 6}, "report": {"fields": ["rif", "rate"], "how": "pull"},
}  # fmt: skip


def platform(server: str, folder: Path, root: Path = ROOT) -> Subject:
    """The platform's limiter of a tree, before one warm server."""
    with socket.create_server(("127.0.0.1", 0)) as free, socket.create_server(("127.0.0.1", 0)) as nobody:
        listen, discovery = (f"127.0.0.1:{sock.getsockname()[1]}" for sock in (free, nobody))
    host = {
        "host": "s",
        "dial": server,
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": "active",
        "share": 1.0,
    }
    raw = {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": [host | {"born_ms": 0}]},
    }  # fmt: skip
    path = folder / "platform.json"
    path.write_text(json.dumps(raw))
    environ = {**os.environ, "GW_CONFIG": str(path), "PYTHONPATH": str(root)}
    command = [sys.executable, "-m", "basaltpoint"]
    process = subprocess.Popen(command, env=environ, cwd=root, stderr=subprocess.DEVNULL)
    while True:
        try:
            socket.create_connection(("127.0.0.1", int(listen.rpartition(":")[2]))).close()
            return Subject(process, listen, True)
        except ConnectionRefusedError:
            time.sleep(0.02)


def tree(commit: str, folder: Path) -> Path:
    """What a commit holds, in a folder."""
    place = folder / commit
    place.mkdir()
    packed = subprocess.run(
        ["git", "archive", commit, "basaltpoint"], cwd=ROOT, check=True, capture_output=True
    )
    subprocess.run(["tar", "-x", "-C", str(place)], input=packed.stdout, check=True)
    return place


def fleet(server: str, folder: Path, size: int) -> list[Subject]:
    """So many limiters that are members of one fleet; the first is the one that is asked."""
    free = [socket.create_server(("127.0.0.1", 0)) for _ in range(size)]
    places = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in free]
    for sock in free:
        sock.close()
    seeds = ", ".join(f'"l{at}@{place}"' for at, place in enumerate(places[:3]))
    made = []
    for at, place in enumerate(places):
        own = folder / f"l{at}"
        own.mkdir(parents=True)
        path = config(server, 1, ACTIVE, own)
        member = f'[fleet]\nlisten = "{place}"\nseeds = [{seeds}]\nmost = {size}\n'
        path.write_text(f'name = "l{at}"\n{path.read_text()}{member}')
        made.append(part("limiter", str(path)))
    return made


def members(sizes: list[int], seconds: float, rounds: int) -> None:
    """CPU a request of a limiter alone and of one in fleets of these sizes, in turn."""
    server = part("server")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        groups = {"alone": [part("limiter", str(config(server.address, 1, ACTIVE, folder)))]}
        groups |= {f"of {size}": fleet(server.address, folder / str(size), size) for size in sizes}
        spent: dict[str, list[float]] = {name: [] for name in groups}
        try:
            for _ in range(rounds):
                for name, group in groups.items():
                    spent[name].append(measure(group[0], seconds, 1)["cpu_us"])
        finally:
            for subject in [server, *(one for group in groups.values() for one in group)]:
                subject.process.kill()
    for name, found in spent.items():
        ratios = [one / alone for one, alone in zip(found, spent["alone"], strict=True)]
        print(f"{name:8} {statistics.median(found):6.1f} us, {statistics.median(ratios):5.3f} of alone")


def against(commits: list[str], seconds: float, rounds: int, connections: int) -> None:
    """Ratios to the bare relay, of this tree and of commits, all of a round in turn."""
    server = part("server")
    bare = part("bare", server.address)
    subjects: dict[str, Subject] = {}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for commit in [*commits, ""]:
            root = tree(commit, folder) if commit else ROOT
            place = folder / f"files-{commit}"
            place.mkdir()
            subjects[f"platform, {commit or 'this tree'}"] = platform(server.address, place, root)
            path = config(server.address, 1, ACTIVE, place)
            subjects[f"standalone, {commit or 'this tree'}"] = part("limiter", str(path), str(root))
        ratios: dict[str, list[float]] = {name: [] for name in subjects}
        spent: dict[str, list[float]] = {name: [] for name in subjects}
        try:
            for _ in range(rounds):
                floor = measure(bare, seconds, 1, connections)["cpu_us"]
                for name, subject in subjects.items():
                    found = measure(subject, seconds, 1, connections)
                    if found["bad"]:
                        print(
                            f"{name}: {found['bad']:.0f} requests were not answered with 200", file=sys.stderr
                        )
                    ratios[name].append(found["cpu_us"] / floor)
                    spent[name].append(found["cpu_us"])
        finally:
            for subject in [server, bare, *subjects.values()]:
                subject.process.kill()
    print(f"{'':36} {'times':>6} {'least':>6} {'most':>6} {'CPU us':>7}")
    for name, times in ratios.items():
        print(
            f"{name:36} {statistics.median(times):6.2f} {min(times):6.2f} {max(times):6.2f} "
            f"{statistics.median(spent[name]):7.1f}"
        )


def compare(seconds: float, rounds: int) -> None:
    cases: list[tuple[str, int, int]] = [
        ("limiter, 1 route, 1,000 accounts", 1, 1000),
        ("limiter, 10 routes, 1,000 accounts", 10, 1000),
        ("limiter, 200 routes, 1,000 accounts", 200, 1000),
        ("limiter, 1 route, 200 accounts", 1, 200),
        ("limiter, 1 route, 100,000 accounts", 1, 100_000),
    ]
    server = part("server")
    subjects: dict[str, tuple[Subject, int]] = {"server alone": (server, 1)}
    subjects["bare relay"] = part("bare", server.address), 1
    with tempfile.TemporaryDirectory() as folder:
        subjects["platform's limiter"] = platform(server.address, Path(folder)), 1
        for name, routes, accounts in cases:
            place = Path(folder) / str(len(subjects))
            place.mkdir()
            path = config(server.address, routes, accounts, place)
            subjects[name] = part("limiter", str(path)), routes
        figures: dict[str, list[dict[str, float]]] = {name: [] for name in subjects}
        try:
            for _ in range(rounds):
                for name, (subject, paths) in subjects.items():
                    figures[name].append(measure(subject, seconds, paths))
        finally:
            for subject, _ in subjects.values():
                subject.process.kill()
    report(figures)


def report(figures: dict[str, list[dict[str, float]]]) -> None:
    def median(name: str, what: str) -> float:
        return (
            min(row[what] for row in figures[name])
            if what == "cpu_us"
            else statistics.median(row[what] for row in figures[name])
        )

    floor, alone = median("bare relay", "cpu_us"), "server alone"
    print(
        f"{'':36} {'CPU us':>7} {'times':>6} {'+p50 us':>8} {'+p99 us':>8} {'rate':>7} {'MB':>6} {'bad':>4}"
    )
    for name in figures:
        added = [median(name, what) - median(alone, what) for what in ("p50_us", "p99_us")]
        print(
            f"{name:36} {median(name, 'cpu_us'):7.1f} {median(name, 'cpu_us') / floor:6.2f} {added[0]:8.0f} "
            f"{added[1]:8.0f} {median(name, 'rate'):7.0f} {median(name, 'memory_mb'):6.1f} "
            f"{sum(row['bad'] for row in figures[name]):4.0f}"
        )


def main() -> None:
    roles: dict[str, Callable[..., Any]] = {
        "server": lambda: listen(Server),
        "limiter": limiter,
        "load": lambda a, p, s, n, c, *what: load(a, int(p), float(s), int(n), int(c), bool(what)),
    }
    if len(sys.argv) > 1 and sys.argv[1] in (*roles, "bare"):
        role, *args = sys.argv[1:]
        if role == "bare":
            host, port = args[0].split(":")
            Relay.upstream = host, int(port)
            make: Any = listen(Relay)
        else:
            make = roles[role](*args)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(make)
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--against", nargs="+", default=[], metavar="COMMIT", help="earlier commits")
    parser.add_argument("--connections", type=int, default=CONNECTIONS, help="with --against (16)")
    parser.add_argument("--fleet", nargs="+", type=int, default=[], metavar="SIZE", help="as one of so many")
    args_ = parser.parse_args()
    if args_.fleet:
        members(args_.fleet, args_.seconds, args_.rounds)
    elif args_.against:
        against(args_.against, args_.seconds, args_.rounds, args_.connections)
    else:
        compare(args_.seconds, args_.rounds)


if __name__ == "__main__":
    main()
