"""Persistent connections to servers, and attempts on them. This layer never retries a request."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import NamedTuple, TypeVar, cast

from basaltpoint.config.address import Address
from basaltpoint.interface import Status
from basaltpoint.policy.send_rules import MAX_STALL_S, Denial, write_denial
from basaltpoint.system.connecting import connect
from basaltpoint.system.errors import LOCAL_ORIGINS, ErrorOrigin, connect_error_origin
from basaltpoint.system.read_buffer import ReadBufferProtocol
from basaltpoint.system.turn_queue import TurnQueue
from basaltpoint.telemetry import trace
from basaltpoint.upstream.send_guard import SendGuard

log = logging.getLogger(__name__)

TIMER_RESOLUTION_S = 0.001  # added to timers: the loop rounds to milliseconds, and none may fire early
LOCAL_ERROR_BACKOFF_S = 0.01, 0.1  # first and longest delay after a local error; it doubles each time
# The status of an attempt that must not be written. MOOT: not the server's fault, so that its health record
# does not change.
DENIAL_STATUS = {
    Denial.SERVER: Status.CONNECT_FAILED,
    Denial.DEADLINE: Status.MOOT,
    Denial.WINDOW: Status.CONNECT_FAILED,
    Denial.MEMBERSHIP: Status.MOOT,
    Denial.CLIENT: Status.MOOT,
}


class AttemptResult(NamedTuple):
    """How an attempt ended, and the response that was received, if any."""

    status: Status
    body: bytes = b""
    content_type: bytes = b""
    usage: int | None = None
    load: bytes = b""
    units: float = 0.0  # the request's true cost as reported by the server; 0: not reported


@dataclass(slots=True)
class UpstreamServer:
    """A server's address, and the idle connections to it, the most recently used last."""

    address: Address
    started: float = 0.0  # of its process, as listed: another process may have taken over the address
    is_ready: bool = False
    max_connections: int = 0  # 0: no limit for this server
    open_connections: int = 0
    idle_connections: list[Connection] = field(default_factory=list)


class Attempt:
    """One message to one server; `on_end` is called exactly once, with the result."""

    __slots__ = (
        "_on_end",
        "_timer",
        "connection",
        "end_by",
        "has_ended",
        "message",
        "on_written",
        "unwritten_status",
        "write_by",
    )

    def __init__(
        self,
        message: bytes,
        end_by: float,
        on_end: Callable[[AttemptResult], None],
        on_written: Callable[[], None] | None = None,
        write_by: float = math.inf,
    ) -> None:
        """`end_by` and `write_by` are times of the event loop.

        `on_written` is called when the message's last byte has been handed to the kernel. `write_by`: when
        that must have happened; a server that gets a repeated request later may have forgotten the first.
        """
        self.message = message
        self.end_by = end_by
        self.write_by = write_by
        self.unwritten_status = Status.CONNECT_FAILED  # status if it ends before it is written
        self.connection: Connection | None = None
        self.has_ended = False
        self._on_end = on_end
        self.on_written = on_written
        self._timer = asyncio.get_running_loop().call_at(
            min(end_by, write_by) + TIMER_RESOLUTION_S, self._time_out
        )

    def end(self, result: AttemptResult) -> None:
        if not self.has_ended:
            self.has_ended = True
            self._timer.cancel()
            self.connection = None
            self._on_end(result)

    def refresh_message(self, waited_s: float) -> bool:
        """Updates the message after waiting for a connection; False if the client no longer waits."""
        return True

    def set_end_by(self, end_by: float) -> None:
        """Changes the time limit."""
        self._timer.cancel()
        if not self.has_ended:
            self.end_by = end_by
            timer_at = end_by if self.is_written else min(end_by, self.write_by)
            self._timer = asyncio.get_running_loop().call_at(timer_at + TIMER_RESOLUTION_S, self._time_out)

    @property
    def is_written(self) -> bool:
        """Whether the last byte was written; no server starts a request before it has received that."""
        return self.connection is not None and self.connection.is_written

    def cancel(self) -> None:
        self._give_up(Status.CANCELLED)

    def _time_out(self) -> None:
        if self.is_written and self.write_by < self.end_by > asyncio.get_running_loop().time():
            self.set_end_by(self.end_by)  # it was written in time
        elif not self.forward_at_limit():
            self._give_up(Status.TIMEOUT if self.is_written else self.unwritten_status)

    def forward_at_limit(self) -> bool:
        """Forwards a response that is incomplete at the time limit, if it must not be given up then.

        Returns whether it did.
        """
        return False

    def _give_up(self, status: Status) -> None:
        if self.connection:
            self.connection.abort("the attempt was cancelled or timed out")
        self.end(AttemptResult(status))


