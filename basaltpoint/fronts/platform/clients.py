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
from basaltpoint.fronts.unread import FIRST_S
from basaltpoint.interface import Settings
from basaltpoint.system.accepting import Acceptor, AcceptResult
from basaltpoint.system.listening import open_listener
from basaltpoint.system.pending_connections import PendingConnections

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that may wait to be accepted
STALL_S = 2.7  # for a head to come whole, the first one from the connecting on; clients may take 2 s, and a
# bad one is owed its error or the end within 3 s, the next sweep included
QUIET_BODY_S = 2.0  # within a body; at the least rate clients write all the time
STUCK_S = 10.0  # for a client to take any more of its answer
DRAIN_S = 0.45  # after SIGTERM new connections come for 0.4 s at the most
QUIET_S = 0.1  # and the last of them shall be so old before nobody listens any more
DRAIN_MOST_S = 0.6
FLUSH_S = 0.2
LAST_S = 0.05  # for what was answered at the very end to be written
CROWDED = 0.25  # of the connections allowed; with more open, each ends behind its answer
KILL_S = 0.7  # after the longest deadline, counted as KILL_MOST_S where it is longer, SIGKILL may come
KILL_MOST_S = 3.0
SPARE_S = 0.3  # what the last answer has, beside its class's time, to be out before that


def kill_s(settings: Settings) -> float:
    """How long after SIGTERM SIGKILL comes at the earliest."""
    return min(KILL_MOST_S, max(cls.deadline_ms for cls in settings.classes) / 1000) + KILL_S


def stays_s(settings: Settings) -> float:
    """For how long after SIGTERM a request on an open connection can still be answered before SIGKILL."""
    answered = max(
        (cls.aim_ms if cls.late_worth <= 0 and not cls.stream else cls.deadline_ms) / 1000
        for cls in settings.classes
    )
    return kill_s(settings) - answered - SPARE_S


