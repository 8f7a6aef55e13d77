"""One request on its way through the platform's front: its body in, attempts out, its answer back."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

from basaltpoint.core.table import Reply, RequestResult
from basaltpoint.upstream.buffered import MAX_BUFFERED_BODY_BYTES, BufferedAttempt
from basaltpoint.upstream.servers import AttemptResult
from basaltpoint.upstream.streams import StreamConnection

CLIENT_CHECK_AFTER_S = 0.05  # an attempt that begins 0.1 s after its client's end is a lost request
MAX_READ_AHEAD_BYTES = (
    4 * MAX_BUFFERED_BODY_BYTES
)  # bytes of a streamed body that are read before a server takes any

STATUS_CODES = {
    RequestResult.REFUSED: 429,
    RequestResult.FAILED: 502,
    RequestResult.OVERDUE: 504,
    RequestResult.FAULT: 500,
    RequestResult.BUSY: 503,
    RequestResult.DUPLICATE: 409,
}


class ClientSide(Protocol):
    """A client's request as the client side hands it over."""

    @property
    def forward(self) -> bytes: ...  # request line and headers that go on, without the deadline
    @property
    def body(self) -> bytes: ...  # of one that is held whole
    @property
    def streamed(self) -> bool: ...  # its body comes piece by piece, and goes on so
    @property
    def chunked(self) -> bool: ...  # and its length is not told
    @property
    def client_left_unnoticed(self) -> bool: ...  # its client has gone, and its connection could not tell
    def is_client_gone(self) -> bool: ...  # its client has gone, as the system knows now, told or not
    def close_connection(self) -> None: ...  # end the connection: nobody is there
    def send_response(
        self, code: int, body: bytes = b"", content_type: bytes = b"", retry_s: float = 0.0
    ) -> None: ...
    def start_response(
        self, content_type: bytes, length: int | None
    ) -> None: ...  # of an answer that goes on in pieces
    def send_piece(self, data: bytes) -> None: ...
    def finish_response(self) -> None: ...
    def abort_response(self) -> None: ...  # what has begun can't be finished, and must not look whole
    def pause_upload(self, held: bool) -> None: ...  # take no more of the body for now
    def release_body(self, size: int) -> None: ...  # so much of the body is no longer held


class RequestHandler(Protocol):
    """What a passage needs of the limiter."""

    def response_started(self, passage: RequestExchange) -> None: ...
    def upload_started(self, passage: RequestExchange) -> None: ...
    def upload_finished(self, passage: RequestExchange) -> None: ...
    def message(self, passage: RequestExchange) -> bytes: ...  # as it is to be written now


class RequestExchange:
    """One request; the receiver of what is too long to be held."""

    __slots__ = (
        "_handler",
        "_held_bytes",
        "_is_body_complete",
        "_is_server_full",
        "_pieces",
        "attempt",
        "attempt_deadline_ms",
        "attempt_number",
        "body_complete_at",
        "client",
        "cls",
        "is_over",
        "request_id",
        "request_number",
        "response_started",
        "stream",
        "wait_ms",
        "write_paused_since",
    )

    def __init__(self, desk: RequestHandler, call: ClientSide, name: bytes, cls: int, wait_ms: float) -> None:
        self._handler = desk
        self.client = call
        self.request_id = name
        self.cls = cls
        self.wait_ms = wait_ms  # for the answer, from the last byte of the body on
        self.request_number = 0
        self.attempt_number = 0  # of the attempt that is out
        self.attempt_deadline_ms = 0.0  # and when it is given up, by the module's clock
        self.attempt: BufferedAttempt | None = None
        self.stream: StreamConnection | None = None  # its connection, of one that streams
        self.response_started = False  # its answer has begun to be passed on
        self.is_over = False
        self.write_paused_since: float | None = None  # the server takes no more of the body
        self._pieces: list[bytes] = []  # of a streamed body, that wait for the server
        self._held_bytes = 0
        self._is_body_complete = not call.streamed
        self.body_complete_at = monotonic()
        self._is_server_full = False

    # --- A streamed body, as the client's connection tells ---------------------------------------
    def add_body(self, piece: bytes) -> None:
        """More of the body; what is answered already is read past."""
        if self.is_over:
            self.client.release_body(len(piece))
            return
        self._pieces.append(piece)
        self._held_bytes += len(piece)
        self._send_body()

    def finish_body(self, lain_s: float) -> None:
        """The body is whole; its last bytes lay unread for so long."""
        self._is_body_complete, self.body_complete_at = True, monotonic() - lain_s
        self._send_body()

    def _send_body(self) -> None:
        """Send on what there is, as far as the server takes it."""
        stream = self.stream
        if stream is not None and stream.is_sending_body and not self._is_server_full:
            pieces, self._pieces = self._pieces, []
            size, self._held_bytes = self._held_bytes, 0
            stream.send_body(b"".join(pieces))
            self.client.release_body(size)
            if self._is_body_complete:
                self._handler.upload_finished(self)
                stream.finish_body()
        # While no server takes it some of it is read ahead: a client's end lies behind its bytes.
        most = MAX_READ_AHEAD_BYTES if stream is None else 0
        self.client.pause_upload(not self.is_over and (self._is_server_full or self._held_bytes > most))

    # --- The attempt, as its connection tells ------------------------------------------------------
    def connected(self, stream: StreamConnection) -> None:
        self.stream = stream
        if self.client.streamed:
            stream.start_body(self.client.chunked)
            self._handler.upload_started(self)
            self._send_body()

    def writable(self, ready: bool) -> None:
        self._is_server_full = not ready
        self.write_paused_since = None if ready else self.write_paused_since or monotonic()
        if self.client.streamed:
            self._send_body()

    def is_wanted(self, waited_s: float) -> bool:
        """Whether the client is there, as the system knows, where its connection may not have been told."""
        return waited_s <= CLIENT_CHECK_AFTER_S or not self.client.is_client_gone()

    def current_message(self) -> bytes:
        return self._handler.message(self)

    def start_response(self, content_type: bytes, length: int | None) -> bool:
        self._handler.response_started(self)
        if self.response_started:
            self.client.start_response(content_type, length)
        return self.response_started

    def response_data(self, data: bytes) -> None:
        if self.response_started and not self.is_over:
            self.client.send_piece(data)

    def ended(self) -> None:
        """The attempt is over."""
        self.attempt = self.stream = None
        self._is_server_full, self.write_paused_since = False, None

    # --- The client, as its connection tells --------------------------------------------------------
    def client_writable(self, ready: bool) -> None:
        """Whether the client takes more of the answer."""
        if self.stream and self.response_started:
            self.stream.set_paused(not ready)

    def client_disconnected(self) -> None:
        """Its client has gone, or is given up."""
        self._end()

    # --- The answer ------------------------------------------------------------------------------
    def finish(self, effect: Reply) -> None:
        """The table's word on how the request ended."""
        if self.is_over:
            return
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

    def _end(self) -> None:
        self.is_over = True
        if self.client.streamed:
            self.client.release_body(self._held_bytes)
            self._held_bytes, self._pieces = 0, []
            self.client.pause_upload(False)
