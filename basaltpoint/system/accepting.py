"""Accepting connections in batches, with pauses while none can be taken, whatever error accept(2) returns."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from enum import Enum, auto
from time import monotonic

from basaltpoint.system.errors import LOCAL_ORIGINS, ErrorOrigin, accept_error_origin

log = logging.getLogger(__name__)

Address = tuple[str, int]  # host and port

MAX_ACCEPT_BATCH = 64  # connections per batch, so that open connections are served in between
NO_ROOM_PAUSE_S = 0.05  # pause at the connection limit, in place of a busy loop
ACCEPT_RETRY_S = 0.01  # pause after a failed call; short, as clients in the backlog wait for it


class AcceptResult(Enum):
    """How a batch ended."""

    ALL = auto()  # the backlog is empty
    MORE = auto()  # more connections may be waiting
    NO_ROOM = auto()  # connections may be waiting, and none can be taken for now


class Acceptor:
    """A listening socket, and whether the event loop watches it."""

    def __init__(
        self,
        listener: socket.socket,
        on_connection: Callable[[socket.socket, float | None], None],
        has_room: Callable[[], bool],
        make_room: Callable[[], bool],
        backlog_since: float,
    ) -> None:
        """All times are monotonic seconds.

        `on_connection` is called with each connection and the time since when it may have waited in the
        backlog (None: it has not). `has_room`: whether one more connection may be open. `make_room` closes
        one and returns whether it could. `backlog_since`: since when connections may be waiting already.
        """
        self._listener = listener
        self._on_connection = on_connection
        self._has_room = has_room
        self._make_room = make_room
        self._is_listening = False
        self._backlog_since: float | None = backlog_since  # None: the backlog is empty
        self.last_accept_at = 0.0

    @property
    def address(self) -> Address:
        host, port, *_ = self._listener.getsockname()
        return host, port

    def listen(self) -> None:
        """Accepts connections as they arrive, until `pause` or `stop`."""
        if not self._is_listening and self._listener.fileno() >= 0:
            self._is_listening = True
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listener, self.accept_batch)
            loop.call_soon(self._accept_waiting)

    def _accept_waiting(self) -> None:
        """Accepts waiting connections; finding none shows that later ones have not waited."""
        if self._is_listening:
            self.accept_batch()

    def pause(self) -> None:
        """Leaves new connections in the backlog."""
        if self._is_listening:
            self._is_listening = False
            self._mark_backlog()
            asyncio.get_running_loop().remove_reader(self._listener)

    def stop(self) -> None:
        """Closes the socket; connections in the backlog are reset unless another process has it open."""
        self.pause()
        self._listener.close()

    async def empty_backlog(self, until: float, close_idle: Callable[[], None]) -> None:
        """Accepts all waiting connections: closing the socket resets those left, with requests already sent.

        `until`: how long to wait for room, monotonic seconds. `close_idle`: called while there is none.
        """
        while self._listener.fileno() >= 0:
            match self.accept_batch():
                case AcceptResult.ALL:
                    return
                case AcceptResult.MORE:
                    await asyncio.sleep(0)  # lets open connections proceed
                case AcceptResult.NO_ROOM if monotonic() >= until:
                    log.warning("connections are left in the backlog: the limit of connections is reached")
                    return
                case AcceptResult.NO_ROOM:
                    close_idle()
                    await asyncio.sleep(ACCEPT_RETRY_S)

    def _pause_for(self, seconds: float = NO_ROOM_PAUSE_S) -> AcceptResult:
        self.pause()
        asyncio.get_running_loop().call_later(seconds, self.listen)
        return AcceptResult.NO_ROOM

    def _mark_backlog(self) -> bool:
        """Notes that connections may be waiting; returns whether the backlog was empty until now."""
        if self._backlog_since is not None:
            return False
        self._backlog_since = monotonic()
        return True

    def accept_batch(self) -> AcceptResult:
        """Accepts one batch of waiting connections."""
        for _ in range(MAX_ACCEPT_BATCH):
            if not self._has_room() and not self._make_room():
                return self._pause_for()
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                match origin := accept_error_origin(error):
                    case ErrorOrigin.WOULD_BLOCK:
                        self._backlog_since = None
                        return AcceptResult.ALL
                    case ErrorOrigin.CONNECTION:
                        if self._mark_backlog():
                            log.info("a connection was lost before it was accepted: %s", error)
                        continue
                return self._accept_failed(error, origin)
            self.last_accept_at = monotonic()
            self._hand_over(sock)
        self._mark_backlog()
        return AcceptResult.MORE

    def _accept_failed(self, error: OSError, origin: ErrorOrigin) -> AcceptResult:
        """Handles an error that is not a connection's own; each period of errors is logged once."""
        if self._mark_backlog():
            if origin in LOCAL_ORIGINS:
                log.warning("no descriptor for a new connection: %s: %s", origin.value, error)
            else:
                log.error("accepting connections failed: %r", error)
        if origin is ErrorOrigin.PROCESS:
            self._make_room()  # if the whole host lacks resources, closing one connection would not help
        return self._pause_for(ACCEPT_RETRY_S)

    def _hand_over(self, sock: socket.socket) -> None:
        try:
            self._on_connection(sock, self._backlog_since)
        except OSError as error:  # it was lost in the meantime
            log.info("a connection was lost while it was being accepted: %s", error)
            sock.close()
