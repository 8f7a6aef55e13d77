"""Stand-in servers of the platform's protocol, in the driver's process, with injectable faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from basaltpoint.rehearsal.soak.records import Arrival

WORK_RANGE_S = (0.005, 0.06)  # to execute a request
SHORT_REMAINING_S = 0.05  # with less time remaining a request may be dropped without a response
DROPPED_FRACTION = 0.5  # of those requests


WORK_RANGE_SLOW_S = (0.2, 0.8)  # the same in a slow server
RECEIVE_BUFFER_BYTES = 64 * 1024  # of connections, so that limiters notice servers that read slowly
READ_PIECE_BYTES = 16 * 1024  # of a body that is read slowly
LONG_BODY_RANGE_BYTES = (100_000, 300_000)  # of long responses
LONG_BODY_PIECE_BYTES = 16 * 1024
BYTES_PER_S = 64_000  # lowest rate at which servers read and write
LATE_BODY_RANGE = (0.2, 0.75)  # when a late body begins, as a fraction of the time that its client has


async def _read_chunks(reader: asyncio.StreamReader, pause_s_per_byte: float) -> None:
    while size := int(await reader.readuntil(b"\r\n"), 16):
        await _read_exactly(reader, size + 2, pause_s_per_byte)
    await reader.readuntil(b"\r\n")


async def _read_exactly(reader: asyncio.StreamReader, size: int, pause_s_per_byte: float) -> None:
    """Reads and discards a body, slowly if `pause_s_per_byte` is not 0."""
    while size and pause_s_per_byte:
        piece = await reader.readexactly(min(size, READ_PIECE_BYTES))
        size -= len(piece)
        await asyncio.sleep(len(piece) * pause_s_per_byte)
    await reader.readexactly(size)


@dataclass(slots=True)
class ServerFaults:
    """The faults that a server currently has; fractions are of its requests."""

    is_hanging: bool = False  # it does not respond
    reset_fraction: float = 0.0  # the connection breaks, before or after the work
    error_fraction: float = 0.0  # the response is a 500
    rejected_fraction: float = 0.0  # rejected before any work
    malformed_fraction: float = 0.0  # the response is malformed
    no_length_fraction: float = 0.0  # the response has no length; the end of the connection ends it
    is_slow: bool = False  # it works for long
    read_bytes_per_s: float = 0.0  # of bodies; 0: as fast as they come
    late_body_fraction: float = 0.0  # the response is long: its head comes at once, its body late and slowly
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
        listener = socket.create_server((host, int(port)))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._serve, sock=listener)
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
                rate = self.faults.read_bytes_per_s
                pause_s_per_byte = 1 / rate if rate else 0.0
                if headers.get("transfer-encoding") == "chunked":
                    await _read_chunks(reader, pause_s_per_byte)
                await _read_exactly(reader, int(headers.get("content-length", 0)), pause_s_per_byte)
                if lines[0].startswith("GET /metrics"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                arrival = Arrival(
                    self.name,
                    arrived_at,
                    headers.get("req-id", ""),
                    headers.get("idempotency-key", ""),
                    float(headers.get("req-deadline", 0.0)),
                    is_read_slowly=rate > 0,
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
        if rng.random() < faults.late_body_fraction:
            return await self._respond_late(reader, writer, arrival)
        work_end = monotonic() + rng.uniform(*(WORK_RANGE_SLOW_S if faults.is_slow else WORK_RANGE_S))
        while monotonic() < work_end or self.faults.is_hanging:
            await asyncio.sleep(0.005)
            if reader.at_eof() or writer.transport.is_closing():
                arrival.ended_at, arrival.is_abandoned = monotonic(), True
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

    async def _respond_late(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, arrival: Arrival
    ) -> bool:
        """Writes a long response: the head at once, the body late and slowly, but in the client's time."""
        rng, body = self.rng, b"x" * self.rng.randint(*LONG_BODY_RANGE_BYTES)
        framing = rng.choice((f"Content-Length: {len(body)}\r\n", "Transfer-Encoding: chunked\r\n", ""))
        arrival.is_long = True
        writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode())
        pause_s = rng.uniform(*LATE_BODY_RANGE) * arrival.announced_remaining_s
        for start in range(0, len(body), LONG_BODY_PIECE_BYTES):
            await asyncio.sleep(pause_s)
            if reader.at_eof() or writer.transport.is_closing():
                arrival.ended_at = monotonic()
                arrival.cut_off_at = arrival.ended_at if self._server else None  # not if it has crashed
                return False
            piece = body[start : start + LONG_BODY_PIECE_BYTES]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if "chunked" in framing else piece)
            pause_s = len(piece) / BYTES_PER_S * rng.random()
        if "chunked" in framing:
            writer.write(b"0\r\n\r\n")
        arrival.ended_at = monotonic()
        return bool(framing)
