"""One request of a client and, once it is there, its answer."""

from __future__ import annotations

from typing import Protocol

from basaltpoint.fronts.platform.request_exchange import RequestExchange


class RequestConnection(Protocol):
    """What a call needs of the connection that it came over."""

    @property
    def client_left_unnoticed(self) -> bool:
        """Whether its client has gone unnoticed, as nothing is read from it for now."""

    def is_client_gone(self) -> bool:
        """Whether its client has gone, as the system knows now."""

    def abort(self, reason: str) -> None:
        """End it at once."""

    def flush(self) -> None:
        """Write the answers that are there."""

    def pause_upload(self, held: bool) -> None:
        """Take no more of a body while the server does not."""

    def release_body(self, size: int) -> None:
        """So many bytes of a body are held no more."""


class ClientRequest:
    """One request of a client and, once it is there, its answer."""

    __slots__ = (
        "_connection",
        "body",
        "broken",
        "chunked",
        "closes_connection",
        "exchange",
        "forward",
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
        forward: bytes = b"",
        body: bytes = b"",
        streamed: bool = False,
        chunked: bool = False,
    ) -> None:
        self._connection = connection
        self.keep_alive = keep
        self.forward = forward
        self.body = body
        self.streamed = streamed
        self.chunked = chunked
        self.exchange: RequestExchange | None = None  # of one that was taken on
        self.reply: tuple[int, bytes, bytes] | None = None
        # Of an answer that goes on in pieces.
        self.streamed_head: tuple[bytes, int | None] | None = None  # its headers and length
        self.is_head_written = False  # its head was written
        self.pieces: list[bytes] = []  # that wait for their turn
        self.is_complete = self.broken = False
        self.closes_connection = False  # the connection ends behind it

    @property
    def is_unanswered(self) -> bool:
        """Whether no final answer to it is there, or on its way."""
        return self.reply is None and self.streamed_head is None

    @property
    def request_id(self) -> str:
        """The request's id, as its client words it."""
        return self.exchange.request_id.decode("latin-1") if self.exchange else "without an id"

    @property
    def client_left_unnoticed(self) -> bool:
        """Whether its client has gone unnoticed, as nothing is read from the connection for now."""
        return self._connection.client_left_unnoticed

    def is_client_gone(self) -> bool:
        """Whether its client has gone, as the system knows now; asks it twice."""
        return self._connection.is_client_gone()

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
            self.exchange.client_writable(False)  # until its turn comes

    def send_piece(self, data: bytes) -> None:
        self.pieces.append(data)
        self._connection.flush()

    def finish_response(self) -> None:
        self.is_complete = True
        self._connection.flush()

    def abort_response(self) -> None:
        self.broken = True
        self._connection.flush()

    def pause_upload(self, held: bool) -> None:
        self._connection.pause_upload(held)

    def release_body(self, size: int) -> None:
        self._connection.release_body(size)
