"""Streamed attempts: responses are forwarded as they arrive, with back pressure in both directions."""

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
from basaltpoint.system.read_buffer import READ_BYTES
from basaltpoint.system.send_progress import SendProgress
from basaltpoint.upstream.servers import Attempt, AttemptResult, Connection, ServerConnections, UpstreamServer

log = logging.getLogger(__name__)

Headers = list[tuple[bytes, bytes]]

MAX_HEADERS = 256
MAX_INTERIM_RESPONSES = 32  # a server that sends more is taken for one that never sends a final response


class ResponseReceiver(Protocol):
    """Receives an attempt's response, and is notified when it may send more of the request's body."""

    def interim(self, code: int, headers: Headers) -> None:
        """An interim response (1xx) was received."""

    def head(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        """The head of the final response was received; `length` is None if it declares no Content-Length."""

    def data(self, piece: bytes) -> None:
        """A piece of the response body was received."""

    def completed(self, trailers: Headers) -> None:
        """The response is complete; the end of the attempt follows."""

    def connected(self, stream: StreamConnection) -> None:
        """The request head was written; the rest of the body may be sent, if there is any."""

    def writable(self, ready: bool) -> None:
        """Whether more of the request's body may be written now."""


class StreamAttempt(Attempt):
    """One message to one server, whose response goes to a receiver."""

    __slots__ = ("_receiver", "head_only")

    def __init__(
        self,
        message: bytes,
        end_by: float,
        on_end: Callable[[AttemptResult], None],
        receiver: ResponseReceiver | None,
        head_only: bool,
        on_written: Callable[[], None] | None = None,
        write_by: float = math.inf,
    ) -> None:
        """`receiver`: None if a subclass receives the response itself."""
        super().__init__(message, end_by, on_end, on_written, write_by)
        self._receiver = receiver
        self.head_only = head_only

    @property
    def receiver(self) -> ResponseReceiver:
        """Receives the response."""
        assert self._receiver
        return self._receiver

    def stop_timeout(self) -> None:
        """The response has started: the attempt's time limit no longer applies."""
        self._timer.cancel()

    def partial_response_received(self) -> None:
        """Bytes were received, and the response is incomplete so far."""


class StreamConnection(Connection):
    """A connection whose responses are forwarded piece by piece.

    An attempt that was written, even in part, may have been executed: what a server does with an incomplete
    request is not known here.
    """

    def __init__(
        self,
        servers: ServerConnections,
        server: UpstreamServer,
        sock: socket.socket,
        max_head_bytes: int,
        write_buffer_bytes: int,
    ) -> None:
        """`write_buffer_bytes`: limit of unwritten request data; 0: the last write is noticed."""
        super().__init__(servers, server, sock)
        self._max_head_bytes = max_head_bytes
        self._write_buffer_bytes = write_buffer_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._attempt: StreamAttempt | None = None
        self._headers: Headers = []
        self._body = bytearray()  # of the response: received, and not yet passed on
        self._reason = b""
        self._head_bytes_read = 0  # received while the head was incomplete
        self._bytes_since_body = 0  # chunk framing and trailer fields since the latest piece of the body
        self._head_bytes_parsed = 0  # header fields as reported by the parser
        self._head_received = self._complete = self._keep_alive = self._until_close = self._replace_parser = (
            False
        )
        self._paused = False
        self._is_yielding = False  # a whole buffer was read: the next read waits for its turn
        self._is_read_paused = False
        self._in_message = False  # a response was received in part
        self._interim_responses = 0
        self.is_sending_body = False  # the request body is not complete yet
        self._chunked = False  # the request body is sent in chunked transfer coding
        self.last_received_at = 0.0  # of the last data, or of the last pause or resumption, monotonic seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport
        self._transport.set_write_buffer_limits(high=self._write_buffer_bytes)

    # --- The request ---------------------------------------------------------------------------
    def start(self, attempt: Attempt) -> None:
        assert self._transport and isinstance(attempt, StreamAttempt)
        self._attempt, attempt.connection = attempt, self
        self._headers, self._reason, self._head_bytes_read, self._head_bytes_parsed = [], b"", 0, 0
        self._body = bytearray()
        self._head_received = self._complete = self._keep_alive = self._until_close = False
        if self._replace_parser:  # it would wait for the body that a response to HEAD declares
            self._parser, self._replace_parser = httptools.HttpResponseParser(self), False
        self.is_sending_body = self.is_written = False
        self._interim_responses = 0
        self.last_received_at = monotonic()
        self._transport.write(attempt.message)
        attempt.receiver.connected(self)
        self._check_written()

    def start_body(self, chunked: bool) -> None:
        """The request body follows in pieces; `chunked`: the head declares no length."""
        self.is_sending_body, self._chunked = True, chunked

    def send_body(self, piece: bytes) -> None:
        """Writes more of the request body; ignores an empty piece, as an empty chunk would end the body."""
        if piece and self._transport and self._attempt:
            self._transport.write(b"%x\r\n%s\r\n" % (len(piece), piece) if self._chunked else piece)

    def finish_body(self, trailers: bytes = b"\r\n") -> None:
        """Ends the request body; `trailers`: the trailer section after the last chunk with its empty line."""
        if self._chunked and self._transport and self._attempt:
            self._transport.write(b"0\r\n" + trailers)
        self.is_sending_body = False
        self._check_written()

    def _check_written(self) -> None:
        """Marks the attempt as written once its last byte was handed to the kernel.

        With a write buffer it is marked at once: the server may have received enough to act on before that.
        """
        transport, attempt = self._transport, self._attempt
        # A failed write closes the transport at once; a partial one leaves data in its buffer.
        if not transport or not attempt or self.is_written or transport.is_closing():
            return
        if self._write_buffer_bytes or not (self.is_sending_body or transport.get_write_buffer_size()):
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

    def send_progress(self, now: float) -> SendProgress:
        """Returns a measure of what the server takes from now on; `now`: monotonic seconds."""
        return SendProgress(self._sock, now)

    # --- Back pressure -------------------------------------------------------------------------
    def set_paused(self, paused: bool) -> None:
        """Pauses or resumes reading, as the receiver of the response does."""
        if self._transport and paused != self._paused and not self._transport.is_closing():
            self._paused = paused
            self.last_received_at = monotonic()
            self._update_reading()

    def _update_reading(self) -> None:
        is_paused = self._paused or self._is_yielding
        if self._transport and is_paused != self._is_read_paused and not self._transport.is_closing():
            self._is_read_paused = is_paused
            if is_paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _yield_turn(self) -> None:
        """Lets others proceed: the event loop would read on for as long as the server sends."""
        self._is_yielding = True
        self._update_reading()
        self._servers.turns.add(self)

    def continue_reading(self) -> None:
        self._is_yielding = False
        self._update_reading()

    def is_silent(self, limit: float) -> bool:
        """Whether the server has sent nothing since `limit`, read or unread, while reading was not paused."""
        return not self._paused and self.last_received_at < limit and not self.has_unread_data()

    @property
    def is_paused(self) -> bool:
        return self._paused

    # --- The response --------------------------------------------------------------------------
    def data_received(self, data: bytes) -> None:
        if self._attempt is None:
            self.abort("unsolicited data")
            return
        self.last_received_at = monotonic()
        self._head_bytes_read += 0 if self._head_received else len(data)
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject_response("unsolicited protocol upgrade")
            return
        except httptools.HttpParserCallbackError:
            # An error of this program in a parser callback: logged with its traceback, and the attempt ends.
            log.exception("server %s: handling a response failed", self._server.address)
            self._fail(Status.ERROR)
            return
        except httptools.HttpParserError as error:
            self._keep_alive = False
            if not self._complete:
                self._pass_on_body()  # what came before the error, as a long response is forwarded
                self._reject_response(repr(error))
                return
        self._pass_on_body()
        if self._complete:
            self._finish()
        elif self._attempt and not self._head_received and self._head_bytes_read > self._max_head_bytes:
            self._reject_response("response head too large")
        elif self._attempt and self._head_received and self._bytes_since_body > self._max_head_bytes:
            self._reject_response("response trailers too large")
        elif self._attempt and self._in_message:
            self._attempt.partial_response_received()
        if self._attempt and len(data) >= READ_BYTES:
            self._yield_turn()

    def on_message_begin(self) -> None:
        self._in_message = True
        if self._complete:
            self._keep_alive = False  # data after the response: the connection can't be trusted any more
        self._headers, self._reason = [], b""

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes_parsed += len(name) + len(value) + 4
        if not self._complete and len(self._headers) <= MAX_HEADERS:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        if self._complete or self._attempt is None:
            return
        code = self._parser.get_status_code()
        headers, self._headers = self._headers, []
        if len(headers) > MAX_HEADERS or self._head_bytes_parsed > self._max_head_bytes:
            self._reject_response("too many or too large response headers")
        elif code == 101:
            self._reject_response("unsolicited protocol upgrade")
        elif code < 200 and self._interim_responses >= MAX_INTERIM_RESPONSES:
            self._reject_response("too many interim responses")
        elif code < 200:
            self._head_bytes_read = self._head_bytes_parsed = 0
            self._interim_responses += 1
            self._attempt.receiver.interim(code, headers)
        else:
            self._head_received, self._bytes_since_body = True, 0
            self._final_head(self._attempt, code, headers)

    def _final_head(self, attempt: StreamAttempt, code: int, headers: Headers) -> None:
        transfer_codings: list[bytes] = []
        lengths: set[bytes] = set()
        for name, value in headers:
            if name == b"content-length":
                lengths.add(value)
            elif name == b"transfer-encoding":
                transfer_codings.append(value.lower())
        has_no_body = attempt.head_only or code in (204, 304)
        length: int | None = None
        if transfer_codings and (transfer_codings != [b"chunked"] or lengths):
            self._reject_response("ambiguous framing (Transfer-Encoding)")
            return
        if lengths:
            content_length = lengths.pop()
            if lengths or not content_length.isdigit():
                self._reject_response("invalid Content-Length")
                return
            length = int(content_length)
        self._until_close = not has_no_body and not transfer_codings and length is None
        attempt.receiver.head(code, self._reason, headers, length)
        if has_no_body and self._attempt is attempt:
            # The parser does not know the request method and may wait for a body that is never sent.
            self._replace_parser = attempt.head_only
            self._complete_response([])

    def on_body(self, body: bytes) -> None:
        self._bytes_since_body = 0
        if self._complete:
            self._keep_alive = False
        elif self._attempt:
            self._body += body  # joined, as a piece may have one byte

    def _pass_on_body(self) -> None:
        if self._attempt and self._body:
            body, self._body = bytes(self._body), bytearray()
            self._attempt.receiver.data(body)

    def on_message_complete(self) -> None:
        self._pass_on_body()
        self._in_message = False
        if self._head_received and not self._complete and self._attempt and not self._until_close:
            self._complete_response(self._headers)

    def _complete_response(self, trailers: Headers) -> None:
        assert self._attempt
        self._complete = True
        self._keep_alive = self._parser.should_keep_alive() and not self._until_close
        self._attempt.receiver.completed(trailers)

    def eof_received(self) -> bool:
        if self._attempt and self._head_received and self._until_close and not self._complete:
            self._complete_response([])
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._servers.connection_closed(self._server, self)
        self._servers.turns.remove(self)
        del self._parser  # breaks a reference cycle that only the garbage collector would free
        self._fail(Status.RESET)

    # --- Ends ----------------------------------------------------------------------------------
    def _finish(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        # The server would read the unsent rest of a request body as the next request.
        if self._keep_alive and self.is_written and not self.is_sending_body and not self._paused:
            self._servers.keep_idle(self._server, self)
        else:
            self.abort("not reusable after its response")
        attempt.end(AttemptResult(Status.OK))

    def reset(self) -> None:
        """Ends the attempt as if the server had reset the connection."""
        self._fail(Status.RESET)

    def abort(self, reason: str) -> None:
        self._attempt = None
        super().abort(reason)

    def reject_response(self, reason: str) -> None:
        """Ends the attempt because its response is invalid, and closes the connection."""
        if self._attempt:
            self._reject_response(reason)

    def _reject_response(self, reason: str) -> None:
        log.warning("server %s: %s", self._server.address, reason)
        self._fail(Status.ERROR)

    def _fail(self, status: Status) -> None:
        attempt, was_written = self._attempt, self.is_written
        self.abort(f"its attempt ended: {status.value}")
        if attempt:
            attempt.end(AttemptResult(status if was_written else Status.CONNECT_FAILED))
