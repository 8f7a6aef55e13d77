"""HTTP/1.1 client connections of a worker: persistent, with one request at a time on each."""

from __future__ import annotations

import asyncio
import errno
import hashlib
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from basaltpoint.load.arrivals import PlannedRequest
from basaltpoint.load.driver import Attempt
from basaltpoint.load.scenario import ClassTable, RequestForm, Scenario


class RequestFormatter:
    """Formats attempts as HTTP requests, in the form of the scenario."""

    def __init__(self, scenario: Scenario, run: str) -> None:
        self._scenario = scenario
        self._classes = {cls.name: cls for cls in scenario.class_}
        self._spread = {plan.name: plan.spread for plan in scenario.plan}
        self._run = run  # part of all ids, so that two runs against the same server differ

    def attempt_id(self, attempt: Attempt) -> str:
        """Returns the id of an attempt in requests and in the ledger."""
        return f"{self._run}-{attempt.planned.number}-{attempt.number}"

    def format_request(self, attempt: Attempt, now_s: float) -> bytes:
        planned, cls = attempt.planned, self._classes[attempt.planned.class_name]
        lines = [f"{planned.method} {planned.path} HTTP/1.1"]
        if self._scenario.form is RequestForm.PLATFORM:
            lines += self._platform_headers(attempt, cls, now_s)
        else:
            lines += ["Host: load", f"{self._scenario.key_header}: {planned.account}"]
            lines.append(f"{self._scenario.id_header}: {self.attempt_id(attempt)}")
        if cls.key_header:
            lines.append(f"{cls.key_header}: {self._run}-{planned.number}")
        if planned.body_bytes or planned.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {planned.body_bytes}")
        return "\r\n".join([*lines, "", ""]).encode() + b"x" * planned.body_bytes

    def _platform_headers(self, attempt: Attempt, cls: ClassTable, now_s: float) -> list[str]:
        planned = attempt.planned
        spread = self._spread.get(planned.plan, 1)
        return [
            "Host: backend.local",
            f"Req-Id: {self.attempt_id(attempt)}",
            f"Req-Kind: {planned.class_name}",
            f"X-Tier: {planned.plan}",
            f"X-Api-Key: {customer_number(planned):016x}",
            f"Req-Deadline: {max(0.001, attempt.give_up_s - now_s):.3f}",
            f"X-Call-Terms: units={cls.units},spread={spread},first=0",
        ]


def customer_number(planned: PlannedRequest) -> int:
    """Returns a number below 2**33 for an account name, as the platform form requires."""
    return int.from_bytes(hashlib.blake2b(planned.account.encode(), digest_size=8).digest()) % (1 << 33)


class Connection(asyncio.Protocol):
    """A connection of the pool, which sends one request at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._retry_after: float | None = None  # seconds
        self._head_only = False
        self._response_begun = False  # part of the response has been received
        self.ident: int | None = None  # of the attempt that waits for its response; None if idle
        self.label = ""  # ledger id of the last attempt
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, ident: int, label: str, raw: bytes, head_only: bool) -> None:
        assert self._transport
        self.label = label
        self.ident, self._retry_after, self._head_only = ident, None, head_only
        self._response_begun = False
        self._transport.write(raw)

    def abort(self) -> None:
        self.closed = True
        self.ident = None
        if self._transport:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._response_begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            try:
                self._retry_after = max(0.0, float(value))
            except ValueError:
                self._retry_after = None

    def on_headers_complete(self) -> None:
        if self._head_only and self._parser.get_status_code() >= 200:
            # The parser would wait for a body that HEAD responses lack.
            self._response_complete(keep_alive=False)

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() >= 200 and not self._head_only:
            self._response_complete(self._parser.should_keep_alive())

    def _response_complete(self, keep_alive: bool) -> None:
        ident, self.ident = self.ident, None
        code, retry_after_s = self._parser.get_status_code(), self._retry_after
        if ident is None:
            self._pool.on_extra_response(self.label)
            self.abort()
            return
        if keep_alive:
            self._pool.free.append(self)
        else:
            self.abort()
        self._pool.on_response(ident, code, retry_after_s)

    def _fail(self) -> None:
        ident, self.ident = self.ident, None
        self.abort()
        if ident is not None:
            self._pool.on_lost(ident, self._response_begun)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._pool.connection_closed(self)
        self._fail()
        del self._parser


class ConnectionPool:
    """A bounded pool of connections to the targets; new connections go to the targets in turn."""

    def __init__(
        self,
        targets: list[tuple[str, int]],
        max_connections: int,
        on_response: Callable[[int, int, float | None], None],
        on_lost: Callable[[int, bool], None],
        on_extra_response: Callable[[str], None],
    ) -> None:
        self._targets = targets
        self._next_target = 0
        self._max_connections = max_connections
        self.on_response, self.on_lost, self.on_extra_response = on_response, on_lost, on_extra_response
        self.free: deque[Connection] = deque()
        self.open_count = 0
        self._connections: set[Connection] = set()

    def take_free(self) -> Connection | None:
        """Takes an idle connection from the pool; returns None if there is none."""
        while self.free:
            connection = self.free.pop()
            if not connection.closed:
                return connection
        return None

    @property
    def is_full(self) -> bool:
        return self.open_count >= self._max_connections

    async def connect(self) -> Connection:
        """Opens a connection to the next target; raises OSError on failure."""
        self._next_target += 1
        self.open_count += 1
        connection = Connection(self)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: connection, *self._targets[self._next_target % len(self._targets)]
            )
        except BaseException:
            self.open_count -= 1
            raise
        if connection.closed:  # closed before this task resumed
            self.open_count -= 1
            raise ConnectionResetError(
                errno.ECONNRESET, "the connection was closed right after it was opened"
            )
        self._connections.add(connection)
        return connection

    def connection_closed(self, connection: Connection) -> None:
        if connection in self._connections:
            self._connections.discard(connection)
            self.open_count -= 1

    def close(self) -> None:
        for connection in list(self._connections):
            connection.abort()
