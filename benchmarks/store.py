"""Measures the store: writes, time without a leader, restart, catch-up, and its effect on request latency.

    PYTHONPATH=.:tests python benchmarks/store.py [writes|leader|restart|catchup|requests ...]

Each benchmark prints its figure beside a baseline from the same run: a bare append and fdatasync on the same
disk, or the same load with the store idle.
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

VALUE = bytes(100)
KILL_COUNT = 50


def fdatasync_rate(path: Path, size: int = 200, seconds: float = 1.0) -> float:
    """Returns appends with fdatasync per second."""
    handle = os.open(path / "floor", os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    count, end = 0, time.perf_counter() + seconds
    while time.perf_counter() < end:
        os.write(handle, bytes(size))
        os.fdatasync(handle)
        count += 1
    os.close(handle)
    return count / seconds


def quantile(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


async def run_writers(clients: list[Client], seconds: float) -> list[float]:
    """Returns the latencies, in ms, of writes by all clients concurrently."""
    latencies_ms: list[float] = []
    end = time.perf_counter() + seconds

    async def write(client: Client, name: int) -> None:
        count = 0
        while time.perf_counter() < end:
            start = time.perf_counter()
            count += 1
            await client.put(f"k{name}/{count % 1000}", VALUE, within_s=60)
            latencies_ms.append((time.perf_counter() - start) * 1000)

    await asyncio.gather(*(write(client, name) for name, client in enumerate(clients)))
    return latencies_ms


async def measure_writes(path: Path) -> None:
    for size in (1, 3):
        with cluster(path / f"w{size}", size) as store_cluster:
            await store_cluster.leader()
            baseline_rate = fdatasync_rate(path)
            for count in (1, 32):
                clients = [store_cluster.client() for _ in range(count)]
                await run_writers(clients, 1.0)
                latencies_ms = await run_writers(clients, 5.0)
                rate = len(latencies_ms) / 5.0
                print(
                    f"{size} replicas, {count:2} writers: {rate:6.0f} writes/s "
                    f"({rate / baseline_rate:.2f} of a bare fdatasync, {baseline_rate:.0f}/s), "
                    f"median {statistics.median(latencies_ms):.2f} ms, "
                    f"p99 {quantile(latencies_ms, 0.99):.2f} ms"
                )
                for client in clients:
                    client.close()


async def measure_leader_loss(path: Path) -> None:
    gaps_s: list[float] = []
    with cluster(path / "l") as store_cluster:
        for _ in range(KILL_COUNT):
            name = await store_cluster.leader()
            client = store_cluster.client(*(each for each in store_cluster.names if each != name))
            await client.put("a", VALUE, within_s=60)
            start = time.perf_counter()
            store_cluster.kill(name)
            await client.put("a", VALUE, within_s=60)
            gaps_s.append(time.perf_counter() - start)
            store_cluster.start(name)
            await _wait_until_caught_up(store_cluster, name, client)
            client.close()
    print(
        f"from a leader's kill to the next write acknowledged, {KILL_COUNT} kills: "
        f"median {statistics.median(gaps_s):.3f} s, worst {max(gaps_s):.3f} s"
    )


async def _wait_until_caught_up(store_cluster: Cluster, name: str, client: Client) -> None:
    """Waits until a replica has applied the client's last write."""
    local = store_cluster.local(name)
    while True:
        with suppress(StoreError, OSError):
            if (await local.status(1.0)).revision >= client.revision:
                local.close()
                return
        await asyncio.sleep(0.02)


async def measure_restart(path: Path) -> None:
    folder = path / "r" / "data" / "log"
    folder.mkdir(parents=True)
    files = OsFiles(folder)
    members = Membership((Member("a"),))
    now = time.monotonic() * 1000
    limits = StorageLimits(snapshot_entries=10**7, snapshot_bytes=10**12)
    node = Node("a", files, random.Random(1), now, lambda to, message: None, limits=limits, initial=members)
    node.tick(now + 10_000)
    node.process_output()
    assert node.is_leader
    for at in range(100_000):
        put = kv.Transaction((), (kv.Put(f"k{at % 10_000}", VALUE),))
        node.propose(now + 10_000, kv.Command(put), lambda result: None)
        if at % 1000 == 999:
            node.process_output()
    files.close()
    start = time.perf_counter()
    log_bytes = sum(len((folder / name).read_bytes()) for name in os.listdir(folder))
    read_s = time.perf_counter() - start
    start = time.perf_counter()
    restarted = Node("a", OsFiles(folder), random.Random(1), now, lambda to, message: None, limits=limits)
    restarted.tick(now + 10_000)
    restarted.process_output()
    duration_s = time.perf_counter() - start
    assert restarted.state_machine.state.revision == 100_000
    print(
        f"restart with 100,000 entries ({log_bytes >> 20} MB): {duration_s:.2f} s; "
        f"reading the files alone {read_s:.3f} s"
    )


