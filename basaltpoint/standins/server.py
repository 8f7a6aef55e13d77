"""Stand-in HTTP server: configurable service times, stalls, errors and cold starts; logs requests."""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import os
import random
from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from time import monotonic
from typing import BinaryIO, cast

import httptools

ID_HEADERS = ("x-load-id", "req-id")  # headers with the id of the client attempt


@dataclass(slots=True)
class ServerBehaviour:
    """Behaviour of a server. A change while it runs affects requests from the next one on."""

    workers: int = 4  # requests served concurrently; further ones wait in order
    # Draws the service time of a request, in seconds.
    draw_service_s: Callable[[random.Random], float] = lambda rng: 0.01
    body: bytes = b"ok\n"
    status_code: int = 200
    error_fraction: float = 0.0  # fraction of requests that end in status 500 after their execution
    reset_fraction: float = 0.0  # fraction of requests whose connection is reset after their execution
    healthy: bool = True  # result of GET /health
    key_window_s: float = 5.0  # a repeated key is dropped for this time
    once_prefix: str = "/corrections"  # requests with this path prefix must never be executed twice
    # (from, to) in seconds from its start; no request ends in between.
    stalls: tuple[tuple[float, float], ...] = ()
    warm_up_s: float = 0.0  # warm-up time, in which the speed rises linearly
    cold_speed_fraction: float = 0.2  # fraction of full speed at its start
    drain_after_s: float | None = None  # from then on it rejects new requests (503, Srv-Declined)


@dataclass(slots=True)
class ReceivedRequest:
    """One complete request. Times are monotonic seconds; `ended_s` is None while it is in progress."""

    ident: str
    server: str
    came_s: float
    method: str
    path: str
    key: str = ""  # its Idempotency-Key
    repeat: bool = False  # dropped: its key was received within the window
    once: bool = False
    ran: bool = False  # its execution was started
    ended_s: float | None = None
    code: int = 0  # 0: no response was sent
    via: str = ""  # name of the limiter that sent it


@dataclass(slots=True)
class _Job:
    connection: _Connection
    request: ReceivedRequest
    keep_alive: bool


class IdempotencyKeys:
    """Idempotency keys received, with their times; servers drop repeated requests by them."""

    def __init__(self) -> None:
        self._received_s: dict[str, float] = {}

    def is_repeat(self, key: str, now: float, window_s: float) -> bool:
        """Whether the key was received within the window; if not, records it as received now."""
        if now - self._received_s.get(key, -math.inf) < window_s:
            return True
        self._received_s[key] = now
        return False


class SharedIdempotencyKeys(IdempotencyKeys):
    """The same for several server processes: each key is a file in a shared folder."""

    def __init__(self, folder: Path) -> None:
        super().__init__()
        self._folder = folder

    def is_repeat(self, key: str, now: float, window_s: float) -> bool:
        path = self._folder / hashlib.sha256(key.encode()).hexdigest()
        try:
            os.close(os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY))
        except FileExistsError:
            if now - float(path.read_text() or now) < window_s:
                return True
        path.write_text(str(now))
        return False


