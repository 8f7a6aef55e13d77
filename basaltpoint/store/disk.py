"""A replica's log and snapshots on disk.

The log consists of segments, a segment of batches. A batch is written as a whole, and the next one only after
it was synced. An incomplete batch is therefore a torn tail if nothing follows it, and corruption if a
complete batch does. Layout, with little-endian numbers:

    batch: magic, u64 number, u32 length of the records, u32 CRC-32 of number and records
    record: u32 length of the data, u64 term, u64 index, u8 kind, data

The kinds are those of log entries and three more: BASE_RECORD begins a segment and states index and term of
the entry before it; RESET_RECORD does the same where a snapshot replaced all earlier entries;
HARD_STATE_RECORD holds the hard state. An entry replaces all entries from its index on that were written
before it. A snapshot is a separate file: magic, u64 length, u32 CRC-32, MessagePack.
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
SNAPSHOT_SLICE_BYTES = 2 << 20  # written and synced at once; the replica handles messages between slices

_hard_state_decoder = msgspec.msgpack.Decoder(HardState)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


class CorruptionError(Exception):
    """The data on disk can't be trusted; the text states the place and how to rebuild the replica."""


REBUILD_ADVICE = (
    "this replica stops, as it may have acknowledged entries that it can't read any more. Remove its folder, "
    "remove it from the cluster (`basaltpoint store remove`) and add it again under another name; the other "
    "replicas send it their state"
)


@dataclass(slots=True)
class _Segment:
    number: int
    last_index: int = 0  # highest entry index in the segment
    size_bytes: int = 0  # length of the part that is known to be valid

    @property
    def name(self) -> str:
        return f"log-{self.number:020}.seg"


def _record(kind: int, term: int, index: int, data: bytes = b"") -> bytes:
    return RECORD_HEADER.pack(len(data), term, index, kind) + data