async def measure_catchup(path: Path) -> None:
    with cluster(path / "c", 4, extra_config="state_mb = 256", start=False) as store_cluster:
        names, store_cluster.names = store_cluster.names, store_cluster.names[:3]
        for name in store_cluster.names:
            store_cluster.write_config(name)
        store_cluster.start()
        await store_cluster.leader()
        client = store_cluster.client()
        for at in range(64):
            await client.put(f"big{at}", bytes(1 << 20), within_s=60)
        await client.take_snapshot()
        await asyncio.sleep(2)
        store_cluster.names = names
        store_cluster.write_config(names[3], join=True)
        store_cluster.start(names[3])
        await asyncio.sleep(1.0)
        start = time.perf_counter()
        await client.change_membership("add", names[3], store_cluster.addresses[names[3]])
        await _wait_until_caught_up(store_cluster, names[3], client)
        duration_s = time.perf_counter() - start
        file_write_s = time.perf_counter()
        (path / "copy").write_bytes(bytes(64 << 20))
        file_write_s = time.perf_counter() - file_write_s
        rate_mb_s = 64 / duration_s
        print(
            f"an empty replica gets 64 MB in {duration_s:.2f} s ({rate_mb_s:.0f} MB/s); "
            f"a file of it {file_write_s:.2f} s"
        )
        client.close()


class LimiterProcess:
    """A limiter process with a stand-in server and a load generator."""

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
        self.port = _free_port()
        (path / "l.toml").write_text(text.replace('"127.0.0.1:0"', f'"127.0.0.1:{self.port}"', 1))
        self.log = open(path / "log.txt", "wb")  # noqa: SIM115 - closed in stop()
        self.process = subprocess.Popen([*command, "serve", str(path / "l.toml")], stderr=self.log)

    def wait_until_ready(self) -> None:
        while b"listens at" not in (self.path / "log.txt").read_bytes():
            time.sleep(0.05)

    async def run_load(self, duration_s: int, rate_per_s: int) -> dict[str, float]:
        scenario = self.path / "load.toml"
        scenario.write_text(
            f'target = ["127.0.0.1:{self.port}"]\nduration_s = {duration_s}\n'
            f'[[plan]]\nname = "t"\naccounts = 1\nrate = {rate_per_s}\nkey = "{KEY}"\n'
            '[[class]]\nname = "read"\naim_ms = 1000\ntimeout_ms = 5000\n'
        )
        output = self.path / "out.json"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "basaltpoint", "load", "run", str(scenario), "--json", str(output),
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        await process.wait()
        result = json.loads(output.read_text())["runs"][0]
        return {**result["total"], **result["latency_ms"]["all"]}

    def stop(self) -> None:
        for process in (self.process, self.server):
            process.terminate()
            process.wait(20)
        self.log.close()


def _free_port() -> int:
    from storeprocs import free_ports

    return free_ports(1)[0]


async def measure_requests(path: Path) -> None:
    limiter = LimiterProcess(path / "q", '[store]\ndir = "store"\nsnapshot_entries = 20000\n')
    limiter.wait_until_ready()
    clients = [Client([Endpoint(str(path / "q" / "store" / "socket"))]) for _ in range(32)]
    print("the limiter with a replica of its own, 300 requests a second:")
    for _ in range(3):
        await _measure_load(limiter, "at rest", None)
        await _measure_load(limiter, "store written at full speed", lambda: _write_until_cancelled(clients))
    for client in clients:
        client.close()
    limiter.stop()
    with cluster(path / "k") as store_cluster:
        await store_cluster.leader()
        tls = store_cluster.client_tls
        members = ", ".join(f'"{name}@{store_cluster.addresses[name]}"' for name in store_cluster.names)
        extra = f'[store]\nname = ""\ncluster = "test"\nmembers = [{members}]\n'
        extra += f'cert = "{tls.cert}"\nkey = "{tls.key}"\nauthority = "{tls.authority}"\n'
        limiter = LimiterProcess(path / "q3", extra)
        limiter.wait_until_ready()
        print("the limiter as client of three replicas:")
        for _ in range(3):
            await _measure_load(limiter, "at rest", None)
            await _measure_load(
                limiter, "the leader killed and started again", lambda: _restart_leader(store_cluster)
            )
        limiter.stop()


async def _measure_load(
    limiter: LimiterProcess, name: str, background_work: Callable[[], Awaitable[None]] | None
) -> None:
    task = asyncio.ensure_future(background_work()) if background_work else None
    total = await limiter.run_load(8, 300)
    if task:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    print(
        f"  {name}: p50 {total['p50']:.2f} ms, p99 {total['p99']:.2f} ms, p99.9 {total['p99.9']:.2f} ms, "
        f"served {total['served']} of {total['asked']}"
    )


async def _write_until_cancelled(clients: list[Client]) -> None:
    while True:
        await run_writers(clients, 1.0)


async def _restart_leader(store_cluster: Cluster) -> None:
    await asyncio.sleep(3)
    name = await store_cluster.leader()
    store_cluster.kill(name)
    await asyncio.sleep(1.5)
    store_cluster.start(name)
    await asyncio.sleep(60)


BENCHMARKS = {
    "writes": measure_writes,
    "leader": measure_leader_loss,
    "restart": measure_restart,
    "catchup": measure_catchup,
    "requests": measure_requests,
}


def main() -> None:
    with (
        tempfile.TemporaryDirectory() as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        for name in sys.argv[1:] or BENCHMARKS:
            runner.run(BENCHMARKS[name](Path(folder)))


if __name__ == "__main__":
    main()
