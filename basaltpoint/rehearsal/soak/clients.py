"""Stand-in clients of the platform's protocol: send requests open-loop and record the responses."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import monotonic

from basaltpoint.rehearsal.soak.records import RequestRecord

EFFECTS_BY_CLASS = {"read": "safe", "upload": "keyed", "fix": "unsafe"}
CLASS_WEIGHTS = (0.6, 0.2, 0.2)
TIMEOUT_RANGE_S = (0.15, 1.8)  # that clients wait for a response
SHORT_TIMEOUT_RANGE_S = (0.005, 0.05)  # the same for requests with very little time
SHORT_TIMEOUT_FRACTION = 0.03  # of the requests
BODY_SIZES_BYTES = (0, 0, 1_000, 30_000, 100_000, 300_000)  # of a POST; limiters stream the large ones
CHUNKED_FRACTION = 0.3  # of the bodies
CHUNK_BYTES = 20_000
MAX_SLOW_PIECES = 12  # of a request that a client writes slowly
INCOMPLETE_TIMEOUT_S = 6.0  # that a client stays connected after a partial request
LATE_RESPONSE_WAIT_S = 4.0  # after its time-out, in which a client still records a late response


@dataclass(slots=True)
class ClientBehavior:
    """How clients currently behave; fractions of their requests."""

    disconnect_fraction: float = 0.02  # they close the connection early
    incomplete_fraction: float = 0.005  # they stop in the middle of the request
    slow_fraction: float = 0.02  # they write in small pieces


@dataclass(slots=True, eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass(eq=False)
class Clients:
    """All stand-in clients; `requests` collects the record of each request."""

    addresses: Sequence[tuple[str, str, int]]  # a limiter's name, host and port
    rng: random.Random
    requests: list[RequestRecord]
    behavior: ClientBehavior = field(default_factory=ClientBehavior)
    customer_count: int = 40

    def __post_init__(self) -> None:
        self._idle_connections: dict[str, list[_Connection]] = defaultdict(list)
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0

    async def generate_load(self, requests_per_s: float, duration_s: float) -> None:
        """Sends requests at random times without waiting for responses; returns when all have ended."""
        end = monotonic() + duration_s
        while monotonic() < end:
            task = asyncio.create_task(self._send_request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self.rng.expovariate(requests_per_s))
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=INCOMPLETE_TIMEOUT_S + LATE_RESPONSE_WAIT_S)

    def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        for connections in self._idle_connections.values():
            for connection in connections:
                connection.writer.transport.abort()

    # --- One request -----------------------------------------------------------------------------------
    def _encode_request(self, class_name: str, request_id: str, timeout_s: float) -> bytes:
        customer = self.rng.randrange(self.customer_count)
        header_lines = [
            f"{'GET' if class_name == 'read' else 'POST'} /{class_name}/{customer} HTTP/1.1",
            "Host: backend.local",
            f"Req-Id: {request_id}",
            f"Req-Kind: {class_name}",
            "X-Tier: basic",
            f"X-Api-Key: {customer:016x}",
            f"Req-Deadline: {timeout_s:.3f}",
            "X-Call-Terms: units=1,spread=1,first=0",
        ]
        if class_name == "upload":
            header_lines.append(f"Idempotency-Key: {request_id}")
        if class_name == "read":
            return "\r\n".join([*header_lines, "", ""]).encode()
        body = b"x" * self.rng.choice(BODY_SIZES_BYTES)
        if body and self.rng.random() < CHUNKED_FRACTION:
            header_lines.append("Transfer-Encoding: chunked")
            pieces = [body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES)]
            body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (*pieces, b""))
        else:
            header_lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*header_lines, "", ""]).encode() + body

    async def _connect(self, name: str, host: str, port: int) -> _Connection | None:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                return _Connection(*await asyncio.open_connection(host, port))
        return None

    async def _send_request(self) -> None:
        rng = self.rng
        self._request_count += 1
        request_id, class_name = (
            f"{self._request_count:016x}",
            rng.choices(list(EFFECTS_BY_CLASS), CLASS_WEIGHTS)[0],
        )
        name, host, port = rng.choice(self.addresses)
        timeout_s = rng.uniform(
            *(SHORT_TIMEOUT_RANGE_S if rng.random() < SHORT_TIMEOUT_FRACTION else TIMEOUT_RANGE_S)
        )
        message, behavior = self._encode_request(class_name, request_id, timeout_s), self.behavior
        disconnects, is_incomplete, is_slow = (
            rng.random() < p
            for p in (behavior.disconnect_fraction, behavior.incomplete_fraction, behavior.slow_fraction)
        )
        idle_connection = self._idle_connections[name].pop() if self._idle_connections[name] else None
        connection = idle_connection or await self._connect(name, host, port)
        request = RequestRecord(
            request_id, name, EFFECTS_BY_CLASS[class_name], monotonic(), timeout_s, idle_connection is None
        )
        self.requests.append(request)
        if connection is None:
            request.is_unsent = True
            return
        for may_resend in (True, False):
            is_sent = False
            try:
                if connection.writer.transport.is_closing():
                    raise ConnectionResetError("closed before any of the request was sent")
                if is_incomplete:
                    connection.writer.write(message[: len(message) // 2])
                    request.is_complete = False
                elif is_slow:
                    size = max(60, len(message) // MAX_SLOW_PIECES)
                    for start in range(0, len(message), size):
                        if connection.writer.transport.is_closing():
                            raise ConnectionResetError("closed before all of the request was sent")
                        connection.writer.write(message[start : start + size])
                        await asyncio.sleep(0.01)
                else:
                    connection.writer.write(message)
                    await connection.writer.drain()
                request.sent_at, is_sent = monotonic(), True
                await self._read_response(connection, request, timeout_s, disconnects)
                return
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                request.ended_at = monotonic()
                connection.writer.transport.abort()
                if not is_sent:  # a partly written request was not accepted
                    request.is_unsent = True
                    return
                has_no_response = not isinstance(error, TimeoutError) and not getattr(error, "partial", b"")
                if not (may_resend and has_no_response and not request.is_new_connection):
                    return
                # A limiter may close an idle connection between requests, so the client retries once.
                request.is_new_connection, request.ended_at = True, None
                new_connection = await self._connect(name, host, port)
                if new_connection is None:
                    request.is_unsent = True
                    return
                connection = new_connection

    async def _read_response(
        self, connection: _Connection, request: RequestRecord, timeout_s: float, disconnects: bool
    ) -> None:
        if disconnects:
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            request.disconnected_at = monotonic()
            connection.writer.close()
            return
        async with asyncio.timeout(
            INCOMPLETE_TIMEOUT_S if not request.is_complete else timeout_s + LATE_RESPONSE_WAIT_S
        ):
            head = (await connection.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status_code = int(head.split(" ")[1])
            if "transfer-encoding: chunked" in head:
                while size := int(await connection.reader.readuntil(b"\r\n"), 16):
                    await connection.reader.readexactly(size + 2)
                await connection.reader.readexactly(2)
            elif "content-length: " in head:
                length = int(head.partition("content-length: ")[2].split("\r\n")[0])
                await connection.reader.readexactly(length)
            else:
                await connection.reader.read()
        request.ended_at, request.status_code = monotonic(), status_code
        if "connection: close" in head or not request.is_complete:
            connection.writer.close()
        else:
            self._idle_connections[request.limiter].append(connection)
