"""A replica's log and snapshots on the disk.

A segment is a row of batches; a batch is written at once, and the next only after it was synced. So a batch
that is not whole is a torn tail where nothing follows it, and damage where a whole one does. Layout, numbers
little-endian:

    batch: magic, u64 number, u32 bytes that follow, u32 CRC-32 of number and these bytes
    record in it: u32 bytes of data, u64 term, u64 index, u8 kind, data

Kinds are those of entries, and three of the disk's own: BASE begins a segment and tells the entry before it,
RESET does so where a snapshot replaced all that was, HARD holds term and vote. An entry drops all from its
index on that were written before it. A snapshot is a file of its own: magic, u64 length, u32 CRC-32,
MessagePack.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from basaltpoint.store.files import CrashPoint, Files, no_crash_point
from basaltpoint.store.log import Log
from basaltpoint.store.messages import Entry, EntryKind, HardState, Snapshot
from basaltpoint.store.wire import encode

BATCH_MAGIC = b"BPb1"
SNAPSHOT_MAGIC = b"BPs1"
BATCH_HEADER = struct.Struct("<4sQII")
RECORD_HEADER = struct.Struct("<IQQB")
SNAPSHOT_HEADER = struct.Struct("<4sQI")
BASE_RECORD, RESET_RECORD, HARD_STATE_RECORD = 253, 254, 255
SEGMENT_NAME = re.compile(r"log-(\d{20})\.seg")
SNAPSHOT_NAME = re.compile(r"snap-(\d{20})\.snap")
SNAPSHOT_SLICE_BYTES = (
    2 << 20
)  # bytes of a snapshot written and synced at once: the replica must go on meanwhile

_hard_state_decoder = msgspec.msgpack.Decoder(HardState)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


class CorruptionError(Exception):
    """What is on the disk can't be trusted; the text says where, and how to go on."""


REBUILD_ADVICE = (
    "this replica stops: it may have promised what it can't read any more. Remove its folder, take it out of "
    "the cluster (`basaltpoint store remove`) and add it anew under another name; the others bring it up"
)


@dataclass(slots=True)
class _Segment:
    number: int
    last_index: int = 0  # the highest index in it
    size_bytes: int = 0  # bytes in it that are known to be sound

    @property
    def name(self) -> str:
        return f"log-{self.number:020}.seg"


def _record(kind: int, term: int, index: int, data: bytes = b"") -> bytes:
    return RECORD_HEADER.pack(len(data), term, index, kind) + data


