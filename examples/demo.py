"""`make demo`: three stand-in servers, a limiter from examples/demo.toml, and three accounts that ask.

One account asks for far more than its plan allows; in the middle one server is drained. Some 15 s.
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

LENGTH_S = 12.0
DRAIN_S = 5.0  # after the start
PATIENCE_S = 5.0


@dataclass
class Account:
    """Who asks, how often, and what became of it."""

    name: str
    key: str
    rate: float  # requests a second
    asked: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)


ACCOUNTS = (
    Account("north (partner)", "demo-key-north", 60.0),
    Account("south (team)", "demo-key-south", 25.0),
    Account("runaway (team)", "demo-key-runaway", 200.0),
    Account("no key (visitor)", "", 3.0),
)
KINDS = ("GET /series/{n}", "GET /series/{n}", "GET /series/{n}", "PUT", "POST /corrections/{n}")


class Pool:
    """Kept connections of the demo's clients."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, raw: bytes) -> int:
        reader, writer = self.free.pop() if self.free else await asyncio.open_connection(self.host, self.port)
        writer.write(raw)
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head, re.I)
        await reader.readexactly(int(length[1]) if length else 0)
        if b"connection: close" in head.lower():
            writer.close()
        else:
            self.free.append((reader, writer))
        return int(head.split(b" ", 2)[1])


def message(account: Account, number: int, rng: random.Random) -> bytes:
    """One request; uploads bring a key, corrections must not run twice."""
    kind = rng.choice(KINDS).format(n=number)
    body = b""
    if kind == "PUT":
        kind, body = "POST /observations", b'{"t": 11.5}'
    elif kind.startswith("POST"):
        body = b'{"was": 11.5, "is": 11.6}'
    rows = [f"{kind} HTTP/1.1", "Host: demo"]
    if account.key:
        rows.append(f"X-Api-Key: {account.key}")
    if body:
        rows += [f"Content-Length: {len(body)}", f"Idempotency-Key: {account.name}-{number}"]
    return "\r\n".join([*rows, "", ""]).encode() + body


async def one(account: Account, pool: Pool, raw: bytes) -> None:
    start = time.monotonic()
    try:
        async with asyncio.timeout(PATIENCE_S):
            code = await pool.ask(raw)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        account.outcomes["none"] += 1
        return
    kind = "served" if code == 200 else "quota" if code == 429 else "shed" if code == 503 else "failed"
    account.outcomes[kind] += 1
    if kind == "served":
        account.latencies.append(time.monotonic() - start)


async def asks(account: Account, pool: Pool, end: float, seed: int) -> None:
    """Arrivals by chance; none waits for the answer before it."""
    rng, tasks = random.Random(seed), set[asyncio.Task[None]]()
    due = time.monotonic()
    while (due := due + rng.expovariate(account.rate)) < end:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        account.asked += 1
        tasks.add(asyncio.create_task(one(account, pool, message(account, account.asked, rng))))
    await asyncio.gather(*tasks)


def table(servers: list[StandInServer], drained: bool) -> list[str]:
    """What is known so far, for the screen."""
    lines = [f"{'account':18} {'asked':>6} {'served':>7} {'quota':>6} {'shed':>5} {'failed':>6}  median ms"]
    for a in ACCOUNTS:
        median = sorted(a.latencies)[len(a.latencies) // 2] * 1000 if a.latencies else 0.0
        o = a.outcomes
        failed = o["failed"] + o["none"]
        lines.append(
            f"{a.name:18} {a.asked:6} {o['served']:7} {o['quota']:6} {o['shed']:5} {failed:6} {median:10.0f}"
        )
    lines.append("")
    for number, server in enumerate(servers):
        state = "drained" if drained and number == 0 else ""
        corrections = sum("corrections" in seen.path for seen in server.requests)
        lines.append(
            f"{server.name:4} {len(server.requests):6} requests, {corrections:4} corrections  {state}"
        )
    return lines


async def show(servers: list[StandInServer], start: float, drained: asyncio.Event) -> None:
    """The live table; on a terminal it is drawn in place."""
    live, drawn = sys.stdout.isatty(), 0
    while True:
        await asyncio.sleep(0.5 if live else 3.0)
        lines = [f"{time.monotonic() - start:5.1f} s", *table(servers, drained.is_set())]
        if live and drawn:
            print(f"\x1b[{drawn}A\x1b[J", end="")
        print("\n".join(lines), flush=True)
        drawn = len(lines)


def free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


async def up(address: str) -> None:
    host, port = address.split(":")
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        await asyncio.sleep(0.05)


async def play(folder: Path) -> int:
    servers = []
    text = (ROOT / "examples/demo.toml").read_text()
    for number in (1, 2, 3):
        behaviour = ServerBehaviour(workers=8, draw_service_s=lambda rng: rng.expovariate(1 / 0.02))
        servers.append(StandInServer(behaviour, seed=number, name=f"s{number}"))
        await servers[-1].start()
        text = text.replace(f"127.0.0.1:900{number}", servers[-1].address)
    address, file = free_address(), folder / "demo.toml"
    file.write_text(text := text.replace("127.0.0.1:8080", address))
    limiter = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "basaltpoint", "serve", str(file), cwd=ROOT, stderr=(folder / "log").open("wb")
    )
    drained, drain_at, start = asyncio.Event(), 0.0, time.monotonic()
    screen: asyncio.Task[None] | None = None
    try:
        await asyncio.wait_for(up(address), 30)
        start = time.monotonic()
        screen = asyncio.create_task(show(servers, start, drained))
        host, port = address.split(":")
        pool = Pool(host, int(port))
        loads = [
            asyncio.create_task(asks(account, pool, start + LENGTH_S, seed))
            for seed, account in enumerate(ACCOUNTS)
        ]
        await asyncio.sleep(DRAIN_S)
        file.write_text(text.replace('name = "s1"\n', 'name = "s1"\ndrain = true\n'))
        limiter.send_signal(signal.SIGHUP)
        drained.set()
        drain_at = time.monotonic()
        await asyncio.gather(*loads)
    finally:
        if screen:
            screen.cancel()
        with contextlib.suppress(ProcessLookupError):
            limiter.terminate()
        await limiter.wait()
        for server in servers:
            server.stop()
    return summary(servers, drain_at)


def summary(servers: list[StandInServer], drain_at: float) -> int:
    """What happened, and whether it is what should have."""
    print("\nAt the end:\n")
    print("\n".join(table(servers, True)))
    late = [seen.came_s - drain_at for seen in servers[0].requests if seen.came_s > drain_at + 0.25]
    strays = sum("corrections" in seen.path for server in servers[:2] for seen in server.requests)
    unanswered = sum(account.outcomes["none"] for account in ACCOUNTS)
    twice = sum(
        count > 1
        for count in Counter(s.path + s.key for server in servers for s in server.requests if s.key).values()
    )
    print(f"\nrequests to the drained server later than 250 ms after the reload: {len(late)}")
    print(f"corrections outside their pool: {strays}; keyed requests seen twice: {twice}")
    print(f"requests without an answer: {unanswered}")
    return 1 if late or strays or unanswered else 0


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(play(Path(folder)))
        if code:
            print((Path(folder) / "log").read_text()[-2000:])
        return code


if __name__ == "__main__":
    sys.exit(main())
