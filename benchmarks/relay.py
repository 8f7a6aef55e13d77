"""Measures the limiter's CPU time per request against a bare relay on the same libraries in the same run.

    python benchmarks/relay.py [--seconds 4] [--rounds 3] [--against COMMIT ... [--connections N]]

One load process (closed loop, 16 connections, 200 accounts) sends requests to a stand-in server directly, and
through the bare relay, the platform's limiter, and the standalone limiter with 1, 10 and 200 routes and with
200, 1,000 and 100,000 accounts, in turn. Prints the CPU time per request of the process under test (the
minimum of the rounds, as other work on the host only adds to it), and the medians of p50 and p99 minus those
of the server alone.

`--against` measures the platform's limiter and the standalone limiter of the working tree and of each commit
in turn, relative to the bare relay in the same round, and prints median, minimum and maximum of the ratios.
`--fleet SIZE ...` compares a standalone limiter alone with members of fleets of these sizes.
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
CONNECTION_COUNT = 16
ACTIVE_ACCOUNTS = 200
CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")


class CallbackConnection(asyncio.Protocol):
    """A connection that passes received data to a callback."""

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self.on_data = on_data
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.on_data(data)


# --- The server ------------------------------------------------------------------------------------
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"x" * 100


class Server(asyncio.Protocol):
    """Responds to each request immediately."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.transport.write(RESPONSE)


# --- The baseline ----------------------------------------------------------------------------------
class Relay(asyncio.Protocol):
    """Copies whole requests upstream and responses back; parses both, decides nothing."""

    idle_connections: ClassVar[list[UpstreamConnection]] = []
    upstream_address = ("127.0.0.1", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)
        self.received: list[bytes] = []

    def data_received(self, data: bytes) -> None:
        self.received.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        data, self.received = b"".join(self.received), []
        if self.idle_connections:
            self.idle_connections.pop().send(self, data)
        else:
            asyncio.get_running_loop().create_task(self.connect(data))

    async def connect(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(UpstreamConnection, *self.upstream_address)
        connection.send(self, data)


class UpstreamConnection(asyncio.Protocol):
    """The relay's connection to the server."""

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
        Relay.idle_connections.append(self)


async def serve(protocol_factory: Callable[[], asyncio.Protocol]) -> None:
    server = await asyncio.get_running_loop().create_server(protocol_factory, "127.0.0.1", 0)
    print("{}:{}".format(*server.sockets[0].getsockname()[:2]), flush=True)
    await asyncio.Event().wait()


# --- The load --------------------------------------------------------------------------------------
def api_key(number: int) -> str:
    return f"benchmark-key-{number:08d}"


class LoadConnection(asyncio.Protocol):
    """A connection in a closed loop: each response triggers the next request."""

    def __init__(self, run: LoadRun, number: int) -> None:
        self.run, self.number = run, number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)
        self.send_request()

    def send_request(self) -> None:
        self.number += 1
        account, path_number = self.number % ACTIVE_ACCOUNTS, self.number % self.run.path_count
        raw = (
            f"GET /r{path_number}/x HTTP/1.1\r\nHost: bench\r\nX-Api-Key: {api_key(account)}\r\n"
            "Accept: */*\r\n"
        )
        if self.run.platform:
            raw = (
                f"GET /read/{path_number} HTTP/1.1\r\nHost: bench\r\nReq-Id: {self.number:016x}\r\n"
                f"Req-Kind: read\r\nX-Tier: basic\r\nX-Api-Key: {account:016x}\r\nReq-Deadline: 90\r\n"
                f"X-Call-Terms: units=1,spread=3,first=1\r\n"
            )
        raw += "\r\n"
        self.sent_at_s = time.perf_counter()
        self.transport.write(raw.encode())

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.run.response_received(self)


class LoadRun:
    """Latencies of one measurement, after a warm-up, and the number of responses other than 200."""

    def __init__(self, path_count: int, platform: bool) -> None:
        self.path_count, self.platform = path_count, platform
        self.latencies_s: list[float] = []
        self.failed = 0
        self.ended = False

    def response_received(self, connection: LoadConnection) -> None:
        self.latencies_s.append(time.perf_counter() - connection.sent_at_s)
        self.failed += connection.parser.get_status_code() != 200
        if not self.ended:
            connection.send_request()


