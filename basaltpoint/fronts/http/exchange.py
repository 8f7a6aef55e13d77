"""One request through the HTTP front: receives its body, runs its attempts and sends its response."""

from __future__ import annotations

import logging
from time import monotonic
from typing import Protocol

from basaltpoint.core.table import Reply, RequestResult
from basaltpoint.fronts.http import message
from basaltpoint.fronts.http.connection import ClientConnection
from basaltpoint.fronts.http.message import Headers, Request, UpstreamRequest
from basaltpoint.fronts.upload_deadline import BodyArrival, UploadDeadline
from basaltpoint.interface import RefusalReason, Status
from basaltpoint.routing.accounts import Account
from basaltpoint.routing.routes import Route
from basaltpoint.system.send_progress import SendProgress
from basaltpoint.upstream.servers import AttemptResult
from basaltpoint.upstream.streams import StreamAttempt, StreamConnection

log = logging.getLogger(__name__)

# An attempt that begins later after its client has disconnected was not wanted.
CLIENT_CHECK_AFTER_S = 0.05
MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024  # a retryable error response is buffered in case no retry follows
RETRYABLE_STATUSES = (502, 503, 504)  # errors that another server may not have

RESULT_RESPONSES = {
    RequestResult.FAILED: (502, "no server answered"),
    RequestResult.OVERDUE: (504, "no answer in time"),
    RequestResult.FAULT: (500, "internal error"),
    RequestResult.BUSY: (503, "too many requests in hand"),
    RequestResult.DUPLICATE: (409, "a request of this name is open"),
}
REFUSAL_RESPONSES = {
    RefusalReason.QUOTA: (429, "quota"),
    RefusalReason.CEILING: (429, "ceiling"),
    RefusalReason.PARALLEL: (429, "too many at once"),
    RefusalReason.LOAD: (503, "load"),
    RefusalReason.SERVERS: (503, "no server"),
    RefusalReason.MEMBERSHIP: (503, "servers not confirmed"),
    RefusalReason.LATE: (503, "too late"),
}


class ExchangeOwner(Protocol):
    """The limiter around the request exchanges."""

    name: bytes
    buffer_bytes: int  # bytes of a streamed body that are buffered for a slow receiver

    def reserve_memory(self, size: int) -> bool:
        """Reserves memory for bytes of a body; returns False if none is left."""

    def release_memory(self, size: int) -> None: ...
    def submit(self, exchange: RequestExchange) -> None: ...
    def client_disconnected(self, exchange: RequestExchange) -> None: ...
    def response_started(self, exchange: RequestExchange) -> None: ...
    def upload_started(self, exchange: RequestExchange) -> None: ...
    def upload_finished(self, exchange: RequestExchange) -> None: ...
    def attempt_ended(self, exchange: RequestExchange, status: Status, final: bool) -> None: ...
    def refusal_headers(self, exchange: RequestExchange, effect: Reply) -> Headers: ...


