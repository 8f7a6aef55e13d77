"""The file that tells the preloaded library which system calls fail, and its layout.

The layout is preload.c's `struct table`: magic and version (two u32), the wall clock's offset (i64, ns), then
32 entries of six 32-bit numbers: call, effect, side, errno, part of 65,536 calls, value. An entry whose part
is 0 is free. The part is written last and cleared first, so that no process reads half an entry as a fault.
"""

from __future__ import annotations

import mmap
import struct
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

MAGIC, VERSION = 0x42504654, 1
MAX_FAULTS = 32
PROBABILITY_SCALE = 65_536
_HEAD = struct.Struct("=IIq")
_ENTRY = struct.Struct("=IIIiII")
_OFFSET = struct.Struct("=q")
_PART = struct.Struct("=I")
_PART_AT = 16  # in an entry
SIZE = _HEAD.size + MAX_FAULTS * _ENTRY.size


class Call(IntEnum):
    """Which system calls are struck; those of files leave the standard streams alone."""

    ACCEPT = 1
    CONNECT = 2
    SOCKET = 3
    READ = 4
    WRITE = 5
    POLL = 6
    FILE_WRITE = 7
    FILE_SYNC = 8


class Effect(IntEnum):
    """What happens to a call."""

    FAIL = 1  # it gives an errno
    SHORT = 2  # it moves `value` bytes at most
    STALL = 3  # it comes `value` microseconds late


class Side(IntEnum):
    """Which connections are struck: those that the process accepted, those that it made, or both."""

    ANY = 0
    ACCEPTED = 1
    CONNECTED = 2


@dataclass(frozen=True, slots=True)
class CallFault:
    """One kind of failing call. `part`: of the calls, above 0 and up to 1."""

    call: Call
    effect: Effect
    probability: float
    error_number: int = 0
    value: int = 0
    side: Side = Side.ANY


class FaultTable:
    """The mapped file of one process or of many; a new one lets every call through."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(_HEAD.pack(MAGIC, VERSION, 0).ljust(SIZE, b"\0"))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), SIZE)
        self._held: list[CallFault | None] = [None] * MAX_FAULTS

    def activate(self, fault: CallFault) -> None:
        """Let it strike from now on; ValueError where 32 strike already."""
        slot = self._held.index(None)
        self._held[slot] = fault
        at = _HEAD.size + slot * _ENTRY.size
        _ENTRY.pack_into(
            self._map, at, fault.call, fault.effect, fault.side, fault.error_number, 0, fault.value
        )
        _PART.pack_into(
            self._map,
            at + _PART_AT,
            max(1, min(PROBABILITY_SCALE, round(fault.probability * PROBABILITY_SCALE))),
        )

    def deactivate(self, fault: CallFault) -> None:
        """Let it strike no more."""
        slot = self._held.index(fault)
        self._held[slot] = None
        _PART.pack_into(self._map, _HEAD.size + slot * _ENTRY.size + _PART_AT, 0)

    def step_wall_clock(self, by_s: float) -> None:
        """Set the wall clock to so many seconds off the machine's, from one reading to the next."""
        _OFFSET.pack_into(self._map, _HEAD.size - _OFFSET.size, round(by_s * 1e9))

    def close(self) -> None:
        self._map.close()
