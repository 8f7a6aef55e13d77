"""What lies unread in a client's socket, and for how long.

A connection that is closed over bytes of a request drops it. Time that a request lay there is its client's:
a connection waits in the backlog while accept fails or there is no room, and bytes wait in a socket that is
not read for now. The clock of a request's deadline would otherwise begin only with its reading.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios
from enum import Enum, auto
from time import monotonic

# Bytes that a new socket takes at least while nobody reads it (half of the default of tcp_rmem, less heads of
# packets). What lies there up to this may be all that was sent.
MIN_RECEIVE_BUFFER_BYTES = 60_000
FIRST_REQUEST_GRACE_S = 0.3  # what a new connection gets for its first request before it may be closed

# `struct tcp_info` of linux/tcp.h: eight bytes, then 32-bit numbers. The tenth says how many milliseconds ago
# data was last sent, the twelfth how many ago data last came in; both begin as the connection comes up.
_TIMES = struct.Struct("=44xI4xI")


class UnreadData(Enum):
    """What is read next from a socket."""

    NOTHING = auto()
    BYTES = auto()
    END = auto()  # its other side has gone


def peek(sock: socket.socket) -> UnreadData:
    """What lies in a socket, without taking it."""
    try:
        return UnreadData.BYTES if sock.recv(1, socket.MSG_PEEK) else UnreadData.END
    except (BlockingIOError, InterruptedError):
        return UnreadData.NOTHING
    except OSError:
        return UnreadData.END


def seconds_since_data(sock: socket.socket) -> tuple[float, float] | None:
    """Seconds since data was last sent, and since it last came in; None where the system does not tell."""
    try:
        sent, received = _TIMES.unpack(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TIMES.size))
        return sent / 1000, received / 1000
    except (OSError, struct.error):
        return None


def unread_bytes(sock: socket.socket) -> int:
    """How many bytes lie in a socket; 0 where the system does not tell."""
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
    except OSError:
        return 0


def time_unread_s(sock: socket.socket, since: float, size: int, has_responded: bool) -> float:
    """How long what was just read may have lain there, in seconds.

    `since`: since when the socket may not have been looked at, monotonic seconds.
    `size`: how many bytes were read. `answered`: whether anything was sent over the connection before.
    Of several requests in one read it is the last one's time.
    """
    longest = monotonic() - since
    moved = seconds_since_data(sock)
    if moved is None:
        return longest
    sent_s, received_s = moved
    if size + unread_bytes(sock) < MIN_RECEIVE_BUFFER_BYTES:
        return min(longest, received_s)
    # Its sender may have been held up since; the last bytes came as there was room, or as probes for it.
    age_s = longest if has_responded else sent_s
    return min(longest, age_s)
