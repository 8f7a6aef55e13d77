"""What a limiter needs before fleets of several sizes: `python benchmarks/servers.py [DAY ...] [--sizes N]`.

A limiter of the platform runs as a process before stand-in servers, each at an address of its own on the
loopback, under the same traffic whatever their number. Each day is played at the first size and then at the
others, and what the process needed is set beside the bounds that the operators state for larger fleets
(`STANDING.md`): so many times what the first size needed, and an allowance that grows with the servers.
Exit code 1 where a bound is missed.

Days: `calm` (nothing changes), `rolling` (half of the servers are replaced one by one), `replaced` (one list
names none of those before), `outage` (discovery is away and comes back with a list that replaces a tenth).
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

SECONDS = 20.0  # of a day
CHANGING_S = 18.0  # of it, in which the list changes
OUTAGE_S = 6.0
PER_SECOND = 15.0  # requests
LIMITERS = 40  # that the settings name; one runs
WAIT_S = 2.0  # for an answer
SAMPLE_S = 0.05  # between two looks at the process's descriptors
READY_S = 30.0
TICKS = os.sysconf("SC_CLK_TCK")

Work = Coroutine[Any, Any, None]


@dataclass(slots=True)
class Need:
    """What a process needed over a day."""

    cpu_s: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    connections: int = 0
    list_kb: float = 0.0
    asked: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        return self.served / max(1, self.asked)


@dataclass(frozen=True, slots=True)
class Bound:
    """What is allowed at a larger size: a multiple of the first size's need, and what is added to it."""

    name: str
    times: float
    more: float
    per_thousand: float

    def allowed(self, base: float, servers: int) -> float:
        return self.times * base + self.more + self.per_thousand * servers / 1000


BOUNDS = (
    Bound("cpu_s", 1.4, 0.02, 0.12),
    Bound("memory_mb", 1.5, 8, 4),
    Bound("descriptors", 2, 40, 0),
    Bound("connections", 2.5, 40, 0),
    Bound("list_kb", 2, 64, 500),
)
LEAST_SHARE = 0.85  # of the share served at the first size


class _Connection(asyncio.Protocol):
    """A server's side of a connection: each request is answered at once."""

    def __init__(self, need: Need) -> None:
        self._need = need
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._need.connections += 1

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


