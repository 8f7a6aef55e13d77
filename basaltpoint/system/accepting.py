"""Accepting connections: in portions, with rests where there is no room, whatever the call says."""

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

MAX_BACKLOG = 4096  # net.core.somaxconn of Linux: no more wait at a time
MAX_ACCEPT_BATCH = 64  # connections taken at a time, so that those that are open get their turn
NO_ROOM_PAUSE_S = 0.05  # where there is no room for more; a busy loop over them would help nobody
ACCEPT_RETRY_S = 0.01  # where the call itself fails: what lies in the backlog loses its clients' time


class AcceptResult(Enum):
    """How a portion ended."""

    ALL = auto()  # nothing waits any more
    MORE = auto()  # more may wait
    NO_ROOM = auto()  # what waits is left there for now


class Acceptor:
    """A listening socket and the loop's interest in it."""

    def __init__(
        self,
        listener: socket.socket,
        on_connection: Callable[[socket.socket, float | None], None],
        has_room: Callable[[], bool],
        make_room: Callable[[], bool],
        backlog_since: float,
    ) -> None:
        """`adopt` takes each connection, with the time since when it may have lain in the backlog (None: it
        has not); `has_room`: whether one more may be open; `make_room` ends one; `behind_since`: since when
        connections may lie in the backlog by now, monotonic seconds."""
        self._listener = listener
        self._on_connection = on_connection
        self._has_room = has_room
        self._make_room = make_room
        self._is_listening = False
        self._backlog_since: float | None = backlog_since  # None where nothing lies in the backlog
        self.last_accept_at = 0.0  # when a connection was taken, monotonic seconds

    @property
    def address(self) -> Address:
        host, port, *_ = self._listener.getsockname()
        return host, port

    def listen(self) -> None:
        """Take connections as they come."""
        if not self._is_listening and self._listener.fileno() >= 0:
            self._is_listening = True
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listener, self.accept_batch)
            loop.call_soon(self._accept_waiting)

    def _accept_waiting(self) -> None:
        """Take what has waited until now; where there is nothing, the next ones will not have waited."""
        if self._is_listening:
            self.accept_batch()

    def pause(self) -> None:
        """Leave connections in the backlog."""
        if self._is_listening:
            self._is_listening = False
            self._mark_backlog()
            asyncio.get_running_loop().remove_reader(self._listener)

    def stop(self) -> None:
        """Listen no more; what waits in the backlog is reset, unless others hold the socket, too."""
        self.pause()
        self._listener.close()

    def accept_all(self) -> None:
        """Take what waits by now, as far as there is room: what is left there is reset with the socket."""
        if self._listener.fileno() < 0:
            return
        for _ in range(MAX_BACKLOG // MAX_ACCEPT_BATCH):
            if self.accept_batch() is not AcceptResult.MORE:
                return

    def _pause_for(self, seconds: float = NO_ROOM_PAUSE_S) -> AcceptResult:
        self.pause()
        asyncio.get_running_loop().call_later(seconds, self.listen)
        return AcceptResult.NO_ROOM

    def _mark_backlog(self) -> bool:
        """Whether connections may lie in the backlog from now on only."""
        if self._backlog_since is not None:
            return False
        self._backlog_since = monotonic()
        return True

    def accept_batch(self) -> AcceptResult:
        """Take a portion of what waits."""
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
                            log.info("a connection broke before it was accepted: %s", error)
                        continue
                return self._accept_failed(error, origin)
            self.last_accept_at = monotonic()
            self._hand_over(sock)
        self._mark_backlog()
        return AcceptResult.MORE

    def _accept_failed(self, error: OSError, origin: ErrorOrigin) -> AcceptResult:
        """Nothing can be accepted now, and not for a fault of a connection; each span is logged once."""
        if self._mark_backlog():
            if origin in LOCAL_ORIGINS:
                log.warning("no descriptor for a new connection: %s: %s", origin.value, error)
            else:
                log.error("accepting failed: %r", error)
        if origin is ErrorOrigin.PROCESS:
            self._make_room()  # where the whole machine lacks room, one of ours makes no difference
        return self._pause_for(ACCEPT_RETRY_S)

    def _hand_over(self, sock: socket.socket) -> None:
        try:
            self._on_connection(sock, self._backlog_since)
        except OSError as error:  # it broke in the meantime
            log.info("a connection broke as it was taken: %s", error)
            sock.close()
