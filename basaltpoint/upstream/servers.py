"""Kept connections to servers, and attempts on them. Nothing is ever sent again here."""

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
from basaltpoint.telemetry import trace
from basaltpoint.upstream.send_guard import SendGuard

log = logging.getLogger(__name__)

TIMER_RESOLUTION_S = 0.001  # the loop counts whole milliseconds; nothing may be called before its time
OWN_TROUBLE_S = 0.01, 0.1  # first and longest wait after a trouble of our own, doubled each time
# How an attempt ends that may not be written. What is no server's fault is moot: nothing is learned of it.
DENIED = {
    Denial.SERVER: Status.CONNECT_FAILED,
    Denial.DEADLINE: Status.MOOT,
    Denial.WINDOW: Status.CONNECT_FAILED,
    Denial.MEMBERSHIP: Status.MOOT,
    Denial.CLIENT: Status.MOOT,
}


class AttemptResult(NamedTuple):
    """How an attempt ended, and what came with it."""

    status: Status
    body: bytes = b""
    content_type: bytes = b""
    usage: int | None = None
    load: bytes = b""
    units: float = 0.0  # that the request truly took, where that is told afterwards; 0: not told


@dataclass(slots=True)
class UpstreamServer:
    """Where a server listens, and the connections to it that are free, the latest used last."""

    address: Address
    is_ready: bool = False
    max_connections: int = 0  # connections; 0: no bound of its own
    open_connections: int = 0
    idle_connections: list[Connection] = field(default_factory=list)


class Attempt:
    """One message to one server; `on_end` hears of its end, once."""

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
        """`on_written` hears when the message's last byte has been handed to the system.

        `whole_by`: when it must have been, of the loop's time: who would get it later may have forgotten
        what it repeats.
        """
        self.message = message
        self.end_by = end_by
        self.write_by = write_by
        self.unwritten_status = Status.CONNECT_FAILED  # result if time runs out before it is written
        self.connection: Connection | None = None
        self.has_ended = False
        self._on_end = on_end
        self.on_written = on_written
        self._timer = asyncio.get_running_loop().call_at(
            min(end_by, write_by) + TIMER_RESOLUTION_S, self._time_out
        )

    def end(self, reply: AttemptResult) -> None:
        if not self.has_ended:
            self.has_ended = True
            self._timer.cancel()
            self.connection = None
            self._on_end(reply)

    def refresh_message(self, waited_s: float) -> bool:
        """Bring the message up to date after so long for its connection; False where nobody waits for it."""
        return True

    def set_end_by(self, until: float) -> None:
        """Move the time limit."""
        self._timer.cancel()
        if not self.has_ended:
            self.end_by = until
            when = until if self.is_written else min(until, self.write_by)
            self._timer = asyncio.get_running_loop().call_at(when + TIMER_RESOLUTION_S, self._time_out)

    @property
    def is_written(self) -> bool:
        """Whether its last byte has gone: without it no server has begun it."""
        return self.connection is not None and self.connection.is_written

    def cancel(self) -> None:
        self._give_up(Status.CANCELLED)

    def _time_out(self) -> None:
        if self.is_written and self.write_by < self.end_by > asyncio.get_running_loop().time():
            self.set_end_by(self.end_by)  # it went out in time
        else:
            self._give_up(Status.TIMEOUT if self.is_written else self.unwritten_status)

    def _give_up(self, status: Status) -> None:
        if self.connection:
            self.connection.abort("its attempt is given up")
        self.end(AttemptResult(status))


class Connection(asyncio.Protocol):
    """One kept connection with at most one attempt at a time; how answers are read is a subclass's."""

    def __init__(self, servers: ServerConnections, server: UpstreamServer, sock: socket.socket) -> None:
        self._servers = servers
        self._server = server
        self._sock = sock
        self._transport: asyncio.Transport | None = None
        self.is_written = False
        self.idle_since = 0.0
        self.is_established = False  # from then on its loss is told, and counted there

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own is no subclass of it
        self.is_established = True

    def start(self, attempt: Attempt) -> None:
        """Write the attempt's message and await its answer."""
        raise NotImplementedError

    def is_usable(self) -> bool:
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

    def abort(self, reason: str) -> None:
        """Close so that the server hears of it before anything that is written from now on."""
        if self._transport and not self._transport.is_closing():
            if trace.enabled:
                trace.event("connection to %s closes: %s", self._server.address, reason)
            with contextlib.suppress(OSError):  # the other side was faster
                self._sock.shutdown(socket.SHUT_RDWR)
            self._transport.abort()


