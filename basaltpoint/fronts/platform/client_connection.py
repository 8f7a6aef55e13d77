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

from basaltpoint.fronts.platform.call import Call
from basaltpoint.fronts.platform.close_guard import CloseGuard
from basaltpoint.fronts.platform.limiter import Limiter
from basaltpoint.fronts.platform.request_check import BadRequestError, RequestCheck
from basaltpoint.fronts.unread import Unread, look, unread_s
from basaltpoint.telemetry import trace
from basaltpoint.upstream.buffered import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES

log = logging.getLogger(__name__)

HEAD_LIMIT = 16 * 1024
PIPELINED = 4  # requests read ahead on a connection; further ones stay in the socket
LEAST_RATE = 32_000  # bytes a second of a body, on the mean; clients may send 64,000
LINGER_S = 1.0  # how long a refused sender may go on before its connection is cut
ESTABLISHED = 1  # of TCP_INFO's states; after the other side's end, or a reset, it is another
# Where one of these comes twice and differs, another reader may go by the other one.
SINGLE = frozenset(
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
FRAMING = (b"content-length", b"transfer-encoding", b"expect")
MOST_HEADERS = 100  # of one request, by name
LINES = {status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus}


class ConnectionOwner(Protocol):
    """What a connection needs of those that hold all of them."""

    limiter: Limiter
    checker: RequestCheck
    close_guard: CloseGuard
    idle: dict[ClientConnection, None]
    coming: dict[ClientConnection, None]

    @property
    def keeps(self) -> bool:
        """Whether a connection stays open behind its answer."""

    @property
    def ready(self) -> bool:
        """Whether a front may bring clients."""

    def hold(self, size: int) -> bool:
        """Account for bytes of bodies; False where there is no memory for them."""

    def release(self, size: int) -> None:
        """So many bytes of bodies are held no more."""

    def gone(self, client: ClientConnection) -> None:
        """It has ended."""

    def passes(self, client: ClientConnection) -> None:
        """It has fallen idle: it may be another process's."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, clients: ConnectionOwner, sock: socket.socket, unread_since: float | None) -> None:
        self._clients = clients
        self._unread_since = unread_since  # since when bytes may lie in the socket, monotonic seconds
        self._sock = sock  # to look at what has not been read
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._calls: deque[Call] = deque()
        self._reading = False  # bytes are being parsed
        self._rejected = False  # its sender may still be at it
        self._deaf = False  # no further request is read from it
        self._ending = False  # its last answer is on its way: what comes is read past
        self._paused = False
        self._stuck = False  # it does not read its answers
        self.stuck_since: float | None = None
        self._held_up = False  # the server does not take more of its body
        self._paused_at = 0.0
        self._upload: Call | None = None  # whose body is coming, and goes on as it comes
        self._turn: Call | None = None  # whose answer is being passed on
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._body_at = 0.0  # when the latest piece of a body came
        self._headed = False
        self.begun: float | None = None  # since when a request is coming in
        self.made = monotonic()
        self._old = False  # it speaks HTTP/1.0 and knows no chunks
        self.served = False
        self.taken = False  # a whole request has come
        self._waited = True  # what is read next may have lain in the socket for long
        self._read_lain_s = 0.0  # how long what is being read lay there
        self._begin_lain_s = 0.0  # how long the beginning of the request lay there that is coming in

    # --- Connection ----------------------------------------------------------------------------
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own is no subclass of it
        self._clients.idle[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._deaf = True
        del self._parser  # it holds this object, too: together they would wait for the collector
        self._clients.gone(self)
        calls, self._calls = self._calls, deque()
        self._drop_body()
        self._upload = self._turn = None
        for call in calls:
            self._clients.release(len(call.body))
            if call.passage:
                self._clients.limiter.abandon(call.passage)

    def pause_writing(self) -> None:
        self._stuck, self.stuck_since = True, monotonic()
        self._pace()

    def resume_writing(self) -> None:
        self._stuck, self.stuck_since = False, None
        self._pace()

    def hold_upload(self, held: bool) -> None:
        """Take no more of a body while the server does not."""
        self._held_up = held
        self._pace()

    def release(self, size: int) -> None:
        self._clients.release(size)

    def _pace(self) -> None:
        """Read on only where what was read before moves on: else one client could fill the memory."""
        if self._turn and self._turn.passage:
            self._turn.passage.reading(not self._stuck)
        full = self._stuck or self._held_up or len(self._calls) >= PIPELINED
        full = full and not self._ending
        if self._transport and full != self._paused and not self._transport.is_closing():
            self._paused = full
            if full:
                self._paused_at = monotonic()
                self._transport.pause_reading()
            else:
                waited = monotonic() - self._paused_at  # by us, not by the client
                self.made += waited
                self.begun = self.begun + waited if self.begun is not None else None
                self._body_at += waited
                self._waited, self._unread_since = True, self._paused_at
                self._transport.resume_reading()

    def close(self, reason: str) -> None:
        unread = not self._deaf and look(self._sock) is Unread.BYTES
        self._clients.close_guard.closing(reason, [call.name for call in self._calls if call.due], unread)
        self._deaf = True
        self._trace_close(reason)
        if self._transport:
            self._transport.close()

    def _trace_close(self, reason: str) -> None:
        if trace.enabled:
            trace.event("client's connection %d closes: %s", self._sock.fileno(), reason)

    @property
    def closable(self) -> bool:
        """Whether it stands between two requests, and the next one does not lie in the socket already."""
        return self.idle and look(self._sock) is not Unread.BYTES

    @property
    def left(self) -> bool:
        """Whether the client has gone while nothing was read: its end lies behind what it had sent."""
        return self._paused and self.gone()

    def gone(self) -> bool:
        """Whether the client has ended its side, whatever lies unread before that."""
        try:
            state = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except OSError:
            state = ESTABLISHED
        return state != ESTABLISHED or look(self._sock) is Unread.END

    def abort(self, reason: str) -> None:
        self._deaf = True
        self._trace_close(reason)
        if self._transport:
            self._transport.abort()

    def pass_on(self, send: Callable[[int], bool]) -> bool:
        """Give the connection, between two requests, to another process; False where that can't be now."""
        transport = self._transport
        if transport is None or transport.is_closing() or not self.idle or self._paused:
            return False
        if transport.get_write_buffer_size():
            return False
        if not send(transport.get_extra_info("socket").fileno()):
            return False
        self._deaf = True
        # In the same turn, so that nothing is read here that the other needs. The connection lives on in its
        # descriptor.
        transport.abort()
        return True

    def cut(self) -> None:
        """Close without waiting for a sender that is still at it, once what is due is answered."""
        if self._transport and not self._calls:
            self._trace_close("its request took too long to come")
            self._transport.close()

    def due(self, since: float) -> bool:
        """Whether a request may be on its way: the connection is new, or its bytes have begun to come."""
        return (not self.served and self.made > since) or (self.begun is not None and self.begun > since)

    def stalled(self, limit: float) -> bool:
        """Whether a request, or any word on a new connection, has been awaited since before the limit."""
        since = self.begun if self.taken else self.made
        if since is None or self._deaf or self._paused:
            return False
        return since + (self._size / LEAST_RATE if self._headed else 0.0) < limit

    def quiet(self, limit: float) -> bool:
        """Whether a body has begun to come, and nothing of it since the limit: its sender has stopped."""
        waits = self.begun is not None and self._headed and not self._deaf and not self._paused
        return waits and self._body_at < limit

    @property
    def idle(self) -> bool:
        return not self._calls and self.begun is None

    # --- Reading -------------------------------------------------------------------------------
    def data_received(self, data: bytes) -> None:
        # In pieces, so that a head's size is known to one piece however much is read at once. Nothing is
        # answered between them: a drain closes behind the last answer, and a request may follow in here.
        self._reading = True
        since = self._unread_since
        self._read_lain_s = 0.0 if since is None else unread_s(self._sock, since, len(data), self.served)
        if len(data) <= HEAD_LIMIT:
            self._feed(data)
        else:
            for start in range(0, len(data), HEAD_LIMIT):
                self._feed(data[start : start + HEAD_LIMIT])
        self._reading = False
        self._waited = self._waited and (self._paused or len(data) > HEAD_LIMIT)
        if not self._waited and self.begun is None:  # of a request that is half read the rest may lie there
            self._unread_since = None
        first = self._calls[0] if self._calls else None
        if first is None or first.reply or first.started or first.broken:
            self.flush()

    def _feed(self, data: bytes) -> None:
        if self._deaf:
            return
        self._size += 0 if self._headed else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._deaf = True  # the request itself was taken as any other
        except httptools.HttpParserError:
            self.reject(400)
        if not self._headed and self._size > HEAD_LIMIT:
            self.reject(431)

    def on_message_begin(self) -> None:
        # Not with the first bytes: an empty line behind a request is the start of none.
        self.begun = monotonic()
        self._begin_lain_s = self._read_lain_s
        self._clients.idle.pop(self, None)
        self._clients.coming[self] = None
        self._url, self._headers, self._body, self._headed = b"", {}, [], False

    def on_url(self, url: bytes) -> None:
        self._url += url
        if len(self._url) > HEAD_LIMIT:
            self.reject(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        name, value = name.lower(), value.strip()
        headers = self._headers
        if name in headers and name in SINGLE and headers[name] != value:
            self.reject(400)
        headers[name] = value
        if len(name) + len(value) > HEAD_LIMIT or len(headers) > MOST_HEADERS:
            self.reject(431)

    def on_headers_complete(self) -> None:
        self._headed, self._size = True, 0
        self._body_at = math.inf  # until its first piece the head's time counts
        self._old = self._parser.get_http_version() == "1.0"
        headers = self._headers
        if not headers.keys().isdisjoint(FRAMING):
            length = headers.get(b"content-length", b"0")
            if (coding := headers.get(b"transfer-encoding")) is not None and (
                b"content-length" in headers or coding.lower() != b"chunked"
            ):
                self.reject(400)  # its body may hide another request
            elif length.isdigit() and int(length[:9]) > MAX_BODY_BYTES:
                self.reject(413)
            elif length.isdigit() and int(length) > MAX_BUFFERED_BODY_BYTES:
                self._stream()
            elif self._expects and not self._calls:
                self._go_ahead()

    def on_body(self, body: bytes) -> None:
        if self._deaf:
            return
        self._body_at = monotonic()
        self._size += len(body)
        if self._size > MAX_BODY_BYTES:
            self.reject(413)
        elif not self._clients.hold(len(body)):
            self.reject(503)  # many at once could pass the limit on memory
        elif self._upload and self._upload.passage:
            self._upload.passage.feed(body)
        else:
            self._body.append(body)
            if self._size > MAX_BUFFERED_BODY_BYTES:
                self._stream()

    def on_message_complete(self) -> None:
        self.begun, self._headed, self._size = None, False, 0
        self.taken = True
        self._clients.coming.pop(self, None)
        upload, self._upload = self._upload, None
        if self._deaf:
            return
        if upload and upload.passage:
            self._deaf = not upload.keep
            upload.passage.fed(self._read_lain_s)
            self._pace()
            if self._deaf and not self._calls:
                self._end()  # its answer went out ahead of the body's end, with nothing to close behind it
            return
        if self._waited and self.gone():
            self._deaf = True  # it left while this lay here; its end is read next
            return
        keep = self._keep
        self._deaf = not keep
        self._take(keep)
        if self._paused or self._stuck or self._turn or len(self._calls) >= PIPELINED:
            self._pace()

    def _take(self, keep: bool) -> None:
        """Take a whole request on, or answer at once that it is none."""
        method, url, body = self._parser.get_method(), self._url, b""
        if self._body:
            body, self._body = b"".join(self._body), []
            self._clients.release(len(body))
        if url.partition(b"?")[0] == b"/up":
            self._reply(keep, 200 if self._clients.ready else 503)
            return
        try:
            terms = self._clients.checker.terms(method, url, self._headers, bool(body))
        except BadRequestError as error:
            self._reply(keep, error.code, str(error))
            return
        if body:
            self._clients.hold(len(body))  # what was just released, until it is answered
        framing = b"Content-Length: %d\r\n" % len(body) if method == b"POST" else b""
        call = Call(self, keep, self._forward(method, url) + framing, body)
        self._calls.append(call)
        call.passage = self._clients.limiter.take(call, terms, self._lain_s)

    def _forward(self, method: bytes, url: bytes) -> bytes:
        head = [method, b" ", url, b" HTTP/1.1\r\nHost: backend.local\r\nReq-Id: ", self._headers[b"req-id"]]
        if key := self._headers.get(b"idempotency-key"):
            head += [b"\r\nIdempotency-Key: ", key]
        if kind := self._headers.get(b"content-type"):
            head += [b"\r\nContent-Type: ", kind]
        return b"".join([*head, b"\r\n"])

    @property
    def _lain_s(self) -> float:
        """How long the request lay unread that is taken on; later bytes of it may come only as it is read."""
        begin, read = self._begin_lain_s, self._read_lain_s
        return begin if begin > read else read

    @property
    def _expects(self) -> bool:
        return self._headers.get(b"expect", b"").lower() == b"100-continue"

    @property
    def _keep(self) -> bool:
        """Whether another request may follow; behind one for another protocol none of ours can be told."""
        return self._parser.should_keep_alive() and not self._parser.should_upgrade()

    def _go_ahead(self) -> None:
        if self._transport:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _stream(self) -> None:
        """Take a request on whose body is too long to be held; it goes on as it comes."""
        method, url = self._parser.get_method(), self._url
        try:
            terms = self._clients.checker.terms(method, url, self._headers, True)
        except BadRequestError as error:
            self.reject(error.code)
            return
        length = self._headers.get(b"content-length")
        framing = b"Content-Length: " + length if length else b"Transfer-Encoding: chunked"
        forward = self._forward(method, url) + framing + b"\r\n"
        call = Call(self, self._keep, forward, streamed=True, chunked=length is None)
        self._calls.append(call)
        self._upload = call
        call.passage = passage = self._clients.limiter.take(call, terms, self._lain_s)
        if self._expects and length:  # where it is not told the go-ahead was given with the head
            if passage.over:
                call.keep, self._upload = False, None  # the body may never come, or come all the same
                self._deaf = self._rejected = True
                self._clients.coming.pop(self, None)
            elif len(self._calls) == 1:
                self._go_ahead()
        pieces, self._body = self._body, []
        for piece in pieces:
            passage.feed(piece)

    def _reply(self, keep: bool, code: int, text: str = "") -> None:
        call = Call(self, keep)
        self._calls.append(call)
        call.answer(code, text.encode(), b"text/plain" if text else b"")

    def _drop_body(self) -> None:
        self._clients.release(sum(map(len, self._body)))
        self._body = []

    def reject(self, code: int) -> None:
        """Answer what can't be read to its end, behind the answers that are due before it."""
        if not self._deaf:
            self._deaf = self._rejected = True
            self._clients.coming.pop(self, None)
            self._drop_body()
            call, self._upload = self._upload, None
            if call is None or call not in self._calls:
                self._reply(False, code)
                return
            if call.passage:
                self._clients.limiter.abandon(call.passage)
            call.keep = False
            if call.started:
                call.cut()
            else:
                call.answer(code)

    # --- Answering -----------------------------------------------------------------------------
    def flush(self) -> None:
        """Write the answers that are there, in the order of their requests, in one piece."""
        if self._transport is None or self._transport.is_closing() or self._reading:
            return
        parts: list[bytes] = []
        last = False
        while self._calls and not last:
            call = self._calls[0]
            if reply := call.reply:
                self._calls.popleft()
                if call.body:
                    self._clients.release(len(call.body))
                code, headers, body = reply
                # What is still coming of its body is read past, for its sender to find the answer.
                last = not self._calls and call is not self._upload
                last = last and not (call.keep and self._clients.keeps)
                parts.append(b"%sContent-Length: %d\r\n%s" % (LINES[code], len(body), headers))
                parts.append(b"Connection: close\r\n\r\n" if last else b"\r\n")
                parts.append(body)
                continue
            if call.broken:
                self.abort("an answer can't be finished")  # the client must see that it is not whole
                return
            if not call.started:
                break
            self._turn = call
            parts += self._passed_on(call)
            if not call.done:
                break
            self._calls.popleft()
            self._clients.release(len(call.body))
            self._turn, last = None, call.ends
        if parts:
            self.served = True
            self._transport.write(b"".join(parts))
            if self._paused or self._turn:
                self._pace()
        if last:
            self._end()
        elif self.idle and not self._deaf:
            self._clients.idle[self] = None
            self._clients.passes(self)

    def _passed_on(self, call: Call) -> list[bytes]:
        """What there is by now of an answer that is passed on, framed for this client."""
        assert call.started
        headers, length = call.started
        pieces, call.pieces = call.pieces, []
        bare = length is not None or self._old
        if not bare:
            pieces = [part for piece in pieces if piece for part in (b"%x\r\n" % len(piece), piece, b"\r\n")]
            if call.done:
                pieces.append(b"0\r\n\r\n")
        if call.begun:
            return pieces
        call.begun = True
        call.ends = not call.keep or (length is None and self._old)
        call.ends = call.ends or (len(self._calls) == 1 and self._upload is None and not self._clients.keeps)
        if call.ends:
            self._deaf = True
        framing = b"" if self._old else b"Transfer-Encoding: chunked\r\n"
        framing = b"Content-Length: %d\r\n" % length if length is not None else framing
        ends = b"Connection: close\r\n\r\n" if call.ends else b"\r\n"
        return [b"HTTP/1.1 200 OK\r\n", framing, headers, ends, *pieces]

    def _end(self) -> None:
        """Close behind the last answer, and lose none of it to what its sender is still at.

        Closing over bytes that were not read, or that come while the answer is still on its way, resets the
        connection, and what the client has not got of the answer goes with it. So where either may be, the
        sending ends first, and what comes is read past for a while.
        """
        self._deaf = True
        if self._transport is None or self._transport.is_closing():
            return
        self._trace_close("behind its last answer")
        if (
            not self._rejected
            and not self._transport.get_write_buffer_size()
            and look(self._sock) is not Unread.BYTES
        ):
            self._transport.close()
            return
        self.begun, self._ending = None, True
        self._pace()
        self._transport.write_eof()
        self._linger()

    def _linger(self) -> None:
        """Cut the sender off once the answer has gone out and it had its time; the sweep ends a stuck one."""
        if self._transport and not self._transport.is_closing():
            unsent = self._transport.get_write_buffer_size() > 0
            asyncio.get_running_loop().call_later(LINGER_S, self._linger if unsent else self._transport.abort)
