"""`make demo`: three stand-in servers, a limiter with examples/demo.toml, and clients of four kinds.

Three accounts and visitors without a key send requests. One account requests far more than its plan allows,
and one server is drained during the run, which takes about 15 s.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from basaltpoint.standins.server import ServerBehaviour, StandInServer  # noqa: E402

DURATION_S = 12.0
DRAIN_AT_S = 5.0  # since the start of the load
RESPONSE_TIMEOUT_S = 5.0


@dataclass
class Account:
    """An account of the demo, its request rate, and the outcomes of its requests."""

    name: str
    key: str
    rate_per_s: float  # requests per second
    request_count: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)


ACCOUNTS = (
    Account("north (partner)", "demo-key-north", 60.0),
    Account("south (team)", "demo-key-south", 25.0),
    Account("runaway (team)", "demo-key-runaway", 200.0),
    Account("no key (visitor)", "", 3.0),
)
REQUEST_TYPES = ("GET /series/{n}", "GET /series/{n}", "GET /series/{n}", "PUT", "POST /corrections/{n}")


class ConnectionPool:
    """Persistent connections of the demo's clients."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, raw: bytes) -> int:
        reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(self.host, self.port)
        writer.write(raw)
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head, re.I)
        await reader.readexactly(int(length[1]) if length else 0)
        if b"connection: close" in head.lower():
            writer.close()
        else:
            self.idle.append((reader, writer))
        return int(head.split(b" ", 2)[1])