A = TypeVar("A", bound=Attempt)


class ServerConnections:
    """The servers by number, the connections to them and the bound on their number."""

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        max_idle_s: float,
        create_connection: Callable[[ServerConnections, UpstreamServer, socket.socket], Connection],
        min_idle_s: float = 0.0,
    ) -> None:
        """`idle_s`: a connection that was free for longer is not used again.

        `rest_s`: nor is one that was free for less. A server that answers twice does so some milliseconds
        later; what it says then would be taken for the answer to the next request. It costs a new connection
        where requests follow one another faster than that.
        """
        self._most = max_connections
        self._connect_s = connect_timeout_s
        self._idle_s = max_idle_s
        self._rest_s = min_idle_s
        self._make = create_connection
        self._servers: dict[int, UpstreamServer] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self._open = 0
        self._ready = 0  # servers that are
        self.guard = SendGuard()

    def update_settings(self, connect_s: float, idle_s: float) -> None:
        """Take up other bounds; they hold for connections that stand, too."""
        self._connect_s, self._idle_s = connect_s, idle_s

    def update_server(self, number: int, dial: Address, ready: bool, most: int = 0) -> None:
        """What discovery says of a server; one that moved or leaves keeps no free connection."""
        if (server := self._servers.get(number)) is None:
            server = self._servers[number] = UpstreamServer(dial)
        if server.idle_connections and (not ready or server.address != dial):
            self._drop_idle(server, "the server drains or has moved")
        self._set_ready(server, ready)
        server.max_connections = most
        if ready:
            server.address = dial

    def _set_ready(self, server: UpstreamServer, ready: bool) -> None:
        self._ready += ready - server.is_ready
        server.is_ready = ready

    def remove_server(self, number: int) -> None:
        """Forget a server that is gone; what is still out there ends over its own connection."""
        if server := self._servers.pop(number, None):
            self._set_ready(server, False)
            self._drop_idle(server, "the server is gone")

    def has_ready_server(self) -> bool:
        return self._ready > 0

    def start_attempt(self, number: int, attempt: A) -> A:
        """Begin an attempt over the latest used free connection that has rested, or over a new one."""
        server = self._servers[number]
        now = monotonic()
        if server.idle_connections and (connection := self._rested(server, now)):
            self._start(server, connection, attempt, now)
            return attempt
        task = asyncio.get_running_loop().create_task(self._connect(server, attempt))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return attempt

    def _rested(self, server: UpstreamServer, now: float) -> Connection | None:
        """Take out the latest used free connection that may be used again; what is of no use goes."""
        idle = server.idle_connections
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if connection.idle_since > now - self._rest_s:
                continue
            del idle[index]
            if connection.idle_since >= now - self._idle_s and connection.is_usable():
                return connection
            connection.abort("it stood idle for too long, or the server has closed it")
        return None

    def _start(self, server: UpstreamServer, connection: Connection, attempt: Attempt, now: float) -> None:
        """Write an attempt where it may still be written: every attempt passes here."""
        until, whole_by = attempt.end_by, attempt.write_by
        if denial := write_denial(now, server.is_ready, self.guard.lease_expires_at, until, whole_by):
            self._deny(server, connection, attempt, denial)
            return
        connection.start(attempt)
        if monotonic() - now > MAX_STALL_S:
            self.guard.record_stall(until, whole_by)

    def _deny(self, server: UpstreamServer, connection: Connection, attempt: Attempt, denial: Denial) -> None:
        """End an attempt that may not be written; its connection waits for the next one."""
        self.guard.withhold(denial)
        self.keep_idle(server, connection)
        attempt.end(AttemptResult(DENIED[denial]))

    async def _connect(self, server: UpstreamServer, attempt: Attempt) -> None:
        """Open a connection for an attempt; if that is over by then, it is kept for the next."""
        if server.max_connections and server.open_connections >= server.max_connections:
            attempt.end(AttemptResult(Status.FULL))  # all are busy: free ones were looked through before
            return
        if self._open >= self._most and not self._drop_oldest():
            log.warning("no connection to %s: %d are open", server.address, self._open)
            attempt.end(AttemptResult(Status.CONNECT_FAILED))
            return
        dial, begun = server.address, monotonic()
        connection = await self._come_up(server, attempt)
        if connection is None:
            attempt.end(AttemptResult(attempt.unwritten_status))
            return
        if server.address != dial:
            connection.abort("the server moved while it came up")
            attempt.end(AttemptResult(Status.CONNECT_FAILED))
        elif attempt.has_ended:
            self.keep_idle(server, connection)
        elif not attempt.refresh_message(monotonic() - begun):
            self._deny(server, connection, attempt, Denial.CLIENT)
        else:
            self._start(server, connection, attempt, monotonic())

    async def _come_up(self, server: UpstreamServer, attempt: Attempt) -> Connection | None:
        """A connection to the server's address; None where there is none in time.

        What fails by this machine's own trouble is tried again for as long as the attempt has time: no other
        server would do better, and nothing is learned of this one.
        """
        wait_s, longest_s = OWN_TROUBLE_S
        while True:
            try:
                return await self._open_one(server)
            except OSError as error:  # a time-out is one, too
                trouble = connect_error_origin(error)
                if trouble not in LOCAL_ORIGINS:
                    attempt.unwritten_status = Status.CONNECT_FAILED
                    return None
                log.warning("no connection to %s, %s: %s", server.address, trouble.value, error)
                attempt.unwritten_status = Status.MOOT
                if trouble is ErrorOrigin.PROCESS:
                    self._drop_oldest()
                await asyncio.sleep(wait_s)
                wait_s = min(2 * wait_s, longest_s)
                if attempt.has_ended or not server.is_ready:
                    return None

    async def _open_one(self, server: UpstreamServer) -> Connection:
        """One try at a connection; OSError where it does not come up."""
        dial, loop = server.address, asyncio.get_running_loop()
        sock: socket.socket | None = None
        connection: Connection | None = None
        self._open += 1
        server.open_connections += 1
        try:
            async with asyncio.timeout(self._connect_s):
                sock = socket.socket(socket.AF_INET6 if ":" in dial[0] else socket.AF_INET)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await connect(sock, dial)
                connection = self._make(self, server, sock)
                await loop.create_connection(lambda: connection, sock=sock)
            return connection
        except OSError:
            if connection and connection.is_established:  # it was lost, or late, between coming up and here
                connection.abort("it came up too late")
            else:
                self._open -= 1
                server.open_connections -= 1
                if sock:
                    sock.close()
            raise

    def keep_idle(self, server: UpstreamServer, connection: Connection) -> None:
        if not server.is_ready:
            connection.abort("the server drains or is gone")
            return
        connection.idle_since = monotonic()
        server.idle_connections.append(connection)

    def connection_closed(self, server: UpstreamServer, connection: Connection) -> None:
        self._open -= 1
        server.open_connections -= 1
        if connection in server.idle_connections:
            server.idle_connections.remove(connection)

    def close_idle(self, number: int) -> None:
        if server := self._servers.get(number):
            self._drop_idle(server, "the module asked for it")

    def _drop_idle(self, server: UpstreamServer, reason: str) -> None:
        for connection in server.idle_connections:
            connection.abort(reason)
        server.idle_connections.clear()

    def _drop_oldest(self) -> bool:
        """Make room at the bound: the free connection that was unused for longest goes."""
        holders = [server for server in self._servers.values() if server.idle_connections]
        if not holders:
            return False
        min(holders, key=lambda server: server.idle_connections[0].idle_since).idle_connections.pop(0).abort(
            "room is needed"
        )
        return True

    def close_expired(self) -> None:
        """Drop what has stood idle, before the server does while a request is on its way."""
        limit = monotonic() - self._idle_s
        for server in self._servers.values():
            while server.idle_connections and server.idle_connections[0].idle_since < limit:
                server.idle_connections.pop(0).abort("it stood idle for too long")

    def close(self) -> None:
        for task in list(self._connecting):
            task.cancel()
        for server in self._servers.values():
            self._drop_idle(server, "this process ends")
