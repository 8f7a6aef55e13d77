"""All connections of clients: acceptance, limits, timeouts, handover and drain."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from time import monotonic

from basaltpoint.config.address import Address
from basaltpoint.fronts.drain_end import DrainEnd
from basaltpoint.fronts.platform.client_connection import ClientConnection
from basaltpoint.fronts.platform.close_guard import CloseGuard
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.fronts.platform.request_check import RequestCheck
from basaltpoint.fronts.unread import FIRST_REQUEST_GRACE_S
from basaltpoint.interface import Settings
from basaltpoint.system.accepting import Acceptor
from basaltpoint.system.listening import open_listener
from basaltpoint.system.pending_connections import PendingConnections
from basaltpoint.system.turn_queue import TurnQueue

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that may wait to be accepted
# For a complete head, counted from the connect for the first one. Clients may take 2 s; an invalid one has to
# get its error or the close within 3 s, including the interval between two sweeps.
HEAD_TIMEOUT_S = 2.7
BODY_IDLE_TIMEOUT_S = 2.0  # within a body; at the lowest rate clients write continuously
MIN_DRAIN_LISTEN_S = 0.45  # new connections arrive for up to 0.4 s after SIGTERM
DRAIN_QUIET_S = 0.1  # without a new connection before the listener closes
MAX_DRAIN_LISTEN_S = 0.6
FLUSH_S = 0.2  # without anything in hand before the connections that are still open are closed
DRAIN_POLL_S = 0.01
FINAL_WRITE_S = 0.05  # to write the last responses
KEEP_ALIVE_FRACTION = 0.25  # of the allowed connections; with more open, each closes after its response
# SIGKILL may follow SIGTERM after the longest deadline (at most MAX_SIGKILL_DEADLINE_S of it) and this time.
SIGKILL_GRACE_S = 0.7
MAX_SIGKILL_DEADLINE_S = 3.0
SIGKILL_MARGIN_S = 0.3  # for the last response to be sent before SIGKILL


def sigkill_after_s(settings: Settings) -> float:
    """Returns the shortest time between SIGTERM and SIGKILL, in seconds."""
    return (
        min(MAX_SIGKILL_DEADLINE_S, max(cls.deadline_ms for cls in settings.classes) / 1000) + SIGKILL_GRACE_S
    )


def keep_open_s(settings: Settings) -> float:
    """Returns how long after SIGTERM a new request can still get its response before SIGKILL, in seconds."""
    response_s = max(
        (cls.aim_ms if cls.late_worth <= 0 and not cls.stream else cls.deadline_ms) / 1000
        for cls in settings.classes
    )
    return sigkill_after_s(settings) - response_s - SIGKILL_MARGIN_S


class ClientConnections:
    """The listener and its connections, which are limited in number and memory and can be drained."""

    def __init__(
        self,
        limiter: Limiter,
        settings: Settings,
        address: Address,
        max_connections: int,
        max_body_bytes: int,
        external_listener: socket.socket | None = None,
        own_listener: socket.socket | None = None,
    ) -> None:
        """`external_listener`: a listening socket of the platform, on which others may listen, too.

        `own_listener`: this process's listening socket, if it is already open.
        """
        self.limiter = limiter
        self.checker = RequestCheck(settings)
        self.draining = False  # /up reports that no new clients are welcome
        self.closing = False  # each connection closes after its response
        self._keep_open_s = keep_open_s(settings)
        self.sigkill_after_s = sigkill_after_s(settings)  # this process ends so long after SIGTERM
        self.close_guard = CloseGuard()
        self.turns = TurnQueue()
        self.idle_connections: dict[ClientConnection, None] = {}  # longest idle first
        self.receiving: dict[ClientConnection, None] = {}  # receiving a request, longest first
        self._open: set[ClientConnection] = set()
        self._pending = PendingConnections()
        self._max_connections = max_connections
        self.limit_share = 1.0  # of connections and bodies; another process has the rest
        self._send_to_successor: Callable[[int], bool] | None = None  # passes a descriptor on
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0  # of bodies that are received or wait for their response
        self._drained_at = 0.0  # start of the drain, monotonic seconds
        self._is_listener_external = external_listener is not None
        listener = external_listener or own_listener or open_listener(address, BACKLOG)
        # Clients may have connected to an external listener before this process started.
        max_age_s = (
            max(cls.deadline_ms for cls in settings.classes) / 1000 if self._is_listener_external else 0.0
        )
        unread_since = monotonic() - max_age_s
        self._acceptor = Acceptor(listener, self.adopt, self._has_room, self._make_room, unread_since)

    @property
    def address(self) -> Address:
        return self._acceptor.address

    @property
    def keeps_connections(self) -> bool:
        """Whether a connection stays open after a response.

        Clients have limits on connections, too: many connections that are used once and kept open leave them
        no room for their next requests. Closing them costs those that would be reused one new connection
        each.
        """
        return (
            not self.closing
            and len(self._open) <= self._max_connections * self.limit_share * KEEP_ALIVE_FRACTION
        )

    @property
    def ready(self) -> bool:
        return self.limiter.ready and not self.draining

    def listen(self) -> None:
        """Starts accepting connections."""
        self._acceptor.listen()

    def stop_listening(self) -> None:
        self._acceptor.stop()

    def _has_room(self) -> bool:
        return len(self._open) < self._max_connections * self.limit_share

    def adopt(self, sock: socket.socket, unread_since: float | None = None) -> None:
        """Serves a connection that was accepted, here or by another process.

        `unread_since`: since when it may hold unread data, monotonic seconds; None: it is new.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(self, sock, unread_since)
        self._open.add(client)
        self._pending.attach(sock, client, lambda: self.connection_closed(client))

    def _make_room(self) -> bool:
        """Closes the longest idle connection, but not one that is waiting for its first request."""
        limit = monotonic() - FIRST_REQUEST_GRACE_S
        client = next(
            (
                c
                for c in self.idle_connections
                if (c.has_responded or c.connected_at < limit) and c.is_closable
            ),
            None,
        )
        if client is None:
            return self._reject_slowest(limit)
        del self.idle_connections[client]
        client.close("a new connection needs its place")
        return True

    def _reject_slowest(self, limit: float) -> bool:
        """Rejects the slowest incomplete request: many of them must not keep other clients out."""
        client = next((c for c in self.receiving if c.is_request_stalled(limit)), None)
        if client is None:
            return False
        client.reject(408)
        client.close_if_answered()
        return True

    def reserve_body(self, size: int) -> bool:
        """Accounts for buffered bytes of a body; returns False if they exceed the limit."""
        if self._body_bytes + size > self._max_body_bytes * self.limit_share:
            return False
        self._body_bytes += size
        return True

    def release_body(self, size: int) -> None:
        self._body_bytes -= size

    def connection_closed(self, client: ClientConnection) -> None:
        self._open.discard(client)
        self.idle_connections.pop(client, None)
        self.receiving.pop(client, None)

    def sweep(self) -> None:
        """Ends incomplete requests, connections without data and responses that are not read.

        Each would otherwise hold its socket for good.
        """
        now = monotonic()
        limit, quiet = now - HEAD_TIMEOUT_S, now - BODY_IDLE_TIMEOUT_S
        for client in [c for c in self._open if c.is_request_stalled(limit) or c.is_body_stalled(quiet)]:
            if client.request_begun_at is not None:
                client.reject(408)
            elif client.is_closable:
                client.close("no request was received")
        for client in list(self._open):
            client.abort_if_unread(now)

    def connection_idle(self, client: ClientConnection) -> None:
        """Hands a connection that has become idle over to the successor, if there is one."""
        if self._send_to_successor and client.hand_over(self._send_to_successor):
            self.idle_connections.pop(client, None)

    async def hand_over(self, send: Callable[[int], bool]) -> None:
        """Hands each connection over to the successor as it becomes idle, until the drain's end."""
        self._send_to_successor = send
        end = self._begin_drain()
        while (self._open or self._pending) and monotonic() < end:
            for client in list(self.idle_connections):
                self.connection_idle(client)
            await asyncio.sleep(0.01)
        self._send_to_successor = None

    def _begin_drain(self) -> float:
        """Starts the drain; returns the time by which all requests have their response, monotonic seconds."""
        if not self.draining:
            self.draining, self._drained_at = True, monotonic()
            self.limiter.shorten_deadlines(self._drained_at + self.sigkill_after_s - SIGKILL_MARGIN_S)
        return self._drained_at + self.sigkill_after_s - SIGKILL_MARGIN_S

    async def drain(self) -> None:
        """Listens while connections still arrive, then waits until all requests have their response."""
        end = self._begin_drain()
        start = self._drained_at
        if self._is_listener_external:
            # The successor accepts what waits in the external listener. Connections close after a response.
            self.closing = True
        while not self._is_listener_external and (now := monotonic()) < start + MAX_DRAIN_LISTEN_S:
            if now >= max(start + MIN_DRAIN_LISTEN_S, self._acceptor.last_accept_at + DRAIN_QUIET_S):
                break
            await asyncio.sleep(0.01)
        if not self._is_listener_external:
            await self._acceptor.empty_backlog(
                min(start + self._keep_open_s, end), self._make_room_by_closing
            )
        self.stop_listening()
        while self._open and monotonic() < min(start + self._keep_open_s, end):
            await asyncio.sleep(0.01)
        self.closing = True
        self._log_drain("connections close after their response")
        await self._answer_rest(end)
        self._log_drain("the process exits")
        if unanswered := sum(len(client.unanswered_ids) for client in self._open):
            log.warning("%d requests were still in hand at the end", unanswered)
        for client in list(self._open):
            client.close("the process exits")
        closed_by = monotonic() + FINAL_WRITE_S
        while self._open and monotonic() < closed_by:
            await asyncio.sleep(DRAIN_POLL_S)

    async def _answer_rest(self, answer_by: float) -> None:
        """Waits until no connection is open, or nothing has been in hand for `FLUSH_S`.

        After `answer_by`, data that was still unread is read, and its requests are refused as too late.
        """
        exit_by = self._drained_at + self.sigkill_after_s - 2 * FINAL_WRITE_S
        drain_end = DrainEnd(FLUSH_S, answer_by + FINAL_WRITE_S, exit_by)
        was_quiet = False
        while self._open and not drain_end.may_exit(now := monotonic(), self._is_busy(now)):
            if drain_end.is_quiet and not was_quiet:
                self._log_drain("nothing is in hand, or the time is up")
            was_quiet = drain_end.is_quiet
            self._close_idle(now if was_quiet else now - FIRST_REQUEST_GRACE_S)
            await asyncio.sleep(DRAIN_POLL_S)

    def _is_busy(self, now: float) -> bool:
        """Whether something is in hand, or may be on its way."""
        return self.limiter.open_requests > 0 or any(
            client.has_unwritten_response
            or client.may_have_request(now)
            or (not client.ignores_input and client.has_unread_input)
            for client in self._open
        )

    def _log_drain(self, phase: str) -> None:
        log.info(
            "draining for %.3f s: %s; %d connections, %d requests are open",
            monotonic() - self._drained_at,
            phase,
            len(self._open),
            self.limiter.open_requests,
        )

    def _make_room_by_closing(self) -> None:
        """Lets each connection close after its response, and closes idle ones."""
        self.closing = True
        self._close_idle(monotonic() - FIRST_REQUEST_GRACE_S)

    def _close_idle(self, since: float) -> None:
        """Closes idle connections, and new ones without data since `since`."""
        for client in [
            c for c in self.idle_connections if (c.has_responded or c.connected_at < since) and c.is_closable
        ]:
            self.idle_connections.pop(client, None)
            client.close("it is idle and the process exits")
