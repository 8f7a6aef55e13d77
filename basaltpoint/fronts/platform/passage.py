"""One request on its way through the platform's front: its body in, attempts out, its answer back."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

from basaltpoint.core.table import Reply, RequestResult
from basaltpoint.upstream.buffered import MAX_BUFFERED_BODY_BYTES, BufferedAttempt
from basaltpoint.upstream.servers import AttemptResult
from basaltpoint.upstream.streams import StreamConnection

LOOK_AGAIN_S = 0.05  # an attempt that begins 0.1 s after its client's end is a lost request
AHEAD = 4 * MAX_BUFFERED_BODY_BYTES  # bytes of a streamed body that are read before a server takes any

CODES = {
    RequestResult.REFUSED: 429,
    RequestResult.FAILED: 502,
    RequestResult.OVERDUE: 504,
    RequestResult.FAULT: 500,
    RequestResult.BUSY: 503,
    RequestResult.DUPLICATE: 409,
}


class Call(Protocol):
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
    def left(self) -> bool: ...  # its client has gone, and its connection could not tell
    def gone(self) -> bool: ...  # its client has gone, as the system knows now, told or not
    def hang_up(self) -> None: ...  # end the connection: nobody is there
    def answer(
        self, code: int, body: bytes = b"", content_type: bytes = b"", retry_s: float = 0.0
    ) -> None: ...
    def start(
        self, content_type: bytes, length: int | None
    ) -> None: ...  # of an answer that goes on in pieces
    def piece(self, data: bytes) -> None: ...
    def finish(self) -> None: ...
    def cut(self) -> None: ...  # what has begun can't be finished, and must not look whole
    def hold_upload(self, held: bool) -> None: ...  # take no more of the body for now
    def release(self, size: int) -> None: ...  # so much of the body is no longer held


class Desk(Protocol):
    """What a passage needs of the limiter."""

    def begun(self, passage: Passage) -> None: ...
    def uploading(self, passage: Passage) -> None: ...
    def uploaded(self, passage: Passage) -> None: ...
    def message(self, passage: Passage) -> bytes: ...  # as it is to be written now


class Passage:
    """One request; the receiver of what is too long to be held."""

    __slots__ = (
        "_desk",
        "_full",
        "_held",
        "_pieces",
        "_whole",
        "attempt",
        "call",
        "cls",
        "ident",
        "name",
        "number",
        "over",
        "passing",
        "stream",
        "stuck_since",
        "until_ms",
        "wait_ms",
        "whole_at",
    )

    def __init__(self, desk: Desk, call: Call, name: bytes, cls: int, wait_ms: float) -> None:
        self._desk = desk
        self.call = call
        self.name = name
        self.cls = cls
        self.wait_ms = wait_ms  # for the answer, from the last byte of the body on
        self.ident = 0
        self.number = 0  # of the attempt that is out
        self.until_ms = 0.0  # and when it is given up, by the module's clock
        self.attempt: BufferedAttempt | None = None
        self.stream: StreamConnection | None = None  # its connection, of one that streams
        self.passing = False  # its answer has begun to be passed on
        self.over = False
        self.stuck_since: float | None = None  # the server takes no more of the body
        self._pieces: list[bytes] = []  # of a streamed body, that wait for the server
        self._held = 0
        self._whole = not call.streamed
        self.whole_at = monotonic()
        self._full = False

    # --- A streamed body, as the client's connection tells ---------------------------------------
    def feed(self, piece: bytes) -> None:
        """More of the body; what is answered already is read past."""
        if self.over:
            self.call.release(len(piece))
            return
        self._pieces.append(piece)
        self._held += len(piece)
        self._pump()

    def fed(self, lain_s: float) -> None:
        """The body is whole; its last bytes lay unread for so long."""
        self._whole, self.whole_at = True, monotonic() - lain_s
        self._pump()

    def _pump(self) -> None:
        """Send on what there is, as far as the server takes it."""
        stream = self.stream
        if stream is not None and stream.is_sending_body and not self._full:
            pieces, self._pieces = self._pieces, []
            size, self._held = self._held, 0
            stream.send_body(b"".join(pieces))
            self.call.release(size)
            if self._whole:
                self._desk.uploaded(self)
                stream.finish_body()
        # While no server takes it some of it is read ahead: a client's end lies behind its bytes.
        most = AHEAD if stream is None else 0
        self.call.hold_upload(not self.over and (self._full or self._held > most))

    # --- The attempt, as its connection tells ------------------------------------------------------
    def connected(self, stream: StreamConnection) -> None:
        self.stream = stream
        if self.call.streamed:
            stream.start_body(self.call.chunked)
            self._desk.uploading(self)
            self._pump()

    def writable(self, ready: bool) -> None:
        self._full = not ready
        self.stuck_since = None if ready else self.stuck_since or monotonic()
        if self.call.streamed:
            self._pump()

    def is_wanted(self, waited_s: float) -> bool:
        """Whether the client is there, as the system knows, where its connection may not have been told."""
        return waited_s <= LOOK_AGAIN_S or not self.call.gone()

    def current_message(self) -> bytes:
        return self._desk.message(self)

    def start_response(self, content_type: bytes, length: int | None) -> bool:
        self._desk.begun(self)
        if self.passing:
            self.call.start(content_type, length)
        return self.passing

    def response_data(self, data: bytes) -> None:
        if self.passing and not self.over:
            self.call.piece(data)

    def ended(self) -> None:
        """The attempt is over."""
        self.attempt = self.stream = None
        self._full, self.stuck_since = False, None

    # --- The client, as its connection tells --------------------------------------------------------
    def reading(self, ready: bool) -> None:
        """Whether the client takes more of the answer."""
        if self.stream and self.passing:
            self.stream.set_paused(not ready)

    def gone(self) -> None:
        """Its client has gone, or is given up."""
        self._done()

    # --- The answer ------------------------------------------------------------------------------
    def reply(self, effect: Reply) -> None:
        """The table's word on how the request ended."""
        if self.over:
            return
        self._done()
        if self.passing:
            if effect.result is RequestResult.SERVED:
                self.call.finish()
            else:
                self.call.cut()
        elif isinstance(effect.payload, AttemptResult):
            self.call.answer(200, effect.payload.body, effect.payload.content_type)
        else:
            self.call.answer(CODES[effect.result], retry_s=effect.retry_in_ms / 1000)

    def _done(self) -> None:
        self.over = True
        if self.call.streamed:
            self.call.release(self._held)
            self._held, self._pieces = 0, []
            self.call.hold_upload(False)
