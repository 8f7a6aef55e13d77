"""Many clients read long answers slowly: the limiter has to stay within its memory."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

MEMORY_MB = 96  # a limiter has 32 to 192 MB
SOCKETS = 1024  # and 256 to 1,024 descriptors,
CLIENTS = 320  # of which clients hold a third at most for requests
ASKED_PER_S = 100  # a limiter gets up to 140 requests a second
ANSWER_BYTES = 32_000_000  # all of them together: 10 GB
SLOW_BYTES_PER_S = 64_000
READ_EVERY_S = 0.1
SERVERS = 4
LOOK_ON_S = 6.0  # after the last request
DEADLINE_S = 5.0
CLIENT_BUFFER_BYTES = 64 * 1024  # spares the machine's memory; the limiter's own sockets are as they are
BLOCK = b"0123456789abcdef" * 16384  # 256 KiB


async def case(record: rig.Record) -> list[str]:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
                for start in range(0, ANSWER_BYTES, len(BLOCK)):
                    writer.write(BLOCK[: ANSWER_BYTES - start])
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    seen: Counter[str] = Counter()
    in_hand = 0

    async def client(limiter: rig.Limiter, number: int) -> None:
        nonlocal in_hand
        loop, ident = asyncio.get_running_loop(), f"{number:016x}"
        sock = await rig.connect(limiter.address, CLIENT_BUFFER_BYTES)
        status, received, start = "", 0, time.monotonic()
        in_hand += 1
        try:
            head = rig.request_head("GET", "series-read", ident, DEADLINE_S, customer=0x1000 + number % 50)
            await loop.sock_sendall(sock, head)
            while received < ANSWER_BYTES:
                data = await loop.sock_recv(
                    sock, int(SLOW_BYTES_PER_S * READ_EVERY_S) if rig.TROUBLE else 1 << 20
                )
                if not data:
                    break
                if not status:
                    status = data.split(b"\r\n")[0].decode()
                    if "200" not in status:
                        received = ANSWER_BYTES
                received += len(data)
                if rig.TROUBLE:
                    await asyncio.sleep(max(0.0, start + received / SLOW_BYTES_PER_S - time.monotonic()))
        except ConnectionError as error:
            status = f"{status or 'no answer'}, then {error!r}"
        finally:
            in_hand -= 1
            sock.close()
        seen[status if received >= ANSWER_BYTES else f"{status or 'no answer'}, cut off"] += 1

    servers = [await asyncio.start_server(serve, "127.0.0.1", 0, backlog=512) for _ in range(SERVERS)]
    entries = [
        rig.host_entry(f"s{n}", each.sockets[0].getsockname()[:2]) for n, each in enumerate(servers, start=1)
    ]
    async with rig.world(FOLDER, entries, record) as (agent, limiter):
        await limiter.start(agent, rig.settings(), MEMORY_MB, SOCKETS)
        record.write(f"the limiter's own memory: {limiter.memory_mb():.1f} MB")
        clients: list[asyncio.Task[None]] = []
        peak_mb, killed, end = 0.0, "", time.monotonic() + CLIENTS / ASKED_PER_S + LOOK_ON_S
        start = time.monotonic()
        while time.monotonic() < end:
            while len(clients) < min(CLIENTS, int((time.monotonic() - start) * ASKED_PER_S)):
                clients.append(asyncio.create_task(client(limiter, len(clients) + 1)))
            assert limiter.process
            if limiter.process.returncode is not None:
                killed = f"the limiter ended with {limiter.process.returncode}"
                break
            now_mb = limiter.memory_mb()
            if now_mb > peak_mb + 5:
                peak_mb = now_mb
                record.write(f"the limiter's own memory: {now_mb:.1f} MB, {in_hand} requests in hand")
            if now_mb > MEMORY_MB:
                killed = f"the limiter has {now_mb:.1f} MB of {MEMORY_MB} MB, with {in_hand} requests in hand"
                record.write(f"{killed}: the platform kills it")
                with contextlib.suppress(ProcessLookupError):
                    os.kill(limiter.process.pid, signal.SIGKILL)
                break
            await asyncio.sleep(0.02)
        if killed:  # what was in hand
            await asyncio.wait(clients, timeout=5)
        for task in clients:
            task.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        for each in servers:
            each.close()
        record.write(f"answers: {dict(seen)}")
    return [f"{killed}; answers of the clients: {dict(seen)}"] if killed else []


rig.main(case, FOLDER)
