"""The platform's attempts: an answer is held until it is whole, or passed on where it is too long."""

from __future__ import annotations

import asyncio
import logging
import math
import re
import socket
from collections.abc import Callable
from typing import Protocol

from basaltpoint.interface import Status
from basaltpoint.upstream.servers import AttemptResult, ServerConnections, UpstreamServer
from basaltpoint.upstream.streams import Headers, StreamAttempt, StreamConnection

log = logging.getLogger(__name__)

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a buffered response can still be replaced by that of a retry
MAX_BODY_BYTES = 64 << 20  # bytes; twice the longest body that PROTOCOL's later pages name
MAX_HEAD_BYTES = 16 * 1024
DECIMAL_NUMBER = re.compile(rb"[0-9]{1,5}(\.[0-9]{1,6})?")
PARTIAL_RESPONSE_TIMEOUT_S = 0.25  # of silence within a held answer; one that stops short is spoilt
UNKNOWN_LENGTH_DELAY_S = 0.1  # a response without a length is streamed after this time,
UNKNOWN_LENGTH_BYTES = 4096  # once this much of its body has arrived


def _usage(raw: bytes) -> int | None:
    """The metered use in percent; what is no such number, or one beyond the meter's range, says nothing."""
    return round(float(raw)) if DECIMAL_NUMBER.fullmatch(raw) else None


def _units(raw: bytes) -> float:
    """The units that the request truly took; what is no number says nothing."""
    return float(raw) if DECIMAL_NUMBER.fullmatch(raw) else 0.0


def platform_connection(
    servers: ServerConnections, server: UpstreamServer, sock: socket.socket
) -> StreamConnection:
    """A connection to one of the platform's servers, exact about when a request's last byte was written."""
    return StreamConnection(servers, server, sock, MAX_HEAD_BYTES, 0)


class StreamTarget(Protocol):
    """Where an answer goes that is too long to be held, and where the rest of a long request comes from."""

    def start_response(self, content_type: bytes, length: int | None) -> bool:
        """The answer is passed on from here; False where nobody waits for it any more."""

    def response_data(self, data: bytes) -> None:
        """More of that answer's body; its end is told as the attempt's."""

    def connected(self, stream: StreamConnection) -> None:
        """The head was written; the rest of the body may be sent, where there is any."""

    def writable(self, ready: bool) -> None:
        """Whether the server takes more of the request's body now."""

    def is_wanted(self, waited_s: float) -> bool:
        """Whether its client still waits, after so long for a connection."""

    def current_message(self) -> bytes:
        """The request as a server gets it now."""


class BufferedAttempt(StreamAttempt):
    """One message to one server; its own receiver.

    An answer of up to `HELD` bytes is held until it is whole, so that one that breaks off can be told from
    a good one, and another attempt may follow. A longer one goes on as it comes: its first bytes are waited
    for, and holding it would take the memory that others need. Without `onward` it is spoilt.
    """

    __slots__ = ("_body", "_code", "_fields", "_length", "_passing", "_rest", "_size", "_target", "_unsure")

    def __init__(
        self,
        message: bytes,
        end_by: float,
        on_end: Callable[[AttemptResult], None],
        on_written: Callable[[], None] | None = None,
        target: StreamTarget | None = None,
        write_by: float = math.inf,
    ) -> None:
        super().__init__(message, end_by, on_end, self, False, on_written, write_by)
        self._target = target
        self._fields: dict[bytes, bytes] = {}
        self._code = 0
        self._length: int | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._passing = False
        self._rest: asyncio.TimerHandle | None = None  # runs while an answer has come in part
        self._unsure: asyncio.TimerHandle | None = None

    def refresh_message(self, waited_s: float) -> bool:
        if self._target is None:
            return True
        if not self._target.is_wanted(waited_s):
            return False
        self.message = self._target.current_message()
        return True

    # --- As the connection tells ---------------------------------------------------------------
    def partial_response_received(self) -> None:
        """Bytes of an answer have come: more must follow soon, or its end."""
        if not self._passing:
            if self._rest:
                self._rest.cancel()
            self._rest = asyncio.get_running_loop().call_later(
                PARTIAL_RESPONSE_TIMEOUT_S, self._spoil, "stopped short"
            )

    def connected(self, stream: StreamConnection) -> None:
        if self._target:
            self._target.connected(stream)

    def writable(self, ready: bool) -> None:
        if self._target:
            self._target.writable(ready)

    def interim(self, code: int, headers: Headers) -> None:
        self._settle()  # it says nothing of when the final one begins

    def head(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        self._code, self._fields, self._length = code, dict(headers), length
        if length is not None and length > (MAX_BODY_BYTES if self._target else MAX_BUFFERED_BODY_BYTES):
            self._spoil("answer too large")
        elif length is not None and length > MAX_BUFFERED_BODY_BYTES:
            self._pass()
        elif length is None and self._target:
            self._unsure = asyncio.get_running_loop().call_later(UNKNOWN_LENGTH_DELAY_S, self._wonder)

    def data(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._passing and self._target:
            if self._size > MAX_BODY_BYTES:
                self._spoil("answer too large")
            else:
                self._target.response_data(piece)
            return
        self._body.append(piece)
        if self._size > MAX_BUFFERED_BODY_BYTES:
            self._pass()

    def completed(self, trailers: Headers) -> None:
        self._settle()

    def end(self, reply: AttemptResult) -> None:
        """The attempt is over; `reply` tells how its connection saw it."""
        self._settle()
        super().end(self._answer() if reply.status is Status.OK else reply)

    # --- Passing on ------------------------------------------------------------------------------
    def _wonder(self) -> None:
        if self._size >= UNKNOWN_LENGTH_BYTES:
            self._pass()
        else:
            self._unsure = asyncio.get_running_loop().call_later(UNKNOWN_LENGTH_DELAY_S, self._wonder)

    def _pass(self) -> None:
        if self.has_ended or self._passing:
            return
        if self._target is None or self._code != 200:
            self._spoil("answer too large")
            return
        self._passing = True
        self._settle()
        self.stop_timeout()
        if not self._target.start_response(self._fields.get(b"content-type", b""), self._length):
            self.cancel()
            return
        body, self._body = self._body, []
        for piece in body:
            self._target.response_data(piece)

    def _answer(self) -> AttemptResult:
        fields, declined = self._fields, self._fields.get(b"srv-declined") == b"1"
        if self._code == 200:
            status = Status.OK
        else:
            status = Status.FULL if declined and self._code in (503, 504) else Status.ERROR
        return AttemptResult(
            status,
            b"".join(self._body),
            fields.get(b"content-type", b""),
            _usage(fields.get(b"x-ratelimit-used", b"")),
            fields.get(b"srv-load", b""),
            _units(fields.get(b"x-cost-units", b"")),
        )

    def _spoil(self, what: str) -> None:
        """An answer that can't be read: the server lives and may have run the request; none can be served."""
        if isinstance(self.connection, StreamConnection):
            self.connection.reject_response(what)

    def _settle(self) -> None:
        for timer in (self._rest, self._unsure):
            if timer:
                timer.cancel()
        self._rest = self._unsure = None
