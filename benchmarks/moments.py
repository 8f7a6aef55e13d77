"""Measures two guarantees: requests of disconnected clients, and the quotas of a fleet under moderate load.

    python benchmarks/moments.py left [--limiters 4] [--clients 200]
    python benchmarks/moments.py quota [--limiters 3 12 40 200] [--seconds 20] [--seed 1]

`left`: limiter processes over loopback, in front of one server that responds late or with an error. Clients
disconnect while they wait, by close, reset or half-close, with one request or seven on a connection. Prints
the number of abandoned requests, how many of them reached the server, and how many reached it more than 0.3 s
after their client disconnected. The guarantee fails at a quarter; the aim is none.

`quota`: the shipped decision module, one per limiter, in virtual time, with uneven traffic and a delayed
meter. Prints the cost of units sent beyond the quotas, priced by the plans, as a fraction of the worth
requested within the quotas; beside it that of a policy that sees the true quota bucket `METER_DELAY_MS` late.
The guarantee fails if the module's fraction is more than 0.1 above the policy's.
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

# Age of the state that the delayed policy sees, and delay from the end of a metered period to its report.
METER_DELAY_MS = 1000.0
METER_PERIOD_MS = 1000.0
RESPONSE_TIME_MS = 120.0  # of every server in `quota`
MAX_SEND_DELAY_S = 0.3  # since the client disconnected; a request that arrives later is counted
PLANS: list[dict[str, Any]] = [
    {"name": "small", "rate": 0.8, "mostAtOnce": 3.5, "price": 0.6, "overWorth": 0, "beyondCosts": 0.5},
    {"name": "middle", "rate": 1.7, "mostAtOnce": 7.0, "price": 0.8, "overWorth": 0, "beyondCosts": 0.8},
    {"name": "large", "rate": 5.0, "mostAtOnce": 9.0, "price": 1.3, "overWorth": 0, "beyondCosts": 1.0},
]
CUSTOMER_COUNT = 120
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
    "specifics": {"mostUnits": 6, "metering": METER_PERIOD_MS},
    "report": {"fields": [], "how": "silent"},
}


# --- Quotas of the fleet ---------------------------------------------------------------------------------
@dataclass(slots=True)
class QuotaBucket:
    """A customer's true token bucket with its history; levels are in units."""

    rate_per_s: float
    burst: float
    level: float = 0.0
    updated_at_ms: float = 0.0
    history: deque[tuple[float, float]] = field(default_factory=deque)  # time in ms, level

    def __post_init__(self) -> None:
        self.level = self.burst
        self.history.append((0.0, self.burst))

    def consume(self, now_ms: float) -> bool:
        """Takes one unit; returns whether it was within the quota."""
        self.level = min(self.burst, self.level + self.rate_per_s * (now_ms - self.updated_at_ms) / 1000.0)
        self.updated_at_ms = now_ms
        inside = self.level >= 1.0
        self.level -= inside
        self.history.append((now_ms, self.level))
        return inside

    def delayed_level(self, now_ms: float) -> float:
        """Returns the level `METER_DELAY_MS` ago."""
        state_at_ms = now_ms - METER_DELAY_MS
        while len(self.history) > 1 and self.history[1][0] <= state_at_ms:
            self.history.popleft()
        recorded_at_ms, level = self.history[0]
        return min(self.burst, level + self.rate_per_s * max(0.0, state_at_ms - recorded_at_ms) / 1000.0)


@dataclass(slots=True)
class Customer:
    """A customer: its plan, its demand, and the limiters it uses."""

    ident: int
    plan_number: int
    demand_per_s: float  # units per second
    limiters: list[int]
    limiter_weights: list[float]
    bucket: QuotaBucket
    delayed_policy_bucket: QuotaBucket
    sent_at_ms: deque[float] = field(default_factory=deque)


