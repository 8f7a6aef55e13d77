"""Unread data in a client's socket, and how long it has been there.

Closing a connection while unread request bytes are in its socket loses the request. The time that a request
spent unread counts against its deadline: a connection waits in the backlog while accept fails or the limit of
connections is reached, and bytes wait in a socket whose reading is paused. Without this the deadline would
only count from the moment of reading.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios
from enum import Enum, auto
from time import monotonic

# A new socket buffers at least this much while it is not read (half of the default of tcp_rmem, less packet
# headers). Fewer unread bytes may be everything that was sent.
MIN_RECEIVE_BUFFER_BYTES = 60_000
MAX_RECEIVE_BUFFER_BYTES = 64 << 20  # more than the usual limit of a receive buffer (tcp_rmem)
MIN_DELAY_S = 0.02  # a shorter time between arrival and reading is not counted
SAME_TURN_S = 0.01  # between two reads in one turn of the event loop
FIRST_REQUEST_GRACE_S = 0.3  # time for the first request of a new connection before it may be closed

# `struct tcp_info` of linux/tcp.h: eight bytes, the first of which is the state, then 32-bit numbers.
# The tenth is the time in ms since data was last sent, the twelfth since data was last received; both start
# when the connection is established.
_STATE_AND_TIMES = struct.Struct("=B43xI4xI")
_TCP_ESTABLISHED = 1  # state in `struct tcp_info`; it changes when the peer closes or resets the connection


class UnreadData(Enum):
    """What the next read from a socket would return."""

    NOTHING = auto()
    BYTES = auto()
    END = auto()  # end of stream or an error


def peek(sock: socket.socket) -> UnreadData:
    """Returns what a socket holds, without consuming it."""
    try:
        return UnreadData.BYTES if sock.recv(1, socket.MSG_PEEK) else UnreadData.END
    except (BlockingIOError, InterruptedError):
        return UnreadData.NOTHING
    except OSError:
        return UnreadData.END


def has_peer_closed(sock: socket.socket) -> bool:
    """Returns whether the peer has closed its side, even if data is unread before that."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != _TCP_ESTABLISHED
    except OSError:
        return peek(sock) is UnreadData.END


def _socket_state(sock: socket.socket) -> tuple[int, int, int] | None:
    """Returns the state, and the ms since data was last sent and received; None if unknown."""
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _STATE_AND_TIMES.size)
        return _STATE_AND_TIMES.unpack(raw)
    except (OSError, struct.error):
        return None


def seconds_since_data(sock: socket.socket) -> tuple[float, float] | None:
    """Returns the seconds since data was last sent and since it was last received; None if unknown."""
    if (state := _socket_state(sock)) is None:
        return None
    return state[1] / 1000, state[2] / 1000


def unread_bytes(sock: socket.socket) -> int:
    """Returns the number of unread bytes in a socket, or the most that there may be if it is unknown.

    Unknown must not look like none: the client of an upload would be taken for one that still writes.
    """
    try:
        size = int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
    except OSError:
        size = 0
    if size or peek(sock) is not UnreadData.BYTES:
        return size
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    except OSError:
        return MAX_RECEIVE_BUFFER_BYTES


class ReadTimes:
    """When this process read connections, so that a delay is never longer than it was by its own clock.

    Reads that follow one another closely belong to one turn of the event loop. What they find has come after
    the read before that turn, or it would have been found then.
    """

    def __init__(self) -> None:
        self._latest = self._before_turn = 0.0  # monotonic seconds

    def max_delay_s(self, now: float) -> float:
        """Returns for how long bytes that are read now, in monotonic seconds, can have been unread."""
        if now > self._latest + SAME_TURN_S:
            self._before_turn = self._latest
        self._latest = now
        return now - self._before_turn


_read_times = ReadTimes()


class ReadDelay:
    """How long the bytes of a connection were unread. Times are monotonic seconds."""

    __slots__ = (
        "_begin_s",
        "_read_at",
        "_sock",
        "_unread_since",
        "has_peer_closed",
        "may_have_waited",
        "read_s",
    )

    def __init__(self, sock: socket.socket, unread_since: float | None) -> None:
        """`unread_since`: since when the socket may hold data; None: it is new."""
        self._sock = sock
        self._unread_since = unread_since
        self.may_have_waited = True  # the next bytes may have been unread for long
        self.read_s = 0.0  # of the bytes that are being parsed
        self._read_at = 0.0  # when they were read
        self.has_peer_closed = False  # when they were read
        self._begin_s = 0.0  # of the first bytes of the request being received

    def bytes_read(self, size: int, has_responded: bool) -> None:
        """`size` bytes were read; `has_responded`: whether anything was sent over the connection before."""
        self._read_at = monotonic()
        state, _, received_ms = _socket_state(self._sock) or (_TCP_ESTABLISHED, 0, 0)
        max_s = _read_times.max_delay_s(self._read_at)
        self.has_peer_closed = state != _TCP_ESTABLISHED
        if self._unread_since is not None:
            self.read_s = time_unread_s(self._sock, self._unread_since, size, has_responded)
        elif received_ms >= MIN_DELAY_S * 1000:  # the process may have been busy
            self.read_s = min(received_ms / 1000, max_s)
        else:
            self.read_s = 0.0

    def parsed_later(self) -> None:
        """Bytes are parsed that were read in an earlier turn of the loop."""
        now = monotonic()
        self.read_s += now - self._read_at
        self._read_at, self.may_have_waited = now, True

    def request_begun(self) -> None:
        """The bytes that were read last begin a request."""
        self._begin_s = self.read_s

    @property
    def request_s(self) -> float:
        """How long the request was unread; later bytes of it may only arrive as it is read."""
        return max(self._begin_s, self.read_s)

    def bytes_parsed(self, more_unread: bool, is_between_requests: bool) -> None:
        """`more_unread`: the socket may hold more bytes of the same age."""
        self.may_have_waited = self.may_have_waited and more_unread
        if not self.may_have_waited and is_between_requests:  # the rest of a request may be unread
            self._unread_since = None

    def reading_resumed(self, paused_at: float) -> None:
        """Reading was paused, so that bytes may have waited since then."""
        self.may_have_waited, self._unread_since = True, paused_at


def time_unread_s(sock: socket.socket, since: float, size: int, has_responded: bool) -> float:
    """Returns how long the bytes that were just read may have been in the socket, in seconds.

    `since`: since when the socket may not have been read, monotonic seconds.
    `size`: the number of bytes read. `has_responded`: whether anything was sent over the connection before.
    If one read returned several requests, the time is that of the last one.
    """
    max_s = monotonic() - since
    ages = seconds_since_data(sock)
    if ages is None:
        return max_s
    sent_s, received_s = ages
    if size + unread_bytes(sock) < MIN_RECEIVE_BUFFER_BYTES:
        return min(max_s, received_s)
    # The sender may have been blocked by flow control since: the last bytes were sent as room
    # became available, or as window probes.
    age_s = max_s if has_responded else sent_s
    return min(max_s, age_s)
