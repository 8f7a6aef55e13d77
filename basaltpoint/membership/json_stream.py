"""Splits a stream of bytes into JSON objects by their braces, independent of line breaks and chunks."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

_STRUCTURAL = re.compile(rb'["{}]')  # outside strings
_IN_STRING = re.compile(rb'["\\]')
_NON_SPACE = re.compile(rb"[^ \t\r\n]")
MAX_OBJECT_BYTES = 4 << 20  # limits the memory that an object without an end can use


class MalformedStreamError(ValueError):
    """The stream is malformed, and nothing after this position can be parsed."""


class JsonObjectStream:
    """Extracts JSON objects from incoming bytes, in linear time and bounded memory.

    An object may span several lines, and one line may hold several objects. An object that fills exactly one
    line, which is the usual form, is parsed without scanning its strings.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0  # bytes of the open object that have been scanned
        self._line_start = 0  # where the open object's latest line begins
        self._line_scanned = 0  # bytes that have been searched for the end of that line
        self._depth = 0
        self._in_string = False

    @property
    def has_partial_object(self) -> bool:
        """Whether part of an object has been received."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """Yields the objects that these bytes complete, each as soon as its end is found.

        Raises MalformedStreamError for data that is not an object, for an object that is too long, and for
        one that is truncated and followed by another list.
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
        """Removes and returns the first object; None while it is incomplete."""
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
        """Returns where the first object ends; 0 while it is incomplete."""
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
        """Raises an error if a line within the open object holds a whole list: the object was truncated."""
        while (end := self._buffer.find(b"\n", max(self._line_start, self._line_scanned))) >= 0:
            parsed = _parse_line(self._buffer[self._line_start : end]) if self._line_start else None
            if parsed is not None and "hosts" in parsed:
                raise MalformedStreamError("an object breaks off before another")
            self._line_start = self._line_scanned = end + 1
        self._line_scanned = len(self._buffer)


def _parse_line(line: bytearray) -> dict[str, Any] | None:
    """Returns the object that fills a line; None if the line is not one object."""
    if not line.startswith(b"{") or not line.rstrip().endswith(b"}"):
        return None
    try:
        return _decode(line)
    except MalformedStreamError:
        return None


def _decode(raw: bytearray) -> dict[str, Any]:
    """Parses a JSON object; MalformedStreamError if it is invalid."""
    try:
        parsed: dict[str, Any] = json.loads(raw.decode())
    except (ValueError, RecursionError) as error:
        raise MalformedStreamError(str(error)) from None
    return parsed
