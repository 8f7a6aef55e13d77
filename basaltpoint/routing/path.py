"""The normal form of a request target, in which paths are matched.

The target is forwarded as received unless a route rewrites it. The steps of normalization, in this order:

1. the query (from the first `?`) is cut off; it is not matched;
2. escapes of unreserved characters are decoded (RFC 3986, 6.2.2.2), all others get upper-case digits, so
   `%2e` is a dot but `%2F` stays data: an encoded slash never separates segments;
3. repeated slashes are merged into one;
4. `.` and `..` segments are removed (RFC 3986, 5.2.4).

A path that leads above the root, or contains a malformed escape, is rejected: the limiter and a server could
interpret it differently.
"""

from __future__ import annotations

import re

UNRESERVED_BYTES = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
PERCENT_ESCAPE = re.compile(r"%(..?)?", re.S)
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
SLASHES = re.compile(r"/{2,}")
# A path without a match is in normal form already, as most are.
NOT_NORMAL = re.compile(r"%|//|/\.")
TARGET_CHARACTERS = re.compile(r"[\x21-\x7e]+")
SCHEME = re.compile(r"https?://([^/?#]*)", re.I)


class PathError(ValueError):
    """A request target has no normal form; the message gives the reason."""


def _normalize_escape(match: re.Match[str]) -> str:
    digits = match[1] or ""
    if len(digits) != 2 or not set(digits) <= HEX_DIGITS:
        raise PathError(f"an escape that is none: {match[0]!r}")
    code = int(digits, 16)
    return chr(code) if code in UNRESERVED_BYTES else f"%{code:02X}"


def _remove_dot_segments(path: str) -> str:
    kept: list[str] = []
    segments = path.split("/")[1:]
    for segment in segments:
        if segment == "..":
            if not kept:
                raise PathError("the path climbs above its root")
            kept.pop()
        elif segment != ".":
            kept.append(segment)
    if segments[-1] in (".", "..") and (not kept or kept[-1]):
        kept.append("")
    return "/" + "/".join(kept)


def normal_path(path: str) -> str:
    """The normal form of a path without its query; raises PathError if there is none."""
    if not path.startswith("/"):
        raise PathError("the path does not begin with a slash")
    if not NOT_NORMAL.search(path):
        return path
    return _remove_dot_segments(SLASHES.sub("/", PERCENT_ESCAPE.sub(_normalize_escape, path)))


def split_target(target: str) -> tuple[str | None, str, str]:
    """(authority or None, path, query with its `?`) of an origin-form or absolute-form target.

    Source: RFC 9112, 3.2.1 and 3.2.2. A fragment is not allowed in a target: PathError.
    """
    if not TARGET_CHARACTERS.fullmatch(target) or "#" in target:
        raise PathError("the target holds what no target may hold")
    authority = None
    if match := SCHEME.match(target):
        authority, target = match[1], target[match.end() :] or "/"
        if target.startswith("?"):
            target = "/" + target
        if not authority or "@" in authority:
            raise PathError("the target's authority can't be used")
    path, question_mark, query = target.partition("?")
    return authority, path, question_mark + query


def normal_host(authority: str) -> str:
    """A host in lower case, without port and trailing dot; an IPv6 address keeps its brackets."""
    bracketed = authority.startswith("[")
    host = authority.partition("]")[0] + "]" if bracketed else authority.partition(":")[0]
    return host.lower().removesuffix(".")
