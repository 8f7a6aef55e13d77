"""Answers that are passed on as they come: attempts of the ordinary front, with back pressure both ways."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections.abc import Callable
from time import monotonic
from typing import Protocol

import httptools

from basaltpoint.interface import Status
from basaltpoint.upstream.servers import Attempt, AttemptResult, Connection, ServerConnections, UpstreamServer

log = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]

MAX_HEADERS = 256
MAX_INTERIM_RESPONSES = 32  # answers ahead of the final one; a server that sends more sends no final one


class ResponseReceiver(Protocol):
    """Where an attempt's answer goes, and where the rest of its request's body comes from."""

    def interim(self, code: int, headers: Headers) -> None:
        """An answer ahead of the final one (1xx)."""

    def head(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        """The final answer's head; `length` is None where the body's end tells it."""

    def data(self, piece: bytes) -> None:
        """A piece of the answer's body."""

    def completed(self, trailers: Headers) -> None:
        """The answer is whole; the attempt's end follows."""

    def connected(self, stream: StreamConnection) -> None:
        """The head was written; the rest of the body may be sent, where there is any."""

    def writable(self, ready: bool) -> None:
        """Whether the server takes more of the request's body now."""


class StreamAttempt(Attempt):
    """One message to one server whose answer goes to a receiver."""

    __slots__ = ("head_only", "receiver")

    def __init__(
        self,
        message: bytes,
        end_by: float,
        on_end: Callable[[AttemptResult], None],
        receiver: ResponseReceiver,
        head_only: bool,
        on_written: Callable[[], None] | None = None,
        write_by: float = math.inf,
    ) -> None:
        super().__init__(message, end_by, on_end, on_written, write_by)
        self.receiver = receiver
        self.head_only = head_only

    def stop_timeout(self) -> None:
        """The answer has begun: its time limit no longer counts."""
        self._timer.cancel()

    def partial_response_received(self) -> None:
        """Bytes have come, and an answer has come in part."""


