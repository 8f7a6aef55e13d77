"""The exchange of one request in the platform's front: its body, its attempts and its response."""

from __future__ import annotations

import logging
import math
from time import monotonic
from typing import Protocol

from basaltpoint.core.table import Reply, RequestResult
from basaltpoint.fronts.upload_deadline import BodyArrival, UploadDeadline
from basaltpoint.system.send_progress import SendProgress
from basaltpoint.telemetry.response_times import ResponseTimes
from basaltpoint.upstream.buffered import MAX_BUFFERED_BODY_BYTES, BufferedAttempt
from basaltpoint.upstream.servers import AttemptResult
from basaltpoint.upstream.streams import StreamConnection

log = logging.getLogger(__name__)

# An attempt that starts 0.1 s after its client has disconnected counts as a lost request.
CLIENT_CHECK_AFTER_S = 0.05
MAX_READ_AHEAD_BYTES = 4 * MAX_BUFFERED_BODY_BYTES  # of a streamed body, before a server accepts any

STATUS_CODES = {
    RequestResult.REFUSED: 429,
    RequestResult.FAILED: 502,
    RequestResult.OVERDUE: 504,
    RequestResult.FAULT: 500,
    RequestResult.BUSY: 503,
    RequestResult.DUPLICATE: 409,
}


class ClientSide(Protocol):
    """A client's request, and how its response is sent."""

    @property
    def forwarded_head(self) -> bytes: ...  # request line and headers for the server, without the deadline
    @property
    def body(self) -> bytes: ...  # empty if the body is streamed
    @property
    def streamed(self) -> bool: ...  # the body is forwarded as it is received
    @property
    def body_length(self) -> int | None: ...  # of the streamed body; None if it is chunked
    @property
    def client_disconnected_unnoticed(self) -> bool: ...  # while reading was paused
    def has_client_disconnected(self) -> bool: ...  # according to the kernel
    def body_arrival(self) -> BodyArrival: ...  # how far the streamed body has come
    def close_connection(self) -> None: ...  # closes it at once; the client has disconnected
    def send_response(
        self, code: int, body: bytes = b"", content_type: bytes = b"", retry_s: float = 0.0
    ) -> None: ...
    def start_response(
        self, content_type: bytes, length: int | None
    ) -> None: ...  # of a response that is sent in pieces
    def send_piece(self, data: bytes) -> None: ...
    def finish_response(self) -> None: ...
    def abort_response(self) -> None: ...  # must not look complete to the client
    def pause_upload(self, paused: bool) -> None: ...
    def release_body(self, size: int) -> None: ...  # bytes of the body are no longer buffered


class RequestHandler(Protocol):
    """What an exchange needs of the limiter."""

    response_times: ResponseTimes

    @property
    def process_deadline(self) -> float: ...  # when the process ends, monotonic seconds; infinite at first
    def response_started(self, exchange: RequestExchange) -> None: ...
    def upload_started(self, exchange: RequestExchange) -> None: ...
    def upload_finished(self, exchange: RequestExchange) -> None: ...
    def abandon(self, exchange: RequestExchange) -> None: ...  # its client has disconnected
    def message(self, exchange: RequestExchange) -> bytes: ...  # with the time that is left now


