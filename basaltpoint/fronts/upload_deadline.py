"""The deadline of a request whose body is still on its way to a server.

A client waits for its response from the last byte of its request on, wherever that byte is by then. While
the server takes the body slowly, or not at all, this process does not read, and the last byte may lie unread
in the limiter's kernel, or in that of the client, which holds some megabytes more. So the client may be
waiting since the latest moment at which its request was certainly not complete.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import NamedTuple

from basaltpoint.fronts.shell import response_due_ms
from basaltpoint.fronts.unread import seconds_since_data, unread_bytes
from basaltpoint.telemetry import trace
from basaltpoint.upstream.servers import TIMER_RESOLUTION_S

# What a client's kernel may hold that has not arrived here: the usual limit of a send buffer (tcp_wmem).
MAX_CLIENT_SEND_BUFFER_BYTES = 4 << 20
ARRIVAL_SAMPLE_BYTES = 256 << 10  # between two samples of what has arrived
REFILL_S = 0.1  # within which the client's kernel sends on what it held, once there is room again


class BodyArrival(NamedTuple):
    """How far a body has come to this machine."""

    read_bytes: int
    unread_bytes: int  # in the socket, or read and not parsed
    idle_s: float  # since the latest bytes arrived, seconds


def body_arrival(sock: socket.socket, read_bytes: int, unparsed_bytes: int) -> BodyArrival:
    """Returns how far a body has come; `unparsed_bytes`: read in addition to `read_bytes`, and not parsed."""
    ages = seconds_since_data(sock)
    return BodyArrival(read_bytes, unread_bytes(sock) + unparsed_bytes, ages[1] if ages else 0.0)


class UploadProgress:
    """Since when the client of a body may have sent all of it. Times are monotonic seconds."""

    def __init__(self, now: float, length: int | None) -> None:
        """`length`: of the body in bytes; None if it is chunked."""
        self._length = length
        self.waiting_since = now  # the request was not complete before that
        self._is_backlogged = False  # the client's kernel may hold what it could not send
        self._reading_since = now  # without a pause; infinite during one
        self._samples: deque[tuple[float, int]] = deque()  # time, and bytes that had arrived by then

    def reading_paused(self) -> None:
        """From now on what comes stays unread."""
        self._reading_since = math.inf

    def reading_resumed(self, now: float) -> None:
        """From now on what comes is read at once."""
        self._reading_since = now

    def update(self, now: float, arrival: BodyArrival) -> None:
        """Takes into account how far the body has come, at the begin of a pause, within it and at its end.

        While something is unread there may be no room for more, however little it is: small packets fill a
        buffer with few bytes, and a sender waits until half of the window is free (RFC 9293, 3.8.6.2.1).
        """
        if arrival.unread_bytes:
            self._is_backlogged = True
            self._update_backlog(now, arrival.read_bytes + arrival.unread_bytes)
        elif arrival.idle_s > REFILL_S or not self._is_backlogged:
            self._is_backlogged = False
            self._samples.clear()
            self.waiting_since = now

    def all_read(self, now: float, came_at: float) -> None:
        """A read has emptied the socket; `came_at`: when the latest bytes came."""
        if not self._is_backlogged or now > self._reading_since + REFILL_S:
            self._is_backlogged = False
            self.waiting_since = max(self.waiting_since, came_at)

    def body_read(self, came_at: float) -> None:
        """The body was read to its end; `came_at`: when its last byte came."""
        if not self._is_backlogged:
            self.waiting_since = max(self.waiting_since, came_at)

    def _update_backlog(self, now: float, arrived_bytes: int) -> None:
        """The client had not sent all while more was missing than its kernel can hold."""
        if not self._samples or arrived_bytes >= self._samples[-1][1] + ARRIVAL_SAMPLE_BYTES:
            self._samples.append((now, arrived_bytes))
        least_length = arrived_bytes + 1 if self._length is None else self._length
        while self._samples and self._samples[0][1] + MAX_CLIENT_SEND_BUFFER_BYTES < least_length:
            self.waiting_since = max(self.waiting_since, self._samples.popleft()[0])


class UploadDeadline:
    """Calls back once the client of an upload may have waited for as long as it will."""

    def __init__(
        self,
        length: int | None,
        wait_ms: float,
        arrival: Callable[[], BodyArrival],
        on_expired: Callable[[], None],
    ) -> None:
        """`length`: of the body in bytes; None if it is chunked. `wait_ms`: for the response."""
        self._progress = UploadProgress(monotonic(), length)
        self._wait_s = response_due_ms(wait_ms) / 1000
        self._arrival = arrival
        self._on_expired = on_expired
        self._is_body_read = False
        self._is_paused = False
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting_since(self) -> float:
        """Since when the client may be waiting, monotonic seconds."""
        return self._progress.waiting_since

    def start(self) -> None:
        """The body is being sent to a server: from now on no other deadline applies."""
        self.cancel()
        delay_s = self._progress.waiting_since + self._wait_s - monotonic()
        self._timer = asyncio.get_running_loop().call_later(max(0.0, delay_s) + TIMER_RESOLUTION_S, self._due)

    def cancel(self) -> None:
        """The body was sent, or its attempt has ended."""
        if self._timer:
            self._timer.cancel()

    def reading(self, is_paused: bool) -> None:
        """Whether the body is being read, or the server takes no more for now."""
        if is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        self._update()
        if is_paused:
            self._progress.reading_paused()
        else:
            self._progress.reading_resumed(monotonic())

    def _update(self) -> None:
        if not self._is_body_read:
            self._progress.update(monotonic(), self._arrival())

    def bytes_read(self, is_all: bool, came_at: float) -> None:
        """Part of the body was read; `is_all`: certainly all that the socket held.

        `came_at`: when these bytes came, monotonic seconds.
        """
        now = monotonic()
        if not is_all and now > self._progress.waiting_since + REFILL_S:
            is_all = not self._arrival().unread_bytes
        if is_all:
            self._progress.all_read(now, came_at)

    def body_read(self, came_at: float) -> None:
        """The body was read to its end; `came_at`: when its last byte came, monotonic seconds."""
        self._is_body_read = True
        self._progress.body_read(came_at)

    def _due(self) -> None:
        self._update()
        if trace.enabled:
            trace.event("an upload, read to its end: %s, %s", self._is_body_read, self._arrival())
        if self._progress.waiting_since + self._wait_s <= monotonic():
            self._on_expired()
        else:
            self.start()