class RequestExchange:
    """One client request: its body, its attempts and its response."""

    def __init__(
        self,
        relay: ExchangeOwner,
        connection: ClientConnection,
        request: Request,
        route: Route,
        account: Account,
    ) -> None:
        self.relay = relay
        self.connection = connection
        self.request = request
        self.route = route
        self.account = account
        self.upstream_request: UpstreamRequest
        self.class_number = route.class_rules.class_number
        self.wait_ms = route.class_rules.deadline_ms
        self.request_number = 0
        self.attempt: StreamAttempt | None = None
        self.attempt_number = 0
        self.stream: StreamConnection | None = None
        self.is_finished = False
        # The request's body. It is buffered up to the route's limit; a longer one is streamed and not
        # retried.
        self.body = bytearray()
        self.body_bytes = 0
        self.reserved_bytes = 0
        self.body_complete = False
        self.body_complete_at = monotonic()
        self.body_streamed = False
        self._upload_deadline: UploadDeadline | None = None  # of a streamed body
        self._server_blocked_at = 0.0  # monotonic seconds
        self._upload_progress: SendProgress | None = None  # while the server accepts no more of the body
        self.server_blocked = False  # the server's connection accepts no more data at present
        self.body_trailers: Headers = []
        # The response.
        self.response_started = False
        self.status = Status.OK
        self.response_head: tuple[int, bytes, Headers, int | None] | None = None
        self.buffered_body: bytearray | None = None  # of an error response that is withheld for a retry
        self.buffered_complete = False
        self.trailers: Headers = []

    # --- The request's body ----------------------------------------------------------------------
    def body_received(self, piece: bytes) -> None:
        self.body_bytes += len(piece)
        if self.route.max_body_bytes and self.body_bytes > self.route.max_body_bytes:
            self._reject(413, "the body is too long")
        elif not self.relay.reserve_memory(len(piece)):
            self._reject(503, "no memory for bodies")
        else:
            self.reserved_bytes += len(piece)
            self.body += piece
            if self._upload_deadline:
                self._upload_deadline.bytes_read(
                    self.connection.has_read_all, self.connection.latest_bytes_at
                )
            if self.body_streamed:
                self._send_body()
            elif self.body_bytes > self.route.max_kept_body_bytes:
                self._stream_body()
                self.relay.submit(self)
                self._send_body()

    def body_completed(self, trailers: Headers) -> None:
        if self.is_finished:
            return
        self.body_complete, self.body_trailers = True, trailers
        if self._upload_deadline:
            self._upload_deadline.body_read(self.connection.request_complete_at)
            self.body_complete_at = self._upload_deadline.waiting_since
            self._send_body()
        else:
            self.body_complete_at = self.connection.client_waiting_since
            self.relay.submit(self)

    def _reject(self, code: int, reason: str) -> None:
        """Sends an error response while the body is being received; the connection is closed after it."""
        if self.is_finished:
            return
        if self.request_number:
            self.relay.client_disconnected(self)
        self._finish()
        if self.response_started:
            self.connection.reset()
        else:
            self.connection.send_response(code, reason, [])

    def _send_body(self) -> None:
        """Sends the buffered part of a streamed body, if the server's connection accepts it."""
        stream = self.stream
        if stream is not None and not self.server_blocked and stream.is_sending_body:
            data, self.body = bytes(self.body), bytearray()
            stream.send_body(data)
            self.relay.release_memory(len(data))
            self.reserved_bytes -= len(data)
            if self.body_complete:
                self._cancel_upload_deadline()
                stream.finish_body(message.trailer_section(self.body_trailers))
                self.relay.upload_finished(self)
        is_paused = self.body_streamed and self.reserved_bytes > self.relay.buffer_bytes
        if self._upload_deadline:
            self._upload_deadline.reading(is_paused)
        self.connection.pause_upload(is_paused)

    def _stream_body(self) -> None:
        """Forwards the body as it is received from now on, as it is too long to be kept for a retry."""
        self.body_streamed = True
        self._upload_deadline = UploadDeadline(
            self.request.body_length, self.wait_ms, self._body_arrival, self._upload_expired
        )

    def _body_arrival(self) -> BodyArrival:
        return self.connection.body_arrival(self.body_bytes)

    def _upload_expired(self) -> None:
        """The client may have waited long enough: the attempt ends, however much the server has taken."""
        if self._upload_deadline and self.stream:
            log.warning("a server takes a body too slowly for its client, who waits for a response")
            self.body_complete_at = self._upload_deadline.waiting_since
            self.relay.upload_finished(self)

    def _cancel_upload_deadline(self) -> None:
        if self._upload_deadline:
            self._upload_deadline.cancel()

    def end_if_client_disconnected(self) -> bool:
        """Ends the exchange if its client has disconnected unnoticed; returns whether it did."""
        if self.is_finished or not self.connection.client_disconnected_unnoticed:
            return False
        self._disconnected_unnoticed()
        return True

    def _disconnected_unnoticed(self) -> None:
        self.client_disconnected()
        self.connection.reset()

    def upload_stall(self, now: float, timeout_s: float) -> str | None:
        """Describes the upload if the server has accepted nothing of it for `timeout_s` seconds.

        A server that is answering need not take the rest: then the pauses of its response count.
        """
        progress = None if self.response_started else self._upload_progress
        if progress is None or progress.seconds_without_progress(now) <= timeout_s:
            return None
        return progress.describe(now)

    # --- Events of the attempt ---------------------------------------------------------------------
    def upstream_message(self) -> bytes:
        if self.body_streamed:
            return self.upstream_request.with_stream(self.request.body_length)
        return self.upstream_request.with_body(bytes(self.body))

    def connected(self, stream: StreamConnection) -> None:
        self.stream = stream
        if self.body_streamed:
            stream.start_body(self.request.body_length is None)
            self.relay.upload_started(self)
            if self._upload_deadline:
                self._upload_deadline.start()
            self._send_body()

    def writable(self, ready: bool) -> None:
        self.server_blocked = not ready
        if not ready:
            self._note_blocked_server()
            return
        waited_s, self._upload_progress = monotonic() - self._server_blocked_at, None
        if waited_s > CLIENT_CHECK_AFTER_S and self.end_if_client_disconnected():
            return
        if self.body_streamed:
            self._send_body()

    def _note_blocked_server(self) -> None:
        if self._upload_progress is None and self.stream:
            self._server_blocked_at = monotonic()
            self._upload_progress = self.stream.send_progress(self._server_blocked_at)

    def interim(self, code: int, headers: Headers) -> None:
        if not self.is_finished:
            self.connection.send_interim(code, headers)

    def head(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        self.response_head = code, reason, headers, length
        self.status = Status.OK if code < 500 else Status.ERROR
        self.buffered_body = (
            bytearray()
            if code in RETRYABLE_STATUSES and (length or 0) <= MAX_BUFFERED_RESPONSE_BYTES
            else None
        )
        self.buffered_complete = False
        if self.buffered_body is None:
            self._start_response()

    def _start_response(self) -> None:
        """Starts forwarding the response; cancels the attempt if no client waits for it any more."""
        assert self.response_head and self.attempt
        self.attempt.stop_timeout()
        self.relay.response_started(self)
        if not self.response_started:
            self.attempt.cancel()
            return
        self._cancel_upload_deadline()
        code, reason, headers, length = self.response_head
        set_names = {name.lower() for name, _ in self.route.response_headers}
        forwarded = [pair for pair in message.forwardable_headers(headers) if pair[0] not in set_names]
        via = b"1.1 %s" % self.relay.name
        self.connection.start_response(
            code, reason, [*forwarded, *self.route.response_headers, (b"Via", via)], length
        )
        body, self.buffered_body = self.buffered_body or b"", None
        self.connection.send_body(bytes(body))

    def data(self, piece: bytes) -> None:
        if self.response_started:
            self.connection.send_body(piece)
        elif self.buffered_body is not None:
            self.buffered_body += piece
            if len(self.buffered_body) > MAX_BUFFERED_RESPONSE_BYTES:
                self._start_response()

    def completed(self, trailers: Headers) -> None:
        self.trailers, self.buffered_complete = trailers, True

    def attempt_ended(self, result: AttemptResult) -> None:
        """Handles the end of the attempt; `result` is the result reported by its connection."""
        is_complete = result.status is Status.OK
        status = self.status if is_complete else result.status
        self.attempt = self.stream = None
        self.server_blocked, self._upload_progress = False, None
        self._cancel_upload_deadline()
        self.relay.attempt_ended(self, status, is_complete and self.response_started)

    # --- Events of the client connection ------------------------------------------------------------
    def client_writable(self, ready: bool) -> None:
        if self.stream and self.response_started:
            self.stream.set_paused(not ready)

    def client_disconnected(self) -> None:
        if not self.is_finished:
            self._finish()
            if self.request_number:
                self.relay.client_disconnected(self)

    # --- The response ----------------------------------------------------------------------------
    def reply(self, effect: Reply) -> None:
        """Completes the exchange with the request table's result."""
        if self.is_finished:
            return
        self._finish()
        if self.response_started:
            if effect.result is RequestResult.CUT:
                self.connection.reset()
            else:
                self.connection.finish_response(self.trailers)
        else:
            self._send_response(effect)

    def _send_response(self, effect: Reply) -> None:
        headers = self.relay.refusal_headers(self, effect)
        is_generated = effect.result not in (RequestResult.FAILED, RequestResult.REFUSED)
        if (
            not is_generated
            and self.buffered_body is not None
            and self.buffered_complete
            and self.response_head
        ):
            # The server's own error response says more than a generated one.
            code, _, server_headers, _ = self.response_head
            server_names = {name for name, _ in server_headers}
            merged = message.forwardable_headers(server_headers) + [
                pair for pair in headers if pair[0].lower() not in server_names
            ]
            self.connection.send_response(code, "", merged, bytes(self.buffered_body))
            return
        code, reason = (
            REFUSAL_RESPONSES[effect.reason or RefusalReason.LOAD]
            if effect.result is RequestResult.REFUSED
            else RESULT_RESPONSES[effect.result]
        )
        self.connection.send_response(code, reason, headers)

    def _finish(self) -> None:
        self.is_finished = True
        self._cancel_upload_deadline()
        self._upload_deadline = None  # it refers to this exchange
        self.relay.release_memory(self.reserved_bytes)
        self.reserved_bytes, self.body = 0, bytearray()


class HealthCheck:
    """Receives the response of an active health check; any 2xx status is healthy."""

    def __init__(self) -> None:
        self.is_healthy = False

    def connected(self, stream: StreamConnection) -> None:
        pass

    def writable(self, ready: bool) -> None:
        pass

    def interim(self, code: int, headers: Headers) -> None:
        pass

    def head(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        self.is_healthy = 200 <= code < 300

    def data(self, piece: bytes) -> None:
        pass

    def completed(self, trailers: Headers) -> None:
        pass