class Clients:
    """The listener and the connections it took; they are bounded and end in an orderly drain."""

    def __init__(
        self,
        limiter: Limiter,
        settings: Settings,
        address: Address,
        most: int,
        most_bytes: int,
        held: socket.socket | None = None,
        listening: socket.socket | None = None,
    ) -> None:
        """`held`: the listening socket that the platform holds; others may listen on it, too. `listening`:
        this process's own, where it is there already."""
        self.limiter = limiter
        self.checker = RequestCheck(settings)
        self.draining = False  # a front shall bring nobody new
        self.closing = False  # each connection ends behind its answer
        self._stays_s = stays_s(settings)
        self._kill_s = kill_s(settings)
        self.close_guard = CloseGuard()
        self.idle: dict[ClientConnection, None] = {}  # between requests, the longest idle first
        self.coming: dict[ClientConnection, None] = {}  # with a request coming in, the longest so first
        self._open: set[ClientConnection] = set()
        self._joining = PendingConnections()
        self._most = most
        self.part = 1.0  # of the connections allowed, while another process has the rest
        self._pass: Callable[[int], bool] | None = None  # gives a connection to the next process
        self._most_bytes = most_bytes
        self._bytes = 0  # of bodies that come in or wait for their answer
        self._drained_at = 0.0  # when the drain began
        self._held = held is not None
        socket_ = held or listening or open_listener(address, BACKLOG)
        # Into a socket that is held from outside clients came before this process was there.
        before_s = max(cls.deadline_ms for cls in settings.classes) / 1000 if self._held else 0.0
        behind_since = monotonic() - before_s
        self._acceptor = Acceptor(socket_, self.adopt, self._has_room, self._make_room, behind_since)

    @property
    def address(self) -> Address:
        return self._acceptor.address

    @property
    def keeps(self) -> bool:
        """Whether a connection stays open behind its answer.

        Clients are bound in connections, too: a crowd that asks once over each and keeps it finds no room for
        its next requests. It costs those that would have asked again a connection each.
        """
        return not self.closing and len(self._open) <= self._most * self.part * CROWDED

    @property
    def ready(self) -> bool:
        return self.limiter.ready and not self.draining

    def listen(self) -> None:
        """Take new connections as they come."""
        self._acceptor.listen()

    def stop_listening(self) -> None:
        self._acceptor.stop()

    def _has_room(self) -> bool:
        return len(self._open) < self._most * self.part

    def adopt(self, sock: socket.socket, unread_since: float | None = None) -> None:
        """Serve a connection that was accepted, here or by another process.

        `unread_since`: since when bytes may lie in it unread, monotonic seconds; None: it came just now.
        """
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(self, sock, unread_since)
        self._open.add(client)
        self._joining.attach(sock, client, lambda: self.gone(client))

    def _make_room(self) -> bool:
        """Close the connection that has been between requests for longest; new ones get their turn."""
        limit = monotonic() - FIRST_S
        client = next((c for c in self.idle if (c.served or c.made < limit) and c.closable), None)
        if client is None:
            return self._end_slowest(limit)
        del self.idle[client]
        client.close("a new one needs the room")
        return True

    def _end_slowest(self, limit: float) -> bool:
        """End the request that has been coming in for longest: a crowd of them must not keep others out."""
        client = next((c for c in self.coming if c.stalled(limit)), None)
        if client is None:
            return False
        client.reject(408)
        client.cut()
        return True

    def hold(self, size: int) -> bool:
        """Account for so many bytes of a body; False where the memory has no room for them."""
        if self._bytes + size > self._most_bytes:
            return False
        self._bytes += size
        return True

    def release(self, size: int) -> None:
        self._bytes -= size

    def gone(self, client: ClientConnection) -> None:
        self._open.discard(client)
        self.idle.pop(client, None)
        self.coming.pop(client, None)

    def sweep(self) -> None:
        """End requests that never come whole, and connections that never say anything.

        Each would hold its socket for good.
        """
        now = monotonic()
        limit, quiet = now - STALL_S, now - QUIET_BODY_S
        for client in [c for c in self._open if c.stalled(limit) or c.quiet(quiet)]:
            if client.begun is not None:
                client.reject(408)
            elif client.closable:
                client.close("it said nothing")
        limit = monotonic() - STUCK_S
        for client in [c for c in self._open if c.stuck_since is not None and c.stuck_since < limit]:
            log.warning("a client has stopped reading its answer")
            client.abort("it does not read its answer")

    def passes(self, client: ClientConnection) -> None:
        """Give a connection that has fallen idle to the next process, where there is one."""
        if self._pass and client.pass_on(self._pass):
            self.idle.pop(client, None)

    async def hand_over(self, send: Callable[[int], bool]) -> None:
        """Give every connection to the next process as it falls idle, until time is up."""
        self._pass = send
        end = self._begin_drain()
        while (self._open or self._joining) and monotonic() < end:
            for client in list(self.idle):
                self.passes(client)
            await asyncio.sleep(0.01)
        self._pass = None

    def _begin_drain(self) -> float:
        """From here on the process ends, and nothing is answered later than the time that this returns."""
        if not self.draining:
            self.draining, self._drained_at = True, monotonic()
            self.limiter.hasten(self._drained_at + self._kill_s - SPARE_S)
        return self._drained_at + self._kill_s - SPARE_S

    async def drain(self) -> None:
        """Finish what was taken: listen while connections still come, then until all is answered."""
        end = self._begin_drain()
        start = self._drained_at
        if self._held:
            # What waits in the platform's socket is the next process's. A client leaves behind an answer.
            self.closing = True
        while not self._held and (now := monotonic()) < start + DRAIN_MOST_S:
            if now >= max(start + DRAIN_S, self._acceptor.last_accept_at + QUIET_S):
                break
            await asyncio.sleep(0.01)
        if not self._held:
            await self._empty_backlog(min(start + self._stays_s, end))
        self.stop_listening()
        while self._open and monotonic() < min(start + self._stays_s, end):
            await asyncio.sleep(0.01)
        self.closing = True
        while self.limiter.open or any(client.due(monotonic() - FIRST_S) for client in self._open):
            if monotonic() >= end + LAST_S:
                if self.limiter.open:
                    log.warning("%d requests were still in hand at the end", self.limiter.open)
                break
            self._close_idle(monotonic() - FIRST_S)
            await asyncio.sleep(0.01)
        # What lies in a socket still has come in time: it is read, and answered as too late to be sent on.
        flushed = min(monotonic() + FLUSH_S, start + self._kill_s - 2 * LAST_S)
        while self._open and monotonic() < flushed:
            self._close_idle(monotonic())
            await asyncio.sleep(0.01)
        for client in list(self._open):
            client.close("this process ends")
        while self._open and monotonic() < flushed + LAST_S:
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
                self._close_idle(monotonic() - FIRST_S)
                await asyncio.sleep(0.01)

    def _close_idle(self, since: float) -> None:
        """Close what stands between two requests, and what has said nothing since then."""
        for client in [c for c in self.idle if (c.served or c.made < since) and c.closable]:
            self.idle.pop(client, None)
            client.close("it is idle and this process ends")
