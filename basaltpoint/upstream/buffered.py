"""Attempts of the platform's front: a response is buffered until complete, or streamed if it is too large."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import socket
from collections.abc import Callable
from typing import Protocol

from basaltpoint.interface import Status
from basaltpoint.policy.send_rules import MAX_STALL_S
from basaltpoint.upstream.servers import AttemptResult, ServerConnections, UpstreamServer
from basaltpoint.upstream.streams import Headers, ResponseReceiver, StreamAttempt, StreamConnection

log = logging.getLogger(__name__)

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a buffered response can still be replaced by that of a retry
MAX_BODY_BYTES = 64 << 20  # twice the largest body that the later pages of the platform's protocol specify
MAX_HEAD_BYTES = 16 * 1024
DECIMAL_NUMBER = re.compile(rb"[0-9]{1,5}(\.[0-9]{1,6})?")
MIN_SERVER_BYTES_PER_S = 64_000  # lowest rate at which servers may write
# Longest pause of a server within a short response: it has at least two pieces, or it would be complete.
MAX_PAUSE_S = MAX_BUFFERED_BODY_BYTES / 2 / MIN_SERVER_BYTES_PER_S
# A buffered response that stalls for longer is rejected.
PARTIAL_RESPONSE_TIMEOUT_S = MAX_PAUSE_S + MAX_STALL_S
UNKNOWN_LENGTH_DELAY_S = 0.1  # a response without a length is streamed after this time,
UNKNOWN_LENGTH_BYTES = 4096  # once this much of its body has arrived,
STREAM_MARGIN_S = 0.01  # and at the latest so long before the attempt's time limit
# A response that may be a short one is due by its client's time; up to 0.5 s later it is not lost.
SILENCE_GRACE_S = 0.3


def _parse_usage(raw: bytes) -> int | None:
    """The metered use in percent; None if the header is absent, malformed or beyond the meter's range."""
    return round(float(raw)) if DECIMAL_NUMBER.fullmatch(raw) else None


def _parse_units(raw: bytes) -> float:
    """The request's true cost in units; 0 if the header is absent or malformed."""
    return float(raw) if DECIMAL_NUMBER.fullmatch(raw) else 0.0


def platform_connection(
    servers: ServerConnections, server: UpstreamServer, sock: socket.socket
) -> StreamConnection:
    """A connection to a server of the platform; it has no write buffer, so that the write time is exact."""
    return StreamConnection(servers, server, sock, MAX_HEAD_BYTES, 0)


class StreamTarget(Protocol):
    """Receives a response that is too large to be buffered, and sends the rest of a large request."""

    def start_response(self, content_type: bytes, length: int | None) -> bool:
        """Streaming of the response starts; False if the client no longer waits for it."""

    def response_data(self, data: bytes) -> None:
        """More of the response body; its end is reported as the end of the attempt."""

    def connected(self, stream: StreamConnection) -> None:
        """The request head was written; the rest of the body may be sent, if there is any."""

    def writable(self, ready: bool) -> None:
        """Whether more of the request's body may be written now."""

    def is_wanted(self, waited_s: float) -> bool:
        """Whether the client still waits, after `waited_s` seconds for a connection."""

    def current_message(self) -> bytes:
        """The request as it would be sent to a server now."""

    @property
    def client_deadline(self) -> float:
        """Until when the client waits, monotonic seconds; infinite while its request is incomplete."""

    @property
    def process_deadline(self) -> float:
        """When all responses have to be complete, because the process ends, monotonic seconds."""