async def run_load(
    address: str, pid: int, duration_s: float, path_count: int, connection_count: int, platform: bool
) -> None:
    host, port = address.split(":")
    run, loop = LoadRun(path_count, platform), asyncio.get_running_loop()
    for number in range(connection_count):
        await loop.create_connection(lambda n=number: LoadConnection(run, n << 32), host, int(port))  # type: ignore[misc]
    await asyncio.sleep(1.0)
    run.latencies_s.clear()
    cpu_before_s = cpu_time_s(pid)
    await asyncio.sleep(duration_s)
    cpu_s, count = cpu_time_s(pid) - cpu_before_s, len(run.latencies_s)
    run.ended = True
    sorted_latencies_s = sorted(run.latencies_s)
    print(
        json.dumps(
            {
                "cpu_us": cpu_s / count * 1e6,
                "p50_us": sorted_latencies_s[count // 2] * 1e6,
                "p99_us": sorted_latencies_s[count * 99 // 100] * 1e6,
                "rate": count / duration_s,
                "bad": run.failed,
            }
        )
    )


def cpu_time_s(pid: int) -> float:
    """Returns user and system CPU time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * CLOCK_TICK_S


def memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


# --- The comparison ----------------------------------------------------------------------------------
@dataclass
class ProcessUnderTest:
    """A process under test with its address; `platform` selects the format of the requests."""

    process: subprocess.Popen[Any]
    address: str
    platform: bool = False

    @property
    def pid(self) -> int:
        return self.process.pid


def start_role(role: str, *args: str) -> ProcessUnderTest:
    process = subprocess.Popen([sys.executable, __file__, role, *args], stdout=subprocess.PIPE, text=True)
    assert process.stdout
    return ProcessUnderTest(process, process.stdout.readline().strip())


def write_config(server: str, routes: int, accounts: int, folder: Path) -> Path:
    """Writes a configuration with these numbers of routes and accounts; its plans refuse nothing."""
    lines = (
        json.dumps(
            {
                "name": f"a{n}",
                "plan": "p",
                "keys": ["sha256:" + hashlib.sha256(api_key(n).encode()).hexdigest()],
            }
        )
        for n in range(accounts)
    )
    (folder / "accounts.jsonl").write_text("\n".join(lines))
    tables = ['listen = "127.0.0.1:0"\naccounts_file = "accounts.jsonl"\n']
    tables.append('[[plan]]\nname = "p"\nrate = 1000000\nburst = 1000000\n')
    tables.append('[[class]]\nname = "c"\neffect = "safe"\naim_ms = 60000\ndeadline_ms = 60000\n')
    tables.append(f'[[server]]\nname = "s"\naddress = "{server}"\n[[pool]]\nname = "m"\nservers = ["s"]\n')
    for n in range(routes):
        tables.append(f'[[route]]\nname = "r{n}"\nprefix = "/r{n}"\npool = "m"\nclass = "c"\n')
    path = folder / "limiter.toml"
    path.write_text("\n".join(tables))
    return path


async def run_limiter(path: str, root: str = str(ROOT)) -> None:
    sys.path.insert(0, root)
    import gc

    from basaltpoint.daemon.standalone import Standalone

    limiter_process = Standalone(Path(path))
    await limiter_process.start()
    gc.freeze()  # as `basaltpoint serve` does
    print("{}:{}".format(*limiter_process.address), flush=True)
    await asyncio.Event().wait()


def measure(
    subject: ProcessUnderTest, duration_s: float, path_count: int, connection_count: int = CONNECTION_COUNT
) -> dict[str, float]:
    args = [sys.executable, __file__, "load", subject.address, str(subject.pid), str(duration_s)]
    args += [str(path_count), str(connection_count)]
    args += ["platform"] if subject.platform else []
    results: dict[str, float] = json.loads(subprocess.check_output(args, text=True))
    results["memory_mb"] = memory_mb(subject.pid)
    return results


SETTINGS = {
    "balancers": 3, "me": 0, "zones": ["a"],
    "services": [{"name": "read", "aimMs": 6e4, "hardLimitMs": 6e4, "effect": "idempotent"}],
    "contracts": [{"name": "basic", "rate": 1e6, "mostAtOnce": 1e6}],
    "guarantees": {"coldFrom": 0.2, "coldMs": 1.0, "tipMultiple": 2.0, "fallMs": 1e3, "drainGraceMs": 250},
    "ceilings": {"maxAttempts": 3, "cancel": True, "connectTimeoutMs": 250.0, "connIdleMs": 30000.0},
    "specifics": {"mostUnits": 6}, "report": {"fields": ["rif", "rate"], "how": "pull"},
}  # fmt: skip


def start_platform_limiter(server: str, folder: Path, root: Path = ROOT) -> ProcessUnderTest:
    """Starts the platform's limiter of a source tree, in front of one warm server."""
    with (
        socket.create_server(("127.0.0.1", 0)) as limiter_socket,
        socket.create_server(("127.0.0.1", 0)) as discovery_socket,
    ):
        listen, discovery = (
            f"127.0.0.1:{sock.getsockname()[1]}" for sock in (limiter_socket, discovery_socket)
        )
    host = {
        "host": "s",
        "dial": server,
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": "active",
        "share": 1.0,
    }
    config = {
        "name": "n0", "listen": listen, "discovery": discovery, "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": SETTINGS,
        "known": {"seq": 1, "whole": True, "hosts": [host | {"born_ms": 0}]},
    }  # fmt: skip
    path = folder / "platform.json"
    path.write_text(json.dumps(config))
    environ = {**os.environ, "GW_CONFIG": str(path), "PYTHONPATH": str(root)}
    command = [sys.executable, "-m", "basaltpoint"]
    process = subprocess.Popen(command, env=environ, cwd=root, stderr=subprocess.DEVNULL)
    while True:
        try:
            socket.create_connection(("127.0.0.1", int(listen.rpartition(":")[2]))).close()
            return ProcessUnderTest(process, listen, True)
        except ConnectionRefusedError:
            time.sleep(0.02)


def extract_commit(commit: str, folder: Path) -> Path:
    """Extracts the package of a commit into a directory."""
    directory = folder / commit
    directory.mkdir()
    archive = subprocess.run(
        ["git", "archive", commit, "basaltpoint"], cwd=ROOT, check=True, capture_output=True
    )
    subprocess.run(["tar", "-x", "-C", str(directory)], input=archive.stdout, check=True)
    return directory


def start_fleet(server: str, folder: Path, size: int) -> list[ProcessUnderTest]:
    """Starts a fleet of limiters; requests are sent to the first."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(size)]
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    seeds = ", ".join(f'"l{number}@{address}"' for number, address in enumerate(addresses[:3]))
    limiters = []
    for number, address in enumerate(addresses):
        directory = folder / f"l{number}"
        directory.mkdir(parents=True)
        path = write_config(server, 1, ACTIVE_ACCOUNTS, directory)
        fleet_table = f'[fleet]\nlisten = "{address}"\nseeds = [{seeds}]\nmost = {size}\n'
        path.write_text(f'name = "l{number}"\n{path.read_text()}{fleet_table}')
        limiters.append(start_role("limiter", str(path)))
    return limiters


def compare_fleet_sizes(sizes: list[int], duration_s: float, rounds: int) -> None:
    """Compares CPU time per request of a limiter alone and of a member of fleets of these sizes."""
    server = start_role("server")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        groups = {
            "alone": [start_role("limiter", str(write_config(server.address, 1, ACTIVE_ACCOUNTS, folder)))]
        }
        groups |= {f"of {size}": start_fleet(server.address, folder / str(size), size) for size in sizes}
        cpu_us: dict[str, list[float]] = {name: [] for name in groups}
        try:
            for _ in range(rounds):
                for name, group in groups.items():
                    cpu_us[name].append(measure(group[0], duration_s, 1)["cpu_us"])
        finally:
            for subject in [server, *(one for group in groups.values() for one in group)]:
                subject.process.kill()
    for name, measured in cpu_us.items():
        ratios = [one / alone for one, alone in zip(measured, cpu_us["alone"], strict=True)]
        print(f"{name:8} {statistics.median(measured):6.1f} us, {statistics.median(ratios):5.3f} of alone")


def compare_commits(commits: list[str], duration_s: float, rounds: int, connection_count: int) -> None:
    """Compares the working tree with commits by ratios to the bare relay, all measured in each round."""
    server = start_role("server")
    bare_relay = start_role("bare", server.address)
    subjects: dict[str, ProcessUnderTest] = {}
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for commit in [*commits, ""]:
            root = extract_commit(commit, folder) if commit else ROOT
            directory = folder / f"files-{commit}"
            directory.mkdir()
            subjects[f"platform, {commit or 'this tree'}"] = start_platform_limiter(
                server.address, directory, root
            )
            path = write_config(server.address, 1, ACTIVE_ACCOUNTS, directory)
            subjects[f"standalone, {commit or 'this tree'}"] = start_role("limiter", str(path), str(root))
        ratios: dict[str, list[float]] = {name: [] for name in subjects}
        cpu_us: dict[str, list[float]] = {name: [] for name in subjects}
        try:
            for _ in range(rounds):
                baseline_us = measure(bare_relay, duration_s, 1, connection_count)["cpu_us"]
                for name, subject in subjects.items():
                    results = measure(subject, duration_s, 1, connection_count)
                    if results["bad"]:
                        print(
                            f"{name}: {results['bad']:.0f} requests were not answered with 200",
                            file=sys.stderr,
                        )
                    ratios[name].append(results["cpu_us"] / baseline_us)
                    cpu_us[name].append(results["cpu_us"])
        finally:
            for subject in [server, bare_relay, *subjects.values()]:
                subject.process.kill()
    print(f"{'':36} {'times':>6} {'least':>6} {'most':>6} {'CPU us':>7}")
    for name, times in ratios.items():
        print(
            f"{name:36} {statistics.median(times):6.2f} {min(times):6.2f} {max(times):6.2f} "
            f"{statistics.median(cpu_us[name]):7.1f}"
        )


def compare_processes(duration_s: float, rounds: int) -> None:
    cases: list[tuple[str, int, int]] = [
        ("limiter, 1 route, 1,000 accounts", 1, 1000),
        ("limiter, 10 routes, 1,000 accounts", 10, 1000),
        ("limiter, 200 routes, 1,000 accounts", 200, 1000),
        ("limiter, 1 route, 200 accounts", 1, 200),
        ("limiter, 1 route, 100,000 accounts", 1, 100_000),
    ]
    server = start_role("server")
    subjects: dict[str, tuple[ProcessUnderTest, int]] = {"server alone": (server, 1)}
    subjects["bare relay"] = start_role("bare", server.address), 1
    with tempfile.TemporaryDirectory() as folder:
        subjects["platform's limiter"] = start_platform_limiter(server.address, Path(folder)), 1
        for name, routes, accounts in cases:
            directory = Path(folder) / str(len(subjects))
            directory.mkdir()
            path = write_config(server.address, routes, accounts, directory)
            subjects[name] = start_role("limiter", str(path)), routes
        results: dict[str, list[dict[str, float]]] = {name: [] for name in subjects}
        try:
            for _ in range(rounds):
                for name, (subject, path_count) in subjects.items():
                    results[name].append(measure(subject, duration_s, path_count))
        finally:
            for subject, _ in subjects.values():
                subject.process.kill()
    print_report(results)


def print_report(results: dict[str, list[dict[str, float]]]) -> None:
    def value(name: str, figure: str) -> float:
        return (
            min(row[figure] for row in results[name])
            if figure == "cpu_us"
            else statistics.median(row[figure] for row in results[name])
        )

    baseline_us, server_alone = value("bare relay", "cpu_us"), "server alone"
    print(
        f"{'':36} {'CPU us':>7} {'times':>6} {'+p50 us':>8} {'+p99 us':>8} {'rate':>7} {'MB':>6} {'bad':>4}"
    )
    for name in results:
        added = [value(name, figure) - value(server_alone, figure) for figure in ("p50_us", "p99_us")]
        print(
            f"{name:36} {value(name, 'cpu_us'):7.1f} {value(name, 'cpu_us') / baseline_us:6.2f} "
            f"{added[0]:8.0f} {added[1]:8.0f} {value(name, 'rate'):7.0f} {value(name, 'memory_mb'):6.1f} "
            f"{sum(row['bad'] for row in results[name]):4.0f}"
        )


def main() -> None:
    roles: dict[str, Callable[..., Any]] = {
        "server": lambda: serve(Server),
        "limiter": run_limiter,
        "load": lambda a, p, s, n, c, *what: run_load(a, int(p), float(s), int(n), int(c), bool(what)),
    }
    if len(sys.argv) > 1 and sys.argv[1] in (*roles, "bare"):
        role, *args = sys.argv[1:]
        if role == "bare":
            host, port = args[0].split(":")
            Relay.upstream_address = host, int(port)
            make: Any = serve(Relay)
        else:
            make = roles[role](*args)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(make)
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--against", nargs="+", default=[], metavar="COMMIT", help="commits to compare with")
    parser.add_argument("--connections", type=int, default=CONNECTION_COUNT, help="with --against (16)")
    parser.add_argument("--fleet", nargs="+", type=int, default=[], metavar="SIZE", help="sizes of fleets")
    args_ = parser.parse_args()
    if args_.fleet:
        compare_fleet_sizes(args_.fleet, args_.seconds, args_.rounds)
    elif args_.against:
        compare_commits(args_.against, args_.seconds, args_.rounds, args_.connections)
    else:
        compare_processes(args_.seconds, args_.rounds)


if __name__ == "__main__":
    main()
