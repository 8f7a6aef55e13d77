"""A listening socket for links, which creates a protocol instance for each accepted connection."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable
from time import monotonic

from basaltpoint.system.accepting import Acceptor
from basaltpoint.system.pending_connections import PendingConnections


class LinkListener:
    """Accepts connections until it is closed; accepted connections stay open afterwards."""

    def __init__(
        self,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.Protocol],
        tls_context: ssl.SSLContext | None,
    ) -> None:
        """`protocol_factory` creates the protocol of a new connection; `tls_context` is None without TLS."""
        self._protocol_factory = protocol_factory
        self._pending_connections = PendingConnections(tls_context)
        self._acceptor = Acceptor(sock, self._accept, lambda: True, lambda: False, monotonic())
        self._acceptor.listen()

    def _accept(self, sock: socket.socket, unread_since: float | None) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pending_connections.attach(sock, self._protocol_factory(), lambda: None)

    def close(self) -> None:
        """Stops listening."""
        self._acceptor.stop()
