"""Normalizes request targets as nginx does before it searches a location.

Source: nginx's documentation of `location` (percent-escapes are decoded, dot segments resolved and adjacent
slashes merged before matching) and of `merge_slashes`.
"""

from __future__ import annotations

import re

ESCAPE_SEQUENCE = re.compile(rb"%([0-9A-Fa-f]{2})?")
REPEATED_SLASHES = re.compile(rb"/{2,}")
# Escaped in a rewritten URI: blanks, control characters, all beyond ASCII, and delimiters that end a path.
ESCAPED_BYTES = frozenset([*range(0x21), *range(0x7F, 0x100), *b"#%?"])


class TargetError(ValueError):
    """nginx would respond to this target with 400; says why."""


def _decode_escape(match: re.Match[bytes]) -> bytes:
    if match[1] is None:
        raise TargetError("invalid percent-escape")
    return bytes([int(match[1], 16)])


def normalize_target(target: bytes, merge_slashes: bool = True) -> tuple[bytes, bytes]:
    """Returns the decoded path that locations are matched against, and the arguments with their `?`.

    Unlike in the limiter's own normal form, an escaped slash is decoded. Raises TargetError.
    """
    raw_path, question_mark, args = target.partition(b"#")[0].partition(b"?")
    if not raw_path.startswith(b"/"):
        raise TargetError("the path does not start with a slash")
    path = ESCAPE_SEQUENCE.sub(_decode_escape, raw_path)
    if b"\0" in path:
        raise TargetError("the path contains a null byte")
    if merge_slashes:
        path = REPEATED_SLASHES.sub(b"/", path)
    resolved: list[bytes] = []
    segments = path.split(b"/")[1:]
    for segment in segments:
        if segment == b"..":
            if not resolved:
                raise TargetError("the path leads above the root")
            resolved.pop()
        elif segment != b".":
            resolved.append(segment)
    if segments[-1] in (b".", b".."):
        resolved.append(b"")
    return b"/" + b"/".join(resolved), question_mark + args


def escape_path(path: bytes) -> bytes:
    """Escapes a decoded path to be sent to a server."""
    return b"".join(b"%%%02X" % byte if byte in ESCAPED_BYTES else bytes([byte]) for byte in path)


def host_name(header: str | None) -> str:
    """Returns the Host header as server names are compared with it: lower case, no port, no final dot.

    The limiter's own rule (routing.path) is the same, but is kept separate on purpose: this one checks it.
    """
    if not header:
        return ""
    name = header.partition("]")[0] + "]" if header.startswith("[") else header.partition(":")[0]
    return name.lower().removesuffix(".")
