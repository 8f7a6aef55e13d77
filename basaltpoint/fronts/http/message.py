"""Parsing, checking and forwarding of HTTP/1.1 message heads, without I/O.

References: RFC 9110 (7.6 intermediaries, 10.1.1 Expect), RFC 9112 (6 framing), RFC 7239 (Forwarded).
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from basaltpoint.routing.path import PathError, normal_host, normal_path, split_target

Headers = list[tuple[bytes, bytes]]

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
HOP_BY_HOP_HEADERS = frozenset(
    [
        b"connection",
        b"http2-settings",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
# The forwarding headers are written anew, and this limiter chooses its own framing.
REBUILT_HEADERS = HOP_BY_HOP_HEADERS | {b"content-length", b"host", b"via", b"forwarded", b"expect"}
FORWARDED_HEADERS = frozenset([b"x-forwarded-for", b"x-forwarded-host", b"x-forwarded-proto"])
# Repeated with different values, these could be interpreted differently by two recipients.
SINGLE_VALUE_HEADERS = frozenset(
    [b"content-length", b"transfer-encoding", b"host", b"authorization", b"content-type"]
)
# Offers that may be answered as if they were absent (RFC 7540, 3.2). Other protocols need their switch.
IGNORED_UPGRADES = frozenset(["h2c"])
MAX_HEADERS = 128
CONTENT_LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
HOST_PATTERN = re.compile(rb"[!$&-;=A-Z_a-z~%\[\]]*")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# Requests with these methods usually have no body, so an empty one is not announced by Content-Length.
BODILESS_METHODS = frozenset([b"GET", b"HEAD", b"DELETE", b"OPTIONS", b"TRACE"])
# Not allowed in a trailer section (RFC 9110, 6.5.1): framing, routing and fields that a recipient acts upon.
FORBIDDEN_TRAILERS = HOP_BY_HOP_HEADERS | {
    b"content-length",
    b"host",
    b"authorization",
    b"set-cookie",
    b"content-encoding",
}


class BadRequestError(Exception):
    """A request that is rejected with the status `code`; the message is sent to the client."""

    def __init__(self, code: int, reason: str, headers: Headers | None = None) -> None:
        super().__init__(reason)
        self.code = code
        self.headers = headers or []


@dataclass(frozen=True, slots=True)
class Request:
    """The parsed and checked head of a request."""

    method: bytes
    target: bytes
    host: str  # normalized, for matching
    path: str  # normalized, for matching
    query: str  # including its `?`
    version: str
    headers: Headers  # in received order, names in lower case
    fields: Mapping[str, str]  # by name, repeated fields joined
    body_length: int | None  # bytes; None for a chunked body
    expects_continue: bool  # Expect: 100-continue

    @property
    def has_body(self) -> bool:
        return self.body_length != 0


def request_body_length(headers: Headers, version: str) -> int | None:
    """Returns the body's length in bytes, None if chunked; BadRequestError if the framing is ambiguous."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if codings:
        if lengths:
            raise BadRequestError(400, "both Content-Length and Transfer-Encoding")
        if len(codings) > 1 or codings[0].lower() != b"chunked" or version == "1.0":
            raise BadRequestError(400, "a transfer coding other than chunked")
        return None
    if not lengths:
        return 0
    if len(lengths) > 1 or not CONTENT_LENGTH_PATTERN.fullmatch(lengths[0]):
        raise BadRequestError(400, "Content-Length is no number, or comes twice")
    return int(lengths[0])