def build_request(account: Account, number: int, rng: random.Random) -> bytes:
    """Builds a request; those with a body have an idempotency key, as corrections must not run twice."""
    request = rng.choice(REQUEST_TYPES).format(n=number)
    body = b""
    if request == "PUT":
        request, body = "POST /observations", b'{"t": 11.5}'
    elif request.startswith("POST"):
        body = b'{"was": 11.5, "is": 11.6}'
    lines = [f"{request} HTTP/1.1", "Host: demo"]
    if account.key:
        lines.append(f"X-Api-Key: {account.key}")
    if body:
        lines += [f"Content-Length: {len(body)}", f"Idempotency-Key: {account.name}-{number}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def send_request(account: Account, pool: ConnectionPool, raw: bytes) -> None:
    start = time.monotonic()
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            code = await pool.send(raw)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        account.outcomes["none"] += 1
        return
    outcome = "served" if code == 200 else "quota" if code == 429 else "shed" if code == 503 else "failed"
    account.outcomes[outcome] += 1
    if outcome == "served":
        account.latencies_s.append(time.monotonic() - start)


async def run_account(account: Account, pool: ConnectionPool, end_s: float, seed: int) -> None:
    """Sends requests with Poisson arrivals, without waiting for the previous response."""
    rng, tasks = random.Random(seed), set[asyncio.Task[None]]()
    due_s = time.monotonic()
    while (due_s := due_s + rng.expovariate(account.rate_per_s)) < end_s:
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        account.request_count += 1
        tasks.add(
            asyncio.create_task(
                send_request(account, pool, build_request(account, account.request_count, rng))
            )
        )
    await asyncio.gather(*tasks)


def format_table(servers: list[StandInServer], is_drained: bool) -> list[str]:
    """Returns the lines of the table of results so far."""
    lines = [f"{'account':18} {'asked':>6} {'served':>7} {'quota':>6} {'shed':>5} {'failed':>6}  median ms"]
    for account in ACCOUNTS:
        median_ms = (
            sorted(account.latencies_s)[len(account.latencies_s) // 2] * 1000 if account.latencies_s else 0.0
        )
        outcomes = account.outcomes
        failed = outcomes["failed"] + outcomes["none"]
        lines.append(
            f"{account.name:18} {account.request_count:6} {outcomes['served']:7} {outcomes['quota']:6} "
            f"{outcomes['shed']:5} {failed:6} {median_ms:10.0f}"
        )
    lines.append("")
    for number, server in enumerate(servers):
        state = "drained" if is_drained and number == 0 else ""
        corrections = sum("corrections" in request.path for request in server.requests)
        lines.append(
            f"{server.name:4} {len(server.requests):6} requests, {corrections:4} corrections  {state}"
        )
    return lines


async def show_progress(servers: list[StandInServer], start: float, drained: asyncio.Event) -> None:
    """Prints the table periodically; a terminal is redrawn in place."""
    is_terminal, drawn_lines = sys.stdout.isatty(), 0
    while True:
        await asyncio.sleep(0.5 if is_terminal else 3.0)
        lines = [f"{time.monotonic() - start:5.1f} s", *format_table(servers, drained.is_set())]
        if is_terminal and drawn_lines:
            print(f"\x1b[{drawn_lines}A\x1b[J", end="")
        print("\n".join(lines), flush=True)
        drawn_lines = len(lines)


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


async def wait_until_listening(address: str) -> None:
    host, port = address.split(":")
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        await asyncio.sleep(0.05)


async def run_demo(folder: Path) -> int:
    servers = []
    config = (ROOT / "examples/demo.toml").read_text()
    for number in (1, 2, 3):
        behaviour = ServerBehaviour(workers=8, draw_service_s=lambda rng: rng.expovariate(1 / 0.02))
        servers.append(StandInServer(behaviour, seed=number, name=f"s{number}"))
        await servers[-1].start()
        config = config.replace(f"127.0.0.1:900{number}", servers[-1].address)
    address, config_file = free_address(), folder / "demo.toml"
    config_file.write_text(config := config.replace("127.0.0.1:8080", address))
    limiter = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "basaltpoint",
        "serve",
        str(config_file),
        cwd=ROOT,
        stderr=(folder / "log").open("wb"),
    )
    drained, drained_at_s, start_s = asyncio.Event(), 0.0, time.monotonic()
    progress: asyncio.Task[None] | None = None
    try:
        await asyncio.wait_for(wait_until_listening(address), 30)
        start_s = time.monotonic()
        progress = asyncio.create_task(show_progress(servers, start_s, drained))
        host, port = address.split(":")
        pool = ConnectionPool(host, int(port))
        loads = [
            asyncio.create_task(run_account(account, pool, start_s + DURATION_S, seed))
            for seed, account in enumerate(ACCOUNTS)
        ]
        await asyncio.sleep(DRAIN_AT_S)
        config_file.write_text(config.replace('name = "s1"\n', 'name = "s1"\ndrain = true\n'))
        limiter.send_signal(signal.SIGHUP)
        drained.set()
        drained_at_s = time.monotonic()
        await asyncio.gather(*loads)
    finally:
        if progress:
            progress.cancel()
        with contextlib.suppress(ProcessLookupError):
            limiter.terminate()
        await limiter.wait()
        for server in servers:
            server.stop()
    return print_summary(servers, drained_at_s)


def print_summary(servers: list[StandInServer], drained_at_s: float) -> int:
    """Prints the results; returns 1 if requests were late, misrouted or unanswered."""
    print("\nAt the end:\n")
    print("\n".join(format_table(servers, True)))
    late = [r.came_s - drained_at_s for r in servers[0].requests if r.came_s > drained_at_s + 0.25]
    misrouted = sum("corrections" in request.path for server in servers[:2] for request in server.requests)
    unanswered = sum(account.outcomes["none"] for account in ACCOUNTS)
    duplicates = sum(
        count > 1
        for count in Counter(s.path + s.key for server in servers for s in server.requests if s.key).values()
    )
    print(f"\nrequests to the drained server later than 250 ms after the reload: {len(late)}")
    print(f"corrections outside their pool: {misrouted}; keyed requests seen twice: {duplicates}")
    print(f"requests without an answer: {unanswered}")
    return 1 if late or misrouted or unanswered else 0


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(run_demo(Path(folder)))
        if code:
            print((Path(folder) / "log").read_text()[-2000:])
        return code


if __name__ == "__main__":
    sys.exit(main())
