"""Two terms, measured: clients that left while they waited, and quotas of a fleet on a quiet day.

    python benchmarks/moments.py left [--limiters 4] [--clients 200]
    python benchmarks/moments.py quota [--limiters 3 12 40 200] [--seconds 20] [--seed 1]

`left`: real limiters as processes over loopback, before one server that answers late, or with a fault.
Clients leave at times spread over the wait, by closing, by reset or by half-closing, alone or with seven
requests on a connection. Printed: how many requests were left, how many of them a server had got, how many
it got over 0.3 s after their client had left. The term fails at a quarter; the aim is none.

`quota`: the shipped decision module, one for each limiter, in virtual time, with uneven traffic and a meter
that is late. Printed: what was sent on beyond the quotas, priced by the plans, as a part of the worth asked
for inside them; beside it a policy that sees the true store `LATE_MS` late. The term fails at 0.1 more.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import json
import os
import random
import socket
import sys
import tempfile
import time
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from zlib import crc32

sys.path.insert(0, str(Path(__file__).parent.parent))

from basaltpoint import interface as api
from basaltpoint.config.settings import parse_settings
from basaltpoint.policy import DecisionModule

LATE_MS = 1000.0  # how old the state is that the late policy sees, and a metered period's end when it is told
PERIOD_MS = 1000.0  # of the meter
ANSWER_MS = 120.0  # of a server
LEFT_LATE_S = 0.3  # from the client's leaving on; what is written later counts
PLANS: list[dict[str, Any]] = [
    {"name": "small", "rate": 0.8, "mostAtOnce": 3.5, "price": 0.6, "overWorth": 0, "beyondCosts": 0.5},
    {"name": "middle", "rate": 1.7, "mostAtOnce": 7.0, "price": 0.8, "overWorth": 0, "beyondCosts": 0.8},
    {"name": "large", "rate": 5.0, "mostAtOnce": 9.0, "price": 1.3, "overWorth": 0, "beyondCosts": 1.0},
]
CUSTOMERS = 120
SETTINGS: dict[str, Any] = {
    "balancers": 200,
    "me": 0,
    "zones": ["a"],
    "services": [{"name": "read", "aimMs": 1200.0, "hardLimitMs": 4000.0, "effect": "idempotent"}],
    "contracts": PLANS,
    "guarantees": {
        "coldFrom": 0.2,
        "coldMs": 10000.0,
        "tipMultiple": 2.0,
        "fallMs": 1000.0,
        "drainGraceMs": 250.0,
    },
    "ceilings": {"maxAttempts": 3, "cancel": True, "connectTimeoutMs": 1000.0, "connIdleMs": 30000.0},
    "specifics": {"mostUnits": 6, "metering": PERIOD_MS},
    "report": {"fields": [], "how": "silent"},
}


# --- Quotas of the fleet ---------------------------------------------------------------------------------
@dataclass(slots=True)
class Store:
    """A customer's true store, and what it held in the past."""

    rate: float
    burst: float
    level: float = 0.0
    at: float = 0.0
    past: deque[tuple[float, float]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        self.level = self.burst
        self.past.append((0.0, self.burst))

    def take(self, now: float) -> bool:
        """Send one unit on; whether it was inside the quota."""
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / 1000.0)
        self.at = now
        inside = self.level >= 1.0
        self.level -= inside
        self.past.append((now, self.level))
        return inside

    def seen(self, now: float) -> float:
        """What it held `LATE_MS` ago."""
        then = now - LATE_MS
        while len(self.past) > 1 and self.past[1][0] <= then:
            self.past.popleft()
        at, level = self.past[0]
        return min(self.burst, level + self.rate * max(0.0, then - at) / 1000.0)


@dataclass(slots=True)
class Asker:
    """A customer: its plan, how much of its rate it asks for, and through which limiters."""

    ident: int
    plan: int
    demand: float  # units a second
    doors: list[int]
    weights: list[float]
    store: Store
    ideal: Store
    sent: deque[float] = field(default_factory=deque)


