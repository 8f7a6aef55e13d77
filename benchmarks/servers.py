"""Resource usage of a limiter by number of servers: `python benchmarks/servers.py [DAY ...] [--sizes N]`.

A limiter of the platform runs as a process in front of stand-in servers, each at its own loopback address,
under the same traffic whatever their number. Each day is run at the first size and then at the others, and
the usage is compared with the bounds that the operators state for more servers (`STANDING.md`): a multiple of
the usage at the first size, plus an allowance that grows with the number of servers. The exit code is 1 if a
bound is exceeded.

Days: `calm` (nothing changes), `rolling` (half of the servers are replaced one by one), `replaced` (one list
replaces all servers), `outage` (discovery is unavailable, then returns a list that replaces a tenth).
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import random
import resource
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from basaltpoint.rehearsal.soak import run as soak  # noqa: E402
from basaltpoint.rehearsal.soak.processes import Limiter, unique_loopback_address  # noqa: E402
from basaltpoint.rehearsal.soak.records import SoakRecord  # noqa: E402
from basaltpoint.standins.discovery import Agent, Registry  # noqa: E402

DAY_DURATION_S = 20.0
CHANGE_PERIOD_S = 18.0  # part of a day in which the server list changes
OUTAGE_S = 6.0
REQUEST_RATE_PER_S = 15.0
CONFIGURED_LIMITERS = 40  # in the settings; only one runs
REQUEST_DEADLINE_S = 2.0
SAMPLE_INTERVAL_S = 0.05  # of the number of open descriptors
READY_TIMEOUT_S = 30.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

TaskCoroutine = Coroutine[Any, Any, None]


@dataclass(slots=True)
class ResourceUsage:
    """The resource usage of a process over a day."""

    cpu_s: float = 0.0
    memory_mb: float = 0.0  # peak resident set size
    descriptors: int = 0  # maximum of the samples
    connections: int = 0
    list_kb: float = 0.0  # server lists received from discovery
    request_count: int = 0
    served_count: int = 0

    @property
    def served_fraction(self) -> float:
        return self.served_count / max(1, self.request_count)


@dataclass(frozen=True, slots=True)
class Bound:
    """The usage allowed at a larger size: a multiple of that at the first size, plus allowances."""

    name: str  # of a field of ResourceUsage
    factor: float
    allowance: float  # in the unit of the field
    per_thousand_servers: float  # added for each 1,000 servers

    def allowed(self, baseline: float, server_count: int) -> float:
        return self.factor * baseline + self.allowance + self.per_thousand_servers * server_count / 1000


BOUNDS = (
    Bound("cpu_s", 1.4, 0.02, 0.12),
    Bound("memory_mb", 1.5, 8, 4),
    Bound("descriptors", 2, 40, 0),
    Bound("connections", 2.5, 40, 0),
    Bound("list_kb", 2, 64, 500),
)
MIN_SERVED_FRACTION = 0.85  # of the fraction served at the first size


class _ServerConnection(asyncio.Protocol):
    """The server side of a connection: responds to each request immediately."""

    def __init__(self, usage: ResourceUsage) -> None:
        self._usage = usage
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._usage.connections += 1

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


@dataclass
class Day:
    """One run with servers, discovery, one limiter and its clients."""

    server_count: int
    folder: Path
    usage: ResourceUsage = field(default_factory=ResourceUsage)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.server_count)
        self._listeners: list[asyncio.Server] = []
        self._started_servers = 0
        self._tasks: set[asyncio.Task[None]] = set()

    # --- Servers and their list ------------------------------------------------------------------------
    async def start_server(self) -> dict[str, Any]:
        """Starts a server; returns its entry for the list of discovery."""
        self._started_servers += 1
        dial = unique_loopback_address(self._started_servers)
        host, _, port = dial.partition(":")
        listener = await asyncio.get_running_loop().create_server(
            lambda: _ServerConnection(self.usage), host, int(port)
        )
        self._listeners.append(listener)
        return {
            "host": f"s-{self._started_servers:05d}",
            "dial": dial,
            "site": f"hall-{self._started_servers % 5}",
            "class": "m2",
            "block": self._started_servers % 8,
            "health": "active",
            "share": 1.0,
            "born_ms": 0,
        }

    async def calm(self) -> None:
        """Nothing changes."""

    async def rolling(self) -> None:
        """Half of the servers are replaced one by one: one is leaving, another starts, the first has left."""
        replaced = self._rng.sample(list(self.registry.entries.values()), self.server_count // 2)
        new_servers = [await self.start_server() for _ in replaced]
        start = monotonic()
        changes = [
            entry
            for leaving, started in zip(replaced, new_servers, strict=True)
            for entry in (leaving | {"health": "leaving"}, started, leaving | {"health": "left"})
        ]
        for number, entry in enumerate(changes):
            await asyncio.sleep(max(0.0, start + CHANGE_PERIOD_S * number / len(changes) - monotonic()))
            self.registry.apply_change(entry)

    async def replaced(self) -> None:
        """One list replaces all servers."""
        await asyncio.sleep(CHANGE_PERIOD_S / 3)
        await self._replace(list(self.registry.entries.values()))

    async def outage(self) -> None:
        """Discovery is unavailable, then returns a list that replaces a tenth of the servers."""
        await asyncio.sleep(CHANGE_PERIOD_S / 6)
        self.agent.faults.down = True
        await asyncio.sleep(OUTAGE_S)
        await self._replace(self._rng.sample(list(self.registry.entries.values()), self.server_count // 10))
        self.agent.restore_discovery()

    async def _replace(self, replaced: list[dict[str, Any]]) -> None:
        new_servers = [await self.start_server() for _ in replaced]
        self.registry.apply_change(*(entry | {"health": "left"} for entry in replaced), *new_servers)

    # --- The run ---------------------------------------------------------------------------------------
    async def run(self, changes: Callable[[Day], TaskCoroutine]) -> ResourceUsage:
        """Starts all processes, runs the day and stops them."""
        self.registry = Registry([await self.start_server() for _ in range(self.server_count)])
        self.agent = Agent(self.registry, self._rng)
        await self.agent.start()
        settings = soak.limiter_settings(soak.SoakOptions(0)) | {
            "balancers": CONFIGURED_LIMITERS,
            "zones": [f"hall-{n}" for n in range(5)],
        }
        record = SoakRecord(soak.DRAIN_GRACE_S, soak.DEDUPLICATION_WINDOW_S, soak.MAX_DEADLINE_S)
        limiter = Limiter(0, self.folder, settings, record, False)
        limiter.configure(self.agent.address, self.registry.list_at(1))
        await limiter.start()
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await limiter.wait_until_ready()
            await self._run_load(limiter, changes)
        finally:
            limiter.signal(signal.SIGKILL)
            await limiter.wait_for_exit(5.0)
            await self.agent.close()
            for listener in self._listeners:
                listener.close()
        return self.usage

    async def _run_load(self, limiter: Limiter, changes: Callable[[Day], TaskCoroutine]) -> None:
        pid = limiter.pid
        sampler = asyncio.create_task(self._sample_descriptors(pid))
        change_task = asyncio.create_task(changes(self))
        end = monotonic() + DAY_DURATION_S
        while monotonic() < end:
            self._start_task(self._send_request(limiter.address))
            await asyncio.sleep(self._rng.expovariate(REQUEST_RATE_PER_S))
        await change_task
        await asyncio.gather(*self._tasks)
        sampler.cancel()
        self.usage.cpu_s = _cpu_s(pid)
        self.usage.memory_mb = _peak_memory_mb(pid)
        self.usage.list_kb = self.agent.list_bytes_written / 1000

    def _start_task(self, coroutine: TaskCoroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_request(self, address: str) -> None:
        self.usage.request_count += 1
        number = self.usage.request_count
        host, _, port = address.partition(":")
        head = (
            f"GET /read/{number} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {number:016x}\r\n"
            f"Req-Kind: read\r\nX-Tier: basic\r\nX-Api-Key: {number % 40:016x}\r\n"
            f"Req-Deadline: {REQUEST_DEADLINE_S}\r\n"
            "X-Call-Terms: units=1,spread=1,first=0\r\nConnection: close\r\n\r\n"
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(REQUEST_DEADLINE_S + 1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode())
                response = await reader.read(4096)
                writer.close()
                self.usage.served_count += b" 200 " in response[:20]

    async def _sample_descriptors(self, pid: int) -> None:
        while True:
            self.usage.descriptors = max(self.usage.descriptors, len(os.listdir(f"/proc/{pid}/fd")))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _cpu_s(pid: int) -> float:
    """Returns user and system CPU time of a process in seconds (proc(5), fields 14 and 15 of stat)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _peak_memory_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))


