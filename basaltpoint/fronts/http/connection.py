"""A client's HTTP/1.1 connection: reads requests one after the other and writes responses in pieces."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Protocol, cast

import httptools

from basaltpoint.fronts.http import message
from basaltpoint.fronts.http.message import BadRequestError, Headers, Request
from basaltpoint.fronts.ignored_upgrade import body_parser
from basaltpoint.fronts.lingering_close import close_when_delivered, has_unsent_response
from basaltpoint.fronts.paced_reading import PacedProtocol
from basaltpoint.fronts.unread import MIN_DELAY_S
from basaltpoint.fronts.upload_deadline import BodyArrival, body_arrival
from basaltpoint.system.send_progress import SendProgress
from basaltpoint.system.turn_queue import TurnQueue

log = logging.getLogger(__name__)

LINGER_TIMEOUT_S = 1.0  # how long a client may keep sending after its last response was delivered
MAX_PIPELINED = 1  # requests read ahead; reading pauses until the first of them is handled
ZERO_LINGER = struct.pack("ii", 1, 0)


class RequestHandler(Protocol):
    """Handles one request; its connection reports these events."""

    def body_received(self, piece: bytes) -> None:
        """Part of the body was received."""

    def body_completed(self, trailers: Headers) -> None:
        """The body is complete."""

    def client_disconnected(self) -> None:
        """The client has disconnected, or the connection was reset."""

    def client_writable(self, ready: bool) -> None:
        """Whether the client's connection accepts more of the response at present."""


class ConnectionOwner(Protocol):
    """The front that owns the client connections."""

    max_head_bytes: int
    buffer_bytes: int
    is_closing: bool
    turns: TurnQueue

    @property
    def write_timeout_s(self) -> float:
        """How long a client may take nothing of its response, in seconds."""

    def admit(self, connection: ClientConnection, request: Request) -> RequestHandler:
        """Accepts a request; raises BadRequestError if it is answered with an error at once."""

    def connection_opened(self, connection: ClientConnection) -> None: ...
    def connection_closed(self, connection: ClientConnection) -> None: ...


class _QueuedRequest:
    """A request of the connection whose head has been received."""

    __slots__ = (
        "body",
        "complete_at",
        "error",
        "handler",
        "is_complete",
        "keep_alive",
        "request",
        "trailers",
        "waiting_since",
    )

    def __init__(self, request: Request | None, error: BadRequestError | None) -> None:
        self.request = request
        self.error = error
        self.body = bytearray()  # received, and not yet passed to the handler
        self.trailers: Headers = []
        self.is_complete = False
        # When the last byte came, and since when the client may be waiting: what came while the socket was
        # not read may have been sent earlier. Monotonic seconds.
        self.complete_at = self.waiting_since = 0.0
        self.keep_alive = False  # the connection can be reused after this request
        self.handler: RequestHandler | None = None

    def pass_on_body(self) -> None:
        """Passes what was received of the body to the handler, if there is one."""
        if self.handler and self.body:
            body, self.body = bytes(self.body), bytearray()
            self.handler.body_received(body)