def make_customers(limiter_count: int, rng: random.Random) -> list[Customer]:
    """Makes customers: 70% use up to half of their quota, 20% use 95%, 10% request 2.3 to 4.3 times it."""
    customers = []
    for ident in range(CUSTOMER_COUNT):
        plan_number = ident % len(PLANS)
        plan = PLANS[plan_number]
        demand_ratio = rng.choices([rng.uniform(0.15, 0.5), 0.95, rng.uniform(2.3, 4.3)], [0.7, 0.2, 0.1])[0]
        customer_limiter_count = max(1, round(limiter_count * rng.uniform(0.5, 1.0)))
        first_limiter = rng.randrange(limiter_count)
        customer_limiters = [(first_limiter + step) % limiter_count for step in range(customer_limiter_count)]
        buckets = [QuotaBucket(plan["rate"], plan["mostAtOnce"]) for _ in range(2)]
        weights = [rng.expovariate(1.0) for _ in customer_limiters]
        customers.append(
            Customer(
                ident,
                plan_number,
                plan["rate"] * demand_ratio,
                customer_limiters,
                weights,
                buckets[0],
                buckets[1],
            )
        )
    return customers


def measure_quota(limiter_count: int, seconds: float, seed: int) -> tuple[float, float, float, float]:
    """Compares the module with the delayed policy.

    Returns the excess costs of both, then the served worth of both, as fractions of the worth within quotas.
    """
    rng = random.Random(seed)
    settings = parse_settings(json.dumps({**SETTINGS, "balancers": limiter_count}).encode())
    modules = [DecisionModule(settings, seed + number) for number in range(limiter_count)]
    servers = tuple(
        api.Server(n, 0, 0, api.ServerState.READY, 1.0, 0.0, n) for n in range(max(4, limiter_count // 2))
    )
    for module in modules:
        module.handle(0.0, api.ServerList(api.ListKind.FULL, servers))
    customers = make_customers(limiter_count, rng)
    events: list[tuple[float, int, Any]] = []
    for number, customer in enumerate(customers):
        heapq.heappush(events, (rng.expovariate(customer.demand_per_s) * 1000.0, number, customer))
    next_id = len(events)
    excess_cost = delayed_excess_cost = worth_inside = served_worth = delayed_served_worth = 0.0
    reference_buckets = [
        QuotaBucket(customer.bucket.rate_per_s, customer.bucket.burst) for customer in customers
    ]
    while events and events[0][0] < seconds * 1000.0:
        now_ms, _, event = heapq.heappop(events)
        if isinstance(event, tuple):
            limiter, outcome = event
            modules[limiter].handle(now_ms, outcome)
            continue
        customer, plan = event, PLANS[event.plan_number]
        next_id += 1
        heapq.heappush(events, (now_ms + rng.expovariate(customer.demand_per_s) * 1000.0, next_id, customer))
        # The worth within the quota if every request were sent.
        worth_inside += plan["price"] * reference_buckets[customer.ident].consume(now_ms)
        if customer.delayed_policy_bucket.delayed_level(now_ms) >= 1.0:
            if customer.delayed_policy_bucket.consume(now_ms):
                delayed_served_worth += plan["price"]
            else:
                delayed_excess_cost += plan["price"] * plan["beyondCosts"]
        limiter = rng.choices(customer.limiters, customer.limiter_weights)[0]
        arrival = api.Arrival(
            next_id, 0, customer.plan_number, customer.ident, 1.0, len(customer.limiters), now_ms + 4000.0, 0
        )
        sends = [act for act in modules[limiter].handle(now_ms, arrival) if isinstance(act, api.Send)]
        if not sends:
            continue
        if customer.bucket.consume(now_ms):
            served_worth += plan["price"]
        else:
            excess_cost += plan["price"] * plan["beyondCosts"]
        customer.sent_at_ms.append(now_ms)
        response_at_ms = now_ms + RESPONSE_TIME_MS
        period_end_ms = (response_at_ms - METER_DELAY_MS) // METER_PERIOD_MS * METER_PERIOD_MS
        while customer.sent_at_ms and customer.sent_at_ms[0] < period_end_ms - 2 * METER_PERIOD_MS:
            customer.sent_at_ms.popleft()
        used_units = sum(
            1 for at in customer.sent_at_ms if period_end_ms - METER_PERIOD_MS <= at < period_end_ms
        )
        usage_percent = round(used_units / (customer.bucket.rate_per_s * METER_PERIOD_MS / 1000.0) * 100.0)
        outcome = api.Outcome(
            next_id, 0, sends[0].server, api.Status.OK, RESPONSE_TIME_MS, True, usage_percent, 0.0, ()
        )
        next_id += 1
        heapq.heappush(events, (response_at_ms, next_id, (limiter, outcome)))
    return (
        excess_cost / worth_inside,
        delayed_excess_cost / worth_inside,
        served_worth / worth_inside,
        delayed_served_worth / worth_inside,
    )


# --- Disconnected clients --------------------------------------------------------------------------------
def build_request(ident: str) -> bytes:
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


class SlowServer:
    """A server that responds late, with 500 in 30% of cases, and records when each request arrived."""

    def __init__(self, mean_response_s: float, seed: int) -> None:
        self.mean_response_s = mean_response_s
        self.rng = random.Random(seed)
        self.arrivals: dict[str, list[float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                ident = next(row[8:] for row in head.split("\r\n") if row.lower().startswith("req-id: "))
                self.arrivals.setdefault(ident, []).append(time.monotonic())
                await asyncio.sleep(self.mean_response_s * self.rng.uniform(0.5, 1.5))
                status = "500 Fault" if self.rng.random() < 0.3 else "200 OK"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def measure_left(limiter_count: int, client_count: int, seed: int) -> tuple[int, int, int]:
    """Returns the numbers of abandoned requests, of those sent to a server, and of those sent too late."""
    rng, slow_server = random.Random(seed), SlowServer(0.6, seed)
    server = await asyncio.start_server(slow_server.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    processes, addresses = [], []
    with tempfile.TemporaryDirectory() as folder:
        for number in range(limiter_count):
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = probe.getsockname()
            host = {
                "host": "a", "dial": f"127.0.0.1:{port}", "site": "a", "block": 0,
                "health": "active", "share": 1.0, "born_ms": 0,
            }  # fmt: skip
            config = {
                "name": f"n{number}",
                "listen": f"{address[0]}:{address[1]}",
                "discovery": "127.0.0.1:1",
                "seed": f"{number:x}",
                "limits": {"memory_mb": 192, "sockets": 1024},
                "known": {"seq": 1, "whole": True, "hosts": [host]},
                "settings": {**SETTINGS, "balancers": limiter_count},
            }
            file = Path(folder, f"{number}.json")
            file.write_text(json.dumps(config))
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
                await wait_until_ready(address)
            tasks = [
                asyncio.create_task(
                    send_and_disconnect(rng.choice(addresses), f"c{n}", random.Random(seed * 7919 + n))
                )
                for n in range(client_count)
            ]
            disconnected = [pair for pairs in await asyncio.gather(*tasks) for pair in pairs]
            await asyncio.sleep(4.0)  # the longest deadline: nothing is sent after it
        finally:
            for process in processes:
                process.kill()
                await process.wait()
            server.close()
    sent = [ident for ident, _ in disconnected if ident in slow_server.arrivals]
    late = [
        ident
        for ident, left_at in disconnected
        if any(arrival > left_at + MAX_SEND_DELAY_S for arrival in slow_server.arrivals.get(ident, []))
    ]
    return len(disconnected), len(sent), len(late)


async def wait_until_ready(address: tuple[str, int]) -> None:
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


async def send_and_disconnect(
    address: tuple[str, int], name: str, rng: random.Random
) -> list[tuple[str, float]]:
    """Sends requests and disconnects while they wait; returns their ids and the time of disconnection."""
    await asyncio.sleep(rng.uniform(0.0, 3.0))
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, address)
    idents = [f"{name}-{n}" for n in range(rng.choice([1, 1, 4]))]
    await loop.sock_sendall(sock, b"".join(build_request(ident) for ident in idents))
    if len(idents) > 1:  # further requests that stay unread in the limiter's socket
        await asyncio.sleep(0.05)
        idents += [f"{name}-{n}" for n in range(4, 7)]
        await loop.sock_sendall(sock, b"".join(build_request(ident) for ident in idents[4:]))
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    method, left_at = rng.choice(["close", "reset", "half"]), time.monotonic()
    if method == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    if method == "half":
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(1.0)
    sock.close()
    return [(ident, left_at) for ident in idents]


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
            abandoned, sent, late = asyncio.run(measure_left(count, args.clients, args.seed))
            print(f"{count:4} limiters: {abandoned} requests left, {sent} of them begun, {late} sent on late")
        else:
            cost, policy_cost, served, policy_served = measure_quota(count, args.seconds, args.seed)
            print(
                f"{count:4} limiters: beyond quotas {cost:.4f}, late policy {policy_cost:.4f}, "
                f"more {cost - policy_cost:+.4f}; served {served:.3f}, late policy {policy_served:.3f}"
            )


if __name__ == "__main__":
    main()
