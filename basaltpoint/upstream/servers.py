"""The servers' side: kept connections, attempts and how they ended. Nothing is ever sent again here."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import cast

import httptools

from basaltpoint.config.address import Address
from basaltpoint.interface import Status

log = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
REUSE_S = 0.05  # a connection that was free for longer may be ending unseen; a new one costs little
USAGE = re.compile(rb"[0-9]{1,5}(\.[0-9]{1,6})?")
SHORT_S = 0.25  # for the rest of an answer that has begun to come; one that stops short is spoilt
TIMER_S = 0.001  # the loop counts whole milliseconds; an attempt must not end before its time


@dataclass(frozen=True, slots=True)
class Answer:
    """How an attempt ended, and what came with it."""

    status: Status
    body: bytes = b""
    content_type: bytes = b""
    usage: int | None = None
    load: bytes = b""


@dataclass(slots=True)
class Server:
    """Where a server listens, and the connections to it that are free, the latest used last."""

    dial: Address
    ready: bool = True
    idle: list[_Connection] = field(default_factory=list)


class Attempt:
    """One message to one server; `on_end` hears of its end, once."""

    __slots__ = ("_on_end", "_timer", "connection", "ended", "message", "until")

    def __init__(self, message: bytes, until: float, on_end: Callable[[Answer], None]) -> None:
        self.message = message
        self.until = until
        self.connection: _Connection | None = None
        self.ended = False
        self._on_end = on_end
        self._timer = asyncio.get_running_loop().call_at(until + TIMER_S, self._time_out)

    def end(self, reply: Answer) -> None:
        if not self.ended:
            self.ended = True
            self._timer.cancel()
            self.connection = None
            self._on_end(reply)

    def cancel(self) -> None:
        self._give_up(Status.CANCELLED)

    def _time_out(self) -> None:
        # Without its last byte written no server has begun it.
        written = self.connection is not None and self.connection.written
        self._give_up(Status.TIMEOUT if written else Status.CONNECT_FAILED)

    def _give_up(self, status: Status) -> None:
        if self.connection:
            self.connection.drop()
        self.end(Answer(status))


def _usage(raw: bytes) -> int | None:
    """The metered use in percent; what is no such number, or one beyond the meter's range, says nothing."""
    return round(float(raw)) if USAGE.fullmatch(raw) else None


class _Connection(asyncio.Protocol):
    """One connection: at most one attempt at a time, and the answer that it is getting."""

    def __init__(self, servers: Servers, server: Server, sock: socket.socket) -> None:
        self._servers = servers
        self._server = server
        self._sock = sock
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._attempt: Attempt | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._code = 0
        self._headed = self._complete = self._keep = False
        self._within = False  # an answer has come in part
        self._rest: asyncio.TimerHandle | None = None  # runs meanwhile
        self.written = False
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own is no subclass of it
        self._transport.set_write_buffer_limits(high=0)  # so that resume_writing tells of the last byte

    def start(self, attempt: Attempt) -> None:
        assert self._transport
        self._attempt, attempt.connection = attempt, self
        self._headers, self._body, self._size = {}, [], 0
        self._headed = self._complete = self._keep = False
        self._transport.write(attempt.message)
        # A write that fails closes the transport at once; one that is cut short leaves a rest in it.
        self.written = not self._transport.is_closing() and not self._transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        self.written = True

    def fresh(self) -> bool:
        """Whether the server has not closed, as far as this machine was told by now."""
        assert self._transport
        if self._transport.is_closing():
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # the end of the connection, or an answer to nothing

    def data_received(self, data: bytes) -> None:
        if self._attempt is None:
            self.drop()
            return
        self._size += 0 if self._headed else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Behind a whole answer it is no fault of that answer; the connection is of no further use.
            self._keep = False
            if not self._complete:
                self._spoil(repr(error))
                return
        if self._complete:
            self._finish()
        elif self._attempt and not self._headed and self._size > HEAD_LIMIT:
            self._spoil("a head that does not end")
        elif not self._within:
            self._settle()  # an interim answer says nothing of when the final one begins
        elif self._attempt and self._rest is None:
            self._rest = asyncio.get_running_loop().call_later(SHORT_S, self._spoil, "stopped short")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._complete:
            self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        if self._complete:
            return
        self._headed = self._parser.get_status_code() >= 200
        if self._headed:
            self._size = 0
            self._check_length()

    def _check_length(self) -> None:
        """Without a length that is told and can be kept an answer cut short would look like a whole one."""
        length = self._headers.get(b"content-length", b"")
        if self._headers.get(b"transfer-encoding", b"").lower() != b"chunked" and not length:
            self._spoil("neither a length nor chunks")
        elif length.isdigit() and int(length[:9]) > BODY_LIMIT:
            self._spoil("answer too large")

    def on_body(self, body: bytes) -> None:
        if self._complete or self._attempt is None:
            return
        self._size += len(body)
        self._body.append(body)
        if self._size > BODY_LIMIT:
            self._spoil("answer too large")

    def on_message_complete(self) -> None:
        self._within = False
        if self._headed and not self._complete and self._attempt:
            self._complete, self._code = True, self._parser.get_status_code()
            self._keep = self._parser.should_keep_alive()
        elif not self._headed:
            self._headers = {}  # of an interim answer

    def on_message_begin(self) -> None:
        self._within = True
        if self._complete:  # bytes behind the answer: what follows is not to be trusted
            self._keep = False

    def connection_lost(self, exc: Exception | None) -> None:
        self._servers.closed(self._server, self)
        del self._parser  # it holds this object, too: together they would wait for the collector
        self._break()

    def drop(self) -> None:
        """Close so that the server hears of it before anything that is written from now on."""
        self._attempt = None
        self._settle()
        if self._transport and not self._transport.is_closing():
            with contextlib.suppress(OSError):  # the other side was faster
                self._sock.shutdown(socket.SHUT_RDWR)
            self._transport.abort()

    def _break(self) -> None:
        self._fail(Status.RESET)

    def _spoil(self, what: str) -> None:
        """An answer that can't be read: the server lives and may have run the request; none can be served."""
        log.warning("server %s: %s", self._server.dial, what)
        self._fail(Status.ERROR)

    def _fail(self, status: Status) -> None:
        attempt, written = self._attempt, self.written
        self._body = []
        self.drop()
        if attempt:
            attempt.end(Answer(status if written else Status.CONNECT_FAILED))

    def _settle(self) -> None:
        if self._rest:
            self._rest.cancel()
            self._rest = None

    def _finish(self) -> None:
        self._settle()
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if self._code == 200:
            status = Status.OK
        elif self._code in (503, 504) and self._headers.get(b"srv-declined") == b"1":
            status = Status.FULL
        else:
            status = Status.ERROR
        reply = Answer(
            status,
            b"".join(self._body),
            self._headers.get(b"content-type", b""),
            _usage(self._headers.get(b"x-ratelimit-used", b"")),
            self._headers.get(b"srv-load", b""),
        )
        self._body = []
        if self._keep and self.written:
            self._servers.keep(self._server, self)
        else:
            self.drop()
        attempt.end(reply)


