"""Frames and the greeting, which all connections between processes of one installation share.

A frame is a 32-bit little-endian length, in bytes, followed by one MessagePack structure of that length. The
first frame of each side is its greeting. A connection whose greeting does not match is closed before anything
else is sent over it.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

PROTOCOL_VERSION = 1
LENGTH_PREFIX = struct.Struct("<I")
MAX_FRAME_BYTES = 8 << 20  # a longer frame is a protocol error and closes the connection
MAX_BUFFER_BYTES = 16 << 20  # unsent bytes of one connection; above, frames to a slow reader are dropped


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all frames.

    New fields are appended with a default. An older version ignores the fields that it does not know.
    """


class Greeting(Frame, frozen=True, tag="hi"):
    """The sender's identity: the name of a replica or member (empty for a client) and its listen address."""

    version: int
    cluster: str
    name: str = ""
    address: str = ""


class FrameError(Exception):
    """The received bytes are not a valid frame, or the frame is not allowed on this connection."""


@dataclass(frozen=True, slots=True)
class WireProtocol:
    """The messages and size limits of one kind of connection."""

    log_name: str  # prefix of log messages
    decode: Callable[[memoryview], Any]  # raises msgspec.DecodeError or ValueError for an invalid frame
    max_frame_bytes: int = MAX_FRAME_BYTES
    max_buffer_bytes: int = MAX_BUFFER_BYTES


_encoder = msgspec.msgpack.Encoder()


def encode_frame(frame: Frame, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Returns the frame with its length prefix; raises FrameError if it is longer than `max_bytes`."""
    body = _encoder.encode(frame)
    if len(body) > max_bytes:
        raise FrameError(f"a frame of {len(body)} bytes; allowed: {max_bytes}")
    return LENGTH_PREFIX.pack(len(body)) + body


_greeting = msgspec.msgpack.Decoder(Greeting).decode


def decode_greeting(frame: bytes) -> Greeting | None:
    """Decodes a greeting from a frame with its length prefix; None if the frame is not a greeting.

    For proxies that read the traffic between two processes.
    """
    try:
        return _greeting(frame[LENGTH_PREFIX.size :])
    except msgspec.DecodeError:
        return None


class FrameParser:
    """Splits a byte stream into frames."""

    def __init__(self, protocol: WireProtocol) -> None:
        self._decode, self._max_bytes = protocol.decode, protocol.max_frame_bytes
        self._buffer = bytearray()
        self._offset = 0

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next_frame(self) -> Any:
        """Returns the next complete frame, or None if there is none yet.

        Raises FrameError if the frame is too long or can't be decoded.
        """
        offset, buffer = self._offset, self._buffer
        if len(buffer) - offset < LENGTH_PREFIX.size:
            self._discard_consumed()
            return None
        (length,) = LENGTH_PREFIX.unpack_from(buffer, offset)
        if length > self._max_bytes:
            raise FrameError(f"a frame of {length} bytes; allowed: {self._max_bytes}")
        end = offset + LENGTH_PREFIX.size + length
        if len(buffer) < end:
            self._discard_consumed()
            return None
        with memoryview(buffer) as view:
            try:
                frame = self._decode(view[offset + LENGTH_PREFIX.size : end])
            except (msgspec.DecodeError, ValueError) as error:
                raise FrameError(f"a frame that can't be decoded: {error}") from None
        self._offset = end
        return frame

    def _discard_consumed(self) -> None:
        del self._buffer[: self._offset]
        self._offset = 0