def parse_request(method: bytes, target: bytes, version: str, headers: Headers) -> Request:
    """Checks and normalizes a request head; BadRequestError if it is rejected."""
    if len(headers) > MAX_HEADERS:
        raise BadRequestError(431, "too many headers")
    fields = _join_fields(headers)
    length = request_body_length(headers, version)
    if method == b"CONNECT":
        raise BadRequestError(501, "tunnels are not supported")
    if _offered_protocols(fields) - IGNORED_UPGRADES:
        raise BadRequestError(501, "upgrading to another protocol is not supported")
    if version not in ("1.0", "1.1"):
        raise BadRequestError(505, "HTTP/1.0 and HTTP/1.1 only")
    host = fields.get("host")
    if host is None and version == "1.1":
        raise BadRequestError(400, "Host is missing")
    if not HOST_PATTERN.fullmatch((host or "").encode("latin-1")):
        raise BadRequestError(400, "Host is not a host")
    try:
        authority, path, query = split_target(target.decode("latin-1"))
        path = path if path == "*" and method == b"OPTIONS" else normal_path(path)
    except PathError as error:
        raise BadRequestError(400, str(error)) from None
    expect = fields.get("expect", "").lower()
    if expect not in ("", "100-continue"):
        raise BadRequestError(417, "only 100-continue can be expected")
    return Request(
        method,
        target,
        normal_host(authority if authority is not None else host or ""),
        path,
        query,
        version,
        headers,
        fields,
        length,
        bool(expect) and version == "1.1",
    )


def _offered_protocols(fields: Mapping[str, str]) -> frozenset[str]:
    """Returns the protocols to which the client offers to change, in lower case."""
    offers = fields.get("upgrade")
    return frozenset() if offers is None else frozenset(part.strip().lower() for part in offers.split(","))


def _join_fields(headers: Headers) -> dict[str, str]:
    fields: dict[str, str] = {}
    for name, value in headers:
        key, text = name.decode("latin-1"), value.decode("latin-1")
        if key in fields:
            if name in SINGLE_VALUE_HEADERS and (fields[key] != text or name == b"host"):
                raise BadRequestError(400, f"{key} comes twice")
            text = f"{fields[key]}, {text}" if name not in SINGLE_VALUE_HEADERS else text
        fields[key] = text
    return fields


def connection_options(value: str) -> frozenset[bytes]:
    """Returns the header names that a Connection header lists; they apply to this connection only."""
    if not value:
        return frozenset()
    return frozenset(part.strip().lower().encode("latin-1") for part in value.split(","))


@dataclass(frozen=True, slots=True)
class Origin:
    """The client's connection and this limiter's name, for the forwarding headers."""

    peer: str  # IP address of the connection's other end
    via: bytes  # this limiter's name in the Via header
    peer_is_trusted: bool  # the peer is a proxy whose X-Forwarded-For is trusted


@dataclass(frozen=True, slots=True)
class RequestRewrite:
    """Changes that a route makes to a request."""

    path: str | None = None  # replaces the target's path; the query stays
    set_headers: tuple[tuple[bytes, bytes], ...] = ()
    drop_headers: frozenset[bytes] = frozenset()


@dataclass(slots=True)
class UpstreamRequest:
    """The head of a request to a server, without the framing, which depends on the body."""

    head: bytes
    method: bytes

    def with_body(self, body: bytes) -> bytes:
        """Returns the complete message with a buffered body."""
        if not body and self.method in BODILESS_METHODS:
            return self.head + b"\r\n"
        return b"%sContent-Length: %d\r\n\r\n%s" % (self.head, len(body), body)

    def with_stream(self, length: int | None) -> bytes:
        """Returns the head of a message with a streamed body; `length` is None for a chunked body."""
        if length is None:
            return self.head + b"Transfer-Encoding: chunked\r\n\r\n"
        return b"%sContent-Length: %d\r\n\r\n" % (self.head, length)


def upstream_request(request: Request, origin: Origin, rewrite: RequestRewrite) -> UpstreamRequest:
    """Builds the request to the server: no hop-by-hop headers, with forwarding headers and rewrite."""
    target = request.target
    if rewrite.path is not None:
        target = (rewrite.path + request.query).encode("latin-1")
    elif not target.startswith(b"/") and target != b"*":
        target = target[target.index(b"/", 8) :] if b"/" in target[8:] else b"/"
    connection_headers = connection_options(request.fields.get("connection", ""))
    set_names = {name.lower() for name, _ in rewrite.set_headers}
    skip = (
        REBUILT_HEADERS
        | connection_headers
        | rewrite.drop_headers
        | set_names
        | {b"x-forwarded-for", b"x-forwarded-host", b"x-forwarded-proto"}
    )
    host = request.fields.get("host", "").encode("latin-1")
    if b"://" in request.target[:8]:
        host = request.target.split(b"/", 3)[2].partition(b"?")[
            0
        ]  # an absolute target replaces Host (RFC 9112, 3.2.2)
    parts = [b"%s %s HTTP/1.1\r\n" % (request.method, target)]
    if b"host" not in set_names:
        parts.append(b"Host: %s\r\n" % host)
    parts += [b"%s: %s\r\n" % (name, value) for name, value in request.headers if name not in skip]
    parts += [b"%s: %s\r\n" % pair for pair in rewrite.set_headers]
    parts += [line for name, line in _forwarding_headers(request, origin, host) if name not in set_names]
    return UpstreamRequest(b"".join(parts), request.method)