DAYS = {"calm": Day.calm, "rolling": Day.rolling, "replaced": Day.replaced, "outage": Day.outage}


def run_day(day: str, server_count: int) -> ResourceUsage:
    """Runs one day at one size."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Day(server_count, Path(folder)).run(DAYS[day]))


def print_row(day: str, server_count: int, usage: ResourceUsage, baseline: ResourceUsage | None) -> bool:
    """Prints a row with each figure and its bound; returns whether all bounds hold."""
    within_bounds, cells = True, []
    for bound in BOUNDS:
        measured = getattr(usage, bound.name)
        cell = f"{bound.name} {measured:.2f}" if isinstance(measured, float) else f"{bound.name} {measured}"
        if baseline:
            allowed = bound.allowed(getattr(baseline, bound.name), server_count)
            within_bounds = within_bounds and measured <= allowed
            cell += f" of {allowed:.2f}{'' if measured <= allowed else ' MISSED'}"
        cells.append(cell)
    min_fraction = MIN_SERVED_FRACTION * baseline.served_fraction if baseline else 0.0
    within_bounds = within_bounds and usage.served_fraction >= min_fraction
    cells.append(
        f"served {usage.served_count} of {usage.request_count}"
        f"{'' if usage.served_fraction >= min_fraction else ' MISSED'}"
    )
    print(f"{day:8} {server_count:6} {'; '.join(cells)}", flush=True)
    return within_bounds


def main() -> int:
    """Runs the days; returns 1 if a bound is exceeded."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("days", nargs="*", choices=[[], *DAYS], default=[])
    parser.add_argument("--sizes", type=int, nargs="+", default=[200, 3200])
    args = parser.parse_args()
    max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))
    within_bounds = True
    for day in args.days or DAYS:
        baseline: ResourceUsage | None = None
        for server_count in args.sizes:
            usage = run_day(day, server_count)
            within_bounds = print_row(day, server_count, usage, baseline) and within_bounds
            baseline = baseline or usage
    return 0 if within_bounds else 1


if __name__ == "__main__":
    sys.exit(main())
