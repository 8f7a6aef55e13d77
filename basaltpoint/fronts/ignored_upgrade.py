"""Reads on behind the head of a request that offers another protocol, which is not accepted.

The parser ends a request with an `Upgrade` offer behind its head, whatever its framing, and leaves what
follows to its caller. A recipient may ignore the offer (RFC 9110, 7.8); then the request's body follows as
its head declares.
"""

from __future__ import annotations

from typing import Protocol

import httptools


class MessageCallbacks(Protocol):
    """The callbacks of a parser that concern what follows a head."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """A trailer field was received."""

    def on_body(self, body: bytes) -> None:
        """A piece of the body was received."""

    def on_message_complete(self) -> None:
        """The body is complete."""


class _BodyCallbacks:
    """Passes on the body and its trailer fields, but not the head that the parser has to be given first."""

    def __init__(self, callbacks: MessageCallbacks) -> None:
        self._is_head_complete = False
        self._on_trailer = callbacks.on_header
        self.on_body = callbacks.on_body
        self.on_message_complete = callbacks.on_message_complete

    def on_headers_complete(self) -> None:
        self._is_head_complete = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_head_complete:
            self._on_trailer(name, value)


def body_parser(
    callbacks: MessageCallbacks, method: bytes, version: str, content_length: bytes | None
) -> httptools.HttpRequestParser:
    """Returns a parser that continues with the body of a request whose head was read.

    `content_length` is None if the body is chunked. No request may follow on the connection: the client could
    take the offer for accepted.
    """
    parser = httptools.HttpRequestParser(_BodyCallbacks(callbacks))
    framing = (
        b"Transfer-Encoding: chunked" if content_length is None else b"Content-Length: " + content_length
    )
    head = [method + b" / HTTP/" + version.encode(), framing, b"Connection: close"]
    parser.feed_data(b"\r\n".join([*head, b"", b""]))
    return parser