class StreamConnection(Connection):
    """A connection whose answers are handed on piece by piece.

    An attempt that was written to a connection may have run, whole or not: what a server makes of a part of
    a request can't be known here.
    """

    def __init__(
        self,
        servers: ServerConnections,
        server: UpstreamServer,
        sock: socket.socket,
        head_limit: int,
        buffer: int,
    ) -> None:
        """`buffer`: bytes of a request that may wait to be written; with 0 it is known when the last was."""
        super().__init__(servers, server, sock)
        self._head_limit = head_limit
        self._buffer = buffer
        self._parser = httptools.HttpResponseParser(self)
        self._attempt: StreamAttempt | None = None
        self._headers: Headers = []
        self._reason = b""
        self._size = 0  # of a head that is coming in, as read
        self._told = 0  # and as told by the parser
        self._headed = self._complete = self._keep = self._to_the_end = self._skip = False
        self._paused = False
        self._within = False  # an answer has come in part
        self._interim = 0
        self.is_sending_body = False  # the request's body is not whole yet
        self._chunked = False  # and is told by chunks
        self.last_received_at = 0.0  # when the server last said something

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport
        self._transport.set_write_buffer_limits(high=self._buffer)

    # --- The request ---------------------------------------------------------------------------
    def start(self, attempt: Attempt) -> None:
        assert self._transport and isinstance(attempt, StreamAttempt)
        self._attempt, attempt.connection = attempt, self
        self._headers, self._reason, self._size, self._told = [], b"", 0, 0
        self._headed = self._complete = self._keep = self._to_the_end = False
        if self._skip:  # the last answer's body was announced and not sent: a parser would wait for it
            self._parser, self._skip = httptools.HttpResponseParser(self), False
        self.is_sending_body = self.is_written = False
        self._interim = 0
        self.last_received_at = monotonic()
        self._transport.write(attempt.message)
        attempt.receiver.connected(self)
        self._check_written()

    def start_body(self, chunked: bool) -> None:
        """The request's body follows in pieces; `chunked`: its head tells no length."""
        self.is_sending_body, self._chunked = True, chunked

    def send_body(self, piece: bytes) -> None:
        """More of the request's body; an empty piece says nothing."""
        if piece and self._transport and self._attempt:
            self._transport.write(b"%x\r\n%s\r\n" % (len(piece), piece) if self._chunked else piece)

    def finish_body(self, trailers: bytes = b"\r\n") -> None:
        """The request's body is whole; `trailers`: the section behind its chunks, its empty line too."""
        if self._chunked and self._transport and self._attempt:
            self._transport.write(b"0\r\n" + trailers)
        self.is_sending_body = False
        self._check_written()

    def _check_written(self) -> None:
        """Note when the last byte has gone. With a buffer a server may have all that counts before that."""
        transport, attempt = self._transport, self._attempt
        # A write that fails closes the transport at once; one that is cut short leaves a rest in it.
        if not transport or not attempt or self.is_written or transport.is_closing():
            return
        if self._buffer or not (self.is_sending_body or transport.get_write_buffer_size()):
            self.is_written = True
            if attempt.on_written:
                attempt.on_written()

    def pause_writing(self) -> None:
        if self._attempt:
            self._attempt.receiver.writable(False)

    def resume_writing(self) -> None:
        if self._attempt:
            self._attempt.receiver.writable(True)
            self._check_written()

    # --- Back pressure -------------------------------------------------------------------------
    def set_paused(self, paused: bool) -> None:
        """Read on only where the answer's reader does."""
        if self._transport and paused != self._paused and not self._transport.is_closing():
            self._paused = paused
            self.last_received_at = monotonic()
            if paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    @property
    def is_paused(self) -> bool:
        return self._paused

    # --- The answer ----------------------------------------------------------------------------
    def data_received(self, data: bytes) -> None:
        if self._attempt is None:
            self.abort("bytes came that nobody asked for")
            return
        self.last_received_at = monotonic()
        self._size += 0 if self._headed else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._spoil("an upgrade that nobody asked for")
            return
        except httptools.HttpParserCallbackError:
            # A fault of this program, met while reading: told in full, and the attempt ends.
            log.exception("server %s: an answer could not be handled", self._server.address)
            self._fail(Status.ERROR)
            return
        except httptools.HttpParserError as error:
            self._keep = False
            if not self._complete:
                self._spoil(repr(error))
                return
        if self._complete:
            self._finish()
        elif self._attempt and not self._headed and self._size > self._head_limit:
            self._spoil("a head that does not end")
        elif self._attempt and self._within:
            self._attempt.partial_response_received()

    def on_message_begin(self) -> None:
        self._within = True
        if self._complete:
            self._keep = False  # bytes behind the answer: what follows is not to be trusted
        self._headers, self._reason = [], b""

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._told += len(name) + len(value) + 4
        if not self._complete and len(self._headers) <= MAX_HEADERS:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        if self._complete or self._attempt is None:
            return
        code = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        if len(headers) > MAX_HEADERS or self._told > self._head_limit:
            self._spoil("too many headers, or too long ones")
        elif code == 101:
            self._spoil("an upgrade that nobody asked for")
        elif code < 200 and self._interim >= MAX_INTERIM_RESPONSES:
            self._spoil("interim answers without end")
        elif code < 200:
            self._size = self._told = 0
            self._interim += 1
            self._attempt.receiver.interim(code, headers)
        else:
            self._headed = True
            self._final(self._attempt, code, headers)

    def _final(self, attempt: StreamAttempt, code: int, headers: Headers) -> None:
        coding: list[bytes] = []
        lengths: set[bytes] = set()
        for name, value in headers:
            if name == b"content-length":
                lengths.add(value)
            elif name == b"transfer-encoding":
                coding.append(value.lower())
        none = attempt.head_only or code in (204, 304)
        length: int | None = None
        if coding and (coding != [b"chunked"] or lengths):
            self._spoil("a framing that two readers could take differently")
            return
        if lengths:
            told = lengths.pop()
            if lengths or not told.isdigit():
                self._spoil("a length that is none")
                return
            length = int(told)
        self._to_the_end = not none and not coding and length is None
        attempt.receiver.head(code, self._reason, headers, length)
        if none and self._attempt is attempt:
            # The parser knows nothing of the method and may wait for a body that never comes.
            self._skip = attempt.head_only
            self._whole([])

    def on_body(self, body: bytes) -> None:
        if self._complete:
            self._keep = False
        elif self._attempt:
            self._attempt.receiver.data(body)

    def on_message_complete(self) -> None:
        self._within = False
        if self._headed and not self._complete and self._attempt and not self._to_the_end:
            self._whole(self._headers)

    def _whole(self, trailers: Headers) -> None:
        assert self._attempt
        self._complete = True
        self._keep = self._parser.should_keep_alive() and not self._to_the_end
        self._attempt.receiver.completed(trailers)

    def eof_received(self) -> bool:
        if self._attempt and self._headed and self._to_the_end and not self._complete:
            self._whole([])
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._servers.connection_closed(self._server, self)
        del self._parser  # it holds this object, too: together they would wait for the collector
        self._fail(Status.RESET)

    # --- Ends ----------------------------------------------------------------------------------
    def _finish(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        # The rest of a body that nobody waited for would be read as the next request.
        if self._keep and self.is_written and not self.is_sending_body and not self._paused:
            self._servers.keep_idle(self._server, self)
        else:
            self.abort("it can't be kept behind its answer")
        attempt.end(AttemptResult(Status.OK))

    def reset(self) -> None:
        """End the attempt as if the server had broken off."""
        self._fail(Status.RESET)

    def abort(self, reason: str) -> None:
        self._attempt = None
        super().abort(reason)

    def reject_response(self, what: str) -> None:
        """End the attempt as one whose answer can't be read; what follows is not read either."""
        if self._attempt:
            self._spoil(what)

    def _spoil(self, what: str) -> None:
        log.warning("server %s: %s", self._server.address, what)
        self._fail(Status.ERROR)

    def _fail(self, status: Status) -> None:
        attempt, written = self._attempt, self.is_written
        self.abort(f"its attempt ends: {status.value}")
        if attempt:
            attempt.end(AttemptResult(status if written else Status.CONNECT_FAILED))
