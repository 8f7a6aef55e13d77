"""One request on its way through the ordinary front: its body in, attempts out, its answer back."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

from basaltpoint.core.table import Reply, RequestResult
from basaltpoint.fronts.http import message
from basaltpoint.fronts.http.connection import ClientConnection
from basaltpoint.fronts.http.message import Headers, Outgoing, Request
from basaltpoint.interface import RefusalReason, Status
from basaltpoint.routing.accounts import Account
from basaltpoint.routing.routes import Route
from basaltpoint.upstream.servers import AttemptResult
from basaltpoint.upstream.streams import StreamAttempt, StreamConnection

HELD = 64 * 1024  # bytes of an answer that may be repeated, kept in case no repeat follows
REPEATED = (502, 503, 504)  # a server's word that it could not; another may

CODES = {
    RequestResult.FAILED: (502, "no server answered"),
    RequestResult.OVERDUE: (504, "no answer in time"),
    RequestResult.FAULT: (500, "internal error"),
    RequestResult.BUSY: (503, "too many requests in hand"),
    RequestResult.DUPLICATE: (409, "a request of this name is open"),
}
REFUSALS = {
    RefusalReason.QUOTA: (429, "quota"),
    RefusalReason.CEILING: (429, "ceiling"),
    RefusalReason.PARALLEL: (429, "too many at once"),
    RefusalReason.LOAD: (503, "load"),
    RefusalReason.SERVERS: (503, "no server"),
    RefusalReason.MEMBERSHIP: (503, "servers not confirmed"),
    RefusalReason.LATE: (503, "too late"),
}


class Carrier(Protocol):
    """What a passage asks of the relay that it belongs to."""

    name: bytes
    buffer: int  # bytes of a streamed body held for a slow reader

    def hold(self, size: int) -> bool:
        """Take memory for bytes of a body; False where there is none left."""

    def release(self, size: int) -> None: ...
    def take(self, passage: Passage) -> None: ...
    def abandon(self, passage: Passage) -> None: ...
    def begun(self, passage: Passage) -> None: ...
    def uploading(self, passage: Passage) -> None: ...
    def uploaded(self, passage: Passage) -> None: ...
    def ended(self, passage: Passage, status: Status, final: bool) -> None: ...
    def advice(self, passage: Passage, effect: Reply) -> Headers: ...


class Passage:
    """One request on its way: its body in, attempts out, its answer back."""

    def __init__(
        self, relay: Carrier, connection: ClientConnection, request: Request, route: Route, account: Account
    ) -> None:
        self.relay = relay
        self.connection = connection
        self.request = request
        self.route = route
        self.account = account
        self.outgoing: Outgoing
        self.cls = route.class_rules.class_number
        self.wait_ms = route.class_rules.deadline_ms
        self.ident = 0
        self.attempt: StreamAttempt | None = None
        self.number = 0
        self.stream: StreamConnection | None = None
        self.over = False
        # The request's body. Kept whole up to the route's bound; beyond it is streamed once.
        self.body: list[bytes] = []
        self.size = 0
        self.held = 0  # bytes accounted for
        self.whole = False
        self.whole_at = monotonic()
        self.streamed = False
        self.full = False  # the server takes no more for now
        self.body_trailers: Headers = []
        # The answer under way.
        self.passing = False
        self.status = Status.OK
        self.heading: tuple[int, bytes, Headers, int | None] | None = None
        self.kept: list[bytes] | None = None  # of an answer that is held back, as it may be repeated
        self.kept_whole = False
        self.trailers: Headers = []

    # --- The request's body ----------------------------------------------------------------------
    def feed(self, piece: bytes) -> None:
        self.size += len(piece)
        if self.route.max_body_bytes and self.size > self.route.max_body_bytes:
            self._turn_down(413, "the body is too long")
        elif not self.relay.hold(len(piece)):
            self._turn_down(503, "no memory for bodies")
        else:
            self.held += len(piece)
            self.body.append(piece)
            if self.streamed:
                self._pump()
            elif self.size > self.route.max_kept_body_bytes:
                self.streamed = True
                self.relay.take(self)
                self._pump()

    def fed(self, trailers: Headers) -> None:
        self.whole, self.whole_at, self.body_trailers = True, monotonic(), trailers
        if self.streamed:
            self._pump()
        else:
            self.relay.take(self)

    def _turn_down(self, code: int, what: str) -> None:
        """Answer in the middle of the body; the connection ends behind it."""
        if self.over:
            return
        if self.ident:
            self.relay.abandon(self)
        self._done()
        if self.passing:
            self.connection.cut()
        else:
            self.connection.answer(code, what, [])

    def _pump(self) -> None:
        """Send on what there is of a streamed body, as far as the server takes it."""
        stream = self.stream
        if stream is not None and not self.full and stream.is_sending_body:
            pieces, self.body = self.body, []
            data = b"".join(pieces)
            stream.send_body(data)
            self.relay.release(len(data))
            self.held -= len(data)
            if self.whole:
                stream.finish_body(message.trailers(self.body_trailers))
                self.relay.uploaded(self)
        self.connection.hold_upload(self.streamed and self.held > self.relay.buffer)

    # --- The attempt, as its connection tells ------------------------------------------------------
    def message(self) -> bytes:
        if self.streamed:
            return self.outgoing.with_stream(self.request.length)
        return self.outgoing.with_body(b"".join(self.body))

    def connected(self, stream: StreamConnection) -> None:
        self.stream = stream
        if self.streamed:
            stream.start_body(self.request.length is None)
            self.relay.uploading(self)
            self._pump()

    def writable(self, ready: bool) -> None:
        self.full = not ready
        if ready and self.streamed:
            self._pump()

    def interim(self, code: int, headers: Headers) -> None:
        if not self.over:
            self.connection.interim(code, headers)

    def head(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        self.heading = code, reason, headers, length
        self.status = Status.OK if code < 500 else Status.ERROR
        self.kept = [] if code in REPEATED and (length or 0) <= HELD else None
        self.kept_whole = False
        if self.kept is None:
            self._pass()

    def _pass(self) -> None:
        """Pass the answer on from here; without anybody waiting the attempt ends."""
        assert self.heading and self.attempt
        self.attempt.stop_timeout()
        self.relay.begun(self)
        if not self.passing:
            self.attempt.cancel()
            return
        code, reason, headers, length = self.heading
        sets = {name.lower() for name, _ in self.route.response_headers}
        kept = [pair for pair in message.passed_on(headers) if pair[0] not in sets]
        via = b"1.1 %s" % self.relay.name
        self.connection.start(code, reason, [*kept, *self.route.response_headers, (b"Via", via)], length)
        pieces, self.kept = self.kept or [], None
        for piece in pieces:
            self.connection.piece(piece)

    def data(self, piece: bytes) -> None:
        if self.passing:
            self.connection.piece(piece)
        elif self.kept is not None:
            self.kept.append(piece)
            if sum(map(len, self.kept)) > HELD:
                self._pass()

    def completed(self, trailers: Headers) -> None:
        self.trailers, self.kept_whole = trailers, True

    def ended(self, answer: AttemptResult) -> None:
        """The attempt is over; `answer` tells how its connection saw it."""
        whole = answer.status is Status.OK
        status = self.status if whole else answer.status
        self.attempt = self.stream = None
        self.full = False
        self.relay.ended(self, status, whole and self.passing)

    # --- The client, as its connection tells --------------------------------------------------------
    def reading(self, ready: bool) -> None:
        if self.stream and self.passing:
            self.stream.set_paused(not ready)

    def gone(self) -> None:
        if not self.over:
            self._done()
            if self.ident:
                self.relay.abandon(self)

    # --- The answer ------------------------------------------------------------------------------
    def reply(self, effect: Reply) -> None:
        """The table's word on how the request ended."""
        if self.over:
            return
        self._done()
        if self.passing:
            if effect.result is RequestResult.CUT:
                self.connection.cut()
            else:
                self.connection.finish(self.trailers)
        else:
            self._answer(effect)

    def _answer(self, effect: Reply) -> None:
        headers = self.relay.advice(self, effect)
        ours = effect.result not in (RequestResult.FAILED, RequestResult.REFUSED)
        if not ours and self.kept is not None and self.kept_whole and self.heading:
            # The server's own words tell more than ours would.
            code, _, own, _ = self.heading
            told = {name for name, _ in own}
            kept = message.passed_on(own) + [pair for pair in headers if pair[0].lower() not in told]
            self.connection.answer(code, "", kept, b"".join(self.kept))
            return
        code, reason = (
            REFUSALS[effect.reason or RefusalReason.LOAD]
            if effect.result is RequestResult.REFUSED
            else CODES[effect.result]
        )
        self.connection.answer(code, reason, headers)

    def _done(self) -> None:
        self.over = True
        self.relay.release(self.held)
        self.held, self.body = 0, []


class Check:
    """One active health check: any answer of 200 to 299 is good."""

    def __init__(self) -> None:
        self.good = False

    def connected(self, stream: StreamConnection) -> None:
        pass

    def writable(self, ready: bool) -> None:
        pass

    def interim(self, code: int, headers: Headers) -> None:
        pass

    def head(self, code: int, reason: bytes, headers: Headers, length: int | None) -> None:
        self.good = 200 <= code < 300

    def data(self, piece: bytes) -> None:
        pass

    def completed(self, trailers: Headers) -> None:
        pass
