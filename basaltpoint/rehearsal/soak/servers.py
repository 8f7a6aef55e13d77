"""Servers of the platform's protocol in the driver's process, with faults, each request written down."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from basaltpoint.rehearsal.soak.records import Arrival

WORK_S = (0.005, 0.06)  # of a request
HASTY_S = 0.05  # with less time left a request may be dropped without a word
DROPPED = 0.5  # part of those


async def _read_chunks(reader: asyncio.StreamReader) -> None:
    while size := int(await reader.readuntil(b"\r\n"), 16):
        await reader.readexactly(size + 2)
    await reader.readuntil(b"\r\n")


@dataclass(slots=True)
class ServerFaults:
    """What is wrong with a server now."""

    is_hanging: bool = False
    reset_fraction: float = 0.0  # part of the requests whose connection breaks, the work done or not
    error_fraction: float = 0.0  # part that ends in 500
    rejected_fraction: float = 0.0  # part that is turned away unseen
    malformed_fraction: float = 0.0  # part whose answer can't be read
    no_length_fraction: float = 0.0  # part whose answer ends by closing
    idle_timeout_s: float = 15.0  # after which an idle connection is closed


class IdempotencyKeys:
    """Which keys have run, and when: repeats within the window are dropped, over all servers."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._ran: dict[str, float] = {}

    def claim(self, key: str) -> bool:
        """Whether a request of this key runs now; one that does is remembered."""
        now = monotonic()
        if key and now - self._ran.get(key, -1e9) < self._window_s:
            return False
        self._ran[key] = now
        return True


@dataclass(eq=False)
class PlatformServer:
    """One server; `note` is given each request as it arrives."""

    name: str
    rng: random.Random
    keys: IdempotencyKeys
    on_arrival: Callable[[Arrival], None]
    faults: ServerFaults = field(default_factory=ServerFaults)
    started_ms: float = 0.0
    address: str = ""

    def __post_init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = (self.address or "127.0.0.1:0").partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def crash(self) -> None:
        """Die: connections are reset, new ones refused."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._open):
            writer.transport.abort()

    async def restart(self) -> None:
        """Come back cold at the same address, unless another fault's end has brought it back."""
        if self._server is None:
            self.started_ms = time.time() * 1000
            await self.start()

    def list_entry(self, health: str = "active") -> dict[str, object]:
        return {
            "host": self.name,
            "dial": self.address,
            "site": "hall-a",
            "class": "m2",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": self.started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            while True:
                async with asyncio.timeout(self.faults.idle_timeout_s):
                    first = await reader.readexactly(1)
                at = monotonic()
                head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:] if line)}
                if fields.get("transfer-encoding") == "chunked":
                    await _read_chunks(reader)
                await reader.readexactly(int(fields.get("content-length", 0)))
                if lines[0].startswith("GET /metrics"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                arrival = Arrival(
                    self.name,
                    at,
                    fields.get("req-id", ""),
                    fields.get("idempotency-key", ""),
                    float(fields.get("req-deadline", 0.0)),
                )
                self.on_arrival(arrival)
                if not await self._answer(reader, writer, arrival):
                    break
        self._open.discard(writer)
        writer.transport.abort()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, arrival: Arrival
    ) -> bool:
        """Do the work and answer; False where the connection ends with it."""
        faults, rng = self.faults, self.rng
        body = arrival.request_id.encode()
        if rng.random() < faults.rejected_fraction:
            arrival.ended_at = monotonic()
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        broken, spoilt, bare = (
            rng.random() < p
            for p in (faults.reset_fraction, faults.malformed_fraction, faults.no_length_fraction)
        )
        if broken and rng.random() < 0.5:
            arrival.ended_at = monotonic()
            return False
        if arrival.announced_remaining_s < HASTY_S and rng.random() < DROPPED:
            arrival.ended_at = monotonic()
            return True  # without a word; the connection stays
        arrival.was_executed = self.keys.claim(arrival.key)
        end = monotonic() + rng.uniform(*WORK_S)
        while monotonic() < end or self.faults.is_hanging:
            await asyncio.sleep(0.005)
            if reader.at_eof() or writer.transport.is_closing():
                arrival.ended_at = monotonic()
                return False
        arrival.ended_at = monotonic()
        if broken:
            return False
        if spoilt:
            writer.write(b"HTTP/1.1 2x0 What\r\nContent-Length: many\r\n\r\n" + body)
        elif rng.random() < faults.error_fraction:
            writer.write(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
        elif bare:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            await writer.drain()
            arrival.is_without_length = True
            writer.write_eof()
            await reader.read()
            return False
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        return True
