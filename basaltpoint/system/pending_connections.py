"""Accepted sockets until they have a protocol; the references here keep the tasks from being collected."""

from __future__ import annotations

import asyncio
import logging
import socket
import ssl
from collections.abc import Callable

log = logging.getLogger(__name__)


class PendingConnections:
    """Connections that were accepted and have no protocol yet."""

    def __init__(self, context: ssl.SSLContext | None = None) -> None:
        """`context`: TLS settings, if the connections use TLS."""
        self._context = context
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def attach(
        self, sock: socket.socket, protocol: asyncio.BaseProtocol, on_broken: Callable[[], None]
    ) -> None:
        """Attaches a protocol to a socket; `on_broken` is called if the connection is lost before that."""
        task = asyncio.get_running_loop().create_task(self._join(sock, protocol, on_broken))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _join(
        self, sock: socket.socket, protocol: asyncio.BaseProtocol, on_broken: Callable[[], None]
    ) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: protocol, sock, ssl=self._context
            )
        except OSError as error:  # TLS errors and handshake time-outs included
            log.warning("a connection was lost during its setup: %s", error)
            sock.close()
            on_broken()
