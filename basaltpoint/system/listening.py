"""Listening sockets: opened at once, or as soon as the address is free and the host has resources."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time

from basaltpoint.system.errors import is_transient

log = logging.getLogger(__name__)

MAX_LISTEN_WAIT_S = 5.0  # the kernel may take seconds to tear down a killed process with much memory
LISTEN_RETRY_S = 0.005


def open_listener(address: tuple[str, int], backlog: int) -> socket.socket:
    """A non-blocking socket that listens at the address; raises OSError if it can't be bound."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.create_server(address, family=family, backlog=backlog)
    sock.setblocking(False)
    return sock


async def open_listener_when_free(
    address: tuple[str, int], backlog: int, within_s: float = MAX_LISTEN_WAIT_S
) -> socket.socket:
    """Like `open_listener`, but retries transient errors for `within_s` seconds.

    The host may lack descriptors or memory for a moment. And the kernel closes the descriptors of a killed
    process one after the other, in no guaranteed order: its successor may learn from one of them that it has
    ended while another one still listens.
    """
    end_s = time.monotonic() + within_s
    logged = False
    while True:
        try:
            return open_listener(address, backlog)
        except OSError as error:
            is_retryable = error.errno == errno.EADDRINUSE or is_transient(error)
            if not is_retryable or time.monotonic() >= end_s:
                raise
            if not logged:
                log.warning("%s:%d: %s; retrying for up to %.1f s", *address, error, within_s)
                logged = True
        await asyncio.sleep(LISTEN_RETRY_S)
