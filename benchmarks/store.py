"""The store's figures: writes, time without a leader, restart, catch-up, and what requests feel of it.

    PYTHONPATH=.:tests python benchmarks/store.py [writes|leader|restart|catchup|requests ...]

Each part prints its figure beside a floor that is measured in the same run: a bare append and fdatasync on
the same disk, or the same load with the store at rest.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import uvloop
from standalone import KEY, config
from storeprocs import Cluster, cluster

from basaltpoint.store import state_machine as kv
from basaltpoint.store.client import Client, Endpoint, StoreError
from basaltpoint.store.files import OsFiles
from basaltpoint.store.messages import Member, Membership
from basaltpoint.store.node import Node, StorageLimits

BODY = bytes(100)
KILLS = 50


def floor(path: Path, size: int = 200, seconds: float = 1.0) -> float:
    """Appends with fdatasync a second."""
    handle = os.open(path / "floor", os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    count, end = 0, time.perf_counter() + seconds
    while time.perf_counter() < end:
        os.write(handle, bytes(size))
        os.fdatasync(handle)
        count += 1
    os.close(handle)
    return count / seconds


def quantile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


async def writing(clients: list[Client], seconds: float) -> list[float]:
    """Latencies in ms of writes by all clients at once."""
    took: list[float] = []
    end = time.perf_counter() + seconds

    async def one(client: Client, name: int) -> None:
        count = 0
        while time.perf_counter() < end:
            began = time.perf_counter()
            count += 1
            await client.put(f"k{name}/{count % 1000}", BODY, within_s=60)
            took.append((time.perf_counter() - began) * 1000)

    await asyncio.gather(*(one(client, name) for name, client in enumerate(clients)))
    return took


async def writes(path: Path) -> None:
    for size in (1, 3):
        with cluster(path / f"w{size}", size) as made:
            await made.leader()
            bare = floor(path)
            for count in (1, 32):
                clients = [made.client() for _ in range(count)]
                await writing(clients, 1.0)
                took = await writing(clients, 5.0)
                rate = len(took) / 5.0
                print(
                    f"{size} replicas, {count:2} writers: {rate:6.0f} writes/s ({rate / bare:.2f} of a bare "
                    f"fdatasync, {bare:.0f}/s), median {statistics.median(took):.2f} ms, "
                    f"p99 {quantile(took, 0.99):.2f} ms"
                )
                for client in clients:
                    client.close()


async def leader(path: Path) -> None:
    gaps: list[float] = []
    with cluster(path / "l") as made:
        for _ in range(KILLS):
            name = await made.leader()
            client = made.client(*(each for each in made.names if each != name))
            await client.put("a", BODY, within_s=60)
            began = time.perf_counter()
            made.kill(name)
            await client.put("a", BODY, within_s=60)
            gaps.append(time.perf_counter() - began)
            made.start(name)
            await _there(made, name, client)
            client.close()
    print(
        f"from a leader's kill to the next write acknowledged, {KILLS} kills: "
        f"median {statistics.median(gaps):.3f} s, worst {max(gaps):.3f} s"
    )


async def _there(made: Cluster, name: str, client: Client) -> None:
    """Wait until a replica has what was written."""
    local = made.local(name)
    while True:
        with suppress(StoreError, OSError):
            if (await local.status(1.0)).revision >= client.revision:
                local.close()
                return
        await asyncio.sleep(0.02)


async def restart(path: Path) -> None:
    folder = path / "r" / "data" / "log"
    folder.mkdir(parents=True)
    files = OsFiles(folder)
    members = Membership((Member("a"),))
    now = time.monotonic() * 1000
    sizes = StorageLimits(snapshot_entries=10**7, snapshot_bytes=10**12)
    node = Node("a", files, random.Random(1), now, lambda to, message: None, limits=sizes, initial=members)
    node.tick(now + 10_000)
    node.process_output()
    assert node.is_leader
    for at in range(100_000):
        put = kv.Transaction((), (kv.Put(f"k{at % 10_000}", BODY),))
        node.propose(now + 10_000, kv.Command(put), lambda result: None)
        if at % 1000 == 999:
            node.process_output()
    files.close()
    began = time.perf_counter()
    raw = sum(len((folder / name).read_bytes()) for name in os.listdir(folder))
    bare = time.perf_counter() - began
    began = time.perf_counter()
    again = Node("a", OsFiles(folder), random.Random(1), now, lambda to, message: None, limits=sizes)
    again.tick(now + 10_000)
    again.process_output()
    took = time.perf_counter() - began
    assert again.state_machine.state.revision == 100_000
    print(
        f"restart with 100,000 entries ({raw >> 20} MB): {took:.2f} s; reading the files alone {bare:.3f} s"
    )


async def catchup(path: Path) -> None:
    with cluster(path / "c", 4, extra_config="state_mb = 256", start=False) as made:
        names, made.names = made.names, made.names[:3]
        for name in made.names:
            made.write_config(name)
        made.start()
        await made.leader()
        client = made.client()
        for at in range(64):
            await client.put(f"big{at}", bytes(1 << 20), within_s=60)
        await client.take_snapshot()
        await asyncio.sleep(2)
        made.names = names
        made.write_config(names[3], join=True)
        made.start(names[3])
        await asyncio.sleep(1.0)
        began = time.perf_counter()
        await client.change_membership("add", names[3], made.addresses[names[3]])
        await _there(made, names[3], client)
        took = time.perf_counter() - began
        bare = time.perf_counter()
        (path / "copy").write_bytes(bytes(64 << 20))
        bare = time.perf_counter() - bare
        rate = 64 / took
        print(f"an empty replica gets 64 MB in {took:.2f} s ({rate:.0f} MB/s); a file of it {bare:.2f} s")
        client.close()


class Limiter:
    """A limiter with a replica of its own, a stand-in server and a load."""

    def __init__(self, path: Path, extra: str) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        command = [sys.executable, "-m", "basaltpoint"]
        self.server = subprocess.Popen(
            [*command, "standin", "--service", "fixed:2", "--workers", "200"],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.server.stdout
        address = self.server.stdout.readline().split()[-1]
        text = config(address, extra=extra, rate="rate = 100000\nburst = 100000")
        self.port = _free()
        (path / "l.toml").write_text(text.replace('"127.0.0.1:0"', f'"127.0.0.1:{self.port}"', 1))
        self.log = open(path / "log.txt", "wb")  # noqa: SIM115 - closed at the end
        self.process = subprocess.Popen([*command, "serve", str(path / "l.toml")], stderr=self.log)

    def ready(self) -> None:
        while b"listens at" not in (self.path / "log.txt").read_bytes():
            time.sleep(0.05)

    async def load(self, seconds: int, rate: int) -> dict[str, float]:
        scenario = self.path / "load.toml"
        scenario.write_text(
            f'target = ["127.0.0.1:{self.port}"]\nduration_s = {seconds}\n'
            f'[[plan]]\nname = "t"\naccounts = 1\nrate = {rate}\nkey = "{KEY}"\n'
            '[[class]]\nname = "read"\naim_ms = 1000\ntimeout_ms = 5000\n'
        )
        out = self.path / "out.json"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "basaltpoint", "load", "run", str(scenario), "--json", str(out),
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        await process.wait()
        made = json.loads(out.read_text())["runs"][0]
        return {**made["total"], **made["latency_ms"]["all"]}

    def end(self) -> None:
        for process in (self.process, self.server):
            process.terminate()
            process.wait(20)
        self.log.close()


def _free() -> int:
    from storeprocs import free_ports

    return free_ports(1)[0]


async def requests(path: Path) -> None:
    limiter = Limiter(path / "q", '[store]\ndir = "store"\nsnapshot_entries = 20000\n')
    limiter.ready()
    clients = [Client([Endpoint(str(path / "q" / "store" / "socket"))]) for _ in range(32)]
    print("the limiter with a replica of its own, 300 requests a second:")
    for _ in range(3):
        await _beside(limiter, "at rest", None)
        await _beside(limiter, "store written at full speed", lambda: _write_on(clients))
    for client in clients:
        client.close()
    limiter.end()
    with cluster(path / "k") as made:
        await made.leader()
        tls = made.client_tls
        members = ", ".join(f'"{name}@{made.addresses[name]}"' for name in made.names)
        extra = f'[store]\nname = ""\ncluster = "test"\nmembers = [{members}]\n'
        extra += f'cert = "{tls.cert}"\nkey = "{tls.key}"\nauthority = "{tls.authority}"\n'
        limiter = Limiter(path / "q3", extra)
        limiter.ready()
        print("the limiter as client of three replicas:")
        for _ in range(3):
            await _beside(limiter, "at rest", None)
            await _beside(limiter, "the leader killed and started again", lambda: _kill_on(made))
        limiter.end()


async def _beside(limiter: Limiter, name: str, work: Callable[[], Awaitable[None]] | None) -> None:
    task = asyncio.ensure_future(work()) if work else None
    total = await limiter.load(8, 300)
    if task:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    print(
        f"  {name}: p50 {total['p50']:.2f} ms, p99 {total['p99']:.2f} ms, p99.9 {total['p99.9']:.2f} ms, "
        f"served {total['served']} of {total['asked']}"
    )


async def _write_on(clients: list[Client]) -> None:
    while True:
        await writing(clients, 1.0)


async def _kill_on(made: Cluster) -> None:
    await asyncio.sleep(3)
    name = await made.leader()
    made.kill(name)
    await asyncio.sleep(1.5)
    made.start(name)
    await asyncio.sleep(60)


PARTS = {"writes": writes, "leader": leader, "restart": restart, "catchup": catchup, "requests": requests}


def main() -> None:
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        for name in sys.argv[1:] or PARTS:
            runner.run(PARTS[name](Path(folder)))


if __name__ == "__main__":
    main()
