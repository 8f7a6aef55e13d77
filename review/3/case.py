"""Clients read a long answer slowly but without a pause: each has to get all that the server gives."""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

CLIENTS = 4
ANSWER_BYTES = 6_000_000  # of up to 32 MB
SLOW_BYTES_PER_S = 64_000  # the rate that the page names
READ_EVERY_S = 0.1
DEADLINE_S = 5.0
BLOCK = hashlib.sha256(b"answer").digest() * 2048  # 64 KiB


def answer_of(ident: str) -> bytes:
    start = ident.encode() * 8
    return (start + BLOCK * (ANSWER_BYTES // len(BLOCK) + 1))[:ANSWER_BYTES]


async def case(record: rig.Record) -> list[str]:
    given: dict[str, int] = {}  # bytes that the server has handed to its connection, by Req-Id

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ident = ""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                ident = next(row[8:] for row in head.split("\r\n") if row.lower().startswith("req-id: "))
                record.write(f"server: {ident} has come, it runs")
                body = answer_of(ident)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                for start in range(0, len(body), 65536):
                    writer.write(body[start : start + 65536])
                    given[ident] = start
                    await writer.drain()
                given[ident] = len(body)
                record.write(f"server: all of the answer to {ident} is given")
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except ConnectionError as error:
            record.write(
                f"server: the limiter has ended the connection of {ident} after {given[ident]} bytes: "
                f"{error!r}"
            )
        finally:
            writer.transport.abort()

    async def client(limiter: rig.Limiter, number: int) -> str | None:
        """Reads one answer; returns how the rule was broken, if it was."""
        ident, loop = f"{number:016x}", asyncio.get_running_loop()
        sock = await rig.connect(limiter.address)
        try:
            await loop.sock_sendall(sock, rig.request_head("GET", "series-read", ident, DEADLINE_S))
            record.write(f"client {ident}: sent")
            received, longest_gap, last_read = bytearray(), 0.0, time.monotonic()
            start = last_read
            while (end := received.find(b"\r\n\r\n")) < 0 or len(received) < end + 4 + ANSWER_BYTES:
                try:
                    data = await loop.sock_recv(
                        sock, int(SLOW_BYTES_PER_S * READ_EVERY_S) if rig.TROUBLE else 1 << 20
                    )
                except ConnectionError as error:
                    record.write(f"client {ident}: {error!r}")
                    data = b""
                now = time.monotonic()
                if not received:
                    record.write(f"client {ident}: first bytes {now - start:.3f} s after the request")
                longest_gap, last_read = max(longest_gap, now - last_read), now
                if not data:
                    break
                received += data
                if rig.TROUBLE:
                    await asyncio.sleep(max(0.0, start + len(received) / SLOW_BYTES_PER_S - time.monotonic()))
        finally:
            sock.close()
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        status = head.split(b"\r\n")[0].decode()
        record.write(
            f"client {ident}: {status!r}, {len(body)} of {ANSWER_BYTES} bytes "
            f"in {time.monotonic() - start:.1f} s, longest time between two reads {longest_gap:.2f} s"
        )
        if not status.startswith("HTTP/1.1 200"):
            return None  # refused or failed: a final answer
        if body == answer_of(ident):
            return None
        if len(body) < ANSWER_BYTES:
            return (
                f"the answer to {ident} was cut off after {len(body)} of {ANSWER_BYTES} bytes: its client "
                f"read on all the time, and its server had written {given[ident]} bytes of it"
            )
        return f"the answer to {ident} is not the one that its server made"

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    entries = [rig.host_entry("s1", server.sockets[0].getsockname()[:2])]
    async with rig.world(FOLDER, entries, record) as (agent, limiter):
        await limiter.start(agent, rig.settings())
        found = await asyncio.gather(*(client(limiter, number) for number in range(1, CLIENTS + 1)))
        server.close()
        if limiter.process and limiter.process.returncode is not None:
            return [f"the limiter ended with {limiter.process.returncode}"]
    if not given:
        raise rig.CouldNotRunError("no request reached the server")
    return [text for text in found if text]


rig.main(case, FOLDER)