class Disk:
    """The log, snapshots and hard state of one replica on disk.

    After an OSError from a write, `rewrite` must succeed before any other write.
    """

    def __init__(self, files: Files, crash_point: CrashPoint = no_crash_point) -> None:
        self._files, self._crash_point = files, crash_point
        self._segments: list[_Segment] = []
        self._last_batch = 0
        self._snapshot_index = -1  # index of the latest snapshot that is synced under its final name
        self._last_entry = (0, 0)  # index, term
        self.hard_state = HardState()
        self.log = Log(Snapshot())
        self.torn_tail_bytes = 0  # dropped at start
        self._load()

    # --- Reading ---------------------------------------------------------------------------------------
    def _load(self) -> None:
        """Loads all files. CorruptionError if anything but the last write is incomplete."""
        names = self._files.list_names()
        for name in names:
            if name.endswith(".tmp"):  # an unfinished snapshot
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
        else:  # the process ended after installing a snapshot, before the segment that records it
            self.log = Log(snapshot)
            self._roll_segment(RESET_RECORD, snapshot.index, snapshot.term)

    def _read_snapshot(self, name: str) -> Snapshot:
        raw = self._files.read(name)
        if len(raw) >= SNAPSHOT_HEADER.size:
            magic, length, crc = SNAPSHOT_HEADER.unpack_from(raw)
            body = memoryview(raw)[SNAPSHOT_HEADER.size :]
            if magic == SNAPSHOT_MAGIC and len(body) == length and zlib.crc32(body) == crc:
                return _snapshot_decoder.decode(body)
        raise CorruptionError(f"{name}: the snapshot is incomplete or corrupt; {REBUILD_ADVICE}")

    def _read_segment(self, segment: _Segment, contents: _SegmentContents, last: bool) -> None:
        raw, at = self._files.read(segment.name), 0
        while at < len(raw):
            payload = self._next_batch(raw, at)
            if payload is None:
                if not last or self._has_later_batch(raw, at + 1):
                    raise CorruptionError(
                        f"{segment.name}: corruption at byte {at}, followed by valid data; {REBUILD_ADVICE}"
                    )
                self.torn_tail_bytes = len(raw) - at
                self._files.truncate(segment.name, at)
                break
            for kind, term, index, data in _parse_records(payload):
                if not contents.add_record(kind, term, index, data):
                    raise CorruptionError(
                        f"{segment.name}: entry {index} does not follow the preceding entry; {REBUILD_ADVICE}"
                    )
                segment.last_index = max(segment.last_index, index)
            at += BATCH_HEADER.size + len(payload)
        segment.size_bytes = at
        if at == 0:  # no complete batch: the preceding segment is still the last one
            self._files.remove(segment.name)
            self._files.sync_directory()  # else it could reappear after new writes to the preceding segment
            self._segments.pop()

    def _next_batch(self, raw: bytes, at: int) -> memoryview | None:
        """Returns the records of the batch at `at` if it is complete and next in number, else None."""
        if (batch := _read_batch(raw, at)) is None or (self._last_batch and batch[0] != self._last_batch + 1):
            return None
        self._last_batch, payload = batch
        return payload

    def _has_later_batch(self, raw: bytes, at: int) -> bool:
        """Whether a complete batch begins at `at` or later."""
        while (at := raw.find(BATCH_MAGIC, at)) >= 0:
            if _read_batch(raw, at):
                return True
            at += 1
        return False

    # --- Writing ---------------------------------------------------------------------------------------
    def write(self, entries: tuple[Entry, ...], hard_state: HardState | None) -> None:
        """Writes and syncs entries and, unless None, the hard state. OSError if the disk fails."""
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
        """Begins a segment that states the entry before it and holds the hard state."""
        if kind == RESET_RECORD:
            self._last_entry = index, term
        index, term = self._last_entry
        self._begin_segment([_record(kind, term, index)], "roll")

    def _begin_segment(self, records: list[bytes], operation: str) -> None:
        """Begins a segment with these records and the hard state, all in one batch."""
        segment = _Segment(self._segments[-1].number + 1 if self._segments else 1)
        hard_record = _record(HARD_STATE_RECORD, self.hard_state.term, 0, encode(self.hard_state))
        self._write_batch(segment, [*records, hard_record], operation)
        self._files.sync_directory()
        self._crash_point(f"{operation}.named")
        self._segments.append(segment)

    def rewrite(self, log: Log, hard_state: HardState) -> None:
        """Writes log and hard state to new files after a failed write or sync.

        Data that a failed fsync(2) left in the page cache may never reach the disk although a later fsync
        succeeds, so files touched by a failed call are not used again. A start after a crash at any point
        finds everything that was acknowledged, either in the old files without their invalid ends or in the
        new ones. OSError if this fails as well; it may be retried.
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
        """Removes snapshots and segments that were unfinished when a call failed, which also frees space."""
        known_names = {segment.name for segment in self._segments}
        for name in self._files.list_names():
            if name.endswith(".tmp") or (SEGMENT_NAME.fullmatch(name) and name not in known_names):
                self._files.remove(name)

    def write_snapshot(self, snapshot: Snapshot, base_index: int) -> Iterator[None]:
        """Writes a snapshot, one slice per step of the iterator; then drops entries up to `base_index`."""
        yield from self._write_snapshot(snapshot, "snapshot")
        self._roll_segment(BASE_RECORD)
        self._remove_obsolete(snapshot.index, base_index)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Writes a snapshot from the leader, which replaces all entries."""
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
        if temporary in self._files.list_names():  # left by an abandoned snapshot
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
        """Removes snapshots and segments that a durable snapshot made obsolete, the oldest first."""
        for name in self._files.list_names():
            if (match := SNAPSHOT_NAME.fullmatch(name)) and int(match[1]) < index:
                self._files.remove(name)
        while len(self._segments) > 1 and (all_but_last or self._segments[0].last_index <= base_index):
            self._files.remove(self._segments[0].name)
            del self._segments[0]
            # Otherwise, after a power failure, a later segment could be missing while an earlier one remains.
            self._files.sync_directory()
            self._crash_point("forget.removed")


class _SegmentContents:
    """The records of all segments, read in order."""

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
        """Adds a record; returns False if it does not follow the records before it."""
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
        """Returns the log that starts with a snapshot; None if the entries are superseded by the snapshot."""
        base = self._base or (0, 0)
        at = snapshot.index - base[0]
        term = base[1] if at == 0 else self._entries[at - 1].term if 0 < at <= len(self._entries) else None
        if term == snapshot.term:
            return Log(snapshot, self._entries, base)
        return None


def _read_batch(raw: bytes, at: int) -> tuple[int, memoryview] | None:
    """Returns number and records of the batch at `at`; None if it is incomplete or corrupt."""
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