def _forwarding_headers(request: Request, origin: Origin, host: bytes) -> Iterable[tuple[bytes, bytes]]:
    """Yields the forwarding headers; values from an untrusted peer are dropped."""
    fields, peer = request.fields, origin.peer.encode()
    node = b'"[%s]"' % peer if b":" in peer else peer
    element = b"for=%s;proto=http" % node
    if host:
        element += b';host="%s"' % host if HOST_NEEDS_QUOTES.search(host) else b";host=%s" % host
    trusted_fields = fields if origin.peer_is_trusted else {}
    for name, value in (("x-forwarded-for", peer), ("forwarded", element)):
        earlier = trusted_fields.get(name, "").encode("latin-1")
        yield (
            name.encode(),
            b"%s: %s\r\n" % (name.title().encode(), b", ".join(filter(None, [earlier, value]))),
        )
    forwarded_host = trusted_fields.get("x-forwarded-host", "").encode("latin-1") or host
    if forwarded_host:
        yield b"x-forwarded-host", b"X-Forwarded-Host: %s\r\n" % forwarded_host
    proto = trusted_fields.get("x-forwarded-proto", "").encode("latin-1") or b"http"
    yield b"x-forwarded-proto", b"X-Forwarded-Proto: %s\r\n" % proto
    via = fields.get("via", "").encode("latin-1")
    element = b"%s %s" % (request.version.encode(), origin.via)
    yield b"via", b"Via: %s\r\n" % (via + b", " + element if via else element)


HOST_NEEDS_QUOTES = re.compile(rb"[^!#$%&'*+.^_`|~0-9A-Za-z-]")


# --- Responses ---------------------------------------------------------------------------------
def has_no_body(method: bytes, code: int) -> bool:
    """Whether a response has no body, whatever its headers say (RFC 9112, 6.3)."""
    return method == b"HEAD" or code in (204, 304) or 100 <= code < 200


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a server's response. `length` is None if the body's length is unknown."""

    code: int
    reason: bytes
    headers: Headers  # names in lower case
    length: int | None

    def get(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


def forwardable_headers(headers: Headers) -> Headers:
    """Returns a response's headers without hop-by-hop headers and framing."""
    connection_headers = frozenset[bytes]()
    for name, value in headers:
        if name == b"connection":
            connection_headers |= connection_options(value.decode("latin-1"))
    skip = (HOP_BY_HOP_HEADERS - {b"proxy-authenticate"}) | connection_headers | {b"content-length"}
    return [(name, value) for name, value in headers if name not in skip]


def response_head(
    code: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]], framing_line: bytes, close: bool
) -> bytes:
    """Returns the head of a response to a client; `framing_line` is one header line or empty."""
    reason = reason or REASON_PHRASES.get(code, b"")
    parts = [b"HTTP/1.1 %d %s\r\n" % (code, reason)]
    parts += [b"%s: %s\r\n" % pair for pair in headers]
    parts.append(framing_line)
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def trailer_section(headers: Headers) -> bytes:
    """Returns a trailer section with its final empty line; forbidden fields are left out."""
    lines = [b"%s: %s\r\n" % pair for pair in headers if pair[0] not in FORBIDDEN_TRAILERS]
    return b"".join([*lines, b"\r\n"])


def parse_deadline_ms(text: str) -> float:
    """Parses a client's own deadline, decimal seconds; BadRequestError if it is invalid."""
    value = float(text) if DEADLINE_PATTERN.fullmatch(text) else 0.0
    if value <= 0:
        raise BadRequestError(400, "the deadline is not a number of seconds above 0")
    return value * 1000.0