class Connection(ReadBufferProtocol):
    """A persistent connection with at most one attempt at a time; subclasses parse the responses."""

    def __init__(self, servers: ServerConnections, server: UpstreamServer, sock: socket.socket) -> None:
        self._servers = servers
        self._server = server
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self.is_written = False
        self.idle_since = 0.0
        self.is_established = False  # from then on `connection_lost` is called, which updates the counts

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class is not a subclass
        self.is_established = True

    def start(self, attempt: Attempt) -> None:
        """Writes the attempt's message and waits for the response."""
        raise NotImplementedError

    def has_unread_data(self) -> bool:
        """Whether the server has sent something that this process has not read yet."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def is_usable(self) -> bool:
        """Whether the server has not closed the connection, as far as the kernel knows."""
        assert self._transport
        if self._transport.is_closing():
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # end of stream, or unsolicited data

    def abort(self, reason: str) -> None:
        """Closes at once, so that the server is notified before anything that is written from now on."""
        if self._transport and not self._transport.is_closing():
            if trace.enabled:
                trace.event("closing the connection to %s: %s", self._server.address, reason)
            with contextlib.suppress(OSError):  # the peer has already closed it
                self._sock.shutdown(socket.SHUT_RDWR)
            self._transport.abort()


AttemptT = TypeVar("AttemptT", bound=Attempt)


class ServerConnections:
    """The servers by number, the connections to them and the limit on the number of connections."""

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        max_idle_s: float,
        create_connection: Callable[[ServerConnections, UpstreamServer, socket.socket], Connection],
        min_idle_s: float = 0.0,
    ) -> None:
        """`max_idle_s`: a connection that was idle for longer is not reused.

        `min_idle_s`: nor is one that was idle for less. A faulty server that sends a second response does so
        a few milliseconds later, and it would be taken for the response to the next request. The cost is a
        new connection where requests follow one another faster than that.
        """
        self._max_connections = max_connections
        self._connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._min_idle_s = min_idle_s
        self._create_connection = create_connection
        self._servers: dict[int, UpstreamServer] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._open_connections = 0
        self.connection_share = 1.0  # of the maximum; another process has the rest
        self._ready_servers = 0
        self.guard = SendGuard()
        self.turns = TurnQueue()

    def update_settings(self, connect_timeout_s: float, max_idle_s: float) -> None:
        """Changes the time limits, also for connections that are open."""
        self._connect_timeout_s, self._max_idle_s = connect_timeout_s, max_idle_s

    def update_server(
        self,
        number: int,
        address: Address,
        is_ready: bool,
        max_connections: int = 0,
        started: float = 0.0,
    ) -> None:
        """Updates a server from discovery; closes idle connections if it moved, restarted or is not ready.

        `started`: a value that identifies its process at this address, such as the time of its start.
        """
        if (server := self._servers.get(number)) is None:
            server = self._servers[number] = UpstreamServer(address, started)
        is_same = (server.address, server.started) == (address, started)
        if server.idle_connections and not (is_ready and is_same):
            self._close_idle_connections(server, "the server is draining, has moved or was restarted")
        self._set_readiness(server, is_ready)
        server.max_connections = max_connections
        if is_ready:
            server.address, server.started = address, started

    def _set_readiness(self, server: UpstreamServer, is_ready: bool) -> None:
        self._ready_servers += is_ready - server.is_ready
        server.is_ready = is_ready

    def remove_server(self, number: int) -> None:
        """Removes a server; active attempts continue on their connections."""
        if server := self._servers.pop(number, None):
            self._set_readiness(server, False)
            self._close_idle_connections(server, "the server was removed")

    def has_ready_server(self) -> bool:
        return self._ready_servers > 0

    def start_attempt(self, number: int, attempt: AttemptT) -> AttemptT:
        """Starts an attempt on the most recently used idle connection that is usable, or on a new one."""
        server = self._servers[number]
        now = monotonic()
        if server.idle_connections and (connection := self._take_idle(server, now)):
            self._write_attempt(server, connection, attempt, now)
            return attempt
        task = asyncio.get_running_loop().create_task(self._connect_and_write(server, attempt))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return attempt

    def _take_idle(self, server: UpstreamServer, now: float) -> Connection | None:
        """Takes out the most recently used connection that may be reused; closes unusable ones on the way."""
        idle = server.idle_connections
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if connection.idle_since > now - self._min_idle_s:
                continue
            del idle[index]
            if connection.idle_since >= now - self._max_idle_s and connection.is_usable():
                return connection
            connection.abort("idle for too long, or closed by the server")
        return None

    def _write_attempt(
        self, server: UpstreamServer, connection: Connection, attempt: Attempt, now: float
    ) -> None:
        """Writes an attempt unless `write_denial` forbids it; every attempt is written here."""
        end_by, write_by = attempt.end_by, attempt.write_by
        if denial := write_denial(now, server.is_ready, self.guard.lease_expires_at, end_by, write_by):
            self._deny(server, connection, attempt, denial)
            return
        connection.start(attempt)
        if monotonic() - now > MAX_STALL_S:
            self.guard.record_stall(end_by, write_by)

    def _deny(self, server: UpstreamServer, connection: Connection, attempt: Attempt, denial: Denial) -> None:
        """Ends an attempt that must not be written and keeps its connection for the next one."""
        self.guard.withhold(denial)
        self.keep_idle(server, connection)
        attempt.end(AttemptResult(DENIAL_STATUS[denial]))

    async def _connect_and_write(self, server: UpstreamServer, attempt: Attempt) -> None:
        """Opens a connection for an attempt; if the attempt has ended by then, the connection is kept."""
        if server.max_connections and server.open_connections >= server.max_connections:
            attempt.end(AttemptResult(Status.FULL))  # all are busy: idle ones were tried before
            return
        max_connections = self._max_connections * self.connection_share
        if self._open_connections >= max_connections and not self._close_oldest_idle():
            log.warning(
                "can't connect to %s: all %d connections in use", server.address, self._open_connections
            )
            attempt.end(AttemptResult(Status.CONNECT_FAILED))
            return
        process, started_at = (server.address, server.started), monotonic()
        connection = await self._connect_with_retries(server, attempt)
        if connection is None:
            attempt.end(AttemptResult(attempt.unwritten_status))
            return
        if (server.address, server.started) != process:
            connection.abort("the server moved or was restarted while the connection was being opened")
            attempt.end(AttemptResult(Status.CONNECT_FAILED))
        elif attempt.has_ended:
            self.keep_idle(server, connection)
        elif not attempt.refresh_message(monotonic() - started_at):
            self._deny(server, connection, attempt, Denial.CLIENT)
        else:
            self._write_attempt(server, connection, attempt, monotonic())

    async def _connect_with_retries(self, server: UpstreamServer, attempt: Attempt) -> Connection | None:
        """Connects to the server; None if that fails or takes too long.

        After a local error, such as a lack of descriptors, it retries until the attempt ends: connecting to
        another server would fail as well, and the error says nothing about the health of this one.
        """
        wait_s, max_wait_s = LOCAL_ERROR_BACKOFF_S
        while True:
            try:
                return await self._open_connection(server)
            except OSError as error:  # TimeoutError included
                origin = connect_error_origin(error)
                if origin not in LOCAL_ORIGINS:
                    attempt.unwritten_status = Status.CONNECT_FAILED
                    return None
                log.warning("can't connect to %s, %s: %s", server.address, origin.value, error)
                attempt.unwritten_status = Status.MOOT
                if origin is ErrorOrigin.PROCESS:
                    self._close_oldest_idle()
                await asyncio.sleep(wait_s)
                wait_s = min(2 * wait_s, max_wait_s)
                if attempt.has_ended or not server.is_ready:
                    return None

    async def _open_connection(self, server: UpstreamServer) -> Connection:
        """Opens one connection; raises OSError if that fails or times out."""
        address, loop = server.address, asyncio.get_running_loop()
        sock: socket.socket | None = None
        connection: Connection | None = None
        self._open_connections += 1
        server.open_connections += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await connect(sock, address)
                connection = self._create_connection(self, server, sock)
                await loop.create_connection(lambda: connection, sock=sock)
            return connection
        except OSError:
            if connection and connection.is_established:  # it was lost, or the time ran out, after that
                connection.abort("opening it took too long")
            else:
                self._open_connections -= 1
                server.open_connections -= 1
                if sock:
                    sock.close()
            raise

    def keep_idle(self, server: UpstreamServer, connection: Connection) -> None:
        if not server.is_ready:
            connection.abort("the server is draining or was removed")
            return
        connection.idle_since = monotonic()
        server.idle_connections.append(connection)

    def connection_closed(self, server: UpstreamServer, connection: Connection) -> None:
        self._open_connections -= 1
        server.open_connections -= 1
        if connection in server.idle_connections:
            server.idle_connections.remove(connection)

    def close_idle(self, number: int) -> None:
        if server := self._servers.get(number):
            self._close_idle_connections(server, "requested by the decision module")

    def _close_idle_connections(self, server: UpstreamServer, reason: str) -> None:
        for connection in server.idle_connections:
            connection.abort(reason)
        server.idle_connections.clear()

    def _close_oldest_idle(self) -> bool:
        """Closes the connection that was idle for longest, to make room; False if none is idle."""
        servers_with_idle = [server for server in self._servers.values() if server.idle_connections]
        if not servers_with_idle:
            return False
        min(servers_with_idle, key=lambda server: server.idle_connections[0].idle_since).idle_connections.pop(
            0
        ).abort("the connection limit is reached")
        return True

    def close_expired(self) -> None:
        """Closes connections idle for too long, before the server does so while a request is being sent."""
        oldest_allowed = monotonic() - self._max_idle_s
        for server in self._servers.values():
            while server.idle_connections and server.idle_connections[0].idle_since < oldest_allowed:
                server.idle_connections.pop(0).abort("idle for too long")

    def close(self) -> None:
        for task in list(self._connecting):
            task.cancel()
        for server in self._servers.values():
            self._close_idle_connections(server, "this process is shutting down")