class RequestExchange:
    """One request; receives responses that are too long to be buffered."""

    __slots__ = (
        "_handler",
        "_is_body_complete",
        "_is_server_full",
        "_server_full_at",
        "_unsent",
        "_upload_deadline",
        "_upload_progress",
        "attempt",
        "attempt_deadline_ms",
        "attempt_number",
        "body_complete_at",
        "client",
        "cls",
        "has_client_left",
        "is_attempt_written",
        "is_over",
        "may_have_run",
        "request_id",
        "request_number",
        "response_started",
        "stream",
        "wait_ms",
    )

    def __init__(
        self, handler: RequestHandler, client: ClientSide, request_id: bytes, cls: int, wait_ms: float
    ) -> None:
        self._handler = handler
        self.client = client
        self.request_id = request_id
        self.cls = cls
        self.wait_ms = wait_ms  # for the response, from the last byte of the body
        self.request_number = 0
        self.attempt_number = 0  # of the outstanding attempt
        self.attempt_deadline_ms = 0.0  # of the outstanding attempt, by the decision module's clock
        self.attempt: BufferedAttempt | None = None
        self.stream: StreamConnection | None = (
            None  # the server connection, if the body or response is streamed
        )
        self.response_started = False  # the response is being forwarded
        self.is_over = False
        self.has_client_left = False  # without a response
        self.is_attempt_written = False  # to its last byte
        self.may_have_run = False  # an attempt that has ended
        self._upload_progress: SendProgress | None = None  # while the server accepts no more of the body
        self._unsent = bytearray()  # of a streamed body, received and not yet sent to the server
        self._is_body_complete = not client.streamed
        self.body_complete_at = monotonic()
        self._is_server_full = False
        self._server_full_at = 0.0  # when the server last stopped accepting the body, monotonic seconds
        self._upload_deadline = (
            UploadDeadline(client.body_length, wait_ms, client.body_arrival, self._upload_expired)
            if client.streamed
            else None
        )

    # --- A streamed body, called by the client's connection --------------------------------------
    def add_body(self, piece: bytes) -> None:
        """Adds a piece of the body; it is discarded if the request has ended."""
        if self.is_over:
            self.client.release_body(len(piece))
            return
        self._unsent += piece
        self._send_body()

    def bytes_read(self, is_all: bool, unread_s: float) -> None:
        """Part of the body was read; `is_all`: certainly all that the client's socket held.

        `unread_s`: how long these bytes were unread.
        """
        if self._upload_deadline:
            self._upload_deadline.bytes_read(is_all, monotonic() - unread_s)

    def finish_body(self, rest: bytes, unread_s: float) -> None:
        """Adds the last piece of the body, whose bytes were unread for `unread_s` seconds.

        No server gets it if the client has disconnected, so that none runs the request.
        """
        if not self.is_over and self.client.has_client_disconnected():
            self.client.release_body(len(rest))
            self._disconnected_unnoticed()
            return
        if self.is_over:
            self.client.release_body(len(rest))
        else:
            self._unsent += rest
        self._is_body_complete, self.body_complete_at = True, monotonic() - unread_s
        if self._upload_deadline:
            self._upload_deadline.body_read(self.body_complete_at)
            self.body_complete_at = self._upload_deadline.waiting_since
        self._send_body()

    def _send_body(self) -> None:
        """Forwards the buffered body as far as the server accepts it."""
        stream = self.stream
        if stream is not None and stream.is_sending_body and not self._is_server_full:
            body, self._unsent = bytes(self._unsent), bytearray()
            stream.send_body(body)
            self.client.release_body(len(body))
            if self._is_body_complete:
                self._cancel_upload_deadline()
                self._handler.upload_finished(self)
                stream.finish_body()
        # Some of it is read ahead while no server accepts it: the end of the stream follows the bytes.
        max_bytes = MAX_READ_AHEAD_BYTES if stream is None else 0
        is_paused = not self.is_over and (self._is_server_full or len(self._unsent) > max_bytes)
        if self._upload_deadline:
            self._upload_deadline.reading(is_paused)
        self.client.pause_upload(is_paused)

    def _upload_expired(self) -> None:
        """The client may have waited long enough: the attempt ends, however much the server has taken."""
        if self._upload_deadline and self.stream:
            log.warning("a server takes a body too slowly for its client, who waits for a response")
            self.body_complete_at = self._upload_deadline.waiting_since
            self._handler.upload_finished(self)

    def _cancel_upload_deadline(self) -> None:
        if self._upload_deadline:
            self._upload_deadline.cancel()

    def end_if_client_disconnected(self) -> bool:
        """Ends the exchange if its client has disconnected unnoticed; returns whether it did."""
        if self.is_over or not self.client.client_disconnected_unnoticed:
            return False
        self._disconnected_unnoticed()
        return True

    def _disconnected_unnoticed(self) -> None:
        self.client.close_connection()
        self._handler.abandon(self)

    # --- The attempt, called by the server connection ----------------------------------------------
    def connected(self, stream: StreamConnection) -> None:
        self.stream = stream
        if self.client.streamed:
            stream.start_body(self.client.body_length is None)
            self._handler.upload_started(self)
            if self._upload_deadline:
                self._upload_deadline.start()
            self._send_body()

    def writable(self, ready: bool) -> None:
        self._is_server_full = not ready
        if ready:
            self._upload_progress = None
            waited_s = monotonic() - self._server_full_at
            if waited_s > CLIENT_CHECK_AFTER_S and self.client.streamed and self.end_if_client_disconnected():
                return
        elif self._upload_progress is None and self.stream:
            self._server_full_at = monotonic()
            self._upload_progress = self.stream.send_progress(self._server_full_at)
        if self.client.streamed:
            self._send_body()

    def is_wanted(self, waited_s: float) -> bool:
        """Returns whether the client is still connected; asks the kernel if the attempt waited."""
        return waited_s <= CLIENT_CHECK_AFTER_S or not self.client.has_client_disconnected()

    def current_message(self) -> bytes:
        return self._handler.message(self)

    @property
    def client_deadline(self) -> float:
        return self.body_complete_at + self.wait_ms / 1000 if self._is_body_complete else math.inf

    @property
    def process_deadline(self) -> float:
        return self._handler.process_deadline

    def start_response(self, content_type: bytes, length: int | None) -> bool:
        self._handler.response_started(self)
        if self.response_started:
            self._record_response_time()
            self._cancel_upload_deadline()
            self.client.start_response(content_type, length)
        return self.response_started

    def response_data(self, data: bytes) -> None:
        if self.response_started and not self.is_over:
            self.client.send_piece(data)

    def ended(self) -> None:
        """Clears the state of the ended attempt."""
        self.attempt = self.stream = None
        self.is_attempt_written = False
        self._is_server_full, self._upload_progress = False, None
        self._cancel_upload_deadline()

    def upload_stall(self, now: float, timeout_s: float) -> str | None:
        """Describes the upload if the server has accepted nothing of it for `timeout_s` seconds.

        A server that is answering need not take the rest: then the pauses of its response count. What its
        system may have left to read is not allowed for, unlike with clients: the client of a server that
        hangs has to get its response in time.
        """
        progress = None if self.response_started else self._upload_progress
        if progress is None or progress.seconds_without_progress(now) <= timeout_s:
            return None
        return progress.describe(now)

    # --- The client, called by its connection -------------------------------------------------------
    def client_writable(self, ready: bool) -> None:
        """Pauses or resumes the response by whether the client accepts more of it."""
        if self.stream and self.response_started:
            self.stream.set_paused(not ready)

    def client_disconnected(self) -> None:
        """Ends the exchange without a response."""
        self.has_client_left = True
        self._end()

    # --- The response ----------------------------------------------------------------------------
    def finish(self, effect: Reply) -> None:
        """Sends the result of the request table to the client."""
        if self.is_over:
            return
        if not self.response_started:
            self._record_response_time()
        self._end()
        if self.response_started:
            if effect.result is RequestResult.SERVED:
                self.client.finish_response()
            else:
                self.client.abort_response()
        elif isinstance(effect.payload, AttemptResult):
            self.client.send_response(200, effect.payload.body, effect.payload.content_type)
        else:
            self.client.send_response(STATUS_CODES[effect.result], retry_s=effect.retry_in_ms / 1000)

    def _record_response_time(self) -> None:
        waiting_since = self.body_complete_at
        if self._upload_deadline:
            waiting_since = max(waiting_since, self._upload_deadline.waiting_since)
        waited_s = monotonic() - waiting_since
        self._handler.response_times.started(self.request_id, waited_s, self.wait_ms / 1000)

    def _end(self) -> None:
        self.is_over = True
        self._cancel_upload_deadline()
        self._upload_deadline = None  # it refers to this exchange
        if self.client.streamed:
            self.client.release_body(len(self._unsent))
            self._unsent = bytearray()
            self.client.pause_upload(False)
