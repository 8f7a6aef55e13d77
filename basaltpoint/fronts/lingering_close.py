"""Closes a client's connection after its last response, without losing any of it.

A connection that is closed while data is unread, or before the client's system has acknowledged the response
and more data arrives, is reset, and the client loses what it has not read (RFC 9112, 9.6). So the sending
side is closed first, the owner goes on reading and discarding, and the connection ends some time after
everything was acknowledged.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from time import monotonic

from basaltpoint.system.send_progress import SendProgress, has_unsent_data, undelivered_bytes

log = logging.getLogger(__name__)


def has_unsent_response(transport: asyncio.Transport, sock: socket.socket) -> bool:
    """Returns whether part of a response waits, here or in the kernel, until the client has room for it."""
    return transport.get_write_buffer_size() > 0 or has_unsent_data(sock)


def close_when_delivered(
    transport: asyncio.Transport, sock: socket.socket, linger_s: float, timeout_s: float
) -> None:
    """Closes the sending side now, and the connection `linger_s` after the client acknowledged everything.

    The owner has to read and discard what the client still sends. `timeout_s`: how long a client may take
    nothing of its response, besides what its system need not announce.
    """
    if transport.can_write_eof():
        transport.write_eof()
    _Lingering(transport, sock, linger_s, timeout_s).check()


class _Lingering:
    """A connection whose last response is being delivered."""

    def __init__(
        self, transport: asyncio.Transport, sock: socket.socket, linger_s: float, timeout_s: float
    ) -> None:
        self._transport = transport
        self._sock = sock
        self._linger_s = linger_s
        self._timeout_s = timeout_s
        self._progress = SendProgress(sock, monotonic())

    def check(self) -> None:
        """Looks whether the response was delivered, until it was or the client has stopped reading."""
        if self._transport.is_closing():
            return
        then = self.check
        if not self._transport.get_write_buffer_size() and not undelivered_bytes(self._sock):
            then = self._transport.abort
        elif self._progress.has_reader_stopped(now := monotonic(), self._timeout_s):
            log.warning("a client does not read its last response: %s", self._progress.describe(now))
            then = self._transport.abort
        asyncio.get_running_loop().call_later(self._linger_s, then)
