"""A listening socket for links: each connection that comes is accepted, and given a protocol of its own."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from time import monotonic

from basaltpoint.system.accepting import Acceptor
from basaltpoint.system.pending_connections import PendingConnections


class LinkListener:
    """Takes connections until it is closed; those that were taken live on."""

    def __init__(
        self, sock: socket.socket, make: Callable[[], asyncio.Protocol], context: ssl.SSLContext | None
    ) -> None:
        """`make`: the protocol of a new connection. `context`: of TLS, where links speak it."""
        self._make = make
        self._joining = PendingConnections(context)
        self._acceptor = Acceptor(sock, self._adopt, lambda: True, lambda: False, monotonic())
        self._acceptor.listen()

    def _adopt(self, sock: socket.socket, unread_since: float | None) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._joining.attach(sock, self._make(), lambda: None)

    def close(self) -> None:
        """Listen no more."""
        self._acceptor.stop()
