"""All connections of clients: taken, bounded, swept, handed over, and ended in an orderly drain."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from time import monotonic

from basaltpoint.config.address import Address
from basaltpoint.fronts.platform.client_connection import ClientConnection
from basaltpoint.fronts.platform.close_guard import CloseGuard
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.fronts.platform.request_check import RequestCheck
from basaltpoint.fronts.unread import FIRST_REQUEST_GRACE_S
from basaltpoint.interface import Settings
from basaltpoint.system.accepting import Acceptor, AcceptResult
from basaltpoint.system.listening import open_listener
from basaltpoint.system.pending_connections import PendingConnections

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that may wait to be accepted
HEAD_TIMEOUT_S = (
    2.7  # for a head to come whole, the first one from the connecting on; clients may take 2 s, and a
)
# bad one is owed its error or the end within 3 s, the next sweep included
BODY_IDLE_TIMEOUT_S = 2.0  # within a body; at the least rate clients write all the time
WRITE_TIMEOUT_S = 10.0  # for a client to take any more of its answer
MIN_DRAIN_LISTEN_S = 0.45  # after SIGTERM new connections come for 0.4 s at the most
DRAIN_QUIET_S = 0.1  # and the last of them shall be so old before nobody listens any more
MAX_DRAIN_LISTEN_S = 0.6
FLUSH_S = 0.2
FINAL_WRITE_S = 0.05  # for what was answered at the very end to be written
KEEP_ALIVE_FRACTION = 0.25  # of the connections allowed; with more open, each ends behind its answer
SIGKILL_GRACE_S = (
    0.7  # after the longest deadline, counted as KILL_MOST_S where it is longer, SIGKILL may come
)
MAX_SIGKILL_DEADLINE_S = 3.0
SIGKILL_MARGIN_S = 0.3  # what the last answer has, beside its class's time, to be out before that


def sigkill_after_s(settings: Settings) -> float:
    """How long after SIGTERM SIGKILL comes at the earliest."""
    return (
        min(MAX_SIGKILL_DEADLINE_S, max(cls.deadline_ms for cls in settings.classes) / 1000) + SIGKILL_GRACE_S
    )


def keep_open_s(settings: Settings) -> float:
    """For how long after SIGTERM a request on an open connection can still be answered before SIGKILL."""
    answered = max(
        (cls.aim_ms if cls.late_worth <= 0 and not cls.stream else cls.deadline_ms) / 1000
        for cls in settings.classes
    )
    return sigkill_after_s(settings) - answered - SIGKILL_MARGIN_S


class ClientConnections:
    """The listener and the connections it took; they are bounded and end in an orderly drain."""

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
        """`held`: the listening socket that the platform holds; others may listen on it, too. `listening`:
        this process's own, where it is there already."""
        self.limiter = limiter
        self.checker = RequestCheck(settings)
        self.draining = False  # a front shall bring nobody new
        self.closing = False  # each connection ends behind its answer
        self._keep_open_s = keep_open_s(settings)
        self._sigkill_after_s = sigkill_after_s(settings)
        self.close_guard = CloseGuard()
        self.idle_connections: dict[ClientConnection, None] = {}  # between requests, the longest idle first
        self.receiving: dict[ClientConnection, None] = {}  # with a request coming in, the longest so first
        self._open: set[ClientConnection] = set()
        self._pending = PendingConnections()
        self._max_connections = max_connections
        self.connection_share = 1.0  # of the connections allowed, while another process has the rest
        self._send_to_successor: Callable[[int], bool] | None = None  # gives a connection to the next process
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0  # of bodies that come in or wait for their answer
        self._drained_at = 0.0  # when the drain began
        self._is_listener_external = external_listener is not None
        socket_ = external_listener or own_listener or open_listener(address, BACKLOG)
        # Into a socket that is held from outside clients came before this process was there.
        before_s = (
            max(cls.deadline_ms for cls in settings.classes) / 1000 if self._is_listener_external else 0.0
        )
        behind_since = monotonic() - before_s
        self._acceptor = Acceptor(socket_, self.adopt, self._has_room, self._make_room, behind_since)

    @property
    def address(self) -> Address:
        return self._acceptor.address

    @property
    def keeps_connections(self) -> bool:
        """Whether a connection stays open behind its answer.

        Clients are bound in connections, too: a crowd that asks once over each and keeps it finds no room for
        its next requests. It costs those that would have asked again a connection each.
        """
        return (
            not self.closing
            and len(self._open) <= self._max_connections * self.connection_share * KEEP_ALIVE_FRACTION
        )

    @property
    def ready(self) -> bool:
        return self.limiter.ready and not self.draining

    def listen(self) -> None:
        """Take new connections as they come."""
        self._acceptor.listen()

    def stop_listening(self) -> None:
        self._acceptor.stop()

    def _has_room(self) -> bool:
        return len(self._open) < self._max_connections * self.connection_share

    def adopt(self, sock: socket.socket, unread_since: float | None = None) -> None:
        """Serve a connection that was accepted, here or by another process.

        `unread_since`: since when bytes may lie in it unread, monotonic seconds; None: it came just now.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(self, sock, unread_since)
        self._open.add(client)
        self._pending.attach(sock, client, lambda: self.connection_closed(client))

    def _make_room(self) -> bool:
        """Close the connection that has been between requests for longest; new ones get their turn."""
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
        client.close("a new one needs the room")
        return True

    def _reject_slowest(self, limit: float) -> bool:
        """End the request that has been coming in for longest: a crowd of them must not keep others out."""
        client = next((c for c in self.receiving if c.is_request_stalled(limit)), None)
        if client is None:
            return False
        client.reject(408)
        client.close_if_answered()
        return True

    def reserve_body(self, size: int) -> bool:
        """Account for so many bytes of a body; False where the memory has no room for them."""
        if self._body_bytes + size > self._max_body_bytes:
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
        """End requests that never come whole, and connections that never say anything.

        Each would hold its socket for good.
        """
        now = monotonic()
        limit, quiet = now - HEAD_TIMEOUT_S, now - BODY_IDLE_TIMEOUT_S
        for client in [c for c in self._open if c.is_request_stalled(limit) or c.is_body_stalled(quiet)]:
            if client.request_begun_at is not None:
                client.reject(408)
            elif client.is_closable:
                client.close("it said nothing")
        limit = monotonic() - WRITE_TIMEOUT_S
        for client in [
            c for c in self._open if c.write_paused_since is not None and c.write_paused_since < limit
        ]:
            log.warning("a client has stopped reading its answer")
            client.abort("it does not read its answer")

    def connection_idle(self, client: ClientConnection) -> None:
        """Give a connection that has fallen idle to the next process, where there is one."""
        if self._send_to_successor and client.hand_over(self._send_to_successor):
            self.idle_connections.pop(client, None)

    async def hand_over(self, send: Callable[[int], bool]) -> None:
        """Give every connection to the next process as it falls idle, until time is up."""
        self._send_to_successor = send
        end = self._begin_drain()
        while (self._open or self._pending) and monotonic() < end:
            for client in list(self.idle_connections):
                self.connection_idle(client)
            await asyncio.sleep(0.01)
        self._send_to_successor = None

    def _begin_drain(self) -> float:
        """From here on the process ends, and nothing is answered later than the time that this returns."""
        if not self.draining:
            self.draining, self._drained_at = True, monotonic()
            self.limiter.shorten_deadlines(self._drained_at + self._sigkill_after_s - SIGKILL_MARGIN_S)
        return self._drained_at + self._sigkill_after_s - SIGKILL_MARGIN_S

    async def drain(self) -> None:
        """Finish what was taken: listen while connections still come, then until all is answered."""
        end = self._begin_drain()
        start = self._drained_at
        if self._is_listener_external:
            # What waits in the platform's socket is the next process's. A client leaves behind an answer.
            self.closing = True
        while not self._is_listener_external and (now := monotonic()) < start + MAX_DRAIN_LISTEN_S:
            if now >= max(start + MIN_DRAIN_LISTEN_S, self._acceptor.last_accept_at + DRAIN_QUIET_S):
                break
            await asyncio.sleep(0.01)
        if not self._is_listener_external:
            await self._empty_backlog(min(start + self._keep_open_s, end))
        self.stop_listening()
        while self._open and monotonic() < min(start + self._keep_open_s, end):
            await asyncio.sleep(0.01)
        self.closing = True
        while self.limiter.open_requests or any(
            client.may_have_request(monotonic() - FIRST_REQUEST_GRACE_S) for client in self._open
        ):
            if monotonic() >= end + FINAL_WRITE_S:
                if self.limiter.open_requests:
                    log.warning("%d requests were still in hand at the end", self.limiter.open_requests)
                break
            self._close_idle(monotonic() - FIRST_REQUEST_GRACE_S)
            await asyncio.sleep(0.01)
        # What lies in a socket still has come in time: it is read, and answered as too late to be sent on.
        flushed = min(monotonic() + FLUSH_S, start + self._sigkill_after_s - 2 * FINAL_WRITE_S)
        while self._open and monotonic() < flushed:
            self._close_idle(monotonic())
            await asyncio.sleep(0.01)
        for client in list(self._open):
            client.close("this process ends")
        while self._open and monotonic() < flushed + FINAL_WRITE_S:
            await asyncio.sleep(0.01)

    async def _empty_backlog(self, until: float) -> None:
        """Take all that waits: what is left there would be reset, and its requests may have been sent."""
        while (taken := self._acceptor.accept_batch()) is not AcceptResult.ALL:
            if taken is AcceptResult.MORE:
                await asyncio.sleep(0)  # what is open gets its turn
            else:
                if monotonic() >= until:
                    log.warning("connections are left in the backlog: there was no room for them")
                    return
                self.closing = True  # each connection that ends now makes room
                self._close_idle(monotonic() - FIRST_REQUEST_GRACE_S)
                await asyncio.sleep(0.01)

    def _close_idle(self, since: float) -> None:
        """Close what stands between two requests, and what has said nothing since then."""
        for client in [
            c for c in self.idle_connections if (c.has_responded or c.connected_at < since) and c.is_closable
        ]:
            self.idle_connections.pop(client, None)
            client.close("it is idle and this process ends")
