"""Request targets as nginx reads them before it looks for a location.

Source: nginx's documentation of `location`, by which escapes are decoded, dot segments resolved and runs of
slashes made one first, and of `merge_slashes`.
"""

from __future__ import annotations

import re

ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})?")
SLASHES = re.compile(rb"/{2,}")
# What a URI that is built anew has escaped: blanks, controls, all beyond ASCII, and what would end it.
ESCAPED = frozenset([*range(0x21), *range(0x7F, 0x100), *b"#%?"])


class TargetError(ValueError):
    """A target that nginx answers with 400; says why."""


def _decoded(match: re.Match[bytes]) -> bytes:
    if match[1] is None:
        raise TargetError("an escape that is none")
    return bytes([int(match[1], 16)])


def normalize(target: bytes, merge_slashes: bool = True) -> tuple[bytes, bytes]:
    """The decoded path in which locations are sought, and the arguments with their `?`.

    Unlike the limiter's own normal form, an escaped slash is a slash. Raises TargetError.
    """
    raw, mark, args = target.partition(b"#")[0].partition(b"?")
    if not raw.startswith(b"/"):
        raise TargetError("the path does not begin with a slash")
    path = ESCAPE.sub(_decoded, raw)
    if b"\0" in path:
        raise TargetError("a zero byte")
    if merge_slashes:
        path = SLASHES.sub(b"/", path)
    kept: list[bytes] = []
    segments = path.split(b"/")[1:]
    for segment in segments:
        if segment == b"..":
            if not kept:
                raise TargetError("the path climbs above its root")
            kept.pop()
        elif segment != b".":
            kept.append(segment)
    if segments[-1] in (b".", b".."):
        kept.append(b"")
    return b"/" + b"/".join(kept), mark + args


def escape(path: bytes) -> bytes:
    """A decoded path as it goes on to a server."""
    return b"".join(b"%%%02X" % byte if byte in ESCAPED else bytes([byte]) for byte in path)


def host_name(header: str | None) -> str:
    """The Host header as server names are held against it: lower case, no port, no closing dot.

    The limiter's own rule (routing.path) is the same today and apart on purpose: this one is to check it.
    """
    if not header:
        return ""
    name = header.partition("]")[0] + "]" if header.startswith("[") else header.partition(":")[0]
    return name.lower().removesuffix(".")
