"""The simulator's protocol: decodes frames to events and encodes actions to frames."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from basaltpoint import interface as api
from basaltpoint.config.settings import SettingsError, parse_settings


class WireError(ValueError):
    """A frame that the protocol does not allow; the text states the fault and its position."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    pass


Record = api.Event | InstanceStarted | InstanceStopped

STATUSES = {
    200: api.Status.OK,
    502: api.Status.ERROR,
    429: api.Status.FULL,
    408: api.Status.TIMEOUT,
    521: api.Status.CONNECT_FAILED,
    520: api.Status.RESET,
    444: api.Status.CANCELLED,
    409: api.Status.MOOT,
}
SERVER_STATES = (api.ServerState.GONE, api.ServerState.READY, api.ServerState.DRAINING)
LIST_KINDS = {
    0: api.ListKind.DELTA,
    2: api.ListKind.FULL,
    3: api.ListKind.CACHED,
    4: api.ListKind.FAILED,
}
ALL_PEERS = 0xFFFF


class _RecordReader:
    """Reads the records of one frame's body; errors state the offset in the body."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def read_struct(self, layout: struct.Struct) -> tuple[Any, ...]:
        try:
            values = layout.unpack_from(self.data, self.offset)
        except struct.error:
            raise WireError(f"record cut short at byte {self.offset} of the frame's body") from None
        self.offset += layout.size
        return values

    def read_bytes(self, size: int) -> bytes:
        if self.offset + size > len(self.data):
            raise WireError(f"{size} bytes announced at byte {self.offset}, fewer are left")
        part = self.data[self.offset : self.offset + size]
        self.offset += size
        return part


def _big_endian(field_codes: str) -> struct.Struct:
    return struct.Struct(">" + field_codes)


BATCH_HEAD = _big_endian("IdI")
_U8, _U16, _U32, _U64 = _big_endian("B"), _big_endian("H"), _big_endian("I"), _big_endian("Q")
_SERVER_ENTRY = _big_endian("IHBHBfd")
_LIST_HEAD = _big_endian("BQI")
_ARRIVAL = _big_endian("QHBIffdfQ")
_PROBE_RESULT = _big_endian("dHI")
_OUTCOME = _big_endian("QBIHdBHH")
_STREAM_BEGUN = _big_endian("QBdI")
_PEER_MESSAGE = _big_endian("IH")
_COUNTER_TOTAL = _big_endian("QHfd")


def _status_of(code: int) -> api.Status:
    try:
        return STATUSES[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


def _read_report(reader: _RecordReader) -> tuple[float, ...]:
    (count,) = reader.read_struct(_U8)
    return reader.read_struct(_big_endian(f"{count}f"))


def _read_start(reader: _RecordReader) -> InstanceStarted:
    (seed,) = reader.read_struct(_U64)
    (size,) = reader.read_struct(_U32)
    try:
        return InstanceStarted(seed, parse_settings(reader.read_bytes(size)))
    except SettingsError as error:
        raise WireError(str(error)) from None


def _read_server_list(reader: _RecordReader) -> api.ServerList:
    scope, _, count = reader.read_struct(_LIST_HEAD)
    if scope not in LIST_KINDS:
        raise WireError(f"unknown list scope {scope}")
    servers = []
    for _ in range(count):
        ident, zone, _, cell, state, rating, started = reader.read_struct(_SERVER_ENTRY)
        if state >= len(SERVER_STATES):
            raise WireError(f"unknown readiness {state} of server {ident}")
        servers.append(api.Server(ident, zone, cell, SERVER_STATES[state], rating, started, ident))
    return api.ServerList(LIST_KINDS[scope], tuple(servers))


def _read_arrival(reader: _RecordReader) -> api.Arrival:
    request, cls, _, plan, _, units, deadline, customer_limiters, customer = reader.read_struct(_ARRIVAL)
    return api.Arrival(request, cls, plan, customer, units, int(customer_limiters), deadline)


def _read_probe_result(reader: _RecordReader) -> api.ProbeResult:
    elapsed, code, server = reader.read_struct(_PROBE_RESULT)
    return api.ProbeResult(server, _status_of(code), elapsed, _read_report(reader))


def _read_outcome(reader: _RecordReader) -> api.Outcome:
    request, number, server, code, elapsed, closed, usage, units = reader.read_struct(_OUTCOME)
    used = usage - 1 if usage else None
    return api.Outcome(
        request, number, server, _status_of(code), elapsed, bool(closed), used, units, _read_report(reader)
    )


def _read_stream_begun(reader: _RecordReader) -> api.StreamBegun:
    request, number, _, server = reader.read_struct(_STREAM_BEGUN)
    return api.StreamBegun(request, number, server)


def _read_peer_message(reader: _RecordReader) -> api.PeerMessage:
    sender, size = reader.read_struct(_PEER_MESSAGE)
    return api.PeerMessage(sender, reader.read_bytes(size))


def _read_counter_total(reader: _RecordReader) -> api.CounterTotal:
    name, code, total, elapsed = reader.read_struct(_COUNTER_TOTAL)
    return api.CounterTotal(name, _status_of(code), total, elapsed)


_DECODERS: dict[int, Callable[[_RecordReader], Record]] = {
    0: _read_start,
    1: _read_server_list,
    2: _read_arrival,
    3: _read_stream_begun,
    4: _read_outcome,
    5: lambda reader: api.Abandoned(*reader.read_struct(_U64)),
    6: lambda reader: api.TimerFired(*reader.read_struct(_U32)),
    7: _read_probe_result,
    8: _read_peer_message,
    9: lambda reader: InstanceStopped(),
    10: _read_counter_total,
}
_TARGET_INSTANCE = 11


def decode_batch(record_count: int, body: bytes) -> list[tuple[int, Record]]:
    """Returns the (instance, record) pairs of a batch of `record_count` records.

    Raises WireError for a body that the protocol does not allow.
    """
    reader = _RecordReader(body)
    records: list[tuple[int, Record]] = []
    instance: int | None = None
    for index in range(record_count):
        (code,) = reader.read_struct(_U8)
        if code == _TARGET_INSTANCE:
            (instance,) = reader.read_struct(_U32)
            continue
        if code not in _DECODERS:
            raise WireError(f"unknown record code {code} in record {index} at byte {reader.offset - 1}")
        if instance is None:
            raise WireError(f"record {index} comes before any target_instance")
        records.append((instance, _DECODERS[code](reader)))
    if reader.offset != len(body):
        raise WireError(f"{len(body) - reader.offset} bytes left after the last of {record_count} records")
    return records


_INSTANCE = _big_endian("BI")
_SEND = _big_endian("BQId")
_CANCEL = _big_endian("BQB")
_REFUSE = _big_endian("BQd")
_FAIL = _big_endian("BQ")
_TIMER = _big_endian("BdI")
_SERVER = _big_endian("BI")
_SUBSCRIBE = _big_endian("BB")
_PEER_SEND = _big_endian("BHH")
_COUNTER_ADD = _big_endian("BQfd")
_TEXT_HEAD = _big_endian("BH")


def _encode_text(code: int, text: str) -> bytes:
    body = text.encode()[:0xFFFF]
    return _TEXT_HEAD.pack(code, len(body)) + body


def _encode_tell(action: api.Tell) -> bytes:
    dest = ALL_PEERS if action.to is None else action.to
    return _PEER_SEND.pack(2, dest, len(action.body)) + action.body


_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    api.SetTimer: lambda a: _TIMER.pack(0, a.delay_ms, a.token),
    api.Send: lambda a: _SEND.pack(1, a.request, a.server, a.until_ms),
    api.Tell: _encode_tell,
    api.Fail: lambda a: _FAIL.pack(3, a.request),
    api.Cancel: lambda a: _CANCEL.pack(4, a.request, a.attempt),
    api.FetchList: lambda a: _U8.pack(5),
    api.Refuse: lambda a: _REFUSE.pack(6, a.request, a.retry_in_ms),
    api.Probe: lambda a: _SERVER.pack(7, a.server),
    api.Subscribe: lambda a: _SUBSCRIBE.pack(8, a.on),
    api.Log: lambda a: _encode_text(10, a.text),
    api.CloseIdle: lambda a: _SERVER.pack(11, a.server),
    api.CounterAdd: lambda a: _COUNTER_ADD.pack(12, a.name, a.amount, a.lifetime_ms),
}


def encode_reply(groups: Iterable[tuple[int, Iterable[api.Action]]]) -> bytes:
    """Returns a reply frame for (instance, actions) groups in the order given."""
    parts = []
    for instance, actions in groups:
        encoded = [_ENCODERS[type(action)](action) for action in actions]
        if encoded:
            parts.append(_INSTANCE.pack(9, instance))
            parts.extend(encoded)
    body = b"".join(parts)
    return _U32.pack(len(body)) + body


def encode_fault(instance: int, text: str) -> bytes:
    """Returns a reply frame that declares an internal error."""
    body = _INSTANCE.pack(9, instance) + _encode_text(13, text)
    return _U32.pack(len(body)) + body
