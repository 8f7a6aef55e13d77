"""A client's connection: reads requests, writes responses in order, and controls flow and close."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Protocol, cast

import httptools

from basaltpoint.fronts.ignored_upgrade import body_parser
from basaltpoint.fronts.lingering_close import close_when_delivered, has_unsent_response
from basaltpoint.fronts.paced_reading import PacedProtocol
from basaltpoint.fronts.platform.client_request import ClientRequest
from basaltpoint.fronts.platform.close_guard import CloseGuard
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.fronts.platform.request_check import BadRequestError, RequestCheck
from basaltpoint.fronts.platform.request_head import (
    BODY_HEADERS,
    MAX_HEADERS,
    SINGLE_VALUE_HEADERS,
    expects_continue,
    forwarded_head,
)
from basaltpoint.fronts.platform.response_framing import streamed_body, streamed_head, whole_response
from basaltpoint.fronts.unread import FIRST_REQUEST_GRACE_S, MIN_DELAY_S, UnreadData, peek
from basaltpoint.fronts.upload_deadline import BodyArrival, body_arrival
from basaltpoint.system.send_progress import SendProgress
from basaltpoint.system.turn_queue import TurnQueue
from basaltpoint.telemetry import trace
from basaltpoint.upstream.buffered import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 16 * 1024
MAX_PIPELINED = 4  # open requests of a connection; further ones stay in the socket
MIN_BODY_BYTES_PER_S = 32_000  # mean rate of a body; clients may send 64,000
SLOW_REQUEST_S = 2.0  # in which clients that write slowly send a head
LINGER_S = 1.0  # how long a client may keep sending after its last response was delivered
WRITE_TIMEOUT_S = 10.0  # without progress of a client that has room for more of its response


class ConnectionOwner(Protocol):
    """What a connection needs of the collection of all connections."""

    limiter: Limiter
    checker: RequestCheck
    close_guard: CloseGuard
    turns: TurnQueue
    idle_connections: dict[ClientConnection, None]
    receiving: dict[ClientConnection, None]

    @property
    def keeps_connections(self) -> bool:
        """Whether connections stay open after a response."""

    @property
    def ready(self) -> bool:
        """Whether new clients are welcome, as /up reports."""

    def reserve_body(self, size: int) -> bool:
        """Accounts for buffered bytes of bodies; returns False if they exceed the limit."""

    def release_body(self, size: int) -> None:
        """Accounts for bytes of bodies that are no longer buffered."""

    def connection_closed(self, client: ClientConnection) -> None:
        """Removes a closed connection."""

    def connection_idle(self, client: ClientConnection) -> None:
        """Handles a connection that has become idle: it may be handed over to the successor."""


class ClientConnection(PacedProtocol):
    """A client's connection."""

    def __init__(self, clients: ConnectionOwner, sock: socket.socket, unread_since: float | None) -> None:
        super().__init__(sock, unread_since, clients.turns)
        self._clients = clients
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[ClientRequest] = deque()
        self._is_parsing = False
        self._has_rejected = False  # the client may still be sending
        self._ignores_input = False  # no further request is accepted
        self._is_lingering = False  # the last response is being sent; input is discarded
        self._is_write_paused = False  # the client does not read its responses
        self._send_progress: SendProgress | None = None  # while the client's connection takes no more
        self._is_upload_paused = False  # the server accepts no more of the body
        self._upload: ClientRequest | None = None  # whose body is being received and forwarded
        self._streaming_response: ClientRequest | None = None  # whose response is being forwarded
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()  # received, and neither accepted nor forwarded yet
        self._received_bytes = 0
        self._has_read_all = False  # the latest read emptied the socket
        self._bytes_since_body = 0  # chunk framing and trailer fields since the latest piece of the body
        self._last_body_at = 0.0  # when the latest piece of a body was received
        self._has_headers = False
        self._is_body_skipped = False  # the parser leaves out the body, because the head offers an upgrade
        self.request_begun_at: float | None = None  # start of the request being received, monotonic seconds
        self.connected_at = monotonic()
        self._is_http10 = False  # no chunked responses
        self.has_responded = False
        self.has_received_request = False  # at least one complete request

    # --- Connection ----------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self._clients.idle_connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._ignores_input = True
        self.cancel_turn()
        del self._parser  # breaks a reference cycle
        self._clients.connection_closed(self)
        requests, self._requests = self._requests, deque()
        self._drop_body()
        upload, self._upload, self._streaming_response = self._upload, None, None
        for request in requests:
            self._clients.release_body(len(request.body))
            if request.exchange:
                self._clients.limiter.abandon(request.exchange)
            request.release()
        if upload:
            upload.release()

    def pause_writing(self) -> None:
        self._is_write_paused, self._send_progress = True, SendProgress(self._sock, monotonic())
        self._update_reading()

    def resume_writing(self) -> None:
        self._is_write_paused, self._send_progress = False, None
        self._update_reading()

    def pause_upload(self, paused: bool) -> None:
        """Pauses reading while the server accepts no more of the body."""
        self._is_upload_paused = paused
        self._update_reading()

    def release_body(self, size: int) -> None:
        self._clients.release_body(size)

    def _update_reading(self) -> None:
        """Pauses or resumes reading: data that does not move on must not fill the memory."""
        if self._streaming_response and self._streaming_response.exchange:
            self._streaming_response.exchange.client_writable(not self._is_write_paused)
        self.schedule_turn()
        full = self.is_blocked or self.awaits_turn
        if self._transport and full != self._is_read_paused and not self._transport.is_closing():
            self._is_read_paused = full
            if full:
                self._read_paused_at = monotonic()
                self._transport.pause_reading()
            else:
                waited_s = monotonic() - self._read_paused_at
                if waited_s > MIN_DELAY_S:
                    self._excuse_pause(waited_s)
                self._transport.resume_reading()

    def _excuse_pause(self, waited_s: float) -> None:
        """This process has paused reading for `waited_s`, not the client."""
        self.connected_at += waited_s
        if self.request_begun_at is not None:
            self.request_begun_at += waited_s
        self._last_body_at += waited_s
        self._read_delay.reading_resumed(self._read_paused_at)

    @property
    def is_blocked(self) -> bool:
        full = self._is_write_paused or self._is_upload_paused or len(self._requests) >= MAX_PIPELINED
        return full and not self._is_lingering

    @property
    def ignores_input(self) -> bool:
        return self._ignores_input

    @property
    def is_within_body(self) -> bool:
        return self._has_headers

    def close(self, reason: str) -> None:
        unread = not self._ignores_input and self.has_unread_input
        self._clients.close_guard.check_close(reason, self.unanswered_ids, unread)
        self._ignores_input = True
        self._trace_close(reason)
        if self._transport:
            self._transport.close()

    @property
    def unanswered_ids(self) -> list[str]:
        """The ids of requests of which no part of a response is available."""
        return [request.request_id for request in self._requests if request.is_unanswered]

    def _trace_close(self, reason: str) -> None:
        if trace.enabled:
            trace.event("client's connection %d closes: %s", self._sock.fileno(), reason)

    @property
    def is_closable(self) -> bool:
        """Whether the connection is idle and its socket holds no data."""
        return self.is_idle and not self.has_unread_input

    def body_arrival(self) -> BodyArrival:
        """Returns how far the body that is being received has come."""
        return body_arrival(self._sock, self._received_bytes, self.unparsed_bytes)

    def abort(self, reason: str) -> None:
        self._ignores_input = True
        self._trace_close(reason)
        if self._transport:
            self._transport.abort()

    def hand_over(self, send: Callable[[int], bool]) -> bool:
        """Hands an idle connection over to another process; returns False if that is impossible now."""
        transport = self._transport
        if transport is None or transport.is_closing() or not self.is_idle or self._is_read_paused:
            return False
        if transport.get_write_buffer_size():
            return False
        if not send(transport.get_extra_info("socket").fileno()):
            return False
        self._ignores_input = True
        # In the same turn of the loop, so that no data is read here that the other process needs. The
        # connection continues in the other process's descriptor.
        transport.abort()
        return True

    def close_if_answered(self) -> None:
        """Closes a connection without open requests, even if its client is still sending."""
        if self._transport and not self._requests:
            self._trace_close("its request took too long")
            self._transport.close()

    def may_have_request(self, now: float) -> bool:
        """Returns whether a request may arrive: the connection is new, or one is being written in time."""
        is_new = not self.has_responded and self.connected_at > now - FIRST_REQUEST_GRACE_S
        has_begun = self.request_begun_at is not None and not self._ignores_input
        is_in_time = has_begun and not self.is_request_stalled(now - SLOW_REQUEST_S)
        return is_new or is_in_time or bool(self._unparsed)

    def is_request_stalled(self, limit: float) -> bool:
        """Returns whether a request, or the first data, has been awaited since before `limit`.

        Not if more of it lies unread: then it is this process that is late.
        """
        since = self.request_begun_at if self.has_received_request else self.connected_at
        if since is None or self._ignores_input or self._is_read_paused:
            return False
        bytes_s = self._received_bytes / MIN_BODY_BYTES_PER_S if self._has_headers else 0.0
        return since + bytes_s < limit and not self.has_unread_input

    def is_body_stalled(self, limit: float) -> bool:
        """Returns whether a body has begun and nothing of it has come since `limit`, read or unread."""
        waits = (
            self.request_begun_at is not None
            and self._has_headers
            and not self._ignores_input
            and not self._is_read_paused
        )
        return waits and self._last_body_at < limit and not self.has_unread_input

    def abort_if_unread(self, now: float) -> None:
        """Aborts the connection if its client has stopped reading its response; `now`: monotonic seconds."""
        progress = self._send_progress
        if progress and progress.has_reader_stopped(now, WRITE_TIMEOUT_S):
            log.warning("a client has stopped reading its response: %s", progress.describe(now))
            self.abort("it does not read its response")

    @property
    def is_idle(self) -> bool:
        return not self._requests and self.request_begun_at is None and not self._unparsed

    # --- Reading -------------------------------------------------------------------------------
    def turn_begins(self, size: int) -> None:
        # No response is written within a turn: a drain closes after the last one, and a request may follow.
        self._is_parsing = True
        self._has_read_all = not self._is_yielding
        if size:
            self._read_delay.bytes_read(size, self.has_responded)
        else:
            self._read_delay.parsed_later()

    def turn_ended(self) -> None:
        self._forward_body()
        self._is_parsing = False
        awaits_turn = self._is_yielding or bool(self._unparsed)
        self._read_delay.bytes_parsed(self._is_read_paused or awaits_turn, self.request_begun_at is None)
        first = self._requests[0] if self._requests else None
        if first is None or first.reply or first.streamed_head or first.broken:
            self.flush()
        if awaits_turn or self._is_read_paused:
            self._update_reading()

    def parse_slice(self, data: bytes) -> None:
        if self._ignores_input:
            return
        self._received_bytes += 0 if self._has_headers else len(data)
        self._bytes_since_body += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self._is_body_skipped:
                self._resume_with_body(data[upgrade.args[0] :])
            else:
                self._ignores_input = True  # the request itself was accepted
        except httptools.HttpParserError:
            self.reject(400)
        head_bytes = self._bytes_since_body if self._has_headers else self._received_bytes
        if head_bytes > MAX_HEAD_BYTES:
            self.reject(431)

    def _resume_with_body(self, data: bytes) -> None:
        """Reads the body that the parser left out; `data` begins with it."""
        self._is_body_skipped = False
        length = None if b"transfer-encoding" in self._headers else self._headers[b"content-length"]
        version = self._parser.get_http_version()
        self._parser = body_parser(self, self._parser.get_method(), version, length)
        self.parse_slice(data)

    def on_message_begin(self) -> None:
        # Not set with the first bytes: an empty line after a request starts none.
        self.request_begun_at = monotonic()
        self._read_delay.request_begun()
        self._clients.idle_connections.pop(self, None)
        self._clients.receiving[self] = None
        self._url, self._headers, self._has_headers = b"", {}, False

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > MAX_HEAD_BYTES:
            self.reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._ignores_input or self._has_headers:
            return  # rejected already, or a trailer field, which is not forwarded
        name, value = name.lower(), value.strip()
        headers = self._headers
        if name in headers and name in SINGLE_VALUE_HEADERS and headers[name] != value:
            self.reject(400)
        headers[name] = value
        if len(name) + len(value) > MAX_HEAD_BYTES or len(headers) > MAX_HEADERS:
            self.reject(431)

    def on_headers_complete(self) -> None:
        self._has_headers, self._received_bytes, self._bytes_since_body = True, 0, 0
        self._last_body_at = math.inf  # the head's timeout applies until the first piece
        self._is_http10 = self._parser.get_http_version() == "1.0"
        if self._ignores_input:
            return  # rejected within its head
        headers = self._headers
        if not headers.keys().isdisjoint(BODY_HEADERS):
            length = headers.get(b"content-length", b"0")
            if (coding := headers.get(b"transfer-encoding")) is not None and (
                b"content-length" in headers or coding.lower() != b"chunked"
            ):
                self.reject(400)  # the body could contain a hidden request
            elif length.isdigit() and int(length[:9]) > MAX_BODY_BYTES:
                self.reject(413)
            elif length.isdigit() and int(length) > MAX_BUFFERED_BODY_BYTES:
                self._accept_streamed()
            elif expects_continue(self._headers) and not self._requests:
                self._send_continue()
            has_body = coding is not None or length.strip(b"0") != b""
            self._is_body_skipped = has_body and not self._ignores_input and self._parser.should_upgrade()

    def on_body(self, body: bytes) -> None:
        if self._ignores_input:
            return
        self.piece_parsed()
        self._last_body_at = monotonic()
        self._received_bytes += len(body)
        self._bytes_since_body = 0
        if self._received_bytes > MAX_BODY_BYTES:
            self.reject(413)
        elif not self._clients.reserve_body(len(body)):
            self.reject(503)  # the limit on buffered bodies is reached
        else:
            self._body += body  # joined, as a piece may have one byte and would be an object of its own
            if self._received_bytes > MAX_BUFFERED_BODY_BYTES and self._upload is None:
                self._accept_streamed()

    def _forward_body(self) -> None:
        """Passes on what was received of a streamed body."""
        if self._upload and self._upload.exchange and self._body:
            body, self._body = bytes(self._body), bytearray()
            self._upload.exchange.add_body(body)
            self._upload.exchange.bytes_read(self._has_read_all, self._read_delay.read_s)

    def on_message_complete(self) -> None:
        if self._is_body_skipped:
            return
        self.message_parsed()
        self.request_begun_at, self._has_headers, self._received_bytes = None, False, 0
        self.has_received_request = True
        self._clients.receiving.pop(self, None)
        upload, self._upload = self._upload, None
        if self._ignores_input:
            return
        if upload and upload.exchange:
            self._ignores_input = not upload.keep_alive
            rest, self._body, self._headers = bytes(self._body), bytearray(), {}
            upload.exchange.finish_body(rest, self._read_delay.read_s)
            if upload not in self._requests:
                upload.release()
            self._update_reading()
            if self._ignores_input and not self._requests:
                self._end_after_response()  # the response was sent before the body ended
            return
        if self.has_client_left():
            self._ignores_input = True  # left while the request was unread; the end of stream is read next
            return
        keep = self._can_keep_alive
        self._ignores_input = not keep
        self._accept_request(keep)
        self._headers = {}  # an idle connection holds none
        if (
            self._is_read_paused
            or self._is_write_paused
            or self._streaming_response
            or len(self._requests) >= MAX_PIPELINED
        ):
            self._update_reading()

    def _accept_request(self, keep: bool) -> None:
        """Accepts a complete request, or responds with an error."""
        method, url, body = self._parser.get_method(), self._url, b""
        if self._body:
            body, self._body = bytes(self._body), bytearray()
            self._clients.release_body(len(body))
        if url.partition(b"?")[0] == b"/up":
            self._respond(keep, 200 if self._clients.ready else 503)
            return
        try:
            terms = self._clients.checker.parse_terms(method, url, self._headers, bool(body))
        except BadRequestError as error:
            self._respond(keep, error.code, str(error))
            return
        if body:
            self._clients.reserve_body(len(body))  # what was just released, until the response
        framing = b"Content-Length: %d\r\n" % len(body) if method == b"POST" else b""
        request = ClientRequest(self, keep, forwarded_head(method, url, self._headers) + framing, body)
        self._requests.append(request)
        request.exchange = self._clients.limiter.accept_request(request, terms, self._read_delay.request_s)

    @property
    def _can_keep_alive(self) -> bool:
        """Whether another request may follow; not after an upgrade to another protocol."""
        return self._parser.should_keep_alive() and not self._parser.should_upgrade()

    def _send_continue(self) -> None:
        if self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _accept_streamed(self) -> None:
        """Accepts a request whose body is too long to be buffered and is forwarded as it is received."""
        method, url = self._parser.get_method(), self._url
        try:
            terms = self._clients.checker.parse_terms(method, url, self._headers, True)
        except BadRequestError as error:
            self.reject(error.code)
            return
        length = self._headers.get(b"content-length")
        framing = b"Content-Length: " + length if length else b"Transfer-Encoding: chunked"
        body_length = int(length) if length else None
        forward = forwarded_head(method, url, self._headers) + framing + b"\r\n"
        request = ClientRequest(self, self._can_keep_alive, forward, streamed=True, body_length=body_length)
        self._requests.append(request)
        self._upload = request
        request.exchange = exchange = self._clients.limiter.accept_request(
            request, terms, self._read_delay.request_s
        )
        if expects_continue(self._headers) and length:  # with chunks, 100 Continue was sent with the head
            if exchange.is_over:
                request.keep_alive, self._upload = False, None  # the body may follow or not
                self._ignores_input = self._has_rejected = True
                self._clients.receiving.pop(self, None)
            elif len(self._requests) == 1:
                self._send_continue()
        self._forward_body()

    def _respond(self, keep: bool, code: int, text: str = "") -> None:
        request = ClientRequest(self, keep)
        self._requests.append(request)
        request.send_response(code, text.encode(), b"text/plain" if text else b"")

    def _drop_body(self) -> None:
        self._clients.release_body(len(self._body))
        self._body = bytearray()

    def reject(self, code: int) -> None:
        """Rejects a request that is not read to its end, after the responses to earlier ones."""
        if not self._ignores_input:
            self._ignores_input = self._has_rejected = True
            self._clients.receiving.pop(self, None)
            self._drop_body()
            self._headers = {}
            request, self._upload = self._upload, None
            if request is None or request not in self._requests:
                if request:
                    request.release()
                self._respond(False, code)
                return
            if request.exchange:
                self._clients.limiter.abandon(request.exchange)
            request.keep_alive = False
            if request.streamed_head:
                request.abort_response()
            else:
                request.send_response(code)

    # --- Answering -----------------------------------------------------------------------------
    def flush(self) -> None:
        """Writes the available responses in the order of their requests, with one write."""
        if self._transport is None or self._transport.is_closing() or self._is_parsing:
            return
        parts: list[bytes] = []
        last = False
        while self._requests and not last:
            request = self._requests[0]
            if reply := request.reply:
                self._request_answered()
                code, headers, body = reply
                # The rest of its body is read and discarded, so that the client gets the response.
                last = not self._requests and request is not self._upload and not self._unparsed
                last = last and not (request.keep_alive and self._clients.keeps_connections)
                parts += whole_response(code, headers, body, last)
                continue
            if request.broken:
                self.abort("a response can't be finished")  # shows the client that it is incomplete
                return
            if not request.streamed_head:
                break
            self._streaming_response = request
            parts += self._streamed_parts(request)
            if not request.is_complete:
                break
            self._request_answered()
            self._streaming_response, last = None, request.closes_connection
        if parts:
            self.has_responded = True
            self._transport.write(b"".join(parts))
            if self._is_read_paused or self._streaming_response:
                self._update_reading()
        if last:
            self._end_after_response()
        elif self.is_idle and not self._ignores_input:
            self._clients.idle_connections[self] = None
            self._clients.connection_idle(self)

    def _request_answered(self) -> None:
        """Removes the first request, whose response was passed on."""
        request = self._requests.popleft()
        self._clients.release_body(len(request.body))
        if request is not self._upload:
            request.release()

    def _streamed_parts(self, request: ClientRequest) -> list[bytes]:
        """Returns the available part of a forwarded response, framed for this client."""
        assert request.streamed_head
        headers, length = request.streamed_head
        pieces, request.pieces = request.pieces, []
        body = streamed_body(pieces, length is None and not self._is_http10, request.is_complete)
        if request.is_head_written:
            return body
        request.is_head_written = True
        request.closes_connection = not request.keep_alive or (length is None and self._is_http10)
        request.closes_connection = request.closes_connection or (
            len(self._requests) == 1
            and self._upload is None
            and not self._unparsed
            and not self._clients.keeps_connections
        )
        if request.closes_connection:
            self._ignores_input = True
        return streamed_head(headers, length, self._is_http10, request.closes_connection) + body

    def _end_after_response(self) -> None:
        """Closes the connection after the last response: at once, if that can't lose any of it."""
        self._ignores_input = True
        if self._transport is None or self._transport.is_closing():
            return
        self._trace_close("after its last response")
        if (
            not self._has_rejected
            and not has_unsent_response(self._transport, self._sock)
            and peek(self._sock) is not UnreadData.BYTES
        ):
            self._transport.close()
            return
        self.request_begun_at, self._is_lingering = None, True
        self._update_reading()
        close_when_delivered(self._transport, self._sock, LINGER_S, WRITE_TIMEOUT_S)
