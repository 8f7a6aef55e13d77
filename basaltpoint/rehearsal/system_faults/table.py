"""The fault table: a mapped file that tells the preloaded library which system calls fail.

The layout is preload.c's `struct table`: magic and version (two u32), the offset of the wall clock (i64, ns),
then 32 entries of six 32-bit numbers: call, effect, side, errno, probability (in 65,536ths) and value. An
entry whose probability is 0 is free. The probability is written last and cleared first, so that no process
takes a partly written entry for a fault.
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
_WALL_OFFSET = struct.Struct("=q")
_PROBABILITY = struct.Struct("=I")
_PROBABILITY_OFFSET_BYTES = 16  # within an entry
TABLE_BYTES = _HEAD.size + MAX_FAULTS * _ENTRY.size


class Call(IntEnum):
    """The system calls that can fail. The FILE_ calls exclude the standard streams."""

    ACCEPT = 1
    CONNECT = 2
    SOCKET = 3
    READ = 4
    WRITE = 5
    POLL = 6
    FILE_WRITE = 7
    FILE_SYNC = 8


class Effect(IntEnum):
    """What a fault does to a call."""

    FAIL = 1  # it fails with an errno
    SHORT = 2  # it transfers at most `value` bytes
    STALL = 3  # it is delayed by `value` microseconds


class Side(IntEnum):
    """The affected connections: those that the process accepted, those that it opened, or both."""

    ANY = 0
    ACCEPTED = 1
    CONNECTED = 2


@dataclass(frozen=True, slots=True)
class CallFault:
    """A fault of one system call."""

    call: Call
    effect: Effect
    probability: float  # that a call is affected; above 0, at most 1
    error_number: int = 0  # the errno of Effect.FAIL
    value: int = 0  # bytes for Effect.SHORT, microseconds for Effect.STALL
    side: Side = Side.ANY


class FaultTable:
    """The mapped file, which one or several processes read. A new table has no faults."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(_HEAD.pack(MAGIC, VERSION, 0).ljust(TABLE_BYTES, b"\0"))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), TABLE_BYTES)
        self._slots: list[CallFault | None] = [None] * MAX_FAULTS

    def activate(self, fault: CallFault) -> None:
        """Starts a fault; raises ValueError if 32 faults are active already."""
        slot = self._slots.index(None)
        self._slots[slot] = fault
        offset = _HEAD.size + slot * _ENTRY.size
        _ENTRY.pack_into(
            self._map, offset, fault.call, fault.effect, fault.side, fault.error_number, 0, fault.value
        )
        _PROBABILITY.pack_into(
            self._map,
            offset + _PROBABILITY_OFFSET_BYTES,
            max(1, min(PROBABILITY_SCALE, round(fault.probability * PROBABILITY_SCALE))),
        )

    def deactivate(self, fault: CallFault) -> None:
        """Ends an active fault; raises ValueError if it is not active."""
        slot = self._slots.index(fault)
        self._slots[slot] = None
        _PROBABILITY.pack_into(self._map, _HEAD.size + slot * _ENTRY.size + _PROBABILITY_OFFSET_BYTES, 0)

    def step_wall_clock(self, by_s: float) -> None:
        """Sets the difference of the wall clock to that of the host (s), from the next reading on."""
        _WALL_OFFSET.pack_into(self._map, _HEAD.size - _WALL_OFFSET.size, round(by_s * 1e9))

    def close(self) -> None:
        self._map.close()
