"""One connection of a client: requests read, answers written in their order, its pace and its end."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic
from typing import Protocol, cast

import httptools

from basaltpoint.fronts.platform.client_request import ClientRequest
from basaltpoint.fronts.platform.close_guard import CloseGuard
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.fronts.platform.request_check import BadRequestError, RequestCheck
from basaltpoint.fronts.unread import UnreadData, peek, time_unread_s
from basaltpoint.telemetry import trace
from basaltpoint.upstream.buffered import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 16 * 1024
MAX_PIPELINED = 4  # requests read ahead on a connection; further ones stay in the socket
MIN_BODY_BYTES_PER_S = 32_000  # bytes a second of a body, on the mean; clients may send 64,000
LINGER_S = 1.0  # how long a refused sender may go on before its connection is cut
TCP_ESTABLISHED = 1  # of TCP_INFO's states; after the other side's end, or a reset, it is another
# Where one of these comes twice and differs, another reader may go by the other one.
SINGLE_VALUE_HEADERS = frozenset(
    [
        b"content-length",
        b"idempotency-key",
        b"req-deadline",
        b"req-id",
        b"req-kind",
        b"transfer-encoding",
        b"x-api-key",
        b"x-call-terms",
        b"x-tier",
    ]
)
BODY_HEADERS = (b"content-length", b"transfer-encoding", b"expect")
MAX_HEADERS = 100  # of one request, by name
STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


class ConnectionOwner(Protocol):
    """What a connection needs of those that hold all of them."""

    limiter: Limiter
    checker: RequestCheck
    close_guard: CloseGuard
    idle_connections: dict[ClientConnection, None]
    receiving: dict[ClientConnection, None]

    @property
    def keeps_connections(self) -> bool:
        """Whether a connection stays open behind its answer."""

    @property
    def ready(self) -> bool:
        """Whether a front may bring clients."""

    def reserve_body(self, size: int) -> bool:
        """Account for bytes of bodies; False where there is no memory for them."""

    def release_body(self, size: int) -> None:
        """So many bytes of bodies are held no more."""

    def connection_closed(self, client: ClientConnection) -> None:
        """It has ended."""

    def connection_idle(self, client: ClientConnection) -> None:
        """It has fallen idle: it may be another process's."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, clients: ConnectionOwner, sock: socket.socket, unread_since: float | None) -> None:
        self._clients = clients
        self._unread_since = unread_since  # since when bytes may lie in the socket, monotonic seconds
        self._sock = sock  # to look at what has not been read
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._requests: deque[ClientRequest] = deque()
        self._is_parsing = False  # bytes are being parsed
        self._has_rejected = False  # its sender may still be at it
        self._ignores_input = False  # no further request is read from it
        self._is_lingering = False  # its last answer is on its way: what comes is read past
        self._is_read_paused = False
        self._is_write_paused = False  # it does not read its answers
        self.write_paused_since: float | None = None
        self._is_upload_paused = False  # the server does not take more of its body
        self._read_paused_at = 0.0
        self._upload: ClientRequest | None = None  # whose body is coming, and goes on as it comes
        self._streaming_response: ClientRequest | None = None  # whose answer is being passed on
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body_pieces: list[bytes] = []
        self._received_bytes = 0
        self._last_body_at = 0.0  # when the latest piece of a body came
        self._has_headers = False
        self.request_begun_at: float | None = None  # since when a request is coming in
        self.connected_at = monotonic()
        self._is_http10 = False  # it speaks HTTP/1.0 and knows no chunks
        self.has_responded = False
        self.has_received_request = False  # a whole request has come
        self._may_have_waited = True  # what is read next may have lain in the socket for long
        self._read_unread_s = 0.0  # how long what is being read lay there
        self._begin_unread_s = 0.0  # how long the beginning of the request lay there that is coming in

    # --- Connection ----------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own is no subclass of it
        self._clients.idle_connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._ignores_input = True
        del self._parser  # it holds this object, too: together they would wait for the collector
        self._clients.connection_closed(self)
        calls, self._requests = self._requests, deque()
        self._drop_body()
        self._upload = self._streaming_response = None
        for call in calls:
            self._clients.release_body(len(call.body))
            if call.exchange:
                self._clients.limiter.abandon(call.exchange)

    def pause_writing(self) -> None:
        self._is_write_paused, self.write_paused_since = True, monotonic()
        self._update_reading()

    def resume_writing(self) -> None:
        self._is_write_paused, self.write_paused_since = False, None
        self._update_reading()

    def pause_upload(self, held: bool) -> None:
        """Take no more of a body while the server does not."""
        self._is_upload_paused = held
        self._update_reading()

    def release_body(self, size: int) -> None:
        self._clients.release_body(size)

    def _update_reading(self) -> None:
        """Read on only where what was read before moves on: else one client could fill the memory."""
        if self._streaming_response and self._streaming_response.exchange:
            self._streaming_response.exchange.client_writable(not self._is_write_paused)
        full = self._is_write_paused or self._is_upload_paused or len(self._requests) >= MAX_PIPELINED
        full = full and not self._is_lingering
        if self._transport and full != self._is_read_paused and not self._transport.is_closing():
            self._is_read_paused = full
            if full:
                self._read_paused_at = monotonic()
                self._transport.pause_reading()
            else:
                waited = monotonic() - self._read_paused_at  # by us, not by the client
                self.connected_at += waited
                self.request_begun_at = (
                    self.request_begun_at + waited if self.request_begun_at is not None else None
                )
                self._last_body_at += waited
                self._may_have_waited, self._unread_since = True, self._read_paused_at
                self._transport.resume_reading()

    def close(self, reason: str) -> None:
        unread = not self._ignores_input and peek(self._sock) is UnreadData.BYTES
        self._clients.close_guard.check_close(
            reason, [call.request_id for call in self._requests if call.is_unanswered], unread
        )
        self._ignores_input = True
        self._trace_close(reason)
        if self._transport:
            self._transport.close()

    def _trace_close(self, reason: str) -> None:
        if trace.enabled:
            trace.event("client's connection %d closes: %s", self._sock.fileno(), reason)

    @property
    def is_closable(self) -> bool:
        """Whether it stands between two requests, and the next one does not lie in the socket already."""
        return self.is_idle and peek(self._sock) is not UnreadData.BYTES

    @property
    def client_left_unnoticed(self) -> bool:
        """Whether the client has gone while nothing was read: its end lies behind what it had sent."""
        return self._is_read_paused and self.is_client_gone()

    def is_client_gone(self) -> bool:
        """Whether the client has ended its side, whatever lies unread before that."""
        try:
            state = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            state = TCP_ESTABLISHED
        return state != TCP_ESTABLISHED or peek(self._sock) is UnreadData.END

    def abort(self, reason: str) -> None:
        self._ignores_input = True
        self._trace_close(reason)
        if self._transport:
            self._transport.abort()

    def hand_over(self, send: Callable[[int], bool]) -> bool:
        """Give the connection, between two requests, to another process; False where that can't be now."""
        transport = self._transport
        if transport is None or transport.is_closing() or not self.is_idle or self._is_read_paused:
            return False
        if transport.get_write_buffer_size():
            return False
        if not send(transport.get_extra_info("socket").fileno()):
            return False
        self._ignores_input = True
        # In the same turn, so that nothing is read here that the other needs. The connection lives on in its
        # descriptor.
        transport.abort()
        return True

    def close_if_answered(self) -> None:
        """Close without waiting for a sender that is still at it, once what is due is answered."""
        if self._transport and not self._requests:
            self._trace_close("its request took too long to come")
            self._transport.close()

    def may_have_request(self, since: float) -> bool:
        """Whether a request may be on its way: the connection is new, or its bytes have begun to come."""
        return (not self.has_responded and self.connected_at > since) or (
            self.request_begun_at is not None and self.request_begun_at > since
        )

    def is_request_stalled(self, limit: float) -> bool:
        """Whether a request, or any word on a new connection, has been awaited since before the limit."""
        since = self.request_begun_at if self.has_received_request else self.connected_at
        if since is None or self._ignores_input or self._is_read_paused:
            return False
        return since + (self._received_bytes / MIN_BODY_BYTES_PER_S if self._has_headers else 0.0) < limit

    def is_body_stalled(self, limit: float) -> bool:
        """Whether a body has begun to come, and nothing of it since the limit: its sender has stopped."""
        waits = (
            self.request_begun_at is not None
            and self._has_headers
            and not self._ignores_input
            and not self._is_read_paused
        )
        return waits and self._last_body_at < limit

    @property
    def is_idle(self) -> bool:
        return not self._requests and self.request_begun_at is None

    # --- Reading -------------------------------------------------------------------------------
    def data_received(self, data: bytes) -> None:
        # In pieces, so that a head's size is known to one piece however much is read at once. Nothing is
        # answered between them: a drain closes behind the last answer, and a request may follow in here.
        self._is_parsing = True
        since = self._unread_since
        self._read_unread_s = (
            0.0 if since is None else time_unread_s(self._sock, since, len(data), self.has_responded)
        )
        if len(data) <= MAX_HEAD_BYTES:
            self._feed(data)
        else:
            for start in range(0, len(data), MAX_HEAD_BYTES):
                self._feed(data[start : start + MAX_HEAD_BYTES])
        self._is_parsing = False
        self._may_have_waited = self._may_have_waited and (self._is_read_paused or len(data) > MAX_HEAD_BYTES)
        if (
            not self._may_have_waited and self.request_begun_at is None
        ):  # of a request that is half read the rest may lie there
            self._unread_since = None
        first = self._requests[0] if self._requests else None
        if first is None or first.reply or first.streamed_head or first.broken:
            self.flush()

    def _feed(self, data: bytes) -> None:
        if self._ignores_input:
            return
        self._received_bytes += 0 if self._has_headers else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._ignores_input = True  # the request itself was taken as any other
        except httptools.HttpParserError:
            self.reject(400)
        if not self._has_headers and self._received_bytes > MAX_HEAD_BYTES:
            self.reject(431)

    def on_message_begin(self) -> None:
        # Not with the first bytes: an empty line behind a request is the start of none.
        self.request_begun_at = monotonic()
        self._begin_unread_s = self._read_unread_s
        self._clients.idle_connections.pop(self, None)
        self._clients.receiving[self] = None
        self._url, self._headers, self._body_pieces, self._has_headers = b"", {}, [], False

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > MAX_HEAD_BYTES:
            self.reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        name, value = name.lower(), value.strip()
        headers = self._headers
        if name in headers and name in SINGLE_VALUE_HEADERS and headers[name] != value:
            self.reject(400)
        headers[name] = value
        if len(name) + len(value) > MAX_HEAD_BYTES or len(headers) > MAX_HEADERS:
            self.reject(431)

    def on_headers_complete(self) -> None:
        self._has_headers, self._received_bytes = True, 0
        self._last_body_at = math.inf  # until its first piece the head's time counts
        self._is_http10 = self._parser.get_http_version() == "1.0"
        headers = self._headers
        if not headers.keys().isdisjoint(BODY_HEADERS):
            length = headers.get(b"content-length", b"0")
            if (coding := headers.get(b"transfer-encoding")) is not None and (
                b"content-length" in headers or coding.lower() != b"chunked"
            ):
                self.reject(400)  # its body may hide another request
            elif length.isdigit() and int(length[:9]) > MAX_BODY_BYTES:
                self.reject(413)
            elif length.isdigit() and int(length) > MAX_BUFFERED_BODY_BYTES:
                self._accept_streamed()
            elif self._expects_continue and not self._requests:
                self._send_continue()

    def on_body(self, body: bytes) -> None:
        if self._ignores_input:
            return
        self._last_body_at = monotonic()
        self._received_bytes += len(body)
        if self._received_bytes > MAX_BODY_BYTES:
            self.reject(413)
        elif not self._clients.reserve_body(len(body)):
            self.reject(503)  # many at once could pass the limit on memory
        elif self._upload and self._upload.exchange:
            self._upload.exchange.add_body(body)
        else:
            self._body_pieces.append(body)
            if self._received_bytes > MAX_BUFFERED_BODY_BYTES:
                self._accept_streamed()

    def on_message_complete(self) -> None:
        self.request_begun_at, self._has_headers, self._received_bytes = None, False, 0
        self.has_received_request = True
        self._clients.receiving.pop(self, None)
        upload, self._upload = self._upload, None
        if self._ignores_input:
            return
        if upload and upload.exchange:
            self._ignores_input = not upload.keep_alive
            upload.exchange.finish_body(self._read_unread_s)
            self._update_reading()
            if self._ignores_input and not self._requests:
                self._end_after_response()  # the response was sent before the body ended
            return
        if self._may_have_waited and self.is_client_gone():
            self._ignores_input = True  # it left while this lay here; its end is read next
            return
        keep = self._can_keep_alive
        self._ignores_input = not keep
        self._accept_request(keep)
        if (
            self._is_read_paused
            or self._is_write_paused
            or self._streaming_response
            or len(self._requests) >= MAX_PIPELINED
        ):
            self._update_reading()

    def _accept_request(self, keep: bool) -> None:
        """Take a whole request on, or answer at once that it is none."""
        method, url, body = self._parser.get_method(), self._url, b""
        if self._body_pieces:
            body, self._body_pieces = b"".join(self._body_pieces), []
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
            self._clients.reserve_body(len(body))  # what was just released, until it is answered
        framing = b"Content-Length: %d\r\n" % len(body) if method == b"POST" else b""
        call = ClientRequest(self, keep, self._forwarded_head(method, url) + framing, body)
        self._requests.append(call)
        call.exchange = self._clients.limiter.accept_request(call, terms, self._request_unread_s)

    def _forwarded_head(self, method: bytes, url: bytes) -> bytes:
        head = [method, b" ", url, b" HTTP/1.1\r\nHost: backend.local\r\nReq-Id: ", self._headers[b"req-id"]]
        if key := self._headers.get(b"idempotency-key"):
            head += [b"\r\nIdempotency-Key: ", key]
        if kind := self._headers.get(b"content-type"):
            head += [b"\r\nContent-Type: ", kind]
        return b"".join([*head, b"\r\n"])

    @property
    def _request_unread_s(self) -> float:
        """How long the request lay unread that is taken on; later bytes of it may come only as it is read."""
        begin, read = self._begin_unread_s, self._read_unread_s
        return begin if begin > read else read

    @property
    def _expects_continue(self) -> bool:
        return self._headers.get(b"expect", b"").lower() == b"100-continue"

    @property
    def _can_keep_alive(self) -> bool:
        """Whether another request may follow; behind one for another protocol none of ours can be told."""
        return self._parser.should_keep_alive() and not self._parser.should_upgrade()

    def _send_continue(self) -> None:
        if self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _accept_streamed(self) -> None:
        """Take a request on whose body is too long to be held; it goes on as it comes."""
        method, url = self._parser.get_method(), self._url
        try:
            terms = self._clients.checker.parse_terms(method, url, self._headers, True)
        except BadRequestError as error:
            self.reject(error.code)
            return
        length = self._headers.get(b"content-length")
        framing = b"Content-Length: " + length if length else b"Transfer-Encoding: chunked"
        forward = self._forwarded_head(method, url) + framing + b"\r\n"
        call = ClientRequest(self, self._can_keep_alive, forward, streamed=True, chunked=length is None)
        self._requests.append(call)
        self._upload = call
        call.exchange = passage = self._clients.limiter.accept_request(call, terms, self._request_unread_s)
        if self._expects_continue and length:  # where it is not told the go-ahead was given with the head
            if passage.is_over:
                call.keep_alive, self._upload = False, None  # the body may never come, or come all the same
                self._ignores_input = self._has_rejected = True
                self._clients.receiving.pop(self, None)
            elif len(self._requests) == 1:
                self._send_continue()
        pieces, self._body_pieces = self._body_pieces, []
        for piece in pieces:
            passage.add_body(piece)

    def _respond(self, keep: bool, code: int, text: str = "") -> None:
        call = ClientRequest(self, keep)
        self._requests.append(call)
        call.send_response(code, text.encode(), b"text/plain" if text else b"")

    def _drop_body(self) -> None:
        self._clients.release_body(sum(map(len, self._body_pieces)))
        self._body_pieces = []

    def reject(self, code: int) -> None:
        """Answer what can't be read to its end, behind the answers that are due before it."""
        if not self._ignores_input:
            self._ignores_input = self._has_rejected = True
            self._clients.receiving.pop(self, None)
            self._drop_body()
            call, self._upload = self._upload, None
            if call is None or call not in self._requests:
                self._respond(False, code)
                return
            if call.exchange:
                self._clients.limiter.abandon(call.exchange)
            call.keep_alive = False
            if call.streamed_head:
                call.abort_response()
            else:
                call.send_response(code)

    # --- Answering -----------------------------------------------------------------------------
    def flush(self) -> None:
        """Write the answers that are there, in the order of their requests, in one piece."""
        if self._transport is None or self._transport.is_closing() or self._is_parsing:
            return
        parts: list[bytes] = []
        last = False
        while self._requests and not last:
            call = self._requests[0]
            if reply := call.reply:
                self._requests.popleft()
                if call.body:
                    self._clients.release_body(len(call.body))
                code, headers, body = reply
                # What is still coming of its body is read past, for its sender to find the answer.
                last = not self._requests and call is not self._upload
                last = last and not (call.keep_alive and self._clients.keeps_connections)
                parts.append(b"%sContent-Length: %d\r\n%s" % (STATUS_LINES[code], len(body), headers))
                parts.append(b"Connection: close\r\n\r\n" if last else b"\r\n")
                parts.append(body)
                continue
            if call.broken:
                self.abort("an answer can't be finished")  # the client must see that it is not whole
                return
            if not call.streamed_head:
                break
            self._streaming_response = call
            parts += self._streamed_parts(call)
            if not call.is_complete:
                break
            self._requests.popleft()
            self._clients.release_body(len(call.body))
            self._streaming_response, last = None, call.closes_connection
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

    def _streamed_parts(self, call: ClientRequest) -> list[bytes]:
        """What there is by now of an answer that is passed on, framed for this client."""
        assert call.streamed_head
        headers, length = call.streamed_head
        pieces, call.pieces = call.pieces, []
        bare = length is not None or self._is_http10
        if not bare:
            pieces = [part for piece in pieces if piece for part in (b"%x\r\n" % len(piece), piece, b"\r\n")]
            if call.is_complete:
                pieces.append(b"0\r\n\r\n")
        if call.is_head_written:
            return pieces
        call.is_head_written = True
        call.closes_connection = not call.keep_alive or (length is None and self._is_http10)
        call.closes_connection = call.closes_connection or (
            len(self._requests) == 1 and self._upload is None and not self._clients.keeps_connections
        )
        if call.closes_connection:
            self._ignores_input = True
        framing = b"" if self._is_http10 else b"Transfer-Encoding: chunked\r\n"
        framing = b"Content-Length: %d\r\n" % length if length is not None else framing
        ends = b"Connection: close\r\n\r\n" if call.closes_connection else b"\r\n"
        return [b"HTTP/1.1 200 OK\r\n", framing, headers, ends, *pieces]

    def _end_after_response(self) -> None:
        """Close behind the last answer, and lose none of it to what its sender is still at.

        Closing over bytes that were not read, or that come while the answer is still on its way, resets the
        connection, and what the client has not got of the answer goes with it. So where either may be, the
        sending ends first, and what comes is read past for a while.
        """
        self._ignores_input = True
        if self._transport is None or self._transport.is_closing():
            return
        self._trace_close("behind its last answer")
        if (
            not self._has_rejected
            and not self._transport.get_write_buffer_size()
            and peek(self._sock) is not UnreadData.BYTES
        ):
            self._transport.close()
            return
        self.request_begun_at, self._is_lingering = None, True
        self._update_reading()
        self._transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        """Cut the sender off once the answer has gone out and it had its time; the sweep ends a stuck one."""
        if self._transport and not self._transport.is_closing():
            unsent = self._transport.get_write_buffer_size() > 0
            asyncio.get_running_loop().call_later(LINGER_S, self._linger if unsent else self._transport.abort)
