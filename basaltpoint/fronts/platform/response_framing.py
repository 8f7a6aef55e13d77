"""How responses are framed for a client (RFC 9112, 6). All functions return parts to be written in order."""

from __future__ import annotations

from http import HTTPStatus

STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}
LAST_CHUNK = b"0\r\n\r\n"


def end_of_head(closes_connection: bool) -> bytes:
    """Returns the end of a head, which announces the close of the connection."""
    return b"Connection: close\r\n\r\n" if closes_connection else b"\r\n"


def whole_response(code: int, headers: bytes, body: bytes, closes_connection: bool) -> list[bytes]:
    """Frames a response that is available to its end; `headers` have their line ends."""
    head = b"%sContent-Length: %d\r\n%s" % (STATUS_LINES[code], len(body), headers)
    return [head, end_of_head(closes_connection), body]


def streamed_head(
    headers: bytes, length: int | None, is_http10: bool, closes_connection: bool
) -> list[bytes]:
    """Frames the head of a response of status 200 in pieces; `length`: of its body, None if unknown."""
    framing = b"" if is_http10 else b"Transfer-Encoding: chunked\r\n"
    framing = b"Content-Length: %d\r\n" % length if length is not None else framing
    return [STATUS_LINES[HTTPStatus.OK], framing, headers, end_of_head(closes_connection)]


def streamed_body(pieces: list[bytes], is_chunked: bool, is_complete: bool) -> list[bytes]:
    """Frames pieces of a body; `is_complete`: they are its last."""
    if not is_chunked:
        return pieces
    chunks = [part for piece in pieces if piece for part in (b"%x\r\n" % len(piece), piece, b"\r\n")]
    return [*chunks, LAST_CHUNK] if is_complete else chunks