class StandInServer:
    """One server.

    `requests` has every request except health checks, and `log` gets a line for each that ended.
    """

    def __init__(
        self,
        behaviour: ServerBehaviour | None = None,
        seed: int = 1,
        name: str = "standin",
        log: BinaryIO | None = None,
        max_requests: int = 1_000_000,
        keys: IdempotencyKeys | None = None,
    ) -> None:
        """`max_requests`: size limit of `requests`; older ones are dropped, but the log has them all.

        `keys`: shared by servers that drop repeated keys of each other.
        """
        self.behaviour = behaviour or ServerBehaviour()
        self.name = name
        self.rng = random.Random(seed)
        self.requests: deque[ReceivedRequest] = deque(maxlen=max_requests)
        self.busy = 0
        self.waiting: deque[_Job] = deque()
        self.keys = keys or IdempotencyKeys()
        self.address = ""
        self.started_s = 0.0
        self.connections: set[_Connection] = set()
        self._log = log
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts to listen; sets `address`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self.started_s = monotonic()

    def stop(self) -> None:
        """Closes the listener and every connection."""
        if self._server:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    # --- Time ---------------------------------------------------------------------------------
    def age_s(self) -> float:
        return monotonic() - self.started_s

    def service_time_s(self, request: ReceivedRequest) -> float:
        """Returns the service time of a request that starts now, including stalls."""
        behaviour, age_s = self.behaviour, self.age_s()
        duration_s = 0.0 if request.repeat else behaviour.draw_service_s(self.rng)
        if age_s < behaviour.warm_up_s:
            duration_s /= (
                behaviour.cold_speed_fraction
                + (1.0 - behaviour.cold_speed_fraction) * age_s / behaviour.warm_up_s
            )
        for start, end in behaviour.stalls:
            if age_s + duration_s >= start and age_s < end:
                duration_s += end - max(age_s, start)
        return duration_s

    # --- Requests -----------------------------------------------------------------------------
    def request_received(
        self, connection: _Connection, method: str, path: str, headers: dict[str, str], keep_alive: bool
    ) -> None:
        """Handles a complete request."""
        if path == "/health":
            connection.respond(200 if self.behaviour.healthy else 503, b"", keep_alive)
            return
        now, key = monotonic(), headers.get("idempotency-key", "")
        ident = next((headers[name] for name in ID_HEADERS if name in headers), "")
        request = ReceivedRequest(ident, self.name, now, method, path, key)
        request.via = headers.get("via", "").rpartition(" ")[2]
        request.once = path.startswith(self.behaviour.once_prefix)
        self.requests.append(request)
        if self.behaviour.drain_after_s is not None and self.age_s() >= self.behaviour.drain_after_s:
            self._respond(_Job(connection, request, keep_alive), 503, b"Srv-Declined: 1\r\n")
            return
        request.repeat = bool(key) and self.keys.is_repeat(key, now, self.behaviour.key_window_s)
        self.waiting.append(_Job(connection, request, keep_alive))
        self._start_jobs()

    def _start_jobs(self) -> None:
        while self.waiting and self.busy < self.behaviour.workers:
            job = self.waiting.popleft()
            if job.connection.closed:
                self._end_without_response(job)
                continue
            self.busy += 1
            job.request.ran = True
            asyncio.get_running_loop().call_later(self.service_time_s(job.request), self._job_finished, job)

    def _job_finished(self, job: _Job) -> None:
        self.busy -= 1
        if job.connection.closed:
            self._end_without_response(job)
        elif self.rng.random() < self.behaviour.reset_fraction:
            self._end_without_response(job)
            job.connection.abort()
        else:
            self._respond(
                job, 500 if self.rng.random() < self.behaviour.error_fraction else self.behaviour.status_code
            )
        self._start_jobs()

    def _respond(self, job: _Job, code: int, headers: bytes = b"") -> None:
        job.request.ended_s, job.request.code = monotonic(), code
        self._write_log(job.request)
        job.connection.respond(
            code, self.behaviour.body, job.keep_alive, job.request.method == "HEAD", headers
        )

    def _end_without_response(self, job: _Job) -> None:
        """Ends a request whose connection is closed; it ended when the connection closed."""
        job.request.ended_s = job.connection.closed_s or monotonic()
        self._write_log(job.request)

    def _write_log(self, request: ReceivedRequest) -> None:
        if self._log:
            self._log.write(json.dumps(asdict(request)).encode() + b"\n")


class _Connection(asyncio.Protocol):
    def __init__(self, server: StandInServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._headers: dict[str, str] = {}
        self.closed = False
        self.closed_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed, self.closed_s = True, monotonic()
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
        method, keep_alive = self._parser.get_method().decode(), self._parser.should_keep_alive()
        self._server.request_received(self, method, self._url.decode("latin-1"), self._headers, keep_alive)

    def respond(
        self, code: int, body: bytes, keep_alive: bool, head_only: bool = False, headers: bytes = b""
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        end = b"" if keep_alive else b"Connection: close\r\n"
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\nServer: %s\r\n" % (
            code,
            len(body),
            self._server.name.encode(),
        )
        self._transport.write(head + headers + end + b"\r\n" + (b"" if head_only else body))
        if not keep_alive:
            self._transport.close()
