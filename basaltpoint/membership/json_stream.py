"""JSON objects in a stream of bytes: found by where their braces close, however lines and chunks fall."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

_STRUCTURAL = re.compile(rb'["{}]')  # what counts within an object,
_IN_STRING = re.compile(rb'["\\]')  # and within a string of it
_NON_SPACE = re.compile(rb"[^ \t\r\n]")
MAX_OBJECT_BYTES = 4 << 20  # bytes; an object that never ends must not fill the memory


class MalformedStreamError(ValueError):
    """What is wrong with the stream: nothing behind this place can be found."""


class JsonObjectStream:
    """Cuts one object after the other out of what comes; linear in its length, bounded in size.

    An object may be spread over lines, and several may share one. One that stands whole on its line, as an
    agent mostly writes it, is found without a look at each of its strings.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0  # up to here an open object has been looked through
        self._line_start = 0  # where its latest line begins
        self._line_scanned = 0  # up to here that line has been looked through for its end
        self._depth = 0
        self._in_string = False  # a string

    @property
    def has_partial_object(self) -> bool:
        """Whether part of an object has come."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """The objects that these bytes complete, each as soon as it is found.

        BrokenError for what is no object, for one too long, and for one that breaks off before another
        list: the rest of it does not come any more.
        """
        self._buffer += data
        while (parsed := self._pop_object()) is not None:
            yield parsed
        if len(self._buffer) > MAX_OBJECT_BYTES:
            raise MalformedStreamError(f"an object of over {MAX_OBJECT_BYTES} bytes")

    def _discard(self, size: int) -> None:
        del self._buffer[:size]
        self._scanned = self._line_start = self._line_scanned = self._depth = 0

    def _pop_object(self) -> dict[str, Any] | None:
        """Take the first object out; None as long as it is not whole."""
        buffer = self._buffer
        if not self._scanned:
            first = _NON_SPACE.search(buffer)
            self._discard(first.start() if first else len(buffer))
            if not buffer:
                return None
            if buffer[0] != ord("{"):
                raise MalformedStreamError(f"not an object: {bytes(buffer[:40])!r}")
            end = buffer.find(b"\n")
            if end > 0 and (parsed := _parse_line(buffer[:end])) is not None:
                self._discard(end)
                return parsed
        if not (end := self._object_end()):
            self._check_lines()
            return None
        parsed = _decode(buffer[:end])
        self._discard(end)
        return parsed

    def _object_end(self) -> int:
        """Where the first object ends; 0 as long as it is not whole."""
        buffer = self._buffer
        while found := (_IN_STRING if self._in_string else _STRUCTURAL).search(buffer, self._scanned):
            at, token = found.start(), found[0]
            if token == b"\\":
                if at + 1 >= len(buffer):
                    self._scanned = at
                    return 0
                self._scanned = at + 2
                continue
            self._scanned = at + 1
            if token == b'"':
                self._in_string = not self._in_string
            else:
                self._depth += 1 if token == b"{" else -1
                if not self._depth:
                    return self._scanned
        self._scanned = len(buffer)
        return 0

    def _check_lines(self) -> None:
        """A whole list on a line of its own, within an object: what was open there has broken off."""
        while (end := self._buffer.find(b"\n", max(self._line_start, self._line_scanned))) >= 0:
            parsed = _parse_line(self._buffer[self._line_start : end]) if self._line_start else None
            if parsed is not None and "hosts" in parsed:
                raise MalformedStreamError("an object breaks off before another")
            self._line_start = self._line_scanned = end + 1
        self._line_scanned = len(self._buffer)


def _parse_line(line: bytearray) -> dict[str, Any] | None:
    """The object that fills a line; None where none does."""
    if not line.startswith(b"{") or not line.rstrip().endswith(b"}"):
        return None
    try:
        return _decode(line)
    except MalformedStreamError:
        return None


def _decode(raw: bytearray) -> dict[str, Any]:
    """What stands between two braces that close; BrokenError where it can't be read."""
    try:
        parsed: dict[str, Any] = json.loads(raw.decode())
    except (ValueError, RecursionError) as error:
        raise MalformedStreamError(str(error)) from None
    return parsed
