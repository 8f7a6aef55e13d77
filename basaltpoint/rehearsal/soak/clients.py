"""Clients of the platform's protocol: open-loop requests to many limiters, each answer written down."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import monotonic

from basaltpoint.rehearsal.soak.records import RequestRecord

CLASSES = {"read": "safe", "upload": "keyed", "fix": "unsafe"}
MIX = (0.6, 0.2, 0.2)
WAITS_S = (0.15, 1.8)  # that clients wait for their answers
HASTY_S = (0.005, 0.05)  # and those with very little time left
HASTY = 0.03  # part of the requests
BODIES = (0, 0, 1_000, 30_000, 100_000, 300_000)  # bytes of a POST's body, drawn; the long ones are streamed
CHUNKED = 0.3  # part of the bodies that tell no length
CHUNK = 20_000  # bytes
SLOW_PIECES = 12  # in which a client writes slowly, at most
STAY_S = 6.0  # how long a client that stopped in the middle stays
PATIENCE_S = 4.0  # beyond its wait a client stays connected for so long, to see what comes


@dataclass(slots=True)
class ClientBehavior:
    """How clients behave now."""

    disconnect_fraction: float = 0.02  # part that closes its connection early
    incomplete_fraction: float = 0.005  # part that stops in the middle of its request
    slow_fraction: float = 0.02  # part that writes in pieces


@dataclass(slots=True, eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass(eq=False)
class Clients:
    """All clients; `asked` takes each request down."""

    addresses: Sequence[tuple[str, str, int]]  # a limiter's name, host and port
    rng: random.Random
    requests: list[RequestRecord]
    behavior: ClientBehavior = field(default_factory=ClientBehavior)
    customer_count: int = 40

    def __post_init__(self) -> None:
        self._idle: dict[str, list[_Connection]] = defaultdict(list)
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def generate_load(self, per_second: float, seconds: float) -> None:
        """Ask at random times, whatever is still out; returns when all is over."""
        end = monotonic() + seconds
        while monotonic() < end:
            task = asyncio.create_task(self._one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.expovariate(per_second))
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=STAY_S + PATIENCE_S)

    def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for connections in self._idle.values():
            for connection in connections:
                connection.writer.transport.abort()

    # --- One request -----------------------------------------------------------------------------------
    def _message(self, cls: str, ident: str, wait_s: float) -> bytes:
        customer = self.rng.randrange(self.customer_count)
        rows = [
            f"{'GET' if cls == 'read' else 'POST'} /{cls}/{customer} HTTP/1.1",
            "Host: backend.local",
            f"Req-Id: {ident}",
            f"Req-Kind: {cls}",
            "X-Tier: basic",
            f"X-Api-Key: {customer:016x}",
            f"Req-Deadline: {wait_s:.3f}",
            "X-Call-Terms: units=1,spread=1,first=0",
        ]
        if cls == "upload":
            rows.append(f"Idempotency-Key: {ident}")
        if cls == "read":
            return "\r\n".join([*rows, "", ""]).encode()
        body = b"x" * self.rng.choice(BODIES)
        if body and self.rng.random() < CHUNKED:
            rows.append("Transfer-Encoding: chunked")
            pieces = [body[at : at + CHUNK] for at in range(0, len(body), CHUNK)]
            body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (*pieces, b""))
        else:
            rows.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*rows, "", ""]).encode() + body

    async def _connect(self, name: str, host: str, port: int) -> _Connection | None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                return _Connection(*await asyncio.open_connection(host, port))
        return None

    async def _one(self) -> None:
        rng = self.rng
        self._count += 1
        ident, cls = f"{self._count:016x}", rng.choices(list(CLASSES), MIX)[0]
        name, host, port = rng.choice(self.addresses)
        wait_s = rng.uniform(*(HASTY_S if rng.random() < HASTY else WAITS_S))
        raw, habits = self._message(cls, ident, wait_s), self.behavior
        leaves, half, slow = (
            rng.random() < p
            for p in (habits.disconnect_fraction, habits.incomplete_fraction, habits.slow_fraction)
        )
        kept = self._idle[name].pop() if self._idle[name] else None
        connection = kept or await self._connect(name, host, port)
        asked = RequestRecord(ident, name, CLASSES[cls], monotonic(), wait_s, kept is None)
        self.requests.append(asked)
        if connection is None:
            asked.is_unsent = True
            return
        for again in (True, False):
            sent = False
            try:
                if connection.writer.transport.is_closing():
                    raise ConnectionResetError("closed before any of the request was sent")
                if half:
                    connection.writer.write(raw[: len(raw) // 2])
                    asked.is_complete = False
                elif slow:
                    size = max(60, len(raw) // SLOW_PIECES)
                    for start in range(0, len(raw), size):
                        if connection.writer.transport.is_closing():
                            raise ConnectionResetError("closed before all of the request was sent")
                        connection.writer.write(raw[start : start + size])
                        await asyncio.sleep(0.01)
                else:
                    connection.writer.write(raw)
                    await connection.writer.drain()
                asked.sent_at, sent = monotonic(), True
                await self._answer(connection, asked, wait_s, leaves)
                return
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                asked.ended_at = monotonic()
                connection.writer.transport.abort()
                if not sent:  # not all of it: nothing was taken
                    asked.is_unsent = True
                    return
                unread = not isinstance(error, TimeoutError) and not getattr(error, "partial", b"")
                if not (again and unread and not asked.is_new_connection):
                    return
                # A kept connection may be closed between requests; the request is sent once more.
                asked.is_new_connection, asked.ended_at = True, None
                fresh = await self._connect(name, host, port)
                if fresh is None:
                    asked.is_unsent = True
                    return
                connection = fresh

    async def _answer(
        self, connection: _Connection, asked: RequestRecord, wait_s: float, leaves: bool
    ) -> None:
        if leaves:
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            asked.disconnected_at = monotonic()
            connection.writer.close()
            return
        async with asyncio.timeout(STAY_S if not asked.is_complete else wait_s + PATIENCE_S):
            head = (await connection.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            code = int(head.split(" ")[1])
            if "transfer-encoding: chunked" in head:
                while size := int(await connection.reader.readuntil(b"\r\n"), 16):
                    await connection.reader.readexactly(size + 2)
                await connection.reader.readexactly(2)
            elif "content-length: " in head:
                length = int(head.partition("content-length: ")[2].split("\r\n")[0])
                await connection.reader.readexactly(length)
            else:
                await connection.reader.read()
        asked.ended_at, asked.status_code = monotonic(), code
        if "connection: close" in head or not asked.is_complete:
            connection.writer.close()
        else:
            self._idle[asked.limiter].append(connection)
