"""Connecting a socket, also if connect(2) is interrupted or fails before the connection is started."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any


async def connect(sock: socket.socket, address: Any) -> None:
    """Connects a non-blocking socket. Raises OSError with the cause, EINTR if the call started nothing.

    The event loop takes EINTR and EAGAIN for a connection in progress, as connect(2) specifies for EINTR; a
    socket that was never connected then looks connected.
    """
    await asyncio.get_running_loop().sock_connect(sock, address)
    try:
        sock.getpeername()
    except OSError:
        cause = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or errno.EINTR
        raise OSError(cause, os.strerror(cause)) from None
