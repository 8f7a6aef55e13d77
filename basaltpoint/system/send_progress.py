"""Whether the peer of a TCP connection still takes what was sent to it.

The event loop reports a connection as writable again only once about a third of the kernel's send buffer,
which holds up to some megabytes, is free. A peer that reads slowly but without a pause needs many seconds for
that. What it has taken shows earlier in the bytes that its kernel has acknowledged (`struct tcp_info`).

Acknowledgements, too, come in steps: a receiver whose buffer was full need not announce that it has read
something before half of its buffer is free (RFC 9293, 3.8.6.2.2). During this time a peer that reads can't be
told from one that has stopped.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios
from typing import NamedTuple

# Slower peers count as stopped. Half of the lowest rate that peers may read and write at on the platform.
MIN_PEER_BYTES_PER_S = 32_000
# `struct tcp_info` of linux/tcp.h: at 6 the window scales (the peer's in the low bits), at 120 the bytes that
# the peer has acknowledged, at 144 the bytes that were not sent yet.
_TCP_INFO = struct.Struct("=6xB113xQ16xI")
_SEND_WINDOW_SCALE_MASK = 0x0F
_MAX_UNSCALED_WINDOW = 65535  # bytes; the scale multiplies it


class SendState(NamedTuple):
    """The sending side of a connection; all values in bytes."""

    acknowledged: int  # since the connection was established
    unsent: int  # in the kernel, because the peer's window or the congestion window is full
    max_window: int  # the largest receive window that the peer can announce


def send_state(sock: socket.socket) -> SendState | None:
    """Returns the state of a connection's sending side; None if the kernel does not tell it."""
    try:
        scales, acknowledged, unsent = _TCP_INFO.unpack(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        )
    except (OSError, struct.error):
        return None
    return SendState(acknowledged, unsent, _MAX_UNSCALED_WINDOW << (scales & _SEND_WINDOW_SCALE_MASK))


def has_unsent_data(sock: socket.socket) -> bool:
    """Returns whether the kernel holds data that the peer has had no room for; False if unknown."""
    state = send_state(sock)
    return state is not None and state.unsent > 0


def undelivered_bytes(sock: socket.socket) -> int:
    """Returns how many bytes in the kernel the peer has not acknowledged; 0 if unknown."""
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except (OSError, ValueError):
        return 0


class SendProgress:
    """What the peer of a connection has acknowledged since sending to it was blocked."""

    __slots__ = ("_acknowledged", "_max_window", "_progressed_at", "_sock")

    def __init__(self, sock: socket.socket, now: float) -> None:
        """`now`: when sending was blocked, monotonic seconds, as all times here."""
        self._sock = sock
        self._progressed_at = now
        self._acknowledged: int | None = None
        self._max_window = 0

    def seconds_without_progress(self, now: float) -> float:
        """Returns for how long the peer has acknowledged nothing, as far as earlier calls could see.

        Where the kernel doesn't tell, that is the whole time since sending was blocked.
        """
        if (state := send_state(self._sock)) is not None:
            if self._acknowledged != state.acknowledged:
                self._progressed_at = now
            self._acknowledged, self._max_window = state.acknowledged, state.max_window
        return now - self._progressed_at

    @property
    def max_silent_read_s(self) -> float:
        """The longest time for which the peer may read before its kernel has to announce it, in seconds.

        The peer has at most half of its receive buffer to read, and no more than it has received.
        """
        return min(self._acknowledged or 0, self._max_window // 2) / MIN_PEER_BYTES_PER_S

    def has_reader_stopped(self, now: float, timeout_s: float) -> bool:
        """Returns whether the peer has stopped reading, however large its receive buffer is.

        `timeout_s`: for acknowledgements once the peer's kernel has room for more data.
        """
        silent_s = self.seconds_without_progress(now)
        return silent_s > timeout_s + self.max_silent_read_s

    def describe(self, now: float) -> str:
        """Describes the progress for the log."""
        acknowledged = "an unknown number of" if self._acknowledged is None else f"{self._acknowledged}"
        return (
            f"nothing was acknowledged for {now - self._progressed_at:.1f} s after {acknowledged} bytes, "
            f"{undelivered_bytes(self._sock)} bytes are undelivered"
        )