class ClientConnection(PacedProtocol):
    """A client connection. The first request in its queue is being handled, further ones wait."""

    def __init__(
        self, owner: ConnectionOwner, sock: socket.socket, unread_since: float | None = None
    ) -> None:
        """`unread_since`: since when the socket may hold data, monotonic seconds; None: it is new."""
        super().__init__(sock, unread_since, owner.turns)
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[_QueuedRequest] = deque()
        self._receiving: _QueuedRequest | None = None  # the request whose body is incomplete
        self._url = b""
        self._headers: Headers = []
        self._head_bytes_read = 0  # of an incomplete head, in whole reads
        self._head_bytes_parsed = 0  # the same as reported by the parser
        self._bytes_since_body = 0  # chunk framing and trailer fields since the latest piece of the body
        self._head_complete = True
        self._is_body_skipped = False  # the parser leaves out the body, because the head offers an upgrade
        self._input_closed = False  # all further data of the client is ignored
        self._upload_paused = False
        self._parsing = False
        self._chunked = False  # the current response uses chunked transfer coding
        self._close_after_response = False
        self._response_started = False
        self._connected_at = monotonic()
        self._has_responded = False  # at least one final response has been sent completely
        self.peer = ""
        self.head_started_at: float | None = None  # monotonic seconds; None while no head is incomplete
        self.last_activity_at = monotonic()  # when the client last sent or accepted data, seconds
        self._send_progress: SendProgress | None = None  # while the client's connection takes no more
        self.has_read_all = False  # the latest read emptied the socket

    # --- Connection ------------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass of it
        self._transport.set_write_buffer_limits(high=self._owner.buffer_bytes)
        peer = transport.get_extra_info("peername")
        self.peer = str(peer[0]) if peer else ""
        self._owner.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._input_closed = True
        self.cancel_turn()
        del self._parser  # breaks a reference cycle that only the garbage collector would free
        self._owner.connection_closed(self)
        queue, self._queue = self._queue, deque()
        for inbound in queue:
            if inbound.handler:
                inbound.handler.client_disconnected()

    @property
    def request_complete_at(self) -> float:
        """When the last byte of the request being handled came, monotonic seconds."""
        return self._queue[0].complete_at

    @property
    def client_waiting_since(self) -> float:
        """Since when the client may be waiting for the response to that request, monotonic seconds."""
        return self._queue[0].waiting_since

    @property
    def latest_bytes_at(self) -> float:
        """When the bytes that were read last had come, monotonic seconds."""
        return monotonic() - self._read_delay.read_s

    def body_arrival(self, read_bytes: int) -> BodyArrival:
        """Returns how far a body has come, of which `read_bytes` were read."""
        return body_arrival(self._sock, read_bytes, self.unparsed_bytes)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or handled."""
        return not self._queue and self.head_started_at is None and not self._unparsed

    def expects_first_request(self, since: float) -> bool:
        """Whether a first request may be on its way, on a connection that was opened after `since`."""
        return self.is_idle and not self._has_responded and self._connected_at > since

    def can_close(self, since: float) -> bool:
        """Whether closing loses no request: none is expected, and the socket holds no unread data."""
        return self.is_idle and not self.expects_first_request(since) and not self.has_unread_input

    def is_head_stalled(self, limit: float) -> bool:
        """Whether a head has begun before `limit`, is incomplete, and nothing of the rest lies unread."""
        since = self.head_started_at
        return since is not None and since < limit and not self.has_unread_input

    def is_body_stalled(self, limit: float) -> bool:
        """Whether the client has yet to send a body, and nothing has come since `limit`, read or unread."""
        awaits_body = self._receiving is not None and not self._is_read_paused and not self._input_closed
        return awaits_body and self.last_activity_at < limit and not self.has_unread_input

    def pause_writing(self) -> None:
        self._send_progress = SendProgress(self._sock, monotonic())
        if self._queue and self._queue[0].handler:
            self._queue[0].handler.client_writable(False)

    def resume_writing(self) -> None:
        self._send_progress = None
        self.last_activity_at = monotonic()
        if self._queue and self._queue[0].handler:
            self._queue[0].handler.client_writable(True)

    def reset_if_unread(self, now: float, timeout_s: float) -> bool:
        """Resets the connection if its client has stopped reading its response; returns whether it did.

        `now`: monotonic seconds.
        """
        progress = self._send_progress
        if progress is None or not progress.has_reader_stopped(now, timeout_s):
            return False
        log.warning("a client at %s has stopped reading its answer: %s", self.peer, progress.describe(now))
        self.reset()
        return True

    def pause_upload(self, is_paused: bool) -> None:
        """Pauses or resumes reading the body, depending on whether its data can be passed to the server."""
        self._upload_paused = is_paused
        self._update_reading()

    def _update_reading(self) -> None:
        self.schedule_turn()
        paused = self.is_blocked or self.awaits_turn
        if self._transport and paused != self._is_read_paused and not self._transport.is_closing():
            self._is_read_paused = paused
            if paused:
                self._read_paused_at = monotonic()
                self._transport.pause_reading()
            else:
                if monotonic() - self._read_paused_at > MIN_DELAY_S:
                    self.last_activity_at = monotonic()
                    self._read_delay.reading_resumed(self._read_paused_at)
                self._transport.resume_reading()

    @property
    def is_blocked(self) -> bool:
        return self._upload_paused or len(self._queue) > MAX_PIPELINED

    @property
    def ignores_input(self) -> bool:
        return self._input_closed

    @property
    def is_within_body(self) -> bool:
        return self._receiving is not None

    def close(self) -> None:
        """Closes the connection between two requests."""
        self._input_closed = True
        if self._transport:
            self._transport.close()

    def hand_over(self, send: Callable[[int], bool]) -> bool:
        """Hands the idle connection over to another process; returns False if that is impossible now."""
        transport = self._transport
        if (
            transport is None
            or transport.is_closing()
            or not self.is_idle
            or self._is_read_paused
            or self._input_closed
        ):
            return False
        if transport.get_write_buffer_size() or not send(transport.get_extra_info("socket").fileno()):
            return False
        # Aborts at once, so that no data is read here that the other process needs. The connection stays open
        # through the descriptor that was sent.
        self._input_closed = True
        transport.abort()
        return True

    def reset(self) -> None:
        """Resets the connection, so that a truncated response is detected whatever its framing."""
        self._input_closed = True
        if self._transport and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            self._transport.abort()

    # --- Reading ---------------------------------------------------------------------------------
    def turn_begins(self, size: int) -> None:
        self.last_activity_at = monotonic()
        self.has_read_all = not self._is_yielding
        if size:
            self._read_delay.bytes_read(size, self._has_responded)
        else:
            self._read_delay.parsed_later()
        self._parsing = True

    def turn_ended(self) -> None:
        if self._receiving:
            self._receiving.pass_on_body()
        self._parsing = False
        is_between_requests = self.head_started_at is None and self._receiving is None
        awaits_turn = self._is_yielding or bool(self._unparsed)
        self._read_delay.bytes_parsed(self._is_read_paused or awaits_turn, is_between_requests)
        if awaits_turn or self._is_read_paused or len(self._queue) > MAX_PIPELINED:
            self._update_reading()

    def parse_slice(self, data: bytes) -> None:
        head_was_complete = self._head_complete
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self._is_body_skipped and self._receiving and self._receiving.request:
                self._resume_with_body(self._receiving.request, data[upgrade.args[0] :])
            else:
                self._input_closed = True  # the client could take its offer for accepted
        except httptools.HttpParserCallbackError:
            # An internal error, which must not be blamed on the client's data.
            log.exception("internal error while handling a request")
            self._fail_all()
        except httptools.HttpParserError:
            self._reject(400, "the request can't be read")
        if self._receiving and self._bytes_since_body > self._owner.max_head_bytes:
            self._reject(431, "the trailers are too long")
        if not self._head_complete and not self._input_closed:
            self._head_bytes_read += len(data) if not head_was_complete else 0
            if self._head_bytes_read > self._owner.max_head_bytes:
                self._reject(431, "the head is too long")

    def _resume_with_body(self, request: Request, data: bytes) -> None:
        """Reads the body that the parser left out; `data` begins with it."""
        self._is_body_skipped = False
        length = None if request.body_length is None else b"%d" % request.body_length
        self._parser = body_parser(self, request.method, request.version, length)
        self.parse_slice(data)

    def on_message_begin(self) -> None:
        self.head_started_at = monotonic()
        self._read_delay.request_begun()
        self._url, self._headers, self._head_complete = b"", [], False
        self._head_bytes_read = self._head_bytes_parsed = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._limit_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self._headers) <= message.MAX_HEADERS:
            self._headers.append((name.lower(), value.strip()))
        self._limit_head(len(name) + len(value) + 4)

    def _limit_head(self, size: int) -> None:
        self._head_bytes_parsed += size
        if self._head_bytes_parsed > self._owner.max_head_bytes and not self._head_complete:
            self._reject(431, "the head is too long")

    def on_headers_complete(self) -> None:
        self._head_complete, self.head_started_at = True, None
        if self._input_closed:
            return
        headers, self._headers = self._headers, []
        version, method = self._parser.get_http_version(), self._parser.get_method()
        try:
            inbound = _QueuedRequest(message.parse_request(method, self._url, version, headers), None)
        except BadRequestError as error:
            inbound = _QueuedRequest(None, error)
        self._receiving = inbound
        self._bytes_since_body = 0
        self._is_body_skipped = (
            self._parser.should_upgrade() and inbound.request is not None and inbound.request.has_body
        )
        self._queue.append(inbound)
        if len(self._queue) == 1:
            self._start_request(inbound)

    def on_body(self, body: bytes) -> None:
        inbound = self._receiving
        if inbound is None or self._input_closed:
            return
        self.piece_parsed()
        self._bytes_since_body = 0
        if inbound.error is None:
            inbound.body += body  # joined, as a piece may have one byte and would be an object of its own

    def on_message_complete(self) -> None:
        if self._is_body_skipped:
            return
        self.message_parsed()
        inbound, self._receiving = self._receiving, None
        if inbound is None or self._input_closed:
            return
        inbound.is_complete = True
        inbound.complete_at = monotonic() - self._read_delay.read_s
        inbound.waiting_since = monotonic() - self._read_delay.request_s
        # After an upgrade request the stream may hold another protocol, so no further request is read.
        inbound.keep_alive = self._parser.should_keep_alive() and not self._parser.should_upgrade()
        inbound.trailers, self._headers = self._headers, []
        if inbound.handler and self.has_client_left():
            self.reset()  # no server gets the last bytes, so that none runs the request
            return
        inbound.pass_on_body()
        if not (self._queue and self._queue[0] is inbound):
            return  # waits for the responses to earlier requests, or was answered with its last bytes
        if inbound.handler:
            inbound.handler.body_completed(inbound.trailers)
        else:
            self._send_error(inbound)

    def _start_request(self, inbound: _QueuedRequest) -> None:
        """Starts handling a request."""
        if inbound.error is None:
            assert inbound.request
            try:
                inbound.handler = self._owner.admit(self, inbound.request)
            except BadRequestError as error:
                inbound.error = error
        if inbound.handler is None:
            # If the body is still being sent, the error response is sent at once and the connection closed.
            if (
                inbound.is_complete
                or (inbound.request and inbound.request.has_body)
                or inbound.request is None
            ):
                self._send_error(inbound)
            return
        if (
            inbound.request
            and inbound.request.expects_continue
            and not inbound.is_complete
            and not inbound.body
        ):
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        inbound.pass_on_body()
        if inbound.is_complete and self._queue and self._queue[0] is inbound:
            inbound.handler.body_completed(inbound.trailers)

    def _send_error(self, inbound: _QueuedRequest) -> None:
        if inbound.error and self._queue and self._queue[0] is inbound:
            self.send_response(inbound.error.code, str(inbound.error), inbound.error.headers)

    def _reject(self, code: int, reason: str) -> None:
        """Rejects a request that cannot be read to its end, after the responses to earlier requests."""
        if self._input_closed:
            return
        self._input_closed, self.head_started_at = True, None
        if self._receiving:
            # The head was valid, but the request cannot be completed.
            inbound, self._receiving = self._receiving, None
            if inbound.handler:
                inbound.handler.client_disconnected()
                inbound.handler = None
            inbound.error = BadRequestError(code, reason)
        else:
            inbound = _QueuedRequest(None, BadRequestError(code, reason))
            self._queue.append(inbound)
        if self._response_started and self._queue[0] is inbound:
            self.reset()
        elif self._queue[0] is inbound:
            self._send_error(inbound)

    def _fail_all(self) -> None:
        """Ends all requests; the current one gets an error response, unless its response has begun."""
        queue, self._queue = self._queue, deque()
        self._input_closed, self._receiving, self.head_started_at = True, None, None
        for inbound in queue:
            if inbound.handler:
                inbound.handler.client_disconnected()
                inbound.handler = None
        if not queue or self._response_started:
            self.reset()
            return
        queue[0].keep_alive = False
        self._queue.append(queue[0])
        self.send_response(500, "internal error", [])

    def reject_timeout(self, reason: str) -> None:
        """Ends a request that has not been received completely in time."""
        if self._response_started or self._transport is None:
            self.reset()
        else:
            self._reject(408, reason)

    # --- Responses -------------------------------------------------------------------------------
    def send_interim(self, code: int, headers: Headers) -> None:
        """Forwards an interim (1xx) response; HTTP/1.0 does not support it."""
        request = self._queue[0].request if self._queue else None
        if request and request.version == "1.1" and not self._response_started and code != 100:
            self._write(message.response_head(code, b"", message.forwardable_headers(headers), b"", False))

    def start_response(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        """Sends the head of a streamed response; `length` is None if the body's length is unknown."""
        inbound = self._queue[0]
        request = inbound.request
        assert request
        self._response_started = True
        self._chunked = False
        self._close_after_response = (
            not (inbound.is_complete and inbound.keep_alive) or self._owner.is_closing
        )
        if length is not None:
            line = b"Content-Length: %d\r\n" % length
        elif message.has_no_body(request.method, code):
            line = b""
        elif request.version == "1.1":
            self._chunked, line = True, b"Transfer-Encoding: chunked\r\n"
        else:
            self._close_after_response, line = True, b""
        self._write(message.response_head(code, reason, headers, line, self._close_after_response))

    def send_body(self, data: bytes) -> None:
        """Sends a part of the streamed response's body."""
        if data:
            self._write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)

    def finish_response(self, trailers: Headers) -> None:
        """Completes the streamed response."""
        if self._chunked:
            self._write(b"0\r\n" + message.trailer_section(trailers))
        self._response_sent()

    def send_response(self, code: int, reason: str, headers: Headers, body: bytes | None = None) -> None:
        """Sends a complete response; if `body` is None, a JSON document states the reason."""
        inbound = self._queue[0]
        if body is None:
            body = json.dumps({"status": code, "reason": reason}).encode() + b"\n"
            headers = [*headers, (b"Content-Type", b"application/json")]
        self._close_after_response = (
            not (inbound.is_complete and inbound.keep_alive) or self._owner.is_closing
        )
        line = b"Content-Length: %d\r\n" % len(body)
        head_only = inbound.request is not None and inbound.request.method == b"HEAD"
        head = message.response_head(code, b"", headers, line, self._close_after_response)
        self._write(head if head_only else head + body)
        self._response_sent()

    def _write(self, data: bytes) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.write(data)

    def _response_sent(self) -> None:
        """Closes the connection after a completed response, or starts the next request."""
        inbound = self._queue.popleft()
        self._response_started, self._has_responded = False, True
        self.last_activity_at = monotonic()
        if self._close_after_response or not inbound.is_complete:
            self._close_after_last(inbound.is_complete)
            return
        if self._queue:
            waiting = self._queue[0]
            if self._parsing:
                asyncio.get_running_loop().call_soon(self._start_next, waiting)
            else:
                self._start_next(waiting)
        self._upload_paused = False
        self._update_reading()

    def _start_next(self, inbound: _QueuedRequest) -> None:
        if self._queue and self._queue[0] is inbound and inbound.handler is None:
            self._start_request(inbound)

    def _close_after_last(self, request_complete: bool) -> None:
        """Closes the connection after the last response: at once, if that can't lose any of it."""
        self._input_closed, self._receiving, self.head_started_at = True, None, None
        self._queue.clear()
        if self._transport is None or self._transport.is_closing():
            return
        if request_complete and not has_unsent_response(self._transport, self._sock):
            self._transport.close()
            return
        self._upload_paused = False
        self._update_reading()
        close_when_delivered(self._transport, self._sock, LINGER_TIMEOUT_S, self._owner.write_timeout_s)