class Disk:
    """What one replica has written; after an OSError it must be written anew before anything else."""

    def __init__(self, files: Files, crash_point: CrashPoint = no_crash_point) -> None:
        self._files, self._crash_point = files, crash_point
        self._segments: list[_Segment] = []
        self._last_batch = 0
        self._snapshot_index = -1  # index of the latest snapshot that is on the disk with its name
        self._last_entry = (0, 0)  # index and term of the last entry written
        self.hard_state = HardState()
        self.log = Log(Snapshot())
        self.torn_tail_bytes = 0  # bytes of a torn tail that were dropped at the start
        self._load()

    # --- Reading ---------------------------------------------------------------------------------------
    def _load(self) -> None:
        """DamageError where anything but the end of the last write is not whole."""
        names = self._files.list_names()
        for name in names:
            if name.endswith(".tmp"):  # a snapshot that was not finished
                self._files.remove(name)
        snapshots = sorted(name for name in names if SNAPSHOT_NAME.fullmatch(name))
        snapshot = self._read_snapshot(snapshots[-1]) if snapshots else Snapshot()
        if snapshots:
            self._snapshot_index = snapshot.index
        for name in snapshots[:-1]:
            self._files.remove(name)
        contents = _SegmentContents()
        segments = sorted(int(match[1]) for name in names if (match := SEGMENT_NAME.fullmatch(name)))
        for at, number in enumerate(segments):
            segment = _Segment(number)
            self._segments.append(segment)
            self._read_segment(segment, contents, last=at == len(segments) - 1)
        self.hard_state, self._last_entry = contents.hard_state, contents.last_entry
        if (log := contents.build_log(snapshot)) is not None:
            self.log = log
            if not self._segments:
                self._roll_segment(BASE_RECORD)
        else:  # ended between a leader's snapshot and the segment that says so
            self.log = Log(snapshot)
            self._roll_segment(RESET_RECORD, snapshot.index, snapshot.term)

    def _read_snapshot(self, name: str) -> Snapshot:
        raw = self._files.read(name)
        if len(raw) >= SNAPSHOT_HEADER.size:
            magic, length, crc = SNAPSHOT_HEADER.unpack_from(raw)
            body = memoryview(raw)[SNAPSHOT_HEADER.size :]
            if magic == SNAPSHOT_MAGIC and len(body) == length and zlib.crc32(body) == crc:
                return _snapshot_decoder.decode(body)
        raise CorruptionError(f"{name}: the snapshot is not whole; {REBUILD_ADVICE}")

    def _read_segment(self, segment: _Segment, contents: _SegmentContents, last: bool) -> None:
        raw, at = self._files.read(segment.name), 0
        while at < len(raw):
            payload = self._next_batch(raw, at)
            if payload is None:
                if not last or self._has_later_batch(raw, at + 1):
                    raise CorruptionError(
                        f"{segment.name}: damage at byte {at}, with sound data behind it; {REBUILD_ADVICE}"
                    )
                self.torn_tail_bytes = len(raw) - at
                self._files.truncate(segment.name, at)
                break
            for kind, term, index, data in _parse_records(payload):
                if not contents.add_record(kind, term, index, data):
                    raise CorruptionError(
                        f"{segment.name}: entry {index} does not follow what is before it; {REBUILD_ADVICE}"
                    )
                segment.last_index = max(segment.last_index, index)
            at += BATCH_HEADER.size + len(payload)
        segment.size_bytes = at
        if at == 0:  # its first batch never came whole; the one before it still is the last
            self._files.remove(segment.name)
            self._files.sync_directory()  # else it could be back behind what is written to the one before it
            self._segments.pop()

    def _next_batch(self, raw: bytes, at: int) -> memoryview | None:
        """The batch that begins there, where it is whole and follows the one before it."""
        if (found := _read_batch(raw, at)) is None or (self._last_batch and found[0] != self._last_batch + 1):
            return None
        self._last_batch, payload = found
        return payload

    def _has_later_batch(self, raw: bytes, at: int) -> bool:
        """Whether any whole batch stands behind a broken one."""
        while (at := raw.find(BATCH_MAGIC, at)) >= 0:
            if _read_batch(raw, at):
                return True
            at += 1
        return False

    # --- Writing ---------------------------------------------------------------------------------------
    def write(self, entries: tuple[Entry, ...], hard_state: HardState | None) -> None:
        """Have entries and hard state on the disk; OSError where that can't be."""
        records = [_record(entry.kind, entry.term, entry.index, entry.data) for entry in entries]
        if hard_state is not None:
            self.hard_state = hard_state
            records.append(_record(HARD_STATE_RECORD, hard_state.term, 0, encode(hard_state)))
        segment = self._segments[-1]
        if entries:
            segment.last_index = max(segment.last_index, entries[-1].index)
            self._last_entry = entries[-1].index, entries[-1].term
        self._write_batch(segment, records, "write")

    def _write_batch(self, segment: _Segment, records: list[bytes], operation: str) -> None:
        name = segment.name
        payload = b"".join(records)
        raw = (
            BATCH_HEADER.pack(
                BATCH_MAGIC, self._last_batch + 1, len(payload), _crc(self._last_batch + 1, payload)
            )
            + payload
        )
        half = len(raw) // 2
        self._crash_point(f"{operation}.before")
        self._files.append(name, raw[:half])
        self._crash_point(f"{operation}.torn")
        self._files.append(name, raw[half:])
        self._crash_point(f"{operation}.unsynced")
        self._files.sync(name)
        self._last_batch += 1
        segment.size_bytes += len(raw)
        self._crash_point(f"{operation}.synced")

    def _roll_segment(self, kind: int, index: int = 0, term: int = 0) -> None:
        """Begin a segment: it says itself what it follows, and holds term and vote."""
        if kind == RESET_RECORD:
            self._last_entry = index, term
        index, term = self._last_entry
        self._begin_segment([_record(kind, term, index)], "roll")

    def _begin_segment(self, records: list[bytes], operation: str) -> None:
        """Begin a segment with these records, and with term and vote; nothing of it counts before its end."""
        segment = _Segment(self._segments[-1].number + 1 if self._segments else 1)
        hard_record = _record(HARD_STATE_RECORD, self.hard_state.term, 0, encode(self.hard_state))
        self._write_batch(segment, [*records, hard_record], operation)
        self._files.sync_directory()
        self._crash_point(f"{operation}.named")
        self._segments.append(segment)

    def rewrite(self, log: Log, hard_state: HardState) -> None:
        """After a failed write or sync: have all on the disk anew, in files that no failed call has touched.

        What a failed fsync(2) left in the page cache may never reach the disk, and a later one may still
        succeed. OSError where this fails, too; it may be tried again. At each point of it a start finds what
        was promised: the old files without their unsound ends, or the new ones.
        """
        self._remove_unfinished()
        if self._segments:
            last = self._segments[-1]
            self._files.truncate(last.name, last.size_bytes)
        if self._snapshot_index != log.snapshot.index:
            for _ in self._write_snapshot(log.snapshot, "rewrite"):
                pass
        self.hard_state, self._last_entry = hard_state, (log.last_index, log.last_term)
        records = [_record(RESET_RECORD, log.base_term, log.base_index)]
        records += [_record(entry.kind, entry.term, entry.index, entry.data) for entry in log.entries]
        self._begin_segment(records, "rewrite")
        self._segments[-1].last_index = log.last_index
        self._remove_obsolete(log.snapshot.index, log.last_index, all_but_last=True)

    def _remove_unfinished(self) -> None:
        """Remove snapshots and segments that were being written when a call failed; that makes room, too."""
        held = {segment.name for segment in self._segments}
        for name in self._files.list_names():
            if name.endswith(".tmp") or (SEGMENT_NAME.fullmatch(name) and name not in held):
                self._files.remove(name)

    def write_snapshot(self, snapshot: Snapshot, base_index: int) -> Iterator[None]:
        """Write a snapshot of what was applied, a slice a step; entries up to `base` are needed no more."""
        yield from self._write_snapshot(snapshot, "snapshot")
        self._roll_segment(BASE_RECORD)
        self._remove_obsolete(snapshot.index, base_index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Write a leader's snapshot in the place of all that is held."""
        for _ in self._write_snapshot(snapshot, "install"):
            pass
        self._roll_segment(RESET_RECORD, snapshot.index, snapshot.term)
        self._crash_point("install.rolled")
        self._remove_obsolete(snapshot.index, snapshot.index, all_but_last=True)

    def _write_snapshot(self, snapshot: Snapshot, operation: str) -> Iterator[None]:
        body = encode(snapshot)
        name = f"snap-{snapshot.index:020}.snap"
        temporary = name + ".tmp"
        self._crash_point(f"{operation}.begin")
        if temporary in self._files.list_names():  # of one that was given up
            self._files.remove(temporary)
        self._files.append(temporary, SNAPSHOT_HEADER.pack(SNAPSHOT_MAGIC, len(body), zlib.crc32(body)))
        for at in range(0, len(body), SNAPSHOT_SLICE_BYTES):
            self._files.append(temporary, body[at : at + SNAPSHOT_SLICE_BYTES])
            self._crash_point(f"{operation}.written")
            self._files.sync(temporary)
            yield
        self._crash_point(f"{operation}.synced")
        self._files.rename(temporary, name)
        self._crash_point(f"{operation}.renamed")
        self._files.sync_directory()
        self._snapshot_index = snapshot.index
        self._crash_point(f"{operation}.named")

    def _remove_obsolete(self, index: int, base_index: int, all_but_last: bool = False) -> None:
        """Remove what a durable snapshot made superfluous, the oldest first."""
        for name in self._files.list_names():
            if (match := SNAPSHOT_NAME.fullmatch(name)) and int(match[1]) < index:
                self._files.remove(name)
        while len(self._segments) > 1 and (all_but_last or self._segments[0].last_index <= base_index):
            self._files.remove(self._segments[0].name)
            del self._segments[0]
            # Else a later one could be gone after a power failure, and an earlier one be there.
            self._files.sync_directory()
            self._crash_point("forget.removed")


class _SegmentContents:
    """What the segments say, in their order."""

    def __init__(self) -> None:
        self.hard_state = HardState()
        self._base: tuple[int, int] | None = None
        self._entries: list[Entry] = []

    @property
    def last_entry(self) -> tuple[int, int]:
        if self._entries:
            return self._entries[-1].index, self._entries[-1].term
        return self._base or (0, 0)

    def add_record(self, kind: int, term: int, index: int, data: bytes) -> bool:
        """Take a record in; False where it does not fit."""
        if kind == HARD_STATE_RECORD:
            self.hard_state = _hard_state_decoder.decode(data)
        elif kind == RESET_RECORD or (kind == BASE_RECORD and self._base is None):
            self._base, self._entries = (index, term), []
        elif kind == BASE_RECORD:
            return self.last_entry == (index, term)
        else:
            first = (self._base or (0, 0))[0] + 1
            if not first <= index <= self.last_entry[0] + 1:
                return False
            del self._entries[index - first :]
            self._entries.append(Entry(term, index, EntryKind(kind), data))
        return True

    def build_log(self, snapshot: Snapshot) -> Log | None:
        """The log on this snapshot; None where entries don't agree with it: they were on their way out."""
        base = self._base or (0, 0)
        at = snapshot.index - base[0]
        term = base[1] if at == 0 else self._entries[at - 1].term if 0 < at <= len(self._entries) else None
        if term == snapshot.term:
            return Log(snapshot, self._entries, base)
        return None


def _read_batch(raw: bytes, at: int) -> tuple[int, memoryview] | None:
    """Number and records of the batch that begins there; None where it is not whole."""
    if len(raw) - at < BATCH_HEADER.size:
        return None
    magic, number, length, crc = BATCH_HEADER.unpack_from(raw, at)
    payload = memoryview(raw)[at + BATCH_HEADER.size : at + BATCH_HEADER.size + length]
    if magic != BATCH_MAGIC or len(payload) != length or _crc(number, payload) != crc:
        return None
    return number, payload


def _parse_records(payload: memoryview) -> Iterator[tuple[int, int, int, bytes]]:
    at = 0
    while at < len(payload):
        length, term, index, kind = RECORD_HEADER.unpack_from(payload, at)
        at += RECORD_HEADER.size
        yield kind, term, index, bytes(payload[at : at + length])
        at += length


def _crc(number: int, payload: bytes | memoryview) -> int:
    return zlib.crc32(payload, number & 0xFFFFFFFF)
