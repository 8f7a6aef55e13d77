"""A stand-in HTTP server: stated workers and service times, a queue, and a log of attempts."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import cast

import httptools


@dataclass(slots=True)
class Behaviour:
    """How it serves. Changed while it runs, it holds from the next request on."""

    workers: int = 4  # requests served at once; further ones wait in order
    service_s: Callable[[random.Random], float] = lambda rng: 0.01  # of each request's work
    body: bytes = b"ok\n"
    code: int = 200
    healthy: bool = True  # what /health says
    key_window_s: float = 5.0  # how long a repeat under a key is dropped


@dataclass(frozen=True, slots=True)
class Seen:
    """One request that came whole."""

    at: float  # seconds of the monotonic clock
    method: str
    path: str
    key: str  # its Idempotency-Key
    repeat: bool  # dropped: its key had come within the window


@dataclass(slots=True)
class _Job:
    connection: _Connection
    seen: Seen
    keep: bool


class StandIn:
    """One server; `seen` logs every request but health checks."""

    def __init__(self, behaviour: Behaviour | None = None, seed: int = 1, name: str = "standin") -> None:
        self.behaviour = behaviour or Behaviour()
        self.name = name
        self.rng = random.Random(seed)
        self.seen: list[Seen] = []
        self.busy = 0
        self.waiting: deque[_Job] = deque()
        self.keys: dict[str, float] = {}
        self.address = ""
        self._server: asyncio.Server | None = None
        self.connections: set[_Connection] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; `address` tells where."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def stop(self) -> None:
        """End the listener and every connection."""
        if self._server:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def came(
        self, connection: _Connection, method: str, path: str, headers: dict[str, str], keep: bool
    ) -> None:
        """A request has come whole."""
        if path == "/health":
            connection.answer(200 if self.behaviour.healthy else 503, b"", keep)
            return
        now, key = monotonic(), headers.get("idempotency-key", "")
        repeat = bool(key) and now - self.keys.get(key, -1e9) < self.behaviour.key_window_s
        if key and not repeat:
            self.keys[key] = now
        seen = Seen(now, method, path, key, repeat)
        self.seen.append(seen)
        self.waiting.append(_Job(connection, seen, keep))
        self._work()

    def _work(self) -> None:
        while self.waiting and self.busy < self.behaviour.workers:
            job = self.waiting.popleft()
            if job.connection.closed:
                continue
            self.busy += 1
            wait = 0.0 if job.seen.repeat else self.behaviour.service_s(self.rng)
            asyncio.get_running_loop().call_later(wait, self._done, job)

    def _done(self, job: _Job) -> None:
        self.busy -= 1
        job.connection.answer(self.behaviour.code, self.behaviour.body, job.keep, job.seen.method == "HEAD")
        self._work()


class _Connection(asyncio.Protocol):
    def __init__(self, server: StandIn) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._headers: dict[str, str] = {}
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._server.connections.discard(self)
        del self._parser

    def abort(self) -> None:
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self._url, self._headers = b"", {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_message_complete(self) -> None:
        method, keep = self._parser.get_method().decode(), self._parser.should_keep_alive()
        self._server.came(self, method, self._url.decode("latin-1"), self._headers, keep)

    def answer(self, code: int, body: bytes, keep: bool, head_only: bool = False) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        end = "" if keep else "Connection: close\r\n"
        head = f"HTTP/1.1 {code} X\r\nContent-Length: {len(body)}\r\nServer: {self._server.name}\r\n{end}\r\n"
        self._transport.write(head.encode() + (b"" if head_only else body))
        if not keep:
            self._transport.close()