@dataclass
class Day:
    """One run: the servers, discovery, one limiter, its clients."""

    servers: int
    folder: Path
    need: Need = field(default_factory=Need)

    def __post_init__(self) -> None:
        self._rng = random.Random(self.servers)
        self._listeners: list[asyncio.Server] = []
        self._named = 0
        self._tasks: set[asyncio.Task[None]] = set()

    # --- Servers and their list ------------------------------------------------------------------------
    async def server(self) -> dict[str, Any]:
        """A server that listens; its entry."""
        self._named += 1
        dial = unique_loopback_address(self._named)
        host, _, port = dial.partition(":")
        made = await asyncio.get_running_loop().create_server(lambda: _Connection(self.need), host, int(port))
        self._listeners.append(made)
        return {
            "host": f"s-{self._named:05d}",
            "dial": dial,
            "site": f"hall-{self._named % 5}",
            "class": "m2",
            "block": self._named % 8,
            "health": "active",
            "share": 1.0,
            "born_ms": 0,
        }

    async def calm(self) -> None:
        """Nothing changes."""

    async def rolling(self) -> None:
        """Half of the servers are replaced one by one: one leaves, another starts, the first is gone."""
        old = self._rng.sample(list(self.registry.entries.values()), self.servers // 2)
        fresh = [await self.server() for _ in old]
        begun = monotonic()
        changes = [
            entry
            for leaving, started in zip(old, fresh, strict=True)
            for entry in (leaving | {"health": "leaving"}, started, leaving | {"health": "left"})
        ]
        for number, entry in enumerate(changes):
            await asyncio.sleep(max(0.0, begun + CHANGING_S * number / len(changes) - monotonic()))
            self.registry.apply_change(entry)

    async def replaced(self) -> None:
        """One list names none of the servers before."""
        await asyncio.sleep(CHANGING_S / 3)
        await self._replace(list(self.registry.entries.values()))

    async def outage(self) -> None:
        """Discovery is away, and comes back with a list that replaces a tenth."""
        await asyncio.sleep(CHANGING_S / 6)
        self.agent.faults.down = True
        await asyncio.sleep(OUTAGE_S)
        await self._replace(self._rng.sample(list(self.registry.entries.values()), self.servers // 10))
        self.agent.restore_discovery()

    async def _replace(self, old: list[dict[str, Any]]) -> None:
        fresh = [await self.server() for _ in old]
        self.registry.apply_change(*(entry | {"health": "left"} for entry in old), *fresh)

    # --- The run ---------------------------------------------------------------------------------------
    async def play(self, changes: Callable[[Day], Work]) -> Need:
        """Start all, play the day, end all."""
        self.registry = Registry([await self.server() for _ in range(self.servers)])
        self.agent = Agent(self.registry, self._rng)
        await self.agent.start()
        settings = soak.limiter_settings(soak.SoakOptions(0)) | {
            "balancers": LIMITERS,
            "zones": [f"hall-{n}" for n in range(5)],
        }
        record = SoakRecord(soak.DRAIN_GRACE_S, soak.DEDUPLICATION_WINDOW_S, soak.MAX_DEADLINE_S)
        limiter = Limiter(0, self.folder, settings, record, False)
        limiter.configure(self.agent.address, self.registry.list_at(1))
        await limiter.start()
        try:
            async with asyncio.timeout(READY_S):
                await limiter.wait_until_ready()
            await self._load(limiter, changes)
        finally:
            limiter.signal(signal.SIGKILL)
            await limiter.wait_for_exit(5.0)
            await self.agent.close()
            for listener in self._listeners:
                listener.close()
        return self.need

    async def _load(self, limiter: Limiter, changes: Callable[[Day], Work]) -> None:
        process = limiter.pid
        watcher = asyncio.create_task(self._watch(process))
        changing = asyncio.create_task(changes(self))
        end = monotonic() + SECONDS
        while monotonic() < end:
            self._begin(self._ask(limiter.address))
            await asyncio.sleep(self._rng.expovariate(PER_SECOND))
        await changing
        await asyncio.gather(*self._tasks)
        watcher.cancel()
        self.need.cpu_s = _cpu_s(process)
        self.need.memory_mb = _peak_mb(process)
        self.need.list_kb = self.agent.list_bytes_written / 1000

    def _begin(self, work: Work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, address: str) -> None:
        self.need.asked += 1
        number = self.need.asked
        host, _, port = address.partition(":")
        head = (
            f"GET /read/{number} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {number:016x}\r\n"
            f"Req-Kind: read\r\nX-Tier: basic\r\nX-Api-Key: {number % 40:016x}\r\nReq-Deadline: {WAIT_S}\r\n"
            "X-Call-Terms: units=1,spread=1,first=0\r\nConnection: close\r\n\r\n"
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(WAIT_S + 1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head.encode())
                answer = await reader.read(4096)
                writer.close()
                self.need.served += b" 200 " in answer[:20]

    async def _watch(self, process: int) -> None:
        while True:
            self.need.descriptors = max(self.need.descriptors, len(os.listdir(f"/proc/{process}/fd")))
            await asyncio.sleep(SAMPLE_S)


def _cpu_s(process: int) -> float:
    """Seconds of user and system time of a process so far (proc(5), fields 14 and 15 of stat)."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _peak_mb(process: int) -> float:
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM"))


DAYS = {"calm": Day.calm, "rolling": Day.rolling, "replaced": Day.replaced, "outage": Day.outage}


def play(day: str, servers: int) -> Need:
    """One day at one size."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Day(servers, Path(folder)).play(DAYS[day]))


def told(day: str, servers: int, need: Need, base: Need | None) -> bool:
    """Print a row, each figure beside what is allowed; whether all are within."""
    good, cells = True, []
    for bound in BOUNDS:
        found = getattr(need, bound.name)
        cell = f"{bound.name} {found:.2f}" if isinstance(found, float) else f"{bound.name} {found}"
        if base:
            most = bound.allowed(getattr(base, bound.name), servers)
            good = good and found <= most
            cell += f" of {most:.2f}{'' if found <= most else ' MISSED'}"
        cells.append(cell)
    least = LEAST_SHARE * base.share if base else 0.0
    good = good and need.share >= least
    cells.append(f"served {need.served} of {need.asked}{'' if need.share >= least else ' MISSED'}")
    print(f"{day:8} {servers:6} {'; '.join(cells)}", flush=True)
    return good


def main() -> int:
    """Play the days; 1 where a bound is missed."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("days", nargs="*", choices=[[], *DAYS], default=[])
    parser.add_argument("--sizes", type=int, nargs="+", default=[200, 3200])
    args = parser.parse_args()
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    good = True
    for day in args.days or DAYS:
        base: Need | None = None
        for servers in args.sizes:
            need = play(day, servers)
            good = told(day, servers, need, base) and good
            base = base or need
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
