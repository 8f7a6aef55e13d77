"""Accepted sockets on their way into the loop; what is not held here the loop may forget half way."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from collections.abc import Callable

log = logging.getLogger(__name__)


class PendingConnections:
    """Connections that were accepted and have not met their protocol yet."""

    def __init__(self, context: ssl.SSLContext | None = None) -> None:
        """`context`: of TLS, where the connections speak it."""
        self._context = context
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def attach(self, sock: socket.socket, protocol: asyncio.Protocol, on_broken: Callable[[], None]) -> None:
        """Put a protocol on a socket; `on_broken` hears where it broke before that."""
        task = asyncio.get_running_loop().create_task(self._join(sock, protocol, on_broken))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(
        self, sock: socket.socket, protocol: asyncio.Protocol, on_broken: Callable[[], None]
    ) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: protocol, sock, ssl=self._context
            )
        except OSError as error:  # those of TLS and a handshake that takes too long are such, too
            log.warning("a connection broke at its start: %s", error)
            sock.close()
            on_broken()
