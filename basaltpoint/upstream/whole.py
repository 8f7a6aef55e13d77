"""Answers that are held until they are whole: the platform's servers, and what may come from them."""

from __future__ import annotations

import asyncio
import logging
import re
import socket

import httptools

from basaltpoint.interface import Status
from basaltpoint.upstream.servers import Answer, Attempt, Connection, Server, Servers

log = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
FIGURE = re.compile(rb"[0-9]{1,5}(\.[0-9]{1,6})?")
SHORT_S = 0.25  # for the rest of an answer that has begun to come; one that stops short is spoilt


def _usage(raw: bytes) -> int | None:
    """The metered use in percent; what is no such number, or one beyond the meter's range, says nothing."""
    return round(float(raw)) if FIGURE.fullmatch(raw) else None


def _units(raw: bytes) -> float:
    """The units that the request truly took; what is no number says nothing."""
    return float(raw) if FIGURE.fullmatch(raw) else 0.0


class WholeAnswers(Connection):
    """A connection whose answers are held until they are whole, and bounded."""

    def __init__(self, servers: Servers, server: Server, sock: socket.socket) -> None:
        super().__init__(servers, server, sock)
        self._parser = httptools.HttpResponseParser(self)
        self._attempt: Attempt | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._code = 0
        self._headed = self._complete = self._keep = False
        self._within = False  # an answer has come in part
        self._rest: asyncio.TimerHandle | None = None  # runs meanwhile

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self._transport
        self._transport.set_write_buffer_limits(high=0)  # so that resume_writing tells of the last byte

    def start(self, attempt: Attempt) -> None:
        assert self._transport
        self._attempt, attempt.connection = attempt, self
        self._headers, self._body, self._size = {}, [], 0
        self._headed = self._complete = self._keep = False
        self._transport.write(attempt.message)
        # A write that fails closes the transport at once; one that is cut short leaves a rest in it.
        self.written = False
        if not self._transport.is_closing() and not self._transport.get_write_buffer_size():
            self._wrote()

    def resume_writing(self) -> None:
        self._wrote()

    def _wrote(self) -> None:
        if not self.written:
            self.written = True
            if self._attempt and self._attempt.on_written:
                self._attempt.on_written()

    def data_received(self, data: bytes) -> None:
        if self._attempt is None:
            self.drop()
            return
        self._size += 0 if self._headed else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Behind a whole answer it is no fault of that answer; the connection is of no further use.
            self._keep = False
            if not self._complete:
                self._spoil(repr(error))
                return
        if self._complete:
            self._finish()
        elif self._attempt and not self._headed and self._size > HEAD_LIMIT:
            self._spoil("a head that does not end")
        elif not self._within:
            self._settle()  # an interim answer says nothing of when the final one begins
        elif self._attempt and self._rest is None:
            self._rest = asyncio.get_running_loop().call_later(SHORT_S, self._spoil, "stopped short")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._complete:
            self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        if self._complete:
            return
        self._headed = self._parser.get_status_code() >= 200
        if self._headed:
            self._size = 0
            self._check_length()

    def _check_length(self) -> None:
        """Without a length that is told and can be kept an answer cut short would look like a whole one."""
        length = self._headers.get(b"content-length", b"")
        if self._headers.get(b"transfer-encoding", b"").lower() != b"chunked" and not length:
            self._spoil("neither a length nor chunks")
        elif length.isdigit() and int(length[:9]) > BODY_LIMIT:
            self._spoil("answer too large")

    def on_body(self, body: bytes) -> None:
        if self._complete or self._attempt is None:
            return
        self._size += len(body)
        self._body.append(body)
        if self._size > BODY_LIMIT:
            self._spoil("answer too large")

    def on_message_complete(self) -> None:
        self._within = False
        if self._headed and not self._complete and self._attempt:
            self._complete, self._code = True, self._parser.get_status_code()
            self._keep = self._parser.should_keep_alive()
        elif not self._headed:
            self._headers = {}  # of an interim answer

    def on_message_begin(self) -> None:
        self._within = True
        if self._complete:  # bytes behind the answer: what follows is not to be trusted
            self._keep = False

    def connection_lost(self, exc: Exception | None) -> None:
        self._servers.closed(self._server, self)
        del self._parser  # it holds this object, too: together they would wait for the collector
        self._break()

    def drop(self) -> None:
        self._attempt = None
        self._settle()
        super().drop()

    def _break(self) -> None:
        self._fail(Status.RESET)

    def _spoil(self, what: str) -> None:
        """An answer that can't be read: the server lives and may have run the request; none can be served."""
        log.warning("server %s: %s", self._server.dial, what)
        self._fail(Status.ERROR)

    def _fail(self, status: Status) -> None:
        attempt, written = self._attempt, self.written
        self._body = []
        self.drop()
        if attempt:
            attempt.end(Answer(status if written else Status.CONNECT_FAILED))

    def _settle(self) -> None:
        if self._rest:
            self._rest.cancel()
            self._rest = None

    def _finish(self) -> None:
        self._settle()
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if self._code == 200:
            status = Status.OK
        elif self._code in (503, 504) and self._headers.get(b"srv-declined") == b"1":
            status = Status.FULL
        else:
            status = Status.ERROR
        reply = Answer(
            status,
            b"".join(self._body),
            self._headers.get(b"content-type", b""),
            _usage(self._headers.get(b"x-ratelimit-used", b"")),
            self._headers.get(b"srv-load", b""),
            _units(self._headers.get(b"x-cost-units", b"")),
        )
        self._body = []
        if self._keep and self.written:
            self._servers.keep(self._server, self)
        else:
            self.drop()
        attempt.end(reply)
