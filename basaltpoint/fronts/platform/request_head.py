"""The head of a client's request: which fields may not be repeated, and what of it goes on to a server."""

from __future__ import annotations

# Repeated with different values these are rejected: another reader might use the other value.
SINGLE_VALUE_HEADERS = frozenset(
    [
        b"content-length",
        b"idempotency-key",
        b"req-deadline",
        b"req-id",
        b"req-kind",
        b"transfer-encoding",
        b"x-api-key",
        b"x-call-terms",
        b"x-tier",
    ]
)
BODY_HEADERS = (b"content-length", b"transfer-encoding", b"expect")
MAX_HEADERS = 100  # different names in a request


def forwarded_head(method: bytes, url: bytes, headers: dict[bytes, bytes]) -> bytes:
    """Returns the head for a server, without its framing, the deadline and the final empty line."""
    head = [method, b" ", url, b" HTTP/1.1\r\nHost: backend.local\r\nReq-Id: ", headers[b"req-id"]]
    if key := headers.get(b"idempotency-key"):
        head += [b"\r\nIdempotency-Key: ", key]
    if kind := headers.get(b"content-type"):
        head += [b"\r\nContent-Type: ", kind]
    return b"".join([*head, b"\r\n"])


def expects_continue(headers: dict[bytes, bytes]) -> bool:
    """Returns whether the client waits for `100 Continue` before it sends the body."""
    return headers.get(b"expect", b"").lower() == b"100-continue"