def askers(limiters: int, rng: random.Random) -> list[Asker]:
    """Most stay well under their quotas, a fifth use nearly all, a tenth ask for up to four times theirs."""
    made = []
    for ident in range(CUSTOMERS):
        number = ident % len(PLANS)
        plan = PLANS[number]
        use = rng.choices([rng.uniform(0.15, 0.5), 0.95, rng.uniform(2.3, 4.3)], [0.7, 0.2, 0.1])[0]
        count = max(1, round(limiters * rng.uniform(0.5, 1.0)))
        first = rng.randrange(limiters)
        doors = [(first + step) % limiters for step in range(count)]
        stores = [Store(plan["rate"], plan["mostAtOnce"]) for _ in range(2)]
        weights = [rng.expovariate(1.0) for _ in doors]
        made.append(Asker(ident, number, plan["rate"] * use, doors, weights, stores[0], stores[1]))
    return made


def quota(limiters: int, seconds: float, seed: int) -> tuple[float, float, float, float]:
    """The price of what went beyond, and the part served of what was inside: module's and late policy's."""
    rng = random.Random(seed)
    settings = parse_settings(json.dumps({**SETTINGS, "balancers": limiters}).encode())
    gateways = [DecisionModule(settings, seed + number) for number in range(limiters)]
    servers = tuple(
        api.Server(n, 0, 0, api.ServerState.READY, 1.0, 0.0, n) for n in range(max(4, limiters // 2))
    )
    for gateway in gateways:
        gateway.handle(0.0, api.ServerList(api.ListKind.FULL, servers))
    all_askers = askers(limiters, rng)
    events: list[tuple[float, int, Any]] = []
    for number, asker in enumerate(all_askers):
        heapq.heappush(events, (rng.expovariate(asker.demand) * 1000.0, number, asker))
    count = len(events)
    cost = late_cost = inside = served = late_served = 0.0
    truth = [Store(asker.store.rate, asker.store.burst) for asker in all_askers]
    while events and events[0][0] < seconds * 1000.0:
        now, _, what = heapq.heappop(events)
        if isinstance(what, tuple):
            door, outcome = what
            gateways[door].handle(now, outcome)
            continue
        asker, plan = what, PLANS[what.plan]
        count += 1
        heapq.heappush(events, (now + rng.expovariate(asker.demand) * 1000.0, count, asker))
        inside += plan["price"] * truth[asker.ident].take(
            now
        )  # what sending everything on would leave inside
        if asker.ideal.seen(now) >= 1.0:
            if asker.ideal.take(now):
                late_served += plan["price"]
            else:
                late_cost += plan["price"] * plan["beyondCosts"]
        door = rng.choices(asker.doors, asker.weights)[0]
        arrival = api.Arrival(count, 0, asker.plan, asker.ident, 1.0, len(asker.doors), now + 4000.0, 0)
        sends = [act for act in gateways[door].handle(now, arrival) if isinstance(act, api.Send)]
        if not sends:
            continue
        if asker.store.take(now):
            served += plan["price"]
        else:
            cost += plan["price"] * plan["beyondCosts"]
        asker.sent.append(now)
        back = now + ANSWER_MS
        end = (back - LATE_MS) // PERIOD_MS * PERIOD_MS
        while asker.sent and asker.sent[0] < end - 2 * PERIOD_MS:
            asker.sent.popleft()
        used = sum(1 for at in asker.sent if end - PERIOD_MS <= at < end)
        usage = round(used / (asker.store.rate * PERIOD_MS / 1000.0) * 100.0)
        outcome = api.Outcome(count, 0, sends[0].server, api.Status.OK, ANSWER_MS, True, usage, 0.0, ())
        count += 1
        heapq.heappush(events, (back, count, (door, outcome)))
    return cost / inside, late_cost / inside, served / inside, late_served / inside


# --- Clients that left -----------------------------------------------------------------------------------
def request(ident: str) -> bytes:
    rows = [
        "GET /read/1 HTTP/1.1",
        "Host: backend.local",
        f"Req-Id: {ident}",
        "Req-Kind: read",
        "X-Tier: small",
        f"X-Api-Key: {crc32(ident.encode()):016x}",
        "Req-Deadline: 4.0",
        "X-Call-Terms: units=1,spread=1,first=0",
    ]
    return "\r\n".join([*rows, "", ""]).encode()


class Slow:
    """A server that answers after `answer_s`, now and then with a fault, and notes when each request came."""

    def __init__(self, answer_s: float, seed: int) -> None:
        self.answer_s = answer_s
        self.rng = random.Random(seed)
        self.came: dict[str, list[float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                ident = next(row[8:] for row in head.split("\r\n") if row.lower().startswith("req-id: "))
                self.came.setdefault(ident, []).append(time.monotonic())
                await asyncio.sleep(self.answer_s * self.rng.uniform(0.5, 1.5))
                status = "500 Fault" if self.rng.random() < 0.3 else "200 OK"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def left(limiters: int, clients: int, seed: int) -> tuple[int, int, int]:
    """Requests of clients that left; of these, what came to a server, and what over 0.3 s later."""
    rng, slow = random.Random(seed), Slow(0.6, seed)
    server = await asyncio.start_server(slow.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    processes, addresses = [], []
    with tempfile.TemporaryDirectory() as folder:
        for number in range(limiters):
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = probe.getsockname()
            host = {
                "host": "a", "dial": f"127.0.0.1:{port}", "site": "a", "block": 0,
                "health": "active", "share": 1.0, "born_ms": 0,
            }  # fmt: skip
            raw = {
                "name": f"n{number}",
                "listen": f"{address[0]}:{address[1]}",
                "discovery": "127.0.0.1:1",
                "seed": f"{number:x}",
                "limits": {"memory_mb": 192, "sockets": 1024},
                "known": {"seq": 1, "whole": True, "hosts": [host]},
                "settings": {**SETTINGS, "balancers": limiters},
            }
            file = Path(folder, f"{number}.json")
            file.write_text(json.dumps(raw))
            processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "basaltpoint",
                    cwd=Path(__file__).parent.parent,
                    env={**os.environ, "GW_CONFIG": str(file)},
                    stderr=asyncio.subprocess.DEVNULL,
                )
            )
            addresses.append(address)
        try:
            for address in addresses:
                await ready(address)
            tasks = [
                asyncio.create_task(leave(rng.choice(addresses), f"c{n}", random.Random(seed * 7919 + n)))
                for n in range(clients)
            ]
            gone = [pair for pairs in await asyncio.gather(*tasks) for pair in pairs]
            await asyncio.sleep(4.0)  # the longest deadline: nothing can be sent on after that
        finally:
            for process in processes:
                process.kill()
                await process.wait()
            server.close()
    written = [ident for ident, _ in gone if ident in slow.came]
    late = [ident for ident, at in gone if any(came > at + LEFT_LATE_S for came in slow.came.get(ident, []))]
    return len(gone), len(written), len(late)


async def ready(address: tuple[str, int]) -> None:
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            if b" 200 " in await reader.readline():
                writer.close()
                return
            writer.close()
        except ConnectionError:
            pass
        await asyncio.sleep(0.05)


async def leave(address: tuple[str, int], name: str, rng: random.Random) -> list[tuple[str, float]]:
    """Ask, alone or with more behind, and go after a part of the wait; the ids and when they were left."""
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, address)
    idents = [f"{name}-{n}" for n in range(rng.choice([1, 1, 4]))]
    await loop.sock_sendall(sock, b"".join(request(ident) for ident in idents))
    if len(idents) > 1:  # more that stays unread in the limiter's socket
        await asyncio.sleep(0.05)
        idents += [f"{name}-{n}" for n in range(4, 7)]
        await loop.sock_sendall(sock, b"".join(request(ident) for ident in idents[4:]))
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    how, at = rng.choice(["close", "reset", "half"]), time.monotonic()
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    if how == "half":
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(1.0)
    sock.close()
    return [(ident, at) for ident in idents]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=["left", "quota"])
    parser.add_argument("--limiters", type=int, nargs="*", default=[])
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for count in args.limiters or ([1, 4, 40] if args.what == "left" else [3, 12, 40, 200]):
        if args.what == "left":
            asked, written, late = asyncio.run(left(count, args.clients, args.seed))
            print(f"{count:4} limiters: {asked} requests left, {written} of them begun, {late} sent on late")
        else:
            cost, other, served, best = quota(count, args.seconds, args.seed)
            print(
                f"{count:4} limiters: beyond quotas {cost:.4f}, late policy {other:.4f}, "
                f"more {cost - other:+.4f}; served {served:.3f}, late policy {best:.3f}"
            )


if __name__ == "__main__":
    main()