class BufferedAttempt(StreamAttempt):
    """One message to one server; it is its own receiver.

    A response of up to `MAX_BUFFERED_BODY_BYTES` is buffered until it is complete, so that a truncated one is
    recognized and a retry can follow. A larger one is streamed: the client waits for its first bytes, and
    buffering it would take memory that other requests need. Without `target` it is rejected.

    One that does not state its length may be large while nothing of its body has come: it is streamed before
    the attempt's time limit would end it. From its client's time on it must not fall silent, until it has
    turned out to be large.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_code",
        "_headers",
        "_is_streaming",
        "_length",
        "_partial_timer",
        "_target",
        "_unknown_length_timer",
    )

    def __init__(
        self,
        message: bytes,
        end_by: float,
        on_end: Callable[[AttemptResult], None],
        on_written: Callable[[], None] | None = None,
        target: StreamTarget | None = None,
        write_by: float = math.inf,
    ) -> None:
        super().__init__(message, end_by, on_end, None, False, on_written, write_by)
        self._target = target
        self._headers: dict[bytes, bytes] = {}
        self._code = 0
        self._length: int | None = None
        self._body = bytearray()
        self._body_bytes = 0
        self._is_streaming = False
        self._partial_timer: asyncio.TimerHandle | None = None  # runs while a response is incomplete
        self._unknown_length_timer: asyncio.TimerHandle | None = None

    @property
    def receiver(self) -> ResponseReceiver:
        """The attempt itself; not a reference, which only the garbage collector would free."""
        return self

    def refresh_message(self, waited_s: float) -> bool:
        if self._target is None:
            return True
        if not self._target.is_wanted(waited_s):
            return False
        self.message = self._target.current_message()
        return True

    # --- Calls of the connection ---------------------------------------------------------------
    def partial_response_received(self) -> None:
        """Part of a response was received: more must follow within PARTIAL_RESPONSE_TIMEOUT_S."""
        if not self._is_streaming:
            if self._partial_timer:
                self._partial_timer.cancel()
            self._partial_timer = asyncio.get_running_loop().call_later(
                PARTIAL_RESPONSE_TIMEOUT_S, self._partial_response_stalled
            )

    def _partial_response_stalled(self) -> None:
        """Rejects the response, so that a retry may follow; a body that has not begun may be a large one."""
        if self._body_bytes or not self._may_be_large:
            self._reject_response("incomplete response timed out")

    def connected(self, stream: StreamConnection) -> None:
        if self._target:
            self._target.connected(stream)

    def writable(self, ready: bool) -> None:
        if self._target:
            self._target.writable(ready)

    def interim(self, code: int, headers: Headers) -> None:
        self._cancel_timers()  # an interim response does not tell when the final one starts

    def head(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        self._code, self._headers, self._length = code, dict(headers), length
        if length is not None and length > (MAX_BODY_BYTES if self._target else MAX_BUFFERED_BODY_BYTES):
            self._reject_response("response too large")
        elif length is not None and length > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()
        elif length is None and self._target:
            self._schedule_length_check()

    def data(self, piece: bytes) -> None:
        self._body_bytes += len(piece)
        if self._is_streaming and self._target:
            if self._body_bytes > MAX_BODY_BYTES:
                self._reject_response("response too large")
            else:
                self._target.response_data(piece)
            return
        self._body += piece
        if self._body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()

    def completed(self, trailers: Headers) -> None:
        self._cancel_timers()

    def end(self, result: AttemptResult) -> None:
        """Ends the attempt; `result` is the connection's view, without the buffered response."""
        self._cancel_timers()
        if self._code and result.status is not Status.OK and not self.has_ended:
            log.info(
                "a response was given up, %s: status %d, length %s, %d body bytes received%s",
                result.status.value,
                self._code,
                self._length,
                self._body_bytes,
                ", forwarded" if self._is_streaming else "",
            )
        super().end(self._result() if result.status is Status.OK else result)

    # --- Streaming -------------------------------------------------------------------------------
    @property
    def _may_be_large(self) -> bool:
        """Whether this is a good response whose size is not known."""
        return self._target is not None and self._code == 200 and self._length is None

    def _schedule_length_check(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = min(loop.time() + UNKNOWN_LENGTH_DELAY_S, self.end_by - STREAM_MARGIN_S)
        self._unknown_length_timer = loop.call_at(due_at, self._check_unknown_length)

    def _check_unknown_length(self) -> None:
        if self._body_bytes >= UNKNOWN_LENGTH_BYTES:
            self._start_streaming()
        elif asyncio.get_running_loop().time() < self.end_by - STREAM_MARGIN_S:
            self._schedule_length_check()
        else:
            self.forward_at_limit()

    def forward_at_limit(self) -> bool:
        """Streams a response that may be large; one that the end of the process would cut off ends failed."""
        if not self._may_be_large or self._target is None or self.end_by >= self._target.process_deadline:
            return False
        self._start_streaming()
        return True

    def _start_streaming(self) -> None:
        if self.has_ended or self._is_streaming:
            return
        if self._target is None or self._code != 200:
            self._reject_response("response too large")
            return
        self._is_streaming = True
        self._cancel_timers()
        self.stop_timeout()
        if not self._target.start_response(self._headers.get(b"content-type", b""), self._length):
            self.cancel()
            return
        body, self._body = bytes(self._body), bytearray()
        if body:
            self._target.response_data(body)
        if self._length is None:
            self._schedule_silence_check(self._target.client_deadline + SILENCE_GRACE_S)

    def _schedule_silence_check(self, due_at: float) -> None:
        if due_at < math.inf:
            loop = asyncio.get_running_loop()
            self._unknown_length_timer = loop.call_at(due_at, self._check_silence)

    def _check_silence(self) -> None:
        """Ends a streamed response, which may be a short one, if its client's time is over and it stalls."""
        connection, now = self.connection, asyncio.get_running_loop().time()
        if self._body_bytes > MAX_BUFFERED_BODY_BYTES or not isinstance(connection, StreamConnection):
            return
        if connection.is_silent(now - MAX_PAUSE_S):
            self._reject_response("a response of unknown length has stalled")
        else:
            next_at = connection.last_received_at + MAX_PAUSE_S
            self._schedule_silence_check(next_at if next_at > now else now + MAX_PAUSE_S)

    def _result(self) -> AttemptResult:
        fields, declined = self._headers, self._headers.get(b"srv-declined") == b"1"
        if self._code == 200:
            status = Status.OK
        else:
            status = Status.FULL if declined and self._code in (503, 504) else Status.ERROR
        return AttemptResult(
            status,
            bytes(self._body),
            fields.get(b"content-type", b""),
            _parse_usage(fields.get(b"x-ratelimit-used", b"")),
            fields.get(b"srv-load", b""),
            _parse_units(fields.get(b"x-cost-units", b"")),
        )

    def _reject_response(self, reason: str) -> None:
        """Rejects an invalid response: the server is alive and may have executed the request."""
        if isinstance(self.connection, StreamConnection):
            self.connection.reject_response(reason)

    def _cancel_timers(self) -> None:
        for timer in (self._partial_timer, self._unknown_length_timer):
            if timer:
                timer.cancel()
        self._partial_timer = self._unknown_length_timer = None
