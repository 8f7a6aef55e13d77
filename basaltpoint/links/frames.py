"""Frames and the greeting: what every connection between processes of one installation has in common.

A frame is u32 little-endian for the bytes that follow, and one MessagePack structure. The first frame of each
side is its greeting; a connection whose greeting does not fit is closed with nothing told.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

PROTOCOL_VERSION = 1
LENGTH_PREFIX = struct.Struct("<I")
MAX_FRAME_BYTES = (
    8 << 20
)  # bytes of the longest frame; more is an error of the other side, and ends the connection
MAX_BUFFER_BYTES = 16 << 20  # bytes waiting for one slow reader; beyond, messages to it are dropped


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Any frame. New fields come last, with a default: those of a newer version are left unread."""


class Greeting(Frame, frozen=True, tag="hi"):
    """Who speaks. `name` is a replica's or member's, empty for a client; `address` is where it listens."""

    version: int
    cluster: str
    name: str = ""
    address: str = ""


class FrameError(Exception):
    """What came is no frame that is allowed here."""


@dataclass(frozen=True, slots=True)
class WireProtocol:
    """What may be said over connections of one kind."""

    log_name: str  # for the log
    decode: Callable[[memoryview], Any]  # msgspec.DecodeError, ValueError where it is no frame
    max_frame_bytes: int = MAX_FRAME_BYTES  # bytes of the longest
    max_buffer_bytes: int = MAX_BUFFER_BYTES


_encoder = msgspec.msgpack.Encoder()


def encode_frame(frame: Frame, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """A whole frame; FrameError where it is too long."""
    body = _encoder.encode(frame)
    if len(body) > max_bytes:
        raise FrameError(f"a frame of {len(body)} bytes; allowed: {max_bytes}")
    return LENGTH_PREFIX.pack(len(body)) + body


_greeting = msgspec.msgpack.Decoder(Greeting).decode


def decode_greeting(frame: bytes) -> Greeting | None:
    """The greeting that a whole frame is, for one who stands between two others."""
    try:
        return _greeting(frame[LENGTH_PREFIX.size :])
    except msgspec.DecodeError:
        return None


class FrameParser:
    """Cuts what comes into frames."""

    def __init__(self, protocol: WireProtocol) -> None:
        self._decode, self._max_bytes = protocol.decode, protocol.max_frame_bytes
        self._buffer = bytearray()
        self._offset = 0

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next_frame(self) -> Any:
        """The next whole frame, None where none is whole; FrameError where it can't be one."""
        at, held = self._offset, self._buffer
        if len(held) - at < LENGTH_PREFIX.size:
            self._discard_consumed()
            return None
        (length,) = LENGTH_PREFIX.unpack_from(held, at)
        if length > self._max_bytes:
            raise FrameError(f"a frame of {length} bytes; allowed: {self._max_bytes}")
        end = at + LENGTH_PREFIX.size + length
        if len(held) < end:
            self._discard_consumed()
            return None
        with memoryview(held) as view:
            try:
                frame = self._decode(view[at + LENGTH_PREFIX.size : end])
            except (msgspec.DecodeError, ValueError) as error:
                raise FrameError(f"a frame that can't be read: {error}") from None
        self._offset = end
        return frame

    def _discard_consumed(self) -> None:
        del self._buffer[: self._offset]
        self._offset = 0