class Servers:
    """The servers by number, the connections to them and the bound on their number."""

    def __init__(self, most: int, connect_s: float, idle_s: float) -> None:
        self._most = most
        self._connect_s = connect_s
        self._idle_s = min(idle_s / 2, REUSE_S)
        self._servers: dict[int, Server] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._open = 0

    def place(self, number: int, dial: Address, ready: bool) -> None:
        """What discovery says of a server; one that moved or leaves keeps no free connection."""
        server = self._servers.setdefault(number, Server(dial))
        if not ready or server.dial != dial:
            self._drop_idle(server)
        server.ready = ready
        if ready:
            server.dial = dial

    def remove(self, number: int) -> None:
        """Forget a server that is gone; what is still out there ends over its own connection."""
        if server := self._servers.pop(number, None):
            server.ready = False
            self._drop_idle(server)

    def any_ready(self) -> bool:
        return any(server.ready for server in self._servers.values())

    def send(self, number: int, message: bytes, until: float, on_end: Callable[[Answer], None]) -> Attempt:
        """Begin an attempt over the latest used free connection, or over a new one."""
        attempt = Attempt(message, until, on_end)
        server = self._servers[number]
        while server.idle:
            connection = server.idle.pop()
            if connection.idle_since >= monotonic() - self._idle_s and connection.fresh():
                connection.start(attempt)
                return attempt
            connection.drop()
        task = asyncio.get_running_loop().create_task(self._connect(server, attempt))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return attempt

    async def _connect(self, server: Server, attempt: Attempt) -> None:
        """Open a connection for an attempt; if that is over by then, it is kept for the next."""
        if self._open >= self._most and not self._drop_oldest():
            log.warning("no connection to %s: %d are open", server.dial, self._open)
            attempt.end(Answer(Status.CONNECT_FAILED))
            return
        self._open += 1
        dial, sock = server.dial, None
        try:
            async with asyncio.timeout(self._connect_s):
                loop = asyncio.get_running_loop()
                sock = socket.socket(socket.AF_INET6 if ":" in dial[0] else socket.AF_INET)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await loop.sock_connect(sock, dial)
                connection = _Connection(self, server, sock)
                await loop.create_connection(lambda: connection, sock=sock)
        except (OSError, TimeoutError):
            self._open -= 1
            if sock:
                sock.close()
            attempt.end(Answer(Status.CONNECT_FAILED))
            return
        if not server.ready or server.dial != dial:
            # It drained or moved while this connection came up: nothing new may go there.
            connection.drop()
            attempt.end(Answer(Status.CONNECT_FAILED))
        elif attempt.ended:
            self.keep(server, connection)
        else:
            connection.start(attempt)

    def keep(self, server: Server, connection: _Connection) -> None:
        if not server.ready:
            connection.drop()
            return
        connection.idle_since = monotonic()
        server.idle.append(connection)

    def closed(self, server: Server, connection: _Connection) -> None:
        self._open -= 1
        if connection in server.idle:
            server.idle.remove(connection)

    def close_idle(self, number: int) -> None:
        if server := self._servers.get(number):
            self._drop_idle(server)

    def _drop_idle(self, server: Server) -> None:
        for connection in server.idle:
            connection.drop()
        server.idle.clear()

    def _drop_oldest(self) -> bool:
        """Make room at the bound: the free connection that was unused for longest goes."""
        holders = [server for server in self._servers.values() if server.idle]
        if not holders:
            return False
        min(holders, key=lambda server: server.idle[0].idle_since).idle.pop(0).drop()
        return True

    def sweep(self) -> None:
        """Drop what has stood idle, before the server does while a request is on its way."""
        limit = monotonic() - self._idle_s
        for server in self._servers.values():
            while server.idle and server.idle[0].idle_since < limit:
                server.idle.pop(0).drop()

    def close(self) -> None:
        for task in list(self._connecting):
            task.cancel()
        for server in self._servers.values():
            self._drop_idle(server)
