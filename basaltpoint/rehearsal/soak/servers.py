"""Stand-in servers of the platform's protocol, in the driver's process, with injectable faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from basaltpoint.rehearsal.soak.records import Arrival

WORK_RANGE_S = (0.005, 0.06)  # to execute a request
SHORT_REMAINING_S = 0.05  # with less time remaining a request may be dropped without a response
DROPPED_FRACTION = 0.5  # of those requests


async def _read_chunks(reader: asyncio.StreamReader) -> None:
    while size := int(await reader.readuntil(b"\r\n"), 16):
        await reader.readexactly(size + 2)
    await reader.readuntil(b"\r\n")


@dataclass(slots=True)
class ServerFaults:
    """The faults that a server currently has; fractions are of its requests."""

    is_hanging: bool = False  # it does not respond
    reset_fraction: float = 0.0  # the connection breaks, before or after the work
    error_fraction: float = 0.0  # the response is a 500
    rejected_fraction: float = 0.0  # rejected before any work
    malformed_fraction: float = 0.0  # the response is malformed
    no_length_fraction: float = 0.0  # the response has no length; the end of the connection ends it
    idle_timeout_s: float = 15.0  # after which it closes an idle connection


class IdempotencyKeys:
    """The idempotency keys that all servers have executed; they drop repeated requests within the window."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._executed_at: dict[str, float] = {}

    def claim(self, key: str) -> bool:
        """Returns whether to execute a request with this key, and if so records the key."""
        now = monotonic()
        if key and now - self._executed_at.get(key, -1e9) < self._window_s:
            return False
        self._executed_at[key] = now
        return True


@dataclass(eq=False)
class PlatformServer:
    """One stand-in server; it passes each request to `on_arrival`."""

    name: str
    rng: random.Random
    keys: IdempotencyKeys
    on_arrival: Callable[[Arrival], None]
    faults: ServerFaults = field(default_factory=ServerFaults)
    started_ms: float = 0.0  # Unix time of its last cold start; 0 for a warm server
    address: str = ""

    def __post_init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, _, port = (self.address or "127.0.0.1:0").partition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def crash(self) -> None:
        """Resets all connections and refuses new ones."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._connections):
            writer.transport.abort()

    async def restart(self) -> None:
        """Starts the server cold at the same address, unless another fault's end has already started it."""
        if self._server is None:
            self.started_ms = time.time() * 1000
            await self.start()

    def list_entry(self, health: str = "active") -> dict[str, object]:
        """Returns the entry of this server for the server list."""
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
        self._connections.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            while True:
                async with asyncio.timeout(self.faults.idle_timeout_s):
                    first_byte = await reader.readexactly(1)
                arrived_at = monotonic()
                head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = {
                    name.lower(): value
                    for name, _, value in (line.partition(": ") for line in lines[1:] if line)
                }
                if headers.get("transfer-encoding") == "chunked":
                    await _read_chunks(reader)
                await reader.readexactly(int(headers.get("content-length", 0)))
                if lines[0].startswith("GET /metrics"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                arrival = Arrival(
                    self.name,
                    arrived_at,
                    headers.get("req-id", ""),
                    headers.get("idempotency-key", ""),
                    float(headers.get("req-deadline", 0.0)),
                )
                self.on_arrival(arrival)
                if not await self._respond(reader, writer, arrival):
                    break
        self._connections.discard(writer)
        writer.transport.abort()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, arrival: Arrival
    ) -> bool:
        """Executes the request and responds; returns False if the connection ends with it."""
        faults, rng = self.faults, self.rng
        body = arrival.request_id.encode()
        if rng.random() < faults.rejected_fraction:
            arrival.ended_at = monotonic()
            writer.write(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        is_reset, is_malformed, is_without_length = (
            rng.random() < p
            for p in (faults.reset_fraction, faults.malformed_fraction, faults.no_length_fraction)
        )
        if is_reset and rng.random() < 0.5:
            arrival.ended_at = monotonic()
            return False
        if arrival.announced_remaining_s < SHORT_REMAINING_S and rng.random() < DROPPED_FRACTION:
            arrival.ended_at = monotonic()
            return True  # no response; the connection stays open
        arrival.was_executed = self.keys.claim(arrival.key)
        work_end = monotonic() + rng.uniform(*WORK_RANGE_S)
        while monotonic() < work_end or self.faults.is_hanging:
            await asyncio.sleep(0.005)
            if reader.at_eof() or writer.transport.is_closing():
                arrival.ended_at = monotonic()
                return False
        arrival.ended_at = monotonic()
        if is_reset:
            return False
        if is_malformed:
            writer.write(b"HTTP/1.1 2x0 What\r\nContent-Length: many\r\n\r\n" + body)
        elif rng.random() < faults.error_fraction:
            writer.write(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
        elif is_without_length:
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            await writer.drain()
            arrival.is_without_length = True
            writer.write_eof()
            await reader.read()
            return False
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        return True
