"""A client's request and its response, as far as it is available."""

from __future__ import annotations

from typing import Protocol

from basaltpoint.fronts.platform.request_exchange import RequestExchange
from basaltpoint.fronts.upload_deadline import BodyArrival


class RequestConnection(Protocol):
    """What a request needs of its client connection."""

    @property
    def client_disconnected_unnoticed(self) -> bool:
        """Whether the client disconnected while reading was paused."""

    def has_client_disconnected(self) -> bool:
        """Returns whether the client has disconnected, according to the kernel."""

    def body_arrival(self) -> BodyArrival:
        """Returns how far the body that is being received has come."""

    def abort(self, reason: str) -> None:
        """Closes the connection at once."""

    def flush(self) -> None:
        """Writes the available responses."""

    def pause_upload(self, paused: bool) -> None:
        """Pauses reading while the server accepts no more of the body."""

    def release_body(self, size: int) -> None:
        """Accounts for bytes of a body that are no longer buffered."""


class ClientRequest:
    """A client's request and its response, as far as it is available."""

    __slots__ = (
        "_connection",
        "body",
        "body_length",
        "broken",
        "closes_connection",
        "exchange",
        "forwarded_head",
        "is_complete",
        "is_head_written",
        "keep_alive",
        "pieces",
        "reply",
        "streamed",
        "streamed_head",
    )

    def __init__(
        self,
        connection: RequestConnection,
        keep: bool,
        forwarded_head: bytes = b"",
        body: bytes = b"",
        streamed: bool = False,
        body_length: int | None = None,
    ) -> None:
        """`streamed`: the body is forwarded as it is received; `body_length`: in bytes, None if chunked."""
        self._connection = connection
        self.keep_alive = keep
        self.forwarded_head = forwarded_head
        self.body = body
        self.streamed = streamed
        self.body_length = body_length
        self.exchange: RequestExchange | None = None  # None for responses of the front itself
        self.reply: tuple[int, bytes, bytes] | None = None
        self.streamed_head: tuple[bytes, int | None] | None = (
            None  # headers and length of a response in pieces
        )
        self.is_head_written = False  # of a response in pieces
        self.pieces: list[bytes] = []  # not yet written
        self.is_complete = self.broken = False
        self.closes_connection = False  # after this response

    def release(self) -> None:
        """Drops the exchange, which refers to this request, once neither body nor response moves any more.

        Otherwise the response would take memory until the garbage collector finds both.
        """
        self.exchange = None

    @property
    def is_unanswered(self) -> bool:
        """Whether no response is available or has started."""
        return self.reply is None and self.streamed_head is None

    @property
    def request_id(self) -> str:
        """The client's Req-Id, for the log."""
        return self.exchange.request_id.decode("latin-1") if self.exchange else "without an id"

    @property
    def client_disconnected_unnoticed(self) -> bool:
        """Whether the client disconnected while reading was paused."""
        return self._connection.client_disconnected_unnoticed

    def has_client_disconnected(self) -> bool:
        """Returns whether the client has disconnected, according to the kernel (two system calls)."""
        return self._connection.has_client_disconnected()

    def body_arrival(self) -> BodyArrival:
        """Returns how far the body has come."""
        return self._connection.body_arrival()

    def close_connection(self) -> None:
        self._connection.abort("its client has left")

    def send_response(
        self, code: int, body: bytes = b"", content_type: bytes = b"", retry_s: float = 0.0
    ) -> None:
        if self.reply is None:
            headers = b"Content-Type: " + content_type + b"\r\n" if content_type else b""
            if retry_s > 0:
                headers += f"Retry-After: {retry_s:.3f}\r\n".encode()
            self.reply = code, headers, body
            self._connection.flush()

    def start_response(self, content_type: bytes, length: int | None) -> None:
        self.streamed_head = (b"Content-Type: " + content_type + b"\r\n" if content_type else b""), length
        self._connection.flush()
        if not self.is_head_written and self.exchange:
            self.exchange.client_writable(False)  # until the earlier responses are written

    def send_piece(self, data: bytes) -> None:
        self.pieces.append(data)
        self._connection.flush()

    def finish_response(self) -> None:
        self.is_complete = True
        self._connection.flush()

    def abort_response(self) -> None:
        self.broken = True
        self._connection.flush()

    def pause_upload(self, paused: bool) -> None:
        self._connection.pause_upload(paused)

    def release_body(self, size: int) -> None:
        self._connection.release_body(size)
